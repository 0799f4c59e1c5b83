/* Counts of requests that began to run, by time window and team. Pure.
 *
 * Window k begins k window lengths after the start of 1970 (Unix time). */
#ifndef CAROBLOOM_POLICY_USAGE_TALLY_H
#define CAROBLOOM_POLICY_USAGE_TALLY_H

#include <glib.h>

enum {
    /* Windows kept. A report that is due two window lengths after the window's
     * end is still on time after half a minute without a leader. */
    USAGE_WINDOWS_MAX = 24,
    USAGE_TEAMS_MAX = 4096, /* per window */
};

/* Requests of one team in one window. */
typedef struct {
    char *team;
    guint64 count;
} usage_count_t;

/* Counts of one window; freed with usage_window_free. */
typedef struct {
    guint64 window;
    GArray *counts; /* usage_count_t, sorted by team */
} usage_window_t;

typedef struct usage_tally usage_tally_t;

usage_tally_t *usage_tally_create(void);
void usage_tally_destroy(usage_tally_t *tally);
/* Adds to a count. Returns FALSE, and leaves the count out, beyond the maximum
 * number of windows or teams. */
gboolean usage_tally_add(usage_tally_t *tally, guint64 window,
                         const char *team, guint64 count);
/* Raises a count to `count` and never lowers it, so that a repeated or delayed
 * report counts once. Returns FALSE as usage_tally_add does. */
gboolean usage_tally_raise(usage_tally_t *tally, guint64 window,
                           const char *team, guint64 count);
/* Adds the counts of one window of `from`. */
void usage_tally_add_window(usage_tally_t *tally, const usage_tally_t *from,
                            guint64 window);
/* Drops all windows up to and including `window`. */
void usage_tally_drop_through(usage_tally_t *tally, guint64 window);
/* Returns all windows in order; usage_window_t *, freed with the array. */
GPtrArray *usage_tally_windows(const usage_tally_t *tally);
/* Sets `window` to the first window with a count. Returns FALSE if there is
 * none. */
gboolean usage_tally_first(const usage_tally_t *tally, guint64 *window);
/* Returns the counts of a window, empty if nothing was counted. */
usage_window_t *usage_tally_window(const usage_tally_t *tally, guint64 window);

usage_window_t *usage_window_create(guint64 window);
void usage_window_add(usage_window_t *window, const char *team, guint64 count);
void usage_window_free(usage_window_t *window);
/* Sum over all teams. */
guint64 usage_window_total(const usage_window_t *window);

#endif
