/* A timer service that parts subscribe to.
 *
 * Pure: it holds no clock. Its owner calls timers_advance with the time, in
 * microseconds of any clock that never goes back; a test passes its own. */
#ifndef CAROBLOOM_COMMON_TIMERS_H
#define CAROBLOOM_COMMON_TIMERS_H

#include <glib.h>

typedef struct timers timers_t;
typedef void (*timer_fn_t)(void *data);

timers_t *timers_create(gint64 now_us);
void timers_destroy(timers_t *timers);
/* Calls `fn` once after `delay_us`, and then every `period_us` if that is
 * above zero. Returns an id for timers_cancel, never 0. */
guint64 timers_subscribe(timers_t *timers, gint64 delay_us, gint64 period_us,
                         timer_fn_t fn, void *data);
void timers_cancel(timers_t *timers, guint64 id);
/* Moves the clock to `now_us` and runs nothing. */
void timers_set_now(timers_t *timers, gint64 now_us);
/* Runs what is due at `now_us`, in order of time; returns how many ran. */
guint timers_advance(timers_t *timers, gint64 now_us);
/* The same for at most so many. What a timer itself moves the clock to is left
 * for later. */
guint timers_advance_some(timers_t *timers, gint64 now_us, guint most);
/* The next due time, or G_MAXINT64. */
gint64 timers_next(const timers_t *timers);
gint64 timers_now(const timers_t *timers);

#endif
