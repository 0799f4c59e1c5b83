/* Endpoints of one pool: their load, speed and health, and the choice of an
 * endpoint for a request.
 *
 * The owner of a pool grants all of its slots, so its own count of requests in
 * flight is exact. A load report only adds the requests that others sent: the
 * reported number less the owner's requests that were in flight when the
 * report was made. Choosing costs O(log n). */
#ifndef CAROBLOOM_POLICY_ENDPOINT_SET_H
#define CAROBLOOM_POLICY_ENDPOINT_SET_H

#include <glib.h>

#include "carobloom/policy/heap.h"

enum {
    ENDPOINT_HISTORY = 32,
    ENDPOINT_SET_PREFIXES_MAX = 65536, /* prefixes remembered per pool */
};

/* Health of an endpoint, which bounds the slots that are used. An endpoint in
 * any state but ENDPOINT_OK is degraded. */
typedef enum {
    ENDPOINT_OK,
    ENDPOINT_SLOW,       /* straggler: only a fraction of its slots is used */
    ENDPOINT_EJECTED,    /* failing: in backoff until recovery_check_at_us */
    ENDPOINT_RECOVERING, /* recovery check: one request at a time */
    ENDPOINT_LEAVING,    /* announced that it leaves, or stopped reporting */
} endpoint_health_t;

/* Requests in flight from `at_us` until the next sample. */
typedef struct {
    gint64 at_us;
    guint inflight;
} endpoint_sample_t;

/* One endpoint of a set. Times are in microseconds. */
typedef struct {
    heap_node_t node; /* in a heap of the set, by load */
    guint64 id;
    guint slots;
    guint inflight; /* requests granted by this owner */
    guint foreign;  /* requests of others, from reports */
    endpoint_health_t health;
    double token_us; /* measured time per token of one stream */
    guint samples;
    guint failures; /* consecutive */
    gint64 recovery_check_at_us;
    gint64 backoff_us;
    gint64 last_report_us; /* time of the last report */
    endpoint_sample_t history[ENDPOINT_HISTORY];
    guint history_next;
} endpoint_state_t;

typedef struct endpoint_set endpoint_set_t;

endpoint_set_t *endpoint_set_create(void);
void endpoint_set_destroy(endpoint_set_t *set);

/* Adds an endpoint or changes its number of slots. */
void endpoint_set_put(endpoint_set_t *set, guint64 id, guint slots,
                      gint64 now_us);
/* Stops grants at an endpoint and removes it once no request is in flight
 * there. */
void endpoint_set_remove(endpoint_set_t *set, guint64 id);
/* Applies a load report made at `at_us`. `busy` is the number of running and
 * waiting streams, `token_us` the time per token of one stream (0 if
 * unknown). */
void endpoint_set_report(endpoint_set_t *set, guint64 id, guint busy,
                         double token_us, gint64 at_us);
/* Applies a cache event: the endpoint caches a prefix, or no longer does. */
void endpoint_set_prefix(endpoint_set_t *set, guint64 prefix, guint64 id,
                         gboolean present);

/* Chooses an endpoint with a free slot for a request; NULL if there is none.
 * `healthy_only` excludes degraded endpoints.
 * `avoid` is an endpoint that just failed the request (0: none), `prefill_us`
 * the time that a cached prefix saves, and `tokens` the expected length of the
 * answer. */
endpoint_state_t *endpoint_set_choose(endpoint_set_t *set,
                                      gboolean healthy_only, guint64 prefix,
                                      guint64 avoid, double prefill_us,
                                      double tokens);
/* Takes a slot of an endpoint for a request with the given prefix. */
void endpoint_set_acquire(endpoint_set_t *set, endpoint_state_t *endpoint,
                          guint64 prefix, gint64 now_us);
/* Frees the slot of a request that ended. `token_us` is its time per token, 0
 * if unknown. */
void endpoint_set_release(endpoint_set_t *set, guint64 id, gboolean failed,
                          double token_us, gint64 now_us);
/* Recomputes the median speed and the health of all endpoints: stragglers,
 * recovered endpoints, and recovery checks after backoff. */
void endpoint_set_update_health(endpoint_set_t *set, gint64 now_us);

/* Free and usable slots, summed over the endpoints. */
guint endpoint_set_free_slots(const endpoint_set_t *set,
                              gboolean healthy_only);
guint endpoint_set_slots(const endpoint_set_t *set);
/* Number of endpoints, whatever their health. */
guint endpoint_set_count(const endpoint_set_t *set);
const endpoint_state_t *endpoint_set_find(const endpoint_set_t *set,
                                          guint64 id);
/* Called by endpoint_set_each for each endpoint, in no particular order. */
typedef void (*endpoint_visit_t)(const endpoint_state_t *endpoint, void *data);
void endpoint_set_each(const endpoint_set_t *set, endpoint_visit_t visit,
                       void *data);
/* Name of a health state, for status output. */
const char *endpoint_health_name(endpoint_health_t health);

#endif
