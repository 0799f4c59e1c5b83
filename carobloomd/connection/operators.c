/* The operators' listener: the console and the client's calls. */
#include <string.h>

#include "carobloom/connection/http.h"

static gboolean
operator_find(http_t *http, SoupServerMessage *message, const char **name)
{
    const char *bearer = soup_message_headers_get_one(
        soup_server_message_get_request_headers(message), "Authorization");
    if (bearer == NULL || g_ascii_strncasecmp(bearer, "Bearer ", 7) != 0) {
        return FALSE;
    }
    char *digest =
        g_compute_checksum_for_string(G_CHECKSUM_SHA256, bearer + 7, -1);
    const GArray *keys = http->process->settings->operator_keys;
    gboolean found = FALSE;
    for (guint i = 0; i < keys->len && !found; i++) {
        const operator_settings_t *key =
            &g_array_index(keys, operator_settings_t, i);
        found = strcmp(key->sha256, digest) == 0;
        *name = key->name;
    }
    g_free(digest);
    return found;
}

static void
on_reply(const reply_message_t *reply, void *data)
{
    SoupServerMessage *message = data;
    http_reply_json(message, reply->status, reply->text,
                    (gssize)reply->length);
    soup_server_message_unpause(message);
    g_object_unref(message);
}

static void
handle_submit(SoupServer *server, SoupServerMessage *message, const char *path,
              GHashTable *query, gpointer data)
{
    (void)server;
    (void)path;
    (void)query;
    http_t *http = data;
    const char *name = NULL;
    if (!operator_find(http, message, &name)) {
        http_reply_json(message, 401, "{}", -1);
        return;
    }
    GBytes *body = soup_message_body_flatten(
        soup_server_message_get_request_body(message));
    gsize length;
    const char *text = g_bytes_get_data(body, &length);
    soup_server_message_pause(message);
    guint64 call = http_call_create(http, on_reply, g_object_ref(message));
    task_send(
        http->process->voter,
        MESSAGE(submit_message_t, .base = {VOTER_SUBMIT, submit_message_free},
                .call = call, .http = http->task, .author = g_strdup(name),
                .text = g_strndup(text, length), .length = length));
    g_bytes_unref(body);
}

void
operators_register(http_t *http)
{
    soup_server_add_handler(http->operators, "/console/submit", handle_submit,
                            http, NULL);
}
