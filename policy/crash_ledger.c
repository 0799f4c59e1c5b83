#include "carobloom/policy/crash_ledger.h"

enum {
    MS = 1000,
    /* Ends that make a request the cause. One may be chance, and so may two
     * for a caller that asks again at once; each more costs an endpoint and
     * all that runs there. */
    SURE_ENDS = 3,
    /* Two that share so many ends are told apart by the next one only. */
    SHARED_ENDS = 2,
    /* Requests that the ends do not tell apart are held together after so
     * many. With the two trials that follow the cause is sent three
     * times after its third end, which is what sites are willing to bear. */
    TIED_ENDS = 4,
    /* Trials that are cut make it the cause. One may be by chance: 2 of 300
     * histories of the test then ended with another request held. */
    SURE_CUTS = 2,
    /* One of them is tried at a time, for so long: the caller comes again, is
     * answered or cut, and that is known everywhere. */
    TRIAL_US = 3000 * MS,
    /* How much an end counts: half where the request had answered for long,
     * since one that crashes its endpoint does so as it begins. */
    WEIGHT_BEGINNING = 2,
    WEIGHT_LONG = 1,
    /* From when a request is suspect enough until it is judged: for the other
     * entry instances to tell what ran there as well. A tenth of the three
     * seconds after which all are to know. */
    SETTLE_US = 300 * MS,
    /* Bounds of memory: 33,000 suspects of 260 bytes, 8 MB. An end may take in
     * what waited there as well as what its slots held. */
    ENDS_MAX = 128,
    END_REQUESTS_MAX = 256,
    HELD_MAX = 4096,
    SUSPECT_ENDS = 6, /* of one request; the oldest give way */
    NAMED_ENDS = 4,   /* endpoints named in an order */
};

/* An endpoint that ended. */
typedef struct {
    char *key; /* id and start */
    char *endpoint;
    gint64 at_us;
    GArray *fingerprints; /* guint64, of what ran there */
    guint64 cause;        /* the request that is held for it; 0: none yet */
} end_record_t;

typedef struct {
    end_record_t *end;
    run_stage_t stage;
} suspect_end_t;

/* A request that ran on an endpoint that ended. */
typedef struct {
    guint64 fingerprint;
    suspect_end_t ends[SUSPECT_ENDS];
    guint count;
    gint64 ripe_us;      /* when it may be judged; 0: not suspect enough */
    gint64 since_us;     /* its first end */
    gint64 held_us;      /* held until then; 0: not held */
    gint64 probation_us; /* held before: until then one end is enough */
    gboolean doubted;    /* held, but maybe not the cause */
    gboolean confirmed;  /* an endpoint ended under it on trial */
    guint cuts;          /* of trials */
    gint64 tried_us;     /* when it was on trial last, or held */
    guint trials;
    gint64 forget_us; /* an order about it is told until then */
    guint64 changed;  /* the cursor at its last order; 0: none */
    char *endpoints;  /* of the order */
    GList *link;      /* in `orders` */
} suspect_t;

struct crash_ledger {
    gint64 memory_us;
    GHashTable *ends;     /* key -> end_record_t */
    GQueue by_age;        /* end_record_t, the oldest at the head */
    GHashTable *suspects; /* fingerprint -> suspect_t */
    GHashTable *ripe;     /* set of suspect_t that are to be judged */
    GQueue orders;        /* suspect_t, the last changed at the tail */
    guint64 cursor;
    guint held;
    suspect_t *on_trial; /* one that is doubted; or NULL */
    gint64 trial_end_us;
};

void
quarantine_order_clear(gpointer order)
{
    quarantine_order_t *o = order;
    g_free(o->endpoints);
    g_free(o->trial_at);
}

GArray *
quarantine_orders_new(void)
{
    GArray *orders = g_array_new(FALSE, FALSE, sizeof(quarantine_order_t));
    g_array_set_clear_func(orders, quarantine_order_clear);
    return orders;
}

/* ---- life ---- */

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
crash_ledger_create(gint64 memory_us)
{
    crash_ledger_t *l = g_new0(crash_ledger_t, 1);
    l->memory_us = memory_us;
    l->ends = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, end_free);
    l->suspects =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, suspect_free);
    l->ripe = g_hash_table_new(g_direct_hash, g_direct_equal);
    return l;
}

void
crash_ledger_destroy(crash_ledger_t *l)
{
    g_queue_clear(&l->by_age);
    g_queue_clear(&l->orders);
    g_hash_table_unref(l->ripe);
    g_hash_table_unref(l->suspects);
    g_hash_table_unref(l->ends);
    g_free(l);
}

void
crash_ledger_set_memory(crash_ledger_t *l, gint64 memory_us)
{
    l->memory_us = memory_us;
}

/* ---- suspects ---- */

static suspect_t *
suspect_find(const crash_ledger_t *l, guint64 fingerprint)
{
    return g_hash_table_lookup(l->suspects, &fingerprint);
}

static suspect_t *
suspect_need(crash_ledger_t *l, guint64 fingerprint)
{
    suspect_t *s = suspect_find(l, fingerprint);
    if (s == NULL) {
        s = g_new0(suspect_t, 1);
        s->fingerprint = fingerprint;
        g_hash_table_insert(l->suspects, &s->fingerprint, s);
    }
    return s;
}

/* Forgets a request of which nothing is known any more. */
static void
suspect_release(crash_ledger_t *l, suspect_t *s)
{
    if (s->count > 0 || s->link != NULL) {
        return;
    }
    g_hash_table_remove(l->ripe, s);
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

/* Ends that another request is held for do not count. */
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
suspect_limit(const suspect_t *s, gint64 now_us)
{
    return now_us < s->probation_us ? WEIGHT_BEGINNING
                                    : SURE_ENDS * WEIGHT_BEGINNING;
}

static void
suspect_note_ripe(crash_ledger_t *l, suspect_t *s, gint64 now_us)
{
    if (s->held_us == 0 && s->ripe_us == 0 &&
        suspect_weight(s) >= suspect_limit(s, now_us)) {
        s->ripe_us = now_us + SETTLE_US;
        g_hash_table_add(l->ripe, s);
    }
}

/* ---- orders ---- */

static void
order_changed(crash_ledger_t *l, suspect_t *s, gint64 now_us)
{
    s->changed = ++l->cursor;
    s->forget_us = MAX(now_us, s->held_us) + l->memory_us;
    if (s->link != NULL) {
        g_queue_unlink(&l->orders, s->link);
        g_queue_push_tail_link(&l->orders, s->link);
        return;
    }
    g_queue_push_tail(&l->orders, s);
    s->link = l->orders.tail;
}

/* It is the cause, or it is not. */
static void
end_doubt(crash_ledger_t *l, suspect_t *s)
{
    s->doubted = FALSE;
    if (l->on_trial == s) {
        l->on_trial = NULL;
    }
}

static void
release(crash_ledger_t *l, suspect_t *s, gint64 now_us)
{
    s->held_us = 0;
    s->confirmed = FALSE;
    s->cuts = 0;
    l->held--;
    end_doubt(l, s);
    order_changed(l, s, now_us);
}

/* The one whose order was given first makes room. */
static void
make_room(crash_ledger_t *l, gint64 now_us)
{
    for (GList *i = l->orders.head; i != NULL; i = i->next) {
        suspect_t *s = i->data;
        if (s->held_us != 0) {
            release(l, s, now_us);
            return;
        }
    }
}

static void
hold(crash_ledger_t *l, suspect_t *s, gint64 until_us, gint64 now_us)
{
    if (l->held >= HELD_MAX) {
        make_room(l, now_us);
    }
    s->ripe_us = 0;
    s->held_us = until_us;
    s->tried_us = now_us;
    l->held++;
    g_hash_table_remove(l->ripe, s);
    order_changed(l, s, now_us);
}

static char *
endpoint_names(const suspect_t *s)
{
    GString *names = g_string_new(NULL);
    for (guint i = 0; i < MIN(s->count, NAMED_ENDS); i++) {
        g_string_append_printf(names, "%s%s", i > 0 ? "," : "",
                               s->ends[i].end->endpoint);
    }
    return g_string_free(names, FALSE);
}

/* Holds a request and puts its ends down to it. */
static void
convict(crash_ledger_t *l, suspect_t *s, gint64 now_us)
{
    g_free(s->endpoints);
    s->endpoints = endpoint_names(s);
    for (guint i = 0; i < s->count; i++) {
        if (s->ends[i].end->cause == 0) {
            s->ends[i].end->cause = s->fingerprint;
        }
    }
    hold(l, s, now_us + l->memory_us, now_us);
}

/* It was doubted and is the cause: what was doubted with it and was only at
 * its ends is let go. One that is confirmed already stays so: to doubt it anew
 * had the cause sent a fourth time in 9 of 20,000 histories of the test. */
static void
confirm(crash_ledger_t *l, suspect_t *s, gint64 now_us)
{
    end_doubt(l, s);
    s->confirmed = TRUE;
    s->held_us = now_us + l->memory_us;
    order_changed(l, s, now_us);
    for (guint i = 0; i < s->count; i++) {
        s->ends[i].end->cause = s->fingerprint;
    }
    for (guint i = 0; i < s->count; i++) {
        const GArray *there = s->ends[i].end->fingerprints;
        for (guint j = 0; j < there->len; j++) {
            suspect_t *other =
                suspect_find(l, g_array_index(there, guint64, j));
            if (other != NULL && other->doubted &&
                suspect_weight(other) == 0) {
                release(l, other, now_us);
            }
        }
    }
}

/* ---- what is noted ---- */

static void
end_forget(crash_ledger_t *l, end_record_t *end)
{
    for (guint i = 0; i < end->fingerprints->len; i++) {
        suspect_t *s =
            suspect_find(l, g_array_index(end->fingerprints, guint64, i));
        gint index = s != NULL ? suspect_end_index(s, end) : -1;
        if (index >= 0) {
            suspect_drop_end(s, (guint)index);
            suspect_release(l, s);
        }
    }
    g_hash_table_remove(l->ends, end->key);
}

static end_record_t *
end_need(crash_ledger_t *l, const endpoint_end_t *told, gint64 now_us)
{
    char *key = g_strdup_printf("%s/%" G_GINT64_FORMAT, told->endpoint,
                                told->started_ms);
    end_record_t *end = g_hash_table_lookup(l->ends, key);
    if (end != NULL) {
        g_free(key);
        return end;
    }
    if (l->by_age.length >= ENDS_MAX) {
        end_forget(l, g_queue_pop_head(&l->by_age));
    }
    end = g_new0(end_record_t, 1);
    end->key = key;
    end->endpoint = g_strdup(told->endpoint);
    end->at_us = now_us;
    end->fingerprints = g_array_new(FALSE, FALSE, sizeof(guint64));
    g_hash_table_insert(l->ends, end->key, end);
    g_queue_push_tail(&l->by_age, end);
    return end;
}

static void
note_run(crash_ledger_t *l, end_record_t *end, interrupted_run_t run,
         gint64 now_us)
{
    suspect_t *s = suspect_need(l, run.fingerprint);
    gboolean full = end->fingerprints->len >= END_REQUESTS_MAX;
    if (suspect_end_index(s, end) >= 0 || (full && s->count == 0)) {
        suspect_release(l, s);
        return;
    }
    if (s->count == SUSPECT_ENDS) {
        suspect_drop_end(s, 0);
    }
    if (s->count == 0) {
        s->since_us = now_us;
    }
    s->ends[s->count++] = (suspect_end_t){.end = end, .stage = run.stage};
    g_array_append_val(end->fingerprints, run.fingerprint);
    if (s->held_us != 0 && end->cause == 0) {
        end->cause = s->fingerprint; /* sent before all knew, or on trial */
    }
    if (s->doubted && run.stage == RUN_PROBE) {
        s->cuts++;
    }
    if (s->doubted && s->cuts >= SURE_CUTS) {
        confirm(l, s, now_us);
    }
    suspect_note_ripe(l, s, now_us);
}

void
crash_ledger_note_end(crash_ledger_t *l, const endpoint_end_t *told,
                      gint64 now_us)
{
    end_record_t *end = end_need(l, told, now_us);
    for (guint i = 0; i < told->runs->len; i++) {
        interrupted_run_t run =
            g_array_index(told->runs, interrupted_run_t, i);
        if (run.stage == RUN_ANSWERED) {
            crash_ledger_note_answered(l, run.fingerprint, now_us);
            continue;
        }
        note_run(l, end, run, now_us);
    }
}

/* The end has another cause than was thought: the others that were there are
 * to be judged for it. */
static void
end_reopen(crash_ledger_t *l, end_record_t *end, gint64 now_us)
{
    end->cause = 0;
    for (guint i = 0; i < end->fingerprints->len; i++) {
        suspect_t *other =
            suspect_find(l, g_array_index(end->fingerprints, guint64, i));
        if (other != NULL) {
            suspect_note_ripe(l, other, now_us);
        }
    }
}

void
crash_ledger_note_answered(crash_ledger_t *l, guint64 fingerprint,
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
            end_reopen(l, end, now_us);
        }
    }
    s->ripe_us = 0;
    s->probation_us = 0;
    g_hash_table_remove(l->ripe, s);
    if (s->held_us != 0) {
        release(l, s, now_us);
    }
    suspect_release(l, s);
}

void
crash_ledger_restore(crash_ledger_t *l, const quarantine_order_t *order,
                     gint64 now_us)
{
    suspect_t *s = suspect_need(l, order->fingerprint);
    if (s->held_us != 0 || order->left_us <= 0) {
        suspect_release(l, s);
        return;
    }
    g_free(s->endpoints);
    s->endpoints = g_strdup(order->endpoints);
    s->since_us = now_us - order->since_us;
    s->doubted = order->doubted;
    hold(l, s, now_us + MIN(order->left_us, l->memory_us), now_us);
    s->tried_us = now_us - TRIAL_US; /* it has waited before */
}

/* ---- judging ---- */

/* Whether the other is as suspect, and was at so many of the same ends that
 * they do not tell which is the cause. */
static gboolean
is_rival(const suspect_t *s, const suspect_t *other, gint64 now_us)
{
    guint shared = 0;
    if (other == NULL || other == s || other->held_us != 0 ||
        suspect_weight(other) < suspect_weight(s) ||
        suspect_weight(other) < suspect_limit(other, now_us)) {
        return FALSE;
    }
    for (guint i = 0; i < s->count; i++) {
        const end_record_t *end = s->ends[i].end;
        shared += end->cause == 0 && suspect_end_index(other, end) >= 0;
    }
    return shared >= SHARED_ENDS;
}

/* The rivals of a request, at most `most` of them; freed without them. */
static GPtrArray *
rivals_of(const crash_ledger_t *l, const suspect_t *s, guint most,
          gint64 now_us)
{
    GPtrArray *rivals = g_ptr_array_new();
    for (guint i = 0; i < s->count; i++) {
        const end_record_t *end = s->ends[i].end;
        for (guint j = 0; end->cause == 0 && j < end->fingerprints->len; j++) {
            suspect_t *other =
                suspect_find(l, g_array_index(end->fingerprints, guint64, j));
            if (rivals->len < most && is_rival(s, other, now_us) &&
                !g_ptr_array_find(rivals, other, NULL)) {
                g_ptr_array_add(rivals, other);
            }
        }
    }
    return rivals;
}

/* Whether endpoints end that neither this nor a held request is the cause
 * of. */
static gboolean
others_end(const crash_ledger_t *l, const suspect_t *s)
{
    for (const GList *i = l->by_age.head; i != NULL; i = i->next) {
        const end_record_t *end = i->data;
        if (end->cause == 0 && suspect_end_index(s, end) < 0) {
            return TRUE;
        }
    }
    return FALSE;
}

/* A request that crashes endpoints is rare. Where several are held, or
 * endpoints end besides, some were most likely at their three ends by chance:
 * in 59 of 300 histories of the test, while others ended each five seconds.
 * Each is doubted until it was tried. */
static void
doubt_held(crash_ledger_t *l, gint64 now_us)
{
    GList *last = l->orders.tail;
    GList *next;
    for (GList *i = l->orders.head; i != NULL; i = next) {
        suspect_t *s = i->data;
        next = i != last ? i->next : NULL;
        if (s->held_us != 0 && !s->confirmed && !s->doubted) {
            s->doubted = TRUE;
            order_changed(l, s, now_us);
        }
    }
}

/* TRUE when the request was held. */
static gboolean
judge_one(crash_ledger_t *l, suspect_t *s, gint64 now_us)
{
    guint weight = suspect_weight(s);
    if (weight < suspect_limit(s, now_us)) {
        s->ripe_us = 0;
        g_hash_table_remove(l->ripe, s);
        return FALSE;
    }
    gboolean tied_long = weight >= TIED_ENDS * WEIGHT_BEGINNING;
    if (now_us < s->ripe_us && !tied_long) {
        return FALSE;
    }
    /* While it waits, one rival is reason enough: thousands may be tied. */
    GPtrArray *rivals =
        rivals_of(l, s, tied_long ? END_REQUESTS_MAX : 1, now_us);
    gboolean held = rivals->len == 0 || tied_long;
    if (held) {
        g_ptr_array_add(rivals, s);
        for (guint i = 0; i < rivals->len; i++) {
            convict(l, rivals->pdata[i], now_us);
        }
        if (l->held > 1 || others_end(l, s)) {
            doubt_held(l, now_us);
        }
    }
    g_ptr_array_unref(rivals);
    return held;
}

static gint
by_weight(gconstpointer a, gconstpointer b)
{
    guint x = suspect_weight(*(suspect_t *const *)a);
    guint y = suspect_weight(*(suspect_t *const *)b);
    return x > y ? -1 : x < y;
}

/* The most suspect first: what it is found to have caused no longer counts
 * for the others. */
static void
judge_ripe(crash_ledger_t *l, gint64 now_us)
{
    gboolean again = TRUE;
    while (again && g_hash_table_size(l->ripe) > 0) {
        GPtrArray *ripe = g_ptr_array_new();
        GHashTableIter iter;
        gpointer suspect;
        g_hash_table_iter_init(&iter, l->ripe);
        while (g_hash_table_iter_next(&iter, &suspect, NULL)) {
            g_ptr_array_add(ripe, suspect);
        }
        g_ptr_array_sort(ripe, by_weight);
        again = FALSE;
        for (guint i = 0; i < ripe->len && !again; i++) {
            again = judge_one(l, ripe->pdata[i], now_us);
        }
        g_ptr_array_unref(ripe);
    }
}

static void
expire_ends(crash_ledger_t *l, gint64 now_us)
{
    end_record_t *end;
    while ((end = g_queue_peek_head(&l->by_age)) != NULL &&
           now_us - end->at_us > l->memory_us) {
        end_forget(l, g_queue_pop_head(&l->by_age));
    }
}

/* What was held long enough may run again, on trial. */
static void
expire_orders(crash_ledger_t *l, gint64 now_us)
{
    GList *next;
    for (GList *i = l->orders.head; i != NULL; i = next) {
        suspect_t *s = i->data;
        next = i->next;
        if (s->held_us != 0 && now_us >= s->held_us) {
            s->held_us = 0;
            s->probation_us = now_us + l->memory_us;
            s->count = 0;
            l->held--;
            end_doubt(l, s);
        }
        if (s->held_us == 0 && now_us >= s->forget_us) {
            g_queue_delete_link(&l->orders, i);
            s->link = NULL;
            suspect_release(l, s);
        }
    }
}

/* The doubted request that was tried the longest ago, if that is long enough.
 */
static suspect_t *
next_trial(const crash_ledger_t *l, gint64 now_us)
{
    suspect_t *next = NULL;
    for (GList *i = l->orders.head; i != NULL; i = i->next) {
        suspect_t *s = i->data;
        gboolean due = s->doubted && now_us - s->tried_us >= TRIAL_US;
        gboolean first =
            next == NULL || s->tried_us < next->tried_us ||
            (s->tried_us == next->tried_us &&
             s->fingerprint < next->fingerprint); /* alike at all instances */
        if (due && first) {
            next = s;
        }
    }
    return next;
}

/* Ends a trial that brought nothing, and begins the next. */
static void
judge_trials(crash_ledger_t *l, gint64 now_us)
{
    suspect_t *s = l->on_trial;
    if (s != NULL && now_us < l->trial_end_us) {
        return;
    }
    l->on_trial = NULL;
    if (s != NULL) {
        order_changed(l, s, now_us);
    }
    s = next_trial(l, now_us);
    if (s == NULL) {
        return;
    }
    s->tried_us = now_us;
    s->trials++;
    l->on_trial = s;
    l->trial_end_us = now_us + TRIAL_US;
    order_changed(l, s, now_us);
}

void
crash_ledger_judge(crash_ledger_t *l, gint64 now_us)
{
    expire_ends(l, now_us);
    expire_orders(l, now_us);
    judge_ripe(l, now_us);
    judge_trials(l, now_us);
}

/* ---- what is told ---- */

guint64
crash_ledger_cursor(const crash_ledger_t *l)
{
    return l->cursor;
}

GArray *
crash_ledger_since(const crash_ledger_t *l, guint64 *cursor, guint most,
                   gint64 now_us)
{
    GArray *orders = quarantine_orders_new();
    GList *from = l->orders.tail;
    while (from != NULL && from->prev != NULL &&
           ((suspect_t *)from->prev->data)->changed > *cursor) {
        from = from->prev;
    }
    guint64 after = *cursor;
    for (; from != NULL && orders->len < most; from = from->next) {
        const suspect_t *s = from->data;
        if (s->changed <= after) {
            continue;
        }
        quarantine_order_t order = {
            .fingerprint = s->fingerprint,
            .left_us = s->held_us != 0 ? MAX(s->held_us - now_us, 0) : 0,
            .since_us = now_us - s->since_us,
            .endpoints = g_strdup(s->endpoints != NULL ? s->endpoints : ""),
            .doubted = s->doubted,
            .trial = l->on_trial == s ? s->trials : 0,
        };
        g_array_append_val(orders, order);
        *cursor = s->changed;
    }
    if (from == NULL) {
        *cursor = l->cursor; /* of orders that are forgotten, too */
    }
    return orders;
}

guint
crash_ledger_held(const crash_ledger_t *l)
{
    return l->held;
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
