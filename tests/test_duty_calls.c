/* Tests the duties with real processes and a stand-in of the platform.
 * Whatever happens to the duty holder, the platform receives the correct
 * usage, counted once, and no call that it forbids. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "check.h"
#include "fleet.h"

enum { CONTROLS = 3, ENTRIES = 2, ENDPOINTS = 3, REPORT_WAIT_MS = 15000 };

static fleet_t *
fleet_of_duties(void)
{
    fleet_t *f = fleet_create(CONTROLS, ENTRIES, ENDPOINTS);
    fleet_add_platform(f);
    CU_ASSERT_FATAL(fleet_up(f, 1));
    return f;
}

/* ---- calls that the platform received ---- */

/* Returns the requests of a team that were reported, over all windows; a
 * window that was reported twice counts once. */
static guint
reported_requests(const fleet_t *f, const char *team)
{
    char *text = fleet_platform_log(f);
    char **lines = g_strsplit(text, "\n", -1);
    char *key = g_strdup_printf("\"%s\":", team);
    GHashTable *windows =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    guint sum = 0;
    for (guint i = 0; lines[i] != NULL; i++) {
        char holder[64];
        char window[32];
        unsigned long token;
        if (sscanf(lines[i], "usage %63s %lu %31s", holder, &token, window) !=
                3 ||
            !g_hash_table_add(windows, g_strdup(window))) {
            continue;
        }
        const char *at = strstr(lines[i], key);
        sum += at != NULL ? (guint)strtoul(at + strlen(key), NULL, 10) : 0;
    }
    g_hash_table_unref(windows);
    g_free(key);
    g_strfreev(lines);
    g_free(text);
    return sum;
}

static gboolean
wait_reported(const fleet_t *f, const char *team, guint count)
{
    for (int ms = 0; ms < REPORT_WAIT_MS && reported_requests(f, team) < count;
         ms += 100) {
        fleet_sleep(100);
    }
    guint reported = reported_requests(f, team);
    if (reported != count) {
        printf("team %s: %u of %u requests reported\n", team, reported, count);
    }
    return reported == count;
}

static gboolean
no_violation(const fleet_t *f)
{
    char *text = fleet_platform_log(f);
    const char *at = strstr(text, "BROKEN");
    if (at != NULL) {
        printf("%.*s\n", (int)strcspn(at, "\n"), at);
    }
    g_free(text);
    return at == NULL;
}

/* Returns how many instances have reported usage as duty holder. */
static guint
count_holders(const fleet_t *f)
{
    char *text = fleet_platform_log(f);
    char **lines = g_strsplit(text, "\n", -1);
    GHashTable *holders =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (guint i = 0; lines[i] != NULL; i++) {
        char holder[64];
        if (sscanf(lines[i], "usage %63s", holder) == 1) {
            g_hash_table_add(holders, g_strdup(holder));
        }
    }
    guint count = g_hash_table_size(holders);
    g_hash_table_unref(holders);
    g_strfreev(lines);
    g_free(text);
    return count;
}

/* Returns the control instance that holds the duties, leaving out `except`;
 * NULL: none yet. */
static fleet_process_t *
duty_holder_find(fleet_t *f, const fleet_process_t *except)
{
    for (guint i = 0; i < CONTROLS; i++) {
        fleet_process_t *p = fleet_control(f, i);
        if (p != except && fleet_is_running(p) &&
            fleet_counter(p, "duties_held") == 1) {
            return p;
        }
    }
    return NULL;
}

static fleet_process_t *
duty_holder_wait_except(fleet_t *f, const fleet_process_t *except)
{
    fleet_process_t *holder = NULL;
    for (int ms = 0; ms < FLEET_WAIT_MS && holder == NULL; ms += 100) {
        holder = duty_holder_find(f, except);
        fleet_sleep(100);
    }
    CU_ASSERT_PTR_NOT_NULL_FATAL(holder);
    return holder;
}

static fleet_process_t *
duty_holder_wait(fleet_t *f)
{
    return duty_holder_wait_except(f, NULL);
}

/* ---- requests ---- */

static guint
send_requests(fleet_t *f, const char *key, const char *target, guint count)
{
    static guint made;
    guint served = 0;
    for (guint i = 0; i < count; i++) {
        char id[32];
        g_snprintf(id, sizeof(id), "used-%u", made++);
        reply_t *reply =
            fleet_post(fleet_entry(f, i % ENTRIES), target, id, key, "", "x");
        served += reply->status == 200;
        reply_free(reply);
    }
    return served;
}

/* ---- cases ---- */

typedef struct {
    const char *name;
    /* Fault injected into the duty holder or the platform between two batches
     * of requests. */
    void (*inject)(fleet_t *f, fleet_process_t *holder);
    guint min_holders;
} duty_case_t;

static void
no_fault(fleet_t *f, fleet_process_t *holder)
{
    (void)f;
    (void)holder;
}

static void
kill_holder(fleet_t *f, fleet_process_t *holder)
{
    fleet_kill(holder);
    duty_holder_wait_except(f, holder);
    fleet_start(f, holder);
}

/* The restarted instance may become the duty holder again. */
static void
restart_holder(fleet_t *f, fleet_process_t *holder)
{
    fleet_kill(holder);
    fleet_sleep(300);
    fleet_start(f, holder);
}

static void
drain_holder(fleet_t *f, fleet_process_t *holder)
{
    fleet_signal(holder, SIGTERM);
    CU_ASSERT_EQUAL(fleet_wait_exit(holder), 0);
    duty_holder_wait_except(f, holder);
    fleet_start(f, holder);
}

/* Stops the duty holder for longer than a lease and resumes it while another
 * instance holds the lease. */
static void
freeze_holder(fleet_t *f, fleet_process_t *holder)
{
    fleet_signal(holder, SIGSTOP);
    fleet_sleep(3000);
    duty_holder_wait_except(f, holder);
    fleet_signal(holder, SIGCONT);
}

static void
kill_control(fleet_t *f, fleet_process_t *holder)
{
    (void)holder;
    for (guint i = 0; i < CONTROLS; i++) {
        fleet_kill(fleet_control(f, i));
    }
    fleet_sleep(500);
    for (guint i = 0; i < CONTROLS; i++) {
        fleet_start(f, fleet_control(f, i));
    }
}

/* The platform does not answer for a while, and the duty holder restarts in
 * that time. */
static void
platform_silent(fleet_t *f, fleet_process_t *holder)
{
    fleet_platform_mode(f, "silent");
    fleet_sleep(2000);
    restart_holder(f, holder);
    fleet_sleep(1000);
    fleet_platform_mode(f, "ok");
}

static void
platform_busy(fleet_t *f, fleet_process_t *holder)
{
    (void)holder;
    fleet_platform_mode(f, "busy");
    fleet_sleep(2500);
    fleet_platform_mode(f, "slow");
}

static const duty_case_t DUTY_CASES[] = {
    {"all is well", no_fault, 1},
    {"the holder is killed", kill_holder, 2},
    {"the holder starts again at once", restart_holder, 1},
    {"the holder drains", drain_holder, 2},
    {"the holder stands still and wakes", freeze_holder, 2},
    {"all of control is killed", kill_control, 1},
    {"the platform is silent", platform_silent, 1},
    {"the platform is busy, then slow", platform_busy, 1},
};

enum { BEFORE = 12, DURING_STREAMS = 6, AFTER = 9 };

/* Checks that every control instance serves the pages for operators. */
static void
check_operator_pages(fleet_t *f)
{
    for (guint i = 0; i < CONTROLS; i++) {
        const char *ip = fleet_control(f, i)->ip;
        reply_t *usage =
            fleet_call(ip, FLEET_METRICS_PORT, "GET", "/usage", "", "", 1000);
        reply_t *capacity = fleet_call(ip, FLEET_METRICS_PORT, "GET",
                                       "/capacity", "", "", 1000);
        CU_ASSERT_EQUAL(usage->status, 200);
        CU_ASSERT_PTR_NOT_NULL(strstr(usage->body->str, "\"told\""));
        CU_ASSERT_EQUAL(capacity->status, 200);
        CU_ASSERT_PTR_NOT_NULL(strstr(capacity->body->str, "\"leader\""));
        reply_free(usage);
        reply_free(capacity);
    }
}

/* Every request that ran is reported, under its team, whatever fault is
 * injected. */
static void
run_duty_case(const duty_case_t *c)
{
    fleet_t *f = fleet_of_duties();
    printf("%s ", c->name);
    duty_holder_wait(f);
    guint used = send_requests(f, FLEET_KEY, "/safe/1", BEFORE);
    CU_ASSERT(wait_reported(f, "t", used));
    guint others =
        send_requests(f, FLEET_OTHER_KEY, "/stream/1", DURING_STREAMS);
    c->inject(f, duty_holder_wait(f));
    duty_holder_wait(f);
    used += send_requests(f, FLEET_KEY, "/safe/1", AFTER);
    CU_ASSERT_EQUAL(used, BEFORE + AFTER);
    CU_ASSERT_EQUAL(others, DURING_STREAMS);
    CU_ASSERT(wait_reported(f, "t", used));
    CU_ASSERT(wait_reported(f, "u", others));
    CU_ASSERT(no_violation(f));
    CU_ASSERT(count_holders(f) >= c->min_holders);
    check_operator_pages(f);
    fleet_destroy(f);
}

static void
test_usage_reported(void)
{
    for (gsize i = 0; i < G_N_ELEMENTS(DUTY_CASES); i++) {
        run_duty_case(&DUTY_CASES[i]);
    }
}

/* A request counts once it has started to run, and only once if it ran at two
 * endpoints. A request that was refused, denied or had no route does not
 * count. */
static void
test_what_counts(void)
{
    static const struct {
        const char *target;
        const char *fields;
        guint counted;
    } CASES[] = {
        {"/safe/1", "", 1},
        {"/none/1", "", 0},
        {"/once/1", "Fault: error\r\n", 1},
        /* an engine's own error, which ends the run, and a prompt whose
         * response is complete */
        {"/fragile/stream/1", "Token-Counts: 150\r\nFault: error\r\n", 1},
        {"/safe/1", "Token-Counts: 150\r\n", 1},
        {"/fragile/stream/1", "Token-Counts: 150\r\nFault: full\r\n", 0},
        {"/stream/1", "Fault: cut@endpoint-5.1\r\n", 1},
        /* it ran, but its response was lost */
        {"/once/1", "Fault: reset\r\n", 1},
        {"/once/1", "Fault: full\r\n", 0},
    };
    fleet_t *f = fleet_of_duties();
    guint counted = 0;
    duty_holder_wait(f);
    for (gsize i = 0; i < G_N_ELEMENTS(CASES); i++) {
        for (int round = 0; round < 4; round++) {
            char id[32];
            g_snprintf(id, sizeof(id), "counts-%zu-%d", i, round);
            reply_t *reply =
                fleet_request(fleet_entry(f, (guint)round % ENTRIES),
                              CASES[i].target, id, CASES[i].fields);
            counted += CASES[i].counted;
            reply_free(reply);
        }
        fleet_sleep(600); /* endpoints that were avoided are used again */
    }
    CU_ASSERT(wait_reported(f, "t", counted));
    CU_ASSERT(no_violation(f));
    fleet_destroy(f);
}

/* A killed entry instance loses what it counted since its last report, a
 * quarter of a second earlier. What was reported before the kill must still
 * reach the platform. */
static void
test_entry_killed(void)
{
    fleet_t *f = fleet_of_duties();
    duty_holder_wait(f);
    guint used = send_requests(f, FLEET_KEY, "/safe/1", BEFORE);
    fleet_sleep(500);
    fleet_kill(fleet_entry(f, 0));
    CU_ASSERT(wait_reported(f, "t", used));
    CU_ASSERT(no_violation(f));
    fleet_destroy(f);
}

static const test_case_t cases[] = {
    {"usage is told, whatever happens to the holder", test_usage_reported},
    {"what counts as usage", test_what_counts},
    {"an entry instance is killed", test_entry_killed},
};

CHECK_MAIN("duty calls", cases)
