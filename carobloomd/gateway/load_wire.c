#include "carobloom/gateway/load_wire.h"

#include <string.h>

#include "carobloom/common/codec.h"

#define REPORT_TYPE "(sayayt)"
#define SUMS_TYPE "(ssttayay)"
#define ANSWER_TYPE "(uayayt)"

/* Loads are sent as packed records of a fixed size. With 66 entry instances
 * that receive the loads of 112 endpoints four times per second, the leader
 * writes 30,000 records per second. If this keeps the leader busy, the loads
 * that it sends are outdated. */
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
load_encode(const endpoint_load_t *l)
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
load_decode(const load_record_t *r)
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
        records[i] = load_encode(&g_array_index(loads, endpoint_load_t, i));
    }
    return g_variant_new_from_data(G_VARIANT_TYPE("ay"), records,
                                   count * sizeof(*records), TRUE, g_free,
                                   records);
}

/* Returns the bytes of a list of records of `size` bytes each, and their
 * number. Returns FALSE if the length is no multiple of `size`, or there are
 * more than `max_count` records. */
static gboolean
records_read(GVariant *list, gsize size, gsize max_count, const guint8 **data,
             gsize *count)
{
    gsize length;
    *data = g_variant_get_fixed_array(list, &length, 1);
    *count = length / size;
    return length % size == 0 && *count <= max_count;
}

/* Takes ownership of `list`. Returns NULL if it is not a list of loads. */
static GArray *
loads_read(GVariant *list)
{
    const guint8 *data;
    gsize count;
    GArray *loads = NULL;
    load_record_t record;
    if (records_read(list, sizeof(record), LOAD_ENDPOINTS_MAX, &data,
                     &count)) {
        loads = g_array_sized_new(FALSE, FALSE, sizeof(endpoint_load_t),
                                  (guint)count);
    }
    for (gsize i = 0; loads != NULL && i < count; i++) {
        memcpy(&record, data + i * sizeof(record), sizeof(record));
        endpoint_load_t load = load_decode(&record);
        g_array_append_val(loads, load);
    }
    g_variant_unref(list);
    return loads;
}

static GVariant *
parts_variant(const GArray *parts)
{
    guint count = parts != NULL ? parts->len : 0;
    guint64 *words = g_new(guint64, 2 * (gsize)count);
    for (guint i = 0; i < count; i++) {
        const part_copy_t *copy = &g_array_index(parts, part_copy_t, i);
        words[2 * i] = GUINT64_TO_LE(copy->part);
        words[2 * i + 1] = GUINT64_TO_LE(copy->endpoint);
    }
    return g_variant_new_from_data(G_VARIANT_TYPE("ay"), words,
                                   count * sizeof(part_copy_t), TRUE, g_free,
                                   words);
}

/* Takes ownership of `list`. Returns NULL if it is not a list of part_copy_t.
 */
static GArray *
parts_read(GVariant *list)
{
    const guint8 *data;
    gsize count;
    GArray *parts = NULL;
    guint64 words[2]; /* a part and an endpoint */
    if (records_read(list, sizeof(words), PART_FEED_MAX, &data, &count)) {
        parts =
            g_array_sized_new(FALSE, FALSE, sizeof(part_copy_t), (guint)count);
    }
    for (gsize i = 0; parts != NULL && i < count; i++) {
        memcpy(words, data + i * sizeof(words), sizeof(words));
        part_copy_t copy = {.part = GUINT64_FROM_LE(words[0]),
                            .endpoint = GUINT64_FROM_LE(words[1])};
        g_array_append_val(parts, copy);
    }
    g_variant_unref(list);
    return parts;
}

GBytes *
load_report_write(const load_report_t *r)
{
    return codec_write(
        g_variant_new("(s@ay@ayt)", r->from, loads_variant(r->loads),
                      parts_variant(r->parts), r->parts_received));
}

gboolean
load_report_read(GBytes *bytes, load_report_t *r)
{
    *r = (load_report_t){0};
    GVariant *v = codec_read(bytes, REPORT_TYPE);
    if (v == NULL) {
        return FALSE;
    }
    GVariant *loads;
    GVariant *parts;
    g_variant_get(v, "(s@ay@ayt)", &r->from, &loads, &parts,
                  &r->parts_received);
    r->loads = loads_read(loads);
    r->parts = parts_read(parts);
    g_variant_unref(v);
    if (r->loads == NULL || r->parts == NULL) {
        load_report_clear(r);
        return FALSE;
    }
    return TRUE;
}

void
load_report_clear(load_report_t *r)
{
    g_clear_pointer(&r->from, g_free);
    g_clear_pointer(&r->loads, g_array_unref);
    g_clear_pointer(&r->parts, g_array_unref);
}

GBytes *
load_sums_write(const load_sums_t *s)
{
    return codec_write(g_variant_new(
        "(sstt@ay@ay)", s->from, s->data_centre, s->sequence, s->base,
        loads_variant(s->loads), parts_variant(s->parts)));
}

/* Returns whether the loads are in strictly ascending order of endpoints. */
static gboolean
in_order(const GArray *loads)
{
    for (guint i = 1; i < loads->len; i++) {
        if (g_array_index(loads, endpoint_load_t, i - 1).endpoint >=
            g_array_index(loads, endpoint_load_t, i).endpoint) {
            return FALSE;
        }
    }
    return TRUE;
}

gboolean
load_sums_read(GBytes *bytes, load_sums_t *s)
{
    *s = (load_sums_t){0};
    GVariant *v = codec_read(bytes, SUMS_TYPE);
    if (v == NULL) {
        return FALSE;
    }
    GVariant *loads;
    GVariant *parts;
    g_variant_get(v, "(sstt@ay@ay)", &s->from, &s->data_centre, &s->sequence,
                  &s->base, &loads, &parts);
    s->loads = loads_read(loads);
    s->parts = parts_read(parts);
    g_variant_unref(v);
    if (s->loads == NULL || s->parts == NULL || !in_order(s->loads)) {
        load_sums_clear(s);
        return FALSE;
    }
    return TRUE;
}

void
load_sums_clear(load_sums_t *s)
{
    g_clear_pointer(&s->from, g_free);
    g_clear_pointer(&s->data_centre, g_free);
    g_clear_pointer(&s->loads, g_array_unref);
    g_clear_pointer(&s->parts, g_array_unref);
}

GBytes *
load_answer_write(const load_answer_t *a)
{
    return codec_write(g_variant_new(
        "(u@ay@ayt)", a->report_interval_ms, loads_variant(a->loads),
        parts_variant(a->parts), a->parts_received));
}

gboolean
load_answer_read(GBytes *bytes, load_answer_t *a)
{
    *a = (load_answer_t){0};
    GVariant *v = codec_read(bytes, ANSWER_TYPE);
    if (v == NULL) {
        return FALSE;
    }
    GVariant *loads;
    GVariant *parts;
    g_variant_get(v, "(u@ay@ayt)", &a->report_interval_ms, &loads, &parts,
                  &a->parts_received);
    a->loads = loads_read(loads);
    a->parts = parts_read(parts);
    g_variant_unref(v);
    if (a->loads == NULL || a->parts == NULL) {
        load_answer_clear(a);
        return FALSE;
    }
    return TRUE;
}

void
load_answer_clear(load_answer_t *a)
{
    g_clear_pointer(&a->loads, g_array_unref);
    g_clear_pointer(&a->parts, g_array_unref);
}
