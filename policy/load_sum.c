#include "carobloom/policy/load_sum.h"

enum {
    /* Between two orderings of the sums, for each of them. */
    TOLD_US_AN_ENDPOINT = 20,
    /* What a running request weighs beside prompt tokens that wait to be read:
     * it holds one of the slots, and the steps of those beside it up. */
    RUNNING_TOKENS = 500,
};

typedef struct {
    GArray *loads;
    gint64 at_us;
} report_t;

struct load_sum {
    GHashTable *reports; /* instance -> report_t */
    GHashTable *sums;    /* endpoint -> endpoint_load_t */
    gboolean changed;
    GArray *told; /* the busiest as last ordered, or NULL */
    gint64 told_us;
    gboolean told_changed; /* a report came since */
};

static void
report_free(gpointer data)
{
    report_t *report = data;
    g_array_unref(report->loads);
    g_free(report);
}

load_sum_t *
load_sum_create(void)
{
    load_sum_t *s = g_new0(load_sum_t, 1);
    s->reports =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, report_free);
    s->sums = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    return s;
}

void
load_sum_destroy(load_sum_t *s)
{
    g_hash_table_unref(s->reports);
    g_hash_table_unref(s->sums);
    g_clear_pointer(&s->told, g_array_unref);
    g_free(s);
}

static void
take_out(load_sum_t *s, const GArray *loads)
{
    for (guint i = 0; i < loads->len; i++) {
        const endpoint_load_t *l = &g_array_index(loads, endpoint_load_t, i);
        endpoint_load_t *sum = g_hash_table_lookup(s->sums, &l->endpoint);
        if (sum == NULL) {
            continue;
        }
        sum->running -= MIN(sum->running, l->running);
        sum->prompt_tokens -= MIN(sum->prompt_tokens, l->prompt_tokens);
        sum->waiting_tokens -= MIN(sum->waiting_tokens, l->waiting_tokens);
        sum->long_running -= MIN(sum->long_running, l->long_running);
        sum->long_waiting -= MIN(sum->long_waiting, l->long_waiting);
        if (sum->running == 0) {
            g_hash_table_remove(s->sums, &l->endpoint);
        }
    }
}

static void
put_in(load_sum_t *s, const GArray *loads)
{
    for (guint i = 0; i < loads->len; i++) {
        const endpoint_load_t *l = &g_array_index(loads, endpoint_load_t, i);
        endpoint_load_t *sum = g_hash_table_lookup(s->sums, &l->endpoint);
        if (sum == NULL) {
            sum = g_memdup2(l, sizeof(*l));
            g_hash_table_insert(s->sums, &sum->endpoint, sum);
            continue;
        }
        sum->running += l->running;
        sum->prompt_tokens += l->prompt_tokens;
        sum->waiting_tokens += l->waiting_tokens;
        sum->long_running += l->long_running;
        sum->long_waiting += l->long_waiting;
    }
}

void
load_sum_report(load_sum_t *s, const char *instance, GArray *loads,
                gint64 now_us)
{
    report_t *report = g_hash_table_lookup(s->reports, instance);
    if (report == NULL) {
        report = g_new0(report_t, 1);
        report->loads = g_array_new(FALSE, FALSE, sizeof(endpoint_load_t));
        g_hash_table_insert(s->reports, g_strdup(instance), report);
    }
    take_out(s, report->loads);
    put_in(s, loads);
    g_array_unref(report->loads);
    report->loads = g_array_ref(loads);
    report->at_us = now_us;
    s->changed = TRUE;
    s->told_changed = TRUE;
}

void
load_sum_expire(load_sum_t *s, gint64 oldest_us)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, s->reports);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        report_t *report = value;
        if (report->at_us < oldest_us) {
            take_out(s, report->loads);
            g_hash_table_iter_remove(&iter);
            s->changed = TRUE;
            s->told_changed = TRUE;
        }
    }
}

GArray *
load_sum_all(const load_sum_t *s)
{
    GHashTableIter iter;
    gpointer value;
    GArray *all = g_array_sized_new(FALSE, FALSE, sizeof(endpoint_load_t),
                                    g_hash_table_size(s->sums));
    g_hash_table_iter_init(&iter, s->sums);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        g_array_append_vals(all, value, 1);
    }
    return all;
}

static guint64
weight_of(const endpoint_load_t *l)
{
    return l->waiting_tokens + (guint64)l->running * RUNNING_TOKENS;
}

static gint
compare_busier(gconstpointer a, gconstpointer b)
{
    guint64 x = weight_of(a);
    guint64 y = weight_of(b);
    return x > y ? -1 : x < y;
}

GArray *
load_sum_told(load_sum_t *s, gint64 now_us)
{
    gint64 pause_us = g_hash_table_size(s->sums) * (gint64)TOLD_US_AN_ENDPOINT;
    if (s->told != NULL &&
        (!s->told_changed || now_us - s->told_us < pause_us)) {
        return g_array_ref(s->told);
    }
    g_clear_pointer(&s->told, g_array_unref);
    s->told = load_sum_all(s);
    s->told_us = now_us;
    s->told_changed = FALSE;
    if (s->told->len > LOADS_TOLD_MOST) {
        g_array_sort(s->told, compare_busier);
        g_array_set_size(s->told, LOADS_TOLD_MOST);
    }
    return g_array_ref(s->told);
}

gboolean
load_sum_changed(load_sum_t *s)
{
    gboolean changed = s->changed;
    s->changed = FALSE;
    return changed;
}

guint
load_sum_reporters(const load_sum_t *s)
{
    return g_hash_table_size(s->reports);
}
