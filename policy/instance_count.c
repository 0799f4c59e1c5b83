#include "carobloom/policy/instance_count.h"

/* The estimate falls only after the reported count has been lower for one to
 * two windows. That is longer than a restarted control instance needs to count
 * the instances again, which send requests to it within seconds. A partitioned
 * one counts them again once the partition heals. */
enum { WINDOW_US = 30 * 1000 * 1000 };

void
instance_count_record(instance_count_t *c, guint reported, gint64 now_us)
{
    if (now_us - c->window_start_us >= WINDOW_US) {
        c->previous_max = now_us - c->window_start_us < 2 * (gint64)WINDOW_US
                              ? c->window_max
                              : 0;
        c->window_max = 0;
        c->window_start_us = now_us;
    }
    c->window_max = MAX(c->window_max, reported);
    c->reported_us = now_us;
}

gint64
instance_count_age_ms(const instance_count_t *c, gint64 now_us)
{
    return c->reported_us != 0 ? (now_us - c->reported_us) / 1000 : -1;
}

guint
instance_count_get(const instance_count_t *c)
{
    return MAX(MAX(c->window_max, c->previous_max), 1);
}

guint
instance_count_share(const instance_count_t *c, guint whole, guint min_share)
{
    return MAX(whole / instance_count_get(c), min_share);
}
