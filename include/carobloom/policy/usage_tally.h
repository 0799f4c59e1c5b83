/* Requests that began to run, by window of time and team. Pure.
 *
 * Window k begins k lengths of a window after the start of 1970. */
#ifndef CAROBLOOM_POLICY_USAGE_TALLY_H
#define CAROBLOOM_POLICY_USAGE_TALLY_H

#include <glib.h>

enum {
    /* Windows kept: what is due after two windows' time is told by then even
     * when no instance leads for half a minute. */
    USAGE_WINDOWS_MAX = 24,
    USAGE_TEAMS_MAX = 4096, /* in one window */
};

typedef struct {
    char *team;
    guint64 count;
} usage_count_t;

/* One window's counts; freed with usage_window_free. */
typedef struct {
    guint64 window;
    GArray *counts; /* usage_count_t, by name of the team */
} usage_window_t;

typedef struct usage_tally usage_tally_t;

usage_tally_t *usage_tally_create(void);
void usage_tally_destroy(usage_tally_t *tally);
/* What is over the bounds is left out: FALSE. */
gboolean usage_tally_add(usage_tally_t *tally, guint64 window,
                         const char *team, guint64 count);
/* Raises a count to `count`, never lowers it: what is told twice, or late,
 * counts once. */
gboolean usage_tally_raise(usage_tally_t *tally, guint64 window,
                           const char *team, guint64 count);
/* Adds all of one window of `from`. */
void usage_tally_add_window(usage_tally_t *tally, const usage_tally_t *from,
                            guint64 window);
void usage_tally_drop_through(usage_tally_t *tally, guint64 window);
/* usage_window_t * in order, freed with the array. */
GPtrArray *usage_tally_windows(const usage_tally_t *tally);
/* The first window with a count; FALSE when there is none. */
gboolean usage_tally_first(const usage_tally_t *tally, guint64 *window);
/* A window, empty where nothing was counted. */
usage_window_t *usage_tally_window(const usage_tally_t *tally, guint64 window);

usage_window_t *usage_window_create(guint64 window);
void usage_window_add(usage_window_t *window, const char *team, guint64 count);
void usage_window_free(usage_window_t *window);
guint64 usage_window_total(const usage_window_t *window);

#endif
