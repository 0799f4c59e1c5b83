/* Endpoints' rate limits: answers the grant requests and reports of entry
 * instances, and publishes the limits to all entry instances. */
#include <string.h>

#include "carobloom/common/counters.h"
#include "carobloom/common/event_log.h"
#include "carobloom/gateway/limit_wire.h"
#include "carobloom/policy/collector.h"
#include "carobloom/policy/rendezvous.h"
#include "control_state.h"

/* Whether this instance owns the limit of an endpoint: the owner is the
 * first by rendezvous hashing among the members of the replicated log. */
static gboolean
owns_limit(const control_t *c, guint64 endpoint)
{
    guint64 members[VOTER_MEMBERS_MAX];
    guint count = c->view.voters.count;
    for (guint i = 0; i < count; i++) {
        members[i] = hash_text(str_from_cstr(c->view.voters.members[i].name));
    }
    gssize owner = rendezvous_owner(endpoint, members, count);
    return owner >= 0 &&
           strcmp(c->view.voters.members[owner].name, c->self) == 0;
}

/* Logs and publishes limits that began, changed or were lifted. */
static void
publish_limits(control_t *c)
{
    if (c->limits_published_cursor == limit_quota_cursor(c->limits)) {
        return;
    }
    GArray *states = limit_quota_changes_since(
        c->limits, &c->limits_published_cursor, G_MAXUINT);
    for (guint i = 0; i < states->len; i++) {
        const limit_state_t *s = &g_array_index(states, limit_state_t, i);
        if (event_log_begin(EVENT_STATE, "limit_told")) {
            char endpoint[32];
            g_snprintf(endpoint, sizeof(endpoint),
                       "%016" G_GINT64_MODIFIER "x", s->endpoint);
            event_log_cstr("endpoint_hash", endpoint);
            event_log_number("limited", s->limited);
            event_log_number("limit_per_1000_s", (gint64)(s->rate * 1000));
            event_log_number("instances", active_entries_count(c));
            event_log_end();
        }
    }
    g_array_unref(states);
    control_publish_updates(c);
}

/* Answers one grant request. An instance that doesn't own the limit grants
 * nothing and only records the limit, to publish it for requesters to which
 * the owner doesn't reply. */
static limit_grant_t
handle_limit_request(control_t *c, const limit_requester_t *requester,
                     const limit_request_t *request)
{
    if (owns_limit(c, request->endpoint)) {
        return limit_quota_request(c->limits, requester, request,
                                   control_now(c));
    }
    limit_quota_apply_report(c->limits, request, control_now(c));
    counter_add(counter_get(request->wanted > 0
                                ? "limit_asks_misdirected_total"
                                : "limits_relayed_total",
                            NULL, FALSE),
                1);
    return (limit_grant_t){.state = {.endpoint = request->endpoint,
                                     .limited = request->limited,
                                     .rate = request->rate}};
}

void
handle_limits(control_t *c, http_exchange_t *exchange)
{
    limit_report_t report;
    GBytes *bytes = posted_bytes(exchange);
    gboolean valid = limit_report_read(bytes, &report);
    g_bytes_unref(bytes);
    if (!valid) {
        answer_json(exchange, 400, "{\"error\":\"malformed\"}");
        return;
    }
    if (c->draining || c->view.voters.count == 0) {
        limit_report_clear(&report);
        answer_json(exchange, 503, "{\"error\":\"does not own limits\"}");
        return;
    }
    limit_requester_t requester = {.name = report.from,
                                   .incarnation = report.incarnation,
                                   .sequence = report.sequence};
    limit_answer_t answer = {
        .report_interval_ms =
            collector_report_interval_ms(active_entries_count(c)),
        .grants = g_array_new(FALSE, FALSE, sizeof(limit_grant_t)),
    };
    guint granted = 0;
    for (guint i = 0; i < report.requests->len; i++) {
        limit_grant_t grant = handle_limit_request(
            c, &requester,
            &g_array_index(report.requests, limit_request_t, i));
        granted += grant.granted;
        g_array_append_val(answer.grants, grant);
    }
    limit_report_clear(&report);
    GBytes *encoded = limit_answer_write(&answer);
    limit_answer_clear(&answer);
    http_exchange_answer(exchange, 200, STR(""), str_from_bytes(encoded));
    g_bytes_unref(encoded);
    counter_add(counter_get("limit_asks_total", NULL, FALSE), 1);
    counter_add(counter_get("limit_sends_granted_total", NULL, FALSE),
                granted);
    publish_limits(c);
}

void
limits_expire(control_t *c)
{
    limit_quota_expire(c->limits, control_now(c));
    counter_set(counter_get("endpoints_limited", NULL, TRUE),
                limit_quota_count(c->limits));
}
