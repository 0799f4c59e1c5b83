#include "carobloom/gateway/crash_wire.h"

#include "carobloom/common/codec.h"

#define RUNS_TYPE "a(tyat)"
#define ENDS_TYPE "a(ssx" RUNS_TYPE ")"
#define REPORT_TYPE "(" ENDS_TYPE "at)"
#define FILE_TYPE "(x" QUARANTINE_ORDERS_TYPE ")"

static void
end_clear(gpointer end)
{
    endpoint_end_clear(end);
}

void
crash_report_init(crash_report_t *r)
{
    r->ends = g_array_new(FALSE, FALSE, sizeof(endpoint_end_t));
    g_array_set_clear_func(r->ends, end_clear);
    r->answered = g_array_new(FALSE, FALSE, sizeof(guint64));
}

void
crash_report_clear(crash_report_t *r)
{
    g_clear_pointer(&r->ends, g_array_unref);
    g_clear_pointer(&r->answered, g_array_unref);
}

static GVariant *
numbers_variant(const GArray *list)
{
    return g_variant_new_fixed_array(
        G_VARIANT_TYPE_UINT64, list != NULL ? list->data : NULL,
        list != NULL ? list->len : 0, sizeof(guint64));
}

static GVariant *
runs_variant(const GArray *runs)
{
    GVariantBuilder b;
    g_variant_builder_init(&b, G_VARIANT_TYPE(RUNS_TYPE));
    for (guint i = 0; i < runs->len; i++) {
        const interrupted_run_t *run =
            &g_array_index(runs, interrupted_run_t, i);
        g_variant_builder_add(&b, "(ty@at)", run->fingerprint,
                              (guchar)run->stage, numbers_variant(run->parts));
    }
    return g_variant_builder_end(&b);
}

GBytes *
crash_report_write(const crash_report_t *r)
{
    GVariantBuilder ends;
    g_variant_builder_init(&ends, G_VARIANT_TYPE(ENDS_TYPE));
    for (guint i = 0; i < r->ends->len; i++) {
        const endpoint_end_t *end = &g_array_index(r->ends, endpoint_end_t, i);
        g_variant_builder_add(&ends, "(ssx@" RUNS_TYPE ")", end->endpoint,
                              end->service, end->started_ms,
                              runs_variant(end->runs));
    }
    return codec_write(g_variant_new("(@" ENDS_TYPE "@at)",
                                     g_variant_builder_end(&ends),
                                     numbers_variant(r->answered)));
}

/* Returns a new array, or NULL for an empty list. */
static GArray *
parts_read(GVariant *list)
{
    gsize count;
    GArray *parts = NULL;
    const guint64 *ids =
        g_variant_get_fixed_array(list, &count, sizeof(guint64));
    if (count > 0) {
        parts = g_array_new(FALSE, FALSE, sizeof(guint64));
        g_array_append_vals(parts, ids, (guint)count);
    }
    g_variant_unref(list);
    return parts;
}

/* Returns FALSE if a stage is invalid or there are too many runs. */
static gboolean
runs_read(GVariant *list, endpoint_end_t *end)
{
    GVariantIter iter;
    guint64 fingerprint;
    guchar stage;
    GVariant *parts;
    gboolean valid = g_variant_iter_init(&iter, list) <= ENDPOINT_RUNS_MAX;
    while (valid && g_variant_iter_next(&iter, "(ty@at)", &fingerprint, &stage,
                                        &parts)) {
        interrupted_run_t run = {.fingerprint = fingerprint,
                                 .stage = (run_stage_t)stage,
                                 .parts = parts_read(parts)};
        valid = stage < RUN_STAGE_COUNT;
        endpoint_end_add(end, run);
        g_clear_pointer(&run.parts, g_array_unref);
    }
    g_variant_unref(list);
    return valid;
}

static gboolean
ends_read(GVariant *list, crash_report_t *r)
{
    GVariantIter iter;
    const char *endpoint;
    const char *service;
    gint64 started_ms;
    GVariant *runs;
    gboolean valid = g_variant_iter_init(&iter, list) <= CRASH_REPORT_ENDS_MAX;
    while (valid &&
           g_variant_iter_next(&iter, "(&s&sx@" RUNS_TYPE ")", &endpoint,
                               &service, &started_ms, &runs)) {
        endpoint_end_t end;
        endpoint_end_init(&end, endpoint, service, started_ms);
        valid = runs_read(runs, &end);
        g_array_append_val(r->ends, end);
    }
    g_variant_unref(list);
    return valid;
}

static gboolean
answered_read(GVariant *list, crash_report_t *r)
{
    gsize count;
    const guint64 *fingerprints =
        g_variant_get_fixed_array(list, &count, sizeof(guint64));
    gboolean valid = count <= CRASH_REPORT_ANSWERED_MAX;
    if (valid) {
        g_array_append_vals(r->answered, fingerprints, (guint)count);
    }
    g_variant_unref(list);
    return valid;
}

gboolean
crash_report_read(GBytes *bytes, crash_report_t *r)
{
    *r = (crash_report_t){0};
    GVariant *v = codec_read(bytes, REPORT_TYPE);
    if (v == NULL) {
        return FALSE;
    }
    GVariant *ends;
    GVariant *answered;
    crash_report_init(r);
    g_variant_get(v, "(@" ENDS_TYPE "@at)", &ends, &answered);
    gboolean valid = ends_read(ends, r);
    valid = answered_read(answered, r) && valid;
    g_variant_unref(v);
    if (!valid) {
        crash_report_clear(r);
    }
    return valid;
}

GVariant *
quarantine_orders_variant(const GArray *orders)
{
    GVariantBuilder b;
    g_variant_builder_init(&b, G_VARIANT_TYPE(QUARANTINE_ORDERS_TYPE));
    for (guint i = 0; orders != NULL && i < orders->len; i++) {
        const quarantine_order_t *o =
            &g_array_index(orders, quarantine_order_t, i);
        g_variant_builder_add(
            &b, "(tstbbxxsubus)", o->fingerprint,
            o->service != NULL ? o->service : "", o->part, o->watch_only,
            o->releases, o->left_us, o->since_us, o->endpoints, o->ends,
            o->uncertain, o->probe,
            o->probe_instance != NULL ? o->probe_instance : "");
    }
    return g_variant_builder_end(&b);
}

GArray *
quarantine_orders_read(GVariant *list)
{
    GVariantIter iter;
    quarantine_order_t o;
    GArray *orders = quarantine_orders_new();
    gboolean valid = g_variant_iter_init(&iter, list) <= QUARANTINE_ORDERS_MAX;
    while (valid &&
           g_variant_iter_next(&iter, "(tstbbxxsubus)", &o.fingerprint,
                               &o.service, &o.part, &o.watch_only, &o.releases,
                               &o.left_us, &o.since_us, &o.endpoints, &o.ends,
                               &o.uncertain, &o.probe, &o.probe_instance)) {
        g_array_append_val(orders, o);
    }
    if (!valid) {
        g_clear_pointer(&orders, g_array_unref);
    }
    g_variant_unref(list);
    return orders;
}

GBytes *
quarantine_file_write(const GArray *orders, gint64 wall_us)
{
    return codec_write(g_variant_new("(x@" QUARANTINE_ORDERS_TYPE ")", wall_us,
                                     quarantine_orders_variant(orders)));
}

GArray *
quarantine_file_read(GBytes *bytes, gint64 wall_us)
{
    GVariant *v = codec_read(bytes, FILE_TYPE);
    if (v == NULL) {
        return NULL;
    }
    GVariant *list;
    gint64 written_us;
    g_variant_get(v, "(x@" QUARANTINE_ORDERS_TYPE ")", &written_us, &list);
    GArray *orders = quarantine_orders_read(list);
    gint64 passed_us = MAX(wall_us - written_us, 0);
    for (guint i = 0; orders != NULL && i < orders->len; i++) {
        quarantine_order_t *o = &g_array_index(orders, quarantine_order_t, i);
        o->left_us = MAX(o->left_us - passed_us, 0);
        o->since_us += passed_us;
    }
    g_variant_unref(v);
    return orders;
}
