/* Tests that entry instances obey the newest configuration in time though
 * control or entry instances start again, or anew, or their time of day is
 * set, with real processes. */
#include "check.h"
#include "fleet_obey.h"

enum {
    CONTROLS = 3,
    ENTRIES = 3,
    ENDPOINTS = 2,
    FIRST_VERSION = 4,
    CHANGES = 3,
    CHANGE_MS = 400, /* after what happened */
    AWAY_MS = 6000,  /* longer than instances trust an old configuration */
    DAY_STEP_US = 100 * G_USEC_PER_SEC,
};

typedef struct {
    fleet_t *fleet;
    guint64 version;
    guint change; /* of a case, from 0 */
} site_t;

typedef struct {
    const char *name;
    void (*happens)(site_t *s); /* before each change, or NULL */
    void (*goes_on)(site_t *s); /* right after it was acknowledged, or NULL */
    gboolean versions_start_again; /* after the first time that it happens */
} restart_case_t;

static void
kill_controls(site_t *s)
{
    for (guint i = 0; i < CONTROLS; i++) {
        fleet_kill(fleet_control(s->fleet, i));
    }
}

static void
start_controls(site_t *s, gboolean founding)
{
    for (guint i = 0; i < CONTROLS; i++) {
        fleet_control(s->fleet, i)->founding = founding;
        fleet_start(s->fleet, fleet_control(s->fleet, i));
    }
}

static void
kill_entries(site_t *s)
{
    for (guint i = 0; i < ENTRIES; i++) {
        fleet_kill(fleet_entry(s->fleet, i));
    }
}

static void
start_entries(site_t *s)
{
    for (guint i = 0; i < ENTRIES; i++) {
        fleet_start(s->fleet, fleet_entry(s->fleet, i));
    }
}

/* ---- what happens ---- */

static void
restart_core(site_t *s)
{
    kill_controls(s);
    start_controls(s, FALSE);
}

static void
restart_core_late(site_t *s)
{
    kill_controls(s);
    fleet_sleep(AWAY_MS);
    start_controls(s, FALSE);
}

static void
found_core_anew(site_t *s)
{
    kill_controls(s);
    for (guint i = 0; i < CONTROLS; i++) {
        fleet_lose_disk(fleet_control(s->fleet, i));
    }
    start_controls(s, TRUE);
}

static void
restart_entries(site_t *s)
{
    kill_entries(s);
    start_entries(s);
}

static void
restart_entries_before_core(site_t *s)
{
    kill_controls(s);
    restart_entries(s);
    fleet_sleep(CHANGE_MS);
    start_controls(s, FALSE);
}

static void
set_days(fleet_t *f, gint64 day_us)
{
    for (guint i = 0; i < f->controls + f->entries; i++) {
        f->processes[i].day_us = day_us * (i % 2 == 0 ? 1 : -1);
        fleet_set_faults(&f->processes[i]);
    }
}

static void
set_clocks(site_t *s)
{
    set_days(s->fleet, s->change % 2 == 0 ? DAY_STEP_US : -DAY_STEP_US);
}

static void
set_clocks_back(site_t *s)
{
    set_days(s->fleet, 0);
}

static void
restart_with_other_clocks(site_t *s)
{
    set_clocks(s);
    restart_entries(s);
}

static void
lose_first_disk(site_t *s)
{
    fleet_kill(fleet_control(s->fleet, 0));
    fleet_lose_disk(fleet_control(s->fleet, 0));
    fleet_control(s->fleet, 0)->founding = FALSE;
    fleet_start(s->fleet, fleet_control(s->fleet, 0));
}

static const restart_case_t RESTART_CASES[] = {
    {"all control instances start again", restart_core},
    {"all control instances are away for long", restart_core_late},
    {"the core is founded anew, versions go on", found_core_anew},
    {"the core is founded anew, versions start again", found_core_anew,
     .versions_start_again = TRUE},
    {"entry instances start again", restart_entries},
    {"entry instances start again right after a change", NULL,
     .goes_on = restart_entries},
    {"entry instances start again while the core is away",
     restart_entries_before_core},
    {"a control instance loses its disk", lose_first_disk},
    {"the time of day is set", set_clocks, .goes_on = set_clocks_back},
    {"entry instances start again with another time of day",
     restart_with_other_clocks},
};

/* ---- a case ---- */

static void
play_change(site_t *s, const restart_case_t *c)
{
    if (c->happens != NULL) {
        c->happens(s);
    }
    fleet_sleep(CHANGE_MS);
    if (c->versions_start_again && s->change == 0) {
        s->version = 0;
    }
    char *text = fleet_config(++s->version, NULL);
    CU_ASSERT_EQUAL(fleet_put(s->fleet, text, s->change % CONTROLS), 200);
    g_free(text);
    if (c->goes_on != NULL) {
        c->goes_on(s);
    }
    fleet_obey_t *obey =
        fleet_obey_begin(s->fleet, s->version, g_get_monotonic_time());
    CU_ASSERT_TRUE(fleet_obey_end(obey, c->name));
    for (guint i = 0; i < CONTROLS; i++) {
        CU_ASSERT_EQUAL(fleet_get(fleet_control(s->fleet, i)), s->version);
    }
}

static void
test_case(void)
{
    const char *name = CU_get_current_test()->pName;
    const restart_case_t *c = RESTART_CASES;
    while (!g_str_equal(c->name, name)) {
        c++;
    }
    site_t s = {.fleet = fleet_create(CONTROLS, ENTRIES, ENDPOINTS),
                .version = FIRST_VERSION};
    s.fleet->faulty_disks = TRUE;
    CU_ASSERT_TRUE(fleet_up(s.fleet, s.version));
    for (s.change = 0; s.change < CHANGES; s.change++) {
        play_change(&s, c);
    }
    fleet_destroy(s.fleet);
}

int
main(void)
{
    test_case_t cases[G_N_ELEMENTS(RESTART_CASES)];
    for (gsize i = 0; i < G_N_ELEMENTS(RESTART_CASES); i++) {
        cases[i] =
            (test_case_t){.name = RESTART_CASES[i].name, .run = test_case};
    }
    return check_run("core restarts", cases, G_N_ELEMENTS(cases));
}
