#include "carobloom/policy/directory.h"

#include <string.h>

#include "carobloom/policy/rendezvous.h"

enum {
    SECOND_US = 1000 * 1000,
    /* Three heartbeats of 1.2 s and one that is late. */
    LEASE_GRACE_US = 5 * SECOND_US,
    /* How long a departure is remembered, to reject late renewals. Renewals
     * arrive seconds late, not minutes. */
    DEPARTURE_RETENTION_US = 120 * SECOND_US,
    /* Prompt parts that are recorded for one endpoint. The number shrinks with
     * the number of endpoints, down to the minimum. */
    ENDPOINT_PARTS_MAX = 512,
    ENDPOINT_PARTS_MIN = 8,
    /* Prompt parts that are recorded for all endpoints together (1 MB),
     * exceeded only where each endpoint has the minimum. */
    TOTAL_PARTS_MAX = 128 * 1024,
    PENDING_LIMITS_MAX = 1024,
    /* Minimum time between two counts of a service's usable endpoints, per
     * endpoint. This bounds the share of processor time for counting, whatever
     * the number of endpoints. */
    RECOUNT_INTERVAL_PER_ENDPOINT_US = 50,
};

/* The endpoints of one service. */
typedef struct {
    GPtrArray *list; /* endpoint_t *, sorted by hash */
    /* result of the last count */
    guint usable;
    guint slots;
    gint64 counted_us; /* time of the last count; 0: never */
} service_list_t;

struct directory {
    GHashTable *by_id;      /* endpoint_t, owned */
    GHashTable *by_address; /* the latest endpoint at an address */
    GHashTable *by_service; /* name -> service_list_t */
    GHashTable *active;     /* set of endpoint_t with own requests in flight */
    GPtrArray *reported;    /* endpoint_t with requests of other instances */
    GHashTable *departures; /* id -> departure_t */
    GPtrArray *removed;  /* endpoint_t that left or were replaced, to free */
    GPtrArray *limits;   /* endpoint_t with a limit record */
    GPtrArray *resting;  /* endpoint_t that asked for rest */
    GPtrArray *replaced; /* endpoint_t whose address a later start has */
    GHashTable *pending_limits; /* pending_limit_t of unknown endpoints */
    guint64 visits;             /* endpoints visited */
    void (*free_connections)(void *connections);
};

/* A limit that was reported before its endpoint was known. */
typedef struct {
    limit_state_t state;
    gint64 received_us; /* on the clock of limits */
} pending_limit_t;

/* The latest departure of an endpoint id. */
typedef struct {
    gint64 at_us;
    gint64 started_ms; /* the latest incarnation that left */
} departure_t;

void
endpoint_lease_clear(endpoint_lease_t *lease)
{
    g_free(lease->id);
    g_free(lease->service);
    g_free(lease->address);
    g_free(lease->data_centre);
    *lease = (endpoint_lease_t){0};
}

void
endpoint_lease_copy(endpoint_lease_t *to, const endpoint_lease_t *from)
{
    *to = *from;
    to->id = g_strdup(from->id);
    to->service = g_strdup(from->service);
    to->address = g_strdup(from->address);
    to->data_centre = g_strdup(from->data_centre);
}

static void
endpoint_free(directory_t *d, endpoint_t *e)
{
    if (e->connections != NULL) {
        d->free_connections(e->connections);
    }
    if (e->tunnels != NULL) {
        d->free_connections(e->tunnels);
    }
    g_free(e->id);
    g_ref_string_release(e->service);
    g_free(e->address);
    g_ref_string_release(e->data_centre);
    part_set_clear(&e->parts);
    g_free(e->limit);
    g_free(e);
}

static void
service_list_free(gpointer data)
{
    service_list_t *service = data;
    g_ptr_array_unref(service->list);
    g_free(service);
}

directory_t *
directory_create(void (*free_connections)(void *connections))
{
    directory_t *d = g_new0(directory_t, 1);
    d->by_id = g_hash_table_new(g_str_hash, g_str_equal);
    d->by_address = g_hash_table_new(g_str_hash, g_str_equal);
    d->by_service = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                          service_list_free);
    d->active = g_hash_table_new(NULL, NULL);
    d->reported = g_ptr_array_new();
    d->departures =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    d->removed = g_ptr_array_new();
    d->limits = g_ptr_array_new();
    d->resting = g_ptr_array_new();
    d->replaced = g_ptr_array_new();
    d->pending_limits =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    d->free_connections = free_connections;
    return d;
}

void
directory_destroy(directory_t *d)
{
    for (guint i = 0; i < d->removed->len; i++) {
        endpoint_t *e = d->removed->pdata[i];
        if (g_hash_table_lookup(d->by_id, e->id) != e) {
            endpoint_free(d, e);
        }
    }
    g_ptr_array_unref(d->removed);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, d->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        endpoint_free(d, value);
    }
    g_hash_table_unref(d->by_id);
    g_hash_table_unref(d->by_address);
    g_hash_table_unref(d->by_service);
    g_hash_table_unref(d->active);
    g_ptr_array_unref(d->reported);
    g_hash_table_unref(d->departures);
    g_ptr_array_unref(d->limits);
    g_ptr_array_unref(d->resting);
    g_ptr_array_unref(d->replaced);
    g_hash_table_unref(d->pending_limits);
    g_free(d);
}

static GPtrArray *
service_list(directory_t *d, const char *name)
{
    service_list_t *service = g_hash_table_lookup(d->by_service, name);
    if (service == NULL) {
        service = g_new0(service_list_t, 1);
        service->list = g_ptr_array_new();
        g_hash_table_insert(d->by_service, g_strdup(name), service);
    }
    return service->list;
}

static void
departure_record(directory_t *d, const char *id, gint64 started_ms,
                 gint64 now_us)
{
    departure_t departure = {.at_us = now_us, .started_ms = started_ms};
    const departure_t *before = g_hash_table_lookup(d->departures, id);
    if (before != NULL) {
        departure.started_ms = MAX(started_ms, before->started_ms);
    }
    g_hash_table_insert(d->departures, g_strdup(id),
                        g_memdup2(&departure, sizeof(departure)));
}

static gboolean
has_left(const directory_t *d, const endpoint_lease_t *lease)
{
    const departure_t *departure =
        g_hash_table_lookup(d->departures, lease->id);
    return departure != NULL && lease->started_ms <= departure->started_ms;
}

/* Index of the first endpoint in a sorted list whose hash is not lower than
 * `hash`. */
static guint
list_lower_bound(const GPtrArray *list, guint64 hash)
{
    guint from = 0;
    guint to = list->len;
    while (from < to) {
        guint middle = from + (to - from) / 2;
        if (((endpoint_t *)list->pdata[middle])->hash < hash) {
            from = middle + 1;
        }
        else {
            to = middle;
        }
    }
    return from;
}

/* Inserts in order: when engines are replaced, thousands of endpoints are
 * added at once, and sorting the list for each of them takes seconds. */
static void
list_insert(GPtrArray *list, endpoint_t *e)
{
    g_ptr_array_insert(list, (gint)list_lower_bound(list, e->hash), e);
}

/* Searches from the first equal hash, since two endpoints may share a hash. */
static void
list_remove(GPtrArray *list, const endpoint_t *e)
{
    guint at = list_lower_bound(list, e->hash);
    while (at < list->len && list->pdata[at] != e) {
        at++;
    }
    if (at < list->len) {
        g_ptr_array_remove_index(list, at);
    }
}

static endpoint_t *
list_find(const GPtrArray *list, guint64 hash)
{
    guint at = list_lower_bound(list, hash);
    endpoint_t *e = at < list->len ? list->pdata[at] : NULL;
    return e != NULL && e->hash == hash ? e : NULL;
}

/* Removes an endpoint from its service. The endpoint is freed once its
 * requests have ended. */
static void
directory_remove(directory_t *d, endpoint_t *e)
{
    if (e->left) {
        return;
    }
    e->left = TRUE;
    g_ptr_array_add(d->removed, e);
    list_remove(service_list(d, e->service), e);
    g_ptr_array_remove_fast(d->limits, e);
    g_ptr_array_remove_fast(d->resting, e);
    g_ptr_array_remove_fast(d->replaced, e);
    if (e->has_others_load) {
        e->has_others_load = FALSE;
        g_ptr_array_remove_fast(d->reported, e);
    }
    if (g_hash_table_lookup(d->by_address, e->address) == e) {
        g_hash_table_remove(d->by_address, e->address);
    }
}

/* Removes an endpoint whose id has a new incarnation. */
static void
directory_replace(directory_t *d, endpoint_t *e)
{
    directory_remove(d, e);
    g_hash_table_remove(d->by_id, e->id);
    g_hash_table_remove(d->active, e);
}

/* Resolves a conflict of two endpoints at one address. The later incarnation
 * gets the address, and the other is misplaced as long as the lease of the
 * later one lasts. Without start times, the endpoint that was known before has
 * most likely ended; it is misplaced for a while only, since a delayed renewal
 * may report the older incarnation last. If the wrong endpoint gets the
 * address, its answer shows that (ENDPOINT_MISDIRECTED). */
static void
address_claim(directory_t *d, endpoint_t *e, gint64 now_us)
{
    endpoint_t *before = g_hash_table_lookup(d->by_address, e->address);
    if (before == NULL) {
        g_hash_table_replace(d->by_address, e->address, e);
        return;
    }
    endpoint_t *older = before->started_ms > e->started_ms ? e : before;
    older->misplaced_until_us = now_us + LEASE_GRACE_US;
    if (before->started_ms != e->started_ms) {
        g_ptr_array_add(d->replaced, older);
    }
    if (older == before) {
        g_hash_table_replace(d->by_address, e->address, e);
    }
}

/* Keeps replaced endpoints misplaced while the later start at their address
 * has a lease. */
static void
prolong_misplacement(directory_t *d, gint64 now_us)
{
    for (guint i = 0; i < d->replaced->len; i++) {
        endpoint_t *e = d->replaced->pdata[i];
        const endpoint_t *there =
            g_hash_table_lookup(d->by_address, e->address);
        if (there != NULL && there != e && endpoint_is_leased(there, now_us)) {
            e->misplaced_until_us =
                MAX(e->misplaced_until_us, now_us + LEASE_GRACE_US);
        }
    }
}

/* Applies a limit that was reported before the endpoint was known. */
static void
pending_limit_apply(directory_t *d, endpoint_t *e)
{
    const pending_limit_t *pending =
        g_hash_table_lookup(d->pending_limits, &e->hash);
    if (pending != NULL) {
        endpoint_limit_apply_state(directory_limit(d, e), &pending->state,
                                   pending->received_us);
        g_hash_table_remove(d->pending_limits, &e->hash);
    }
}

static endpoint_t *
endpoint_add(directory_t *d, const endpoint_lease_t *lease, gint64 now_us)
{
    endpoint_t *e = g_new0(endpoint_t, 1);
    e->id = g_strdup(lease->id);
    e->service = g_ref_string_new_intern(lease->service);
    e->address = g_strdup(lease->address);
    e->data_centre = g_ref_string_new_intern(
        lease->data_centre != NULL ? lease->data_centre : "");
    e->started_ms = lease->started_ms;
    e->hash = hash_text(str_from_cstr(lease->id));
    if (e->started_ms != 0) {
        e->hash = hash_pair(e->hash, (guint64)e->started_ms);
    }
    g_hash_table_insert(d->by_id, e->id, e);
    list_insert(service_list(d, e->service), e);
    address_claim(d, e, now_us);
    pending_limit_apply(d, e);
    return e;
}

void
directory_update(directory_t *d, guint source, const endpoint_lease_t *lease,
                 gint64 now_us)
{
    endpoint_t *e = g_hash_table_lookup(d->by_id, lease->id);
    if (lease->state == LEASE_LEFT) {
        if (e != NULL && e->started_ms <= lease->started_ms) {
            directory_remove(d, e);
        }
        departure_record(d, lease->id, lease->started_ms, now_us);
        return;
    }
    if (e != NULL && lease->started_ms < e->started_ms) {
        return; /* of an earlier incarnation */
    }
    if (has_left(d, lease)) {
        return;
    }
    if (e != NULL && lease->started_ms > e->started_ms) {
        directory_replace(d, e);
        e = NULL;
    }
    if (e == NULL && lease->state == LEASE_EXPIRED) {
        return;
    }
    if (e == NULL) {
        e = endpoint_add(d, lease, now_us);
    }
    if (lease->state == LEASE_EXPIRED) {
        e->reported_by &= ~(1u << source);
        return;
    }
    e->reported_by |= 1u << source;
    if (lease->state == LEASE_DRAINING) {
        e->lease_draining = TRUE;
        endpoint_record_draining(e, lease->leaves_ms, now_us);
    }
    e->slots = lease->slots;
    e->reclaimable = lease->reclaimable;
    if (lease->cold_ms > 0) {
        e->cold_until_us = now_us + lease->cold_ms * 1000;
    }
}

void
directory_source_reset(directory_t *d, guint source, gint64 now_us)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, d->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        endpoint_t *e = value;
        if (e->reported_by & 1u << source) {
            e->reported_by &= ~(1u << source);
            e->unreported_until_us = now_us + LEASE_GRACE_US;
        }
    }
}

static gboolean
departure_is_expired(gpointer key, gpointer value, gpointer now_us)
{
    (void)key;
    const departure_t *departure = value;
    return *(gint64 *)now_us - departure->at_us > DEPARTURE_RETENTION_US;
}

void
directory_sweep(directory_t *d, gint64 now_us)
{
    prolong_misplacement(d, now_us);
    for (guint i = d->removed->len; i > 0; i--) {
        endpoint_t *e = d->removed->pdata[i - 1];
        if (e->running > 0) {
            continue;
        }
        if (g_hash_table_lookup(d->by_id, e->id) == e) {
            g_hash_table_remove(d->by_id, e->id);
        }
        g_ptr_array_remove_index_fast(d->removed, i - 1);
        endpoint_free(d, e);
    }
    g_hash_table_foreach_remove(d->departures, departure_is_expired, &now_us);
}

endpoint_t *
directory_find(directory_t *d, const char *id)
{
    return g_hash_table_lookup(d->by_id, id);
}

const GPtrArray *
directory_service(const directory_t *d, const char *name)
{
    const service_list_t *service = g_hash_table_lookup(d->by_service, name);
    return service != NULL ? service->list : NULL;
}

void
directory_each_service(const directory_t *d,
                       void (*visit)(const char *service,
                                     const GPtrArray *endpoints, void *user),
                       void *user)
{
    GHashTableIter iter;
    gpointer name;
    gpointer value;
    g_hash_table_iter_init(&iter, d->by_service);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        visit(name, ((service_list_t *)value)->list, user);
    }
}

incarnation_state_t
directory_incarnation_state(const directory_t *d, const char *id,
                            gint64 started_ms, const char *address)
{
    const endpoint_t *e = g_hash_table_lookup(d->by_id, id);
    const endpoint_t *there = g_hash_table_lookup(d->by_address, address);
    if (e != NULL && e->started_ms > started_ms) {
        return INCARNATION_REPLACED;
    }
    if (e == NULL || e->draining || e->left) {
        return INCARNATION_LEAVING;
    }
    return there != NULL && there != e ? INCARNATION_REPLACED
                                       : INCARNATION_CURRENT;
}

guint
directory_count(const directory_t *d)
{
    return g_hash_table_size(d->by_id);
}

void
directory_add_request(directory_t *d, endpoint_t *e, guint prompt_tokens,
                      guint waiting_tokens)
{
    endpoint_add_request(e, prompt_tokens, waiting_tokens);
    g_hash_table_add(d->active, e);
}

void
directory_remove_request(directory_t *d, endpoint_t *e, guint prompt_tokens)
{
    endpoint_remove_request(e, prompt_tokens);
    if (e->running == 0) {
        g_hash_table_remove(d->active, e);
    }
}

guint64
directory_visits(const directory_t *d)
{
    return d->visits;
}

GArray *
directory_loads(directory_t *d)
{
    GHashTableIter iter;
    gpointer key;
    GArray *loads = g_array_new(FALSE, FALSE, sizeof(endpoint_load_t));
    g_hash_table_iter_init(&iter, d->active);
    d->visits += g_hash_table_size(d->active);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        const endpoint_t *e = key;
        endpoint_load_t load = {.endpoint = e->hash,
                                .running = e->running,
                                .prompt_tokens = e->prompt_tokens,
                                .waiting_tokens = e->waiting_tokens,
                                .long_running = e->long_running,
                                .long_waiting = e->long_waiting};
        g_array_append_val(loads, load);
    }
    return loads;
}

static endpoint_load_t
load_lookup(GHashTable *index, guint64 endpoint)
{
    const endpoint_load_t *load = g_hash_table_lookup(index, &endpoint);
    return load != NULL ? *load : (endpoint_load_t){0};
}

/* Returns `sum` less `own`, the loads that this instance reported. `own` may
 * be newer than the sum, and so larger; the difference is then 0. */
static endpoint_load_t
load_subtract(endpoint_load_t sum, endpoint_load_t own)
{
    return (endpoint_load_t){
        .endpoint = sum.endpoint,
        .running = sum.running - MIN(sum.running, own.running),
        .prompt_tokens =
            sum.prompt_tokens - MIN(sum.prompt_tokens, own.prompt_tokens),
        .waiting_tokens =
            sum.waiting_tokens - MIN(sum.waiting_tokens, own.waiting_tokens),
        .long_running =
            sum.long_running - MIN(sum.long_running, own.long_running),
        .long_waiting =
            sum.long_waiting - MIN(sum.long_waiting, own.long_waiting),
    };
}

/* Index by endpoint hash; the keys belong to `loads`. */
static GHashTable *
loads_index(const GArray *loads)
{
    GHashTable *index = g_hash_table_new(g_int64_hash, g_int64_equal);
    for (guint i = 0; i < loads->len; i++) {
        endpoint_load_t *l = &g_array_index(loads, endpoint_load_t, i);
        g_hash_table_insert(index, &l->endpoint, l);
    }
    return index;
}

/* Returns the endpoint with this hash that has not left, or NULL. */
static endpoint_t *
endpoint_by_hash(const directory_t *d, guint64 hash)
{
    GHashTableIter iter;
    gpointer value;
    endpoint_t *e = NULL;
    g_hash_table_iter_init(&iter, d->by_service);
    while (e == NULL && g_hash_table_iter_next(&iter, NULL, &value)) {
        e = list_find(((service_list_t *)value)->list, hash);
    }
    return e;
}

rest_change_t
directory_record_rest(directory_t *d, endpoint_t *e, double seconds,
                      double draw, gint64 now_us)
{
    rest_change_t change =
        endpoint_rest_record(&e->rest, seconds, draw, now_us);
    if (change != REST_UNCHANGED && !e->left &&
        !g_ptr_array_find(d->resting, e, NULL)) {
        g_ptr_array_add(d->resting, e);
    }
    return change;
}

void
directory_end_rests(directory_t *d, gint64 now_us,
                    void (*ended)(const endpoint_t *endpoint, void *user),
                    void *user)
{
    for (guint i = d->resting->len; i > 0; i--) {
        const endpoint_t *e = d->resting->pdata[i - 1];
        if (!endpoint_rest_is_active(&e->rest, now_us)) {
            g_ptr_array_remove_index_fast(d->resting, i - 1);
            ended(e, user);
        }
    }
}

const GPtrArray *
directory_resting(const directory_t *d)
{
    return d->resting;
}

endpoint_t *
directory_first_rested(const directory_t *d, const char *service,
                       endpoint_now_t now)
{
    const GPtrArray *list = directory_service(d, service);
    endpoint_t *first = NULL;
    if (d->resting->len == 0) {
        return NULL;
    }
    for (guint i = 0; list != NULL && i < list->len; i++) {
        endpoint_t *e = list->pdata[i];
        if (!endpoint_usable(e, now.now_us) ||
            endpoint_is_misplaced(e, now.now_us)) {
            continue;
        }
        if (!endpoint_rest_is_active(&e->rest, now.boot_now_us)) {
            return NULL;
        }
        if (first == NULL || e->rest.until_us < first->rest.until_us) {
            first = e;
        }
    }
    return first;
}

endpoint_limit_t *
directory_limit(directory_t *d, endpoint_t *e)
{
    if (e->limit != NULL) {
        return e->limit;
    }
    e->limit = g_new0(endpoint_limit_t, 1);
    if (!e->left) { /* an endpoint that left is not listed by a late answer */
        g_ptr_array_add(d->limits, e);
    }
    return e->limit;
}

const GPtrArray *
directory_limits(const directory_t *d)
{
    return d->limits;
}

static void
pending_limit_store(directory_t *d, const limit_state_t *state, gint64 now_us)
{
    g_hash_table_remove(d->pending_limits, &state->endpoint);
    if (state->limited &&
        g_hash_table_size(d->pending_limits) < PENDING_LIMITS_MAX) {
        pending_limit_t *pending = g_new(pending_limit_t, 1);
        *pending = (pending_limit_t){.state = *state, .received_us = now_us};
        g_hash_table_insert(d->pending_limits, &pending->state.endpoint,
                            pending);
    }
}

endpoint_t *
directory_apply_limit(directory_t *d, const limit_state_t *state,
                      limit_change_t *change, gint64 now_us)
{
    endpoint_t *e = endpoint_by_hash(d, state->endpoint);
    *change = LIMIT_UNCHANGED;
    if (e == NULL) {
        pending_limit_store(d, state, now_us);
    }
    else if (e->limit != NULL || state->limited) {
        *change =
            endpoint_limit_apply_state(directory_limit(d, e), state, now_us);
    }
    return e;
}

/* Drops the reported loads of other instances. */
static void
reported_loads_clear(directory_t *d)
{
    for (guint i = 0; i < d->reported->len; i++) {
        endpoint_t *e = d->reported->pdata[i];
        e->others = (endpoint_load_t){0};
        e->has_others_load = FALSE;
    }
    g_ptr_array_set_size(d->reported, 0);
}

void
directory_apply_loads(directory_t *d, const GArray *sums, const GArray *own)
{
    GHashTable *mine = loads_index(own);
    d->visits += d->reported->len + sums->len;
    reported_loads_clear(d);
    for (guint i = 0; i < sums->len; i++) {
        const endpoint_load_t *sum = &g_array_index(sums, endpoint_load_t, i);
        endpoint_t *e = endpoint_by_hash(d, sum->endpoint);
        if (e != NULL && !e->has_others_load) {
            e->others = load_subtract(*sum, load_lookup(mine, sum->endpoint));
            e->has_others_load = TRUE;
            g_ptr_array_add(d->reported, e);
        }
    }
    g_hash_table_unref(mine);
}

/* Maximum number of parts recorded for one endpoint; a power of two. */
static guint
endpoint_parts_max(const directory_t *d)
{
    guint share = TOTAL_PARTS_MAX / MAX(directory_count(d), 1);
    guint max = ENDPOINT_PARTS_MAX;
    while (max > ENDPOINT_PARTS_MIN && max > share) {
        max /= 2;
    }
    return max;
}

void
directory_record_part(directory_t *d, endpoint_t *e, guint64 part)
{
    part_set_add(&e->parts, part, endpoint_parts_max(d));
}

void
directory_apply_parts(directory_t *d, const GArray *copies)
{
    for (guint i = 0; i < copies->len; i++) {
        const part_copy_t *copy = &g_array_index(copies, part_copy_t, i);
        endpoint_t *e = endpoint_by_hash(d, copy->endpoint);
        if (e != NULL) {
            directory_record_part(d, e, copy->part);
        }
    }
}

static void
count_usable(directory_t *d, service_list_t *service, gint64 now_us)
{
    gint64 interval_us =
        service->list->len * (gint64)RECOUNT_INTERVAL_PER_ENDPOINT_US;
    if (service->counted_us != 0 &&
        now_us - service->counted_us < interval_us) {
        return;
    }
    d->visits += service->list->len;
    service->usable = 0;
    service->slots = 0;
    service->counted_us = now_us;
    for (guint i = 0; i < service->list->len; i++) {
        const endpoint_t *e = service->list->pdata[i];
        service->usable += endpoint_usable(e, now_us);
        service->slots = MAX(service->slots, e->slots);
    }
}

/* Whether an endpoint of this service has not left. */
static gboolean
is_in_service(const endpoint_t *e, const char *service)
{
    return !e->left && strcmp(e->service, service) == 0;
}

static void
demand_add(split_demand_t *demand, const endpoint_t *e)
{
    guint running = endpoint_running(e);
    guint waiting = endpoint_waiting_tokens(e);
    guint long_running = e->long_running + e->others.long_running;
    guint long_waiting = e->long_waiting + e->others.long_waiting;
    demand->long_prompts.running += long_running;
    demand->long_prompts.waiting_tokens += long_waiting;
    demand->short_prompts.running += running - MIN(running, long_running);
    demand->short_prompts.waiting_tokens +=
        waiting - MIN(waiting, long_waiting);
}

split_demand_t
directory_demand(directory_t *d, const char *name, gint64 now_us)
{
    split_demand_t demand = {0};
    service_list_t *service = g_hash_table_lookup(d->by_service, name);
    if (service == NULL) {
        return demand;
    }
    count_usable(d, service, now_us);
    d->visits += d->reported->len + g_hash_table_size(d->active);
    demand.engines = service->usable;
    demand.slots = service->slots;
    for (guint i = 0; i < d->reported->len; i++) {
        const endpoint_t *e = d->reported->pdata[i];
        if (is_in_service(e, name)) {
            demand_add(&demand, e);
        }
    }
    GHashTableIter iter;
    gpointer key;
    g_hash_table_iter_init(&iter, d->active);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        const endpoint_t *e = key;
        if (!e->has_others_load && is_in_service(e, name)) {
            demand_add(&demand, e);
        }
    }
    return demand;
}

guint
directory_running(const directory_t *d, const char *name)
{
    GHashTableIter iter;
    gpointer key;
    guint running = 0;
    g_hash_table_iter_init(&iter, d->active);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        const endpoint_t *e = key;
        running += is_in_service(e, name) ? e->running : 0;
    }
    return running;
}

static void
supply_clear(gpointer data)
{
    engine_supply_t *supply = data;
    g_free(supply->service);
    g_free(supply->data_centre);
}

GArray *
engine_supplies_create(void)
{
    GArray *supplies = g_array_new(FALSE, FALSE, sizeof(engine_supply_t));
    g_array_set_clear_func(supplies, supply_clear);
    return supplies;
}

/* Returns the supply that counts an endpoint, created if missing. */
static engine_supply_t *
supply_of(GArray *supplies, const endpoint_t *e)
{
    for (guint i = 0; i < supplies->len; i++) {
        engine_supply_t *s = &g_array_index(supplies, engine_supply_t, i);
        if (strcmp(s->service, e->service) == 0 &&
            strcmp(s->data_centre, e->data_centre) == 0) {
            return s;
        }
    }
    engine_supply_t supply = {.service = g_strdup(e->service),
                              .data_centre = g_strdup(e->data_centre)};
    g_array_append_val(supplies, supply);
    return &g_array_index(supplies, engine_supply_t, supplies->len - 1);
}

GArray *
directory_supplies(const directory_t *d, gint64 now_us)
{
    GHashTableIter iter;
    gpointer value;
    GArray *supplies = engine_supplies_create();
    g_hash_table_iter_init(&iter, d->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const endpoint_t *e = value;
        engine_supply_t *s = supply_of(supplies, e);
        gboolean usable = endpoint_usable(e, now_us);
        s->slots = MAX(s->slots, e->slots);
        s->on_demand += usable && !e->reclaimable;
        s->reclaimable += usable && e->reclaimable;
    }
    return supplies;
}
