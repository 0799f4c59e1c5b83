#include "carobloom/common/counters.h"

#include <stdatomic.h>

static const double BOUNDS[] = {0.001, 0.0025, 0.005, 0.01, 0.025, 0.05,
                                0.1,   0.25,   0.5,   1,    2.5,   5,
                                10,    30,     60,    120,  300,   600};
enum { BOUND_COUNT = G_N_ELEMENTS(BOUNDS) };

struct counter {
    char *family;
    char *label;
    gboolean gauge;
    _Atomic gint64 value;
};

struct histogram {
    char *family;
    char *label;
    _Atomic gint64 buckets[BOUND_COUNT + 1];
    _Atomic gint64 sum_us;
};

static GMutex lock;
static GPtrArray *counters;
static GPtrArray *histograms;

counter_t *
counter_get(const char *family, const char *label, gboolean gauge)
{
    g_mutex_lock(&lock);
    if (counters == NULL) {
        counters = g_ptr_array_new();
    }
    for (guint i = 0; i < counters->len; i++) {
        counter_t *c = counters->pdata[i];
        if (g_str_equal(c->family, family) &&
            g_strcmp0(c->label, label) == 0) {
            g_mutex_unlock(&lock);
            return c;
        }
    }
    counter_t *c = g_new0(counter_t, 1);
    c->family = g_strdup(family);
    c->label = g_strdup(label);
    c->gauge = gauge;
    g_ptr_array_add(counters, c);
    g_mutex_unlock(&lock);
    return c;
}

void
counter_add(counter_t *counter, gint64 amount)
{
    atomic_fetch_add_explicit(&counter->value, amount, memory_order_relaxed);
}

void
counter_set(counter_t *counter, gint64 value)
{
    atomic_store_explicit(&counter->value, value, memory_order_relaxed);
}

gint64
counter_value(const counter_t *counter)
{
    return atomic_load_explicit(&counter->value, memory_order_relaxed);
}

histogram_t *
histogram_get(const char *family, const char *label)
{
    g_mutex_lock(&lock);
    if (histograms == NULL) {
        histograms = g_ptr_array_new();
    }
    for (guint i = 0; i < histograms->len; i++) {
        histogram_t *h = histograms->pdata[i];
        if (g_str_equal(h->family, family) &&
            g_strcmp0(h->label, label) == 0) {
            g_mutex_unlock(&lock);
            return h;
        }
    }
    histogram_t *h = g_new0(histogram_t, 1);
    h->family = g_strdup(family);
    h->label = g_strdup(label);
    g_ptr_array_add(histograms, h);
    g_mutex_unlock(&lock);
    return h;
}

void
histogram_add(histogram_t *histogram, double seconds)
{
    guint i = 0;
    while (i < BOUND_COUNT && seconds > BOUNDS[i]) {
        i++;
    }
    atomic_fetch_add_explicit(&histogram->buckets[i], 1, memory_order_relaxed);
    atomic_fetch_add_explicit(&histogram->sum_us, (gint64)(seconds * 1e6),
                              memory_order_relaxed);
}

static void
append_counter(GString *out, const counter_t *c, const char *previous)
{
    if (g_strcmp0(previous, c->family) != 0) {
        g_string_append_printf(out, "# TYPE carobloom_%s %s\n", c->family,
                               c->gauge ? "gauge" : "counter");
    }
    g_string_append_printf(out, "carobloom_%s", c->family);
    if (c->label) {
        g_string_append_printf(out, "{%s}", c->label);
    }
    g_string_append_printf(out, " %" G_GINT64_FORMAT "\n", counter_value(c));
}

static void
append_histogram(GString *out, histogram_t *h, const char *previous)
{
    if (g_strcmp0(previous, h->family) != 0) {
        g_string_append_printf(out, "# TYPE carobloom_%s histogram\n",
                               h->family);
    }
    const char *label = h->label ? h->label : "";
    const char *comma = h->label ? "," : "";
    gint64 total = 0;
    for (guint i = 0; i <= BOUND_COUNT; i++) {
        total += h->buckets[i];
        char bound[32] = "+Inf";
        if (i < BOUND_COUNT) {
            g_ascii_formatd(bound, sizeof(bound), "%g", BOUNDS[i]);
        }
        g_string_append_printf(out,
                               "carobloom_%s_bucket{%s%sle=\"%s\"} "
                               "%" G_GINT64_FORMAT "\n",
                               h->family, label, comma, bound, total);
    }
    g_string_append_printf(out, "carobloom_%s_sum{%s} %.6f\n", h->family,
                           label, (double)h->sum_us / 1e6);
    g_string_append_printf(out,
                           "carobloom_%s_count{%s} %" G_GINT64_FORMAT "\n",
                           h->family, label, total);
}

static gint
by_family(gconstpointer a, gconstpointer b)
{
    const counter_t *x = *(const counter_t *const *)a;
    const counter_t *y = *(const counter_t *const *)b;
    int order = g_strcmp0(x->family, y->family);
    return order ? order : g_strcmp0(x->label, y->label);
}

char *
counters_text(void)
{
    GString *out = g_string_new(NULL);
    g_mutex_lock(&lock);
    if (counters) {
        g_ptr_array_sort(counters, by_family);
    }
    const char *previous = NULL;
    for (guint i = 0; counters && i < counters->len; i++) {
        counter_t *c = counters->pdata[i];
        append_counter(out, c, previous);
        previous = c->family;
    }
    previous = NULL;
    for (guint i = 0; histograms && i < histograms->len; i++) {
        histogram_t *h = histograms->pdata[i];
        append_histogram(out, h, previous);
        previous = h->family;
    }
    g_mutex_unlock(&lock);
    return g_string_free(out, FALSE);
}
