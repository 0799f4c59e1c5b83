/* The life of one request, as a state machine without sockets or clock.
 *
 * Every transition stands in one table (lifecycle.c), which docs/design/
 * request-lifecycle.md lists. An event returns the commands to carry out, in
 * order. */
#ifndef CAROBLOOM_POLICY_LIFECYCLE_H
#define CAROBLOOM_POLICY_LIFECYCLE_H

#include <glib.h>

typedef enum {
    LIFE_NEW,
    LIFE_CLAIMING,   /* not repeatable: the voters are asked */
    LIFE_QUEUED,     /* a ticket waits at the pool's owner */
    LIFE_CONNECTING, /* granted; no byte has left */
    LIFE_SENT,       /* a byte may have left */
    LIFE_STREAMING,  /* the caller has a part of the answer */
    LIFE_DONE,
    LIFE_STATE_COUNT,
} life_state_t;

typedef enum {
    LIFE_EVENT_ADMIT, /* checked and within limits */
    LIFE_EVENT_CLAIM_WON,
    LIFE_EVENT_CLAIM_LOST,   /* another request holds the key */
    LIFE_EVENT_CLAIM_FAILED, /* no quorum */
    LIFE_EVENT_GRANT,
    LIFE_EVENT_REFUSE,
    LIFE_EVENT_WRITING, /* the first byte is about to leave */
    LIFE_EVENT_PART,    /* a part reached the caller */
    LIFE_EVENT_END,     /* the endpoint's own end mark */
    LIFE_EVENT_NOT_RUN, /* the endpoint says it did not run it */
    LIFE_EVENT_BROKEN,  /* connection lost, wrong id, silent too long */
    LIFE_EVENT_PREEMPT,
    LIFE_EVENT_CALLER_LEFT,
    LIFE_EVENT_EXPIRED, /* the request's own last deadline */
    LIFE_EVENT_COUNT,
} life_event_t;

typedef enum {
    LIFE_COMMAND_NONE,
    LIFE_COMMAND_CLAIM,
    LIFE_COMMAND_SUBMIT,   /* send a ticket */
    LIFE_COMMAND_WITHDRAW, /* take the ticket back */
    LIFE_COMMAND_DISPATCH,
    LIFE_COMMAND_ABORT, /* cancel the endpoint's work */
    LIFE_COMMAND_SETTLE_COMPLETE,
    LIFE_COMMAND_SETTLE_FAILED,
    LIFE_COMMAND_SETTLE_CANCELLED,
    LIFE_COMMAND_RELEASE, /* give the claim back: it was not run */
    LIFE_COMMAND_KEEP,    /* keep the outcome under the claim */
    LIFE_COMMAND_ANSWER,  /* the final answer, with `outcome` */
    LIFE_COMMAND_DETACH,  /* go on without the caller */
} life_command_t;

typedef enum {
    OUTCOME_NONE,
    OUTCOME_COMPLETE,
    OUTCOME_NOT_RUN,
    OUTCOME_UNKNOWN,
} outcome_t;

enum { LIFE_COMMANDS_MAX = 4 };

typedef struct {
    life_state_t state;
    outcome_t outcome;
    gboolean repeatable;
    gboolean resume; /* the class lets a stream go on elsewhere */
    gboolean claimed;
    guint attempts;
    guint attempts_max;
    gboolean retry_allowed; /* the retry budget, set before each event */
} life_t;

typedef struct {
    life_command_t commands[LIFE_COMMANDS_MAX];
} life_step_t;

/* Applies one event. An event that has no transition changes nothing. */
life_step_t life_apply(life_t *life, life_event_t event);
const char *life_state_name(life_state_t state);
const char *life_event_name(life_event_t event);
const char *life_command_name(life_command_t command);
const char *outcome_name(outcome_t outcome);
/* The table as Markdown rows, for the docs and the test that compares it. */
char *life_table_markdown(void);

#endif
