/* Tests, with real processes, that answers without a length or chunks, which
 * end with their connection, reach callers whole, as they arrive, and that
 * broken ones are not taken for whole. */
#include <string.h>
#include <unistd.h>

#include "check.h"
#include "fleet.h"
#include "listener.h"

enum {
    MS = 1000,
    EVENTS = 8,
    PIECE_MS = 60, /* between two events, or pieces of a body */
    BEAT_MS = 400,
    SLOTS = 8, /* of each endpoint */
    ENDPOINTS = 2,
    PIECES = 4,
    /* An event that was held until the end of the stream comes later. */
    FIRST_MAX_MS = EVENTS * PIECE_MS / 2,
};

typedef enum {
    ENDS_WHOLE,
    ENDS_EMPTY,            /* a head and no body */
    ENDS_RESET,            /* amid a body, or between two events */
    ENDS_IN_AN_EVENT,      /* the connection is closed in order */
    ENDS_IN_AN_EVENT_ONCE, /* the next send is answered whole */
} ending_t;

typedef struct {
    const char *name;
    const char *target;
    ending_t ending;
    guint status;      /* 0: any */
    gboolean complete; /* what the caller gets */
} unframed_case_t;

static const unframed_case_t UNFRAMED_CASES[] = {
    {"a plain answer", "/once/x", ENDS_WHOLE, 200, TRUE},
    {"an empty answer", "/once/x", ENDS_EMPTY, 200, TRUE},
    {"a plain answer that is reset", "/once/x", ENDS_RESET, 502, TRUE},
    {"a stream", "/fragile/stream/x", ENDS_WHOLE, 200, TRUE},
    {"a stream that is reset", "/fragile/stream/x", ENDS_RESET, 200, FALSE},
    {"a stream that ends inside an event", "/fragile/stream/x",
     ENDS_IN_AN_EVENT, 200, FALSE},
    {"the same, resumed elsewhere", "/stream/x", ENDS_IN_AN_EVENT_ONCE, 200,
     TRUE},
    {"the same, broken again", "/stream/x", ENDS_IN_AN_EVENT, 200, FALSE},
};

/* An endpoint that answers one request on each connection. */
typedef struct {
    fleet_t *fleet;
    const unframed_case_t *test;
    char id[16];
    int listener;
    guint16 port;
    gint *answered; /* of all endpoints; atomic */
    gint stop;      /* atomic */
    GThread *server;
    GThread *beats;
} endpoint_t;

/* ---- answers ---- */

static void
send_text(int fd, const char *text)
{
    (void)!send(fd, text, strlen(text), MSG_NOSIGNAL);
}

static char *
field_of(const char *head, const char *name)
{
    const char *at = strcasestr(head, name);
    if (at == NULL) {
        return g_strdup("");
    }
    at += strlen(name);
    return g_strndup(at, strcspn(at, "\r\n"));
}

static void
send_stream(int fd, guint64 first, ending_t ending)
{
    for (guint64 i = first; i <= EVENTS; i++) {
        char text[64];
        g_snprintf(text, sizeof(text),
                   "id: %" G_GUINT64_FORMAT "\ndata: w%" G_GUINT64_FORMAT
                   "\n\n",
                   i, i);
        if (i > EVENTS / 2 && ending == ENDS_RESET) {
            return;
        }
        if (i > EVENTS / 2 && ending == ENDS_IN_AN_EVENT) {
            send_text(fd, "id: 99\ndata: half an");
            return;
        }
        send_text(fd, text);
        fleet_sleep(PIECE_MS);
    }
}

static void
send_plain(int fd, ending_t ending)
{
    for (guint i = 0; i < PIECES && ending != ENDS_EMPTY; i++) {
        if (i > PIECES / 2 && ending == ENDS_RESET) {
            return;
        }
        send_text(fd, "piece ");
        fleet_sleep(PIECE_MS);
    }
}

static void
answer(const endpoint_t *e, int fd, const char *head)
{
    char *id = field_of(head, "Request-Id: ");
    char *last = field_of(head, "Last-Event-Id: ");
    gboolean is_stream = strstr(head, "/stream/") != NULL;
    gint before = g_atomic_int_add(e->answered, 1);
    ending_t ending = e->test->ending != ENDS_IN_AN_EVENT_ONCE
                          ? e->test->ending
                      : before == 0 ? ENDS_IN_AN_EVENT
                                    : ENDS_WHOLE;
    char *fields = g_strdup_printf(
        "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s.%s\r\n%s\r\n",
        id, id, e->id, is_stream ? "Content-Type: text/event-stream\r\n" : "");
    send_text(fd, fields);
    if (is_stream) {
        send_stream(fd, g_ascii_strtoull(last, NULL, 10) + 1, ending);
    }
    else {
        send_plain(fd, ending);
    }
    if (ending == ENDS_RESET) {
        fleet_reset_on_close(fd);
    }
    g_free(fields);
    g_free(last);
    g_free(id);
}

static void
serve(const endpoint_t *e, int fd)
{
    char head[8192];
    gsize at = 0;
    ssize_t count;
    while (at < sizeof(head) - 1 &&
           (count = recv(fd, head + at, sizeof(head) - 1 - at, 0)) > 0) {
        at += (gsize)count;
        head[at] = '\0';
        if (strstr(head, "\r\n\r\n") != NULL) {
            answer(e, fd, head);
            break;
        }
    }
    close(fd);
}

static gpointer
server_run(gpointer data)
{
    endpoint_t *e = data;
    int fd;
    while ((fd = accept(e->listener, NULL, NULL)) >= 0) {
        serve(e, fd);
    }
    return NULL;
}

static gpointer
beats_run(gpointer data)
{
    endpoint_t *e = data;
    for (guint i = 1; !g_atomic_int_get(&e->stop); i++) {
        fleet_beat(fleet_control(e->fleet, 0), e->id, e->port, SLOTS, i);
        fleet_sleep(BEAT_MS);
    }
    return NULL;
}

static void
endpoint_start(endpoint_t *e)
{
    e->listener = listen_any(&e->port);
    e->server = g_thread_new("endpoint", server_run, e);
    e->beats = g_thread_new("beats", beats_run, e);
}

static void
endpoint_stop(endpoint_t *e)
{
    g_atomic_int_set(&e->stop, 1);
    shutdown(e->listener, SHUT_RDWR);
    g_thread_join(e->server);
    g_thread_join(e->beats);
    close(e->listener);
}

/* ---- checks ---- */

static char *
whole_body(const unframed_case_t *c)
{
    GString *text = g_string_new(NULL);
    gboolean is_stream = strstr(c->target, "/stream/") != NULL;
    for (int i = 1; is_stream && i <= EVENTS; i++) {
        g_string_append_printf(text, "id: %d\ndata: w%d\n\n", i, i);
    }
    for (int i = 0; !is_stream && c->ending != ENDS_EMPTY && i < PIECES; i++) {
        g_string_append(text, "piece ");
    }
    return g_string_free(text, FALSE);
}

static void
check_reply(const unframed_case_t *c, const reply_t *reply)
{
    char *whole = whole_body(c);
    gboolean is_whole = g_str_equal(reply->body->str, whole);
    gboolean is_stream = strstr(c->target, "/stream/") != NULL;
    if (reply->status != c->status || reply->complete != c->complete) {
        printf("%s: status %u, complete %d: %s\n", c->name, reply->status,
               reply->complete, reply->body->str);
    }
    CU_ASSERT_EQUAL(reply->status, c->status);
    CU_ASSERT_EQUAL(reply->complete, c->complete);
    CU_ASSERT_EQUAL(is_whole, c->status == 200 && c->complete);
    CU_ASSERT(!is_stream || reply->longest_wait_ms < FIRST_MAX_MS);
    g_free(whole);
}

static void
unframed_case(const unframed_case_t *c)
{
    gint answered = 0;
    endpoint_t endpoints[ENDPOINTS] = {0};
    fleet_t *f = fleet_create(1, 1, 0);
    for (guint i = 0; i < ENDPOINTS; i++) {
        endpoints[i] =
            (endpoint_t){.fleet = f, .test = c, .answered = &answered};
        g_snprintf(endpoints[i].id, sizeof(endpoints[i].id), "raw-%u", i);
        endpoint_start(&endpoints[i]);
    }
    CU_ASSERT_FATAL(fleet_up(f, 1)); /* an instance waits for endpoints */
    fleet_sleep(2 * BEAT_MS);
    reply_t *reply =
        fleet_request(fleet_entry(f, 0), c->target, "unframed", "");
    check_reply(c, reply);
    reply_free(reply);
    /* An answer whose length isn't known is no fault of the endpoint. */
    CU_ASSERT(c->ending != ENDS_WHOLE ||
              fleet_counter(fleet_entry(f, 0), "repeats_total") == 0);
    for (guint i = 0; i < ENDPOINTS; i++) {
        endpoint_stop(&endpoints[i]);
    }
    fleet_destroy(f);
}

static void
test_unframed(void)
{
    for (gsize i = 0; i < G_N_ELEMENTS(UNFRAMED_CASES); i++) {
        unframed_case(&UNFRAMED_CASES[i]);
    }
}

static const test_case_t CASES[] = {
    {"answers that end with their connection", test_unframed},
};

CHECK_MAIN("unframed", CASES)
