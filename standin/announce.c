#include <string.h>

#include "standin.h"

static void
on_told(GObject *source, GAsyncResult *result, gpointer data)
{
    (void)data;
    GBytes *bytes =
        soup_session_send_and_read_finish(SOUP_SESSION(source), result, NULL);
    g_clear_pointer(&bytes, g_bytes_unref);
}

static void
tell(standin_t *s, const char *platform, const char *path, json_t *body)
{
    char *uri = g_strdup_printf("http://%s%s", platform, path);
    SoupMessage *message = soup_message_new("POST", uri);
    char *text = json_dumps(body, JSON_COMPACT);
    GBytes *bytes = g_bytes_new_take(text, strlen(text));
    soup_message_set_request_body_from_bytes(message, "application/json",
                                             bytes);
    g_bytes_unref(bytes);
    soup_session_send_and_read_async(s->session, message, G_PRIORITY_DEFAULT,
                                     NULL, on_told, NULL);
    g_object_unref(message);
    g_free(uri);
}

static gboolean
announce(gpointer data)
{
    standin_t *s = data;
    if (s->silent) {
        return G_SOURCE_CONTINUE;
    }
    json_t *body = json_pack(
        "{s:s, s:s, s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:b, s:i}", "address",
        s->announced, "serves", s->serves, "kind", s->kind, "protocol",
        strcmp(s->kind, "model") == 0 ? "openai" : "plain", "version",
        s->version, "role", s->role, "slots", s->slots, "interval_ms",
        s->interval_ms, "running", (int)s->running, "fencing", s->fencing,
        "age_ms", 0);
    for (int i = 0; s->platforms[i]; i++) {
        tell(s, s->platforms[i], "/endpoints/announce", body);
    }
    json_decref(body);
    return G_SOURCE_CONTINUE;
}

void
announce_start(standin_t *s)
{
    announce(s);
    g_timeout_add((guint)s->interval_ms, announce, s);
}

void
announce_goodbye(standin_t *s)
{
    s->silent = TRUE;
    json_t *body =
        json_pack("{s:s, s:s}", "address", s->announced, "serves", s->serves);
    for (int i = 0; s->platforms[i]; i++) {
        tell(s, s->platforms[i], "/endpoints/goodbye", body);
    }
    json_decref(body);
}
