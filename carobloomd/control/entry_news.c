/* Updates for entry instances: answers their sync requests, which are long
 * polls, at once or in batches. */
#include <string.h>

#include "carobloom/common/clock.h"
#include "carobloom/common/counters.h"
#include "carobloom/common/event_log.h"
#include "carobloom/gateway/inner_line.h"
#include "carobloom/policy/collector.h"
#include "carobloom/policy/rendezvous.h"
#include "carobloom/version/text_delta.h"
#include "control_state.h"

enum {
    MS = 1000,
    /* An entry instance is active if its last sync request is more recent
     * than this. */
    ENTRY_ACTIVE_US = 3000 * MS,
    /* Maximum number of quarantine orders in one answer, about 7 KB.
     * Thousands of orders are sent in several answers, at most half a second
     * apart. */
    ORDERS_MAX = 128,
    /* Maximum number of rate limits of endpoints in one answer, about 4 KB. */
    LIMITS_MAX = 256,
    WAIT_MAX_MS = 10000, /* maximum wait of a sync request for updates */
    /* Minimum interval between two batches of answers to all waiting entry
     * instances, per active entry instance. An answer costs 0.1 ms, so
     * batches use at most 7% of a core. Thousands of endpoints that start
     * together are published in tens of batches, not one by one. The
     * maximum of half a second is a quarter of the time within which the
     * start of an endpoint's draining must be published. */
    PUBLISH_US_PER_ENTRY = 1500,
    PUBLISH_INTERVAL_MAX_US = 500 * MS,
    /* Delay between the commit of a configuration and its publication, so
     * that configurations committed together go out once: a new leader
     * commits all earlier log entries at once. Configurations don't wait for
     * the next batch: after a loss of all processes, that wait made 8 of 16
     * entry instances (of 347) receive the configuration 500 ms after the
     * first one, and they refused requests until then. */
    CONFIG_DELAY_US = 20 * MS,
    /* Minimum interval between two counts of active entry instances, per
     * entry instance. */
    COUNT_US_PER_ENTRY = 20,
};

/* A sync request of an entry instance, waiting for updates. */
typedef struct {
    control_t *control;
    http_exchange_t *exchange;
    sync_request_t request;
    gint64 received_us; /* clock_boot_us: the timers' clock may lag behind */
    guint64 timer;
} pending_sync_t;

static const committed_config_t *
config_find(const control_t *c, guint64 version)
{
    for (GList *l = c->configs.tail; l != NULL; l = l->prev) {
        if (((committed_config_t *)l->data)->version == version) {
            return l->data;
        }
    }
    return NULL;
}

/* The difference from the configuration `base` (0: the empty text) to the
 * newest. The last few are cached because many entry instances need the
 * same one. */
static GBytes *
config_delta(control_t *c, guint64 base, str_t from,
             const committed_config_t *now)
{
    cached_delta_t *cached = &c->deltas[base % CONTROL_CACHED_DELTAS_MAX];
    if (cached->bytes == NULL || cached->base != base ||
        cached->version != now->version) {
        g_clear_pointer(&cached->bytes, g_bytes_unref);
        cached->base = base;
        cached->version = now->version;
        cached->bytes = text_delta_between(from, str_from_bytes(now->text));
    }
    return g_bytes_ref(cached->bytes);
}

/* Versions of different logs can't be compared. The entry instance takes this
 * log's configuration once it knows that its own log is gone. */
static gboolean
has_config_update(const control_t *c, const sync_request_t *request)
{
    gboolean other_log = request->version != 0 && request->has_log_id &&
                         request->log_id != c->log_id;
    return request->wants_config && !other_log &&
           request->version < control_newest_version(c);
}

static void
fill_config(control_t *c, const sync_request_t *request, sync_answer_t *answer)
{
    const committed_config_t *now = control_newest(c);
    answer->log_id = c->log_id;
    answer->version = control_newest_version(c);
    if (now == NULL || !has_config_update(c, request)) {
        return;
    }
    const committed_config_t *base = config_find(c, request->version);
    str_t from = base != NULL ? str_from_bytes(base->text) : STR("");
    answer->base = base != NULL ? base->version : 0;
    answer->delta = config_delta(c, answer->base, from, now);
}

guint
active_entries_count(control_t *c)
{
    GHashTableIter iter;
    gpointer value;
    gint64 now = control_now(c);
    gint64 interval_us =
        g_hash_table_size(c->entries) * (gint64)COUNT_US_PER_ENTRY;
    if (c->entries_counted_us != 0 &&
        now - c->entries_counted_us < interval_us) {
        return c->active_entries;
    }
    c->entries_counted_us = now;
    c->active_entries = 0;
    g_hash_table_iter_init(&iter, c->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        c->active_entries += now - *(gint64 *)value < ENTRY_ACTIVE_US;
    }
    return c->active_entries;
}

void
cached_answers_clear(control_t *c)
{
    for (guint i = 0; i < CONTROL_CACHED_ANSWERS_MAX; i++) {
        g_clear_pointer(&c->answers[i].bytes, g_bytes_unref);
    }
}

static answer_key_t
answer_key(control_t *c, const sync_request_t *request)
{
    gboolean full = request->epoch != c->epoch;
    return (answer_key_t){
        .since = full ? 0 : request->cursor,
        .published = c->published_cursor,
        .orders_since = full ? 0 : request->quarantine_cursor,
        .orders = crash_ledger_cursor(c->crashes),
        .limits_since = full ? 0 : request->limit_cursor,
        .limits = limit_quota_cursor(c->limits),
        .request_log_id = request->log_id,
        .has_log_id = (guint64)request->has_log_id,
        .request_version = request->version,
        .version = control_newest_version(c),
        .entries = collector_entries_rounded(active_entries_count(c)),
        .wants_config = (guint32)request->wants_config,
        .full = (guint32)full,
        .confirmed = (guint32)control_may_read(c),
    };
}

/* Chooses the entry instance that probes a quarantined request, by
 * rendezvous hashing. All control instances choose the same entry instance
 * if they see the same entry instances as active. Returns NULL if none is
 * active; free the name with g_free. */
static char *
probe_instance(const control_t *c, guint64 fingerprint)
{
    GHashTableIter iter;
    gpointer name;
    gpointer synced_us;
    const char *best = NULL;
    guint64 best_rank = 0;
    g_hash_table_iter_init(&iter, c->entries);
    while (g_hash_table_iter_next(&iter, &name, &synced_us)) {
        guint64 rank = hash_pair(fingerprint, hash_text(str_from_cstr(name)));
        if (control_now(c) - *(gint64 *)synced_us < ENTRY_ACTIVE_US &&
            (best == NULL || rank > best_rank)) {
            best = name;
            best_rank = rank;
        }
    }
    return g_strdup(best);
}

static void
assign_probes(const control_t *c, GArray *orders)
{
    for (guint i = 0; i < orders->len; i++) {
        quarantine_order_t *order =
            &g_array_index(orders, quarantine_order_t, i);
        if (order->probe != 0) {
            order->probe_instance = probe_instance(c, order->fingerprint);
        }
    }
}

static GBytes *
sync_build(control_t *c, const sync_request_t *request)
{
    gboolean full = request->epoch != c->epoch;
    guint64 through;
    GPtrArray *leases = registry_changes_since(
        c->registry, full ? 0 : request->cursor, SYNC_LEASES_MAX, &through);
    gboolean more = through < registry_cursor(c->registry);
    sync_answer_t answer = {
        .epoch = c->epoch,
        .cursor = more ? through : c->published_cursor,
        .full = full,
        .more = more,
        .confirmed = control_may_read(c),
        .has_log_id = request->has_log_id,
        .entries = collector_entries_rounded(active_entries_count(c)),
        .leases = leases,
        .controls = g_ptr_array_new(),
        .data_centre = g_strdup(c->settings->data_centre),
    };
    for (guint i = 0; i < c->view.voters.count; i++) {
        g_ptr_array_add(answer.controls,
                        (gpointer)c->view.voters.members[i].name);
    }
    fill_config(c, request, &answer);
    answer.quarantine_cursor = full ? 0 : request->quarantine_cursor;
    answer.quarantine_orders = crash_ledger_orders_since(
        c->crashes, &answer.quarantine_cursor, ORDERS_MAX, control_now(c));
    assign_probes(c, answer.quarantine_orders);
    answer.limit_cursor = full ? 0 : request->limit_cursor;
    answer.limits =
        limit_quota_changes_since(c->limits, &answer.limit_cursor, LIMITS_MAX);
    GBytes *bytes = sync_answer_write(&answer);
    sync_answer_clear(&answer);
    counter_add(counter_get("entry_answers_written_total", NULL, FALSE), 1);
    return bytes;
}

/* The serialized answer, cached for all entry instances with equal
 * requests. Serializing 3,000 leases separately for each of 291 entry
 * instances would keep a control instance with 0.15 cores busy for 30 s.
 * Meanwhile endpoints would time out and send their heartbeats to the next
 * control instance, whose list of leases grows even longer. */
static GBytes *
sync_answer_bytes(control_t *c, const sync_request_t *request)
{
    counter_add(counter_get("entry_answers_total", NULL, FALSE), 1);
    answer_key_t key = answer_key(c, request);
    for (guint i = 0; i < CONTROL_CACHED_ANSWERS_MAX; i++) {
        const cached_answer_t *cached = &c->answers[i];
        if (cached->bytes != NULL &&
            memcmp(&cached->key, &key, sizeof(key)) == 0) {
            return g_bytes_ref(cached->bytes);
        }
    }
    cached_answer_t *cached =
        &c->answers[c->next_cached_answer++ % CONTROL_CACHED_ANSWERS_MAX];
    g_clear_pointer(&cached->bytes, g_bytes_unref);
    cached->key = key;
    cached->bytes = sync_build(c, request);
    return g_bytes_ref(cached->bytes);
}

static gboolean
has_updates(const control_t *c, const sync_request_t *request)
{
    return request->epoch != c->epoch ||
           request->cursor != c->published_cursor ||
           request->quarantine_cursor != crash_ledger_cursor(c->crashes) ||
           request->limit_cursor != limit_quota_cursor(c->limits) ||
           has_config_update(c, request);
}

/* Answers a sync request that waited for `waited_us`. */
static void
sync_answer(control_t *c, http_exchange_t *exchange,
            const sync_request_t *request, gint64 waited_us)
{
    char fields[64];
    GBytes *bytes = sync_answer_bytes(c, request);
    g_snprintf(fields, sizeof(fields), HELD_FIELD ": %d\r\n",
               (int)(waited_us / MS));
    http_exchange_answer(exchange, 200, str_from_cstr(fields),
                         str_from_bytes(bytes));
    g_bytes_unref(bytes);
}

static void
pending_sync_free(pending_sync_t *pending)
{
    control_t *c = pending->control;
    timers_cancel(c->timers, pending->timer);
    c->pending_syncs = g_list_remove(c->pending_syncs, pending);
    sync_request_clear(&pending->request);
    g_free(pending);
}

static void
pending_sync_answer(pending_sync_t *pending)
{
    control_t *c = pending->control;
    http_exchange_set_data(pending->exchange, NULL);
    sync_answer(c, pending->exchange, &pending->request,
                clock_boot_us() - pending->received_us);
    pending_sync_free(pending);
}

static void
pending_sync_expired(void *data)
{
    pending_sync_t *pending = data;
    pending->timer = 0;
    pending_sync_answer(pending);
}

static void
publish_now(control_t *c)
{
    GList *next;
    c->published_us = control_now(c);
    c->published_cursor = registry_cursor(c->registry);
    for (GList *l = c->pending_syncs; l != NULL; l = next) {
        pending_sync_t *pending = l->data;
        next = l->next;
        if (has_updates(c, &pending->request)) {
            pending_sync_answer(pending);
        }
    }
}

static void
publish_due(void *data)
{
    control_t *c = data;
    c->publish_timer = 0;
    publish_now(c);
}

/* Time until the next batch may go out; 0 or less: now. */
static gint64
publish_delay(control_t *c)
{
    gint64 interval_us =
        active_entries_count(c) * (gint64)PUBLISH_US_PER_ENTRY;
    return c->published_us + MIN(interval_us, PUBLISH_INTERVAL_MAX_US) -
           control_now(c);
}

void
control_publish_updates(control_t *c)
{
    gint64 delay_us = publish_delay(c);
    if (c->publish_timer != 0) {
        return;
    }
    if (delay_us <= 0) {
        publish_now(c);
        return;
    }
    c->publish_timer =
        timers_subscribe(c->timers, delay_us, 0, publish_due, c);
}

static void
config_due(void *data)
{
    control_t *c = data;
    c->config_timer = 0;
    publish_now(c);
}

void
control_publish_config(control_t *c)
{
    if (c->config_timer == 0) {
        c->config_timer =
            timers_subscribe(c->timers, CONFIG_DELAY_US, 0, config_due, c);
    }
}

static void
record_entry(control_t *c, const char *instance)
{
    gint64 now = control_now(c);
    g_hash_table_replace(c->entries, g_strdup(instance),
                         g_memdup2(&now, sizeof(now)));
    c->last_sync_us = now;
}

void
handle_sync(control_t *c, http_exchange_t *exchange)
{
    GBytes *bytes = posted_bytes(exchange);
    sync_request_t request;
    gboolean valid = sync_request_read(bytes, &request);
    g_bytes_unref(bytes);
    if (!valid) {
        answer_json(exchange, 400, "{\"error\":\"malformed\"}");
        return;
    }
    record_entry(c, request.instance);
    gboolean updated = has_updates(c, &request);
    /* While endpoints join and leave continually, there are always updates.
     * An entry instance that sends its next request between two batches
     * therefore waits for the next batch, like all others. */
    gboolean batched = updated && !request.more && request.epoch == c->epoch &&
                       !has_config_update(c, &request) && publish_delay(c) > 0;
    if ((updated && !batched) || request.wait_ms == 0 || c->draining) {
        sync_answer(c, exchange, &request, 0);
        sync_request_clear(&request);
        return;
    }
    pending_sync_t *pending = g_new0(pending_sync_t, 1);
    *pending = (pending_sync_t){.control = c,
                                .exchange = exchange,
                                .request = request,
                                .received_us = clock_boot_us()};
    pending->timer = timers_subscribe(
        c->timers, MIN(request.wait_ms, WAIT_MAX_MS) * (gint64)MS, 0,
        pending_sync_expired, pending);
    c->pending_syncs = g_list_prepend(c->pending_syncs, pending);
    http_exchange_set_data(exchange, pending);
    if (batched) {
        control_publish_updates(c);
    }
}

void
pending_syncs_answer_all(control_t *c)
{
    GList *next;
    for (GList *l = c->pending_syncs; l != NULL; l = next) {
        next = l->next;
        pending_sync_answer(l->data);
    }
}

void
pending_syncs_drop_all(control_t *c)
{
    GList *next;
    for (GList *l = c->pending_syncs; l != NULL; l = next) {
        next = l->next;
        pending_sync_free(l->data);
    }
}

void
entry_disconnected(http_exchange_t *exchange)
{
    pending_sync_t *pending = http_exchange_data(exchange);
    if (pending != NULL) {
        pending_sync_free(pending);
    }
}

gboolean
has_active_entries(const control_t *c)
{
    return control_now(c) - c->last_sync_us < ENTRY_ACTIVE_US;
}

gboolean
is_active_entry(const control_t *c, const char *instance)
{
    const gint64 *synced_us = g_hash_table_lookup(c->entries, instance);
    return synced_us != NULL && control_now(c) - *synced_us < ENTRY_ACTIVE_US;
}
