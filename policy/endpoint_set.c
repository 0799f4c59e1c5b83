#include "carobloom/policy/endpoint_set.h"

#include <math.h>

static const double TOKEN_TIME_SMOOTHING = 0.2;
/* Time per token at an idle endpoint. The fraction of used slots, 1 at a full
 * endpoint, is added to it. */
static const double IDLE_COST = 0.5;
static const double SLOW_RATIO = 2.0;      /* of the median: a straggler */
static const double RECOVERED_RATIO = 1.5; /* of the median: recovered */
static const double DEGRADED_MAX_FRACTION = 0.34; /* of a pool, at once */
enum {
    FAILURES_TO_EJECT = 2,
    SPEED_SAMPLES_MIN = 3,
    SLOW_SLOT_DIVISOR = 4,
    PREFIX_ENDPOINTS_MAX = 2,
};
static const gint64 BACKOFF_MIN_US = 1 * G_USEC_PER_SEC;
static const gint64 BACKOFF_MAX_US = 30 * G_USEC_PER_SEC;

/* Endpoints that most recently cached a prefix, newest first. */
typedef struct {
    guint64 prefix;
    guint64 endpoints[PREFIX_ENDPOINTS_MAX];
    GList link;
} prefix_entry_t;

struct endpoint_set {
    GHashTable *by_id; /* id -> endpoint_state_t */
    heap_t healthy;    /* endpoints with a free slot, by load */
    heap_t degraded;   /* the same for degraded endpoints */
    GHashTable *prefixes;
    GQueue prefix_order; /* least recently used first, to bound the table */
    guint slots;
    guint free;
    guint degraded_free;
    double median_token_us;
};

endpoint_set_t *
endpoint_set_create(void)
{
    endpoint_set_t *set = g_new0(endpoint_set_t, 1);
    set->by_id =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    set->prefixes =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    heap_init(&set->healthy);
    heap_init(&set->degraded);
    g_queue_init(&set->prefix_order);
    return set;
}

void
endpoint_set_destroy(endpoint_set_t *set)
{
    g_hash_table_unref(set->prefixes);
    heap_clear(&set->healthy);
    heap_clear(&set->degraded);
    g_hash_table_unref(set->by_id);
    g_free(set);
}

/* Slots that the endpoint may use in its current health. */
static guint
usable_slots(const endpoint_state_t *e)
{
    switch (e->health) {
    case ENDPOINT_OK:
        return e->slots;
    case ENDPOINT_SLOW:
        return MAX(1, e->slots / SLOW_SLOT_DIVISOR);
    case ENDPOINT_RECOVERING:
        return 1;
    case ENDPOINT_EJECTED:
    case ENDPOINT_LEAVING:
        break;
    }
    return 0;
}

static guint
free_slots(const endpoint_state_t *e)
{
    guint usable = usable_slots(e);
    guint used = e->inflight + e->foreign;
    return usable > used ? usable - used : 0;
}

/* Estimated time per token at an endpoint relative to the others. A token
 * takes time at an idle endpoint too (IDLE_COST), so a straggler is chosen
 * only when nothing better is free. */
static double
load_key(const endpoint_set_t *set, const endpoint_state_t *e)
{
    double used = (double)(e->inflight + e->foreign + 1) / MAX(e->slots, 1);
    double load = IDLE_COST + used;
    double slowness = 1;
    if (e->samples >= SPEED_SAMPLES_MIN && set->median_token_us > 0) {
        slowness = MAX(e->token_us / set->median_token_us, 0.25);
    }
    return load * slowness;
}

static gboolean
is_degraded(const endpoint_state_t *e)
{
    return e->health != ENDPOINT_OK;
}

/* Removes an endpoint from the sums and its heap before a change. */
static void
endpoint_detach(endpoint_set_t *set, endpoint_state_t *e)
{
    gboolean degraded = is_degraded(e);
    *(degraded ? &set->degraded_free : &set->free) -= free_slots(e);
    set->slots -= usable_slots(e);
    if (e->node.index >= 0) {
        heap_remove(degraded ? &set->degraded : &set->healthy, &e->node);
    }
}

/* Adds the endpoint to the sums and its heap again after a change. */
static void
endpoint_attach(endpoint_set_t *set, endpoint_state_t *e)
{
    gboolean degraded = is_degraded(e);
    guint available = free_slots(e);
    *(degraded ? &set->degraded_free : &set->free) += available;
    set->slots += usable_slots(e);
    e->node.key = load_key(set, e);
    if (available > 0) {
        heap_push(degraded ? &set->degraded : &set->healthy, &e->node);
    }
}

static void
record_inflight(endpoint_state_t *e, gint64 now_us)
{
    e->history[e->history_next % ENDPOINT_HISTORY] = (endpoint_sample_t){
        .at_us = now_us,
        .inflight = e->inflight,
    };
    e->history_next++;
}

/* Requests of this owner that were in flight when a report was made. */
static guint
inflight_at(const endpoint_state_t *e, gint64 at_us)
{
    guint count = MIN(e->history_next, ENDPOINT_HISTORY);
    for (guint i = 1; i <= count; i++) {
        const endpoint_sample_t *s =
            &e->history[(e->history_next - i) % ENDPOINT_HISTORY];
        if (s->at_us <= at_us) {
            return s->inflight;
        }
    }
    /* The report is older than the history: assume that all its requests are
     * this owner's. */
    return count == ENDPOINT_HISTORY ? G_MAXUINT : 0;
}

void
endpoint_set_put(endpoint_set_t *set, guint64 id, guint slots, gint64 now_us)
{
    endpoint_state_t *e = g_hash_table_lookup(set->by_id, &id);
    if (e == NULL) {
        e = g_new0(endpoint_state_t, 1);
        *e = (endpoint_state_t){
            .node = {.tie = id, .index = -1},
            .id = id,
            .health = ENDPOINT_OK,
            .backoff_us = BACKOFF_MIN_US,
        };
        g_hash_table_insert(set->by_id, &e->id, e);
        record_inflight(e, now_us);
    }
    else {
        endpoint_detach(set, e);
    }
    e->slots = slots;
    if (e->health == ENDPOINT_LEAVING) {
        e->health = ENDPOINT_OK;
    }
    endpoint_attach(set, e);
}

static void
remove_if_idle(endpoint_set_t *set, endpoint_state_t *e)
{
    if (e->health == ENDPOINT_LEAVING && e->inflight == 0) {
        g_hash_table_remove(set->by_id, &e->id);
    }
}

void
endpoint_set_remove(endpoint_set_t *set, guint64 id)
{
    endpoint_state_t *e = g_hash_table_lookup(set->by_id, &id);
    if (e == NULL) {
        return;
    }
    endpoint_detach(set, e);
    e->health = ENDPOINT_LEAVING;
    endpoint_attach(set, e);
    remove_if_idle(set, e);
}

static void
record_token_time(endpoint_state_t *e, double token_us)
{
    if (token_us <= 0 || !isfinite(token_us)) {
        return;
    }
    if (e->samples == 0) {
        e->token_us = token_us;
    }
    e->token_us += TOKEN_TIME_SMOOTHING * (token_us - e->token_us);
    e->samples++;
}

void
endpoint_set_report(endpoint_set_t *set, guint64 id, guint busy,
                    double token_us, gint64 at_us)
{
    endpoint_state_t *e = g_hash_table_lookup(set->by_id, &id);
    /* Reports may arrive out of order: only a newer one counts. */
    if (e == NULL || at_us <= e->last_report_us) {
        return;
    }
    e->last_report_us = at_us;
    guint own = inflight_at(e, at_us);
    endpoint_detach(set, e);
    e->foreign = busy > own ? busy - own : 0;
    record_token_time(e, token_us);
    endpoint_attach(set, e);
}

static void
prefix_store(endpoint_set_t *set, guint64 prefix, guint64 id)
{
    prefix_entry_t *entry = g_hash_table_lookup(set->prefixes, &prefix);
    if (entry == NULL) {
        if (set->prefix_order.length >= ENDPOINT_SET_PREFIXES_MAX) {
            prefix_entry_t *oldest =
                g_queue_peek_head_link(&set->prefix_order)->data;
            g_queue_unlink(&set->prefix_order, &oldest->link);
            g_hash_table_remove(set->prefixes, &oldest->prefix);
        }
        entry = g_new0(prefix_entry_t, 1);
        entry->prefix = prefix;
        entry->link.data = entry;
        g_hash_table_insert(set->prefixes, &entry->prefix, entry);
    }
    else {
        g_queue_unlink(&set->prefix_order, &entry->link);
    }
    g_queue_push_tail_link(&set->prefix_order, &entry->link);
    if (entry->endpoints[0] != id) {
        entry->endpoints[1] = entry->endpoints[0];
        entry->endpoints[0] = id;
    }
}

void
endpoint_set_prefix(endpoint_set_t *set, guint64 prefix, guint64 id,
                    gboolean present)
{
    if (prefix == 0) {
        return;
    }
    if (present) {
        prefix_store(set, prefix, id);
        return;
    }
    prefix_entry_t *entry = g_hash_table_lookup(set->prefixes, &prefix);
    for (int i = 0; entry && i < PREFIX_ENDPOINTS_MAX; i++) {
        if (entry->endpoints[i] == id) {
            entry->endpoints[i] = 0;
        }
    }
}

/* The endpoint if it has a free slot, else NULL. */
static endpoint_state_t *
find_free(const endpoint_set_t *set, guint64 id, gboolean healthy_only)
{
    endpoint_state_t *e = id ? g_hash_table_lookup(set->by_id, &id) : NULL;
    if (e == NULL || e->node.index < 0 || (healthy_only && is_degraded(e))) {
        return NULL;
    }
    return e;
}

/* The least loaded endpoint of a heap other than `avoid`, or `avoid` if it is
 * the only one. */
static endpoint_state_t *
least_loaded_in(const heap_t *heap, guint64 avoid)
{
    endpoint_state_t *best = (endpoint_state_t *)heap_peek(heap);
    if (best == NULL || best->id != avoid || heap_size(heap) == 1) {
        return best;
    }
    endpoint_state_t *left = heap->nodes->pdata[1];
    if (heap_size(heap) == 2) {
        return left;
    }
    endpoint_state_t *right = heap->nodes->pdata[2];
    return left->node.key <= right->node.key ? left : right;
}

static endpoint_state_t *
least_loaded(const endpoint_set_t *set, guint64 avoid, gboolean healthy_only)
{
    endpoint_state_t *best = least_loaded_in(&set->healthy, avoid);
    endpoint_state_t *other =
        healthy_only ? NULL : least_loaded_in(&set->degraded, avoid);
    if (best == NULL || other == NULL) {
        return best ? best : other;
    }
    return best->node.key <= other->node.key ? best : other;
}

endpoint_state_t *
endpoint_set_choose(endpoint_set_t *set, gboolean healthy_only, guint64 prefix,
                    guint64 avoid, double prefill_us, double tokens)
{
    endpoint_state_t *best = least_loaded(set, avoid, healthy_only);
    if (best == NULL || prefix == 0) {
        return best;
    }
    const prefix_entry_t *entry = g_hash_table_lookup(set->prefixes, &prefix);
    double token_us = set->median_token_us;
    for (int i = 0; entry && i < PREFIX_ENDPOINTS_MAX; i++) {
        endpoint_state_t *cached =
            find_free(set, entry->endpoints[i], healthy_only);
        if (cached == NULL || cached->id == avoid) {
            continue;
        }
        double penalty_us =
            tokens * token_us * (cached->node.key - best->node.key);
        if (penalty_us <= prefill_us) {
            return cached;
        }
    }
    return best;
}

void
endpoint_set_acquire(endpoint_set_t *set, endpoint_state_t *endpoint,
                     guint64 prefix, gint64 now_us)
{
    endpoint_detach(set, endpoint);
    endpoint->inflight++;
    record_inflight(endpoint, now_us);
    endpoint_attach(set, endpoint);
    endpoint_set_prefix(set, prefix, endpoint->id, TRUE);
}

/* Number of degraded endpoints, without those that leave. */
static guint
count_degraded(const endpoint_set_t *set)
{
    guint count = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, set->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        endpoint_health_t health = ((endpoint_state_t *)value)->health;
        count += health == ENDPOINT_EJECTED || health == ENDPOINT_SLOW ||
                 health == ENDPOINT_RECOVERING;
    }
    return count;
}

/* Whether one more endpoint may become slow or be ejected: at most
 * DEGRADED_MAX_FRACTION of the pool, or one endpoint of a small pool, but
 * never its only endpoint. */
static gboolean
may_degrade(const endpoint_set_t *set)
{
    guint count = g_hash_table_size(set->by_id);
    return count_degraded(set) + 1 <=
               MAX(1, (guint)(DEGRADED_MAX_FRACTION * count)) &&
           count > 1;
}

static void
record_failure(endpoint_set_t *set, endpoint_state_t *e, gint64 now_us)
{
    e->failures++;
    gboolean recovering = e->health == ENDPOINT_RECOVERING;
    gboolean can_degrade = e->health == ENDPOINT_OK && may_degrade(set);
    if (e->failures < FAILURES_TO_EJECT && !recovering) {
        return;
    }
    if (recovering || can_degrade || e->health == ENDPOINT_SLOW) {
        e->health = ENDPOINT_EJECTED;
        e->recovery_check_at_us = now_us + e->backoff_us;
        e->backoff_us = MIN(e->backoff_us * 2, BACKOFF_MAX_US);
    }
}

static void
record_success(endpoint_state_t *e)
{
    e->failures = 0;
    if (e->health == ENDPOINT_RECOVERING) {
        e->health = ENDPOINT_OK;
        e->backoff_us = BACKOFF_MIN_US;
    }
}

void
endpoint_set_release(endpoint_set_t *set, guint64 id, gboolean failed,
                     double token_us, gint64 now_us)
{
    endpoint_state_t *e = g_hash_table_lookup(set->by_id, &id);
    if (e == NULL) {
        return;
    }
    endpoint_detach(set, e);
    if (e->inflight > 0) {
        e->inflight--;
    }
    record_inflight(e, now_us);
    record_token_time(e, token_us);
    if (failed) {
        record_failure(set, e, now_us);
    }
    else {
        record_success(e);
    }
    endpoint_attach(set, e);
    remove_if_idle(set, e);
}

static gint
compare_double(gconstpointer a, gconstpointer b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;
    return x < y ? -1 : x > y;
}

static double
median_token_time(const endpoint_set_t *set)
{
    GArray *times = g_array_new(FALSE, FALSE, sizeof(double));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, set->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const endpoint_state_t *e = value;
        if (e->samples >= SPEED_SAMPLES_MIN) {
            g_array_append_val(times, e->token_us);
        }
    }
    g_array_sort(times, compare_double);
    double median =
        times->len ? g_array_index(times, double, (times->len - 1) / 2) : 0;
    g_array_unref(times);
    return median;
}

static void
endpoint_update_health(endpoint_set_t *set, endpoint_state_t *e, gint64 now_us)
{
    gboolean measured =
        e->samples >= SPEED_SAMPLES_MIN && set->median_token_us > 0;
    double ratio = measured ? e->token_us / set->median_token_us : 1;
    if (e->health == ENDPOINT_OK && ratio > SLOW_RATIO && may_degrade(set)) {
        e->health = ENDPOINT_SLOW;
    }
    else if (e->health == ENDPOINT_SLOW && ratio < RECOVERED_RATIO) {
        e->health = ENDPOINT_OK;
    }
    else if (e->health == ENDPOINT_EJECTED &&
             now_us >= e->recovery_check_at_us) {
        e->health = ENDPOINT_RECOVERING;
    }
}

void
endpoint_set_update_health(endpoint_set_t *set, gint64 now_us)
{
    set->median_token_us = median_token_time(set);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, set->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        endpoint_state_t *e = value;
        endpoint_detach(set, e);
        endpoint_update_health(set, e, now_us);
        endpoint_attach(set, e);
    }
}

guint
endpoint_set_free_slots(const endpoint_set_t *set, gboolean healthy_only)
{
    return healthy_only ? set->free : set->free + set->degraded_free;
}

guint
endpoint_set_slots(const endpoint_set_t *set)
{
    return set->slots;
}

guint
endpoint_set_count(const endpoint_set_t *set)
{
    return g_hash_table_size(set->by_id);
}

const endpoint_state_t *
endpoint_set_find(const endpoint_set_t *set, guint64 id)
{
    return g_hash_table_lookup(set->by_id, &id);
}

void
endpoint_set_each(const endpoint_set_t *set, endpoint_visit_t visit,
                  void *data)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, set->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        visit(value, data);
    }
}

const char *
endpoint_health_name(endpoint_health_t health)
{
    static const char *const names[] = {
        [ENDPOINT_OK] = "ok",           [ENDPOINT_SLOW] = "slow",
        [ENDPOINT_EJECTED] = "ejected", [ENDPOINT_RECOVERING] = "probing",
        [ENDPOINT_LEAVING] = "leaving",
    };
    return names[health];
}
