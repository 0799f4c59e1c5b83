#include "carobloom/control/control.h"

#include <string.h>

#include "carobloom/common/clock.h"
#include "carobloom/common/counters.h"
#include "carobloom/common/event_log.h"
#include "carobloom/common/memory.h"
#include "carobloom/gateway/crash_wire.h"
#include "carobloom/gateway/departure_wire.h"
#include "carobloom/gateway/helper_wire.h"
#include "carobloom/gateway/leaving_wire.h"
#include "carobloom/gateway/limit_wire.h"
#include "carobloom/gateway/load_wire.h"
#include "carobloom/gateway/repeat_wire.h"
#include "carobloom/gateway/slot_wire.h"
#include "carobloom/gateway/usage_wire.h"
#include "control_state.h"
#include "platform.h"

enum {
    MS = 1000,
    EXPIRE_INTERVAL_US = 200 * MS,
    /* Maximum number of committed configurations that are stored as bases of
     * differences. A burst has three changes per second, and an entry
     * instance sends a sync request at least once per second. */
    CONFIGS_MAX = 16,
    MAILBOX_BOUND = 10000, /* messages */
    /* Interval between two messages with loads to each other control
     * instance: half the interval at which entry instances report. With eight
     * others these are 160 messages per second, each taking about 0.05 ms to
     * send and receive. */
    SUMS_INTERVAL_US = 50 * MS,
    /* Time for the other voters to elect a leader before this instance exits.
     */
    HANDOVER_TIMEOUT_US = 1500 * MS,
};

static const http_limits_t CONTROL_LIMITS = {
    .head_max = 16384,
    .body_max = 16 * 1024 * 1024, /* four times the largest known body */
    .head_us = 5 * G_USEC_PER_SEC,
    .idle_us = 5 * G_USEC_PER_SEC, /* four heartbeats of 1.2 s */
    .connections = 2800,           /* of 4,096 descriptors */
    .buffered_max = 64 * 1024 * 1024,
};

gint64
control_now(const control_t *c)
{
    return timers_now(c->timers);
}

void
answer_json(http_exchange_t *exchange, guint status, const char *text)
{
    http_exchange_answer(exchange, status,
                         STR("Content-Type: application/json\r\n"),
                         str_from_cstr(text));
}

GBytes *
posted_bytes(http_exchange_t *exchange)
{
    str_t body = http_exchange_body(exchange);
    return g_bytes_new_static(body.data, body.length);
}

const committed_config_t *
control_newest(const control_t *c)
{
    return c->configs.tail != NULL ? c->configs.tail->data : NULL;
}

guint64
control_newest_version(const control_t *c)
{
    const committed_config_t *newest = control_newest(c);
    return newest != NULL ? newest->version : 0;
}

route_config_t *
control_read_newest(const control_t *c)
{
    const committed_config_t *newest = control_newest(c);
    route_config_t *config = NULL;
    char *fault = NULL;
    if (newest == NULL ||
        platform_config_decode(str_from_bytes(newest->text), &config,
                               &fault) == PLATFORM_OK) {
        return config;
    }
    if (event_log_begin(EVENT_STATE, "config_unreadable")) {
        event_log_number("version", (gint64)newest->version);
        event_log_cstr("why", fault);
        event_log_end();
    }
    g_free(fault);
    return NULL;
}

gboolean
control_may_read(const control_t *c)
{
    return clock_boot_us() < c->view.read_until_us;
}

void
control_log_granting(const control_t *c, const char *event)
{
    if (event_log_begin(EVENT_STATE, event)) {
        event_log_number("term", (gint64)c->view.term);
        event_log_end();
    }
}

static void
committed_config_free(gpointer data)
{
    g_bytes_unref(((committed_config_t *)data)->text);
    g_free(data);
}

static void
on_expire(void *data)
{
    control_t *c = data;
    if (c->view.in_quorum) {
        c->last_quorum_us = control_now(c);
    }
    load_sums_expire(c);
    crash_reports_tick(c);
    limits_expire(c);
    repeat_grants_expire(c);
    slot_grants_expire(c);
    departures_tick(c);
    memory_trim(control_now(c));
    counter_set(counter_get("memory_resident_bytes", NULL, TRUE),
                (gint64)memory_resident());
    if (registry_expire(c->registry, control_now(c))) {
        control_publish_updates(c);
    }
    counter_set(counter_get("endpoints", NULL, TRUE),
                registry_count(c->registry));
    event_log_flush();
}

/* ---- listeners ---- */

static void
handle_outer(http_exchange_t *exchange, void *user)
{
    control_t *c = user;
    str_t id = {0};
    switch (platform_call_decode(http_exchange_head(exchange), &id)) {
    case PLATFORM_CALL_HEARTBEAT:
        handle_heartbeat(c, exchange, id);
        break;
    case PLATFORM_CALL_LEAVE:
        handle_leave(c, exchange, id);
        break;
    case PLATFORM_CALL_CONFIG_PUT:
        handle_config_put(c, exchange);
        break;
    case PLATFORM_CALL_CONFIG_GET:
        handle_config_get(c, exchange);
        break;
    default:
        answer_json(exchange, 404, "{\"error\":\"no such call\"}");
    }
}

typedef struct {
    const char *path;
    void (*handle)(control_t *control, http_exchange_t *exchange);
} inner_call_t;

static const inner_call_t INNER_CALLS[] = {
    {CLOCK_PATH, handle_clock},
    {CRASHES_PATH, handle_crashes},
    {DEPARTURES_PATH, handle_departures},
    {HELPERS_PATH, handle_helpers},
    {LEAVING_PATH, handle_leaving_report},
    {LIMITS_PATH, handle_limits},
    {LOADS_PATH, handle_loads},
    {LOAD_SUMS_PATH, handle_load_sums},
    {SYNC_PATH, handle_sync},
    {REPEATS_PATH, handle_repeats},
    {USAGE_PATH, handle_usage_report},
    {SLOTS_PATH, handle_slots},
    {SLOT_POLLS_PATH, handle_slot_poll},
    {VOTER_PATH, handle_voter_message},
};

static void
handle_inner(http_exchange_t *exchange, void *user)
{
    str_t target = http_head_target(http_exchange_head(exchange));
    for (gsize i = 0; i < G_N_ELEMENTS(INNER_CALLS); i++) {
        if (str_equal(target, str_from_cstr(INNER_CALLS[i].path))) {
            INNER_CALLS[i].handle(user, exchange);
            return;
        }
    }
    answer_json(exchange, 404, "{\"error\":\"no such call\"}");
}

static void
outer_disconnected(http_exchange_t *exchange, void *user)
{
    if (!departure_disconnected(user, exchange)) {
        operator_disconnected(exchange);
    }
}

static void
inner_disconnected(http_exchange_t *exchange, void *user)
{
    if (!slot_poll_disconnected(user, exchange)) {
        entry_disconnected(exchange);
    }
}

static void
handle_drained(http_exchange_t *exchange, void *user)
{
    (void)exchange;
    (void)user;
}

static const http_server_ops_t OUTER_OPS = {.request = handle_outer,
                                            .gone = outer_disconnected,
                                            .drained = handle_drained};
static const http_server_ops_t INNER_OPS = {.request = handle_inner,
                                            .gone = inner_disconnected,
                                            .drained = handle_drained};

/* ---- startup, shutdown and messages from the log ---- */

static void
handle_applied(control_t *c, const config_applied_message_t *m)
{
    if (control_newest(c) != NULL && m->version <= control_newest_version(c)) {
        return;
    }
    c->log_id = m->log_id;
    committed_config_t *config = g_new0(committed_config_t, 1);
    *config = (committed_config_t){.version = m->version,
                                   .text = g_bytes_ref(m->text)};
    g_queue_push_tail(&c->configs, config);
    while (c->configs.length > CONFIGS_MAX) {
        committed_config_free(g_queue_pop_head(&c->configs));
    }
    if (event_log_begin(EVENT_STATE, "config_committed")) {
        event_log_number("version", (gint64)m->version);
        event_log_end();
    }
    control_publish_config(c);
}

static gboolean
same_members(const voter_config_t *a, const voter_config_t *b)
{
    gboolean same = a->count == b->count;
    for (guint i = 0; same && i < a->count; i++) {
        same = strcmp(a->members[i].name, b->members[i].name) == 0;
    }
    return same;
}

static void
handle_view(control_t *c, const config_view_message_t *view)
{
    if (strcmp(view->leader, c->view.leader) != 0 &&
        event_log_begin(EVENT_STATE, "leader")) {
        event_log_cstr("name", view->leader);
        event_log_number("term", (gint64)view->term);
        event_log_end();
    }
    gboolean may_read_now =
        c->view.read_until_us == 0 && view->read_until_us != 0;
    if (!same_members(&view->voters, &c->view.voters)) {
        /* Cached answers list the control instances. */
        cached_answers_clear(c);
        load_sums_reset(c);
    }
    c->view = *view;
    c->others_led = c->others_led || (view->leader[0] != '\0' &&
                                      strcmp(view->leader, c->self) != 0);
    if (view->in_quorum) {
        c->last_quorum_us = control_now(c);
    }
    repeat_grants_apply_view(c);
    slot_grants_apply_view(c);
    if (c->duties != NULL) {
        duties_apply_view(c->duties);
    }
    departures_send(c);
    if (may_read_now) { /* entry instances may wait for `confirmed` to become
                           TRUE */
        pending_syncs_answer_all(c);
    }
}

void
control_handle(control_t *c, message_t *message)
{
    switch ((config_log_message_t)message->type) {
    case CONFIG_LOG_SEND:
        handle_log_send(c, (const config_envelope_message_t *)message);
        break;
    case CONFIG_LOG_RESULT:
        handle_put_result(c, (const config_result_message_t *)message);
        break;
    case CONFIG_LOG_APPLIED:
        handle_applied(c, (const config_applied_message_t *)message);
        break;
    case CONFIG_LOG_LOCAL_STATE:
        handle_saved_orders(c, (const config_bytes_message_t *)message);
        break;
    case CONFIG_LOG_VIEW:
        handle_view(c, (const config_view_message_t *)message);
        break;
    case CONFIG_LOG_USAGE:
        if (c->duties != NULL) {
            duties_apply_ledger(
                c->duties, ((const config_bytes_message_t *)message)->bytes);
        }
        break;
    default:
        break;
    }
}

static gint64
crash_memory_us(const gateway_settings_t *settings)
{
    return (gint64)(settings->crash_memory_s * G_USEC_PER_SEC);
}

void
control_reload(control_t *c, const gateway_settings_t *settings)
{
    crash_ledger_set_retention(c->crashes, crash_memory_us(settings));
    task_send(c->log_task, config_seeds_message(settings->seeds));
}

static const task_ops_t LOG_OPS = {.name = "config-log",
                                   .mailbox_bound = MAILBOX_BOUND,
                                   .handle = config_log_handle};

static gboolean
control_start(control_t *c)
{
    const gateway_settings_t *s = c->settings;
    c->server = http_server_create(c->poller, c->timers, s->control,
                                   &CONTROL_LIMITS, &OUTER_OPS, c);
    char *inner = gateway_settings_inner_listener(s);
    c->inner = http_server_create(c->poller, c->timers, inner, &CONTROL_LIMITS,
                                  &INNER_OPS, c);
    g_free(inner);
    if (c->server == NULL || c->inner == NULL) {
        if (event_log_begin(EVENT_STATE, "listen_failed")) {
            event_log_cstr("address", c->server ? c->self : s->control);
            event_log_end();
        }
        return FALSE;
    }
    c->log = config_log_create(s, c->self, c->task);
    if (c->log == NULL) {
        return FALSE;
    }
    c->log_task = task_create(&LOG_OPS, c->log, NULL);
    config_log_set_task(c->log, c->log_task);
    task_start(c->log_task, config_log_begin);
    return TRUE;
}

control_t *
control_create(const gateway_settings_t *settings, task_t *task,
               poller_t *poller)
{
    control_t *c = g_new0(control_t, 1);
    c->settings = settings;
    c->task = task;
    c->poller = poller;
    c->timers = task_timers(task);
    c->self =
        g_strdup_printf("%s:%d", settings->address, (int)settings->peers_port);
    c->traffic = traffic_create(settings->data_centre);
    c->epoch = (guint64)g_random_int() << 32 | g_random_int() | 1;
    c->registry =
        registry_create((gint64)(settings->heartbeat_ms * (double)MS));
    c->crashes = crash_ledger_create(crash_memory_us(settings));
    c->limits = limit_quota_create();
    c->own_loads = load_sum_create();
    c->loads = load_sum_create();
    c->sums_sequence = c->epoch; /* unique to this incarnation */
    c->peer_load_deltas = load_deltas_create();
    c->own_parts = part_feed_create();
    c->parts = part_feed_create();
    c->peers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
    c->helpers = helper_list_create();
    c->departure_peers = departure_peers_create();
    c->slot_polls = slot_polls_create();
    c->entries =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    c->pending_puts =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    c->known_services =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    timers_subscribe(c->timers, EXPIRE_INTERVAL_US, EXPIRE_INTERVAL_US,
                     on_expire, c);
    timers_subscribe(c->timers, SUMS_INTERVAL_US, SUMS_INTERVAL_US,
                     load_sums_send, c);
    if (!control_start(c)) {
        control_destroy(c);
        return NULL;
    }
    c->duties = duties_create(c);
    return c;
}

void
control_destroy(control_t *c)
{
    if (c->log_task != NULL) {
        task_stop(c->log_task, NULL);
        task_destroy(c->log_task);
    }
    g_clear_pointer(&c->log, config_log_destroy);
    g_clear_pointer(&c->duties, duties_destroy);
    pending_syncs_drop_all(c);
    slot_polls_refuse_all(c);
    timers_cancel(c->timers, c->publish_timer);
    timers_cancel(c->timers, c->config_timer);
    cached_answers_clear(c);
    g_clear_pointer(&c->server, http_server_destroy);
    g_clear_pointer(&c->inner, http_server_destroy);
    g_hash_table_unref(c->peers);
    g_hash_table_unref(c->entries);
    g_hash_table_unref(c->helpers);
    g_hash_table_unref(c->departure_peers);
    g_hash_table_unref(c->slot_polls);
    g_hash_table_unref(c->pending_puts);
    g_hash_table_unref(c->known_services);
    for (guint i = 0; i < CONTROL_CACHED_DELTAS_MAX; i++) {
        g_clear_pointer(&c->deltas[i].bytes, g_bytes_unref);
    }
    g_queue_clear_full(&c->configs, committed_config_free);
    registry_destroy(c->registry);
    crash_ledger_destroy(c->crashes);
    limit_quota_destroy(c->limits);
    g_clear_pointer(&c->repeats, repeat_quota_destroy);
    g_clear_pointer(&c->slots, slot_quota_destroy);
    load_sum_destroy(c->own_loads);
    load_sum_destroy(c->loads);
    g_hash_table_unref(c->peer_load_deltas);
    g_clear_pointer(&c->sorted_loads, g_array_unref);
    part_feed_destroy(c->own_parts);
    part_feed_destroy(c->parts);
    traffic_destroy(c->traffic);
    g_free(c->self);
    g_free(c);
}

void
control_drain(control_t *c)
{
    c->draining = TRUE;
    c->drain_until_us = control_now(c) + HANDOVER_TIMEOUT_US;
    http_server_drain(c->server);
    http_server_drain(c->inner);
    pending_syncs_answer_all(c);
    slot_polls_refuse_all(c);
    task_send(c->log_task, config_hand_over_message());
}

gboolean
control_idle(const control_t *c)
{
    return c->draining && control_now(c) >= c->drain_until_us &&
           http_server_exchanges(c->server) == 0;
}

char *
control_dump(control_t *c)
{
    GString *text = g_string_new(NULL);
    g_string_append_printf(
        text,
        "self %s\nleader %s\nleads %d\nterm %" G_GUINT64_FORMAT
        "\nconfig version %" G_GUINT64_FORMAT
        "\nendpoints %u\nentries %u, %u report here\n"
        "requests quarantined %u, suspect %u, endpoints that ended %u\n",
        c->self, c->view.leader, c->view.leads, c->view.term,
        control_newest_version(c), registry_count(c->registry),
        c->active_entries, load_sum_reporters(c->own_loads),
        crash_ledger_quarantined(c->crashes),
        crash_ledger_suspects(c->crashes), crash_ledger_ends(c->crashes));
    if (c->duties != NULL) {
        duties_dump(c->duties, text);
    }
    departures_dump(c, text);
    limit_quota_dump(c->limits, text, control_now(c));
    repeat_grants_dump(c, text);
    slot_grants_dump(c, text);
    for (guint i = 0; i < c->view.voters.count; i++) {
        const voter_member_t *m = &c->view.voters.members[i];
        g_string_append_printf(text, "voter %s%s\n", m->name,
                               m->learner ? " (learner)" : "");
    }
    return g_string_free(text, FALSE);
}

char *
control_usage(const control_t *c)
{
    return c->duties != NULL ? duties_usage_text(c->duties) : NULL;
}

char *
control_capacity(const control_t *c)
{
    return c->duties != NULL ? duties_capacity_text(c->duties) : NULL;
}
