/* carobloomd: one process an instance. */
#include <argtable2.h>
#include <glib-unix.h>
#include <stdio.h>

#include "carobloom/common/counters.h"
#include "carobloom/common/fields.h"
#include "carobloom/common/log.h"
#include "carobloom/common/memory.h"
#include "carobloom/common/signals.h"
#include "carobloom/connection/framed_connection.h"
#include "carobloom/connection/http.h"
#include "carobloom/gateway/gateway.h"
#include "carobloom/gateway/settings.h"
#include "carobloom/policy/rendezvous.h"
#include "carobloom/process/peers_task.h"
#include "carobloom/process/policy_task.h"
#include "carobloom/process/process.h"
#include "carobloom/process/voter_task.h"

enum {
    EXIT_OK = 0,
    EXIT_USAGE = 2,
    EXIT_SETTINGS = 3,
    EXIT_START = 4,
    EXIT_CUT = 5, /* a second signal cut requests */
    MAILBOX_BOUND = 100000,
    DRAIN_POLL_MS = 50,
    DRAIN_QUIET_POLLS = 4, /* polls with nothing in flight before the end */
};

/* Everything of the process; main owns it. */
typedef struct {
    process_t process;
    http_t *http[HTTP_TASKS_MAX];
    policy_task_t *policy;
    voter_task_t *voter;
    peers_task_t *peers; /* NULL when alone */
    GMainLoop *loop;
    guint quiet_polls;
    int exit_code;
} daemon_t;

static const task_ops_t HTTP_OPS = {
    .name = "http", .mailbox_bound = MAILBOX_BOUND, .handle = http_handle};
static const task_ops_t POLICY_OPS = {.name = "policy",
                                      .mailbox_bound = MAILBOX_BOUND,
                                      .handle = policy_task_handle};
static const task_ops_t PEERS_OPS = {.name = "peers",
                                     .mailbox_bound = MAILBOX_BOUND,
                                     .handle = peers_task_handle};
static const task_ops_t VOTER_OPS = {.name = "voter",
                                     .mailbox_bound = MAILBOX_BOUND,
                                     .handle = voter_task_handle};

/* ---- the command line ---- */

typedef struct {
    const char *settings;
    gboolean check;
    int exit_code; /* when nothing is to run */
    gboolean run;
} options_t;

static options_t
options_parse(int argc, char **argv)
{
    static char path[4096];
    struct arg_file *settings =
        arg_file0("s", "settings", "FILE", "settings, JSON with comments");
    struct arg_lit *check =
        arg_lit0("c", "check", "check the settings, say all faults");
    struct arg_lit *help = arg_lit0("h", "help", "show this help");
    struct arg_lit *version = arg_lit0("V", "version", "show the version");
    struct arg_end *end = arg_end(20);
    void *table[] = {settings, check, help, version, end};
    options_t options = {.exit_code = EXIT_OK};
    int faults = arg_parse(argc, argv, table);
    if (help->count > 0) {
        printf("Usage: carobloomd");
        arg_print_syntax(stdout, table, "\n");
        arg_print_glossary(stdout, table, "  %-22s %s\n");
    }
    else if (version->count > 0) {
        printf("carobloomd %s\n", CAROBLOOM_VERSION);
    }
    else if (faults > 0 || settings->count == 0) {
        arg_print_errors(stderr, end, "carobloomd");
        if (settings->count == 0) {
            fprintf(stderr, "carobloomd: --settings FILE is required\n");
        }
        options.exit_code = EXIT_USAGE;
    }
    else {
        g_strlcpy(path, settings->filename[0], sizeof(path));
        options.settings = path;
        options.check = check->count > 0;
        options.run = TRUE;
    }
    arg_freetable(table, G_N_ELEMENTS(table));
    return options;
}

static settings_t *
settings_read(const char *path)
{
    GPtrArray *faults = faults_create();
    settings_t *settings = NULL;
    settings_load(path, &settings, faults);
    faults_print(faults, path);
    faults_destroy(faults);
    return settings;
}

/* Whether the file is of the routing gateway's kind. */
static gboolean
is_gateway(const char *path)
{
    char *text = NULL;
    gsize length = 0;
    gboolean is = g_file_get_contents(path, &text, &length, NULL) &&
                  gateway_settings_is((str_t){.data = text, .length = length});
    g_free(text);
    return is;
}

static int
gateway_check(const char *path)
{
    GPtrArray *faults = faults_create();
    gateway_settings_t *settings = NULL;
    gateway_settings_load(path, &settings, faults);
    faults_print(faults, path);
    faults_destroy(faults);
    if (settings == NULL) {
        return EXIT_SETTINGS;
    }
    gateway_settings_destroy(settings);
    printf("%s: no faults\n", path);
    return EXIT_OK;
}

static log_level_t
level_of(const char *name)
{
    static const char *const names[] = {"debug", "info", "warn", "error"};
    for (guint i = 0; i < G_N_ELEMENTS(names); i++) {
        if (g_str_equal(names[i], name)) {
            return (log_level_t)i;
        }
    }
    return LOG_INFO;
}

/* ---- start and stop ---- */

static gboolean
daemon_create(daemon_t *d, const settings_t *settings)
{
    process_t *p = &d->process;
    p->settings = settings;
    p->started_us = g_get_monotonic_time();
    p->incarnation = (guint64)g_random_int() << 32 | g_random_int();
    char *identity = g_strdup_printf("%s/%" G_GUINT64_FORMAT,
                                     settings->instance, p->incarnation);
    p->member = hash_text(str_from_cstr(identity));
    g_free(identity);
    p->http_count = (guint)settings->http_threads;
    d->policy = policy_task_create(p);
    d->voter = voter_task_create(p);
    if (d->voter == NULL) {
        return FALSE;
    }
    if (settings->peers.address != NULL) {
        d->peers = peers_task_create(p);
        if (d->peers == NULL) {
            return FALSE;
        }
        p->peers = task_create(&PEERS_OPS, d->peers, NULL);
    }
    p->policy = task_create(&POLICY_OPS, d->policy, NULL);
    p->voter = task_create(&VOTER_OPS, d->voter, NULL);
    guint16 port = 0;
    framed_connection_register();
    for (guint i = 0; i < p->http_count; i++) {
        d->http[i] = http_create(p, i);
        p->http[i] = task_create(&HTTP_OPS, d->http[i], NULL);
        d->http[i]->task = p->http[i];
        if (http_listen(d->http[i], &port) != 0) {
            return FALSE;
        }
    }
    return TRUE;
}

static void
daemon_start(daemon_t *d)
{
    process_t *p = &d->process;
    task_start(p->policy, policy_task_begin);
    for (guint i = 0; i < p->http_count; i++) {
        task_start(p->http[i], http_begin);
    }
    task_start(p->voter, voter_task_begin);
    if (p->peers != NULL) {
        task_start(p->peers, peers_task_begin);
    }
}

static void
daemon_stop(daemon_t *d)
{
    process_t *p = &d->process;
    for (guint i = 0; i < p->http_count; i++) {
        task_stop(p->http[i], http_end);
    }
    task_stop(p->voter, voter_task_end);
    task_stop(p->policy, policy_task_end);
    if (p->peers != NULL) {
        task_stop(p->peers, peers_task_end);
    }
}

/* Lets go of everything, so that a sanitizer can tell what was lost. */
static void
daemon_destroy(daemon_t *d)
{
    process_t *p = &d->process;
    for (guint i = 0; i < p->http_count; i++) {
        http_destroy(d->http[i]);
        task_destroy(p->http[i]);
    }
    task_destroy(p->policy);
    policy_task_destroy(d->policy);
    task_destroy(p->voter);
    voter_task_destroy(d->voter);
    if (p->peers != NULL) {
        task_destroy(p->peers);
        peers_task_destroy(d->peers);
    }
}

/* Counters and requests in flight, on standard error. */
static gboolean
on_dump(gpointer data)
{
    daemon_t *d = data;
    char *text = counters_text();
    fprintf(stderr, "# dump of %s, %d in flight\n%s# end of dump\n",
            d->process.settings->instance,
            g_atomic_int_get(&d->process.in_flight), text);
    g_free(text);
    for (guint i = 0; i < d->process.http_count; i++) {
        task_send(d->process.http[i],
                  MESSAGE(ask_message_t, .base = {HTTP_ASK, message_free}));
    }
    return G_SOURCE_CONTINUE;
}

static gboolean
drain_poll(gpointer data)
{
    daemon_t *d = data;
    if (g_atomic_int_get(&d->process.in_flight) > 0) {
        d->quiet_polls = 0;
        return G_SOURCE_CONTINUE;
    }
    if (++d->quiet_polls < DRAIN_QUIET_POLLS) {
        return G_SOURCE_CONTINUE;
    }
    log_info(LOG_PART_PROCESS, "Nothing is in flight; ending.");
    g_main_loop_quit(d->loop);
    return G_SOURCE_REMOVE;
}

/* Hands over what this instance leads and owns, while it still answers. */
static void
hand_over(daemon_t *d)
{
    process_t *p = &d->process;
    task_send(p->voter, MESSAGE(plain_message_t,
                                .base = {VOTER_HANDOVER, message_free}));
    if (p->peers != NULL) {
        task_send(p->peers, MESSAGE(plain_message_t,
                                    .base = {PEERS_LEAVE, message_free}));
    }
}

/* The notice is over: new calls are refused, those in flight go on. */
static gboolean
drain_refuse(gpointer data)
{
    daemon_t *d = data;
    g_atomic_int_set(&d->process.draining, 2);
    g_timeout_add(DRAIN_POLL_MS, drain_poll, d);
    return G_SOURCE_REMOVE;
}

static gboolean
on_terminate(gpointer data)
{
    daemon_t *d = data;
    if (g_atomic_int_get(&d->process.draining)) {
        log_warn(LOG_PART_PROCESS, "Second signal: cutting %d requests.",
                 g_atomic_int_get(&d->process.in_flight));
        d->exit_code = EXIT_CUT;
        g_main_loop_quit(d->loop);
        return G_SOURCE_CONTINUE;
    }
    log_info(LOG_PART_PROCESS, "Draining %d requests.",
             g_atomic_int_get(&d->process.in_flight));
    g_atomic_int_set(&d->process.draining, 1);
    hand_over(d);
    g_timeout_add((guint)d->process.settings->drain_notice_ms, drain_refuse,
                  d);
    return G_SOURCE_CONTINUE;
}

static int
daemon_run(const settings_t *settings)
{
    static daemon_t d; /* zeroed; too large for comfort on the stack */
    d.exit_code = EXIT_START;
    if (daemon_create(&d, settings)) {
        d.exit_code = EXIT_OK;
        d.loop = g_main_loop_new(NULL, FALSE);
        g_unix_signal_add(SIGTERM, on_terminate, &d);
        g_unix_signal_add(SIGINT, on_terminate, &d);
        g_unix_signal_add(SIGUSR1, on_dump, &d);
        signals_release();
        daemon_start(&d);
        log_info(LOG_PART_PROCESS, "Instance %s of %s runs.",
                 settings->instance, settings->data_centre);
        g_main_loop_run(d.loop);
        daemon_stop(&d);
        daemon_destroy(&d);
        g_main_loop_unref(d.loop);
    }
    return d.exit_code;
}

int
main(int argc, char **argv)
{
    signals_hold();
    memory_configure();
    options_t options = options_parse(argc, argv);
    if (!options.run) {
        return options.exit_code;
    }
    if (is_gateway(options.settings)) {
        signal(SIGPIPE, SIG_IGN);
        signal(SIGXFSZ, SIG_IGN); /* a full disk shows as a failed write */
        return options.check ? gateway_check(options.settings)
                             : gateway_run(options.settings);
    }
    settings_t *settings = settings_read(options.settings);
    if (settings == NULL) {
        return EXIT_SETTINGS;
    }
    if (options.check) {
        printf("%s: no faults\n", options.settings);
        settings_destroy(settings);
        return EXIT_OK;
    }
    signal(SIGPIPE, SIG_IGN);
    signal(SIGXFSZ, SIG_IGN);
    log_start(g_str_equal(settings->log_form, "json"),
              level_of(settings->log_level));
    int code = daemon_run(settings);
    log_stop();
    settings_destroy(settings);
    return code;
}
