#include "carobloom/process/wire.h"

#include "carobloom/common/codec.h"

#define TICKET_TYPE "(tttttuuuuuud)"
#define SETTLE_TYPE "(ttuud)"
#define DECISION_TYPE "(ttuyyss)"
#define ENDPOINT_TYPE "(ssssssasuuuuuudb)"
#define LOADS_TYPE "a(ttuqq)"
#define IDS_TYPE "(tat)"
#define PAIR_TYPE "(tttb)"
enum { FLAG_PLAIN = 1 };

GBytes *
wire_ticket_write(const wire_ticket_t *w)
{
    const ticket_t *t = &w->ticket;
    guint32 flags = t->plain ? FLAG_PLAIN : 0;
    return codec_write(g_variant_new(
        TICKET_TYPE, t->id, t->team, t->prefix, w->pool,
        w->endpoint ? w->endpoint : t->avoid, w->class_hash, t->prompt_tokens,
        t->done_tokens, t->preemptions, w->waited_ms, flags, t->team_weight));
}

gboolean
wire_ticket_read(GBytes *bytes, wire_ticket_t *w)
{
    *w = (wire_ticket_t){0};
    GVariant *v = codec_read(bytes, TICKET_TYPE);
    if (v == NULL) {
        return FALSE;
    }
    ticket_t *t = &w->ticket;
    guint32 flags;
    g_variant_get(v, TICKET_TYPE, &t->id, &t->team, &t->prefix, &w->pool,
                  &t->avoid, &w->class_hash, &t->prompt_tokens,
                  &t->done_tokens, &t->preemptions, &w->waited_ms, &flags,
                  &t->team_weight);
    w->endpoint = t->avoid;
    t->plain = (flags & FLAG_PLAIN) != 0;
    g_variant_unref(v);
    return TRUE;
}

GBytes *
wire_settle_write(const wire_settle_t *w)
{
    return codec_write(g_variant_new(
        SETTLE_TYPE, w->ticket, w->pool, (guint32)w->settlement.result,
        w->settlement.tokens, w->settlement.token_us));
}

gboolean
wire_settle_read(GBytes *bytes, wire_settle_t *w)
{
    *w = (wire_settle_t){0};
    GVariant *v = codec_read(bytes, SETTLE_TYPE);
    if (v == NULL) {
        return FALSE;
    }
    guint32 result;
    g_variant_get(v, SETTLE_TYPE, &w->ticket, &w->pool, &result,
                  &w->settlement.tokens, &w->settlement.token_us);
    g_variant_unref(v);
    w->settlement.result = (settle_result_t)result;
    return result <= SETTLE_CANCELLED;
}

GBytes *
wire_decision_write(const wire_decision_t *w)
{
    return codec_write(g_variant_new(DECISION_TYPE, w->ticket, w->endpoint,
                                     w->retry_after_ms, w->action, w->reason,
                                     w->address ? w->address : "",
                                     w->protocol ? w->protocol : ""));
}

gboolean
wire_decision_read(GBytes *bytes, wire_decision_t *w)
{
    *w = (wire_decision_t){0};
    GVariant *v = codec_read(bytes, DECISION_TYPE);
    if (v == NULL) {
        return FALSE;
    }
    g_variant_get(v, DECISION_TYPE, &w->ticket, &w->endpoint,
                  &w->retry_after_ms, &w->action, &w->reason, &w->address,
                  &w->protocol);
    g_variant_unref(v);
    return w->action <= ACTION_PREEMPT;
}

GBytes *
wire_endpoint_write(const endpoint_info_t *e)
{
    GVariantBuilder adapters;
    g_variant_builder_init(&adapters, G_VARIANT_TYPE("as"));
    for (int i = 0; e->adapters && e->adapters[i]; i++) {
        g_variant_builder_add(&adapters, "s", e->adapters[i]);
    }
    return codec_write(g_variant_new(
        ENDPOINT_TYPE, e->address, e->serves, e->kind, e->protocol,
        e->role ? e->role : "", e->version ? e->version : "", &adapters,
        (guint32)e->slots, (guint32)e->interval_ms, (guint32)e->running,
        (guint32)e->waiting, (guint32)e->age_ms, (guint32)0, e->token_us,
        e->fencing));
}

gboolean
wire_endpoint_read(GBytes *bytes, endpoint_info_t *e)
{
    *e = (endpoint_info_t){0};
    GVariant *v = codec_read(bytes, ENDPOINT_TYPE);
    if (v == NULL) {
        return FALSE;
    }
    guint32 slots, interval, running, waiting, age, spare;
    GVariantIter *adapters;
    g_variant_get(v, ENDPOINT_TYPE, &e->address, &e->serves, &e->kind,
                  &e->protocol, &e->role, &e->version, &adapters, &slots,
                  &interval, &running, &waiting, &age, &spare, &e->token_us,
                  &e->fencing);
    GStrvBuilder *list = g_strv_builder_new();
    const char *name;
    while (g_variant_iter_next(adapters, "&s", &name)) {
        g_strv_builder_add(list, name);
    }
    e->adapters = g_strv_builder_end(list);
    g_strv_builder_unref(list);
    g_variant_iter_free(adapters);
    g_variant_unref(v);
    e->slots = slots;
    e->interval_ms = interval;
    e->running = running;
    e->waiting = waiting;
    e->age_ms = age;
    return TRUE;
}

GBytes *
wire_loads_write(const GArray *loads)
{
    GVariantBuilder b;
    g_variant_builder_init(&b, G_VARIANT_TYPE(LOADS_TYPE));
    for (guint i = 0; i < loads->len; i++) {
        const wire_load_t *l = &g_array_index(loads, wire_load_t, i);
        g_variant_builder_add(&b, "(ttuqq)", l->id, l->pool, l->token_us,
                              l->busy, l->age_ms);
    }
    return codec_write(g_variant_builder_end(&b));
}

GArray *
wire_loads_read(GBytes *bytes)
{
    GVariant *v = codec_read(bytes, LOADS_TYPE);
    if (v == NULL) {
        return NULL;
    }
    GArray *loads = g_array_new(FALSE, TRUE, sizeof(wire_load_t));
    GVariantIter iter;
    wire_load_t l;
    g_variant_iter_init(&iter, v);
    while (g_variant_iter_next(&iter, "(ttuqq)", &l.id, &l.pool, &l.token_us,
                               &l.busy, &l.age_ms)) {
        g_array_append_val(loads, l);
    }
    g_variant_unref(v);
    return loads;
}

GBytes *
wire_ids_write(guint64 pool, const GArray *ids)
{
    GVariant *list = g_variant_new_fixed_array(
        G_VARIANT_TYPE_UINT64, ids->data, ids->len, sizeof(guint64));
    return codec_write(g_variant_new("(t@at)", pool, list));
}

GArray *
wire_ids_read(GBytes *bytes, guint64 *pool)
{
    GVariant *v = codec_read(bytes, IDS_TYPE);
    if (v == NULL) {
        return NULL;
    }
    GArray *ids = g_array_new(FALSE, FALSE, sizeof(guint64));
    GVariant *list = NULL;
    g_variant_get(v, "(t@at)", pool, &list);
    gsize count;
    const guint64 *data =
        g_variant_get_fixed_array(list, &count, sizeof(guint64));
    if (count > 0) {
        g_array_append_vals(ids, data, (guint)count);
    }
    g_variant_unref(list);
    g_variant_unref(v);
    return ids;
}

GBytes *
wire_pair_write(guint64 a, guint64 b, guint64 c, gboolean flag)
{
    return codec_write(g_variant_new(PAIR_TYPE, a, b, c, flag));
}

gboolean
wire_pair_read(GBytes *bytes, guint64 *a, guint64 *b, guint64 *c,
               gboolean *flag)
{
    GVariant *v = codec_read(bytes, PAIR_TYPE);
    if (v == NULL) {
        return FALSE;
    }
    g_variant_get(v, PAIR_TYPE, a, b, c, flag);
    g_variant_unref(v);
    return TRUE;
}

/* ---- voters ---- */

static GVariant *
bytes_variant(GBytes *bytes)
{
    if (bytes == NULL) {
        return g_variant_new_fixed_array(G_VARIANT_TYPE_BYTE, NULL, 0, 1);
    }
    return g_variant_new_from_bytes(G_VARIANT_TYPE("ay"), bytes, TRUE);
}

static GBytes *
bytes_take(GVariant *array)
{
    GBytes *bytes = g_variant_get_data_as_bytes(array);
    g_variant_unref(array);
    return bytes;
}

GBytes *
wire_call_write(const wire_call_t *w)
{
    return codec_write(g_variant_new("(tyts@ay)", w->call, (guchar)w->kind,
                                     w->version, w->name ? w->name : "",
                                     bytes_variant(w->body)));
}

gboolean
wire_call_read(GBytes *bytes, wire_call_t *w)
{
    *w = (wire_call_t){0};
    GVariant *v = codec_read(bytes, "(tytsay)");
    if (v == NULL) {
        return FALSE;
    }
    guchar kind;
    GVariant *body;
    g_variant_get(v, "(tyts@ay)", &w->call, &kind, &w->version, &w->name,
                  &body);
    w->kind = (call_kind_t)kind;
    w->body = bytes_take(body);
    g_variant_unref(v);
    return TRUE;
}

void
wire_call_clear(wire_call_t *w)
{
    g_clear_pointer(&w->body, g_bytes_unref);
    g_clear_pointer(&w->name, g_free);
}

GBytes *
wire_reply_write(const wire_reply_t *w)
{
    return codec_write(
        g_variant_new("(tiitiss@ay)", w->call, w->result, w->outcome,
                      w->version, w->status, w->text ? w->text : "",
                      w->type ? w->type : "", bytes_variant(w->body)));
}

gboolean
wire_reply_read(GBytes *bytes, wire_reply_t *w)
{
    *w = (wire_reply_t){0};
    GVariant *v = codec_read(bytes, "(tiitissay)");
    if (v == NULL) {
        return FALSE;
    }
    GVariant *body;
    g_variant_get(v, "(tiitiss@ay)", &w->call, &w->result, &w->outcome,
                  &w->version, &w->status, &w->text, &w->type, &body);
    w->body = bytes_take(body);
    g_variant_unref(v);
    return TRUE;
}

void
wire_reply_clear(wire_reply_t *w)
{
    g_clear_pointer(&w->body, g_bytes_unref);
    g_clear_pointer(&w->text, g_free);
    g_clear_pointer(&w->type, g_free);
}

static void
step_clear(gpointer data)
{
    g_bytes_unref(((wire_step_t *)data)->inserted);
}

GArray *
wire_steps_create(void)
{
    GArray *steps = g_array_new(FALSE, TRUE, sizeof(wire_step_t));
    g_array_set_clear_func(steps, step_clear);
    return steps;
}

GBytes *
wire_steps_write(const GArray *steps)
{
    GVariantBuilder b;
    g_variant_builder_init(&b, G_VARIANT_TYPE("a(ttttay)"));
    for (guint i = 0; i < steps->len; i++) {
        const wire_step_t *s = &g_array_index(steps, wire_step_t, i);
        g_variant_builder_add(&b, "(tttt@ay)", s->version, s->base, s->prefix,
                              s->removed, bytes_variant(s->inserted));
    }
    return codec_write(g_variant_builder_end(&b));
}

GArray *
wire_steps_read(GBytes *bytes)
{
    GVariant *v = codec_read(bytes, "a(ttttay)");
    if (v == NULL) {
        return NULL;
    }
    GArray *steps = wire_steps_create();
    GVariantIter iter;
    wire_step_t s;
    GVariant *inserted;
    g_variant_iter_init(&iter, v);
    while (g_variant_iter_next(&iter, "(tttt@ay)", &s.version, &s.base,
                               &s.prefix, &s.removed, &inserted)) {
        s.inserted = bytes_take(inserted);
        g_array_append_val(steps, s);
    }
    g_variant_unref(v);
    return steps;
}

GBytes *
wire_found_write(const wire_found_t *w)
{
    return codec_write(g_variant_new("(tsbb@ay)", w->id, w->name, w->empty,
                                     w->answer, bytes_variant(w->config)));
}

gboolean
wire_found_read(GBytes *bytes, wire_found_t *w)
{
    *w = (wire_found_t){0};
    GVariant *v = codec_read(bytes, "(tsbbay)");
    if (v == NULL) {
        return FALSE;
    }
    GVariant *config;
    g_variant_get(v, "(tsbb@ay)", &w->id, &w->name, &w->empty, &w->answer,
                  &config);
    w->config = bytes_take(config);
    g_variant_unref(v);
    return TRUE;
}

void
wire_found_clear(wire_found_t *w)
{
    g_clear_pointer(&w->config, g_bytes_unref);
    g_clear_pointer(&w->name, g_free);
}
