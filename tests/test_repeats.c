/* Tests that the repeats of all instances stay within the budget, with real
 * processes. */
#include <signal.h>
#include <string.h>

#include "check.h"
#include "fleet_load.h"
#include "fleet_repeats.h"

enum {
    MS = 1000,
    ENTRIES = 6,
    ENDPOINTS = 6,
    MANY_INTERVAL_MS = 125, /* per caller: 80 requests per second in total */
    FEW_INTERVAL_MS = 1666, /* 6 per second */
    SLACK = 52,
    DOWN_MS = 200,
    /* Long enough before the disruption that a window is full. */
    BEFORE_MS = 12000,
    AFTER_MS = 9000,
    CASES_AT_ONCE = 3,
};

static const repeats_rule_t RULE = {.ratio = 0.2, .slack = SLACK};

/* Faults of the callers' requests in turn. */
static const char *const REJECTED[] = {"Fault: full\r\n"};
static const char *const CLOSED[] = {"Fault: reset\r\n"};
static const char *const DRAWN[] = {"", "Fault: full\r\n", "Fault: reset\r\n",
                                    "Fault: error\r\n", "Fault: cut\r\n"};

typedef struct {
    load_t load;
    caller_t callers[LOAD_CALLERS];
    GThread *threads[LOAD_CALLERS];
    GMutex lock;
    GArray *requests; /* gint64, times at which they were sent */
} scenario_t;

static void
observe(void *user, guint entry, const reply_t *reply, gint64 started_us)
{
    scenario_t *p = user;
    (void)entry;
    (void)reply;
    g_mutex_lock(&p->lock);
    g_array_append_val(p->requests, started_us);
    g_mutex_unlock(&p->lock);
}

static void
kill_all(fleet_t *f)
{
    for (guint i = 0; i < ENTRIES; i++) {
        fleet_kill(fleet_entry(f, i));
    }
    fleet_sleep(DOWN_MS);
    for (guint i = 0; i < ENTRIES; i++) {
        fleet_start(f, fleet_entry(f, i));
    }
}

static void
kill_control_and_all(fleet_t *f)
{
    fleet_kill(fleet_control(f, 0));
    kill_all(f);
    fleet_start(f, fleet_control(f, 0));
}

static void
kill_control_and_all_twice(fleet_t *f)
{
    kill_control_and_all(f);
    fleet_sleep(4000);
    kill_control_and_all(f);
}

static void
kill_in_turn(fleet_t *f)
{
    for (guint i = 0; i < ENTRIES; i++) {
        fleet_kill(fleet_entry(f, i));
        fleet_sleep(DOWN_MS);
        fleet_start(f, fleet_entry(f, i));
        fleet_sleep(DOWN_MS);
    }
}

static void
kill_in_turn_twice(fleet_t *f)
{
    kill_in_turn(f);
    kill_in_turn(f);
}

static void
freeze_half(fleet_t *f)
{
    for (guint i = 0; i < ENTRIES / 2; i++) {
        fleet_signal(fleet_entry(f, i), SIGSTOP);
    }
    fleet_sleep(3000);
    for (guint i = 0; i < ENTRIES / 2; i++) {
        fleet_signal(fleet_entry(f, i), SIGCONT);
    }
}

static void
kill_control_thrice(fleet_t *f)
{
    for (guint i = 0; i < 3; i++) {
        fleet_kill(fleet_control(f, 0));
        fleet_sleep(DOWN_MS);
        fleet_start(f, fleet_control(f, 0));
        fleet_sleep(1500);
    }
}

typedef struct {
    const char *name;
    const char *const *faults;
    guint fault_count;
    int interval_ms;
    void (*disrupt)(fleet_t *fleet);
} repeat_case_t;

#define FAULTS(list) list, G_N_ELEMENTS(list)

static const repeat_case_t REPEAT_CASES[] = {
    {"few rejected, all killed", FAULTS(REJECTED), FEW_INTERVAL_MS, kill_all},
    {"few rejected, all and control killed twice", FAULTS(REJECTED),
     FEW_INTERVAL_MS, kill_control_and_all_twice},
    {"closed, killed in turn twice", FAULTS(CLOSED), MANY_INTERVAL_MS,
     kill_in_turn_twice},
    {"few closed, killed in turn twice", FAULTS(CLOSED), FEW_INTERVAL_MS,
     kill_in_turn_twice},
    {"drawn, killed in turn", FAULTS(DRAWN), MANY_INTERVAL_MS, kill_in_turn},
    {"drawn, half frozen", FAULTS(DRAWN), MANY_INTERVAL_MS, freeze_half},
    {"rejected, control killed three times", FAULTS(REJECTED),
     MANY_INTERVAL_MS, kill_control_thrice},
};

/* Creates no two fleets at once: their networks are numbered. */
static GMutex fleets_lock;

static void
scenario_start(scenario_t *p, const repeat_case_t *c)
{
    g_mutex_lock(&fleets_lock);
    fleet_t *f = fleet_create(1, ENTRIES, ENDPOINTS);
    g_mutex_unlock(&fleets_lock);
    f->retry_slack = SLACK;
    *p = (scenario_t){.load = {.fleet = f,
                               .target = "/safe/x",
                               .interval_ms = c->interval_ms,
                               .observe = observe,
                               .user = p},
                      .requests = g_array_new(FALSE, FALSE, sizeof(gint64))};
    for (guint i = 0; i < LOAD_CALLERS; i++) {
        p->callers[i].fields = c->faults[i % c->fault_count];
    }
}

typedef struct {
    const repeat_case_t *setup;
    gboolean up;
    repeats_window_t worst;
} outcome_t;

static void
run_case(gpointer data, gpointer user)
{
    outcome_t *outcome = data;
    const repeat_case_t *c = outcome->setup;
    scenario_t p;
    (void)user;
    scenario_start(&p, c);
    fleet_t *f = p.load.fleet;
    outcome->up = fleet_up(f, 1);
    if (outcome->up) {
        load_start(&p.load, p.callers, p.threads);
        fleet_sleep(BEFORE_MS);
        c->disrupt(f);
        fleet_sleep(AFTER_MS);
        load_stop(&p.load, p.threads);
    }
    GArray *repeats = fleet_repeat_times(f);
    outcome->worst = repeats_worst(repeats, p.requests, &RULE);
    g_array_unref(repeats);
    g_array_unref(p.requests);
    fleet_destroy(f);
}

/* Guards against repeats beyond the budget after instances were killed, frozen
 * or started again. */
static void
test_budget_over_starts(void)
{
    const char *selected = g_getenv("REPEAT_CASE"); /* runs a single case */
    outcome_t outcomes[G_N_ELEMENTS(REPEAT_CASES)] = {0};
    GThreadPool *pool =
        g_thread_pool_new(run_case, NULL, CASES_AT_ONCE, FALSE, NULL);
    for (gsize i = 0; i < G_N_ELEMENTS(REPEAT_CASES); i++) {
        const char *name = REPEAT_CASES[i].name;
        outcomes[i].setup = &REPEAT_CASES[i];
        if (selected == NULL || g_str_equal(selected, name)) {
            g_thread_pool_push(pool, &outcomes[i], NULL);
        }
    }
    g_thread_pool_free(pool, FALSE, TRUE);
    for (gsize i = 0; i < G_N_ELEMENTS(REPEAT_CASES); i++) {
        const outcome_t *o = &outcomes[i];
        const char *name = REPEAT_CASES[i].name;
        if (selected != NULL && !g_str_equal(selected, name)) {
            continue;
        }
        printf("%s: %u of %.0f; ", name, o->worst.repeats, o->worst.allowed);
        CU_ASSERT(o->up);
        CU_ASSERT(o->worst.repeats > 0);
        CU_ASSERT(o->worst.repeats <= o->worst.allowed);
    }
}

static const test_case_t CASES[] = {
    {"the budget of repeats holds over starts of instances",
     test_budget_over_starts},
};

CHECK_MAIN("repeats", CASES)
