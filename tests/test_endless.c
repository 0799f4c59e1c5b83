/* Tests that bytes without end cost no memory and no time, whoever sends them:
 * servers that are called, and clients. */
#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "carobloom/http/client.h"
#include "carobloom/http/server.h"
#include "check.h"
#include "listener.h"
#include "loop.h"

enum {
    MS = 1000,
    UNIT_BYTES = 64 * 1024, /* sent at once, of repeated units */
    BODY_MAX = 1024 * 1024,
    HEAD_MAX = 16384,
    /* What the kernel holds of a connection, and the bounds above. */
    TAKEN_MAX = 16 * 1024 * 1024,
    CLOSED_US = 1000 * MS, /* within which the connection is closed */
    LIMIT_US = 700 * MS,   /* for a request, and between two */
    DRIP_US = 5 * MS,
};

/* ---- who sends without end ---- */

/* Sends `first`, then `unit` again and again until the connection is closed.
 */
typedef struct {
    int fd;
    const char *first;
    const char *unit;
    gboolean drips; /* a unit at a time, with pauses */
    gint stop;
    gsize sent;
    gint64 began_us;
    gint64 closed_us; /* 0: not closed by the other side */
} hose_t;

static GString *
repeated(const char *unit)
{
    GString *text = g_string_new(NULL);
    while (text->len < UNIT_BYTES) {
        g_string_append(text, unit);
    }
    return text;
}

static gboolean
hose_send(hose_t *hose, str_t bytes)
{
    gsize at = 0;
    while (at < bytes.length && !g_atomic_int_get(&hose->stop)) {
        ssize_t count = send(hose->fd, bytes.data + at, bytes.length - at,
                             MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count < 0 && errno != EAGAIN) {
            return FALSE;
        }
        at += (gsize)MAX(count, 0);
        hose->sent += (gsize)MAX(count, 0);
        if (count < 0) {
            g_usleep(MS);
        }
    }
    return TRUE;
}

static gpointer
hose_run(gpointer data)
{
    hose_t *hose = data;
    GString *unit =
        hose->drips ? g_string_new(hose->unit) : repeated(hose->unit);
    hose->began_us = g_get_monotonic_time();
    gboolean open = hose_send(hose, str_from_cstr(hose->first));
    while (open && !g_atomic_int_get(&hose->stop)) {
        open =
            hose_send(hose, (str_t){.data = unit->str, .length = unit->len});
        if (hose->drips) {
            g_usleep(DRIP_US);
        }
    }
    hose->closed_us = open ? 0 : g_get_monotonic_time();
    g_string_free(unit, TRUE);
    /* Unlike a close in order, a reset arrives before all that was sent. */
    struct linger linger = {.l_onoff = 1};
    setsockopt(hose->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
    close(hose->fd);
    return NULL;
}

static void
check_closed(const hose_t *hose, gint64 bound_us, gsize taken_max)
{
    gint64 took_us =
        hose->closed_us != 0 ? hose->closed_us - hose->began_us : -1;
    printf("%zu bytes in %d ms; ", hose->sent, (int)(took_us / MS));
    CU_ASSERT(took_us >= 0 && took_us < bound_us);
    CU_ASSERT(hose->sent < taken_max);
}

/* ---- servers ---- */

#define OK_HEAD "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\n"
#define OTHER "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"

typedef struct {
    const char *name; /* of what has no end */
    const char *first;
    const char *unit;
    gboolean is_answered; /* a whole answer comes before */
} answer_case_t;

static const answer_case_t ANSWER_CASES[] = {
    {"noise", "", "noise "},
    {"empty lines", "", "\r\n"},
    {"a status line", "HTTP/1.1 200 ", "xxxx"},
    {"a field of a head", OK_HEAD "X: ", "xxxx"},
    {"fields of a head", OK_HEAD, "X: y\r\n"},
    {"interim heads", "", "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n"},
    {"answers to other requests", "", OTHER "Content-Length: 2\r\n\r\nxx"},
    {"an answer to another request",
     OTHER "Content-Length: 999999999999\r\n\r\n", "xxxx"},
    {"a body with a length", OK_HEAD "Content-Length: 999999999999\r\n\r\n",
     "xxxx"},
    {"a body without a length", OK_HEAD "\r\n", "xxxx"},
    {"chunks", OK_HEAD CHUNKED, "2\r\nxx\r\n"},
    {"a chunk", OK_HEAD CHUNKED "ffffffffff\r\n", "xxxx"},
    {"the size of a chunk", OK_HEAD CHUNKED, "0000"},
    {"the extension of a chunk", OK_HEAD CHUNKED "2;", "xxxx"},
    {"a trailer", OK_HEAD CHUNKED "0\r\nX: ", "xxxx"},
    {"trailers", OK_HEAD CHUNKED "0\r\n", "X: y\r\n"},
    {"what is behind an answer", OK_HEAD "Content-Length: 2\r\n\r\nok", "xxxx",
     .is_answered = TRUE},
};

typedef struct {
    gboolean over;
    gboolean done;
} ended_t;

static call_verdict_t
take_head(client_call_t *call, const http_head_t *head, void *user)
{
    (void)call;
    (void)user;
    str_t id = {0};
    http_head_find(head, "Request-Id", &id);
    return str_equal(id, STR("mine")) ? CALL_TAKE : CALL_SKIP;
}

static void
ignore_body(client_call_t *call, str_t bytes, void *user)
{
    (void)call;
    (void)bytes;
    (void)user;
}

static void
end_done(client_call_t *call, void *user)
{
    (void)call;
    *(ended_t *)user = (ended_t){.over = TRUE, .done = TRUE};
}

static void
end_failed(client_call_t *call, call_failure_t failure, void *user)
{
    (void)call;
    (void)failure;
    ((ended_t *)user)->over = TRUE;
}

static const client_call_ops_t CALL_OPS = {.head = take_head,
                                           .body = ignore_body,
                                           .done = end_done,
                                           .failed = end_failed};

static const http_peer_limits_t PEER_LIMITS = {
    .connect_us = 1000 * MS,
    .idle_us = 2000 * MS,
    .idle_max = 2,
    .head_max = HEAD_MAX,
    .body_max = BODY_MAX,
};

/* Accepts a connection, reads the request and sends without end. */
static gpointer
serve(gpointer data)
{
    hose_t *hose = data;
    char request[4096];
    int listener = hose->fd;
    hose->fd = accept(listener, NULL, NULL);
    close(listener);
    (void)!recv(hose->fd, request, sizeof(request), 0);
    return hose_run(hose);
}

static void
test_answer(void)
{
    const char *name = CU_get_current_test()->pName;
    const answer_case_t *c = ANSWER_CASES;
    guint16 port;
    loop_t loop;
    ended_t ended = {0};
    while (!g_str_equal(c->name, name)) {
        c++;
    }
    hose_t hose = {
        .fd = listen_any(&port), .first = c->first, .unit = c->unit};
    char text[32];
    g_snprintf(text, sizeof(text), "127.0.0.1:%u", port);
    GThread *thread = g_thread_new("hose", serve, &hose);
    loop_open(&loop);
    http_peer_t *peer = http_peer_create(loop.poller, loop.timers,
                                         str_from_cstr(text), &PEER_LIMITS);
    client_call_create(peer, STR("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), FALSE,
                       &CALL_OPS, &ended);
    CU_ASSERT(loop_until(&loop, &ended.over));
    /* What comes behind an answer closes the connection. */
    gboolean never = FALSE;
    loop_run(&loop, &never, 100 * MS);
    CU_ASSERT_EQUAL(ended.done, c->is_answered);
    CU_ASSERT_EQUAL(http_peer_connections(peer), 0);
    http_peer_destroy(peer);
    loop_run(&loop, &never, 20 * MS);
    g_atomic_int_set(&hose.stop, 1);
    g_thread_join(thread);
    loop_close(&loop);
    check_closed(&hose, CLOSED_US, TAKEN_MAX);
}

/* ---- clients ---- */

#define POST "POST / HTTP/1.1\r\nHost: h\r\n"

typedef struct {
    const char *name; /* of what has no end */
    const char *first;
    const char *unit;
    gboolean drips;
    gboolean waits; /* the answer to a whole request before it is not there */
    gsize framing;  /* bytes on the wire for each byte of a body; 0: few */
} request_case_t;

static const request_case_t REQUEST_CASES[] = {
    {"a client's noise", "", "noise "},
    {"a client's empty lines", "", "\r\n"},
    {"a target", "GET /", "xxxx"},
    {"a field of a request", POST "X: ", "xxxx"},
    {"fields of a request", POST, "X: y\r\n"},
    {"a client's body with a length",
     POST "Content-Length: 999999999999\r\n\r\n", "xxxx"},
    {"a client's chunks", POST CHUNKED, "2\r\nxx\r\n"},
    {"a client's chunk", POST CHUNKED "ffffffffff\r\n", "xxxx"},
    {"the size of a client's chunk", POST CHUNKED, "0000"},
    {"the extension of a client's chunk", POST CHUNKED "2;", "xxxx"},
    {"extensions of a client's chunks", POST CHUNKED,
     "1;xxxxxxxxxxxx\r\nx\r\n", .framing = 20},
    {"a client's trailer", POST CHUNKED "0\r\nX: ", "xxxx"},
    {"a client's trailers", POST CHUNKED "0\r\n", "X: y\r\n"},
    {"dripping empty lines", "", "\r\n", .drips = TRUE},
    {"a dripping field", POST "X: ", "x", .drips = TRUE},
    {"a dripping body", POST CHUNKED, "1\r\nx\r\n", .drips = TRUE},
    {"what is behind a request", POST "\r\n", "xxxx", .waits = TRUE},
};

static void
take_request(http_exchange_t *exchange, void *user)
{
    (void)exchange;
    (void)user;
}

static void
take_gone(http_exchange_t *exchange, void *user)
{
    (void)exchange;
    *(gboolean *)user = TRUE;
}

static const http_server_ops_t SERVER_OPS = {
    .request = take_request, .gone = take_gone, .drained = take_request};

static const http_limits_t SERVER_LIMITS = {
    .head_max = HEAD_MAX,
    .body_max = BODY_MAX,
    .head_us = LIMIT_US,
    .idle_us = LIMIT_US,
    .connections = 8,
    .buffered_max = 4 * BODY_MAX,
};

static void
test_request(void)
{
    const char *name = CU_get_current_test()->pName;
    const request_case_t *c = REQUEST_CASES;
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    loop_t loop;
    gboolean gone = FALSE;
    while (!g_str_equal(c->name, name)) {
        c++;
    }
    loop_open(&loop);
    http_server_t *server =
        http_server_create(loop.poller, loop.timers, "127.0.0.1:0",
                           &SERVER_LIMITS, &SERVER_OPS, &gone);
    address.sin_port = htons(http_server_port(server));
    hose_t hose = {.fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0),
                   .first = c->first,
                   .unit = c->unit,
                   .drips = c->drips};
    CU_ASSERT_EQUAL(
        connect(hose.fd, (struct sockaddr *)&address, sizeof(address)), 0);
    GThread *thread = g_thread_new("hose", hose_run, &hose);
    gboolean never = FALSE;
    loop_run(&loop, &never, LIMIT_US + CLOSED_US);
    g_atomic_int_set(&hose.stop, 1);
    g_thread_join(thread);
    if (c->waits) {
        /* Until it leaves, or sends more than is read. */
        CU_ASSERT(loop_until(&loop, &gone));
        CU_ASSERT(hose.sent < TAKEN_MAX);
    }
    else {
        check_closed(&hose, LIMIT_US + CLOSED_US,
                     TAKEN_MAX + c->framing * BODY_MAX);
        CU_ASSERT_EQUAL(http_server_connections(server), 0);
        CU_ASSERT_FALSE(gone);
    }
    http_server_destroy(server);
    loop_close(&loop);
}

int
main(void)
{
    enum { ANSWERS = G_N_ELEMENTS(ANSWER_CASES) };
    test_case_t cases[ANSWERS + G_N_ELEMENTS(REQUEST_CASES)];
    for (gsize i = 0; i < G_N_ELEMENTS(cases); i++) {
        cases[i] =
            i < ANSWERS
                ? (test_case_t){ANSWER_CASES[i].name, test_answer}
                : (test_case_t){REQUEST_CASES[i - ANSWERS].name, test_request};
    }
    return check_run("endless", cases, G_N_ELEMENTS(cases));
}
