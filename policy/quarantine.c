#include "carobloom/policy/quarantine.h"

/* More than a control instance holds, since several may hold different ones.
 * A held request takes some 150 bytes: 1.2 MB. */
enum { HELD_MAX = 8192 };

struct quarantine {
    GHashTable *held; /* fingerprint -> held_request_t */
};

static void
held_free(gpointer data)
{
    held_request_t *held = data;
    g_free(held->endpoints);
    g_free(held);
}

quarantine_t *
quarantine_create(void)
{
    quarantine_t *q = g_new0(quarantine_t, 1);
    q->held =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, held_free);
    return q;
}

void
quarantine_destroy(quarantine_t *q)
{
    g_hash_table_unref(q->held);
    g_free(q);
}

gboolean
quarantine_take(quarantine_t *q, const quarantine_order_t *order,
                gint64 now_us)
{
    held_request_t *held = g_hash_table_lookup(q->held, &order->fingerprint);
    gint64 until_us = now_us + order->left_us;
    if (order->left_us <= 0) {
        return g_hash_table_remove(q->held, &order->fingerprint);
    }
    if (held != NULL) { /* of another control instance */
        held->until_us = MAX(held->until_us, until_us);
        held->since_us = MIN(held->since_us, now_us - order->since_us);
        return FALSE;
    }
    if (g_hash_table_size(q->held) >= HELD_MAX) {
        return FALSE;
    }
    held = g_new0(held_request_t, 1);
    held->until_us = until_us;
    held->since_us = now_us - order->since_us;
    held->endpoints = g_strdup(order->endpoints);
    g_hash_table_insert(
        q->held, g_memdup2(&order->fingerprint, sizeof(order->fingerprint)),
        held);
    return TRUE;
}

gboolean
quarantine_is_empty(const quarantine_t *q)
{
    return g_hash_table_size(q->held) == 0;
}

const held_request_t *
quarantine_find(const quarantine_t *q, guint64 fingerprint, gint64 now_us)
{
    const held_request_t *held = g_hash_table_lookup(q->held, &fingerprint);
    return held != NULL && now_us < held->until_us ? held : NULL;
}

static gboolean
is_over(gpointer key, gpointer value, gpointer now_us)
{
    (void)key;
    return *(gint64 *)now_us >= ((held_request_t *)value)->until_us;
}

void
quarantine_sweep(quarantine_t *q, gint64 now_us)
{
    g_hash_table_foreach_remove(q->held, is_over, &now_us);
}

guint
quarantine_count(const quarantine_t *q)
{
    return g_hash_table_size(q->held);
}
