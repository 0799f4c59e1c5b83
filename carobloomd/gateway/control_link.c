#include <string.h>

#include "carobloom/common/clock.h"
#include "carobloom/common/counters.h"
#include "carobloom/common/event_log.h"
#include "carobloom/gateway/inner_line.h"
#include "carobloom/policy/config_source.h"
#include "carobloom/policy/rendezvous.h"
#include "carobloom/policy/sync_pace.h"
#include "entry_state.h"

enum {
    MS = 1000,
    /* Added to the time for which a poll is held: a round trip between
     * regions, and the delay of a busy control instance, which grows with the
     * number of entry instances that poll it. A poll that times out too early
     * is sent again and adds load. */
    ANSWER_TIMEOUT_US = 700 * MS,
    ANSWER_TIMEOUT_PER_ENTRY_US = 5 * MS,
    /* Bytes that have to arrive of an overdue answer, until it is looked at
     * again, for it to count as a long answer over a narrow link. */
    RECEIVED_MIN = 2048,
    /* Time for the control instance that was asked to deliver a configuration
     * that is known to exist, before another one is asked. 100 KB take 80 ms
     * at 10 Mbit/s. Also the time for which an instance is not asked after it
     * sent a configuration that can't be used. */
    DELIVERY_TIMEOUT_US = 800 * MS,
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

struct control_link {
    entry_t *entry;
    char *address;
    char *data_centre; /* from the answers; NULL: no answer yet */
    guint source;      /* index in the directory */
    inner_line_t *line;
    guint64 timer;        /* of the next poll */
    gboolean polls_again; /* as soon as its connection is free */
    gint64 polled_us;     /* clock_boot_us of the poll in flight */
    gint64 retry_us;
    gint64 answered_us; /* of the last answer, on the timers' clock; 0: none */
    gint64 listed_us;   /* last listed by a control instance */
    gboolean lost;
    guint64 epoch;
    guint64 cursor;
    guint64 quarantine_cursor;
    guint64 limit_cursor;
    gboolean more;         /* leases remain after its last answer */
    gboolean leads;        /* its last answer confirmed the configuration */
    guint64 version;       /* the newest that it reported */
    gboolean asks_config;  /* the poll in flight asks for the configuration */
    gboolean asks_next;    /* the next poll will */
    gint64 asked_us;       /* when it was last asked */
    gboolean overdue;      /* the answer to the poll in flight is */
    guint64 overdue_timer; /* 0: no poll is in flight, or it is overdue */
    gint64 overdue_since_us; /* 0: the time for its answer is not over */
    gsize received; /* bytes of the answer, when it was last looked at */
    /* It is not asked for the configuration before: it did not deliver one, or
     * one that can't be used. */
    gint64 barred_until_us;
};

static const inner_line_ops_t LINK_OPS;
static void link_poll(control_link_t *link);

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

static void
link_poll_due(void *data)
{
    control_link_t *link = data;
    link->timer = 0;
    link_poll(link);
}

/* ---- who is asked for the configuration ---- */

static gboolean
is_usable(const control_link_t *link)
{
    return !link->lost && !link->overdue &&
           entry_now(link->entry) >= link->barred_until_us;
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
            .local =
                g_strcmp0(link->data_centre, e->settings->data_centre) == 0,
            .version = link->version,
            .asked_us = link->asked_us,
        };
    }
    return sources;
}

static gboolean
asks_config(const control_link_t *link)
{
    const entry_t *e = link->entry;
    guint at = 0;
    if (link->asks_next || entry_now(e) < link->barred_until_us) {
        return link->asks_next;
    }
    while (e->links->pdata[at] != link) {
        at++;
    }
    config_source_t *sources = config_sources(e);
    gboolean asks = config_source_asks(sources, e->links->len, at);
    g_free(sources);
    return asks;
}

/* The poll in flight has ended. Returns whether another control instance has
 * to be asked for the configuration if this one did not answer. */
static gboolean
link_end_poll(control_link_t *link)
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

/* Asks another control instance for the configuration at once, since `link`
 * does not deliver it. An instance that has none yet waits for the next poll:
 * where all start together, more polls would only delay the answers. */
static void
config_ask_elsewhere(control_link_t *link, const char *why)
{
    entry_t *e = link->entry;
    if (e->config == NULL) {
        return;
    }
    config_source_t *sources = config_sources(e);
    gint at = config_source_substitute(sources, e->links->len);
    g_free(sources);
    if (at < 0 || e->links->pdata[at] == link) {
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
        link_end_poll(other);
        link_poll(other);
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
link_overdue(void *data)
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
            link_overdue, link);
        return;
    }
    link->overdue = TRUE;
    if (link->asks_config) {
        config_ask_elsewhere(link, "its answer is overdue");
    }
}

static void
link_failed(control_link_t *link)
{
    entry_t *e = link->entry;
    gboolean was_waited_for = link_end_poll(link);
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
        config_ask_elsewhere(link, "its poll failed");
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
        link_poll(link);
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

/* Asks others than those that were asked and do not deliver. */
static void
config_ask_others(entry_t *e)
{
    control_link_t *asked = NULL;
    for (guint i = 0; i < e->links->len; i++) {
        control_link_t *link = e->links->pdata[i];
        if (link->asks_config && !link->overdue &&
            inner_line_received(link->line) > RECEIVED_MIN) {
            return;
        }
        if (link->asks_config && is_usable(link)) {
            link->barred_until_us = entry_now(e) + DELIVERY_TIMEOUT_US;
            asked = link;
        }
    }
    if (asked != NULL) {
        config_ask_elsewhere(asked, "it does not deliver");
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
        config_ask_others(e);
    }
    e->late_config_timer = timers_subscribe(
        e->timers, left_us > 0 ? left_us : DELIVERY_TIMEOUT_US, 0, config_late,
        e);
}

/* Records which version a control instance has, and when it became known that
 * a newer one than that in force exists. */
static void
record_version(control_link_t *link, guint64 version)
{
    entry_t *e = link->entry;
    guint64 known_version = e->config != NULL ? e->config->version : 0;
    link->version = version;
    if (version > known_version && e->newer_config_since_us == 0) {
        e->newer_config_since_us = entry_now(e);
    }
    if (e->newer_config_since_us != 0 && e->late_config_timer == 0) {
        e->late_config_timer = timers_subscribe(e->timers, DELIVERY_TIMEOUT_US,
                                                0, config_late, e);
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
    record_version(link, answer->version);
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
    link->leads = answer->confirmed;
    g_free(link->data_centre);
    link->data_centre = g_strdup(answer->data_centre);
    traffic_set_data_centre(e->traffic, link->address, answer->data_centre);
    gboolean applied = entry_apply_update(e, answer, link->address);
    if (!applied) {
        e->needs_whole_config = TRUE;
        link->barred_until_us = now + DELIVERY_TIMEOUT_US;
        config_ask_elsewhere(link, "what it sent can't be used");
    }
    if (applied && answer->confirmed && e->config != NULL &&
        e->config->version >= answer->version) {
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
    link_end_poll(link);
    link->lost = FALSE;
    link->retry_us = 0;
    link->answered_us = entry_now(e);
    apply_answer(link, &answer);
    sync_answer_clear(&answer);
    /* The connection is free only after this call returns. */
    link->polls_again = TRUE;
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

static void
link_poll(control_link_t *link)
{
    entry_t *e = link->entry;
    link->polls_again = FALSE;
    gboolean whole = e->needs_whole_config && e->newer_config_since_us != 0;
    guint32 wait_ms = max_wait_ms(link);
    link->asks_config = asks_config(link);
    link->asks_next = FALSE;
    if (link->asks_config) {
        link->asked_us = entry_now(e);
    }
    sync_request_t request = {
        .instance = e->settings->instance,
        .version = e->config != NULL && !(whole && link->asks_config)
                       ? e->config->version
                       : 0,
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
    link->overdue_timer = timers_subscribe(
        e->timers, (wait_ms + sync_overdue_ms(e->entries)) * (gint64)MS, 0,
        link_overdue, link);
}

/* ---- all links ---- */

void
control_links_poll_again(void *data)
{
    const entry_t *e = data;
    for (guint i = 0; i < e->links->len; i++) {
        control_link_t *link = e->links->pdata[i];
        if (link->polls_again) {
            timers_cancel(e->timers, link->timer);
            link->timer = 0;
            link_poll(link);
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
            .local =
                g_strcmp0(link->data_centre, e->settings->data_centre) == 0,
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
