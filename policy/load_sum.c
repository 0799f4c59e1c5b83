#include "carobloom/policy/load_sum.h"

enum {
    /* Between two orderings of the sums, for each of them. */
    TOLD_US_AN_ENDPOINT = 20,
    /* What a running request weighs beside prompt tokens that wait to be read:
     * it holds one of the slots, and the steps of those beside it up. */
    RUNNING_TOKENS = 500,
};

typedef struct {
    GArray *loads; /* of one that tells changes: in order of endpoints */
    guint64 sequence;
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

gboolean
endpoint_load_equal(const endpoint_load_t *a, const endpoint_load_t *b)
{
    return a->endpoint == b->endpoint && a->running == b->running &&
           a->prompt_tokens == b->prompt_tokens &&
           a->waiting_tokens == b->waiting_tokens &&
           a->long_running == b->long_running &&
           a->long_waiting == b->long_waiting;
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

static report_t *
report_of(load_sum_t *s, const char *instance)
{
    report_t *report = g_hash_table_lookup(s->reports, instance);
    if (report == NULL) {
        report = g_new0(report_t, 1);
        report->loads = g_array_new(FALSE, FALSE, sizeof(endpoint_load_t));
        g_hash_table_insert(s->reports, g_strdup(instance), report);
    }
    return report;
}

static void
report_note(load_sum_t *s, report_t *report, guint64 sequence, gint64 now_us)
{
    report->sequence = sequence;
    report->at_us = now_us;
    s->changed = TRUE;
    s->told_changed = TRUE;
}

void
load_sum_report(load_sum_t *s, const char *instance, GArray *loads,
                gint64 now_us)
{
    report_t *report = report_of(s, instance);
    take_out(s, report->loads);
    put_in(s, loads);
    g_array_unref(report->loads);
    report->loads = g_array_ref(loads);
    report_note(s, report, 0, now_us);
}

static gint
compare_endpoints(gconstpointer a, gconstpointer b)
{
    guint64 x = ((const endpoint_load_t *)a)->endpoint;
    guint64 y = ((const endpoint_load_t *)b)->endpoint;
    return x < y ? -1 : x > y;
}

/* What changes of a report: its loads before and after, and all after. */
typedef struct {
    GArray *before;
    GArray *after;
    GArray *all;
} report_change_t;

static report_change_t
report_change(const GArray *loads, const GArray *changes)
{
    report_change_t c = {
        .before = g_array_new(FALSE, FALSE, sizeof(endpoint_load_t)),
        .after = g_array_new(FALSE, FALSE, sizeof(endpoint_load_t)),
        .all = g_array_sized_new(FALSE, FALSE, sizeof(endpoint_load_t),
                                 loads->len + changes->len),
    };
    guint at = 0;
    for (guint i = 0; i < changes->len; i++) {
        const endpoint_load_t *change =
            &g_array_index(changes, endpoint_load_t, i);
        const endpoint_load_t *l = NULL;
        while (at < loads->len &&
               (l = &g_array_index(loads, endpoint_load_t, at))->endpoint <
                   change->endpoint) {
            g_array_append_vals(c.all, l, 1);
            at++;
        }
        if (at < loads->len && l->endpoint == change->endpoint) {
            g_array_append_vals(c.before, l, 1);
            at++;
        }
        if (change->running > 0) {
            g_array_append_vals(c.after, change, 1);
            g_array_append_vals(c.all, change, 1);
        }
    }
    if (at < loads->len) {
        g_array_append_vals(c.all, &g_array_index(loads, endpoint_load_t, at),
                            loads->len - at);
    }
    return c;
}

gboolean
load_sum_apply_changes(load_sum_t *s, const char *instance,
                       const GArray *changes, guint64 sequence, guint64 base,
                       gint64 now_us)
{
    const report_t *known = g_hash_table_lookup(s->reports, instance);
    if (base != 0 && (known == NULL || known->sequence != base)) {
        return FALSE;
    }
    report_t *report = report_of(s, instance);
    if (base == 0) {
        take_out(s, report->loads);
        g_array_set_size(report->loads, 0);
    }
    report_change_t c = report_change(report->loads, changes);
    take_out(s, c.before);
    put_in(s, c.after);
    g_array_unref(report->loads);
    report->loads = c.all;
    g_array_unref(c.before);
    g_array_unref(c.after);
    report_note(s, report, sequence, now_us);
    return TRUE;
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

GArray *
load_sum_sorted(const load_sum_t *s)
{
    GArray *all = load_sum_all(s);
    g_array_sort(all, compare_endpoints);
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
load_sum_busiest(load_sum_t *s, gint64 now_us)
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
    if (s->told->len > BUSIEST_LOADS_MAX) {
        g_array_sort(s->told, compare_busier);
        g_array_set_size(s->told, BUSIEST_LOADS_MAX);
    }
    return g_array_ref(s->told);
}

gboolean
load_sum_clear_changed(load_sum_t *s)
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
