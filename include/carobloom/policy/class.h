/* What the decisions need to know of a request class. */
#ifndef CAROBLOOM_POLICY_CLASS_H
#define CAROBLOOM_POLICY_CLASS_H

#include <glib.h>

enum { CLASS_MAX = 64, TIER_COUNT = 6 };

/* One class. Times are in microseconds; tier 0 is the most urgent. */
typedef struct {
    int tier;
    double min_share;         /* of the pool's slots, 0 to 0.5 */
    double weight;            /* against other classes of the tier */
    gint64 first_token_us;    /* latency target */
    gint64 between_tokens_us; /* latency target */
    gint64 deadline_us;       /* longest wait for a start, else refused */
    gint64 max_wait_us;       /* a wait beyond this is aged upwards */
    guint queue_limit;        /* waiting tickets a pool */
    guint typical_tokens;     /* used until lengths are learnt */
    gboolean resume;          /* a stream may go on at another endpoint */
    gboolean protect;         /* may preempt lower tiers; never shed first */
} class_spec_t;

#endif
