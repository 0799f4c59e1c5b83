#include "carobloom/gateway/entry.h"

#include <string.h>

#include "carobloom/common/clock.h"
#include "carobloom/common/counters.h"
#include "carobloom/common/event_log.h"
#include "carobloom/common/memory.h"
#include "entry_state.h"
#include "platform.h"

enum {
    MS = 1000,
    SWEEP_US = 500 * MS,
    LATE_US = 200 * MS, /* by which a timer of a busy process is late */
    /* File descriptors for listeners, connections to control instances, and
     * files. Half of the other descriptors are for connections to
     * endpoints. */
    DESCRIPTORS_RESERVED = 300,
    PROBE_CONNECTIONS_MAX = 64,
    /* The balancer probes each second and stops sending callers after two
     * failed probes; until then new connections arrive. */
    DRAIN_NOTICE_US = 2600 * MS,
    /* Time to close listeners and files before the platform kills the
     * process. */
    DRAIN_MARGIN_US = 300 * MS,
    /* Delay after a start, in which more than one control instance can report
     * its endpoints. */
    READY_DELAY_US = 300 * MS,
    /* Callers that read slowly, or late, still read: only one that reads
     * nothing for so long has its connection ended. */
    CALLER_UNREAD_MAX_US = 60 * G_USEC_PER_SEC,
    /* Loads of the other instances that are older are not used. */
    LOADS_AGE_MAX_US = 2000 * MS,
};

/* Fraction of the bound for withdrawn keys after which an unconfirmed
 * configuration no longer admits requests that need a key. */
static const double CONFIRMED_FRACTION = 0.8;
/* Fraction of the same bound after which the instance is not ready, so that
 * the balancer stops sending callers to it. */
static const double READY_FRACTION = 0.5;
/* Fraction of the memory for bodies of requests that are being received. */
static const double BODIES_FRACTION = 0.25;
/* Fraction of the memory that may be in use, whatever for, while new requests
 * are accepted. */
static const double MEMORY_FRACTION = 0.75;

gint64
entry_now(const entry_t *e)
{
    return timers_now(e->timers);
}

/* ---- configuration ---- */

static gboolean
confirmed_within(const entry_t *e, double fraction)
{
    if (e->config == NULL || e->confirmed_us == 0) {
        return FALSE;
    }
    double bound_us = e->settings->revoke_ms * MS * fraction;
    return bound_us == 0 ||
           (double)(clock_boot_us() - e->confirmed_us) < bound_us;
}

gboolean
entry_is_confirmed(const entry_t *e)
{
    return confirmed_within(e, CONFIRMED_FRACTION);
}

gint64
entry_config_age_ms(const entry_t *e)
{
    return e->confirmed_us != 0 ? (clock_boot_us() - e->confirmed_us) / MS
                                : -1;
}

gint64
entry_newer_config_ms(const entry_t *e)
{
    return e->newer_config_since_us != 0
               ? (entry_now(e) - e->newer_config_since_us) / MS
               : -1;
}

void
entry_record_confirmation(entry_t *e, gint64 written_us, const char *control)
{
    if (written_us <= e->confirmed_us) {
        return;
    }
    e->confirmed_us = written_us;
    if (g_strcmp0(e->confirmed_by, control) != 0) {
        g_free(e->confirmed_by);
        e->confirmed_by = g_strdup(control);
    }
}

gsize
entry_memory_bytes(const entry_t *e)
{
    return (gsize)(e->settings->memory_mb * 1048576);
}

gsize
entry_answer_bytes(const entry_t *e)
{
    return http_server_unread(e->callers) + e->buffered_bytes +
           tunnel_server_buffered(e->tunnel_server);
}

static http_limits_t
caller_limits(const entry_t *e)
{
    const client_limits_t *l = e->config != NULL ? &e->config->limits : NULL;
    double descriptors = e->settings->descriptors - DESCRIPTORS_RESERVED;
    http_limits_t limits = {
        .head_max = l != NULL ? (gsize)l->head_bytes : 16384,
        .body_max = l != NULL ? (gsize)l->body_bytes : 4194304,
        .head_us = (l != NULL ? l->head_ms : 3000) * MS,
        .idle_us = (l != NULL ? l->idle_ms : 15000) * MS,
        .connections = (guint)MAX(descriptors / 2, 32),
        .buffered_max =
            (gsize)((double)entry_memory_bytes(e) * BODIES_FRACTION),
        .unread_us = CALLER_UNREAD_MAX_US,
    };
    return limits;
}

gboolean
entry_apply_config(entry_t *e, guint64 version, GBytes *text, char **fault)
{
    route_config_t *config;
    if (platform_config_decode(str_from_bytes(text), &config, fault) !=
        PLATFORM_OK) {
        return FALSE;
    }
    if (config->version != version) {
        *fault = g_strdup_printf("the text is of version %" G_GUINT64_FORMAT,
                                 config->version);
        route_config_unref(config);
        return FALSE;
    }
    g_clear_pointer(&e->config, route_config_unref);
    g_clear_pointer(&e->text, g_bytes_unref);
    e->config = config;
    e->text = g_bytes_ref(text);
    e->newer_config_since_us = 0;
    e->needs_whole_config = FALSE;
    e->is_of_other_log = FALSE;
    http_limits_t limits = caller_limits(e);
    http_server_set_limits(e->callers, &limits);
    slot_link_apply_config(e->slot_link);
    counter_set(counter_get("config_version", NULL, TRUE), (gint64)version);
    if (event_log_begin(EVENT_STATE, "config_in_force")) {
        event_log_number("version", (gint64)version);
        event_log_number("routes", config->routes->len);
        event_log_end();
    }
    return TRUE;
}

service_state_t *
entry_service_state(entry_t *e, const char *service)
{
    service_state_t *state = g_hash_table_lookup(e->services, service);
    if (state == NULL) {
        state = g_new0(service_state_t, 1);
        engine_model_init(&state->engine);
        state->budget = repeat_link_budget(e->repeat_link, service);
        g_hash_table_insert(e->services, g_strdup(service), state);
    }
    return state;
}

static void
log_split(const char *service, const engine_split_t *split,
          const split_demand_t *demand)
{
    if (!event_log_begin(EVENT_STATE, "engines_divided")) {
        return;
    }
    event_log_cstr("service", service);
    event_log_number("engines", demand->engines);
    event_log_number("for_long_percent",
                     (gint64)(100 * engine_split_long_fraction(split)));
    event_log_number("tokens_a_ms", (gint64)demand->tokens_per_ms);
    event_log_number("long_running", demand->long_prompts.running);
    event_log_number("long_waiting",
                     (gint64)demand->long_prompts.waiting_tokens);
    event_log_number("rest_running", demand->short_prompts.running);
    event_log_number("rest_waiting",
                     (gint64)demand->short_prompts.waiting_tokens);
    event_log_end();
}

static void
service_state_free(gpointer data)
{
    service_state_t *state = data;
    slot_service_clear(&state->slots);
    g_free(state);
}

static void
record_peaks(const GPtrArray *endpoints)
{
    for (guint i = 0; endpoints != NULL && i < endpoints->len; i++) {
        endpoint_t *endpoint = endpoints->pdata[i];
        endpoint->others_peak = (float)brittle_peak(endpoint->others_peak,
                                                    endpoint->others.running);
    }
}

void
entry_apply_loads(entry_t *e)
{
    GHashTableIter iter;
    gpointer service;
    gpointer value;
    e->loads_received_us = entry_now(e);
    g_hash_table_iter_init(&iter, e->services);
    while (g_hash_table_iter_next(&iter, &service, &value)) {
        service_state_t *state = value;
        split_demand_t demand =
            directory_demand(e->directory, service, e->loads_received_us);
        demand.tokens_per_ms = engine_model_tokens_per_ms(&state->engine);
        prompt_mix_fill_demand(&state->prompts, e->entries,
                               e->loads_received_us, &demand);
        if (slot_link_is_brittle(e->slot_link, &state->slots)) {
            record_peaks(directory_service(e->directory, service));
        }
        double before = engine_split_long_fraction(&state->split);
        engine_split_update(&state->split, &demand, e->loads_received_us);
        if (engine_split_long_fraction(&state->split) != before) {
            log_split(service, &state->split, &demand);
        }
    }
}

gboolean
entry_has_recent_loads(const entry_t *e)
{
    return e->loads_received_us != 0 &&
           entry_now(e) - e->loads_received_us < LOADS_AGE_MAX_US;
}

/* ---- readiness ---- */

static gboolean
is_ready(const entry_t *e)
{
    return e->drain_us == 0 && confirmed_within(e, READY_FRACTION) &&
           directory_count(e->directory) > 0 &&
           entry_now(e) - e->started_us > READY_DELAY_US;
}

static void
handle_probe(http_exchange_t *exchange, void *user)
{
    entry_t *e = user;
    str_t id;
    gboolean probe = platform_call_decode(http_exchange_head(exchange), &id) ==
                     PLATFORM_CALL_READY;
    guint status = !probe ? 404 : is_ready(e) ? 200 : 503;
    http_exchange_answer(exchange, status, STR(""), STR(""));
}

static void
ignore_event(http_exchange_t *exchange, void *user)
{
    (void)exchange;
    (void)user;
}

static void
handle_request(http_exchange_t *exchange, void *user)
{
    forward_create(user, exchange);
}

static void
handle_gone(http_exchange_t *exchange, void *user)
{
    (void)user;
    forward_gone(exchange);
}

static void
handle_drained(http_exchange_t *exchange, void *user)
{
    (void)user;
    forward_drained(exchange);
}

/* Copies of bodies on their way to endpoints count like the bodies. */
static gsize
handle_held(void *user)
{
    const entry_t *e = user;
    return e->is_short_of_memory ? entry_memory_bytes(e)
                                 : e->request_bytes_unsent;
}

static const http_server_ops_t PROBE_OPS = {
    .request = handle_probe, .gone = ignore_event, .drained = ignore_event};
static const http_server_ops_t CALLER_OPS = {.request = handle_request,
                                             .gone = handle_gone,
                                             .drained = handle_drained,
                                             .held = handle_held};

/* ---- lifecycle ---- */

static void
handle_endpoint_end(void *user, const endpoint_end_t *end)
{
    const entry_t *e = user;
    slot_link_log_end(e->slot_link, end->endpoint);
    crash_link_report_end(e->crash_link, end);
}

static gboolean
reaches_service(void *user, const char *service)
{
    return !reach_watch_is_confirmed(((entry_t *)user)->reach, service);
}

static void
destroy_connections(void *connections)
{
    http_peer_destroy(connections);
}

void
entry_count_quarantined(const entry_t *e)
{
    counter_set(counter_get("requests_held", NULL, TRUE),
                quarantine_count(e->quarantine));
    counter_set(counter_get("parts_held", NULL, TRUE),
                quarantine_count_parts(e->quarantine));
}

static void
watch_memory(entry_t *e)
{
    gsize allocated = memory_allocated();
    gboolean is_short =
        (double)allocated > MEMORY_FRACTION * (double)entry_memory_bytes(e);
    memory_trim(entry_now(e));
    counter_set(counter_get("memory_allocated_bytes", NULL, TRUE),
                (gint64)allocated);
    counter_set(counter_get("memory_resident_bytes", NULL, TRUE),
                (gint64)memory_resident());
    counter_set(counter_get("request_bytes_held", NULL, TRUE),
                (gint64)http_server_buffered(e->callers));
    counter_set(counter_get("request_bytes_unsent", NULL, TRUE),
                (gint64)e->request_bytes_unsent);
    if (is_short != e->is_short_of_memory &&
        event_log_begin(EVENT_STATE,
                        is_short ? "memory_short" : "memory_sufficient")) {
        event_log_number("allocated_bytes", (gint64)allocated);
        event_log_number("request_bytes",
                         (gint64)http_server_buffered(e->callers));
        event_log_number("unsent_bytes", (gint64)e->request_bytes_unsent);
        event_log_number("answer_bytes", (gint64)entry_answer_bytes(e));
        event_log_number("connections", http_server_connections(e->callers));
        event_log_end();
    }
    e->is_short_of_memory = is_short;
}

static void
on_sweep(void *data)
{
    entry_t *e = data;
    gint64 now = entry_now(e);
    e->is_late =
        e->swept_us != 0 && now - e->swept_us > SWEEP_US + (gint64)LATE_US;
    e->swept_us = now;
    directory_sweep(e->directory, now);
    watch_memory(e);
    quarantine_expire(e->quarantine, entry_now(e));
    entry_count_quarantined(e);
    counter_set(counter_get("endpoints", NULL, TRUE),
                directory_count(e->directory));
    counter_set(counter_get("requests_in_flight", NULL, TRUE),
                e->requests_in_flight);
    counter_set(counter_get("answer_bytes_held", NULL, TRUE),
                (gint64)entry_answer_bytes(e));
    counter_set(counter_get("connections", NULL, TRUE),
                http_server_connections(e->callers));
    event_log_flush();
}

static gboolean
entry_listen(entry_t *e)
{
    const gateway_settings_t *s = e->settings;
    http_limits_t limits = caller_limits(e);
    http_limits_t probe = limits;
    probe.connections = PROBE_CONNECTIONS_MAX;
    e->callers = http_server_create(e->poller, e->timers, s->callers, &limits,
                                    &CALLER_OPS, e);
    e->probe = http_server_create(e->poller, e->timers, s->probe, &probe,
                                  &PROBE_OPS, e);
    if (e->callers != NULL && e->probe != NULL) {
        return TRUE;
    }
    if (event_log_begin(EVENT_STATE, "listen_failed")) {
        event_log_cstr("address", e->callers ? s->probe : s->callers);
        event_log_end();
    }
    return FALSE;
}

entry_t *
entry_create(const gateway_settings_t *settings, task_t *task,
             poller_t *poller)
{
    entry_t *e = g_new0(entry_t, 1);
    e->settings = settings;
    e->task = task;
    e->poller = poller;
    e->timers = task_timers(task);
    e->random = g_rand_new();
    e->traffic = traffic_create(settings->data_centre);
    e->directory = directory_create(destroy_connections);
    e->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                        service_state_free);
    e->links = g_ptr_array_new();
    e->entries = 1;
    e->started_us = entry_now(e);
    crash_watch_setup_t watch = {.poller = e->poller,
                                 .timers = e->timers,
                                 .directory = e->directory,
                                 .ended = handle_endpoint_end,
                                 .reaches = reaches_service,
                                 .user = e};
    e->crashes = crash_watch_create(&watch);
    e->crash_link = crash_link_create(e);
    e->limit_link = limit_link_create(e);
    e->rests = rest_watch_create(e);
    e->quarantine = quarantine_create();
    e->reach = reach_watch_create(e);
    e->helper_link = helper_link_create(e);
    e->repeat_link = repeat_link_create(e);
    e->slot_link = slot_link_create(e);
    if (!entry_listen(e)) {
        entry_destroy(e);
        return NULL;
    }
    e->tunnel_server = tunnel_server_create(e);
    timers_subscribe(e->timers, SWEEP_US, SWEEP_US, on_sweep, e);
    poller_set_after_urgent(e->poller, control_links_poll_again, e);
    control_links_add_seeds(e);
    e->load_link = load_link_create(e);
    e->usage_link = usage_link_create(e);
    return e;
}

void
entry_destroy(entry_t *e)
{
    g_clear_pointer(&e->load_link, load_link_destroy);
    g_clear_pointer(&e->usage_link, usage_link_destroy);
    poller_set_after_urgent(e->poller, NULL, NULL);
    control_links_destroy(e);
    g_clear_pointer(&e->callers, http_server_destroy);
    g_clear_pointer(&e->probe, http_server_destroy);
    g_clear_pointer(&e->tunnel_server, tunnel_server_destroy);
    reach_watch_destroy(e->reach);
    repeat_link_destroy(e->repeat_link);
    slot_link_destroy(e->slot_link);
    helper_link_destroy(e->helper_link);
    crash_watch_destroy(e->crashes);
    crash_link_destroy(e->crash_link);
    limit_link_destroy(e->limit_link);
    rest_watch_destroy(e->rests);
    quarantine_destroy(e->quarantine);
    directory_destroy(e->directory);
    g_hash_table_unref(e->services);
    g_clear_pointer(&e->config, route_config_unref);
    g_clear_pointer(&e->text, g_bytes_unref);
    g_free(e->confirmed_by);
    traffic_destroy(e->traffic);
    g_rand_free(e->random);
    g_free(e);
}

void
entry_reload(entry_t *e, const gateway_settings_t *settings)
{
    e->settings = settings;
    control_links_add_seeds(e);
}

void
entry_drain(entry_t *e)
{
    e->drain_us = entry_now(e);
    http_server_drain(e->callers);
    helper_link_set_can_help(e->helper_link, FALSE);
    tunnel_server_drain(e->tunnel_server);
}

gboolean
entry_idle(entry_t *e)
{
    if (e->drain_us == 0) {
        return FALSE;
    }
    gint64 since = entry_now(e) - e->drain_us;
    gint64 grace_us = (gint64)(e->settings->grace_s * G_USEC_PER_SEC);
    if (since > grace_us - DRAIN_MARGIN_US) {
        http_server_end_exchanges(e->callers, forward_end);
        return TRUE;
    }
    if (since < MIN(DRAIN_NOTICE_US, grace_us / 2)) {
        return FALSE;
    }
    if (!e->refusing) {
        repeat_link_end(e->repeat_link);
    }
    e->refusing = TRUE;
    http_server_unlisten(e->callers);
    http_server_close_idle(e->callers);
    return http_server_connections(e->callers) == 0 &&
           tunnel_server_count(e->tunnel_server) == 0;
}

static void
dump_services(const entry_t *e, GString *text)
{
    GHashTableIter iter;
    gpointer service;
    gpointer value;
    g_hash_table_iter_init(&iter, e->services);
    while (g_hash_table_iter_next(&iter, &service, &value)) {
        const service_state_t *state = value;
        g_string_append_printf(
            text,
            "service %s: %.0f prompt tokens per ms, first event after"
            " %.0f ms with none waiting, %.2f of the engines for long "
            "prompts\n",
            (const char *)service, engine_model_tokens_per_ms(&state->engine),
            engine_model_first_ms(&state->engine, 0),
            engine_split_long_fraction(&state->split));
    }
}

char *
entry_dump(const entry_t *e)
{
    GString *text = g_string_new(NULL);
    g_string_append_printf(
        text,
        "config version %lu, confirmed %ld ms ago by %s, a newer one known "
        "for %ld ms\nready %d\n"
        "requests %u, connections %u, endpoints %u, entries %u\n"
        "requests quarantined %u, prompt parts %u\n",
        e->config ? (unsigned long)e->config->version : 0,
        (long)entry_config_age_ms(e),
        e->confirmed_by != NULL ? e->confirmed_by : "none",
        (long)entry_newer_config_ms(e), is_ready(e), e->requests_in_flight,
        http_server_connections(e->callers), directory_count(e->directory),
        e->entries, quarantine_count(e->quarantine),
        quarantine_count_parts(e->quarantine));
    quarantine_dump(e->quarantine, text, entry_now(e));
    dump_services(e, text);
    control_links_dump(e, text);
    load_link_dump(e->load_link, text);
    limit_link_dump(e->limit_link, text);
    rest_watch_dump(e->rests, text);
    reach_watch_dump(e->reach, text);
    helper_link_dump(e->helper_link, text);
    repeat_link_dump(e->repeat_link, text);
    slot_link_dump(e->slot_link, text);
    if (e->usage_link != NULL) {
        usage_link_dump(e->usage_link, text);
    }
    return g_string_free(text, FALSE);
}
