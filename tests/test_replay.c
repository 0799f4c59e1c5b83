/* Replay's figures are exact for a seed: these bounds hold or they do not. */
#include <string.h>

#include "check.h"
#include "replay.h"

static json_t *
run(const char *name, const char *policy, gboolean faults)
{
    char *path =
        g_strdup_printf("%s/replay/traces/%s.jsonc", SOURCE_ROOT, name);
    trace_t *trace = trace_load(path);
    g_free(path);
    json_t *result = world_run(trace, policy_find(policy), faults);
    trace_destroy(trace);
    return result;
}

static double
number(json_t *result, const char *key)
{
    return json_number_value(json_object_get(result, key));
}

/* Attainment of the classes up to a tier, weighed by requests. */
static double
attainment(json_t *result, int tier)
{
    double met = 0;
    double count = 0;
    size_t index;
    json_t *c;
    json_array_foreach(json_object_get(result, "classes"), index, c)
    {
        if (json_integer_value(json_object_get(c, "tier")) <= tier) {
            double requests = number(c, "requests");
            met += requests * number(c, "attainment");
            count += requests;
        }
    }
    return met / count;
}

static gboolean
within_bounds(json_t *result)
{
    size_t index;
    json_t *c;
    json_array_foreach(json_object_get(result, "classes"), index, c)
    {
        if (!json_is_true(json_object_get(c, "within_bound"))) {
            return FALSE;
        }
    }
    return TRUE;
}

static const struct {
    const char *trace;
    gboolean faults;
    double top;     /* least attainment of tier 0 */
    double second;  /* and of tiers 0 and 1 */
    double goodput; /* least, tokens a second */
    double waste;   /* most */
} bounds[] = {
    {"qalbi-sale", FALSE, 0.999, 0.999, 27500, 0.01},
    {"qalbi-sale", TRUE, 0.995, 0.99, 26000, 0.03},
    {"garantia-month-end", FALSE, 0.999, 0.999, 15000, 0.01},
    {"garantia-month-end", TRUE, 0.995, 0.99, 14300, 0.03},
};

static void
test_bounds(void)
{
    for (gsize i = 0; i < G_N_ELEMENTS(bounds); i++) {
        json_t *r = run(bounds[i].trace, "ours", bounds[i].faults);
        printf("%s%s: %.4f %.4f %.0f %.4f; ", bounds[i].trace,
               bounds[i].faults ? " with faults" : "", attainment(r, 0),
               attainment(r, 1), number(r, "goodput"), number(r, "waste"));
        CU_ASSERT(number(r, "offered") > 3);
        CU_ASSERT(attainment(r, 0) >= bounds[i].top);
        CU_ASSERT(attainment(r, 1) >= bounds[i].second);
        CU_ASSERT(number(r, "goodput") >= bounds[i].goodput);
        CU_ASSERT(number(r, "waste") <= bounds[i].waste);
        CU_ASSERT_EQUAL(number(r, "protected_refusals"), 0);
        CU_ASSERT_EQUAL(number(r, "bad_preemptions"), 0);
        CU_ASSERT(within_bounds(r));
        json_decref(r);
    }
}

static void
test_same_seed_same_bytes(void)
{
    json_t *a = run("garantia-month-end", "ours", TRUE);
    json_t *b = run("garantia-month-end", "ours", TRUE);
    char *x = json_dumps(a, JSON_SORT_KEYS);
    char *y = json_dumps(b, JSON_SORT_KEYS);
    CU_ASSERT_STRING_EQUAL(x, y);
    free(x);
    free(y);
    json_decref(a);
    json_decref(b);
}

static void
test_better_than_baselines(void)
{
    static const char *const baselines[] = {"fcfs-random", "least-loaded",
                                            "alone-p2c"};
    for (int faults = 0; faults < 2; faults++) {
        json_t *ours = run("garantia-month-end", "ours", faults);
        for (gsize i = 0; i < G_N_ELEMENTS(baselines); i++) {
            json_t *other = run("garantia-month-end", baselines[i], faults);
            CU_ASSERT(attainment(ours, 1) > attainment(other, 1));
            CU_ASSERT(number(ours, "goodput") > number(other, "goodput"));
            json_decref(other);
        }
        json_decref(ours);
    }
}

static const test_case_t cases[] = {
    {"bounds hold exactly", test_bounds},
    {"same seed, same bytes", test_same_seed_same_bytes},
    {"better than the baselines", test_better_than_baselines},
};

CHECK_MAIN("replay", cases)
