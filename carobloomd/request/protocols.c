/* The endpoint protocols: an engine with OpenAI's calls, a plain service. */
#include <string.h>

#include "carobloom/policy/rendezvous.h"
#include "carobloom/request/attempt.h"

static SoupMessage *
message_create(const request_t *request, const char *address,
               const char *attempt_id)
{
    char *uri = g_strdup_printf("http://%s%s", address, request->path);
    SoupMessage *message = soup_message_new(request->method, uri);
    g_free(uri);
    if (message == NULL) {
        return NULL;
    }
    soup_message_add_flags(message, SOUP_MESSAGE_NO_REDIRECT);
    if (!request->class_info->repeatable) {
        /* libsoup sends again on a kept connection that closed early. */
        soup_message_add_flags(message, SOUP_MESSAGE_NEW_CONNECTION);
    }
    SoupMessageHeaders *headers = soup_message_get_request_headers(message);
    soup_message_headers_replace(headers, "X-Request-Id", attempt_id);
    soup_message_headers_replace(headers, "Carobloom-Class",
                                 request->class_info->name);
    char *tier = g_strdup_printf("%d", (int)request->class_info->tier);
    soup_message_headers_replace(headers, "Carobloom-Priority", tier);
    g_free(tier);
    return message;
}

/* ---- openai ---- */

/* What the caller already has goes in as the start of the answer. */
static void
add_continuation(json_t *body, const request_t *request)
{
    const char *said = request->said->str;
    json_t *messages = json_object_get(body, "messages");
    if (messages != NULL) {
        json_t *longer = json_copy(messages);
        json_array_append_new(longer, json_pack("{s:s, s:s}", "role",
                                                "assistant", "content", said));
        json_object_set_new(body, "messages", longer);
        json_object_set_new(body, "continue_final_message", json_true());
        json_object_set_new(body, "add_generation_prompt", json_false());
    }
    else {
        const char *prompt =
            json_string_value(json_object_get(body, "prompt"));
        char *longer = g_strconcat(prompt, said, NULL);
        json_object_set_new(body, "prompt", json_string(longer));
        g_free(longer);
    }
    json_t *most = json_object_get(body, "max_tokens");
    if (json_is_integer(most)) {
        json_int_t left = json_integer_value(most) - request->tokens;
        json_object_set_new(body, "max_tokens", json_integer(MAX(left, 1)));
    }
}

static SoupMessage *
openai_build(const request_t *request, const char *address,
             const char *attempt_id)
{
    SoupMessage *message = message_create(request, address, attempt_id);
    if (message == NULL) {
        return NULL;
    }
    json_t *body = json_copy(request->body);
    json_object_set_new(body, "priority",
                        json_integer(request->class_info->tier));
    if (request->said->len > 0) {
        add_continuation(body, request);
    }
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    GBytes *bytes = g_bytes_new_take(text, strlen(text));
    soup_message_set_request_body_from_bytes(message, "application/json",
                                             bytes);
    g_bytes_unref(bytes);
    return message;
}

static const char *
response_header(SoupMessage *message, const char *name)
{
    return soup_message_headers_get_one(
        soup_message_get_response_headers(message), name);
}

static gboolean
says_not_run(SoupMessage *message)
{
    return g_strcmp0(response_header(message, "Carobloom-Outcome"),
                     "not-run") == 0;
}

/* An engine answers 429 or 503 before it takes a call on. */
static gboolean
openai_refused(SoupMessage *message)
{
    guint status = soup_message_get_status(message);
    return status == 429 || status == 503 || says_not_run(message);
}

static gboolean
openai_owns_head(SoupMessage *message, const char *attempt_id)
{
    return g_strcmp0(response_header(message, "X-Request-Id"), attempt_id) ==
           0;
}

static const char *
choice_text(json_t *event)
{
    json_t *choice = json_array_get(json_object_get(event, "choices"), 0);
    json_t *delta = json_object_get(choice, "delta");
    json_t *text = delta ? json_object_get(delta, "content")
                         : json_object_get(choice, "text");
    return json_string_value(text);
}

static int
openai_read_event(str_t data, const char *attempt_id, GString *text,
                  gboolean *end)
{
    g_string_truncate(text, 0);
    *end = str_equal(data, STR("[DONE]"));
    if (*end || data.length == 0) {
        return 0;
    }
    json_t *event = json_loadb(data.data, data.length, 0, NULL);
    const char *id = json_string_value(json_object_get(event, "id"));
    gboolean own = id && g_str_has_suffix(id, attempt_id);
    const char *said = own ? choice_text(event) : NULL;
    if (said != NULL) {
        g_string_append(text, said);
    }
    json_decref(event);
    return own ? 0 : -1;
}

/* ---- plain ---- */

/* Headers that belong to one connection, or that we set ourselves. */
static gboolean
header_is_ours(const char *name)
{
    static const char *const names[] = {
        "Connection",
        "Keep-Alive",
        "Transfer-Encoding",
        "Content-Length",
        "TE",
        "Upgrade",
        "Host",
        "Proxy-Authorization",
        "Authorization",
        "Idempotency-Key",
        "X-Request-Id",
        "Expect",
        "Content-Type",
        "Trailer",
    };
    for (gsize i = 0; i < G_N_ELEMENTS(names); i++) {
        if (g_ascii_strcasecmp(name, names[i]) == 0) {
            return TRUE;
        }
    }
    return FALSE;
}

static SoupMessage *
plain_build(const request_t *request, const char *address,
            const char *attempt_id)
{
    SoupMessage *message = message_create(request, address, attempt_id);
    if (message == NULL) {
        return NULL;
    }
    SoupMessageHeaders *to = soup_message_get_request_headers(message);
    const char *type = NULL;
    if (request->message != NULL) {
        SoupMessageHeaders *from =
            soup_server_message_get_request_headers(request->message);
        type = soup_message_headers_get_one(from, "Content-Type");
        SoupMessageHeadersIter iter;
        const char *name;
        const char *value;
        soup_message_headers_iter_init(&iter, from);
        while (soup_message_headers_iter_next(&iter, &name, &value)) {
            if (!header_is_ours(name)) {
                soup_message_headers_append(to, name, value);
            }
        }
    }
    if (request->key != NULL) {
        soup_message_headers_replace(to, "Idempotency-Key", request->key);
    }
    if (g_bytes_get_size(request->raw) > 0) {
        soup_message_set_request_body_from_bytes(
            message, type ? type : "application/octet-stream", request->raw);
    }
    return message;
}

static gboolean
plain_owns_head(SoupMessage *message, const char *attempt_id)
{
    const char *echoed = response_header(message, "X-Request-Id");
    return echoed == NULL || strcmp(echoed, attempt_id) == 0;
}

static int
plain_read_event(str_t data, const char *attempt_id, GString *text,
                 gboolean *end)
{
    (void)data;
    (void)attempt_id;
    g_string_truncate(text, 0);
    *end = FALSE;
    return 0;
}

static const endpoint_protocol_t protocols[] = {
    {
        .name = "openai",
        .build = openai_build,
        .refused = openai_refused,
        .owns_head = openai_owns_head,
        .read_event = openai_read_event,
    },
    {
        .name = "plain",
        .build = plain_build,
        .refused = says_not_run,
        .owns_head = plain_owns_head,
        .read_event = plain_read_event,
    },
};

const endpoint_protocol_t *
endpoint_protocol_find(const char *name)
{
    for (gsize i = 0; i < G_N_ELEMENTS(protocols); i++) {
        if (g_strcmp0(protocols[i].name, name) == 0) {
            return &protocols[i];
        }
    }
    return NULL;
}
