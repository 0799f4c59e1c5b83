#include "carobloom/common/counters.h"
#include "carobloom/policy/placement.h"
#include "forward_state.h"

enum {
    MS = 1000,
    /* Used when the caller names no deadline. */
    DEADLINE_DEFAULT_MS = 60000,
    STATUS_MAX = 999, /* highest HTTP status that is counted */
    /* A repeatable request is sent to another endpoint if its endpoint is
     * silent for SILENCE_TARGETS times the latency target of the route, at
     * least for SILENCE_MIN_US; within a stream for STREAM_SILENCE_US. */
    SILENCE_TARGETS = 3,
    SILENCE_MIN_US = 250 * MS,
    STREAM_SILENCE_US = 1500 * MS,
    /* Retries of quarantined requests are spread this widely, since each of
     * them is a probe. */
    QUARANTINED_SPREAD_MS = 10000,
    LIMITED_SPREAD_MS = 50,
    /* Callers refused while all endpoints rest return this much later for each
     * rank below the most urgent, spread over at least REST_SPREAD_MS. The
     * spread grows with the rest, because more callers are refused in a longer
     * one. */
    REST_RANK_DELAY_MS = 100,
    REST_SPREAD_MS = 250,
    REST_PER_SPREAD = 4,
};

/* Retry-After of a refused request: `min_ms` plus a random part of up to
 * `spread_ms`, so that callers do not all retry at the same time. */
typedef struct {
    gint min_ms;
    gint spread_ms;
} retry_after_t;

/* A slot becomes free within the run time of a request: some 15 ms at a plain
 * server, and a second at an engine whose slots are taken by long prompts. */
static const retry_after_t AFTER_SHORT_PROMPT = {150, 350};
static const retry_after_t AFTER_LONG_PROMPT = {600, 800};
/* A quarantined request is probed within seconds if it is uncertain that the
 * request causes the crashes. */
static const retry_after_t AFTER_UNCERTAIN = {1000, 2000};
/* The configuration of an instance that has just started, or was disconnected,
 * is confirmed once a leader is elected, within about two seconds. */
static const retry_after_t AFTER_UNCONFIRMED = {1200, 800};

gint64
forward_now(const forward_t *f)
{
    return entry_now(f->entry);
}

/* ---- end of a request ---- */

/* Counters live as long as the process, so each is looked up once. */
static counter_t *
outcome_counter(guint status)
{
    static counter_t *counters[STATUS_MAX + 1];
    counter_t **counter = &counters[MIN(status, STATUS_MAX)];
    if (*counter == NULL) {
        char label[32];
        g_snprintf(label, sizeof(label), "status=\"%u\"", status);
        *counter = counter_get("requests_total", label, FALSE);
    }
    return *counter;
}

static void
count_outcome(const forward_t *f, guint status)
{
    static histogram_t *first_byte;
    static histogram_t *whole;
    if (whole == NULL) {
        first_byte = histogram_get("first_byte_seconds", NULL);
        whole = histogram_get("request_seconds", NULL);
    }
    counter_add(outcome_counter(status), 1);
    if (f->first_output_us != 0) {
        histogram_add(first_byte,
                      (double)(f->first_output_us - f->started_us) / 1e6);
    }
    histogram_add(whole, (double)(forward_now(f) - f->started_us) / 1e6);
}

request_send_t *
request_send_create(forward_t *f)
{
    request_send_t *s = g_new0(request_send_t, 1);
    s->request = f;
    s->fields = g_string_new(NULL);
    s->body = g_byte_array_new();
    event_stream_init(&s->events);
    return s;
}

void
request_send_drop_body(request_send_t *s)
{
    if (s->body->len == 0) {
        return;
    }
    s->request->entry->buffered_bytes -= s->body->len;
    /* An array that is emptied keeps its memory, which nobody would count. */
    g_byte_array_unref(s->body);
    s->body = g_byte_array_new();
}

void
request_send_free(request_send_t *s)
{
    if (s->call != NULL) {
        client_call_cancel(s->call);
    }
    request_send_detach(s);
    if (s->fields != NULL) {
        g_string_free(s->fields, TRUE);
    }
    s->request->entry->buffered_bytes -= s->body->len;
    g_byte_array_unref(s->body);
    event_stream_clear(&s->events);
    g_free(s);
}

void
request_send_end_prefill(request_send_t *s)
{
    endpoint_end_prefill(s->endpoint, s->request->info.prompt_tokens,
                         s->waiting_tokens);
    s->waiting_tokens = 0;
}

void
request_send_detach(request_send_t *s)
{
    forward_t *f = s->request;
    request_send_release_helper(s);
    if (f->taken_up_by == s) {
        f->taken_up_by = NULL;
    }
    if (s->endpoint == NULL) {
        return;
    }
    directory_remove_request(f->entry->directory, s->endpoint,
                             f->info.prompt_tokens);
    slot_link_end(f->entry->slot_link, s->endpoint,
                  s->is_abandoned || s->call != NULL);
    request_send_end_prefill(s);
    s->call = NULL;
    s->endpoint = NULL;
}

void
request_send_cancel(request_send_t *s)
{
    if (s->call == NULL) {
        return;
    }
    if (client_call_sent(s->call)) {
        s->request->runs++;
        request_send_count_interrupted(s);
    }
    client_call_cancel(s->call);
    s->is_abandoned = TRUE;
    s->call = NULL;
}

void
forward_count_run(forward_t *f)
{
    if (!f->run_counted) {
        f->run_counted = TRUE;
        usage_link_count(f->entry->usage_link,
                         f->team != NULL ? f->team->name : NULL);
    }
}

void
request_send_count_interrupted(request_send_t *s)
{
    forward_t *f = s->request;
    double waited_ms = (double)(forward_now(f) - s->sent_us) / MS;
    double tokens = (double)s->waiting_tokens_at_send + s->waiting_tokens;
    if (f->info.prompt_tokens == 0 ||
        waited_ms >=
            engine_model_first_ms(&f->service_state->engine, tokens)) {
        forward_count_run(f);
    }
}

static void
forward_free(forward_t *f)
{
    entry_t *e = f->entry;
    timers_cancel(e->timers, f->timer);
    if (f->service_state != NULL) {
        slot_link_end_wait(&f->service_state->slots, &f->waiter);
    }
    forward_cancel_silent(f);
    g_clear_pointer(&f->silent, g_ptr_array_unref);
    g_clear_pointer(&f->shared_parts, g_array_unref);
    request_send_free(f->send);
    e->requests_in_flight--;
    g_clear_pointer(&f->config, route_config_unref);
    g_free(f);
}

static retry_after_t
limited_retry_after(const forward_t *f)
{
    double rate = limit_link_rate(f->entry->limit_link, f->service);
    gint ms = limit_retry_ms(&f->service_state->limit_retry, rate,
                             g_rand_double(f->entry->random), forward_now(f));
    return (retry_after_t){.min_ms = ms, .spread_ms = LIMITED_SPREAD_MS};
}

static retry_after_t
rest_retry_after(const forward_t *f, gint64 left_us)
{
    gint left_ms = (gint)(left_us / MS);
    return (retry_after_t){
        .min_ms = left_ms + forward_priority(f) * REST_RANK_DELAY_MS,
        .spread_ms = REST_SPREAD_MS + left_ms / REST_PER_SPREAD};
}

static retry_after_t
retry_after_of(const forward_t *f)
{
    gint64 rest_us = 0;
    if (f->quarantined != NULL && f->quarantined->uncertain) {
        return AFTER_UNCERTAIN;
    }
    /* A retry before the end of the quarantine would be refused again. */
    if (f->quarantined != NULL) {
        gint64 left_us = f->quarantined->until_us - forward_now(f);
        return (retry_after_t){.min_ms = (gint)(left_us / MS),
                               .spread_ms = QUARANTINED_SPREAD_MS};
    }
    if (!entry_is_confirmed(f->entry)) {
        return AFTER_UNCONFIRMED;
    }
    if (f->service != NULL) {
        rest_us = rest_watch_refuse(f->entry->rests, f->service, f->info.id);
    }
    if (rest_us > 0) {
        return rest_retry_after(f, rest_us);
    }
    if (placement_is_limited(&f->placement_counts)) {
        return limited_retry_after(f);
    }
    return prompt_is_long(f->info.prompt_tokens) ? AFTER_LONG_PROMPT
                                                 : AFTER_SHORT_PROMPT;
}

/* Answers the request with a status of this instance, not of an endpoint.
 * Frees the request. */
static void
answer_locally(forward_t *f, guint status, const char *reason)
{
    entry_t *e = f->entry;
    http_exchange_t *exchange = f->exchange;
    GString *fields = g_string_new("Content-Type: text/plain\r\n");
    if (f->info.id.length > 0) {
        platform_answer_encode_id(fields, f->info.id);
    }
    if (status == 503 || status == 429) {
        retry_after_t after = retry_after_of(f);
        gint ms =
            after.min_ms + g_rand_int_range(e->random, 0, after.spread_ms);
        g_string_append_printf(fields, "Retry-After: %.3f\r\n",
                               (double)ms / 1000);
    }
    forward_log_outcome(f, status, reason);
    count_outcome(f, status);
    if (placement_is_limited(&f->placement_counts)) {
        counter_add(counter_get("requests_refused_limited_total", NULL, FALSE),
                    1);
    }
    http_exchange_set_data(exchange, NULL);
    forward_free(f);
    http_exchange_answer(exchange, status,
                         (str_t){.data = fields->str, .length = fields->len},
                         str_from_cstr(reason));
    g_string_free(fields, TRUE);
}

void
forward_fail(forward_t *f, const char *reason)
{
    http_exchange_t *exchange = f->exchange;
    if (forward_return_to_silent(f)) {
        return;
    }
    forward_cancel_silent(f);
    if (f->head_sent) {
        forward_log_outcome(f, 502, reason);
        count_outcome(f, 502);
        http_exchange_set_data(exchange, NULL);
        forward_free(f);
        http_exchange_abort(exchange);
        return;
    }
    gboolean expired = forward_now(f) >= f->deadline_us;
    answer_locally(f, f->runs == 0 ? 503 : expired ? 504 : 502, reason);
}

void
forward_deliver(forward_t *f)
{
    http_exchange_t *exchange = f->exchange;
    GString *fields = g_steal_pointer(&f->send->fields);
    GByteArray *body = g_byte_array_ref(f->send->body);
    guint status = f->send->status;
    if (status < 500 && !f->send->not_run) {
        forward_record_answered(f);
    }
    forward_log_outcome(f, status, "answered");
    count_outcome(f, status);
    http_exchange_set_data(exchange, NULL);
    forward_free(f);
    http_exchange_answer(
        exchange, status, (str_t){.data = fields->str, .length = fields->len},
        (str_t){.data = (const char *)body->data, .length = body->len});
    g_string_free(fields, TRUE);
    g_byte_array_unref(body);
}

void
forward_finish(forward_t *f)
{
    http_exchange_t *exchange = f->exchange;
    forward_record_answered(f);
    forward_log_outcome(f, f->send->status, "answered");
    count_outcome(f, f->send->status);
    http_exchange_set_data(exchange, NULL);
    forward_free(f);
    http_exchange_finish(exchange);
}

/* ---- timers ---- */

/* The time at which the request is sent to another endpoint if its endpoint
 * is silent until then; G_MAXINT64: never. */
static gint64
silence_deadline_us(const forward_t *f)
{
    const request_send_t *s = f->send;
    if (s->call == NULL || s->paused || !route_repeatable(f->route) ||
        forward_possible_runs(f) + 1 >= f->route->max_attempts) {
        return G_MAXINT64;
    }
    if (f->has_event) {
        gint64 since = MAX(s->last_byte_us, s->sent_us);
        return MAX(since, s->silent_from_us) + STREAM_SILENCE_US;
    }
    gint64 silence_us = MAX(SILENCE_TARGETS * f->route->target_ms * MS,
                            (gint64)SILENCE_MIN_US);
    return MAX(s->sent_us, s->silent_from_us) + silence_us;
}

static void
each_send(forward_t *f, void (*visit)(request_send_t *s))
{
    visit(f->send);
    for (guint i = 0; f->silent != NULL && i < f->silent->len; i++) {
        visit(f->silent->pdata[i]);
    }
}

static void
on_timer(void *data)
{
    forward_t *f = data;
    gint64 now = forward_now(f);
    f->timer = 0;
    if (now >= f->deadline_us) {
        request_send_record_silence(f->send);
        each_send(f, request_send_record_abandoned);
        request_send_cancel(f->send);
        forward_fail(f, "time is up");
        return;
    }
    if (f->taken_up_by != NULL && now >= f->handover_us) {
        request_send_choose(f->taken_up_by);
    }
    if (f->waiter.is_waiting && now >= f->slot_wait_until_us) {
        forward_give_up_slot(f);
        return;
    }
    if (now >= silence_deadline_us(f)) {
        forward_handle_silence(f);
        return;
    }
    if (now >= request_send_silence_check_us(f->send)) {
        request_send_check_silence(f->send);
    }
    forward_set_timer(f);
}

void
forward_set_timer(forward_t *f)
{
    entry_t *e = f->entry;
    gint64 until = MIN(MIN(f->deadline_us, silence_deadline_us(f)),
                       request_send_silence_check_us(f->send));
    if (f->taken_up_by != NULL) {
        until = MIN(until, f->handover_us);
    }
    if (f->waiter.is_waiting) {
        until = MIN(until, f->slot_wait_until_us);
    }
    timers_cancel(e->timers, f->timer);
    f->timer = timers_subscribe(e->timers, MAX(until - forward_now(f), 0), 0,
                                on_timer, f);
}

/* ---- admission ---- */

/* Returns the status with which a request is denied. A configuration that is
 * or may be outdated is no reason to deny it: the route or the key may exist
 * in a newer one. The caller gets 503. */
static guint
deny(const entry_t *e, guint status, const char *fault, const char **reason)
{
    if (!entry_is_confirmed(e)) {
        *reason = "the configuration may be old";
        return 503;
    }
    if (e->newer_config_since_us != 0) {
        *reason = "a newer configuration has not arrived yet";
        return 503;
    }
    *reason = fault;
    return status;
}

/* Returns 0 if the request is admitted, else the status and reason of its
 * refusal. */
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
    if (e->is_short_of_memory) {
        *reason = "the memory of this instance is nearly used up";
        return 503;
    }
    if (!memory_admits(entry_memory_bytes(e), entry_answer_bytes(e))) {
        *reason = "answers that are not read fill the memory";
        return 503;
    }
    f->config = route_config_ref(e->config);
    f->route =
        route_config_match(f->config, f->info.host,
                           http_head_target(http_exchange_head(f->exchange)));
    if (f->route == NULL) {
        return deny(e, 404, "no route", reason);
    }
    if (f->config->keyed && !f->route->open) {
        if (!entry_is_confirmed(e)) {
            *reason = "the configuration may be old";
            return 503;
        }
        f->team = route_config_team(f->config, f->info.key);
        if (f->team == NULL) {
            return deny(e, 401, "unknown key", reason);
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
    f->send = request_send_create(f);
    platform_request_decode(http_exchange_head(exchange), &f->info);
    http_exchange_set_data(exchange, f);
    e->requests_in_flight++;
    guint status = admit(f, &reason);
    if (status != 0) {
        answer_locally(f, status, reason);
        return;
    }
    gint64 wait_ms =
        f->info.deadline_ms > 0 ? f->info.deadline_ms : DEADLINE_DEFAULT_MS;
    f->deadline_us = f->started_us + MIN(wait_ms, f->route->timeout_ms) * MS;
    f->service = route_pick(
        f->route, f->route->weight_sum == 1
                      ? 0
                      : (guint)g_rand_int_range(e->random, 0,
                                                (gint)f->route->weight_sum));
    f->service_state = entry_service_state(e, f->service);
    f->service_state->arrived++;
    prompt_sample_t sample = {.prompt_tokens = f->info.prompt_tokens,
                              .target_ms = f->route->target_ms,
                              .pause_ms = f->route->pause_ms,
                              .priority = f->route->priority};
    prompt_mix_record(&f->service_state->prompts, sample, forward_now(f));
    repeat_link_record_first(e->repeat_link, f->service_state->budget);
    forward_send(f);
}

static void
leave_endpoint(request_send_t *s)
{
    if (s->call != NULL && client_call_sent(s->call)) {
        request_send_count_interrupted(s);
    }
    request_send_record_abandoned(s);
}

/* Gives the request up since its caller has left. */
static void
give_up(forward_t *f)
{
    each_send(f, leave_endpoint);
    forward_log_outcome(f, 499, "the caller left");
    count_outcome(f, 499);
    forward_free(f);
}

void
forward_gone(http_exchange_t *exchange)
{
    forward_t *f = http_exchange_data(exchange);
    if (f != NULL) {
        give_up(f);
    }
}

void
forward_end(http_exchange_t *exchange)
{
    forward_t *f = http_exchange_data(exchange);
    if (f == NULL) {
        http_exchange_abort(exchange);
        return;
    }
    each_send(f, request_send_record_abandoned);
    forward_cancel_silent(f);
    request_send_cancel(f->send);
    forward_fail(f, "this instance is ending");
}

gboolean
forward_give_up_if_left(forward_t *f)
{
    http_exchange_t *exchange = f->exchange;
    if (!http_exchange_has_left(exchange)) {
        return FALSE;
    }
    counter_add(counter_get("requests_withdrawn_total", NULL, FALSE), 1);
    http_exchange_set_data(exchange, NULL);
    give_up(f);
    http_exchange_abort(exchange);
    return TRUE;
}

void
forward_drained(http_exchange_t *exchange)
{
    forward_t *f = http_exchange_data(exchange);
    if (f == NULL || !f->send->paused || f->send->call == NULL) {
        return;
    }
    f->send->paused = FALSE;
    f->send->silent_from_us = forward_now(f);
    forward_set_timer(f);
    client_call_read(f->send->call, TRUE);
}
