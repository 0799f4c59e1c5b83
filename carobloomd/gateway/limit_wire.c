#include "carobloom/gateway/limit_wire.h"

#include <math.h>

#include "carobloom/common/codec.h"

#define ASKS_TYPE "a(tbduuuut)"
#define REPORT_TYPE "(stt" ASKS_TYPE ")"
#define GRANTS_TYPE "a(tbdu)"
#define ANSWER_TYPE "(u" GRANTS_TYPE ")"

static gboolean
is_rate(double rate)
{
    return isfinite(rate) && rate >= 0 && rate <= LIMIT_RATE_MAX;
}

GBytes *
limit_report_write(const limit_report_t *r)
{
    GVariantBuilder b;
    g_variant_builder_init(&b, G_VARIANT_TYPE(ASKS_TYPE));
    for (guint i = 0; i < r->asks->len; i++) {
        const limit_request_t *a = &g_array_index(r->asks, limit_request_t, i);
        g_variant_builder_add(&b, "(tbduuuut)", a->endpoint, a->limited,
                              a->rate, a->request_age_ms, a->rate_age_ms,
                              a->wanted, a->outstanding, a->used);
    }
    return codec_write(g_variant_new("(stt@" ASKS_TYPE ")", r->from,
                                     r->incarnation, r->sequence,
                                     g_variant_builder_end(&b)));
}

/* Takes the list. */
static gboolean
asks_take(GVariant *list, GArray *asks)
{
    GVariantIter iter;
    limit_request_t a;
    gboolean sound = g_variant_iter_init(&iter, list) <= LIMIT_ASKS_MAX;
    while (sound &&
           g_variant_iter_next(&iter, "(tbduuuut)", &a.endpoint, &a.limited,
                               &a.rate, &a.request_age_ms, &a.rate_age_ms,
                               &a.wanted, &a.outstanding, &a.used)) {
        sound = is_rate(a.rate);
        g_array_append_val(asks, a);
    }
    g_variant_unref(list);
    return sound;
}

gboolean
limit_report_read(GBytes *bytes, limit_report_t *r)
{
    *r = (limit_report_t){0};
    GVariant *v = codec_read(bytes, REPORT_TYPE);
    if (v == NULL) {
        return FALSE;
    }
    GVariant *asks;
    g_variant_get(v, "(stt@" ASKS_TYPE ")", &r->from, &r->incarnation,
                  &r->sequence, &asks);
    g_variant_unref(v);
    r->asks = g_array_new(FALSE, FALSE, sizeof(limit_request_t));
    if (!asks_take(asks, r->asks)) {
        limit_report_clear(r);
        return FALSE;
    }
    return TRUE;
}

void
limit_report_clear(limit_report_t *r)
{
    g_clear_pointer(&r->from, g_free);
    g_clear_pointer(&r->asks, g_array_unref);
}

GBytes *
limit_answer_write(const limit_answer_t *answer)
{
    GVariantBuilder b;
    g_variant_builder_init(&b, G_VARIANT_TYPE(GRANTS_TYPE));
    for (guint i = 0; i < answer->grants->len; i++) {
        const limit_grant_t *g =
            &g_array_index(answer->grants, limit_grant_t, i);
        g_variant_builder_add(&b, "(tbdu)", g->state.endpoint,
                              g->state.limited, g->state.rate, g->granted);
    }
    return codec_write(g_variant_new("(u@" GRANTS_TYPE ")", answer->ask_ms,
                                     g_variant_builder_end(&b)));
}

/* Takes the list. */
static gboolean
grants_take(GVariant *list, GArray *grants)
{
    GVariantIter iter;
    limit_grant_t g;
    gboolean sound = g_variant_iter_init(&iter, list) <= LIMIT_ASKS_MAX;
    while (sound &&
           g_variant_iter_next(&iter, "(tbdu)", &g.state.endpoint,
                               &g.state.limited, &g.state.rate, &g.granted)) {
        sound = is_rate(g.state.rate);
        g_array_append_val(grants, g);
    }
    g_variant_unref(list);
    return sound;
}

gboolean
limit_answer_read(GBytes *bytes, limit_answer_t *answer)
{
    *answer = (limit_answer_t){0};
    GVariant *v = codec_read(bytes, ANSWER_TYPE);
    if (v == NULL) {
        return FALSE;
    }
    GVariant *grants;
    g_variant_get(v, "(u@" GRANTS_TYPE ")", &answer->ask_ms, &grants);
    g_variant_unref(v);
    answer->grants = g_array_new(FALSE, FALSE, sizeof(limit_grant_t));
    if (!grants_take(grants, answer->grants)) {
        limit_answer_clear(answer);
        return FALSE;
    }
    return TRUE;
}

void
limit_answer_clear(limit_answer_t *answer)
{
    g_clear_pointer(&answer->grants, g_array_unref);
}

GVariant *
limit_states_variant(const GArray *states)
{
    GVariantBuilder b;
    g_variant_builder_init(&b, G_VARIANT_TYPE(LIMIT_STATES_TYPE));
    for (guint i = 0; states != NULL && i < states->len; i++) {
        const limit_state_t *s = &g_array_index(states, limit_state_t, i);
        g_variant_builder_add(&b, "(tbd)", s->endpoint, s->limited, s->rate);
    }
    return g_variant_builder_end(&b);
}

GArray *
limit_states_take(GVariant *list)
{
    GArray *states = g_array_new(FALSE, FALSE, sizeof(limit_state_t));
    GVariantIter iter;
    limit_state_t s;
    gboolean sound = g_variant_iter_init(&iter, list) <= LIMIT_ASKS_MAX;
    while (sound && g_variant_iter_next(&iter, "(tbd)", &s.endpoint,
                                        &s.limited, &s.rate)) {
        sound = is_rate(s.rate);
        g_array_append_val(states, s);
    }
    g_variant_unref(list);
    if (!sound) {
        g_clear_pointer(&states, g_array_unref);
    }
    return states;
}
