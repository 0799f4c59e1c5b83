/* The callers' listener: OpenAI-compatible calls and plain services. */
#include <string.h>

#include "carobloom/common/counters.h"
#include "carobloom/common/jsonc.h"
#include "carobloom/common/log.h"
#include "carobloom/connection/http.h"
#include "carobloom/request/request.h"
#include "openai_error.h"

enum { HEADER_BYTES_MAX = 64 * 1024, KEY_BYTES_MAX = 255 };
static const int SOCKET_TIMEOUT_S = 60;

static void
reply_error(SoupServerMessage *message, int status, const char *type,
            const char *text)
{
    openai_error_reply(message, status, type, text, OUTCOME_NOT_RUN, 0);
    counter_add(counter_get("rejected_calls_total", NULL, FALSE), 1);
}

static const char *
header(SoupServerMessage *message, const char *name)
{
    return soup_message_headers_get_one(
        soup_server_message_get_request_headers(message), name);
}

static const char *
header_of(const char *name, void *data)
{
    return header(data, name);
}

/* ---- limits on what comes in ---- */

static void
on_chunk(SoupServerMessage *message, GBytes *chunk, gpointer data)
{
    gsize left =
        GPOINTER_TO_SIZE(g_object_get_data(G_OBJECT(message), "body-left"));
    gsize size = g_bytes_get_size(chunk);
    (void)data;
    if (size > left) {
        /* Too long: what was read is let go, the connection is cut. */
        soup_message_body_truncate(
            soup_server_message_get_request_body(message));
        soup_message_body_set_accumulate(
            soup_server_message_get_request_body(message), FALSE);
        g_object_set_data(G_OBJECT(message), "body-long",
                          GINT_TO_POINTER(TRUE));
        left = size;
    }
    g_object_set_data(G_OBJECT(message), "body-left",
                      GSIZE_TO_POINTER(left - size));
}

/* Runs once the head is there, before the body is read. */
static void
handle_head(SoupServer *server, SoupServerMessage *message, const char *path,
            GHashTable *query, gpointer data)
{
    (void)server;
    (void)path;
    (void)query;
    http_t *http = data;
    goffset most = 4 * 1024 * 1024;
    if (http->document != NULL) {
        most = document_limits(http->document)->body_bytes;
    }
    SoupMessageHeaders *headers =
        soup_server_message_get_request_headers(message);
    if (soup_message_headers_get_content_length(headers) > most) {
        soup_message_headers_append(
            soup_server_message_get_response_headers(message), "Connection",
            "close");
        reply_error(message, 413, "invalid_request_error",
                    "The body is longer than the site allows.");
        return;
    }
    g_object_set_data(G_OBJECT(message), "body-left",
                      GSIZE_TO_POINTER((gsize)most));
    g_signal_connect(message, "got-chunk", G_CALLBACK(on_chunk), NULL);
}

static void
on_request_started(SoupServer *server, SoupServerMessage *message,
                   gpointer data)
{
    (void)server;
    (void)data;
    GSocket *socket = soup_server_message_get_socket(message);
    if (socket != NULL) {
        /* A caller that sends its head or body too slowly is cut off. */
        g_socket_set_timeout(socket, (guint)SOCKET_TIMEOUT_S);
        g_socket_set_option(socket, 6 /* TCP */, 1 /* NODELAY */, 1, NULL);
    }
}

/* ---- who calls, and what ---- */

/* Checks what every call needs; FALSE when it was answered already. */
static gboolean
call_check(http_t *http, SoupServerMessage *message,
           const document_team_t **team)
{
    if (g_object_get_data(G_OBJECT(message), "body-long") != NULL) {
        reply_error(message, 413, "invalid_request_error",
                    "The body is longer than the site allows.");
        return FALSE;
    }
    if (g_atomic_int_get(&http->process->draining) > 1) {
        soup_message_headers_append(
            soup_server_message_get_response_headers(message), "Connection",
            "close");
        openai_error_reply(message, 503, "unavailable",
                           "This instance is shutting down.", OUTCOME_NOT_RUN,
                           G_USEC_PER_SEC);
        return FALSE;
    }
    if (http->document == NULL) {
        openai_error_reply(message, 503, "unavailable",
                           "No confirmed site document is in force here.",
                           OUTCOME_NOT_RUN, G_USEC_PER_SEC);
        return FALSE;
    }
    if (g_atomic_int_get(&http->process->in_flight) >=
        http->process->settings->connections) {
        openai_error_reply(message, 503, "unavailable",
                           "This instance holds as many calls as it may.",
                           OUTCOME_NOT_RUN, G_USEC_PER_SEC);
        return FALSE;
    }
    const char *bearer = header(message, "Authorization");
    if (bearer && g_ascii_strncasecmp(bearer, "Bearer ", 7) == 0) {
        *team = document_find_team(http->document, str_from_cstr(bearer + 7));
    }
    if (*team == NULL) {
        reply_error(message, 401, "authentication_error",
                    "The bearer key belongs to no team.");
        return FALSE;
    }
    return TRUE;
}

/* A key is needed where the class may not be repeated. */
static gboolean
key_check(SoupServerMessage *message, const document_class_t *class_info,
          const char **key)
{
    *key = header(message, "Idempotency-Key");
    if (class_info->repeatable) {
        *key = NULL;
        return TRUE;
    }
    if (*key == NULL || **key == '\0' || strlen(*key) > KEY_BYTES_MAX ||
        !g_str_is_ascii(*key)) {
        reply_error(message, 400, "invalid_request_error",
                    "This class is not repeatable: send an Idempotency-Key "
                    "header of 1 to 255 ASCII bytes.");
        return FALSE;
    }
    return TRUE;
}

static gboolean
class_check(SoupServerMessage *message, const document_t *document, int index,
            const char *pool)
{
    if (index < 0) {
        reply_error(message, 404, "invalid_request_error",
                    "No route of the site document fits this call.");
        return FALSE;
    }
    if (!document_class_allows(document_class(document, (guint)index), pool)) {
        reply_error(message, 403, "invalid_request_error",
                    "The class of this call may not use that model.");
        return FALSE;
    }
    return TRUE;
}

/* ---- model calls ---- */

static json_t *
body_parse(SoupServerMessage *message)
{
    SoupMessageBody *body = soup_server_message_get_request_body(message);
    GBytes *bytes = soup_message_body_flatten(body);
    gsize length;
    const char *data = g_bytes_get_data(bytes, &length);
    json_error_t error;
    json_t *json =
        json_loadb(data ? data : "", length, JSON_REJECT_DUPLICATES, &error);
    g_bytes_unref(bytes);
    if (json == NULL || !json_is_object(json)) {
        char *text = g_strdup_printf("The body is not a JSON object: line %d, "
                                     "column %d: %s.",
                                     error.line, error.column, error.text);
        reply_error(message, 400, "invalid_request_error", text);
        g_free(text);
        json_decref(json);
        return NULL;
    }
    return json;
}

static gboolean
model_check(SoupServerMessage *message, json_t *body, const char *path)
{
    gboolean chat = strcmp(path, "/v1/chat/completions") == 0;
    if (!json_is_string(json_object_get(body, "model"))) {
        reply_error(message, 400, "invalid_request_error",
                    "model: must be a string.");
        return FALSE;
    }
    if (chat && !json_is_array(json_object_get(body, "messages"))) {
        reply_error(message, 400, "invalid_request_error",
                    "messages: must be a list.");
        return FALSE;
    }
    if (!chat && !json_is_string(json_object_get(body, "prompt"))) {
        reply_error(message, 400, "invalid_request_error",
                    "prompt: must be a string.");
        return FALSE;
    }
    json_t *stream = json_object_get(body, "stream");
    if (stream && !json_is_boolean(stream)) {
        reply_error(message, 400, "invalid_request_error",
                    "stream: must be true or false.");
        return FALSE;
    }
    return TRUE;
}

static void
handle_model(http_t *http, SoupServerMessage *message, const char *path,
             const document_team_t *team)
{
    if (strcmp(soup_server_message_get_method(message), "POST") != 0) {
        reply_error(message, 405, "invalid_request_error", "Use POST.");
        return;
    }
    json_t *body = body_parse(message);
    if (body == NULL) {
        return;
    }
    const document_t *d = http->document;
    const char *model = json_string_value(json_object_get(body, "model"));
    const char *key = NULL;
    gboolean ok = model_check(message, body, path);
    int index = ok ? document_find_class(d, path, model, team->name, header_of,
                                         message)
                   : -1;
    ok = ok && class_check(message, d, index, model) &&
         key_check(message, document_class(d, (guint)index), &key);
    if (!ok) {
        json_decref(body);
        return;
    }
    request_spec_t spec = {
        .message = message,
        .document = http->document,
        .team = team,
        .class_index = (guint)index,
        .pool = model,
        .path = path,
        .stream = json_is_true(json_object_get(body, "stream")),
        .body = body,
        .key = key,
    };
    request_create(http, &spec);
}

static void
handle_v1(SoupServer *server, SoupServerMessage *message, const char *path,
          GHashTable *query, gpointer data)
{
    (void)server;
    (void)query;
    http_t *http = data;
    const document_team_t *team = NULL;
    if (!call_check(http, message, &team)) {
        return;
    }
    if (strcmp(path, "/v1/chat/completions") == 0 ||
        strcmp(path, "/v1/completions") == 0) {
        handle_model(http, message, path, team);
        return;
    }
    if (strcmp(path, "/v1/models") == 0) {
        json_t *list = json_array();
        GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
        for (guint i = 0; i < document_class_count(http->document); i++) {
            char **pools = document_class(http->document, i)->pools;
            for (int k = 0; pools && pools[k]; k++) {
                if (document_find_service(http->document, pools[k]) == NULL &&
                    g_hash_table_add(seen, pools[k])) {
                    json_array_append_new(list, json_pack("{s:s, s:s, s:s}",
                                                          "id", pools[k],
                                                          "object", "model",
                                                          "owned_by", "site"));
                }
            }
        }
        g_hash_table_unref(seen);
        json_t *root = json_pack("{s:s, s:o}", "object", "list", "data", list);
        char *text = json_dumps(root, JSON_COMPACT);
        http_reply_json(message, 200, text, -1);
        free(text);
        json_decref(root);
        return;
    }
    reply_error(message, 404, "invalid_request_error", "No such path.");
}

/* ---- plain services ---- */

static void
handle_service(SoupServer *server, SoupServerMessage *message,
               const char *path, GHashTable *query, gpointer data)
{
    (void)server;
    (void)query;
    http_t *http = data;
    const document_team_t *team = NULL;
    if (!call_check(http, message, &team)) {
        return;
    }
    const char *start = path + strlen("/services/");
    const char *slash = strchr(start, '/');
    char *name =
        slash ? g_strndup(start, (gsize)(slash - start)) : g_strdup(start);
    const document_service_t *service =
        document_find_service(http->document, name);
    g_free(name);
    if (service == NULL) {
        reply_error(message, 404, "invalid_request_error",
                    "The site document has no such service.");
        return;
    }
    const char *key = NULL;
    if (!key_check(message,
                   document_class(http->document, service->class_index),
                   &key)) {
        return;
    }
    GUri *uri = soup_server_message_get_uri(message);
    const char *args = g_uri_get_query(uri);
    char *rest = g_strconcat(slash ? slash : "/", args ? "?" : "",
                             args ? args : "", NULL);
    request_spec_t spec = {
        .message = message,
        .document = http->document,
        .team = team,
        .class_index = service->class_index,
        .pool = service->name,
        .path = rest,
        .plain = TRUE,
        .raw = soup_message_body_flatten(
            soup_server_message_get_request_body(message)),
        .key = key,
    };
    request_create(http, &spec);
    g_bytes_unref(spec.raw);
    g_free(rest);
}

void
callers_register(http_t *http)
{
    g_signal_connect(http->callers, "request-started",
                     G_CALLBACK(on_request_started), http);
    soup_server_add_early_handler(http->callers, NULL, handle_head, http,
                                  NULL);
    soup_server_add_handler(http->callers, "/v1", handle_v1, http, NULL);
    soup_server_add_handler(http->callers, "/services/", handle_service, http,
                            NULL);
}
