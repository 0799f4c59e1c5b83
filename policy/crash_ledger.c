#include "carobloom/policy/crash_ledger.h"

#include "carobloom/policy/fingerprint.h"
#include "crash_ledger_state.h"

/* ---- create and destroy ---- */

static void
suspect_free(gpointer data)
{
    suspect_t *s = data;
    g_clear_pointer(&s->service, g_ref_string_release);
    g_free(s->ends);
    g_free(s->endpoints);
    g_free(s);
}

static void
end_run_clear(gpointer data)
{
    g_array_unref(((end_run_t *)data)->parts);
}

static void
end_free(gpointer data)
{
    end_record_t *end = data;
    g_free(end->key);
    g_free(end->endpoint);
    g_free(end->service);
    g_array_unref(end->fingerprints);
    g_array_unref(end->runs);
    g_free(end);
}

crash_ledger_t *
crash_ledger_create(gint64 retention_us)
{
    crash_ledger_t *l = g_new0(crash_ledger_t, 1);
    l->retention_us = retention_us;
    l->ends = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, end_free);
    l->suspects =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, suspect_free);
    l->due = g_hash_table_new(g_direct_hash, g_direct_equal);
    return l;
}

void
crash_ledger_destroy(crash_ledger_t *l)
{
    g_queue_clear(&l->by_age);
    g_queue_clear(&l->orders);
    g_hash_table_unref(l->due);
    g_hash_table_unref(l->suspects);
    g_hash_table_unref(l->ends);
    g_free(l);
}

void
crash_ledger_set_retention(crash_ledger_t *l, gint64 retention_us)
{
    l->retention_us = retention_us;
}

/* ---- reported ends and responses ---- */

static void
end_remove(crash_ledger_t *l, end_record_t *end)
{
    for (guint i = 0; i < end->fingerprints->len; i++) {
        suspect_t *s =
            suspect_find(l, g_array_index(end->fingerprints, guint64, i));
        gint index = s != NULL ? suspect_end_index(s, end) : -1;
        if (index >= 0) {
            suspect_drop_end(s, (guint)index);
            suspect_remove_unused(l, s);
        }
    }
    g_hash_table_remove(l->ends, end->key);
}

static end_record_t *
end_find_or_create(crash_ledger_t *l, const endpoint_end_t *reported,
                   gint64 now_us)
{
    char *key = g_strdup_printf("%s/%" G_GINT64_FORMAT, reported->endpoint,
                                reported->started_ms);
    end_record_t *end = g_hash_table_lookup(l->ends, key);
    if (end != NULL) {
        g_free(key);
        return end;
    }
    if (l->by_age.length >= ENDS_MAX) {
        end_remove(l, g_queue_pop_head(&l->by_age));
    }
    end = g_new0(end_record_t, 1);
    end->key = key;
    end->endpoint = g_strdup(reported->endpoint);
    end->service = g_strdup(reported->service);
    end->recorded_us = now_us;
    end->fingerprints = g_array_new(FALSE, FALSE, sizeof(guint64));
    end->runs = g_array_new(FALSE, FALSE, sizeof(end_run_t));
    g_array_set_clear_func(end->runs, end_run_clear);
    g_hash_table_insert(l->ends, end->key, end);
    g_queue_push_tail(&l->by_age, end);
    return end;
}

/* Records that a suspect ran at the end. Returns FALSE if that was known, or
 * if the end is full. */
static gboolean
record_suspect(crash_ledger_t *l, end_record_t *end, suspect_t *s,
               run_stage_t stage, gint64 now_us)
{
    gint index = suspect_end_index(s, end);
    guint parts = end->fingerprints->len - end->requests;
    gboolean full = suspect_is_part(s) ? parts >= END_PARTS_MAX
                                       : end->requests >= END_REQUESTS_MAX;
    if (index >= 0 && suspect_is_part(s) && stage != RUN_LONG) {
        s->ends[index].stage = stage; /* of another request with the part */
    }
    if (index >= 0 || (full && s->count == 0)) {
        suspect_remove_unused(l, s);
        return FALSE;
    }
    if (s->count == 0) {
        s->since_us = now_us;
    }
    suspect_add_end(s, (suspect_end_t){.end = end, .stage = stage});
    g_array_append_val(end->fingerprints, s->fingerprint);
    end->requests += !suspect_is_part(s);
    return TRUE;
}

/* Judges a suspect by one more end. */
static void
judge_end(crash_ledger_t *l, end_record_t *end, suspect_t *s,
          run_stage_t stage, gint64 now_us)
{
    if (s->quarantined_until_us != 0 && end->cause == 0) {
        /* Sent as a probe, or before all instances had the order. */
        end->cause = s->fingerprint;
    }
    if (s->quarantined_until_us != 0 && stage == RUN_PROBE) {
        s->failed_probes++;
        s->failed_rechecks += !s->uncertain;
    }
    if (s->uncertain && (s->failed_probes >= FAILED_PROBES_MIN ||
                         suspect_is_confirmed_by_ends(l, s))) {
        suspect_confirm(l, s, now_us);
    }
    if (suspect_is_part(s) &&
        suspect_weight(s) >= WATCH_ENDS_MIN * WEIGHT_BEGINNING) {
        suspect_watch(l, s, now_us);
    }
    suspect_schedule_evaluation(l, s, now_us);
}

/* Adds the parts of a run to its end. Returns their fingerprints. */
static GArray *
end_add_parts(end_record_t *end, const interrupted_run_t *run)
{
    end_run_t added = {.request = run->fingerprint,
                       .parts = g_array_new(FALSE, FALSE, sizeof(guint64))};
    for (guint i = 0; i < run->parts->len; i++) {
        guint64 part = part_fingerprint(str_from_cstr(end->service),
                                        g_array_index(run->parts, guint64, i));
        g_array_append_val(added.parts, part);
    }
    g_array_append_val(end->runs, added);
    return added.parts;
}

static void
record_parts(crash_ledger_t *l, end_record_t *end,
             const interrupted_run_t *run, gint64 now_us)
{
    const GArray *fingerprints = end_add_parts(end, run);
    for (guint i = 0; i < fingerprints->len; i++) {
        suspect_t *s =
            suspect_find_or_create(l, g_array_index(fingerprints, guint64, i));
        if (!suspect_is_part(s)) {
            s->service = g_ref_string_new_intern(end->service);
            s->part = g_array_index(run->parts, guint64, i);
        }
        if (record_suspect(l, end, s, run->stage, now_us)) {
            judge_end(l, end, s, run->stage, now_us);
        }
    }
}

static void
record_run(crash_ledger_t *l, end_record_t *end, const interrupted_run_t *run,
           gint64 now_us)
{
    suspect_t *s = suspect_find_or_create(l, run->fingerprint);
    if (!record_suspect(l, end, s, run->stage, now_us)) {
        return;
    }
    if (run->parts != NULL) {
        record_parts(l, end, run, now_us);
    }
    judge_end(l, end, s, run->stage, now_us);
}

static void
limit_suspects(crash_ledger_t *l)
{
    while (g_hash_table_size(l->suspects) > SUSPECTS_MAX &&
           l->by_age.length > 1) {
        end_remove(l, g_queue_pop_head(&l->by_age));
    }
}

void
crash_ledger_record_end(crash_ledger_t *l, const endpoint_end_t *reported,
                        gint64 now_us)
{
    end_record_t *end = end_find_or_create(l, reported, now_us);
    for (guint i = 0; i < reported->runs->len; i++) {
        const interrupted_run_t *run =
            &g_array_index(reported->runs, interrupted_run_t, i);
        if (run->stage == RUN_ANSWERED) {
            crash_ledger_record_answered(l, run->fingerprint, now_us);
            continue;
        }
        record_run(l, end, run, now_us);
    }
    limit_suspects(l);
}

/* Clears the cause of an end after an endpoint answered that request, and
 * schedules the evaluation of the other requests that ran there. */
static void
end_clear_cause(crash_ledger_t *l, end_record_t *end, gint64 now_us)
{
    end->cause = 0;
    for (guint i = 0; i < end->fingerprints->len; i++) {
        suspect_t *other =
            suspect_find(l, g_array_index(end->fingerprints, guint64, i));
        if (other != NULL) {
            suspect_schedule_evaluation(l, other, now_us);
        }
    }
}

void
crash_ledger_record_answered(crash_ledger_t *l, guint64 fingerprint,
                             gint64 now_us)
{
    suspect_t *s = suspect_find(l, fingerprint);
    if (s == NULL) {
        return;
    }
    while (s->count > 0) {
        end_record_t *end = s->ends[s->count - 1].end;
        suspect_drop_end(s, s->count - 1);
        if (end->cause == fingerprint) {
            end_clear_cause(l, end, now_us);
        }
    }
    s->due_us = 0;
    s->probation_until_us = 0;
    g_hash_table_remove(l->due, s);
    if (s->quarantined_until_us != 0) {
        suspect_release(l, s, now_us);
    }
    suspect_end_watch(l, s, now_us);
    suspect_remove_unused(l, s);
}

void
crash_ledger_restore(crash_ledger_t *l, const quarantine_order_t *order,
                     gint64 now_us)
{
    if (order->watch_only || order->left_us <= 0) {
        return;
    }
    suspect_t *s = suspect_find_or_create(l, order->fingerprint);
    if (s->quarantined_until_us != 0) {
        return;
    }
    if (quarantine_order_is_part(order) && !suspect_is_part(s)) {
        s->service = g_ref_string_new_intern(order->service);
        s->part = order->part;
    }
    s->confirmed = suspect_is_part(s) && !order->uncertain;
    g_free(s->endpoints);
    s->endpoints = g_strdup(order->endpoints);
    s->since_us = now_us - order->since_us;
    s->uncertain = order->uncertain;
    suspect_quarantine(l, s, now_us + MIN(order->left_us, l->retention_us),
                       now_us);
    if (s->uncertain) {
        s->probed_us = now_us - PROBE_US; /* due for a probe at once */
    }
}

/* ---- expiry and probes ---- */

static void
expire_ends(crash_ledger_t *l, gint64 now_us)
{
    end_record_t *end;
    while ((end = g_queue_peek_head(&l->by_age)) != NULL &&
           now_us - end->recorded_us > l->retention_us) {
        end_remove(l, g_queue_pop_head(&l->by_age));
    }
}

/* Ends expired quarantines, each followed by a probation, and removes expired
 * orders. */
static void
expire_orders(crash_ledger_t *l, gint64 now_us)
{
    GList *next;
    for (GList *i = l->orders.head; i != NULL; i = next) {
        suspect_t *s = i->data;
        next = i->next;
        if (s->quarantined_until_us != 0 &&
            now_us >= s->quarantined_until_us) {
            s->quarantined_until_us = 0;
            s->probation_until_us = now_us + l->retention_us;
            s->count = 0;
            l->quarantined--;
            l->quarantined_parts -= suspect_is_part(s);
            suspect_clear_uncertain(l, s);
        }
        if (s->quarantined_until_us == 0 && now_us >= s->order_expires_us) {
            g_queue_delete_link(&l->orders, i);
            l->watched -= s->published == PUBLISHED_WATCH;
            s->published = PUBLISHED_NOTHING;
            s->link = NULL;
            suspect_remove_unused(l, s);
        }
    }
}

static gboolean
is_probe_due(const suspect_t *s, gint64 now_us)
{
    gint64 since_us = now_us - s->probed_us;
    if (s->quarantined_until_us == 0) {
        return FALSE;
    }
    return s->uncertain
               ? since_us >= PROBE_US
               : suspect_is_part(s) && s->failed_probes < PART_PROBES_MAX &&
                     since_us >= (gint64)RECHECK_US << s->failed_rechecks;
}

/* Returns the suspect that is due for a probe and had its last one first, or
 * NULL. */
static suspect_t *
next_probe(const crash_ledger_t *l, gint64 now_us)
{
    suspect_t *next = NULL;
    for (GList *i = l->orders.head; i != NULL; i = i->next) {
        suspect_t *s = i->data;
        gboolean due = is_probe_due(s, now_us);
        gboolean earlier =
            next == NULL || s->probed_us < next->probed_us ||
            (s->probed_us == next->probed_us &&
             s->fingerprint < next->fingerprint); /* same at all instances */
        if (due && earlier) {
            next = s;
        }
    }
    return next;
}

/* Ends a probe without result, and starts the next one. */
static void
update_probe(crash_ledger_t *l, gint64 now_us)
{
    suspect_t *s = l->probing;
    if (s != NULL && now_us < l->probe_end_us) {
        return;
    }
    l->probing = NULL;
    if (s != NULL) {
        suspect_update_order(l, s, now_us);
    }
    s = next_probe(l, now_us);
    if (s == NULL) {
        return;
    }
    s->probed_us = now_us;
    s->probes++;
    l->probing = s;
    l->probe_end_us = now_us + PROBE_US;
    suspect_update_order(l, s, now_us);
}

void
crash_ledger_evaluate(crash_ledger_t *l, gint64 now_us)
{
    expire_ends(l, now_us);
    expire_orders(l, now_us);
    crash_ledger_evaluate_due(l, now_us);
    update_probe(l, now_us);
}
