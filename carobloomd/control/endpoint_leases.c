/* Heartbeats, which renew the leases of endpoints, leave calls, which end
 * them, and reports of entry instances that an endpoint leaves. */
#include "carobloom/common/counters.h"
#include "carobloom/common/event_log.h"
#include "carobloom/gateway/leaving_wire.h"
#include "control_state.h"
#include "platform.h"

/* If no quorum was reachable for this long, or no entry instance is active,
 * heartbeats are refused, so that the endpoint sends them to a control
 * instance that can publish the lease. An election takes about as long. */
static const gint64 CONTACT_TIMEOUT_US = 1500 * 1000;

/* Whether a lease that changes on this instance reaches the entry instances.
 */
static gboolean
is_connected(const control_t *c)
{
    return control_now(c) - c->last_quorum_us < CONTACT_TIMEOUT_US &&
           has_active_entries(c);
}

static void
log_lease(const char *id, const endpoint_lease_t *lease, const char *outcome)
{
    if (event_log_begin(EVENT_STATE, "lease")) {
        event_log_cstr("endpoint", id);
        if (lease != NULL) {
            event_log_cstr("service", lease->service);
            event_log_cstr("address", lease->address);
            event_log_number("started_ms", lease->started_ms);
            event_log_number("sequence", (gint64)lease->sequence);
        }
        event_log_cstr("outcome", outcome);
        event_log_end();
    }
}

/* Refuses a malformed heartbeat or leave call. */
static void
refuse(http_exchange_t *exchange, str_t id, const char *field)
{
    counter_add(counter_get("heartbeats_refused_total", NULL, FALSE), 1);
    if (event_log_begin(EVENT_FAILURE, "heartbeat_refused")) {
        event_log_text("endpoint", id);
        event_log_cstr("field", field != NULL ? field : "");
        event_log_end();
    }
    char *text = g_strdup_printf("{\"error\":\"malformed\",\"field\":\"%s\"}",
                                 field != NULL ? field : "");
    answer_json(exchange, 400, text);
    g_free(text);
}

/* Adds the services of the newest configuration to the known ones. */
static void
update_known_services(control_t *c)
{
    c->services_version = control_newest_version(c);
    route_config_t *config = control_read_newest(c);
    if (config == NULL) {
        return;
    }
    for (guint i = 0; i < config->services->len; i++) {
        const service_t *service = config->services->pdata[i];
        g_hash_table_add(c->known_services, g_strdup(service->name));
    }
    route_config_unref(config);
}

/* Whether any configuration so far has named the service; always TRUE
 * before the first configuration. A configuration may have 1,400 routes and
 * change hundreds of times a day, so it is decoded only for an unknown
 * name. */
static gboolean
is_known_service(control_t *c, const char *service)
{
    if (control_newest(c) == NULL ||
        g_hash_table_contains(c->known_services, service)) {
        return TRUE;
    }
    if (c->services_version < control_newest_version(c)) {
        update_known_services(c);
    }
    return g_hash_table_contains(c->known_services, service);
}

/* Answers a heartbeat. The heartbeat of an older incarnation is refused. A
 * heartbeat that arrives after a later one, or after the endpoint left, is
 * acknowledged but changes nothing: the endpoint's later message applies, and
 * a retry with another control instance would be useless. */
static void
answer_heartbeat(control_t *c, http_exchange_t *exchange, const char *id,
                 registry_result_t result)
{
    if (result == REGISTRY_OLD_INCARNATION) {
        answer_json(exchange, 409, "{\"error\":\"it has started again\"}");
        return;
    }
    /* The answer directs later heartbeats to this instance. If heartbeats
     * alternated between control instances, the lease would expire and return
     * on each, and each would publish both to all entry instances. */
    char *answer = platform_heartbeat_answer(c->settings->control);
    departure_acknowledge(c, exchange, id, answer);
    g_free(answer);
}

void
handle_heartbeat(control_t *c, http_exchange_t *exchange, str_t id)
{
    heartbeat_t heartbeat;
    const char *field;
    if (platform_heartbeat_decode(http_exchange_body(exchange), &heartbeat,
                                  &field) != PLATFORM_OK) {
        refuse(exchange, id, field);
        return;
    }
    if (!is_connected(c)) {
        heartbeat_clear(&heartbeat);
        answer_json(exchange, 503, "{\"error\":\"cut off\"}");
        return;
    }
    if (!is_known_service(c, heartbeat.service)) {
        heartbeat_clear(&heartbeat);
        refuse(exchange, id, "Service");
        return;
    }
    char *name = str_dup(id);
    guint64 before = registry_cursor(c->registry);
    endpoint_lease_t lease = {
        .id = name,
        .service = heartbeat.service,
        .address = heartbeat.address,
        .data_centre = heartbeat.data_centre,
        .started_ms = heartbeat.started_ms,
        .sequence = heartbeat.sequence,
        .slots = heartbeat.slots,
        .state = heartbeat.draining ? LEASE_DRAINING : LEASE_READY,
        .reclaimable = heartbeat.reclaimable,
        .leaves_ms = heartbeat.leaves_ms,
        .cold_ms = heartbeat.cold_ms,
    };
    registry_result_t result =
        registry_renew(c->registry, &lease, control_now(c));
    if (registry_cursor(c->registry) != before) {
        log_lease(name, &lease, heartbeat.draining ? "draining" : "ready");
    }
    heartbeat_clear(&heartbeat);
    answer_heartbeat(c, exchange, name, result);
    g_free(name);
    if (registry_cursor(c->registry) != before) {
        control_publish_updates(c);
    }
}

void
handle_leave(control_t *c, http_exchange_t *exchange, str_t id)
{
    if (!is_connected(c)) {
        answer_json(exchange, 503, "{\"error\":\"cut off\"}");
        return;
    }
    gint64 started_ms;
    if (platform_leave_decode(http_exchange_body(exchange), &started_ms) !=
        PLATFORM_OK) {
        refuse(exchange, id, NULL);
        return;
    }
    char *name = str_dup(id);
    registry_leave(c->registry, name, started_ms, g_get_real_time() / 1000,
                   control_now(c));
    log_lease(name, NULL, "left");
    departure_acknowledge(c, exchange, name, "{}");
    g_free(name);
    control_publish_updates(c);
}

void
handle_leaving_report(control_t *c, http_exchange_t *exchange)
{
    GBytes *bytes = posted_bytes(exchange);
    GArray *incarnations = leaving_report_read(bytes);
    g_bytes_unref(bytes);
    if (incarnations == NULL) {
        counter_add(counter_get("leaving_reports_refused_total", NULL, FALSE),
                    1);
        answer_json(exchange, 400, "{\"error\":\"malformed\"}");
        return;
    }
    gboolean changed = FALSE;
    for (guint i = 0; i < incarnations->len; i++) {
        const incarnation_t *l =
            &g_array_index(incarnations, incarnation_t, i);
        if (registry_record_leaving(c->registry, l->endpoint, l->started_ms,
                                    control_now(c))) {
            log_lease(l->endpoint, NULL, "leaving by its answers");
            changed = TRUE;
        }
    }
    g_array_unref(incarnations);
    http_exchange_answer(exchange, 204, STR(""), STR(""));
    if (changed) {
        control_publish_updates(c);
        departures_send(c);
    }
}
