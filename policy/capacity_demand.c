#include "carobloom/policy/capacity_demand.h"

#include <math.h>

enum {
    /* An entry instance without a report for this long has ended or is cut
     * off, and its callers have moved to other instances. */
    REPORT_TIMEOUT_US = 2 * G_USEC_PER_SEC,
};

/* Time constant of the rates: a third of the time that an engine takes to
 * start. */
static const double RATE_TIME_CONSTANT_US = 700 * 1000;

/* Last report of one incarnation of an entry instance on a service. */
typedef struct {
    service_work_t last; /* `service` is NULL: it is the table's key */
    double arrived;      /* rates per second */
    double turned_away;
    double read_tokens;
    gint64 reported_us;
} reporter_t;

struct capacity_demand {
    GHashTable *services; /* name -> GHashTable: incarnation -> reporter_t */
};

capacity_demand_t *
capacity_demand_create(void)
{
    capacity_demand_t *d = g_new0(capacity_demand_t, 1);
    d->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                        (GDestroyNotify)g_hash_table_unref);
    return d;
}

void
capacity_demand_destroy(capacity_demand_t *d)
{
    g_hash_table_unref(d->services);
    g_free(d);
}

static reporter_t *
reporter_find(capacity_demand_t *d, const char *service, guint64 incarnation)
{
    GHashTable *reporters = g_hash_table_lookup(d->services, service);
    if (reporters == NULL) {
        reporters =
            g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
        g_hash_table_insert(d->services, g_strdup(service), reporters);
    }
    reporter_t *r = g_hash_table_lookup(reporters, &incarnation);
    if (r == NULL) {
        r = g_new0(reporter_t, 1);
        g_hash_table_insert(reporters,
                            g_memdup2(&incarnation, sizeof(incarnation)), r);
    }
    return r;
}

static void
rate_update(double *rate, guint64 before, guint64 now, gint64 us)
{
    double sample = (double)(now - MIN(before, now)) * G_USEC_PER_SEC / us;
    *rate += (1 - exp(-(double)us / RATE_TIME_CONSTANT_US)) * (sample - *rate);
}

void
capacity_demand_record(capacity_demand_t *d, guint64 incarnation,
                       const service_work_t *work, gint64 now_us)
{
    reporter_t *r = reporter_find(d, work->service, incarnation);
    gint64 since_us = now_us - r->reported_us;
    if (r->reported_us != 0 && since_us > 0) {
        rate_update(&r->arrived, r->last.arrived, work->arrived, since_us);
        rate_update(&r->turned_away, r->last.turned_away, work->turned_away,
                    since_us);
        rate_update(&r->read_tokens, r->last.read_tokens, work->read_tokens,
                    since_us);
    }
    r->last = *work;
    r->last.service = NULL;
    r->reported_us = now_us;
}

service_demand_t
capacity_demand_sum(const capacity_demand_t *d, const char *service,
                    gint64 now_us)
{
    service_demand_t sum = {0};
    GHashTable *reporters = g_hash_table_lookup(d->services, service);
    GHashTableIter iter;
    gpointer value;
    if (reporters == NULL) {
        return sum;
    }
    g_hash_table_iter_init(&iter, reporters);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const reporter_t *r = value;
        if (now_us - r->reported_us > REPORT_TIMEOUT_US) {
            continue;
        }
        sum.reporters++;
        sum.running += r->last.running;
        sum.arrived += r->arrived;
        sum.turned_away += r->turned_away;
        sum.read_tokens += r->read_tokens;
        sum.tokens_per_ms += r->last.tokens_per_ms;
    }
    sum.tokens_per_ms /= MAX(sum.reporters, 1);
    return sum;
}

void
capacity_demand_expire(capacity_demand_t *d, gint64 now_us)
{
    GHashTableIter services;
    gpointer reporters;
    g_hash_table_iter_init(&services, d->services);
    while (g_hash_table_iter_next(&services, NULL, &reporters)) {
        GHashTableIter iter;
        gpointer value;
        g_hash_table_iter_init(&iter, reporters);
        while (g_hash_table_iter_next(&iter, NULL, &value)) {
            if (now_us - ((reporter_t *)value)->reported_us >
                REPORT_TIMEOUT_US) {
                g_hash_table_iter_remove(&iter);
            }
        }
    }
}
