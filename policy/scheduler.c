#include "carobloom/policy/scheduler.h"

#include <string.h>

#include "carobloom/policy/quantile.h"
#include "carobloom/policy/queue.h"

static const double LENGTH_QUANTILE = 0.6;
/* Headroom covers the requests that arrive within the time that it takes to
 * free a slot by preemption. */
static const gint64 DEMAND_WINDOW_US = 200 * 1000;
static const double EXCESS_PEAK_DECAY = 0.995; /* per window: halves in 28 s */
static const double RELEASE_RATE_SMOOTHING = 0.1;
static const double HEADROOM_MAX_FRACTION = 0.2; /* of the pool's slots */
static const double HEADROOM_MIN_FRACTION = 0.01;
static const double PREFILL_US_PER_TOKEN = 50;
static const gint64 RETRY_AFTER_MIN_US = G_USEC_PER_SEC;
static const gint64 RETRY_AFTER_MAX_US = 600 * G_USEC_PER_SEC;
static const double DEFAULT_TOKEN_US = 25000;
static const double DEFAULT_PLAIN_SERVICE_US = 20000;
enum {
    PREEMPTIONS_MAX = 2,      /* per ticket */
    AGED_GRANT_INTERVAL = 4,  /* other grants between two by age */
    TEAM_LENGTHS_MAX = 4096,  /* bounds the memory of the table */
    PREEMPT_WAIT_DIVISOR = 8, /* of first_token_us: wait before preempting */
};

/* Answer lengths of one team in one class. */
typedef struct {
    guint64 key;
    quantile_t tokens;
    GList link;
} team_length_t;

/* One class of the pool. */
typedef struct {
    class_spec_t spec;
    queue_t waiting;
    GQueue running; /* job_t, newest first */
    double virtual_time;
    quantile_t tokens;
    quantile_t service_ms;
    class_stats_t stats;
} class_state_t;

/* Excess of a tier's recent arrivals over the slots that came free. */
typedef struct {
    guint arrivals;     /* in the current window */
    double excess_peak; /* decaying maximum, in slots per window */
} tier_state_t;

struct scheduler {
    class_state_t classes[CLASS_MAX];
    guint count;
    tier_state_t tiers[TIER_COUNT];
    endpoint_set_t *endpoints;
    GHashTable *jobs; /* ticket id -> job_t */
    heap_t deadlines;
    GHashTable *team_lengths;
    GQueue team_order;
    scheduler_ablation_t ablation;
    guint preempts_pending;
    guint grants_since_aged;
    guint releases;      /* slots that came free in the current window */
    double release_rate; /* slots per window, smoothed */
    gint64 window_us;
    gint64 grace_until_us;
};

static void
class_init(class_state_t *c, const class_spec_t *spec)
{
    *c = (class_state_t){.spec = *spec};
    queue_init(&c->waiting);
    g_queue_init(&c->running);
}

scheduler_t *
scheduler_create(const class_spec_t *classes, guint count)
{
    scheduler_t *s = g_new0(scheduler_t, 1);
    s->count = MIN(count, CLASS_MAX);
    for (guint i = 0; i < s->count; i++) {
        class_init(&s->classes[i], &classes[i]);
    }
    s->endpoints = endpoint_set_create();
    s->jobs = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    s->team_lengths =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    heap_init(&s->deadlines);
    g_queue_init(&s->team_order);
    return s;
}

void
scheduler_destroy(scheduler_t *s)
{
    for (guint i = 0; i < s->count; i++) {
        queue_clear(&s->classes[i].waiting);
    }
    heap_clear(&s->deadlines);
    g_hash_table_unref(s->jobs);
    g_hash_table_unref(s->team_lengths);
    endpoint_set_destroy(s->endpoints);
    g_free(s);
}

static void
class_move_jobs(class_state_t *from, class_state_t *to, guint to_index)
{
    job_t *job;
    while ((job = queue_oldest(&from->waiting)) != NULL) {
        queue_remove(&from->waiting, job);
        job->ticket.class_index = to_index;
        queue_push(&to->waiting, job);
    }
    GList *link;
    while ((link = g_queue_pop_head_link(&from->running)) != NULL) {
        ((job_t *)link->data)->ticket.class_index = to_index;
        g_queue_push_tail_link(&to->running, link);
    }
}

void
scheduler_set_classes(scheduler_t *s, const class_spec_t *classes, guint count)
{
    count = CLAMP(count, 1, CLASS_MAX);
    for (guint i = 0; i < count; i++) {
        if (i >= s->count) {
            class_init(&s->classes[i], &classes[i]);
        }
        s->classes[i].spec = classes[i];
    }
    for (guint i = count; i < s->count; i++) {
        class_move_jobs(&s->classes[i], &s->classes[count - 1], count - 1);
        queue_clear(&s->classes[i].waiting);
    }
    s->count = count;
}

void
scheduler_set_ablation(scheduler_t *s, scheduler_ablation_t ablation)
{
    s->ablation = ablation;
}

void
scheduler_set_grace(scheduler_t *s, gint64 until_us)
{
    s->grace_until_us = until_us;
}

endpoint_set_t *
scheduler_endpoints(scheduler_t *s)
{
    return s->endpoints;
}

/* ---- answer lengths and service times ---- */

static guint64
length_key(guint class_index, guint64 team)
{
    return team ^ (class_index * 0x9e3779b97f4a7c15ULL);
}

double
scheduler_length_quantile(const scheduler_t *s, guint class_index,
                          guint64 team, double q)
{
    const class_state_t *c = &s->classes[class_index];
    guint64 key = length_key(class_index, team);
    const team_length_t *lengths = g_hash_table_lookup(s->team_lengths, &key);
    if (lengths && lengths->tokens.total >= 8) {
        return quantile_get(&lengths->tokens, q, c->spec.typical_tokens);
    }
    return quantile_get(&c->tokens, q, MAX(c->spec.typical_tokens, 1));
}

static void
length_record(scheduler_t *s, const job_t *job, guint tokens)
{
    class_state_t *c = &s->classes[job->ticket.class_index];
    quantile_add(&c->tokens, tokens);
    guint64 key = length_key(job->ticket.class_index, job->ticket.team);
    team_length_t *lengths = g_hash_table_lookup(s->team_lengths, &key);
    if (lengths == NULL) {
        if (s->team_order.length >= TEAM_LENGTHS_MAX) {
            team_length_t *oldest = s->team_order.head->data;
            g_queue_unlink(&s->team_order, &oldest->link);
            g_hash_table_remove(s->team_lengths, &oldest->key);
        }
        lengths = g_new0(team_length_t, 1);
        lengths->key = key;
        lengths->link.data = lengths;
        g_hash_table_insert(s->team_lengths, &lengths->key, lengths);
        g_queue_push_tail_link(&s->team_order, &lengths->link);
    }
    quantile_add(&lengths->tokens, tokens);
}

static double
expected_service_us(const scheduler_t *s, const ticket_t *ticket,
                    double tokens)
{
    const class_state_t *c = &s->classes[ticket->class_index];
    if (ticket->plain) {
        return quantile_trimmed_mean(&c->service_ms,
                                     DEFAULT_PLAIN_SERVICE_US / 1e3) *
               1e3;
    }
    double fallback_ms = tokens * DEFAULT_TOKEN_US / 1e3;
    return quantile_trimmed_mean(&c->service_ms, MAX(fallback_ms, 1)) * 1e3;
}

/* ---- headroom ---- */

/* Closes the demand window if it is over. Freed slots are counted against
 * arrivals from the top tier down; the arrivals that remain are the tier's
 * excess. */
static void
tiers_update_demand(scheduler_t *s, gint64 now_us)
{
    if (now_us - s->window_us < DEMAND_WINDOW_US) {
        return;
    }
    s->window_us = now_us;
    guint releases = s->releases;
    s->releases = 0;
    s->release_rate += RELEASE_RATE_SMOOTHING * (releases - s->release_rate);
    for (int t = 0; t < TIER_COUNT; t++) {
        tier_state_t *tier = &s->tiers[t];
        guint covered = MIN(releases, tier->arrivals);
        double excess = tier->arrivals - covered;
        releases -= covered;
        tier->arrivals = 0;
        tier->excess_peak = MAX(tier->excess_peak * EXCESS_PEAK_DECAY, excess);
    }
}

static gboolean
tier_protected(const scheduler_t *s, int tier)
{
    for (guint i = 0; i < s->count; i++) {
        if (s->classes[i].spec.tier == tier && s->classes[i].spec.protect) {
            return TRUE;
        }
    }
    return FALSE;
}

guint
scheduler_headroom(const scheduler_t *s, int tier)
{
    if (s->ablation.no_headroom) {
        return 0;
    }
    double slots = endpoint_set_slots(s->endpoints);
    double sum = 0;
    gboolean any = FALSE;
    for (int t = 0; t < tier; t++) {
        if (!tier_protected(s, t)) {
            continue;
        }
        any = TRUE;
        sum += s->tiers[t].excess_peak;
    }
    if (!any) {
        return 0;
    }
    return (guint)CLAMP(sum, HEADROOM_MIN_FRACTION * slots,
                        HEADROOM_MAX_FRACTION * slots);
}

guint
scheduler_floor(const scheduler_t *s, guint class_index)
{
    if (s->ablation.no_floors) {
        return 0;
    }
    double share = s->classes[class_index].spec.min_share;
    guint slots = endpoint_set_slots(s->endpoints);
    return share > 0 ? MAX(1, (guint)(share * slots)) : 0;
}

/* ---- class selection ---- */

/* Wait of the oldest ticket of a class, in microseconds. */
static gint64
oldest_wait(const class_state_t *c, gint64 now_us)
{
    const job_t *job = queue_oldest(&c->waiting);
    return job ? now_us - job->queued_us : 0;
}

/* Slots guaranteed to a class now: none without a minimum share, otherwise one
 * slot, and the whole minimum share once the class's oldest ticket has waited
 * longer than max_wait_us. */
static guint
floor_now(const scheduler_t *s, guint class_index, gint64 now_us)
{
    const class_state_t *c = &s->classes[class_index];
    guint floor = scheduler_floor(s, class_index);
    gboolean overdue = oldest_wait(c, now_us) > c->spec.max_wait_us;
    return overdue ? floor : MIN(floor, 1);
}

/* Free slots that count for a class. For a protected class the slots of
 * degraded endpoints do not count. */
static guint
class_free_slots(const scheduler_t *s, const class_state_t *c)
{
    return endpoint_set_free_slots(s->endpoints, c->spec.protect);
}

/* Picks the class whose oldest ticket exceeds max_wait_us by the largest
 * ratio. */
static class_state_t *
pick_aged(scheduler_t *s, gint64 now_us)
{
    class_state_t *best = NULL;
    double best_ratio = 1;
    for (guint i = 0; i < s->count; i++) {
        class_state_t *c = &s->classes[i];
        if (c->waiting.by_arrival.length == 0 || class_free_slots(s, c) == 0) {
            continue;
        }
        double ratio =
            (double)oldest_wait(c, now_us) / (double)c->spec.max_wait_us;
        if (ratio > best_ratio) {
            best = c;
            best_ratio = ratio;
        }
    }
    return best;
}

/* Picks the class of the highest tier that runs fewer tickets than its
 * floor. */
static class_state_t *
pick_below_floor(scheduler_t *s, gint64 now_us)
{
    class_state_t *best = NULL;
    for (guint i = 0; i < s->count; i++) {
        class_state_t *c = &s->classes[i];
        if (c->waiting.by_arrival.length == 0 || class_free_slots(s, c) == 0 ||
            c->running.length >= floor_now(s, i, now_us)) {
            continue;
        }
        if (best == NULL || c->spec.tier < best->spec.tier) {
            best = c;
        }
    }
    return best;
}

/* Picks a class by tier, then by weighted virtual time. Returns NULL if only
 * the headroom of higher tiers is free. */
static class_state_t *
pick_strict(scheduler_t *s)
{
    class_state_t *best = NULL;
    for (guint i = 0; i < s->count; i++) {
        class_state_t *c = &s->classes[i];
        if (c->waiting.by_arrival.length == 0 || class_free_slots(s, c) == 0) {
            continue;
        }
        if (best == NULL || c->spec.tier < best->spec.tier ||
            (c->spec.tier == best->spec.tier &&
             c->virtual_time < best->virtual_time)) {
            best = c;
        }
    }
    if (best &&
        class_free_slots(s, best) <= scheduler_headroom(s, best->spec.tier)) {
        return NULL;
    }
    return best;
}

static class_state_t *
pick_class(scheduler_t *s, gint64 now_us, gboolean *aged)
{
    *aged = FALSE;
    if (endpoint_set_free_slots(s->endpoints, FALSE) == 0) {
        return NULL;
    }
    if (s->grants_since_aged >= AGED_GRANT_INTERVAL) {
        class_state_t *c = pick_aged(s, now_us);
        if (c != NULL) {
            *aged = TRUE;
            return c;
        }
    }
    class_state_t *c = pick_below_floor(s, now_us);
    return c ? c : pick_strict(s);
}

/* ---- grants ---- */

/* Lowest virtual time of the waiting classes of a tier. A class that starts to
 * wait begins there, so an idle class earns no credit. */
static double
class_min_virtual_time(const scheduler_t *s, int tier)
{
    double lowest = -1;
    for (guint i = 0; i < s->count; i++) {
        const class_state_t *c = &s->classes[i];
        if (c->spec.tier == tier && c->waiting.by_arrival.length > 0 &&
            (lowest < 0 || c->virtual_time < lowest)) {
            lowest = c->virtual_time;
        }
    }
    return MAX(lowest, 0);
}

static void
job_start(scheduler_t *s, job_t *job, guint64 endpoint, gint64 now_us)
{
    class_state_t *c = &s->classes[job->ticket.class_index];
    job->state = JOB_RUNNING;
    job->endpoint = endpoint;
    job->started_us = now_us;
    job->class_link.data = job;
    g_queue_push_head_link(&c->running, &job->class_link);
}

static void
job_dequeue(scheduler_t *s, job_t *job)
{
    queue_remove(&s->classes[job->ticket.class_index].waiting, job);
    if (job->deadline.index >= 0) {
        heap_remove(&s->deadlines, &job->deadline);
    }
}

static void
append_grant(const job_t *job, gint64 waited_us, GArray *actions)
{
    action_t action = {
        .type = ACTION_GRANT,
        .ticket = job->ticket.id,
        .endpoint = job->endpoint,
        .waited_us = waited_us,
    };
    g_array_append_val(actions, action);
}

static void
grant(scheduler_t *s, class_state_t *c, job_t *job, endpoint_state_t *e,
      gint64 now_us, GArray *actions)
{
    job_dequeue(s, job);
    queue_charge(&c->waiting, job);
    c->virtual_time += job->service_us / MAX(c->spec.weight, 0.001);
    guint64 prefix = s->ablation.no_affinity ? 0 : job->ticket.prefix;
    endpoint_set_acquire(s->endpoints, e, prefix, now_us);
    job_start(s, job, e->id, now_us);
    gint64 waited = now_us - job->queued_us;
    c->stats.granted++;
    c->stats.longest_wait_us = MAX(c->stats.longest_wait_us, waited);
    append_grant(job, waited, actions);
}

static gboolean
grant_next(scheduler_t *s, gint64 now_us, GArray *actions)
{
    gboolean aged;
    class_state_t *c = pick_class(s, now_us, &aged);
    if (c == NULL) {
        return FALSE;
    }
    /* A class picked by age is served by arrival, so that the bound on waiting
     * holds for each ticket. */
    job_t *job = aged ? queue_oldest(&c->waiting) : queue_peek(&c->waiting);
    double prefill_us = job->ticket.prompt_tokens * PREFILL_US_PER_TOKEN;
    guint64 prefix = s->ablation.no_affinity ? 0 : job->ticket.prefix;
    endpoint_state_t *e = endpoint_set_choose(
        s->endpoints, c->spec.protect, prefix, job->ticket.avoid, prefill_us,
        job->expected_tokens);
    if (e == NULL) {
        return FALSE;
    }
    s->grants_since_aged = aged ? 0 : s->grants_since_aged + 1;
    grant(s, c, job, e, now_us, actions);
    return TRUE;
}

/* ---- refusal ---- */

gint64
scheduler_expected_wait(const scheduler_t *s, guint class_index)
{
    const class_state_t *own = &s->classes[class_index];
    guint slots = endpoint_set_slots(s->endpoints);
    if (slots == 0) {
        return RETRY_AFTER_MIN_US;
    }
    double ahead_us = 0;
    guint reserved = 0;
    gboolean lower_running = FALSE;
    for (guint i = 0; i < s->count; i++) {
        const class_state_t *c = &s->classes[i];
        if (c->spec.tier <= own->spec.tier) {
            ahead_us += c->waiting.service_us;
        }
        else {
            guint floor = MIN(scheduler_floor(s, i), c->running.length);
            reserved += floor;
            lower_running |= c->running.length > floor;
        }
    }
    if (class_free_slots(s, own) > 0 && ahead_us == 0) {
        return 0;
    }
    guint usable = slots > reserved ? slots - reserved : 1;
    double service_us =
        quantile_trimmed_mean(&own->service_ms, DEFAULT_TOKEN_US / 1e3) * 1e3;
    double next_slot_us = lower_running ? 0 : service_us / usable;
    return (gint64)(ahead_us / usable + next_slot_us);
}

static void
refuse(scheduler_t *s, job_t *job, refuse_reason_t reason,
       gint64 retry_after_us, gint64 now_us, GArray *actions)
{
    class_state_t *c = &s->classes[job->ticket.class_index];
    c->stats.refused++;
    action_t action = {
        .type = ACTION_REFUSE,
        .ticket = job->ticket.id,
        .reason = reason,
        .retry_after_us =
            CLAMP(retry_after_us, RETRY_AFTER_MIN_US, RETRY_AFTER_MAX_US),
        .waited_us = now_us - job->queued_us,
    };
    g_array_append_val(actions, action);
    g_hash_table_remove(s->jobs, &job->ticket.id);
}

/* Whether a class of a tier below `tier` has running requests. */
static gboolean
lower_tier_running(const scheduler_t *s, int tier)
{
    for (guint i = 0; i < s->count; i++) {
        const class_state_t *c = &s->classes[i];
        if (c->spec.tier > tier && c->running.length > 0) {
            return TRUE;
        }
    }
    return FALSE;
}

/* A protected class is refused only if no lower tier has running requests. */
static gboolean
may_refuse(const scheduler_t *s, const class_state_t *c)
{
    return !c->spec.protect || !lower_tier_running(s, c->spec.tier);
}

static refuse_reason_t
refusal_on_submit(const scheduler_t *s, const job_t *job, gint64 wait_us,
                  gint64 now_us)
{
    const class_state_t *c = &s->classes[job->ticket.class_index];
    if (endpoint_set_count(s->endpoints) == 0) {
        return now_us < s->grace_until_us ? REFUSE_NONE : REFUSE_POOL;
    }
    if (!may_refuse(s, c)) {
        return REFUSE_NONE;
    }
    if (c->waiting.by_arrival.length >= c->spec.queue_limit) {
        return REFUSE_QUEUE;
    }
    gint64 latest_us = job->ticket.arrived_us + c->spec.deadline_us;
    gboolean resumed = job->ticket.done_tokens > 0;
    if (!s->ablation.no_early_refusal && !resumed &&
        now_us + wait_us > latest_us) {
        return REFUSE_DEADLINE;
    }
    return REFUSE_NONE;
}

/* ---- preemption ---- */

/* Finds a job to preempt: the newest job of the lowest tier below `tier`, of a
 * class that is resumable, not protected, and runs more jobs than its floor.
 */
static job_t *
find_victim(scheduler_t *s, int tier, gint64 now_us)
{
    job_t *victim = NULL;
    int victim_tier = tier;
    for (guint i = 0; i < s->count; i++) {
        class_state_t *c = &s->classes[i];
        if (c->spec.tier <= victim_tier || !c->spec.resume ||
            c->spec.protect || c->running.length <= floor_now(s, i, now_us)) {
            continue;
        }
        for (GList *l = c->running.head; l; l = l->next) {
            job_t *job = l->data;
            if (!job->preempting &&
                job->ticket.preemptions < PREEMPTIONS_MAX) {
                victim = job;
                victim_tier = c->spec.tier;
                break;
            }
        }
    }
    return victim;
}

/* Requests preemptions for the waiting tickets of a protected class. */
static void
preempt_for(scheduler_t *s, class_state_t *c, gint64 now_us, GArray *actions)
{
    gint64 waited = oldest_wait(c, now_us);
    gint64 min_wait_us = c->spec.first_token_us / PREEMPT_WAIT_DIVISOR;
    if (!c->spec.protect || waited < min_wait_us) {
        return;
    }
    /* Slots that are expected to come free in time need no preemption. */
    gint64 slack = MAX(c->spec.first_token_us / 2 - waited, 0);
    double expected_releases =
        s->release_rate * (double)slack / (double)DEMAND_WINDOW_US;
    double shortfall = c->waiting.by_arrival.length - expected_releases;
    if (shortfall < 1) {
        return;
    }
    guint wanted = (guint)shortfall;
    while (s->preempts_pending < wanted) {
        job_t *victim = find_victim(s, c->spec.tier, now_us);
        if (victim == NULL) {
            return;
        }
        victim->preempting = TRUE;
        s->preempts_pending++;
        s->classes[victim->ticket.class_index].stats.preempted++;
        action_t action = {
            .type = ACTION_PREEMPT,
            .ticket = victim->ticket.id,
            .endpoint = victim->endpoint,
        };
        g_array_append_val(actions, action);
    }
}

static void
preempt(scheduler_t *s, gint64 now_us, GArray *actions)
{
    if (s->ablation.no_preemption) {
        return;
    }
    for (guint i = 0; i < s->count; i++) {
        class_state_t *c = &s->classes[i];
        /* Free slots may be headroom of higher tiers, which this class cannot
         * use. */
        gboolean blocked =
            class_free_slots(s, c) <= scheduler_headroom(s, c->spec.tier);
        if (c->waiting.by_arrival.length > 0 && blocked) {
            preempt_for(s, c, now_us, actions);
        }
    }
}

/* ---- events ---- */

void
scheduler_grant(scheduler_t *s, gint64 now_us, GArray *actions)
{
    while (grant_next(s, now_us, actions)) {
    }
    preempt(s, now_us, actions);
}

static job_t *
job_create(scheduler_t *s, const ticket_t *ticket, gint64 now_us)
{
    job_t *job = g_new0(job_t, 1);
    job->ticket = *ticket;
    job->ticket.class_index = MIN(ticket->class_index, s->count - 1);
    job->queued_us = now_us;
    job->deadline.index = -1;
    job->deadline.tie = ticket->id;
    double length = scheduler_length_quantile(s, job->ticket.class_index,
                                              ticket->team, LENGTH_QUANTILE);
    job->expected_tokens = MAX(length - ticket->done_tokens, 1);
    job->service_us =
        expected_service_us(s, &job->ticket, job->expected_tokens);
    g_hash_table_insert(s->jobs, &job->ticket.id, job);
    return job;
}

void
scheduler_submit(scheduler_t *s, const ticket_t *ticket, gint64 now_us,
                 GArray *actions)
{
    job_t *existing = g_hash_table_lookup(s->jobs, &ticket->id);
    if (existing != NULL) {
        if (existing->state == JOB_RUNNING) {
            append_grant(existing, 0, actions);
        }
        return;
    }
    job_t *job = job_create(s, ticket, now_us);
    class_state_t *c = &s->classes[job->ticket.class_index];
    c->stats.submitted++;
    gint64 wait_us = scheduler_expected_wait(s, job->ticket.class_index);
    refuse_reason_t reason = refusal_on_submit(s, job, wait_us, now_us);
    if (reason != REFUSE_NONE) {
        refuse(s, job, reason, wait_us - c->spec.deadline_us, now_us, actions);
        return;
    }
    if (c->waiting.by_arrival.length == 0) {
        c->virtual_time =
            MAX(c->virtual_time, class_min_virtual_time(s, c->spec.tier));
    }
    queue_push(&c->waiting, job);
    job->deadline.key = (double)(job->ticket.arrived_us + c->spec.deadline_us);
    heap_push(&s->deadlines, &job->deadline);
    s->tiers[c->spec.tier].arrivals++;
    scheduler_grant(s, now_us, actions);
}

void
scheduler_adopt(scheduler_t *s, const ticket_t *ticket, guint64 endpoint,
                gint64 now_us)
{
    if (g_hash_table_contains(s->jobs, &ticket->id)) {
        return;
    }
    job_t *job = job_create(s, ticket, now_us);
    endpoint_state_t *e =
        (endpoint_state_t *)endpoint_set_find(s->endpoints, endpoint);
    if (e != NULL) {
        endpoint_set_acquire(s->endpoints, e, ticket->prefix, now_us);
    }
    job_start(s, job, endpoint, now_us);
}

void
scheduler_cancel(scheduler_t *s, guint64 id)
{
    job_t *job = g_hash_table_lookup(s->jobs, &id);
    if (job == NULL || job->state != JOB_WAITING) {
        return;
    }
    job_dequeue(s, job);
    g_hash_table_remove(s->jobs, &id);
}

/* Removes a running job from its class. */
static void
job_stop(scheduler_t *s, job_t *job)
{
    class_state_t *c = &s->classes[job->ticket.class_index];
    g_queue_unlink(&c->running, &job->class_link);
    if (job->preempting && s->preempts_pending > 0) {
        s->preempts_pending--;
    }
}

void
scheduler_settle(scheduler_t *s, guint64 id, const settlement_t *settlement,
                 gint64 now_us, GArray *actions)
{
    job_t *job = g_hash_table_lookup(s->jobs, &id);
    if (job == NULL || job->state != JOB_RUNNING) {
        return;
    }
    job_stop(s, job);
    s->releases++;
    class_state_t *c = &s->classes[job->ticket.class_index];
    gboolean failed = settlement->result == SETTLE_FAILED;
    endpoint_set_release(s->endpoints, job->endpoint, failed,
                         settlement->token_us, now_us);
    double elapsed_ms = (double)(now_us - job->started_us) / 1e3;
    if (settlement->result == SETTLE_COMPLETE) {
        quantile_add(&c->service_ms, MAX(elapsed_ms, 1));
        if (!job->ticket.plain) {
            length_record(s, job, settlement->tokens);
        }
    }
    g_hash_table_remove(s->jobs, &id);
    scheduler_grant(s, now_us, actions);
}

/* Refuses waiting tickets whose deadline has passed. A ticket that must not be
 * refused keeps waiting. */
static void
expire(scheduler_t *s, gint64 now_us, GArray *actions)
{
    for (;;) {
        heap_node_t *node = heap_peek(&s->deadlines);
        if (node == NULL || node->key > (double)now_us) {
            return;
        }
        job_t *job = (job_t *)node;
        class_state_t *c = &s->classes[job->ticket.class_index];
        if (!may_refuse(s, c) || job->ticket.done_tokens > 0) {
            /* The job keeps waiting, because lower tiers can free a slot for
             * the job or because its answer has begun. The deadline is checked
             * again after first_token_us. */
            job->deadline.key = (double)(now_us + c->spec.first_token_us + 1);
            heap_update(&s->deadlines, node);
            continue;
        }
        guint class_index = job->ticket.class_index;
        job_dequeue(s, job);
        refuse(s, job, REFUSE_DEADLINE,
               scheduler_expected_wait(s, class_index), now_us, actions);
    }
}

/* Refuses all waiting tickets when the pool has no endpoints. */
static void
refuse_all(scheduler_t *s, gint64 now_us, GArray *actions)
{
    for (guint i = 0; i < s->count; i++) {
        job_t *job;
        while ((job = queue_oldest(&s->classes[i].waiting)) != NULL) {
            job_dequeue(s, job);
            refuse(s, job, REFUSE_POOL, RETRY_AFTER_MIN_US, now_us, actions);
        }
    }
}

void
scheduler_tick(scheduler_t *s, gint64 now_us, GArray *actions)
{
    endpoint_set_update_health(s->endpoints, now_us);
    tiers_update_demand(s, now_us);
    if (endpoint_set_count(s->endpoints) == 0 && now_us >= s->grace_until_us) {
        refuse_all(s, now_us, actions);
    }
    expire(s, now_us, actions);
    scheduler_grant(s, now_us, actions);
}

/* Ends a job that its entry instance no longer knows. */
static void
job_drop(scheduler_t *s, job_t *job, gint64 now_us)
{
    if (job->state == JOB_WAITING) {
        job_dequeue(s, job);
        return;
    }
    job_stop(s, job);
    endpoint_set_release(s->endpoints, job->endpoint, FALSE, 0, now_us);
}

static gboolean
contains_id(const guint64 *ids, gsize count, guint64 id)
{
    for (gsize i = 0; i < count; i++) {
        if (ids[i] == id) {
            return TRUE;
        }
    }
    return FALSE;
}

guint
scheduler_reconcile(scheduler_t *s, guint32 entry, const guint64 *ids,
                    gsize count, gint64 before_us, gint64 now_us,
                    GArray *actions)
{
    guint ended = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, s->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        job_t *job = value;
        if (job->state != JOB_RUNNING || job->started_us >= before_us ||
            (guint32)(job->ticket.id >> 32) != entry ||
            contains_id(ids, count, job->ticket.id)) {
            continue;
        }
        job_drop(s, job, now_us);
        g_hash_table_iter_remove(&iter);
        ended++;
    }
    if (ended > 0) {
        scheduler_grant(s, now_us, actions);
    }
    return ended;
}

void
scheduler_drop_entry(scheduler_t *s, guint32 entry, gint64 now_us,
                     GArray *actions)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, s->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        job_t *job = value;
        if ((guint32)(job->ticket.id >> 32) != entry) {
            continue;
        }
        job_drop(s, job, now_us);
        g_hash_table_iter_remove(&iter);
    }
    scheduler_grant(s, now_us, actions);
}

guint
scheduler_waiting(const scheduler_t *s, guint class_index)
{
    return s->classes[class_index].waiting.by_arrival.length;
}

guint
scheduler_running(const scheduler_t *s, guint class_index)
{
    return s->classes[class_index].running.length;
}

const class_stats_t *
scheduler_stats(const scheduler_t *s, guint class_index)
{
    return &s->classes[class_index].stats;
}
