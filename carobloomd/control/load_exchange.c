/* Requests under way, and the prompt parts that were sent to endpoints: entry
 * instances report theirs here and are told those of all; control instances
 * tell each other what was reported to them. */
#include "carobloom/common/counters.h"
#include "carobloom/gateway/load_wire.h"
#include "carobloom/policy/collector.h"
#include "control_state.h"

enum {
    MS = 1000,
    /* Sums that did not change are told again after this, so that they are
     * still counted where they go (collector_fresh_ms). */
    SUMS_SAME_US = 400 * MS,
};

static gboolean
report_take(http_exchange_t *exchange, load_report_t *report)
{
    GBytes *bytes = posted_bytes(exchange);
    gboolean sound = load_report_read(bytes, report);
    g_bytes_unref(bytes);
    if (!sound) {
        answer_plain(exchange, 400, "{\"error\":\"malformed\"}");
    }
    return sound;
}

void
handle_loads(control_t *c, http_exchange_t *exchange)
{
    load_report_t report;
    if (!report_take(exchange, &report)) {
        return;
    }
    if (c->draining) { /* it reports to another one from now on */
        load_report_clear(&report);
        answer_plain(exchange, 503, "{\"error\":\"ending\"}");
        return;
    }
    gint64 now = control_now(c);
    load_sum_report(c->own_loads, report.from, report.loads, now);
    load_sum_report(c->loads, report.from, report.loads, now);
    part_feed_add(c->own_parts, report.parts);
    part_feed_add(c->parts, report.parts);
    load_answer_t answer = {
        .ask_ms = collector_ask_ms(load_sum_reporters(c->own_loads)),
        .loads = load_sum_told(c->loads, now),
        .heard = report.heard,
    };
    answer.parts = part_feed_since(c->parts, &answer.heard);
    load_report_clear(&report);
    GBytes *bytes = load_answer_write(&answer);
    load_answer_clear(&answer);
    http_exchange_answer(exchange, 200, STR(""), str_from_bytes(bytes));
    g_bytes_unref(bytes);
    counter_add(counter_get("load_reports_total", NULL, FALSE), 1);
}

void
handle_load_sums(control_t *c, http_exchange_t *exchange)
{
    load_report_t report;
    if (!report_take(exchange, &report)) {
        return;
    }
    load_sum_report(c->loads, report.from, report.loads, control_now(c));
    part_feed_add(c->parts, report.parts);
    load_report_clear(&report);
    http_exchange_answer(exchange, 204, STR(""), STR(""));
}

void
load_sums_spread(void *data)
{
    control_t *c = data;
    gint64 now = control_now(c);
    gboolean changed = load_sum_changed(c->own_loads);
    if (!changed && now - c->sums_us < SUMS_SAME_US) {
        return;
    }
    c->sums_us = now;
    load_report_t sums = {.from = c->self,
                          .loads = load_sum_all(c->own_loads),
                          .parts =
                              part_feed_since(c->own_parts, &c->told_parts)};
    GBytes *bytes = load_report_write(&sums);
    g_array_unref(sums.loads);
    g_array_unref(sums.parts);
    for (guint i = 0; i < c->view.voters.count; i++) {
        const char *name = c->view.voters.members[i].name;
        if (g_strcmp0(name, c->self) != 0) {
            letter_post(c, name, LETTER_LOADS, str_from_bytes(bytes));
        }
    }
    g_bytes_unref(bytes);
}

void
load_sums_expire(control_t *c)
{
    gint64 fresh_ms = collector_fresh_ms(load_sum_reporters(c->own_loads));
    gint64 oldest_us = control_now(c) - fresh_ms * MS;
    load_sum_expire(c->own_loads, oldest_us);
    load_sum_expire(c->loads, oldest_us);
}
