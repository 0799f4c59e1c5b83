/* Exchange of loads (requests in flight) and of the locations of prompt
 * parts. Each entry instance reports its own to one control instance and
 * receives the totals; control instances send each other the sums of the
 * reports that they received. */
#include "carobloom/common/counters.h"
#include "carobloom/gateway/load_wire.h"
#include "carobloom/policy/collector.h"
#include "control_state.h"

enum {
    MS = 1000,
    /* Unchanged sums are sent again after this time, before they expire at
     * the receiver (collector_report_max_age_ms). */
    SUMS_REFRESH_US = 400 * MS,
};

void
handle_loads(control_t *c, http_exchange_t *exchange)
{
    load_report_t report;
    GBytes *bytes = posted_bytes(exchange);
    gboolean valid = load_report_read(bytes, &report);
    g_bytes_unref(bytes);
    if (!valid) {
        answer_json(exchange, 400, "{\"error\":\"malformed\"}");
        return;
    }
    if (c->draining) {
        /* A refused entry instance reports to another control instance. */
        load_report_clear(&report);
        answer_json(exchange, 503, "{\"error\":\"ending\"}");
        return;
    }
    gint64 now = control_now(c);
    load_sum_report(c->own_loads, report.from, report.loads, now);
    load_sum_report(c->loads, report.from, report.loads, now);
    part_feed_add(c->own_parts, report.parts);
    part_feed_add(c->parts, report.parts);
    load_answer_t answer = {
        .report_interval_ms =
            collector_report_interval_ms(load_sum_reporters(c->own_loads)),
        .loads = load_sum_busiest(c->loads, now),
        .parts_received = report.parts_received,
    };
    answer.parts = part_feed_since(c->parts, &answer.parts_received);
    load_report_clear(&report);
    GBytes *encoded = load_answer_write(&answer);
    load_answer_clear(&answer);
    http_exchange_answer(exchange, 200, STR(""), str_from_bytes(encoded));
    g_bytes_unref(encoded);
    counter_add(counter_get("load_reports_total", NULL, FALSE), 1);
}

void
handle_load_sums(control_t *c, http_exchange_t *exchange)
{
    load_sums_t sums;
    GBytes *bytes = posted_bytes(exchange);
    gboolean valid = load_sums_read(bytes, &sums);
    g_bytes_unref(bytes);
    if (!valid) {
        answer_json(exchange, 400, "{\"error\":\"malformed\"}");
        return;
    }
    gboolean accepted =
        load_sum_apply_changes(c->loads, sums.from, sums.loads, sums.sequence,
                               sums.base, control_now(c));
    part_feed_add(c->parts, sums.parts);
    departures_record_heard(c, sums.from);
    traffic_set_data_centre(c->traffic, sums.from, sums.data_centre);
    load_sums_clear(&sums);
    if (!accepted) {
        answer_json(exchange, 409, "{\"error\":\"its base is not known\"}");
        return;
    }
    http_exchange_answer(exchange, 204, STR(""), STR(""));
}

/* ---- sums for the other control instances ---- */

GHashTable *
load_deltas_create(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                 (GDestroyNotify)load_delta_destroy);
}

static load_delta_t *
delta_find(control_t *c, const char *to)
{
    load_delta_t *delta = g_hash_table_lookup(c->peer_load_deltas, to);
    if (delta == NULL) {
        delta = load_delta_create();
        g_hash_table_insert(c->peer_load_deltas, g_strdup(to), delta);
    }
    return delta;
}

static void
send_sums(control_t *c, const char *to, GArray *loads, GArray *parts)
{
    gint64 now = control_now(c);
    load_delta_t *delta = delta_find(c, to);
    if (load_delta_is_pending(delta)) {
        return;
    }
    guint64 base = load_delta_base(delta);
    load_sums_t sums = {.from = c->self,
                        .data_centre =
                            base == 0 ? c->settings->data_centre : "",
                        .sequence = c->sums_sequence,
                        .base = base,
                        .loads = load_delta_changes(delta, loads),
                        .parts = parts};
    gboolean changed = sums.loads->len > 0 || parts->len > 0;
    gboolean due = now - load_delta_sent_us(delta) >= SUMS_REFRESH_US;
    if (changed || due) {
        GBytes *bytes = load_sums_write(&sums);
        if (peer_message_post(c, to, PEER_MESSAGE_LOADS,
                              str_from_bytes(bytes))) {
            load_delta_sent(delta, loads, sums.sequence, now);
        }
        g_bytes_unref(bytes);
    }
    g_array_unref(sums.loads);
}

void
load_sums_send(void *data)
{
    control_t *c = data;
    if (load_sum_clear_changed(c->own_loads) || c->sorted_loads == NULL) {
        g_clear_pointer(&c->sorted_loads, g_array_unref);
        c->sorted_loads = load_sum_sorted(c->own_loads);
    }
    GArray *parts = part_feed_since(c->own_parts, &c->parts_sent_cursor);
    c->sums_sequence++;
    for (guint i = 0; i < c->view.voters.count; i++) {
        const char *name = c->view.voters.members[i].name;
        if (g_strcmp0(name, c->self) != 0) {
            send_sums(c, name, c->sorted_loads, parts);
        }
    }
    g_array_unref(parts);
}

void
load_sums_delivery_ended(control_t *c, const char *to, gboolean accepted)
{
    load_delta_t *delta = delta_find(c, to);
    if (accepted) {
        load_delta_acknowledged(delta);
    }
    else {
        load_delta_lost(delta);
    }
}

void
load_sums_reset(control_t *c)
{
    g_hash_table_remove_all(c->peer_load_deltas);
}

void
load_sums_expire(control_t *c)
{
    gint64 fresh_ms =
        collector_report_max_age_ms(load_sum_reporters(c->own_loads));
    gint64 oldest_us = control_now(c) - fresh_ms * MS;
    load_sum_expire(c->own_loads, oldest_us);
    load_sum_expire(c->loads, oldest_us);
}
