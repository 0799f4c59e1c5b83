/* Budgets for repeats: grants them to entry instances while this instance
 * leads. */
#include "carobloom/common/clock.h"
#include "carobloom/common/counters.h"
#include "carobloom/gateway/repeat_wire.h"
#include "control_state.h"

enum { MS = 1000 };

/* Time in which this machine is suspended counts. */
static gint64
grants_now(void)
{
    return clock_boot_us();
}

static void
begin_granting(control_t *c)
{
    repeat_limits_t limits = gateway_settings_repeat_limits(c->settings);
    /* Without a configuration entry instances send no requests. */
    gboolean is_first = c->view.first_start && !c->others_led &&
                        control_newest_version(c) == 0;
    c->repeats = repeat_quota_create(&limits, is_first, grants_now());
    c->repeats_term = c->view.term;
    c->repeats_epoch = (guint64)g_random_int() << 32 | g_random_int();
    control_log_granting(c, "repeat_grants_begun");
}

static void
end_granting(control_t *c)
{
    g_clear_pointer(&c->repeats, repeat_quota_destroy);
    control_log_granting(c, "repeat_grants_ended");
}

void
repeat_grants_apply_view(control_t *c)
{
    gboolean grants = c->view.leads;
    if (c->repeats != NULL && (!grants || c->repeats_term != c->view.term)) {
        end_granting(c);
    }
    if (c->repeats == NULL && grants) {
        begin_granting(c);
    }
}

static guint
grant_all(control_t *c, const repeat_report_t *report, GArray *grants)
{
    gint64 now = grants_now();
    repeat_requester_t requester = {.name = report->from,
                                    .incarnation = report->incarnation,
                                    .sequence = report->sequence,
                                    .age_us = report->age_ms * (gint64)MS,
                                    .instances = report->instances,
                                    .is_ending = report->is_ending};
    guint granted = 0;
    if (!repeat_quota_begin(c->repeats, &requester, now)) {
        return 0;
    }
    for (guint i = 0; i < report->items->len; i++) {
        const repeat_item_t *item =
            &g_array_index(report->items, repeat_item_t, i);
        repeat_grant_t grant = repeat_quota_request(
            c->repeats, &requester, &item->request,
            item->has_history ? item->history : NULL, now);
        grant.brittle =
            c->slots != NULL
                ? slot_quota_refusals_per_s(c->slots, grant.service)
                : -1;
        granted += grant.granted;
        g_array_append_val(grants, grant);
    }
    return granted;
}

static void
answer_report(control_t *c, http_exchange_t *exchange,
              const repeat_report_t *report)
{
    repeat_answer_t answer = {
        .epoch = c->repeats_epoch,
        .grants = g_array_new(FALSE, FALSE, sizeof(repeat_grant_t)),
    };
    /* A report without history is of no use to a grantor that has just begun.
     */
    gboolean usable = report->epoch == c->repeats_epoch || report->epoch == 0;
    guint granted = usable ? grant_all(c, report, answer.grants) : 0;
    answer.pace = repeat_pace(repeat_quota_instances(c->repeats));
    GBytes *encoded = repeat_answer_write(&answer);
    repeat_answer_clear(&answer);
    http_exchange_answer(exchange, 200, STR(""), str_from_bytes(encoded));
    g_bytes_unref(encoded);
    counter_add(counter_get("repeat_asks_total", NULL, FALSE), 1);
    counter_add(counter_get("repeats_granted_total", NULL, FALSE), granted);
}

void
handle_repeats(control_t *c, http_exchange_t *exchange)
{
    repeat_report_t report;
    GBytes *bytes = posted_bytes(exchange);
    gboolean valid = repeat_report_read(bytes, &report);
    g_bytes_unref(bytes);
    if (!valid) {
        answer_json(exchange, 400, "{\"error\":\"malformed\"}");
        return;
    }
    /* A leader that may have been replaced must not grant beside the new one.
     */
    if (c->repeats == NULL || c->draining || !control_may_read(c)) {
        answer_json(exchange, 503, "{\"error\":\"grants no repeats\"}");
    }
    else {
        answer_report(c, exchange, &report);
    }
    repeat_report_clear(&report);
}

void
repeat_grants_expire(control_t *c)
{
    if (c->repeats != NULL) {
        repeat_quota_expire(c->repeats, grants_now());
    }
}

void
repeat_grants_dump(const control_t *c, GString *text)
{
    if (c->repeats != NULL) {
        repeat_quota_dump(c->repeats, text, grants_now());
    }
}
