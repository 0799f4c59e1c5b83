#include "fleet_repeats.h"

static gint
compare_moments(gconstpointer a, gconstpointer b)
{
    gint64 x = ((const fleet_moment_t *)a)->at_us;
    gint64 y = ((const fleet_moment_t *)b)->at_us;
    return x < y ? -1 : x > y;
}

static GArray *
all_arrivals(const fleet_t *f)
{
    GArray *all = g_array_new(FALSE, FALSE, sizeof(fleet_moment_t));
    for (guint i = 0; i < f->count; i++) {
        if (f->processes[i].role != FLEET_ENDPOINT) {
            continue;
        }
        GArray *found = fleet_moments(&f->processes[i], "arrived");
        for (guint k = 0; k < found->len; k++) {
            fleet_moment_t *m = &g_array_index(found, fleet_moment_t, k);
            fleet_moment_t moved = *m;
            m->request = NULL;
            g_array_append_val(all, moved);
        }
        g_array_unref(found);
    }
    g_array_sort(all, compare_moments);
    return all;
}

GArray *
fleet_repeat_times(const fleet_t *f)
{
    GArray *arrivals = all_arrivals(f);
    GArray *repeats = g_array_new(FALSE, FALSE, sizeof(gint64));
    GHashTable *seen =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (guint i = 0; i < arrivals->len; i++) {
        const fleet_moment_t *m = &g_array_index(arrivals, fleet_moment_t, i);
        if (m->request[0] == '\0') { /* a probe */
            g_free(m->request);
        }
        else if (!g_hash_table_add(seen, m->request)) {
            g_array_append_val(repeats, m->at_us);
        }
    }
    g_hash_table_unref(seen);
    g_array_unref(arrivals);
    return repeats;
}

/* The number of times in [from_us, until_us). */
static guint
count_between(const GArray *times, gint64 from_us, gint64 until_us)
{
    guint bounds[2];
    const gint64 at[2] = {from_us, until_us};
    for (guint i = 0; i < 2; i++) {
        guint low = 0;
        guint high = times->len;
        while (low < high) {
            guint middle = (low + high) / 2;
            if (g_array_index(times, gint64, middle) < at[i]) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        bounds[i] = low;
    }
    return bounds[1] - bounds[0];
}

/* The window that begins at `from_us`. */
static repeats_window_t
window_from(const GArray *repeats, const GArray *requests,
            const repeats_rule_t *rule, gint64 from_us)
{
    gint64 window_us = REPEATS_WINDOW_MS * 1000;
    guint asked = 0;
    for (guint half = 0; half <= 2; half++) {
        gint64 start_us = from_us - half * window_us / 2;
        asked = MAX(asked,
                    count_between(requests, start_us, start_us + window_us));
    }
    return (repeats_window_t){
        .from_us = from_us,
        .repeats = count_between(repeats, from_us, from_us + window_us),
        .allowed = rule->ratio * asked + rule->slack,
    };
}

static gint
compare_times(gconstpointer a, gconstpointer b)
{
    gint64 x = *(const gint64 *)a;
    gint64 y = *(const gint64 *)b;
    return x < y ? -1 : x > y;
}

repeats_window_t
repeats_worst(const GArray *repeats, GArray *requests,
              const repeats_rule_t *rule)
{
    repeats_window_t worst = {.allowed = rule->slack};
    g_array_sort(requests, compare_times);
    for (guint i = 0; i < repeats->len; i++) {
        repeats_window_t w = window_from(repeats, requests, rule,
                                         g_array_index(repeats, gint64, i));
        gboolean is_worse =
            w.repeats - w.allowed > worst.repeats - worst.allowed;
        if (worst.repeats == 0 || is_worse) {
            worst = w;
        }
    }
    return worst;
}
