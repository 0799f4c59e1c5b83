#include "carobloom/gateway/limit_wire.h"

#include <math.h>

#include "carobloom/common/codec.h"

#define REQUESTS_TYPE "a(tbduuuut)"
#define REPORT_TYPE "(stt" REQUESTS_TYPE ")"
#define GRANTS_TYPE "a(tbdu)"
#define ANSWER_TYPE "(u" GRANTS_TYPE ")"

static gboolean
is_valid_rate(double rate)
{
    return isfinite(rate) && rate >= 0 && rate <= LIMIT_RATE_MAX;
}

GBytes *
limit_report_write(const limit_report_t *r)
{
    GVariantBuilder b;
    g_variant_builder_init(&b, G_VARIANT_TYPE(REQUESTS_TYPE));
    for (guint i = 0; i < r->requests->len; i++) {
        const limit_request_t *a =
            &g_array_index(r->requests, limit_request_t, i);
        g_variant_builder_add(&b, "(tbduuuut)", a->endpoint, a->limited,
                              a->rate, a->request_age_ms, a->rate_age_ms,
                              a->wanted, a->outstanding, a->used);
    }
    return codec_write(g_variant_new("(stt@" REQUESTS_TYPE ")", r->from,
                                     r->incarnation, r->sequence,
                                     g_variant_builder_end(&b)));
}

/* Takes ownership of `list`. */
static gboolean
requests_read(GVariant *list, GArray *requests)
{
    GVariantIter iter;
    limit_request_t a;
    gboolean valid = g_variant_iter_init(&iter, list) <= LIMIT_REQUESTS_MAX;
    while (valid &&
           g_variant_iter_next(&iter, "(tbduuuut)", &a.endpoint, &a.limited,
                               &a.rate, &a.request_age_ms, &a.rate_age_ms,
                               &a.wanted, &a.outstanding, &a.used)) {
        valid = is_valid_rate(a.rate);
        g_array_append_val(requests, a);
    }
    g_variant_unref(list);
    return valid;
}

gboolean
limit_report_read(GBytes *bytes, limit_report_t *r)
{
    *r = (limit_report_t){0};
    GVariant *v = codec_read(bytes, REPORT_TYPE);
    if (v == NULL) {
        return FALSE;
    }
    GVariant *requests;
    g_variant_get(v, "(stt@" REQUESTS_TYPE ")", &r->from, &r->incarnation,
                  &r->sequence, &requests);
    g_variant_unref(v);
    r->requests = g_array_new(FALSE, FALSE, sizeof(limit_request_t));
    if (!requests_read(requests, r->requests)) {
        limit_report_clear(r);
        return FALSE;
    }
    return TRUE;
}

void
limit_report_clear(limit_report_t *r)
{
    g_clear_pointer(&r->from, g_free);
    g_clear_pointer(&r->requests, g_array_unref);
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
    return codec_write(g_variant_new("(u@" GRANTS_TYPE ")",
                                     answer->report_interval_ms,
                                     g_variant_builder_end(&b)));
}

/* Takes ownership of `list`. */
static gboolean
grants_read(GVariant *list, GArray *grants)
{
    GVariantIter iter;
    limit_grant_t g;
    gboolean valid = g_variant_iter_init(&iter, list) <= LIMIT_REQUESTS_MAX;
    while (valid &&
           g_variant_iter_next(&iter, "(tbdu)", &g.state.endpoint,
                               &g.state.limited, &g.state.rate, &g.granted)) {
        valid = is_valid_rate(g.state.rate);
        g_array_append_val(grants, g);
    }
    g_variant_unref(list);
    return valid;
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
    g_variant_get(v, "(u@" GRANTS_TYPE ")", &answer->report_interval_ms,
                  &grants);
    g_variant_unref(v);
    answer->grants = g_array_new(FALSE, FALSE, sizeof(limit_grant_t));
    if (!grants_read(grants, answer->grants)) {
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
limit_states_read(GVariant *list)
{
    GArray *states = g_array_new(FALSE, FALSE, sizeof(limit_state_t));
    GVariantIter iter;
    limit_state_t s;
    gboolean valid = g_variant_iter_init(&iter, list) <= LIMIT_REQUESTS_MAX;
    while (valid && g_variant_iter_next(&iter, "(tbd)", &s.endpoint,
                                        &s.limited, &s.rate)) {
        valid = is_valid_rate(s.rate);
        g_array_append_val(states, s);
    }
    g_variant_unref(list);
    if (!valid) {
        g_clear_pointer(&states, g_array_unref);
    }
    return states;
}
