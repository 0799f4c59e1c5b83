/* Records the endpoints that ended and the requests that were answered, as
 * reported by entry instances, and publishes and saves the quarantine orders
 * for requests that are suspected to crash endpoints. */
#include "carobloom/common/counters.h"
#include "carobloom/common/event_log.h"
#include "carobloom/gateway/crash_wire.h"
#include "carobloom/gateway/order_log.h"
#include "control_state.h"

enum {
    MS = 1000,
    /* Minimum time between two saves of the quarantine orders. A save blocks
     * the log's task for two syncs of the disk, 5 ms each. */
    SAVE_INTERVAL_US = 1000 * MS,
    /* Unchanged orders are saved again after this time, to update the time
     * left of each quarantine in the file, and to retry a failed write. */
    SAVE_MAX_INTERVAL_US = 30000 * MS,
};

static void
count_order(const quarantine_order_t *order)
{
    if (order->left_us > 0 && !order->watch_only) {
        counter_add(counter_get(quarantine_order_is_part(order)
                                    ? "parts_held_total"
                                    : "requests_held_total",
                                NULL, FALSE),
                    1);
    }
}

/* Logs and publishes new quarantine orders. */
static void
publish_orders(control_t *c)
{
    if (c->orders_published_cursor == crash_ledger_cursor(c->crashes)) {
        return;
    }
    GArray *orders = crash_ledger_orders_since(
        c->crashes, &c->orders_published_cursor, G_MAXUINT, control_now(c));
    for (guint i = 0; i < orders->len; i++) {
        const quarantine_order_t *order =
            &g_array_index(orders, quarantine_order_t, i);
        count_order(order);
        quarantine_order_log(order, "");
    }
    g_array_unref(orders);
    control_publish_updates(c);
}

/* Saves the quarantine orders to the disk, so that they survive the loss of
 * all processes. */
static void
save_orders(control_t *c)
{
    gint64 now = control_now(c);
    gint64 since_us = now - c->orders_saved_us;
    guint quarantined = crash_ledger_quarantined(c->crashes);
    gboolean changed =
        c->orders_saved_cursor != crash_ledger_cursor(c->crashes);
    if (since_us < SAVE_INTERVAL_US ||
        (!changed && (quarantined == 0 || since_us < SAVE_MAX_INTERVAL_US))) {
        return;
    }
    guint64 cursor = 0;
    GArray *orders = crash_ledger_orders_since(c->crashes, &cursor,
                                               QUARANTINE_ORDERS_MAX, now);
    c->orders_saved_us = now;
    c->orders_saved_cursor = crash_ledger_cursor(c->crashes);
    task_send(c->log_task,
              config_bytes_message(
                  CONFIG_LOG_SAVE_LOCAL,
                  quarantine_file_write(orders, g_get_real_time())));
    g_array_unref(orders);
}

void
crash_reports_tick(control_t *c)
{
    crash_ledger_evaluate(c->crashes, control_now(c));
    publish_orders(c);
    save_orders(c);
    guint parts = crash_ledger_quarantined_parts(c->crashes);
    counter_set(counter_get("requests_held", NULL, TRUE),
                crash_ledger_quarantined(c->crashes) - parts);
    counter_set(counter_get("parts_held", NULL, TRUE), parts);
    counter_set(counter_get("requests_suspect", NULL, TRUE),
                crash_ledger_suspects(c->crashes));
}

void
handle_crashes(control_t *c, http_exchange_t *exchange)
{
    GBytes *bytes = posted_bytes(exchange);
    crash_report_t report;
    gint64 now = control_now(c);
    gboolean valid = crash_report_read(bytes, &report);
    g_bytes_unref(bytes);
    if (!valid) {
        counter_add(counter_get("crash_reports_refused_total", NULL, FALSE),
                    1);
        answer_json(exchange, 400, "{\"error\":\"malformed\"}");
        return;
    }
    for (guint i = 0; i < report.ends->len; i++) {
        crash_ledger_record_end(
            c->crashes, &g_array_index(report.ends, endpoint_end_t, i), now);
    }
    for (guint i = 0; i < report.answered->len; i++) {
        crash_ledger_record_answered(
            c->crashes, g_array_index(report.answered, guint64, i), now);
    }
    crash_report_clear(&report);
    counter_add(counter_get("crash_reports_total", NULL, FALSE), 1);
    http_exchange_answer(exchange, 204, STR(""), STR(""));
}

void
handle_saved_orders(control_t *c, const config_bytes_message_t *m)
{
    GArray *orders = quarantine_file_read(m->bytes, g_get_real_time());
    if (orders == NULL) {
        if (event_log_begin(EVENT_STATE, "held_requests_unreadable")) {
            event_log_end();
        }
        return;
    }
    for (guint i = 0; i < orders->len; i++) {
        crash_ledger_restore(c->crashes,
                             &g_array_index(orders, quarantine_order_t, i),
                             control_now(c));
    }
    g_array_unref(orders);
    publish_orders(c);
}
