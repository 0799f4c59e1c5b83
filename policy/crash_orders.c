#include "crash_ledger_state.h"

gboolean
quarantine_order_is_part(const quarantine_order_t *order)
{
    return order->service != NULL && order->service[0] != '\0';
}

void
quarantine_order_clear(gpointer order)
{
    quarantine_order_t *o = order;
    g_free(o->service);
    g_free(o->endpoints);
    g_free(o->probe_instance);
}

GArray *
quarantine_orders_new(void)
{
    GArray *orders = g_array_new(FALSE, FALSE, sizeof(quarantine_order_t));
    g_array_set_clear_func(orders, quarantine_order_clear);
    return orders;
}

/* ---- orders of one suspect ---- */

void
suspect_update_order(crash_ledger_t *l, suspect_t *s, gint64 now_us)
{
    s->order_cursor = ++l->cursor;
    s->order_expires_us =
        s->published == PUBLISHED_WATCH
            ? s->watched_until_us + PROBE_US
            : MAX(now_us, s->quarantined_until_us) + l->retention_us;
    if (s->link != NULL) {
        g_queue_unlink(&l->orders, s->link);
        g_queue_push_tail_link(&l->orders, s->link);
        return;
    }
    g_queue_push_tail(&l->orders, s);
    s->link = l->orders.tail;
}

void
suspect_watch(crash_ledger_t *l, suspect_t *s, gint64 now_us)
{
    if (s->published != PUBLISHED_WATCH) {
        if (s->quarantined_until_us != 0 || l->watched >= WATCHED_MAX) {
            return;
        }
        s->was_quarantined = s->published == PUBLISHED_QUARANTINE;
        s->published = PUBLISHED_WATCH;
        l->watched++;
    }
    s->watched_until_us = now_us + l->retention_us;
    suspect_update_order(l, s, now_us);
}

void
suspect_end_watch(crash_ledger_t *l, suspect_t *s, gint64 now_us)
{
    if (s->published == PUBLISHED_WATCH) {
        s->watched_until_us = now_us;
        suspect_update_order(l, s, now_us);
    }
}

void
suspect_clear_uncertain(crash_ledger_t *l, suspect_t *s)
{
    s->uncertain = FALSE;
    if (l->probing == s) {
        l->probing = NULL;
    }
}

void
suspect_release(crash_ledger_t *l, suspect_t *s, gint64 now_us)
{
    s->quarantined_until_us = 0;
    s->confirmed = FALSE;
    s->failed_probes = 0;
    s->failed_rechecks = 0;
    l->quarantined--;
    l->quarantined_parts -= suspect_is_part(s);
    suspect_clear_uncertain(l, s);
    suspect_update_order(l, s, now_us);
}

/* Releases the quarantined request with the oldest order. */
static void
suspect_evict_oldest(crash_ledger_t *l, gint64 now_us)
{
    for (GList *i = l->orders.head; i != NULL; i = i->next) {
        suspect_t *s = i->data;
        if (s->quarantined_until_us != 0) {
            suspect_release(l, s, now_us);
            return;
        }
    }
}

void
suspect_quarantine(crash_ledger_t *l, suspect_t *s, gint64 until_us,
                   gint64 now_us)
{
    if (l->quarantined >= QUARANTINED_MAX) {
        suspect_evict_oldest(l, now_us);
    }
    l->watched -= s->published == PUBLISHED_WATCH;
    s->published = PUBLISHED_QUARANTINE;
    s->due_us = 0;
    s->quarantined_until_us = until_us;
    s->probed_us = now_us;
    l->quarantined++;
    l->quarantined_parts += suspect_is_part(s);
    g_hash_table_remove(l->due, s);
    suspect_update_order(l, s, now_us);
}

char *
suspect_endpoint_list(const suspect_t *s)
{
    GString *names = g_string_new(NULL);
    for (guint i = 0; i < MIN(s->count, ORDER_ENDPOINTS_MAX); i++) {
        g_string_append_printf(names, "%s%s", i > 0 ? "," : "",
                               s->ends[i].end->endpoint);
    }
    return g_string_free(names, FALSE);
}

/* Makes a part the cause of an end that was attributed to a request with it,
 * and releases the request if no end is left. */
static void
take_over_end(crash_ledger_t *l, const suspect_t *part, end_record_t *end,
              gint64 now_us)
{
    suspect_t *request = suspect_find(l, end->cause);
    if (!end_has_run_of_both(end, part->fingerprint, end->cause) ||
        (request != NULL && suspect_is_part(request))) {
        return;
    }
    end->cause = part->fingerprint;
    if (request != NULL && request->quarantined_until_us != 0 &&
        suspect_own_weight(request) == 0) {
        suspect_release(l, request, now_us);
    }
}

void
suspect_quarantine_as_cause(crash_ledger_t *l, suspect_t *s, gint64 now_us)
{
    g_free(s->endpoints);
    s->endpoints = suspect_endpoint_list(s);
    for (guint i = 0; i < s->count; i++) {
        end_record_t *end = s->ends[i].end;
        if (end->cause == 0) {
            end->cause = s->fingerprint;
        }
        else if (suspect_is_part(s)) {
            take_over_end(l, s, end, now_us);
        }
    }
    suspect_quarantine(l, s, now_us + l->retention_us, now_us);
}

void
suspect_confirm(crash_ledger_t *l, suspect_t *s, gint64 now_us)
{
    suspect_clear_uncertain(l, s);
    s->confirmed = TRUE;
    s->quarantined_until_us = now_us + l->retention_us;
    suspect_update_order(l, s, now_us);
    for (guint i = 0; i < s->count; i++) {
        s->ends[i].end->cause = s->fingerprint;
    }
    for (guint i = 0; i < s->count; i++) {
        const GArray *fingerprints = s->ends[i].end->fingerprints;
        for (guint j = 0; j < fingerprints->len; j++) {
            suspect_t *other =
                suspect_find(l, g_array_index(fingerprints, guint64, j));
            if (other != NULL && other->uncertain &&
                suspect_own_weight(other) == 0) {
                suspect_release(l, other, now_us);
            }
        }
    }
}

/* ---- published orders ---- */

guint64
crash_ledger_cursor(const crash_ledger_t *l)
{
    return l->cursor;
}

GArray *
crash_ledger_orders_since(const crash_ledger_t *l, guint64 *cursor,
                          guint max_count, gint64 now_us)
{
    GArray *orders = quarantine_orders_new();
    GList *link = l->orders.tail;
    while (link != NULL && link->prev != NULL &&
           ((suspect_t *)link->prev->data)->order_cursor > *cursor) {
        link = link->prev;
    }
    guint64 since = *cursor;
    for (; link != NULL && orders->len < max_count; link = link->next) {
        const suspect_t *s = link->data;
        if (s->order_cursor <= since) {
            continue;
        }
        gboolean watched = s->published == PUBLISHED_WATCH;
        gint64 until_us =
            watched ? s->watched_until_us : s->quarantined_until_us;
        quarantine_order_t order = {
            .fingerprint = s->fingerprint,
            .service = g_strdup(suspect_is_part(s) ? s->service : ""),
            .part = s->part,
            .watch_only = watched,
            .releases = watched && s->was_quarantined,
            .left_us = MAX(until_us - now_us, 0),
            .since_us = now_us - s->since_us,
            .endpoints =
                watched ? suspect_endpoint_list(s)
                        : g_strdup(s->endpoints != NULL ? s->endpoints : ""),
            .ends = suspect_weight(s) / WEIGHT_BEGINNING,
            .uncertain = s->uncertain,
            .probe = l->probing == s ? s->probes : 0,
        };
        g_array_append_val(orders, order);
        *cursor = s->order_cursor;
    }
    if (link == NULL) {
        *cursor = l->cursor; /* includes orders that have expired */
    }
    return orders;
}

guint
crash_ledger_quarantined(const crash_ledger_t *l)
{
    return l->quarantined;
}

guint
crash_ledger_quarantined_parts(const crash_ledger_t *l)
{
    return l->quarantined_parts;
}

guint
crash_ledger_suspects(const crash_ledger_t *l)
{
    return g_hash_table_size(l->suspects);
}

guint
crash_ledger_ends(const crash_ledger_t *l)
{
    return g_hash_table_size(l->ends);
}
