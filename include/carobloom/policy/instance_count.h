/* How many instances share what all of them must keep together.
 *
 * A control instance that has just started, or lies behind a cut, counts too
 * few; a share of the whole by that count would be too large. So the count
 * rises at once and falls only after it was lower for a while. Pure. */
#ifndef CAROBLOOM_POLICY_INSTANCE_COUNT_H
#define CAROBLOOM_POLICY_INSTANCE_COUNT_H

#include <glib.h>

typedef struct {
    gint64 window_start_us; /* the start of the span of `most` */
    guint window_max;       /* told in this span */
    guint previous_max;     /* told in the one before */
} instance_count_t;

void instance_count_record(instance_count_t *count, guint reported,
                           gint64 now_us);
/* At least 1. */
guint instance_count_get(const instance_count_t *count);
/* The share of one instance in `whole`, at least `least`. */
guint instance_count_share(const instance_count_t *count, guint whole,
                           guint min_share);

#endif
