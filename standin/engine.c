/* The stand-in's calls: completions, services, orders, faults. */
#include <string.h>

#include "standin.h"

enum { TICK_MS = 1 };

/* One answer being streamed. */
typedef struct {
    standin_t *standin;
    SoupServerMessage *message;
    char *id;
    gboolean chat;
    gboolean whole; /* one JSON answer at the end */
    int total;
    int sent;
    int skip; /* tokens the caller already had */
    gint64 next_us;
    fault_kind_t fault;
    GString *text;
} stream_t;

static const char *const FAULT_NAMES[] = {
    "none",   "truncate", "swap",   "delay", "close",      "silent",
    "refuse", "stall",    "repeat", "cut",   "cut-chunks", "cut-unframed",
};

static const char *
request_header(SoupServerMessage *message, const char *name)
{
    return soup_message_headers_get_one(
        soup_server_message_get_request_headers(message), name);
}

static void
on_finished(SoupServerMessage *message, gpointer data)
{
    (void)message;
    stream_t *st = data;
    standin_t *s = st->standin;
    gboolean complete = st->sent >= st->total;
    standin_log(s, complete ? "end" : "cancelled", st->id, NULL);
    s->streams = g_list_remove(s->streams, st);
    s->running--;
    g_object_unref(st->message);
    g_string_free(st->text, TRUE);
    g_free(st->id);
    g_free(st);
}

static fault_kind_t
take_fault(standin_t *s)
{
    if (s->fault_count <= 0) {
        return FAULT_NONE;
    }
    if (s->fault == FAULT_CUT || s->fault == FAULT_CUT_CHUNKS ||
        s->fault == FAULT_CUT_UNFRAMED) {
        s->cut_at = s->fault_count;
        s->fault_count = 0;
        return s->fault;
    }
    s->fault_count--;
    return s->fault;
}

static void
append_event(stream_t *st, GString *out, const char *word)
{
    const char *id = st->fault == FAULT_SWAP ? "ffffffffffffffff-1" : st->id;
    if (st->chat) {
        g_string_append_printf(
            out,
            "data: {\"id\":\"chatcmpl-%s\",\"object\":\"chat.completion."
            "chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":"
            "\"%s\"}}]}\n\n",
            id, word);
    }
    else {
        g_string_append_printf(
            out,
            "data: {\"id\":\"cmpl-%s\",\"object\":\"text_completion\","
            "\"choices\":[{\"index\":0,\"text\":\"%s\"}]}\n\n",
            id, word);
    }
}

static void
send_whole(stream_t *st)
{
    json_t *choice = st->chat
                         ? json_pack("{s:i, s:{s:s, s:s}, s:s}", "index", 0,
                                     "message", "role", "assistant", "content",
                                     st->text->str, "finish_reason", "stop")
                         : json_pack("{s:i, s:s, s:s}", "index", 0, "text",
                                     st->text->str, "finish_reason", "stop");
    char *name = g_strdup_printf("cmpl-%s", st->id);
    json_t *root = json_pack("{s:s, s:[o], s:{s:i}}", "id", name, "choices",
                             choice, "usage", "completion_tokens", st->total);
    char *text = json_dumps(root, JSON_COMPACT);
    soup_server_message_set_status(st->message, 200, NULL);
    soup_server_message_set_response(st->message, "application/json",
                                     SOUP_MEMORY_COPY, text, strlen(text));
    free(text);
    g_free(name);
    json_decref(root);
    soup_server_message_unpause(st->message);
}

static void
finish_stream(stream_t *st, SoupMessageBody *body)
{
    if (st->whole) {
        send_whole(st);
        return;
    }
    GString *out = g_string_new("data: [DONE]\n\n");
    if (st->fault == FAULT_REPEAT) {
        append_event(st, out, "again");
    }
    if (st->fault != FAULT_TRUNCATE) {
        soup_message_body_append(body, SOUP_MEMORY_COPY, out->str, out->len);
    }
    g_string_free(out, TRUE);
    soup_message_body_complete(body);
    soup_server_message_unpause(st->message);
}

/* Emits what is due; words are "w<number> ", so a reader can check them. */
static void
stream_step(stream_t *st, gint64 now)
{
    int half = st->skip + (st->total - st->skip) / 2;
    if (st->sent >= st->total || now < st->next_us) {
        return;
    }
    if (st->fault == FAULT_STALL && st->sent >= half) {
        return;
    }
    SoupMessageBody *body = soup_server_message_get_response_body(st->message);
    GString *out = g_string_new(NULL);
    while (st->sent < st->total && now >= st->next_us) {
        if (st->fault == FAULT_STALL && st->sent >= half) {
            break;
        }
        char word[32];
        g_snprintf(word, sizeof(word), "w%d ", st->sent);
        append_event(st, out, word);
        g_string_append(st->text, word);
        st->sent++;
        st->next_us += st->standin->token_us;
        if (st->fault == FAULT_TRUNCATE && st->sent >= half) {
            st->sent = st->total;
        }
    }
    if (!st->whole) {
        soup_message_body_append(body, SOUP_MEMORY_COPY, out->str, out->len);
        soup_server_message_unpause(st->message);
    }
    g_string_free(out, TRUE);
    if (st->sent >= st->total) {
        finish_stream(st, body);
    }
}

static gboolean
tick(gpointer data)
{
    standin_t *s = data;
    gint64 now = g_get_monotonic_time();
    for (GList *l = s->streams; l;) {
        GList *next = l->next;
        stream_step(l->data, now);
        l = next;
    }
    return G_SOURCE_CONTINUE;
}

/* Words of "w<number> " that the call already carries as said. */
static int
count_said(json_t *body)
{
    if (!json_is_true(json_object_get(body, "continue_final_message"))) {
        return 0;
    }
    json_t *messages = json_object_get(body, "messages");
    json_t *last = json_array_get(messages, json_array_size(messages) - 1);
    const char *text = json_string_value(json_object_get(last, "content"));
    int count = 0;
    for (const char *c = text; c && *c; c++) {
        count += *c == ' ';
    }
    return count;
}

static void
start_stream(standin_t *s, SoupServerMessage *message, json_t *body,
             gboolean chat, fault_kind_t fault)
{
    const char *id = request_header(message, "X-Request-Id");
    json_t *most = json_object_get(body, "max_tokens");
    stream_t *st = g_new0(stream_t, 1);
    *st = (stream_t){
        .standin = s,
        .message = g_object_ref(message),
        .id = g_strdup(id ? id : "none"),
        .chat = chat,
        .whole = !json_is_true(json_object_get(body, "stream")),
        .skip = count_said(body),
        .fault = fault,
        .text = g_string_new(NULL),
    };
    st->sent = st->skip;
    st->total = st->skip + (most ? (int)json_integer_value(most) : s->tokens);
    gint64 delay = fault == FAULT_DELAY ? 2 * G_USEC_PER_SEC : 0;
    st->next_us = g_get_monotonic_time() + s->first_us + delay;
    SoupMessageHeaders *headers =
        soup_server_message_get_response_headers(message);
    soup_message_headers_replace(headers, "X-Request-Id", st->id);
    soup_server_message_pause(message);
    g_signal_connect(message, "finished", G_CALLBACK(on_finished), st);
    s->streams = g_list_append(s->streams, st);
    s->running++;
    if (!st->whole) {
        soup_server_message_set_status(message, 200, NULL);
        soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
        soup_message_headers_set_content_type(headers, "text/event-stream",
                                              NULL);
        soup_message_body_set_accumulate(
            soup_server_message_get_response_body(message), FALSE);
        soup_server_message_unpause(message);
    }
}

/* Sends the first bytes of an answer and closes. */
static void
send_cut(const standin_t *s, SoupServerMessage *message, const char *answer)
{
    GIOStream *connection = soup_server_message_steal_connection(message);
    GOutputStream *out = g_io_stream_get_output_stream(connection);
    g_output_stream_write_all(
        out, answer, MIN((gsize)s->cut_at, strlen(answer)), NULL, NULL, NULL);
    g_io_stream_close(connection, NULL, NULL);
    g_object_unref(connection);
}

/* Faults that come before anything runs; TRUE when the call was dealt with. */
static gboolean
early_fault(standin_t *s, SoupServerMessage *message, fault_kind_t fault)
{
    const char *id = request_header(message, "X-Request-Id");
    const char *cut = "";
    switch (fault) {
    case FAULT_REFUSE:
        soup_server_message_set_status(message, 503, NULL);
        soup_message_headers_replace(
            soup_server_message_get_response_headers(message),
            "Carobloom-Outcome", "not-run");
        return TRUE;
    case FAULT_SILENT:
        standin_log(s, "run", id, request_header(message, "Idempotency-Key"));
        soup_server_message_pause(message);
        return TRUE;
    case FAULT_CLOSE:
        break;
    case FAULT_CUT:
        cut = STANDIN_ANSWER;
        break;
    case FAULT_CUT_CHUNKS:
        cut = STANDIN_CHUNKS;
        break;
    case FAULT_CUT_UNFRAMED:
        cut = STANDIN_UNFRAMED;
        break;
    default:
        return FALSE;
    }
    standin_log(s, "run", id, request_header(message, "Idempotency-Key"));
    send_cut(s, message, cut);
    return TRUE;
}

static json_t *
read_json(SoupServerMessage *message)
{
    GBytes *bytes = soup_message_body_flatten(
        soup_server_message_get_request_body(message));
    gsize length;
    const char *data = g_bytes_get_data(bytes, &length);
    json_t *body = json_loadb(data ? data : "", length, 0, NULL);
    g_bytes_unref(bytes);
    return body ? body : json_object();
}

static void
handle_model(SoupServer *server, SoupServerMessage *message, const char *path,
             GHashTable *query, gpointer data)
{
    (void)server;
    (void)query;
    standin_t *s = data;
    fault_kind_t fault = take_fault(s);
    if (early_fault(s, message, fault)) {
        return;
    }
    json_t *body = read_json(message);
    standin_log(s, "run", request_header(message, "X-Request-Id"),
                request_header(message, "Idempotency-Key"));
    start_stream(s, message, body, strcmp(path, "/v1/completions") != 0,
                 fault);
    json_decref(body);
}

static gboolean
service_answer(gpointer data)
{
    stream_t *st = data;
    char *text = g_strdup_printf("{\"service\":\"%s\",\"attempt\":\"%s\"}",
                                 st->standin->serves, st->id);
    st->sent = st->total;
    soup_server_message_set_status(st->message, 200, NULL);
    soup_server_message_set_response(st->message, "application/json",
                                     SOUP_MEMORY_COPY, text, strlen(text));
    g_free(text);
    soup_server_message_unpause(st->message);
    return G_SOURCE_REMOVE;
}

static void
handle_service(SoupServer *server, SoupServerMessage *message,
               const char *path, GHashTable *query, gpointer data)
{
    (void)server;
    (void)path;
    (void)query;
    standin_t *s = data;
    fault_kind_t fault = take_fault(s);
    if (early_fault(s, message, fault)) {
        return;
    }
    const char *id = request_header(message, "X-Request-Id");
    standin_log(s, "run", id, request_header(message, "Idempotency-Key"));
    stream_t *st = g_new0(stream_t, 1);
    *st = (stream_t){.standin = s,
                     .message = g_object_ref(message),
                     .id = g_strdup(id ? id : "none"),
                     .total = 1,
                     .text = g_string_new(NULL),
                     .fault = fault};
    soup_message_headers_replace(
        soup_server_message_get_response_headers(message), "X-Request-Id",
        fault == FAULT_SWAP ? "ffffffffffffffff-1" : st->id);
    s->running++;
    g_signal_connect(message, "finished", G_CALLBACK(on_finished), st);
    soup_server_message_pause(message);
    if (fault == FAULT_STALL) {
        return;
    }
    g_timeout_add((guint)(s->first_us / 1000), service_answer, st);
}

/* An order: load a model, an adapter, a version, change the role. */
static void
handle_order(SoupServer *server, SoupServerMessage *message, const char *path,
             GHashTable *query, gpointer data)
{
    (void)server;
    (void)path;
    (void)query;
    standin_t *s = data;
    json_t *body = read_json(message);
    gint64 fence = json_integer_value(json_object_get(body, "fence"));
    const char *verb = json_string_value(json_object_get(body, "verb"));
    const char *value = json_string_value(json_object_get(body, "value"));
    gboolean old = s->fencing && fence < s->fence;
    s->fence = MAX(s->fence, fence);
    char *line =
        g_strdup_printf("%s=%s fence=%" G_GINT64_FORMAT, verb, value, fence);
    standin_log(s, old ? "order-refused" : "order", line, NULL);
    if (!old && g_strcmp0(verb, "set-version") == 0) {
        g_free(s->version);
        s->version = g_strdup(value);
    }
    if (!old && g_strcmp0(verb, "set-role") == 0) {
        g_free(s->role);
        s->role = g_strdup(value);
    }
    g_free(line);
    json_decref(body);
    soup_server_message_set_status(message, old ? 409 : 200, NULL);
    soup_server_message_set_response(message, "application/json",
                                     SOUP_MEMORY_STATIC, "{}", 2);
}

static void
handle_fault(SoupServer *server, SoupServerMessage *message, const char *path,
             GHashTable *query, gpointer data)
{
    (void)server;
    (void)path;
    standin_t *s = data;
    const char *kind = query ? g_hash_table_lookup(query, "kind") : NULL;
    const char *count = query ? g_hash_table_lookup(query, "count") : NULL;
    guint status = 400;
    for (guint i = 0; i < G_N_ELEMENTS(FAULT_NAMES); i++) {
        if (g_strcmp0(kind, FAULT_NAMES[i]) == 0) {
            s->fault = (fault_kind_t)i;
            s->fault_count = count ? atoi(count) : 1;
            status = 200;
        }
    }
    if (g_strcmp0(kind, "mute") == 0) {
        s->silent = TRUE;
        status = 200;
    }
    if (g_strcmp0(kind, "goodbye") == 0) {
        announce_goodbye(s);
        status = 200;
    }
    soup_server_message_set_status(message, status, NULL);
}

static void
on_started(SoupServer *server, SoupServerMessage *message, gpointer data)
{
    (void)server;
    (void)data;
    GSocket *socket = soup_server_message_get_socket(message);
    if (socket != NULL) {
        g_socket_set_option(socket, 6 /* TCP */, 1 /* NODELAY */, 1, NULL);
    }
}

void
engine_register(standin_t *s)
{
    soup_server_add_handler(s->server, "/v1", handle_model, s, NULL);
    soup_server_add_handler(s->server, "/order", handle_order, s, NULL);
    soup_server_add_handler(s->server, "/fault", handle_fault, s, NULL);
    if (strcmp(s->kind, "service") == 0) {
        soup_server_add_handler(s->server, "/", handle_service, s, NULL);
    }
    g_signal_connect(s->server, "request-started", G_CALLBACK(on_started), s);
    g_timeout_add(TICK_MS, tick, s);
}
