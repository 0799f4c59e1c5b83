/* The policies side by side: baselines, ours in three ways across instances,
 * ours with parts left out, and the clairvoyant. */
#include <string.h>

#include "replay.h"

/* Bytes of a message between instances: what wire.c writes, the frame's head
 * and ZeroMQ's with CURVE. bench/capacity measures the same. */
enum {
    FRAME_BYTES = 17 + 2 + 33,
    TICKET_BYTES = 72 + FRAME_BYTES,
    DECISION_BYTES = 48 + FRAME_BYTES,
    SETTLE_BYTES = 32 + FRAME_BYTES,
    LOAD_BYTES = 24,
    DEMAND_BYTES = 32 + FRAME_BYTES,
};
static const double CACHE_EVENT_LOSS = 0.2;
static const gint64 LEASE_US = 1000000;

/* ---- baselines: each request goes to an engine at once ---- */

typedef struct {
    world_t *world;
    guint own[REPLAY_INSTANCES][REPLAY_ENGINES]; /* in flight, by instance */
    guint seen[REPLAY_ENGINES];                  /* as last reported */
    gboolean down[REPLAY_ENGINES];
} direct_t;

static void *
direct_create(world_t *w)
{
    direct_t *p = g_new0(direct_t, 1);
    p->world = w;
    return p;
}

static guint
random_engine(direct_t *p, guint pool)
{
    const trace_t *t = p->world->trace;
    for (int i = 0; i < 1000; i++) {
        guint at =
            (guint)g_rand_int_range(p->world->rand, 0, (gint)t->engine_count);
        if (t->engines[at].pool == pool && !p->down[at]) {
            return at;
        }
    }
    return 0;
}

static void
send_to(direct_t *p, request_t *r, guint engine)
{
    p->own[r->instance][engine]++;
    world_start(p->world, r, engine);
}

static void
fcfs_arrive(void *policy, request_t *r)
{
    send_to(policy, r, random_engine(policy, r->pool));
}

static void
least_arrive(void *policy, request_t *r)
{
    direct_t *p = policy;
    const trace_t *t = p->world->trace;
    guint best = random_engine(p, r->pool);
    for (guint i = 0; i < t->engine_count; i++) {
        if (t->engines[i].pool == r->pool && !p->down[i] &&
            p->seen[i] < p->seen[best]) {
            best = i;
        }
    }
    send_to(p, r, best);
}

static void
p2c_arrive(void *policy, request_t *r)
{
    direct_t *p = policy;
    guint a = random_engine(p, r->pool);
    guint b = random_engine(p, r->pool);
    guint load_a = MAX(p->seen[a], p->own[r->instance][a]);
    guint load_b = MAX(p->seen[b], p->own[r->instance][b]);
    send_to(p, r, load_a <= load_b ? a : b);
}

static void
direct_ended(void *policy, request_t *r, guint engine,
             const settlement_t *settlement)
{
    direct_t *p = policy;
    (void)settlement;
    if (p->own[r->instance][engine] > 0) {
        p->own[r->instance][engine]--;
    }
}

static void
direct_cancelled(void *policy, request_t *r)
{
    (void)policy;
    (void)r;
}

static void
direct_report(void *policy, const engine_t *e, gint64 at_us)
{
    (void)at_us;
    direct_t *p = policy;
    p->seen[e->index] = e->reported_busy;
    for (int i = 0; i < REPLAY_INSTANCES; i++) {
        world_message(p->world, LOAD_BYTES);
    }
}

static void
direct_cache(void *policy, const engine_t *e, guint64 prefix)
{
    (void)policy;
    (void)e;
    (void)prefix;
}

static void
direct_up(void *policy, const engine_t *e, gboolean up)
{
    ((direct_t *)policy)->down[e->index] = !up;
}

static void
direct_tick(void *policy)
{
    (void)policy;
}

/* ---- ours: the daemon's scheduler ---- */

typedef enum { ACROSS_TICKETS, ACROSS_ALONE, ACROSS_LEASES } across_t;

typedef struct {
    world_t *world;
    across_t across;
    scheduler_t *schedulers[REPLAY_INSTANCES][REPLAY_POOLS];
    class_spec_t specs[REPLAY_CLASSES];
    GArray *actions;
    gboolean down[REPLAY_ENGINES];
} ours_t;

static guint
scheduler_index(const ours_t *p, const request_t *r)
{
    return p->across == ACROSS_TICKETS ? 0 : r->instance;
}

static guint
scheduler_count(const ours_t *p)
{
    return p->across == ACROSS_TICKETS ? 1 : REPLAY_INSTANCES;
}

static guint
slots_for(const ours_t *p, const engine_t *e, guint at)
{
    if (p->across == ACROSS_TICKETS) {
        return e->slots;
    }
    return e->slots / REPLAY_INSTANCES +
           ((e->index + at) % REPLAY_INSTANCES < e->slots % REPLAY_INSTANCES);
}

static void
put_engine(ours_t *p, const engine_t *e, guint at, guint slots)
{
    endpoint_set_put(scheduler_endpoints(p->schedulers[at][e->pool]),
                     e->index + 1, slots, p->world->now_us);
}

static void *
ours_make(world_t *w, across_t across, scheduler_ablation_t ablation)
{
    ours_t *p = g_new0(ours_t, 1);
    p->world = w;
    p->across = across;
    p->actions = g_array_new(FALSE, FALSE, sizeof(action_t));
    for (guint i = 0; i < w->trace->class_count; i++) {
        p->specs[i] = w->trace->classes[i].spec;
    }
    for (guint at = 0; at < scheduler_count(p); at++) {
        for (guint pool = 0; pool < REPLAY_POOLS; pool++) {
            p->schedulers[at][pool] =
                scheduler_create(p->specs, w->trace->class_count);
            scheduler_set_ablation(p->schedulers[at][pool], ablation);
        }
        for (guint i = 0; i < w->trace->engine_count; i++) {
            const engine_t *e = &w->trace->engines[i];
            put_engine(p, e, at, slots_for(p, e, at));
        }
    }
    return p;
}

static void *
ours_create(world_t *w)
{
    return ours_make(w, ACROSS_TICKETS, (scheduler_ablation_t){0});
}

static void *
alone_create(world_t *w)
{
    return ours_make(w, ACROSS_ALONE, (scheduler_ablation_t){0});
}

static void *
leases_create(world_t *w)
{
    return ours_make(w, ACROSS_LEASES, (scheduler_ablation_t){0});
}

#define ABLATION(part)                                                        \
    static void *part##_create(world_t *w)                                    \
    {                                                                         \
        return ours_make(w, ACROSS_TICKETS,                                   \
                         (scheduler_ablation_t){.part = TRUE});               \
    }

ABLATION(no_headroom)
ABLATION(no_preemption)
ABLATION(no_early_refusal)
ABLATION(no_floors)
ABLATION(no_affinity)

static void
ours_destroy(void *policy)
{
    ours_t *p = policy;
    for (guint at = 0; at < scheduler_count(p); at++) {
        for (guint pool = 0; pool < REPLAY_POOLS; pool++) {
            scheduler_destroy(p->schedulers[at][pool]);
        }
    }
    g_array_unref(p->actions);
    g_free(p);
}

static request_t *
request_of(const ours_t *p, guint64 id)
{
    guint index = (guint)(id & 0xffffffff) - 1;
    return &g_array_index(p->world->trace->requests, request_t, index);
}

static void submit(ours_t *p, request_t *r);

static void
carry_out(ours_t *p, const action_t *a)
{
    request_t *r = request_of(p, a->ticket);
    if (p->across == ACROSS_TICKETS) {
        world_message(p->world, DECISION_BYTES);
    }
    if (a->type == ACTION_GRANT) {
        world_start(p->world, r, (guint)a->endpoint - 1);
        return;
    }
    if (a->type == ACTION_REFUSE) {
        world_refuse(p->world, r);
        return;
    }
    world_preempt(p->world, r);
    settlement_t none = {.result = SETTLE_CANCELLED, .tokens = r->received};
    guint at = scheduler_index(p, r);
    scheduler_settle(p->schedulers[at][r->pool], r->id, &none,
                     p->world->now_us, p->actions);
    submit(p, r);
}

/* Actions may lead to more; each batch is taken out before it is done. */
static void
flush(ours_t *p)
{
    while (p->actions->len > 0) {
        GArray *batch = p->actions;
        p->actions = g_array_new(FALSE, FALSE, sizeof(action_t));
        for (guint i = 0; i < batch->len; i++) {
            carry_out(p, &g_array_index(batch, action_t, i));
        }
        g_array_unref(batch);
    }
}

static void
submit(ours_t *p, request_t *r)
{
    const engine_t *first = NULL;
    for (guint i = 0; i < p->world->trace->engine_count && !first; i++) {
        const engine_t *e = &p->world->trace->engines[i];
        first = e->pool == r->pool ? e : NULL;
    }
    ticket_t ticket = {
        .id = r->id,
        .class_index = r->class_index,
        .team = r->team,
        .team_weight = 1,
        .prompt_tokens = r->prompt,
        .prefix = r->prefix,
        .avoid = r->avoid,
        .done_tokens = r->received,
        .preemptions = r->preemptions,
        .arrived_us = r->arrive_us,
        .plain = first && first->service_us > 0,
    };
    guint at = scheduler_index(p, r);
    scheduler_submit(p->schedulers[at][r->pool], &ticket, p->world->now_us,
                     p->actions);
}

static void
ours_arrive(void *policy, request_t *r)
{
    ours_t *p = policy;
    if (p->across == ACROSS_TICKETS) {
        world_message(p->world, TICKET_BYTES);
    }
    submit(p, r);
    flush(p);
}

static void
ours_ended(void *policy, request_t *r, guint engine,
           const settlement_t *settlement)
{
    ours_t *p = policy;
    (void)engine;
    if (p->across == ACROSS_TICKETS) {
        world_message(p->world, SETTLE_BYTES);
    }
    guint at = scheduler_index(p, r);
    scheduler_settle(p->schedulers[at][r->pool], r->id, settlement,
                     p->world->now_us, p->actions);
    flush(p);
}

static void
ours_cancelled(void *policy, request_t *r)
{
    ours_t *p = policy;
    settlement_t none = {.result = SETTLE_CANCELLED};
    guint at = scheduler_index(p, r);
    scheduler_cancel(p->schedulers[at][r->pool], r->id);
    scheduler_settle(p->schedulers[at][r->pool], r->id, &none,
                     p->world->now_us, p->actions);
    flush(p);
}

static void
ours_report(void *policy, const engine_t *e, gint64 at_us)
{
    ours_t *p = policy;
    gboolean seeing = p->world->ops->clairvoyant;
    double token_us = seeing ? engine_token_us(e) : e->reported_token_us;
    for (guint at = 0; at < scheduler_count(p); at++) {
        /* The owner grants all slots: what it knows is better than the
         * report, but where several divide them. */
        guint busy = p->across == ACROSS_TICKETS ? e->reported_busy : 0;
        endpoint_set_report(scheduler_endpoints(p->schedulers[at][e->pool]),
                            e->index + 1, busy, token_us, at_us);
        world_message(p->world, LOAD_BYTES);
    }
}

static void
ours_cache(void *policy, const engine_t *e, guint64 prefix)
{
    ours_t *p = policy;
    if (g_rand_double(p->world->rand) < CACHE_EVENT_LOSS) {
        return;
    }
    for (guint at = 0; at < scheduler_count(p); at++) {
        endpoint_set_prefix(scheduler_endpoints(p->schedulers[at][e->pool]),
                            prefix, e->index + 1, TRUE);
    }
}

static void
ours_up(void *policy, const engine_t *e, gboolean up)
{
    ours_t *p = policy;
    p->down[e->index] = !up;
    for (guint at = 0; at < scheduler_count(p); at++) {
        if (up) {
            put_engine(p, e, at, slots_for(p, e, at));
        }
        else {
            endpoint_set_remove(
                scheduler_endpoints(p->schedulers[at][e->pool]), e->index + 1);
        }
    }
}

/* What an instance wants of a pool: what runs there and what waits. */
static guint
demand_of(const ours_t *p, guint at, guint pool)
{
    guint sum = 0;
    for (guint i = 0; i < p->world->trace->class_count; i++) {
        guint weight = 6 - (guint)p->specs[i].tier;
        sum += weight * (scheduler_waiting(p->schedulers[at][pool], i) +
                         scheduler_running(p->schedulers[at][pool], i));
    }
    return sum + 1;
}

/* Slots are divided anew by demand, each lease's length. */
static void
renew_leases(ours_t *p)
{
    guint total[REPLAY_POOLS] = {0};
    guint demand[REPLAY_INSTANCES][REPLAY_POOLS];
    for (guint at = 0; at < REPLAY_INSTANCES; at++) {
        for (guint pool = 0; pool < REPLAY_POOLS; pool++) {
            demand[at][pool] = demand_of(p, at, pool);
            total[pool] += demand[at][pool];
        }
        world_message(p->world, DEMAND_BYTES);
    }
    for (guint i = 0; i < p->world->trace->engine_count; i++) {
        const engine_t *e = &p->world->trace->engines[i];
        guint given = 0;
        for (guint k = 0; k < REPLAY_INSTANCES && !p->down[i]; k++) {
            guint at = (k + e->index) % REPLAY_INSTANCES;
            guint slots =
                k == REPLAY_INSTANCES - 1
                    ? e->slots - given
                    : MIN(e->slots * demand[at][e->pool] / total[e->pool],
                          e->slots - given);
            given += slots;
            put_engine(p, e, at, slots);
            world_message(p->world, DEMAND_BYTES);
        }
    }
}

static void
ours_tick(void *policy)
{
    ours_t *p = policy;
    if (p->across == ACROSS_LEASES && p->world->now_us % LEASE_US == 0) {
        renew_leases(p);
    }
    if (p->world->now_us % 50000 != 0) {
        return;
    }
    for (guint at = 0; at < scheduler_count(p); at++) {
        for (guint pool = 0; pool < REPLAY_POOLS; pool++) {
            scheduler_tick(p->schedulers[at][pool], p->world->now_us,
                           p->actions);
        }
    }
    flush(p);
}

#define DIRECT(n, arrive_fn, priority)                                        \
    {                                                                         \
        .name = (n), .engine_priority = (priority), .create = direct_create,  \
        .destroy = g_free, .arrive = (arrive_fn), .ended = direct_ended,      \
        .cancelled = direct_cancelled, .report = direct_report,               \
        .cache = direct_cache, .up = direct_up, .tick = direct_tick           \
    }
#define OURS(n, create_fn, sees)                                              \
    {                                                                         \
        .name = (n), .engine_priority = TRUE, .clairvoyant = (sees),          \
        .create = (create_fn), .destroy = ours_destroy,                       \
        .arrive = ours_arrive, .ended = ours_ended,                           \
        .cancelled = ours_cancelled, .report = ours_report,                   \
        .cache = ours_cache, .up = ours_up, .tick = ours_tick                 \
    }

static const policy_ops_t POLICIES[] = {
    DIRECT("fcfs-random", fcfs_arrive, FALSE),
    DIRECT("least-loaded", least_arrive, FALSE),
    DIRECT("alone-p2c", p2c_arrive, TRUE),
    OURS("ours-alone", alone_create, FALSE),
    OURS("ours-leases", leases_create, FALSE),
    OURS("ours", ours_create, FALSE),
    OURS("no-headroom", no_headroom_create, FALSE),
    OURS("no-preemption", no_preemption_create, FALSE),
    OURS("no-early-refusal", no_early_refusal_create, FALSE),
    OURS("no-floors", no_floors_create, FALSE),
    OURS("no-affinity", no_affinity_create, FALSE),
    OURS("clairvoyant", ours_create, TRUE),
};

const policy_ops_t *
policy_at(guint index)
{
    return index < G_N_ELEMENTS(POLICIES) ? &POLICIES[index] : NULL;
}

const policy_ops_t *
policy_find(const char *name)
{
    for (guint i = 0; i < G_N_ELEMENTS(POLICIES); i++) {
        if (strcmp(POLICIES[i].name, name) == 0) {
            return &POLICIES[i];
        }
    }
    return NULL;
}
