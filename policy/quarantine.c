#include "carobloom/policy/quarantine.h"

/* Twice the number of requests that one control instance quarantines, because
 * several control instances may order different ones. An entry takes about 150
 * bytes: 1.2 MB in total. */
enum { ENTRIES_MAX = 8192 };

/* Minimum time between two probes of a request. Several control instances
 * order the same probe within a second, and all know its outcome by then. */
static const gint64 PROBE_INTERVAL_US = 5 * G_USEC_PER_SEC;

struct quarantine {
    GHashTable *entries; /* fingerprint -> quarantined_request_t */
};

gboolean
quarantined_is_part(const quarantined_request_t *entry)
{
    return entry->service[0] != '\0';
}

static void
entry_free(gpointer data)
{
    quarantined_request_t *entry = data;
    g_free(entry->service);
    g_free(entry->endpoints);
    g_free(entry);
}

quarantine_t *
quarantine_create(void)
{
    quarantine_t *q = g_new0(quarantine_t, 1);
    q->entries =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, entry_free);
    return q;
}

void
quarantine_destroy(quarantine_t *q)
{
    g_hash_table_unref(q->entries);
    g_free(q);
}

/* Returns NULL if the quarantine is full. */
static quarantined_request_t *
entry_add(quarantine_t *q, guint64 fingerprint)
{
    if (g_hash_table_size(q->entries) >= ENTRIES_MAX) {
        return NULL;
    }
    quarantined_request_t *entry = g_new0(quarantined_request_t, 1);
    g_hash_table_insert(q->entries,
                        g_memdup2(&fingerprint, sizeof(fingerprint)), entry);
    return entry;
}

/* Returns the entry that an order is for, a new one if there is none or if it
 * was watched and is quarantined now, or the reverse. NULL if the quarantine
 * is full. */
static quarantined_request_t *
entry_find_or_add(quarantine_t *q, const quarantine_order_t *order,
                  gboolean *known, gint64 now_us)
{
    quarantined_request_t *entry =
        g_hash_table_lookup(q->entries, &order->fingerprint);
    *known = entry != NULL && entry->watch_only == order->watch_only;
    if (*known) {
        return entry;
    }
    g_hash_table_remove(q->entries, &order->fingerprint);
    entry = entry_add(q, order->fingerprint);
    if (entry != NULL) {
        entry->service =
            g_strdup(order->service != NULL ? order->service : "");
        entry->part = order->part;
        entry->watch_only = order->watch_only;
        entry->endpoints = g_strdup(order->endpoints);
        entry->since_us = now_us - order->since_us;
    }
    return entry;
}

/* A control instance that only watches does not know of all ends that others
 * know, so it can't release what they quarantined. */
static gboolean
is_overruled(const quarantine_t *q, const quarantine_order_t *order)
{
    const quarantined_request_t *entry =
        g_hash_table_lookup(q->entries, &order->fingerprint);
    return order->watch_only && !order->releases && entry != NULL &&
           !entry->watch_only;
}

gboolean
quarantine_apply_order(quarantine_t *q, const quarantine_order_t *order,
                       const char *instance, gint64 now_us)
{
    gboolean known;
    if (is_overruled(q, order)) {
        return FALSE;
    }
    if (order->left_us <= 0) {
        return g_hash_table_remove(q->entries, &order->fingerprint);
    }
    quarantined_request_t *entry = entry_find_or_add(q, order, &known, now_us);
    if (entry == NULL) {
        return FALSE;
    }
    entry->until_us = MAX(entry->until_us, now_us + order->left_us);
    entry->uncertain = order->uncertain;
    entry->probe =
        order->probe != 0 && g_strcmp0(order->probe_instance, instance) == 0;
    entry->probe_taken &= entry->probe;
    return !known;
}

gboolean
quarantine_take_probe(quarantine_t *q, guint64 fingerprint, gint64 now_us)
{
    quarantined_request_t *entry =
        g_hash_table_lookup(q->entries, &fingerprint);
    if (entry == NULL || !entry->probe ||
        (entry->probed_us != 0 &&
         now_us - entry->probed_us < PROBE_INTERVAL_US)) {
        return FALSE;
    }
    entry->probe = FALSE;
    entry->probe_taken = TRUE;
    entry->probed_us = now_us;
    return TRUE;
}

void
quarantine_return_probe(quarantine_t *q, guint64 fingerprint)
{
    quarantined_request_t *entry =
        g_hash_table_lookup(q->entries, &fingerprint);
    if (entry != NULL && entry->probe_taken) {
        entry->probe = TRUE;
        entry->probe_taken = FALSE;
        entry->probed_us = 0;
    }
}

gboolean
quarantine_is_empty(const quarantine_t *q)
{
    return g_hash_table_size(q->entries) == 0;
}

gboolean
quarantine_take_answer(quarantine_t *q, guint64 fingerprint)
{
    const quarantined_request_t *entry =
        g_hash_table_lookup(q->entries, &fingerprint);
    gboolean known = entry != NULL;
    if (known && entry->watch_only) {
        g_hash_table_remove(q->entries, &fingerprint);
    }
    return known;
}

const quarantined_request_t *
quarantine_find(const quarantine_t *q, guint64 fingerprint, gint64 now_us)
{
    const quarantined_request_t *entry =
        g_hash_table_lookup(q->entries, &fingerprint);
    return entry != NULL && !entry->watch_only && now_us < entry->until_us
               ? entry
               : NULL;
}

static gboolean
is_expired(gpointer key, gpointer value, gpointer now_us)
{
    (void)key;
    return *(gint64 *)now_us >= ((quarantined_request_t *)value)->until_us;
}

void
quarantine_expire(quarantine_t *q, gint64 now_us)
{
    g_hash_table_foreach_remove(q->entries, is_expired, &now_us);
}

static guint
count_entries(const quarantine_t *q, gboolean parts)
{
    GHashTableIter iter;
    gpointer value;
    guint count = 0;
    g_hash_table_iter_init(&iter, q->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const quarantined_request_t *entry = value;
        count += !entry->watch_only && quarantined_is_part(entry) == parts;
    }
    return count;
}

guint
quarantine_count(const quarantine_t *q)
{
    return count_entries(q, FALSE);
}

guint
quarantine_count_parts(const quarantine_t *q)
{
    return count_entries(q, TRUE);
}

void
quarantine_dump(const quarantine_t *q, GString *text, gint64 now_us)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, q->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const quarantined_request_t *entry = value;
        if (!quarantined_is_part(entry)) {
            continue;
        }
        g_string_append_printf(
            text,
            "service %s: part %" G_GINT64_MODIFIER
            "x %s%s, ended %s, %" G_GINT64_FORMAT " s left\n",
            entry->service, entry->part,
            entry->watch_only ? "watched" : "quarantined",
            entry->uncertain ? " as uncertain" : "", entry->endpoints,
            (entry->until_us - now_us) / G_USEC_PER_SEC);
    }
}
