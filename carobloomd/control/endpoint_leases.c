#include "carobloom/common/event_log.h"
#include "control_state.h"
#include "platform.h"

/* Without word from a quorum for so long, or from an entry instance, leases
 * are refused, so that the endpoint goes to an instance that can spread them:
 * a change of leaders takes about as long. */
static const gint64 CUT_US = 1500 * 1000;

/* Whether what is told here reaches those who route. */
static gboolean
is_connected(const control_t *c)
{
    return control_now(c) - c->quorum_us < CUT_US && entries_ask(c);
}

static void
log_lease(const char *id, const endpoint_lease_t *lease, const char *outcome)
{
    if (event_log_begin(EVENT_STATE, "lease")) {
        event_log_cstr("endpoint", id);
        if (lease != NULL) {
            event_log_cstr("service", lease->service);
            event_log_cstr("address", lease->address);
            event_log_number("sequence", (gint64)lease->sequence);
        }
        event_log_cstr("outcome", outcome);
        event_log_end();
    }
}

void
handle_heartbeat(control_t *c, http_exchange_t *exchange, str_t id)
{
    heartbeat_t heartbeat;
    if (platform_heartbeat_decode(http_exchange_body(exchange), &heartbeat) !=
        PLATFORM_OK) {
        answer_plain(exchange, 400, "{\"error\":\"malformed\"}");
        return;
    }
    if (!is_connected(c)) {
        heartbeat_clear(&heartbeat);
        answer_plain(exchange, 503, "{\"error\":\"cut off\"}");
        return;
    }
    char *name = str_dup(id);
    guint64 before = registry_cursor(c->registry);
    endpoint_lease_t lease = {
        .id = name,
        .service = heartbeat.service,
        .address = heartbeat.address,
        .data_centre = heartbeat.data_centre,
        .sequence = heartbeat.sequence,
        .slots = heartbeat.slots,
        .state = heartbeat.draining ? LEASE_DRAINING : LEASE_READY,
        .cold_ms = heartbeat.cold_ms,
    };
    registry_renew(c->registry, &lease, control_now(c));
    if (registry_cursor(c->registry) != before) {
        log_lease(name, &lease, heartbeat.draining ? "draining" : "ready");
    }
    g_free(name);
    heartbeat_clear(&heartbeat);
    /* It stays with this instance: if its renewals went to another one each
     * time, each instance would hear it fall silent and come back, and tell
     * all entry instances so. */
    char *answer = platform_heartbeat_answer(c->settings->control);
    answer_plain(exchange, 200, answer);
    g_free(answer);
    if (registry_cursor(c->registry) != before) {
        spread_news(c);
    }
}

void
handle_leave(control_t *c, http_exchange_t *exchange, str_t id)
{
    if (!is_connected(c)) {
        answer_plain(exchange, 503, "{\"error\":\"cut off\"}");
        return;
    }
    char *name = str_dup(id);
    registry_leave(c->registry, name, control_now(c));
    log_lease(name, NULL, "left");
    g_free(name);
    answer_plain(exchange, 200, "{}");
    spread_news(c);
}
