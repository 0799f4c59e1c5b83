#include "carobloom/gateway/inner_post.h"

client_call_t *
inner_post(http_peer_t *peer, const char *path, const char *address,
           str_t body, const client_call_ops_t *ops, void *user)
{
    enum { HEAD_BYTES = 128 };
    GString *bytes = g_string_sized_new(body.length + HEAD_BYTES);
    g_string_append_printf(bytes,
                           "POST %s HTTP/1.1\r\nHost: %s\r\n"
                           "Content-Length: %" G_GSIZE_FORMAT "\r\n\r\n",
                           path, address, body.length);
    g_string_append_len(bytes, body.data, (gssize)body.length);
    client_call_t *call = client_call_create(
        peer, (str_t){.data = bytes->str, .length = bytes->len}, FALSE, ops,
        user);
    g_string_free(bytes, TRUE);
    return call;
}
