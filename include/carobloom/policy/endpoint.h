/* State of one endpoint at this instance: its load, its health, and the prompt
 * parts that it likely caches. Pure. */
#ifndef CAROBLOOM_POLICY_ENDPOINT_H
#define CAROBLOOM_POLICY_ENDPOINT_H

#include "carobloom/policy/endpoint_limit.h"
#include "carobloom/policy/endpoint_rest.h"
#include "carobloom/policy/load_sum.h"
#include "carobloom/policy/part_set.h"
#include "carobloom/policy/slot_hold.h"

/* Outcome of a request at an endpoint, recorded for its health. */
typedef enum {
    ENDPOINT_SERVED,
    ENDPOINT_SERVER_ERROR, /* answered 5xx itself */
    ENDPOINT_FULL,         /* refused the request without running it */
    ENDPOINT_ASKED_REST,   /* the same, and named the time until the next */
    ENDPOINT_BROKEN,       /* reset, cut off, not HTTP, or no data in time */
    ENDPOINT_UNREACHABLE,  /* connecting failed */
    ENDPOINT_MISDIRECTED,  /* another endpoint has the address */
} endpoint_outcome_t;

/* One incarnation of an endpoint, with its load and health. */
typedef struct {
    char *id;
    GRefString *service; /* interned, shared by the endpoints of a service */
    char *address;
    GRefString *data_centre;
    guint slots;
    gint64 started_ms; /* Unix time; identifies the incarnation */
    guint64 hash;      /* of the id and the incarnation */
    gboolean draining;
    gboolean lease_draining; /* its lease says so too */
    gboolean left;
    gboolean reclaimable;
    /* While the endpoint drains, other endpoints can fetch its cached parts
     * until then. */
    gint64 fetchable_until_us;
    gint64 unreported_until_us; /* usable until then without a report */
    gint64 cold_until_us;       /* slow until then, as its lease announced */
    /* requests of this instance */
    gint64 last_served_us; /* time of the last answer, 0: never */
    guint running;
    guint32 waiting_tokens; /* prompt tokens that are not prefilled yet */
    guint32 prompt_tokens;  /* of the whole prompts of all running requests */
    guint long_running;     /* running requests with long prompts */
    guint32 long_waiting;
    guint32 reported_by; /* bits of control instances that report its lease */
    endpoint_load_t others;   /* of other entry instances, as reported */
    gboolean has_others_load; /* `others` holds a reported load */
    float others_peak; /* decaying maximum of `others.running`, while the
                           service is brittle */
    /* health */
    double failures; /* decaying fraction of failed requests */
    /* Backoff after failures: no requests until then, and its length, which
     * doubles; 0: no backoff since the last success. */
    gint64 backoff_until_us;
    gint64 backoff_us;
    /* Another endpoint is assumed to have its address until then. */
    gint64 misplaced_until_us;
    /* Backoff after refusals, in the same way as after failures. */
    gint64 full_until_us;
    gint64 full_backoff_us;
    /* direct connections of this instance, see reachability.h; 0: never */
    gint64 reached_us;
    gint64 unreached_us;
    endpoint_rest_t rest;
    endpoint_limit_t *limit; /* NULL: the endpoint never announced a limit */
    slot_hold_t *hold;       /* owned by the caller; NULL unless it is brittle
                              */
    part_set_t parts;        /* of prompts that were recently sent there */
    void *connections;       /* owned by the caller */
    void *tunnels;           /* through other instances; the same */
} endpoint_t;

/* The current time on two clocks. */
typedef struct {
    gint64 now_us;      /* of the timers */
    gint64 boot_now_us; /* includes suspensions; of limits and rests */
} endpoint_now_t;

/* Whether the endpoint has a lease, or had one until a moment ago. */
gboolean endpoint_is_leased(const endpoint_t *endpoint, gint64 now_us);
/* Whether the endpoint may get new requests: it has not left, does not drain,
 * and its lease is reported or was until recently. */
gboolean endpoint_usable(const endpoint_t *endpoint, gint64 now_us);
/* Whether the endpoint drains but other endpoints can still fetch cached parts
 * from its memory. */
gboolean endpoint_fetchable(const endpoint_t *endpoint, gint64 now_us);
/* Marks the endpoint as draining, for good. It can still be fetched from for
 * `leaves_ms`, or for a while if its notice has no time (0). Returns FALSE if
 * it was draining. */
gboolean endpoint_record_draining(endpoint_t *endpoint, gint64 leaves_ms,
                                  gint64 now_us);
/* Requests of all instances that run at the endpoint, and their prompt tokens
 * that are not prefilled yet, as far as they are reported. */
guint endpoint_running(const endpoint_t *endpoint);
guint endpoint_waiting_tokens(const endpoint_t *endpoint);
/* Whether this instance likely has an open connection to the endpoint. */
gboolean endpoint_connected(const endpoint_t *endpoint, gint64 now_us);
/* Records that this instance sends a request there. `waiting_tokens` of its
 * prompt are not cached and have to be prefilled. */
void endpoint_add_request(endpoint_t *endpoint, guint prompt_tokens,
                          guint waiting_tokens);
/* Records that the prefill of the request's prompt ended. */
void endpoint_end_prefill(endpoint_t *endpoint, guint prompt_tokens,
                          guint waiting_tokens);
/* Records that the request ended. */
void endpoint_remove_request(endpoint_t *endpoint, guint prompt_tokens);
/* Whether another endpoint has the endpoint's address, so that its requests
 * would only be refused there. */
gboolean endpoint_is_misplaced(const endpoint_t *endpoint, gint64 now_us);
/* Whether the endpoint is neither in backoff, after failures or refusals, nor
 * misplaced. */
gboolean endpoint_available(const endpoint_t *endpoint, gint64 now_us);
/* Records an outcome in the endpoint's health and starts or ends backoff. */
void endpoint_record_outcome(endpoint_t *endpoint, endpoint_outcome_t outcome,
                             gint64 now_us);
/* Whether the prompt part was recently sent to the endpoint. */
gboolean endpoint_has_part(const endpoint_t *endpoint, guint64 part);

#endif
