#include <libsoup/soup.h>
#include <string.h>

#include "carobloom/connection/framed_connection.h"
#include "command.h"

enum { EXIT_UNREACHED = 3, EXIT_REFUSED = 4 };

result_t
result_error(int code, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    result_t result = {.code = code, .error = g_strdup_vprintf(format, args)};
    va_end(args);
    return result;
}

static result_t
read_answer(SoupMessage *message, GBytes *bytes, const char *path,
            json_t **root, char **text)
{
    gsize length;
    const char *data = g_bytes_get_data(bytes, &length);
    guint status = soup_message_get_status(message);
    if (status >= 300) {
        return result_error(EXIT_REFUSED, "%s answered %u: %.*s", path, status,
                            (int)MIN(length, 400), data ? data : "");
    }
    if (text != NULL) {
        *text = g_strndup(data ? data : "", length);
    }
    if (root != NULL) {
        *root = json_loadb(data ? data : "", length, 0, NULL);
        if (*root == NULL) {
            return result_error(EXIT_REFUSED, "%s did not answer in JSON",
                                path);
        }
    }
    return RESULT_OK;
}

result_t
client_ask(const context_t *context, const char *method, const char *path,
           const char *body, json_t **root, char **text)
{
    char *uri = g_strdup_printf("%s://%s%s", context->tls ? "https" : "http",
                                context->address, path);
    SoupMessage *message = soup_message_new(method, uri);
    g_free(uri);
    if (message == NULL) {
        return result_error(2, "%s is not an address", context->address);
    }
    framed_connection_register();
    SoupSession *session = soup_session_new_with_options("timeout", 10, NULL);
    char *bearer = g_strdup_printf("Bearer %s", context->key);
    soup_message_headers_replace(soup_message_get_request_headers(message),
                                 "Authorization", bearer);
    g_free(bearer);
    if (body != NULL) {
        GBytes *bytes = g_bytes_new(body, strlen(body));
        soup_message_set_request_body_from_bytes(message, "application/json",
                                                 bytes);
        g_bytes_unref(bytes);
    }
    GError *error = NULL;
    GBytes *bytes = soup_session_send_and_read(session, message, NULL, &error);
    result_t result;
    if (bytes == NULL) {
        result = result_error(EXIT_UNREACHED, "%s can not be reached: %s",
                              context->address, error->message);
        g_error_free(error);
    }
    else {
        result = read_answer(message, bytes, path, root, text);
        g_bytes_unref(bytes);
    }
    g_object_unref(message);
    g_object_unref(session);
    return result;
}
