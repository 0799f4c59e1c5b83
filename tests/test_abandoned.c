/* Tests that nothing of a request reaches an endpoint, and no endpoint works
 * on it, once its caller has left or it was given up, with real processes.
 *
 * Each case has a fleet of its own and plays one round: requests are sent, an
 * endpoint, a link or an instance is in trouble, and callers leave meanwhile.
 */
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "check.h"
#include "fleet.h"
#include "fleet_cut.h"

enum {
    MS = 1000,
    ENDPOINTS = 3,
    ENTRIES = 2,
    SLOTS = 100,
    REQUESTS = 48, /* of a round */
    ALL_READY_MS =
        50, /* from the last caller that is ready to the first request */
    SPREAD_MS = 300, /* over which the requests are sent */
    /* When callers leave, from the sending of their request. */
    LEAVE_MIN_MS = 250,
    LEAVE_SPREAD_MS = 450,
    GIVEN_UP_MS = 500, /* within which nothing may be left of a request */
    SETTLE_MS = 1200,  /* after a round, for endpoints to log */
    WAIT_MS = 14000,
    DEADLINE_MS = 12000,
    SHORT_DEADLINE_MS = 700,
    GRACE_MS = 6000, /* of the fleet's settings */
    LARGE_BODY = 700 * 1024,
    BEHIND_BYTES = 40 * 1024, /* more than a head may have */
    /* More than the instance's side of a connection takes, read or not; and
     * more than the largest request. */
    BEHIND_WINDOW_BYTES = 1024 * 1024,
    BEHIND_ANY_BYTES = 10 * 1024 * 1024,
    CHUNKS = 6,
    CHUNK_MS = 20, /* between two of them */
    DETAILED_MAX = 4,
};

/* ---- the cases ---- */

typedef enum { LEAVE_CLOSE, LEAVE_RESET, LEAVE_WAYS } leave_t;

/* What a caller sends on its connection. */
typedef enum {
    SENDS_ONE,
    SENDS_TWO,    /* a second whole request behind the first */
    SENDS_MUCH,   /* a part of a second request, longer than any head */
    SENDS_MORE,   /* the same, more than the connection takes */
    SENDS_ANY,    /* the same, without end */
    SENDS_KEPT,   /* the same as SENDS_ONE, after an answered request */
    SENDS_LARGE,  /* with a large body */
    SENDS_CHUNKS, /* a body in chunks that come one by one, and a trailer */
    SENDS_HALF,   /* half of its body */
} sends_t;

typedef struct scenario scenario_t;

typedef struct {
    const char *name; /* the failure that the case guards against */
    void (*begin)(scenario_t *s); /* NULL: no trouble */
    void (*end)(scenario_t *s);
    int begin_ms; /* from the first request on; 0: before it */
    int end_ms;
    sends_t sends;
    const char *target; /* NULL: of all kinds */
    const char *fault;  /* that the stand-in is asked for */
    gboolean stays;     /* the callers wait for the answer */
    int deadline_ms;    /* 0: DEADLINE_MS */
    gboolean is_cut;    /* requests go through a helper */
    gboolean is_proxied;
    int leave_ms;           /* 0: LEAVE_MIN_MS and more */
    gboolean reads_nothing; /* of its answer */
} abandoned_case_t;

static void stop_endpoints(scenario_t *s);
static void continue_endpoints(scenario_t *s);
static void stop_one(scenario_t *s);
static void continue_one(scenario_t *s);
static void stop_entry(scenario_t *s);
static void continue_entry(scenario_t *s);
static void stop_helper(scenario_t *s);
static void continue_helper(scenario_t *s);
static void hold_entries(scenario_t *s);
static void release_entries(scenario_t *s);
static void hold_helper(scenario_t *s);
static void release_helper(scenario_t *s);
static void hold_tunnels(scenario_t *s);
static void release_tunnels(scenario_t *s);
static void terminate_held(scenario_t *s);
static void release_terminated(scenario_t *s);

static const abandoned_case_t ABANDONED_CASES[] = {
    {.name = "runs go on after their callers left"},
    {.name = "runs of kept connections go on", .sends = SENDS_KEPT},
    {.name = "a run goes on behind which another request waits",
     .sends = SENDS_TWO},
    {.name = "a run goes on behind which more waits than is read",
     .sends = SENDS_MUCH,
     .target = "/safe/x",
     .fault = "late"},
    {.name = "a run goes on behind which more waits than the window holds",
     .sends = SENDS_MORE,
     .target = "/safe/x",
     .fault = "late"},
    {.name = "a run goes on behind which requests wait without end",
     .sends = SENDS_ANY,
     .target = "/safe/x",
     .fault = "late"},
    {.name = "a stream goes on behind which more waits than the window holds",
     .sends = SENDS_MORE,
     .target = "/stream/long"},
    {.name = "runs of requests in chunks go on", .sends = SENDS_CHUNKS},
    {.name = "a request runs of which half was sent", .sends = SENDS_HALF},
    {.name = "a run goes on that has not answered yet",
     .target = "/stream/x",
     .fault = "mute"},
    {.name = "a stream goes on whose caller reads nothing",
     .target = "/stream/large",
     .reads_nothing = TRUE},
    {.name = "a silent endpoint reads requests of callers that left",
     .begin = stop_endpoints,
     .end = continue_endpoints,
     .end_ms = 1900},
    {.name = "a silent endpoint reads requests of kept connections",
     .begin = stop_endpoints,
     .end = continue_endpoints,
     .end_ms = 1900,
     .sends = SENDS_KEPT},
    {.name = "a silent endpoint reads large requests of callers that left",
     .begin = stop_endpoints,
     .end = continue_endpoints,
     .end_ms = 1900,
     .sends = SENDS_LARGE,
     .target = "/safe/slow"},
    {.name = "a silent endpoint reads requests whose deadline is over",
     .begin = stop_endpoints,
     .end = continue_endpoints,
     .end_ms = 2200,
     .stays = TRUE,
     .deadline_ms = SHORT_DEADLINE_MS},
    {.name = "a silent endpoint reads requests that another one answered",
     .begin = stop_one,
     .end = continue_one,
     .end_ms = 3500,
     .stays = TRUE,
     .target = "/safe/slow"},
    {.name = "a link that was held up delivers requests of callers that left",
     .begin = hold_entries,
     .end = release_entries,
     .end_ms = 2500,
     .sends = SENDS_KEPT,
     .is_proxied = TRUE},
    {.name = "a link that was held up delivers large requests",
     .begin = hold_entries,
     .end = release_entries,
     .end_ms = 2500,
     .sends = SENDS_LARGE,
     .target = "/safe/slow",
     .is_proxied = TRUE},
    {.name = "a link that was held up delivers requests over their deadline",
     .begin = hold_entries,
     .end = release_entries,
     .end_ms = 2500,
     .sends = SENDS_KEPT,
     .stays = TRUE,
     .deadline_ms = SHORT_DEADLINE_MS,
     .is_proxied = TRUE},
    {.name = "a link that is held up lets runs of callers that left go on",
     .begin = hold_entries,
     .end = release_entries,
     .begin_ms = 400,
     .end_ms = 1300,
     .target = "/stream/long",
     .is_proxied = TRUE},
    {.name = "a helper's link delivers requests of callers that left",
     .begin = hold_helper,
     .end = release_helper,
     .end_ms = 2500,
     .sends = SENDS_KEPT,
     .is_cut = TRUE,
     .is_proxied = TRUE},
    {.name = "a tunnel that was held up delivers requests",
     .begin = hold_tunnels,
     .end = release_tunnels,
     .end_ms = 2500,
     .sends = SENDS_KEPT,
     .is_cut = TRUE,
     .is_proxied = TRUE},
    {.name = "a helper that did not run passes requests on",
     .begin = stop_helper,
     .end = continue_helper,
     .end_ms = 1900,
     .sends = SENDS_KEPT,
     .is_cut = TRUE,
     .is_proxied = TRUE},
    {.name = "a silent endpoint reads requests behind a helper",
     .begin = stop_endpoints,
     .end = continue_endpoints,
     .end_ms = 1900,
     .is_cut = TRUE,
     .is_proxied = TRUE},
    {.name = "a silent endpoint reads large requests behind a helper",
     .begin = stop_endpoints,
     .end = continue_endpoints,
     .end_ms = 1900,
     .sends = SENDS_LARGE,
     .target = "/safe/slow",
     .is_cut = TRUE,
     .is_proxied = TRUE},
    {.name =
         "an instance that did not run sends requests of callers that left",
     .begin = stop_entry,
     .end = continue_entry,
     .end_ms = 1900},
    {.name = "an instance that did not run sends requests of kept connections",
     .begin = stop_entry,
     .end = continue_entry,
     .end_ms = 1900,
     .sends = SENDS_KEPT},
    {.name = "an instance that did not run sends the request behind another",
     .begin = stop_entry,
     .end = continue_entry,
     .end_ms = 1900,
     .sends = SENDS_TWO},
    {.name = "an instance that did not run sends what is behind a long run",
     .begin = stop_entry,
     .end = continue_entry,
     .begin_ms = 2200,
     .end_ms = 3700,
     .sends = SENDS_TWO,
     .target = "/stream/long",
     .leave_ms = 2250},
    {.name = "the end of an instance leaves requests on a held link",
     .begin = terminate_held,
     .end = release_terminated,
     .begin_ms = 1,
     .end_ms = GRACE_MS + 1500,
     .stays = TRUE,
     .target = "/once/slow",
     .is_proxied = TRUE},
};

/* ---- requests ---- */

struct scenario {
    const abandoned_case_t *setup;
    fleet_t *fleet;
    fleet_proxies_t proxies;
    GPtrArray *requests; /* request_t */
    GMutex lock;         /* over the two below */
    GCond changed;
    guint ready;     /* callers that could send their request now */
    gint64 start_us; /* of the round; 0: not known yet */
    gint64 trouble_end_us;
};

typedef struct {
    const abandoned_case_t *setup;
    scenario_t *scenario;
    const fleet_process_t *entry;
    const char *target;
    leave_t way;
    char *id;
    int after_ms;   /* of the start of the round, when it is due */
    int leave_ms;   /* after it is due */
    gint64 send_us; /* when it is due */
    gint64 sent_us; /* when it was sent, of a caller that stays */
    gint64 leave_us;
    gint64 over_us; /* when its caller left, or had the answer */
    guint status;   /* of a caller that stays */
    GThread *thread;
} request_t;

static void
append_fields(GString *bytes, const request_t *r, const char *suffix)
{
    int deadline_ms =
        r->setup->deadline_ms != 0 ? r->setup->deadline_ms : DEADLINE_MS;
    g_string_append_printf(
        bytes,
        "POST %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s%s\r\n"
        "Authorization: Bearer %s\r\nDeadline-Ms: %d\r\nFault: %s\r\n",
        r->target, r->id, suffix, FLEET_KEY, deadline_ms,
        r->setup->fault != NULL ? r->setup->fault : "none");
}

static void
append_head(GString *bytes, const request_t *r, const char *suffix,
            gsize body_length)
{
    append_fields(bytes, r, suffix);
    g_string_append_printf(bytes, "Content-Length: %zu\r\n\r\n", body_length);
}

/* A part of a second request whose body would have `length` bytes. */
static void
append_behind(GString *bytes, const request_t *r, gsize length)
{
    append_head(bytes, r, "-behind", MIN(length, LARGE_BODY));
    g_string_set_size(bytes, bytes->len + length);
    memset(bytes->str + bytes->len - length, 'x', length);
}

/* Requests one behind the other, of `length` bytes in all. */
static void
append_requests_behind(GString *bytes, const request_t *r, gsize length)
{
    GString *head = g_string_new(NULL);
    append_head(head, r, "-behind", 0);
    for (gsize at = 0; at < length; at += head->len) {
        g_string_append_len(bytes, head->str, (gssize)head->len);
    }
    g_string_free(head, TRUE);
}

static GString *
request_bytes(const request_t *r)
{
    GString *bytes = g_string_new(NULL);
    sends_t sends = r->setup->sends;
    if (sends == SENDS_CHUNKS) {
        append_fields(bytes, r, "");
        g_string_append(bytes, "Transfer-Encoding: chunked\r\n\r\n");
        return bytes;
    }
    gsize body = sends == SENDS_LARGE || sends == SENDS_HALF ? LARGE_BODY : 0;
    append_head(bytes, r, "", body);
    body = sends == SENDS_HALF ? body / 2 : body;
    g_string_set_size(bytes, bytes->len + body);
    memset(bytes->str + bytes->len - body, 'x', body);
    switch (sends) {
    case SENDS_TWO:
        append_head(bytes, r, "-behind", 0);
        break;
    case SENDS_MUCH:
        append_behind(bytes, r, BEHIND_BYTES);
        break;
    case SENDS_MORE:
        append_behind(bytes, r, BEHIND_WINDOW_BYTES);
        break;
    case SENDS_ANY:
        append_requests_behind(bytes, r, BEHIND_ANY_BYTES);
        break;
    default:
        break;
    }
    return bytes;
}

static void
send_chunks(int connection)
{
    static const char CHUNK[] = "4;part=1\r\nbody\r\n";
    static const char END[] = "0\r\nX-Sum: 1\r\n\r\n";
    for (guint i = 0; i < CHUNKS; i++) {
        g_usleep((gulong)CHUNK_MS * MS);
        fleet_send(connection, CHUNK, strlen(CHUNK));
    }
    g_usleep((gulong)CHUNK_MS * MS);
    fleet_send(connection, END, strlen(END));
}

static gboolean
is_answered_before(int connection, const request_t *r)
{
    char *fields = g_strdup_printf(
        "Request-Id: %s-before\r\nAuthorization: Bearer %s\r\n", r->id,
        FLEET_KEY);
    reply_t *reply =
        fleet_call_on(connection, "GET", "/safe/x", fields, "", WAIT_MS);
    gboolean answered = reply->status == 200;
    reply_free(reply);
    g_free(fields);
    return answered;
}

/* Tells that the caller is ready, and waits for the start of the round. */
static void
wait_for_start(request_t *r)
{
    scenario_t *s = r->scenario;
    g_mutex_lock(&s->lock);
    s->ready++;
    g_cond_broadcast(&s->changed);
    while (s->start_us == 0) {
        g_cond_wait(&s->changed, &s->lock);
    }
    r->send_us = s->start_us + (gint64)r->after_ms * MS;
    r->leave_us = r->send_us + (gint64)r->leave_ms * MS;
    g_mutex_unlock(&s->lock);
    fleet_sleep_until(r->send_us);
}

/* Takes what comes until it is time to leave. */
static void
leave(int connection, request_t *r)
{
    char buffer[4096];
    while (g_get_monotonic_time() < r->leave_us) {
        while (!r->setup->reads_nothing &&
               recv(connection, buffer, sizeof(buffer), MSG_DONTWAIT) > 0) {
        }
        g_usleep(MS);
    }
    if (r->way == LEAVE_RESET) {
        fleet_reset_on_close(connection);
    }
    r->over_us = g_get_monotonic_time();
    close(connection);
}

static void
stay(int connection, request_t *r)
{
    char *fields = g_strdup_printf(
        "Request-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: %d\r\n",
        r->id, FLEET_KEY,
        r->setup->deadline_ms != 0 ? r->setup->deadline_ms : DEADLINE_MS);
    r->sent_us = g_get_monotonic_time();
    reply_t *reply =
        fleet_call_on(connection, "POST", r->target, fields, "", WAIT_MS);
    r->over_us = g_get_monotonic_time();
    r->status = reply->status;
    reply_free(reply);
    g_free(fields);
    close(connection);
}

static gpointer
request_run(gpointer data)
{
    request_t *r = data;
    int connection = fleet_connect(r->entry->ip, FLEET_CALLERS_PORT, WAIT_MS);
    gboolean ready = connection >= 0 && (r->setup->sends != SENDS_KEPT ||
                                         is_answered_before(connection, r));
    wait_for_start(r);
    if (!ready) {
        close(connection);
        return NULL;
    }
    if (r->setup->stays) {
        stay(connection, r);
        return NULL;
    }
    GString *bytes = request_bytes(r);
    gsize at = 0;
    while (at < bytes->len && g_get_monotonic_time() < r->leave_us) {
        ssize_t count = send(connection, bytes->str + at, bytes->len - at,
                             MSG_NOSIGNAL | MSG_DONTWAIT);
        at += (gsize)MAX(count, 0);
        if (count < 0) {
            g_usleep(MS);
        }
    }
    g_string_free(bytes, TRUE);
    if (r->setup->sends == SENDS_CHUNKS) {
        send_chunks(connection);
    }
    leave(connection, r);
    return NULL;
}

static void
request_free(gpointer data)
{
    request_t *r = data;
    g_free(r->id);
    g_free(r);
}

/* Has callers connect, which send their requests once the round starts. */
static void
create_callers(scenario_t *s)
{
    static const char *const TARGETS[] = {"/safe/slow", "/once/slow",
                                          "/stream/long"};
    const abandoned_case_t *c = s->setup;
    for (guint i = 0; i < REQUESTS; i++) {
        request_t *r = g_new0(request_t, 1);
        int leave_ms = c->leave_ms != 0 ? c->leave_ms : LEAVE_MIN_MS;
        *r = (request_t){
            .setup = c,
            .scenario = s,
            .entry = fleet_entry(s->fleet, c->is_cut ? 0 : i % ENTRIES),
            .target = c->target != NULL ? c->target
                                        : TARGETS[i % G_N_ELEMENTS(TARGETS)],
            .way = (leave_t)(i / 3 % LEAVE_WAYS),
            .id = g_strdup_printf("r-%u", i),
            .after_ms = (int)(i * SPREAD_MS / REQUESTS),
            .leave_ms = leave_ms +
                        (int)(i * 7 % REQUESTS * LEAVE_SPREAD_MS / REQUESTS),
        };
        g_ptr_array_add(s->requests, r);
        r->thread = g_thread_new("caller", request_run, r);
    }
}

/* Sets the start of the round once all callers are ready, so that no request
 * waits for its connection, or for an answer before it, while the trouble
 * lasts. */
static void
start_round(scenario_t *s)
{
    g_mutex_lock(&s->lock);
    while (s->ready < REQUESTS) {
        g_cond_wait(&s->changed, &s->lock);
    }
    s->start_us = g_get_monotonic_time() + (gint64)ALL_READY_MS * MS;
    g_cond_broadcast(&s->changed);
    g_mutex_unlock(&s->lock);
}

/* ---- troubles ---- */

static void
signal_endpoints(scenario_t *s, guint count, int signal)
{
    for (guint i = 0; i < count; i++) {
        fleet_signal(fleet_endpoint(s->fleet, i), signal);
    }
}

static void
stop_endpoints(scenario_t *s)
{
    signal_endpoints(s, ENDPOINTS, SIGSTOP);
}

static void
continue_endpoints(scenario_t *s)
{
    signal_endpoints(s, ENDPOINTS, SIGCONT);
}

static void
stop_one(scenario_t *s)
{
    signal_endpoints(s, 1, SIGSTOP);
}

static void
continue_one(scenario_t *s)
{
    signal_endpoints(s, 1, SIGCONT);
}

static void
stop_entry(scenario_t *s)
{
    fleet_signal(fleet_entry(s->fleet, 0), SIGSTOP);
    fleet_signal(fleet_entry(s->fleet, 1), SIGSTOP);
}

static void
continue_entry(scenario_t *s)
{
    fleet_signal(fleet_entry(s->fleet, 0), SIGCONT);
    fleet_signal(fleet_entry(s->fleet, 1), SIGCONT);
}

static void
stop_helper(scenario_t *s)
{
    fleet_signal(fleet_entry(s->fleet, 1), SIGSTOP);
}

static void
continue_helper(scenario_t *s)
{
    fleet_signal(fleet_entry(s->fleet, 1), SIGCONT);
}

static void
hold_entries(scenario_t *s)
{
    for (guint i = 0; i < ENTRIES; i++) {
        fleet_cut(s->fleet, s->proxies, i, CUT_HOLD, 0);
    }
}

static void
release_entries(scenario_t *s)
{
    for (guint i = 0; i < ENTRIES; i++) {
        fleet_cut_end(s->fleet, s->proxies, i);
    }
}

static void
hold_helper(scenario_t *s)
{
    fleet_cut(s->fleet, s->proxies, 1, CUT_HOLD, 0);
}

static void
release_helper(scenario_t *s)
{
    fleet_cut_end(s->fleet, s->proxies, 1);
}

static void
set_tunnels(scenario_t *s, proxy_mode_t mode)
{
    proxy_t *const *listeners = s->proxies[s->fleet->controls + 1];
    proxy_set(listeners[FLEET_LISTENERS_MAX - 1], mode);
}

static void
hold_tunnels(scenario_t *s)
{
    set_tunnels(s, PROXY_HOLD);
}

static void
release_tunnels(scenario_t *s)
{
    set_tunnels(s, PROXY_PASS);
}

static void
terminate_held(scenario_t *s)
{
    hold_entries(s);
    fleet_sleep(SPREAD_MS);
    for (guint i = 0; i < ENTRIES; i++) {
        fleet_signal(fleet_entry(s->fleet, i), SIGTERM);
    }
}

static void
release_terminated(scenario_t *s)
{
    release_entries(s);
}

/* ---- a case ---- */

/* Creates no two fleets at once: their networks are numbered. */
static GMutex fleets_lock;

static gboolean
all_reached(const scenario_t *s)
{
    for (guint i = 0; i < ENDPOINTS; i++) {
        GArray *arrivals = fleet_arrivals(fleet_endpoint(s->fleet, i));
        guint count = arrivals->len;
        g_array_unref(arrivals);
        if (count == 0) {
            return FALSE;
        }
    }
    return TRUE;
}

static gpointer
warm_up_once(gpointer data)
{
    reply_free(fleet_request(data, "/safe/slow", "warm-up", ""));
    return NULL;
}

/* Requests until all instances know how they reach the endpoints. In the first
 * seconds of a service they use only some of these. */
static gboolean
warm_up(const scenario_t *s)
{
    enum { AT_ONCE = 24 };
    GThread *callers[AT_ONCE];
    gint64 until = g_get_monotonic_time() + FLEET_WAIT_MS * MS;
    gboolean reached = FALSE;
    while (!reached && g_get_monotonic_time() < until) {
        for (guint i = 0; i < AT_ONCE; i++) {
            callers[i] = g_thread_new("caller", warm_up_once,
                                      fleet_entry(s->fleet, i % ENTRIES));
        }
        for (guint i = 0; i < AT_ONCE; i++) {
            g_thread_join(callers[i]);
        }
        reached = all_reached(s);
    }
    return reached;
}

static gboolean
scenario_start(scenario_t *s)
{
    const abandoned_case_t *c = s->setup;
    g_mutex_lock(&fleets_lock);
    s->fleet = c->is_proxied ? fleet_create_proxied(1, ENTRIES, ENDPOINTS)
                             : fleet_create(1, ENTRIES, ENDPOINTS);
    g_mutex_unlock(&fleets_lock);
    s->fleet->slots = SLOTS;
    if (c->is_proxied) {
        fleet_proxies_create(s->fleet, s->proxies);
    }
    gboolean up = fleet_up(s->fleet, 1) && warm_up(s);
    if (c->is_cut) {
        fleet_cut(s->fleet, s->proxies, 0, CUT_RESET, 0);
        up = warm_up(s) && up;
    }
    return up;
}

static void
play(scenario_t *s)
{
    const abandoned_case_t *c = s->setup;
    create_callers(s);
    start_round(s);
    gint64 start_us = s->start_us;
    gint64 begin_us =
        start_us + (c->begin_ms != 0 ? (gint64)c->begin_ms : -20) * MS;
    s->trouble_end_us = start_us;
    if (c->begin != NULL) {
        fleet_sleep_until(begin_us);
        c->begin(s);
        fleet_sleep_until(start_us + (gint64)c->end_ms * MS);
        c->end(s);
        s->trouble_end_us = g_get_monotonic_time();
    }
    for (guint i = 0; i < s->requests->len; i++) {
        request_t *r = s->requests->pdata[i];
        g_thread_join(g_steal_pointer(&r->thread));
    }
    fleet_sleep(SETTLE_MS);
}

/* ---- the verdict ---- */

typedef struct {
    const abandoned_case_t *setup;
    gboolean up;
    guint over;    /* requests that are over by their callers' account */
    guint arrived; /* at an endpoint, in time or not */
    guint late;    /* arrived later than they may */
    guint runs;
    guint went_on;    /* runs that lasted longer than they may */
    guint unanswered; /* at their deadline, or later */
    gint64 latest_us; /* arrival after the end of a request */
    GString *details;
} outcome_t;

/* Times of `what` at an endpoint, by request. */
static GHashTable *
moments_by_id(const fleet_process_t *endpoint, const char *what)
{
    GHashTable *times =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    GArray *found = fleet_moments(endpoint, what);
    for (guint i = 0; i < found->len; i++) {
        const fleet_moment_t *m = &g_array_index(found, fleet_moment_t, i);
        g_hash_table_insert(times, g_strdup(m->request),
                            g_memdup2(&m->at_us, sizeof(m->at_us)));
    }
    g_array_unref(found);
    return times;
}

static void
add_detail(outcome_t *o, const request_t *r, const char *what, gint64 after_us)
{
    if (o->late + o->went_on <= DETAILED_MAX || g_getenv("TEST_ONLY")) {
        g_string_append_printf(
            o->details,
            "%s %s (%s, sent %d ms after it was due, status %u) %s after %d "
            "ms\n",
            r->id, r->target, r->way == LEAVE_RESET ? "reset" : "closed",
            r->sent_us != 0 ? (int)((r->sent_us - r->send_us) / MS) : 0,
            r->status, what, (int)(after_us / MS));
    }
}

static void
judge_arrival(outcome_t *o, const request_t *r, const char *id,
              GHashTable *arrivals)
{
    const gint64 *at_us = g_hash_table_lookup(arrivals, id);
    if (at_us == NULL) {
        return;
    }
    o->arrived++;
    o->latest_us = MAX(o->latest_us, *at_us - r->over_us);
    if (*at_us - r->over_us > (gint64)GIVEN_UP_MS * MS) {
        o->late++;
        add_detail(o, r, "arrived", *at_us - r->over_us);
    }
}

/* Endpoints learn of the end once no trouble is between. */
static void
judge_run(outcome_t *o, const scenario_t *s, const request_t *r,
          GHashTable *const *moments)
{
    enum { RAN, GONE, DONE };
    const gint64 *ran_us = g_hash_table_lookup(moments[RAN], r->id);
    const gint64 *gone_us = g_hash_table_lookup(moments[GONE], r->id);
    const gint64 *done_us = g_hash_table_lookup(moments[DONE], r->id);
    if (ran_us == NULL) {
        return;
    }
    o->runs++;
    gint64 end_us = gone_us != NULL   ? *gone_us
                    : done_us != NULL ? *done_us
                                      : g_get_monotonic_time();
    gint64 bound_us = MAX(r->over_us, s->trouble_end_us) + GIVEN_UP_MS * MS;
    if (end_us > bound_us) {
        o->went_on++;
        add_detail(o, r, "still ran", end_us - r->over_us);
    }
}

static void
judge_endpoint(outcome_t *o, const scenario_t *s,
               const fleet_process_t *endpoint)
{
    static const char *const WHAT[] = {"ran", "gone", "done"};
    GHashTable *arrivals = moments_by_id(endpoint, "arrived");
    GHashTable *moments[G_N_ELEMENTS(WHAT)];
    for (gsize i = 0; i < G_N_ELEMENTS(WHAT); i++) {
        moments[i] = moments_by_id(endpoint, WHAT[i]);
    }
    for (guint i = 0; i < s->requests->len; i++) {
        const request_t *r = s->requests->pdata[i];
        char *behind = g_strconcat(r->id, "-behind", NULL);
        if (r->over_us != 0) {
            judge_arrival(o, r, r->id, arrivals);
            judge_arrival(o, r, behind, arrivals);
            judge_run(o, s, r, moments);
        }
        g_free(behind);
    }
    g_hash_table_unref(arrivals);
    for (gsize i = 0; i < G_N_ELEMENTS(WHAT); i++) {
        g_hash_table_unref(moments[i]);
    }
}

/* Callers that stay have an answer at their deadline at the latest. */
static void
judge_answer(outcome_t *o, const request_t *r)
{
    int deadline_ms =
        r->setup->deadline_ms != 0 ? r->setup->deadline_ms : DEADLINE_MS;
    gint64 bound_us = r->sent_us + (gint64)(deadline_ms + GIVEN_UP_MS) * MS;
    if (r->setup->stays && (r->status == 0 || r->over_us > bound_us)) {
        o->unanswered++;
        add_detail(o, r, "was answered", r->over_us - r->sent_us);
    }
}

static void
run_case(gpointer data, gpointer user)
{
    outcome_t *o = data;
    scenario_t s = {.setup = o->setup,
                    .requests = g_ptr_array_new_with_free_func(request_free)};
    (void)user;
    g_mutex_init(&s.lock);
    g_cond_init(&s.changed);
    o->details = g_string_new(NULL);
    o->up = scenario_start(&s);
    if (o->up) {
        play(&s);
    }
    for (guint i = 0; i < s.requests->len; i++) {
        o->over += ((const request_t *)s.requests->pdata[i])->over_us != 0;
        judge_answer(o, s.requests->pdata[i]);
    }
    for (guint i = 0; i < ENDPOINTS; i++) {
        judge_endpoint(o, &s, fleet_endpoint(s.fleet, i));
    }
    fleet_destroy(s.fleet);
    g_ptr_array_unref(s.requests);
    g_cond_clear(&s.changed);
    g_mutex_clear(&s.lock);
}

/* ---- the program ---- */

static outcome_t outcomes[G_N_ELEMENTS(ABANDONED_CASES)];

/* Runs all cases that were chosen, several at once, on the first call. */
static void
run_cases(void)
{
    enum { CASES_AT_ONCE = 12 };
    static gboolean done;
    const char *only = g_getenv("TEST_ONLY");
    if (done) {
        return;
    }
    done = TRUE;
    proxies_start();
    GThreadPool *pool =
        g_thread_pool_new(run_case, NULL, CASES_AT_ONCE, FALSE, NULL);
    for (gsize i = 0; i < G_N_ELEMENTS(ABANDONED_CASES); i++) {
        outcomes[i].setup = &ABANDONED_CASES[i];
        if (only == NULL || g_str_equal(only, ABANDONED_CASES[i].name)) {
            g_thread_pool_push(pool, &outcomes[i], NULL);
        }
    }
    g_thread_pool_free(pool, FALSE, TRUE);
    proxies_stop();
}

/* Whether requests reach endpoints in time; if none does, the case tries
 * nothing. */
static gboolean
must_run(const abandoned_case_t *c)
{
    return c->begin == NULL && c->sends != SENDS_HALF;
}

static void
test_case(void)
{
    run_cases();
    const char *name = CU_get_current_test()->pName;
    const outcome_t *o = outcomes;
    while (!g_str_equal(o->setup->name, name)) {
        o++;
    }
    printf("%u requests over, %u arrived, %u runs; arrived late %u (latest "
           "%d ms), went on %u; ",
           o->over, o->arrived, o->runs, o->late, (int)(o->latest_us / MS),
           o->went_on);
    if (o->late + o->went_on + o->unanswered > 0) {
        printf("\n%s", o->details->str);
    }
    CU_ASSERT_TRUE(o->up);
    CU_ASSERT_EQUAL(o->over, REQUESTS);
    CU_ASSERT_TRUE(o->runs > 0 || !must_run(o->setup));
    CU_ASSERT_EQUAL(o->late, 0);
    CU_ASSERT_EQUAL(o->went_on, 0);
    CU_ASSERT_EQUAL(o->unanswered, 0);
    g_string_free(o->details, TRUE);
}

int
main(void)
{
    test_case_t cases[G_N_ELEMENTS(ABANDONED_CASES)];
    for (gsize i = 0; i < G_N_ELEMENTS(ABANDONED_CASES); i++) {
        cases[i] =
            (test_case_t){.name = ABANDONED_CASES[i].name, .run = test_case};
    }
    return check_run("abandoned", cases, G_N_ELEMENTS(cases));
}
