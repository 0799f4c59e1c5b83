/* Tests, with real processes, that an endpoint that sends bytes without end
 * costs an entry instance no memory and other callers no answer, whatever the
 * callers of its answers do. */
#include <gio/gio.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "check.h"
#include "fleet.h"
#include "listener.h"

enum {
    MB = 1024 * 1024,
    SOUND = 2,    /* other endpoints */
    ENDLESS = 24, /* endpoints that answer without end */
    COPIES = 5,   /* of each client */
    /* Of each: those that are sound can't take all requests. */
    SLOTS = 2,
    BEAT_MS = 400,
    CALL_MS = 1000,
    WAIT_MS = 8000,
    PLAY_MS = 1000,   /* of a case */
    PAUSE_MS = 20,    /* between two requests of a client */
    LEAVE_MS = 40,    /* until a client leaves that does not wait */
    SLOW_BYTES = 512, /* that a slow client reads at a time */
    SLOW_MS = 50,
    KNOWN_MS = 600, /* until new endpoints are used */
    UNIT_BYTES = 16 * 1024,
    MEMORY_MB = 128, /* of the instance */
    /* From here on it would refuse all new requests. */
    MEMORY_SHORT_MB = MEMORY_MB * 3 / 4,
    /* Until the instance itself answers. */
    ANSWERED_MS = 500,
};

/* What the endpoint sends: `first`, in which %s is the id of the request, then
 * `unit` again and again. */
typedef struct {
    const char *name;
    const char *first;
    const char *unit;
} endless_case_t;

#define HEAD "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n"
#define EVENTS "Content-Type: text/event-stream\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"

static const endless_case_t ENDLESS_CASES[] = {
    {"noise", "", "noise "},
    {"empty lines", "", "\r\n"},
    {"a field of a head", HEAD "X: ", "xxxx"},
    {"fields of a head", HEAD, "X: y\r\n"},
    {"interim heads", "", "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n"},
    {"a body with a length", HEAD "Content-Length: 999999999999\r\n\r\n",
     "xxxx"},
    {"a body without a length", HEAD "\r\n", "xxxx"},
    {"chunks", HEAD CHUNKED, "2\r\nxx\r\n"},
    {"the size of a chunk", HEAD CHUNKED, "0000"},
    {"trailers", HEAD CHUNKED "0\r\n", "X: y\r\n"},
    {"an event", HEAD EVENTS CHUNKED "a\r\nid: 1\ndata\r\n", "2\r\nxx\r\n"},
    {"an event without a length", HEAD EVENTS "\r\nid: 1\ndata: ", "xxxx"},
    {"comments of a stream", HEAD EVENTS CHUNKED, "3\r\n:x\n\r\n"},
    {"what is behind an answer", HEAD "Content-Length: 2\r\n\r\nok", "xxxx"},
};

typedef enum { CLIENT_READS, CLIENT_IS_SLOW, CLIENT_LEAVES } client_kind_t;

typedef struct {
    const char *path;
    client_kind_t kind;
} client_t;

static const client_t CLIENTS[] = {
    {"/safe/x", CLIENT_READS},
    {"/safe/x", CLIENT_READS},
    {"/safe/x", CLIENT_LEAVES},
    {"/once/x", CLIENT_READS},
    {"/once/x", CLIENT_LEAVES},
    {"/stream/x", CLIENT_READS},
    {"/stream/x", CLIENT_IS_SLOW},
    {"/stream/x", CLIENT_LEAVES},
    {"/fragile/stream/x", CLIENT_IS_SLOW},
    {"/fragile/stream/x", CLIENT_LEAVES},
    {"/none/x", CLIENT_READS}, /* answered by the instance itself */
};

enum { CALLERS = COPIES * G_N_ELEMENTS(CLIENTS) };

typedef struct play play_t;

typedef struct {
    play_t *play;
    int fd;
} connection_t;

typedef struct {
    play_t *play;
    int listener;
    GThread *thread;
} endpoint_t;

struct play {
    fleet_t *fleet;
    const endless_case_t *test; /* changes between cases only */
    /* An endpoint that failed is not used for a while, so that each case has
     * new ones at the same addresses. */
    gint incarnation; /* atomic */
    guint16 ports[ENDLESS];
    gint stop;       /* atomic */
    gint calls;      /* at the endpoint; atomic */
    gint asked;      /* safe requests whose client waits; atomic */
    gint served;     /* of them; atomic */
    gint answered;   /* of them, whole, with any status; atomic */
    gint open;       /* connections to the endpoint; atomic */
    gint longest_ms; /* until the instance itself answered; atomic */
    guint number;    /* of a request */
};

/* ---- the endpoint ---- */

/* The id of the request that comes, or NULL; freed with g_free. */
static char *
read_id(int fd)
{
    static const char FIELD[] = "Request-Id: ";
    char head[8192];
    ssize_t count = recv(fd, head, sizeof(head) - 1, 0);
    head[MAX(count, 0)] = '\0';
    const char *id = strstr(head, FIELD);
    if (id == NULL) {
        return NULL;
    }
    id += strlen(FIELD);
    return g_strndup(id, strcspn(id, "\r\n"));
}

static void
send_without_end(const play_t *p, int fd, const endless_case_t *test,
                 const char *id)
{
    GString *first = g_string_new(test->first);
    GString *unit = g_string_new(NULL);
    g_string_replace(first, "%s", id, 0);
    while (unit->len < UNIT_BYTES) {
        g_string_append(unit, test->unit);
    }
    gboolean open = fleet_send(fd, first->str, first->len);
    while (open && !g_atomic_int_get(&p->stop)) {
        open = fleet_send(fd, unit->str, unit->len);
    }
    g_string_free(first, TRUE);
    g_string_free(unit, TRUE);
}

static gpointer
answer_run(gpointer data)
{
    connection_t *c = data;
    play_t *p = c->play;
    const endless_case_t *test = p->test;
    char *id = read_id(c->fd);
    if (id != NULL) {
        g_atomic_int_inc(&p->calls);
        send_without_end(p, c->fd, test, id);
    }
    g_free(id);
    close(c->fd);
    g_atomic_int_add(&p->open, -1);
    g_free(c);
    return NULL;
}

static gpointer
endpoint_run(gpointer data)
{
    endpoint_t *e = data;
    play_t *p = e->play;
    struct timeval wait = {.tv_sec = 1};
    int fd;
    while ((fd = accept(e->listener, NULL, NULL)) >= 0) {
        connection_t *c = g_new0(connection_t, 1);
        *c = (connection_t){.play = p, .fd = fd};
        setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof(wait));
        setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
        g_atomic_int_inc(&p->open);
        g_thread_unref(g_thread_new("answer", answer_run, c));
    }
    return NULL;
}

static gpointer
beats_run(gpointer data)
{
    play_t *p = data;
    for (guint i = 1; !g_atomic_int_get(&p->stop); i++) {
        for (guint at = 0; at < ENDLESS; at++) {
            char id[32];
            g_snprintf(id, sizeof(id), "endless-%d-%u",
                       g_atomic_int_get(&p->incarnation), at);
            fleet_beat(fleet_control(p->fleet, 0), id, p->ports[at], SLOTS, i);
        }
        fleet_sleep(BEAT_MS);
    }
    return NULL;
}

/* ---- clients ---- */

typedef struct {
    play_t *play;
    const client_t *client;
    guint number;
    gint64 until_us;
} caller_t;

static void
call_and_leave(const char *ip, const client_t *client, const char *fields)
{
    char bytes[SLOW_BYTES];
    int fd = fleet_connect(ip, FLEET_CALLERS_PORT, CALL_MS);
    char *text = g_strdup_printf(
        "GET %s HTTP/1.1\r\nHost: h.example\r\n%s\r\n", client->path, fields);
    (void)!send(fd, text, strlen(text), MSG_NOSIGNAL);
    g_free(text);
    if (client->kind == CLIENT_LEAVES) {
        fleet_sleep(LEAVE_MS);
    }
    else {
        for (int ms = 0; ms < PLAY_MS; ms += SLOW_MS) {
            if (recv(fd, bytes, sizeof(bytes), 0) <= 0) {
                break;
            }
            fleet_sleep(SLOW_MS);
        }
    }
    close(fd);
}

static gpointer
caller_run(gpointer data)
{
    caller_t *caller = data;
    play_t *p = caller->play;
    const client_t *client = caller->client;
    const char *ip = fleet_entry(p->fleet, 0)->ip;
    for (guint i = 0; g_get_monotonic_time() < caller->until_us; i++) {
        char *fields = g_strdup_printf(
            "Request-Id: endless-%u-%u\r\nAuthorization: Bearer %s\r\n"
            "Deadline-Ms: 6000\r\n",
            caller->number, i, FLEET_KEY);
        if (client->kind != CLIENT_READS) {
            call_and_leave(ip, client, fields);
        }
        else {
            reply_t *reply = fleet_call(ip, FLEET_CALLERS_PORT, "GET",
                                        client->path, fields, "", WAIT_MS);
            if (g_str_has_prefix(client->path, "/safe/")) {
                g_atomic_int_inc(&p->asked);
                g_atomic_int_add(&p->served, reply->status == 200 &&
                                                 reply->complete &&
                                                 reply->sealed);
                g_atomic_int_add(&p->answered,
                                 reply->status != 0 && reply->complete);
            }
            if (reply->status == 404 &&
                reply->longest_wait_ms > g_atomic_int_get(&p->longest_ms)) {
                g_atomic_int_set(&p->longest_ms, reply->longest_wait_ms);
            }
            reply_free(reply);
        }
        g_free(fields);
        fleet_sleep(PAUSE_MS);
    }
    return NULL;
}

/* ---- the play ---- */

static void
play_case(play_t *p, const endless_case_t *c)
{
    GThread *threads[CALLERS];
    caller_t callers[CALLERS];
    gint calls = g_atomic_int_get(&p->calls);
    gint asked = g_atomic_int_get(&p->asked);
    gint served = g_atomic_int_get(&p->served);
    gint answered = g_atomic_int_get(&p->answered);
    p->test = c;
    g_atomic_int_set(&p->longest_ms, 0);
    g_atomic_int_inc(&p->incarnation);
    fleet_sleep(KNOWN_MS);
    for (guint i = 0; i < CALLERS; i++) {
        callers[i] = (caller_t){.play = p,
                                .client = &CLIENTS[i % G_N_ELEMENTS(CLIENTS)],
                                .number = p->number++,
                                .until_us = g_get_monotonic_time() +
                                            PLAY_MS * (gint64)1000};
        threads[i] = g_thread_new("caller", caller_run, &callers[i]);
    }
    for (guint i = 0; i < CALLERS; i++) {
        g_thread_join(threads[i]);
    }
    calls = g_atomic_int_get(&p->calls) - calls;
    asked = g_atomic_int_get(&p->asked) - asked;
    served = g_atomic_int_get(&p->served) - served;
    answered = g_atomic_int_get(&p->answered) - answered;
    gint longest_ms = g_atomic_int_get(&p->longest_ms);
    if (longest_ms > ANSWERED_MS || calls == 0 || answered < asked ||
        g_getenv("ENDLESS_PRINT") != NULL) {
        printf("%s: %d calls, %d asked, %d answered, %d served, own answers "
               "within %d ms, %zu MB; ",
               c->name, calls, asked, answered, served, longest_ms,
               fleet_peak_bytes(fleet_entry(p->fleet, 0)) / MB);
    }
    CU_ASSERT(calls > 0);
    CU_ASSERT_EQUAL(answered, asked);
    CU_ASSERT(longest_ms <= ANSWERED_MS);
    fleet_sleep(CALL_MS);
    CU_ASSERT_EQUAL(g_atomic_int_get(&p->open), 0);
}

/* Guards against answers without end that are kept, or for which the requests
 * of others end. */
static void
test_endless_answers(void)
{
    play_t p = {.fleet = fleet_create(1, 1, SOUND), .test = ENDLESS_CASES};
    p.fleet->memory_mb = MEMORY_MB;
    p.fleet->slots = SLOTS;
    endpoint_t endpoints[ENDLESS];
    for (guint i = 0; i < ENDLESS; i++) {
        endpoints[i] =
            (endpoint_t){.play = &p, .listener = listen_any(&p.ports[i])};
        endpoints[i].thread =
            g_thread_new("endpoint", endpoint_run, &endpoints[i]);
    }
    CU_ASSERT_FATAL(fleet_up(p.fleet, 1));
    GThread *beats = g_thread_new("beats", beats_run, &p);
    fleet_process_t *entry = fleet_entry(p.fleet, 0);
    fleet_sleep(3 * BEAT_MS);
    const char *only = g_getenv("ENDLESS_CASE"); /* plays a single one */
    for (gsize i = 0; i < G_N_ELEMENTS(ENDLESS_CASES); i++) {
        if (only == NULL || g_str_equal(only, ENDLESS_CASES[i].name)) {
            play_case(&p, &ENDLESS_CASES[i]);
        }
    }
    gsize most = fleet_peak_bytes(entry);
    CU_ASSERT(fleet_is_running(entry));
    if (most >= MEMORY_SHORT_MB * (gsize)MB) {
        printf("%zu MB at most; ", most / MB);
    }
    CU_ASSERT(most > 0 && most < MEMORY_SHORT_MB * (gsize)MB);
    g_atomic_int_set(&p.stop, 1);
    g_thread_join(beats);
    for (guint i = 0; i < ENDLESS; i++) {
        shutdown(endpoints[i].listener, SHUT_RDWR);
        g_thread_join(endpoints[i].thread);
        close(endpoints[i].listener);
    }
    while (g_atomic_int_get(&p.open) > 0) {
        fleet_sleep(PAUSE_MS);
    }
    fleet_destroy(p.fleet);
}

static const test_case_t CASES[] = {
    {"answers without end are not kept", test_endless_answers},
};

CHECK_MAIN("endless endpoints", CASES)
