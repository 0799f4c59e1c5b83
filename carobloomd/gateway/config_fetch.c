/* Which control instance is asked for the configuration with its next poll,
 * and when another one is asked instead. */
#include "carobloom/common/counters.h"
#include "carobloom/common/event_log.h"
#include "carobloom/policy/config_source.h"
#include "carobloom/policy/sync_pace.h"
#include "control_link_state.h"

enum {
    MS = 1000,
    /* Bytes that have to arrive of an overdue answer, until it is looked at
     * again, for it to count as a long answer over a narrow link. */
    RECEIVED_MIN = 2048,
    /* Time for the control instance that was asked to deliver a configuration
     * that is known to exist, before another one is asked. 100 KB take 80 ms
     * at 10 Mbit/s. Also the time for which an instance is not asked after it
     * sent a configuration that can't be used. */
    DELIVERY_TIMEOUT_US = 800 * MS,
};

static gboolean
is_usable(const control_link_t *link)
{
    return !link->lost && !link->overdue &&
           entry_now(link->entry) >= link->barred_until_us;
}

static void
bar(control_link_t *link)
{
    link->barred_until_us = entry_now(link->entry) + DELIVERY_TIMEOUT_US;
}

static config_source_t *
config_sources(const entry_t *e)
{
    config_source_t *sources = g_new0(config_source_t, e->links->len);
    for (guint i = 0; i < e->links->len; i++) {
        const control_link_t *link = e->links->pdata[i];
        sources[i] = (config_source_t){
            .usable = is_usable(link),
            .leads = link->leads,
            .asked = (link->asks_config || link->asks_next) && !link->overdue,
            .local = control_link_is_local(link),
            .version = link->version,
            .asked_us = link->asked_us,
        };
    }
    return sources;
}

gboolean
config_fetch_asks(const control_link_t *link)
{
    const entry_t *e = link->entry;
    guint at = 0;
    if (link->asks_next) {
        return TRUE;
    }
    if (entry_now(e) < link->barred_until_us) {
        return FALSE;
    }
    g_ptr_array_find(e->links, link, &at);
    config_source_t *sources = config_sources(e);
    gboolean asks = config_source_asks(sources, e->links->len, at);
    g_free(sources);
    return asks;
}

gboolean
config_fetch_end_poll(control_link_t *link)
{
    gboolean was_waited_for = link->asks_config && !link->overdue;
    timers_cancel(link->entry->timers, link->overdue_timer);
    link->overdue_timer = 0;
    link->overdue = FALSE;
    link->overdue_since_us = 0;
    link->received = 0;
    link->asks_config = FALSE;
    return was_waited_for;
}

void
config_fetch_elsewhere(control_link_t *link, const char *why)
{
    entry_t *e = link->entry;
    if (e->config == NULL) {
        return;
    }
    config_source_t *sources = config_sources(e);
    gint at = config_source_substitute(sources, e->links->len);
    g_free(sources);
    if (at < 0) {
        return;
    }
    control_link_t *other = e->links->pdata[at];
    if (event_log_begin(EVENT_STATE, "config_asked_elsewhere")) {
        event_log_cstr("control", other->address);
        event_log_cstr("instead_of", link->address);
        event_log_cstr("why", why);
        event_log_number("config_version", (gint64)e->config->version);
        event_log_number("newer_config_ms", entry_newer_config_ms(e));
        event_log_end();
    }
    counter_add(counter_get("config_asked_elsewhere_total", NULL, FALSE), 1);
    other->asks_next = TRUE;
    if (inner_line_is_busy(other->line)) {
        inner_line_cancel(other->line);
        config_fetch_end_poll(other);
        control_link_poll(other);
    }
}

/* Whether the overdue answer may still be waited for: it is a long one that
 * arrives. */
static gboolean
is_receiving(control_link_t *link)
{
    gsize received = inner_line_received(link->line);
    gint64 overdue_us = entry_now(link->entry) - link->overdue_since_us;
    gboolean grows = received >= link->received + RECEIVED_MIN;
    link->received = received;
    return grows && overdue_us < DELIVERY_TIMEOUT_US;
}

static void
answer_overdue(void *data)
{
    control_link_t *link = data;
    const entry_t *e = link->entry;
    link->overdue_timer = 0;
    if (link->overdue_since_us == 0) {
        link->overdue_since_us = entry_now(e);
    }
    if (is_receiving(link)) {
        link->overdue_timer = timers_subscribe(
            e->timers, sync_overdue_ms(e->entries) * (gint64)MS, 0,
            answer_overdue, link);
        return;
    }
    link->overdue = TRUE;
    if (link->asks_config) {
        config_fetch_elsewhere(link, "its answer is overdue");
    }
}

void
config_fetch_start_poll(control_link_t *link, guint32 wait_ms)
{
    const entry_t *e = link->entry;
    link->overdue_timer = timers_subscribe(
        e->timers, (wait_ms + sync_overdue_ms(e->entries)) * (gint64)MS, 0,
        answer_overdue, link);
}

void
config_fetch_reject(control_link_t *link)
{
    entry_t *e = link->entry;
    e->needs_whole_config = TRUE;
    bar(link);
    config_fetch_elsewhere(link, "what it sent can't be used");
}

/* Asks others than those that were asked and do not deliver. */
static void
ask_others(entry_t *e)
{
    control_link_t *asked = NULL;
    for (guint i = 0; i < e->links->len; i++) {
        control_link_t *link = e->links->pdata[i];
        if (link->asks_config && !link->overdue &&
            inner_line_received(link->line) > RECEIVED_MIN) {
            return;
        }
        if (link->asks_config && is_usable(link)) {
            bar(link);
            asked = link;
        }
    }
    if (asked != NULL) {
        config_fetch_elsewhere(asked, "it does not deliver");
    }
}

/* The newer version that became known has not been delivered in time. */
static void
config_late(void *data)
{
    entry_t *e = data;
    gint64 left_us =
        e->newer_config_since_us + DELIVERY_TIMEOUT_US - entry_now(e);
    e->late_config_timer = 0;
    if (e->newer_config_since_us == 0) {
        return;
    }
    if (left_us <= 0) {
        ask_others(e);
    }
    e->late_config_timer = timers_subscribe(
        e->timers, left_us > 0 ? left_us : DELIVERY_TIMEOUT_US, 0, config_late,
        e);
}

void
config_fetch_record_version(control_link_t *link, guint64 version)
{
    entry_t *e = link->entry;
    guint64 known_version = entry_known_version(e);
    link->version = version;
    if (version > known_version && e->newer_config_since_us == 0) {
        e->newer_config_since_us = entry_now(e);
    }
    if (e->newer_config_since_us != 0 && e->late_config_timer == 0) {
        e->late_config_timer = timers_subscribe(e->timers, DELIVERY_TIMEOUT_US,
                                                0, config_late, e);
    }
}
