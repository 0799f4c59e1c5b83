/* Private to request forwarding: the state of one request, shared by the files
 * that handle it.
 *
 * forward.c         admission, timers, answer to the caller
 * forward_send.c    placement, sending and repeating
 * forward_hedge.c   requests that are open at several endpoints
 * forward_reach.c   direct connections and tunnels to endpoints
 * forward_wait.c    requests that wait for a slot of a brittle endpoint
 * forward_answer.c  the endpoint's answer
 * forward_log.c     the line of the log on its end
 * forward_runs.c    fingerprint, and runs for crash detection */
#ifndef CAROBLOOMD_GATEWAY_FORWARD_STATE_H
#define CAROBLOOMD_GATEWAY_FORWARD_STATE_H

#include "entry_state.h"
#include "event_stream.h"
#include "platform.h"

enum { ENDPOINT_NAME_MAX = 64 };

typedef struct forward forward_t;

/* One send of a request to an endpoint, and what the endpoint answered. */
typedef struct {
    forward_t *request;
    endpoint_t *endpoint; /* NULL: not sent, or the send has ended */
    client_call_t *call;  /* NULL: the same */
    /* fingerprint of the quarantined request or prompt part that this send
     * probes, see quarantine.h; 0: none */
    guint64 probe;
    gboolean in_tunnel; /* the call is in a tunnel through another instance */
    helper_t *helper;   /* that instance; NULL if it is not known any more */
    gboolean is_silent; /* the endpoint was silent at the last check */
    gboolean silence_recorded;
    gint64 sent_us;
    gint64 limit_sent_us; /* the same time on the clock of limits */
    /* the silence timeout begins at this time or later */
    gint64 silent_from_us;
    /* prompt tokens by which this send raises the endpoint's count of waiting
     * tokens */
    guint waiting_tokens;
    /* running requests and waiting tokens of all instances at the endpoint,
     * when the request was sent to it */
    guint running_at_send;
    guint waiting_tokens_at_send;
    slot_rule_kind_t slot_rule; /* by which it was sent */
    gboolean is_abandoned;      /* the endpoint may still work on it */
    /* the answer */
    guint status;
    gboolean not_run;    /* the endpoint states that it executed nothing */
    gboolean asked_rest; /* with its answer the endpoint asked for rest */
    gboolean streaming;  /* an event stream, forwarded as it arrives */
    GString *fields;
    GByteArray *body;
    event_stream_t events;
    gboolean event_received;
    gint64 first_event_us;
    gint64 last_byte_us; /* when the last byte of the answer arrived */
    gboolean paused;     /* reading from the endpoint, for a slow caller */
} request_send_t;

/* A request of a caller, from its arrival until it is answered. */
struct forward {
    entry_t *entry;
    http_exchange_t *exchange;
    route_config_t *config; /* the one in force when the request arrived */
    const route_t *route;
    const team_t *team; /* NULL: the route needs no key */
    const char *service;
    service_state_t *service_state;
    request_info_t info;
    guint64 fingerprint; /* 0: not computed yet */
    /* guint64, ids of the parts of the prompt but the last, which belongs to
     * the request or to its session alone; NULL: none, or not listed yet */
    GArray *shared_parts;
    /* set when the request is refused because it or a part is quarantined */
    const quarantined_request_t *quarantined;
    gint64 started_us;
    gint64 deadline_us; /* deadline for the answer */
    guint64 timer;
    request_send_t *send; /* the latest, or the one that answers */
    GPtrArray *silent;    /* request_send_t, see forward_hedge.c; NULL: none */
    /* the send whose endpoint runs a stream, or may go on with it, beside
     * other open sends; these are cancelled at `handover_us` at the latest */
    request_send_t *taken_up_by;
    gint64 handover_us;
    char last_endpoint[ENDPOINT_NAME_MAX]; /* endpoint id, for the log */
    guint tunnels_failed; /* tunnels that could not be opened */
    gboolean tunnelled;   /* a send went through a tunnel */
    gboolean direct_only; /* no tunnel could be opened */
    gboolean run_counted; /* the request was counted as run */
    const endpoint_t *tried[PLACEMENT_TRIED_MAX];
    guint tried_count;
    slot_waiter_t waiter;      /* for a slot of a brittle endpoint */
    gint64 slot_wait_until_us; /* 0: it has not waited */
    guint sends;
    guint runs;     /* ended sends that may have been executed */
    guint refusals; /* sends that an endpoint refused without executing them */
    /* why no endpoint could take the request */
    placement_counts_t placement_counts;
    /* the answer to the caller */
    gboolean head_sent;
    gboolean has_event; /* an event with a number was forwarded */
    guint64 last_event; /* number of the last such event */
    gint64 first_output_us;
    gint64 last_event_us;    /* when the last event was forwarded */
    gint64 longest_pause_us; /* longest pause between two forwarded events */
};

/* forward.c */
gint64 forward_now(const forward_t *f);
/* Sends the buffered answer of the endpoint to the caller. Frees the
 * request. */
void forward_deliver(forward_t *f);
/* Completes the caller's stream. Frees the request. */
void forward_finish(forward_t *f);
/* Ends the request with an error and frees it, unless an earlier send to a
 * silent endpoint is still open. The status tells whether the request may have
 * been executed. */
void forward_fail(forward_t *f, const char *reason);
/* Sets the timer for the deadline or the silence timeout, whichever is
 * first. */
void forward_set_timer(forward_t *f);
/* Gives the request up if its caller has left, also where this was not told
 * yet. Returns TRUE if so; the request is freed. */
gboolean forward_give_up_if_left(forward_t *f);

request_send_t *request_send_create(forward_t *f);
/* Cancels the call if it is under way. */
void request_send_free(request_send_t *s);
/* Frees what has arrived of the body of its answer. */
void request_send_drop_body(request_send_t *s);
/* Removes the request's tokens from the endpoint's count of waiting tokens,
 * once the endpoint has read the prompt. */
void request_send_end_prefill(request_send_t *s);
/* Removes the send from its endpoint's counts. The call must be complete or
 * cancelled. */
void request_send_detach(request_send_t *s);
/* Ends the call; the endpoint may still work on the request. */
void request_send_cancel(request_send_t *s);

/* Counts the request for usage reports when it begins to run, once per
 * request. */
void forward_count_run(forward_t *f);
/* Handles a call that ended after the endpoint received the request but before
 * the run was known to begin. Counts the request as run if its first event was
 * due by now; a prompt that was still queued was not run. */
void request_send_count_interrupted(request_send_t *s);

/* forward_log.c */
void forward_log_outcome(forward_t *f, guint status, const char *reason);

/* forward_runs.c */
/* Returns a fingerprint of the request that does not depend on its id.
 * Computed on first use. */
guint64 forward_fingerprint(forward_t *f);
/* Adds the request's fingerprint to the event log line that was begun. */
void forward_log_fingerprint(forward_t *f);
/* Whether to refuse the request because it or a part of its prompt is
 * quarantined: endpoints crashed while they ran it. Returns FALSE for a
 * quarantined request if a probe is due; this send is then the probe. */
gboolean forward_is_quarantined(forward_t *f);
/* The same, without sending a probe. */
gboolean forward_may_not_repeat(forward_t *f);
/* If the send was a probe, makes it available again, because no endpoint
 * executed it. */
void request_send_return_probe(request_send_t *s);
/* Called before each send. Returns FALSE if the request is a probe and the
 * endpoint may have ended already: nothing would be learned there. */
gboolean forward_begin_probe(forward_t *f, const endpoint_t *endpoint);
/* Records that bytes arrived from the endpoint. */
void request_send_record_bytes(request_send_t *s);
/* Records that an endpoint answered the request completely. */
void forward_record_answered(forward_t *f);
/* Records a failed call. Whether the endpoint crashed is determined later. */
void request_send_record_failure(request_send_t *s, call_failure_t failure);
/* Records that this instance abandons the request. Does nothing unless the
 * request may be running at an endpoint. */
void request_send_record_abandoned(request_send_t *s);

/* forward_reach.c */
/* Chooses how the endpoint is reached, and makes the call. Returns FALSE if no
 * connection is free. */
gboolean forward_call(forward_t *f, endpoint_t *endpoint, str_t bytes);
/* Counts the end of the call for the instance that helped. */
void request_send_release_helper(request_send_t *s);
/* Handles a tunnel that could not be opened: nothing was sent. */
void forward_handle_tunnel_failure(forward_t *f);
/* Records that the connection to the endpoint failed, so that this instance
 * may be cut off. Returns TRUE if the endpoint is not to blame. */
gboolean request_send_record_unreached(request_send_t *s,
                                       call_failure_t failure);
/* When it is due to check that the endpoint has answered something;
 * G_MAXINT64: no check is due. */
gint64 request_send_silence_check_us(const request_send_t *s);
/* The first check only asks for the second. */
void request_send_check_silence(request_send_t *s);
/* Records that the endpoint is silent, if it is. */
void request_send_record_silence(request_send_t *s);

/* forward_send.c */
/* Records that no endpoint can take the request. */
void forward_record_unplaced(forward_t *f, const placement_counts_t *counts);
/* Rank of the request among all requests, 0 to 9; 0 is the most urgent. */
gint forward_priority(const forward_t *f);
void forward_send(forward_t *f);
/* The connections to an endpoint at `peer`, one of its two fields for them,
 * created on first use. Returns NULL if its address is invalid. */
http_peer_t *forward_peer(const forward_t *f, const endpoint_t *endpoint,
                          void **peer);
/* Sends the request to another endpoint if that is allowed. `received` says
 * whether the previous endpoint received the request; if so, the new send
 * counts against the repeat budget. Returns FALSE if the request was not
 * sent. */
gboolean forward_try_repeat(forward_t *f, gboolean received,
                            const char *reason);
/* Sends the request of a silent endpoint to another endpoint as well. One
 * whose bytes this busy instance has not read yet is not silent. */
void forward_handle_silence(forward_t *f);

/* forward_hedge.c */
/* Sends that are open or may have been executed. */
guint forward_possible_runs(const forward_t *f);
/* Keeps the call to the silent endpoint open; the next send is a new one. */
void forward_keep_silent(forward_t *f);
/* Returns to an open send to a silent endpoint, after the latest send ended
 * without an answer. Returns FALSE if there is none, or no time. */
gboolean forward_return_to_silent(forward_t *f);
/* Cancels all sends to silent endpoints. */
void forward_cancel_silent(forward_t *f);
/* Continues after a send that ended without an answer, in this order: with
 * another send that is open, with a repeat, or at a silent endpoint. Returns
 * FALSE if none is possible. `received` as in forward_try_repeat. */
gboolean request_send_try_continue(request_send_t *s, gboolean received,
                                   const char *reason);
/* Like request_send_try_continue, but ends the request with an error if it
 * can't be continued. */
void request_send_continue(request_send_t *s, gboolean received,
                           const char *reason);
/* Handles the head of a stream's answer: the endpoint runs the request. */
void request_send_take_up(request_send_t *s);
/* Handles that the request leaves for the endpoint. One that is to go on with
 * a stream may work on it from now on. */
void request_send_record_sent(request_send_t *s);
/* Uses the answer of this send, and cancels all others. */
void request_send_choose(request_send_t *s);

/* forward_wait.c */
/* Lets a request that no endpoint can take wait for a slot. Returns FALSE if
 * it may not wait, or not any more. */
gboolean forward_wait_for_slot(forward_t *f, placement_request_t *request,
                               const placement_counts_t *counts);
/* Ends the wait of a request that has waited too long. */
void forward_give_up_slot(forward_t *f);

/* forward_answer.c */
extern const client_call_ops_t FORWARD_CALL_OPS;
void request_send_record_outcome(request_send_t *s,
                                 endpoint_outcome_t outcome);

#endif
