#include "carobloom/policy/repeat_quota.h"

#include <math.h>

#include "carobloom/policy/instance_count.h"

enum {
    MS = 1000,
    WINDOW_SLOTS = 200,
    /* A repeat arrives up to this much later than it was taken from the
     * budget: a new connection, packets that are lost once. */
    DELAY_SLOTS = 4,
    /* Slots in which own repeats that are not spent yet were earned. */
    OWN_SLOTS = WINDOW_SLOTS / REPEAT_OWN_LIFETIMES + 1,
    /* The current window, the one before it, and the delay. */
    RING_SLOTS = 512,
    HISTORY_SLOT = WINDOW_SLOTS / REPEAT_HISTORY_SLOTS,
    NEEDY_MS_MIN = 50,
    CALM_MS_MIN = 1000,
    NEEDY_US_PER_INSTANCE = 1500,
    CALM_US_PER_INSTANCE = 3000,
    /* Grants outlive two lost requests of a calm instance. */
    LIFETIME_INTERVALS = 3,
    /* An instance that asked for more within this time gets a share of what is
     * available. */
    WANTING_US = 1000 * MS,
    MEMBER_TIMEOUT_US = 60 * 1000 * MS,
};

/* Part of what is available that is granted to instances without a need. The
 * rest goes to those that turn out to need more than their share. */
static const double STANDING_FRACTION = 0.5;
/* Own repeats that an instance may have spent between its last report and its
 * end, beyond those that its unreported first sends add to the budget. */
static const guint UNREPORTED_OWN = 1;
/* Never granted: a spare for what the counts of slots don't tell. */
static const double SPARE = 3.4;
/* Standard deviations by which own repeats may exceed their expected number.
 */
static const double OWN_DEVIATIONS = 3;

/* An instance that sends requests to this grantor. */
typedef struct {
    guint64 incarnation;
    guint64 sequence;
    gint64 first_started_us; /* start of the first incarnation seen */
    gint64 seen_us;
} member_t;

/* What an instance spends of one service's budget. */
typedef struct {
    guint64 incarnation;
    guint32 firsts;
    guint32 own_spent;
    guint32 granted_spent;
    guint outstanding;
    gint64 outstanding_until_us;
    guint charged; /* expired grants that were counted as spent */
    gint64 wanted_us;
    gint64 seen_us;
} grantee_t;

typedef struct {
    guint64 service;
    gint64 slot; /* the current one; older ones by slot modulo RING_SLOTS */
    /* First sends, by the earliest and by the latest time at which they may
     * have been. */
    guint firsts[RING_SLOTS];
    guint firsts_latest[RING_SLOTS];
    guint spent[RING_SLOTS];
    GHashTable *grantees; /* name -> grantee_t */
    guint outstanding;    /* of all grantees */
    guint wanting;        /* grantees in need, as last counted */
} service_quota_t;

struct repeat_quota {
    repeat_limits_t limits;
    gint64 started_us;
    gint64 grants_from_us;
    gboolean is_granting;
    GHashTable *members;  /* name -> member_t */
    GHashTable *services; /* service -> service_quota_t */
    instance_count_t instances;
    /* An instance that has run for a window said how many there are. */
    gboolean is_count_known;
};

repeat_pace_t
repeat_pace(guint instances)
{
    repeat_pace_t pace = {
        .needy_ms =
            MAX(instances * NEEDY_US_PER_INSTANCE / MS, (guint)NEEDY_MS_MIN),
        .calm_ms =
            MAX(instances * CALM_US_PER_INSTANCE / MS, (guint)CALM_MS_MIN),
    };
    pace.lifetime_ms = pace.calm_ms * LIFETIME_INTERVALS;
    return pace;
}

/* ---- slots ---- */

static gint64
slot_us(const repeat_quota_t *q)
{
    return MAX(q->limits.window_us / WINDOW_SLOTS, 1);
}

static gint64
delay_us(const repeat_quota_t *q)
{
    return DELAY_SLOTS * slot_us(q);
}

static void
advance(const repeat_quota_t *q, service_quota_t *s, gint64 now_us)
{
    gint64 slot = now_us / slot_us(q);
    gint64 from = MAX(s->slot + 1, slot - RING_SLOTS + 1);
    for (gint64 i = from; i <= slot; i++) {
        s->firsts[i % RING_SLOTS] = 0;
        s->firsts_latest[i % RING_SLOTS] = 0;
        s->spent[i % RING_SLOTS] = 0;
    }
    s->slot = MAX(s->slot, slot);
}

static gboolean
is_slot_kept(const service_quota_t *s, gint64 age)
{
    return age >= 0 && age < RING_SLOTS && age <= s->slot;
}

/* The count of the slot that is `age` slots old. */
static guint
slot_get(const service_quota_t *s, const guint counts[RING_SLOTS], gint64 age)
{
    return is_slot_kept(s, age) ? counts[(s->slot - age) % RING_SLOTS] : 0;
}

static void
slot_add(const service_quota_t *s, guint counts[RING_SLOTS], gint64 age,
         guint count)
{
    if (is_slot_kept(s, age)) {
        counts[(s->slot - age) % RING_SLOTS] += count;
    }
}

static guint
sum(const service_quota_t *s, const guint counts[RING_SLOTS], gint64 from_age,
    gint64 to_age)
{
    guint total = 0;
    for (gint64 age = from_age; age <= to_age; age++) {
        total += slot_get(s, counts, age);
    }
    return total;
}

/* ---- the budget ---- */

/* Counts of the windows that begin in one slot, and of those just before them.
 * First sends are those that are surely within them, repeats those that may
 * be. */
typedef struct {
    guint firsts;
    guint firsts_before;
    guint spent;
} window_t;

/* Returns how many own repeats may still come in a window with so many first
 * sends to come. Each instance earns whole repeats only, so that the sum
 * varies. */
static double
own_to_come(const repeat_quota_t *q, const service_quota_t *s, guint firsts)
{
    double expected = q->limits.ratio * REPEAT_OWN_FRACTION * firsts;
    double variance = MIN(g_hash_table_size(s->grantees) / 4.0, expected);
    return expected + OWN_DEVIATIONS * sqrt(variance);
}

static double
window_left(const repeat_quota_t *q, const service_quota_t *s,
            const window_t *w, guint unspent_firsts)
{
    const repeat_limits_t *l = &q->limits;
    /* More first sends than in the window before raise the budget by more than
     * the own repeats that they earn. */
    guint firsts = MAX(w->firsts, w->firsts_before);
    guint to_come = firsts - w->firsts + unspent_firsts;
    return l->ratio * firsts + l->slack - SPARE - own_to_come(q, s, to_come) -
           w->spent;
}

/* Returns how many repeats may be granted, or are granted and may still be
 * spent, so that no window that includes the present exceeds the budget. */
static double
budget_left(const repeat_quota_t *q, const service_quota_t *s)
{
    guint unspent = sum(s, s->firsts_latest, 0, OWN_SLOTS - 1);
    guint since = 0; /* first sends since the window's begin, surely */
    guint maybe_since = 0;
    guint before = sum(s, s->firsts, 0, WINDOW_SLOTS - 2);
    guint spent = sum(s, s->spent, 0, DELAY_SLOTS - 1);
    double left = G_MAXDOUBLE;
    for (gint64 age = -1; age <= WINDOW_SLOTS; age++) {
        guint straddling = maybe_since - since;
        window_t w = {
            .firsts = since,
            .firsts_before = before - MIN(straddling, before),
            .spent = spent,
        };
        left = MIN(left, window_left(q, s, &w, unspent));
        /* the windows that begin one slot earlier */
        since += slot_get(s, s->firsts, age);
        maybe_since += slot_get(s, s->firsts_latest, age + 1);
        before -= slot_get(s, s->firsts, age + 1);
        before += slot_get(s, s->firsts, age + WINDOW_SLOTS);
        spent += slot_get(s, s->spent, age + 1 + DELAY_SLOTS);
    }
    return left;
}

/* Adds each slot of an instance's history: first sends with the earliest and
 * the latest time at which they may have been, repeats with the latest. */
static void
add_history(service_quota_t *s, const repeat_slot_t *history)
{
    for (gint64 i = 0; i < REPEAT_HISTORY_MAX; i++) {
        gint64 latest = MAX(i - 1, 0) * HISTORY_SLOT;
        slot_add(s, s->firsts, (i + 1) * HISTORY_SLOT, history[i].firsts);
        slot_add(s, s->firsts_latest, latest, history[i].firsts);
        slot_add(s, s->spent, latest, history[i].spent);
    }
}

/* ---- grantees ---- */

static void
grantee_charge(service_quota_t *s, grantee_t *g)
{
    slot_add(s, s->spent, 0, g->outstanding);
    s->outstanding -= g->outstanding;
    g->charged += g->outstanding;
    g->outstanding = 0;
}

static void
grantee_expire(service_quota_t *s, grantee_t *g, gint64 now_us)
{
    if (g->outstanding > 0 && now_us >= g->outstanding_until_us) {
        grantee_charge(s, g);
    }
}

/* Begins to count for an incarnation of an instance. What a previous one held,
 * or may have spent since its last report, counts as spent. */
static void
grantee_begin(service_quota_t *s, grantee_t *g, guint64 incarnation,
              const repeat_request_t *request, const repeat_slot_t *history)
{
    grantee_charge(s, g);
    if (g->firsts > 0) {
        slot_add(s, s->spent, 0, UNREPORTED_OWN);
    }
    *g = (grantee_t){.incarnation = incarnation};
    if (history != NULL) {
        add_history(s, history);
        g->firsts = request->firsts;
        g->own_spent = request->own_spent;
        g->granted_spent = request->granted_spent;
    }
}

static grantee_t *
grantee_find_or_create(service_quota_t *s, const repeat_requester_t *requester,
                       const repeat_request_t *request,
                       const repeat_slot_t *history)
{
    grantee_t *g = g_hash_table_lookup(s->grantees, requester->name);
    gboolean is_new = g == NULL;
    if (is_new) {
        g = g_new0(grantee_t, 1);
        g_hash_table_insert(s->grantees, g_strdup(requester->name), g);
    }
    if (is_new || g->incarnation != requester->incarnation) {
        grantee_begin(s, g, requester->incarnation, request, history);
    }
    return g;
}

static gint64
age_slots(const repeat_quota_t *q, guint32 ms)
{
    return ms * (gint64)MS / slot_us(q);
}

/* Counts what the instance did since its last request. Grants that it neither
 * spent nor holds were returned, or never reached it. */
static void
grantee_reconcile(const repeat_quota_t *q, service_quota_t *s, grantee_t *g,
                  const repeat_request_t *request)
{
    guint held = MIN(request->held, g->outstanding);
    guint32 own_spent = request->own_spent - g->own_spent;
    guint32 granted_spent = request->granted_spent - g->granted_spent;
    guint32 firsts = request->firsts - g->firsts;
    slot_add(s, s->firsts, age_slots(q, request->oldest_first_ms) + 1, firsts);
    slot_add(s, s->firsts_latest, age_slots(q, request->newest_first_ms),
             firsts);
    slot_add(s, s->spent, age_slots(q, request->spent_age_ms),
             own_spent + granted_spent - MIN(granted_spent, g->charged));
    s->outstanding = s->outstanding - g->outstanding + held;
    g->outstanding = held;
    g->charged = 0;
    g->firsts = request->firsts;
    g->own_spent = request->own_spent;
    g->granted_spent = request->granted_spent;
}

/* The number of grants that the instance should hold: in need as many as it
 * wanted of late, up to its share among those in need. More would lie idle
 * there while others wait for them. */
static guint
grantee_target(const repeat_quota_t *q, const service_quota_t *s, guint wanted,
               double available)
{
    double whole = MAX(available, 0) + s->outstanding;
    guint instances = instance_count_get(&q->instances);
    guint standing = (guint)(whole * STANDING_FRACTION / instances);
    guint share = MAX((guint)(whole / MAX(s->wanting, 1)), 1);
    return MAX(standing, MIN(wanted, share));
}

static void
grantee_grant(const repeat_quota_t *q, service_quota_t *s, grantee_t *g,
              guint wanted, repeat_grant_t *grant, gint64 now_us)
{
    double available = budget_left(q, s) - s->outstanding;
    guint target = grantee_target(q, s, wanted, available);
    gboolean is_scarce = available < 1 && s->wanting > 0;
    if (target > g->outstanding && available >= 1) {
        grant->granted = MIN(target - g->outstanding, (guint)available);
    }
    if (is_scarce && wanted == 0) {
        grant->keep = MIN(g->outstanding, target);
    }
    g->outstanding += grant->granted;
    s->outstanding += grant->granted;
    g->outstanding_until_us =
        now_us +
        repeat_pace(instance_count_get(&q->instances)).lifetime_ms * MS;
}

/* ---- requests ---- */

static void
service_quota_free(gpointer data)
{
    service_quota_t *s = data;
    g_hash_table_unref(s->grantees);
    g_free(s);
}

static service_quota_t *
service_find_or_create(repeat_quota_t *q, guint64 service, gint64 now_us)
{
    service_quota_t *s = g_hash_table_lookup(q->services, &service);
    if (s == NULL) {
        s = g_new0(service_quota_t, 1);
        s->service = service;
        s->grantees =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        g_hash_table_insert(q->services, &s->service, s);
    }
    advance(q, s, now_us);
    return s;
}

/* The time from which on all repeats in the window are known. */
static gint64
known_from_us(const repeat_quota_t *q)
{
    guint instances = instance_count_get(&q->instances);
    gint64 past_us = q->limits.window_us + delay_us(q);
    gint64 grants_us = repeat_pace(instances).lifetime_ms * (gint64)MS;
    gint64 latest_us = q->started_us + past_us + grants_us;
    if (!q->is_count_known || g_hash_table_size(q->members) < instances) {
        return latest_us;
    }
    GHashTableIter iter;
    gpointer value;
    /* By then grants of others have expired, and all instances that reach this
     * grantor have said how many there are. */
    gint64 from_us = q->started_us + grants_us;
    g_hash_table_iter_init(&iter, q->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const member_t *m = value;
        from_us = MAX(from_us, m->first_started_us + past_us);
    }
    return MIN(from_us, latest_us);
}

static void
update_granting(repeat_quota_t *q, gint64 now_us)
{
    if (!q->is_granting) {
        q->grants_from_us = known_from_us(q);
        q->is_granting = now_us >= q->grants_from_us;
    }
}

gboolean
repeat_quota_begin(repeat_quota_t *q, const repeat_requester_t *requester,
                   gint64 now_us)
{
    member_t *m = g_hash_table_lookup(q->members, requester->name);
    if (m == NULL) {
        m = g_new0(member_t, 1);
        m->incarnation = requester->incarnation;
        m->first_started_us = now_us - requester->age_us;
        g_hash_table_insert(q->members, g_strdup(requester->name), m);
    }
    if (m->incarnation != requester->incarnation) {
        m->incarnation = requester->incarnation;
        m->sequence = 0;
    }
    if (requester->sequence <= m->sequence) {
        return FALSE;
    }
    m->sequence = requester->sequence;
    m->seen_us = now_us;
    instance_count_record(&q->instances, requester->instances, now_us);
    q->is_count_known =
        q->is_count_known || requester->age_us >= q->limits.window_us;
    update_granting(q, now_us);
    return TRUE;
}

repeat_grant_t
repeat_quota_request(repeat_quota_t *q, const repeat_requester_t *requester,
                     const repeat_request_t *request,
                     const repeat_slot_t *history, gint64 now_us)
{
    service_quota_t *s = service_find_or_create(q, request->service, now_us);
    grantee_t *g = grantee_find_or_create(s, requester, request, history);
    repeat_grant_t grant = {.service = request->service, .brittle = -1};
    grantee_expire(s, g, now_us);
    grantee_reconcile(q, s, g, request);
    g->seen_us = now_us;
    g->wanted_us = request->wanted > 0 ? now_us : g->wanted_us;
    grant.keep = g->outstanding;
    if (q->is_granting && !requester->is_ending) {
        grantee_grant(q, s, g, request->wanted, &grant, now_us);
    }
    guint firsts = sum(s, s->firsts, 0, WINDOW_SLOTS - 1);
    grant.spent = sum(s, s->spent, 0, WINDOW_SLOTS - 1);
    grant.allowed = (guint32)(q->limits.ratio * firsts + q->limits.slack);
    return grant;
}

/* ---- expiry ---- */

static void
expire_grantees(service_quota_t *s, gint64 now_us)
{
    GHashTableIter iter;
    gpointer value;
    s->wanting = 0;
    g_hash_table_iter_init(&iter, s->grantees);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        grantee_t *g = value;
        grantee_expire(s, g, now_us);
        s->wanting += g->wanted_us != 0 && now_us - g->wanted_us < WANTING_US;
        if (now_us - g->seen_us > MEMBER_TIMEOUT_US) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

void
repeat_quota_expire(repeat_quota_t *q, gint64 now_us)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, q->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        service_quota_t *s = value;
        advance(q, s, now_us);
        expire_grantees(s, now_us);
        if (g_hash_table_size(s->grantees) == 0) {
            g_hash_table_iter_remove(&iter);
        }
    }
    g_hash_table_iter_init(&iter, q->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (now_us - ((member_t *)value)->seen_us > MEMBER_TIMEOUT_US) {
            g_hash_table_iter_remove(&iter);
        }
    }
    update_granting(q, now_us);
}

guint
repeat_quota_instances(const repeat_quota_t *q)
{
    return instance_count_get(&q->instances);
}

void
repeat_quota_dump(repeat_quota_t *q, GString *text, gint64 now_us)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, q->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        service_quota_t *s = value;
        advance(q, s, now_us);
        g_string_append_printf(
            text,
            "repeats of %016" G_GINT64_MODIFIER
            "x: %u first sends and %u repeats in the last window, %u granted, "
            "%.0f available, %u instances, %u want grants, grants begin in "
            "%ld "
            "ms\n",
            s->service, sum(s, s->firsts, 0, WINDOW_SLOTS - 1),
            sum(s, s->spent, 0, WINDOW_SLOTS - 1), s->outstanding,
            MAX(budget_left(q, s) - s->outstanding, 0),
            g_hash_table_size(s->grantees), s->wanting,
            (long)(q->is_granting ? 0 : (q->grants_from_us - now_us) / MS));
    }
}

repeat_quota_t *
repeat_quota_create(const repeat_limits_t *limits, gboolean is_first,
                    gint64 now_us)
{
    repeat_quota_t *q = g_new0(repeat_quota_t, 1);
    q->limits = *limits;
    q->started_us = now_us;
    q->is_granting = is_first;
    q->members =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    q->services = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                        service_quota_free);
    q->grants_from_us = is_first ? now_us : known_from_us(q);
    return q;
}

void
repeat_quota_destroy(repeat_quota_t *q)
{
    g_hash_table_unref(q->members);
    g_hash_table_unref(q->services);
    g_free(q);
}
