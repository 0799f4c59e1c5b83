#include "carobloom/policy/limit_quota.h"

#include <string.h>

enum {
    US_PER_MS = 1000,
    /* A grant is used within LIMIT_GRANT_LIFETIME_MS or returned with the next
     * request, which may be up to a second late. */
    GRANT_EXPIRY_US = (LIMIT_GRANT_LIFETIME_MS + 1000) * US_PER_MS,
    /* An instance that requested grants within this time gets a share of what
     * is granted. */
    WANTING_US = 1000 * US_PER_MS,
    GRANTEE_TIMEOUT_US = 10 * 1000 * US_PER_MS,
    OWNED_TIMEOUT_US = 60 * 1000 * US_PER_MS,
    /* A relayed limit is kept until instances without an owner have sent to
     * the endpoint and it has announced its limit again. */
    RELAYED_TIMEOUT_US = 30 * 1000 * US_PER_MS,
};

/* Share of the limit that is granted in the long run. */
static const double GRANT_FRACTION = 0.95;
/* Bound on outstanding grants plus credit: seconds of the limit's rate, and a
 * fixed number of sends. In any 4 s, the bound and the refill together allow
 * 5.05 times the rate plus 2.2 sends, while endpoints tolerate 6 times the
 * rate plus 5. The remainder is for instances without a reply from the
 * owner. */
static const double CREDIT_MAX_S = 1.25;
static const double CREDIT_MAX_EXTRA = 2.2;
/* A rate is published again when it changed by more than this fraction. */
static const double REPUBLISH_FRACTION = 0.1;

typedef struct {
    char *name;
    guint64 incarnation;
    guint64 sequence;  /* of its last request */
    guint64 used;      /* as of its last request */
    guint outstanding; /* granted sends that may still be used */
    gint64 outstanding_until_us;
    gint64 requested_us;
    gint64 wanted_us; /* when it last requested grants */
} grantee_t;

typedef struct {
    limit_state_t state;
    gboolean owned;          /* FALSE: only relayed */
    gint64 request_sent_us;  /* send time of the request that set the rate */
    gint64 rate_received_us; /* last response with a rate, at any instance */
    gint64 lifted_us;        /* see endpoint_limit_t */
    gint64 requested_us;
    guint64 change_cursor; /* `changes` at its last change; 0: none */
    double published_rate;
    double credit;        /* sends that may be granted now */
    gint64 refilled_us;   /* when the credit was last refilled */
    guint outstanding;    /* of all grantees */
    GHashTable *grantees; /* name -> grantee_t */
    guint wanting;        /* grantees that want grants, as last counted */
} limit_t;

struct limit_quota {
    GHashTable *limits; /* endpoint -> limit_t */
    guint64 changes;
    guint in_force;
};

/* ---- limits and grantees ---- */

static void
grantee_free(gpointer data)
{
    grantee_t *g = data;
    g_free(g->name);
    g_free(g);
}

static void
limit_free(gpointer data)
{
    limit_t *l = data;
    g_hash_table_unref(l->grantees);
    g_free(l);
}

static limit_t *
limit_find_or_create(limit_quota_t *q, guint64 endpoint, gint64 now_us)
{
    limit_t *l = g_hash_table_lookup(q->limits, &endpoint);
    if (l != NULL) {
        return l;
    }
    l = g_new0(limit_t, 1);
    l->state.endpoint = endpoint;
    l->requested_us = now_us;
    l->grantees =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, grantee_free);
    g_hash_table_insert(q->limits, &l->state.endpoint, l);
    return l;
}

/* Grants of a previous owner may still be in use, so a new owner starts with a
 * credit of one send. */
static void
limit_take_ownership(limit_t *l, gint64 now_us)
{
    if (!l->owned) {
        l->owned = TRUE;
        l->refilled_us = now_us;
        l->credit = 1;
    }
}

static grantee_t *
grantee_find_or_create(limit_t *l, const limit_requester_t *requester,
                       const limit_request_t *request)
{
    grantee_t *g = g_hash_table_lookup(l->grantees, requester->name);
    if (g == NULL) {
        g = g_new0(grantee_t, 1);
        g->name = g_strdup(requester->name);
        g->incarnation = requester->incarnation;
        g->used = request->used;
        g_hash_table_insert(l->grantees, g->name, g);
    }
    if (g->incarnation != requester->incarnation) {
        /* Grants of its previous incarnation count as used. */
        l->outstanding -= g->outstanding;
        g->outstanding = 0;
        g->incarnation = requester->incarnation;
        g->sequence = 0;
        g->used = request->used;
    }
    return g;
}

/* ---- state of a limit ---- */

static void
publish(limit_quota_t *q, limit_t *l, gboolean limited)
{
    q->in_force += limited;
    q->in_force -= l->state.limited;
    l->state.limited = limited;
    l->published_rate = l->state.rate;
    l->change_cursor = ++q->changes;
}

static gboolean
rate_is_published(const limit_t *l)
{
    double difference = ABS(l->state.rate - l->published_rate);
    return difference <= REPUBLISH_FRACTION * l->published_rate;
}

/* Applies a rate that the requester received from an owner. */
static void
apply_owner_rate(limit_quota_t *q, limit_t *l, const limit_request_t *request)
{
    /* 0: unknown here, because its previous owner ended or removed it. */
    if (l->change_cursor == 0) {
        l->state.rate = request->rate;
        publish(q, l, TRUE);
    }
}

static void
apply_rate(limit_quota_t *q, limit_t *l, const limit_request_t *request,
           gint64 now_us)
{
    if (request->request_age_ms == LIMIT_AGE_UNKNOWN) {
        apply_owner_rate(q, l, request);
        return;
    }
    gint64 request_sent_us =
        now_us - request->request_age_ms * (gint64)US_PER_MS;
    gint64 rate_received_us =
        now_us - request->rate_age_ms * (gint64)US_PER_MS;
    if (l->lifted_us != 0 && request_sent_us <= l->lifted_us) {
        return;
    }
    l->rate_received_us = MAX(l->rate_received_us, rate_received_us);
    if (l->state.limited && request_sent_us < l->request_sent_us) {
        return;
    }
    l->request_sent_us = request_sent_us;
    l->state.rate = request->rate;
    if (!l->state.limited || !rate_is_published(l)) {
        publish(q, l, TRUE);
    }
}

static void
apply_lifted(limit_quota_t *q, limit_t *l, const limit_request_t *request,
             gint64 now_us)
{
    gint64 request_sent_us =
        now_us - request->request_age_ms * (gint64)US_PER_MS;
    if (request->request_age_ms == LIMIT_AGE_UNKNOWN ||
        request_sent_us <= l->rate_received_us ||
        request_sent_us <= l->lifted_us) {
        return;
    }
    l->lifted_us = request_sent_us;
    publish(q, l, FALSE);
}

static void
apply_report(limit_quota_t *q, limit_t *l, const limit_request_t *request,
             gint64 now_us)
{
    l->requested_us = now_us;
    if (request->limited) {
        apply_rate(q, l, request, now_us);
    }
    else {
        apply_lifted(q, l, request, now_us);
    }
}

void
limit_quota_apply_report(limit_quota_t *q, const limit_request_t *request,
                         gint64 now_us)
{
    if (request->request_age_ms != LIMIT_AGE_UNKNOWN) {
        apply_report(q, limit_find_or_create(q, request->endpoint, now_us),
                     request, now_us);
    }
}

/* ---- grants ---- */

static double
credit_max(const limit_t *l)
{
    return CREDIT_MAX_S * l->state.rate + CREDIT_MAX_EXTRA;
}

static void
credit_refill(limit_t *l, gint64 now_us)
{
    double rate = MAX(GRANT_FRACTION * l->state.rate, LIMIT_SEND_RATE_MIN);
    double seconds = (double)(now_us - l->refilled_us) / G_USEC_PER_SEC;
    double room = MAX(credit_max(l) - l->outstanding, 0);
    l->refilled_us = now_us;
    l->credit = MIN(l->credit + rate * seconds, room);
}

/* Expires the grants of a grantee, whether or not they were used. */
static void
grantee_expire(limit_t *l, grantee_t *g, gint64 now_us)
{
    if (g->outstanding > 0 && now_us >= g->outstanding_until_us) {
        l->outstanding -= g->outstanding;
        g->outstanding = 0;
    }
}

/* Grants that the grantee neither used nor has outstanding were returned or
 * never reached it, and go back to the credit. */
static void
grantee_reconcile(limit_t *l, grantee_t *g, const limit_request_t *request)
{
    guint spent_or_returned =
        g->outstanding - MIN(g->outstanding, request->outstanding);
    guint64 used = request->used - MIN(request->used, g->used);
    l->credit += spent_or_returned - MIN(spent_or_returned, used);
    l->outstanding = l->outstanding - g->outstanding + request->outstanding;
    g->outstanding = request->outstanding;
    g->used = request->used;
}

/* Grants the grantee up to `wanted` sends from the credit, at most its equal
 * share among the grantees that want grants. Returns the number of sends. */
static guint32
grantee_grant(limit_t *l, grantee_t *g, guint32 wanted, gint64 now_us)
{
    if (wanted == 0 || l->credit < 1) {
        return 0;
    }
    guint share = MAX((guint)l->credit / MAX(l->wanting, 1), 1);
    guint granted = MIN(share, wanted);
    l->credit -= granted;
    l->outstanding += granted;
    g->outstanding += granted;
    g->outstanding_until_us = now_us + GRANT_EXPIRY_US;
    return granted;
}

limit_grant_t
limit_quota_request(limit_quota_t *q, const limit_requester_t *requester,
                    const limit_request_t *request, gint64 now_us)
{
    limit_t *l = limit_find_or_create(q, request->endpoint, now_us);
    grantee_t *g = grantee_find_or_create(l, requester, request);
    limit_take_ownership(l, now_us);
    if (requester->sequence <= g->sequence) {
        return (limit_grant_t){.state = l->state};
    }
    g->sequence = requester->sequence;
    g->requested_us = now_us;
    g->wanted_us = request->wanted > 0 ? now_us : g->wanted_us;
    apply_report(q, l, request, now_us);
    grantee_expire(l, g, now_us);
    grantee_reconcile(l, g, request);
    credit_refill(l, now_us);
    limit_grant_t reply = {.state = l->state};
    if (l->state.limited) {
        reply.granted = grantee_grant(l, g, request->wanted, now_us);
    }
    return reply;
}

/* ---- expiry ---- */

static void
expire_grantees(limit_t *l, gint64 now_us)
{
    GHashTableIter iter;
    gpointer value;
    l->wanting = 0;
    g_hash_table_iter_init(&iter, l->grantees);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        grantee_t *g = value;
        grantee_expire(l, g, now_us);
        l->wanting += now_us - g->wanted_us < WANTING_US;
        if (g->outstanding == 0 &&
            now_us - g->requested_us > GRANTEE_TIMEOUT_US) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

void
limit_quota_expire(limit_quota_t *q, gint64 now_us)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, q->limits);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        limit_t *l = value;
        expire_grantees(l, now_us);
        gint64 timeout_us = l->owned ? OWNED_TIMEOUT_US : RELAYED_TIMEOUT_US;
        if (now_us - l->requested_us > timeout_us) {
            q->in_force -= l->state.limited;
            g_hash_table_iter_remove(&iter);
        }
    }
}

/* ---- published changes ---- */

guint64
limit_quota_cursor(const limit_quota_t *q)
{
    return q->changes;
}

static gint
by_change_cursor(gconstpointer a, gconstpointer b)
{
    const limit_t *x = *(const limit_t *const *)a;
    const limit_t *y = *(const limit_t *const *)b;
    return x->change_cursor < y->change_cursor
               ? -1
               : x->change_cursor > y->change_cursor;
}

static GPtrArray *
changed_since(const limit_quota_t *q, guint64 cursor)
{
    GPtrArray *changed = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, q->limits);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (((limit_t *)value)->change_cursor > cursor) {
            g_ptr_array_add(changed, value);
        }
    }
    g_ptr_array_sort(changed, by_change_cursor);
    return changed;
}

GArray *
limit_quota_changes_since(const limit_quota_t *q, guint64 *cursor,
                          guint max_count)
{
    GArray *states = g_array_new(FALSE, FALSE, sizeof(limit_state_t));
    GPtrArray *changed = changed_since(q, *cursor);
    for (guint i = 0; i < changed->len && i < max_count; i++) {
        const limit_t *l = changed->pdata[i];
        g_array_append_val(states, l->state);
        *cursor = l->change_cursor;
    }
    if (changed->len <= max_count) {
        *cursor = q->changes;
    }
    g_ptr_array_unref(changed);
    return states;
}

guint
limit_quota_count(const limit_quota_t *q)
{
    return q->in_force;
}

void
limit_quota_dump(const limit_quota_t *q, GString *text, gint64 now_us)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, q->limits);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const limit_t *l = value;
        g_string_append_printf(
            text,
            "limit of %016" G_GINT64_MODIFIER
            "x: %s%s %.2f a second, %u granted, %.1f available, %u instances "
            "ask, %u want grants, last request %ld ms ago\n",
            l->state.endpoint, l->owned ? "" : "relayed, ",
            l->state.limited ? "in force," : "lifted,", l->state.rate,
            l->outstanding, l->credit, g_hash_table_size(l->grantees),
            l->wanting, (long)((now_us - l->requested_us) / US_PER_MS));
    }
}

limit_quota_t *
limit_quota_create(void)
{
    limit_quota_t *q = g_new0(limit_quota_t, 1);
    q->limits =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, limit_free);
    return q;
}

void
limit_quota_destroy(limit_quota_t *q)
{
    g_hash_table_unref(q->limits);
    g_free(q);
}
