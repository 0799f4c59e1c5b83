#include "carobloom/request/request.h"

#include <string.h>

#include "../connection/openai_error.h"
#include "carobloom/common/counters.h"
#include "carobloom/common/log.h"
#include "carobloom/connection/hangups.h"
#include "carobloom/policy/rendezvous.h"
#include "carobloom/request/attempt.h"

enum {
    PENDING_MAX = 256 * 1024, /* towards one slow caller */
    PREFIX_BYTES = 1024,
    BYTES_A_TOKEN = 4,
};
static const gint64 KEEP_ALIVE_US = 10 * G_USEC_PER_SEC;
static const gint64 RUN_US = 3600 * (gint64)G_USEC_PER_SEC;

static void execute(request_t *r, lifecycle_step_t step);

/* ---- creation and end ---- */

static team_usage_t *
usage_of(http_t *http, const char *team)
{
    team_usage_t *usage = g_hash_table_lookup(http->teams, team);
    if (usage == NULL) {
        usage = g_new0(team_usage_t, 1);
        g_hash_table_insert(http->teams, g_strdup(team), usage);
    }
    return usage;
}

static retry_budget_t *
budget_of(request_t *r)
{
    GHashTable *budgets = r->http->budgets;
    retry_budget_t *budget = g_hash_table_lookup(budgets, r->class_info->name);
    if (budget == NULL) {
        budget = g_new(retry_budget_t, 1);
        budget->level = RETRY_BUDGET_MAX / 5.0;
        g_hash_table_insert(budgets, g_strdup(r->class_info->name), budget);
    }
    return budget;
}

/* The text that engines are likely to have cached: the first message. */
static const char *
prompt_start(const request_t *r)
{
    json_t *messages = json_object_get(r->body, "messages");
    if (messages != NULL) {
        json_t *first = json_array_get(messages, 0);
        return json_string_value(json_object_get(first, "content"));
    }
    return json_string_value(json_object_get(r->body, "prompt"));
}

static void
measure_prompt(request_t *r)
{
    if (r->plain) {
        gsize size;
        const char *data = g_bytes_get_data(r->raw, &size);
        r->digest =
            hash_text((str_t){.data = data ? data : "", .length = size});
        return;
    }
    char *text = json_dumps(r->body, JSON_COMPACT | JSON_SORT_KEYS);
    gsize length = strlen(text);
    r->digest = hash_text((str_t){.data = text, .length = length});
    free(text);
    r->prompt_tokens = (guint)(length / BYTES_A_TOKEN);
    const char *start = prompt_start(r);
    if (start && *start) {
        gsize size = MIN(strlen(start), PREFIX_BYTES);
        r->prefix = hash_text((str_t){.data = start, .length = size});
    }
}

static void
forget_caller(request_t *r)
{
    if (r->caller_fd >= 0) {
        hangups_forget(r->http->hangups, r->caller_fd);
        r->caller_fd = -1;
    }
}

static void
request_destroy(request_t *r)
{
    g_hash_table_remove(r->http->requests, &r->id);
    if (r->attempt != NULL) {
        attempt_destroy(r->attempt);
    }
    forget_caller(r);
    if (r->message != NULL) {
        g_signal_handlers_disconnect_by_data(r->message, r);
        g_object_unref(r->message);
    }
    timers_cancel(task_timers(r->http->task), r->expiry);
    r->usage->in_flight--;
    g_atomic_int_add(&r->http->process->in_flight, -1);
    json_decref(r->body);
    g_clear_pointer(&r->raw, g_bytes_unref);
    g_string_free(r->said, TRUE);
    g_string_free(r->answer, TRUE);
    g_free(r->method);
    g_free(r->path);
    g_free(r->pool);
    g_free(r->key);
    g_free(r->endpoint_address);
    g_free(r->answer_type);
    g_free(r->error_text);
    document_unref(r->document);
    g_free(r);
}

/* ---- the caller's side ---- */

static void
count_outcome(const request_t *r)
{
    char *label =
        g_strdup_printf("class=\"%s\",outcome=\"%s\"", r->class_info->name,
                        outcome_name(r->life.outcome));
    counter_add(counter_get("requests_total", label, FALSE), 1);
    g_free(label);
    label = g_strdup_printf("class=\"%s\"", r->class_info->name);
    if (r->first_token_us > 0) {
        double wait = (double)(r->first_token_us - r->arrived_us) / 1e6;
        histogram_add(histogram_get("first_token_seconds", label), wait);
        gboolean met = r->first_token_us - r->arrived_us <=
                       r->class_info->first_token_ms * 1000;
        counter_add(counter_get(met ? "first_token_met_total"
                                    : "first_token_missed_total",
                                label, FALSE),
                    1);
    }
    counter_add(counter_get("tokens_total", label, FALSE), r->tokens);
    if (r->life.outcome != OUTCOME_COMPLETE) {
        counter_add(counter_get("wasted_tokens_total", label, FALSE),
                    r->tokens);
    }
    g_free(label);
}

static void
add_headers(const request_t *r)
{
    SoupMessageHeaders *h =
        soup_server_message_get_response_headers(r->message);
    soup_message_headers_replace(h, "X-Request-Id", r->name);
    soup_message_headers_replace(h, "Carobloom-Class", r->class_info->name);
    char *version =
        g_strdup_printf("%" G_GUINT64_FORMAT, document_version(r->document));
    soup_message_headers_replace(h, "Carobloom-Version", version);
    g_free(version);
    if (r->endpoint_address != NULL) {
        soup_message_headers_replace(h, "Carobloom-Endpoint",
                                     r->endpoint_address);
    }
}

static void
send_stream_head(request_t *r)
{
    add_headers(r);
    SoupMessageHeaders *h =
        soup_server_message_get_response_headers(r->message);
    soup_server_message_set_status(r->message, 200, NULL);
    soup_message_headers_set_encoding(h, SOUP_ENCODING_CHUNKED);
    soup_message_headers_set_content_type(h, "text/event-stream", NULL);
    soup_message_headers_replace(h, "Cache-Control", "no-store");
    soup_message_body_set_accumulate(
        soup_server_message_get_response_body(r->message), FALSE);
    r->head_sent = TRUE;
}

static void
send_bytes(request_t *r, str_t bytes)
{
    SoupMessageBody *body = soup_server_message_get_response_body(r->message);
    soup_message_body_append(body, SOUP_MEMORY_COPY, bytes.data, bytes.length);
    r->pending_bytes += bytes.length;
    soup_server_message_unpause(r->message);
}

gboolean
request_can_take(const request_t *r)
{
    return r->message == NULL || r->pending_bytes < PENDING_MAX;
}

static void
on_wrote(SoupServerMessage *message, guint size, gpointer data)
{
    (void)message;
    request_t *r = data;
    r->pending_bytes -= MIN(size, r->pending_bytes);
    if (r->attempt != NULL && request_can_take(r)) {
        attempt_resume(r->attempt);
    }
}

void
request_part(request_t *r, str_t raw, str_t text, guint tokens)
{
    gint64 now = g_get_monotonic_time();
    r->last_part_us = now;
    if (tokens > 0 && r->first_token_us == 0) {
        r->first_token_us = now;
    }
    r->tokens += tokens;
    g_string_append_len(r->said, text.data, (gssize)text.length);
    if (r->key != NULL) {
        g_string_append_len(r->answer, raw.data, (gssize)raw.length);
    }
    if (r->message != NULL) {
        if (!r->head_sent) {
            send_stream_head(r);
        }
        send_bytes(r, raw);
    }
    if (r->life.state == LIFECYCLE_SENT) {
        request_event(r, LIFECYCLE_EVENT_PART);
    }
}

/* Which status and words an unfinished request gets. */
static int
error_status(const request_t *r, const char **type, const char **text)
{
    *type = "unavailable";
    switch (r->reason) {
    case REFUSE_DEADLINE:
        *type = "overloaded";
        *text = "The class's deadline can not be met now.";
        return 429;
    case REFUSE_QUEUE:
        *type = "overloaded";
        *text = "The class's queue is full.";
        return 429;
    case REFUSE_POOL:
        *text = "No endpoint serves this model or service now.";
        return 503;
    case REFUSE_NONE:
        break;
    }
    if (r->error_text != NULL) {
        *text = r->error_text;
        return r->life.outcome == OUTCOME_NOT_RUN ? 503 : 409;
    }
    if (r->life.outcome == OUTCOME_NOT_RUN) {
        *text = "The request was not run.";
        return 503;
    }
    *text = "The endpoint's answer was lost; whether it ran is not known.";
    return 502;
}

static void
answer_error(request_t *r)
{
    const char *type;
    const char *text;
    int status = error_status(r, &type, &text);
    if (r->head_sent) {
        /* No end mark follows: the caller can tell it is not whole. */
        char *body = openai_error_text(status, type, text, r->life.outcome);
        char *event = g_strdup_printf("data: %s\n\n", body);
        send_bytes(r, str_from_cstr(event));
        g_free(event);
        g_free(body);
        return;
    }
    add_headers(r);
    gint64 retry_us = r->retry_after_us;
    if (retry_us == 0 && r->life.outcome == OUTCOME_NOT_RUN) {
        retry_us = G_USEC_PER_SEC;
    }
    openai_error_reply(r->message, status, type, text, r->life.outcome,
                       retry_us);
}

static void
answer_whole(request_t *r)
{
    add_headers(r);
    SoupMessageHeaders *h =
        soup_server_message_get_response_headers(r->message);
    soup_message_headers_replace(h, "Carobloom-Outcome",
                                 outcome_name(OUTCOME_COMPLETE));
    soup_server_message_set_status(r->message, (guint)r->answer_status, NULL);
    soup_server_message_set_response(
        r->message, r->answer_type ? r->answer_type : "text/plain",
        SOUP_MEMORY_COPY, r->answer->str, r->answer->len);
}

static void
command_answer(request_t *r)
{
    r->finished = TRUE;
    count_outcome(r);
    log_write(LOG_PART_HTTP, LOG_DEBUG, r->name, "Class %s ended %s.",
              r->class_info->name, outcome_name(r->life.outcome));
    if (r->message == NULL) {
        return;
    }
    gboolean complete = r->life.outcome == OUTCOME_COMPLETE;
    if (!complete) {
        answer_error(r);
    }
    else if (!r->head_sent) {
        answer_whole(r);
    }
    if (r->head_sent) {
        soup_message_body_complete(
            soup_server_message_get_response_body(r->message));
    }
    soup_server_message_unpause(r->message);
}

/* ---- commands ---- */

static void
command_submit(request_t *r)
{
    ticket_t ticket = {
        .id = r->id,
        .class_index = r->class_index,
        .team = hash_text(str_from_cstr(r->team->name)),
        .team_weight = r->team->weight,
        .prompt_tokens = r->prompt_tokens,
        .prefix = r->prefix,
        .avoid = r->avoid,
        .done_tokens = r->tokens,
        .preemptions = r->preemptions,
        .arrived_us = r->arrived_us,
        .plain = r->plain,
    };
    task_send(r->http->process->policy,
              MESSAGE(ticket_message_t,
                      .base = {POLICY_TICKET, ticket_message_free},
                      .ticket = ticket, .pool = g_strdup(r->pool),
                      .http = r->http->task));
}

static void
send_settle(request_t *r, message_type_t type, settle_result_t result)
{
    settlement_t settlement = {
        .result = result,
        .tokens = r->tokens,
        .token_us = r->attempt ? attempt_token_us(r->attempt) : 0,
    };
    task_send(r->http->process->policy,
              MESSAGE(settle_message_t, .base = {type, message_free},
                      .ticket = r->id, .settlement = settlement));
}

static void
command_dispatch(request_t *r, const decision_message_t *decision)
{
    r->granted_us = g_get_monotonic_time();
    g_free(r->endpoint_address);
    r->endpoint_address = g_strdup(decision->address);
    r->avoid = decision->endpoint;
    r->attempt = attempt_create(r, decision->address, decision->protocol);
}

static message_t *
claim_message(request_t *r, message_type_t type)
{
    return MESSAGE(claim_message_t, .base = {type, claim_message_free},
                   .call = r->id, .http = r->http->task,
                   .team = g_strdup(r->team->name), .key = g_strdup(r->key),
                   .digest = r->digest, .holder = r->id,
                   .keep_s = r->class_info->keep_s);
}

static void
command_keep(request_t *r)
{
    message_t *message = claim_message(r, VOTER_FINISH);
    claim_message_t *claim = (claim_message_t *)message;
    gboolean complete = r->life.outcome == OUTCOME_COMPLETE;
    gsize most = (gsize)document_limits(r->document)->answer_bytes;
    claim->status = complete ? r->answer_status : -1;
    claim->content_type = g_strdup(r->answer_type);
    if (complete && r->answer->len <= most) {
        claim->answer = g_bytes_new(r->answer->str, r->answer->len);
    }
    task_send(r->http->process->voter, message);
}

static void
command_detach(request_t *r)
{
    log_write(LOG_PART_HTTP, LOG_INFO, r->name,
              "Caller left; the call goes on under its key.");
}

static void
execute_one(request_t *r, lifecycle_command_t command)
{
    switch (command) {
    case LIFECYCLE_COMMAND_CLAIM:
        task_send(r->http->process->voter, claim_message(r, VOTER_CLAIM));
        break;
    case LIFECYCLE_COMMAND_SUBMIT:
        g_clear_pointer(&r->attempt, attempt_destroy);
        command_submit(r);
        break;
    case LIFECYCLE_COMMAND_WITHDRAW:
        send_settle(r, POLICY_WITHDRAW, SETTLE_CANCELLED);
        break;
    case LIFECYCLE_COMMAND_SETTLE_COMPLETE:
        send_settle(r, POLICY_SETTLE, SETTLE_COMPLETE);
        break;
    case LIFECYCLE_COMMAND_SETTLE_FAILED:
        send_settle(r, POLICY_SETTLE, SETTLE_FAILED);
        break;
    case LIFECYCLE_COMMAND_SETTLE_CANCELLED:
        send_settle(r, POLICY_SETTLE, SETTLE_CANCELLED);
        break;
    case LIFECYCLE_COMMAND_RELEASE:
        task_send(r->http->process->voter, claim_message(r, VOTER_FINISH));
        break;
    case LIFECYCLE_COMMAND_KEEP:
        command_keep(r);
        break;
    case LIFECYCLE_COMMAND_ANSWER:
        g_clear_pointer(&r->attempt, attempt_destroy);
        command_answer(r);
        break;
    case LIFECYCLE_COMMAND_DETACH:
        command_detach(r);
        break;
    case LIFECYCLE_COMMAND_DISPATCH: /* carried out with its decision */
    case LIFECYCLE_COMMAND_ABORT:    /* by the submit or answer that follows,
                                      * since    settling reads the attempt's
                                      * speed
                                      */
    case LIFECYCLE_COMMAND_NONE:
        break;
    }
}

static void
execute(request_t *r, lifecycle_step_t step)
{
    for (int i = 0; i < LIFECYCLE_COMMANDS_MAX; i++) {
        execute_one(r, step.commands[i]);
    }
    if (r->finished && r->message == NULL) {
        request_destroy(r);
    }
}

/* Whether an event may use up a retry. */
static gboolean
event_retries(lifecycle_event_t event)
{
    return event == LIFECYCLE_EVENT_BROKEN || event == LIFECYCLE_EVENT_NOT_RUN;
}

void
request_event(request_t *r, lifecycle_event_t event)
{
    r->life.retry_allowed = FALSE;
    if (event_retries(event) && r->life.attempts < r->life.attempts_max) {
        r->life.retry_allowed = retry_budget_take(budget_of(r));
    }
    execute(r, lifecycle_apply(&r->life, event));
}

void
request_granted(request_t *r, const decision_message_t *decision)
{
    lifecycle_step_t step = lifecycle_apply(&r->life, LIFECYCLE_EVENT_GRANT);
    if (step.commands[0] == LIFECYCLE_COMMAND_DISPATCH) {
        command_dispatch(r, decision);
    }
}

void
request_refused(request_t *r, const decision_message_t *decision)
{
    r->reason = decision->reason;
    r->retry_after_us = decision->retry_after_us;
    request_event(r, LIFECYCLE_EVENT_REFUSE);
}

void
request_preempted(request_t *r)
{
    lifecycle_state_t before = r->life.state;
    r->avoid = 0;
    if (before == LIFECYCLE_QUEUED) {
        return; /* preempted before its grant came: nothing runs */
    }
    r->preemptions++;
    request_event(r, LIFECYCLE_EVENT_PREEMPT);
}

static void
answer_kept(request_t *r, const claimed_message_t *claimed)
{
    r->answer_status = claimed->status;
    g_free(r->answer_type);
    r->answer_type = g_strdup(claimed->content_type);
    if (claimed->answer != NULL) {
        gsize length;
        const char *data = g_bytes_get_data(claimed->answer, &length);
        g_string_append_len(r->answer, data, (gssize)length);
    }
    soup_message_headers_replace(
        soup_server_message_get_response_headers(r->message),
        "Carobloom-Replayed", "true");
    r->life.state = LIFECYCLE_DONE;
    r->life.outcome = OUTCOME_COMPLETE;
    command_answer(r);
}

void
request_claimed(request_t *r, const claimed_message_t *claimed)
{
    if (r->life.state != LIFECYCLE_CLAIMING) {
        return;
    }
    static const char *const texts[] = {
        [CLAIM_HELD] = "Another request runs under this idempotency key.",
        [CLAIM_MISMATCH] = "The idempotency key was used with another body.",
        [CLAIM_UNKNOWN] = "A request under this key was sent; how it ended "
                          "is not known.",
        [CLAIM_ANSWERED] = "The request under this key completed; its answer "
                           "was too long to keep.",
        [CLAIM_NO_QUORUM] = "No quorum of voters can be reached; nothing was "
                            "run.",
        [CLAIM_FULL] = "As many claims are kept as may be; nothing was run.",
    };
    if (claimed->state == CLAIM_WON) {
        request_event(r, LIFECYCLE_EVENT_CLAIM_WON);
        return;
    }
    if (claimed->state == CLAIM_ANSWERED && claimed->answer && r->message) {
        answer_kept(r, claimed);
        return;
    }
    r->error_text = g_strdup(texts[claimed->state]);
    gboolean failed =
        claimed->state == CLAIM_NO_QUORUM || claimed->state == CLAIM_FULL;
    if (claimed->state == CLAIM_HELD) {
        r->retry_after_us = G_USEC_PER_SEC;
    }
    request_event(r, failed ? LIFECYCLE_EVENT_CLAIM_FAILED
                            : LIFECYCLE_EVENT_CLAIM_LOST);
}

/* ---- the caller leaves ---- */

static void
caller_left(request_t *r)
{
    if (r->message == NULL) {
        return;
    }
    forget_caller(r);
    g_signal_handlers_disconnect_by_data(r->message, r);
    SoupServerMessage *message = g_steal_pointer(&r->message);
    if (!r->head_sent) {
        soup_server_message_set_status(message, 503, NULL);
    }
    soup_message_body_complete(soup_server_message_get_response_body(message));
    soup_server_message_unpause(message);
    g_object_unref(message);
    if (r->finished) {
        request_destroy(r);
        return;
    }
    counter_add(counter_get("callers_left_total", NULL, FALSE), 1);
    request_event(r, LIFECYCLE_EVENT_CALLER_LEFT);
}

void
request_hung_up(void *data)
{
    request_t *r = data;
    forget_caller(r);
    caller_left(r);
}

static void
on_finished(SoupServerMessage *message, gpointer data)
{
    (void)message;
    request_t *r = data;
    if (r->finished) {
        request_destroy(r);
        return;
    }
    caller_left(r);
}

static void
watch_caller(request_t *r)
{
    g_signal_connect(r->message, "wrote-body-data", G_CALLBACK(on_wrote), r);
    g_signal_connect(r->message, "finished", G_CALLBACK(on_finished), r);
    GSocket *socket = soup_server_message_get_socket(r->message);
    if (socket != NULL) {
        g_socket_set_timeout(socket, 0);
        r->caller_fd = g_socket_get_fd(socket);
        hangups_watch(r->http->hangups, r->caller_fd, r);
    }
}

static void
on_expired(void *data)
{
    request_t *r = data;
    r->expiry = 0;
    request_event(r, LIFECYCLE_EVENT_EXPIRED);
}

/* FALSE when the team's limits refuse the request. */
static gboolean
limits_allow(request_t *r)
{
    const document_team_t *team = r->team;
    gint64 wait_us = bucket_take(&r->usage->rate, team->requests_per_s,
                                 team->requests_per_s, 1, r->arrived_us);
    gboolean full =
        team->in_flight > 0 && r->usage->in_flight > (guint)team->in_flight;
    if (wait_us == 0 && !full) {
        return TRUE;
    }
    r->life.state = LIFECYCLE_DONE;
    r->life.outcome = OUTCOME_NOT_RUN;
    r->finished = TRUE;
    count_outcome(r);
    openai_error_reply(r->message, 429, "rate_limit_exceeded",
                       full ? "The team has as many requests in flight as it "
                              "may."
                            : "The team's rate is used up.",
                       OUTCOME_NOT_RUN, MAX(wait_us, G_USEC_PER_SEC));
    return FALSE;
}

void
request_create(http_t *http, const request_spec_t *spec)
{
    request_t *r = g_new0(request_t, 1);
    const document_class_t *class_info =
        document_class(spec->document, spec->class_index);
    *r = (request_t){
        .http = http,
        .id = http_next_ticket(http),
        .life = {.repeatable = class_info->repeatable,
                 .resume = class_info->resume && spec->stream,
                 .attempts_max = (guint)class_info->attempts},
        .document = document_ref(spec->document),
        .class_info = class_info,
        .class_index = spec->class_index,
        .team = spec->team,
        .usage = usage_of(http, spec->team->name),
        .message = g_object_ref(spec->message),
        .method = g_strdup(soup_server_message_get_method(spec->message)),
        .path = g_strdup(spec->path),
        .pool = g_strdup(spec->pool),
        .plain = spec->plain,
        .stream = spec->stream,
        .body = spec->body,
        .raw = spec->raw ? g_bytes_ref(spec->raw) : NULL,
        .key = g_strdup(spec->key),
        .arrived_us = g_get_monotonic_time(),
        .said = g_string_new(NULL),
        .answer = g_string_new(NULL),
        .answer_status = 200,
        .caller_fd = -1,
    };
    g_snprintf(r->name, sizeof(r->name), "%016" G_GINT64_MODIFIER "x", r->id);
    g_hash_table_insert(http->requests, &r->id, r);
    r->usage->in_flight++;
    g_atomic_int_inc(&http->process->in_flight);
    measure_prompt(r);
    retry_budget_earn(budget_of(r), document_limits(r->document)->retry_ratio);
    watch_caller(r);
    if (!limits_allow(r)) {
        return;
    }
    soup_server_message_pause(r->message);
    r->expiry = timers_subscribe(task_timers(http->task),
                                 class_info->deadline_ms * 1000 + RUN_US, 0,
                                 on_expired, r);
    request_event(r, LIFECYCLE_EVENT_ADMIT);
}

void
request_tick(request_t *r, gint64 now_us)
{
    if (r->message && r->head_sent && !r->finished && r->pending_bytes == 0 &&
        now_us - r->last_part_us > KEEP_ALIVE_US) {
        r->last_part_us = now_us;
        send_bytes(r, STR(": keep-alive\n\n"));
    }
}

json_t *
request_dump(const request_t *r)
{
    return json_pack(
        "{s:s, s:s, s:s, s:s, s:s, s:i, s:i, s:I, s:s*}", "request", r->name,
        "class", r->class_info->name, "team", r->team->name, "pool", r->pool,
        "state", lifecycle_state_name(r->life.state), "attempts",
        (int)r->life.attempts, "tokens", (int)r->tokens, "age_ms",
        (json_int_t)((g_get_monotonic_time() - r->arrived_us) / 1000),
        "endpoint", r->endpoint_address);
}
