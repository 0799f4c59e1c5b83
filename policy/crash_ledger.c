#include "carobloom/policy/crash_ledger.h"

enum {
    US_PER_MS = 1000,
    /* Ends after which a request is the cause. One may be coincidence, and so
     * may two if the caller retries at once; each further end costs an
     * endpoint and all requests that run there. */
    CAUSE_ENDS_MIN = 3,
    /* Two requests that share this many ends are rivals: only a further end
     * can tell which is the cause. */
    RIVAL_SHARED_ENDS_MIN = 2,
    /* Rivals are quarantined together after this many ends. After its third
     * end, the cause is then sent three more times, the most that operators
     * accept: once at the fourth end, and in two probes. */
    RIVALS_QUARANTINE_ENDS_MIN = 4,
    /* A request is confirmed as the cause after this many probes during which
     * its endpoint ended. One may be coincidence and, in rare cases (2 of
     * 300 cases), would leave a wrong request quarantined. */
    FAILED_PROBES_MIN = 2,
    /* Duration of a probe; there is one at a time. Within it the caller
     * retries, the request is answered or cut off, and all control instances
     * learn the outcome. */
    PROBE_US = 3000 * US_PER_MS,
    /* Weight of an end: half if the response had been streaming for long,
     * because a request that crashes its endpoint does so as it begins. */
    WEIGHT_BEGINNING = 2,
    WEIGHT_LONG = 1,
    /* Delay between reaching the threshold and the evaluation, in which the
     * other entry instances report what ran there as well. A tenth of the
     * three seconds within which all instances must know the result. */
    EVALUATION_DELAY_US = 300 * US_PER_MS,
    /* Memory bounds: 33,000 suspects of 260 bytes, 8 MB. The requests of an
     * end may include those that waited as well as those in slots. */
    ENDS_MAX = 128,
    END_REQUESTS_MAX = 256,
    QUARANTINED_MAX = 4096,
    SUSPECT_ENDS_MAX = 6,    /* per request; the oldest are dropped */
    ORDER_ENDPOINTS_MAX = 4, /* endpoints listed in an order */
};

/* The end of an endpoint. */
typedef struct {
    char *key; /* id and incarnation */
    char *endpoint;
    gint64 recorded_us;
    GArray *fingerprints; /* guint64, of the requests that ran there */
    guint64 cause;        /* request quarantined as its cause; 0: none yet */
} end_record_t;

typedef struct {
    end_record_t *end;
    run_stage_t stage;
} suspect_end_t;

/* A request that ran on an endpoint as it ended. */
typedef struct {
    guint64 fingerprint;
    suspect_end_t ends[SUSPECT_ENDS_MAX];
    guint count;
    gint64 due_us;   /* when it is evaluated; 0: below the threshold */
    gint64 since_us; /* time of its first end */
    gint64 quarantined_until_us; /* 0: not quarantined */
    gint64 probation_until_us;   /* after a quarantine, one end is enough */
    gboolean uncertain;          /* quarantined, but may not be the cause */
    gboolean confirmed;          /* by probes during which endpoints ended */
    guint failed_probes;         /* probes during which an endpoint ended */
    gint64 probed_us;            /* time of its last probe or quarantine */
    guint probes;
    gint64 order_expires_us; /* its order is published until then */
    guint64 order_cursor;    /* ledger cursor at its last order; 0: none */
    char *endpoints;         /* listed in the order */
    GList *link;             /* in `orders` */
} suspect_t;

struct crash_ledger {
    gint64 retention_us;
    GHashTable *ends;     /* key -> end_record_t */
    GQueue by_age;        /* end_record_t, the oldest at the head */
    GHashTable *suspects; /* fingerprint -> suspect_t */
    GHashTable *due;      /* set of suspect_t to be evaluated */
    GQueue orders;        /* suspect_t, the last changed at the tail */
    guint64 cursor;
    guint quarantined;
    suspect_t *probing; /* uncertain suspect being probed, or NULL */
    gint64 probe_end_us;
};

void
quarantine_order_clear(gpointer order)
{
    quarantine_order_t *o = order;
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

/* ---- create and destroy ---- */

static void
suspect_free(gpointer data)
{
    suspect_t *s = data;
    g_free(s->endpoints);
    g_free(s);
}

static void
end_free(gpointer data)
{
    end_record_t *end = data;
    g_free(end->key);
    g_free(end->endpoint);
    g_array_unref(end->fingerprints);
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

/* ---- suspects ---- */

static suspect_t *
suspect_find(const crash_ledger_t *l, guint64 fingerprint)
{
    return g_hash_table_lookup(l->suspects, &fingerprint);
}

static suspect_t *
suspect_find_or_create(crash_ledger_t *l, guint64 fingerprint)
{
    suspect_t *s = suspect_find(l, fingerprint);
    if (s == NULL) {
        s = g_new0(suspect_t, 1);
        s->fingerprint = fingerprint;
        g_hash_table_insert(l->suspects, &s->fingerprint, s);
    }
    return s;
}

/* Removes a suspect without ends and without an order. */
static void
suspect_remove_unused(crash_ledger_t *l, suspect_t *s)
{
    if (s->count > 0 || s->link != NULL) {
        return;
    }
    g_hash_table_remove(l->due, s);
    g_hash_table_remove(l->suspects, &s->fingerprint);
}

static gint
suspect_end_index(const suspect_t *s, const end_record_t *end)
{
    for (guint i = 0; i < s->count; i++) {
        if (s->ends[i].end == end) {
            return (gint)i;
        }
    }
    return -1;
}

static void
suspect_drop_end(suspect_t *s, guint index)
{
    s->count--;
    for (guint i = index; i < s->count; i++) {
        s->ends[i] = s->ends[i + 1];
    }
}

/* Ends with another request as their cause don't count. */
static guint
suspect_weight(const suspect_t *s)
{
    guint weight = 0;
    for (guint i = 0; i < s->count; i++) {
        guint64 cause = s->ends[i].end->cause;
        if (cause == 0 || cause == s->fingerprint) {
            weight +=
                s->ends[i].stage == RUN_LONG ? WEIGHT_LONG : WEIGHT_BEGINNING;
        }
    }
    return weight;
}

static guint
suspect_threshold(const suspect_t *s, gint64 now_us)
{
    return now_us < s->probation_until_us ? WEIGHT_BEGINNING
                                          : CAUSE_ENDS_MIN * WEIGHT_BEGINNING;
}

static void
suspect_schedule_evaluation(crash_ledger_t *l, suspect_t *s, gint64 now_us)
{
    if (s->quarantined_until_us == 0 && s->due_us == 0 &&
        suspect_weight(s) >= suspect_threshold(s, now_us)) {
        s->due_us = now_us + EVALUATION_DELAY_US;
        g_hash_table_add(l->due, s);
    }
}

/* ---- orders ---- */

static void
order_update(crash_ledger_t *l, suspect_t *s, gint64 now_us)
{
    s->order_cursor = ++l->cursor;
    s->order_expires_us =
        MAX(now_us, s->quarantined_until_us) + l->retention_us;
    if (s->link != NULL) {
        g_queue_unlink(&l->orders, s->link);
        g_queue_push_tail_link(&l->orders, s->link);
        return;
    }
    g_queue_push_tail(&l->orders, s);
    s->link = l->orders.tail;
}

/* Ends the uncertainty about a suspect, whether or not it is the cause. */
static void
clear_uncertain(crash_ledger_t *l, suspect_t *s)
{
    s->uncertain = FALSE;
    if (l->probing == s) {
        l->probing = NULL;
    }
}

static void
lift_quarantine(crash_ledger_t *l, suspect_t *s, gint64 now_us)
{
    s->quarantined_until_us = 0;
    s->confirmed = FALSE;
    s->failed_probes = 0;
    l->quarantined--;
    clear_uncertain(l, s);
    order_update(l, s, now_us);
}

/* Releases the quarantined request with the oldest order. */
static void
evict_oldest(crash_ledger_t *l, gint64 now_us)
{
    for (GList *i = l->orders.head; i != NULL; i = i->next) {
        suspect_t *s = i->data;
        if (s->quarantined_until_us != 0) {
            lift_quarantine(l, s, now_us);
            return;
        }
    }
}

static void
quarantine(crash_ledger_t *l, suspect_t *s, gint64 until_us, gint64 now_us)
{
    if (l->quarantined >= QUARANTINED_MAX) {
        evict_oldest(l, now_us);
    }
    s->due_us = 0;
    s->quarantined_until_us = until_us;
    s->probed_us = now_us;
    l->quarantined++;
    g_hash_table_remove(l->due, s);
    order_update(l, s, now_us);
}

static char *
endpoint_list(const suspect_t *s)
{
    GString *names = g_string_new(NULL);
    for (guint i = 0; i < MIN(s->count, ORDER_ENDPOINTS_MAX); i++) {
        g_string_append_printf(names, "%s%s", i > 0 ? "," : "",
                               s->ends[i].end->endpoint);
    }
    return g_string_free(names, FALSE);
}

/* Quarantines a request and records it as the cause of its ends. */
static void
quarantine_as_cause(crash_ledger_t *l, suspect_t *s, gint64 now_us)
{
    g_free(s->endpoints);
    s->endpoints = endpoint_list(s);
    for (guint i = 0; i < s->count; i++) {
        if (s->ends[i].end->cause == 0) {
            s->ends[i].end->cause = s->fingerprint;
        }
    }
    quarantine(l, s, now_us + l->retention_us, now_us);
}

/* Confirms an uncertain suspect as the cause, and releases uncertain suspects
 * that were only at its ends. A confirmed suspect doesn't become uncertain
 * again while it is quarantined: otherwise, in rare cases (9 of
 * 20,000), the cause would be sent a fourth time. */
static void
confirm_cause(crash_ledger_t *l, suspect_t *s, gint64 now_us)
{
    clear_uncertain(l, s);
    s->confirmed = TRUE;
    s->quarantined_until_us = now_us + l->retention_us;
    order_update(l, s, now_us);
    for (guint i = 0; i < s->count; i++) {
        s->ends[i].end->cause = s->fingerprint;
    }
    for (guint i = 0; i < s->count; i++) {
        const GArray *fingerprints = s->ends[i].end->fingerprints;
        for (guint j = 0; j < fingerprints->len; j++) {
            suspect_t *other =
                suspect_find(l, g_array_index(fingerprints, guint64, j));
            if (other != NULL && other->uncertain &&
                suspect_weight(other) == 0) {
                lift_quarantine(l, other, now_us);
            }
        }
    }
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
    end->recorded_us = now_us;
    end->fingerprints = g_array_new(FALSE, FALSE, sizeof(guint64));
    g_hash_table_insert(l->ends, end->key, end);
    g_queue_push_tail(&l->by_age, end);
    return end;
}

static void
record_run(crash_ledger_t *l, end_record_t *end, interrupted_run_t run,
           gint64 now_us)
{
    suspect_t *s = suspect_find_or_create(l, run.fingerprint);
    gboolean full = end->fingerprints->len >= END_REQUESTS_MAX;
    if (suspect_end_index(s, end) >= 0 || (full && s->count == 0)) {
        suspect_remove_unused(l, s);
        return;
    }
    if (s->count == SUSPECT_ENDS_MAX) {
        suspect_drop_end(s, 0);
    }
    if (s->count == 0) {
        s->since_us = now_us;
    }
    s->ends[s->count++] = (suspect_end_t){.end = end, .stage = run.stage};
    g_array_append_val(end->fingerprints, run.fingerprint);
    if (s->quarantined_until_us != 0 && end->cause == 0) {
        /* Sent as a probe, or before all instances had the order. */
        end->cause = s->fingerprint;
    }
    if (s->uncertain && run.stage == RUN_PROBE) {
        s->failed_probes++;
    }
    if (s->uncertain && s->failed_probes >= FAILED_PROBES_MIN) {
        confirm_cause(l, s, now_us);
    }
    suspect_schedule_evaluation(l, s, now_us);
}

void
crash_ledger_record_end(crash_ledger_t *l, const endpoint_end_t *reported,
                        gint64 now_us)
{
    end_record_t *end = end_find_or_create(l, reported, now_us);
    for (guint i = 0; i < reported->runs->len; i++) {
        interrupted_run_t run =
            g_array_index(reported->runs, interrupted_run_t, i);
        if (run.stage == RUN_ANSWERED) {
            crash_ledger_record_answered(l, run.fingerprint, now_us);
            continue;
        }
        record_run(l, end, run, now_us);
    }
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
        lift_quarantine(l, s, now_us);
    }
    suspect_remove_unused(l, s);
}

void
crash_ledger_restore(crash_ledger_t *l, const quarantine_order_t *order,
                     gint64 now_us)
{
    suspect_t *s = suspect_find_or_create(l, order->fingerprint);
    if (s->quarantined_until_us != 0 || order->left_us <= 0) {
        suspect_remove_unused(l, s);
        return;
    }
    g_free(s->endpoints);
    s->endpoints = g_strdup(order->endpoints);
    s->since_us = now_us - order->since_us;
    s->uncertain = order->uncertain;
    quarantine(l, s, now_us + MIN(order->left_us, l->retention_us), now_us);
    s->probed_us = now_us - PROBE_US; /* due for a probe at once */
}

/* ---- evaluation ---- */

/* Returns whether `other` has at least the weight of `s` and shares so many
 * ends with it that the cause can't be determined. */
static gboolean
is_rival(const suspect_t *s, const suspect_t *other, gint64 now_us)
{
    guint shared = 0;
    if (other == NULL || other == s || other->quarantined_until_us != 0 ||
        suspect_weight(other) < suspect_weight(s) ||
        suspect_weight(other) < suspect_threshold(other, now_us)) {
        return FALSE;
    }
    for (guint i = 0; i < s->count; i++) {
        const end_record_t *end = s->ends[i].end;
        shared += end->cause == 0 && suspect_end_index(other, end) >= 0;
    }
    return shared >= RIVAL_SHARED_ENDS_MIN;
}

/* Returns at most `max_count` rivals of a suspect, in an array that doesn't
 * own them. */
static GPtrArray *
rivals_of(const crash_ledger_t *l, const suspect_t *s, guint max_count,
          gint64 now_us)
{
    GPtrArray *rivals = g_ptr_array_new();
    for (guint i = 0; i < s->count; i++) {
        const end_record_t *end = s->ends[i].end;
        for (guint j = 0; end->cause == 0 && j < end->fingerprints->len; j++) {
            suspect_t *other =
                suspect_find(l, g_array_index(end->fingerprints, guint64, j));
            if (rivals->len < max_count && is_rival(s, other, now_us) &&
                !g_ptr_array_find(rivals, other, NULL)) {
                g_ptr_array_add(rivals, other);
            }
        }
    }
    return rivals;
}

/* Returns whether there are ends that neither this suspect nor a quarantined
 * request explains. */
static gboolean
has_unexplained_ends(const crash_ledger_t *l, const suspect_t *s)
{
    for (const GList *i = l->by_age.head; i != NULL; i = i->next) {
        const end_record_t *end = i->data;
        if (end->cause == 0 && suspect_end_index(s, end) < 0) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Requests that crash endpoints are rare. If several are quarantined, or there
 * are unexplained ends, some of them probably ran at their three ends by
 * coincidence: with an unrelated end every five seconds, this happens in 59 of
 * 300 cases. Each stays uncertain until it has been probed. */
static void
mark_quarantined_uncertain(crash_ledger_t *l, gint64 now_us)
{
    GList *last = l->orders.tail;
    GList *next;
    for (GList *i = l->orders.head; i != NULL; i = next) {
        suspect_t *s = i->data;
        next = i != last ? i->next : NULL;
        if (s->quarantined_until_us != 0 && !s->confirmed && !s->uncertain) {
            s->uncertain = TRUE;
            order_update(l, s, now_us);
        }
    }
}

/* Returns TRUE if the request was quarantined. */
static gboolean
evaluate_suspect(crash_ledger_t *l, suspect_t *s, gint64 now_us)
{
    guint weight = suspect_weight(s);
    if (weight < suspect_threshold(s, now_us)) {
        s->due_us = 0;
        g_hash_table_remove(l->due, s);
        return FALSE;
    }
    gboolean quarantine_rivals =
        weight >= RIVALS_QUARANTINE_ENDS_MIN * WEIGHT_BEGINNING;
    if (now_us < s->due_us && !quarantine_rivals) {
        return FALSE;
    }
    /* One rival is enough to postpone a decision, and there may be thousands.
     */
    GPtrArray *rivals =
        rivals_of(l, s, quarantine_rivals ? END_REQUESTS_MAX : 1, now_us);
    gboolean quarantined = rivals->len == 0 || quarantine_rivals;
    if (quarantined) {
        g_ptr_array_add(rivals, s);
        for (guint i = 0; i < rivals->len; i++) {
            quarantine_as_cause(l, rivals->pdata[i], now_us);
        }
        if (l->quarantined > 1 || has_unexplained_ends(l, s)) {
            mark_quarantined_uncertain(l, now_us);
        }
    }
    g_ptr_array_unref(rivals);
    return quarantined;
}

static gint
by_weight(gconstpointer a, gconstpointer b)
{
    guint x = suspect_weight(*(suspect_t *const *)a);
    guint y = suspect_weight(*(suspect_t *const *)b);
    return x > y ? -1 : x < y;
}

/* Evaluates the suspect with the highest weight first, because ends that it
 * caused no longer count for the others. */
static void
evaluate_due(crash_ledger_t *l, gint64 now_us)
{
    gboolean repeat = TRUE;
    while (repeat && g_hash_table_size(l->due) > 0) {
        GPtrArray *due = g_ptr_array_new();
        GHashTableIter iter;
        gpointer suspect;
        g_hash_table_iter_init(&iter, l->due);
        while (g_hash_table_iter_next(&iter, &suspect, NULL)) {
            g_ptr_array_add(due, suspect);
        }
        g_ptr_array_sort(due, by_weight);
        repeat = FALSE;
        for (guint i = 0; i < due->len && !repeat; i++) {
            repeat = evaluate_suspect(l, due->pdata[i], now_us);
        }
        g_ptr_array_unref(due);
    }
}

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
            clear_uncertain(l, s);
        }
        if (s->quarantined_until_us == 0 && now_us >= s->order_expires_us) {
            g_queue_delete_link(&l->orders, i);
            s->link = NULL;
            suspect_remove_unused(l, s);
        }
    }
}

/* Returns the uncertain suspect with the oldest probe that is at least
 * PROBE_US ago, or NULL. */
static suspect_t *
next_probe(const crash_ledger_t *l, gint64 now_us)
{
    suspect_t *next = NULL;
    for (GList *i = l->orders.head; i != NULL; i = i->next) {
        suspect_t *s = i->data;
        gboolean due = s->uncertain && now_us - s->probed_us >= PROBE_US;
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
        order_update(l, s, now_us);
    }
    s = next_probe(l, now_us);
    if (s == NULL) {
        return;
    }
    s->probed_us = now_us;
    s->probes++;
    l->probing = s;
    l->probe_end_us = now_us + PROBE_US;
    order_update(l, s, now_us);
}

void
crash_ledger_evaluate(crash_ledger_t *l, gint64 now_us)
{
    expire_ends(l, now_us);
    expire_orders(l, now_us);
    evaluate_due(l, now_us);
    update_probe(l, now_us);
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
        quarantine_order_t order = {
            .fingerprint = s->fingerprint,
            .left_us = s->quarantined_until_us != 0
                           ? MAX(s->quarantined_until_us - now_us, 0)
                           : 0,
            .since_us = now_us - s->since_us,
            .endpoints = g_strdup(s->endpoints != NULL ? s->endpoints : ""),
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
crash_ledger_suspects(const crash_ledger_t *l)
{
    return g_hash_table_size(l->suspects);
}

guint
crash_ledger_ends(const crash_ledger_t *l)
{
    return g_hash_table_size(l->ends);
}
