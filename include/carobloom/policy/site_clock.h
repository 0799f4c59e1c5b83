/* The time of day of the site, from the clocks of its control instances.
 *
 * One clock may be seconds off or jump; the median of several lies between two
 * that are right as long as fewer than half are wrong. Pure; `now_us` is of a
 * clock that never jumps. */
#ifndef CAROBLOOM_POLICY_SITE_CLOCK_H
#define CAROBLOOM_POLICY_SITE_CLOCK_H

#include <glib.h>

typedef struct site_clock site_clock_t;

site_clock_t *site_clock_create(void);
void site_clock_destroy(site_clock_t *clock);
/* An instance's clock showed `wall_us` (Unix time) as its word came. */
void site_clock_record(site_clock_t *clock, const char *instance,
                       gint64 wall_us, gint64 now_us);
/* Unix time by the median; `own_wall_us` is this instance's own clock. */
gint64 site_clock_wall_us(site_clock_t *clock, gint64 own_wall_us,
                          gint64 now_us);
/* How many clocks count, this instance's own among them. */
guint site_clock_count(const site_clock_t *clock);

#endif
