#include "carobloom/common/counters.h"
#include "carobloom/common/event_log.h"
#include "forward_state.h"

enum {
    MS = 1000,
    /* Answers other than streams are buffered as a whole before they are
     * forwarded. If the connection breaks off before, another endpoint can
     * still answer. Plain answers are about 5 KB. */
    ANSWER_BYTES_MAX = 16 * 1024 * 1024,
};

void
request_send_record_outcome(request_send_t *s, endpoint_outcome_t outcome)
{
    if (s->endpoint != NULL) {
        endpoint_record_outcome(s->endpoint, outcome, forward_now(s->request));
    }
}

static void
log_malformed_limit(const request_send_t *s)
{
    counter_add(counter_get("limits_malformed_total", NULL, FALSE), 1);
    if (event_log_begin(EVENT_FAILURE, "limit_malformed")) {
        event_log_text("request", s->request->info.id);
        event_log_cstr("endpoint", s->endpoint->id);
        event_log_end();
    }
}

/* Records the limit that the endpoint's answer names. Ignores status 421:
 * another endpoint at the same address answered. An answer without a limit
 * means that the endpoint has none, but only if the status is a success:
 * errors may leave out the limit. */
static void
record_limit(const request_send_t *s, const answer_info_t *answer,
             guint status)
{
    limit_link_t *link = s->request->entry->limit_link;
    gboolean success = status >= 200 && status < 300;
    if (s->endpoint == NULL || status == 421) {
        return;
    }
    switch (answer->limit_field) {
    case ANSWER_FIELD_VALID:
        limit_link_record_limit(link, s->endpoint, answer->limit,
                                s->limit_sent_us);
        break;
    case ANSWER_FIELD_MALFORMED:
        log_malformed_limit(s);
        break;
    case ANSWER_FIELD_ABSENT:
        if (success && s->endpoint->limit != NULL) {
            limit_link_record_unlimited(link, s->endpoint, s->limit_sent_us);
        }
        break;
    }
}

/* Records what the endpoint says of itself beside its answer: that it wants
 * rest, or leaves. */
static void
record_notices(request_send_t *s, const answer_info_t *answer, guint status)
{
    const forward_t *f = s->request;
    rest_watch_t *rests = f->entry->rests;
    if (s->endpoint == NULL || status == 421) {
        return;
    }
    if (answer->rest_field == ANSWER_FIELD_VALID && answer->rest_s > 0) {
        s->asked_rest = TRUE;
        rest_watch_record_rest(rests, s->endpoint, answer->rest_s, f->info.id);
    }
    if (answer->rest_field == ANSWER_FIELD_MALFORMED) {
        rest_watch_record_malformed(s->endpoint, "rest_malformed", f->info.id);
    }
    if (answer->leaving_field == ANSWER_FIELD_VALID) {
        rest_watch_record_leaving(rests, s->endpoint, f->info.id);
    }
    if (answer->leaving_field == ANSWER_FIELD_MALFORMED) {
        rest_watch_record_malformed(s->endpoint, "leaving_malformed",
                                    f->info.id);
    }
}

static void
log_brittle(const request_send_t *s, const char *event, double refusals_per_s)
{
    const forward_t *f = s->request;
    if (event_log_begin(EVENT_STATE, event)) {
        event_log_cstr("service", f->service);
        event_log_cstr("endpoint", s->endpoint->id);
        event_log_number("refusals_per_s", (gint64)refusals_per_s);
        event_log_number("instances",
                         instance_count_get(&f->entry->sharing_instances));
        event_log_text("request", f->info.id);
        event_log_end();
    }
}

/* Records whether the endpoints of the service are brittle. Status 421 may
 * come from an endpoint of another service. */
static void
record_brittle(const request_send_t *s, const answer_info_t *answer,
               guint status)
{
    const forward_t *f = s->request;
    slot_link_t *link = f->entry->slot_link;
    slot_service_t *slots = &f->service_state->slots;
    if (s->endpoint == NULL || status == 421) {
        return;
    }
    switch (answer->brittle_field) {
    case ANSWER_FIELD_VALID:
        if (slot_link_record_brittle(link, f->service, slots,
                                     answer->brittle)) {
            log_brittle(s, "endpoints_brittle", answer->brittle);
        }
        break;
    case ANSWER_FIELD_MALFORMED:
        rest_watch_record_malformed(s->endpoint, "brittle_malformed",
                                    f->info.id);
        break;
    case ANSWER_FIELD_ABSENT:
        if (slot_link_record_absent(link, f->service, slots)) {
            log_brittle(s, "endpoints_sturdy", 0);
        }
        break;
    }
}

static void
log_brittle_refusal(const request_send_t *s)
{
    const forward_t *f = s->request;
    const entry_t *e = f->entry;
    const endpoint_t *endpoint = s->endpoint;
    if (!event_log_begin(EVENT_FAILURE, "brittle_refusal")) {
        return;
    }
    event_log_text("request", f->info.id);
    event_log_cstr("endpoint", endpoint->id);
    event_log_number("slots", endpoint->slots);
    event_log_number("held",
                     endpoint->hold != NULL ? endpoint->hold->held : 0);
    event_log_number("own_running", endpoint->running);
    event_log_number("others_running", endpoint->others.running);
    event_log_number("found_running", s->running_at_send);
    event_log_number("loads_age_ms",
                     (forward_now(f) - e->loads_received_us) / MS);
    event_log_number("elapsed_ms", (forward_now(f) - s->sent_us) / MS);
    event_log_number("instances", instance_count_get(&e->sharing_instances));
    event_log_cstr("rule", slot_rule_name(s->slot_rule));
    event_log_end();
}

/* Reports that a brittle endpoint turned a request away. While slots are not
 * granted, keeps away from it for a while. */
static void
record_brittle_refusal(const request_send_t *s)
{
    const forward_t *f = s->request;
    const slot_service_t *slots = &f->service_state->slots;
    slot_link_t *link = f->entry->slot_link;
    if (!slot_link_is_brittle(link, slots) || s->endpoint == NULL ||
        s->status == 421) {
        return;
    }
    log_brittle_refusal(s);
    counter_add(counter_get("brittle_refusals_total", NULL, FALSE), 1);
    slot_link_record_refused(link, s->endpoint);
    if (slot_link_rule(link, slots).kind != SLOT_RULE_GRANTED) {
        s->endpoint->full_until_us =
            MAX(s->endpoint->full_until_us,
                forward_now(f) + slot_link_pause_us(link, slots));
    }
}

static gboolean
is_event_stream(const http_head_t *head)
{
    str_t type;
    return http_head_find(head, "Content-Type", &type) &&
           str_has_prefix(type, STR("text/event-stream"));
}

static void
copy_fields(request_send_t *s, const http_head_t *head)
{
    g_string_truncate(s->fields, 0);
    for (guint i = 0; i < head->fields->len; i++) {
        str_t name = http_field_name(head, i);
        if (!http_field_is_hop(head, i) &&
            !http_name_is(name, "Content-Length")) {
            http_write_field(s->fields, name, http_field_value(head, i));
        }
    }
}

static call_verdict_t
on_answer_head(client_call_t *call, const http_head_t *head, void *user)
{
    (void)call;
    request_send_t *s = user;
    forward_t *f = s->request;
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
    s->not_run = answer.not_run;
    record_limit(s, &answer, head->status);
    record_notices(s, &answer, head->status);
    record_brittle(s, &answer, head->status);
    request_send_record_bytes(s);
    s->status = head->status;
    s->streaming = success && (f->head_sent || is_event_stream(head));
    if (!f->head_sent) {
        copy_fields(s, head);
        request_send_drop_body(s);
    }
    if (s->streaming) {
        request_send_take_up(s);
    }
    return CALL_TAKE;
}

/* Updates the engine's prefill estimate from the time of the first event. */
static void
record_prefill(const request_send_t *s)
{
    const forward_t *f = s->request;
    if (s->endpoint == NULL || f->info.prompt_tokens == 0) {
        return;
    }
    double tokens = (double)s->waiting_tokens_at_send + s->waiting_tokens;
    double ms = (double)(forward_now(f) - s->sent_us) / MS;
    engine_model_record_first(&f->service_state->engine, tokens, ms);
}

static void
record_first_output(request_send_t *s)
{
    forward_t *f = s->request;
    request_send_end_prefill(s);
    if (f->first_output_us == 0) {
        f->first_output_us = forward_now(f);
    }
}

static void
record_event(request_send_t *s)
{
    forward_t *f = s->request;
    gint64 now = forward_now(f);
    if (!s->event_received) {
        s->event_received = TRUE;
        s->first_event_us = now;
        forward_count_run(f);
        record_prefill(s);
    }
    record_first_output(s);
    if (f->last_event_us != 0) {
        f->longest_pause_us = MAX(f->longest_pause_us, now - f->last_event_us);
    }
    f->last_event_us = now;
}

static void
on_event(str_t bytes, guint64 id, void *user)
{
    request_send_t *s = user;
    forward_t *f = s->request;
    if (id != G_MAXUINT64) {
        if (f->has_event && id <= f->last_event) {
            return; /* the caller received this event before the repeat */
        }
        f->has_event = TRUE;
        f->last_event = id;
    }
    request_send_choose(s);
    record_event(s);
    if (!f->head_sent) {
        f->head_sent = TRUE;
        http_exchange_begin(
            f->exchange, s->status,
            (str_t){.data = s->fields->str, .length = s->fields->len});
    }
    http_exchange_write(f->exchange, bytes);
}

/* Drops an answer that exceeds a bound and can't be forwarded completely, and
 * repeats the request if allowed. The request may be freed on return. */
static void
answer_too_long(request_send_t *s, const char *reason)
{
    counter_add(counter_get("answers_too_long_total", NULL, FALSE), 1);
    client_call_cancel(s->call);
    request_send_drop_body(s);
    s->is_abandoned = TRUE;
    s->call = NULL;
    request_send_record_outcome(s, ENDPOINT_BROKEN);
    s->request->runs++;
    request_send_continue(s, TRUE, reason);
}

static void
buffer_answer(request_send_t *s, str_t bytes)
{
    entry_t *e = s->request->entry;
    if (s->body->len + bytes.length > ANSWER_BYTES_MAX) {
        answer_too_long(s, "the endpoint's answer is too long");
        return;
    }
    if (!memory_admits_buffered(entry_memory_bytes(e),
                                entry_answer_bytes(e))) {
        answer_too_long(s, "no memory for the endpoint's answer");
        return;
    }
    g_byte_array_append(s->body, (const guint8 *)bytes.data,
                        (guint)bytes.length);
    e->buffered_bytes += bytes.length;
}

/* Whether to pause reading from the endpoint because the caller reads
 * slowly. */
static gboolean
is_caller_behind(const forward_t *f)
{
    const entry_t *e = f->entry;
    return f->head_sent &&
           http_exchange_backlog(f->exchange) >
               memory_stream_max(entry_memory_bytes(e), entry_answer_bytes(e));
}

static void
on_answer_body(client_call_t *call, str_t bytes, void *user)
{
    request_send_t *s = user;
    forward_t *f = s->request;
    request_send_record_bytes(s);
    if (!s->streaming) {
        buffer_answer(s, bytes);
        return;
    }
    if (event_stream_feed(&s->events, bytes, on_event, s) != EVENT_STREAM_OK) {
        answer_too_long(s, "an event of the endpoint is too long");
        return;
    }
    if (s == f->send && is_caller_behind(f)) {
        s->paused = TRUE;
        client_call_read(call, FALSE);
    }
}

static void
finish_stream(request_send_t *s)
{
    forward_t *f = s->request;
    if (!event_stream_at_boundary(&s->events)) {
        request_send_record_outcome(s, ENDPOINT_BROKEN);
        f->runs++;
        request_send_continue(s, TRUE, "the stream ended within an event");
        return;
    }
    request_send_record_outcome(s, ENDPOINT_SERVED);
    request_send_choose(s);
    if (!f->head_sent) {
        s->streaming = FALSE;
        forward_deliver(f);
        return;
    }
    forward_finish(f);
}

/* Handles an answer in which the endpoint states that it did not execute the
 * request. */
static void
handle_not_run(request_send_t *s)
{
    forward_t *f = s->request;
    endpoint_outcome_t outcome = ENDPOINT_FULL;
    if (s->status == 421) {
        outcome = ENDPOINT_MISDIRECTED;
    }
    else if (s->asked_rest) {
        outcome = ENDPOINT_ASKED_REST;
    }
    f->refusals++;
    request_send_return_probe(s);
    request_send_record_outcome(s, outcome);
    record_brittle_refusal(s);
    if (s->status == 400 && !f->head_sent) {
        request_send_choose(s);
        forward_deliver(f);
        return;
    }
    request_send_continue(s, TRUE, "refused by the endpoint");
}

/* Whether an answer other than a refusal proves that the request was executed:
 * any answer of a plain service; of an engine only a complete answer or a
 * server error. The runs of streams were counted at their first event. */
static gboolean
is_run_proven(const request_send_t *s)
{
    gboolean denied = s->status >= 400 && s->status < 500;
    return s->request->info.prompt_tokens == 0 || (!s->streaming && !denied);
}

static void
on_answer_done(client_call_t *call, void *user)
{
    (void)call;
    request_send_t *s = user;
    forward_t *f = s->request;
    s->call = NULL;
    if (s->not_run) {
        handle_not_run(s);
        return;
    }
    if (is_run_proven(s)) {
        forward_count_run(f);
    }
    if (s->streaming) {
        finish_stream(s);
        return;
    }
    gboolean failed = s->status >= 500;
    request_send_record_outcome(s, failed ? ENDPOINT_SERVER_ERROR
                                          : ENDPOINT_SERVED);
    if (f->head_sent) {
        f->runs++;
        request_send_continue(s, TRUE, "a resumed stream was not taken up");
        return;
    }
    if (failed && route_repeatable(f->route)) {
        f->runs++;
        if (request_send_try_continue(s, TRUE, "the endpoint failed")) {
            return;
        }
    }
    request_send_choose(s);
    record_first_output(s);
    forward_deliver(f);
}

/* The connection to the endpoint may have taken a while. */
static gboolean
on_may_send(client_call_t *call, void *user)
{
    (void)call;
    request_send_t *s = user;
    if (http_exchange_has_left(s->request->exchange)) {
        return FALSE;
    }
    request_send_record_sent(s);
    return TRUE;
}

static void
on_answer_failed(client_call_t *call, call_failure_t failure, void *user)
{
    static const char *const REASONS[] = {
        [CALL_FAILED_UNSENT] = "the endpoint could not be reached",
        [CALL_FAILED_REFUSED] = "nobody listens at the endpoint's address",
        [CALL_FAILED_SENT] = "the endpoint closed without an answer",
        [CALL_FAILED_CUT] = "the endpoint's answer broke off",
        [CALL_FAILED_SYNTAX] = "the endpoint's answer is not one",
        [CALL_FAILED_TUNNEL] = "no tunnel to the endpoint",
    };
    (void)call;
    request_send_t *s = user;
    s->call = NULL;
    if (failure == CALL_FAILED_WITHDRAWN) {
        request_send_return_probe(s);
        forward_give_up_if_left(s->request);
        return;
    }
    if (failure == CALL_FAILED_TUNNEL) {
        forward_handle_tunnel_failure(s->request);
        return;
    }
    gboolean received =
        failure != CALL_FAILED_UNSENT && failure != CALL_FAILED_REFUSED;
    s->is_abandoned = received;
    request_send_record_failure(s, failure);
    if (!request_send_record_unreached(s, failure)) {
        request_send_record_outcome(s, received ? ENDPOINT_BROKEN
                                                : ENDPOINT_UNREACHABLE);
    }
    s->request->runs += received;
    if (received) {
        request_send_count_interrupted(s);
    }
    else {
        request_send_return_probe(s);
    }
    request_send_continue(s, received, REASONS[failure]);
}

const client_call_ops_t FORWARD_CALL_OPS = {.may_send = on_may_send,
                                            .head = on_answer_head,
                                            .body = on_answer_body,
                                            .done = on_answer_done,
                                            .failed = on_answer_failed};
