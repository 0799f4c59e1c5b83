#include "carobloom/http/server.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "carobloom/common/counters.h"
#include "carobloom/common/event_log.h"
#include "carobloom/common/log.h"
#include "carobloom/http/reader.h"
#include "carobloom/http/stream_socket.h"

enum {
    ACCEPTS_A_TURN = 64,
    /* For a client to read a refusal before a close; again if it has sent
     * anything in this time. */
    LINGER_US = 500 * 1000,
    /* Of the bytes that may be buffered, for requests that wait behind others
     * on their connections. */
    AHEAD_PART = 2,
    READ_FIRST_US = 1000, /* for bytes that arrived before a timeout */
    /* A client that takes none of its answer for so long has left. The kernel
     * gives up such a connection after the same time. */
    UNREAD_US = 4000 * 1000,
};

/* With a refusal of a body that the memory has no room for, in seconds: bodies
 * are held as long as their requests take. */
#define BODY_RETRY_AFTER_S "0.5"

typedef enum {
    CONNECTION_READING,
    CONNECTION_ANSWERING, /* the owner has the exchange */
    CONNECTION_CLOSING,   /* the last bytes go out */
} connection_state_t;

/* A connection and the exchange on it. */
struct http_exchange {
    http_server_t *server;
    GList *link;
    stream_socket_t *socket;
    http_reader_t reader;
    GByteArray *body; /* NULL while it is empty */
    gsize reserved;   /* bytes of `buffered` for the body */
    gsize body_max;   /* the limit when the request's head arrived */
    /* Of the loop that reads `unread`: set once this is freed. NULL: none
     * does. */
    gboolean *freed;
    GByteArray *unread; /* bytes after the request, or NULL */
    gsize unread_at;    /* of these, the first that was not read */
    gboolean is_cut;    /* there were more, which are not held */
    connection_state_t state;
    gint64 started_us;
    gint64 idle_since_us; /* empty lines before a request change nothing */
    gsize backlog;        /* of the answer, when it was last looked at */
    gint64 taken_us; /* when the client was last seen to take a part of it */
    guint64 timer;
    gboolean chunked_answer;
    gboolean close_after;
    gboolean lingers;     /* the rest of the body is read and dropped */
    gboolean has_dropped; /* some of it, since the timer was set */
    gsize dropped;        /* bytes of it */
    guint refusal;        /* status, when a callback of the reader refused */
    void *data;
};

struct http_server {
    poller_t *poller;
    timers_t *timers;
    int fd;
    poll_watch_t *watch;
    guint16 port;
    http_limits_t limits;
    const http_server_ops_t *ops;
    void *user;
    GList *connections;
    guint count;
    guint exchanges;
    gsize buffered; /* bytes of requests held, or reserved for bodies */
    gsize ahead;    /* of these, of requests that wait behind others */
    gsize unread;   /* bytes of answers that clients have not taken */
    gboolean draining;
};

static void connection_feed(http_exchange_t *c, str_t bytes);
static void connection_arm(http_exchange_t *c);
static void connection_expired(void *data);

/* ---- the life of a connection ---- */

static gsize
room_left(const http_server_t *server)
{
    gsize held = server->buffered;
    if (server->ops->held != NULL) {
        held += server->ops->held(server->user);
    }
    return server->limits.buffered_max -
           MIN(held, server->limits.buffered_max);
}

/* Reserves room for `bytes` more of the body. */
static gboolean
body_reserve(http_exchange_t *c, gsize bytes)
{
    http_server_t *server = c->server;
    if (bytes > room_left(server)) {
        counter_add(counter_get("http_bodies_over_total", NULL, FALSE), 1);
        return FALSE;
    }
    server->buffered += bytes;
    c->reserved += bytes;
    return TRUE;
}

static void
body_drop(http_exchange_t *c)
{
    c->server->buffered -= c->reserved;
    c->reserved = 0;
    g_clear_pointer(&c->body, g_byte_array_unref);
}

static void
unread_count(http_server_t *server, gssize bytes)
{
    server->buffered += (gsize)bytes;
    server->ahead += (gsize)bytes;
}

static void
unread_clear(http_exchange_t *c)
{
    if (c->unread != NULL) {
        unread_count(c->server, -(gssize)c->unread->len);
        g_clear_pointer(&c->unread, g_byte_array_unref);
        c->unread_at = 0;
    }
}

static str_t
unread_bytes(const http_exchange_t *c)
{
    return (str_t){.data = (const char *)c->unread->data + c->unread_at,
                   .length = c->unread->len - c->unread_at};
}

/* Drops what was read once it is most of the array, so that each byte is moved
 * once on average, however many requests there are. */
static void
unread_advance(http_exchange_t *c, gsize bytes)
{
    c->unread_at += bytes;
    if (c->unread_at == c->unread->len) {
        unread_clear(c);
    }
    else if (c->unread_at > c->unread->len / 2) {
        unread_count(c->server, -(gssize)c->unread_at);
        g_byte_array_remove_range(c->unread, 0, (guint)c->unread_at);
        c->unread_at = 0;
    }
}

/* How many more bytes may be held: one request, however large, if the memory
 * has room for it beside the bodies of requests that are answered first. */
static gsize
unread_room(const http_exchange_t *c)
{
    const http_server_t *server = c->server;
    const http_limits_t *limits = &server->limits;
    gsize held = c->unread != NULL ? c->unread->len : 0;
    gsize share = limits->buffered_max / AHEAD_PART;
    gsize left = MIN(share - MIN(server->ahead, share), room_left(server));
    gsize most = MIN(held + left, limits->head_max + limits->body_max);
    most = MAX(most, limits->head_max);
    return most - MIN(held, most);
}

/* From now on what the client sends is dropped; the connection ends once what
 * is held of it was answered. It is read on, up to a bound, since the close of
 * the client would not be seen behind bytes that are not read. */
static void
unread_cut(http_exchange_t *c)
{
    c->is_cut = TRUE;
    c->lingers = TRUE;
    counter_add(counter_get("http_requests_ahead_cut_total", NULL, FALSE), 1);
    if (event_log_begin(EVENT_FAILURE, "requests_ahead_cut")) {
        event_log_number("held_bytes",
                         c->unread != NULL ? (gint64)c->unread->len : 0);
        event_log_number("buffered_bytes", (gint64)c->server->buffered);
        event_log_end();
    }
}

static void
unread_append(http_exchange_t *c, str_t bytes)
{
    gsize held = MIN(bytes.length, unread_room(c));
    if (held > 0 && c->unread == NULL) {
        c->unread = g_byte_array_new();
    }
    if (held > 0) {
        g_byte_array_append(c->unread, (const guint8 *)bytes.data,
                            (guint)held);
        unread_count(c->server, (gssize)held);
    }
    if (held < bytes.length) {
        unread_cut(c);
    }
}

static void
connection_free(http_exchange_t *c)
{
    http_server_t *server = c->server;
    if (c->state == CONNECTION_ANSWERING) {
        server->exchanges--;
    }
    timers_cancel(server->timers, c->timer);
    server->connections = g_list_delete_link(server->connections, c->link);
    server->count--;
    body_drop(c);
    unread_clear(c);
    http_reader_clear(&c->reader);
    if (c->freed != NULL) {
        *c->freed = TRUE;
    }
    g_free(c);
}

static void
connection_close(http_exchange_t *c)
{
    stream_socket_destroy(c->socket);
    connection_free(c);
}

static int
on_request_head(void *user)
{
    http_exchange_t *c = user;
    const http_head_t *head = &c->reader.head;
    str_t expect;
    c->body_max = c->server->limits.body_max;
    if (head->has_length && head->length > c->body_max) {
        c->refusal = 413;
        return -1;
    }
    if (head->has_length && head->length > 0 &&
        !body_reserve(c, (gsize)head->length)) {
        c->refusal = 503;
        return -1;
    }
    if (http_head_find(head, "Expect", &expect) &&
        http_name_is(expect, "100-continue")) {
        stream_socket_write(c->socket, STR("HTTP/1.1 100 Continue\r\n\r\n"));
        stream_socket_flush(c->socket);
    }
    return 0;
}

static int
on_request_body(void *user, str_t bytes)
{
    http_exchange_t *c = user;
    if (c->body == NULL) {
        c->body = g_byte_array_sized_new((guint)c->reserved);
    }
    gsize length = c->body->len + bytes.length;
    if (length > c->body_max) {
        c->refusal = 413;
        return -1;
    }
    if (length > c->reserved && !body_reserve(c, length - c->reserved)) {
        c->refusal = 503;
        return -1;
    }
    g_byte_array_append(c->body, (const guint8 *)bytes.data,
                        (guint)bytes.length);
    return 0;
}

static const reader_ops_t READER_OPS = {.head = on_request_head,
                                        .body = on_request_body};

/* Ends a connection whose last answer has been sent. A client that is still
 * sending gets a reset, which may overtake the answer, unless all it sends is
 * read. */
static void
connection_end(http_exchange_t *c)
{
    if (!c->lingers) {
        connection_close(c);
        return;
    }
    stream_socket_end_writing(c->socket);
}

/* Sends a final answer of this layer and closes. */
static void
connection_refuse(http_exchange_t *c, guint status)
{
    GString *text = g_string_new(NULL);
    g_string_append_printf(
        text,
        "HTTP/1.1 %u %s\r\nContent-Length: 0\r\n%s"
        "Connection: close\r\n\r\n",
        status, http_reason(status),
        status == 503 ? "Retry-After: " BODY_RETRY_AFTER_S "\r\n" : "");
    stream_socket_write(c->socket,
                        (str_t){.data = text->str, .length = text->len});
    g_string_free(text, TRUE);
    log_debug(LOG_PART_HTTP, "A request was refused with %u while read.",
              status);
    c->state = CONNECTION_CLOSING;
    c->lingers = status == 503;
    body_drop(c);
    stream_socket_read(c->socket, c->lingers);
    if (!stream_socket_flush(c->socket)) {
        connection_close(c);
        return;
    }
    connection_arm(c);
    if (c->lingers && stream_socket_backlog(c->socket) == 0) {
        connection_end(c);
    }
}

static guint
status_of(const http_exchange_t *c, reader_result_t result)
{
    if (result == READER_ERROR_HEAD) {
        return 431;
    }
    return result == READER_ERROR_OWNER ? c->refusal : 400;
}

static void
set_timer(http_exchange_t *c, gint64 delay_us)
{
    timers_t *timers = c->server->timers;
    timers_cancel(timers, c->timer);
    c->timer = timers_subscribe(timers, delay_us, 0, connection_expired, c);
}

/* Whether an answer is on its way to a client that still takes it. */
static gboolean
is_answer_being_taken(http_exchange_t *c)
{
    gint64 now = timers_now(c->server->timers);
    gsize backlog = stream_socket_backlog(c->socket);
    if (backlog != c->backlog) {
        c->backlog = backlog;
        c->taken_us = now;
    }
    return backlog > 0 && now - c->taken_us < (gint64)UNREAD_US;
}

static void
connection_expired(void *data)
{
    http_exchange_t *c = data;
    http_server_t *server = c->server;
    c->timer = 0;
    gint64 limit =
        c->reader.started ? server->limits.head_us : server->limits.idle_us;
    gint64 since = c->reader.started ? c->started_us : c->idle_since_us;
    if (is_answer_being_taken(c)) {
        connection_arm(c);
        return;
    }
    if (c->state == CONNECTION_CLOSING && c->has_dropped &&
        timers_now(server->timers) - c->started_us < server->limits.head_us) {
        connection_arm(c);
        return;
    }
    if (c->state == CONNECTION_CLOSING) {
        connection_close(c);
        return;
    }
    if (c->state == CONNECTION_ANSWERING ||
        timers_now(server->timers) - since < limit) {
        connection_arm(c);
        return;
    }
    if (!stream_socket_is_quiet(c->socket)) {
        set_timer(c, READ_FIRST_US);
        return;
    }
    if (c->reader.started) {
        connection_refuse(c, 408);
        return;
    }
    connection_close(c);
}

/* One timer a connection, set anew only when it runs out. */
static void
connection_arm(http_exchange_t *c)
{
    http_server_t *server = c->server;
    gint64 delay = c->reader.started
                       ? MIN(server->limits.head_us, server->limits.idle_us)
                       : server->limits.idle_us;
    if (c->state == CONNECTION_CLOSING) {
        delay = LINGER_US;
        c->has_dropped = FALSE;
    }
    set_timer(c, delay);
}

/* The request is whole: the owner gets it. */
static void
connection_request(http_exchange_t *c)
{
    http_server_t *server = c->server;
    c->state = CONNECTION_ANSWERING;
    c->close_after = !c->reader.head.keep_alive || c->reader.head.http_1_0;
    c->data = NULL;
    server->exchanges++;
    server->ops->request(c, server->user);
}

/* Returns TRUE if the bytes complete a request; `used` tells how many of them
 * belong to it. A request that is refused may free the connection. */
static gboolean
connection_parse(http_exchange_t *c, str_t bytes, gsize *used)
{
    gboolean first = !c->reader.started;
    if (first) {
        c->reader.head_max = c->server->limits.head_max;
    }
    reader_result_t result = http_reader_feed(&c->reader, bytes, used);
    if (first && c->reader.started) {
        c->started_us = timers_now(c->server->timers);
        connection_arm(c);
    }
    if (result != READER_OK) {
        counter_add(counter_get("http_refused_total", NULL, FALSE), 1);
        connection_refuse(c, status_of(c, result));
        return FALSE;
    }
    return c->reader.complete;
}

static void
connection_feed(http_exchange_t *c, str_t bytes)
{
    gsize used = 0;
    if (connection_parse(c, bytes, &used)) {
        unread_append(c, str_tail(bytes, used));
        connection_request(c);
    }
}

/* Returns TRUE once more was dropped of a connection than it may send. */
static gboolean
drop(http_exchange_t *c, gsize bytes)
{
    c->dropped += bytes;
    return c->dropped > c->body_max;
}

/* Gives up the request of a client that sends without end. Its close could
 * only be seen behind bytes that are read for ever. */
static void
end_flood(http_exchange_t *c)
{
    counter_add(counter_get("http_floods_ended_total", NULL, FALSE), 1);
    if (event_log_begin(EVENT_FAILURE, "requests_ahead_without_end")) {
        event_log_number("dropped_bytes", (gint64)c->dropped);
        event_log_end();
    }
    c->server->ops->gone(c, c->server->user);
    http_exchange_abort(c);
}

static void
on_bytes(void *user, str_t bytes)
{
    http_exchange_t *c = user;
    if (c->state == CONNECTION_READING) {
        connection_feed(c, bytes);
        return;
    }
    if (c->state == CONNECTION_CLOSING) {
        c->has_dropped = TRUE;
        if (drop(c, bytes.length)) {
            connection_close(c);
        }
        return;
    }
    if (!c->is_cut) {
        unread_append(c, bytes);
        return;
    }
    if (drop(c, bytes.length)) {
        end_flood(c);
    }
}

static void
on_drained(void *user)
{
    http_exchange_t *c = user;
    if (c->state == CONNECTION_CLOSING) {
        connection_end(c);
    }
    else if (c->state == CONNECTION_ANSWERING) {
        c->server->ops->drained(c, c->server->user);
    }
}

static void
on_closed(void *user, int error)
{
    (void)error;
    http_exchange_t *c = user;
    if (c->state == CONNECTION_ANSWERING) {
        c->server->ops->gone(c, c->server->user);
    }
    connection_close(c);
}

/* A client that leaves amid an exchange is noticed behind all that it sent. A
 * request that came before the close is still read: the owner may want it. */
static gboolean
on_hung_up(void *user, gboolean reset)
{
    const http_exchange_t *c = user;
    if (c->state != CONNECTION_ANSWERING && !reset) {
        return FALSE;
    }
    on_closed(user, 0);
    return TRUE;
}

static const stream_socket_ops_t SOCKET_OPS = {.bytes = on_bytes,
                                               .drained = on_drained,
                                               .closed = on_closed,
                                               .hung_up = on_hung_up};

/* Ends a connection after its last answer. */
static void
connection_end_last(http_exchange_t *c)
{
    c->state = CONNECTION_CLOSING;
    body_drop(c);
    connection_arm(c);
    if (stream_socket_backlog(c->socket) == 0) {
        connection_end(c);
    }
}

/* Reads the requests that came behind the one that was answered, up to the
 * first that is not answered at once. The answers of those that are return to
 * this loop, however many they are. */
static void
connection_feed_unread(http_exchange_t *c)
{
    gboolean freed = FALSE;
    c->freed = &freed;
    while (!freed && c->state == CONNECTION_READING && c->unread != NULL) {
        gsize used = 0;
        gboolean complete = connection_parse(c, unread_bytes(c), &used);
        if (freed) {
            return;
        }
        unread_advance(c, used);
        if (complete) {
            connection_request(c);
        }
    }
    if (freed) {
        return;
    }
    c->freed = NULL;
    if (c->is_cut && c->state == CONNECTION_READING) {
        connection_end_last(c);
    }
}

/* The answer is written: the connection takes the next request or ends. */
static void
connection_answered(http_exchange_t *c)
{
    http_server_t *server = c->server;
    server->exchanges--;
    c->state = CONNECTION_READING;
    c->data = NULL;
    body_drop(c);
    gboolean sound = stream_socket_flush(c->socket);
    if (!sound) {
        connection_close(c);
        return;
    }
    if (c->close_after || (c->is_cut && c->unread == NULL)) {
        connection_end_last(c);
        return;
    }
    http_reader_reset(&c->reader);
    c->idle_since_us = timers_now(server->timers);
    if (c->unread != NULL && c->freed == NULL) {
        connection_feed_unread(c);
    }
}

/* ---- the listener ---- */

static void
connection_create(http_server_t *server, int fd)
{
    http_exchange_t *c = g_new0(http_exchange_t, 1);
    c->server = server;
    c->socket = stream_socket_adopt(server->poller, fd, &SOCKET_OPS, c);
    if (c->socket == NULL) {
        g_free(c);
        return;
    }
    stream_socket_count(c->socket, &server->unread);
    if (server->limits.unread_us > 0) {
        stream_socket_set_unread_max(c->socket, server->limits.unread_us);
    }
    c->idle_since_us = timers_now(server->timers);
    http_reader_init(&c->reader, TRUE, server->limits.head_max, &READER_OPS,
                     c);
    server->connections = g_list_prepend(server->connections, c);
    c->link = server->connections;
    server->count++;
    connection_arm(c);
}

/* Returns FALSE if no connection waits. */
static gboolean
accept_one(http_server_t *server)
{
    int fd = accept4(server->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
        return FALSE;
    }
    if (server->count >= server->limits.connections) {
        counter_add(counter_get("http_connections_over_total", NULL, FALSE),
                    1);
        close(fd);
        return TRUE;
    }
    connection_create(server, fd);
    return TRUE;
}

static void
on_acceptable(guint32 events, void *data)
{
    (void)events;
    for (int i = 0; i < ACCEPTS_A_TURN && accept_one(data); i++) {
    }
}

http_server_t *
http_server_create(poller_t *poller, timers_t *timers, const char *address,
                   const http_limits_t *limits, const http_server_ops_t *ops,
                   void *user)
{
    guint16 port = 0;
    int fd = socket_listen(address, &port);
    if (fd < 0) {
        return NULL;
    }
    http_server_t *server = g_new0(http_server_t, 1);
    *server = (http_server_t){.poller = poller,
                              .timers = timers,
                              .fd = fd,
                              .port = port,
                              .limits = *limits,
                              .ops = ops,
                              .user = user};
    server->watch =
        poll_watch_create(poller, fd, EPOLLIN, on_acceptable, server);
    return server;
}

static void
close_listener(http_server_t *server)
{
    if (server->watch != NULL) {
        g_clear_pointer(&server->watch, poll_watch_destroy);
        close(server->fd);
    }
}

void
http_server_unlisten(http_server_t *server)
{
    /* The kernel resets what waits there when the listener is closed. */
    while (server->watch != NULL && accept_one(server)) {
    }
    close_listener(server);
}

void
http_server_destroy(http_server_t *server)
{
    close_listener(server);
    GList *next;
    for (GList *l = server->connections; l != NULL; l = next) {
        next = l->next;
        on_closed(l->data, 0);
    }
    g_free(server);
}

guint16
http_server_port(const http_server_t *server)
{
    return server->port;
}

void
http_server_set_limits(http_server_t *server, const http_limits_t *limits)
{
    server->limits = *limits;
}

void
http_server_drain(http_server_t *server)
{
    server->draining = TRUE;
}

void
http_server_close_idle(http_server_t *server)
{
    GList *next;
    for (GList *l = server->connections; l != NULL; l = next) {
        http_exchange_t *c = l->data;
        next = l->next;
        if (c->state == CONNECTION_READING && !c->reader.started &&
            stream_socket_backlog(c->socket) == 0 &&
            stream_socket_is_quiet(c->socket)) {
            connection_close(c);
        }
    }
}

static http_exchange_t *
find_exchange(const http_server_t *server)
{
    for (GList *l = server->connections; l != NULL; l = l->next) {
        http_exchange_t *c = l->data;
        if (c->state == CONNECTION_ANSWERING) {
            return c;
        }
    }
    return NULL;
}

void
http_server_end_exchanges(const http_server_t *server,
                          void (*end)(http_exchange_t *exchange))
{
    http_exchange_t *c;
    while ((c = find_exchange(server)) != NULL) {
        end(c);
    }
}

guint
http_server_connections(const http_server_t *server)
{
    return server->count;
}

guint
http_server_exchanges(const http_server_t *server)
{
    return server->exchanges;
}

gsize
http_server_buffered(const http_server_t *server)
{
    return server->buffered;
}

gsize
http_server_unread(const http_server_t *server)
{
    return server->unread;
}

/* ---- exchanges ---- */

const http_head_t *
http_exchange_head(const http_exchange_t *c)
{
    return &c->reader.head;
}

str_t
http_exchange_body(const http_exchange_t *c)
{
    if (c->body == NULL) {
        return (str_t){.data = "", .length = 0};
    }
    return (str_t){.data = (const char *)c->body->data,
                   .length = c->body->len};
}

gint64
http_exchange_started(const http_exchange_t *c)
{
    return c->started_us;
}

void
http_exchange_set_data(http_exchange_t *c, void *data)
{
    c->data = data;
}

void *
http_exchange_data(const http_exchange_t *c)
{
    return c->data;
}

static gboolean
is_head_request(const http_exchange_t *c)
{
    return g_str_equal(c->reader.head.method, "HEAD");
}

static GString *
answer_start(http_exchange_t *c, guint status, str_t fields)
{
    GString *text = g_string_sized_new(256 + fields.length);
    /* A request that has arrived already gets its answer first. */
    c->close_after |= c->unread == NULL &&
                      (c->is_cut || (c->server->draining &&
                                     stream_socket_is_quiet(c->socket)));
    g_string_append_printf(text, "HTTP/1.1 %u %s\r\n", status,
                           http_reason(status));
    g_string_append_len(text, fields.data, (gssize)fields.length);
    if (c->close_after) {
        g_string_append(text, "Connection: close\r\n");
    }
    return text;
}

void
http_exchange_answer(http_exchange_t *c, guint status, str_t fields,
                     str_t body)
{
    GString *text = answer_start(c, status, fields);
    if (status != 204 && status != 304) {
        http_write_number(text, "Content-Length", body.length);
    }
    g_string_append_len(text, "\r\n", 2);
    if (!is_head_request(c)) {
        g_string_append_len(text, body.data, (gssize)body.length);
    }
    stream_socket_write(c->socket,
                        (str_t){.data = text->str, .length = text->len});
    g_string_free(text, TRUE);
    connection_answered(c);
}

void
http_exchange_begin(http_exchange_t *c, guint status, str_t fields)
{
    c->chunked_answer = !c->reader.head.http_1_0;
    c->close_after |= !c->chunked_answer;
    GString *text = answer_start(c, status, fields);
    g_string_append(text, c->chunked_answer
                              ? "Transfer-Encoding: chunked\r\n\r\n"
                              : "\r\n");
    stream_socket_write(c->socket,
                        (str_t){.data = text->str, .length = text->len});
    g_string_free(text, TRUE);
}

void
http_exchange_write(http_exchange_t *c, str_t bytes)
{
    char size[24];
    if (bytes.length == 0) {
        return;
    }
    if (!c->chunked_answer) {
        stream_socket_write(c->socket, bytes);
    }
    else {
        int length = g_snprintf(size, sizeof(size),
                                "%" G_GSIZE_MODIFIER "x\r\n", bytes.length);
        stream_socket_write(c->socket,
                            (str_t){.data = size, .length = (gsize)length});
        stream_socket_write(c->socket, bytes);
        stream_socket_write(c->socket, STR("\r\n"));
    }
    /* A failure shows as the close of the connection, in its turn. */
    stream_socket_flush(c->socket);
}

void
http_exchange_finish(http_exchange_t *c)
{
    if (c->chunked_answer) {
        stream_socket_write(c->socket, STR("0\r\n\r\n"));
    }
    connection_answered(c);
}

void
http_exchange_abort(http_exchange_t *c)
{
    stream_socket_reset(c->socket);
    connection_free(c);
}

gboolean
http_exchange_has_left(const http_exchange_t *c)
{
    return stream_socket_has_hung_up(c->socket);
}

gint64
http_exchange_quiet_ms(const http_exchange_t *c)
{
    return stream_socket_quiet_ms(c->socket);
}

gsize
http_exchange_backlog(const http_exchange_t *c)
{
    return stream_socket_backlog(c->socket);
}
