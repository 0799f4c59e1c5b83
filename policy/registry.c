#include "carobloom/policy/registry.h"

#include <string.h>

/* A lease expires after three lost heartbeats plus the delay that a heartbeat
 * may have, and is removed after RETENTION_US. */
enum {
    MISSED_HEARTBEATS_MAX = 3,
    HEARTBEAT_DELAY_MAX_US = 1500 * 1000,
    RETENTION_US = 120 * 1000 * 1000,
};

typedef struct {
    endpoint_lease_t lease;
    lease_state_t reported_state; /* by the endpoint, also once expired */
    gint64 renewed_us;
    guint64 change_cursor; /* registry's cursor at the last change */
    gboolean learned; /* departs as acknowledged by another control instance */
    GList *link;
} lease_entry_t;

/* An incarnation that said that it leaves. */
typedef struct {
    gint64 started_ms;
    gint64 last_us; /* of its last renewal, or when it was recorded */
} leaving_t;

struct registry {
    gint64 expiry_timeout_us;
    GHashTable *leaving; /* id -> leaving_t, owned */
    GHashTable *by_id;   /* lease_entry_t, owned */
    GQueue changes;      /* lease_entry_t, newest change at the tail */
    guint64 cursor;
    guint64 departure_cursor; /* of the last change that is a departure */
};

static void
lease_entry_free(gpointer data)
{
    lease_entry_t *entry = data;
    endpoint_lease_clear(&entry->lease);
    g_free(entry);
}

registry_t *
registry_create(gint64 heartbeat_us)
{
    registry_t *r = g_new0(registry_t, 1);
    r->expiry_timeout_us =
        MISSED_HEARTBEATS_MAX * heartbeat_us + HEARTBEAT_DELAY_MAX_US;
    r->by_id =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, lease_entry_free);
    r->leaving =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return r;
}

void
registry_destroy(registry_t *r)
{
    g_queue_clear(&r->changes);
    g_hash_table_unref(r->by_id);
    g_hash_table_unref(r->leaving);
    g_free(r);
}

static gboolean
departs(const lease_entry_t *entry)
{
    return entry->lease.state == LEASE_LEFT ||
           entry->lease.state == LEASE_DRAINING ||
           (entry->lease.state == LEASE_EXPIRED &&
            entry->reported_state == LEASE_DRAINING);
}

/* `learned`: it is a departure that another control instance acknowledged. */
static void
record_change(registry_t *r, lease_entry_t *entry, gboolean learned)
{
    entry->change_cursor = ++r->cursor;
    entry->learned = learned;
    if (departs(entry) && !learned) {
        r->departure_cursor = r->cursor;
    }
    if (entry->link != NULL) {
        g_queue_unlink(&r->changes, entry->link);
        g_queue_push_tail_link(&r->changes, entry->link);
        return;
    }
    g_queue_push_tail(&r->changes, entry);
    entry->link = r->changes.tail;
}

static lease_entry_t *
lease_entry_add(registry_t *r, const endpoint_lease_t *lease)
{
    lease_entry_t *entry = g_new0(lease_entry_t, 1);
    endpoint_lease_copy(&entry->lease, lease);
    g_hash_table_insert(r->by_id, entry->lease.id, entry);
    return entry;
}

/* The state that a renewal gives the lease. */
static lease_state_t
renewed_state(const registry_t *r, const endpoint_lease_t *lease,
              gint64 now_us)
{
    leaving_t *leaving = g_hash_table_lookup(r->leaving, lease->id);
    if (leaving == NULL || lease->started_ms > leaving->started_ms) {
        return lease->state;
    }
    leaving->last_us = now_us;
    return lease->state == LEASE_READY ? LEASE_DRAINING : lease->state;
}

static gboolean
record_leaving(registry_t *r, const char *id, gint64 started_ms,
               gboolean learned, gint64 now_us)
{
    const leaving_t *before = g_hash_table_lookup(r->leaving, id);
    if (before != NULL && before->started_ms >= started_ms) {
        return FALSE;
    }
    leaving_t leaving = {.started_ms = started_ms, .last_us = now_us};
    g_hash_table_insert(r->leaving, g_strdup(id),
                        g_memdup2(&leaving, sizeof(leaving)));
    lease_entry_t *entry = g_hash_table_lookup(r->by_id, id);
    if (entry == NULL || entry->lease.started_ms > started_ms ||
        entry->lease.state != LEASE_READY) {
        return FALSE;
    }
    entry->lease.state = LEASE_DRAINING;
    entry->reported_state = LEASE_DRAINING;
    record_change(r, entry, learned);
    return TRUE;
}

gboolean
registry_record_leaving(registry_t *r, const char *id, gint64 started_ms,
                        gint64 now_us)
{
    return record_leaving(r, id, started_ms, FALSE, now_us);
}

registry_result_t
registry_renew(registry_t *r, const endpoint_lease_t *renewal, gint64 now_us)
{
    endpoint_lease_t effective = *renewal;
    const endpoint_lease_t *lease = &effective;
    effective.state = renewed_state(r, renewal, now_us);
    lease_entry_t *entry = g_hash_table_lookup(r->by_id, lease->id);
    if (entry == NULL) {
        entry = lease_entry_add(r, lease);
        entry->reported_state = lease->state;
        entry->renewed_us = now_us;
        record_change(r, entry, FALSE);
        return REGISTRY_ACCEPTED;
    }
    gboolean restarted = lease->started_ms > entry->lease.started_ms;
    if (lease->started_ms < entry->lease.started_ms) {
        return REGISTRY_OLD_INCARNATION;
    }
    if (!restarted && entry->lease.state == LEASE_LEFT) {
        return REGISTRY_LEFT;
    }
    if (!restarted && lease->sequence <= entry->lease.sequence) {
        return REGISTRY_STALE;
    }
    gboolean changed = restarted || entry->lease.state != lease->state ||
                       entry->learned || entry->lease.slots != lease->slots ||
                       g_strcmp0(entry->lease.address, lease->address) != 0 ||
                       g_strcmp0(entry->lease.service, lease->service) != 0;
    entry->renewed_us = now_us;
    entry->reported_state = lease->state;
    if (changed) {
        char *id = entry->lease.id;
        endpoint_lease_t copy;
        endpoint_lease_copy(&copy, lease);
        g_free(copy.id);
        copy.id = id; /* the key of the table */
        entry->lease.id = NULL;
        endpoint_lease_clear(&entry->lease);
        entry->lease = copy;
        record_change(r, entry, FALSE);
    }
    entry->lease.sequence = lease->sequence;
    return REGISTRY_ACCEPTED;
}

void
registry_leave(registry_t *r, const char *id, gint64 started_ms,
               gint64 wall_ms, gint64 now_us)
{
    lease_entry_t *entry = g_hash_table_lookup(r->by_id, id);
    if (entry == NULL) {
        endpoint_lease_t lease = {.id = (char *)id,
                                  .service = "",
                                  .address = "",
                                  .started_ms =
                                      started_ms > 0 ? started_ms : wall_ms};
        entry = lease_entry_add(r, &lease);
    }
    if (started_ms > 0 && started_ms < entry->lease.started_ms) {
        return; /* a later incarnation has renewed */
    }
    entry->lease.started_ms = MAX(entry->lease.started_ms, started_ms);
    if (entry->lease.state != LEASE_LEFT || entry->change_cursor == 0 ||
        entry->learned) {
        entry->lease.state = LEASE_LEFT;
        record_change(r, entry, FALSE);
    }
    entry->renewed_us = now_us;
}

static gboolean
leaving_is_expired(gpointer id, gpointer value, gpointer now_us)
{
    (void)id;
    return *(gint64 *)now_us - ((leaving_t *)value)->last_us > RETENTION_US;
}

gboolean
registry_expire(registry_t *r, gint64 now_us)
{
    g_hash_table_foreach_remove(r->leaving, leaving_is_expired, &now_us);
    GHashTableIter iter;
    gpointer value;
    gboolean changed = FALSE;
    g_hash_table_iter_init(&iter, r->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        lease_entry_t *entry = value;
        gint64 age = now_us - entry->renewed_us;
        if (age > RETENTION_US) {
            g_queue_delete_link(&r->changes, entry->link);
            g_hash_table_iter_remove(&iter);
        }
        else if (age > r->expiry_timeout_us &&
                 entry->lease.state != LEASE_LEFT &&
                 entry->lease.state != LEASE_EXPIRED) {
            entry->lease.state = LEASE_EXPIRED;
            record_change(r, entry, entry->learned);
            changed = TRUE;
        }
    }
    return changed;
}

guint64
registry_cursor(const registry_t *r)
{
    return r->cursor;
}

static gboolean
learn_left(registry_t *r, const endpoint_lease_t *lease, gint64 now_us)
{
    lease_entry_t *entry = g_hash_table_lookup(r->by_id, lease->id);
    if (entry != NULL && (entry->lease.state == LEASE_LEFT ||
                          lease->started_ms < entry->lease.started_ms)) {
        return FALSE;
    }
    if (entry == NULL) {
        entry = lease_entry_add(r, lease);
    }
    entry->lease.state = LEASE_LEFT;
    entry->lease.started_ms = lease->started_ms;
    entry->renewed_us = now_us;
    record_change(r, entry, TRUE);
    return TRUE;
}

static gboolean
learn_draining(registry_t *r, const endpoint_lease_t *lease, gint64 now_us)
{
    lease_entry_t *entry = g_hash_table_lookup(r->by_id, lease->id);
    gboolean changed =
        record_leaving(r, lease->id, lease->started_ms, TRUE, now_us);
    if (entry != NULL) {
        return changed;
    }
    entry = lease_entry_add(r, lease);
    entry->reported_state = LEASE_DRAINING;
    entry->renewed_us = now_us;
    record_change(r, entry, TRUE);
    return TRUE;
}

gboolean
registry_learn_departure(registry_t *r, const endpoint_lease_t *lease,
                         gint64 now_us)
{
    return lease->state == LEASE_LEFT ? learn_left(r, lease, now_us)
                                      : learn_draining(r, lease, now_us);
}

guint64
registry_departure_cursor(const registry_t *r, const char *id)
{
    const lease_entry_t *entry = g_hash_table_lookup(r->by_id, id);
    return entry != NULL && departs(entry) && !entry->learned
               ? entry->change_cursor
               : 0;
}

guint64
registry_last_departure(const registry_t *r)
{
    return r->departure_cursor;
}

static void
lease_free(gpointer data)
{
    endpoint_lease_clear(data);
    g_free(data);
}

/* The first change after `cursor`, or NULL. */
static const GList *
first_after(const registry_t *r, guint64 cursor)
{
    const GList *first = NULL;
    for (const GList *l = r->changes.tail; l != NULL; l = l->prev) {
        const lease_entry_t *entry = l->data;
        if (entry->change_cursor <= cursor) {
            break;
        }
        first = l;
    }
    return first;
}

/* Copies of the leases that changed after `cursor`, as registry_changes_since.
 * With `departures`, only of those that depart, and of learned ones only if
 * they changed up to `learned_cursor`. */
static GPtrArray *
copy_changes(const registry_t *r, guint64 cursor, gboolean departures,
             guint64 learned_cursor, guint max_count, guint64 *through)
{
    GPtrArray *leases = g_ptr_array_new_with_free_func(lease_free);
    const GList *l = first_after(r, cursor);
    *through = r->cursor;
    for (; l != NULL; l = l->next) {
        const lease_entry_t *entry = l->data;
        gboolean is_told =
            !entry->learned || entry->change_cursor <= learned_cursor;
        if (departures && (!departs(entry) || !is_told)) {
            continue;
        }
        if (leases->len >= max_count) {
            return leases;
        }
        endpoint_lease_t *copy = g_new0(endpoint_lease_t, 1);
        endpoint_lease_copy(copy, &entry->lease);
        g_ptr_array_add(leases, copy);
        *through = entry->change_cursor;
    }
    *through = r->cursor;
    return leases;
}

GPtrArray *
registry_changes_since(const registry_t *r, guint64 cursor, guint max_count,
                       guint64 *through)
{
    return copy_changes(r, cursor, FALSE, 0, max_count, through);
}

GPtrArray *
registry_departures_since(const registry_t *r, guint64 cursor,
                          guint64 learned_cursor, guint max_count,
                          guint64 *through)
{
    GPtrArray *leases =
        copy_changes(r, cursor, TRUE, learned_cursor, max_count, through);
    for (guint i = 0; i < leases->len; i++) {
        endpoint_lease_t *lease = leases->pdata[i];
        if (lease->state == LEASE_EXPIRED) {
            lease->state = LEASE_DRAINING;
        }
    }
    return leases;
}

guint
registry_count(const registry_t *r)
{
    return g_hash_table_size(r->by_id);
}
