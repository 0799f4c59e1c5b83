/* Chooses the endpoint for a request.
 *
 * Each entry instance decides on its own, from its own requests in flight, the
 * prompt parts that endpoints were sent, and the reported loads of the other
 * instances. The instances agree without coordination: all rank the endpoints
 * of a prompt part by the same rendezvous hash, and deviate from that ranking
 * only when the first endpoint is loaded or unhealthy.
 *
 * Reading a long prompt (prefill) delays the tokens of all streams on the same
 * engine. The engines of a service are therefore partitioned, in the same
 * order at all instances: the first ones serve long prompts, the others short
 * prompts. The number of requests that an engine takes is bounded by the
 * requests that all instances have in flight there, so that accepted requests
 * finish in time and the others are rejected at once and can be retried.
 * Pure. */
#ifndef CAROBLOOM_POLICY_PLACEMENT_H
#define CAROBLOOM_POLICY_PLACEMENT_H

#include "carobloom/policy/directory.h"

enum { PLACEMENT_TRIED_MAX = 8 };

/* A part of a prompt. Prompts that begin with the same text share parts. */
typedef struct {
    guint64 id;
    guint tokens;
} prompt_part_t;

typedef struct {
    const prompt_part_t *parts; /* of the prompt, in order */
    guint part_count;
    guint prompt_tokens;
    gboolean partitioned;         /* long prompts have engines of their own */
    double long_fraction;         /* of the engines, for long prompts */
    double long_tokens;           /* of a typical long prompt; 0: unknown */
    gint64 target_ms;             /* objective of the first event; 0: none */
    gint64 short_prompt_pause_ms; /* objective of pauses in streams of short
                                     prompts; 0: none */
    double tokens_per_ms;         /* read by an engine */
    gint64 memory_tokens;         /* held by an engine in total; 0: unknown */
    /* Tokens that an engine fetches from another engine's memory per ms; 0:
     * engines don't fetch. */
    double fetch_tokens_per_ms;
    /* Number of entry instances while the loads of the others are unknown: the
     * load of this instance is multiplied by it to estimate the total. 0 while
     * they are known. */
    guint load_scale;
    slot_rule_t slot_rule;   /* of the service's endpoints, see slot_hold.h */
    const char *data_centre; /* of this instance */
    const endpoint_t *tried[PLACEMENT_TRIED_MAX]; /* not to be chosen again */
    guint tried_count;
    /* Endpoints with a rate limit are not chosen, because the sends granted
     * for them are reserved for more urgent requests. */
    gboolean yields;
    /* Current time for limits and rests of endpoints, whose times come from
     * another clock than `now_us` of placement_pick(): one that includes
     * suspensions. */
    gint64 boot_now_us;
    guint32 draw; /* random; start of the sample of endpoints */
} placement_request_t;

/* Endpoints of the service, counted by the first reason why each of them could
 * not take a request. */
typedef struct {
    guint known;    /* all endpoints of the service */
    guint unusable; /* draining, misplaced, or without a valid lease */
    guint resting;  /* asked for rest that is not over */
    guint tried;    /* already tried by this request */
    guint full;     /* refused a request recently */
    /* Have a rate limit, and either no send is granted or the granted sends
     * are reserved for more urgent requests (`yields`). */
    guint limited;
    guint no_slot;    /* have as many requests as finish in time */
    guint in_backoff; /* failed recently; chosen only when no other is left */
} placement_counts_t;

typedef struct {
    endpoint_t *endpoint; /* NULL when no endpoint can take it */
    /* The most likely cache of the shared parts that `endpoint` lacks; NULL
     * when there is none, or when engines don't fetch. */
    const endpoint_t *source;
    guint read_tokens; /* prompt tokens that `endpoint` has to read */
    /* The endpoint that would have been chosen but for its limit, or NULL. */
    endpoint_t *denied;
    /* Some endpoint is known to cache the part before the shared one. */
    gboolean preceding_cached;
    placement_counts_t counts;
} placement_t;

/* Whether limits announced by endpoints are the main reason for a rejection.
 */
gboolean placement_is_limited(const placement_counts_t *counts);
/* The reason for a rejection, as text for people. */
const char *placement_reason(const placement_counts_t *counts);

/* Chooses the endpoint with the lowest expected cost. */
placement_t placement_pick(const GPtrArray *endpoints,
                           const placement_request_t *request, gint64 now_us);
/* The last part of a prompt that other prompts share, with the total tokens of
 * the parts up to it; 0 when no part is shared. */
prompt_part_t placement_shared_part(const placement_request_t *request);
/* The same for the part before the shared one. */
prompt_part_t placement_preceding_part(const placement_request_t *request);
/* Prompt tokens that `endpoint` would have to read. */
guint placement_unread_tokens(const endpoint_t *endpoint,
                              const placement_request_t *request);

#endif
