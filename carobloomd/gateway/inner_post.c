#include "carobloom/gateway/inner_post.h"

GString *
inner_post(const char *path, const char *address, str_t body)
{
    enum { HEAD_ROOM = 128 };
    GString *bytes = g_string_sized_new(body.length + HEAD_ROOM);
    g_string_append_printf(bytes,
                           "POST %s HTTP/1.1\r\nHost: %s\r\n"
                           "Content-Length: %" G_GSIZE_FORMAT "\r\n\r\n",
                           path, address, body.length);
    g_string_append_len(bytes, body.data, (gssize)body.length);
    return bytes;
}
