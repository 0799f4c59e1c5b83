#include "duties.h"

#include "carobloom/common/clock.h"
#include "carobloom/common/counters.h"
#include "carobloom/common/event_log.h"

enum {
    MS = 1000,
    /* Interval between two runs of the duties. */
    STEP_INTERVAL_US = 100 * MS,
    /* Interval between two reports of this instance's time of day to the other
     * control instances. Clocks drift by microseconds in that time, and a
     * clock that was set is noticed within a second. */
    CLOCK_REPORT_INTERVAL_US = 500 * MS,
    /* Minimum interval between two reports of an entry instance. If the
     * instance crashes, its counts since the last report are lost: at most a
     * sixteenth of its share of a window of 4 s. */
    REPORT_INTERVAL_MIN_MS = 250,
    /* The interval grows with the number of entry instances. Handling a report
     * takes about 0.06 ms, so reports use at most 1.5% of a core. */
    REPORT_INTERVAL_MS_PER_ENTRY = 4,
};

/* ---- the lease ---- */

static void
log_lease(const duties_t *d, gint64 now_us)
{
    gboolean held = d->lease.token != 0;
    counter_set(counter_get("duties_held", NULL, TRUE), held);
    if (!event_log_begin(EVENT_STATE,
                         held ? "duties_acquired" : "duties_lost")) {
        return;
    }
    event_log_number("token", (gint64)d->control->view.term);
    if (held) {
        event_log_number("acts_in_ms", (d->lease.valid_from_us - now_us) / MS);
    }
    else {
        event_log_number("held_for_ms", (now_us - d->acquired_us) / MS);
    }
    event_log_end();
}

static void
lease_acquired(duties_t *d, gint64 now_us)
{
    d->acquired_us = now_us;
    if (d->usage != NULL) {
        usage_duty_start_term(d->usage);
    }
    if (d->capacity != NULL) {
        capacity_duty_start_term(d->capacity);
    }
}

static void
lease_update(duties_t *d)
{
    const config_view_message_t *view = &d->control->view;
    gint64 now = clock_boot_us();
    /* A draining instance gives up the duties, for the next leader. */
    gboolean leads = view->leads && !d->control->draining;
    if (!duty_lease_update(&d->lease, leads, view->term, view->read_until_us,
                           now)) {
        return;
    }
    duty_calls_check(d->calls); /* drops calls of the previous lease */
    if (d->lease.token != 0) {
        lease_acquired(d, now);
    }
    log_lease(d, now);
}

void
duties_apply_view(duties_t *d)
{
    const config_view_message_t *view = &d->control->view;
    if (!d->initialized && (view->term > 0 || view->first_start)) {
        d->initialized = TRUE;
        duty_lease_init(&d->lease,
                        (gint64)(d->control->settings->duty_lease_ms * MS),
                        view->first_start, clock_boot_us());
    }
    if (d->initialized) {
        lease_update(d);
    }
}

/* ---- the time of day ---- */

gint64
duties_wall_us(const duties_t *d)
{
    return site_clock_wall_us(d->clock, g_get_real_time(), clock_boot_us());
}

static void
send_clock(duties_t *d)
{
    control_t *c = d->control;
    gint64 now = control_now(c);
    if (now - d->clock_sent_us < CLOCK_REPORT_INTERVAL_US) {
        return;
    }
    d->clock_sent_us = now;
    clock_report_t message = {.from = c->self, .wall_us = g_get_real_time()};
    GBytes *bytes = clock_report_write(&message);
    for (guint i = 0; i < c->view.voters.count; i++) {
        const char *name = c->view.voters.members[i].name;
        if (g_strcmp0(name, c->self) != 0) {
            peer_message_post(c, name, PEER_MESSAGE_CLOCK,
                              str_from_bytes(bytes));
        }
    }
    g_bytes_unref(bytes);
}

void
handle_clock(control_t *c, http_exchange_t *exchange)
{
    clock_report_t message;
    GBytes *bytes = posted_bytes(exchange);
    gboolean valid = clock_report_read(bytes, &message);
    g_bytes_unref(bytes);
    if (!valid) {
        answer_json(exchange, 400, "{\"error\":\"malformed\"}");
        return;
    }
    if (c->duties != NULL) {
        site_clock_record(c->duties->clock, message.from, message.wall_us,
                          clock_boot_us());
    }
    clock_report_clear(&message);
    http_exchange_answer(exchange, 204, STR(""), STR(""));
}

/* ---- reports of entry instances ---- */

static void
answer_report(const duties_t *d, http_exchange_t *exchange)
{
    usage_answer_t answer = {
        .wall_us = duties_wall_us(d),
        .finalized_through =
            d->usage != NULL ? usage_duty_finalized_through(d->usage) : 0,
        .report_interval_ms =
            MAX(REPORT_INTERVAL_MIN_MS, active_entries_count(d->control) *
                                            REPORT_INTERVAL_MS_PER_ENTRY),
    };
    GBytes *bytes = usage_answer_write(&answer);
    http_exchange_answer(exchange, 200, STR(""), str_from_bytes(bytes));
    g_bytes_unref(bytes);
}

void
handle_usage_report(control_t *c, http_exchange_t *exchange)
{
    duties_t *d = c->duties;
    if (d == NULL || d->lease.token == 0) {
        answer_json(exchange, 503, "{\"error\":\"not the holder\"}");
        return;
    }
    usage_report_t report;
    GBytes *bytes = posted_bytes(exchange);
    gboolean valid = usage_report_read(bytes, &report);
    g_bytes_unref(bytes);
    if (!valid) {
        answer_json(exchange, 400, "{\"error\":\"malformed\"}");
        return;
    }
    if (d->usage != NULL) {
        usage_duty_record_report(d->usage, &report);
    }
    if (d->capacity != NULL) {
        capacity_duty_record_report(d->capacity, &report);
    }
    usage_report_clear(&report);
    counter_add(counter_get("usage_reports_total", NULL, FALSE), 1);
    answer_report(d, exchange);
}

/* ---- calls ---- */

/* Returns whether the platform's rate limit admits another call in this
 * second, and counts the call if so. */
static gboolean
rate_limit_admit(duties_t *d, gint64 now_us)
{
    if (now_us - d->rate_window_us >= G_USEC_PER_SEC) {
        d->rate_window_us = now_us;
        d->calls_in_window = 0;
    }
    if (d->calls_in_window + 1 > d->control->settings->duty_calls_per_s) {
        return FALSE;
    }
    d->calls_in_window++;
    return TRUE;
}

gboolean
duties_send(duties_t *d, duty_encode_t encode, gconstpointer payload,
            duty_call_done_t done, void *user)
{
    const gateway_settings_t *s = d->control->settings;
    duty_stamp_t stamp = {
        .host = s->platform,
        .holder = s->instance,
        .token = duty_lease_token(&d->lease, clock_boot_us()),
    };
    if (stamp.token == 0 || !rate_limit_admit(d, clock_boot_us())) {
        return FALSE;
    }
    GString *bytes = encode(&stamp, payload);
    gboolean sent = duty_calls_send(
        d->calls, stamp.token,
        (str_t){.data = bytes->str, .length = bytes->len}, done, user);
    g_string_free(bytes, TRUE);
    return sent;
}

char *
duties_json(json_t *root)
{
    char *json = json_dumps(root, JSON_COMPACT);
    char *text = g_strdup(json);
    free(json);
    json_decref(root);
    return text;
}

/* ---- create and destroy ---- */

static void
on_step(void *data)
{
    duties_t *d = data;
    send_clock(d);
    if (!d->initialized) {
        return;
    }
    lease_update(d);
    duty_calls_check(d->calls);
    if (duty_lease_token(&d->lease, clock_boot_us()) == 0) {
        return;
    }
    if (d->usage != NULL) {
        usage_duty_step(d->usage);
    }
    if (d->capacity != NULL) {
        capacity_duty_step(d->capacity);
    }
}

duties_t *
duties_create(control_t *c)
{
    duty_set_t set;
    if (platform_duties_decode(c->settings->duties, &set) != PLATFORM_OK ||
        !set.any) {
        return NULL; /* no duties; the settings were validated before */
    }
    duties_t *d = g_new0(duties_t, 1);
    d->control = c;
    d->calls = duty_calls_create(c->poller, c->timers, c->settings->platform,
                                 &d->lease);
    if (d->calls == NULL) {
        if (event_log_begin(EVENT_STATE, "no_duties")) {
            event_log_cstr("platform", c->settings->platform);
            event_log_end();
        }
        g_free(d);
        return NULL;
    }
    d->clock = site_clock_create();
    d->usage = set.usage ? usage_duty_create(d) : NULL;
    d->capacity = set.capacity ? capacity_duty_create(d) : NULL;
    d->timer = timers_subscribe(c->timers, STEP_INTERVAL_US, STEP_INTERVAL_US,
                                on_step, d);
    return d;
}

void
duties_destroy(duties_t *d)
{
    timers_cancel(d->control->timers, d->timer);
    duty_calls_destroy(d->calls);
    g_clear_pointer(&d->usage, usage_duty_destroy);
    g_clear_pointer(&d->capacity, capacity_duty_destroy);
    site_clock_destroy(d->clock);
    g_free(d);
}

void
duties_apply_ledger(duties_t *d, GBytes *bytes)
{
    if (d->usage != NULL) {
        usage_duty_set_ledger(d->usage, bytes);
    }
}

void
duties_dump(const duties_t *d, GString *text)
{
    gint64 now = clock_boot_us();
    guint64 token = duty_lease_token(&d->lease, now);
    g_string_append_printf(
        text,
        "duties %s, token %" G_GUINT64_FORMAT ", since %ld ms, clocks %u\n",
        token != 0 ? "held" : "not held", d->lease.token,
        (long)(d->lease.token != 0 ? (now - d->acquired_us) / MS : 0),
        site_clock_count(d->clock));
}

char *
duties_usage_text(const duties_t *d)
{
    return d->usage != NULL ? usage_duty_json(d->usage) : NULL;
}

char *
duties_capacity_text(const duties_t *d)
{
    return d->capacity != NULL ? capacity_duty_json(d->capacity) : NULL;
}
