/* Whether this instance reaches the endpoints of each service, and probes of
 * direct connections while it does not. */
#include "carobloom/common/counters.h"
#include "carobloom/common/event_log.h"
#include "entry_state.h"
#include "platform.h"

enum {
    MS = 1000,
    /* Direct probes during a cut. Random, so that instances that were cut off
     * together don't return at the same moment. */
    PROBE_INTERVAL_MIN_US = 300 * MS,
    PROBE_INTERVAL_MAX_US = 700 * MS,
    PROBE_TIMEOUT_US = 500 * MS,
    PROBE_CONNECT_US = 250 * MS,
    PROBE_HEAD_MAX = 16384,
    PROBE_BODY_MAX = 65536,
    LOGGED_ENDPOINTS_MAX = 4,
    HELPER_NAME_MAX = 64,
};

static const http_peer_limits_t PROBE_LIMITS = {.connect_us = PROBE_CONNECT_US,
                                                .head_max = PROBE_HEAD_MAX,
                                                .body_max = PROBE_BODY_MAX};
typedef struct probe probe_t;

/* One way of a probe. */
typedef struct {
    probe_t *probe;
    http_peer_t *peer; /* NULL: this way is not tried */
    client_call_t *call;
    gboolean opened;
    gboolean answered;
    gboolean is_unreached; /* the endpoint did not accept a connection */
} probe_leg_t;

/* A health check of an endpoint of a cut-off service; one at a time. */
struct probe {
    reach_watch_t *watch;
    char *service;
    char *endpoint; /* id */
    char helper[HELPER_NAME_MAX];
    probe_leg_t direct;
    probe_leg_t through; /* until the cut is confirmed */
    guint64 timer;
};

struct reach_watch {
    entry_t *entry;
    GHashTable *probes; /* service -> probe_t, in flight */
    guint64 probe_timer;
    guint cut_services;       /* assumed or confirmed */
    guint confirmed_services; /* of these */
};

static void probe_tick(void *data);

/* ---- beginning and end of a cut ---- */

/* Counts of one service, and of all. */
typedef struct {
    const char *service;
    gint64 now_us;
    reach_counts_t counts;
    reach_counts_t all;
} counting_t;

static void
count_service(const char *service, const GPtrArray *endpoints, void *user)
{
    counting_t *counting = user;
    reach_counts_t counts = {0};
    reach_count(endpoints, counting->now_us, &counts);
    reach_counts_add(&counting->all, &counts);
    if (g_str_equal(service, counting->service)) {
        counting->counts = counts;
    }
}

static void
log_cut(const reach_watch_t *w, const char *service, const char *sign,
        const reach_counts_t *counts)
{
    gint64 now = entry_now(w->entry);
    const GPtrArray *endpoints =
        directory_service(w->entry->directory, service);
    if (!event_log_begin(EVENT_STATE, "endpoints_cut_off")) {
        return;
    }
    GString *list = g_string_new(NULL);
    guint listed = 0;
    for (guint i = 0; i < endpoints->len && listed < LOGGED_ENDPOINTS_MAX;
         i++) {
        const endpoint_t *e = endpoints->pdata[i];
        if (e->unreached_us >= counts->first_failed_us) {
            g_string_append_printf(list, "%s%s", listed++ > 0 ? "," : "",
                                   e->id);
        }
    }
    event_log_cstr("service", service);
    event_log_cstr("sign", sign);
    event_log_number("failed", counts->failed);
    event_log_number("reached", counts->reached);
    event_log_number("usable", counts->usable);
    event_log_number("since_ms", (now - counts->first_failed_us) / MS);
    event_log_cstr("endpoints", list->str);
    event_log_number("helpers", helper_link_count(w->entry->helper_link));
    event_log_end();
    g_string_free(list, TRUE);
}

static void
schedule_probes(reach_watch_t *w, gint64 delay_us)
{
    timers_cancel(w->entry->timers, w->probe_timer);
    w->probe_timer =
        timers_subscribe(w->entry->timers, delay_us, 0, probe_tick, w);
}

static gint64
probe_interval_us(const reach_watch_t *w)
{
    return g_rand_int_range(w->entry->random, PROBE_INTERVAL_MIN_US,
                            PROBE_INTERVAL_MAX_US);
}

static void
cut_begin(reach_watch_t *w, const char *service, const char *sign,
          const reach_counts_t *counts)
{
    w->cut_services++;
    counter_add(counter_get("cuts_begun_total", NULL, FALSE), 1);
    counter_set(counter_get("services_cut_off", NULL, TRUE), w->cut_services);
    log_cut(w, service, sign, counts);
    schedule_probes(w, 0);
}

static void
close_tunnels(const GPtrArray *endpoints)
{
    for (guint i = 0; endpoints != NULL && i < endpoints->len; i++) {
        endpoint_t *endpoint = endpoints->pdata[i];
        if (endpoint->tunnels != NULL) {
            http_peer_close_tunnels(endpoint->tunnels);
        }
    }
}

static void
cut_end(reach_watch_t *w, const char *service)
{
    entry_t *e = w->entry;
    service_state_t *state = entry_service_state(e, service);
    const GPtrArray *endpoints = directory_service(e->directory, service);
    if (event_log_begin(EVENT_STATE, "endpoints_reached")) {
        event_log_cstr("service", service);
        event_log_number("cut_ms",
                         (entry_now(e) - state->reach.since_us) / MS);
        event_log_end();
    }
    w->confirmed_services -= state->reach.confirmed;
    helper_link_set_can_help(e->helper_link,
                             w->confirmed_services == 0 && e->drain_us == 0);
    service_reach_end(&state->reach, endpoints);
    close_tunnels(endpoints);
    w->cut_services--;
    counter_set(counter_get("services_cut_off", NULL, TRUE), w->cut_services);
}

void
reach_watch_record_failure(reach_watch_t *w, endpoint_t *endpoint,
                           const char *sign)
{
    entry_t *e = w->entry;
    gint64 now = entry_now(e);
    service_state_t *state = entry_service_state(e, endpoint->service);
    counting_t counting = {.service = endpoint->service, .now_us = now};
    endpoint_record_unreached(endpoint, now);
    if (service_reach_is_cut(&state->reach)) {
        return;
    }
    directory_each_service(e->directory, count_service, &counting);
    if (service_reach_begin(&state->reach, &counting.counts, &counting.all)) {
        cut_begin(w, endpoint->service, sign, &counting.counts);
    }
}

gboolean
reach_watch_avoids(const reach_watch_t *w, const endpoint_t *endpoint)
{
    if (w->cut_services == 0) {
        return FALSE;
    }
    const service_state_t *state =
        entry_service_state(w->entry, endpoint->service);
    return service_reach_avoids(&state->reach, endpoint);
}

gboolean
reach_watch_is_confirmed(const reach_watch_t *w, const char *service)
{
    return w->cut_services > 0 &&
           entry_service_state(w->entry, service)->reach.confirmed;
}

/* ---- probes ---- */

static void
leg_clear(probe_leg_t *leg)
{
    if (leg->call != NULL) {
        client_call_cancel(leg->call);
    }
    g_clear_pointer(&leg->peer, http_peer_destroy);
}

static void
probe_free(gpointer data)
{
    probe_t *probe = data;
    timers_cancel(probe->watch->entry->timers, probe->timer);
    leg_clear(&probe->direct);
    leg_clear(&probe->through);
    g_free(probe->service);
    g_free(probe->endpoint);
    g_free(probe);
}

static void
log_confirmed(const probe_t *probe)
{
    if (event_log_begin(EVENT_STATE, "cut_confirmed")) {
        event_log_cstr("service", probe->service);
        event_log_cstr("endpoint", probe->endpoint);
        event_log_cstr("helper", probe->helper);
        event_log_end();
    }
}

/* Takes the result of a probe. Runs outside of the callbacks of its calls. */
static void
probe_over(void *data)
{
    probe_t *probe = data;
    reach_watch_t *w = probe->watch;
    entry_t *e = w->entry;
    gint64 now = entry_now(e);
    service_reach_t *reach = &entry_service_state(e, probe->service)->reach;
    endpoint_t *endpoint = directory_find(e->directory, probe->endpoint);
    reach_probe_t result = {
        .opened = probe->direct.opened,
        .answered = probe->direct.answered,
        .through_opened = probe->through.opened,
        .through_answered = probe->through.answered,
        .through_failed = probe->through.is_unreached,
    };
    probe->timer = 0;
    if (service_reach_record_probe(reach, endpoint, &result, now)) {
        service_reach_forgive(directory_service(e->directory, probe->service));
        log_confirmed(probe);
        w->confirmed_services++;
        helper_link_set_can_help(e->helper_link, FALSE);
    }
    if (service_reach_is_over(
            reach, directory_service(e->directory, probe->service), now)) {
        cut_end(w, probe->service);
    }
    gboolean unchanged = reach->probes_ok == 0 && !result.through_failed;
    g_hash_table_remove(w->probes, probe->service);
    if (w->cut_services > 0) {
        schedule_probes(w, unchanged ? probe_interval_us(w) : 0);
    }
}

static void
probe_end(probe_t *probe)
{
    entry_t *e = probe->watch->entry;
    timers_cancel(e->timers, probe->timer);
    probe->timer = timers_subscribe(e->timers, 0, 0, probe_over, probe);
}

static void
leg_end(probe_leg_t *leg)
{
    probe_t *probe = leg->probe;
    leg->call = NULL;
    gboolean decided = probe->direct.answered || probe->through.call == NULL;
    if (probe->direct.call == NULL && decided) {
        probe_end(probe);
    }
}

static gboolean
on_probe_opened(client_call_t *call, void *user)
{
    (void)call;
    ((probe_leg_t *)user)->opened = TRUE;
    return TRUE;
}

/* Any answer shows that the endpoint is reached. */
static call_verdict_t
on_probe_head(client_call_t *call, const http_head_t *head, void *user)
{
    (void)call;
    (void)head;
    ((probe_leg_t *)user)->answered = TRUE;
    return CALL_TAKE;
}

static void
on_probe_body(client_call_t *call, str_t bytes, void *user)
{
    (void)call;
    (void)bytes;
    (void)user;
}

static void
on_probe_done(client_call_t *call, void *user)
{
    (void)call;
    leg_end(user);
}

static void
on_probe_failed(client_call_t *call, call_failure_t failure, void *user)
{
    (void)call;
    probe_leg_t *leg = user;
    leg->is_unreached = !leg->opened && (failure == CALL_FAILED_UNSENT ||
                                         failure == CALL_FAILED_REFUSED);
    leg_end(leg);
}

static const client_call_ops_t PROBE_OPS = {.may_send = on_probe_opened,
                                            .head = on_probe_head,
                                            .body = on_probe_body,
                                            .done = on_probe_done,
                                            .failed = on_probe_failed};

static void
probe_expired(void *data)
{
    probe_t *probe = data;
    probe->timer = 0;
    probe_over(probe);
}

static GString *
probe_request(const reach_watch_t *w, const char *service,
              const endpoint_t *endpoint)
{
    const entry_t *e = w->entry;
    const service_t *config =
        e->config != NULL ? route_config_service(e->config, service) : NULL;
    return platform_health_encode(endpoint->address,
                                  config != NULL ? config->health_path : NULL);
}

static void
probe_directly(probe_t *probe, str_t request)
{
    probe_leg_t *leg = &probe->direct;
    if (leg->peer != NULL) {
        leg->call =
            client_call_create(leg->peer, request, FALSE, &PROBE_OPS, leg);
    }
}

static void
probe_through(probe_t *probe, str_t request)
{
    reach_watch_t *w = probe->watch;
    probe_leg_t *leg = &probe->through;
    const helper_t *helper = helper_link_pick(w->entry->helper_link);
    if (helper == NULL || leg->peer == NULL) {
        g_clear_pointer(&leg->peer, http_peer_destroy);
        return;
    }
    g_strlcpy(probe->helper, helper->info.instance, sizeof(probe->helper));
    tunnel_call_t setup = {.peer = leg->peer,
                           .endpoint = probe->endpoint,
                           .request = STR("probe"),
                           .bytes = request,
                           .open_us = PROBE_TIMEOUT_US};
    leg->call = helper_link_call(w->entry->helper_link, helper, &setup,
                                 &PROBE_OPS, leg);
}

static void
leg_init(probe_leg_t *leg, probe_t *probe, const endpoint_t *endpoint)
{
    const entry_t *e = probe->watch->entry;
    *leg = (probe_leg_t){.probe = probe,
                         .peer = http_peer_create(
                             e->poller, e->timers,
                             str_from_cstr(endpoint->address), &PROBE_LIMITS)};
}

static void
probe_begin(reach_watch_t *w, const char *service, const endpoint_t *endpoint,
            gboolean confirmed)
{
    entry_t *e = w->entry;
    probe_t *probe = g_new0(probe_t, 1);
    probe->watch = w;
    probe->service = g_strdup(service);
    probe->endpoint = g_strdup(endpoint->id);
    leg_init(&probe->direct, probe, endpoint);
    g_hash_table_insert(w->probes, probe->service, probe);
    counter_add(counter_get("reach_probes_total", NULL, FALSE), 1);
    GString *text = probe_request(w, service, endpoint);
    str_t request = {.data = text->str, .length = text->len};
    probe_directly(probe, request);
    if (!confirmed) {
        leg_init(&probe->through, probe, endpoint);
        probe_through(probe, request);
    }
    g_string_free(text, TRUE);
    probe->timer =
        timers_subscribe(e->timers, PROBE_TIMEOUT_US, 0, probe_expired, probe);
    if (probe->direct.call == NULL && probe->through.call == NULL) {
        probe_end(probe);
    }
}

static void
probe_service(reach_watch_t *w, const char *service,
              const service_state_t *state)
{
    entry_t *e = w->entry;
    const GPtrArray *endpoints = directory_service(e->directory, service);
    if (!service_reach_is_cut(&state->reach) ||
        g_hash_table_contains(w->probes, service)) {
        return;
    }
    endpoint_t *endpoint = service_reach_next_probe(
        &state->reach, endpoints, g_rand_int(e->random), entry_now(e));
    if (endpoint == NULL) {
        cut_end(w, service); /* all are reached, or none is left */
        return;
    }
    probe_begin(w, service, endpoint, state->reach.confirmed);
}

static void
probe_tick(void *data)
{
    reach_watch_t *w = data;
    entry_t *e = w->entry;
    GHashTableIter iter;
    gpointer service;
    gpointer state;
    w->probe_timer = 0;
    g_hash_table_iter_init(&iter, e->services);
    while (g_hash_table_iter_next(&iter, &service, &state)) {
        probe_service(w, service, state);
    }
    if (w->cut_services > 0) {
        schedule_probes(w, probe_interval_us(w));
    }
}

/* ---- lifecycle ---- */

reach_watch_t *
reach_watch_create(entry_t *e)
{
    reach_watch_t *w = g_new0(reach_watch_t, 1);
    w->entry = e;
    w->probes =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, probe_free);
    return w;
}

void
reach_watch_destroy(reach_watch_t *w)
{
    timers_cancel(w->entry->timers, w->probe_timer);
    g_hash_table_unref(w->probes);
    g_free(w);
}

typedef struct {
    entry_t *entry;
    GString *text;
} dump_t;

static void
dump_service(const char *service, const GPtrArray *endpoints, void *user)
{
    const dump_t *dump = user;
    gint64 now = entry_now(dump->entry);
    const service_state_t *state = entry_service_state(dump->entry, service);
    reach_counts_t counts = {0};
    reach_count(endpoints, now, &counts);
    g_string_append_printf(
        dump->text, "service %s: %u usable, %u reached, %u not", service,
        counts.usable, counts.reached, counts.failed);
    if (service_reach_is_cut(&state->reach)) {
        g_string_append_printf(dump->text, ", cut off for %ld ms",
                               (long)((now - state->reach.since_us) / MS));
    }
    g_string_append_c(dump->text, '\n');
}

void
reach_watch_dump(const reach_watch_t *w, GString *text)
{
    dump_t dump = {.entry = w->entry, .text = text};
    directory_each_service(w->entry->directory, dump_service, &dump);
}
