#include "carobloom/policy/usage_book.h"

enum {
    MS = 1000,
    /* After a window's end, for the last reports of it: entry instances tell
     * several times a second, some twice a second where there are hundreds. */
    SETTLE_US = 1500 * MS,
    /* After this instance came to lead, for every entry instance to find it
     * and tell what it counted. */
    GATHER_US = 2500 * MS,
    /* But a window is fixed so long before it is due, whoever has told by
     * then. */
    MARGIN_US = 2500 * MS,
    INCARNATIONS_MAX = 4096,
};

struct usage_book {
    GHashTable *tallies; /* incarnation -> usage_tally_t */
    gint64 began_us;     /* it leads since then */
};

usage_book_t *
usage_book_create(void)
{
    usage_book_t *b = g_new0(usage_book_t, 1);
    b->tallies = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                       (GDestroyNotify)usage_tally_destroy);
    return b;
}

void
usage_book_destroy(usage_book_t *b)
{
    g_hash_table_unref(b->tallies);
    g_free(b);
}

void
usage_book_begin(usage_book_t *b, gint64 wall_us)
{
    g_hash_table_remove_all(b->tallies);
    b->began_us = wall_us;
}

void
usage_book_report(usage_book_t *b, guint64 incarnation,
                  const usage_window_t *window)
{
    usage_tally_t *tally = g_hash_table_lookup(b->tallies, &incarnation);
    if (tally == NULL) {
        if (g_hash_table_size(b->tallies) >= INCARNATIONS_MAX) {
            return;
        }
        tally = usage_tally_create();
        g_hash_table_insert(
            b->tallies, g_memdup2(&incarnation, sizeof(incarnation)), tally);
    }
    for (guint i = 0; i < window->counts->len; i++) {
        const usage_count_t *c =
            &g_array_index(window->counts, usage_count_t, i);
        usage_tally_raise(tally, window->window, c->team, c->count);
    }
}

/* Over all entry instances. */
static usage_tally_t *
sums_of(const usage_book_t *b)
{
    usage_tally_t *sums = usage_tally_create();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, b->tallies);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GPtrArray *windows = usage_tally_windows(value);
        for (guint i = 0; i < windows->len; i++) {
            const usage_window_t *w = windows->pdata[i];
            usage_tally_add_window(sums, value, w->window);
        }
        g_ptr_array_unref(windows);
    }
    return sums;
}

GPtrArray *
usage_book_open(const usage_book_t *b)
{
    usage_tally_t *sums = sums_of(b);
    GPtrArray *windows = usage_tally_windows(sums);
    usage_tally_destroy(sums);
    return windows;
}

static void
drop_fixed(usage_book_t *b, guint64 fixed_through)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, b->tallies);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        usage_tally_drop_through(value, fixed_through);
    }
}

/* The window after the last fixed one; the first that has a count where none
 * is fixed. FALSE when there is none. */
static gboolean
next_window(const usage_book_t *b, guint64 fixed_through, guint64 *window)
{
    if (fixed_through != 0) {
        *window = fixed_through + 1;
        return TRUE;
    }
    GHashTableIter iter;
    gpointer value;
    gboolean any = FALSE;
    g_hash_table_iter_init(&iter, b->tallies);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        guint64 first;
        if (usage_tally_first(value, &first)) {
            *window = any ? MIN(*window, first) : first;
            any = TRUE;
        }
    }
    return any;
}

/* After an outage of more windows than are kept, those that nobody can know
 * of are passed over. */
static guint64
skip_unknown(const usage_book_t *b, const usage_times_t *times,
             guint64 fixed_through, guint64 window, gint64 wall_us)
{
    guint64 now = (guint64)(wall_us / times->window_us);
    guint64 known = window;
    if (fixed_through != 0 && now > window + USAGE_WINDOWS_MAX) {
        gboolean any = next_window(b, 0, &known);
        known = any ? MAX(known, window) : now - USAGE_WINDOWS_MAX;
    }
    return known;
}

usage_window_t *
usage_book_due(usage_book_t *b, const usage_times_t *times,
               guint64 fixed_through, gint64 wall_us)
{
    guint64 window;
    drop_fixed(b, fixed_through);
    if (!next_window(b, fixed_through, &window)) {
        return NULL;
    }
    window = skip_unknown(b, times, fixed_through, window, wall_us);
    gint64 end_us = (gint64)(window + 1) * times->window_us;
    gint64 settled_us = MAX(end_us + SETTLE_US, b->began_us + GATHER_US);
    gint64 latest_us = end_us + MAX(times->due_us - MARGIN_US, SETTLE_US);
    if (wall_us < MIN(settled_us, latest_us)) {
        return NULL;
    }
    usage_tally_t *sums = usage_tally_create();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, b->tallies);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        usage_tally_add_window(sums, value, window);
    }
    usage_window_t *figures = usage_tally_window(sums, window);
    usage_tally_destroy(sums);
    return figures;
}
