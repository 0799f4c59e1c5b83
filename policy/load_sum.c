#include "carobloom/policy/load_sum.h"

enum {
    /* Minimum time between two sorts of the sums, per endpoint. */
    BUSIEST_INTERVAL_US_PER_ENDPOINT = 20,
    /* Weight of a running request, in prompt tokens that wait to be read: the
     * request occupies a slot and slows the steps of the requests beside
     * it. */
    RUNNING_REQUEST_TOKENS = 500,
};

typedef struct {
    GArray *loads; /* sorted by endpoint if the instance sends changes */
    guint64 sequence;
    gint64 received_us;
} report_t;

struct load_sum {
    GHashTable *reports; /* instance -> report_t */
    GHashTable *sums;    /* endpoint -> endpoint_load_t */
    gboolean changed;
    GArray *busiest; /* result of the last sort, or NULL */
    gint64 busiest_us;
    gboolean busiest_outdated; /* a report changed since */
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
    g_clear_pointer(&s->busiest, g_array_unref);
    g_free(s);
}

static void
subtract_loads(load_sum_t *s, const GArray *loads)
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
add_loads(load_sum_t *s, const GArray *loads)
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
report_get(load_sum_t *s, const char *instance)
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
report_record(load_sum_t *s, report_t *report, guint64 sequence, gint64 now_us)
{
    report->sequence = sequence;
    report->received_us = now_us;
    s->changed = TRUE;
    s->busiest_outdated = TRUE;
}

void
load_sum_report(load_sum_t *s, const char *instance, GArray *loads,
                gint64 now_us)
{
    report_t *report = report_get(s, instance);
    subtract_loads(s, report->loads);
    add_loads(s, loads);
    g_array_unref(report->loads);
    report->loads = g_array_ref(loads);
    report_record(s, report, 0, now_us);
}

static gint
compare_endpoints(gconstpointer a, gconstpointer b)
{
    guint64 x = ((const endpoint_load_t *)a)->endpoint;
    guint64 y = ((const endpoint_load_t *)b)->endpoint;
    return x < y ? -1 : x > y;
}

/* Changes to a report: the changed loads before and after, and all loads
 * after. */
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
    guint next = 0;
    for (guint i = 0; i < changes->len; i++) {
        const endpoint_load_t *change =
            &g_array_index(changes, endpoint_load_t, i);
        const endpoint_load_t *l = NULL;
        while (next < loads->len &&
               (l = &g_array_index(loads, endpoint_load_t, next))->endpoint <
                   change->endpoint) {
            g_array_append_vals(c.all, l, 1);
            next++;
        }
        if (next < loads->len && l->endpoint == change->endpoint) {
            g_array_append_vals(c.before, l, 1);
            next++;
        }
        if (change->running > 0) {
            g_array_append_vals(c.after, change, 1);
            g_array_append_vals(c.all, change, 1);
        }
    }
    if (next < loads->len) {
        g_array_append_vals(c.all,
                            &g_array_index(loads, endpoint_load_t, next),
                            loads->len - next);
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
    report_t *report = report_get(s, instance);
    if (base == 0) {
        subtract_loads(s, report->loads);
        g_array_set_size(report->loads, 0);
    }
    report_change_t c = report_change(report->loads, changes);
    subtract_loads(s, c.before);
    add_loads(s, c.after);
    g_array_unref(report->loads);
    report->loads = c.all;
    g_array_unref(c.before);
    g_array_unref(c.after);
    report_record(s, report, sequence, now_us);
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
        if (report->received_us < oldest_us) {
            subtract_loads(s, report->loads);
            g_hash_table_iter_remove(&iter);
            s->changed = TRUE;
            s->busiest_outdated = TRUE;
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
load_weight(const endpoint_load_t *l)
{
    return l->waiting_tokens + (guint64)l->running * RUNNING_REQUEST_TOKENS;
}

static gint
compare_weights(gconstpointer a, gconstpointer b)
{
    guint64 x = load_weight(a);
    guint64 y = load_weight(b);
    return x > y ? -1 : x < y;
}

GArray *
load_sum_busiest(load_sum_t *s, gint64 now_us)
{
    gint64 interval_us =
        g_hash_table_size(s->sums) * (gint64)BUSIEST_INTERVAL_US_PER_ENDPOINT;
    if (s->busiest != NULL &&
        (!s->busiest_outdated || now_us - s->busiest_us < interval_us)) {
        return g_array_ref(s->busiest);
    }
    g_clear_pointer(&s->busiest, g_array_unref);
    s->busiest = load_sum_all(s);
    s->busiest_us = now_us;
    s->busiest_outdated = FALSE;
    if (s->busiest->len > BUSIEST_LOADS_MAX) {
        g_array_sort(s->busiest, compare_weights);
        g_array_set_size(s->busiest, BUSIEST_LOADS_MAX);
    }
    return g_array_ref(s->busiest);
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
