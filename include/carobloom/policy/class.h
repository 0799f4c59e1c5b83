/* Scheduling parameters of a request class. */
#ifndef CAROBLOOM_POLICY_CLASS_H
#define CAROBLOOM_POLICY_CLASS_H

#include <glib.h>

enum { CLASS_MAX = 64, TIER_COUNT = 6 };

/* One class. Times are in microseconds; tier 0 has the highest priority. */
typedef struct {
    int tier;
    double min_share; /* guaranteed fraction of the pool's slots, 0 to 0.5 */
    double weight;    /* relative to other classes of the tier */
    gint64 first_token_us;    /* latency target */
    gint64 between_tokens_us; /* latency target */
    gint64 deadline_us;       /* maximum wait to start, then refused */
    gint64 max_wait_us;       /* a longer wait raises the priority */
    guint queue_limit;        /* waiting tickets per pool */
    guint typical_tokens;     /* used until enough lengths are recorded */
    gboolean resume;          /* a stream may resume at another endpoint */
    gboolean protect; /* may preempt lower tiers, which are refused first */
} class_spec_t;

#endif
