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
    /* An entry instance that asked within this time counts as one. */
    ENTRY_FRESH_US = 3000 * MS,
    /* Orders to hold requests back in one answer, some 7 KB of it: thousands
     * go out in batches, at half a second at most between two. */
    ORDERS_MOST = 128,
    LIMITS_MOST = 256,    /* the same of limits of endpoints, some 4 KB */
    WAIT_MOST_MS = 10000, /* that an entry instance may be held for */
    /* Between two answers to all that are held: each costs 0.1 ms, so 7% of a
     * core at most. Thousands of endpoints that start together are told in
     * tens of such, not one by one. Half a second is a quarter of the bound
     * for an endpoint that drains. */
    SPREAD_US_AN_ENTRY = 1500,
    SPREAD_MOST_US = 500 * MS,
    /* A configuration does not wait for such a batch, only for what is
     * committed with it: a new leader commits all that came before. After all
     * processes were lost, 8 of 16 entry instances, of 347, were told 500 ms
     * later than the first, and refused what came until then. */
    COMMITS_US = 20 * MS,
    /* Between two counts of the entry instances that ask, for each of them. */
    COUNT_US_AN_ENTRY = 20,
};

/* An entry instance's question, held until there is news. */
typedef struct {
    control_t *control;
    http_exchange_t *exchange;
    sync_request_t request;
    gint64 asked_us; /* clock_boot_us, not the timers' clock: never early */
    guint64 timer;
} held_sync_t;

static const kept_text_t *
text_of(const control_t *c, guint64 version)
{
    for (GList *l = c->texts.tail; l != NULL; l = l->prev) {
        if (((kept_text_t *)l->data)->version == version) {
            return l->data;
        }
    }
    return NULL;
}

/* The difference from `base` (0: the empty text) to the newest. Many ask for
 * the same one, so the last few are kept. */
static GBytes *
config_delta(control_t *c, guint64 base, str_t from, const kept_text_t *now)
{
    kept_delta_t *kept = &c->deltas[base % CONTROL_DELTAS];
    if (kept->bytes == NULL || kept->base != base ||
        kept->version != now->version) {
        g_clear_pointer(&kept->bytes, g_bytes_unref);
        kept->base = base;
        kept->version = now->version;
        kept->bytes = text_delta_between(from, str_from_bytes(now->text));
    }
    return g_bytes_ref(kept->bytes);
}

static void
fill_config(control_t *c, const sync_request_t *request, sync_answer_t *answer)
{
    const kept_text_t *now = control_newest(c);
    answer->version = control_newest_version(c);
    if (now == NULL || !request->wants_config ||
        answer->version <= request->version) {
        return;
    }
    const kept_text_t *base = text_of(c, request->version);
    str_t from = base != NULL ? str_from_bytes(base->text) : STR("");
    answer->base = base != NULL ? base->version : 0;
    answer->delta = config_delta(c, answer->base, from, now);
}

guint
entries_fresh(control_t *c)
{
    GHashTableIter iter;
    gpointer value;
    gint64 now = control_now(c);
    gint64 pause_us =
        g_hash_table_size(c->entries) * (gint64)COUNT_US_AN_ENTRY;
    if (c->counted_us != 0 && now - c->counted_us < pause_us) {
        return c->fresh_entries;
    }
    c->counted_us = now;
    c->fresh_entries = 0;
    g_hash_table_iter_init(&iter, c->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        c->fresh_entries += now - *(gint64 *)value < ENTRY_FRESH_US;
    }
    return c->fresh_entries;
}

void
answers_forget(control_t *c)
{
    for (guint i = 0; i < CONTROL_ANSWERS; i++) {
        g_clear_pointer(&c->answers[i].bytes, g_bytes_unref);
    }
}

static answer_key_t
answer_key(control_t *c, const sync_request_t *request)
{
    gboolean full = request->epoch != c->epoch;
    return (answer_key_t){
        .since = full ? 0 : request->cursor,
        .published = c->published,
        .held_since = full ? 0 : request->quarantine_cursor,
        .held = crash_ledger_cursor(c->crashes),
        .limits_since = full ? 0 : request->limit_cursor,
        .limits = limit_quota_cursor(c->limits),
        .asked_version = request->version,
        .version = control_newest_version(c),
        .entries = collector_entries_rounded(entries_fresh(c)),
        .wants_config = (guint32)request->wants_config,
        .full = (guint32)full,
        .confirmed = (guint32)control_may_read(c),
    };
}

/* Which entry instance tries a held request: the same whichever control
 * instance orders it, as far as the same entry instances ask there. */
static char *
trial_instance(const control_t *c, guint64 fingerprint)
{
    GHashTableIter iter;
    gpointer name;
    gpointer asked_us;
    const char *best = NULL;
    guint64 best_rank = 0;
    g_hash_table_iter_init(&iter, c->entries);
    while (g_hash_table_iter_next(&iter, &name, &asked_us)) {
        guint64 rank = hash_pair(fingerprint, hash_text(str_from_cstr(name)));
        if (control_now(c) - *(gint64 *)asked_us < ENTRY_FRESH_US &&
            (best == NULL || rank > best_rank)) {
            best = name;
            best_rank = rank;
        }
    }
    return g_strdup(best);
}

static void
choose_trials(const control_t *c, GArray *orders)
{
    for (guint i = 0; i < orders->len; i++) {
        quarantine_order_t *order =
            &g_array_index(orders, quarantine_order_t, i);
        if (order->probe != 0) {
            order->probe_instance = trial_instance(c, order->fingerprint);
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
        .cursor = more ? through : c->published,
        .full = full,
        .more = more,
        .confirmed = control_may_read(c),
        .entries = collector_entries_rounded(entries_fresh(c)),
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
        c->crashes, &answer.quarantine_cursor, ORDERS_MOST, control_now(c));
    choose_trials(c, answer.quarantine_orders);
    answer.limit_cursor = full ? 0 : request->limit_cursor;
    answer.limits = limit_quota_changes_since(c->limits, &answer.limit_cursor,
                                              LIMITS_MOST);
    GBytes *bytes = sync_answer_write(&answer);
    sync_answer_clear(&answer);
    counter_add(counter_get("entry_answers_written_total", NULL, FALSE), 1);
    return bytes;
}

/* The answer, written once for all that ask the same. 291 entry instances that
 * are each told of 3,000 leases in an answer of its own keep a control
 * instance of 0.15 cores busy for 30 s; meanwhile endpoints get no answer in
 * time and turn to the next instance, which makes the list longer. */
static GBytes *
sync_news(control_t *c, const sync_request_t *request)
{
    counter_add(counter_get("entry_answers_total", NULL, FALSE), 1);
    answer_key_t key = answer_key(c, request);
    for (guint i = 0; i < CONTROL_ANSWERS; i++) {
        const kept_answer_t *kept = &c->answers[i];
        if (kept->bytes != NULL &&
            memcmp(&kept->key, &key, sizeof(key)) == 0) {
            return g_bytes_ref(kept->bytes);
        }
    }
    kept_answer_t *kept = &c->answers[c->next_answer++ % CONTROL_ANSWERS];
    g_clear_pointer(&kept->bytes, g_bytes_unref);
    kept->key = key;
    kept->bytes = sync_build(c, request);
    return g_bytes_ref(kept->bytes);
}

static gboolean
has_config_news(const control_t *c, const sync_request_t *request)
{
    return request->wants_config &&
           request->version < control_newest_version(c);
}

static gboolean
has_news(const control_t *c, const sync_request_t *request)
{
    return request->epoch != c->epoch || request->cursor != c->published ||
           request->quarantine_cursor != crash_ledger_cursor(c->crashes) ||
           request->limit_cursor != limit_quota_cursor(c->limits) ||
           has_config_news(c, request);
}

/* `held_us` is for how long the question waited. */
static void
sync_answer(control_t *c, http_exchange_t *exchange,
            const sync_request_t *request, gint64 held_us)
{
    char fields[64];
    GBytes *bytes = sync_news(c, request);
    g_snprintf(fields, sizeof(fields), HELD_FIELD ": %d\r\n",
               (int)(held_us / MS));
    http_exchange_answer(exchange, 200, str_from_cstr(fields),
                         str_from_bytes(bytes));
    g_bytes_unref(bytes);
}

static void
held_free(held_sync_t *held)
{
    control_t *c = held->control;
    timers_cancel(c->timers, held->timer);
    c->held = g_list_remove(c->held, held);
    sync_request_clear(&held->request);
    g_free(held);
}

static void
held_answer(held_sync_t *held)
{
    control_t *c = held->control;
    http_exchange_set_data(held->exchange, NULL);
    sync_answer(c, held->exchange, &held->request,
                clock_boot_us() - held->asked_us);
    held_free(held);
}

static void
held_expired(void *data)
{
    held_sync_t *held = data;
    held->timer = 0;
    held_answer(held);
}

static void
spread_now(control_t *c)
{
    GList *next;
    c->spread_us = control_now(c);
    c->published = registry_cursor(c->registry);
    for (GList *l = c->held; l != NULL; l = next) {
        held_sync_t *held = l->data;
        next = l->next;
        if (has_news(c, &held->request)) {
            held_answer(held);
        }
    }
}

static void
spread_due(void *data)
{
    control_t *c = data;
    c->spread = 0;
    spread_now(c);
}

/* Until news may go out again; 0 or less: now. */
static gint64
spread_pause(control_t *c)
{
    gint64 pause = entries_fresh(c) * (gint64)SPREAD_US_AN_ENTRY;
    return c->spread_us + MIN(pause, SPREAD_MOST_US) - control_now(c);
}

void
spread_news(control_t *c)
{
    gint64 left = spread_pause(c);
    if (c->spread != 0) {
        return;
    }
    if (left <= 0) {
        spread_now(c);
        return;
    }
    c->spread = timers_subscribe(c->timers, left, 0, spread_due, c);
}

static void
commits_due(void *data)
{
    control_t *c = data;
    c->commits = 0;
    spread_now(c);
}

void
spread_config(control_t *c)
{
    if (c->commits == 0) {
        c->commits =
            timers_subscribe(c->timers, COMMITS_US, 0, commits_due, c);
    }
}

static void
note_entry(control_t *c, const char *instance)
{
    gint64 now = control_now(c);
    g_hash_table_replace(c->entries, g_strdup(instance),
                         g_memdup2(&now, sizeof(now)));
    c->asked_us = now;
}

void
handle_sync(control_t *c, http_exchange_t *exchange)
{
    GBytes *bytes = posted_bytes(exchange);
    sync_request_t request;
    gboolean sound = sync_request_read(bytes, &request);
    g_bytes_unref(bytes);
    if (!sound) {
        answer_plain(exchange, 400, "{\"error\":\"malformed\"}");
        return;
    }
    note_entry(c, request.instance);
    gboolean news = has_news(c, &request);
    /* While endpoints come and go all the time there is always news: one that
     * was just answered waits for the next batch like the others. */
    gboolean batched = news && !request.more && request.epoch == c->epoch &&
                       !has_config_news(c, &request) && spread_pause(c) > 0;
    if ((news && !batched) || request.wait_ms == 0 || c->draining) {
        sync_answer(c, exchange, &request, 0);
        sync_request_clear(&request);
        return;
    }
    held_sync_t *held = g_new0(held_sync_t, 1);
    *held = (held_sync_t){.control = c,
                          .exchange = exchange,
                          .request = request,
                          .asked_us = clock_boot_us()};
    held->timer = timers_subscribe(
        c->timers, MIN(request.wait_ms, WAIT_MOST_MS) * (gint64)MS, 0,
        held_expired, held);
    c->held = g_list_prepend(c->held, held);
    http_exchange_set_data(exchange, held);
    if (batched) {
        spread_news(c);
    }
}

void
held_answer_all(control_t *c)
{
    GList *next;
    for (GList *l = c->held; l != NULL; l = next) {
        next = l->next;
        held_answer(l->data);
    }
}

void
held_drop_all(control_t *c)
{
    GList *next;
    for (GList *l = c->held; l != NULL; l = next) {
        next = l->next;
        held_free(l->data);
    }
}

void
entry_gone(http_exchange_t *exchange)
{
    held_sync_t *held = http_exchange_data(exchange);
    if (held != NULL) {
        held_free(held);
    }
}

gboolean
entries_ask(const control_t *c)
{
    return control_now(c) - c->asked_us < ENTRY_FRESH_US;
}
