/* Tests that endpoints that fall silent and go on cost no caller the answer,
 * with real processes.
 *
 * Each case has a fleet of its own and plays one or more rounds: requests of
 * all kinds are sent at once, endpoints are stopped for a while at a fixed
 * moment of them, and the others are in trouble meanwhile. */
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "check.h"
#include "fleet.h"
#include "fleet_cut.h"

enum {
    MS = 1000,
    ENTRIES = 2,
    ENDPOINTS = 3,
    SLOTS = 40,
    PER_KIND = 10, /* requests of a round */
    ROUNDS_MAX = 4,
    WARMUP = ROUNDS_MAX, /* a round of its own */
    WARMUP_MS = 200,     /* between two tries */
    CASES_AT_ONCE = 15,
    DEADLINE_MS = 12000,
    HANGING_MS = DEADLINE_MS + 2000, /* a caller waits no longer */
    CONNECT_MS = 500, /* until the requests of a round are sent */
    TROUBLE_MS = 150, /* from the silence on */
    BETWEEN_SILENCES_MS = 400,
    CHANGE_MS = 600,
    TERMINATE_MS = 1300, /* after the requests of the round were sent */
    STREAM_EVENTS = 24,  /* of the stand-in's /long */
    REST_OVER_MS = 2500,
    SILENCE_MIN_MS = 800, /* that a caller waits for a silent endpoint */
    DETAILED_MAX = 4,     /* requests of a case */
};

/* ---- the kinds of requests ---- */

typedef enum {
    KIND_SAFE,
    KIND_ONCE,
    KIND_STREAM,
    KIND_TWICE,
    KIND_FRAGILE,
    KIND_MOVED,
    KINDS,
} kind_t;

enum {
    ALL = 1u << KIND_SAFE | 1u << KIND_ONCE | 1u << KIND_STREAM |
          1u << KIND_TWICE | 1u << KIND_FRAGILE,
    ALL_AND_MOVED = ALL | 1u << KIND_MOVED,
    REPEATABLE = 1u << KIND_SAFE | 1u << KIND_STREAM | 1u << KIND_TWICE,
};

static const struct {
    const char *name;
    const char *prefix;
    const char *kind;
    const char *target;
    guint attempts;
    gboolean is_stream;
    gboolean is_resumable;
    gboolean is_idempotent;
} KIND_TABLE[KINDS] = {
    [KIND_SAFE] = {"safe", "/safe/", "safe", "/safe/slow", 3, FALSE, FALSE,
                   TRUE},
    [KIND_ONCE] = {"once", "/once/", "unsafe", "/once/slow", 3, FALSE, FALSE,
                   FALSE},
    [KIND_STREAM] = {"stream", "/stream/", "stream", "/stream/long", 3, TRUE,
                     TRUE, TRUE},
    [KIND_TWICE] = {"twice", "/twice/stream/", "stream", "/twice/stream/long",
                    2, TRUE, TRUE, TRUE},
    [KIND_FRAGILE] = {"fragile", "/fragile/stream/", "stream",
                      "/fragile/stream/long", 3, TRUE, FALSE, FALSE},
    [KIND_MOVED] = {"moved", "/moved/stream/", "stream", "/moved/stream/long",
                    3, TRUE, TRUE, TRUE},
};

/* Versions differ in a route that comes and goes, in one that moves to a
 * service without endpoints, in its weights, in timeouts, in connections and
 * in a key. */
static char *
config_text(guint version)
{
    GString *text = g_string_new(NULL);
    gboolean is_odd = version % 2 == 1;
    g_string_append_printf(text, "{\"Version\":%u,\"Routes\":[", version);
    for (guint i = 0; i < KINDS; i++) {
        gboolean is_away = i == KIND_MOVED && !is_odd;
        g_string_append_printf(
            text,
            "{\"Name\":\"%s\",\"Host\":\"h.example\",\"PathPrefix\":\"%s\","
            "\"Kind\":\"%s\",\"TimeoutMs\":%u,\"TargetLatencyMs\":300,"
            "\"TargetGapMs\":300,\"Service\":\"%s\",\"Split\":[{\"Service\":"
            "\"%s\",\"Weight\":%u}],\"MaxAttempts\":%u,\"Resumable\":%s},",
            KIND_TABLE[i].name, KIND_TABLE[i].prefix, KIND_TABLE[i].kind,
            DEADLINE_MS + version % 3 * 1000, is_away ? "b" : "a",
            is_away ? "b" : "a", 1 + version % 5, KIND_TABLE[i].attempts,
            KIND_TABLE[i].is_resumable ? "true" : "false");
    }
    g_string_append_printf(
        text,
        "{\"Name\":\"extra\",\"Host\":\"h.example\",\"PathPrefix\":"
        "\"/extra-%u/\",\"Kind\":\"safe\",\"TimeoutMs\":1000,"
        "\"TargetLatencyMs\":300,\"TargetGapMs\":300,\"Service\":\"a\"}],"
        "\"Services\":[{\"Name\":\"a\",\"HealthPath\":\"/h\","
        "\"MaxConnections\":%u},{\"Name\":\"b\",\"HealthPath\":\"/h\","
        "\"MaxConnections\":500}],\"Tenants\":[{\"Name\":\"t\",\"ApiKeys\":["
        "\"%s\"]},{\"Name\":\"u\",\"ApiKeys\":[\"other-%u\"]}]}",
        version, 500 + version % 2 * 100, FLEET_KEY, version);
    return g_string_free(text, FALSE);
}

/* ---- the cases ---- */

/* What befalls the endpoints that are not silent. */
typedef struct {
    void (*begin)(const fleet_process_t *endpoint);
    void (*end)(const fleet_process_t *endpoint);
    /* Requests that were never at a silent endpoint may fail. */
    gboolean fails;
} trouble_t;

typedef enum {
    BEFORE_FIRST, /* before the endpoint reads the request */
    BEFORE_EVENT, /* before the first event, after the head */
    BETWEEN,
    BEFORE_LAST,
} moment_t;

/* From the sending of the streams: when the endpoints are stopped, and when
 * plain requests are sent. */
static const struct {
    int stop_ms;
    int plain_ms;
} MOMENTS[] = {
    [BEFORE_FIRST] = {-20, 0},
    [BEFORE_EVENT] = {50, 0},
    [BETWEEN] = {1050, 950},
    [BEFORE_LAST] = {2350, 2250},
};

typedef struct scenario scenario_t;

typedef struct {
    const char *name; /* the failure that the case guards against */
    guint kinds;      /* 0: ALL */
    moment_t moment;
    int silent_ms[ROUNDS_MAX]; /* a round each; negative: for good */
    guint times;               /* in a round; 0: once */
    guint silent;              /* endpoints; 0: one */
    int apart_ms;              /* between their silences */
    guint slots;               /* of an endpoint; 0: SLOTS */
    const trouble_t *others;   /* NULL: they are well */
    void (*beside)(scenario_t *scenario); /* over and over; NULL: nothing */
    guint entries;                        /* instances; 0: ENTRIES */
    const char *brittle; /* that all endpoints say from the start */
    gboolean is_cut;     /* all requests go through a helper */
    /* The longest that a caller may wait for a byte where the request may be
     * repeated; 0: not bounded. */
    int wait_max_ms;
} silence_case_t;

static void
refuse(const fleet_process_t *endpoint)
{
    fleet_fault(endpoint, "full");
}

static void
answer_errors(const fleet_process_t *endpoint)
{
    fleet_fault(endpoint, "error");
}

static void
end_at_requests(const fleet_process_t *endpoint)
{
    fleet_fault(endpoint, "crash");
}

static void
break_off(const fleet_process_t *endpoint)
{
    fleet_fault(endpoint, "cut");
}

static void
behave(const fleet_process_t *endpoint)
{
    fleet_fault(endpoint, NULL);
}

static void
rest(const fleet_process_t *endpoint)
{
    fleet_rest(endpoint, "2");
}

static void
rest_no_more(const fleet_process_t *endpoint)
{
    fleet_rest(endpoint, NULL);
}

static void
begin_brittle(const fleet_process_t *endpoint)
{
    fleet_brittle(endpoint, "40");
}

static const trouble_t REFUSE = {.begin = refuse, .end = behave};
static const trouble_t REST = {.begin = rest, .end = rest_no_more};
static const trouble_t BRITTLE = {.begin = begin_brittle};
static const trouble_t ERRORS = {
    .begin = answer_errors, .end = behave, .fails = TRUE};
static const trouble_t BREAK_OFF = {
    .begin = break_off, .end = behave, .fails = TRUE};
static const trouble_t CRASH = {
    .begin = end_at_requests, .end = behave, .fails = TRUE};

static void change_config(scenario_t *s);
static void hang_up(scenario_t *s);
static void terminate(scenario_t *s);

static const silence_case_t SILENCE_CASES[] = {
    {.name = "a silence that returns costs the answer",
     .moment = BETWEEN,
     .silent_ms = {1700},
     .times = 3},
    {.name = "a silence that returns costs the answer where the others refuse",
     .moment = BETWEEN,
     .silent_ms = {1000, 1700},
     .times = 3,
     .others = &REFUSE},
    {.name = "a silence behind a helper costs the answer",
     .moment = BETWEEN,
     .silent_ms = {2000, 3000},
     .is_cut = TRUE},
    {.name = "a silence behind one of several helpers costs the answer",
     .moment = BETWEEN,
     .silent_ms = {2000, 3000},
     .entries = 4,
     .is_cut = TRUE},
    {.name = "a silence behind a helper costs the answer where others refuse",
     .moment = BETWEEN,
     .silent_ms = {2000, 3000},
     .others = &REFUSE,
     .is_cut = TRUE},
    {.name = "an answer not begun is lost where the others are well",
     .moment = BEFORE_FIRST,
     .silent_ms = {300, 1200, 3000},
     .wait_max_ms = 1600},
    {.name = "a stream is lost before its first event",
     .moment = BEFORE_EVENT,
     .silent_ms = {1200, 3000},
     .wait_max_ms = 1600},
    {.name = "a stream is lost or late where the others are well",
     .moment = BETWEEN,
     .silent_ms = {300, 1200, 2000, 3000},
     .wait_max_ms = 2200},
    {.name = "the end of a stream is lost or late",
     .moment = BEFORE_LAST,
     .silent_ms = {300, 2000},
     .wait_max_ms = 2200},
    {.name = "callers wait for an endpoint that never goes on",
     .kinds = REPEATABLE,
     .moment = BETWEEN,
     .silent_ms = {-1},
     .wait_max_ms = 2200},
    {.name = "callers wait for a first byte that never comes",
     .kinds = REPEATABLE,
     .moment = BEFORE_FIRST,
     .silent_ms = {-1},
     .wait_max_ms = 1600},
    {.name = "a stream of a silent endpoint is lost where the others refuse",
     .moment = BETWEEN,
     .silent_ms = {1200, 2000, 3000},
     .others = &REFUSE},
    {.name = "an answer not begun is lost where the others refuse",
     .moment = BEFORE_FIRST,
     .silent_ms = {2000, 3000},
     .others = &REFUSE},
    {.name = "a first event is lost where the others refuse",
     .moment = BEFORE_EVENT,
     .silent_ms = {2000, 3000},
     .others = &REFUSE},
    {.name = "the end of a stream is lost where the others refuse",
     .moment = BEFORE_LAST,
     .silent_ms = {2000, 3000},
     .others = &REFUSE},
    {.name = "answers are lost where the others rest",
     .moment = BETWEEN,
     .silent_ms = {2000, 3000},
     .others = &REST},
    {.name = "answers not begun are lost where the others rest",
     .moment = BEFORE_FIRST,
     .silent_ms = {2000, 3000},
     .others = &REST},
    {.name = "answers are lost where the others answer with errors",
     .moment = BETWEEN,
     .silent_ms = {2000, 3000},
     .others = &ERRORS},
    {.name = "answers not begun are lost where the others answer with errors",
     .moment = BEFORE_FIRST,
     .silent_ms = {2000, 3000},
     .others = &ERRORS},
    {.name = "answers are lost where the others break off",
     .moment = BEFORE_LAST,
     .silent_ms = {2000, 3000},
     .others = &BREAK_OFF},
    {.name = "answers are lost where the others crash",
     .moment = BETWEEN,
     .silent_ms = {3000},
     .others = &CRASH},
    {.name = "answers not begun are lost where the others crash",
     .moment = BEFORE_FIRST,
     .silent_ms = {3000},
     .others = &CRASH},
    {.name = "answers are lost where the others are full",
     .moment = BETWEEN,
     .silent_ms = {2000, 3000},
     .slots = 8,
     .others = &BRITTLE},
    {.name = "answers are lost where all are brittle",
     .moment = BETWEEN,
     .silent_ms = {3000},
     .slots = 20,
     .brittle = "40"},
    {.name = "answers are lost where all are silent",
     .moment = BETWEEN,
     .silent_ms = {2000, 3000},
     .silent = ENDPOINTS},
    {.name = "answers not begun are lost where all are silent",
     .moment = BEFORE_FIRST,
     .silent_ms = {2000, 3000},
     .silent = ENDPOINTS},
    {.name = "answers are lost where two are silent and one refuses",
     .moment = BETWEEN,
     .silent_ms = {3000, 3000},
     .silent = 2,
     .others = &REFUSE},
    {.name = "answers are lost where one falls silent after the other",
     .moment = BETWEEN,
     .silent_ms = {2000, 3000},
     .silent = 2,
     .apart_ms = 1700,
     .others = &REFUSE},
    {.name = "answers are lost where all fall silent one after the other",
     .moment = BETWEEN,
     .silent_ms = {1200, 2000},
     .silent = ENDPOINTS,
     .apart_ms = 1000},
    {.name = "a silence beside changes costs the answer",
     .kinds = ALL_AND_MOVED,
     .moment = BETWEEN,
     .silent_ms = {1200, 3000},
     .beside = change_config},
    {.name = "a silence beside changes costs the answer where others refuse",
     .kinds = ALL_AND_MOVED,
     .moment = BETWEEN,
     .silent_ms = {2000, 3000},
     .others = &REFUSE,
     .beside = change_config},
    {.name = "a silence beside SIGHUP costs the answer where others refuse",
     .moment = BETWEEN,
     .silent_ms = {2000, 3000},
     .others = &REFUSE,
     .beside = hang_up},
    {.name = "a silence beside SIGTERM costs the answer where others refuse",
     .moment = BETWEEN,
     .silent_ms = {2000},
     .others = &REFUSE,
     .beside = terminate},
};

/* ---- requests ---- */

struct scenario {
    const silence_case_t *setup;
    fleet_t *fleet;
    fleet_proxies_t proxies;
    GPtrArray *requests; /* request_t */
    guint version;       /* of the configuration */
    gint stop;           /* atomic; what is beside ends */
};

typedef struct {
    const fleet_process_t *entry;
    kind_t kind;
    guint round;
    gboolean is_kept; /* the connection was used before */
    gint64 send_us;
    char *id;
    GThread *thread;
    reply_t *reply;
} request_t;

static reply_t *
call_on(int connection, const char *target, const char *id)
{
    char *fields = g_strdup_printf(
        "Request-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: %d\r\n",
        id, FLEET_KEY, DEADLINE_MS);
    reply_t *reply =
        fleet_call_on(connection, "POST", target, fields, id, HANGING_MS);
    g_free(fields);
    return reply;
}

static gpointer
request_run(gpointer data)
{
    request_t *r = data;
    int connection =
        fleet_connect(r->entry->ip, FLEET_CALLERS_PORT, HANGING_MS);
    if (r->is_kept) {
        char *id = g_strconcat(r->id, "-before", NULL);
        reply_free(call_on(connection, "/safe/x", id));
        g_free(id);
    }
    fleet_sleep_until(r->send_us);
    r->reply = call_on(connection, KIND_TABLE[r->kind].target, r->id);
    if (connection >= 0) {
        close(connection);
    }
    return NULL;
}

static void
request_free(gpointer data)
{
    request_t *r = data;
    g_clear_pointer(&r->reply, reply_free);
    g_free(r->id);
    g_free(r);
}

/* ---- rounds ---- */

static void
change_config(scenario_t *s)
{
    char *text = config_text(++s->version);
    fleet_put(s->fleet, text, 0);
    g_free(text);
    fleet_put(s->fleet, "{\"Version\":1000000,\"Routes\":[{}]}", 0);
    fleet_sleep(CHANGE_MS);
}

static void
hang_up(scenario_t *s)
{
    for (guint i = 0; i < s->fleet->entries; i++) {
        fleet_signal(fleet_entry(s->fleet, i), SIGHUP);
    }
    fleet_sleep(CHANGE_MS);
}

static void
terminate(scenario_t *s)
{
    fleet_sleep(CONNECT_MS + TERMINATE_MS);
    for (guint i = 0; i < s->fleet->entries; i++) {
        fleet_signal(fleet_entry(s->fleet, i), SIGTERM);
    }
    while (!g_atomic_int_get(&s->stop)) {
        fleet_sleep(CHANGE_MS);
    }
}

static gpointer
run_beside(gpointer data)
{
    scenario_t *s = data;
    while (!g_atomic_int_get(&s->stop)) {
        s->setup->beside(s);
    }
    return NULL;
}

static guint
silent_count(const silence_case_t *setup)
{
    return MAX(setup->silent, 1);
}

/* The endpoints of a round: the silent ones come first. Others are silent in
 * the next round, since few requests go to one that just was. */
static fleet_process_t *
round_endpoint(const scenario_t *s, guint round, guint at)
{
    return fleet_endpoint(s->fleet, (round + at) % ENDPOINTS);
}

static void
call_others(const scenario_t *s, guint round,
            void (*act)(const fleet_process_t *endpoint))
{
    for (guint i = silent_count(s->setup); act != NULL && i < ENDPOINTS; i++) {
        act(round_endpoint(s, round, i));
    }
}

static void
send_requests(scenario_t *s, guint round, guint kinds, gint64 start_us)
{
    for (guint i = 0; i < PER_KIND * KINDS; i++) {
        kind_t kind = (kind_t)(i % KINDS);
        guint number = i / KINDS;
        if (!(kinds & 1u << kind)) {
            continue;
        }
        int after_ms = KIND_TABLE[kind].is_stream
                           ? 0
                           : MOMENTS[s->setup->moment].plain_ms;
        request_t *r = g_new0(request_t, 1);
        *r = (request_t){
            .entry = fleet_entry(
                s->fleet,
                s->setup->is_cut ? 0 : number % MAX(s->fleet->entries, 1)),
            .kind = kind,
            .round = round,
            .is_kept = number / 2 % 2 == 1,
            .send_us = start_us + (gint64)after_ms * MS,
            .id = g_strdup_printf("r%u-%s-%u", round, KIND_TABLE[kind].name,
                                  number),
        };
        g_ptr_array_add(s->requests, r);
        r->thread = g_thread_new("caller", request_run, r);
    }
}

static void
join_requests(const scenario_t *s)
{
    for (guint i = 0; i < s->requests->len; i++) {
        request_t *r = s->requests->pdata[i];
        if (r->thread != NULL) {
            g_thread_join(g_steal_pointer(&r->thread));
        }
    }
}

/* The silences of an endpoint in a round. */
typedef struct {
    const silence_case_t *setup;
    fleet_process_t *endpoint;
    gint64 stop_us;
    int silent_ms;
    GThread *thread;
} silences_t;

static gpointer
silences_run(gpointer data)
{
    const silences_t *s = data;
    gint64 stop_us = s->stop_us;
    for (guint i = 0; i < MAX(s->setup->times, 1); i++) {
        fleet_sleep_until(stop_us);
        fleet_signal(s->endpoint, SIGSTOP);
        if (s->silent_ms < 0) {
            break;
        }
        fleet_sleep_until(stop_us + (gint64)s->silent_ms * MS);
        fleet_signal(s->endpoint, SIGCONT);
        stop_us += (gint64)(s->silent_ms + BETWEEN_SILENCES_MS) * MS;
    }
    return NULL;
}

static void
play_round(scenario_t *s, guint round)
{
    static const trouble_t WELL = {0};
    const silence_case_t *c = s->setup;
    const trouble_t *others = c->others != NULL ? c->others : &WELL;
    silences_t silences[ENDPOINTS];
    gint64 start_us = g_get_monotonic_time() + (gint64)CONNECT_MS * MS;
    gint64 stop_us = start_us + (gint64)MOMENTS[c->moment].stop_ms * MS;
    send_requests(s, round, c->kinds != 0 ? c->kinds : ALL, start_us);
    for (guint i = 0; i < silent_count(c); i++) {
        silences[i] =
            (silences_t){.setup = c,
                         .endpoint = round_endpoint(s, round, i),
                         .stop_us = stop_us + (gint64)i * c->apart_ms * MS,
                         .silent_ms = c->silent_ms[round]};
        silences[i].thread =
            g_thread_new("silences", silences_run, &silences[i]);
    }
    fleet_sleep_until(stop_us + (gint64)TROUBLE_MS * MS);
    call_others(s, round, others->begin);
    for (guint i = 0; i < silent_count(c); i++) {
        g_thread_join(silences[i].thread);
    }
    join_requests(s);
    call_others(s, round, others->end);
    if (others == &REST) {
        fleet_sleep(REST_OVER_MS);
    }
}

/* ---- a case ---- */

/* Waits until all endpoints have had requests. In the first seconds of a
 * service, entry instances send only long prompts to some of them. */
static gboolean
wait_for_endpoints(scenario_t *s)
{
    gint64 until = g_get_monotonic_time() + FLEET_WAIT_MS * MS;
    guint32 reached = 0;
    while (reached != (1u << ENDPOINTS) - 1 &&
           g_get_monotonic_time() < until) {
        fleet_sleep(WARMUP_MS);
        send_requests(s, WARMUP, 1u << KIND_SAFE, g_get_monotonic_time());
        join_requests(s);
        g_ptr_array_set_size(s->requests, 0);
        for (guint i = 0; i < ENDPOINTS; i++) {
            GArray *arrivals = fleet_arrivals(fleet_endpoint(s->fleet, i));
            reached |= (guint32)(arrivals->len > 0) << i;
            g_array_unref(arrivals);
        }
    }
    return reached == (1u << ENDPOINTS) - 1;
}

/* Creates no two fleets at once: their networks are numbered. */
static GMutex fleets_lock;

static gboolean
scenario_start(scenario_t *s)
{
    const silence_case_t *c = s->setup;
    guint entries = c->entries != 0 ? c->entries : ENTRIES;
    g_mutex_lock(&fleets_lock);
    s->fleet = c->is_cut ? fleet_create_proxied(1, entries, ENDPOINTS)
                         : fleet_create(1, entries, ENDPOINTS);
    g_mutex_unlock(&fleets_lock);
    s->fleet->slots = c->slots != 0 ? c->slots : SLOTS;
    if (c->is_cut) {
        fleet_proxies_create(s->fleet, s->proxies);
    }
    fleet_start_all(s->fleet);
    char *text = config_text(++s->version);
    guint status = fleet_put(s->fleet, text, 0);
    g_free(text);
    for (guint i = 0; i < s->fleet->entries; i++) {
        if (status != 200 || !fleet_wait_ready(fleet_entry(s->fleet, i))) {
            return FALSE;
        }
    }
    gboolean up = wait_for_endpoints(s);
    if (c->is_cut) {
        fleet_cut(s->fleet, s->proxies, 0, CUT_RESET, 0);
    }
    for (guint i = 0; c->brittle != NULL && i < ENDPOINTS; i++) {
        fleet_brittle(fleet_endpoint(s->fleet, i), c->brittle);
    }
    if (c->is_cut || c->brittle != NULL) {
        /* The instances notice it by requests. */
        send_requests(s, WARMUP, 1u << KIND_SAFE | 1u << KIND_ONCE,
                      g_get_monotonic_time());
        join_requests(s);
        g_ptr_array_set_size(s->requests, 0);
    }
    return up;
}

/* How the requests of a kind ended. */
typedef struct {
    guint sent;
    guint at_silent; /* were at an endpoint that fell silent */
    guint whole;
    guint refused;  /* truly */
    guint lied;     /* refused, but run */
    guint denied;   /* 4xx */
    guint failed;   /* 5xx where that may not be */
    guint broken;   /* no answer, or one that is not whole */
    guint excused;  /* failed elsewhere */
    guint twice;    /* ran twice and must not */
    guint late;     /* waited too long for a byte */
    int longest_ms; /* wait for a byte */
} ends_t;

typedef struct {
    const silence_case_t *setup;
    gboolean up;
    guint detailed; /* requests */
    GString *details;
    ends_t ends[KINDS];
} outcome_t;

static gboolean
is_whole(const request_t *r)
{
    const reply_t *reply = r->reply;
    if (reply->status != 200 || !reply->complete || !reply->sealed) {
        return FALSE;
    }
    GString *expected = g_string_new(NULL);
    for (guint i = 1; KIND_TABLE[r->kind].is_stream && i <= STREAM_EVENTS;
         i++) {
        g_string_append_printf(expected, "id: %u\ndata: w%u\n\n", i, i);
    }
    if (!KIND_TABLE[r->kind].is_stream) {
        g_string_append_printf(expected, "answer to %s by ", r->id);
    }
    gboolean whole = KIND_TABLE[r->kind].is_stream
                         ? g_string_equal(expected, reply->body)
                         : g_str_has_prefix(reply->body->str, expected->str);
    g_string_free(expected, TRUE);
    return whole;
}

static gboolean
is_refusal(const reply_t *reply)
{
    static const guint STATUSES[] = {408, 421, 429, 503};
    for (gsize i = 0; i < G_N_ELEMENTS(STATUSES); i++) {
        if (reply->complete && reply->status == STATUSES[i]) {
            return TRUE;
        }
    }
    return FALSE;
}

static void
add_detail(outcome_t *o, const request_t *r, const char *what,
           gboolean at_silent)
{
    const reply_t *reply = r->reply;
    if (o->detailed++ >= DETAILED_MAX && g_getenv("TEST_ONLY") == NULL) {
        return;
    }
    g_string_append_printf(
        o->details,
        "%s %s: status %u, %s, %zu bytes (%s), longest wait %d ms%s%s\n",
        r->id, what, reply->status,
        reply->complete ? "complete" : "incomplete", reply->body->len,
        reply->status >= 400 ? reply->body->str : "", reply->longest_wait_ms,
        at_silent ? ", at a silent endpoint" : "",
        r->is_kept ? ", kept connection" : "");
}

/* Counts how the request ended. Returns what is wrong with it; NULL: nothing.
 */
static const char *
count_end(ends_t *ends, const request_t *r, gboolean ran, gboolean may_fail)
{
    if (is_whole(r)) {
        ends->whole++;
        return NULL;
    }
    if (is_refusal(r->reply)) {
        ends->refused += !ran;
        ends->lied += ran;
        return ran ? "was refused and ran" : NULL;
    }
    if (may_fail) {
        ends->excused++;
        return NULL;
    }
    if (!r->reply->complete || r->reply->status < 400) {
        ends->broken++;
        return "was broken off";
    }
    if (r->reply->status < 500) {
        ends->denied++;
        return "was denied";
    }
    ends->failed++;
    return "failed";
}

static void
judge_request(outcome_t *o, const request_t *r, guint runs, gboolean at_silent)
{
    const silence_case_t *c = o->setup;
    ends_t *ends = &o->ends[r->kind];
    gboolean may_fail = c->others != NULL && c->others->fails && !at_silent;
    const char *wrong = count_end(ends, r, runs > 0, may_fail);
    gboolean repeatable = REPEATABLE & 1u << r->kind;
    ends->sent++;
    ends->at_silent += at_silent;
    if (wrong != NULL) {
        add_detail(o, r, wrong, at_silent);
    }
    if (runs > 1 && !KIND_TABLE[r->kind].is_idempotent) {
        ends->twice++;
        add_detail(o, r, "ran twice", at_silent);
    }
    ends->longest_ms = MAX(ends->longest_ms, r->reply->longest_wait_ms);
    if (c->wait_max_ms != 0 && repeatable &&
        r->reply->longest_wait_ms > c->wait_max_ms) {
        ends->late++;
        add_detail(o, r, "waited too long", at_silent);
    }
}

/* The ids of the requests that arrived at an endpoint. */
static GHashTable *
arrivals_by_id(const fleet_process_t *endpoint)
{
    GHashTable *ids =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    GArray *found = fleet_moments(endpoint, "arrived");
    for (guint i = 0; i < found->len; i++) {
        g_hash_table_add(
            ids, g_strdup(g_array_index(found, fleet_moment_t, i).request));
    }
    g_array_unref(found);
    return ids;
}

/* Whether the request was at an endpoint that fell silent in its round. */
static gboolean
was_at_silent(const scenario_t *s, const request_t *r,
              GHashTable *const *arrivals)
{
    for (guint i = 0; i < silent_count(s->setup); i++) {
        if (g_hash_table_contains(arrivals[(r->round + i) % ENDPOINTS],
                                  r->id)) {
            return TRUE;
        }
    }
    return FALSE;
}

static void
judge(outcome_t *o, const scenario_t *s)
{
    GHashTable *runs = fleet_runs_by_id(s->fleet);
    GHashTable *arrivals[ENDPOINTS];
    for (guint i = 0; i < ENDPOINTS; i++) {
        arrivals[i] = arrivals_by_id(fleet_endpoint(s->fleet, i));
    }
    for (guint i = 0; i < s->requests->len; i++) {
        const request_t *r = s->requests->pdata[i];
        judge_request(o, r, GPOINTER_TO_UINT(g_hash_table_lookup(runs, r->id)),
                      was_at_silent(s, r, arrivals));
    }
    g_hash_table_unref(runs);
    for (guint i = 0; i < ENDPOINTS; i++) {
        g_hash_table_unref(arrivals[i]);
    }
}

static void
run_case(gpointer data, gpointer user)
{
    outcome_t *o = data;
    scenario_t s = {.setup = o->setup,
                    .requests = g_ptr_array_new_with_free_func(request_free)};
    (void)user;
    o->details = g_string_new(NULL);
    o->up = scenario_start(&s);
    GThread *beside = o->up && o->setup->beside != NULL
                          ? g_thread_new("beside", run_beside, &s)
                          : NULL;
    for (guint i = 0; o->up && i < ROUNDS_MAX && o->setup->silent_ms[i] != 0;
         i++) {
        play_round(&s, i);
    }
    g_atomic_int_set(&s.stop, 1);
    g_clear_pointer(&beside, g_thread_join);
    judge(o, &s);
    fleet_destroy(s.fleet);
    g_ptr_array_unref(s.requests);
}

/* ---- the program ---- */

static outcome_t outcomes[G_N_ELEMENTS(SILENCE_CASES)];

/* Runs all cases that were chosen, several at once, on the first call. */
static void
run_cases(void)
{
    static gboolean done;
    const char *only = g_getenv("TEST_ONLY");
    if (done) {
        return;
    }
    done = TRUE;
    proxies_start();
    GThreadPool *pool =
        g_thread_pool_new(run_case, NULL, CASES_AT_ONCE, FALSE, NULL);
    for (gsize i = 0; i < G_N_ELEMENTS(SILENCE_CASES); i++) {
        outcomes[i].setup = &SILENCE_CASES[i];
        if (only == NULL || g_str_equal(only, SILENCE_CASES[i].name)) {
            g_thread_pool_push(pool, &outcomes[i], NULL);
        }
    }
    g_thread_pool_free(pool, FALSE, TRUE);
    proxies_stop();
}

static void
print_ends(const outcome_t *o)
{
    for (guint i = 0; i < KINDS; i++) {
        const ends_t *e = &o->ends[i];
        if (e->sent > 0) {
            printf("%s: %u (%u at silent), %u whole, %u refused, %u excused, "
                   "%u failed, %u broken off, %u denied, %u refused and run, "
                   "%u ran twice, %u late, longest wait %d ms\n",
                   KIND_TABLE[i].name, e->sent, e->at_silent, e->whole,
                   e->refused, e->excused, e->failed, e->broken, e->denied,
                   e->lied, e->twice, e->late, e->longest_ms);
        }
    }
}

static ends_t
sum_ends(const outcome_t *o)
{
    ends_t sum = {0};
    for (guint i = 0; i < KINDS; i++) {
        const ends_t *e = &o->ends[i];
        sum.sent += e->sent;
        sum.at_silent += e->at_silent;
        sum.denied += e->denied;
        sum.lied += e->lied;
        sum.failed += e->failed;
        sum.broken += e->broken;
        sum.twice += e->twice;
        sum.late += e->late;
        sum.longest_ms = MAX(sum.longest_ms, e->longest_ms);
    }
    return sum;
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
    ends_t sum = sum_ends(o);
    if (sum.broken + sum.failed + sum.denied + sum.lied + sum.twice +
            sum.late >
        0) {
        printf("\n%s", o->details->str);
        print_ends(o);
    }
    printf("%u, %u at silent, longest wait %d ms; ", sum.sent, sum.at_silent,
           sum.longest_ms);
    CU_ASSERT_TRUE(o->up);
    /* An endpoint that never goes on logs no arrivals. */
    CU_ASSERT(sum.at_silent > 0 ||
              (o->setup->silent_ms[0] < 0 && sum.longest_ms > SILENCE_MIN_MS));
    CU_ASSERT_EQUAL(sum.broken, 0);
    CU_ASSERT_EQUAL(sum.failed, 0);
    CU_ASSERT_EQUAL(sum.denied, 0);
    CU_ASSERT_EQUAL(sum.lied, 0);
    CU_ASSERT_EQUAL(sum.twice, 0);
    CU_ASSERT_EQUAL(sum.late, 0);
    g_string_free(o->details, TRUE);
}

int
main(void)
{
    test_case_t cases[G_N_ELEMENTS(SILENCE_CASES)];
    for (gsize i = 0; i < G_N_ELEMENTS(SILENCE_CASES); i++) {
        cases[i] =
            (test_case_t){.name = SILENCE_CASES[i].name, .run = test_case};
    }
    return check_run("silences", cases, G_N_ELEMENTS(cases));
}
