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
/* What is done, to which window, with which figures. */
#define COMMAND_TYPE "(yt" COUNTS_TYPE ")"
#define LEDGER_TYPE "a(bt" COUNTS_TYPE ")"

typedef enum { COMMAND_FIX, COMMAND_TAKE } usage_command_t;

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

/* NULL when there are too many. */
static usage_window_t *
window_take(guint64 window, GVariant *counts)
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
windows_take(GVariant *list, usage_report_t *r)
{
    GVariantIter iter;
    guint64 window;
    GVariant *counts;
    gboolean sound = g_variant_iter_init(&iter, list) <= USAGE_WINDOWS_MAX;
    while (sound && g_variant_iter_next(&iter, "(t@" COUNTS_TYPE ")", &window,
                                        &counts)) {
        usage_window_t *w = window_take(window, counts);
        sound = w != NULL;
        if (sound) {
            g_ptr_array_add(r->windows, w);
        }
    }
    g_variant_unref(list);
    return sound;
}

static gboolean
works_take(GVariant *list, usage_report_t *r)
{
    GVariantIter iter;
    service_work_t w = {0};
    gboolean sound = g_variant_iter_init(&iter, list) <= USAGE_WORKS_MAX;
    while (sound && g_variant_iter_next(&iter, "(sutttd)", &w.service,
                                        &w.running, &w.arrived, &w.turned_away,
                                        &w.read_tokens, &w.tokens_per_ms)) {
        g_array_append_val(r->works, w);
    }
    g_variant_unref(list);
    return sound;
}

static gboolean
supplies_take(GVariant *list, usage_report_t *r)
{
    GVariantIter iter;
    engine_supply_t s = {0};
    gboolean sound = g_variant_iter_init(&iter, list) <= USAGE_SUPPLIES_MAX;
    while (sound &&
           g_variant_iter_next(&iter, "(ssuuu)", &s.service, &s.data_centre,
                               &s.slots, &s.on_demand, &s.reclaimable)) {
        g_array_append_val(r->supplies, s);
    }
    g_variant_unref(list);
    return sound;
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
    gboolean sound = windows_take(windows, r);
    sound = works_take(works, r) && sound;
    sound = supplies_take(supplies, r) && sound;
    g_variant_unref(v);
    if (!sound) {
        usage_report_clear(r);
    }
    return sound;
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
    return codec_write(
        g_variant_new(ANSWER_TYPE, a->wall_us, a->fixed_through, a->ask_ms));
}

gboolean
usage_answer_read(GBytes *bytes, usage_answer_t *a)
{
    *a = (usage_answer_t){0};
    GVariant *v = codec_read(bytes, ANSWER_TYPE);
    if (v == NULL) {
        return FALSE;
    }
    g_variant_get(v, ANSWER_TYPE, &a->wall_us, &a->fixed_through, &a->ask_ms);
    g_variant_unref(v);
    return TRUE;
}

/* ---- clocks ---- */

GBytes *
clock_word_write(const clock_word_t *w)
{
    return codec_write(g_variant_new(CLOCK_TYPE, w->from, w->wall_us));
}

gboolean
clock_word_read(GBytes *bytes, clock_word_t *w)
{
    *w = (clock_word_t){0};
    GVariant *v = codec_read(bytes, CLOCK_TYPE);
    if (v == NULL) {
        return FALSE;
    }
    g_variant_get(v, CLOCK_TYPE, &w->from, &w->wall_us);
    g_variant_unref(v);
    return TRUE;
}

void
clock_word_clear(clock_word_t *w)
{
    g_clear_pointer(&w->from, g_free);
}

/* ---- commands ---- */

GBytes *
usage_fix_command(const usage_window_t *figures)
{
    return codec_write(g_variant_new("(yt@" COUNTS_TYPE ")",
                                     (guchar)COMMAND_FIX, figures->window,
                                     counts_variant(figures->counts)));
}

GBytes *
usage_take_command(guint64 window)
{
    return codec_write(g_variant_new("(yt@" COUNTS_TYPE ")",
                                     (guchar)COMMAND_TAKE, window,
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
    usage_window_t *figures = window_take(window, counts);
    g_variant_unref(v);
    if (figures == NULL) {
        return FALSE;
    }
    if (kind == COMMAND_FIX) {
        return usage_ledger_finalize(ledger, figures);
    }
    usage_window_free(figures);
    usage_ledger_mark_accepted(ledger, window);
    return kind == COMMAND_TAKE;
}

GBytes *
usage_ledger_write(const usage_ledger_t *ledger)
{
    GVariantBuilder b;
    const GArray *windows = usage_ledger_windows(ledger);
    g_variant_builder_init(&b, G_VARIANT_TYPE(LEDGER_TYPE));
    for (guint i = 0; i < windows->len; i++) {
        const finalized_window_t *fixed =
            &g_array_index(windows, finalized_window_t, i);
        g_variant_builder_add(&b, "(bt@" COUNTS_TYPE ")", fixed->accepted,
                              fixed->figures->window,
                              counts_variant(fixed->figures->counts));
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
    gboolean taken;
    guint64 window;
    GVariant *counts;
    g_variant_iter_init(&iter, v);
    while (g_variant_iter_next(&iter, "(bt@" COUNTS_TYPE ")", &taken, &window,
                               &counts)) {
        usage_window_t *figures = window_take(window, counts);
        if (figures != NULL) {
            usage_ledger_restore(ledger, figures, taken);
        }
    }
    g_variant_unref(v);
    return ledger;
}
