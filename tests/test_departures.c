/* Tests, with real processes, that an endpoint whose leaving was acknowledged
 * gets no more requests, whatever control instance is lost then, and whatever
 * arrives late. */
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "check.h"
#include "fleet.h"
#include "listener.h"

enum {
    MS = 1000,
    /* Those that stay can't take all requests, so that each that may be used
     * gets some. */
    ENDPOINTS = 5,
    LEAVING = 3,
    SLOTS = 2,
    BEAT_MS = 400,
    CALL_MS = 1000,
    CLIENTS = 12,
    WORK_MS = 15,  /* of an endpoint, for a request */
    PAUSE_MS = 10, /* between two requests */
    /* From the acknowledgement until no request may come, with control
     * stable. */
    STABLE_MS = 3000,
    WATCHED_MS = 4000, /* after that */
};

typedef enum { CONTROL_KILLED, CONTROL_RESTARTED } trouble_t;

typedef struct {
    const char *name;
    gboolean drains; /* it says so in a heartbeat, in place of a DELETE */
    trouble_t trouble;
    int away_ms; /* of the control instance; 0: for good */
    gboolean entry_restarts;
    gboolean late_heartbeat; /* of before the leaving, once all are back */
} departure_case_t;

static const departure_case_t DEPARTURE_CASES[] = {
    {"the control instance that acknowledged starts again", FALSE,
     CONTROL_KILLED, 1500},
    {"it stays away", FALSE, CONTROL_KILLED, 0},
    {"it stays away, and had acknowledged a heartbeat", TRUE, CONTROL_KILLED,
     0},
    {"it stays away, and an entry instance starts again", FALSE,
     CONTROL_KILLED, 0, .entry_restarts = TRUE},
    {"planned restarts, then a late heartbeat", FALSE, CONTROL_RESTARTED, 1,
     .entry_restarts = TRUE, .late_heartbeat = TRUE},
    {"the same after a heartbeat", TRUE, CONTROL_RESTARTED, 1,
     .entry_restarts = TRUE, .late_heartbeat = TRUE},
};

/* Answers each request on a connection of its own. */
typedef struct {
    char id[16];
    int listener;
    guint16 port;
    GThread *server;
    gint arrivals; /* atomic */
    guint sequence;
} endpoint_t;

/* ---- endpoints ---- */

static void
serve(endpoint_t *e, int fd)
{
    char head[8192];
    char text[256];
    ssize_t count = recv(fd, head, sizeof(head) - 1, 0);
    if (count > 0) {
        head[count] = '\0';
        const char *id = strstr(head, "Request-Id: ");
        if (id != NULL) {
            id += strlen("Request-Id: ");
            g_atomic_int_inc(&e->arrivals);
            fleet_sleep(WORK_MS);
            int length = g_snprintf(
                text, sizeof(text),
                "HTTP/1.1 200 OK\r\nRequest-Id: %.*s\r\nResponse-Seal: s\r\n"
                "Content-Length: 2\r\nConnection: close\r\n\r\nok",
                (int)strcspn(id, "\r\n"), id);
            (void)!send(fd, text, (gsize)length, MSG_NOSIGNAL);
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

static void
endpoint_start(endpoint_t *e, guint number)
{
    *e = (endpoint_t){0};
    g_snprintf(e->id, sizeof(e->id), "raw-%u", number);
    e->listener = listen_any(&e->port);
    e->server = g_thread_new("endpoint", server_run, e);
}

static void
endpoint_stop(endpoint_t *e)
{
    shutdown(e->listener, SHUT_RDWR);
    g_thread_join(e->server);
    close(e->listener);
}

/* ---- one case ---- */

typedef struct {
    fleet_t *fleet;
    const departure_case_t *test;
    endpoint_t endpoints[ENDPOINTS];
    fleet_process_t *home; /* where endpoints that leave send heartbeats */
    gint stop;             /* atomic */
    gint left;             /* the first LEAVING ones send no more; atomic */
    gint requests;         /* atomic */
    gint served;           /* atomic */
    gint lost;             /* atomic */
} play_t;

/* The endpoints that stay call a control instance that stays. */
static gpointer
beats_run(gpointer data)
{
    play_t *p = data;
    while (!g_atomic_int_get(&p->stop)) {
        guint from = g_atomic_int_get(&p->left) ? LEAVING : 0;
        for (guint i = from; i < ENDPOINTS; i++) {
            endpoint_t *e = &p->endpoints[i];
            fleet_beat(i < LEAVING ? p->home : fleet_control(p->fleet, 0),
                       e->id, e->port, SLOTS, ++e->sequence);
        }
        fleet_sleep(BEAT_MS);
    }
    return NULL;
}

static gpointer
requests_run(gpointer data)
{
    play_t *p = data;
    while (!g_atomic_int_get(&p->stop)) {
        guint i = (guint)g_atomic_int_add(&p->requests, 1);
        char *id = g_strdup_printf("departures-%u", i);
        reply_t *reply =
            fleet_request(fleet_entry(p->fleet, i % 2), "/safe/x", id, "");
        g_atomic_int_inc(reply->status == 200 ? &p->served : &p->lost);
        reply_free(reply);
        g_free(id);
        fleet_sleep(PAUSE_MS);
    }
    return NULL;
}

/* The endpoints leave at once, and the control instance is lost as soon as it
 * has acknowledged all. */
static void
leave_all(play_t *p)
{
    int fds[LEAVING];
    for (guint i = 0; i < LEAVING; i++) {
        fds[i] = fleet_connect(p->home->ip, FLEET_CONTROL_PORT, CALL_MS);
    }
    for (guint i = 0; i < LEAVING; i++) {
        endpoint_t *e = &p->endpoints[i];
        char *body =
            p->test->drains
                ? fleet_heartbeat(e->port, SLOTS, "draining", e->sequence + 10)
                : g_strdup("");
        char *text = g_strdup_printf(
            "%s /api/instances/%s HTTP/1.1\r\nHost: c\r\nContent-Length: "
            "%zu\r\n\r\n%s",
            p->test->drains ? "PUT" : "DELETE", e->id, strlen(body), body);
        (void)!send(fds[i], text, strlen(text), MSG_NOSIGNAL);
        g_free(text);
        g_free(body);
    }
    for (guint i = 0; i < LEAVING; i++) {
        char answer[1024] = "";
        (void)!recv(fds[i], answer, sizeof(answer) - 1, 0);
        CU_ASSERT(strstr(answer, " 200 ") != NULL);
    }
    if (p->test->trouble == CONTROL_KILLED) {
        fleet_kill(p->home);
    }
    for (guint i = 0; i < LEAVING; i++) {
        close(fds[i]);
    }
}

static void
restart(play_t *p, fleet_process_t *process)
{
    fleet_signal(process, SIGTERM);
    CU_ASSERT_EQUAL(fleet_wait_exit(process), 0);
    fleet_start(p->fleet, process);
}

static void
make_trouble(play_t *p)
{
    fleet_process_t *entry = fleet_entry(p->fleet, 1);
    if (p->test->trouble == CONTROL_RESTARTED) {
        restart(p, p->home);
    }
    else if (p->test->away_ms > 0) {
        fleet_sleep(p->test->away_ms);
        fleet_start(p->fleet, p->home);
    }
    if (p->test->entry_restarts && p->test->trouble == CONTROL_KILLED) {
        fleet_kill(entry);
        fleet_start(p->fleet, entry);
    }
    else if (p->test->entry_restarts) {
        restart(p, entry);
    }
    CU_ASSERT(fleet_wait_ready(entry));
    for (guint i = 0; p->test->late_heartbeat && i < LEAVING; i++) {
        guint status = 0;
        for (int j = 0; j < 20 && status != 200; j++) {
            status =
                fleet_beat(p->home, p->endpoints[i].id, p->endpoints[i].port,
                           SLOTS, p->endpoints[i].sequence);
            fleet_sleep(status == 200 ? 0 : 100);
        }
        CU_ASSERT_EQUAL(status, 200);
    }
}

static guint
arrived_at_leaving(const play_t *p)
{
    guint count = 0;
    for (guint i = 0; i < LEAVING; i++) {
        count += (guint)g_atomic_int_get(&p->endpoints[i].arrivals);
    }
    return count;
}

static gboolean
wait_used(const play_t *p)
{
    for (int ms = 0; ms < FLEET_WAIT_MS; ms += PAUSE_MS) {
        if (arrived_at_leaving(p) > LEAVING) {
            return TRUE;
        }
        fleet_sleep(PAUSE_MS);
    }
    return FALSE;
}

static void
departure_case(const departure_case_t *c)
{
    play_t p = {.fleet = fleet_create(3, 2, 0), .test = c};
    p.home = fleet_control(p.fleet, 2);
    for (guint i = 0; i < ENDPOINTS; i++) {
        endpoint_start(&p.endpoints[i], i);
    }
    GThread *beats = g_thread_new("beats", beats_run, &p);
    CU_ASSERT_FATAL(fleet_up(p.fleet, 1));
    fleet_sleep(3 * BEAT_MS);
    GThread *clients[CLIENTS];
    for (guint i = 0; i < CLIENTS; i++) {
        clients[i] = g_thread_new("requests", requests_run, &p);
    }
    CU_ASSERT_FATAL(wait_used(&p));
    g_atomic_int_set(&p.left, 1);
    fleet_sleep(BEAT_MS);
    leave_all(&p);
    make_trouble(&p);
    if (!c->late_heartbeat) { /* by then its lease would have ended again */
        fleet_sleep(STABLE_MS);
    }
    guint before = arrived_at_leaving(&p);
    gint served = g_atomic_int_get(&p.served);
    fleet_sleep(WATCHED_MS);
    guint late = arrived_at_leaving(&p) - before;
    if (late > 0) {
        printf("%s: %u requests to endpoints that had left; ", c->name, late);
    }
    CU_ASSERT_EQUAL(late, 0);
    CU_ASSERT(g_atomic_int_get(&p.served) > served);
    g_atomic_int_set(&p.stop, 1);
    g_thread_join(beats);
    for (guint i = 0; i < CLIENTS; i++) {
        g_thread_join(clients[i]);
    }
    for (guint i = 0; i < ENDPOINTS; i++) {
        endpoint_stop(&p.endpoints[i]);
    }
    fleet_destroy(p.fleet);
}

static void
test_departures(void)
{
    for (gsize i = 0; i < G_N_ELEMENTS(DEPARTURE_CASES); i++) {
        departure_case(&DEPARTURE_CASES[i]);
    }
}

static const test_case_t CASES[] = {
    {"an acknowledged leaving outlives a control instance", test_departures},
};

CHECK_MAIN("departures", CASES)
