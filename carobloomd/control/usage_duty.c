/* Usage windows: finalized in the replicated log, then reported to the
 * platform until it has accepted them. */

#include "carobloom/common/clock.h"
#include "carobloom/common/counters.h"
#include "carobloom/common/event_log.h"
#include "duties.h"

enum {
    MS = 1000,
    /* A command that was not committed after this time is proposed again. A
     * slow disk takes a tenth of a second to store it. */
    PROPOSE_RETRY_US = 1000 * MS,
    /* Delay before a failed call is repeated; doubled each time, up to the
     * maximum. */
    RETRY_MIN_US = 200 * MS,
    RETRY_MAX_US = 2000 * MS,
};

struct usage_duty {
    duties_t *duties;
    usage_book_t *book;
    usage_ledger_t *ledger;   /* copy from the replicated log */
    gint64 proposed_us;       /* when a command was last proposed */
    guint64 proposed_window;  /* the window that the command finalizes */
    guint64 reporting;        /* the window of the call in flight; 0: none */
    guint64 accepted_through; /* last window that the platform accepted; the
                               * log may not have it yet */
    gint64 retry_at_us; /* no call before this time, after a failed one */
    gint64 retry_us;    /* current retry delay; 0: the last call succeeded */
};

static usage_schedule_t
schedule_get(const usage_duty_t *u)
{
    const gateway_settings_t *s = u->duties->control->settings;
    return (usage_schedule_t){
        .window_us = (gint64)(s->usage_window_s * G_USEC_PER_SEC),
        .due_us = (gint64)(s->usage_due_s * G_USEC_PER_SEC)};
}

usage_duty_t *
usage_duty_create(duties_t *d)
{
    usage_duty_t *u = g_new0(usage_duty_t, 1);
    u->duties = d;
    u->book = usage_book_create();
    u->ledger = usage_ledger_create();
    return u;
}

void
usage_duty_destroy(usage_duty_t *u)
{
    usage_book_destroy(u->book);
    usage_ledger_destroy(u->ledger);
    g_free(u);
}

void
usage_duty_start_term(usage_duty_t *u)
{
    usage_book_start_term(u->book, duties_wall_us(u->duties));
    u->reporting = 0;
    u->accepted_through = 0;
    u->proposed_window = 0;
    u->retry_at_us = 0;
    u->retry_us = 0;
}

void
usage_duty_record_report(usage_duty_t *u, const usage_report_t *report)
{
    usage_book_record_contact(u->book, report->incarnation,
                              duties_wall_us(u->duties));
    for (guint i = 0; i < report->windows->len; i++) {
        const usage_window_t *w = report->windows->pdata[i];
        if (w->window > usage_duty_finalized_through(u)) {
            usage_book_report(u->book, report->incarnation, w);
        }
    }
}

void
usage_duty_set_ledger(usage_duty_t *u, GBytes *bytes)
{
    usage_ledger_t *ledger = usage_ledger_read(bytes);
    if (ledger == NULL) {
        if (event_log_begin(EVENT_STATE, "usage_ledger_unreadable")) {
            event_log_end();
        }
        return;
    }
    usage_ledger_destroy(u->ledger);
    u->ledger = ledger;
}

guint64
usage_duty_finalized_through(const usage_duty_t *u)
{
    return usage_ledger_finalized_through(u->ledger);
}

/* ---- finalizing ---- */

static void
propose(usage_duty_t *u, GBytes *command)
{
    task_send(u->duties->control->log_task,
              config_bytes_message(CONFIG_LOG_USAGE, command));
}

static void
log_window(const char *event, const usage_window_t *w, guint status)
{
    if (event_log_begin(EVENT_STATE, event)) {
        event_log_number("window", (gint64)w->window);
        event_log_number("teams", w->counts->len);
        event_log_number("requests", (gint64)usage_window_total(w));
        if (status != 0) {
            event_log_number("status", status);
        }
        event_log_end();
    }
}

/* Proposes a command that finalizes the next window that is due, if any. */
static void
finalize_due(usage_duty_t *u)
{
    gint64 now = clock_boot_us();
    usage_schedule_t schedule = schedule_get(u);
    usage_window_t *figures = usage_book_next_final(
        u->book, &schedule, usage_duty_finalized_through(u),
        duties_wall_us(u->duties));
    if (figures == NULL) {
        return;
    }
    if (figures->window != u->proposed_window ||
        now - u->proposed_us > PROPOSE_RETRY_US) {
        u->proposed_window = figures->window;
        u->proposed_us = now;
        log_window("usage_fixed", figures, 0);
        propose(u, usage_finalize_command(figures));
    }
    usage_window_free(figures);
}

/* ---- reporting to the platform ---- */

static const usage_window_t *
window_find(const usage_duty_t *u, guint64 window)
{
    const GArray *windows = usage_ledger_windows(u->ledger);
    for (guint i = 0; i < windows->len; i++) {
        const usage_window_t *w =
            g_array_index(windows, finalized_window_t, i).figures;
        if (w->window == window) {
            return w;
        }
    }
    return NULL;
}

static void
on_reported(void *user, guint status)
{
    usage_duty_t *u = user;
    guint64 window = u->reporting;
    const usage_window_t *figures = window_find(u, window);
    u->reporting = 0;
    if (figures != NULL) {
        log_window(status == 200 ? "usage_told" : "usage_not_told", figures,
                   status);
    }
    if (status != 200) {
        u->retry_us = CLAMP(u->retry_us * 2, RETRY_MIN_US, RETRY_MAX_US);
        u->retry_at_us = clock_boot_us() + u->retry_us;
        return;
    }
    u->retry_us = 0;
    u->accepted_through = window;
    counter_add(counter_get("usage_windows_told_total", NULL, FALSE), 1);
    propose(u, usage_accept_command(window));
}

static GString *
encode_usage(const duty_stamp_t *stamp, gconstpointer payload)
{
    return platform_usage_encode(stamp, payload);
}

/* Reports the first finalized window that the platform has not accepted. One
 * call is in flight at a time. */
static void
report_pending(usage_duty_t *u)
{
    const usage_window_t *w =
        usage_ledger_next_unaccepted(u->ledger, u->accepted_through);
    if (w == NULL || u->reporting != 0 || clock_boot_us() < u->retry_at_us) {
        return;
    }
    if (duties_send(u->duties, encode_usage, w, on_reported, u)) {
        u->reporting = w->window;
    }
}

void
usage_duty_step(usage_duty_t *u)
{
    finalize_due(u);
    report_pending(u);
}

/* ---- state for operators ---- */

static json_t *
window_json(const usage_window_t *w, const char *state)
{
    json_t *teams = json_object();
    for (guint i = 0; i < w->counts->len; i++) {
        const usage_count_t *c = &g_array_index(w->counts, usage_count_t, i);
        json_object_set_new(teams, c->team,
                            json_integer((json_int_t)c->count));
    }
    json_t *row = json_pack("{s:I,s:s,s:o}", "window", (json_int_t)w->window,
                            "state", state, "teams", teams);
    return row;
}

char *
usage_duty_json(const usage_duty_t *u)
{
    json_t *rows = json_array();
    const GArray *windows = usage_ledger_windows(u->ledger);
    for (guint i = 0; i < windows->len; i++) {
        const finalized_window_t *f =
            &g_array_index(windows, finalized_window_t, i);
        json_array_append_new(
            rows,
            window_json(f->figures, f->accepted ? "told" : "not told yet"));
    }
    GPtrArray *pending = usage_book_pending(u->book);
    for (guint i = 0; i < pending->len; i++) {
        json_array_append_new(rows,
                              window_json(pending->pdata[i], "counting"));
    }
    g_ptr_array_unref(pending);
    const gateway_settings_t *s = u->duties->control->settings;
    json_t *root =
        json_pack("{s:b,s:f,s:s,s:o}", "held", u->duties->lease.token != 0,
                  "window_s", s->usage_window_s, "leader",
                  u->duties->control->view.leader, "windows", rows);
    return duties_json(root);
}
