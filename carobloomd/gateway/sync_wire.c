#include "carobloom/gateway/sync_wire.h"

#include <string.h>

#include "carobloom/common/codec.h"

#define REQUEST_TYPE "(stttubbay)"
#define LEASES_TYPE "a(ssssxtuyx)"
#define ANSWER_TYPE "(ttbbttbay" LEASES_TYPE "asubay)"
#define LETTER_TYPE "(stay)"

static GVariant *
bytes_variant(GBytes *bytes)
{
    gsize length = 0;
    gconstpointer data = bytes != NULL ? g_bytes_get_data(bytes, &length) : "";
    return g_variant_new_fixed_array(G_VARIANT_TYPE_BYTE, data, length, 1);
}

static GBytes *
variant_bytes(GVariant *variant)
{
    gsize length = 0;
    gconstpointer data = g_variant_get_fixed_array(variant, &length, 1);
    GBytes *bytes = g_bytes_new(data, length);
    g_variant_unref(variant);
    return bytes;
}

/* Loads go as packed records of a fixed size: 66 entry instances told of 112
 * endpoints four times a second are 30,000 records a second at the leader, and
 * a leader that is kept busy by them tells of loads that are old. */
typedef struct {
    guint64 endpoint;
    guint32 prompt_tokens;
    guint32 waiting_tokens;
    guint32 long_waiting;
    guint16 running;
    guint16 long_running;
} load_record_t;

G_STATIC_ASSERT(sizeof(load_record_t) == 24);

static load_record_t
load_pack(const endpoint_load_t *l)
{
    return (load_record_t){
        .endpoint = GUINT64_TO_LE(l->endpoint),
        .prompt_tokens = GUINT32_TO_LE(l->prompt_tokens),
        .waiting_tokens = GUINT32_TO_LE(l->waiting_tokens),
        .long_waiting = GUINT32_TO_LE(l->long_waiting),
        .running = GUINT16_TO_LE((guint16)MIN(l->running, G_MAXUINT16)),
        .long_running =
            GUINT16_TO_LE((guint16)MIN(l->long_running, G_MAXUINT16)),
    };
}

static endpoint_load_t
load_unpack(const load_record_t *r)
{
    return (endpoint_load_t){
        .endpoint = GUINT64_FROM_LE(r->endpoint),
        .prompt_tokens = GUINT32_FROM_LE(r->prompt_tokens),
        .waiting_tokens = GUINT32_FROM_LE(r->waiting_tokens),
        .long_waiting = GUINT32_FROM_LE(r->long_waiting),
        .running = GUINT16_FROM_LE(r->running),
        .long_running = GUINT16_FROM_LE(r->long_running),
    };
}

static GVariant *
loads_variant(const GArray *loads)
{
    guint count = loads != NULL ? loads->len : 0;
    load_record_t *records = g_new(load_record_t, count);
    for (guint i = 0; i < count; i++) {
        records[i] = load_pack(&g_array_index(loads, endpoint_load_t, i));
    }
    return g_variant_new_from_data(G_VARIANT_TYPE("ay"), records,
                                   count * sizeof(*records), TRUE, g_free,
                                   records);
}

/* NULL when it is no list of records. */
static GArray *
loads_take(GVariant *list)
{
    gsize length;
    const guint8 *data = g_variant_get_fixed_array(list, &length, 1);
    gsize count = length / sizeof(load_record_t);
    GArray *loads = NULL;
    if (length % sizeof(load_record_t) == 0 && count <= SYNC_ENDPOINTS_MAX) {
        loads = g_array_sized_new(FALSE, FALSE, sizeof(endpoint_load_t),
                                  (guint)count);
    }
    for (gsize i = 0; loads != NULL && i < count; i++) {
        load_record_t record;
        memcpy(&record, data + i * sizeof(record), sizeof(record));
        endpoint_load_t load = load_unpack(&record);
        g_array_append_val(loads, load);
    }
    g_variant_unref(list);
    return loads;
}

GBytes *
sync_request_write(const sync_request_t *r)
{
    return codec_write(g_variant_new(
        "(stttubb@ay)", r->instance, r->version, r->epoch, r->cursor,
        r->wait_ms, r->takes_config, r->reports, loads_variant(r->loads)));
}

gboolean
sync_request_read(GBytes *bytes, sync_request_t *r)
{
    *r = (sync_request_t){0};
    GVariant *v = codec_read(bytes, REQUEST_TYPE);
    if (v == NULL) {
        return FALSE;
    }
    GVariant *loads;
    g_variant_get(v, "(stttubb@ay)", &r->instance, &r->version, &r->epoch,
                  &r->cursor, &r->wait_ms, &r->takes_config, &r->reports,
                  &loads);
    r->loads = loads_take(loads);
    g_variant_unref(v);
    if (r->loads == NULL) {
        sync_request_clear(r);
        return FALSE;
    }
    return TRUE;
}

void
sync_request_clear(sync_request_t *r)
{
    g_clear_pointer(&r->instance, g_free);
    g_clear_pointer(&r->loads, g_array_unref);
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
        g_variant_builder_add(&b, "(ssssxtuyx)", l->id, l->service, l->address,
                              l->data_centre ? l->data_centre : "",
                              l->started_ms, l->sequence, l->slots,
                              (guchar)l->state, l->cold_ms);
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
    return codec_write(
        g_variant_new("(ttbbttb@ay@" LEASES_TYPE "@asub@ay)", a->epoch,
                      a->cursor, a->full, a->confirmed, a->version, a->base,
                      a->delta != NULL, bytes_variant(a->delta),
                      leases_variant(a->leases), names_variant(a->controls),
                      a->entries, a->loads != NULL, loads_variant(a->loads)));
}

static gboolean
leases_take(GVariant *list, sync_answer_t *a)
{
    GVariantIter iter;
    endpoint_lease_t l;
    guchar state;
    gboolean sound = g_variant_iter_init(&iter, list) <= SYNC_ENDPOINTS_MAX;
    while (sound &&
           g_variant_iter_next(&iter, "(ssssxtuyx)", &l.id, &l.service,
                               &l.address, &l.data_centre, &l.started_ms,
                               &l.sequence, &l.slots, &state, &l.cold_ms)) {
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
    GVariant *loads;
    gboolean news;
    gboolean loaded;
    g_variant_get(v, "(ttbbttb@ay@" LEASES_TYPE "@asub@ay)", &a->epoch,
                  &a->cursor, &a->full, &a->confirmed, &a->version, &a->base,
                  &news, &delta, &leases, &controls, &a->entries, &loaded,
                  &loads);
    a->loads = loads_take(loads);
    gboolean sound = a->loads != NULL;
    if (!loaded) {
        g_clear_pointer(&a->loads, g_array_unref);
    }
    a->delta = variant_bytes(delta);
    if (!news) {
        g_clear_pointer(&a->delta, g_bytes_unref);
    }
    sound = leases_take(leases, a) && sound;
    sound = names_take(controls, a) && sound;
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
    g_clear_pointer(&a->controls, g_ptr_array_unref);
    g_clear_pointer(&a->loads, g_array_unref);
}

GBytes *
voter_letter_write(const voter_letter_t *l)
{
    return codec_write(
        g_variant_new("(st@ay)", l->from, l->id, bytes_variant(l->message)));
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
    l->message = variant_bytes(message);
    g_variant_unref(v);
    return TRUE;
}

void
voter_letter_clear(voter_letter_t *l)
{
    g_clear_pointer(&l->from, g_free);
    g_clear_pointer(&l->message, g_bytes_unref);
}
