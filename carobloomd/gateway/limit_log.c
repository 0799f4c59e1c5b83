/* Log lines about rate limits that endpoints announce. */
#include "carobloom/common/counters.h"
#include "carobloom/common/event_log.h"
#include "entry_state.h"

enum {
    MS = 1000,
    /* Minimum interval, per endpoint, between two log lines about requests
     * that were not sent there because of its limit. */
    SPENT_LOG_INTERVAL_US = 1000 * MS,
};

static void
log_limit(const entry_t *entry, const endpoint_t *e, const char *event,
          const char *source)
{
    if (!event_log_begin(EVENT_STATE, event)) {
        return;
    }
    const endpoint_limit_t *l = e->limit;
    gint64 received_us = MAX(l->rate_received_us, l->owner_rate_us);
    event_log_cstr("endpoint", e->id);
    event_log_cstr("source", source);
    event_log_number("limit_per_1000_s", (gint64)(l->rate * 1000));
    event_log_number("granted", l->tokens);
    event_log_number("instances",
                     instance_count_get(&entry->sharing_instances));
    event_log_number("told_age_ms", received_us != 0
                                        ? (limit_link_now() - received_us) / MS
                                        : -1);
    event_log_number("sends", (gint64)l->sends);
    event_log_number("kept_away", (gint64)l->denied);
    event_log_end();
}

void
limit_log_change(const entry_t *entry, const endpoint_t *e,
                 limit_change_t change, const char *source)
{
    static const char *const EVENTS[] = {
        [LIMIT_BEGUN] = "limit_begun",
        [LIMIT_CHANGED] = "limit_changed",
        [LIMIT_LIFTED] = "limit_lifted",
    };
    if (change == LIMIT_UNCHANGED) {
        return;
    }
    log_limit(entry, e, EVENTS[change], source);
    e->limit->logged_begun = change != LIMIT_LIFTED;
    if (change == LIMIT_BEGUN) {
        counter_add(counter_get("limits_begun_total", NULL, FALSE), 1);
    }
}

void
limit_log_denied(const entry_t *entry, const endpoint_t *e)
{
    gint64 now = limit_link_now();
    if (now - e->limit->logged_us >= SPENT_LOG_INTERVAL_US) {
        e->limit->logged_us = now;
        log_limit(entry, e, "limit_spent", "");
    }
}
