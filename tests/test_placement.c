/* Placement over the requests of one service: which endpoint takes which
 * prompt. */
#include <string.h>

#include "carobloom/policy/directory.h"
#include "carobloom/policy/keepers.h"
#include "carobloom/policy/placement.h"
#include "carobloom/policy/prompt_mix.h"
#include "check.h"
#include "leases.h"

enum { SECOND = 1000000 };

enum { ENGINES = 18, SLOTS = 32 };

static directory_t *
engines_create(void)
{
    directory_t *d = directory_create(drop_nothing);
    for (int i = 0; i < ENGINES; i++) {
        char id[16];
        char address[24];
        g_snprintf(id, sizeof(id), "engine-%d", i);
        g_snprintf(address, sizeof(address), "10.0.0.%d:80", i);
        endpoint_lease_t lease = lease_of(id, 1, LEASE_READY);
        lease.address = address;
        lease.slots = SLOTS;
        directory_update(d, 0, &lease, SECOND);
    }
    return d;
}

typedef struct {
    guint tokens;
    guint64 shared; /* id of the shared part; 0: none */
    guint shared_tokens;
    gboolean parted;
    guint32 draw;
    guint unknown_sharers;
    double fetch_tokens_a_ms;
    gint64 memory_tokens;
    double long_part; /* 0: 0.6 */
    gint64 target_ms; /* 0: 2000 */
    double long_tokens;
    gboolean yields;
} place_case_t;

static placement_t
place_of(directory_t *d, place_case_t c)
{
    prompt_part_t parts[] = {{c.shared, c.shared_tokens},
                             {0xabc000 + c.draw, c.tokens - c.shared_tokens}};
    placement_request_t request = {
        .parts = parts,
        .part_count = c.shared != 0 ? 2 : 0,
        .prompt_tokens = c.tokens,
        .parted = c.parted,
        .long_part = c.long_part > 0 ? c.long_part : 0.6,
        .long_tokens = c.long_tokens,
        .target_ms = c.target_ms > 0 ? c.target_ms : 2000,
        .rest_pause_ms = 250,
        .tokens_a_ms = 50,
        .unknown_sharers = c.unknown_sharers,
        .fetch_tokens_a_ms = c.fetch_tokens_a_ms,
        .memory_tokens = c.memory_tokens,
        .data_centre = "dc",
        .yields = c.yields,
        .limits_now_us = 2 * SECOND,
        .draw = c.draw};
    return placement_pick(directory_service(d, "s"), &request, 2 * SECOND);
}

static endpoint_t *
place(directory_t *d, guint tokens, guint64 shared, guint shared_tokens,
      gboolean parted, guint32 draw)
{
    place_case_t c = {.tokens = tokens,
                      .shared = shared,
                      .shared_tokens = shared_tokens,
                      .parted = parted,
                      .draw = draw};
    return place_of(d, c).endpoint;
}

/* Long and short prompts meet on no engine while neither side is loaded. */
static void
test_sides(void)
{
    directory_t *d = engines_create();
    GHashTable *with_long = g_hash_table_new(NULL, NULL);
    for (guint32 draw = 0; draw < 200; draw++) {
        endpoint_t *e = place(d, 12000, 1 + draw, 5000, TRUE, draw);
        g_hash_table_add(with_long, e);
    }
    for (guint32 draw = 0; draw < 200; draw++) {
        endpoint_t *e = place(d, 800, 0, 0, TRUE, draw);
        CU_ASSERT_FALSE(g_hash_table_contains(with_long, e));
    }
    /* 0.6 of 18 are eleven. */
    CU_ASSERT(g_hash_table_size(with_long) >= 10);
    CU_ASSERT(g_hash_table_size(with_long) <= 11);
    /* With all their engines loaded far over their objective, long prompts
     * may go among the short ones. */
    GHashTableIter iter;
    gpointer key;
    g_hash_table_iter_init(&iter, with_long);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        ((endpoint_t *)key)->waiting_tokens = 500000;
    }
    endpoint_t *e = place(d, 12000, 77, 5000, TRUE, 1);
    CU_ASSERT_FALSE(g_hash_table_contains(with_long, e));
    g_hash_table_unref(with_long);
    directory_destroy(d);
}

/* Requests of one session go to one engine, at all instances, until it is
 * loaded. */
static void
test_affinity(void)
{
    directory_t *d = engines_create();
    directory_t *elsewhere = engines_create();
    for (guint64 session = 1; session < 50; session++) {
        endpoint_t *e = place(d, 12000, session, 5000, TRUE, 3);
        endpoint_t *same = place(elsewhere, 12000, session, 5000, TRUE, 11);
        CU_ASSERT_STRING_EQUAL(e->id, same->id);
    }
    endpoint_t *home = place(d, 12000, 7, 5000, TRUE, 3);
    home->waiting_tokens = 100000;
    CU_ASSERT_PTR_NOT_EQUAL(place(d, 12000, 7, 5000, TRUE, 3), home);
    home->waiting_tokens = 0;
    home->draining = TRUE;
    CU_ASSERT_PTR_NOT_EQUAL(place(d, 12000, 7, 5000, TRUE, 3), home);
    directory_destroy(d);
    directory_destroy(elsewhere);
}

/* Failing endpoints are left, and still used when there is no other. */
static void
test_failing(void)
{
    directory_t *d = engines_create();
    endpoint_t *first = place(d, 0, 0, 0, FALSE, 5);
    endpoint_note(first, ENDPOINT_UNREACHABLE, 2 * SECOND);
    CU_ASSERT_PTR_NOT_EQUAL(place(d, 0, 0, 0, FALSE, 5), first);
    for (int i = 0; i < ENGINES; i++) {
        char id[16];
        g_snprintf(id, sizeof(id), "engine-%d", i);
        endpoint_note(directory_find(d, id), ENDPOINT_UNREACHABLE, 2 * SECOND);
    }
    CU_ASSERT_PTR_NOT_NULL(place(d, 0, 0, 0, FALSE, 5));
    for (int i = 0; i < ENGINES; i++) {
        char id[16];
        g_snprintf(id, sizeof(id), "engine-%d", i);
        endpoint_lease_t lease = lease_of(id, 2, LEASE_LEFT);
        directory_update(d, 0, &lease, SECOND);
    }
    CU_ASSERT_EQUAL(directory_service(d, "s")->len, 0);
    directory_sweep(d, 2 * SECOND);
    CU_ASSERT_EQUAL(directory_count(d), 0);
    directory_destroy(d);
}

/* A burst of long prompts: so many are taken as an engine ends in time, the
 * others are not, and short prompts still find a place. */
static void
test_places(void)
{
    directory_t *d = engines_create();
    guint taken = 0;
    for (guint32 draw = 0; draw < 500; draw++) {
        endpoint_t *e = place(d, 12000, 1 + draw % 40, 5000, TRUE, draw);
        if (e != NULL) {
            endpoint_join(e, 12000, 0);
            taken++;
        }
    }
    GPtrArray *engines = (GPtrArray *)directory_service(d, "s");
    for (guint i = 0; i < engines->len; i++) {
        const endpoint_t *e = engines->pdata[i];
        CU_ASSERT(e->running <= 0.85 * e->slots + 1);
    }
    CU_ASSERT(taken < 500);
    CU_ASSERT(taken >= ENGINES * SLOTS / 4);
    CU_ASSERT_PTR_NULL(place(d, 12000, 3, 5000, TRUE, 9));
    place_case_t refused = {
        .tokens = 12000, .shared = 3, .shared_tokens = 5000, .parted = TRUE};
    placement_counts_t counts = place_of(d, refused).counts;
    CU_ASSERT_EQUAL(counts.known, ENGINES);
    CU_ASSERT_EQUAL(counts.no_place, ENGINES);
    CU_ASSERT_STRING_EQUAL(placement_reason(&counts), "all places are taken");
    CU_ASSERT_PTR_NOT_NULL(place(d, 800, 0, 0, TRUE, 9));
    directory_destroy(d);
}

/* Away from where its shared parts are, a prompt takes them from there over
 * the engines' links; the other way round when they may be elsewhere. */
static void
test_fetching(void)
{
    static const double LINK = 800; /* tokens a ms */
    directory_t *d = engines_create();
    place_case_t c = {.tokens = 12000,
                      .shared = 7,
                      .shared_tokens = 5000,
                      .parted = TRUE,
                      .draw = 3};
    endpoint_t *home = place_of(d, c).endpoint;
    CU_ASSERT_PTR_NULL(place_of(d, c).source); /* engines that do not fetch */
    c.fetch_tokens_a_ms = LINK;
    CU_ASSERT_PTR_EQUAL(place_of(d, c).endpoint, home);
    CU_ASSERT_PTR_NOT_EQUAL(place_of(d, c).source, home);
    home->running = SLOTS;
    placement_t away = place_of(d, c);
    CU_ASSERT_PTR_NOT_EQUAL(away.endpoint, home);
    CU_ASSERT_PTR_EQUAL(away.source, home);
    CU_ASSERT_EQUAL(away.read_tokens, 7000);
    /* One that fails is not asked: the next keeper is, and no third. */
    home->failures = 0.5;
    away = place_of(d, c);
    CU_ASSERT_PTR_NOT_EQUAL(away.source, home);
    c.shared = 0;
    c.shared_tokens = 0;
    CU_ASSERT_PTR_NULL(place_of(d, c).source);
    directory_destroy(d);
}

/* Long prompts that share no part have no home: every engine of their side
 * takes as many as a home does. */
static void
test_places_without_home(void)
{
    directory_t *d = engines_create();
    guint taken = 0;
    for (guint32 n = 0; n < 1000; n++) {
        place_case_t c = {.tokens = 12000, .parted = TRUE, .draw = n};
        endpoint_t *e = place_of(d, c).endpoint;
        if (e != NULL) {
            endpoint_join(e, 12000, 0);
            taken++;
        }
    }
    CU_ASSERT(taken >= (guint)(0.6 * ENGINES * 0.85 * SLOTS));
    directory_destroy(d);
}

/* A burst of prompts on engines whose slots would hold more than their memory:
 * the tokens bound them, so large prompts take more of the places. */
static void
test_places_by_memory(void)
{
    enum { MEMORY = 560000, REQUESTS = 1000 };
    static const guint TOKENS[] = {6000, 12000, 24000, 50000};
    guint before = G_MAXUINT;
    for (gsize i = 0; i < G_N_ELEMENTS(TOKENS); i++) {
        directory_t *d = engines_create();
        guint taken = 0;
        for (guint32 n = 0; n < REQUESTS; n++) {
            place_case_t c = {.tokens = TOKENS[i],
                              .shared = 1 + n % 40,
                              .shared_tokens = 5000,
                              .parted = TRUE,
                              .draw = n,
                              .memory_tokens = MEMORY};
            endpoint_t *e = place_of(d, c).endpoint;
            if (e != NULL) {
                CU_ASSERT(e->prompt_tokens <= 0.6 * MEMORY);
                endpoint_join(e, TOKENS[i], 0);
                taken++;
            }
        }
        CU_ASSERT(taken <= before);
        CU_ASSERT(taken >= 3 * ENGINES / 2);
        before = taken;
        directory_destroy(d);
    }
}

/* What all instances keep in an engine's memory counts, as told with the
 * loads; while these are not known, as much for each as this one keeps there.
 */
static void
test_memory_of_all(void)
{
    enum { MEMORY = 560000, OWN = 50000, FULL_OTHERS = 300000 };
    static const struct {
        const char *name;
        guint32 others; /* tokens of the other instances */
        guint sharers;  /* while loads are not known; 0: they are */
        gboolean stays;
    } MEMORIES[] = {
        {"this one alone", 0, 0, TRUE},
        {"all together too much", FULL_OTHERS, 0, FALSE},
        {"not known, few instances", 0, 2, TRUE},
        {"not known, many", 0, 8, FALSE},
    };
    for (gsize i = 0; i < G_N_ELEMENTS(MEMORIES); i++) {
        directory_t *d = engines_create();
        place_case_t c = {.tokens = 12000,
                          .shared = 7,
                          .shared_tokens = 5000,
                          .parted = TRUE,
                          .memory_tokens = MEMORY,
                          .unknown_sharers = MEMORIES[i].sharers};
        endpoint_t *home = place_of(d, c).endpoint;
        endpoint_join(home, OWN, 0);
        home->others.prompt_tokens = MEMORIES[i].others;
        gboolean stays = place_of(d, c).endpoint == home;
        if (stays != MEMORIES[i].stays) {
            printf("%s: stays %d\n", MEMORIES[i].name, stays);
        }
        CU_ASSERT_EQUAL(stays, MEMORIES[i].stays);
        directory_destroy(d);
    }
}

/* The home is left for a queue that would make the first event late, not for
 * a shorter one; both as the others tell. */
static void
test_queue_at_home(void)
{
    static const struct {
        guint32 waiting; /* tokens of the other instances' prompts */
        gboolean stays;
    } QUEUES[] = {{0, TRUE}, {40000, TRUE}, {80000, FALSE}};
    for (gsize i = 0; i < G_N_ELEMENTS(QUEUES); i++) {
        directory_t *d = engines_create();
        place_case_t c = {.tokens = 12000,
                          .shared = 7,
                          .shared_tokens = 5000,
                          .parted = TRUE,
                          .fetch_tokens_a_ms = 800};
        endpoint_t *home = place_of(d, c).endpoint;
        endpoint_load_t sum = {.endpoint = home->hash,
                               .running = 5,
                               .long_running = 5,
                               .prompt_tokens = 60000,
                               .waiting_tokens = QUEUES[i].waiting};
        GArray *sums = g_array_new(FALSE, FALSE, sizeof(sum));
        GArray *own = g_array_new(FALSE, FALSE, sizeof(sum));
        g_array_append_val(sums, sum);
        directory_apply_loads(d, sums, own);
        CU_ASSERT_EQUAL(home->others.prompt_tokens, 60000);
        CU_ASSERT_EQUAL(place_of(d, c).endpoint == home, QUEUES[i].stays);
        g_array_unref(sums);
        g_array_unref(own);
        directory_destroy(d);
    }
}

/* A burst while no control instance passes loads on: eight instances that
 * know their own requests only still take no more than the engines can end. */
static void
test_places_without_loads(void)
{
    enum { INSTANCES = 8, REQUESTS = 800 };
    directory_t *seen[INSTANCES];
    guint taken[ENGINES] = {0};
    guint sum = 0;
    for (guint i = 0; i < INSTANCES; i++) {
        seen[i] = engines_create();
    }
    for (guint32 n = 0; n < REQUESTS; n++) {
        place_case_t c = {.tokens = 12000,
                          .shared = 1 + n % 40,
                          .shared_tokens = 5000,
                          .parted = TRUE,
                          .draw = n,
                          .unknown_sharers = INSTANCES};
        endpoint_t *e = place_of(seen[n % INSTANCES], c).endpoint;
        if (e != NULL) {
            endpoint_join(e, 12000, 0);
            taken[atoi(e->id + strlen("engine-"))]++;
            sum++;
        }
        /* A short prompt is not refused by the coarse count. */
        c.tokens = 800;
        c.shared = 0;
        c.shared_tokens = 0;
        CU_ASSERT_PTR_NOT_NULL(place_of(seen[n % INSTANCES], c).endpoint);
    }
    for (guint i = 0; i < ENGINES; i++) {
        /* Each instance rounds up by one. */
        CU_ASSERT(taken[i] <= 0.85 * SLOTS + INSTANCES);
    }
    CU_ASSERT(sum >= ENGINES * SLOTS / 4);
    for (guint i = 0; i < INSTANCES; i++) {
        directory_destroy(seen[i]);
    }
}

/* What the other instances run counts against the places. */
static void
test_loads_of_others(void)
{
    directory_t *d = engines_create();
    endpoint_t *home = place(d, 12000, 7, 5000, TRUE, 3);
    endpoint_load_t sum = {.endpoint = home->hash, .running = SLOTS};
    endpoint_load_t own = {.endpoint = home->hash, .running = 1};
    GArray *sums = g_array_new(FALSE, FALSE, sizeof(endpoint_load_t));
    GArray *owns = g_array_new(FALSE, FALSE, sizeof(endpoint_load_t));
    g_array_append_val(sums, sum);
    g_array_append_val(owns, own);
    directory_apply_loads(d, sums, owns);
    CU_ASSERT_EQUAL(home->others.running, SLOTS - 1);
    CU_ASSERT_PTR_NOT_EQUAL(place(d, 12000, 7, 5000, TRUE, 3), home);
    g_array_set_size(sums, 0);
    directory_apply_loads(d, sums, owns);
    CU_ASSERT_EQUAL(home->others.running, 0);
    CU_ASSERT_PTR_EQUAL(place(d, 12000, 7, 5000, TRUE, 3), home);
    g_array_unref(sums);
    g_array_unref(owns);
    directory_destroy(d);
}

/* One that refuses all looks idle; it is left for longer each time. */
static void
test_refusing(void)
{
    directory_t *d = engines_create();
    endpoint_t *e = directory_find(d, "engine-0");
    gint64 now = SECOND;
    guint tries = 0;
    while (now < 61 * SECOND) {
        if (endpoint_open(e, now)) {
            endpoint_note(e, ENDPOINT_FULL, now);
            tries++;
        }
        now += 10000;
    }
    CU_ASSERT(tries <= 30);
    endpoint_note(e, ENDPOINT_SERVED, now);
    now = e->full_until_us;
    endpoint_note(e, ENDPOINT_FULL, now);
    CU_ASSERT(endpoint_open(e, now + SECOND / 2));
    directory_destroy(d);
}

/* A long prompt keeps away from streams that its reading would hold up; off
 * its side it goes only where nothing would be. */
static void
test_pauses_guarded(void)
{
    directory_t *d = engines_create();
    place_case_t c = {.tokens = 12000,
                      .shared = 7,
                      .shared_tokens = 5000,
                      .parted = TRUE,
                      .target_ms = 500,
                      .fetch_tokens_a_ms = 800};
    endpoint_t *home = place_of(d, c).endpoint;
    home->running = 20; /* streams that are not long */
    CU_ASSERT_PTR_NOT_EQUAL(place_of(d, c).endpoint, home);
    home->long_running = 20;
    CU_ASSERT_PTR_EQUAL(place_of(d, c).endpoint, home);
    const GPtrArray *engines = directory_service(d, "s");
    for (guint i = 0; i < engines->len; i++) {
        endpoint_t *e = engines->pdata[i];
        gboolean on_side = i < (guint)(0.6 * ENGINES + 0.5);
        e->running = on_side ? SLOTS : 1;
        e->long_running = on_side ? SLOTS : 0;
    }
    CU_ASSERT_PTR_NULL(place_of(d, c).endpoint);
    directory_destroy(d);
}

/* A home that is full leaves to the next keeper what that reads within the
 * objective, and to no engine beyond. */
static void
test_next_keeper(void)
{
    static const struct {
        gint64 target_ms;
        guint least; /* requests that run at the next keeper in the end */
        guint most;
    } OBJECTIVES[] = {{500, 4, 5}, {2000, 14, 15}, {8000, 27, 28}};
    for (gsize i = 0; i < G_N_ELEMENTS(OBJECTIVES); i++) {
        directory_t *d = engines_create();
        place_case_t c = {.tokens = 12000,
                          .shared = 7,
                          .shared_tokens = 5000,
                          .parted = TRUE,
                          .target_ms = OBJECTIVES[i].target_ms,
                          .fetch_tokens_a_ms = 800};
        endpoint_t *home = place_of(d, c).endpoint;
        home->running = SLOTS;
        home->long_running = SLOTS;
        endpoint_t *next = place_of(d, c).endpoint;
        endpoint_t *e = next;
        while (e == next) {
            endpoint_join(e, 12000, 0);
            e = place_of(d, c).endpoint;
        }
        CU_ASSERT(next->running >= OBJECTIVES[i].least);
        CU_ASSERT(next->running <= OBJECTIVES[i].most);
        directory_destroy(d);
    }
}

/* When the border moves over a prompt's home, the next one fetches the shared
 * parts from there. */
static void
test_former_home(void)
{
    directory_t *d = engines_create();
    place_case_t c = {.tokens = 12000,
                      .shared_tokens = 5000,
                      .parted = TRUE,
                      .fetch_tokens_a_ms = 800};
    guint moved = 0;
    for (guint64 part = 1; part <= 60; part++) {
        c.shared = part;
        c.long_part = 0.9;
        endpoint_t *before = place_of(d, c).endpoint;
        directory_record_part(d, before, part);
        c.long_part = 0.3;
        placement_t after = place_of(d, c);
        if (after.endpoint != before) {
            CU_ASSERT_PTR_EQUAL(after.source, before);
            moved++;
        }
    }
    CU_ASSERT(moved >= 20);
    directory_destroy(d);
}

/* A large prompt finds with the next keeper what typical ones find; reckoned
 * with its own reading it would find it full at two requests. */
static void
test_large_at_next_keeper(void)
{
    enum { LARGE = 60000, TYPICAL = 12000, RUNNING = 8 };
    for (int known = 0; known < 2; known++) {
        directory_t *d = engines_create();
        place_case_t c = {.tokens = LARGE,
                          .shared = 7,
                          .shared_tokens = 5000,
                          .parted = TRUE,
                          .fetch_tokens_a_ms = 800,
                          .long_tokens = known ? TYPICAL : 0};
        endpoint_t *home = place_of(d, c).endpoint;
        home->running = SLOTS;
        home->long_running = SLOTS;
        endpoint_t *next = place_of(d, c).endpoint;
        next->running = RUNNING;
        next->long_running = RUNNING;
        endpoint_t *e = place_of(d, c).endpoint;
        CU_ASSERT_EQUAL(e == next, known);
        directory_destroy(d);
    }
}

/* The home of a part drains: the next home fetches the part from it while it
 * lends its memory, and from others once it does not. */
static void
test_fetch_from_leaving(void)
{
    enum { LEAVES_MS = 2200 };
    directory_t *d = engines_create();
    place_case_t c = {.tokens = 9000,
                      .shared = 7,
                      .shared_tokens = 5000,
                      .fetch_tokens_a_ms = 800};
    endpoint_t *home = place_of(d, c).endpoint;
    endpoint_lease_t lease = lease_of(home->id, 2, LEASE_DRAINING);
    lease.slots = SLOTS;
    lease.reclaimable = TRUE;
    lease.leaves_ms = LEAVES_MS;
    directory_update(d, 0, &lease, SECOND);
    placement_t next = place_of(d, c);
    CU_ASSERT_PTR_NOT_EQUAL(next.endpoint, home);
    CU_ASSERT_PTR_EQUAL(next.source, home);
    CU_ASSERT_EQUAL(next.read_tokens, 4000);
    CU_ASSERT(endpoint_lends(home, SECOND + SECOND));
    CU_ASSERT_FALSE(endpoint_lends(home, SECOND + LEAVES_MS * 1000));
    home->lends_until_us = 0;
    CU_ASSERT_PTR_NOT_EQUAL(place_of(d, c).source, home);
    directory_destroy(d);
}

/* An engine that others sent the part to is asked for it, also where the ranks
 * say another; one that fails is not. */
static void
test_fetch_from_holder(void)
{
    directory_t *d = engines_create();
    place_case_t c = {.tokens = 9000,
                      .shared = 7,
                      .shared_tokens = 5000,
                      .parted = TRUE,
                      .long_part = 0.5,
                      .fetch_tokens_a_ms = 800};
    endpoint_t *home = place_of(d, c).endpoint;
    const GPtrArray *list = directory_service(d, "s");
    endpoint_t *holder = list->pdata[list->len - 1];
    CU_ASSERT_PTR_NOT_EQUAL(holder, home);
    GArray *notes = g_array_new(FALSE, FALSE, sizeof(part_note_t));
    part_note_t note = {.part = 7, .endpoint = holder->hash};
    g_array_append_val(notes, note);
    directory_apply_parts(d, notes);
    CU_ASSERT(endpoint_has_part(holder, 7));
    CU_ASSERT_PTR_EQUAL(place_of(d, c).source, holder);
    holder->failures = 0.5;
    CU_ASSERT_PTR_NOT_EQUAL(place_of(d, c).source, holder);
    g_array_unref(notes);
    directory_destroy(d);
}

/* An endpoint that gets a part for the first time has the part before it,
 * which more prompts share, from one that surely keeps that. */
static void
test_fetch_prefix(void)
{
    enum { PREFIX = 3, THING = 7, OWN = 99 };
    directory_t *d = engines_create();
    const GPtrArray *list = directory_service(d, "s");
    prompt_part_t parts[] = {{PREFIX, 400}, {THING, 200}, {OWN, 1800}};
    placement_request_t request = {.parts = parts,
                                   .part_count = G_N_ELEMENTS(parts),
                                   .prompt_tokens = 2400,
                                   .target_ms = 500,
                                   .tokens_a_ms = 61,
                                   .fetch_tokens_a_ms = 800,
                                   .data_centre = "dc"};
    placement_t first = placement_pick(list, &request, 0);
    CU_ASSERT_FALSE(first.prefix_held);
    endpoint_t *other = list->pdata[first.endpoint == list->pdata[0]];
    directory_record_part(d, other, PREFIX);
    placement_t then = placement_pick(list, &request, 0);
    CU_ASSERT(then.prefix_held);
    CU_ASSERT_PTR_EQUAL(then.endpoint, first.endpoint);
    CU_ASSERT_PTR_EQUAL(then.source, other);
    /* One that keeps all of it is better. */
    endpoint_t *whole = list->pdata[list->len - 1];
    CU_ASSERT_PTR_NOT_EQUAL(whole, first.endpoint);
    directory_record_part(d, whole, THING);
    CU_ASSERT_PTR_EQUAL(placement_pick(list, &request, 0).source, whole);
    directory_destroy(d);
}

/* Of many idle endpoints an instance uses few, to which it has connections;
 * one that is busy is left for another. */
static void
test_connections_used(void)
{
    enum { REQUESTS = 200, GAP_US = 100000 };
    directory_t *d = engines_create();
    const GPtrArray *list = directory_service(d, "s");
    GHashTable *used = g_hash_table_new(NULL, NULL);
    guint connections = 0;
    for (guint32 n = 0; n < REQUESTS; n++) {
        gint64 now_us = SECOND + n * (gint64)GAP_US;
        placement_request_t request = {
            .target_ms = 150, .data_centre = "dc", .draw = n * 7};
        endpoint_t *e = placement_pick(list, &request, now_us).endpoint;
        connections += !endpoint_connected(e, now_us);
        endpoint_note(e, ENDPOINT_SERVED, now_us);
        g_hash_table_add(used, e);
    }
    CU_ASSERT_EQUAL(connections, 1);
    CU_ASSERT_EQUAL(g_hash_table_size(used), 1);
    gint64 now_us = SECOND + REQUESTS * (gint64)GAP_US;
    placement_request_t request = {.target_ms = 150, .data_centre = "dc"};
    endpoint_t *e = placement_pick(list, &request, now_us).endpoint;
    endpoint_join(e, 0, 0);
    CU_ASSERT_PTR_NOT_EQUAL(placement_pick(list, &request, now_us).endpoint,
                            e);
    g_hash_table_unref(used);
    directory_destroy(d);
}

/* Short prompts that share a part go to its keepers, whatever is drawn, while
 * these are no more loaded than others; a crowded one is left. */
static void
test_short_at_keepers(void)
{
    directory_t *d = engines_create();
    GHashTable *used = g_hash_table_new(NULL, NULL);
    for (guint32 draw = 0; draw < 100; draw++) {
        g_hash_table_add(used, place(d, 800, 77, 400, TRUE, draw));
    }
    CU_ASSERT(g_hash_table_size(used) <= KEEPERS_MAX);
    endpoint_t *home = place(d, 800, 77, 400, TRUE, 1);
    home->running = SLOTS;
    CU_ASSERT_NOT_EQUAL(place(d, 800, 77, 400, TRUE, 1), home);
    g_hash_table_unref(used);
    directory_destroy(d);
}

/* A home that named a limit is left for the next while no send is granted, and
 * is found again with one, or once the limit is lifted. */
static void
test_limited_home(void)
{
    enum { DRAWS = 50 };
    directory_t *d = engines_create();
    place_case_t c = {.tokens = 12000, .shared = 7, .shared_tokens = 5000};
    endpoint_t *home = place_of(d, c).endpoint;
    endpoint_limit_t *limit = directory_limit(d, home);
    endpoint_limit_named(limit, 2, SECOND, SECOND);
    for (c.draw = 0; c.draw < DRAWS; c.draw++) {
        placement_t other = place_of(d, c);
        CU_ASSERT_PTR_NOT_EQUAL(other.endpoint, home);
        CU_ASSERT_PTR_NOT_NULL(other.endpoint);
        CU_ASSERT_PTR_EQUAL(other.denied, home);
    }
    limit_grant_t grant = {.state = {.limited = TRUE, .rate = 2},
                           .granted = 1};
    endpoint_limit_granted(limit, &grant, 2 * SECOND, 2 * SECOND);
    CU_ASSERT_PTR_EQUAL(place_of(d, c).endpoint, home);
    c.yields = TRUE;
    CU_ASSERT_PTR_NOT_EQUAL(place_of(d, c).endpoint, home);
    c.yields = FALSE;
    endpoint_limit_spend(limit, 1, 2 * SECOND);
    CU_ASSERT_PTR_NOT_EQUAL(place_of(d, c).endpoint, home);
    endpoint_limit_absent(limit, 2 * SECOND);
    CU_ASSERT_PTR_EQUAL(place_of(d, c).endpoint, home);
    directory_destroy(d);
}

/* Requests that a limit kept from the only endpoint that was well went one
 * after the other to those that had failed. */
static void
test_limited_beside_closed(void)
{
    directory_t *d = engines_create();
    const GPtrArray *all = directory_service(d, "s");
    for (guint i = 1; i < all->len; i++) {
        ((endpoint_t *)all->pdata[i])->closed_until_us = 30 * SECOND;
    }
    place_case_t c = {.tokens = 800};
    CU_ASSERT_PTR_EQUAL(place_of(d, c).endpoint, all->pdata[0]);
    endpoint_limit_named(directory_limit(d, all->pdata[0]), 2, SECOND, SECOND);
    placement_t none = place_of(d, c);
    CU_ASSERT_PTR_NULL(none.endpoint);
    CU_ASSERT_PTR_EQUAL(none.denied, all->pdata[0]);
    CU_ASSERT(placement_is_limited(&none.counts));
    directory_destroy(d);
}

/* Endpoints that have no send granted take nothing, and it is said why. */
static void
test_all_limited(void)
{
    directory_t *d = engines_create();
    const GPtrArray *all = directory_service(d, "s");
    for (guint i = 0; i < all->len; i++) {
        endpoint_limit_named(directory_limit(d, all->pdata[i]), 2, SECOND,
                             SECOND);
    }
    place_case_t c = {.tokens = 800};
    placement_t none = place_of(d, c);
    CU_ASSERT_PTR_NULL(none.endpoint);
    CU_ASSERT_EQUAL(none.counts.limited, ENGINES);
    CU_ASSERT(placement_is_limited(&none.counts));
    placement_counts_t full = {.known = 18, .limited = 1, .no_place = 17};
    CU_ASSERT_FALSE(placement_is_limited(&full));
    CU_ASSERT_STRING_EQUAL(placement_reason(&none.counts),
                           "the limits that the endpoints named are spent");
    directory_destroy(d);
}

static const test_case_t CASES[] = {
    {"short prompts at the keepers of their part", test_short_at_keepers},
    {"a large prompt at the next keeper", test_large_at_next_keeper},
    {"pauses guarded from long prompts", test_pauses_guarded},
    {"what a full home leaves to the next keeper", test_next_keeper},
    {"a home on the other side of the border", test_former_home},
    {"long prompts and short ones are kept apart", test_sides},
    {"sessions stay where their prompts are", test_affinity},
    {"failing endpoints are left", test_failing},
    {"long prompts take so many places", test_places},
    {"prompts fetched from another engine", test_fetching},
    {"parts fetched from whom the others sent them", test_fetch_from_holder},
    {"connections are used again", test_connections_used},
    {"the part before one that is new", test_fetch_prefix},
    {"parts fetched from an engine that leaves", test_fetch_from_leaving},
    {"places of prompts without a home", test_places_without_home},
    {"places by an engine's memory", test_places_by_memory},
    {"an engine's memory is that of all instances", test_memory_of_all},
    {"a queue at a prompt's home", test_queue_at_home},
    {"places without word of the others", test_places_without_loads},
    {"loads of the other instances", test_loads_of_others},
    {"an endpoint that refuses all", test_refusing},
    {"a home that named a limit", test_limited_home},
    {"all endpoints named limits", test_all_limited},
    {"a limit beside endpoints that failed", test_limited_beside_closed},
};

CHECK_MAIN("placement", CASES)
