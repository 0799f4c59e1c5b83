/* The console: forms for the site document, the only way to change it.
 *
 * An operator signs in with a key and gets a session: a cookie that scripts
 * can not read, and a token that each submission must carry. */
#include "carobloom/connection/console.h"

#include <jansson.h>
#include <string.h>

#include "carobloom/connection/http.h"

enum { TOKEN_BYTES = 16, SESSIONS_MAX = 100, CHANGE_MAX = 128 };
static const gint64 SESSION_US = 8 * 3600 * (gint64)G_USEC_PER_SEC;

/* One signed-in operator. Lives in the first HTTP task. */
typedef struct {
    char *name;
    char *token; /* against forged submissions */
    gint64 until_us;
} session_t;

static GHashTable *sessions; /* cookie -> session_t; one task only */

static void
session_free(gpointer data)
{
    session_t *s = data;
    g_free(s->name);
    g_free(s->token);
    g_free(s);
}

static char *
random_text(void)
{
    GString *text = g_string_new(NULL);
    /* The kernel's generator: a guessable cookie would be a way in. */
    guint8 bytes[TOKEN_BYTES];
    GFile *file = g_file_new_for_path("/dev/urandom");
    GFileInputStream *in = g_file_read(file, NULL, NULL);
    gboolean ok =
        in && g_input_stream_read_all(G_INPUT_STREAM(in), bytes, sizeof(bytes),
                                      NULL, NULL, NULL);
    for (guint i = 0; ok && i < sizeof(bytes); i++) {
        g_string_append_printf(text, "%02x", bytes[i]);
    }
    g_clear_object(&in);
    g_object_unref(file);
    return g_string_free(text, !ok);
}

static session_t *
session_find(SoupServerMessage *message)
{
    const char *cookies = soup_message_headers_get_list(
        soup_server_message_get_request_headers(message), "Cookie");
    if (cookies == NULL) {
        return NULL;
    }
    char **parts = g_strsplit(cookies, ";", 16);
    session_t *found = NULL;
    for (int i = 0; parts[i]; i++) {
        char *part = g_strstrip(parts[i]);
        if (g_str_has_prefix(part, "carobloom=")) {
            found = g_hash_table_lookup(sessions, part + 10);
        }
    }
    g_strfreev(parts);
    if (found && g_get_monotonic_time() > found->until_us) {
        return NULL;
    }
    return found;
}

static void
reply_asset(SoupServerMessage *message, const char *type, str_t asset)
{
    SoupMessageHeaders *h = soup_server_message_get_response_headers(message);
    soup_message_headers_replace(
        h, "Content-Security-Policy",
        "default-src 'none'; script-src 'self'; style-src 'self'; "
        "connect-src 'self'; form-action 'self'; frame-ancestors 'none'");
    soup_message_headers_replace(h, "X-Content-Type-Options", "nosniff");
    soup_server_message_set_status(message, 200, NULL);
    soup_server_message_set_response(message, type, SOUP_MEMORY_STATIC,
                                     asset.data, asset.length);
}

static void
handle_login(http_t *http, SoupServerMessage *message)
{
    const char *name = operators_find(http, message);
    if (name == NULL) {
        http_reply_json(message, 401,
                        "{\"text\":\"no operator has this key\"}", -1);
        return;
    }
    if (g_hash_table_size(sessions) >= SESSIONS_MAX) {
        g_hash_table_remove_all(sessions);
    }
    char *cookie = random_text();
    session_t *session = g_new0(session_t, 1);
    *session = (session_t){.name = g_strdup(name),
                           .token = random_text(),
                           .until_us = g_get_monotonic_time() + SESSION_US};
    gboolean tls = http->process->settings->operators.certificate != NULL;
    char *header = g_strdup_printf("carobloom=%s; HttpOnly; SameSite=Strict; "
                                   "Path=/console%s",
                                   cookie, tls ? "; Secure" : "");
    soup_message_headers_replace(
        soup_server_message_get_response_headers(message), "Set-Cookie",
        header);
    g_free(header);
    char *text = g_strdup_printf("{\"name\":\"%s\",\"token\":\"%s\"}", name,
                                 session->token);
    g_hash_table_insert(sessions, cookie, session);
    http_reply_json(message, 200, text, -1);
    g_free(text);
}

static void
handle_session(http_t *http, SoupServerMessage *message)
{
    (void)http;
    session_t *session = session_find(message);
    if (session == NULL) {
        http_reply_json(message, 401, "{\"text\":\"sign in first\"}", -1);
        return;
    }
    char *text = g_strdup_printf("{\"name\":\"%s\",\"token\":\"%s\"}",
                                 session->name, session->token);
    http_reply_json(message, 200, text, -1);
    g_free(text);
}

/* The operator behind a call: a key, or a session with its token. */
static const char *
author_of(http_t *http, SoupServerMessage *message, gboolean writes)
{
    const char *name = operators_find(http, message);
    if (name != NULL) {
        return name;
    }
    session_t *session = session_find(message);
    if (session == NULL) {
        return NULL;
    }
    const char *token = soup_message_headers_get_one(
        soup_server_message_get_request_headers(message), "Carobloom-Token");
    if (writes && g_strcmp0(token, session->token) != 0) {
        return NULL;
    }
    return session->name;
}

static void
handle_document(http_t *http, SoupServerMessage *message)
{
    if (author_of(http, message, FALSE) == NULL) {
        http_reply_json(message, 401, "{\"text\":\"sign in first\"}", -1);
        return;
    }
    str_t text = http->document ? document_text(http->document)
                                : STR("{\"classes\":[],\"teams\":[],"
                                      "\"routes\":[],\"services\":[]}");
    guint64 version = http->document ? document_version(http->document) : 0;
    json_t *root = json_pack("{s:I, s:s%}", "version", (json_int_t)version,
                             "text", text.data, (size_t)text.length);
    char *body = json_dumps(root, JSON_COMPACT);
    http_reply_json(message, 200, body, -1);
    free(body);
    json_decref(root);
}

static void
handle_history(http_t *http, SoupServerMessage *message)
{
    if (author_of(http, message, FALSE) == NULL) {
        http_reply_json(message, 401, "{\"text\":\"sign in first\"}", -1);
        return;
    }
    task_send(http->process->voter,
              MESSAGE(ask_message_t, .base = {VOTER_HISTORY, message_free},
                      .call = http_call_for(http, message),
                      .http = http->task));
}

static gboolean
is_plain_text(const char *text)
{
    return text && *text && strlen(text) <= CHANGE_MAX && g_str_is_ascii(text);
}

/* The whole document, with the version it was edited from and a change id
 * that stays the same when it is sent again. */
static void
handle_submit(http_t *http, SoupServerMessage *message)
{
    const char *author = author_of(http, message, TRUE);
    if (author == NULL) {
        http_reply_json(message, 401,
                        "{\"text\":\"sign in, or send the token\"}", -1);
        return;
    }
    SoupMessageHeaders *h = soup_server_message_get_request_headers(message);
    const char *change = soup_message_headers_get_one(h, "Carobloom-Change");
    const char *base = soup_message_headers_get_one(h, "Carobloom-Base");
    const char *note = soup_message_headers_get_one(h, "Carobloom-Note");
    GBytes *body = soup_message_body_flatten(
        soup_server_message_get_request_body(message));
    gsize length;
    const char *text = g_bytes_get_data(body, &length);
    if (!is_plain_text(change) || length == 0 ||
        !g_utf8_validate_len(text, length, NULL)) {
        http_reply_json(message, 400,
                        "{\"text\":\"a document and a Carobloom-Change header "
                        "of 1 to 128 ASCII bytes are needed\"}",
                        -1);
        g_bytes_unref(body);
        return;
    }
    guint64 version = base ? g_ascii_strtoull(base, NULL, 10) : 0;
    task_send(http->process->voter,
              MESSAGE(submit_message_t,
                      .base = {VOTER_SUBMIT, submit_message_free},
                      .call = http_call_for(http, message), .http = http->task,
                      .change = g_strdup(change), .base_version = version,
                      .author = g_strdup(author),
                      .note = g_strdup(is_plain_text(note) ? note : ""),
                      .text = g_strndup(text, length), .length = length));
    g_bytes_unref(body);
}

static void
handle_page(http_t *http, SoupServerMessage *message)
{
    (void)http;
    reply_asset(message, "text/html; charset=utf-8", console_page());
}

static void
handle_script(http_t *http, SoupServerMessage *message)
{
    (void)http;
    reply_asset(message, "text/javascript; charset=utf-8", console_script());
}

static void
handle_style(http_t *http, SoupServerMessage *message)
{
    (void)http;
    reply_asset(message, "text/css; charset=utf-8", console_style());
}

static const struct {
    const char *path;
    const char *method;
    void (*handle)(http_t *http, SoupServerMessage *message);
} PAGES[] = {
    {"/console", "GET", handle_page},
    {"/console/console.css", "GET", handle_style},
    {"/console/console.js", "GET", handle_script},
    {"/console/document", "GET", handle_document},
    {"/console/history", "GET", handle_history},
    {"/console/login", "POST", handle_login},
    {"/console/session", "GET", handle_session},
    {"/console/submit", "POST", handle_submit},
};

static void
handle_console(SoupServer *server, SoupServerMessage *message,
               const char *path, GHashTable *query, gpointer data)
{
    (void)server;
    (void)query;
    const char *method = soup_server_message_get_method(message);
    for (gsize i = 0; i < G_N_ELEMENTS(PAGES); i++) {
        if (strcmp(path, PAGES[i].path) == 0 &&
            strcmp(method, PAGES[i].method) == 0) {
            PAGES[i].handle(data, message);
            return;
        }
    }
    http_reply_json(message, 404, "{\"text\":\"no such page\"}", -1);
}

void
console_register(http_t *http)
{
    sessions =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, session_free);
    soup_server_add_handler(http->operators, "/console", handle_console, http,
                            NULL);
}
