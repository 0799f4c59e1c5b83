#include "carobloom/gateway/gateway.h"

#include <glib-unix.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "carobloom/common/counters.h"
#include "carobloom/common/event_log.h"
#include "carobloom/common/fields.h"
#include "carobloom/common/log.h"
#include "carobloom/common/signals.h"
#include "carobloom/control/control.h"
#include "carobloom/gateway/entry.h"
#include "carobloom/gateway/metrics.h"
#include "carobloom/gateway/settings.h"
#include "carobloom/gateway/traffic.h"
#include "carobloom/policy/rendezvous.h"

enum {
    EXIT_OK = 0,
    EXIT_SETTINGS = 3,
    EXIT_START = 4,
    MAILBOX_MAX = 10000,
    DRAIN_POLL_MS = 50,
    SETTINGS_POLL_S = 2, /* checks for a changed file, without SIGHUP */
    TRAFFIC_LOG_S = 5,   /* interval of log lines with the bytes of calls */
};

typedef struct {
    const char *path;
    /* Of the bytes of the settings file that were read last. */
    guint64 file_hash;
    GPtrArray *settings; /* all that were read; the last one is in force */
    GMainLoop *loop;
    task_t *task;
    poller_t *poller;
    entry_t *entry;     /* NULL: the instance does not have this role */
    control_t *control; /* NULL: the instance does not have this role */
    http_server_t *metrics;
    metrics_source_t pages;
    gboolean draining;
} gateway_t;

static void
gateway_handle(void *state, message_t *message)
{
    gateway_t *g = state;
    if (g->control != NULL) {
        control_handle(g->control, message);
    }
}

static const task_ops_t TASK_OPS = {
    .name = "gateway", .mailbox_bound = MAILBOX_MAX, .handle = gateway_handle};

/* Brings the clock up to date. Timers run after the events, since a timeout
 * must not give up what has arrived. */
static void
on_poller_turn(gint64 now_us, void *data)
{
    gateway_t *g = data;
    timers_set_now(task_timers(g->task), now_us);
}

static void
catch_up(void *data)
{
    poller_catch_up(data);
}

static void
take_urgent(void *data)
{
    poller_take_urgent(data);
}

static const task_events_t EVENTS = {.catch_up = catch_up,
                                     .take_urgent = take_urgent};

static gboolean
is_set(const char *text)
{
    return text != NULL && *text != '\0';
}

static char *
gateway_dump(void *user)
{
    gateway_t *g = user;
    char *entry = g->entry != NULL ? entry_dump(g->entry) : g_strdup("");
    char *control =
        g->control != NULL ? control_dump(g->control) : g_strdup("");
    char *text = g_strconcat(entry, control, NULL);
    g_free(entry);
    g_free(control);
    return text;
}

static char *
gateway_usage(void *user)
{
    const gateway_t *g = user;
    return g->control != NULL ? control_usage(g->control) : NULL;
}

static char *
gateway_capacity(void *user)
{
    const gateway_t *g = user;
    return g->control != NULL ? control_capacity(g->control) : NULL;
}

static char *
gateway_endpoints(void *user)
{
    const gateway_t *g = user;
    return g->entry != NULL ? entry_endpoints(g->entry) : NULL;
}

static const metrics_page_t PAGES[] = {
    {"/api/endpoints", gateway_endpoints},
    {"/capacity", gateway_capacity},
    {"/dump", gateway_dump},
    {"/usage", gateway_usage},
};

/* ---- settings ---- */

static void
settings_free(gpointer data)
{
    gateway_settings_destroy(data);
}

/* A hash of the file's bytes; 0 if they can't be read. */
static guint64
file_hash(const char *path)
{
    char *text = NULL;
    gsize length = 0;
    if (!g_file_get_contents(path, &text, &length, NULL)) {
        return 0;
    }
    guint64 hash = hash_text((str_t){.data = text, .length = length});
    g_free(text);
    return hash;
}

/* Sets `hash` to that of the bytes that were read. */
static gateway_settings_t *
settings_read(const char *path, guint64 *hash)
{
    GPtrArray *faults = faults_create();
    gateway_settings_t *settings = NULL;
    gsize length = 0;
    char *bytes = faults_read_file(path, &length, faults);
    str_t text = {.data = bytes, .length = length};
    *hash = bytes != NULL ? hash_text(text) : 0;
    if (bytes != NULL) {
        gateway_settings_parse(text, &settings, faults);
    }
    g_free(bytes);
    faults_print(faults, path);
    for (guint i = 0; i < faults->len; i++) {
        const fault_t *fault = faults->pdata[i];
        if (event_log_begin(EVENT_STATE, "settings_fault")) {
            event_log_cstr("fault", fault->text);
            event_log_end();
        }
    }
    faults_destroy(faults);
    return settings;
}

/* Reads the settings again and applies them. If they are invalid, the old
 * settings stay in force. */
static void
reload(gateway_t *g, const char *cause)
{
    gateway_settings_t *settings = settings_read(g->path, &g->file_hash);
    if (event_log_begin(EVENT_STATE, "reload")) {
        event_log_cstr("cause", cause);
        event_log_cstr("outcome", settings ? "in force" : "refused");
        event_log_end();
    }
    if (settings == NULL) {
        return;
    }
    g_ptr_array_add(g->settings, settings);
    if (g->entry != NULL) {
        entry_reload(g->entry, settings);
    }
    if (g->control != NULL) {
        control_reload(g->control, settings);
    }
}

static gboolean
on_hangup(gpointer data)
{
    reload(data, "signal");
    return G_SOURCE_CONTINUE;
}

static gboolean
on_settings_poll(gpointer data)
{
    gateway_t *g = data;
    guint64 hash = file_hash(g->path);
    if (hash != 0 && hash != g->file_hash) {
        reload(g, "file");
    }
    return G_SOURCE_CONTINUE;
}

static gboolean
on_traffic_log(gpointer data)
{
    (void)data;
    traffic_log();
    return G_SOURCE_CONTINUE;
}

/* ---- signals ---- */

static gboolean
on_drain_poll(gpointer data)
{
    gateway_t *g = data;
    on_poller_turn(g_get_monotonic_time(), g);
    if ((g->entry == NULL || entry_idle(g->entry)) &&
        (g->control == NULL || control_idle(g->control))) {
        g_main_loop_quit(g->loop);
        return G_SOURCE_REMOVE;
    }
    return G_SOURCE_CONTINUE;
}

static gboolean
on_terminate(gpointer data)
{
    gateway_t *g = data;
    if (g->draining) {
        return G_SOURCE_CONTINUE;
    }
    g->draining = TRUE;
    if (event_log_begin(EVENT_STATE, "drain")) {
        event_log_end();
    }
    event_log_flush();
    on_poller_turn(g_get_monotonic_time(), g);
    if (g->entry != NULL) {
        entry_drain(g->entry);
    }
    if (g->control != NULL) {
        control_drain(g->control);
    }
    g_timeout_add(DRAIN_POLL_MS, on_drain_poll, g);
    return G_SOURCE_CONTINUE;
}

static gboolean
on_dump(gpointer data)
{
    char *dump = gateway_dump(data);
    char *counters = counters_text();
    fprintf(stderr, "# dump\n%s%s# end of dump\n", dump, counters);
    g_free(dump);
    g_free(counters);
    return G_SOURCE_CONTINUE;
}

/* ---- lifecycle ---- */

static gboolean
gateway_start(gateway_t *g, const gateway_settings_t *s)
{
    /* Sources of one context take turns in the order of their creation. */
    g->poller = poller_create(g_main_context_default(), on_poller_turn, g);
    if (g->poller == NULL) {
        return FALSE;
    }
    g->task = task_create(&TASK_OPS, g, g_main_context_default());
    task_set_events(g->task, &EVENTS, g->poller);
    if (is_set(s->callers)) {
        g->entry = entry_create(s, g->task, g->poller);
        if (g->entry == NULL) {
            return FALSE;
        }
    }
    if (is_set(s->control)) {
        g->control = control_create(s, g->task, g->poller);
        if (g->control == NULL) {
            return FALSE;
        }
    }
    g->pages = (metrics_source_t){
        .pages = PAGES, .page_count = G_N_ELEMENTS(PAGES), .user = g};
    if (is_set(s->metrics)) {
        g->metrics = metrics_server_create(g->poller, task_timers(g->task),
                                           s->metrics, &g->pages);
        if (g->metrics == NULL && event_log_begin(EVENT_STATE, "no_metrics")) {
            event_log_cstr("address", s->metrics);
            event_log_end();
        }
    }
    return TRUE;
}

static void
gateway_stop(gateway_t *g)
{
    g_clear_pointer(&g->metrics, http_server_destroy);
    g_clear_pointer(&g->entry, entry_destroy);
    g_clear_pointer(&g->control, control_destroy);
    g_clear_pointer(&g->poller, poller_destroy);
    g_clear_pointer(&g->task, task_destroy);
}

int
gateway_run(const char *path)
{
    gateway_t g = {.path = path};
    gateway_settings_t *settings = settings_read(path, &g.file_hash);
    if (settings == NULL) {
        return EXIT_SETTINGS;
    }
    g.settings = g_ptr_array_new_with_free_func(settings_free);
    g_ptr_array_add(g.settings, settings);
    event_log_start(settings->instance);
    g.loop = g_main_loop_new(NULL, FALSE);
    gboolean started = gateway_start(&g, settings);
    if (event_log_begin(EVENT_STATE, "start")) {
        event_log_cstr("outcome", started ? "runs" : "failed");
        event_log_cstr("data_centre", settings->data_centre);
        event_log_number("pid", getpid());
        event_log_end();
    }
    event_log_flush();
    if (started) {
        g_unix_signal_add(SIGTERM, on_terminate, &g);
        g_unix_signal_add(SIGINT, on_terminate, &g);
        g_unix_signal_add(SIGHUP, on_hangup, &g);
        g_unix_signal_add(SIGUSR1, on_dump, &g);
        signals_release();
        g_timeout_add_seconds(SETTINGS_POLL_S, on_settings_poll, &g);
        g_timeout_add_seconds(TRAFFIC_LOG_S, on_traffic_log, NULL);
        g_main_loop_run(g.loop);
    }
    gateway_stop(&g);
    if (event_log_begin(EVENT_STATE, "stop")) {
        event_log_end();
    }
    event_log_stop();
    g_main_loop_unref(g.loop);
    g_ptr_array_unref(g.settings);
    return started ? EXIT_OK : EXIT_START;
}
