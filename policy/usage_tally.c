#include "carobloom/policy/usage_tally.h"

#include <string.h>

struct usage_tally {
    GHashTable *windows; /* guint64 -> GHashTable: team -> guint64 * */
};

usage_tally_t *
usage_tally_create(void)
{
    usage_tally_t *t = g_new0(usage_tally_t, 1);
    t->windows = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                       (GDestroyNotify)g_hash_table_unref);
    return t;
}

void
usage_tally_destroy(usage_tally_t *t)
{
    g_hash_table_unref(t->windows);
    g_free(t);
}

/* Returns a count, created if missing; NULL beyond the maximum number of
 * windows or teams. */
static guint64 *
count_at(usage_tally_t *t, guint64 window, const char *team)
{
    GHashTable *teams = g_hash_table_lookup(t->windows, &window);
    if (teams == NULL) {
        if (g_hash_table_size(t->windows) >= USAGE_WINDOWS_MAX) {
            return NULL;
        }
        teams = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        g_hash_table_insert(t->windows, g_memdup2(&window, sizeof(window)),
                            teams);
    }
    guint64 *count = g_hash_table_lookup(teams, team);
    if (count == NULL && g_hash_table_size(teams) < USAGE_TEAMS_MAX) {
        count = g_new0(guint64, 1);
        g_hash_table_insert(teams, g_strdup(team), count);
    }
    return count;
}

gboolean
usage_tally_add(usage_tally_t *t, guint64 window, const char *team,
                guint64 count)
{
    guint64 *entry = count_at(t, window, team);
    if (entry != NULL) {
        *entry += count;
    }
    return entry != NULL;
}

gboolean
usage_tally_raise(usage_tally_t *t, guint64 window, const char *team,
                  guint64 count)
{
    guint64 *entry = count_at(t, window, team);
    if (entry != NULL) {
        *entry = MAX(*entry, count);
    }
    return entry != NULL;
}

void
usage_tally_add_window(usage_tally_t *t, const usage_tally_t *from,
                       guint64 window)
{
    GHashTable *teams = g_hash_table_lookup(from->windows, &window);
    GHashTableIter iter;
    gpointer team;
    gpointer count;
    if (teams == NULL) {
        return;
    }
    g_hash_table_iter_init(&iter, teams);
    while (g_hash_table_iter_next(&iter, &team, &count)) {
        usage_tally_add(t, window, team, *(guint64 *)count);
    }
}

static gboolean
is_at_or_before(gpointer key, gpointer value, gpointer window)
{
    (void)value;
    return *(guint64 *)key <= *(guint64 *)window;
}

void
usage_tally_drop_through(usage_tally_t *t, guint64 window)
{
    g_hash_table_foreach_remove(t->windows, is_at_or_before, &window);
}

static gint
by_team(gconstpointer a, gconstpointer b)
{
    return strcmp(((const usage_count_t *)a)->team,
                  ((const usage_count_t *)b)->team);
}

usage_window_t *
usage_tally_window(const usage_tally_t *t, guint64 window)
{
    usage_window_t *w = usage_window_create(window);
    GHashTable *teams = g_hash_table_lookup(t->windows, &window);
    GHashTableIter iter;
    gpointer team;
    gpointer count;
    if (teams != NULL) {
        g_hash_table_iter_init(&iter, teams);
        while (g_hash_table_iter_next(&iter, &team, &count)) {
            usage_window_add(w, team, *(guint64 *)count);
        }
        g_array_sort(w->counts, by_team);
    }
    return w;
}

static gint
by_window(gconstpointer a, gconstpointer b)
{
    const usage_window_t *x = *(usage_window_t *const *)a;
    const usage_window_t *y = *(usage_window_t *const *)b;
    return x->window < y->window ? -1 : x->window > y->window;
}

GPtrArray *
usage_tally_windows(const usage_tally_t *t)
{
    GPtrArray *all =
        g_ptr_array_new_with_free_func((GDestroyNotify)usage_window_free);
    GHashTableIter iter;
    gpointer window;
    g_hash_table_iter_init(&iter, t->windows);
    while (g_hash_table_iter_next(&iter, &window, NULL)) {
        g_ptr_array_add(all, usage_tally_window(t, *(guint64 *)window));
    }
    g_ptr_array_sort(all, by_window);
    return all;
}

gboolean
usage_tally_first(const usage_tally_t *t, guint64 *window)
{
    GHashTableIter iter;
    gpointer key;
    gboolean any = FALSE;
    g_hash_table_iter_init(&iter, t->windows);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        guint64 at = *(guint64 *)key;
        *window = any ? MIN(*window, at) : at;
        any = TRUE;
    }
    return any;
}

static void
count_clear(gpointer data)
{
    g_free(((usage_count_t *)data)->team);
}

usage_window_t *
usage_window_create(guint64 window)
{
    usage_window_t *w = g_new0(usage_window_t, 1);
    w->window = window;
    w->counts = g_array_new(FALSE, FALSE, sizeof(usage_count_t));
    g_array_set_clear_func(w->counts, count_clear);
    return w;
}

void
usage_window_add(usage_window_t *w, const char *team, guint64 count)
{
    usage_count_t item = {.team = g_strdup(team), .count = count};
    g_array_append_val(w->counts, item);
}

void
usage_window_free(usage_window_t *w)
{
    g_array_unref(w->counts);
    g_free(w);
}

guint64
usage_window_total(const usage_window_t *w)
{
    guint64 total = 0;
    for (guint i = 0; i < w->counts->len; i++) {
        total += g_array_index(w->counts, usage_count_t, i).count;
    }
    return total;
}
