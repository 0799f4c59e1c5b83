#include "carobloom/gateway/repeat_wire.h"

#include <math.h>

#include "carobloom/common/codec.h"

#define HISTORY_TYPE "a(uu)"
#define ITEMS_TYPE "a(tuuuuuuuu" HISTORY_TYPE ")"
#define REPORT_TYPE "(stttuub" ITEMS_TYPE ")"
#define GRANTS_TYPE "a(tuuuud)"
#define ANSWER_TYPE "(tuuu" GRANTS_TYPE ")"

static GVariant *
history_variant(const repeat_item_t *item)
{
    GVariantBuilder b;
    g_variant_builder_init(&b, G_VARIANT_TYPE(HISTORY_TYPE));
    for (guint i = 0; item->has_history && i < REPEAT_HISTORY_MAX; i++) {
        g_variant_builder_add(&b, "(uu)", item->history[i].firsts,
                              item->history[i].spent);
    }
    return g_variant_builder_end(&b);
}

GBytes *
repeat_report_write(const repeat_report_t *r)
{
    GVariantBuilder b;
    g_variant_builder_init(&b, G_VARIANT_TYPE(ITEMS_TYPE));
    for (guint i = 0; i < r->items->len; i++) {
        const repeat_item_t *item = &g_array_index(r->items, repeat_item_t, i);
        const repeat_request_t *q = &item->request;
        g_variant_builder_add(&b, "(tuuuuuuuu@" HISTORY_TYPE ")", q->service,
                              q->firsts, q->oldest_first_ms,
                              q->newest_first_ms, q->own_spent,
                              q->granted_spent, q->spent_age_ms, q->held,
                              q->wanted, history_variant(item));
    }
    return codec_write(g_variant_new("(stttuub@" ITEMS_TYPE ")", r->from,
                                     r->incarnation, r->sequence, r->epoch,
                                     r->age_ms, r->instances, r->is_ending,
                                     g_variant_builder_end(&b)));
}

/* Takes ownership of `list`, which is empty or has all slots. */
static gboolean
history_read(GVariant *list, repeat_item_t *item)
{
    GVariantIter iter;
    gsize count = g_variant_iter_init(&iter, list);
    item->has_history = count == REPEAT_HISTORY_MAX;
    for (guint i = 0; item->has_history && i < REPEAT_HISTORY_MAX; i++) {
        g_variant_iter_next(&iter, "(uu)", &item->history[i].firsts,
                            &item->history[i].spent);
    }
    g_variant_unref(list);
    return count == 0 || item->has_history;
}

/* Takes ownership of `list`. */
static gboolean
items_read(GVariant *list, GArray *items)
{
    GVariantIter iter;
    gboolean valid = g_variant_iter_init(&iter, list) <= REPEAT_SERVICES_MAX;
    repeat_item_t item = {0};
    repeat_request_t *q = &item.request;
    GVariant *history;
    while (valid && g_variant_iter_next(
                        &iter, "(tuuuuuuuu@" HISTORY_TYPE ")", &q->service,
                        &q->firsts, &q->oldest_first_ms, &q->newest_first_ms,
                        &q->own_spent, &q->granted_spent, &q->spent_age_ms,
                        &q->held, &q->wanted, &history)) {
        valid = history_read(history, &item);
        g_array_append_val(items, item);
    }
    g_variant_unref(list);
    return valid;
}

gboolean
repeat_report_read(GBytes *bytes, repeat_report_t *r)
{
    *r = (repeat_report_t){0};
    GVariant *v = codec_read(bytes, REPORT_TYPE);
    if (v == NULL) {
        return FALSE;
    }
    GVariant *items;
    g_variant_get(v, "(stttuub@" ITEMS_TYPE ")", &r->from, &r->incarnation,
                  &r->sequence, &r->epoch, &r->age_ms, &r->instances,
                  &r->is_ending, &items);
    g_variant_unref(v);
    r->items = g_array_new(FALSE, FALSE, sizeof(repeat_item_t));
    gboolean valid = items_read(items, r->items);
    if (!valid || r->instances > REPEAT_INSTANCES_MAX) {
        repeat_report_clear(r);
        return FALSE;
    }
    return TRUE;
}

void
repeat_report_clear(repeat_report_t *r)
{
    g_clear_pointer(&r->from, g_free);
    g_clear_pointer(&r->items, g_array_unref);
}

GBytes *
repeat_answer_write(const repeat_answer_t *answer)
{
    GVariantBuilder b;
    g_variant_builder_init(&b, G_VARIANT_TYPE(GRANTS_TYPE));
    for (guint i = 0; i < answer->grants->len; i++) {
        const repeat_grant_t *g =
            &g_array_index(answer->grants, repeat_grant_t, i);
        g_variant_builder_add(&b, "(tuuuud)", g->service, g->granted, g->keep,
                              g->spent, g->allowed, g->brittle);
    }
    return codec_write(
        g_variant_new("(tuuu@" GRANTS_TYPE ")", answer->epoch,
                      answer->pace.needy_ms, answer->pace.calm_ms,
                      answer->pace.lifetime_ms, g_variant_builder_end(&b)));
}

gboolean
repeat_answer_read(GBytes *bytes, repeat_answer_t *answer)
{
    *answer = (repeat_answer_t){0};
    GVariant *v = codec_read(bytes, ANSWER_TYPE);
    if (v == NULL) {
        return FALSE;
    }
    GVariantIter *iter;
    repeat_grant_t g;
    g_variant_get(v, "(tuuu" GRANTS_TYPE ")", &answer->epoch,
                  &answer->pace.needy_ms, &answer->pace.calm_ms,
                  &answer->pace.lifetime_ms, &iter);
    gboolean valid = g_variant_iter_n_children(iter) <= REPEAT_SERVICES_MAX;
    answer->grants = g_array_new(FALSE, FALSE, sizeof(repeat_grant_t));
    while (valid &&
           g_variant_iter_next(iter, "(tuuuud)", &g.service, &g.granted,
                               &g.keep, &g.spent, &g.allowed, &g.brittle)) {
        valid = isfinite(g.brittle);
        g_array_append_val(answer->grants, g);
    }
    g_variant_iter_free(iter);
    g_variant_unref(v);
    if (!valid) {
        repeat_answer_clear(answer);
    }
    return valid;
}

void
repeat_answer_clear(repeat_answer_t *answer)
{
    g_clear_pointer(&answer->grants, g_array_unref);
}
