/* Time of day of the site, from the clocks of its control instances.
 *
 * A single clock may be seconds off or jump. The median of several clocks lies
 * between two correct ones as long as fewer than half are wrong. Pure;
 * `now_us` is the time of a monotonic clock. */
#ifndef CAROBLOOM_POLICY_SITE_CLOCK_H
#define CAROBLOOM_POLICY_SITE_CLOCK_H

#include <glib.h>

typedef struct site_clock site_clock_t;

site_clock_t *site_clock_create(void);
void site_clock_destroy(site_clock_t *clock);
/* Records that an instance's clock showed `wall_us` (Unix time) in a report
 * received at `now_us`. */
void site_clock_record(site_clock_t *clock, const char *instance,
                       gint64 wall_us, gint64 now_us);
/* Returns the median as Unix time; `own_wall_us` is this instance's own
 * clock. */
gint64 site_clock_wall_us(site_clock_t *clock, gint64 own_wall_us,
                          gint64 now_us);
/* Number of clocks in the median, including this instance's own. */
guint site_clock_count(const site_clock_t *clock);

#endif
