#include "carobloom/http/tunnel.h"

#include <string.h>

#include "carobloom/common/codec.h"

#define OPEN_TYPE "(ssst)"

enum {
    HEAD_BYTES = 5,
    CONTROL_PAYLOAD_MAX = 1024, /* of all frames but data */
};

GBytes *
tunnel_open_write(const tunnel_open_t *open)
{
    return codec_write(g_variant_new(OPEN_TYPE, open->from, open->tunnel,
                                     open->endpoint, open->token));
}

gboolean
tunnel_open_read(GBytes *bytes, tunnel_open_t *open)
{
    *open = (tunnel_open_t){0};
    GVariant *v = codec_read(bytes, OPEN_TYPE);
    if (v == NULL) {
        return FALSE;
    }
    g_variant_get(v, OPEN_TYPE, &open->from, &open->tunnel, &open->endpoint,
                  &open->token);
    g_variant_unref(v);
    return TRUE;
}

void
tunnel_open_clear(tunnel_open_t *open)
{
    g_free(open->from);
    g_free(open->tunnel);
    g_free(open->endpoint);
    *open = (tunnel_open_t){0};
}

void
tunnel_frame_write(GByteArray *out, tunnel_frame_t type, str_t payload)
{
    guint32 size = GUINT32_TO_BE((guint32)payload.length);
    guint8 head[HEAD_BYTES] = {(guint8)type};
    memcpy(head + 1, &size, sizeof(size));
    g_byte_array_append(out, head, HEAD_BYTES);
    g_byte_array_append(out, (const guint8 *)payload.data,
                        (guint)payload.length);
}

void
tunnel_reader_init(tunnel_reader_t *reader)
{
    *reader = (tunnel_reader_t){.payload = g_byte_array_new()};
}

void
tunnel_reader_clear(tunnel_reader_t *reader)
{
    g_clear_pointer(&reader->payload, g_byte_array_unref);
}

static void
take_refusal(const GByteArray *payload, tunnel_piece_t *piece)
{
    guint8 refusal = payload->len == 1 ? payload->data[0] : 0;
    if (refusal == TUNNEL_REFUSAL_NONE || refusal >= TUNNEL_REFUSALS) {
        piece->malformed = TRUE;
        return;
    }
    piece->refusal = (tunnel_refusal_t)refusal;
}

/* A frame other than data is complete. */
static void
take_frame(tunnel_reader_t *reader, tunnel_piece_t *piece)
{
    const GByteArray *payload = reader->payload;
    switch ((tunnel_frame_t)reader->head[0]) {
    case TUNNEL_OPEN:
        g_clear_pointer(&piece->open, g_bytes_unref);
        piece->open = g_bytes_new(payload->data, payload->len);
        break;
    case TUNNEL_OPENED:
        piece->opened = TRUE;
        break;
    case TUNNEL_REFUSED:
        take_refusal(payload, piece);
        break;
    case TUNNEL_REQUEST:
        g_free(piece->request);
        piece->request = g_strndup((const char *)payload->data, payload->len);
        break;
    case TUNNEL_END:
        piece->ended = TRUE;
        break;
    case TUNNEL_DRAIN:
        piece->draining = TRUE;
        break;
    default:
        piece->malformed = TRUE;
    }
    g_byte_array_set_size(reader->payload, 0);
}

static gboolean
is_data(const tunnel_reader_t *reader)
{
    return reader->head[0] == TUNNEL_DATA;
}

static gsize
feed_head(tunnel_reader_t *reader, str_t bytes, tunnel_piece_t *piece)
{
    gsize count = MIN(bytes.length, HEAD_BYTES - reader->head_length);
    memcpy(reader->head + reader->head_length, bytes.data, count);
    reader->head_length += (guint)count;
    if (reader->head_length < HEAD_BYTES) {
        return count;
    }
    guint32 size;
    memcpy(&size, reader->head + 1, sizeof(size));
    reader->left = GUINT32_FROM_BE(size);
    if (!is_data(reader) && reader->left > CONTROL_PAYLOAD_MAX) {
        piece->malformed = TRUE;
    }
    return count;
}

static gsize
feed_payload(tunnel_reader_t *reader, str_t bytes, tunnel_piece_t *piece)
{
    guint count = (guint)MIN(bytes.length, reader->left);
    g_byte_array_append(is_data(reader) ? piece->data : reader->payload,
                        (const guint8 *)bytes.data, count);
    reader->left -= count;
    return count;
}

void
tunnel_reader_feed(tunnel_reader_t *reader, str_t bytes, tunnel_piece_t *piece)
{
    *piece = (tunnel_piece_t){.data = g_byte_array_new()};
    while (bytes.length > 0 && !piece->malformed) {
        gsize used = reader->head_length < HEAD_BYTES
                         ? feed_head(reader, bytes, piece)
                         : feed_payload(reader, bytes, piece);
        bytes = str_tail(bytes, used);
        if (reader->head_length < HEAD_BYTES || reader->left > 0 ||
            piece->malformed) {
            continue;
        }
        if (!is_data(reader)) {
            take_frame(reader, piece);
        }
        reader->head_length = 0;
    }
}

void
tunnel_piece_clear(tunnel_piece_t *piece)
{
    g_clear_pointer(&piece->open, g_bytes_unref);
    g_clear_pointer(&piece->request, g_free);
    g_clear_pointer(&piece->data, g_byte_array_unref);
}
