/* Tests of which control instance is asked for a configuration, and when. */
#include <stdio.h>

#include "carobloom/policy/config_source.h"
#include "carobloom/policy/sync_pace.h"
#include "check.h"

enum { SOURCES_MAX = 4 };

#define USABLE .usable = TRUE
#define LEADS .usable = TRUE, .leads = TRUE

static const struct {
    const char *name;
    guint count;
    config_source_t sources[SOURCES_MAX];
    guint32 ask; /* those whose next poll asks, bits */
    gint substitute;
} CHOICES[] = {
    {"the leader alone is asked", 3, {{LEADS}, {USABLE}, {USABLE}}, 0x1, 0},
    {"two lead, after an election",
     3,
     {{LEADS, .asked = TRUE}, {LEADS}, {USABLE}},
     0x3,
     -1},
    {"the leader does not answer", 3, {{0}, {USABLE}, {USABLE}}, 0x6, 1},
    {"another one is asked already",
     3,
     {{0}, {USABLE, .asked = TRUE}, {USABLE}},
     0x2,
     -1},
    {"the one that is asked does not answer",
     3,
     {{0}, {.asked = TRUE}, {USABLE}},
     0x4,
     2},
    {"none answers", 3, {{0}, {0}, {0}}, 0x7, -1},
    {"none answers, one is asked", 3, {{.asked = TRUE}, {0}, {0}}, 0x1, -1},
    {"one that has a newer version",
     4,
     {{0}, {USABLE, .version = 6}, {USABLE, .version = 7}, {USABLE}},
     0xe,
     2},
    {"one in the same data centre",
     3,
     {{0}, {USABLE}, {USABLE, .local = TRUE}},
     0x6,
     2},
    {"one that was not asked lately",
     3,
     {{0}, {USABLE, .asked_us = 9}, {USABLE, .asked_us = 5}},
     0x6,
     2},
    {"a leader that is barred",
     2,
     {{.leads = TRUE, .asked = FALSE}, {USABLE, .asked = TRUE}},
     0x2,
     -1},
    {"a single one", 1, {{0}}, 0x1, -1},
};

static void
test_choices(void)
{
    for (gsize i = 0; i < G_N_ELEMENTS(CHOICES); i++) {
        const config_source_t *sources = CHOICES[i].sources;
        guint32 ask = 0;
        for (guint k = 0; k < CHOICES[i].count; k++) {
            if (config_source_asks(sources, CHOICES[i].count, k)) {
                ask |= 1u << k;
            }
        }
        gint substitute = config_source_substitute(sources, CHOICES[i].count);
        if (ask != CHOICES[i].ask || substitute != CHOICES[i].substitute) {
            printf("%s: %x ask, substitute %d; ", CHOICES[i].name, ask,
                   substitute);
        }
        CU_ASSERT_EQUAL(ask, CHOICES[i].ask);
        CU_ASSERT_EQUAL(substitute, CHOICES[i].substitute);
    }
}

/* For the configuration to be fetched from another instance. */
enum { FETCH_MS = 500 };

static const struct {
    guint entries;
    guint32 bound_ms; /* for a change to be obeyed */
} FLEETS[] = {{1, 2000},  {9, 2000},   {71, 2500},
              {87, 2500}, {347, 3000}, {985, 4000}};

/* Guards against a change that is late since the answer of the leader is
 * waited for too long. */
static void
test_overdue(void)
{
    for (gsize i = 0; i < G_N_ELEMENTS(FLEETS); i++) {
        sync_pace_t pace = {.entries = FLEETS[i].entries,
                            .leads = TRUE,
                            .healthy = TRUE,
                            .revocation_bound_ms = 5000};
        guint32 ms = sync_wait_ms(&pace) + sync_overdue_ms(FLEETS[i].entries);
        if (ms + FETCH_MS > FLEETS[i].bound_ms) {
            printf("%u ms with %u instances; ", ms, FLEETS[i].entries);
        }
        CU_ASSERT(ms + FETCH_MS <= FLEETS[i].bound_ms);
    }
}

static const test_case_t CASES[] = {
    {"who is asked for the configuration", test_choices},
    {"an answer is overdue in time for another one", test_overdue},
};

CHECK_MAIN("configuration source", CASES)
