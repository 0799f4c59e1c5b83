/* Private to the requests of the entry task: one request, shared by the files
 * that carry it.
 *
 * forward.c         admission, time, the final answer
 * forward_send.c    placement, sending, repeating
 * forward_answer.c  what the endpoint answers
 * forward_runs.c    which request it is, and what its runs tell */
#ifndef CAROBLOOMD_GATEWAY_FORWARD_STATE_H
#define CAROBLOOMD_GATEWAY_FORWARD_STATE_H

#include "entry_state.h"
#include "event_stream.h"
#include "platform.h"

enum { ENDPOINT_NAME_MAX = 64 };

/* One request of a caller, until it is answered. */
typedef struct {
    entry_t *entry;
    http_exchange_t *exchange;
    route_config_t *config; /* the version it started with */
    const route_t *route;
    const team_t *team; /* NULL: none is needed */
    const char *service;
    service_state_t *service_state;
    request_info_t info;
    guint64 fingerprint; /* 0: not worked out yet */
    const quarantined_request_t
        *quarantined;  /* as it is refused: it is held back */
    gboolean is_probe; /* its last send */
    gint64 started_us;
    gint64 deadline_us; /* it is answered by then */
    guint64 timer;
    /* where it runs */
    endpoint_t *endpoint;
    char last_endpoint[ENDPOINT_NAME_MAX]; /* its id, for the log */
    client_call_t *call;
    gint64 sent_us;
    gint64 limit_sent_us;  /* the same, by the clock of limits */
    gint64 last_silent_us; /* when it was silent last and no other took it */
    guint waiting_tokens;  /* that it added to the endpoint's */
    /* when it was sent: what all instances' requests took of the endpoint */
    guint running_at_send;
    guint waiting_tokens_at_send;   /* tokens */
    gboolean run_counted;           /* that it began to run */
    gboolean event_received;        /* an event came from this endpoint */
    gint64 endpoint_first_event_us; /* the first of them */
    const endpoint_t *tried[PLACEMENT_TRIED_MAX];
    guint sends;
    guint runs;                          /* sends that may have run */
    guint refusals;                      /* sends that an endpoint refused */
    placement_counts_t placement_counts; /* when none took it: why */
    /* the answer */
    guint status;
    gboolean not_run;
    gboolean streaming; /* events; passed on as they come */
    gboolean head_sent; /* its head went to the caller */
    GString *fields;
    GByteArray *body;
    event_stream_t events;
    gboolean has_event;
    guint64 last_event;
    gint64 last_byte_us; /* the last byte of the answer */
    gint64 first_output_us;
    gint64 last_event_us;    /* the last event that went on */
    gint64 longest_pause_us; /* the longest pause between two of them */
    gboolean paused;
} forward_t;

/* forward.c */
gint64 forward_now(const forward_t *f);
/* The endpoint's answer, whole, goes to the caller. */
void forward_deliver(forward_t *f);
/* The stream that was begun is complete. */
void forward_finish(forward_t *f);
/* Gives up: what is said depends on whether it may have run. */
void forward_fail(forward_t *f, const char *reason);
/* Sets the time at which something is to be done next. */
void forward_set_timer(forward_t *f);
/* Its prompt is read: it no longer counts as waiting at its endpoint. */
void forward_end_prefill(forward_t *f);
/* Takes it off its endpoint; the call is over or cancelled. */
void forward_detach_endpoint(forward_t *f);

/* It began to run at an endpoint; counted once. */
void forward_count_run(forward_t *f);
/* Its endpoint had it, but how far it came is not known: it counts as begun
 * when it should have begun by now. A prompt in a queue has not. */
void forward_count_interrupted_run(forward_t *f);

/* forward_runs.c */
/* Which request it is, whatever its id; worked out when first asked for. */
guint64 forward_fingerprint(forward_t *f);
/* A field of the log line that is being written. */
void forward_log_fingerprint(forward_t *f);
/* Whether it is held back, since endpoints end under it. */
gboolean forward_is_quarantined(forward_t *f);
/* Bytes of its endpoint came. */
void forward_record_bytes(forward_t *f);
/* Its endpoint answered it whole. */
void forward_record_answered(forward_t *f);
/* The call failed: whether the endpoint ended is found out later. */
void forward_record_failure(forward_t *f, call_failure_t failure);
/* It is given up while it may run at its endpoint. */
void forward_record_abandoned(forward_t *f);

/* forward_send.c */
void forward_send(forward_t *f);
/* Sends it to another endpoint if that is allowed. `arrived` tells whether the
 * last one got it, so that one more counts as a repeat. */
gboolean forward_try_repeat(forward_t *f, gboolean received,
                            const char *reason);
/* The same, and ends it where it is not allowed. */
void forward_repeat(forward_t *f, gboolean received, const char *reason);
/* Leaves an endpoint that is silent for one that takes the request; stays
 * where there is none, since the silent one may still answer. */
void forward_handle_silence(forward_t *f);

/* forward_answer.c */
extern const client_call_ops_t FORWARD_CALL_OPS;
void forward_record_outcome(forward_t *f, endpoint_outcome_t outcome);

#endif
