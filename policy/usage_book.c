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

/* One start of an entry instance. */
typedef struct {
    usage_tally_t *tally;
    gint64 heard_us; /* its last report, by wall_us; 0: none */
} teller_t;

struct usage_book {
    GHashTable *tellers; /* incarnation -> teller_t */
    gint64 began_us;     /* it leads since then */
};

static void
teller_free(gpointer data)
{
    teller_t *teller = data;
    usage_tally_destroy(teller->tally);
    g_free(teller);
}

usage_book_t *
usage_book_create(void)
{
    usage_book_t *b = g_new0(usage_book_t, 1);
    b->tellers = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                       teller_free);
    return b;
}

void
usage_book_destroy(usage_book_t *b)
{
    g_hash_table_unref(b->tellers);
    g_free(b);
}

void
usage_book_begin(usage_book_t *b, gint64 wall_us)
{
    g_hash_table_remove_all(b->tellers);
    b->began_us = wall_us;
}

/* Made when missing; NULL beyond the bound. */
static teller_t *
teller_of(usage_book_t *b, guint64 incarnation)
{
    teller_t *teller = g_hash_table_lookup(b->tellers, &incarnation);
    if (teller == NULL && g_hash_table_size(b->tellers) < INCARNATIONS_MAX) {
        teller = g_new0(teller_t, 1);
        teller->tally = usage_tally_create();
        g_hash_table_insert(
            b->tellers, g_memdup2(&incarnation, sizeof(incarnation)), teller);
    }
    return teller;
}

void
usage_book_heard(usage_book_t *b, guint64 incarnation, gint64 wall_us)
{
    teller_t *teller = teller_of(b, incarnation);
    if (teller != NULL) {
        teller->heard_us = wall_us;
    }
}

void
usage_book_report(usage_book_t *b, guint64 incarnation,
                  const usage_window_t *window)
{
    teller_t *teller = teller_of(b, incarnation);
    if (teller == NULL) {
        return;
    }
    for (guint i = 0; i < window->counts->len; i++) {
        const usage_count_t *c =
            &g_array_index(window->counts, usage_count_t, i);
        usage_tally_raise(teller->tally, window->window, c->team, c->count);
    }
}

/* Over all entry instances. */
static usage_tally_t *
sums_of(const usage_book_t *b)
{
    usage_tally_t *sums = usage_tally_create();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, b->tellers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const teller_t *teller = value;
        GPtrArray *windows = usage_tally_windows(teller->tally);
        for (guint i = 0; i < windows->len; i++) {
            const usage_window_t *w = windows->pdata[i];
            usage_tally_add_window(sums, teller->tally, w->window);
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
    g_hash_table_iter_init(&iter, b->tellers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        usage_tally_drop_through(((teller_t *)value)->tally, fixed_through);
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
    g_hash_table_iter_init(&iter, b->tellers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        guint64 first;
        if (usage_tally_first(((teller_t *)value)->tally, &first)) {
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

/* Whether an entry instance told something in this window or the one before,
 * and nothing since the window's end: it is cut off, or has ended. Its callers
 * were served meanwhile, and it tells of them when it is back. */
static gboolean
is_awaited(const usage_book_t *b, gint64 end_us, gint64 window_us)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, b->tellers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        gint64 heard_us = ((teller_t *)value)->heard_us;
        if (heard_us >= end_us - 2 * window_us && heard_us < end_us) {
            return TRUE;
        }
    }
    return FALSE;
}

/* When a window can be fixed. */
static gint64
fixed_at(const usage_book_t *b, const usage_times_t *times, guint64 window)
{
    gint64 end_us = (gint64)(window + 1) * times->window_us;
    gint64 latest_us = end_us + MAX(times->due_us - MARGIN_US, SETTLE_US);
    if (is_awaited(b, end_us, times->window_us)) {
        return latest_us;
    }
    return MIN(MAX(end_us + SETTLE_US, b->began_us + GATHER_US), latest_us);
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
    if (wall_us < fixed_at(b, times, window)) {
        return NULL;
    }
    usage_tally_t *sums = usage_tally_create();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, b->tellers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        usage_tally_add_window(sums, ((teller_t *)value)->tally, window);
    }
    usage_window_t *figures = usage_tally_window(sums, window);
    usage_tally_destroy(sums);
    return figures;
}
