#include <string.h>

#include "carobloom/common/counters.h"
#include "carobloom/common/event_log.h"
#include "carobloom/policy/placement.h"
#include "forward_state.h"

enum {
    MS = 1000,
    /* A request whose connection failed before a byte was sent may go to
     * another endpoint at once. When this many endpoints are unreachable,
     * further attempts are unlikely to succeed. */
    SENDS_MAX = 6,
    /* Many times the round-trip time plus the delay of a busy endpoint. */
    CONNECT_US = 250 * MS,
    ENDPOINT_IDLE_US = 8 * G_USEC_PER_SEC,
    ENDPOINT_IDLE_MAX = 64,
    ANSWER_HEAD_MAX = 65536,
    CONNECTIONS_MIN = 4, /* per endpoint, of this instance */
    /* With less time left the request is not sent again. */
    DEADLINE_MIN_MS = 5,
    /* A shared prompt part below this size is read again in less time than it
     * takes to notify the other instances. */
    PART_REPORTED_MIN_TOKENS = 1024,
    /* The same bound for the prefix part. The bound is lower because the
     * prefix is reported once: other endpoints fetch the prefix from the
     * first endpoint that has it. */
    PREFIX_REPORTED_MIN_TOKENS = 64,
};

static const http_peer_limits_t ENDPOINT_LIMITS = {
    .connect_us = CONNECT_US,
    .idle_us = ENDPOINT_IDLE_US,
    .idle_max = ENDPOINT_IDLE_MAX,
    .head_max = ANSWER_HEAD_MAX,
};

/* Whether the request may be sent to another endpoint at all. */
static gboolean
may_repeat(const forward_t *f)
{
    guint runs = forward_possible_runs(f);
    if (runs > 0 &&
        (!route_repeatable(f->route) || runs >= f->route->max_attempts)) {
        return FALSE;
    }
    if (f->head_sent && !f->route->resumable) {
        return FALSE;
    }
    return f->sends < SENDS_MAX &&
           f->deadline_us - forward_now(f) > DEADLINE_MIN_MS * MS;
}

/* Takes one repeat from the budget that all instances share. */
static gboolean
take_repeat_from_budget(const forward_t *f, const char *reason)
{
    repeat_take_t take = {.request = f->info.id,
                          .reason = reason,
                          .rank = (guint)forward_priority(f)};
    return repeat_link_take(f->entry->repeat_link, f->service, &take);
}

/* Sends the request to another endpoint. The caller has checked that this is
 * allowed. */
static void
send_repeat(forward_t *f, const char *reason)
{
    request_send_detach(f->send);
    if (event_log_begin(EVENT_FAILURE, "repeat")) {
        event_log_text("request", f->info.id);
        event_log_cstr("reason", reason);
        event_log_cstr("endpoint", f->last_endpoint);
        event_log_number("sends", f->sends);
        event_log_number("runs", f->runs);
        event_log_number("silent_sends",
                         f->silent != NULL ? f->silent->len : 0);
        event_log_number("elapsed_ms", (forward_now(f) - f->started_us) / MS);
        forward_log_fingerprint(f);
        event_log_end();
    }
    counter_add(counter_get("repeats_total", NULL, FALSE), 1);
    forward_send(f);
}

/* Orders by the priority of the route, and among routes of the same priority
 * by that of the team. In the opposite order engines preempted requests of an
 * urgent route for those of less urgent routes. */
gint
forward_priority(const forward_t *f)
{
    enum { RANKS = 2, LOWEST = 9 };
    guint team =
        f->team != NULL && f->team->has_priority ? f->team->priority : 0;
    return (gint)MIN(f->route->priority * RANKS + MIN(team, RANKS - 1),
                     LOWEST);
}

/* Whether the request may not use granted sends to limited endpoints, because
 * requests of higher priority need them. */
static gboolean
yields_limited_sends(const forward_t *f)
{
    const entry_t *e = f->entry;
    if (directory_limits(e->directory)->len == 0) {
        return FALSE;
    }
    limit_tokens_t tokens = limit_link_tokens(e->limit_link, f->service);
    return limit_share_yields(&f->service_state->limit_share,
                              (guint)forward_priority(f), &tokens,
                              forward_now(f));
}

static void
fill_placement_request(const forward_t *f, placement_request_t *request)
{
    const service_t *service = route_config_service(f->config, f->service);
    *request = (placement_request_t){
        .parts = f->info.parts,
        .part_count = f->info.part_count,
        .prompt_tokens = f->info.prompt_tokens,
        .partitioned = prompt_mix_needs_partition(&f->service_state->prompts,
                                                  forward_now(f)),
        .long_fraction = engine_split_long_fraction(&f->service_state->split),
        .long_tokens = prompt_mix_long_tokens(&f->service_state->prompts),
        .target_ms = f->route->target_ms,
        .short_prompt_pause_ms =
            f->service_state->prompts.short_prompt_pause_ms,
        .tokens_per_ms = engine_model_tokens_per_ms(&f->service_state->engine),
        .memory_tokens = service != NULL ? service->memory_tokens : 0,
        .fetch_tokens_per_ms =
            service != NULL ? service->fetch_tokens_a_ms : 0,
        .load_scale = entry_has_recent_loads(f->entry) ? 0 : f->entry->entries,
        .slot_rule =
            slot_link_rule(f->entry->slot_link, &f->service_state->slots),
        .data_centre = f->entry->settings->data_centre,
        .tried_count = MIN(f->tried_count, PLACEMENT_TRIED_MAX),
        .yields = yields_limited_sends(f),
        .boot_now_us = limit_link_now(),
        .draw = g_rand_int(f->entry->random),
    };
    memcpy(request->tried, f->tried, sizeof(request->tried));
}

static http_peer_limits_t
peer_limits(const forward_t *f, const endpoint_t *endpoint)
{
    http_peer_limits_t limits = ENDPOINT_LIMITS;
    limits.unsent = &f->entry->request_bytes_unsent;
    const service_t *service =
        route_config_service(f->config, endpoint->service);
    if (service != NULL && service->connections > 0) {
        /* At most half of the service's connections, even with few
         * instances. */
        limits.connections =
            MIN(instance_count_share(&f->entry->sharing_instances,
                                     service->connections, CONNECTIONS_MIN),
                MAX(service->connections / 2, CONNECTIONS_MIN));
    }
    return limits;
}

http_peer_t *
forward_peer(const forward_t *f, const endpoint_t *endpoint, void **peer)
{
    const entry_t *e = f->entry;
    if (*peer == NULL) {
        http_peer_limits_t limits = peer_limits(f, endpoint);
        *peer = http_peer_create(e->poller, e->timers,
                                 str_from_cstr(endpoint->address), &limits);
    }
    return *peer;
}

static GString *
request_bytes(const forward_t *f, const placement_t *placement)
{
    const endpoint_t *endpoint = placement->endpoint;
    const service_t *service = route_config_service(f->config, f->service);
    forward_info_t info = {
        .deadline_ms = (f->deadline_us - forward_now(f)) / MS,
        .instance = endpoint->id,
        .team = f->team != NULL ? f->team->name : NULL,
        .priority =
            service != NULL && service->slots > 0 ? forward_priority(f) : -1,
        .resume = f->has_event || f->info.resumes,
        .last_event = f->has_event ? f->last_event : f->info.last_event,
        .fetch_from =
            placement->source != NULL ? placement->source->address : NULL,
    };
    return platform_request_encode(http_exchange_head(f->exchange),
                                   http_exchange_body(f->exchange), &info);
}

/* Reports to the other instances that an endpoint receives the prompt's shared
 * part, unless it is known to cache it, and the prefix part, unless any
 * endpoint is known to cache that. */
static void
report_parts(const forward_t *f, const placement_t *placement,
             const placement_request_t *request)
{
    const endpoint_t *endpoint = placement->endpoint;
    prompt_part_t prefix = placement_preceding_part(request);
    prompt_part_t shared = placement_shared_part(request);
    if (prefix.tokens >= PREFIX_REPORTED_MIN_TOKENS &&
        !placement->preceding_cached) {
        load_link_record_part(f->entry->load_link, prefix.id, endpoint);
    }
    if (shared.tokens >= PART_REPORTED_MIN_TOKENS &&
        !endpoint_has_part(endpoint, shared.id)) {
        load_link_record_part(f->entry->load_link, shared.id, endpoint);
    }
}

/* Records that the request wanted a send to a limited endpoint, so that the
 * owners of the limits are notified of the demand. */
static void
record_limit_demand(const forward_t *f, const placement_t *placement)
{
    const endpoint_t *chosen = placement->endpoint;
    gboolean limited =
        chosen != NULL && chosen->limit != NULL && chosen->limit->limited;
    if (!limited && placement->denied == NULL) {
        return;
    }
    limit_share_record_wanted(&f->service_state->limit_share,
                              (guint)forward_priority(f), forward_now(f));
    if (chosen == NULL) {
        limit_link_record_denied_sample(f->entry->limit_link, f->service);
    }
    else if (placement->denied != NULL) {
        limit_link_record_denied(f->entry->limit_link, placement->denied);
    }
}

static void
attach_endpoint(forward_t *f, const placement_t *placement,
                const placement_request_t *request)
{
    endpoint_t *endpoint = placement->endpoint;
    request_send_t *s = f->send;
    s->endpoint = endpoint;
    g_strlcpy(f->last_endpoint, endpoint->id, sizeof(f->last_endpoint));
    s->event_received = FALSE;
    s->running_at_send = endpoint_running(endpoint);
    s->slot_rule = request->slot_rule.kind;
    s->waiting_tokens_at_send = endpoint_waiting_tokens(endpoint);
    s->waiting_tokens = placement->read_tokens;
    directory_add_request(f->entry->directory, endpoint, f->info.prompt_tokens,
                          s->waiting_tokens);
    slot_link_begin(f->entry->slot_link, &f->service_state->slots, endpoint);
    f->service_state->read_tokens += s->waiting_tokens;
    report_parts(f, placement, request);
    for (guint i = 0; i < request->part_count; i++) {
        directory_record_part(f->entry->directory, endpoint,
                              request->parts[i].id);
    }
}

static placement_t
choose_endpoint(const forward_t *f, placement_request_t *request)
{
    const GPtrArray *endpoints =
        directory_service(f->entry->directory, f->service);
    fill_placement_request(f, request);
    if (endpoints == NULL || endpoints->len == 0) {
        return (placement_t){0};
    }
    return placement_pick(endpoints, request, forward_now(f));
}

void
forward_record_unplaced(forward_t *f, const placement_counts_t *counts)
{
    f->service_state->turned_away++;
    f->placement_counts = *counts;
}

/* Whether an endpoint can take the request. A repeat that is taken from the
 * budget for one that can't be placed would be lost. */
static gboolean
can_be_placed(forward_t *f)
{
    placement_request_t request;
    placement_t placement = choose_endpoint(f, &request);
    if (placement.endpoint != NULL) {
        return TRUE;
    }
    record_limit_demand(f, &placement);
    forward_record_unplaced(f, &placement.counts);
    return FALSE;
}

gboolean
forward_try_repeat(forward_t *f, gboolean received, const char *reason)
{
    if (!may_repeat(f)) {
        return FALSE;
    }
    if (received && (forward_may_not_repeat(f) || !can_be_placed(f) ||
                     !take_repeat_from_budget(f, reason))) {
        return FALSE;
    }
    send_repeat(f, reason);
    return TRUE;
}

void
forward_handle_silence(forward_t *f)
{
    static const char REASON[] = "the endpoint is silent";
    placement_request_t request;
    request_send_t *s = f->send;
    if (!client_call_is_quiet(s->call)) {
        s->silent_from_us = forward_now(f);
        forward_set_timer(f);
        return;
    }
    request_send_record_silence(s);
    if (s->helper != NULL) {
        helper_record_failed(s->helper, forward_now(f));
    }
    request_send_record_outcome(s, ENDPOINT_BROKEN);
    if (choose_endpoint(f, &request).endpoint == NULL || !may_repeat(f) ||
        !take_repeat_from_budget(f, REASON)) {
        s->silent_from_us = forward_now(f);
        forward_set_timer(f);
        return;
    }
    forward_keep_silent(f);
    send_repeat(f, REASON);
}

static void
refuse_quarantined(forward_t *f)
{
    const quarantined_request_t *q = f->quarantined;
    gboolean is_part = q != NULL && quarantined_is_part(q);
    counter_add(counter_get("requests_refused_held_total", NULL, FALSE), 1);
    forward_fail(f, is_part ? "endpoints end under a part of this prompt"
                            : "endpoints end under this request");
}

void
forward_send(forward_t *f)
{
    if (forward_give_up_if_left(f)) {
        return;
    }
    if (forward_is_quarantined(f)) {
        refuse_quarantined(f);
        return;
    }
    request_send_t *s = f->send;
    placement_request_t request;
    placement_t placement = choose_endpoint(f, &request);
    endpoint_t *endpoint = placement.endpoint;
    record_limit_demand(f, &placement);
    if (endpoint == NULL) {
        request_send_return_probe(s);
        if (forward_wait_for_slot(f, &request, &placement.counts)) {
            return;
        }
        forward_record_unplaced(f, &placement.counts);
        forward_fail(f, placement_reason(&f->placement_counts));
        return;
    }
    if (!forward_begin_probe(f, endpoint)) {
        refuse_quarantined(f);
        return;
    }
    GString *bytes = request_bytes(f, &placement);
    f->tried[f->tried_count++ % PLACEMENT_TRIED_MAX] = endpoint;
    f->sends++;
    s->not_run = FALSE;
    s->is_abandoned = FALSE;
    s->asked_rest = FALSE;
    s->paused = FALSE;
    event_stream_reset(&s->events);
    gboolean called = forward_call(
        f, endpoint, (str_t){.data = bytes->str, .length = bytes->len});
    g_string_free(bytes, TRUE);
    s->sent_us = forward_now(f);
    s->limit_sent_us = limit_link_now();
    if (!called) {
        endpoint_record_outcome(endpoint, ENDPOINT_FULL, forward_now(f));
        request_send_return_probe(s);
        request_send_continue(s, FALSE,
                              "no connection to the endpoint is free");
        return;
    }
    if (endpoint->limit != NULL) {
        limit_link_record_send(f->entry->limit_link, endpoint);
    }
    attach_endpoint(f, &placement, &request);
    if (client_call_sent(s->call)) {
        request_send_record_sent(s);
    }
    forward_set_timer(f);
}
