#include "carobloom/policy/slot_quota.h"

#include "carobloom/policy/instance_count.h"

enum {
    MS = 1000,
    REPORT_US_MIN = 2000,
    REPORT_US_PER_INSTANCE = 1000,
    POLL_MS_MIN = 1000,
    POLL_US_PER_INSTANCE = 3000,
    /* Slots held outlive two lost polls. */
    LIFETIME_POLLS = 3,
    /* Requests of an instance that started again may still run. */
    ORPHAN_US = 500 * MS,
    /* Instances return unused slots at once for this time after a request
     * found none. */
    SCARCE_US = 1000 * MS,
    /* An endpoint that nobody named for so long has ended, or is of a service
     * that is not brittle any more. */
    ENDPOINT_TIMEOUT_US = 10 * 1000 * MS,
    /* Nobody is granted slots of an endpoint that was not named for so long,
     * unless they ask for it. */
    ENDPOINT_NAMED_US = 5000 * MS,
    AVOIDED_US = 1000 * MS,
    REPORTING_US = 1000 * MS,
    SPARE_KEPT_MAX_US = 10 * 1000 * MS,
};

/* Below this a single request too many may fell an endpoint: one slot more is
 * left free. */
static const double REFUSALS_FEW = 2;

/* ---- types ---- */

typedef struct member member_t;

typedef struct {
    guint64 endpoint;
    guint64 service;
    guint slots;
    guint taken; /* by all members, orphans included */
    /* Slots left free because the endpoint turned requests away: something
     * that is not counted runs there. */
    guint spare;
    gint64 spare_us; /* when that last changed */
    gint64 named_us; /* when a member last named it */
    guint64 refused; /* total */
} endpoint_slots_t;

typedef struct {
    guint64 service;
    GPtrArray *endpoints;     /* endpoint_slots_t, owned by the quota */
    GQueue wants[SLOT_RANKS]; /* pending_want_t, the oldest first */
    double refusals_per_s;    /* allowed */
    gint64 marked_us;         /* when a member last said that it is brittle */
    gint64 scarce_until_us;
    guint scarce_rank;
} service_slots_t;

typedef struct {
    member_t *member;
    service_slots_t *service;
    endpoint_slots_t *endpoint; /* the best one for it */
    guint rank;
    gint64 since_us;
    gint64 until_us;
} pending_want_t;

struct member {
    char *name;
    guint64 incarnation;
    guint64 report_sequence;
    guint64 poll_sequence;
    gint64 seen_us;
    gint64 reported_us;  /* last report with a change */
    GHashTable *held;    /* endpoint -> number of slots */
    GHashTable *avoided; /* endpoint -> gint64, until when; see
                            slot_holding_t */
    GPtrArray *wants;    /* pending_want_t */
    gboolean is_polling;
    gboolean has_news;
    GArray *outbox;       /* slot_grant_t, to be collected */
    GArray *batch;        /* the same, sent and not known to be applied */
    guint32 batch_number; /* of the last batch */
    guint32 applied;      /* the last batch that it is known to have applied */
};

/* Slots of an instance that started again. */
typedef struct {
    guint64 endpoint;
    guint count;
    gint64 until_us;
} orphan_t;

struct slot_quota {
    gint64 started_us;
    gboolean is_granting;
    GHashTable *members;   /* name -> member_t */
    GHashTable *endpoints; /* endpoint -> endpoint_slots_t */
    GHashTable *services;  /* service -> service_slots_t */
    GArray *orphans;       /* orphan_t */
    GQueue ready;          /* member_t that have news and poll */
    instance_count_t instances;
    guint reporting;      /* members that reported of late */
    gboolean is_assigned; /* nothing changed since slots were assigned */
};

slot_pace_t
slot_pace(guint instances, guint reporting)
{
    slot_pace_t pace = {
        .report_us =
            MAX(reporting * REPORT_US_PER_INSTANCE, (guint)REPORT_US_MIN),
        .poll_ms =
            MAX(instances * POLL_US_PER_INSTANCE / MS, (guint)POLL_MS_MIN),
    };
    pace.lifetime_ms = pace.poll_ms * LIFETIME_POLLS;
    return pace;
}

slot_pace_t
slot_quota_pace(const slot_quota_t *q)
{
    return slot_pace(instance_count_get(&q->instances), q->reporting);
}

static gint64
lifetime_us(const slot_quota_t *q)
{
    return slot_quota_pace(q).lifetime_ms * (gint64)MS;
}

/* ---- endpoints and services ---- */

static service_slots_t *
service_find_or_create(slot_quota_t *q, guint64 service)
{
    service_slots_t *s = g_hash_table_lookup(q->services, &service);
    if (s == NULL) {
        s = g_new0(service_slots_t, 1);
        s->service = service;
        s->endpoints = g_ptr_array_new();
        g_hash_table_insert(q->services, &s->service, s);
    }
    return s;
}

static void
service_free(gpointer data)
{
    service_slots_t *s = data;
    g_ptr_array_unref(s->endpoints);
    g_free(s);
}

/* `named_us` is 0 if the member does not say that requests can be sent
 * there. */
static endpoint_slots_t *
endpoint_find_or_create(slot_quota_t *q, guint64 endpoint, guint64 service,
                        guint slots, gint64 named_us)
{
    endpoint_slots_t *e = g_hash_table_lookup(q->endpoints, &endpoint);
    if (e == NULL) {
        e = g_new0(endpoint_slots_t, 1);
        e->endpoint = endpoint;
        e->service = service;
        g_hash_table_insert(q->endpoints, &e->endpoint, e);
        g_ptr_array_add(service_find_or_create(q, service)->endpoints, e);
    }
    if (named_us != 0) {
        e->slots = slots;
        e->named_us = named_us;
    }
    return e;
}

/* An instance without a grantor takes an even share of the slots, so the
 * shares of those that are not in touch with this grantor are left free. */
static guint
reserved_slots(const slot_quota_t *q, const endpoint_slots_t *e)
{
    guint instances = instance_count_get(&q->instances);
    guint members = g_hash_table_size(q->members);
    guint missing = instances - MIN(instances, members);
    return missing * (e->slots / instances);
}

static guint
free_slots(const slot_quota_t *q, const service_slots_t *s,
           const endpoint_slots_t *e)
{
    guint used = e->taken + e->spare + reserved_slots(q, e);
    used += s->refusals_per_s < REFUSALS_FEW && e->slots > 1;
    return e->slots - MIN(e->slots, used);
}

static gboolean
member_avoids(const member_t *m, const endpoint_slots_t *e, gint64 now_us)
{
    const gint64 *until_us = g_hash_table_lookup(m->avoided, &e->endpoint);
    return until_us != NULL && now_us < *until_us;
}

static void
member_record_avoided(member_t *m, guint64 endpoint, gint64 now_us)
{
    gint64 until_us = now_us + AVOIDED_US;
    g_hash_table_insert(m->avoided, g_memdup2(&endpoint, sizeof(endpoint)),
                        g_memdup2(&until_us, sizeof(until_us)));
}

/* The endpoint that was asked for if it has a free slot, else the one with the
 * largest fraction of free slots. */
static endpoint_slots_t *
choose_endpoint(const slot_quota_t *q, const pending_want_t *w, gint64 now_us)
{
    const service_slots_t *s = w->service;
    endpoint_slots_t *best = NULL;
    double best_fraction = 0;
    if (free_slots(q, s, w->endpoint) > 0) {
        return w->endpoint;
    }
    for (guint i = 0; i < s->endpoints->len; i++) {
        endpoint_slots_t *e = s->endpoints->pdata[i];
        double fraction = (double)free_slots(q, s, e) / MAX(e->slots, 1);
        if (fraction > best_fraction &&
            now_us - e->named_us < ENDPOINT_NAMED_US &&
            !member_avoids(w->member, e, now_us)) {
            best = e;
            best_fraction = fraction;
        }
    }
    return best;
}

static void
record_refused(endpoint_slots_t *e, guint refused, gint64 now_us)
{
    if (refused > 0) {
        guint max = MAX(e->slots, 1) - 1;
        e->spare = MIN(e->spare + refused, max);
        e->spare_us = now_us;
        e->refused += refused;
    }
}

/* ---- members ---- */

static guint
held_get(const member_t *m, guint64 endpoint)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(m->held, &endpoint));
}

static void
held_set(slot_quota_t *q, member_t *m, guint64 endpoint, guint count)
{
    endpoint_slots_t *e = g_hash_table_lookup(q->endpoints, &endpoint);
    guint before = held_get(m, endpoint);
    if (e == NULL || before == count) {
        return;
    }
    e->taken = e->taken - before + count;
    q->is_assigned = FALSE;
    if (count == 0) {
        g_hash_table_remove(m->held, &endpoint);
    }
    else {
        g_hash_table_insert(m->held, g_memdup2(&endpoint, sizeof(endpoint)),
                            GUINT_TO_POINTER(count));
    }
}

static void
grants_void(slot_quota_t *q, GArray *grants)
{
    for (guint i = 0; i < grants->len; i++) {
        const slot_grant_t *g = &g_array_index(grants, slot_grant_t, i);
        endpoint_slots_t *e = g_hash_table_lookup(q->endpoints, &g->endpoint);
        if (e != NULL) {
            e->taken -= g->count;
        }
    }
    q->is_assigned = q->is_assigned && grants->len == 0;
    g_array_set_size(grants, 0);
}

static void
want_remove(pending_want_t *w)
{
    g_queue_remove(&w->service->wants[w->rank], w);
    g_free(w);
}

static void
wants_clear(member_t *m)
{
    for (guint i = 0; i < m->wants->len; i++) {
        want_remove(m->wants->pdata[i]);
    }
    g_ptr_array_set_size(m->wants, 0);
}

/* Frees all slots of a member, or keeps them as those of an orphan for a
 * while. */
static void
member_release(slot_quota_t *q, member_t *m, gint64 orphans_until_us)
{
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    wants_clear(m);
    grants_void(q, m->outbox);
    grants_void(q, m->batch);
    g_hash_table_iter_init(&iter, m->held);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        endpoint_slots_t *e = g_hash_table_lookup(q->endpoints, key);
        orphan_t orphan = {.endpoint = *(guint64 *)key,
                           .count = GPOINTER_TO_UINT(value),
                           .until_us = orphans_until_us};
        if (orphans_until_us != 0) {
            g_array_append_val(q->orphans, orphan);
        }
        else if (e != NULL) {
            e->taken -= orphan.count;
        }
    }
    g_hash_table_remove_all(m->held);
    q->is_assigned = FALSE;
}

static void
member_free(gpointer data)
{
    member_t *m = data;
    g_hash_table_unref(m->held);
    g_hash_table_unref(m->avoided);
    g_ptr_array_unref(m->wants);
    g_array_unref(m->outbox);
    g_array_unref(m->batch);
    g_free(m->name);
    g_free(m);
}

static member_t *
member_create(slot_quota_t *q, const slot_requester_t *requester)
{
    member_t *m = g_new0(member_t, 1);
    m->name = g_strdup(requester->name);
    m->incarnation = requester->incarnation;
    m->applied = requester->applied;
    m->batch_number = requester->applied;
    m->held = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    m->avoided =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    m->wants = g_ptr_array_new();
    m->outbox = g_array_new(FALSE, FALSE, sizeof(slot_grant_t));
    m->batch = g_array_new(FALSE, FALSE, sizeof(slot_grant_t));
    g_hash_table_insert(q->members, m->name, m);
    q->is_assigned = FALSE;
    return m;
}

static void
member_set_ready(slot_quota_t *q, member_t *m)
{
    m->has_news = TRUE;
    if (m->is_polling && g_queue_find(&q->ready, m) == NULL) {
        g_queue_push_tail(&q->ready, m);
    }
}

/* Counts the grants of a batch that was applied as held. */
static void
member_apply_batch(slot_quota_t *q, member_t *m)
{
    GArray *batch = m->batch;
    m->batch = g_array_new(FALSE, FALSE, sizeof(slot_grant_t));
    for (guint i = 0; i < batch->len; i++) {
        const slot_grant_t *g = &g_array_index(batch, slot_grant_t, i);
        endpoint_slots_t *e = g_hash_table_lookup(q->endpoints, &g->endpoint);
        if (e != NULL) {
            e->taken -= g->count;
            held_set(q, m, g->endpoint, held_get(m, g->endpoint) + g->count);
        }
    }
    m->applied = m->batch_number;
    g_array_unref(batch);
}

static void
member_acknowledge(slot_quota_t *q, member_t *m, guint32 applied)
{
    if (m->batch->len > 0 && applied >= m->batch_number) {
        member_apply_batch(q, m);
    }
}

/* ---- when grants begin ---- */

/* A grantor that has just begun does not know what is held. It grants when it
 * has heard of all instances, or when what was granted before it has
 * expired. */
static void
update_granting(slot_quota_t *q, gint64 now_us)
{
    if (q->is_granting) {
        return;
    }
    guint members = g_hash_table_size(q->members);
    q->is_granting =
        now_us - q->started_us >= lifetime_us(q) ||
        (members > 0 && members >= instance_count_get(&q->instances));
    q->is_assigned = q->is_assigned && !q->is_granting;
}

/* ---- reports ---- */

static void
report_marks(slot_quota_t *q, const GArray *marks, gint64 now_us)
{
    for (guint i = 0; i < marks->len; i++) {
        const slot_mark_t *mark = &g_array_index(marks, slot_mark_t, i);
        service_slots_t *s = service_find_or_create(q, mark->service);
        s->refusals_per_s = mark->refusals_per_s;
        s->marked_us = now_us;
    }
}

static void
report_holdings(slot_quota_t *q, member_t *m, const slot_report_t *report,
                gint64 now_us)
{
    if (report->is_full) {
        GHashTableIter iter;
        gpointer key;
        g_hash_table_iter_init(&iter, m->held);
        GArray *endpoints = g_array_new(FALSE, FALSE, sizeof(guint64));
        while (g_hash_table_iter_next(&iter, &key, NULL)) {
            g_array_append_vals(endpoints, key, 1);
        }
        for (guint i = 0; i < endpoints->len; i++) {
            held_set(q, m, g_array_index(endpoints, guint64, i), 0);
        }
        g_array_unref(endpoints);
    }
    for (guint i = 0; i < report->holdings->len; i++) {
        const slot_holding_t *h =
            &g_array_index(report->holdings, slot_holding_t, i);
        endpoint_slots_t *e = endpoint_find_or_create(
            q, h->endpoint, h->service, h->slots, h->is_avoided ? 0 : now_us);
        if (h->is_avoided) {
            member_record_avoided(m, h->endpoint, now_us);
        }
        record_refused(e, h->refused, now_us);
        held_set(q, m, h->endpoint, h->held);
    }
}

/* Slots of a service that are granted, and not known to be applied. */
static guint
count_in_flight(const slot_quota_t *q, const GArray *grants, guint64 service)
{
    guint count = 0;
    for (guint i = 0; i < grants->len; i++) {
        const slot_grant_t *g = &g_array_index(grants, slot_grant_t, i);
        const endpoint_slots_t *e =
            g_hash_table_lookup(q->endpoints, &g->endpoint);
        count += e != NULL && e->service == service ? g->count : 0;
    }
    return count;
}

/* Adds a want behind those of the same rank that are as old. */
static void
want_add(slot_quota_t *q, member_t *m, const slot_want_t *want, gint64 now_us)
{
    pending_want_t *w = g_new0(pending_want_t, 1);
    *w = (pending_want_t){
        .member = m,
        .service = service_find_or_create(q, want->service),
        .endpoint = endpoint_find_or_create(q, want->endpoint, want->service,
                                            want->slots, now_us),
        .rank = MIN(want->rank, (guint)SLOT_RANKS - 1),
        .since_us = now_us - want->age_ms * (gint64)MS,
        .until_us = now_us + want->left_ms * (gint64)MS,
    };
    GQueue *queue = &w->service->wants[w->rank];
    GList *after = queue->tail;
    while (after != NULL &&
           ((pending_want_t *)after->data)->since_us > w->since_us) {
        after = after->prev;
    }
    if (after == NULL) {
        g_queue_push_head(queue, w);
    }
    else {
        g_queue_insert_after(queue, after, w);
    }
    g_ptr_array_add(m->wants, w);
}

/* Replaces the wants of a member. Its grants that are on the way are for the
 * first ones of each service. */
static void
report_wants(slot_quota_t *q, member_t *m, const GArray *wants, gint64 now_us)
{
    wants_clear(m);
    for (guint i = 0; i < wants->len; i++) {
        const slot_want_t *want = &g_array_index(wants, slot_want_t, i);
        guint before = 0; /* of the same service */
        for (guint k = 0; k < i; k++) {
            before +=
                g_array_index(wants, slot_want_t, k).service == want->service;
        }
        if (before >= count_in_flight(q, m->batch, want->service)) {
            want_add(q, m, want, now_us);
        }
    }
    q->is_assigned = q->is_assigned && m->wants->len == 0;
}

/* Finds the member that sent a message. A new incarnation holds nothing, and
 * what the previous one held may be in use for a while. */
static member_t *
member_of(slot_quota_t *q, const slot_requester_t *requester, gint64 now_us)
{
    member_t *m = g_hash_table_lookup(q->members, requester->name);
    instance_count_record(&q->instances, requester->instances, now_us);
    if (m != NULL && m->incarnation != requester->incarnation) {
        member_release(q, m, now_us + ORPHAN_US);
        g_queue_remove(&q->ready, m);
        g_hash_table_remove(q->members, m->name);
        m = NULL;
    }
    return m;
}

gboolean
slot_quota_report(slot_quota_t *q, const slot_requester_t *requester,
                  const slot_report_t *report, gint64 now_us)
{
    member_t *m = member_of(q, requester, now_us);
    if (m == NULL) {
        if (!report->is_full) {
            return FALSE;
        }
        m = member_create(q, requester);
    }
    if (requester->sequence <= m->report_sequence) {
        return FALSE;
    }
    m->report_sequence = requester->sequence;
    m->seen_us = now_us;
    if (report->holdings->len > 0 || report->wants->len > 0) {
        m->reported_us = now_us;
    }
    member_acknowledge(q, m, requester->applied);
    if (requester->applied < m->applied) {
        /* Sent before a batch that a poll has acknowledged. */
        return FALSE;
    }
    report_marks(q, report->marks, now_us);
    report_holdings(q, m, report, now_us);
    report_wants(q, m, report->wants, now_us);
    update_granting(q, now_us);
    return TRUE;
}

gboolean
slot_quota_poll(slot_quota_t *q, const slot_requester_t *requester,
                gint64 now_us)
{
    member_t *m = member_of(q, requester, now_us);
    if (m == NULL) {
        return FALSE;
    }
    if (requester->sequence <= m->poll_sequence) {
        return TRUE;
    }
    m->poll_sequence = requester->sequence;
    m->seen_us = now_us;
    m->is_polling = TRUE;
    member_acknowledge(q, m, requester->applied);
    grants_void(q, m->batch); /* the answer before was lost */
    q->is_assigned = q->is_assigned && m->wants->len == 0;
    update_granting(q, now_us);
    if (m->has_news) {
        member_set_ready(q, m);
    }
    return TRUE;
}

void
slot_quota_end_poll(slot_quota_t *q, const char *name)
{
    member_t *m = g_hash_table_lookup(q->members, name);
    if (m != NULL) {
        m->is_polling = FALSE;
        g_queue_remove(&q->ready, m);
    }
}

/* ---- grants ---- */

static void
grant(slot_quota_t *q, pending_want_t *w, endpoint_slots_t *e)
{
    member_t *m = w->member;
    slot_grant_t *last = NULL;
    for (guint i = 0; i < m->outbox->len; i++) {
        slot_grant_t *g = &g_array_index(m->outbox, slot_grant_t, i);
        last = g->endpoint == e->endpoint ? g : last;
    }
    if (last != NULL) {
        last->count++;
    }
    else {
        slot_grant_t added = {.endpoint = e->endpoint, .count = 1};
        g_array_append_val(m->outbox, added);
    }
    e->taken++;
    g_ptr_array_remove(m->wants, w);
    want_remove(w);
    member_set_ready(q, m);
}

static void
tell_scarce(slot_quota_t *q, service_slots_t *s, guint rank, gint64 now_us)
{
    gboolean was_scarce = now_us < s->scarce_until_us;
    s->scarce_rank = rank;
    s->scarce_until_us = now_us + SCARCE_US;
    if (was_scarce) {
        return;
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, q->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        member_t *m = value;
        if (g_hash_table_size(m->held) > 0) {
            member_set_ready(q, m);
        }
    }
}

/* Grants free slots by rank and age. An instance without a poll is passed
 * over, since it would get its grant late. */
static void
assign_service(slot_quota_t *q, service_slots_t *s, gint64 now_us)
{
    for (guint rank = 0; rank < SLOT_RANKS; rank++) {
        GList *next;
        for (GList *l = s->wants[rank].head; l != NULL; l = next) {
            pending_want_t *w = l->data;
            next = l->next;
            if (now_us >= w->until_us) {
                g_ptr_array_remove(w->member->wants, w);
                want_remove(w);
                continue;
            }
            if (!w->member->is_polling) {
                continue;
            }
            endpoint_slots_t *e = choose_endpoint(q, w, now_us);
            if (e == NULL) {
                tell_scarce(q, s, rank, now_us);
                return;
            }
            grant(q, w, e);
        }
    }
}

static void
assign(slot_quota_t *q, gint64 now_us)
{
    GHashTableIter iter;
    gpointer value;
    if (q->is_assigned || !q->is_granting) {
        return;
    }
    q->is_assigned = TRUE;
    g_hash_table_iter_init(&iter, q->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        assign_service(q, value, now_us);
    }
}

const char *
slot_quota_next_ready(slot_quota_t *q, gint64 now_us)
{
    assign(q, now_us);
    const member_t *m = g_queue_peek_head(&q->ready);
    return m != NULL ? m->name : NULL;
}

void
slot_quota_fill_state(const slot_quota_t *q, slot_news_t *news, gint64 now_us)
{
    GHashTableIter iter;
    gpointer value;
    news->is_granting = q->is_granting;
    g_hash_table_iter_init(&iter, q->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const service_slots_t *s = value;
        if (now_us < s->scarce_until_us) {
            slot_scarcity_t scarcity = {.service = s->service,
                                        .rank = s->scarce_rank};
            g_array_append_val(news->scarce, scarcity);
        }
        if (s->marked_us != 0) {
            slot_mark_t mark = {.service = s->service,
                                .refusals_per_s = s->refusals_per_s};
            g_array_append_val(news->marks, mark);
        }
    }
}

void
slot_quota_collect(slot_quota_t *q, const char *name, slot_news_t *news,
                   gint64 now_us)
{
    member_t *m = g_hash_table_lookup(q->members, name);
    slot_quota_fill_state(q, news, now_us);
    if (m == NULL) {
        return;
    }
    g_queue_remove(&q->ready, m);
    m->has_news = FALSE;
    m->is_polling = FALSE;
    if (m->outbox->len == 0) {
        return;
    }
    GArray *sent = m->outbox;
    m->outbox = m->batch;
    m->batch = sent;
    news->batch = ++m->batch_number;
    g_array_append_vals(news->grants, sent->data, sent->len);
}

double
slot_quota_refusals_per_s(const slot_quota_t *q, guint64 service)
{
    const service_slots_t *s = g_hash_table_lookup(q->services, &service);
    return s != NULL && s->marked_us != 0 ? s->refusals_per_s : -1;
}

/* ---- expiry ---- */

static gboolean
is_over(gpointer key, gpointer until_us, gpointer now_us)
{
    (void)key;
    return *(gint64 *)now_us >= *(gint64 *)until_us;
}

static void
expire_members(slot_quota_t *q, gint64 now_us)
{
    GHashTableIter iter;
    gpointer value;
    gint64 lifetime = lifetime_us(q);
    q->reporting = 0;
    g_hash_table_iter_init(&iter, q->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        member_t *m = value;
        q->reporting += now_us - m->reported_us < REPORTING_US;
        g_hash_table_foreach_remove(m->avoided, is_over, &now_us);
        if (now_us - m->seen_us > lifetime) {
            member_release(q, m, 0);
            g_queue_remove(&q->ready, m);
            g_hash_table_iter_remove(&iter);
        }
    }
}

static void
expire_orphans(slot_quota_t *q, gint64 now_us)
{
    for (guint i = q->orphans->len; i > 0; i--) {
        const orphan_t *o = &g_array_index(q->orphans, orphan_t, i - 1);
        endpoint_slots_t *e = g_hash_table_lookup(q->endpoints, &o->endpoint);
        if (now_us < o->until_us) {
            continue;
        }
        if (e != NULL) {
            e->taken -= o->count;
        }
        g_array_remove_index_fast(q->orphans, i - 1);
        q->is_assigned = FALSE;
    }
}

/* How long a slot is left free after a request was turned away: so long that
 * trying to use it again has no more requests turned away than allowed. */
static gint64
spare_kept_us(const service_slots_t *s)
{
    double kept_us = 2.0 * G_USEC_PER_SEC / MAX(s->refusals_per_s, 0.1);
    return (gint64)MIN(kept_us, (double)SPARE_KEPT_MAX_US);
}

static void
expire_endpoints(slot_quota_t *q, gint64 now_us)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, q->endpoints);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        endpoint_slots_t *e = value;
        service_slots_t *s = service_find_or_create(q, e->service);
        if (e->spare > 0 && now_us - e->spare_us >= spare_kept_us(s)) {
            e->spare--;
            e->spare_us = now_us;
            q->is_assigned = FALSE;
        }
        if (e->taken == 0 && now_us - e->named_us > ENDPOINT_TIMEOUT_US) {
            g_ptr_array_remove(s->endpoints, e);
            g_hash_table_iter_remove(&iter);
        }
    }
}

static void
expire_services(slot_quota_t *q, gint64 now_us)
{
    GHashTableIter iter;
    gpointer value;
    gint64 lifetime = lifetime_us(q);
    g_hash_table_iter_init(&iter, q->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        service_slots_t *s = value;
        if (s->marked_us != 0 && now_us - s->marked_us > lifetime) {
            s->marked_us = 0;
        }
    }
}

void
slot_quota_expire(slot_quota_t *q, gint64 now_us)
{
    expire_members(q, now_us);
    expire_orphans(q, now_us);
    expire_services(q, now_us);
    expire_endpoints(q, now_us);
    update_granting(q, now_us);
}

/* ---- create, destroy, dump ---- */

void
slot_quota_dump(const slot_quota_t *q, GString *text, gint64 now_us)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, q->endpoints);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const endpoint_slots_t *e = value;
        const service_slots_t *s =
            g_hash_table_lookup(q->services, &e->service);
        g_string_append_printf(
            text,
            "slots of %016" G_GINT64_MODIFIER
            "x: %u, %u granted, %u spare, %u reserved, %u free; "
            "%" G_GUINT64_FORMAT
            " requests turned away, %u of %u instances%s%s\n",
            e->endpoint, e->slots, e->taken, e->spare, reserved_slots(q, e),
            free_slots(q, s, e), e->refused, g_hash_table_size(q->members),
            instance_count_get(&q->instances),
            now_us < s->scarce_until_us ? ", scarce" : "",
            q->is_granting ? "" : ", not granting yet");
    }
}

slot_quota_t *
slot_quota_create(gint64 now_us)
{
    slot_quota_t *q = g_new0(slot_quota_t, 1);
    q->started_us = now_us;
    q->members =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, member_free);
    q->endpoints =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    q->services =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, service_free);
    q->orphans = g_array_new(FALSE, FALSE, sizeof(orphan_t));
    return q;
}

void
slot_quota_destroy(slot_quota_t *q)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, q->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wants_clear(value);
    }
    g_queue_clear(&q->ready);
    g_hash_table_unref(q->members);
    g_hash_table_unref(q->services);
    g_hash_table_unref(q->endpoints);
    g_array_unref(q->orphans);
    g_free(q);
}

void
slot_news_init(slot_news_t *n)
{
    *n = (slot_news_t){
        .grants = g_array_new(FALSE, FALSE, sizeof(slot_grant_t)),
        .scarce = g_array_new(FALSE, FALSE, sizeof(slot_scarcity_t)),
        .marks = g_array_new(FALSE, FALSE, sizeof(slot_mark_t)),
    };
}

void
slot_news_clear(slot_news_t *n)
{
    g_clear_pointer(&n->grants, g_array_unref);
    g_clear_pointer(&n->scarce, g_array_unref);
    g_clear_pointer(&n->marks, g_array_unref);
}

void
slot_report_init(slot_report_t *r)
{
    *r = (slot_report_t){
        .holdings = g_array_new(FALSE, FALSE, sizeof(slot_holding_t)),
        .wants = g_array_new(FALSE, FALSE, sizeof(slot_want_t)),
        .marks = g_array_new(FALSE, FALSE, sizeof(slot_mark_t)),
    };
}

void
slot_report_clear(slot_report_t *r)
{
    g_clear_pointer(&r->holdings, g_array_unref);
    g_clear_pointer(&r->wants, g_array_unref);
    g_clear_pointer(&r->marks, g_array_unref);
}
