#include <string.h>

#include "carobloom/common/counters.h"
#include "carobloom/common/event_log.h"
#include "entry_state.h"
#include "event_stream.h"
#include "platform.h"

enum {
    MS = 1000,
    /* Answers held whole before they go on: a part that is lost can still be
     * made good by another endpoint. Plain answers met so far have 5 KB. */
    ANSWER_MAX = 16 * 1024 * 1024,
    /* Towards a caller that reads slowly; beyond it the endpoint waits. */
    BACKLOG_MAX = 128 * 1024,
    /* Connections that fail before a byte left may be tried elsewhere at
     * once; so many endpoints that are all gone mean that more will not
     * help. */
    SENDS_MAX = 6,
    ENDPOINT_NAME_MAX = 64,
    CONNECT_US = 250 * MS, /* a round trip and a busy endpoint, many times */
    ENDPOINT_IDLE_US = 8 * G_USEC_PER_SEC,
    ENDPOINT_IDLE_MAX = 64,
    ANSWER_HEAD_MAX = 65536,
    /* Without word of how long a caller waits. */
    DEADLINE_DEFAULT_MS = 60000,
    /* Less than this is not worth an endpoint's work. */
    DEADLINE_LEAST_MS = 5,
    /* A silent endpoint is left, where the request may repeat, after this
     * many objectives, or this long within a stream. */
    PATIENCE_TARGETS = 3,
    /* A service that got no long prompt for so long is not parted. */
    LONG_REMEMBERED_US = 60 * G_USEC_PER_SEC,
    PATIENCE_LEAST_US = 250 * MS,
    STREAM_SILENCE_US = 1500 * MS,
};

static const http_peer_limits_t ENDPOINT_LIMITS = {
    .connect_us = CONNECT_US,
    .idle_us = ENDPOINT_IDLE_US,
    .idle_max = ENDPOINT_IDLE_MAX,
    .head_max = ANSWER_HEAD_MAX,
};

/* When a refused caller should come back: spread, so that callers do not
 * return together. */
typedef struct {
    gint least_ms;
    gint spread_ms;
} retry_after_t;

/* A place comes free within a request's work, some 15 ms at a plain server
 * and a second at an engine whose places long prompts hold. */
static const retry_after_t AFTER_SHORT = {150, 350};
static const retry_after_t AFTER_LONG = {600, 800};
/* An instance that has just started, or is cut off, has its configuration
 * confirmed once a leader is elected: within about two seconds. */
static const retry_after_t AFTER_START = {1200, 800};

/* One request of a caller, until it is answered. */
typedef struct {
    entry_t *entry;
    http_exchange_t *exchange;
    route_config_t *config; /* the version it started with */
    const route_t *route;
    const team_t *team; /* NULL: none is needed */
    const char *service;
    service_use_t *use;
    request_info_t info;
    gint64 started_us;
    gint64 final_us; /* it is answered by then */
    guint64 timer;
    /* where it runs */
    endpoint_t *endpoint;
    char last_endpoint[ENDPOINT_NAME_MAX]; /* its id, for the log */
    client_call_t *call;
    gint64 sent_us;
    guint waiting_tokens; /* that it added to the endpoint's */
    const endpoint_t *tried[PLACEMENT_TRIED_MAX];
    guint sends;
    guint runs;     /* sends that may have run */
    guint refusals; /* sends that an endpoint refused */
    /* the answer */
    guint status;
    gboolean not_run;
    gboolean streaming; /* events; passed on as they come */
    gboolean begun;     /* its head went to the caller */
    GString *fields;
    GByteArray *body;
    event_stream_t events;
    gboolean has_event;
    guint64 last_event;
    gint64 progress_us; /* the last byte of the answer */
    gint64 first_us;
    gboolean paused;
} forward_t;

static void forward_send(forward_t *f);
static void forward_arm(forward_t *f);

static gint64
now_of(const forward_t *f)
{
    return entry_now(f->entry);
}

/* ---- the end of a request ---- */

static void
log_outcome(const forward_t *f, guint status, const char *reason)
{
    gboolean well = status < 400;
    if (!event_log_begin(well ? EVENT_ROUTINE : EVENT_FAILURE, "request")) {
        return;
    }
    event_log_text("request", f->info.id);
    event_log_number("status", status);
    event_log_cstr("reason", reason);
    event_log_cstr("route", f->route ? f->route->name : "");
    event_log_cstr("team", f->team ? f->team->name : "");
    event_log_cstr("service", f->service ? f->service : "");
    event_log_cstr("endpoint", f->last_endpoint);
    event_log_number("config_version",
                     f->config ? (gint64)f->config->version : 0);
    event_log_number("config_age_ms", entry_config_age_ms(f->entry));
    event_log_number("loads_age_ms", (now_of(f) - f->entry->loads_us) / MS);
    event_log_number("sends", f->sends);
    event_log_number("runs", f->runs);
    event_log_number("refusals", f->refusals);
    event_log_number("elapsed_ms", (now_of(f) - f->started_us) / MS);
    if (f->first_us != 0) {
        event_log_number("first_ms", (f->first_us - f->started_us) / MS);
    }
    event_log_end();
}

static void
count_outcome(const forward_t *f, guint status)
{
    char label[32];
    g_snprintf(label, sizeof(label), "status=\"%u\"", status);
    counter_add(counter_get("requests_total", label, FALSE), 1);
    if (f->first_us != 0) {
        histogram_add(histogram_get("first_byte_seconds", NULL),
                      (double)(f->first_us - f->started_us) / 1e6);
    }
    histogram_add(histogram_get("request_seconds", NULL),
                  (double)(now_of(f) - f->started_us) / 1e6);
}

/* Takes the request off its endpoint; the call is over or cancelled. */
static void
leave_endpoint(forward_t *f)
{
    if (f->endpoint == NULL) {
        return;
    }
    f->endpoint->running--;
    if (f->waiting_tokens > 0 || f->first_us == 0) {
        f->endpoint->waiting_tokens -=
            MIN(f->endpoint->waiting_tokens, f->waiting_tokens);
        f->waiting_tokens = 0;
    }
    f->call = NULL;
    f->endpoint = NULL;
}

static void
forward_free(forward_t *f)
{
    entry_t *e = f->entry;
    timers_cancel(e->timers, f->timer);
    if (f->call != NULL) {
        client_call_cancel(f->call);
    }
    leave_endpoint(f);
    e->forwards--;
    if (f->fields != NULL) {
        g_string_free(f->fields, TRUE);
    }
    g_byte_array_unref(f->body);
    event_stream_clear(&f->events);
    g_clear_pointer(&f->config, route_config_unref);
    g_free(f);
}

static retry_after_t
retry_after_of(const forward_t *f)
{
    if (!entry_is_confirmed(f->entry)) {
        return AFTER_START;
    }
    return placement_is_long(f->info.prompt_tokens) ? AFTER_LONG : AFTER_SHORT;
}

/* A whole answer of this system's own. */
static void
answer_own(forward_t *f, guint status, const char *reason)
{
    entry_t *e = f->entry;
    http_exchange_t *exchange = f->exchange;
    GString *fields = g_string_new("Content-Type: text/plain\r\n");
    if (f->info.id.length > 0) {
        http_write_field(fields, STR("Request-Id"), f->info.id);
    }
    if (status == 503 || status == 429) {
        retry_after_t after = retry_after_of(f);
        gint ms =
            after.least_ms + g_rand_int_range(e->random, 0, after.spread_ms);
        g_string_append_printf(fields, "Retry-After: %.3f\r\n",
                               (double)ms / 1000);
    }
    log_outcome(f, status, reason);
    count_outcome(f, status);
    http_exchange_set_data(exchange, NULL);
    forward_free(f);
    http_exchange_answer(exchange, status,
                         (str_t){.data = fields->str, .length = fields->len},
                         str_from_cstr(reason));
    g_string_free(fields, TRUE);
}

/* Gives up: what is said depends on whether it may have run. */
static void
give_up(forward_t *f, const char *reason)
{
    http_exchange_t *exchange = f->exchange;
    if (f->begun) {
        log_outcome(f, 502, reason);
        count_outcome(f, 502);
        http_exchange_set_data(exchange, NULL);
        forward_free(f);
        http_exchange_abort(exchange);
        return;
    }
    gboolean late = now_of(f) >= f->final_us;
    answer_own(f, f->runs == 0 ? 503 : late ? 504 : 502, reason);
}

/* The endpoint's answer, whole. */
static void
deliver(forward_t *f)
{
    http_exchange_t *exchange = f->exchange;
    GString *fields = g_steal_pointer(&f->fields);
    GByteArray *body = g_byte_array_ref(f->body);
    guint status = f->status;
    log_outcome(f, status, "answered");
    count_outcome(f, status);
    http_exchange_set_data(exchange, NULL);
    forward_free(f);
    http_exchange_answer(
        exchange, status, (str_t){.data = fields->str, .length = fields->len},
        (str_t){.data = (const char *)body->data, .length = body->len});
    g_string_free(fields, TRUE);
    g_byte_array_unref(body);
}

/* ---- repeating ---- */

static gboolean
may_repeat(forward_t *f)
{
    if (f->runs > 0 &&
        (!route_repeatable(f->route) || f->runs >= f->route->max_attempts)) {
        return FALSE;
    }
    if (f->begun && !f->route->resumable) {
        return FALSE;
    }
    return f->sends < SENDS_MAX &&
           f->final_us - now_of(f) > DEADLINE_LEAST_MS * MS;
}

/* Sends it to another endpoint, or ends it. `arrived` tells whether the last
 * one got it, so that one more counts as a repeat there. */
static void
repeat_or_give_up(forward_t *f, gboolean arrived, const char *reason)
{
    entry_t *e = f->entry;
    repeat_limits_t limits = entry_repeat_limits(e);
    leave_endpoint(f);
    if (!may_repeat(f) ||
        (arrived && !repeat_budget_take(&f->use->budget, &limits, e->entries,
                                        now_of(f)))) {
        give_up(f, reason);
        return;
    }
    if (event_log_begin(EVENT_FAILURE, "repeat")) {
        event_log_text("request", f->info.id);
        event_log_cstr("reason", reason);
        event_log_cstr("endpoint", f->last_endpoint);
        event_log_number("sends", f->sends);
        event_log_number("runs", f->runs);
        event_log_number("elapsed_ms", (now_of(f) - f->started_us) / MS);
        event_log_end();
    }
    counter_add(counter_get("repeats_total", NULL, FALSE), 1);
    forward_send(f);
}

static void
note_endpoint(forward_t *f, endpoint_outcome_t outcome)
{
    if (f->endpoint != NULL) {
        endpoint_note(f->endpoint, outcome, now_of(f));
    }
}

/* ---- the answer of an endpoint ---- */

static gboolean
is_event_stream(const http_head_t *head)
{
    str_t type;
    return http_head_find(head, "Content-Type", &type) &&
           str_has_prefix(type, STR("text/event-stream"));
}

static void
keep_fields(forward_t *f, const http_head_t *head)
{
    g_string_truncate(f->fields, 0);
    for (guint i = 0; i < head->fields->len; i++) {
        str_t name = http_field_name(head, i);
        if (!http_field_is_hop(head, i) &&
            !http_name_is(name, "Content-Length")) {
            http_write_field(f->fields, name, http_field_value(head, i));
        }
    }
}

static call_verdict_t
on_answer_head(client_call_t *call, const http_head_t *head, void *user)
{
    (void)call;
    forward_t *f = user;
    answer_info_t answer;
    str_t encoding;
    platform_answer_decode(head, &answer);
    gboolean success = head->status >= 200 && head->status < 300;
    if (answer.id.length > 0 && !str_equal(answer.id, f->info.id)) {
        counter_add(counter_get("answers_of_others_total", NULL, FALSE), 1);
        return CALL_SKIP;
    }
    if (success && (!answer.sealed || answer.id.length == 0 ||
                    http_head_find(head, "Content-Encoding", &encoding))) {
        return CALL_REFUSE;
    }
    f->not_run = answer.not_run;
    f->progress_us = now_of(f);
    if (f->begun) {
        f->streaming = success;
        f->status = head->status;
        return CALL_TAKE;
    }
    f->status = head->status;
    f->streaming = success && is_event_stream(head);
    keep_fields(f, head);
    g_byte_array_set_size(f->body, 0);
    return CALL_TAKE;
}

static void
note_first(forward_t *f)
{
    if (f->waiting_tokens > 0) {
        f->endpoint->waiting_tokens -=
            MIN(f->endpoint->waiting_tokens, f->waiting_tokens);
        f->waiting_tokens = 0;
    }
    if (f->first_us == 0) {
        f->first_us = now_of(f);
    }
}

static void
on_event(str_t bytes, guint64 id, void *user)
{
    forward_t *f = user;
    if (id != G_MAXUINT64) {
        if (f->has_event && id <= f->last_event) {
            return; /* the caller has it */
        }
        f->has_event = TRUE;
        f->last_event = id;
    }
    note_first(f);
    if (!f->begun) {
        f->begun = TRUE;
        http_exchange_begin(
            f->exchange, f->status,
            (str_t){.data = f->fields->str, .length = f->fields->len});
    }
    http_exchange_write(f->exchange, bytes);
}

static void
on_answer_body(client_call_t *call, str_t bytes, void *user)
{
    forward_t *f = user;
    f->progress_us = now_of(f);
    if (!f->streaming) {
        if (f->body->len + bytes.length <= ANSWER_MAX) {
            g_byte_array_append(f->body, (const guint8 *)bytes.data,
                                (guint)bytes.length);
        }
        return;
    }
    if (event_stream_feed(&f->events, bytes, on_event, f) != EVENT_STREAM_OK) {
        event_stream_reset(&f->events);
        counter_add(counter_get("events_too_long_total", NULL, FALSE), 1);
    }
    if (f->begun && http_exchange_backlog(f->exchange) > BACKLOG_MAX) {
        f->paused = TRUE;
        client_call_read(call, FALSE);
    }
}

static void
finish_stream(forward_t *f)
{
    http_exchange_t *exchange = f->exchange;
    if (!event_stream_at_boundary(&f->events)) {
        note_endpoint(f, ENDPOINT_BROKE);
        f->runs++;
        repeat_or_give_up(f, TRUE, "the stream ended within an event");
        return;
    }
    note_endpoint(f, ENDPOINT_SERVED);
    if (!f->begun) {
        f->streaming = FALSE;
        deliver(f);
        return;
    }
    log_outcome(f, f->status, "answered");
    count_outcome(f, f->status);
    http_exchange_set_data(exchange, NULL);
    forward_free(f);
    http_exchange_finish(exchange);
}

/* The endpoint says that it did not run the request. */
static void
handle_not_run(forward_t *f)
{
    f->refusals++;
    note_endpoint(f, f->status == 421 ? ENDPOINT_MISDIRECTED : ENDPOINT_FULL);
    if (f->status == 400 && !f->begun) {
        deliver(f);
        return;
    }
    repeat_or_give_up(f, TRUE, "refused by the endpoint");
}

static void
on_answer_done(client_call_t *call, void *user)
{
    (void)call;
    forward_t *f = user;
    f->call = NULL;
    if (f->not_run) {
        handle_not_run(f);
        return;
    }
    if (f->streaming) {
        finish_stream(f);
        return;
    }
    gboolean erred = f->status >= 500;
    note_endpoint(f, erred ? ENDPOINT_ERRED : ENDPOINT_SERVED);
    if (f->begun) {
        f->runs++;
        repeat_or_give_up(f, TRUE, "a resumed stream was not taken up");
        return;
    }
    if (erred && route_repeatable(f->route)) {
        f->runs++;
        repeat_limits_t limits = entry_repeat_limits(f->entry);
        if (may_repeat(f) &&
            repeat_budget_take(&f->use->budget, &limits, f->entry->entries,
                               now_of(f))) {
            leave_endpoint(f);
            forward_send(f);
            return;
        }
    }
    note_first(f);
    deliver(f);
}

static void
on_answer_failed(client_call_t *call, call_failure_t failure, void *user)
{
    static const char *const REASONS[] = {
        [CALL_FAILED_UNSENT] = "the endpoint could not be reached",
        [CALL_FAILED_SENT] = "the endpoint closed without an answer",
        [CALL_FAILED_CUT] = "the endpoint's answer broke off",
        [CALL_FAILED_SYNTAX] = "the endpoint's answer is not one",
    };
    (void)call;
    forward_t *f = user;
    f->call = NULL;
    gboolean arrived = failure != CALL_FAILED_UNSENT;
    note_endpoint(f, arrived ? ENDPOINT_BROKE : ENDPOINT_UNREACHABLE);
    f->runs += arrived;
    repeat_or_give_up(f, arrived, REASONS[failure]);
}

static const client_call_ops_t CALL_OPS = {.head = on_answer_head,
                                           .body = on_answer_body,
                                           .done = on_answer_done,
                                           .failed = on_answer_failed};

/* ---- time ---- */

/* When a silent endpoint is left for another; G_MAXINT64: never. */
static gint64
patience_until(const forward_t *f)
{
    if (f->call == NULL || !route_repeatable(f->route) ||
        f->runs + 1 >= f->route->max_attempts) {
        return G_MAXINT64;
    }
    if (f->has_event) {
        return MAX(f->progress_us, f->sent_us) + STREAM_SILENCE_US;
    }
    gint64 patience = MAX(PATIENCE_TARGETS * f->route->target_ms * MS,
                          (gint64)PATIENCE_LEAST_US);
    return f->sent_us + patience;
}

static void
on_time(void *data)
{
    forward_t *f = data;
    gint64 now = now_of(f);
    f->timer = 0;
    if (now >= f->final_us) {
        if (f->call != NULL) {
            f->runs += client_call_sent(f->call);
            client_call_cancel(f->call);
            f->call = NULL;
        }
        give_up(f, "time is up");
        return;
    }
    if (now >= patience_until(f)) {
        note_endpoint(f, ENDPOINT_BROKE);
        f->runs += client_call_sent(f->call);
        client_call_cancel(f->call);
        f->call = NULL;
        repeat_or_give_up(f, TRUE, "the endpoint is silent");
        return;
    }
    forward_arm(f);
}

static void
forward_arm(forward_t *f)
{
    entry_t *e = f->entry;
    gint64 until = MIN(f->final_us, patience_until(f));
    timers_cancel(e->timers, f->timer);
    f->timer =
        timers_subscribe(e->timers, MAX(until - now_of(f), 0), 0, on_time, f);
}

/* ---- sending ---- */

static void
placement_of(const forward_t *f, placement_request_t *request)
{
    *request = (placement_request_t){
        .parts = f->info.parts,
        .part_count = f->info.part_count,
        .prompt_tokens = f->info.prompt_tokens,
        .parted = f->use->long_us != 0 &&
                  now_of(f) - f->use->long_us < LONG_REMEMBERED_US,
        .data_centre = f->entry->settings->data_centre,
        .tried_count = MIN(f->sends, PLACEMENT_TRIED_MAX),
        .draw = g_rand_int(f->entry->random),
    };
    memcpy(request->tried, f->tried, sizeof(request->tried));
}

static http_peer_t *
peer_of(const forward_t *f, endpoint_t *endpoint)
{
    entry_t *e = f->entry;
    if (endpoint->connections == NULL) {
        http_peer_limits_t limits = ENDPOINT_LIMITS;
        const service_t *service =
            route_config_service(f->config, endpoint->service);
        if (service != NULL && service->connections > 0) {
            limits.connections =
                MAX(service->connections / MAX(e->entries, 2), 4);
        }
        endpoint->connections = http_peer_create(
            e->poller, e->timers, str_from_cstr(endpoint->address), &limits);
    }
    return endpoint->connections;
}

/* The route's rank goes first and the team's decides among equals. The other
 * way round engines preempt an urgent kind for a less urgent one
 * (docs/design/placement.md, round 2). */
static gint
priority_of(const forward_t *f)
{
    enum { RANKS = 2, LOWEST = 9 };
    guint team =
        f->team != NULL && f->team->has_priority ? f->team->priority : 0;
    return (gint)MIN(f->route->priority * RANKS + MIN(team, RANKS - 1),
                     LOWEST);
}

static GString *
request_bytes(const forward_t *f, const endpoint_t *endpoint)
{
    const service_t *service = route_config_service(f->config, f->service);
    forward_info_t info = {
        .deadline_ms = (f->final_us - now_of(f)) / MS,
        .instance = endpoint->id,
        .team = f->team != NULL ? f->team->name : NULL,
        .priority =
            service != NULL && service->slots > 0 ? priority_of(f) : -1,
        .resume = f->has_event || f->info.resumes,
        .last_event = f->has_event ? f->last_event : f->info.last_event,
    };
    return platform_request_encode(http_exchange_head(f->exchange),
                                   http_exchange_body(f->exchange), &info);
}

static void
join_endpoint(forward_t *f, endpoint_t *endpoint,
              const placement_request_t *request)
{
    f->endpoint = endpoint;
    g_strlcpy(f->last_endpoint, endpoint->id, sizeof(f->last_endpoint));
    endpoint->running++;
    f->waiting_tokens = placement_unread(endpoint, request);
    endpoint->waiting_tokens += f->waiting_tokens;
    for (guint i = 0; i < request->part_count; i++) {
        endpoint_note_part(endpoint, request->parts[i].id);
    }
}

static void
forward_send(forward_t *f)
{
    entry_t *e = f->entry;
    const GPtrArray *endpoints = directory_service(e->directory, f->service);
    placement_request_t request;
    placement_of(f, &request);
    endpoint_t *endpoint = endpoints != NULL && endpoints->len > 0
                               ? placement_pick(endpoints, &request, now_of(f))
                               : NULL;
    if (endpoint == NULL) {
        give_up(f, "no endpoint takes it");
        return;
    }
    http_peer_t *peer = peer_of(f, endpoint);
    GString *bytes = request_bytes(f, endpoint);
    f->tried[f->sends % PLACEMENT_TRIED_MAX] = endpoint;
    f->sends++;
    f->not_run = FALSE;
    event_stream_reset(&f->events);
    f->call =
        peer == NULL
            ? NULL
            : client_call_create(
                  peer, (str_t){.data = bytes->str, .length = bytes->len},
                  g_str_equal(http_exchange_head(f->exchange)->method, "HEAD"),
                  &CALL_OPS, f);
    g_string_free(bytes, TRUE);
    f->sent_us = now_of(f);
    if (f->call == NULL) {
        endpoint_note(endpoint, ENDPOINT_FULL, now_of(f));
        repeat_or_give_up(f, FALSE, "no connection to the endpoint is free");
        return;
    }
    join_endpoint(f, endpoint, &request);
    forward_arm(f);
}

/* ---- admission ---- */

/* 0 when it may go on, or the status of its refusal with the reason. */
static guint
admit(forward_t *f, const char **reason)
{
    entry_t *e = f->entry;
    *reason = "";
    if (e->refusing) {
        *reason = "this instance is ending";
        return 503;
    }
    if (e->config == NULL) {
        *reason = "no configuration yet";
        return 503;
    }
    f->config = route_config_ref(e->config);
    f->route =
        route_config_match(f->config, f->info.host,
                           http_head_target(http_exchange_head(f->exchange)));
    /* What is not known to be the newest must not be the reason to deny. */
    gboolean confirmed = entry_is_confirmed(e);
    if (f->route == NULL) {
        *reason = confirmed ? "no route" : "the configuration may be old";
        return confirmed ? 404 : 503;
    }
    if (f->config->keyed && !f->route->open) {
        if (!confirmed) {
            *reason = "the configuration may be old";
            return 503;
        }
        f->team = route_config_team(f->config, f->info.key);
        if (f->team == NULL) {
            *reason = "unknown key";
            return 401;
        }
    }
    return 0;
}

void
forward_create(entry_t *e, http_exchange_t *exchange)
{
    const char *reason;
    forward_t *f = g_new0(forward_t, 1);
    f->entry = e;
    f->exchange = exchange;
    f->started_us = http_exchange_started(exchange);
    f->fields = g_string_new(NULL);
    f->body = g_byte_array_new();
    event_stream_init(&f->events);
    platform_request_decode(http_exchange_head(exchange), &f->info);
    http_exchange_set_data(exchange, f);
    e->forwards++;
    guint status = admit(f, &reason);
    if (status != 0) {
        answer_own(f, status, reason);
        return;
    }
    gint64 wait_ms =
        f->info.deadline_ms > 0 ? f->info.deadline_ms : DEADLINE_DEFAULT_MS;
    f->final_us = f->started_us + MIN(wait_ms, f->route->timeout_ms) * MS;
    f->service = route_pick(
        f->route, f->route->weight_sum == 1
                      ? 0
                      : (guint)g_rand_int_range(e->random, 0,
                                                (gint)f->route->weight_sum));
    repeat_limits_t limits = entry_repeat_limits(e);
    f->use = entry_service(e, f->service);
    if (placement_is_long(f->info.prompt_tokens)) {
        f->use->long_us = now_of(f);
    }
    repeat_budget_note_first(&f->use->budget, &limits, now_of(f));
    forward_send(f);
}

void
forward_gone(http_exchange_t *exchange)
{
    forward_t *f = http_exchange_data(exchange);
    if (f == NULL) {
        return;
    }
    log_outcome(f, 499, "the caller left");
    count_outcome(f, 499);
    forward_free(f);
}

void
forward_drained(http_exchange_t *exchange)
{
    forward_t *f = http_exchange_data(exchange);
    if (f != NULL && f->paused && f->call != NULL) {
        f->paused = FALSE;
        client_call_read(f->call, TRUE);
    }
}
