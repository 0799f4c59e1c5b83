#include "carobloom/connection/http.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "carobloom/common/counters.h"
#include "carobloom/common/log.h"
#include "carobloom/connection/hangups.h"
#include "carobloom/request/request.h"

enum {
    ENDPOINT_CONNECTIONS = 20000,
    ENDPOINT_IDLE_S = 5,
    LISTEN_BACKLOG = 1024
};
static const gint64 TICK_US = G_USEC_PER_SEC;

typedef struct {
    call_fn_t fn;
    void *data;
} call_t;

http_t *
http_create(process_t *process, guint index)
{
    http_t *http = g_new0(http_t, 1);
    http->process = process;
    http->index = index;
    http->requests = g_hash_table_new(g_int64_hash, g_int64_equal);
    http->calls =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    http->teams =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    http->budgets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return http;
}

void
http_destroy(http_t *http)
{
    g_clear_object(&http->callers);
    g_clear_object(&http->platform);
    g_clear_object(&http->operators);
    g_clear_object(&http->session);
    g_clear_pointer(&http->hangups, hangups_destroy);
    g_hash_table_unref(http->requests);
    g_hash_table_unref(http->calls);
    g_hash_table_unref(http->teams);
    g_hash_table_unref(http->budgets);
    document_unref(http->document);
    g_free(http);
}

/* GLib's own bind clears SO_REUSEPORT on stream sockets, and the tasks share
 * one address: so the socket is bound here and then handed to GLib. */
static int
fd_listen(GSocketAddress *target, const char **step)
{
    struct sockaddr_storage native;
    gssize size = g_socket_address_get_native_size(target);
    g_socket_address_to_native(target, &native, sizeof(native), NULL);
    int fd = socket(native.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on));
    *step = "bind";
    gboolean ok = bind(fd, (struct sockaddr *)&native, (socklen_t)size) == 0;
    if (ok) {
        *step = "listen";
        ok = listen(fd, LISTEN_BACKLOG) == 0;
    }
    if (!ok) {
        int fault = errno;
        close(fd);
        errno = fault;
        return -1;
    }
    return fd;
}

/* The tasks share an address, so another process could share it unseen, and
 * take half of the calls. A plain bind first finds it out. */
static gboolean
address_is_free(GSocketAddress *target)
{
    struct sockaddr_storage native;
    gssize size = g_socket_address_get_native_size(target);
    g_socket_address_to_native(target, &native, sizeof(native), NULL);
    int fd = socket(native.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    gboolean ok = bind(fd, (struct sockaddr *)&native, (socklen_t)size) == 0;
    int fault = errno;
    close(fd);
    errno = fault;
    return ok;
}

static GSocket *
socket_listen(const char *address, guint16 port, GError **error)
{
    char *host = NULL;
    guint16 own_port = 0;
    address_parse(address, &host, &own_port);
    GSocketAddress *target =
        g_inet_socket_address_new_from_string(host, port ? port : own_port);
    g_free(host);
    const char *step = NULL;
    gboolean first = port == 0;
    int fd = -1;
    if (first && !address_is_free(target)) {
        step = "bind";
    }
    else {
        fd = fd_listen(target, &step);
    }
    g_object_unref(target);
    if (fd < 0) {
        g_set_error(error, G_IO_ERROR, (gint)g_io_error_from_errno(errno),
                    "%s: %s", step, g_strerror(errno));
        return NULL;
    }
    return g_socket_new_from_fd(fd, error);
}

static guint16
socket_port(GSocket *socket)
{
    GSocketAddress *local = g_socket_get_local_address(socket, NULL);
    guint16 port =
        g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(local));
    g_object_unref(local);
    return port;
}

static SoupServer *
server_create(const listener_settings_t *settings, GError **error)
{
    GTlsCertificate *certificate = NULL;
    if (settings->certificate != NULL) {
        certificate = g_tls_certificate_new_from_files(settings->certificate,
                                                       settings->key, error);
        if (certificate == NULL) {
            return NULL;
        }
    }
    SoupServer *server = soup_server_new("server-header", "carobloom",
                                         "tls-certificate", certificate, NULL);
    g_clear_object(&certificate);
    return server;
}

/* Opens one listener and logs where. */
static SoupServer *
listener_open(const listener_settings_t *settings, const char *whom,
              guint16 *port)
{
    GError *error = NULL;
    SoupServer *server = server_create(settings, &error);
    GSocket *socket =
        server ? socket_listen(settings->address, *port, &error) : NULL;
    SoupServerListenOptions options =
        settings->certificate ? SOUP_SERVER_LISTEN_HTTPS : 0;
    gboolean ok =
        socket && soup_server_listen_socket(server, socket, options, &error);
    if (!ok) {
        log_error(LOG_PART_HTTP, "Can not listen for %s at %s: %s.", whom,
                  settings->address,
                  error ? error->message : "no reason given");
        g_clear_error(&error);
        g_clear_object(&server);
    }
    else if (*port == 0) {
        *port = socket_port(socket);
        const char *colon = strrchr(settings->address, ':');
        log_info(LOG_PART_HTTP, "Listening for %s at %.*s:%u.", whom,
                 (int)(colon - settings->address), settings->address, *port);
    }
    g_clear_object(&socket);
    return server;
}

int
http_listen(http_t *http, guint16 *port)
{
    const settings_t *settings = http->process->settings;
    g_main_context_push_thread_default(task_context(http->task));
    http->callers = listener_open(&settings->callers, "callers", port);
    gboolean ok = http->callers != NULL;
    if (ok) {
        callers_register(http);
    }
    if (ok && http->index == 0) {
        guint16 other = 0;
        http->platform =
            listener_open(&settings->platform, "platform", &other);
        other = 0;
        http->operators =
            listener_open(&settings->operators, "operators", &other);
        ok = http->platform && http->operators;
    }
    if (ok && http->index == 0) {
        platform_register(http);
        operators_register(http);
    }
    g_main_context_pop_thread_default(task_context(http->task));
    return ok ? 0 : -1;
}

static void
tick(void *data)
{
    http_t *http = data;
    gint64 now = g_get_monotonic_time();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, http->requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        request_tick(value, now);
    }
}

/* What is still on its way of a call that is given up is not delivered: its
 * connection is reset. */
static void
on_network_event(SoupMessage *message, GSocketClientEvent event,
                 GIOStream *stream, gpointer data)
{
    static const struct linger RESET = {.l_onoff = 1, .l_linger = 0};
    (void)message;
    (void)data;
    if (event != G_SOCKET_CLIENT_CONNECTED ||
        !G_IS_SOCKET_CONNECTION(stream)) {
        return;
    }
    GSocket *socket =
        g_socket_connection_get_socket(G_SOCKET_CONNECTION(stream));
    if (setsockopt(g_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &RESET,
                   sizeof(RESET)) != 0) {
        log_warn(LOG_PART_HTTP, "A connection can't be reset: %s.",
                 g_strerror(errno));
    }
}

static void
on_request_queued(SoupSession *session, SoupMessage *message, gpointer data)
{
    (void)session;
    (void)data;
    g_signal_connect(message, "network-event", G_CALLBACK(on_network_event),
                     NULL);
}

void
http_begin(void *state)
{
    http_t *http = state;
    http->session = soup_session_new_with_options(
        "max-conns", ENDPOINT_CONNECTIONS, "max-conns-per-host",
        ENDPOINT_CONNECTIONS, "timeout", 0, "idle-timeout", ENDPOINT_IDLE_S,
        /* The default one asks a pool of threads for each connection. */
        "proxy-resolver", NULL, NULL);
    g_signal_connect(http->session, "request-queued",
                     G_CALLBACK(on_request_queued), NULL);
    http->hangups = hangups_create(task_context(http->task), request_hung_up);
    soup_session_remove_feature_by_type(http->session,
                                        SOUP_TYPE_CONTENT_DECODER);
    timers_subscribe(task_timers(http->task), TICK_US, TICK_US, tick, http);
}

void
http_end(void *state)
{
    http_t *http = state;
    soup_session_abort(http->session);
    soup_server_disconnect(http->callers);
    if (http->platform) {
        soup_server_disconnect(http->platform);
        soup_server_disconnect(http->operators);
    }
}

guint64
http_call_create(http_t *http, call_fn_t fn, void *data)
{
    call_t *call = g_new(call_t, 1);
    *call = (call_t){.fn = fn, .data = data};
    guint64 id = ++http->last_call;
    g_hash_table_insert(http->calls, g_memdup2(&id, sizeof(id)), call);
    return id;
}

static void
forward_reply(const reply_message_t *reply, void *data)
{
    SoupServerMessage *message = data;
    http_reply_json(message, reply->status, reply->text,
                    (gssize)reply->length);
    soup_server_message_unpause(message);
    g_object_unref(message);
}

guint64
http_call_for(http_t *http, SoupServerMessage *message)
{
    soup_server_message_pause(message);
    return http_call_create(http, forward_reply, g_object_ref(message));
}

guint64
http_next_ticket(http_t *http)
{
    /* The task's index in the low digits keeps the tasks' ids apart. */
    guint32 number = ++http->last_ticket * HTTP_TASKS_MAX + http->index;
    return (guint64)process_entry(http->process) << 32 | number;
}

void
http_reply_json(SoupServerMessage *message, int status, const char *text,
                gssize length)
{
    gsize size = length < 0 ? strlen(text) : (gsize)length;
    soup_server_message_set_status(message, (guint)status, NULL);
    soup_server_message_set_response(message, "application/json",
                                     SOUP_MEMORY_COPY, text, size);
}

static void
handle_reply(http_t *http, const reply_message_t *m)
{
    call_t *call = g_hash_table_lookup(http->calls, &m->call);
    if (call == NULL) {
        return;
    }
    call_t copy = *call;
    g_hash_table_remove(http->calls, &m->call);
    copy.fn(m, copy.data);
}

static void
handle_decision(http_t *http, const decision_message_t *m)
{
    request_t *request = g_hash_table_lookup(http->requests, &m->ticket);
    if (request == NULL) {
        return; /* answered meanwhile; its settlement is on the way */
    }
    switch ((message_type_t)m->base.type) {
    case HTTP_GRANT:
        request_granted(request, m);
        break;
    case HTTP_REFUSE:
        request_refused(request, m);
        break;
    default:
        request_preempted(request);
        break;
    }
}

static void
handle_claimed(http_t *http, const claimed_message_t *m)
{
    request_t *request = g_hash_table_lookup(http->requests, &m->call);
    if (request != NULL) {
        request_claimed(request, m);
    }
}

/* The requests of this task: to who asked, or on standard error. */
static void
handle_ask(http_t *http, const ask_message_t *m)
{
    json_t *list = json_array();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, http->requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        json_array_append_new(list, request_dump(value));
    }
    char *text = json_dumps(list, JSON_COMPACT);
    json_decref(list);
    if (m->http == NULL) {
        fprintf(stderr, "# requests of http task %u: %s\n", http->index, text);
        free(text);
        return;
    }
    task_send(m->http, MESSAGE(reply_message_t,
                               .base = {HTTP_REPLY, reply_message_free},
                               .call = m->call, .status = 200, .text = text,
                               .length = strlen(text)));
}

void
http_handle(void *state, message_t *message)
{
    http_t *http = state;
    switch ((message_type_t)message->type) {
    case HTTP_GRANT:
    case HTTP_REFUSE:
    case HTTP_PREEMPT:
        handle_decision(http, (decision_message_t *)message);
        break;
    case HTTP_CLAIMED:
        handle_claimed(http, (claimed_message_t *)message);
        break;
    case HTTP_DOCUMENT:
        document_unref(http->document);
        http->document =
            document_ref(((document_message_t *)message)->document);
        break;
    case HTTP_ASK:
        handle_ask(http, (ask_message_t *)message);
        break;
    case HTTP_ORDER:
        orders_give(http, (engine_message_t *)message);
        break;
    case HTTP_REPLY:
        handle_reply(http, (reply_message_t *)message);
        break;
    default:
        break;
    }
}
