/* Estimates how many instances share a common limit.
 *
 * A control instance that has just started or is partitioned counts too few
 * instances, and shares computed from that count would be too large. The
 * estimate therefore rises at once and falls only after the reported count has
 * been lower for a while. Pure. */
#ifndef CAROBLOOM_POLICY_INSTANCE_COUNT_H
#define CAROBLOOM_POLICY_INSTANCE_COUNT_H

#include <glib.h>

typedef struct {
    gint64 window_start_us;
    guint window_max;   /* highest count reported in this window */
    guint previous_max; /* the same of the previous window */
    gint64 reported_us; /* time of the last report; 0: none yet */
} instance_count_t;

/* Records the count that a control instance reported. */
void instance_count_record(instance_count_t *count, guint reported,
                           gint64 now_us);
/* Returns the estimated number of instances, at least 1. */
guint instance_count_get(const instance_count_t *count);
/* Returns the time since the last report in ms, or -1 if there was none. */
gint64 instance_count_age_ms(const instance_count_t *count, gint64 now_us);
/* Returns the share of one instance in `whole`, at least `min_share`. */
guint instance_count_share(const instance_count_t *count, guint whole,
                           guint min_share);

#endif
