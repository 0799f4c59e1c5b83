/* Reports ends of endpoints, and endpoints that leave, to every control
 * instance, and applies the quarantine orders from the control instances. */
#include <string.h>

#include "carobloom/common/counters.h"
#include "carobloom/gateway/crash_wire.h"
#include "carobloom/gateway/inner_line.h"
#include "carobloom/gateway/leaving_wire.h"
#include "carobloom/gateway/order_log.h"
#include "carobloom/policy/fingerprint.h"
#include "entry_state.h"

enum {
    MS = 1000,
    /* Records kept for control instances that restart without the earlier
     * reports: at most 128 requests each, 0.5 MB in total. The oldest are
     * dropped first. */
    RECORDS_MAX = 256,
    /* Minimum interval between two reports to one control instance. Reports
     * have 8 KB at most, so each control instance gets at most 40 KB/s while
     * endpoints end continuously. A single report is sent at once. */
    REPORT_INTERVAL_US = 200 * MS,
    /* A report without an answer is sent again after this time. */
    ANSWER_TIMEOUT_US = 700 * MS,
    ANSWER_MAX = 1024, /* bytes; the answer has no body */
    RETRY_MIN_US = 100 * MS,
    RETRY_MAX_US = 800 * MS,
};

static const http_peer_limits_t SENDER_PEER_LIMITS = {
    .connect_us = 600 * MS,
    .idle_us = 2 * G_USEC_PER_SEC,
    .idle_max = 1,
    .head_max = 4096,
};

typedef enum {
    RECORD_END,      /* an endpoint ended */
    RECORD_ANSWERED, /* a request was answered */
    RECORD_LEAVING,  /* an endpoint leaves */
} record_kind_t;

/* A record to report. */
typedef struct {
    record_kind_t kind;
    guint64 number; /* in the order of recording, from 1 */
    gint64 recorded_us;
    endpoint_end_t end; /* without runs for RECORD_LEAVING */
    guint64 answered;   /* fingerprint of the answered request */
} crash_record_t;

/* Sends the records to one control instance. */
typedef struct {
    crash_link_t *link;
    char *address;
    guint64 epoch; /* identifies the incarnation of the control instance */
    inner_line_t *line;
    guint64 timer;        /* of the next report; 0: none is scheduled */
    guint64 acknowledged; /* number of the last acknowledged record */
    guint64 sending;      /* number of the last record in the call in flight */
    gboolean sending_leaving; /* the call in flight is to LEAVING_PATH */
    gint64 retry_us;
} crash_sender_t;

struct crash_link {
    entry_t *entry;
    GQueue records; /* crash_record_t, the newest at the tail */
    guint64 last;   /* number of the newest record */
    GHashTable *senders;
};

/* ---- records ---- */

static void
record_free(gpointer data)
{
    crash_record_t *record = data;
    endpoint_end_clear(&record->end);
    g_free(record);
}

static void
expire_records(crash_link_t *link)
{
    entry_t *e = link->entry;
    gint64 oldest_us =
        entry_now(e) - (gint64)(e->settings->crash_memory_s * G_USEC_PER_SEC);
    crash_record_t *record;
    while ((record = g_queue_peek_head(&link->records)) != NULL &&
           (record->recorded_us < oldest_us ||
            link->records.length > RECORDS_MAX)) {
        record_free(g_queue_pop_head(&link->records));
    }
}

static void
fill_report(const crash_link_t *link, guint64 after, crash_report_t *report,
            guint64 *up_to)
{
    guint runs = 0;
    guint parts = 0;
    for (GList *i = link->records.head; i != NULL; i = i->next) {
        const crash_record_t *record = i->data;
        if (record->number <= after) {
            continue;
        }
        if (record->kind == RECORD_LEAVING) {
            return;
        }
        runs += record->kind == RECORD_END ? record->end.runs->len : 0;
        parts += record->end.part_count;
        gboolean full =
            runs > CRASH_REPORT_RUNS_MAX || parts > CRASH_REPORT_PARTS_MAX;
        if (report->ends->len == CRASH_REPORT_ENDS_MAX ||
            report->answered->len == CRASH_REPORT_ANSWERED_MAX ||
            (report->ends->len > 0 && full)) {
            return;
        }
        *up_to = record->number;
        if (record->kind == RECORD_ANSWERED) {
            g_array_append_val(report->answered, record->answered);
            continue;
        }
        endpoint_end_t end;
        endpoint_end_copy(&end, &record->end);
        g_array_append_val(report->ends, end);
    }
}

/* Returns the endpoints that leave, as far as no other record is between. */
static GArray *
collect_leaving(const crash_link_t *link, guint64 after, guint64 *up_to)
{
    GArray *leaving = incarnations_create();
    for (GList *i = link->records.head;
         i != NULL && leaving->len < LEAVING_REPORT_MAX; i = i->next) {
        const crash_record_t *record = i->data;
        if (record->number <= after) {
            continue;
        }
        if (record->kind != RECORD_LEAVING) {
            break;
        }
        *up_to = record->number;
        incarnations_add(leaving, record->end.endpoint,
                         record->end.started_ms);
    }
    return leaving;
}

/* ---- one control instance ---- */

static void sender_on_timer(void *data);

static void
sender_schedule(crash_sender_t *s, gint64 us)
{
    timers_t *timers = s->link->entry->timers;
    timers_cancel(timers, s->timer);
    s->timer = timers_subscribe(timers, us, 0, sender_on_timer, s);
}

static void
sender_failed(crash_sender_t *s)
{
    s->retry_us = CLAMP(s->retry_us * 2, RETRY_MIN_US, RETRY_MAX_US);
    counter_add(counter_get("crash_reports_failed_total", NULL, FALSE), 1);
    sender_schedule(s, s->retry_us);
}

static void
on_answered(void *user, guint status, GBytes *body)
{
    (void)body; /* the answer has no body */
    crash_sender_t *s = user;
    /* A control instance of an earlier version does not know the path; the
     * records behind have to reach it. */
    gboolean unknown = status == 404 && s->sending_leaving;
    if (status != 204 && !unknown) {
        sender_failed(s);
        return;
    }
    s->retry_us = 0;
    s->acknowledged = MAX(s->acknowledged, s->sending);
    sender_schedule(s, REPORT_INTERVAL_US);
}

static void
on_failed(void *user)
{
    sender_failed(user);
}

static const inner_line_ops_t SENDER_OPS = {.answered = on_answered,
                                            .failed = on_failed};

/* Returns the next report to CRASHES_PATH, or NULL. */
static GBytes *
next_crash_report(crash_sender_t *s)
{
    GBytes *body = NULL;
    crash_report_t report;
    crash_report_init(&report);
    fill_report(s->link, s->acknowledged, &report, &s->sending);
    if (s->sending != s->acknowledged) {
        body = crash_report_write(&report);
    }
    crash_report_clear(&report);
    return body;
}

/* Returns the next report to LEAVING_PATH, or NULL. */
static GBytes *
next_leaving_report(crash_sender_t *s)
{
    GArray *leaving = collect_leaving(s->link, s->acknowledged, &s->sending);
    GBytes *body = leaving->len > 0 ? leaving_report_write(leaving) : NULL;
    g_array_unref(leaving);
    return body;
}

static void
sender_report(crash_sender_t *s)
{
    s->sending = s->acknowledged;
    GBytes *body = next_crash_report(s);
    s->sending_leaving = body == NULL;
    if (body == NULL) {
        body = next_leaving_report(s);
    }
    if (body == NULL) {
        return;
    }
    gboolean posted = inner_line_post(
        s->line, s->sending_leaving ? LEAVING_PATH : CRASHES_PATH, body,
        ANSWER_TIMEOUT_US);
    g_bytes_unref(body);
    if (!posted) {
        sender_failed(s);
        return;
    }
    counter_add(counter_get("crash_reports_total", NULL, FALSE), 1);
}

static void
sender_on_timer(void *data)
{
    crash_sender_t *s = data;
    s->timer = 0;
    expire_records(s->link);
    sender_report(s);
}

/* Schedules a report to be sent at once, unless one is already scheduled or
 * in flight. */
static void
sender_report_soon(crash_sender_t *s)
{
    if (s->timer == 0 && !inner_line_is_busy(s->line)) {
        sender_schedule(s, 0);
    }
}

static void
sender_free(gpointer data)
{
    crash_sender_t *s = data;
    timers_cancel(s->link->entry->timers, s->timer);
    inner_line_destroy(s->line);
    g_free(s->address);
    g_free(s);
}

static crash_sender_t *
sender_add(crash_link_t *link, const char *address)
{
    entry_t *e = link->entry;
    crash_sender_t *s = g_new0(crash_sender_t, 1);
    inner_line_setup_t setup = {.poller = e->poller,
                                .timers = e->timers,
                                .peer = SENDER_PEER_LIMITS,
                                .answer_max = ANSWER_MAX,
                                .ops = &SENDER_OPS,
                                .user = s,
                                .traffic = e->traffic,
                                .kind = TRAFFIC_CRASHES};
    s->link = link;
    s->line = inner_line_create(&setup, address);
    if (s->line == NULL) { /* the address is invalid */
        g_free(s);
        return NULL;
    }
    s->address = g_strdup(address);
    g_hash_table_insert(link->senders, s->address, s);
    return s;
}

/* ---- all senders ---- */

static crash_record_t *
record_add(crash_link_t *link, record_kind_t kind)
{
    crash_record_t *record = g_new0(crash_record_t, 1);
    record->kind = kind;
    record->number = ++link->last;
    record->recorded_us = entry_now(link->entry);
    g_queue_push_tail(&link->records, record);
    expire_records(link);
    return record;
}

static void
wake_all(crash_link_t *link)
{
    GHashTableIter iter;
    gpointer sender;
    g_hash_table_iter_init(&iter, link->senders);
    while (g_hash_table_iter_next(&iter, NULL, &sender)) {
        sender_report_soon(sender);
    }
}

static void
record_parts_cut(entry_t *e, const char *service, const GArray *parts)
{
    for (guint i = 0; parts != NULL && i < parts->len; i++) {
        guint64 part = part_fingerprint(str_from_cstr(service),
                                        g_array_index(parts, guint64, i));
        run_history_record_cut(&e->part_history, part, entry_now(e));
    }
}

void
crash_link_report_end(crash_link_t *link, const endpoint_end_t *end)
{
    crash_record_t *record = record_add(link, RECORD_END);
    endpoint_end_copy(&record->end, end);
    for (guint i = 0; i < end->runs->len; i++) {
        interrupted_run_t run = g_array_index(end->runs, interrupted_run_t, i);
        run_history_record_cut(&link->entry->history, run.fingerprint,
                               record->recorded_us);
        record_parts_cut(link->entry, end->service, run.parts);
    }
    wake_all(link);
}

void
crash_link_report_answered(crash_link_t *link, guint64 fingerprint)
{
    record_add(link, RECORD_ANSWERED)->answered = fingerprint;
    wake_all(link);
}

void
crash_link_report_leaving(crash_link_t *link, const endpoint_t *e)
{
    crash_record_t *record = record_add(link, RECORD_LEAVING);
    endpoint_end_init(&record->end, e->id, e->service, e->started_ms);
    wake_all(link);
}

void
crash_link_update_control(crash_link_t *link, const char *address,
                          guint64 epoch)
{
    crash_sender_t *s = g_hash_table_lookup(link->senders, address);
    if (s == NULL) {
        s = sender_add(link, address);
    }
    if (s == NULL || s->epoch == epoch) {
        return;
    }
    s->epoch = epoch; /* restarted: all records are reported again */
    s->acknowledged = 0;
    s->sending = 0;
    sender_report_soon(s);
}

void
crash_link_remove_control(crash_link_t *link, const char *address)
{
    g_hash_table_remove(link->senders, address);
}

crash_link_t *
crash_link_create(entry_t *e)
{
    crash_link_t *link = g_new0(crash_link_t, 1);
    link->entry = e;
    link->senders =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, sender_free);
    return link;
}

void
crash_link_destroy(crash_link_t *link)
{
    g_hash_table_unref(link->senders);
    g_queue_clear_full(&link->records, record_free);
    g_free(link);
}

/* ---- quarantine orders ---- */

/* Returns whether this instance got an answer that clears the suspect: to the
 * request a moment ago, or with the part since the first end. */
static gboolean
was_answered(const entry_t *e, const quarantine_order_t *order)
{
    gint64 now = entry_now(e);
    return quarantine_order_is_part(order)
               ? run_history_is_answered_since(&e->part_history,
                                               order->fingerprint,
                                               now - order->since_us)
               : run_history_is_answered(&e->history, order->fingerprint, now);
}

void
crash_link_apply_orders(crash_link_t *link, const GArray *orders,
                        const char *control)
{
    entry_t *e = link->entry;
    gint64 now = entry_now(e);
    for (guint i = 0; i < orders->len; i++) {
        const quarantine_order_t *order =
            &g_array_index(orders, quarantine_order_t, i);
        if (quarantine_apply_order(e->quarantine, order, e->settings->instance,
                                   now) &&
            !order->watch_only) {
            quarantine_order_log(order, control);
        }
        if (order->left_us > 0 && was_answered(e, order)) {
            quarantine_take_answer(e->quarantine, order->fingerprint);
            crash_link_report_answered(link, order->fingerprint);
        }
    }
    entry_count_quarantined(e);
}
