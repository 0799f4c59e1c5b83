/* A stand-in for a server of the users' platform, for tests and the soak.
 *
 * It renews its lease at control, serves plain answers and streams, writes a
 * line for each request that it runs, and misbehaves as the request's own
 * "Fault" field asks: KIND, or KIND@ID for one server only. */
#include <argtable2.h>
#include <glib-unix.h>
#include <glib/gstdio.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "carobloom/common/task.h"
#include "carobloom/http/client.h"
#include "carobloom/http/server.h"

enum {
    MS = 1000,
    EVENT_US = 20 * MS,
    EVENTS = 12,
    LONG_EVENT_US = 100 * MS, /* of a path with /long */
    LONG_EVENTS = 24,
    LINGER_US = 1500 * MS, /* served on after the goodbye was heard */
    WORK_US = 15 * MS,
    SLOW_WORK_US = 200 * MS,  /* of a path with /slow: for faults to meet it */
    LATE_WORK_US = 2500 * MS, /* of FAULT_LATE */
    HUGE_BYTES = 17 * 1024 * 1024, /* of FAULT_HUGE: over an entry's bounds */
    HUGE_EVENT_BYTES = 300 * 1024,
    LARGE_BYTES = 8 * 1024 * 1024, /* of a path with /large */
    LARGE_EVENTS = 60,             /* of a stream there */
    LARGE_EVENT_BYTES = 200 * 1024,
    CRASH_US = 20 * MS, /* of FAULT_CRASH: from the start of the run */
    BRITTLE_GRACE_US = 3000 * MS, /* until nothing waits any more */
    BRITTLE_WAITING_MAX = 24,     /* until then */
    CRASH_EXIT = 70,              /* as a program ends by a fault of its own */
};

typedef enum {
    FAULT_NONE,
    FAULT_RESET,   /* runs it and breaks off without an answer */
    FAULT_CUT,     /* an answer that ends early */
    FAULT_FULL,    /* refused, not run */
    FAULT_ERROR,   /* its own failure */
    FAULT_MUTE,    /* runs it and says nothing */
    FAULT_LATE,    /* answers after several objectives */
    FAULT_HUGE,    /* more in one answer or event than anyone may hold */
    FAULT_CRASH,   /* the whole process ends as it begins to run it */
    FAULT_ENDLESS, /* an answer, or an event, that never ends */
    FAULT_EARLY,   /* no fault: a stream's head and the first line of its first
                      event come at once, the rest of it later */
} fault_t;

static const char *const FAULT_NAMES[] = {
    [FAULT_NONE] = "none",       [FAULT_RESET] = "reset",
    [FAULT_CUT] = "cut",         [FAULT_FULL] = "full",
    [FAULT_ERROR] = "error",     [FAULT_MUTE] = "mute",
    [FAULT_LATE] = "late",       [FAULT_HUGE] = "huge",
    [FAULT_CRASH] = "crash",     [FAULT_EARLY] = "early",
    [FAULT_ENDLESS] = "endless",
};

typedef struct {
    const char *id;
    const char *address; /* that it announces */
    const char *listen;
    const char *service;
    char **controls;
    guint at; /* of controls */
    int beat_ms;
    int slots;
    FILE *log;
    FILE *arrivals; /* when requests came, and what was said of it */
    /* Of files with values to name in answers, a field for each line; while
     * the one of rest is there, all requests are refused. */
    char *limit_path;
    char *rest_path;
    char *leaving_path;
    char *brittle_path;
    char *fault_path; /* of all requests that name none */
    GArray
        *refused;   /* gint64; when it turned requests away for want of room */
    GQueue waiting; /* waiting_t, for a slot of a brittle endpoint */
    int running;
    GMainLoop *loop;
    task_t *task;
    poller_t *poller;
    timers_t *timers;
    http_server_t *server;
    GHashTable *peers; /* address -> http_peer_t */
    gint64 started_ms; /* Unix time */
    guint64 sequence;
    gboolean draining;
    gboolean left;
    client_call_t *beat;
    guint64 beat_timer;
    gboolean heard;         /* that it drains; it leaves soon */
    gboolean said_draining; /* the beat under way says so */
} endpoint_t;

/* A request under way. */
typedef struct {
    endpoint_t *endpoint;
    http_exchange_t *exchange;
    guint64 timer;
    guint64 event; /* the next */
    guint64 events;
    gint64 event_us; /* between two */
    gboolean is_large;
    gboolean begun; /* the first line of the next event was sent */
    gboolean spoke;
    fault_t fault;
} run_t;

/* A request that waits for a slot. */
typedef struct {
    http_exchange_t *exchange;
    fault_t fault;
} waiting_t;

/* ---- serving ---- */

static void run_begin(endpoint_t *e, http_exchange_t *exchange, fault_t fault);

static fault_t
fault_named(str_t name)
{
    for (guint i = 0; i < G_N_ELEMENTS(FAULT_NAMES); i++) {
        if (str_equal(name, str_from_cstr(FAULT_NAMES[i]))) {
            return (fault_t)i;
        }
    }
    return FAULT_NONE;
}

/* The fault of all requests that name none. */
static fault_t
fault_of_all(const endpoint_t *e)
{
    char *text = NULL;
    if (!g_file_get_contents(e->fault_path, &text, NULL, NULL)) {
        return FAULT_NONE;
    }
    fault_t fault = fault_named(str_from_cstr(text));
    g_free(text);
    return fault;
}

static fault_t
fault_of(const endpoint_t *e, const http_head_t *head)
{
    str_t value;
    if (!http_head_find(head, "Fault", &value)) {
        return fault_of_all(e);
    }
    gssize at = str_find(value, STR("@"), 0);
    if (at >= 0) {
        if (!str_equal(str_tail(value, (gsize)at + 1), str_from_cstr(e->id))) {
            return FAULT_NONE;
        }
        value.length = (gsize)at;
    }
    return fault_named(value);
}

static void
log_run(const endpoint_t *e, const char *what, str_t request)
{
    fprintf(e->log, "%s %.*s\n", what, (int)request.length, request.data);
    fflush(e->log);
}

static str_t
request_id(http_exchange_t *exchange)
{
    str_t id = {0};
    http_head_find(http_exchange_head(exchange), "Request-Id", &id);
    return id;
}

static gboolean
is_large(http_exchange_t *exchange)
{
    str_t target = http_head_target(http_exchange_head(exchange));
    return str_find(target, STR("/large"), 0) >= 0;
}

static void
log_moment(const endpoint_t *e, const char *what, str_t request)
{
    fprintf(e->arrivals, "%s %" G_GINT64_FORMAT " %.*s\n", what,
            g_get_monotonic_time(), (int)request.length, request.data);
    fflush(e->arrivals);
}

/* A field for each line of a file; empty when it is not there. */
static char *
fields_of(const char *path, const char *name)
{
    char *text = NULL;
    GString *fields = g_string_new(NULL);
    if (!g_file_get_contents(path, &text, NULL, NULL)) {
        return g_string_free(fields, FALSE);
    }
    char **lines = g_strsplit(text, "\n", -1);
    for (guint i = 0; lines[i] != NULL; i++) {
        g_string_append_printf(fields, "%s: %s\r\n", name, lines[i]);
    }
    g_strfreev(lines);
    g_free(text);
    return g_string_free(fields, FALSE);
}

static char *
answer_fields(const endpoint_t *e, http_exchange_t *exchange, const char *more)
{
    str_t id = request_id(exchange);
    char *limit = fields_of(e->limit_path, "Server-Limit");
    char *leaving = fields_of(e->leaving_path, "Server-Leaving");
    char *brittle = fields_of(e->brittle_path, "Server-Brittle");
    char *fields = g_strdup_printf(
        "Request-Id: %.*s\r\nResponse-Seal: %.*s.%s\r\n%s%s%s%s",
        (int)id.length, id.data, (int)id.length, id.data, e->id, limit,
        leaving, brittle, more);
    if (limit[0] != '\0') {
        log_moment(e, "named", id);
    }
    if (leaving[0] != '\0') {
        log_moment(e, "leaving", id);
    }
    g_free(limit);
    g_free(leaving);
    g_free(brittle);
    return fields;
}

static void
run_waiting(endpoint_t *e)
{
    waiting_t *next =
        e->running < e->slots ? g_queue_pop_head(&e->waiting) : NULL;
    if (next != NULL) {
        run_begin(e, next->exchange, next->fault);
        g_free(next);
    }
}

static void
run_free(run_t *run)
{
    endpoint_t *e = run->endpoint;
    timers_cancel(e->timers, run->timer);
    e->running--;
    http_exchange_set_data(run->exchange, NULL);
    g_free(run);
    run_waiting(e);
}

/* Removes a request that waits. Returns FALSE if it does not. */
static gboolean
forget_waiting(endpoint_t *e, const http_exchange_t *exchange)
{
    for (GList *l = e->waiting.head; l != NULL; l = l->next) {
        if (((waiting_t *)l->data)->exchange == exchange) {
            g_free(l->data);
            g_queue_delete_link(&e->waiting, l);
            return TRUE;
        }
    }
    return FALSE;
}

static void
answer(endpoint_t *e, http_exchange_t *exchange, guint status,
       const char *more, const char *body)
{
    char *fields = answer_fields(e, exchange, more);
    http_exchange_answer(exchange, status, str_from_cstr(fields),
                         str_from_cstr(body));
    g_free(fields);
}

static void
plain_over(void *data)
{
    run_t *run = data;
    endpoint_t *e = run->endpoint;
    http_exchange_t *exchange = run->exchange;
    fault_t fault = run->fault;
    run->timer = 0;
    if (fault == FAULT_MUTE || fault == FAULT_CRASH) {
        return;
    }
    run_free(run);
    str_t id = request_id(exchange);
    if (fault != FAULT_RESET && fault != FAULT_CUT) {
        log_moment(e, "spoke", id);
        log_moment(e, "done", id);
    }
    char *body = g_strdup_printf("answer to %.*s by %s", (int)id.length,
                                 id.data, e->id);
    char *fields;
    switch (fault) {
    case FAULT_RESET:
        log_moment(e, "broke", id);
        http_exchange_abort(exchange);
        break;
    case FAULT_CUT:
        log_moment(e, "broke", id);
        fields = answer_fields(e, exchange, "");
        http_exchange_begin(exchange, 200, str_from_cstr(fields));
        http_exchange_write(exchange, str_from_cstr("half"));
        http_exchange_abort(exchange);
        g_free(fields);
        break;
    case FAULT_ERROR:
        answer(e, exchange, 500, "", "failed");
        break;
    case FAULT_HUGE:
        g_free(body);
        body = g_strnfill(HUGE_BYTES, 'x');
        answer(e, exchange, 200, "", body);
        break;
    default:
        if (is_large(exchange)) {
            g_free(body);
            body = g_strnfill(LARGE_BYTES, 'x');
        }
        answer(e, exchange, 200, "", body);
    }
    g_free(body);
}

static void
stream_step(void *data)
{
    run_t *run = data;
    endpoint_t *e = run->endpoint;
    http_exchange_t *exchange = run->exchange;
    gboolean half = run->event > run->events / 2;
    run->timer = 0;
    if (run->fault == FAULT_MUTE && half) {
        return;
    }
    if ((run->fault == FAULT_RESET || run->fault == FAULT_CUT) && half) {
        http_exchange_write(exchange, STR("id: 99\ndata: half an"));
        log_moment(e, "broke", request_id(exchange));
        run_free(run);
        http_exchange_abort(exchange);
        return;
    }
    if (run->event > run->events) {
        log_run(e, "end", request_id(exchange));
        log_moment(e, "done", request_id(exchange));
        run_free(run);
        http_exchange_finish(exchange);
        return;
    }
    gsize filler_bytes = run->fault == FAULT_HUGE && half ? HUGE_EVENT_BYTES
                         : run->is_large                  ? LARGE_EVENT_BYTES
                                                          : 0;
    char *filler = g_strnfill(filler_bytes, 'x');
    char *text = g_strdup_printf("id: %" G_GUINT64_FORMAT
                                 "\ndata: w%" G_GUINT64_FORMAT "%s\n\n",
                                 run->event, run->event, filler);
    gsize sent = run->begun ? strcspn(text, "\n") + 1 : 0;
    run->begun = FALSE;
    g_free(filler);
    http_exchange_write(exchange, str_tail(str_from_cstr(text), sent));
    g_free(text);
    if (!run->spoke) {
        run->spoke = TRUE;
        log_moment(e, "spoke", request_id(exchange));
    }
    run->event++;
    run->timer =
        timers_subscribe(e->timers, run->event_us, 0, stream_step, run);
}

/* Goes on until the caller closes the connection. */
static void
endless_step(void *data)
{
    run_t *run = data;
    enum { PIECE_BYTES = 64 * 1024, STEP_US = MS };
    if (http_exchange_backlog(run->exchange) == 0) {
        char *piece = g_strnfill(PIECE_BYTES, 'x');
        http_exchange_write(run->exchange, str_from_cstr(piece));
        g_free(piece);
    }
    run->timer =
        timers_subscribe(run->endpoint->timers, STEP_US, 0, endless_step, run);
}

static void
endless_begin(run_t *run, gboolean is_stream)
{
    char *fields =
        answer_fields(run->endpoint, run->exchange,
                      is_stream ? "Content-Type: text/event-stream\r\n" : "");
    http_exchange_begin(run->exchange, 200, str_from_cstr(fields));
    http_exchange_write(run->exchange, is_stream ? STR("data: ") : STR("x"));
    g_free(fields);
    log_moment(run->endpoint, "broke", request_id(run->exchange));
    endless_step(run);
}

/* The time that a path with /for-MS/ asks for; 0: it does not. */
static gint64
asked_work_us(const http_exchange_t *exchange)
{
    str_t target = http_head_target(http_exchange_head(exchange));
    gssize at = str_find(target, STR("/for-"), 0);
    guint64 ms = 0;
    if (at >= 0) {
        str_t digits = str_tail(target, (gsize)at + strlen("/for-"));
        gssize end = str_find(digits, STR("/"), 0);
        digits.length = end < 0 ? digits.length : (gsize)end;
        http_number(digits, &ms);
    }
    return (gint64)ms * MS;
}

static void
stream_begin(run_t *run)
{
    endpoint_t *e = run->endpoint;
    gint64 asked_us = asked_work_us(run->exchange);
    str_t last;
    guint64 number = 0;
    if (http_head_find(http_exchange_head(run->exchange), "Last-Event-Id",
                       &last)) {
        http_number(last, &number);
    }
    gboolean is_long =
        str_find(http_head_target(http_exchange_head(run->exchange)),
                 STR("/long"), 0) >= 0;
    run->event = number + 1;
    run->is_large = is_large(run->exchange);
    run->events = run->is_large ? LARGE_EVENTS
                  : is_long     ? LONG_EVENTS
                                : EVENTS;
    run->event_us = asked_us > 0 ? asked_us / run->events
                    : is_long    ? LONG_EVENT_US
                                 : EVENT_US;
    char *fields =
        answer_fields(e, run->exchange, "Content-Type: text/event-stream\r\n");
    http_exchange_begin(run->exchange, 200, str_from_cstr(fields));
    g_free(fields);
    if (run->fault == FAULT_EARLY) {
        char *text =
            g_strdup_printf("id: %" G_GUINT64_FORMAT "\n", run->event);
        http_exchange_write(run->exchange, str_from_cstr(text));
        g_free(text);
        run->begun = TRUE;
    }
    run->timer =
        timers_subscribe(e->timers, run->event_us, 0, stream_step, run);
}

static void
crash(void *data)
{
    (void)data;
    _exit(CRASH_EXIT);
}

static void
run_begin(endpoint_t *e, http_exchange_t *exchange, fault_t fault)
{
    run_t *run = g_new0(run_t, 1);
    *run = (run_t){.endpoint = e, .exchange = exchange, .fault = fault};
    http_exchange_set_data(exchange, run);
    e->running++;
    log_run(e, "run", request_id(exchange));
    log_moment(e, "ran", request_id(exchange));
    if (fault == FAULT_CRASH) {
        timers_subscribe(e->timers, CRASH_US, 0, crash, e);
    }
    str_t target = http_head_target(http_exchange_head(exchange));
    gboolean is_long = str_find(target, STR("/long"), 0) >= 0;
    if (fault == FAULT_ENDLESS) {
        endless_begin(run, str_find(target, STR("/stream/"), 0) >= 0);
        return;
    }
    /* Only long streams are answered with an error. */
    if (str_find(target, STR("/stream/"), 0) >= 0 &&
        !(is_long && fault == FAULT_ERROR)) {
        stream_begin(run);
        return;
    }
    gboolean slow = str_find(target, STR("/slow"), 0) >= 0;
    gint64 asked_us = asked_work_us(exchange);
    gint64 work_us = fault == FAULT_LATE ? LATE_WORK_US
                     : asked_us > 0      ? asked_us
                     : slow              ? SLOW_WORK_US
                                         : WORK_US;
    run->timer = timers_subscribe(e->timers, work_us, 0, plain_over, run);
}

/* Refuses a request and asks for rest. Returns FALSE when it does not rest. */
static gboolean
refuse_for_rest(endpoint_t *e, http_exchange_t *exchange)
{
    char *rest = fields_of(e->rest_path, "Retry-After");
    gboolean resting = rest[0] != '\0';
    if (resting) {
        gint64 ms = (gint64)(g_ascii_strtod(strchr(rest, ':') + 1, NULL) * MS);
        char *fields = g_strconcat("Not-Executed: 1\r\n", rest, NULL);
        char *what = g_strdup_printf("rested-%" G_GINT64_FORMAT, ms);
        log_moment(e, what, request_id(exchange));
        answer(e, exchange, 503, fields, "");
        g_free(what);
        g_free(fields);
    }
    g_free(rest);
    return resting;
}

/* Falls over if requests were turned away too often in the last second. */
static void
fall_if_brittle(endpoint_t *e, int refusals_max, str_t request)
{
    gint64 now = g_get_monotonic_time();
    g_array_append_val(e->refused, now);
    while (now - g_array_index(e->refused, gint64, 0) > G_USEC_PER_SEC) {
        g_array_remove_index(e->refused, 0);
    }
    if ((int)e->refused->len > refusals_max) {
        log_moment(e, "fell", request);
        _exit(CRASH_EXIT);
    }
}

/* Time since the endpoints of the service were told that they are brittle; a
 * start in between changes nothing. */
static gint64
brittle_age_us(const endpoint_t *e)
{
    GStatBuf info;
    if (g_stat(e->brittle_path, &info) != 0) {
        return 0;
    }
    gint64 told_us = (gint64)info.st_mtim.tv_sec * G_USEC_PER_SEC +
                     info.st_mtim.tv_nsec / 1000;
    return g_get_real_time() - told_us;
}

/* Lets a request wait while all slots are taken, or turns it away if too many
 * wait. Only a brittle endpoint does; some time after it said so it lets none
 * wait, and falls over if it turns too many away. Others run all at once. */
static gboolean
wait_for_room(endpoint_t *e, http_exchange_t *exchange, fault_t fault)
{
    char *brittle = fields_of(e->brittle_path, "Server-Brittle");
    gboolean is_brittle = brittle[0] != '\0';
    int refusals_max = is_brittle ? atoi(strchr(brittle, ':') + 1) : 0;
    g_free(brittle);
    if (!is_brittle || e->running < e->slots) {
        return FALSE;
    }
    gboolean is_grace = brittle_age_us(e) <= BRITTLE_GRACE_US;
    if (is_grace && e->waiting.length < BRITTLE_WAITING_MAX) {
        waiting_t *w = g_new0(waiting_t, 1);
        *w = (waiting_t){.exchange = exchange, .fault = fault};
        g_queue_push_tail(&e->waiting, w);
        return TRUE;
    }
    log_moment(e, "full", request_id(exchange));
    if (!is_grace) {
        fall_if_brittle(e, refusals_max, request_id(exchange));
    }
    answer(e, exchange, 503, "Not-Executed: 1\r\n", "");
    return TRUE;
}

static void
handle_request(http_exchange_t *exchange, void *user)
{
    endpoint_t *e = user;
    const http_head_t *head = http_exchange_head(exchange);
    fault_t fault = fault_of(e, head);
    str_t expected;
    log_moment(e, "arrived", request_id(exchange));
    if (!http_head_find(head, "Expect-Instance", &expected) ||
        !str_equal(expected, str_from_cstr(e->id))) {
        log_moment(e, "misdirected", request_id(exchange));
        answer(e, exchange, 421, "", "");
        return;
    }
    if (refuse_for_rest(e, exchange) || wait_for_room(e, exchange, fault)) {
        return;
    }
    if (fault == FAULT_FULL) {
        answer(e, exchange, 503, "Not-Executed: 1\r\n", "");
        return;
    }
    run_begin(e, exchange, fault);
}

static void
handle_gone(http_exchange_t *exchange, void *user)
{
    run_t *run = http_exchange_data(exchange);
    if (forget_waiting(user, exchange)) {
        return;
    }
    if (run != NULL) {
        log_run(user, "gone", request_id(exchange));
        log_moment(user, "gone", request_id(exchange));
        run_free(run);
    }
}

static void
handle_drained(http_exchange_t *exchange, void *user)
{
    (void)exchange;
    (void)user;
}

static const http_server_ops_t SERVER_OPS = {
    .request = handle_request, .gone = handle_gone, .drained = handle_drained};
static const http_limits_t LIMITS = {
    .head_max = 16384,
    .body_max = 1024 * 1024,
    .head_us = 5 * G_USEC_PER_SEC,
    .idle_us = 10 * G_USEC_PER_SEC,
    .connections = 1000,
    .buffered_max = 64 * 1024 * 1024,
    .unread_us = 60 * G_USEC_PER_SEC,
};

/* ---- the lease ---- */

static const http_peer_limits_t PEER_LIMITS = {
    .connect_us = 300 * MS,
    .idle_us = 2 * G_USEC_PER_SEC,
    .idle_max = 1,
    .head_max = 4096,
};

static void beat_send(endpoint_t *e);

static void
on_beat_due(void *data)
{
    endpoint_t *e = data;
    e->beat_timer = 0;
    if (e->beat != NULL) { /* no answer in time */
        client_call_cancel(e->beat);
        e->beat = NULL;
        e->at++;
    }
    beat_send(e);
}

static gboolean
on_end(gpointer data)
{
    endpoint_t *e = data;
    g_main_loop_quit(e->loop);
    return G_SOURCE_REMOVE;
}

static gboolean
on_leave(gpointer data)
{
    endpoint_t *e = data;
    e->left = TRUE;
    beat_send(e);
    g_timeout_add(300, on_end, e);
    return G_SOURCE_REMOVE;
}

static call_verdict_t
on_beat_head(client_call_t *call, const http_head_t *head, void *user)
{
    (void)call;
    endpoint_t *e = user;
    if (head->status != 200) {
        e->at++;
    }
    else if (e->said_draining && !e->heard && !e->left) {
        e->heard = TRUE;
        log_run(e, "draining-heard", STR("-"));
        g_timeout_add(LINGER_US / MS, on_leave, e);
    }
    return CALL_TAKE;
}

static void
on_beat_body(client_call_t *call, str_t bytes, void *user)
{
    (void)call;
    (void)bytes;
    (void)user;
}

static void
on_beat_done(client_call_t *call, void *user)
{
    (void)call;
    ((endpoint_t *)user)->beat = NULL;
}

static void
on_beat_failed(client_call_t *call, call_failure_t failure, void *user)
{
    (void)call;
    (void)failure;
    endpoint_t *e = user;
    e->beat = NULL;
    e->at++;
}

static const client_call_ops_t BEAT_OPS = {.head = on_beat_head,
                                           .body = on_beat_body,
                                           .done = on_beat_done,
                                           .failed = on_beat_failed};

static void
beat_send(endpoint_t *e)
{
    const char *control = e->controls[e->at % g_strv_length(e->controls)];
    http_peer_t *peer = g_hash_table_lookup(e->peers, control);
    if (peer == NULL) {
        peer = http_peer_create(e->poller, e->timers, str_from_cstr(control),
                                &PEER_LIMITS);
        g_hash_table_insert(e->peers, (gpointer)control, peer);
    }
    char *body =
        e->left ? g_strdup("")
                : g_strdup_printf(
                      "{\"Service\":\"%s\",\"Address\":\"%s\",\"Zone\":\"z\","
                      "\"Version\":\"v1\",\"Slots\":%d,\"State\":\"%s\","
                      "\"ColdRemainingMs\":0,\"born\":%" G_GINT64_FORMAT ","
                      "\"Sequence\":%" G_GUINT64_FORMAT "}",
                      e->service, e->address, e->slots,
                      e->draining ? "draining" : "ready", e->started_ms,
                      ++e->sequence);
    char *text = g_strdup_printf(
        "%s /api/instances/%s HTTP/1.1\r\nHost: %s\r\nContent-Length: "
        "%zu\r\n\r\n%s",
        e->left ? "DELETE" : "PUT", e->id, control, strlen(body), body);
    e->said_draining = e->draining && !e->left;
    if (e->beat == NULL) {
        e->beat =
            client_call_create(peer, str_from_cstr(text), FALSE, &BEAT_OPS, e);
    }
    g_free(text);
    g_free(body);
    timers_cancel(e->timers, e->beat_timer);
    e->beat_timer = timers_subscribe(e->timers, (gint64)e->beat_ms * MS, 0,
                                     on_beat_due, e);
}

static gboolean
on_terminate(gpointer data)
{
    endpoint_t *e = data;
    if (!e->draining) {
        e->draining = TRUE;
        timers_advance(e->timers, g_get_monotonic_time());
        beat_send(e);
    }
    return G_SOURCE_CONTINUE;
}

/* ---- life ---- */

static void
on_message(void *state, message_t *message)
{
    (void)state;
    (void)message;
}

static const task_ops_t TASK_OPS = {
    .name = "endpoint", .mailbox_bound = 1, .handle = on_message};

static void
on_turn(gint64 now_us, void *data)
{
    endpoint_t *e = data;
    timers_advance(e->timers, now_us);
}

static int
endpoint_run(endpoint_t *e)
{
    e->loop = g_main_loop_new(NULL, FALSE);
    e->task = task_create(&TASK_OPS, e, g_main_context_default());
    e->timers = task_timers(e->task);
    e->poller = poller_create(g_main_context_default(), on_turn, e);
    e->peers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                     (GDestroyNotify)http_peer_destroy);
    e->server = http_server_create(e->poller, e->timers, e->listen, &LIMITS,
                                   &SERVER_OPS, e);
    if (e->server == NULL) {
        fprintf(stderr, "can not listen at %s\n", e->listen);
        return 1;
    }
    g_unix_signal_add(SIGTERM, on_terminate, e);
    beat_send(e);
    g_main_loop_run(e->loop);
    http_server_destroy(e->server);
    g_hash_table_unref(e->peers);
    poller_destroy(e->poller);
    task_destroy(e->task);
    g_main_loop_unref(e->loop);
    return 0;
}

int
main(int argc, char **argv)
{
    struct arg_str *id = arg_str1(NULL, "id", "ID", "its id");
    struct arg_str *address =
        arg_str1(NULL, "address", "IP:PORT", "to announce");
    struct arg_str *listen =
        arg_str0(NULL, "listen", "IP:PORT", "to listen at (the address)");
    struct arg_str *service =
        arg_str1(NULL, "service", "NAME", "the service it is of");
    struct arg_str *controls =
        arg_str1(NULL, "controls", "LIST", "IP:PORT, by commas");
    struct arg_int *beat =
        arg_int0(NULL, "beat-ms", "MS", "between renewals (300)");
    struct arg_int *slots = arg_int0(NULL, "slots", "N", "that it says (8)");
    struct arg_file *log = arg_file1(NULL, "log", "FILE", "what it ran");
    struct arg_end *end = arg_end(10);
    void *table[] = {id,   address, listen, service, controls,
                     beat, slots,   log,    end};
    if (arg_parse(argc, argv, table) > 0) {
        arg_print_errors(stderr, end, argv[0]);
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    endpoint_t endpoint = {
        .id = id->sval[0],
        .address = address->sval[0],
        .listen = listen->count > 0 ? listen->sval[0] : address->sval[0],
        .service = service->sval[0],
        .controls = g_strsplit(controls->sval[0], ",", -1),
        .started_ms = g_get_real_time() / 1000,
        .beat_ms = beat->count > 0 ? beat->ival[0] : 300,
        .slots = slots->count > 0 ? slots->ival[0] : 8,
        .log = fopen(log->filename[0], "a"),
    };
    char *arrivals = g_strconcat(log->filename[0], ".arrivals", NULL);
    endpoint.arrivals = fopen(arrivals, "a");
    g_free(arrivals);
    endpoint.refused = g_array_new(FALSE, FALSE, sizeof(gint64));
    endpoint.brittle_path = g_strconcat(log->filename[0], ".brittle", NULL);
    endpoint.limit_path = g_strconcat(log->filename[0], ".limit", NULL);
    endpoint.rest_path = g_strconcat(log->filename[0], ".rest", NULL);
    endpoint.fault_path = g_strconcat(log->filename[0], ".fault", NULL);
    endpoint.leaving_path = g_strconcat(log->filename[0], ".leaving", NULL);
    if (endpoint.log == NULL || endpoint.arrivals == NULL) {
        fprintf(stderr, "can not write %s\n", log->filename[0]);
        return 1;
    }
    log_moment(&endpoint, "started", STR(""));
    int code = endpoint_run(&endpoint);
    fclose(endpoint.log);
    fclose(endpoint.arrivals);
    g_free(endpoint.limit_path);
    g_free(endpoint.brittle_path);
    g_array_unref(endpoint.refused);
    g_free(endpoint.rest_path);
    g_free(endpoint.leaving_path);
    g_free(endpoint.fault_path);
    g_strfreev(endpoint.controls);
    arg_freetable(table, G_N_ELEMENTS(table));
    return code;
}
