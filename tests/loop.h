/* A main loop of a test's own, for what runs in instances. */
#ifndef TESTS_LOOP_H
#define TESTS_LOOP_H

#include "carobloom/common/poller.h"
#include "carobloom/common/timers.h"

enum { LOOP_WAIT_US = 5 * 1000 * 1000 };

typedef struct {
    GMainContext *context;
    poller_t *poller;
    timers_t *timers;
} loop_t;

static inline void
loop_turn(gint64 now_us, void *data)
{
    timers_advance(((loop_t *)data)->timers, now_us);
}

static inline void
loop_open(loop_t *loop)
{
    loop->context = g_main_context_new();
    loop->timers = timers_create(g_get_monotonic_time());
    loop->poller = poller_create(loop->context, loop_turn, loop);
}

static inline void
loop_close(loop_t *loop)
{
    poller_destroy(loop->poller);
    timers_destroy(loop->timers);
    g_main_context_unref(loop->context);
}

/* Runs until `*done`, `bound_us` at most. */
static inline gboolean
loop_run(loop_t *loop, const gboolean *done, gint64 bound_us)
{
    gint64 until = g_get_monotonic_time() + bound_us;
    while (!*done && g_get_monotonic_time() < until) {
        if (!g_main_context_iteration(loop->context, FALSE)) {
            g_usleep(500);
        }
        timers_advance(loop->timers, g_get_monotonic_time());
    }
    return *done;
}

/* Runs until `*done`; FALSE if that takes too long. */
static inline gboolean
loop_until(loop_t *loop, const gboolean *done)
{
    return loop_run(loop, done, LOOP_WAIT_US);
}

#endif
