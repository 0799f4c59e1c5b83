#include <string.h>

#include "carobloom/common/clock.h"
#include "carobloom/common/counters.h"
#include "carobloom/common/event_log.h"
#include "carobloom/gateway/inner_line.h"
#include "carobloom/policy/rendezvous.h"
#include "carobloom/policy/sync_pace.h"
#include "carobloom/version/text_delta.h"
#include "entry_state.h"

enum {
    MS = 1000,
    /* Added to the time for which a poll is held: a round trip between
     * regions, and the delay of a busy control instance, which grows with the
     * number of entry instances that poll it. A poll that times out too early
     * is sent again and adds load. */
    ANSWER_TIMEOUT_US = 700 * MS,
    ANSWER_TIMEOUT_PER_ENTRY_US = 5 * MS,
    /* Time for the leader to deliver a configuration before another control
     * instance is polled for it. 100 KB take 80 ms at 10 Mbit/s. */
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
};

struct control_link {
    entry_t *entry;
    char *address;
    char *data_centre; /* from the answers; NULL: no answer yet */
    guint source;      /* index in the directory */
    inner_line_t *line;
    guint64 timer;    /* of the next poll */
    gint64 polled_us; /* clock_boot_us of the poll in flight */
    gint64 retry_us;
    gint64 answered_us; /* of the last answer, on the timers' clock; 0: none */
    gint64 listed_us;   /* last listed by a control instance */
    gboolean lost;
    guint64 epoch;
    guint64 cursor;
    guint64 quarantine_cursor;
    guint64 limit_cursor;
    gboolean more;  /* leases remain after its last answer */
    gboolean leads; /* its last answer confirmed the configuration */
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

static void
link_failed(control_link_t *link)
{
    entry_t *e = link->entry;
    timers_cancel(e->timers, link->timer);
    link->leads = FALSE;
    if (!link->lost) {
        link->lost = TRUE;
        log_link(link, "control_lost");
    }
    link->retry_us = CLAMP(link->retry_us * 2, RETRY_MIN_US, RETRY_MAX_US);
    link->timer =
        timers_subscribe(e->timers, link->retry_us, 0, link_poll_due, link);
}

static gint64
answer_timeout_us(const entry_t *e)
{
    return ANSWER_TIMEOUT_US +
           e->entries * (gint64)ANSWER_TIMEOUT_PER_ENTRY_US;
}

/* ---- answers ---- */

/* Logs that the configuration that an answer brought can't be used. */
static void
log_config_fault(const control_link_t *link, const sync_answer_t *answer,
                 const char *why)
{
    const entry_t *e = link->entry;
    counter_add(counter_get("config_faults_total", NULL, FALSE), 1);
    if (event_log_begin(EVENT_STATE, "config_not_applied")) {
        event_log_cstr("control", link->address);
        event_log_number("config_version",
                         e->config ? (gint64)e->config->version : 0);
        event_log_number("newer_version", (gint64)answer->version);
        event_log_number("base_version", (gint64)answer->base);
        event_log_cstr("why", why);
        event_log_end();
    }
}

/* Returns the new text, or NULL if the difference does not fit. */
static GBytes *
updated_text(const entry_t *e, const sync_answer_t *answer)
{
    str_t base = answer->base != 0 ? str_from_bytes(e->text) : STR("");
    return text_delta_apply(base, answer->delta);
}

/* Returns FALSE if the answer brought a configuration that can't be used. */
static gboolean
apply_config(control_link_t *link, const sync_answer_t *answer)
{
    entry_t *e = link->entry;
    char *fault = NULL;
    if (answer->delta == NULL ||
        (e->config != NULL && answer->version <= e->config->version)) {
        return TRUE;
    }
    /* Another answer changed the configuration since the poll was sent. */
    if (answer->base != 0 &&
        (e->config == NULL || e->config->version != answer->base)) {
        return TRUE;
    }
    GBytes *text = updated_text(e, answer);
    if (text == NULL) {
        log_config_fault(link, answer, "the difference does not fit");
        return FALSE;
    }
    gboolean applied = entry_apply_config(e, answer->version, text, &fault);
    if (!applied) {
        log_config_fault(link, answer, fault);
    }
    g_free(fault);
    g_bytes_unref(text);
    return applied;
}

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

/* Records when it became known that a newer version exists. */
static void
record_version(entry_t *e, guint64 version)
{
    guint64 known_version = e->config != NULL ? e->config->version : 0;
    if (version > known_version && e->newer_config_since_us == 0) {
        e->newer_config_since_us = entry_now(e);
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
    record_version(e, answer->version);
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
    gboolean applied = apply_config(link, answer);
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

static gboolean
has_leader(const entry_t *e)
{
    for (guint i = 0; i < e->links->len; i++) {
        if (((control_link_t *)e->links->pdata[i])->leads) {
            return TRUE;
        }
    }
    return FALSE;
}

/* A new configuration comes from one control instance, the leader: if all of
 * them sent it at once, they would fill a narrow link for seconds. If there is
 * no leader or it does not deliver, the other control instances are polled for
 * it, one at a time. */
static gboolean
wants_config(const control_link_t *link)
{
    entry_t *e = link->entry;
    gint64 now = entry_now(e);
    gboolean late = e->newer_config_since_us != 0 &&
                    now - e->newer_config_since_us > DELIVERY_TIMEOUT_US;
    if (has_leader(e) && !late) {
        return link->leads;
    }
    guint turn = (guint)(now / DELIVERY_TIMEOUT_US);
    return link == e->links->pdata[turn % e->links->len] || link->leads;
}

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
    sync_request_t request = {
        .instance = e->settings->instance,
        .version = e->config != NULL ? e->config->version : 0,
        .epoch = link->epoch,
        .cursor = link->cursor,
        .quarantine_cursor = link->quarantine_cursor,
        .limit_cursor = link->limit_cursor,
        .wait_ms = max_wait_ms(link),
        .wants_config = wants_config(link),
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
    }
}

/* ---- all links ---- */

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
