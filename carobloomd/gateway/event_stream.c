#include "event_stream.h"

#include <string.h>

void
event_stream_init(event_stream_t *s)
{
    s->pending = g_byte_array_new();
}

void
event_stream_clear(event_stream_t *s)
{
    g_clear_pointer(&s->pending, g_byte_array_unref);
}

void
event_stream_reset(event_stream_t *s)
{
    g_byte_array_set_size(s->pending, 0);
    s->searched = 0;
}

/* Returns the length of the first event including its blank line, which does
 * not begin before `from`, or 0 if the event is incomplete. */
static gsize
event_length(const char *data, gsize length, gsize from)
{
    for (gsize i = from; i + 1 < length; i++) {
        if (data[i] != '\n') {
            continue;
        }
        if (data[i + 1] == '\n') {
            return i + 2;
        }
        if (data[i + 1] == '\r' && i + 2 < length && data[i + 2] == '\n') {
            return i + 3;
        }
    }
    return 0;
}

/* Returns the number in the line "id: N", or G_MAXUINT64 if the event has
 * none. */
static guint64
event_id(str_t event)
{
    gsize at = 0;
    while (at < event.length) {
        str_t line = str_tail(event, at);
        if (str_has_prefix(line, STR("id:"))) {
            gsize i = 3;
            guint64 id = 0;
            while (i < line.length && line.data[i] == ' ') {
                i++;
            }
            gsize digits = i;
            for (; i < line.length && g_ascii_isdigit(line.data[i]); i++) {
                id = id * 10 + (guint64)(line.data[i] - '0');
            }
            return i > digits ? id : G_MAXUINT64;
        }
        gssize end = str_find(event, STR("\n"), at);
        if (end < 0) {
            break;
        }
        at = (gsize)end + 1;
    }
    return G_MAXUINT64;
}

int
event_stream_feed(event_stream_t *s, str_t bytes, event_fn_t fn, void *user)
{
    g_byte_array_append(s->pending, (const guint8 *)bytes.data,
                        (guint)bytes.length);
    gsize at = 0;
    for (;;) {
        const char *data = (const char *)s->pending->data + at;
        gsize length = event_length(data, s->pending->len - at,
                                    at == 0 ? s->searched : 0);
        if (length == 0) {
            break;
        }
        str_t event = {.data = data, .length = length};
        fn(event, event_id(event), user);
        at += length;
    }
    if (at > 0) {
        g_byte_array_remove_range(s->pending, 0, (guint)at);
    }
    /* A blank line may have begun with the last two bytes. Without this, an
     * event that comes in small pieces would cost the square of its length. */
    s->searched = s->pending->len > 2 ? s->pending->len - 2 : 0;
    return s->pending->len > EVENT_BYTES_MAX ? EVENT_STREAM_ERROR_LONG
                                             : EVENT_STREAM_OK;
}

gboolean
event_stream_at_boundary(const event_stream_t *s)
{
    return s->pending->len == 0;
}
