/* The endpoints of one pool: load, speed, health, and the choice of one.
 *
 * The owner of a pool grants all of its slots, so its own count in flight is
 * exact; a report only adds what others put there, corrected by what was in
 * flight here when the report was taken. Choosing costs O(log n). */
#ifndef CAROBLOOM_POLICY_ENDPOINT_SET_H
#define CAROBLOOM_POLICY_ENDPOINT_SET_H

#include <glib.h>

#include "carobloom/policy/heap.h"

enum {
    ENDPOINT_HISTORY = 32,
    ENDPOINT_SET_PREFIXES_MAX = 65536, /* prefixes remembered a pool */
};

typedef enum {
    ENDPOINT_OK,
    ENDPOINT_SLOW,    /* straggler: takes a part of its slots */
    ENDPOINT_EJECTED, /* failing: nothing until probe_at_us */
    ENDPOINT_PROBING, /* one request at a time */
    ENDPOINT_LEAVING, /* said goodbye or went silent */
} endpoint_health_t;

/* What was in flight here from `at_us` on. */
typedef struct {
    gint64 at_us;
    guint inflight;
} endpoint_sample_t;

typedef struct {
    heap_node_t node; /* in the set's heap, by load */
    guint64 id;
    guint slots;
    guint inflight; /* granted by this owner */
    guint foreign;  /* others' work, from reports */
    endpoint_health_t health;
    double token_us; /* observed time a token of one stream */
    guint samples;
    guint failures; /* in a row */
    gint64 probe_at_us;
    gint64 backoff_us;
    gint64 last_report_us; /* when the last report was taken */
    endpoint_sample_t history[ENDPOINT_HISTORY];
    guint history_next;
} endpoint_state_t;

typedef struct endpoint_set endpoint_set_t;

endpoint_set_t *endpoint_set_create(void);
void endpoint_set_destroy(endpoint_set_t *set);

/* Adds an endpoint or changes its slots. */
void endpoint_set_put(endpoint_set_t *set, guint64 id, guint slots,
                      gint64 now_us);
/* Nothing new is granted; the entry goes when nothing is in flight. */
void endpoint_set_remove(endpoint_set_t *set, guint64 id);
/* A load report taken at `at_us`: streams running and waiting, and the time
 * a token of one stream takes (0 when unknown). */
void endpoint_set_report(endpoint_set_t *set, guint64 id, guint busy,
                         double token_us, gint64 at_us);
/* A cache event: the endpoint holds, or no longer holds, a prefix. */
void endpoint_set_prefix(endpoint_set_t *set, guint64 prefix, guint64 id,
                         gboolean present);

/* Chooses where a request goes; NULL when nothing is free. `healthy_only`
 * leaves out stragglers and those being probed. `avoid` is an endpoint just
 * tried (0 for none); `prefill_us` is what a cached prefix would save and
 * `tokens` the length expected. */
endpoint_state_t *endpoint_set_choose(endpoint_set_t *set,
                                      gboolean healthy_only, guint64 prefix,
                                      guint64 avoid, double prefill_us,
                                      double tokens);
void endpoint_set_acquire(endpoint_set_t *set, endpoint_state_t *endpoint,
                          guint64 prefix, gint64 now_us);
/* One piece of work ended. `token_us` is 0 when not known. */
void endpoint_set_release(endpoint_set_t *set, guint64 id, gboolean failed,
                          double token_us, gint64 now_us);
/* Reconsiders health: stragglers, ejections, probes. */
void endpoint_set_update_health(endpoint_set_t *set, gint64 now_us);

guint endpoint_set_free(const endpoint_set_t *set, gboolean healthy_only);
guint endpoint_set_slots(const endpoint_set_t *set);
guint endpoint_set_count(const endpoint_set_t *set);
const endpoint_state_t *endpoint_set_find(const endpoint_set_t *set,
                                          guint64 id);
typedef void (*endpoint_visit_t)(const endpoint_state_t *endpoint, void *data);
void endpoint_set_each(const endpoint_set_t *set, endpoint_visit_t visit,
                       void *data);
const char *endpoint_health_name(endpoint_health_t health);

#endif
