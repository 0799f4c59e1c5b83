/* Tests, with real processes, that entry instances obey a configuration within
 * its bound, whatever happens to their connections to control instances. */
#include <stdlib.h>
#include <string.h>

#include "check.h"
#include "fleet_busy.h"
#include "fleet_cut.h"
#include "fleet_obey.h"

enum {
    CONTROLS = 5,
    ENTRIES = 6,
    ENDPOINTS = 2,
    /* Rounds of a case, so many ms apart in a poll that is held. */
    ROUNDS = 3,
    PHASE_MS = 210,
    CALM_MS = 1000, /* between two rounds */
    PEERS = 1,      /* listener of a control instance, see fleet_cut.c */
};

/* The control instances whose connections from the first entry instances are
 * harmed. */
typedef enum {
    HARM_LEADER,
    HARM_TWO, /* the leader and another one */
    HARM_FOLLOWERS,
    HARM_ALL,
} harm_t;

typedef struct {
    const char *name;
    harm_t harm;
    proxy_mode_t mode;
    int before_ms; /* the change comes so long after the harm began */
    int lasts_ms;  /* after the acknowledgement; 0: longer than the round */
} delivery_case_t;

static const delivery_case_t DELIVERY_CASES[] = {
    {"nothing is harmed", HARM_LEADER, PROXY_PASS, 0},
    {"connections to the leader go silent", HARM_LEADER, PROXY_STALE, 0},
    {"the leader is silent", HARM_LEADER, PROXY_SILENT, 0},
    {"the leader is silent for a second before", HARM_LEADER, PROXY_SILENT,
     1000},
    {"the leader hears nothing", HARM_LEADER, PROXY_CUT_TO, 0},
    {"the leader is not heard", HARM_LEADER, PROXY_CUT_FROM, 0},
    {"connections to the leader are reset", HARM_LEADER, PROXY_RESET, 0},
    {"the leader is slow", HARM_LEADER, PROXY_DELAY, 0},
    {"the leader's answer has a wrong byte", HARM_LEADER, PROXY_GARBLE, 0},
    {"the leader's answer trickles", HARM_LEADER, PROXY_TRICKLE, 0},
    {"the leader and another one are silent", HARM_TWO, PROXY_SILENT, 0},
    {"connections to the others go silent", HARM_FOLLOWERS, PROXY_STALE, 0},
    {"the others are silent", HARM_FOLLOWERS, PROXY_SILENT, 0},
    {"all connections go silent", HARM_ALL, PROXY_STALE, 0},
    {"all are silent for three seconds", HARM_ALL, PROXY_SILENT, 0, 3000},
    {"all are reset for three seconds", HARM_ALL, PROXY_RESET, 0, 3000},
};

typedef struct {
    fleet_t *fleet;
    fleet_proxies_t proxies;
    guint64 version;
} site_t;

static guint
leader(fleet_t *f)
{
    gint64 until = g_get_monotonic_time() + FLEET_WAIT_MS * (gint64)1000;
    while (g_get_monotonic_time() < until) {
        for (guint i = 0; i < f->controls; i++) {
            if (fleet_counter(fleet_control(f, i), "voter_leads") == 1) {
                return i;
            }
        }
        fleet_sleep(50);
    }
    CU_FAIL_FATAL("no leader");
    return 0;
}

static gboolean
is_harmed(harm_t harm, guint leads, guint control)
{
    switch (harm) {
    case HARM_LEADER:
        return control == leads;
    case HARM_TWO:
        return control == leads || control == (leads + 1) % CONTROLS;
    case HARM_FOLLOWERS:
        return control != leads;
    default:
        return TRUE;
    }
}

static void
site_harm(site_t *site, harm_t harm, guint leads, proxy_mode_t mode)
{
    for (guint i = 0; i < CONTROLS; i++) {
        for (guint k = 0; is_harmed(harm, leads, i) && k < ENTRIES; k++) {
            proxy_set_from(site->proxies[i][PEERS],
                           fleet_entry(site->fleet, k)->bind, mode);
        }
    }
}

/* Changes the configuration, and prints and checks for how long it was not
 * obeyed. */
static void
play_round(site_t *site, const delivery_case_t *c, int phase_ms)
{
    guint leads = leader(site->fleet);
    char *text = fleet_config(++site->version, NULL);
    site_harm(site, c->harm, leads, c->mode);
    fleet_sleep(c->before_ms + phase_ms);
    CU_ASSERT_EQUAL_FATAL(fleet_put(site->fleet, text, leads), 200);
    gint64 counts_us = g_get_monotonic_time() + c->lasts_ms * (gint64)1000;
    fleet_obey_t *obey =
        fleet_obey_begin(site->fleet, site->version, counts_us);
    if (c->lasts_ms > 0) {
        fleet_sleep(c->lasts_ms);
        site_harm(site, c->harm, leads, PROXY_PASS);
    }
    CU_ASSERT_TRUE(fleet_obey_end(obey, c->name));
    site_harm(site, c->harm, leads, PROXY_PASS);
    g_free(text);
    fleet_sleep(CALM_MS);
}

static void
site_up(site_t *site)
{
    proxies_start();
    *site =
        (site_t){.fleet = fleet_create_proxied(CONTROLS, ENTRIES, ENDPOINTS),
                 .version = 1};
    fleet_proxies_create(site->fleet, site->proxies);
    CU_ASSERT_FATAL(fleet_up(site->fleet, site->version));
    fleet_sleep(CALM_MS);
}

static void
site_down(site_t *site)
{
    fleet_destroy(site->fleet);
    proxies_stop();
}

/* Guards against a change that an instance does not obey in time since a
 * connection to a control instance brings it nothing. */
static void
test_harmed_connections(void)
{
    const char *only = g_getenv("DELIVERY_CASE"); /* plays a single one */
    site_t site;
    site_up(&site);
    for (gsize i = 0; i < G_N_ELEMENTS(DELIVERY_CASES); i++) {
        const delivery_case_t *c = &DELIVERY_CASES[i];
        for (guint k = 0; k < ROUNDS; k++) {
            if (only == NULL || g_str_equal(only, c->name)) {
                play_round(&site, c, (int)k * PHASE_MS);
            }
        }
    }
    site_down(&site);
}

/* ---- a busy instance ---- */

enum {
    CALLERS = 200,
    CHANGES = 8,
    CHANGE_MS = 1430, /* from one to the next */
};

/* When, by the clock of the log, a version or a later one was in force; 0:
 * never. */
static gint64
in_force_ms(const fleet_process_t *entry, guint64 version)
{
    static const char EVENT[] = "\"config_in_force\",\"version\":";
    char *text = NULL;
    gint64 found_ms = 0;
    g_file_get_contents(entry->log, &text, NULL, NULL);
    char **lines = g_strsplit(text != NULL ? text : "", "\n", -1);
    for (guint i = 0; lines[i] != NULL && found_ms == 0; i++) {
        const char *at = strstr(lines[i], EVENT);
        if (at != NULL &&
            g_ascii_strtoull(at + strlen(EVENT), NULL, 10) >= version) {
            found_ms =
                g_ascii_strtoll(lines[i] + strlen("{\"time_ms\":"), NULL, 10);
        }
    }
    g_strfreev(lines);
    g_free(text);
    return found_ms;
}

/* Guards against a change that waits behind requests at an instance that has
 * more of them than it can handle. */
static void
test_busy_instance(void)
{
    gint64 acked_ms[CHANGES];
    fleet_t *fleet = fleet_create(CONTROLS, 2, 4);
    fleet->slots = CALLERS;
    CU_ASSERT_FATAL(fleet_up(fleet, 1));
    fleet_busy_t *busy = fleet_busy_create(fleet_entry(fleet, 0), CALLERS);
    fleet_busy_throttle(busy);
    for (guint i = 0; i < CHANGES; i++) {
        char *text = fleet_config(i + 2, NULL);
        CU_ASSERT_EQUAL(fleet_put(fleet, text, 0), 200);
        acked_ms[i] = g_get_real_time() / 1000;
        g_free(text);
        fleet_sleep(CHANGE_MS);
    }
    fleet_sleep(FLEET_APPLY_MS);
    fleet_busy_destroy(busy);
    for (guint i = 0; i < CHANGES; i++) {
        gint64 at_ms = in_force_ms(fleet_entry(fleet, 0), i + 2);
        gint64 late_ms = at_ms - acked_ms[i];
        if (at_ms == 0 || late_ms > FLEET_APPLY_MS ||
            g_getenv("DELIVERY_PRINT") != NULL) {
            printf("version %u in force after %" G_GINT64_FORMAT " ms; ",
                   i + 2, at_ms != 0 ? late_ms : -1);
        }
        CU_ASSERT(at_ms != 0 && late_ms <= FLEET_APPLY_MS);
    }
    fleet_destroy(fleet);
}

static const test_case_t CASES[] = {
    {"a change is obeyed in time, whatever a connection does",
     test_harmed_connections},
    {"a busy instance obeys a change in time", test_busy_instance},
};

CHECK_MAIN("configuration delivery", CASES)
