/* The lifecycle of one request, as a state machine without sockets or clock.
 *
 * Every transition stands in one table (lifecycle.c), which docs/design/
 * request-lifecycle.md lists. An event returns the commands to carry out, in
 * order. */
#ifndef CAROBLOOM_POLICY_LIFECYCLE_H
#define CAROBLOOM_POLICY_LIFECYCLE_H

#include <glib.h>

typedef enum {
    LIFECYCLE_NEW,
    LIFECYCLE_CLAIMING,   /* not repeatable: the voters are asked */
    LIFECYCLE_QUEUED,     /* a ticket waits at the pool's owner */
    LIFECYCLE_CONNECTING, /* granted; no byte has left */
    LIFECYCLE_SENT,       /* a byte may have left */
    LIFECYCLE_STREAMING,  /* the caller has a part of the answer */
    LIFECYCLE_DONE,
    LIFECYCLE_STATE_COUNT,
} lifecycle_state_t;

typedef enum {
    LIFECYCLE_EVENT_ADMIT, /* checked and within limits */
    LIFECYCLE_EVENT_CLAIM_WON,
    LIFECYCLE_EVENT_CLAIM_LOST,   /* another request holds the key */
    LIFECYCLE_EVENT_CLAIM_FAILED, /* no quorum */
    LIFECYCLE_EVENT_GRANT,
    LIFECYCLE_EVENT_REFUSE,
    LIFECYCLE_EVENT_WRITING, /* the first byte is about to leave */
    LIFECYCLE_EVENT_PART,    /* a part reached the caller */
    LIFECYCLE_EVENT_END,     /* the endpoint's own end mark */
    LIFECYCLE_EVENT_NOT_RUN, /* the endpoint says it did not run it */
    LIFECYCLE_EVENT_BROKEN,  /* connection lost, wrong id, silent too long */
    LIFECYCLE_EVENT_PREEMPT,
    LIFECYCLE_EVENT_CALLER_LEFT,
    LIFECYCLE_EVENT_EXPIRED, /* the request's own last deadline */
    LIFECYCLE_EVENT_COUNT,
} lifecycle_event_t;

typedef enum {
    LIFECYCLE_COMMAND_NONE,
    LIFECYCLE_COMMAND_CLAIM,
    LIFECYCLE_COMMAND_SUBMIT,   /* send a ticket */
    LIFECYCLE_COMMAND_WITHDRAW, /* take the ticket back */
    LIFECYCLE_COMMAND_DISPATCH,
    LIFECYCLE_COMMAND_ABORT, /* cancel the endpoint's work */
    LIFECYCLE_COMMAND_SETTLE_COMPLETE,
    LIFECYCLE_COMMAND_SETTLE_FAILED,
    LIFECYCLE_COMMAND_SETTLE_CANCELLED,
    LIFECYCLE_COMMAND_RELEASE, /* give the claim back: it was not run */
    LIFECYCLE_COMMAND_KEEP,    /* keep the outcome under the claim */
    LIFECYCLE_COMMAND_ANSWER,  /* the final answer, with `outcome` */
    LIFECYCLE_COMMAND_DETACH,  /* go on without the caller */
} lifecycle_command_t;

typedef enum {
    OUTCOME_NONE,
    OUTCOME_COMPLETE,
    OUTCOME_NOT_RUN,
    OUTCOME_UNKNOWN,
} outcome_t;

enum { LIFECYCLE_COMMANDS_MAX = 4 };

typedef struct {
    lifecycle_state_t state;
    outcome_t outcome;
    gboolean repeatable;
    gboolean resume; /* the class lets a stream go on elsewhere */
    gboolean claimed;
    guint attempts;
    guint attempts_max;
    gboolean retry_allowed; /* the retry budget, set before each event */
} lifecycle_t;

typedef struct {
    lifecycle_command_t commands[LIFECYCLE_COMMANDS_MAX];
} lifecycle_step_t;

/* Applies one event. An event that has no transition changes nothing. */
lifecycle_step_t lifecycle_apply(lifecycle_t *lifecycle,
                                 lifecycle_event_t event);
const char *lifecycle_state_name(lifecycle_state_t state);
const char *lifecycle_event_name(lifecycle_event_t event);
const char *lifecycle_command_name(lifecycle_command_t command);
const char *outcome_name(outcome_t outcome);
/* The table as Markdown rows, for the docs and the test that compares it. */
char *lifecycle_table_markdown(void);

#endif
