#include <string.h>

#include "carobloom/common/clock.h"
#include "carobloom/common/counters.h"
#include "carobloom/common/event_log.h"
#include "carobloom/policy/rendezvous.h"
#include "carobloom/policy/sync_pace.h"
#include "control_link_state.h"

enum {
    MS = 1000,
    /* Added to the time for which a poll is held: a round trip between
     * regions, and the delay of a busy control instance, which grows with the
     * number of entry instances that poll it. A poll that times out too early
     * is sent again and adds load. */
    ANSWER_TIMEOUT_US = 700 * MS,
    ANSWER_TIMEOUT_PER_ENTRY_US = 5 * MS,
    RETRY_MIN_US = 50 * MS,
    RETRY_MAX_US = 800 * MS,
    /* A control instance is removed after this time without an answer and
     * without being listed by another one. */
    LOST_LIFETIME_US = 30 * G_USEC_PER_SEC,
    ANSWER_MAX = 64 * 1024 * 1024,
};

static const http_peer_limits_t LINK_LIMITS = {
    .connect_us = 600 * MS,
    .idle_us = 5 * G_USEC_PER_SEC,
    .idle_max = 1,
    .head_max = 4096,
    .urgent = TRUE,
};

static const inner_line_ops_t LINK_OPS;

static void
log_link(const control_link_t *link, const char *event)
{
    if (event_log_begin(EVENT_STATE, event)) {
        event_log_cstr("control", link->address);
        event_log_number(
            "config_version",
            link->entry->config ? (gint64)link->entry->config->version : 0);
        event_log_end();
    }
}

gboolean
control_link_is_local(const control_link_t *link)
{
    return g_strcmp0(link->data_centre, link->entry->settings->data_centre) ==
           0;
}

static void
link_poll_due(void *data)
{
    control_link_t *link = data;
    link->timer = 0;
    control_link_poll(link);
}

static void
link_failed(control_link_t *link)
{
    entry_t *e = link->entry;
    gboolean was_waited_for = config_fetch_end_poll(link);
    timers_cancel(e->timers, link->timer);
    link->leads = FALSE;
    if (!link->lost) {
        link->lost = TRUE;
        log_link(link, "control_lost");
    }
    link->retry_us = CLAMP(link->retry_us * 2, RETRY_MIN_US, RETRY_MAX_US);
    link->timer =
        timers_subscribe(e->timers, link->retry_us, 0, link_poll_due, link);
    if (was_waited_for) {
        config_fetch_elsewhere(link, "its poll failed");
    }
}

static gint64
answer_timeout_us(const entry_t *e)
{
    return ANSWER_TIMEOUT_US +
           e->entries * (gint64)ANSWER_TIMEOUT_PER_ENTRY_US;
}

/* ---- answers ---- */

static control_link_t *
link_find(entry_t *e, const char *address)
{
    for (guint i = 0; i < e->links->len; i++) {
        control_link_t *link = e->links->pdata[i];
        if (strcmp(link->address, address) == 0) {
            return link;
        }
    }
    return NULL;
}

static gint
free_source(const entry_t *e)
{
    guint32 used = 0;
    for (guint i = 0; i < e->links->len; i++) {
        used |= 1u << ((control_link_t *)e->links->pdata[i])->source;
    }
    for (gint i = 0; i < DIRECTORY_SOURCES_MAX; i++) {
        if (!(used & 1u << i)) {
            return i;
        }
    }
    return -1;
}

/* Returns NULL if the address is invalid. */
static control_link_t *
link_create(entry_t *e, const char *address, guint source)
{
    control_link_t *link = g_new0(control_link_t, 1);
    inner_line_setup_t setup = {.poller = e->poller,
                                .timers = e->timers,
                                .peer = LINK_LIMITS,
                                .answer_max = ANSWER_MAX,
                                .ops = &LINK_OPS,
                                .user = link,
                                .traffic = e->traffic,
                                .kind = TRAFFIC_SYNC};
    inner_line_t *line = inner_line_create(&setup, address);
    if (line == NULL) {
        g_free(link);
        return NULL;
    }
    *link = (control_link_t){.entry = e,
                             .address = g_strdup(address),
                             .source = source,
                             .line = line};
    return link;
}

static void
link_add(entry_t *e, const char *address)
{
    control_link_t *link = link_find(e, address);
    gint source = free_source(e);
    if (link == NULL && source >= 0) {
        link = link_create(e, address, (guint)source);
        if (link == NULL) {
            return;
        }
        g_ptr_array_add(e->links, link);
        link->listed_us = entry_now(e);
        control_link_poll(link);
    }
    if (link != NULL) {
        link->listed_us = entry_now(e);
    }
}

static void
link_destroy(control_link_t *link)
{
    entry_t *e = link->entry;
    timers_cancel(e->timers, link->timer);
    timers_cancel(e->timers, link->overdue_timer);
    inner_line_destroy(link->line);
    crash_link_remove_control(e->crash_link, link->address);
    helper_link_remove_control(e->helper_link, link->address);
    directory_source_reset(e->directory, link->source, entry_now(e));
    g_free(link->address);
    g_free(link->data_centre);
    g_free(link);
}

static void
expire_lost_links(entry_t *e)
{
    gint64 now = entry_now(e);
    for (guint i = e->links->len; i > 0; i--) {
        control_link_t *link = e->links->pdata[i - 1];
        if (link->lost && now - link->listed_us > LOST_LIFETIME_US &&
            now - link->answered_us > LOST_LIFETIME_US) {
            g_ptr_array_remove_index(e->links, i - 1);
            link_destroy(link);
        }
    }
}

/* The earliest time, by the clock of this instance, at which the answer can
 * have been written: the poll was held for a while after it was sent. */
static gint64
earliest_written_us(const control_link_t *link)
{
    gint64 elapsed_us = clock_boot_us() - link->polled_us;
    gint64 held_us = inner_line_held_ms(link->line) * (gint64)MS;
    return link->polled_us + CLAMP(held_us, 0, elapsed_us);
}

static void
apply_answer(control_link_t *link, const sync_answer_t *answer)
{
    entry_t *e = link->entry;
    gint64 now = entry_now(e);
    gboolean follows = entry_follow_log(e, answer, link->address);
    if (follows) {
        config_fetch_record_version(link, answer->version);
    }
    if (answer->full && link->epoch != answer->epoch) {
        directory_source_reset(e->directory, link->source, now);
    }
    for (guint i = 0; i < answer->leases->len; i++) {
        directory_update(e->directory, link->source, answer->leases->pdata[i],
                         now);
    }
    link->epoch = answer->epoch;
    link->cursor = answer->cursor;
    link->more = answer->more;
    link->quarantine_cursor = answer->quarantine_cursor;
    link->limit_cursor = answer->limit_cursor;
    crash_link_update_control(e->crash_link, link->address, answer->epoch);
    helper_link_update_control(e->helper_link, link->address, answer->epoch);
    crash_link_apply_orders(e->crash_link, answer->quarantine_orders,
                            link->address);
    limit_link_apply_limits(e->limit_link, answer->limits, link->address);
    if (answer->confirmed) {
        limit_link_set_owners(e->limit_link, answer->controls);
    }
    link->leads = answer->confirmed && follows;
    g_free(link->data_centre);
    link->data_centre = g_strdup(answer->data_centre);
    traffic_set_data_centre(e->traffic, link->address, answer->data_centre);
    gboolean applied = follows && entry_apply_update(e, answer, link->address);
    if (follows && !applied) {
        config_fetch_reject(link);
    }
    if (applied && answer->confirmed && e->config != NULL &&
        entry_known_version(e) >= answer->version) {
        entry_record_confirmation(e, earliest_written_us(link), link->address);
    }
    e->entries = MAX(answer->entries, 1);
    instance_count_record(&e->sharing_instances, e->entries, now);
    for (guint i = 0; i < answer->controls->len; i++) {
        link_add(e, answer->controls->pdata[i]);
    }
    expire_lost_links(e);
}

static void
on_answered(void *user, guint status, GBytes *body)
{
    control_link_t *link = user;
    entry_t *e = link->entry;
    sync_answer_t answer;
    if (status != 200 || !sync_answer_read(body, &answer)) {
        counter_add(counter_get("control_malformed_total", NULL, FALSE), 1);
        link_failed(link);
        return;
    }
    if (link->lost || link->answered_us == 0) {
        log_link(link, "control_found");
    }
    config_fetch_end_poll(link);
    link->lost = FALSE;
    link->retry_us = 0;
    link->answered_us = entry_now(e);
    apply_answer(link, &answer);
    sync_answer_clear(&answer);
    /* The connection is free only after this call returns. */
    link->timer = timers_subscribe(e->timers, 0, 0, link_poll_due, link);
}

static void
on_failed(void *user)
{
    /* Polls are idempotent, so a failed poll may be sent again. */
    link_failed(user);
}

static const inner_line_ops_t LINK_OPS = {.answered = on_answered,
                                          .failed = on_failed};

static guint32
max_wait_ms(const control_link_t *link)
{
    const entry_t *e = link->entry;
    sync_pace_t pace = {
        .entries = e->entries,
        .leads = link->leads,
        .healthy =
            link->answered_us != 0 && !link->lost && entry_is_confirmed(e),
        .revocation_bound_ms = e->settings->revoke_ms,
    };
    return sync_wait_ms(&pace);
}

void
control_link_poll(control_link_t *link)
{
    entry_t *e = link->entry;
    gboolean whole = e->needs_whole_config && e->newer_config_since_us != 0;
    guint32 wait_ms = max_wait_ms(link);
    link->asks_config = config_fetch_asks(link);
    link->asks_next = FALSE;
    if (link->asks_config) {
        link->asked_us = entry_now(e);
    }
    sync_request_t request = {
        .instance = e->settings->instance,
        .has_log_id = TRUE,
        .log_id = e->log_id,
        .version = whole && link->asks_config ? 0 : entry_known_version(e),
        .epoch = link->epoch,
        .cursor = link->cursor,
        .quarantine_cursor = link->quarantine_cursor,
        .limit_cursor = link->limit_cursor,
        .wait_ms = wait_ms,
        .wants_config = link->asks_config,
        .more = link->more,
    };
    GBytes *body = sync_request_write(&request);
    link->polled_us = clock_boot_us();
    /* A long answer over a narrow link may take several times as long as the
     * timeout. */
    inner_line_set_progress(link->line, answer_timeout_us(e));
    gboolean posted =
        inner_line_post(link->line, SYNC_PATH, body,
                        request.wait_ms * MS + answer_timeout_us(e));
    g_bytes_unref(body);
    if (!posted) {
        link_failed(link);
        return;
    }
    config_fetch_start_poll(link, wait_ms);
}

void
control_link_forget_version(control_link_t *link)
{
    link->version = 0;
}

/* ---- all links ---- */

void
control_links_poll_again(void *data)
{
    const entry_t *e = data;
    for (guint i = 0; i < e->links->len; i++) {
        control_link_t *link = e->links->pdata[i];
        /* The timer of a lost one is that of its next attempt. */
        if (link->timer != 0 && !link->lost) {
            timers_cancel(e->timers, link->timer);
            link->timer = 0;
            control_link_poll(link);
        }
    }
}

void
control_links_add_seeds(entry_t *e)
{
    for (int i = 0; e->settings->seeds[i] != NULL; i++) {
        const char *seed = e->settings->seeds[i];
        const char *colon = strrchr(seed, ':');
        if (colon == NULL) {
            continue;
        }
        char *address = g_strdup_printf("%.*s:%d", (int)(colon - seed), seed,
                                        (int)e->settings->peers_port);
        link_add(e, address);
        g_free(address);
    }
}

void
control_links_destroy(entry_t *e)
{
    timers_cancel(e->timers, e->late_config_timer);
    for (guint i = 0; i < e->links->len; i++) {
        link_destroy(e->links->pdata[i]);
    }
    g_ptr_array_unref(e->links);
}

GPtrArray *
control_links_collectors(const entry_t *e, GArray *collectors)
{
    GPtrArray *addresses = g_ptr_array_new();
    for (guint i = 0; i < e->links->len; i++) {
        const control_link_t *link = e->links->pdata[i];
        collector_t c = {
            .hash = hash_text(str_from_cstr(link->address)),
            .local = control_link_is_local(link),
            .reachable = link->answered_us != 0 && !link->lost,
        };
        g_array_append_val(collectors, c);
        g_ptr_array_add(addresses, link->address);
    }
    return addresses;
}

const char *
control_links_leader(const entry_t *e)
{
    for (guint i = 0; i < e->links->len; i++) {
        const control_link_t *link = e->links->pdata[i];
        if (link->leads && !link->lost) {
            return link->address;
        }
    }
    return NULL;
}

void
control_links_dump(const entry_t *e, GString *text)
{
    for (guint i = 0; i < e->links->len; i++) {
        const control_link_t *link = e->links->pdata[i];
        g_string_append_printf(
            text, "control %s %s%s, polled %ld ms ago, cursor %lu\n",
            link->address, link->lost ? "lost" : "answers",
            link->leads ? " and leads" : "",
            (long)((clock_boot_us() - link->polled_us) / MS),
            (unsigned long)link->cursor);
    }
}
