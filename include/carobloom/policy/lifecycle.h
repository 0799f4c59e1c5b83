/* Lifecycle of one request: a state machine without sockets or clock.
 *
 * All transitions are in one table (lifecycle.c), which
 * docs/design/request-lifecycle.md shows. Applying an event returns the
 * commands to execute, in order. */
#ifndef CAROBLOOM_POLICY_LIFECYCLE_H
#define CAROBLOOM_POLICY_LIFECYCLE_H

#include <glib.h>

/* State of a request. */
typedef enum {
    LIFECYCLE_NEW,
    LIFECYCLE_CLAIMING,   /* not repeatable: the voters decide on its key */
    LIFECYCLE_QUEUED,     /* a ticket waits at the pool's owner */
    LIFECYCLE_CONNECTING, /* granted; no byte was sent */
    LIFECYCLE_SENT,       /* a byte may have been sent */
    LIFECYCLE_STREAMING,  /* the caller received a part of the answer */
    LIFECYCLE_DONE,
    LIFECYCLE_STATE_COUNT,
} lifecycle_state_t;

/* Event in the lifecycle of a request. */
typedef enum {
    LIFECYCLE_EVENT_ADMIT, /* valid and within limits */
    LIFECYCLE_EVENT_CLAIM_WON,
    LIFECYCLE_EVENT_CLAIM_LOST,   /* another request has the key */
    LIFECYCLE_EVENT_CLAIM_FAILED, /* no quorum */
    LIFECYCLE_EVENT_GRANT,
    LIFECYCLE_EVENT_REFUSE,
    LIFECYCLE_EVENT_WRITING, /* the first byte is about to be sent */
    LIFECYCLE_EVENT_PART,    /* a part of the answer was sent to the caller */
    LIFECYCLE_EVENT_END,     /* the endpoint's own end marker */
    LIFECYCLE_EVENT_NOT_RUN, /* answered that the request was not run */
    LIFECYCLE_EVENT_BROKEN,  /* connection lost, wrong id, or timeout */
    LIFECYCLE_EVENT_PREEMPT,
    LIFECYCLE_EVENT_CALLER_LEFT,
    LIFECYCLE_EVENT_EXPIRED, /* the request's final deadline passed */
    LIFECYCLE_EVENT_COUNT,
} lifecycle_event_t;

/* Command that the caller of lifecycle_apply executes. */
typedef enum {
    LIFECYCLE_COMMAND_NONE,
    LIFECYCLE_COMMAND_CLAIM,
    LIFECYCLE_COMMAND_SUBMIT,   /* send a ticket to the pool's owner */
    LIFECYCLE_COMMAND_WITHDRAW, /* cancel the ticket */
    LIFECYCLE_COMMAND_DISPATCH,
    LIFECYCLE_COMMAND_ABORT, /* cancel the request at the endpoint */
    LIFECYCLE_COMMAND_SETTLE_COMPLETE,
    LIFECYCLE_COMMAND_SETTLE_FAILED,
    LIFECYCLE_COMMAND_SETTLE_CANCELLED,
    LIFECYCLE_COMMAND_RELEASE, /* release the claim: the request was not run */
    LIFECYCLE_COMMAND_KEEP,    /* store the outcome under the claim */
    LIFECYCLE_COMMAND_ANSWER,  /* send the final answer, with `outcome` */
    LIFECYCLE_COMMAND_DETACH,  /* continue without the caller */
} lifecycle_command_t;

/* Outcome that the caller of a request is answered with. */
typedef enum {
    OUTCOME_NONE,
    OUTCOME_COMPLETE,
    OUTCOME_NOT_RUN,
    OUTCOME_UNKNOWN,
} outcome_t;

enum { LIFECYCLE_COMMANDS_MAX = 4 };

/* State machine of one request. */
typedef struct {
    lifecycle_state_t state;
    outcome_t outcome;
    gboolean repeatable;
    gboolean resume; /* the class allows resuming at another endpoint */
    gboolean claimed;
    guint attempts;
    guint attempts_max;
    gboolean retry_allowed; /* by the retry budget; set before each event */
} lifecycle_t;

/* Commands of one event, ended by LIFECYCLE_COMMAND_NONE if there are
 * fewer. */
typedef struct {
    lifecycle_command_t commands[LIFECYCLE_COMMANDS_MAX];
} lifecycle_step_t;

/* Applies an event. An event without a matching transition changes nothing and
 * returns no commands. */
lifecycle_step_t lifecycle_apply(lifecycle_t *lifecycle,
                                 lifecycle_event_t event);
/* Names of states, events, commands and outcomes, as in the table of the
 * documentation. */
const char *lifecycle_state_name(lifecycle_state_t state);
const char *lifecycle_event_name(lifecycle_event_t event);
const char *lifecycle_command_name(lifecycle_command_t command);
const char *outcome_name(outcome_t outcome);
/* The transition table in Markdown, to compare it with the documentation. To
 * be freed by the caller. */
char *lifecycle_table_markdown(void);

#endif
