#include "carobloom/policy/usage_book.h"

enum {
    MS = 1000,
    /* Time after a window's end for its last reports. Entry instances report
     * several times a second, or twice a second where there are hundreds. */
    WINDOW_SETTLE_US = 1500 * MS,
    /* Time after this instance became the leader in which every entry instance
     * finds it and reports its counts. */
    LEADER_SETTLE_US = 2500 * MS,
    /* A window is finalized at the latest this long before its deadline, even
     * if reports are missing. */
    DUE_MARGIN_US = 2500 * MS,
    INCARNATIONS_MAX = 4096,
};

/* One incarnation of an entry instance. */
typedef struct {
    usage_tally_t *tally;
    gint64 reported_us; /* time of its last report, by wall_us; 0: none */
} reporter_t;

struct usage_book {
    GHashTable *reporters;  /* incarnation -> reporter_t */
    gint64 leader_since_us; /* when this instance became the leader */
};

static void
reporter_free(gpointer data)
{
    reporter_t *reporter = data;
    usage_tally_destroy(reporter->tally);
    g_free(reporter);
}

usage_book_t *
usage_book_create(void)
{
    usage_book_t *b = g_new0(usage_book_t, 1);
    b->reporters = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                         reporter_free);
    return b;
}

void
usage_book_destroy(usage_book_t *b)
{
    g_hash_table_unref(b->reporters);
    g_free(b);
}

void
usage_book_start_term(usage_book_t *b, gint64 wall_us)
{
    g_hash_table_remove_all(b->reporters);
    b->leader_since_us = wall_us;
}

/* Returns a reporter, created if missing; NULL when there are too many. */
static reporter_t *
reporter_find(usage_book_t *b, guint64 incarnation)
{
    reporter_t *reporter = g_hash_table_lookup(b->reporters, &incarnation);
    if (reporter == NULL &&
        g_hash_table_size(b->reporters) < INCARNATIONS_MAX) {
        reporter = g_new0(reporter_t, 1);
        reporter->tally = usage_tally_create();
        g_hash_table_insert(b->reporters,
                            g_memdup2(&incarnation, sizeof(incarnation)),
                            reporter);
    }
    return reporter;
}

void
usage_book_record_contact(usage_book_t *b, guint64 incarnation, gint64 wall_us)
{
    reporter_t *reporter = reporter_find(b, incarnation);
    if (reporter != NULL) {
        reporter->reported_us = wall_us;
    }
}

void
usage_book_report(usage_book_t *b, guint64 incarnation,
                  const usage_window_t *window)
{
    reporter_t *reporter = reporter_find(b, incarnation);
    if (reporter == NULL) {
        return;
    }
    for (guint i = 0; i < window->counts->len; i++) {
        const usage_count_t *c =
            &g_array_index(window->counts, usage_count_t, i);
        usage_tally_raise(reporter->tally, window->window, c->team, c->count);
    }
}

/* Returns the sums over all entry instances. */
static usage_tally_t *
sums_of(const usage_book_t *b)
{
    usage_tally_t *sums = usage_tally_create();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, b->reporters);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const reporter_t *reporter = value;
        GPtrArray *windows = usage_tally_windows(reporter->tally);
        for (guint i = 0; i < windows->len; i++) {
            const usage_window_t *w = windows->pdata[i];
            usage_tally_add_window(sums, reporter->tally, w->window);
        }
        g_ptr_array_unref(windows);
    }
    return sums;
}

GPtrArray *
usage_book_pending(const usage_book_t *b)
{
    usage_tally_t *sums = sums_of(b);
    GPtrArray *windows = usage_tally_windows(sums);
    usage_tally_destroy(sums);
    return windows;
}

static void
drop_finalized(usage_book_t *b, guint64 finalized_through)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, b->reporters);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        usage_tally_drop_through(((reporter_t *)value)->tally,
                                 finalized_through);
    }
}

/* Sets `window` to the one after the last finalized window, or to the first
 * window with a count if none is finalized. Returns FALSE if there is no such
 * window. */
static gboolean
next_window(const usage_book_t *b, guint64 finalized_through, guint64 *window)
{
    if (finalized_through != 0) {
        *window = finalized_through + 1;
        return TRUE;
    }
    GHashTableIter iter;
    gpointer value;
    gboolean any = FALSE;
    g_hash_table_iter_init(&iter, b->reporters);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        guint64 first;
        if (usage_tally_first(((reporter_t *)value)->tally, &first)) {
            *window = any ? MIN(*window, first) : first;
            any = TRUE;
        }
    }
    return any;
}

/* After an outage of more windows than are kept, skips the windows that all
 * entry instances have dropped. */
static guint64
skip_unreported(const usage_book_t *b, const usage_schedule_t *schedule,
                guint64 finalized_through, guint64 window, gint64 wall_us)
{
    guint64 now = (guint64)(wall_us / schedule->window_us);
    guint64 next = window;
    if (finalized_through != 0 && now > window + USAGE_WINDOWS_MAX) {
        gboolean any = next_window(b, 0, &next);
        next = any ? MAX(next, window) : now - USAGE_WINDOWS_MAX;
    }
    return next;
}

/* Whether an entry instance reported in this window or the one before, but not
 * since the window's end. Such an instance is cut off or has ended. If it is
 * cut off, it served its callers meanwhile, and reports their requests when it
 * is connected again. */
static gboolean
has_overdue_reporter(const usage_book_t *b, gint64 end_us, gint64 window_us)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, b->reporters);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        gint64 reported_us = ((reporter_t *)value)->reported_us;
        if (reported_us >= end_us - 2 * window_us && reported_us < end_us) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Time from which a window can be finalized. */
static gint64
finalize_time_us(const usage_book_t *b, const usage_schedule_t *schedule,
                 guint64 window)
{
    gint64 end_us = (gint64)(window + 1) * schedule->window_us;
    gint64 latest_us =
        end_us + MAX(schedule->due_us - DUE_MARGIN_US, WINDOW_SETTLE_US);
    if (has_overdue_reporter(b, end_us, schedule->window_us)) {
        return latest_us;
    }
    return MIN(
        MAX(end_us + WINDOW_SETTLE_US, b->leader_since_us + LEADER_SETTLE_US),
        latest_us);
}

usage_window_t *
usage_book_next_final(usage_book_t *b, const usage_schedule_t *schedule,
                      guint64 finalized_through, gint64 wall_us)
{
    guint64 window;
    drop_finalized(b, finalized_through);
    if (!next_window(b, finalized_through, &window)) {
        return NULL;
    }
    window = skip_unreported(b, schedule, finalized_through, window, wall_us);
    if (wall_us < finalize_time_us(b, schedule, window)) {
        return NULL;
    }
    usage_tally_t *sums = usage_tally_create();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, b->reporters);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        usage_tally_add_window(sums, ((reporter_t *)value)->tally, window);
    }
    usage_window_t *figures = usage_tally_window(sums, window);
    usage_tally_destroy(sums);
    return figures;
}
