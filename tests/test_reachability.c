/* Tests of the decision whether an instance is cut off from a service, and of
 * the choice of the instance that helps. */
#include <string.h>

#include "carobloom/policy/helper_set.h"
#include "carobloom/policy/reachability.h"
#include "check.h"

enum { MS = 1000, ENDPOINTS_MAX = 16, NOW_US = 100 * 1000 * MS };

static const reach_probe_t REACHED = {.opened = TRUE, .answered = TRUE};
static const reach_probe_t CUT_HERE = {.through_opened = TRUE,
                                       .through_answered = TRUE};
static const reach_probe_t DOWN = {.through_failed = TRUE};

typedef struct {
    endpoint_t endpoints[ENDPOINTS_MAX];
    GPtrArray *list;
    service_reach_t reach;
} service_case_t;

static void
service_init(service_case_t *s, guint count)
{
    *s = (service_case_t){.list = g_ptr_array_new()};
    for (guint i = 0; i < count; i++) {
        s->endpoints[i].reported_by = 1;
        g_ptr_array_add(s->list, &s->endpoints[i]);
    }
}

static gboolean
fail_one(service_case_t *s, guint at, gint64 now_us)
{
    reach_counts_t counts = {0};
    endpoint_record_unreached(&s->endpoints[at], now_us);
    reach_count(s->list, now_us, &counts);
    return service_reach_begin(&s->reach, &counts, &counts);
}

/* Each character stands for an endpoint: 'f' failed just now, 'F' failed long
 * ago, 'r' answered just now, 'R' answered long ago, 'b' answered and then
 * failed, '-' nothing is known, 'd' failed and drains. */
static const struct {
    const char *name;
    const char *endpoints;
    gboolean is_cut;
} BEGIN_CASES[] = {
    {"nothing is known", "----", FALSE},
    {"one fails", "f---", FALSE},
    {"one fails, others answer", "frrr", FALSE},
    {"the only one fails", "f", FALSE},
    {"two fail", "ff--", TRUE},
    {"two fail, two answer", "ffrr", FALSE},
    {"two fail, one answers", "ffr-", TRUE},
    {"all but one fail", "fffr", TRUE},
    {"all fail", "ffff", TRUE},
    {"two failed, others answered long ago", "ffRR", TRUE},
    {"failures of long ago", "FFFF", FALSE},
    {"all answered and then failed", "bbbb", TRUE},
    {"those that failed drain", "dd--", FALSE},
    {"one of them drains", "fd--", FALSE},
};

static void
set_endpoint(endpoint_t *e, char state)
{
    enum { LONG_AGO_US = 20000 * MS, JUST_US = 10 * MS };
    if (state == 'r' || state == 'b') {
        e->reached_us = NOW_US - 2 * JUST_US;
    }
    if (state == 'R') {
        e->reached_us = NOW_US - LONG_AGO_US;
    }
    if (state == 'F') {
        e->unreached_us = NOW_US - LONG_AGO_US;
    }
    if (state == 'f' || state == 'b' || state == 'd') {
        e->unreached_us = NOW_US - JUST_US;
    }
    e->draining = state == 'd';
}

static void
test_begin(void)
{
    for (gsize i = 0; i < G_N_ELEMENTS(BEGIN_CASES); i++) {
        service_case_t s;
        reach_counts_t counts = {0};
        const char *states = BEGIN_CASES[i].endpoints;
        service_init(&s, (guint)strlen(states));
        for (guint k = 0; states[k] != '\0'; k++) {
            set_endpoint(&s.endpoints[k], states[k]);
        }
        reach_count(s.list, NOW_US, &counts);
        gboolean begins = service_reach_begin(&s.reach, &counts, &counts);
        if (begins != BEGIN_CASES[i].is_cut) {
            printf("%s: %d; ", BEGIN_CASES[i].name, begins);
        }
        CU_ASSERT_EQUAL(begins, BEGIN_CASES[i].is_cut);
        g_ptr_array_unref(s.list);
    }
}

/* A service with one endpoint counts as cut off with another service. */
static void
test_single_endpoint(void)
{
    service_reach_t reach = {0};
    reach_counts_t service = {.usable = 1, .failed = 1, .first_failed_us = 5};
    reach_counts_t all = {.usable = 4, .failed = 2, .reached = 1};
    CU_ASSERT_FALSE(service_reach_begin(&reach, &service, &all));
    all.reached = 0;
    CU_ASSERT_TRUE(service_reach_begin(&reach, &service, &all));
    CU_ASSERT_EQUAL(reach.since_us, 5);
}

static void
test_confirmed_and_over(void)
{
    service_case_t s;
    service_init(&s, 6);
    CU_ASSERT_FALSE(fail_one(&s, 0, NOW_US));
    CU_ASSERT_TRUE(fail_one(&s, 1, NOW_US + MS));
    CU_ASSERT_TRUE(service_reach_avoids(&s.reach, &s.endpoints[5]));
    endpoint_t *e = service_reach_next_probe(&s.reach, s.list, 0, NOW_US);
    CU_ASSERT_PTR_EQUAL(e, &s.endpoints[0]);
    CU_ASSERT_TRUE(
        service_reach_record_probe(&s.reach, e, &CUT_HERE, NOW_US + 2 * MS));
    CU_ASSERT_TRUE(s.reach.confirmed);
    CU_ASSERT_FALSE(service_reach_is_over(&s.reach, s.list, NOW_US));
    for (guint i = 0; i < 3; i++) {
        CU_ASSERT_FALSE(service_reach_is_over(&s.reach, s.list, NOW_US));
        e = service_reach_next_probe(&s.reach, s.list, 3, NOW_US);
        CU_ASSERT_FALSE(service_reach_record_probe(
            &s.reach, e, &REACHED, NOW_US + (3 + i) * (gint64)MS));
        CU_ASSERT_FALSE(service_reach_avoids(&s.reach, e));
    }
    CU_ASSERT_TRUE(service_reach_is_over(&s.reach, s.list, NOW_US));
    service_reach_end(&s.reach, s.list);
    CU_ASSERT_FALSE(service_reach_avoids(&s.reach, &s.endpoints[0]));
    CU_ASSERT_FALSE(fail_one(&s, 2, NOW_US + 9 * MS));
    g_ptr_array_unref(s.list);
}

/* Results of a probe while a cut is assumed, and while one is confirmed whose
 * connections fail or are silent. */
static const struct {
    const char *name;
    reach_probe_t probe;
    gboolean confirms;
    gboolean is_reached; /* while assumed */
    gboolean ends;       /* counts for the end of a cut that refuses */
    gboolean ends_silent;
} PROBE_CASES[] = {
    {"answered", {TRUE, TRUE, FALSE, FALSE, FALSE}, FALSE, TRUE, TRUE, TRUE},
    {"accepted, both are slow",
     {TRUE, FALSE, TRUE, FALSE, FALSE},
     FALSE,
     FALSE,
     TRUE,
     FALSE},
    {"accepted and silent, others are answered",
     {TRUE, FALSE, TRUE, TRUE, FALSE},
     TRUE,
     FALSE,
     TRUE,
     FALSE},
    {"not accepted, others are slow",
     {FALSE, FALSE, TRUE, FALSE, FALSE},
     TRUE,
     FALSE,
     FALSE,
     FALSE},
    {"no helper",
     {FALSE, FALSE, FALSE, FALSE, FALSE},
     FALSE,
     FALSE,
     FALSE,
     FALSE},
    {"down", {FALSE, FALSE, FALSE, FALSE, TRUE}, FALSE, FALSE, FALSE, FALSE},
};

static void
test_probes(void)
{
    for (gsize i = 0; i < G_N_ELEMENTS(PROBE_CASES); i++) {
        const reach_probe_t *probe = &PROBE_CASES[i].probe;
        service_reach_t assumed = {.since_us = 1};
        service_reach_t refuses = {.since_us = 1, .confirmed = TRUE};
        service_reach_t silent = {
            .since_us = 1, .confirmed = TRUE, .is_silent = TRUE};
        CU_ASSERT_EQUAL(
            service_reach_record_probe(&assumed, NULL, probe, NOW_US),
            PROBE_CASES[i].confirms);
        service_reach_record_probe(&refuses, NULL, probe, NOW_US);
        service_reach_record_probe(&silent, NULL, probe, NOW_US);
        CU_ASSERT_EQUAL(assumed.probes_ok, PROBE_CASES[i].is_reached);
        CU_ASSERT_EQUAL(refuses.probes_ok, PROBE_CASES[i].ends);
        CU_ASSERT_EQUAL(silent.probes_ok, PROBE_CASES[i].ends_silent);
    }
}

/* Endpoints that no other instance reaches either are down. */
static void
test_endpoints_that_are_down(void)
{
    service_case_t s;
    service_init(&s, 6);
    fail_one(&s, 0, NOW_US);
    CU_ASSERT_TRUE(fail_one(&s, 1, NOW_US));
    for (guint i = 0; i < 2; i++) {
        CU_ASSERT_FALSE(service_reach_is_over(&s.reach, s.list, NOW_US));
        endpoint_t *e = service_reach_next_probe(&s.reach, s.list, 0, NOW_US);
        service_reach_record_probe(&s.reach, e, &DOWN, NOW_US);
    }
    CU_ASSERT_FALSE(s.reach.confirmed);
    CU_ASSERT_TRUE(service_reach_is_over(&s.reach, s.list, NOW_US));
    g_ptr_array_unref(s.list);
}

/* ---- drawn histories ---- */

typedef struct {
    gboolean up[ENDPOINTS_MAX];   /* the endpoint itself */
    gboolean link[ENDPOINTS_MAX]; /* from this instance */
} world_t;

static void
draw_world(world_t *world, GRand *random, guint count)
{
    gboolean cut = g_rand_boolean(random);
    for (guint i = 0; i < count; i++) {
        world->up[i] = g_rand_int_range(random, 0, 8) > 0;
        world->link[i] = !cut || g_rand_int_range(random, 0, 8) == 0;
    }
}

/* One request: directly, or through a helper if the endpoint is avoided. */
static gboolean
is_served(service_case_t *s, const world_t *world, guint at, gint64 now_us)
{
    if (service_reach_avoids(&s->reach, &s->endpoints[at])) {
        return world->up[at];
    }
    if (world->up[at] && world->link[at]) {
        endpoint_record_reached(&s->endpoints[at], now_us);
        return TRUE;
    }
    fail_one(s, at, now_us);
    return FALSE;
}

static void
probe_one(service_case_t *s, const world_t *world, GRand *random,
          gint64 now_us)
{
    if (!service_reach_is_cut(&s->reach)) {
        return;
    }
    endpoint_t *e = service_reach_next_probe(&s->reach, s->list,
                                             g_rand_int(random), now_us);
    if (e != NULL) {
        guint at = (guint)(e - s->endpoints);
        gboolean answered = world->up[at] && world->link[at];
        service_reach_record_probe(&s->reach, e,
                                   answered        ? &REACHED
                                   : world->up[at] ? &CUT_HERE
                                                   : &DOWN,
                                   now_us);
    }
    if (service_reach_is_over(&s->reach, s->list, now_us)) {
        service_reach_end(&s->reach, s->list);
    }
}

/* Requests to a random endpoint each 20 ms, probes each 100 ms, and another
 * world each 6 s. From 3 s after a change on, few requests fail at endpoints
 * that are up, whatever is cut. */
static void
test_histories(void)
{
    enum { HISTORIES = 300, WORLDS = 6, STEPS = 300, STABLE = 150 };
    guint asked = 0;
    guint failed = 0;
    for (guint h = 0; h < HISTORIES; h++) {
        GRand *random = g_rand_new_with_seed(h);
        guint count = (guint)g_rand_int_range(random, 2, ENDPOINTS_MAX);
        service_case_t s;
        service_init(&s, count);
        gint64 now = NOW_US;
        for (guint w = 0; w < WORLDS; w++) {
            world_t world;
            draw_world(&world, random, count);
            for (guint step = 0; step < STEPS; step++, now += 20 * MS) {
                guint at = (guint)g_rand_int_range(random, 0, (gint)count);
                gboolean served = is_served(&s, &world, at, now);
                if (step >= STABLE && world.up[at]) {
                    asked++;
                    failed += !served;
                }
                if (step % 5 == 0) {
                    probe_one(&s, &world, random, now);
                }
            }
        }
        g_rand_free(random);
        g_ptr_array_unref(s.list);
    }
    /* The users' bound: 1 in 50. */
    if (failed * 50 > asked) {
        printf("%u of %u failed; ", failed, asked);
    }
    CU_ASSERT(failed * 50 <= asked);
}

/* ---- helpers ---- */

static helper_info_t
named(const char *name, const char *data_centre, guint64 token)
{
    return (helper_info_t){.instance = g_strdup(name),
                           .address = g_strdup_printf("%s:1", name),
                           .data_centre = g_strdup(data_centre),
                           .token = token};
}

static void
test_helpers(void)
{
    helper_set_t *set = helper_set_create("here");
    CU_ASSERT_PTR_NULL(helper_set_pick(set, 7, NOW_US));
    helper_info_t infos[] = {named("far", "there", 1), named("a", "here", 2),
                             named("b", "here", 3)};
    helper_set_update(set, infos, G_N_ELEMENTS(infos));
    helper_t *first = helper_set_pick(set, 0, NOW_US);
    CU_ASSERT_TRUE(first->local);
    first->tunnels = 2;
    helper_t *second = helper_set_pick(set, 0, NOW_US);
    CU_ASSERT_TRUE(second->local && second != first);
    helper_record_failed(second, NOW_US);
    CU_ASSERT_PTR_EQUAL(helper_set_pick(set, 0, NOW_US), first);
    helper_record_failed(first, NOW_US);
    CU_ASSERT_FALSE(helper_set_pick(set, 0, NOW_US)->local);
    CU_ASSERT_TRUE(helper_set_pick(set, 0, NOW_US + 1000 * MS)->local);
    /* Another start of one is usable at once, and preferred as it was named
     * last; the others stay. */
    helper_info_t restarted[] = {named(second->info.instance, "here", 9)};
    helper_set_update(set, restarted, 1);
    CU_ASSERT_EQUAL(helper_set_count(set), 3);
    CU_ASSERT_EQUAL(helper_set_pick(set, 0, NOW_US)->info.token, 9);
    helper_set_update(set, NULL, 0);
    CU_ASSERT_EQUAL(helper_set_count(set), 3);
    /* Those in use stay when there are many. */
    helper_info_t many[HELPERS_MAX];
    for (guint i = 0; i < HELPERS_MAX; i++) {
        char name[] = {(char)('p' + i), '\0'};
        many[i] = named(name, "there", i);
    }
    helper_set_update(set, many, HELPERS_MAX);
    CU_ASSERT_EQUAL(helper_set_count(set), HELPERS_MAX + 1);
    CU_ASSERT_PTR_EQUAL(helper_set_find(set, first->info.address), first);
    helper_set_destroy(set);
}

static const test_case_t CASES[] = {
    {"when a cut is assumed", test_begin},
    {"a service with a single endpoint", test_single_endpoint},
    {"a cut is confirmed, and over", test_confirmed_and_over},
    {"what a probe shows", test_probes},
    {"endpoints that are down are no cut", test_endpoints_that_are_down},
    {"drawn histories of cuts and failures", test_histories},
    {"the choice of a helper", test_helpers},
};

CHECK_MAIN("reachability", CASES)
