/* Rests that endpoints ask for when they refuse requests, and endpoints that
 * say in their answers that they leave. */
#include "carobloom/common/clock.h"
#include "carobloom/common/counters.h"
#include "carobloom/common/event_log.h"
#include "entry_state.h"

enum {
    MS = 1000,
    /* Interval at which the end of rests is checked, for the log, and reports
     * are sent. */
    TICK_INTERVAL_US = 100 * MS,
    /* An instance reports that an endpoint leaves after a random delay, unless
     * its lease says so by then. The delay grows with the number of instances,
     * so that a few of them report for all. */
    REPORT_DELAY_PER_ENTRY_US = 20 * MS,
    REPORT_DELAY_MAX_US = 5000 * MS,
    /* Minimum interval, per endpoint, between two log lines about requests
     * that were refused because of its rest. */
    REFUSAL_LOG_INTERVAL_US = 1000 * MS,
};

/* An endpoint that leaves, to be reported. */
typedef struct {
    char *id;
    gint64 started_ms; /* identifies the incarnation */
    gint64 due_us;     /* on the timers' clock */
} leaving_t;

struct rest_watch {
    entry_t *entry;
    guint64 tick;    /* timer while there is something to check, or 0 */
    GArray *leaving; /* leaving_t */
};

static void
leaving_clear(gpointer data)
{
    g_free(((leaving_t *)data)->id);
}

static void
report_leaving(const rest_watch_t *watch, const leaving_t *leaving)
{
    const entry_t *entry = watch->entry;
    const endpoint_t *e = directory_find(entry->directory, leaving->id);
    if (e != NULL && e->started_ms == leaving->started_ms &&
        !e->lease_draining && !e->left) {
        crash_link_report_leaving(entry->crash_link, e);
    }
}

static void
report_due(rest_watch_t *watch)
{
    gint64 now = entry_now(watch->entry);
    for (guint i = watch->leaving->len; i > 0; i--) {
        const leaving_t *leaving =
            &g_array_index(watch->leaving, leaving_t, i - 1);
        if (now >= leaving->due_us) {
            report_leaving(watch, leaving);
            g_array_remove_index_fast(watch->leaving, i - 1);
        }
    }
}

static void
log_rest(const endpoint_t *e, const char *event, str_t request)
{
    if (!event_log_begin(EVENT_STATE, event)) {
        return;
    }
    gint64 left_us = endpoint_rest_left_us(&e->rest, clock_boot_us());
    event_log_cstr("endpoint", e->id);
    event_log_number("asked_ms", e->rest.asked_ms);
    event_log_number("left_ms", left_us / MS);
    event_log_number("running", e->running);
    if (request.length > 0) {
        event_log_text("request", request);
    }
    event_log_end();
}

static void
handle_end(const endpoint_t *e, void *user)
{
    (void)user;
    log_rest(e, "rest_ended", STR(""));
}

static void
on_tick(void *data)
{
    rest_watch_t *watch = data;
    directory_t *directory = watch->entry->directory;
    directory_end_rests(directory, clock_boot_us(), handle_end, NULL);
    guint resting = directory_resting(directory)->len;
    counter_set(counter_get("endpoints_resting", NULL, TRUE), resting);
    report_due(watch);
    if (resting == 0 && watch->leaving->len == 0) {
        timers_cancel(watch->entry->timers, watch->tick);
        watch->tick = 0;
    }
}

static void
tick_start(rest_watch_t *watch)
{
    if (watch->tick == 0) {
        watch->tick = timers_subscribe(watch->entry->timers, TICK_INTERVAL_US,
                                       TICK_INTERVAL_US, on_tick, watch);
    }
}

void
rest_watch_record_rest(rest_watch_t *watch, endpoint_t *e, double seconds,
                       str_t request)
{
    entry_t *entry = watch->entry;
    rest_change_t change =
        directory_record_rest(entry->directory, e, seconds,
                              g_rand_double(entry->random), clock_boot_us());
    if (change == REST_UNCHANGED) {
        return;
    }
    gboolean begun = change == REST_BEGUN;
    log_rest(e, begun ? "rest_begun" : "rest_prolonged", request);
    counter_add(
        counter_get(begun ? "rests_begun_total" : "rests_prolonged_total",
                    NULL, FALSE),
        1);
    tick_start(watch);
}

gint64
rest_watch_refuse(rest_watch_t *watch, const char *service, str_t request)
{
    const entry_t *entry = watch->entry;
    endpoint_now_t now = {.now_us = entry_now(entry),
                          .boot_now_us = clock_boot_us()};
    endpoint_t *first = directory_first_rested(entry->directory, service, now);
    if (first == NULL) {
        return 0;
    }
    counter_add(counter_get("requests_refused_resting_total", NULL, FALSE), 1);
    if (now.boot_now_us - first->rest.refusal_logged_us >=
        REFUSAL_LOG_INTERVAL_US) {
        first->rest.refusal_logged_us = now.boot_now_us;
        log_rest(first, "rest_refused", request);
    }
    return endpoint_rest_left_us(&first->rest, now.boot_now_us);
}

static void
schedule_report(rest_watch_t *watch, const endpoint_t *e)
{
    entry_t *entry = watch->entry;
    gint64 delay_max_us =
        MIN(entry->entries * (gint64)REPORT_DELAY_PER_ENTRY_US,
            (gint64)REPORT_DELAY_MAX_US);
    double delay_us = g_rand_double(entry->random) * (double)delay_max_us;
    leaving_t leaving = {.id = g_strdup(e->id),
                         .started_ms = e->started_ms,
                         .due_us = entry_now(entry) + (gint64)delay_us};
    g_array_append_val(watch->leaving, leaving);
    tick_start(watch);
}

void
rest_watch_record_leaving(rest_watch_t *watch, endpoint_t *e, str_t request)
{
    if (e->left || !endpoint_record_draining(e, 0, entry_now(watch->entry))) {
        return;
    }
    counter_add(counter_get("endpoints_leaving_total", NULL, FALSE), 1);
    if (event_log_begin(EVENT_STATE, "endpoint_leaving")) {
        event_log_cstr("endpoint", e->id);
        event_log_cstr("source", "answer");
        event_log_number("running", e->running);
        event_log_text("request", request);
        event_log_end();
    }
    schedule_report(watch, e);
}

void
rest_watch_record_malformed(const endpoint_t *e, const char *event,
                            str_t request)
{
    counter_add(counter_get("answer_fields_malformed_total", NULL, FALSE), 1);
    if (event_log_begin(EVENT_FAILURE, event)) {
        event_log_text("request", request);
        event_log_cstr("endpoint", e->id);
        event_log_end();
    }
}

void
rest_watch_dump(const rest_watch_t *watch, GString *text)
{
    const GPtrArray *resting = directory_resting(watch->entry->directory);
    gint64 now = clock_boot_us();
    for (guint i = 0; i < resting->len; i++) {
        const endpoint_t *e = resting->pdata[i];
        g_string_append_printf(
            text, "rest of %s: %ld ms asked for, %ld ms left\n", e->id,
            (long)e->rest.asked_ms,
            (long)(endpoint_rest_left_us(&e->rest, now) / MS));
    }
}

rest_watch_t *
rest_watch_create(entry_t *entry)
{
    rest_watch_t *watch = g_new0(rest_watch_t, 1);
    watch->entry = entry;
    watch->leaving = g_array_new(FALSE, FALSE, sizeof(leaving_t));
    g_array_set_clear_func(watch->leaving, leaving_clear);
    return watch;
}

void
rest_watch_destroy(rest_watch_t *watch)
{
    timers_cancel(watch->entry->timers, watch->tick);
    g_array_unref(watch->leaving);
    g_free(watch);
}
