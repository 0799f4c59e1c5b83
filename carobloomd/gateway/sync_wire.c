#include "carobloom/gateway/sync_wire.h"

#include "carobloom/common/codec.h"
#include "carobloom/gateway/crash_wire.h"

#define REQUEST_TYPE "(sttttub)"
#define LEASES_TYPE "a(ssssxtuybxx)"
#define ANSWER_TYPE "(ttbbttbay" LEASES_TYPE "assut" QUARANTINE_ORDERS_TYPE ")"
#define ANSWER_FORMAT                                                         \
    "(ttbbttb@ay@" LEASES_TYPE "@assut@" QUARANTINE_ORDERS_TYPE ")"
#define LETTER_TYPE "(stay)"

GBytes *
sync_request_write(const sync_request_t *r)
{
    return codec_write(g_variant_new(REQUEST_TYPE, r->instance, r->version,
                                     r->epoch, r->cursor, r->held_cursor,
                                     r->wait_ms, r->takes_config));
}

gboolean
sync_request_read(GBytes *bytes, sync_request_t *r)
{
    *r = (sync_request_t){0};
    GVariant *v = codec_read(bytes, REQUEST_TYPE);
    if (v == NULL) {
        return FALSE;
    }
    g_variant_get(v, REQUEST_TYPE, &r->instance, &r->version, &r->epoch,
                  &r->cursor, &r->held_cursor, &r->wait_ms, &r->takes_config);
    g_variant_unref(v);
    return TRUE;
}

void
sync_request_clear(sync_request_t *r)
{
    g_clear_pointer(&r->instance, g_free);
}

static void
lease_free(gpointer data)
{
    endpoint_lease_clear(data);
    g_free(data);
}

static GVariant *
leases_variant(const GPtrArray *leases)
{
    GVariantBuilder b;
    g_variant_builder_init(&b, G_VARIANT_TYPE(LEASES_TYPE));
    for (guint i = 0; leases != NULL && i < leases->len; i++) {
        const endpoint_lease_t *l = leases->pdata[i];
        g_variant_builder_add(&b, "(ssssxtuybxx)", l->id, l->service,
                              l->address, l->data_centre ? l->data_centre : "",
                              l->started_ms, l->sequence, l->slots,
                              (guchar)l->state, l->reclaimable, l->leaves_ms,
                              l->cold_ms);
    }
    return g_variant_builder_end(&b);
}

static GVariant *
names_variant(const GPtrArray *names)
{
    GVariantBuilder b;
    g_variant_builder_init(&b, G_VARIANT_TYPE("as"));
    for (guint i = 0; names != NULL && i < names->len; i++) {
        g_variant_builder_add(&b, "s", names->pdata[i]);
    }
    return g_variant_builder_end(&b);
}

GBytes *
sync_answer_write(const sync_answer_t *a)
{
    return codec_write(g_variant_new(
        ANSWER_FORMAT, a->epoch, a->cursor, a->full, a->confirmed, a->version,
        a->base, a->delta != NULL, codec_bytes(a->delta),
        leases_variant(a->leases), names_variant(a->controls), a->data_centre,
        a->entries, a->held_cursor, quarantine_orders_variant(a->held)));
}

static gboolean
leases_take(GVariant *list, sync_answer_t *a)
{
    GVariantIter iter;
    endpoint_lease_t l;
    guchar state;
    gboolean sound = g_variant_iter_init(&iter, list) <= SYNC_ENDPOINTS_MAX;
    while (sound && g_variant_iter_next(
                        &iter, "(ssssxtuybxx)", &l.id, &l.service, &l.address,
                        &l.data_centre, &l.started_ms, &l.sequence, &l.slots,
                        &state, &l.reclaimable, &l.leaves_ms, &l.cold_ms)) {
        l.state = (lease_state_t)state;
        sound = state < LEASE_STATES;
        g_ptr_array_add(a->leases, g_memdup2(&l, sizeof(l)));
    }
    g_variant_unref(list);
    return sound;
}

static gboolean
names_take(GVariant *list, sync_answer_t *a)
{
    GVariantIter iter;
    char *name;
    gboolean sound = g_variant_iter_init(&iter, list) <= SYNC_CONTROLS_MAX;
    while (sound && g_variant_iter_next(&iter, "s", &name)) {
        g_ptr_array_add(a->controls, name);
    }
    g_variant_unref(list);
    return sound;
}

gboolean
sync_answer_read(GBytes *bytes, sync_answer_t *a)
{
    *a = (sync_answer_t){0};
    a->leases = g_ptr_array_new_with_free_func(lease_free);
    a->controls = g_ptr_array_new_with_free_func(g_free);
    GVariant *v = codec_read(bytes, ANSWER_TYPE);
    if (v == NULL) {
        sync_answer_clear(a);
        return FALSE;
    }
    GVariant *delta;
    GVariant *leases;
    GVariant *controls;
    GVariant *held;
    gboolean news;
    g_variant_get(v, ANSWER_FORMAT, &a->epoch, &a->cursor, &a->full,
                  &a->confirmed, &a->version, &a->base, &news, &delta, &leases,
                  &controls, &a->data_centre, &a->entries, &a->held_cursor,
                  &held);
    a->held = quarantine_orders_take(held);
    a->delta = codec_take_bytes(delta);
    if (!news) {
        g_clear_pointer(&a->delta, g_bytes_unref);
    }
    gboolean sound = leases_take(leases, a);
    sound = names_take(controls, a) && sound && a->held != NULL;
    g_variant_unref(v);
    if (!sound) {
        sync_answer_clear(a);
    }
    return sound;
}

void
sync_answer_clear(sync_answer_t *a)
{
    g_clear_pointer(&a->delta, g_bytes_unref);
    g_clear_pointer(&a->leases, g_ptr_array_unref);
    g_clear_pointer(&a->held, g_array_unref);
    g_clear_pointer(&a->controls, g_ptr_array_unref);
    g_clear_pointer(&a->data_centre, g_free);
}

GBytes *
voter_letter_write(const voter_letter_t *l)
{
    return codec_write(
        g_variant_new("(st@ay)", l->from, l->id, codec_bytes(l->message)));
}

gboolean
voter_letter_read(GBytes *bytes, voter_letter_t *l)
{
    *l = (voter_letter_t){0};
    GVariant *v = codec_read(bytes, LETTER_TYPE);
    if (v == NULL) {
        return FALSE;
    }
    GVariant *message;
    g_variant_get(v, "(st@ay)", &l->from, &l->id, &message);
    l->message = codec_take_bytes(message);
    g_variant_unref(v);
    return TRUE;
}

void
voter_letter_clear(voter_letter_t *l)
{
    g_clear_pointer(&l->from, g_free);
    g_clear_pointer(&l->message, g_bytes_unref);
}
