#include "carobloom/policy/crash_ledger.h"

#include "carobloom/policy/fingerprint.h"

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
    /* A part is confirmed as the cause after this many ends without an answer,
     * which are the most that operators accept, and needs no probe then. */
    CONFIRMED_PART_ENDS = 5,
    /* A part whose ends include those of a quarantined request needs this many
     * ends besides: one may be coincidence. A suspect that explains so many
     * more ends than a narrower one is the cause, otherwise the narrower one.
     */
    PART_FURTHER_ENDS_MIN = 2,
    /* Parts that share their ends with more others than this are not singled
     * out, and wait for the next end. */
    PART_RIVALS_MAX = 4,
    /* Parts at this many ends are watched. */
    WATCH_ENDS_MIN = 2,
    WATCHED_MAX = 256,
    /* A quarantined part that is not uncertain is probed again after this
     * time, and after twice the time for each such probe that failed:
     * endpoints may have been mended. No more probes may fail than these:
     * operators accept three sends, and one may be under way. */
    RECHECK_US = 30000 * US_PER_MS,
    PART_PROBES_MAX = 2,
    /* Weight of an end: half if the response had been streaming for long,
     * because a request that crashes its endpoint does so as it begins. */
    WEIGHT_BEGINNING = 2,
    WEIGHT_LONG = 1,
    /* Delay between reaching the threshold and the evaluation, in which the
     * other entry instances report what ran there as well. A tenth of the
     * three seconds within which all instances must know the result. */
    EVALUATION_DELAY_US = 300 * US_PER_MS,
    /* Memory bounds: 64,000 suspects of 300 bytes, 20 MB. The requests of an
     * end may include those that waited as well as those in slots. */
    SUSPECTS_MAX = 65536,
    ENDS_MAX = 128,
    END_REQUESTS_MAX = 256,
    END_PARTS_MAX = 1024,
    QUARANTINED_MAX = 4096,
    SUSPECT_ENDS_MIN = 2,    /* allocated */
    SUSPECT_ENDS_MAX = 32,   /* per suspect; the oldest are dropped */
    ORDER_ENDPOINTS_MAX = 4, /* endpoints listed in an order */
};

/* A request with prompt parts that ran on an endpoint as it ended. */
typedef struct {
    guint64 request;
    GArray *parts; /* guint64, fingerprints in the order of the prompt */
} end_run_t;

/* The end of an endpoint. */
typedef struct {
    char *key; /* id and incarnation */
    char *endpoint;
    char *service;
    gint64 recorded_us;
    GArray *fingerprints; /* guint64, of the suspects that ran there */
    guint requests;       /* how many of these are requests */
    GArray *runs;         /* end_run_t */
    guint64 cause;        /* suspect quarantined as its cause; 0: none yet */
} end_record_t;

typedef struct {
    end_record_t *end;
    run_stage_t stage;
} suspect_end_t;

typedef enum {
    PUBLISHED_NOTHING,
    PUBLISHED_WATCH,
    PUBLISHED_QUARANTINE, /* or its release */
} published_t;

/* A request that ran on an endpoint as it ended, or a part of one. */
typedef struct {
    guint64 fingerprint;
    char *service; /* of a part, NULL: a request; a ref-counted string */
    guint64 part;
    published_t published;
    gint64 watched_until_us;
    gboolean was_quarantined; /* before it was watched */
    suspect_end_t *ends;
    guint count;
    guint capacity;  /* of `ends` */
    gint64 due_us;   /* when it is evaluated; 0: below the threshold */
    gint64 since_us; /* time of its first end */
    gint64 quarantined_until_us; /* 0: not quarantined */
    gint64 probation_until_us;   /* after a quarantine, one end is enough */
    gboolean uncertain;          /* quarantined, but may not be the cause */
    gboolean confirmed;          /* by probes during which endpoints ended */
    guint failed_probes;         /* probes during which an endpoint ended */
    guint failed_rechecks;       /* of these, while it was not uncertain */
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
    guint quarantined_parts;
    guint watched;
    suspect_t *probing; /* uncertain suspect being probed, or NULL */
    gint64 probe_end_us;
};

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

static void
suspect_add_end(suspect_t *s, suspect_end_t end)
{
    if (s->count == SUSPECT_ENDS_MAX) {
        suspect_drop_end(s, 0);
    }
    if (s->count == s->capacity) {
        s->capacity = MAX(2 * s->capacity, SUSPECT_ENDS_MIN);
        s->ends = g_renew(suspect_end_t, s->ends, s->capacity);
    }
    s->ends[s->count++] = end;
}

static gboolean
suspect_is_part(const suspect_t *s)
{
    return s->service != NULL;
}

static gboolean
end_run_has(const end_run_t *run, guint64 fingerprint)
{
    if (run->request == fingerprint) {
        return TRUE;
    }
    for (guint i = 0; i < run->parts->len; i++) {
        if (g_array_index(run->parts, guint64, i) == fingerprint) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Returns whether one request at the end was or had both. */
static gboolean
end_has_run_of_both(const end_record_t *end, guint64 a, guint64 b)
{
    for (guint i = 0; i < end->runs->len; i++) {
        const end_run_t *run = &g_array_index(end->runs, end_run_t, i);
        if (end_run_has(run, a) && end_run_has(run, b)) {
            return TRUE;
        }
    }
    return FALSE;
}

static guint
end_weight(const suspect_end_t *e)
{
    return e->stage == RUN_LONG ? WEIGHT_LONG : WEIGHT_BEGINNING;
}

/* Weight of the ends without another cause. */
static guint
suspect_own_weight(const suspect_t *s)
{
    guint weight = 0;
    for (guint i = 0; i < s->count; i++) {
        guint64 cause = s->ends[i].end->cause;
        if (cause == 0 || cause == s->fingerprint) {
            weight += end_weight(&s->ends[i]);
        }
    }
    return weight;
}

/* Weight of the ends that the suspect explains: those without another cause,
 * and for a part also those whose cause ran with it. */
static guint
suspect_weight(const suspect_t *s)
{
    guint weight = suspect_own_weight(s);
    for (guint i = 0; suspect_is_part(s) && i < s->count; i++) {
        const end_record_t *end = s->ends[i].end;
        if (end->cause != 0 && end->cause != s->fingerprint &&
            end_has_run_of_both(end, s->fingerprint, end->cause)) {
            weight += end_weight(&s->ends[i]);
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

static gboolean
suspect_is_over_threshold(const suspect_t *s, gint64 now_us)
{
    enum { FURTHER = PART_FURTHER_ENDS_MIN * WEIGHT_BEGINNING };
    guint threshold = suspect_threshold(s, now_us);
    return suspect_weight(s) >= threshold &&
           suspect_own_weight(s) >= MIN(threshold, FURTHER);
}

/* Returns whether another uncertain suspect ran at so many of the same ends
 * that only probes can tell which is the cause. */
static gboolean
suspect_is_contested(const crash_ledger_t *l, const suspect_t *s)
{
    for (const GList *i = l->orders.head; i != NULL; i = i->next) {
        const suspect_t *other = i->data;
        guint shared = 0;
        if (other == s || !other->uncertain) {
            continue;
        }
        for (guint k = 0; k < s->count; k++) {
            shared += suspect_end_index(other, s->ends[k].end) >= 0;
        }
        if (shared >= RIVAL_SHARED_ENDS_MIN) {
            return TRUE;
        }
    }
    return FALSE;
}

static gboolean
suspect_is_confirmed_by_ends(const crash_ledger_t *l, const suspect_t *s)
{
    return suspect_is_part(s) &&
           suspect_weight(s) >= CONFIRMED_PART_ENDS * WEIGHT_BEGINNING &&
           !suspect_is_contested(l, s);
}

static void
suspect_schedule_evaluation(crash_ledger_t *l, suspect_t *s, gint64 now_us)
{
    if (s->quarantined_until_us == 0 && s->due_us == 0 &&
        suspect_is_over_threshold(s, now_us)) {
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

/* Publishes that a part is watched, as long as its ends are kept. */
static void
watch(crash_ledger_t *l, suspect_t *s, gint64 now_us)
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
    order_update(l, s, now_us);
}

/* Publishes that a part is no longer watched. */
static void
end_watch(crash_ledger_t *l, suspect_t *s, gint64 now_us)
{
    if (s->published == PUBLISHED_WATCH) {
        s->watched_until_us = now_us;
        order_update(l, s, now_us);
    }
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
    s->failed_rechecks = 0;
    l->quarantined--;
    l->quarantined_parts -= suspect_is_part(s);
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
    l->watched -= s->published == PUBLISHED_WATCH;
    s->published = PUBLISHED_QUARANTINE;
    s->due_us = 0;
    s->quarantined_until_us = until_us;
    s->probed_us = now_us;
    l->quarantined++;
    l->quarantined_parts += suspect_is_part(s);
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
        lift_quarantine(l, request, now_us);
    }
}

/* Quarantines a suspect and records it as the cause of its ends. */
static void
quarantine_as_cause(crash_ledger_t *l, suspect_t *s, gint64 now_us)
{
    g_free(s->endpoints);
    s->endpoints = endpoint_list(s);
    for (guint i = 0; i < s->count; i++) {
        end_record_t *end = s->ends[i].end;
        if (end->cause == 0) {
            end->cause = s->fingerprint;
        }
        else if (suspect_is_part(s)) {
            take_over_end(l, s, end, now_us);
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
                suspect_own_weight(other) == 0) {
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
        confirm_cause(l, s, now_us);
    }
    if (suspect_is_part(s) &&
        suspect_weight(s) >= WATCH_ENDS_MIN * WEIGHT_BEGINNING) {
        watch(l, s, now_us);
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
        lift_quarantine(l, s, now_us);
    }
    end_watch(l, s, now_us);
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
    quarantine(l, s, now_us + MIN(order->left_us, l->retention_us), now_us);
    if (s->uncertain) {
        s->probed_us = now_us - PROBE_US; /* due for a probe at once */
    }
}

/* ---- evaluation ---- */

/* Returns whether at all ends that both share a request was or had both. */
static gboolean
runs_with(const suspect_t *s, const suspect_t *other)
{
    for (guint i = 0; i < s->count; i++) {
        const end_record_t *end = s->ends[i].end;
        if (end->cause == 0 && suspect_end_index(other, end) >= 0 &&
            !end_has_run_of_both(end, s->fingerprint, other->fingerprint)) {
            return FALSE;
        }
    }
    return TRUE;
}

/* Returns whether `other` has at least the weight of `s`, or `slack` less, and
 * shares so many ends with it that the cause can't be determined. */
static gboolean
is_rival(const suspect_t *s, const suspect_t *other, guint slack,
         gint64 now_us)
{
    guint shared = 0;
    if (other == NULL || other == s || other->quarantined_until_us != 0 ||
        suspect_weight(other) + slack < suspect_weight(s) ||
        !suspect_is_over_threshold(other, now_us) || runs_with(s, other)) {
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
          guint slack, gint64 now_us)
{
    GPtrArray *rivals = g_ptr_array_new();
    for (guint i = 0; i < s->count; i++) {
        const end_record_t *end = s->ends[i].end;
        for (guint j = 0; end->cause == 0 && j < end->fingerprints->len; j++) {
            suspect_t *other =
                suspect_find(l, g_array_index(end->fingerprints, guint64, j));
            if (rivals->len < max_count && is_rival(s, other, slack, now_us) &&
                !g_ptr_array_find(rivals, other, NULL)) {
                g_ptr_array_add(rivals, other);
            }
        }
    }
    return rivals;
}

/* Adds the suspects that explain one end less than `s`: one end may be a
 * coincidence. Adds none if there are many. */
static void
add_near_rivals(const crash_ledger_t *l, const suspect_t *s, GPtrArray *rivals,
                gint64 now_us)
{
    GPtrArray *near =
        rivals_of(l, s, PART_RIVALS_MAX + 1, WEIGHT_BEGINNING, now_us);
    for (guint i = 0; near->len <= PART_RIVALS_MAX && i < near->len; i++) {
        if (suspect_is_part(near->pdata[i]) &&
            !g_ptr_array_find(rivals, near->pdata[i], NULL)) {
            g_ptr_array_add(rivals, near->pdata[i]);
        }
    }
    g_ptr_array_unref(near);
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

/* Returns whether `other` is the cause rather than the part `s` that it always
 * runs with: it explains about as many ends. */
static gboolean
is_preferred(const suspect_t *s, const suspect_t *other, gint64 now_us)
{
    enum { FURTHER = PART_FURTHER_ENDS_MIN * WEIGHT_BEGINNING };
    return other != NULL && other->quarantined_until_us == 0 &&
           suspect_weight(s) < suspect_weight(other) + FURTHER &&
           suspect_is_over_threshold(other, now_us) && runs_with(s, other);
}

/* Returns the suspect narrower than the part `s` that is preferred in one of
 * its runs: the request, or a part further back in the prompt, the last one
 * first. NULL: none. */
static suspect_t *
preferred_in_run(const crash_ledger_t *l, const suspect_t *s,
                 const end_run_t *run, gint64 now_us)
{
    suspect_t *request = suspect_find(l, run->request);
    if (!end_run_has(run, s->fingerprint)) {
        return NULL;
    }
    if (is_preferred(s, request, now_us)) {
        return request;
    }
    for (guint i = run->parts->len; i > 0; i--) {
        suspect_t *part =
            suspect_find(l, g_array_index(run->parts, guint64, i - 1));
        if (part == s) {
            return NULL;
        }
        if (is_preferred(s, part, now_us)) {
            return part;
        }
    }
    return NULL;
}

/* Returns the narrower suspect that is the cause rather than the part `s`, or
 * `s`. */
static suspect_t *
narrowest(const crash_ledger_t *l, suspect_t *s, gint64 now_us)
{
    for (guint i = 0; suspect_is_part(s) && i < s->count; i++) {
        const end_record_t *end = s->ends[i].end;
        for (guint k = 0; end->cause == 0 && k < end->runs->len; k++) {
            suspect_t *narrower = preferred_in_run(
                l, s, &g_array_index(end->runs, end_run_t, k), now_us);
            if (narrower != NULL) {
                return narrower;
            }
        }
    }
    return s;
}

/* Replaces each part in a list of suspects by the narrower suspect that is the
 * cause rather than it. */
static void
prefer_narrowest(const crash_ledger_t *l, GPtrArray *suspects, gint64 now_us)
{
    for (guint i = suspects->len; i > 0; i--) {
        suspect_t *s = suspects->pdata[i - 1];
        suspect_t *narrower = narrowest(l, s, now_us);
        if (narrower != s) {
            g_ptr_array_remove_index(suspects, i - 1);
        }
        if (narrower != s && !g_ptr_array_find(suspects, narrower, NULL)) {
            g_ptr_array_add(suspects, narrower);
        }
    }
}

/* Removes parts from a list of suspects. */
static void
remove_parts(GPtrArray *suspects)
{
    for (guint i = suspects->len; i > 0; i--) {
        if (suspect_is_part(suspects->pdata[i - 1])) {
            g_ptr_array_remove_index(suspects, i - 1);
        }
    }
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

static void
quarantine_with_rivals(crash_ledger_t *l, suspect_t *s, GPtrArray *rivals,
                       gint64 now_us)
{
    s->confirmed |= rivals->len == 0 && suspect_is_confirmed_by_ends(l, s);
    prefer_narrowest(l, rivals, now_us);
    g_ptr_array_add(rivals, s);
    for (guint i = 0; i < rivals->len; i++) {
        quarantine_as_cause(l, rivals->pdata[i], now_us);
    }
    if (l->quarantined > 1 || has_unexplained_ends(l, s)) {
        mark_quarantined_uncertain(l, now_us);
    }
}

/* Returns TRUE if the request was quarantined. */
static gboolean
evaluate_suspect(crash_ledger_t *l, suspect_t *s, gint64 now_us)
{
    if (!suspect_is_over_threshold(s, now_us)) {
        s->due_us = 0;
        g_hash_table_remove(l->due, s);
        return FALSE;
    }
    gboolean quarantine_rivals =
        suspect_weight(s) >= RIVALS_QUARANTINE_ENDS_MIN * WEIGHT_BEGINNING;
    if (now_us < s->due_us && !quarantine_rivals) {
        return FALSE;
    }
    s = narrowest(l, s, now_us);
    /* One rival is enough to postpone a decision, and there may be thousands.
     */
    GPtrArray *rivals =
        rivals_of(l, s, quarantine_rivals ? END_REQUESTS_MAX : 1, 0, now_us);
    gboolean many = rivals->len > PART_RIVALS_MAX;
    gboolean quarantined = rivals->len == 0 || (quarantine_rivals &&
                                                !(suspect_is_part(s) && many));
    if (many) {
        remove_parts(rivals);
    }
    else if (quarantined && quarantine_rivals) {
        add_near_rivals(l, s, rivals, now_us);
    }
    if (quarantined) {
        quarantine_with_rivals(l, s, rivals, now_us);
    }
    g_ptr_array_unref(rivals);
    return quarantined;
}

/* The highest weight first; of the same weight, requests before parts. The
 * same at all control instances with the same ends. */
static gint
by_weight(gconstpointer a, gconstpointer b)
{
    const suspect_t *s = *(suspect_t *const *)a;
    const suspect_t *other = *(suspect_t *const *)b;
    guint x = suspect_weight(s);
    guint y = suspect_weight(other);
    if (x != y) {
        return x > y ? -1 : 1;
    }
    if (suspect_is_part(s) != suspect_is_part(other)) {
        return suspect_is_part(s) ? 1 : -1;
    }
    return s->fingerprint < other->fingerprint ? -1 : 1;
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
            l->quarantined_parts -= suspect_is_part(s);
            clear_uncertain(l, s);
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
                watched ? endpoint_list(s)
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
