/* How many engines are ordered: the plan by itself, and loads played on a
 * model of engines that start, are reclaimed and are paid for. */
#include <math.h>
#include <string.h>

#include "batch_engine.h"
#include "carobloom/policy/capacity_plan.h"
#include "check.h"

enum { MS = 1000, SECOND = 1000 * MS, SLOTS = 16, PLACES = 3 };

/* ---- demand ---- */

static void
note(capacity_demand_t *demand, guint64 incarnation, guint64 arrived,
     gint64 now_us)
{
    service_work_t work = {.service = "s",
                           .running = 4,
                           .arrived = arrived,
                           .turned_away = arrived / 10,
                           .read_tokens = arrived * 100,
                           .tokens_per_ms = 60};
    capacity_demand_record(demand, incarnation, &work, now_us);
}

/* Rates follow what is told within seconds, whoever starts again or ends. */
static void
test_demand(void)
{
    capacity_demand_t *demand = capacity_demand_create();
    for (guint i = 0; i <= 20; i++) {
        note(demand, 1, 1000 + 5 * i, i * 250 * (gint64)MS);
        note(demand, 2, 10 * i, i * 250 * (gint64)MS);
    }
    service_demand_t d = capacity_demand_sum(demand, "s", 5 * SECOND);
    CU_ASSERT_EQUAL(d.reporters, 2);
    CU_ASSERT_EQUAL(d.running, 8);
    CU_ASSERT(fabs(d.arrived - 60) < 2);
    CU_ASSERT(fabs(d.turned_away - 6) < 1);
    CU_ASSERT(fabs(d.read_tokens - 6000) < 200);
    CU_ASSERT_EQUAL(d.tokens_per_ms, 60);
    note(demand, 3, 70, 5 * SECOND + MS); /* started again: no rate yet */
    d = capacity_demand_sum(demand, "s", 5 * SECOND + MS);
    CU_ASSERT(fabs(d.arrived - 60) < 2);
    d = capacity_demand_sum(demand, "s", 9 * SECOND);
    CU_ASSERT_EQUAL(d.reporters, 0);
    capacity_demand_expire(demand, 9 * SECOND);
    CU_ASSERT_EQUAL(capacity_demand_sum(demand, "other", 0).reporters, 0);
    capacity_demand_destroy(demand);
}

/* ---- the plan ---- */

static void
places_init(capacity_data_centre_t *places, guint kept)
{
    static char *const NAMES[PLACES] = {"a", "b", "c"};
    static const double PRICES[PLACES] = {1.0, 0.8, 1.25};
    for (guint i = 0; i < PLACES; i++) {
        places[i] =
            (capacity_data_centre_t){.name = NAMES[i], .price = PRICES[i]};
        places[i].ready[ENGINES_ON_DEMAND] = kept;
        places[i].ordered[ENGINES_ON_DEMAND] = kept;
    }
}

static const capacity_bounds_t BOUNDS = {.min_per_data_centre = 1,
                                         .max_per_data_centre = 60,
                                         .min_total = 1,
                                         .reclaimable_price = 0.22,
                                         .reclaimable_fraction = 1};

static guint
wanted_of(const capacity_data_centre_t *places, guint count,
          supply_kind_t kind)
{
    guint sum = 0;
    for (guint i = 0; i < count; i++) {
        sum += places[i].wanted[kind];
    }
    return sum;
}

static service_demand_t
demand_of(double running, double arrived)
{
    return (service_demand_t){.running = running,
                              .arrived = arrived,
                              .read_tokens = arrived * 2000,
                              .tokens_per_ms = 60,
                              .reporters = 4};
}

typedef struct {
    const char *name;
    double reclaimable_price;
    double reclaimable_fraction;
    guint places;
    guint ceiling;
    double running;
    guint kept_least;
    guint kept_most;
    guint cheap_least;
    guint cheap_most;
} plan_case_t;

/* After three minutes of a steady demand. */
static const plan_case_t PLAN_CASES[] = {
    {"cheap ones only", 0.22, 1, 3, 0, 160, 0, 0, 20, 40},
    {"a part of them kept", 0.22, 0.5, 3, 0, 160, 10, 20, 10, 20},
    {"no second price", 0, 1, 3, 0, 160, 20, 40, 0, 0},
    {"one data centre", 0.22, 1, 1, 0, 160, 0, 0, 20, 40},
    {"the operator's ceiling", 0.22, 1, 3, 12, 160, 0, 0, 12, 12},
    {"as many as the platform allows", 0.22, 1, 3, 0, 5000, 0, 0, 180, 180},
    {"next to nothing", 0.22, 1, 3, 0, 0.1, 0, 0, 3, 3},
    {"reclaimable ones that cost as much", 1, 1, 3, 0, 160, 20, 40, 0, 0},
};

static void
plan_case(const plan_case_t *c)
{
    capacity_plan_t plan;
    capacity_data_centre_t places[PLACES];
    capacity_bounds_t bounds = BOUNDS;
    bounds.reclaimable_price = c->reclaimable_price;
    bounds.reclaimable_fraction = c->reclaimable_fraction;
    bounds.max_total = c->ceiling;
    service_demand_t demand = demand_of(c->running, c->running / 2);
    places_init(places, 10);
    capacity_plan_init(&plan, capacity_estimator_find("model"));
    for (gint64 s = 0; s < 180; s++) {
        capacity_plan_update(&plan, &bounds, &demand, SLOTS, places, c->places,
                             s * SECOND);
    }
    guint kept = wanted_of(places, c->places, ENGINES_ON_DEMAND);
    guint cheap = wanted_of(places, c->places, ENGINES_RECLAIMABLE);
    if (kept < c->kept_least || kept > c->kept_most ||
        cheap < c->cheap_least || cheap > c->cheap_most) {
        printf("%s: %u kept, %u reclaimable\n", c->name, kept, cheap);
        CU_FAIL("the plan");
    }
}

static void
test_plans(void)
{
    for (gsize i = 0; i < G_N_ELEMENTS(PLAN_CASES); i++) {
        plan_case(&PLAN_CASES[i]);
    }
    CU_ASSERT_PTR_NULL(capacity_estimator_find("none"));
}

/* Before anything is known the cheap ones stand ready; where there are none,
 * what was there stays. */
static void
test_unknown(void)
{
    capacity_plan_t plan;
    capacity_data_centre_t places[PLACES];
    capacity_bounds_t bounds = BOUNDS;
    service_demand_t none = {0};
    places_init(places, 30);
    capacity_plan_init(&plan, capacity_estimator_find("model"));
    capacity_plan_update(&plan, &bounds, &none, SLOTS, places, PLACES, 0);
    CU_ASSERT_EQUAL(wanted_of(places, PLACES, ENGINES_RECLAIMABLE), 180);
    bounds.reclaimable_price = 0;
    places_init(places, 30);
    capacity_plan_update(&plan, &bounds, &none, SLOTS, places, PLACES, 0);
    CU_ASSERT_EQUAL(wanted_of(places, PLACES, ENGINES_ON_DEMAND), 90);
}

/* A holder that begins in the middle of the day keeps what stands for a while,
 * and asks for no more than is needed. */
static void
test_new_holder(void)
{
    capacity_plan_t plan;
    capacity_data_centre_t places[PLACES];
    service_demand_t demand = demand_of(300, 150);
    places_init(places, 0);
    for (guint i = 0; i < PLACES; i++) {
        places[i].ready[ENGINES_RECLAIMABLE] = 25;
        places[i].ordered[ENGINES_RECLAIMABLE] = 25;
    }
    capacity_plan_init(&plan, capacity_estimator_find("model"));
    for (gint64 s = 1; s < 15; s++) {
        capacity_plan_update(&plan, &BOUNDS, &demand, SLOTS, places, PLACES,
                             s * SECOND);
        CU_ASSERT(s > 8 ? plan.total > plan.needed && plan.total < 75
                        : plan.total == 75);
    }
}

/* Up at once, down slowly: a load that comes and goes each few seconds moves
 * nothing once its highest is known. */
static void
test_no_swing(void)
{
    capacity_plan_t plan;
    capacity_data_centre_t places[PLACES];
    guint least = G_MAXUINT;
    guint most = 0;
    places_init(places, 0);
    capacity_plan_init(&plan, capacity_estimator_find("model"));
    for (gint64 ms = 0; ms < 120 * 1000; ms += 200) {
        gboolean high = ms / 5000 % 2 == 1;
        service_demand_t demand = demand_of(high ? 400 : 80, high ? 200 : 40);
        capacity_plan_update(&plan, &BOUNDS, &demand, SLOTS, places, PLACES,
                             ms * MS);
        if (ms > 20 * 1000) {
            least = MIN(least, plan.total);
            most = MAX(most, plan.total);
        }
    }
    CU_ASSERT(least >= 50);
    CU_ASSERT_EQUAL(least, most);
}

/* Callers that are turned away and come again ask for many times what is
 * allowed. Once they are gone as few engines stand as after a load that the
 * most allowed would just serve. */
static void
test_beyond_all(void)
{
    enum { LOW = 80, HIGH_S = 10, AFTER_S = 45 };
    static const double HIGH[] = {1100, 7000};
    guint total[G_N_ELEMENTS(HIGH)];
    for (gsize i = 0; i < G_N_ELEMENTS(HIGH); i++) {
        capacity_plan_t plan;
        capacity_data_centre_t places[PLACES];
        places_init(places, 0);
        capacity_plan_init(&plan, capacity_estimator_find("model"));
        for (gint64 s = 0; s < HIGH_S + AFTER_S; s++) {
            double running = s < HIGH_S ? HIGH[i] : LOW;
            service_demand_t demand = demand_of(running, running / 2);
            capacity_plan_update(&plan, &BOUNDS, &demand, SLOTS, places,
                                 PLACES, s * SECOND);
        }
        total[i] = plan.total;
    }
    CU_ASSERT(total[0] < 100);
    CU_ASSERT_EQUAL(total[1], total[0]);
}

/* A data centre has no reclaimable engines to give for a while: the others
 * have more, and kept ones stand in only for what finds no room there. */
static void
test_lacking(void)
{
    capacity_plan_t plan;
    capacity_data_centre_t places[PLACES];
    service_demand_t demand = demand_of(700, 350);
    places_init(places, 0);
    capacity_plan_init(&plan, capacity_estimator_find("model"));
    for (gint64 s = 0; s < 30; s++) {
        capacity_plan_update(&plan, &BOUNDS, &demand, SLOTS, places, PLACES,
                             s * SECOND);
    }
    guint before = plan.total;
    CU_ASSERT(before > 90 && before < 120);
    places[1].unavailable_until_us = 40 * SECOND;
    capacity_plan_update(&plan, &BOUNDS, &demand, SLOTS, places, PLACES,
                         30 * SECOND);
    CU_ASSERT_EQUAL(wanted_of(places, PLACES, ENGINES_RECLAIMABLE), before);
    CU_ASSERT_EQUAL(wanted_of(places, PLACES, ENGINES_ON_DEMAND), 0);
    for (guint i = 0; i < PLACES; i++) {
        places[i].unavailable_until_us = 40 * SECOND;
    }
    capacity_plan_update(&plan, &BOUNDS, &demand, SLOTS, places, PLACES,
                         31 * SECOND);
    /* As many as most requests are still served by. */
    guint kept = wanted_of(places, PLACES, ENGINES_ON_DEMAND);
    CU_ASSERT(kept >= plan.needed / 3 && kept <= plan.needed / 2);
}

/* ---- orders ---- */

/* Orders are taken at once and brought up at once, one at a time, in any
 * order: both kinds together never exceed what is allowed, and what serves
 * never falls below what stood there or is wanted. */
static void
test_exchange(void)
{
    enum { TRIES = 500, ROUNDS = 60, MOST = 60 };
    GRand *random = g_rand_new_with_seed(11);
    for (int i = 0; i < TRIES; i++) {
        guint kept = (guint)g_rand_int_range(random, 0, MOST + 1);
        capacity_data_centre_t p = {.name = "a", .price = 1};
        p.ready[ENGINES_ON_DEMAND] = p.ordered[ENGINES_ON_DEMAND] = kept;
        p.wanted[ENGINES_RECLAIMABLE] =
            (guint)g_rand_int_range(random, 0, MOST + 1);
        p.wanted[ENGINES_ON_DEMAND] = (guint)g_rand_int_range(
            random, 0, (gint)(MOST - p.wanted[ENGINES_RECLAIMABLE] + 1));
        guint wanted =
            p.wanted[ENGINES_ON_DEMAND] + p.wanted[ENGINES_RECLAIMABLE];
        for (int round = 0; round < ROUNDS; round++) {
            supply_kind_t kind =
                (supply_kind_t)g_rand_int_range(random, 0, ENGINES_KINDS);
            p.ordered[kind] = capacity_next_order(&p, kind, MOST);
            CU_ASSERT(p.ordered[ENGINES_ON_DEMAND] +
                          p.ordered[ENGINES_RECLAIMABLE] <=
                      MOST);
            if (g_rand_boolean(random)) {
                p.ready[kind] = p.ordered[kind];
            }
            else { /* those that are let go leave at once */
                p.ready[kind] = MIN(p.ready[kind], p.ordered[kind]);
            }
            CU_ASSERT(p.ready[ENGINES_ON_DEMAND] +
                          p.ready[ENGINES_RECLAIMABLE] + 1 >=
                      MIN(kept / 2, wanted / 2));
        }
        for (int round = 0; round < ROUNDS; round++) {
            supply_kind_t kind = (supply_kind_t)(round % ENGINES_KINDS);
            p.ordered[kind] = capacity_next_order(&p, kind, MOST);
            p.ready[kind] = p.ordered[kind];
        }
        CU_ASSERT_EQUAL(p.ordered[ENGINES_ON_DEMAND],
                        p.wanted[ENGINES_ON_DEMAND]);
        CU_ASSERT_EQUAL(p.ordered[ENGINES_RECLAIMABLE],
                        p.wanted[ENGINES_RECLAIMABLE]);
    }
    g_rand_free(random);
}

/* Before anybody asks, most kept engines make room at once; amid demand each
 * goes only for one that is up. */
static void
test_exchange_while_idle(void)
{
    enum { MOST = 60, KEPT = 30 };
    for (int idle = 0; idle < 2; idle++) {
        capacity_data_centre_t p = {.name = "a", .price = 1, .idle = idle};
        p.ready[ENGINES_ON_DEMAND] = p.ordered[ENGINES_ON_DEMAND] = KEPT;
        p.wanted[ENGINES_RECLAIMABLE] = MOST;
        guint kept = capacity_next_order(&p, ENGINES_ON_DEMAND, MOST);
        CU_ASSERT_EQUAL(kept, idle ? MOST / 8 : KEPT);
        p.ordered[ENGINES_ON_DEMAND] = kept;
        CU_ASSERT_EQUAL(capacity_next_order(&p, ENGINES_RECLAIMABLE, MOST),
                        MOST - kept);
    }
}

/* ---- a load, played ---- */

/* Drafts in bursts of three times their number, within less time than an
 * engine takes to start, beside chats; a data centre's reclaimable engines
 * are all taken in one of the bursts. Engines of `tokens_a_ms`. */
typedef struct {
    const char *name;
    const char *way; /* NULL: a fixed number stands all the time */
    guint fixed;
    double tokens_a_ms;
} play_case_t;

typedef struct {
    double asked;
    double in_aim;
    double paid; /* engine-seconds at the price of a reclaimable one */
} played_t;

/* The plan's clock at a moment of the play, which begins before zero. */
static gint64
plan_us(gint64 ms)
{
    return (ms + 100000) * MS;
}

enum {
    PLAY_MOST = 20, /* engines of a data centre */
    PLAY_ENGINES = PLAY_MOST * PLACES,
    PLAY_MS = 45000,
    PLAY_TICK_MS = 5,
    PLAN_MS = 200,
    BOOT_MS = 4000,
    RECLAIM_MS = 26000,
    LACKING_MS = 9000,
    TARGET_MS = 2000,
};

static const gint64 NOT_ORDERED = G_MAXINT64;

typedef struct {
    batch_engine_t *engine;
    guint running;
    gint64 up_ms; /* it serves from then on */
    gboolean leaving;
} play_engine_t;

typedef struct {
    engine_job_t job;
    play_engine_t *at;
    gboolean lost; /* its engine was taken away */
} play_job_t;

typedef struct {
    play_engine_t engines[PLAY_ENGINES];
    GPtrArray *jobs; /* play_job_t */
    capacity_data_centre_t places[PLACES];
    capacity_demand_t *demand;
    service_work_t work;
    GRand *random;
    played_t played;
} play_t;

static gboolean
is_up(const play_engine_t *e, gint64 ms)
{
    return e->up_ms != NOT_ORDERED && e->up_ms <= ms && !e->leaving;
}

static double
drafts_a_second(gint64 ms)
{
    gboolean burst = (ms > 2000 && ms < 9000) || (ms > 24000 && ms < 31000);
    return burst ? 90 : 30;
}

/* To the least loaded engine with a place, as a placement does that knows all;
 * turned away where there is none. */
static void
play_arrive(play_t *p, gboolean draft, gint64 ms)
{
    play_engine_t *best = NULL;
    p->work.arrived++;
    p->played.asked++;
    for (guint i = 0; i < PLAY_ENGINES; i++) {
        play_engine_t *e = &p->engines[i];
        if (is_up(e, ms) && e->running < SLOTS &&
            (best == NULL || e->running < best->running)) {
            best = e;
        }
    }
    if (best == NULL) {
        p->work.turned_away++;
        return;
    }
    play_job_t *j = g_new0(play_job_t, 1);
    j->at = best;
    j->job = (engine_job_t){.priority = draft ? 2 : 0,
                            .own_tokens = draft ? 7000 : 700,
                            .out_tokens = draft ? 380 : 290,
                            .sent_ms = (double)ms};
    p->work.read_tokens += j->job.own_tokens;
    best->running++;
    batch_engine_add(best->engine, &j->job);
    g_ptr_array_add(p->jobs, j);
}

static void
play_arrivals(play_t *p, gint64 ms)
{
    double drafts = drafts_a_second(ms) * PLAY_TICK_MS / 1000;
    double chats = 60.0 * PLAY_TICK_MS / 1000;
    while (g_rand_double(p->random) < drafts--) {
        play_arrive(p, TRUE, ms);
    }
    while (g_rand_double(p->random) < chats--) {
        play_arrive(p, FALSE, ms);
    }
}

static void
play_hear(play_t *p, gint64 ms)
{
    for (guint i = 0; i < PLAY_ENGINES; i++) {
        batch_engine_run(p->engines[i].engine, (double)ms);
    }
    for (guint i = p->jobs->len; i > 0; i--) {
        play_job_t *j = p->jobs->pdata[i - 1];
        if (!j->job.done) {
            continue;
        }
        j->at->running--;
        p->played.in_aim +=
            !j->lost && j->job.first_ms - j->job.sent_ms <= TARGET_MS;
        g_ptr_array_remove_index_fast(p->jobs, i - 1);
    }
}

/* The platform brings a place to what was ordered. */
static void
play_order(play_t *p, guint place, guint count, gint64 ms)
{
    guint have = 0;
    for (guint i = 0; i < PLAY_MOST; i++) {
        play_engine_t *e = &p->engines[place * PLAY_MOST + i];
        gboolean ordered = e->up_ms != NOT_ORDERED && !e->leaving;
        have += ordered;
        if (ordered && have > count) {
            e->leaving = TRUE;
            have--;
        }
    }
    for (guint i = 0; i < PLAY_MOST && have < count; i++) {
        play_engine_t *e = &p->engines[place * PLAY_MOST + i];
        if (e->up_ms == NOT_ORDERED || (e->leaving && e->running == 0)) {
            e->up_ms = ms + BOOT_MS;
            e->leaving = FALSE;
            have++;
        }
    }
}

static guint
place_index(const capacity_data_centre_t *place)
{
    return (guint)(place->name[0] - 'a');
}

static void
play_plan(play_t *p, capacity_plan_t *plan, const play_case_t *c, gint64 ms)
{
    static const capacity_bounds_t PLAY_BOUNDS = {.min_per_data_centre = 1,
                                                  .max_per_data_centre =
                                                      PLAY_MOST,
                                                  .min_total = 1,
                                                  .reclaimable_price = 0.22,
                                                  .reclaimable_fraction = 1};
    p->work.service = "s";
    p->work.running = p->jobs->len;
    p->work.tokens_per_ms = c->tokens_a_ms;
    capacity_demand_record(p->demand, 1, &p->work, plan_us(ms));
    service_demand_t demand = capacity_demand_sum(p->demand, "s", plan_us(ms));
    for (guint i = 0; i < PLACES; i++) {
        capacity_data_centre_t *place = &p->places[i];
        guint first = place_index(place) * PLAY_MOST;
        place->ready[ENGINES_RECLAIMABLE] = 0;
        for (guint k = 0; k < PLAY_MOST; k++) {
            place->ready[ENGINES_RECLAIMABLE] +=
                is_up(&p->engines[first + k], ms);
        }
    }
    capacity_plan_update(plan, &PLAY_BOUNDS, &demand, SLOTS, p->places, PLACES,
                         plan_us(ms));
    for (guint i = 0; i < PLACES; i++) {
        capacity_data_centre_t *place = &p->places[i];
        guint count =
            capacity_next_order(place, ENGINES_RECLAIMABLE, PLAY_MOST);
        gboolean lacking = place_index(place) == 1 && ms >= RECLAIM_MS &&
                           ms < RECLAIM_MS + LACKING_MS;
        if (lacking) {
            place->unavailable_until_us = plan_us(ms + 1000);
            place->ordered[ENGINES_RECLAIMABLE] = 0;
            continue;
        }
        if (count > place->ordered[ENGINES_RECLAIMABLE] ||
            count < 0.85 * place->ordered[ENGINES_RECLAIMABLE]) {
            place->ordered[ENGINES_RECLAIMABLE] = count;
            play_order(p, place_index(place), count, ms);
        }
    }
}

/* All of one place are taken; what ran there is lost. */
static void
play_reclaim(play_t *p)
{
    for (guint i = 0; i < p->jobs->len; i++) {
        play_job_t *j = p->jobs->pdata[i];
        guint at = (guint)(j->at - p->engines);
        j->lost |= at / PLAY_MOST == 1;
    }
    for (guint i = PLAY_MOST; i < 2 * PLAY_MOST; i++) {
        p->engines[i].leaving = TRUE;
    }
}

static void
play_init(play_t *p, const play_case_t *c, const engine_kind_t *kind)
{
    *p = (play_t){.random = g_rand_new_with_seed(5),
                  .demand = capacity_demand_create()};
    p->jobs = g_ptr_array_new_with_free_func(g_free);
    places_init(p->places, 0);
    for (guint i = 0; i < PLAY_ENGINES; i++) {
        p->engines[i].engine = batch_engine_create(kind);
        p->engines[i].up_ms = NOT_ORDERED;
    }
    for (guint i = 0; i < PLACES && c->way == NULL; i++) {
        play_order(p, i, c->fixed / PLACES, -BOOT_MS);
    }
}

static played_t
play(const play_case_t *c)
{
    engine_kind_t kind = {.slots = SLOTS,
                          .step_ms = 3.4,
                          .slot_ms = 0.02,
                          .tokens_a_ms = c->tokens_a_ms,
                          .chunk = 2048,
                          .stride = 9};
    play_t p;
    capacity_plan_t plan;
    play_init(&p, c, &kind);
    capacity_plan_init(&plan, c->way != NULL ? capacity_estimator_find(c->way)
                                             : NULL);
    for (gint64 ms = -2 * (gint64)BOOT_MS; ms < PLAY_MS; ms += PLAY_TICK_MS) {
        if (c->way != NULL && ms % PLAN_MS == 0) {
            play_plan(&p, &plan, c, ms);
        }
        if (ms == RECLAIM_MS) {
            play_reclaim(&p);
        }
        if (ms == RECLAIM_MS + LACKING_MS && c->way == NULL) {
            play_order(&p, 1, c->fixed / PLACES, ms);
        }
        if (ms >= 0) {
            play_arrivals(&p, ms);
            play_hear(&p, ms);
        }
        for (guint i = 0; i < PLAY_ENGINES; i++) {
            const play_engine_t *e = &p.engines[i];
            gboolean paid =
                e->up_ms != NOT_ORDERED && (!e->leaving || e->running > 0);
            p.played.paid += paid ? PLAY_TICK_MS / 1000.0 : 0;
        }
    }
    for (guint i = 0; i < PLAY_ENGINES; i++) {
        batch_engine_destroy(p.engines[i].engine);
    }
    g_ptr_array_unref(p.jobs);
    capacity_demand_destroy(p.demand);
    g_rand_free(p.random);
    return p.played;
}

static const play_case_t PLAY_CASES[] = {
    {"all stand", NULL, PLAY_ENGINES, 61},
    {"a third stands", NULL, PLAY_ENGINES / 3, 61},
    {"model", "model", 0, 61},
    {"share", "share", 0, 61},
    {"all stand, half the speed", NULL, PLAY_ENGINES, 30},
    {"model, half the speed", "model", 0, 30},
    {"all stand, twice the speed", NULL, PLAY_ENGINES, 122},
    {"model, twice the speed", "model", 0, 122},
};

/* Callers are served as if all engines stood all the time, and less is paid;
 * with a third of them standing many are not. */
static void
test_played(void)
{
    played_t played[G_N_ELEMENTS(PLAY_CASES)];
    for (gsize i = 0; i < G_N_ELEMENTS(PLAY_CASES); i++) {
        played[i] = play(&PLAY_CASES[i]);
        printf("\n    %-28s in aim %.3f of %.0f, %.0f engine-seconds",
               PLAY_CASES[i].name, played[i].in_aim / played[i].asked,
               played[i].asked, played[i].paid);
    }
    printf("\n");
    CU_ASSERT(played[1].in_aim < 0.9 * played[0].in_aim);
    CU_ASSERT(played[2].in_aim >= 0.97 * played[0].in_aim);
    CU_ASSERT(played[2].paid < 0.9 * played[0].paid);
    CU_ASSERT(played[5].in_aim >= 0.97 * played[4].in_aim);
    CU_ASSERT(played[7].in_aim >= 0.97 * played[6].in_aim);
    CU_ASSERT(played[7].paid < played[2].paid);
}

static const test_case_t cases[] = {
    {"demand", test_demand},
    {"plans", test_plans},
    {"before anything is known", test_unknown},
    {"a new holder", test_new_holder},
    {"no swing", test_no_swing},
    {"a load beyond all that is allowed", test_beyond_all},
    {"a data centre has none to give", test_lacking},
    {"one kind gives way to the other", test_exchange},
    {"one kind gives way while nobody asks", test_exchange_while_idle},
    {"loads played", test_played},
};

CHECK_MAIN("capacity", cases)
