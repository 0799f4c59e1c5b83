#include "carobloom/connection/framed_connection.h"

#include <string.h>

/* GObject makes the names of class structures of the types'. */

/* ---- a converter that passes all bytes, and fails at their end ---- */

typedef struct {
    GObject parent;
} end_check_t;

typedef struct {
    GObjectClass parent;
} end_check_tClass; /* NOLINT(readability-identifier-naming) */

static GConverterResult
end_check_convert(GConverter *converter, const void *in, gsize in_size,
                  void *out, gsize out_size, GConverterFlags flags,
                  gsize *read, gsize *written, GError **error)
{
    (void)converter;
    (void)flags;
    if (in_size == 0) {
        g_set_error_literal(error, G_IO_ERROR, G_IO_ERROR_PARTIAL_INPUT,
                            "the connection ended inside a message");
        return G_CONVERTER_ERROR;
    }
    *read = MIN(in_size, out_size);
    *written = *read;
    memcpy(out, in, *read);
    return G_CONVERTER_CONVERTED;
}

static void
end_check_reset(GConverter *converter)
{
    (void)converter;
}

static void
end_check_iface_init(GConverterIface *iface)
{
    iface->convert = end_check_convert;
    iface->reset = end_check_reset;
}

G_DEFINE_TYPE_WITH_CODE(end_check_t, end_check, G_TYPE_OBJECT,
                        G_IMPLEMENT_INTERFACE(G_TYPE_CONVERTER,
                                              end_check_iface_init))

static void
end_check_init(end_check_t *check)
{
    (void)check;
}

static void
end_check_class_init(end_check_tClass *class)
{
    (void)class;
}

/* ---- the connection ---- */

typedef struct {
    GTcpConnection parent;
    GInputStream *input; /* created when it is first asked for */
} framed_connection_t;

typedef struct {
    GTcpConnectionClass parent;
} framed_connection_tClass; /* NOLINT(readability-identifier-naming) */

G_DEFINE_TYPE(framed_connection_t, framed_connection, G_TYPE_TCP_CONNECTION)

static GInputStream *
input_create(GInputStream *bytes)
{
    GConverter *check = g_object_new(end_check_get_type(), NULL);
    GInputStream *input =
        g_object_new(G_TYPE_CONVERTER_INPUT_STREAM, "base-stream", bytes,
                     "close-base-stream", FALSE, "converter", check, NULL);
    g_object_unref(check);
    return input;
}

static GInputStream *
get_input_stream(GIOStream *stream)
{
    framed_connection_t *c = (framed_connection_t *)stream;
    if (c->input == NULL) {
        c->input =
            input_create(G_IO_STREAM_CLASS(framed_connection_parent_class)
                             ->get_input_stream(stream));
    }
    return c->input;
}

static void
framed_connection_finalize(GObject *object)
{
    g_clear_object(&((framed_connection_t *)object)->input);
    G_OBJECT_CLASS(framed_connection_parent_class)->finalize(object);
}

static void
framed_connection_init(framed_connection_t *connection)
{
    (void)connection;
}

static void
framed_connection_class_init(framed_connection_tClass *class)
{
    G_OBJECT_CLASS(class)->finalize = framed_connection_finalize;
    G_IO_STREAM_CLASS(class)->get_input_stream = get_input_stream;
}

void
framed_connection_register(void)
{
    static const GSocketFamily FAMILIES[] = {G_SOCKET_FAMILY_IPV4,
                                             G_SOCKET_FAMILY_IPV6};
    static const int PROTOCOLS[] = {G_SOCKET_PROTOCOL_DEFAULT,
                                    G_SOCKET_PROTOCOL_TCP};
    for (gsize i = 0; i < G_N_ELEMENTS(FAMILIES); i++) {
        for (gsize k = 0; k < G_N_ELEMENTS(PROTOCOLS); k++) {
            g_socket_connection_factory_register_type(
                framed_connection_get_type(), FAMILIES[i],
                G_SOCKET_TYPE_STREAM, PROTOCOLS[k]);
        }
    }
}

gboolean
framed_connection_is_whole(SoupMessage *message, const GError *error)
{
    SoupMessageHeaders *headers = soup_message_get_response_headers(message);
    return error == NULL ||
           (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PARTIAL_INPUT) &&
            soup_message_get_status(message) != SOUP_STATUS_NONE &&
            soup_message_headers_get_encoding(headers) == SOUP_ENCODING_EOF);
}
