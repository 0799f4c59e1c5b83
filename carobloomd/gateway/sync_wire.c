#include "carobloom/gateway/sync_wire.h"

#include "carobloom/common/codec.h"
#include "carobloom/common/pack.h"
#include "carobloom/gateway/crash_wire.h"

#define REQUEST_TYPE "(stttttubb)"
#define LEASES_TYPE "a(ssssxtuybxx)"
/* Leases are a nested byte array, compressed if there are many. */
#define ANSWER_TYPE                                                           \
    "(ttbbbttbaybayassut" QUARANTINE_ORDERS_TYPE "t" LIMIT_STATES_TYPE ")"
#define ANSWER_FORMAT                                                         \
    "(ttbbbttb@ayb@ay@assut@" QUARANTINE_ORDERS_TYPE "t@" LIMIT_STATES_TYPE ")"
/* Messages in which a log id comes first. Instances of earlier versions have
 * none, so that a control instance knows which form they read. */
#define WITH_LOG_TYPE(type) "(t" type ")"
#define ENVELOPE_TYPE "(stay)"

enum {
    PACKED_LEASES_MIN = 16, /* fewer are sent uncompressed */
    /* 1024 bytes per lease: all names of maximum length. */
    LEASES_BYTES_MAX = SYNC_LEASES_MAX * 1024,
};

static GBytes *
write_with_log(gboolean has_log_id, guint64 log_id, GVariant *message)
{
    return codec_write(has_log_id ? g_variant_new("(t*)", log_id, message)
                                  : message);
}

/* Reads a message in either form. NULL if malformed. */
static GVariant *
read_with_log(GBytes *bytes, const char *type, const char *with_log_type,
              gboolean *has_log_id, guint64 *log_id)
{
    GVariant *v = codec_read(bytes, with_log_type);
    *has_log_id = v != NULL;
    if (v == NULL) {
        return codec_read(bytes, type);
    }
    GVariant *message;
    g_variant_get(v, "(t*)", log_id, &message);
    g_variant_unref(v);
    return message;
}

GBytes *
sync_request_write(const sync_request_t *r)
{
    return write_with_log(r->has_log_id, r->log_id,
                          g_variant_new(REQUEST_TYPE, r->instance, r->version,
                                        r->epoch, r->cursor,
                                        r->quarantine_cursor, r->limit_cursor,
                                        r->wait_ms, r->wants_config, r->more));
}

gboolean
sync_request_read(GBytes *bytes, sync_request_t *r)
{
    *r = (sync_request_t){0};
    GVariant *v =
        read_with_log(bytes, REQUEST_TYPE, WITH_LOG_TYPE(REQUEST_TYPE),
                      &r->has_log_id, &r->log_id);
    if (v == NULL) {
        return FALSE;
    }
    g_variant_get(v, REQUEST_TYPE, &r->instance, &r->version, &r->epoch,
                  &r->cursor, &r->quarantine_cursor, &r->limit_cursor,
                  &r->wait_ms, &r->wants_config, &r->more);
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

GBytes *
leases_write(const GPtrArray *leases, gboolean *packed)
{
    *packed = leases != NULL && leases->len >= PACKED_LEASES_MIN;
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
    GBytes *plain = codec_write(g_variant_builder_end(&b));
    if (!*packed) {
        return plain;
    }
    GBytes *bytes = pack_bytes(plain);
    g_bytes_unref(plain);
    return bytes;
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
    gboolean packed;
    GBytes *leases = leases_write(a->leases, &packed);
    GVariant *message = g_variant_new(
        ANSWER_FORMAT, a->epoch, a->cursor, a->full, a->more, a->confirmed,
        a->version, a->base, a->delta != NULL, codec_bytes(a->delta), packed,
        codec_bytes(leases), names_variant(a->controls), a->data_centre,
        a->entries, a->quarantine_cursor,
        quarantine_orders_variant(a->quarantine_orders), a->limit_cursor,
        limit_states_variant(a->limits));
    g_bytes_unref(leases);
    return write_with_log(a->has_log_id, a->log_id, message);
}

/* Returns NULL if the bytes are not a list of leases. */
static GVariant *
leases_unpack(GVariant *bytes, gboolean packed)
{
    GBytes *plain = codec_take_bytes(bytes);
    if (packed) {
        GBytes *unpacked = unpack_bytes(plain, LEASES_BYTES_MAX);
        g_bytes_unref(plain);
        plain = unpacked;
    }
    GVariant *list = plain != NULL ? codec_read(plain, LEASES_TYPE) : NULL;
    g_clear_pointer(&plain, g_bytes_unref);
    return list;
}

GPtrArray *
leases_read(GVariant *bytes, gboolean packed)
{
    GVariant *list = leases_unpack(bytes, packed);
    if (list == NULL) {
        return NULL;
    }
    GPtrArray *leases = g_ptr_array_new_with_free_func(lease_free);
    GVariantIter iter;
    endpoint_lease_t l;
    guchar state;
    gboolean valid = g_variant_iter_init(&iter, list) <= SYNC_LEASES_MAX;
    while (valid && g_variant_iter_next(
                        &iter, "(ssssxtuybxx)", &l.id, &l.service, &l.address,
                        &l.data_centre, &l.started_ms, &l.sequence, &l.slots,
                        &state, &l.reclaimable, &l.leaves_ms, &l.cold_ms)) {
        l.state = (lease_state_t)state;
        valid = state < LEASE_STATES;
        g_ptr_array_add(leases, g_memdup2(&l, sizeof(l)));
    }
    g_variant_unref(list);
    if (!valid) {
        g_clear_pointer(&leases, g_ptr_array_unref);
    }
    return leases;
}

static gboolean
names_parse(GVariant *list, sync_answer_t *a)
{
    GVariantIter iter;
    char *name;
    gboolean valid = g_variant_iter_init(&iter, list) <= SYNC_CONTROLS_MAX;
    while (valid && g_variant_iter_next(&iter, "s", &name)) {
        g_ptr_array_add(a->controls, name);
    }
    g_variant_unref(list);
    return valid;
}

gboolean
sync_answer_read(GBytes *bytes, sync_answer_t *a)
{
    *a = (sync_answer_t){0};
    a->controls = g_ptr_array_new_with_free_func(g_free);
    GVariant *v = read_with_log(bytes, ANSWER_TYPE, WITH_LOG_TYPE(ANSWER_TYPE),
                                &a->has_log_id, &a->log_id);
    if (v == NULL) {
        sync_answer_clear(a);
        return FALSE;
    }
    GVariant *delta;
    GVariant *leases;
    GVariant *controls;
    GVariant *orders;
    GVariant *limits;
    gboolean has_delta;
    gboolean packed;
    g_variant_get(v, ANSWER_FORMAT, &a->epoch, &a->cursor, &a->full, &a->more,
                  &a->confirmed, &a->version, &a->base, &has_delta, &delta,
                  &packed, &leases, &controls, &a->data_centre, &a->entries,
                  &a->quarantine_cursor, &orders, &a->limit_cursor, &limits);
    a->quarantine_orders = quarantine_orders_read(orders);
    a->limits = limit_states_read(limits);
    a->delta = codec_take_bytes(delta);
    if (!has_delta) {
        g_clear_pointer(&a->delta, g_bytes_unref);
    }
    a->leases = leases_read(leases, packed);
    gboolean valid = names_parse(controls, a) && a->leases != NULL &&
                     a->quarantine_orders != NULL && a->limits != NULL;
    g_variant_unref(v);
    if (!valid) {
        sync_answer_clear(a);
    }
    return valid;
}

void
sync_answer_clear(sync_answer_t *a)
{
    g_clear_pointer(&a->delta, g_bytes_unref);
    g_clear_pointer(&a->leases, g_ptr_array_unref);
    g_clear_pointer(&a->quarantine_orders, g_array_unref);
    g_clear_pointer(&a->limits, g_array_unref);
    g_clear_pointer(&a->controls, g_ptr_array_unref);
    g_clear_pointer(&a->data_centre, g_free);
}

GBytes *
voter_envelope_write(const voter_envelope_t *l)
{
    return codec_write(
        g_variant_new("(st@ay)", l->from, l->id, codec_bytes(l->message)));
}

gboolean
voter_envelope_read(GBytes *bytes, voter_envelope_t *l)
{
    *l = (voter_envelope_t){0};
    GVariant *v = codec_read(bytes, ENVELOPE_TYPE);
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
voter_envelope_clear(voter_envelope_t *l)
{
    g_clear_pointer(&l->from, g_free);
    g_clear_pointer(&l->message, g_bytes_unref);
}
