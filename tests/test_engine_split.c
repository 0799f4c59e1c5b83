/* Tests what instances learn about a service's prompts and engines, and how
 * they divide the engines accordingly. */
#include "carobloom/policy/engine_model.h"
#include "carobloom/policy/engine_split.h"
#include "carobloom/policy/prompt_mix.h"
#include "check.h"

enum { SECOND = 1000000 };

/* The fraction for long prompts after ten seconds of `demand`, reported every
 * 200 ms. */
static double
fraction_after(split_demand_t demand)
{
    engine_split_t split = {0};
    for (gint64 ms = 0; ms <= 10000; ms += 200) {
        engine_split_update(&split, &demand, SECOND + ms * 1000);
    }
    return engine_split_long_fraction(&split);
}

/* The more urgent kind gets the engines that it needs, however many prompts of
 * the other kind wait; the rest is shared. */
static void
test_split(void)
{
    static const struct {
        const char *name;
        kind_load_t long_prompts;
        kind_load_t short_prompts;
        double min_fraction;
        double max_fraction;
    } SPLITS[] = {
        {"nothing runs", {0}, {0}, 0.49, 0.6},
        {"long ones wait, less urgent",
         {.running = 60,
          .waiting_tokens = 200000,
          .target_ms = 500,
          .priority = 1},
         {.running = 90, .target_ms = 600},
         0.75,
         0.85},
        {"long ones wait, more urgent",
         {.running = 60, .waiting_tokens = 200000, .target_ms = 500},
         {.running = 90, .target_ms = 600, .priority = 1},
         0.8,
         0.86},
        {"many short ones run",
         {.running = 10,
          .waiting_tokens = 20000,
          .target_ms = 500,
          .priority = 1},
         {.running = 300, .target_ms = 600},
         0.25,
         0.42},
        {"prompts that would make pauses late",
         {.running = 60,
          .waiting_tokens = 200000,
          .target_ms = 500,
          .priority = 1},
         {.running = 20,
          .target_ms = 600,
          .pause_ms = 200,
          .arrivals_per_s = 42,
          .prompt_tokens = 2500},
         0.55,
         0.68},
        {"the same, too short to do so",
         {.running = 60,
          .waiting_tokens = 200000,
          .target_ms = 500,
          .priority = 1},
         {.running = 20,
          .target_ms = 600,
          .pause_ms = 200,
          .arrivals_per_s = 42,
          .prompt_tokens = 250},
         0.75,
         0.86},
        {"a longer objective needs fewer engines",
         {.running = 20,
          .waiting_tokens = 20000,
          .target_ms = 4000,
          .priority = 1},
         {.running = 60, .target_ms = 600},
         0.19,
         0.4},
    };
    for (gsize i = 0; i < G_N_ELEMENTS(SPLITS); i++) {
        split_demand_t demand = {.engines = 12,
                                 .slots = 64,
                                 .tokens_per_ms = 60,
                                 .long_prompts = SPLITS[i].long_prompts,
                                 .short_prompts = SPLITS[i].short_prompts};
        double fraction = fraction_after(demand);
        CU_ASSERT(fraction >= SPLITS[i].min_fraction &&
                  fraction <= SPLITS[i].max_fraction);
    }
}

/* The partition boundary moves by whole engines, not with every request. */
static void
test_split_is_steady(void)
{
    engine_split_t split = {0};
    guint moves = 0;
    CU_ASSERT_EQUAL(engine_split_long_fraction(&split), 0.6);
    for (guint i = 0; i < 100; i++) {
        split_demand_t demand = {
            .engines = 12, .slots = 64, .tokens_per_ms = 60};
        demand.long_prompts.waiting_tokens = i % 2 ? 17000 : 19000;
        demand.long_prompts.target_ms = 500;
        demand.short_prompts.running = 50;
        double before = engine_split_long_fraction(&split);
        engine_split_update(&split, &demand, SECOND + i * SECOND / 5);
        moves += engine_split_long_fraction(&split) != before;
    }
    CU_ASSERT(moves <= 2);
}

/* The model learns the speed of engines from an inaccurate initial estimate,
 * and outliers do not distort it. */
static void
test_engine_model(void)
{
    static const struct {
        double first_ms; /* before the first event, without any prompt */
        double tokens_per_ms;
    } ENGINE_KINDS[] = {{5, 30}, {60, 60}, {2, 200}};
    for (gsize i = 0; i < G_N_ELEMENTS(ENGINE_KINDS); i++) {
        engine_model_t model;
        engine_model_init(&model);
        for (guint n = 0; n < 400; n++) {
            double tokens = 500 + (n * 977) % 20000;
            double first_ms = ENGINE_KINDS[i].first_ms +
                              tokens / ENGINE_KINDS[i].tokens_per_ms;
            engine_model_record_first(&model, tokens,
                                      n % 50 == 0 ? 10000 : first_ms);
        }
        double expected =
            ENGINE_KINDS[i].first_ms + 10000 / ENGINE_KINDS[i].tokens_per_ms;
        CU_ASSERT_DOUBLE_EQUAL(engine_model_first_ms(&model, 10000), expected,
                               0.15 * expected);
    }
}

/* Engines are partitioned while long prompts arrive, and until an instance has
 * seen enough requests to know that none do. */
static void
test_prompt_mix(void)
{
    static const struct {
        guint tokens[2]; /* of two requests */
        gint64 at_s[2];  /* arrival times */
        gint64 queried_s;
        gboolean partitioned;
    } CASES[] = {
        {{800, 800}, {1, 2}, 2, TRUE},     {{800, 800}, {1, 12}, 12, FALSE},
        {{800, 9000}, {1, 12}, 12, TRUE},  {{9000, 800}, {1, 30}, 30, TRUE},
        {{9000, 800}, {1, 62}, 62, FALSE},
    };
    for (gsize i = 0; i < G_N_ELEMENTS(CASES); i++) {
        prompt_mix_t mix = {0};
        prompt_mix_record(
            &mix, (prompt_sample_t){.prompt_tokens = CASES[i].tokens[0]},
            CASES[i].at_s[0] * SECOND);
        prompt_mix_record(
            &mix, (prompt_sample_t){.prompt_tokens = CASES[i].tokens[1]},
            CASES[i].at_s[1] * SECOND);
        CU_ASSERT_EQUAL(
            prompt_mix_needs_partition(&mix, CASES[i].queried_s * SECOND),
            CASES[i].partitioned);
    }
}

/* Arrivals are counted over the last seconds and assumed to be the same at
 * every instance. */
static void
test_arrivals(void)
{
    prompt_mix_t mix = {0};
    split_demand_t demand = {0};
    gint64 now_us = SECOND;
    for (guint i = 0; i < 100; i++) {
        prompt_sample_t sample = {.prompt_tokens = i % 2 ? 600 : 1000,
                                  .target_ms = 300,
                                  .pause_ms = 250,
                                  .priority = i % 4};
        now_us += SECOND / 10;
        prompt_mix_record(&mix, sample, now_us);
    }
    prompt_mix_fill_demand(&mix, 4, now_us, &demand);
    CU_ASSERT_DOUBLE_EQUAL(demand.short_prompts.arrivals_per_s, 40, 2);
    CU_ASSERT_DOUBLE_EQUAL(demand.short_prompts.prompt_tokens, 800, 20);
    CU_ASSERT_EQUAL(demand.short_prompts.priority, 0);
    CU_ASSERT_EQUAL(demand.short_prompts.pause_ms, 250);
    CU_ASSERT_EQUAL(demand.long_prompts.arrivals_per_s, 0);
    prompt_mix_fill_demand(&mix, 4, now_us + 10 * SECOND, &demand);
    CU_ASSERT(demand.short_prompts.arrivals_per_s < 1);
}

static const test_case_t CASES[] = {
    {"engines are divided in proportion to need", test_split},
    {"the boundary moves by whole engines", test_split_is_steady},
    {"the engine model learns from requests", test_engine_model},
    {"long prompts are remembered", test_prompt_mix},
    {"arrivals are counted", test_arrivals},
};

CHECK_MAIN("engine split", CASES)
