/* Requests that crash their endpoints, with real processes.
 *
 * The failure: callers of one service failed in waves. One by one its
 * endpoints ended, were back after seconds, and ended again, each with all
 * that ran there. One request had crashed each endpoint that began to run it;
 * its caller sent it again and again, under a new id and through any entry
 * instance. Each instance took each attempt for a new request and sent it to
 * the next endpoint that was up: 20 times after three had ended under it.
 *
 * The evidence, from the play below: `endpoint_ended` lines name the requests
 * that ran there by what they are and not by their id. Over the lines of all
 * entry instances one fingerprint was at each of 42 ends, under 42 ids. That
 * of the popular request was at 36 of them and is answered whole between, so
 * being there is not the cause. Sent once an attempt where it may not repeat,
 * it came back all the same: not this system's own repeats. */
#include <signal.h>
#include <string.h>

#include "check.h"
#include "fleet.h"

enum {
    MS = 1000,
    ENTRIES = 3,
    ENDPOINTS = 6,
    BACK_MS = 1000,  /* an endpoint is up again after it crashed */
    EVERY_MS = 150,  /* the request comes again */
    CRASHES = 3,     /* that are borne before it is held back */
    KNOWN_MS = 3000, /* after the last of these all instances know */
    LATE_SENDS = 3,  /* that may be sent after that */
    AFTER_MS = 4000, /* and for so long it is watched */
    NEIGHBOURS = 2,  /* callers of other requests */
    NEIGHBOUR_MS = 40,
    ATTEMPTS_MAX = 400,
};

typedef struct {
    gint64 asked_us;
    guint status;
    gboolean complete;
    gboolean retry_after;
    gint64 took_us;
} attempt_t;

/* ---- what is taken for the end of an endpoint ---- */

typedef struct {
    const char *name;
    const char *target;
    const char *fault; /* that the request asks for */
    int signal;        /* to the endpoint while it runs; 0: none */
    gboolean ends;
} end_case_t;

static const end_case_t END_CASES[] = {
    {"resets", "/safe/x", "Fault: reset\r\n", 0, FALSE},
    {"cuts an answer short", "/safe/x", "Fault: cut\r\n", 0, FALSE},
    {"cuts a stream short", "/stream/x", "Fault: cut\r\n", 0, FALSE},
    {"refuses", "/safe/x", "Fault: full\r\n", 0, FALSE},
    {"fails", "/safe/x", "Fault: error\r\n", 0, FALSE},
    {"falls silent", "/safe/x", "Fault: mute\r\n", 0, FALSE},
    {"is paused", "/safe/slow", "", SIGSTOP, FALSE},
    {"drains and leaves", "/stream/x", "", SIGTERM, FALSE},
    {"is killed", "/stream/x", "", SIGKILL, TRUE},
    {"crashes", "/safe/x", "Fault: crash\r\n", 0, TRUE},
    {"crashes in a stream", "/fragile/stream/x", "Fault: crash\r\n", 0, TRUE},
};

static gpointer
ask_once(gpointer data)
{
    fleet_t *f = ((gpointer *)data)[0];
    const end_case_t *c = ((gpointer *)data)[1];
    reply_t *reply = fleet_post(fleet_entry(f, 0), c->target, "x", FLEET_KEY,
                                c->fault, "body");
    reply_free(reply);
    return NULL;
}

/* An end is known by more than a connection that broke off, and one that the
 * endpoint announced is none. */
static void
test_ends(void)
{
    enum { BEGUN_MS = 60, KNOWN_MS = 3000 };
    for (gsize i = 0; i < G_N_ELEMENTS(END_CASES); i++) {
        const end_case_t *c = &END_CASES[i];
        fleet_t *f = fleet_create(1, 1, 1);
        gpointer data[] = {f, (gpointer)c};
        CU_ASSERT_FATAL(fleet_up(f, 1));
        GThread *thread = g_thread_new("caller", ask_once, data);
        fleet_sleep(BEGUN_MS);
        if (c->signal != 0) {
            fleet_signal(fleet_endpoint(f, 0), c->signal);
        }
        guint64 ended = 0;
        for (int ms = 0; ms < KNOWN_MS && (ended == 0 || !c->ends); ms += 50) {
            fleet_sleep(50);
            ended = fleet_counter(fleet_entry(f, 0), "endpoints_ended_total");
        }
        if (ended != (guint64)c->ends) {
            printf("one that %s: %d ends\n", c->name, (int)ended);
        }
        CU_ASSERT_EQUAL(ended, (guint64)c->ends);
        fleet_signal(fleet_endpoint(f, 0), SIGCONT);
        g_thread_join(thread);
        fleet_destroy(f);
    }
}

/* ---- a request that crashes whatever runs it ---- */

typedef struct play play_t;

/* A caller that sends requests one after the other. */
typedef struct {
    play_t *play;
    const char *name;
    const char *target;
    const char *more;
    gboolean same_body; /* each time */
    int every_ms;
    guint count;
    attempt_t attempts[ATTEMPTS_MAX];
    GThread *thread;
} caller_t;

struct play {
    fleet_t *fleet;
    gint stop;                 /* atomic */
    gint64 back_us[ENDPOINTS]; /* when it is started again; 0: it is up */
    guint crashes;
    gint64 third_us; /* of the crash that is the last to be borne */
};

/* ---- callers ---- */

static void
attempt_id(const caller_t *c, guint at, char id[64])
{
    g_snprintf(id, 64, "%s-%u", c->name, at);
}

static void
ask(caller_t *c, guint at)
{
    char id[64];
    attempt_t *a = &c->attempts[at];
    attempt_id(c, at, id);
    char *body = g_strdup_printf("%s %u", c->name, c->same_body ? 0 : at);
    a->asked_us = g_get_monotonic_time();
    reply_t *reply = fleet_post(fleet_entry(c->play->fleet, at % ENTRIES),
                                c->target, id, FLEET_KEY, c->more, body);
    a->took_us = g_get_monotonic_time() - a->asked_us;
    a->status = reply->status;
    a->complete = reply->complete;
    a->retry_after = strstr(reply->fields, "Retry-After") != NULL;
    reply_free(reply);
    g_free(body);
}

static gpointer
caller_run(gpointer data)
{
    caller_t *c = data;
    while (!g_atomic_int_get(&c->play->stop) && c->count < ATTEMPTS_MAX) {
        gint64 next_us = g_get_monotonic_time() + (gint64)c->every_ms * MS;
        ask(c, c->count++);
        gint64 left_us = next_us - g_get_monotonic_time();
        if (left_us > 0) {
            g_usleep((gulong)left_us);
        }
    }
    return NULL;
}

/* ---- endpoints ---- */

/* Starts again what crashed, and counts. */
static void
tend_endpoints(play_t *p)
{
    gint64 now = g_get_monotonic_time();
    for (guint i = 0; i < ENDPOINTS; i++) {
        fleet_process_t *e = fleet_endpoint(p->fleet, i);
        if (p->back_us[i] == 0 && !fleet_is_running(e)) {
            p->back_us[i] = now + (gint64)BACK_MS * MS;
            p->crashes++;
            if (p->crashes == CRASHES) {
                p->third_us = now;
            }
        }
        else if (p->back_us[i] != 0 && now >= p->back_us[i]) {
            p->back_us[i] = 0;
            fleet_kill(e); /* frees what is left of it */
            fleet_start(p->fleet, e);
        }
    }
}

/* ---- what is checked ---- */

/* How often a caller's request began to run at endpoints, of the attempts
 * that were asked for at `from_us` or later. */
static guint
runs_since(const play_t *p, const caller_t *c, gint64 from_us)
{
    char id[64];
    guint runs = 0;
    for (guint i = 0; i < c->count; i++) {
        attempt_id(c, i, id);
        if (c->attempts[i].asked_us >= from_us) {
            runs += fleet_ran(p->fleet, "run", id);
        }
    }
    return runs;
}

static guint
failed_since(const caller_t *c, gint64 from_us)
{
    guint failed = 0;
    for (guint i = 0; i < c->count; i++) {
        const attempt_t *a = &c->attempts[i];
        failed += a->asked_us >= from_us && (a->status != 200 || !a->complete);
    }
    return failed;
}

/* A refusal as not run is true, says when to come back, and comes at once. */
static void
check_refusals(const play_t *p, const caller_t *c)
{
    enum { AT_ONCE_US = 500 * MS };
    char id[64];
    for (guint i = 0; i < c->count; i++) {
        const attempt_t *a = &c->attempts[i];
        attempt_id(c, i, id);
        if (a->status == 503) {
            CU_ASSERT_EQUAL(fleet_ran(p->fleet, "run", id), 0);
            CU_ASSERT(a->retry_after);
        }
        CU_ASSERT(a->took_us < AT_ONCE_US);
    }
}

typedef struct {
    const char *name;
    const char *target;
} crash_case_t;

static const crash_case_t CRASH_CASES[] = {
    {"idempotent", "/safe/x"},
    {"not idempotent", "/once/x"},
    {"a stream that resumes", "/stream/x"},
    {"a stream that does not", "/fragile/stream/x"},
};

static void
play_callers(play_t *p, caller_t *callers, guint count)
{
    gint64 until_us = g_get_monotonic_time() + (gint64)FLEET_WAIT_MS * MS;
    for (guint i = 0; i < count; i++) {
        callers[i].play = p;
        callers[i].thread =
            g_thread_new(callers[i].name, caller_run, &callers[i]);
    }
    while (g_get_monotonic_time() < until_us) {
        tend_endpoints(p);
        if (p->third_us != 0) {
            until_us = p->third_us + (gint64)(KNOWN_MS + AFTER_MS) * MS;
        }
        fleet_sleep(10);
    }
    g_atomic_int_set(&p->stop, 1);
    for (guint i = 0; i < count; i++) {
        g_thread_join(callers[i].thread);
    }
}

static void
crash_case(const crash_case_t *c)
{
    play_t p = {.fleet = fleet_create(1, ENTRIES, ENDPOINTS)};
    caller_t callers[1 + NEIGHBOURS] = {
        {.name = "x",
         .target = c->target,
         .more = "Fault: crash\r\n",
         .same_body = TRUE,
         .every_ms = EVERY_MS},
        {.name = "other",
         .target = "/safe/other",
         .more = "",
         .every_ms = NEIGHBOUR_MS},
        {.name = "popular",
         .target = "/stream/popular",
         .more = "",
         .same_body = TRUE,
         .every_ms = NEIGHBOUR_MS},
    };
    CU_ASSERT_FATAL(fleet_up(p.fleet, 1));
    fleet_sleep(500); /* for all endpoints to be known */
    play_callers(&p, callers, G_N_ELEMENTS(callers));
    CU_ASSERT_FATAL(p.third_us != 0);
    gint64 known_us = p.third_us + (gint64)KNOWN_MS * MS;
    guint late = runs_since(&p, &callers[0], known_us);
    guint failed = failed_since(&callers[1], known_us) +
                   failed_since(&callers[2], known_us);
    if (late > LATE_SENDS || failed > 0) {
        printf("%s: %u crashes, sent %u times later than %d ms after the"
               " third; %u of other requests not served then\n",
               c->name, p.crashes, late, KNOWN_MS, failed);
    }
    CU_ASSERT(late <= LATE_SENDS);
    CU_ASSERT(failed == 0);
    check_refusals(&p, &callers[0]);
    fleet_destroy(p.fleet);
}

/* It is held back by all instances once three endpoints ended under it, and
 * what others ask for is served. */
static void
test_crashing(void)
{
    for (gsize i = 0; i < G_N_ELEMENTS(CRASH_CASES); i++) {
        crash_case(&CRASH_CASES[i]);
    }
}

static const test_case_t CASES[] = {
    {"what is taken for the end of an endpoint", test_ends},
    {"a request that crashes endpoints is held back", test_crashing},
};

CHECK_MAIN("crashing", CASES)
