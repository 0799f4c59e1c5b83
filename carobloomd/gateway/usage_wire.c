#include "carobloom/gateway/usage_wire.h"

#include "carobloom/common/codec.h"

#define COUNTS_TYPE "a(st)"
#define WINDOWS_TYPE "a(t" COUNTS_TYPE ")"
#define WORKS_TYPE "a(sutttd)"
#define SUPPLIES_TYPE "a(ssuuu)"
#define REPORT_TYPE "(st" WINDOWS_TYPE WORKS_TYPE SUPPLIES_TYPE ")"
#define REPORT_FORMAT "(st@" WINDOWS_TYPE "@" WORKS_TYPE "@" SUPPLIES_TYPE ")"
#define ANSWER_TYPE "(xtu)"
#define CLOCK_TYPE "(sx)"
/* The kind of the command, the window, and its counts. */
#define COMMAND_TYPE "(yt" COUNTS_TYPE ")"
#define LEDGER_TYPE "a(bt" COUNTS_TYPE ")"

typedef enum { COMMAND_FINALIZE, COMMAND_ACCEPT } usage_command_t;

/* ---- counts ---- */

static GVariant *
counts_variant(const GArray *counts)
{
    GVariantBuilder b;
    g_variant_builder_init(&b, G_VARIANT_TYPE(COUNTS_TYPE));
    for (guint i = 0; counts != NULL && i < counts->len; i++) {
        const usage_count_t *c = &g_array_index(counts, usage_count_t, i);
        g_variant_builder_add(&b, "(st)", c->team, c->count);
    }
    return g_variant_builder_end(&b);
}

/* Takes ownership of `counts`. Returns NULL if there are too many. */
static usage_window_t *
window_read(guint64 window, GVariant *counts)
{
    usage_window_t *w = NULL;
    if (g_variant_n_children(counts) <= USAGE_TEAMS_MAX) {
        GVariantIter iter;
        const char *team;
        guint64 count;
        w = usage_window_create(window);
        g_variant_iter_init(&iter, counts);
        while (g_variant_iter_next(&iter, "(&st)", &team, &count)) {
            usage_window_add(w, team, count);
        }
    }
    g_variant_unref(counts);
    return w;
}

/* ---- reports ---- */

static GVariant *
windows_variant(const GPtrArray *windows)
{
    GVariantBuilder b;
    g_variant_builder_init(&b, G_VARIANT_TYPE(WINDOWS_TYPE));
    for (guint i = 0; windows != NULL && i < windows->len; i++) {
        const usage_window_t *w = windows->pdata[i];
        g_variant_builder_add(&b, "(t@" COUNTS_TYPE ")", w->window,
                              counts_variant(w->counts));
    }
    return g_variant_builder_end(&b);
}

static GVariant *
works_variant(const GArray *works)
{
    GVariantBuilder b;
    g_variant_builder_init(&b, G_VARIANT_TYPE(WORKS_TYPE));
    for (guint i = 0; works != NULL && i < works->len; i++) {
        const service_work_t *w = &g_array_index(works, service_work_t, i);
        g_variant_builder_add(&b, "(sutttd)", w->service, w->running,
                              w->arrived, w->turned_away, w->read_tokens,
                              w->tokens_per_ms);
    }
    return g_variant_builder_end(&b);
}

static GVariant *
supplies_variant(const GArray *supplies)
{
    GVariantBuilder b;
    g_variant_builder_init(&b, G_VARIANT_TYPE(SUPPLIES_TYPE));
    for (guint i = 0; supplies != NULL && i < supplies->len; i++) {
        const engine_supply_t *s =
            &g_array_index(supplies, engine_supply_t, i);
        g_variant_builder_add(&b, "(ssuuu)", s->service, s->data_centre,
                              s->slots, s->on_demand, s->reclaimable);
    }
    return g_variant_builder_end(&b);
}

GBytes *
usage_report_write(const usage_report_t *r)
{
    return codec_write(g_variant_new(
        REPORT_FORMAT, r->from, r->incarnation, windows_variant(r->windows),
        works_variant(r->works), supplies_variant(r->supplies)));
}

static gboolean
windows_read(GVariant *list, usage_report_t *r)
{
    GVariantIter iter;
    guint64 window;
    GVariant *counts;
    gboolean valid = g_variant_iter_init(&iter, list) <= USAGE_WINDOWS_MAX;
    while (valid && g_variant_iter_next(&iter, "(t@" COUNTS_TYPE ")", &window,
                                        &counts)) {
        usage_window_t *w = window_read(window, counts);
        valid = w != NULL;
        if (valid) {
            g_ptr_array_add(r->windows, w);
        }
    }
    g_variant_unref(list);
    return valid;
}

static gboolean
works_read(GVariant *list, usage_report_t *r)
{
    GVariantIter iter;
    service_work_t w = {0};
    gboolean valid = g_variant_iter_init(&iter, list) <= USAGE_WORKS_MAX;
    while (valid && g_variant_iter_next(&iter, "(sutttd)", &w.service,
                                        &w.running, &w.arrived, &w.turned_away,
                                        &w.read_tokens, &w.tokens_per_ms)) {
        g_array_append_val(r->works, w);
    }
    g_variant_unref(list);
    return valid;
}

static gboolean
supplies_read(GVariant *list, usage_report_t *r)
{
    GVariantIter iter;
    engine_supply_t s = {0};
    gboolean valid = g_variant_iter_init(&iter, list) <= USAGE_SUPPLIES_MAX;
    while (valid &&
           g_variant_iter_next(&iter, "(ssuuu)", &s.service, &s.data_centre,
                               &s.slots, &s.on_demand, &s.reclaimable)) {
        g_array_append_val(r->supplies, s);
    }
    g_variant_unref(list);
    return valid;
}

static void
work_clear(gpointer data)
{
    g_free(((service_work_t *)data)->service);
}

gboolean
usage_report_read(GBytes *bytes, usage_report_t *r)
{
    *r = (usage_report_t){0};
    GVariant *v = codec_read(bytes, REPORT_TYPE);
    if (v == NULL) {
        return FALSE;
    }
    GVariant *windows;
    GVariant *works;
    GVariant *supplies;
    r->windows =
        g_ptr_array_new_with_free_func((GDestroyNotify)usage_window_free);
    r->works = g_array_new(FALSE, FALSE, sizeof(service_work_t));
    g_array_set_clear_func(r->works, work_clear);
    r->supplies = engine_supplies_create();
    g_variant_get(v, REPORT_FORMAT, &r->from, &r->incarnation, &windows,
                  &works, &supplies);
    gboolean valid = windows_read(windows, r);
    valid = works_read(works, r) && valid;
    valid = supplies_read(supplies, r) && valid;
    g_variant_unref(v);
    if (!valid) {
        usage_report_clear(r);
    }
    return valid;
}

void
usage_report_clear(usage_report_t *r)
{
    g_clear_pointer(&r->from, g_free);
    g_clear_pointer(&r->windows, g_ptr_array_unref);
    g_clear_pointer(&r->works, g_array_unref);
    g_clear_pointer(&r->supplies, g_array_unref);
}

GBytes *
usage_answer_write(const usage_answer_t *a)
{
    return codec_write(g_variant_new(
        ANSWER_TYPE, a->wall_us, a->finalized_through, a->report_interval_ms));
}

gboolean
usage_answer_read(GBytes *bytes, usage_answer_t *a)
{
    *a = (usage_answer_t){0};
    GVariant *v = codec_read(bytes, ANSWER_TYPE);
    if (v == NULL) {
        return FALSE;
    }
    g_variant_get(v, ANSWER_TYPE, &a->wall_us, &a->finalized_through,
                  &a->report_interval_ms);
    g_variant_unref(v);
    return TRUE;
}

/* ---- clocks ---- */

GBytes *
clock_report_write(const clock_report_t *w)
{
    return codec_write(g_variant_new(CLOCK_TYPE, w->from, w->wall_us));
}

gboolean
clock_report_read(GBytes *bytes, clock_report_t *w)
{
    *w = (clock_report_t){0};
    GVariant *v = codec_read(bytes, CLOCK_TYPE);
    if (v == NULL) {
        return FALSE;
    }
    g_variant_get(v, CLOCK_TYPE, &w->from, &w->wall_us);
    g_variant_unref(v);
    return TRUE;
}

void
clock_report_clear(clock_report_t *w)
{
    g_clear_pointer(&w->from, g_free);
}

/* ---- commands ---- */

GBytes *
usage_finalize_command(const usage_window_t *window)
{
    return codec_write(g_variant_new("(yt@" COUNTS_TYPE ")",
                                     (guchar)COMMAND_FINALIZE, window->window,
                                     counts_variant(window->counts)));
}

GBytes *
usage_accept_command(guint64 window)
{
    return codec_write(g_variant_new("(yt@" COUNTS_TYPE ")",
                                     (guchar)COMMAND_ACCEPT, window,
                                     counts_variant(NULL)));
}

gboolean
usage_command_apply(usage_ledger_t *ledger, GBytes *command)
{
    GVariant *v = codec_read(command, COMMAND_TYPE);
    if (v == NULL) {
        return FALSE;
    }
    guchar kind;
    guint64 window;
    GVariant *counts;
    g_variant_get(v, "(yt@" COUNTS_TYPE ")", &kind, &window, &counts);
    usage_window_t *figures = window_read(window, counts);
    g_variant_unref(v);
    if (figures == NULL) {
        return FALSE;
    }
    if (kind == COMMAND_FINALIZE) {
        return usage_ledger_finalize(ledger, figures);
    }
    usage_window_free(figures);
    usage_ledger_mark_accepted(ledger, window);
    return kind == COMMAND_ACCEPT;
}

GBytes *
usage_ledger_write(const usage_ledger_t *ledger)
{
    GVariantBuilder b;
    const GArray *windows = usage_ledger_windows(ledger);
    g_variant_builder_init(&b, G_VARIANT_TYPE(LEDGER_TYPE));
    for (guint i = 0; i < windows->len; i++) {
        const finalized_window_t *finalized =
            &g_array_index(windows, finalized_window_t, i);
        g_variant_builder_add(&b, "(bt@" COUNTS_TYPE ")", finalized->accepted,
                              finalized->figures->window,
                              counts_variant(finalized->figures->counts));
    }
    return codec_write(g_variant_builder_end(&b));
}

usage_ledger_t *
usage_ledger_read(GBytes *bytes)
{
    GVariant *v = codec_read(bytes, LEDGER_TYPE);
    if (v == NULL) {
        return NULL;
    }
    usage_ledger_t *ledger = usage_ledger_create();
    GVariantIter iter;
    gboolean accepted;
    guint64 window;
    GVariant *counts;
    g_variant_iter_init(&iter, v);
    while (g_variant_iter_next(&iter, "(bt@" COUNTS_TYPE ")", &accepted,
                               &window, &counts)) {
        usage_window_t *figures = window_read(window, counts);
        if (figures != NULL) {
            usage_ledger_restore(ledger, figures, accepted);
        }
    }
    g_variant_unref(v);
    return ledger;
}
