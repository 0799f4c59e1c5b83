#include "carobloom/policy/sse.h"

#include <string.h>

void
sse_init(sse_t *sse)
{
    sse->pending = g_string_new(NULL);
}

void
sse_clear(sse_t *sse)
{
    g_string_free(sse->pending, TRUE);
    sse->pending = NULL;
}

/* Length of the event at the start of `s` including its blank line, 0 if it is
 * incomplete. */
static gsize
event_length(str_t s)
{
    gsize at = 0;
    while (at < s.length) {
        const char *nl = memchr(s.data + at, '\n', s.length - at);
        if (nl == NULL) {
            return 0;
        }
        gsize next = (gsize)(nl - s.data) + 1;
        if (next < s.length && s.data[next] == '\n') {
            return next + 1;
        }
        if (next + 1 < s.length && s.data[next] == '\r' &&
            s.data[next + 1] == '\n') {
            return next + 2;
        }
        at = next;
    }
    return 0;
}

/* Appends the values of the data lines of `event` to `out`, joined by
 * newlines. */
static void
collect_data(str_t event, GString *out)
{
    gsize at = 0;
    gboolean first = TRUE;
    while (at < event.length) {
        const char *nl = memchr(event.data + at, '\n', event.length - at);
        gsize end = nl ? (gsize)(nl - event.data) : event.length;
        str_t line = {.data = event.data + at, .length = end - at};
        if (line.length > 0 && line.data[line.length - 1] == '\r') {
            line.length--;
        }
        at = end + 1;
        if (!str_has_prefix(line, STR("data:"))) {
            continue;
        }
        str_t value = str_tail(line, strlen("data:"));
        if (value.length > 0 && value.data[0] == ' ') {
            value = str_tail(value, 1);
        }
        if (!first) {
            g_string_append_c(out, '\n');
        }
        g_string_append_len(out, value.data, (gssize)value.length);
        first = FALSE;
    }
}

static int
emit(str_t raw, sse_event_fn_t fn, void *user)
{
    GString *data = g_string_sized_new(raw.length);
    collect_data(raw, data);
    int result =
        fn((str_t){.data = data->str, .length = data->len}, raw, user);
    g_string_free(data, TRUE);
    return result == 0 ? SSE_OK : SSE_ERROR_STOPPED;
}

int
sse_feed(sse_t *sse, str_t bytes, sse_event_fn_t fn, void *user)
{
    g_string_append_len(sse->pending, bytes.data, (gssize)bytes.length);
    gsize at = 0;
    int result = SSE_OK;
    while (result == SSE_OK) {
        str_t rest = {.data = sse->pending->str + at,
                      .length = sse->pending->len - at};
        gsize length = event_length(rest);
        if (length == 0) {
            break;
        }
        at += length;
        result = emit((str_t){.data = rest.data, .length = length}, fn, user);
    }
    g_string_erase(sse->pending, 0, (gssize)at);
    if (result == SSE_OK && sse->pending->len > SSE_EVENT_MAX) {
        return SSE_ERROR_TOO_LONG;
    }
    return result;
}
