#include "carobloom/gateway/slot_wire.h"

#include <math.h>

#include "carobloom/common/codec.h"

#define HOLDINGS_TYPE "a(ttuuub)"
#define WANTS_TYPE "a(ttuuuu)"
#define MARKS_TYPE "a(td)"
#define MESSAGE_TYPE "(stttuub" HOLDINGS_TYPE WANTS_TYPE MARKS_TYPE ")"
#define GRANTS_TYPE "a(tu)"
#define SCARCE_TYPE "a(tu)"
#define ANSWER_TYPE "(tbuuubu" GRANTS_TYPE SCARCE_TYPE MARKS_TYPE ")"

static GVariant *
marks_variant(const GArray *marks)
{
    GVariantBuilder b;
    g_variant_builder_init(&b, G_VARIANT_TYPE(MARKS_TYPE));
    for (guint i = 0; i < marks->len; i++) {
        const slot_mark_t *m = &g_array_index(marks, slot_mark_t, i);
        g_variant_builder_add(&b, "(td)", m->service, m->refusals_per_s);
    }
    return g_variant_builder_end(&b);
}

/* Takes ownership of `list`. */
static gboolean
marks_read(GVariant *list, GArray *marks)
{
    GVariantIter iter;
    slot_mark_t m;
    gboolean valid = g_variant_iter_init(&iter, list) <= SLOT_ITEMS_MAX;
    while (valid &&
           g_variant_iter_next(&iter, "(td)", &m.service, &m.refusals_per_s)) {
        valid = isfinite(m.refusals_per_s) && m.refusals_per_s >= 0;
        g_array_append_val(marks, m);
    }
    g_variant_unref(list);
    return valid;
}

static GVariant *
holdings_variant(const GArray *holdings)
{
    GVariantBuilder b;
    g_variant_builder_init(&b, G_VARIANT_TYPE(HOLDINGS_TYPE));
    for (guint i = 0; i < holdings->len; i++) {
        const slot_holding_t *h = &g_array_index(holdings, slot_holding_t, i);
        g_variant_builder_add(&b, "(ttuuub)", h->endpoint, h->service,
                              h->slots, h->held, h->refused, h->is_avoided);
    }
    return g_variant_builder_end(&b);
}

/* Takes ownership of `list`. */
static gboolean
holdings_read(GVariant *list, GArray *holdings)
{
    GVariantIter iter;
    slot_holding_t h;
    gboolean valid = g_variant_iter_init(&iter, list) <= SLOT_ITEMS_MAX;
    while (valid &&
           g_variant_iter_next(&iter, "(ttuuub)", &h.endpoint, &h.service,
                               &h.slots, &h.held, &h.refused, &h.is_avoided)) {
        valid = h.slots <= SLOT_ITEMS_MAX && h.held <= SLOT_ITEMS_MAX &&
                h.refused <= SLOT_ITEMS_MAX;
        g_array_append_val(holdings, h);
    }
    g_variant_unref(list);
    return valid;
}

static GVariant *
wants_variant(const GArray *wants)
{
    GVariantBuilder b;
    g_variant_builder_init(&b, G_VARIANT_TYPE(WANTS_TYPE));
    for (guint i = 0; i < wants->len; i++) {
        const slot_want_t *w = &g_array_index(wants, slot_want_t, i);
        g_variant_builder_add(&b, "(ttuuuu)", w->endpoint, w->service,
                              w->slots, w->rank, w->age_ms, w->left_ms);
    }
    return g_variant_builder_end(&b);
}

/* Takes ownership of `list`. */
static gboolean
wants_read(GVariant *list, GArray *wants)
{
    GVariantIter iter;
    slot_want_t w;
    gboolean valid = g_variant_iter_init(&iter, list) <= SLOT_WANTS_MAX;
    while (valid &&
           g_variant_iter_next(&iter, "(ttuuuu)", &w.endpoint, &w.service,
                               &w.slots, &w.rank, &w.age_ms, &w.left_ms)) {
        valid = w.slots <= SLOT_ITEMS_MAX && w.rank < SLOT_RANKS;
        g_array_append_val(wants, w);
    }
    g_variant_unref(list);
    return valid;
}

GBytes *
slot_message_write(const slot_message_t *m)
{
    return codec_write(g_variant_new(
        "(stttuub@" HOLDINGS_TYPE "@" WANTS_TYPE "@" MARKS_TYPE ")", m->from,
        m->incarnation, m->sequence, m->epoch, m->instances, m->applied,
        m->report.is_full, holdings_variant(m->report.holdings),
        wants_variant(m->report.wants), marks_variant(m->report.marks)));
}

gboolean
slot_message_read(GBytes *bytes, slot_message_t *m)
{
    *m = (slot_message_t){0};
    GVariant *v = codec_read(bytes, MESSAGE_TYPE);
    if (v == NULL) {
        return FALSE;
    }
    GVariant *holdings;
    GVariant *wants;
    GVariant *marks;
    slot_report_init(&m->report);
    g_variant_get(
        v, "(stttuub@" HOLDINGS_TYPE "@" WANTS_TYPE "@" MARKS_TYPE ")",
        &m->from, &m->incarnation, &m->sequence, &m->epoch, &m->instances,
        &m->applied, &m->report.is_full, &holdings, &wants, &marks);
    g_variant_unref(v);
    gboolean valid = holdings_read(holdings, m->report.holdings);
    valid = wants_read(wants, m->report.wants) && valid;
    valid = marks_read(marks, m->report.marks) && valid;
    if (!valid || m->instances > SLOT_INSTANCES_MAX) {
        slot_message_clear(m);
        return FALSE;
    }
    return TRUE;
}

void
slot_message_clear(slot_message_t *m)
{
    g_clear_pointer(&m->from, g_free);
    slot_report_clear(&m->report);
}

GBytes *
slot_answer_write(const slot_answer_t *a)
{
    GVariantBuilder grants;
    GVariantBuilder scarce;
    const slot_news_t *n = &a->news;
    g_variant_builder_init(&grants, G_VARIANT_TYPE(GRANTS_TYPE));
    for (guint i = 0; i < n->grants->len; i++) {
        const slot_grant_t *g = &g_array_index(n->grants, slot_grant_t, i);
        g_variant_builder_add(&grants, "(tu)", g->endpoint, g->count);
    }
    g_variant_builder_init(&scarce, G_VARIANT_TYPE(SCARCE_TYPE));
    for (guint i = 0; i < n->scarce->len; i++) {
        const slot_scarcity_t *s =
            &g_array_index(n->scarce, slot_scarcity_t, i);
        g_variant_builder_add(&scarce, "(tu)", s->service, s->rank);
    }
    return codec_write(g_variant_new(
        "(tbuuubu@" GRANTS_TYPE "@" SCARCE_TYPE "@" MARKS_TYPE ")", a->epoch,
        a->is_used, a->pace.report_us, a->pace.poll_ms, a->pace.lifetime_ms,
        n->is_granting, n->batch, g_variant_builder_end(&grants),
        g_variant_builder_end(&scarce), marks_variant(n->marks)));
}

/* Takes ownership of both lists. */
static gboolean
news_read(GVariant *grants, GVariant *scarce, slot_news_t *n)
{
    GVariantIter iter;
    slot_grant_t g;
    slot_scarcity_t s;
    gboolean valid = g_variant_iter_init(&iter, grants) <= SLOT_ITEMS_MAX;
    while (valid &&
           g_variant_iter_next(&iter, "(tu)", &g.endpoint, &g.count)) {
        valid = g.count <= SLOT_ITEMS_MAX;
        g_array_append_val(n->grants, g);
    }
    valid = g_variant_iter_init(&iter, scarce) <= SLOT_ITEMS_MAX && valid;
    while (valid && g_variant_iter_next(&iter, "(tu)", &s.service, &s.rank)) {
        g_array_append_val(n->scarce, s);
    }
    g_variant_unref(grants);
    g_variant_unref(scarce);
    return valid;
}

gboolean
slot_answer_read(GBytes *bytes, slot_answer_t *a)
{
    *a = (slot_answer_t){0};
    GVariant *v = codec_read(bytes, ANSWER_TYPE);
    if (v == NULL) {
        return FALSE;
    }
    GVariant *grants;
    GVariant *scarce;
    GVariant *marks;
    slot_news_init(&a->news);
    g_variant_get(v,
                  "(tbuuubu@" GRANTS_TYPE "@" SCARCE_TYPE "@" MARKS_TYPE ")",
                  &a->epoch, &a->is_used, &a->pace.report_us, &a->pace.poll_ms,
                  &a->pace.lifetime_ms, &a->news.is_granting, &a->news.batch,
                  &grants, &scarce, &marks);
    g_variant_unref(v);
    gboolean valid = news_read(grants, scarce, &a->news);
    valid = marks_read(marks, a->news.marks) && valid;
    if (!valid) {
        slot_answer_clear(a);
    }
    return valid;
}

void
slot_answer_clear(slot_answer_t *a)
{
    slot_news_clear(&a->news);
}
