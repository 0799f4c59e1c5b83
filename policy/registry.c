#include "carobloom/policy/registry.h"

#include <string.h>

/* Three heartbeats may be lost, and one be late by so much. */
enum {
    MISSED_HEARTBEATS = 3,
    LATE_US = 1500 * 1000,
    REMEMBER_US = 120 * 1000 * 1000,
};

typedef struct {
    endpoint_lease_t lease;
    lease_state_t said; /* before it fell silent */
    gint64 heard_us;
    guint64 changed; /* the cursor at its last change */
    GList *link;
} item_t;

struct registry {
    gint64 silent_us;
    GHashTable *by_id; /* item_t, owned */
    GQueue changes;    /* item_t, the last changed at the tail */
    guint64 cursor;
};

static void
item_free(gpointer data)
{
    item_t *item = data;
    endpoint_lease_clear(&item->lease);
    g_free(item);
}

registry_t *
registry_create(gint64 heartbeat_us)
{
    registry_t *r = g_new0(registry_t, 1);
    r->silent_us = MISSED_HEARTBEATS * heartbeat_us + LATE_US;
    r->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, item_free);
    return r;
}

void
registry_destroy(registry_t *r)
{
    g_queue_clear(&r->changes);
    g_hash_table_unref(r->by_id);
    g_free(r);
}

static void
note_change(registry_t *r, item_t *item)
{
    item->changed = ++r->cursor;
    if (item->link != NULL) {
        g_queue_unlink(&r->changes, item->link);
        g_queue_push_tail_link(&r->changes, item->link);
        return;
    }
    g_queue_push_tail(&r->changes, item);
    item->link = r->changes.tail;
}

static item_t *
item_add(registry_t *r, const endpoint_lease_t *lease)
{
    item_t *item = g_new0(item_t, 1);
    endpoint_lease_copy(&item->lease, lease);
    g_hash_table_insert(r->by_id, item->lease.id, item);
    return item;
}

registry_result_t
registry_renew(registry_t *r, const endpoint_lease_t *lease, gint64 now_us)
{
    item_t *item = g_hash_table_lookup(r->by_id, lease->id);
    if (item == NULL) {
        item = item_add(r, lease);
        item->said = lease->state;
        item->heard_us = now_us;
        note_change(r, item);
        return REGISTRY_TAKEN;
    }
    gboolean started_again = lease->started_ms > item->lease.started_ms;
    if (lease->started_ms < item->lease.started_ms) {
        return REGISTRY_PAST;
    }
    if (!started_again && item->lease.state == LEASE_LEFT) {
        return REGISTRY_GONE;
    }
    if (!started_again && lease->sequence <= item->lease.sequence) {
        return REGISTRY_LATE;
    }
    gboolean changed = started_again || item->lease.state != lease->state ||
                       item->lease.slots != lease->slots ||
                       g_strcmp0(item->lease.address, lease->address) != 0 ||
                       g_strcmp0(item->lease.service, lease->service) != 0;
    item->heard_us = now_us;
    item->said = lease->state;
    if (changed) {
        char *id = item->lease.id;
        endpoint_lease_t copy;
        endpoint_lease_copy(&copy, lease);
        g_free(copy.id);
        copy.id = id; /* the table's key */
        item->lease.id = NULL;
        endpoint_lease_clear(&item->lease);
        item->lease = copy;
        note_change(r, item);
    }
    item->lease.sequence = lease->sequence;
    return REGISTRY_TAKEN;
}

void
registry_leave(registry_t *r, const char *id, gint64 started_ms,
               gint64 wall_ms, gint64 now_us)
{
    item_t *item = g_hash_table_lookup(r->by_id, id);
    if (item == NULL) {
        endpoint_lease_t lease = {.id = (char *)id,
                                  .service = "",
                                  .address = "",
                                  .started_ms =
                                      started_ms > 0 ? started_ms : wall_ms};
        item = item_add(r, &lease);
    }
    if (started_ms > 0 && started_ms < item->lease.started_ms) {
        return; /* it has started again meanwhile */
    }
    item->lease.started_ms = MAX(item->lease.started_ms, started_ms);
    if (item->lease.state != LEASE_LEFT || item->changed == 0) {
        item->lease.state = LEASE_LEFT;
        note_change(r, item);
    }
    item->heard_us = now_us;
}

gboolean
registry_expire(registry_t *r, gint64 now_us)
{
    GHashTableIter iter;
    gpointer value;
    gboolean changed = FALSE;
    g_hash_table_iter_init(&iter, r->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        item_t *item = value;
        gint64 age = now_us - item->heard_us;
        if (age > REMEMBER_US) {
            g_queue_delete_link(&r->changes, item->link);
            g_hash_table_iter_remove(&iter);
        }
        else if (age > r->silent_us && item->lease.state != LEASE_LEFT &&
                 item->lease.state != LEASE_EXPIRED) {
            item->lease.state = LEASE_EXPIRED;
            note_change(r, item);
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
        const item_t *item = l->data;
        if (item->changed <= cursor) {
            break;
        }
        first = l;
    }
    return first;
}

GPtrArray *
registry_since(const registry_t *r, guint64 cursor, guint most,
               guint64 *through)
{
    GPtrArray *leases = g_ptr_array_new_with_free_func(lease_free);
    const GList *l = first_after(r, cursor);
    *through = r->cursor;
    for (; l != NULL && leases->len < most; l = l->next) {
        const item_t *item = l->data;
        endpoint_lease_t *copy = g_new0(endpoint_lease_t, 1);
        endpoint_lease_copy(copy, &item->lease);
        g_ptr_array_add(leases, copy);
        *through = l->next != NULL ? item->changed : r->cursor;
    }
    return leases;
}

guint
registry_count(const registry_t *r)
{
    return g_hash_table_size(r->by_id);
}
