/* Tests, with real processes, that a prompt part that crashes the endpoints
 * that run it is quarantined, whatever else the requests with it hold, and
 * that requests without it are served.
 *
 * Requests with such a part come from all callers, each with a path, a body
 * and a last part of its own; sound requests share all their other parts. */
#include <signal.h>
#include <string.h>

#include "check.h"
#include "fleet.h"

enum {
    MS = 1000,
    ENTRIES = 4,
    ENDPOINTS = 8,
    RESTART_MS = 2000, /* until a crashed endpoint is back, under a new id */
    STABLE_MS = 3000,
    ENDS_MAX = 5, /* under one part, until all instances are to know it */
    LATE_SENDS_MAX = 3, /* later than STABLE_MS after the last of these */
    PLAY_MS = 18000,
    SOUND_CALLERS = 16,
    SOUND_INTERVAL_MS = 400,
    OTHER_CALLERS = 4,
    OTHER_INTERVAL_MS = 400,
    BAD_CALLERS = 4,
    BAD_INTERVAL_MS = 1000,
    CALLERS_MAX = SOUND_CALLERS + OTHER_CALLERS + 2 * BAD_CALLERS,
    ATTEMPTS_MAX = 400,
    FIRST_PARTS = 3,
    MIDDLE_PARTS = 4,
    SERVED_LEAST = 98, /* in a hundred */
};

typedef enum {
    CALLS_SOUND, /* of the kind of request that also has bad ones */
    CALLS_OTHER, /* of another kind */
    CALLS_BAD,
    CALLS_BAD_TOO, /* with another bad part */
} calls_t;

typedef struct play play_t;

typedef struct {
    gint64 sent_us;
    gboolean served;
} attempt_t;

/* A caller that sends requests one after the other, each at another entry
 * instance than the one before. */
typedef struct {
    play_t *play;
    calls_t calls;
    guint number;
    gint64 phase_us; /* callers of one kind don't send all at once */
    guint count;
    attempt_t attempts[ATTEMPTS_MAX];
    GThread *thread;
} caller_t;

/* Where the bad part stands in a prompt. */
typedef enum {
    PART_FIRST,
    PART_MIDDLE,
    PART_BEHIND_ONE,  /* always behind the same first part */
    PART_BEHIND_MANY, /* behind more parts than placement looks at */
} place_t;

typedef struct {
    const char *name;
    const char *target;
    place_t place;
    gboolean two;  /* a second bad part comes beside the first */
    gboolean kill; /* endpoints are killed from outside, no part is bad */
    /* instances that are killed and start again amid the play */
    gboolean restarts_entry;
    gboolean restarts_control;
} part_case_t;

struct play {
    const part_case_t *test;
    fleet_t *fleet;
    gint stop; /* atomic */
    gint64 start_us;
    gint64 restart_us[ENDPOINTS]; /* when to restart it; 0: it is up */
    guint ends;
    guint callers_count;
    caller_t callers[CALLERS_MAX];
};

static const part_case_t CASES_OF_PARTS[] = {
    {.name = "a middle part, streams",
     .target = "/fragile/stream/",
     .place = PART_MIDDLE},
    {.name = "a first part, plain", .target = "/safe/", .place = PART_FIRST},
    {.name = "always behind the same part",
     .target = "/once/",
     .place = PART_BEHIND_ONE},
    {.name = "behind many parts",
     .target = "/stream/",
     .place = PART_BEHIND_MANY},
    {.name = "two parts at once",
     .target = "/stream/",
     .place = PART_MIDDLE,
     .two = TRUE},
    {.name = "an entry instance restarts",
     .target = "/safe/",
     .place = PART_MIDDLE,
     .restarts_entry = TRUE},
    {.name = "control restarts",
     .target = "/safe/",
     .place = PART_MIDDLE,
     .restarts_control = TRUE},
    {.name = "endpoints are killed, no part is bad",
     .target = "/safe/",
     .kill = TRUE},
};

/* ---- prompts ---- */

/* Appends the parts before the one that may be bad, and returns its id: a
 * sound one has the same parts before and behind it. */
static void
append_leading(GString *text, place_t place, guint at)
{
    enum { MANY = 20 };
    if (place == PART_FIRST) {
        return;
    }
    guint first = place == PART_BEHIND_ONE ? 0 : at % FIRST_PARTS;
    g_string_append_printf(text, "f%u:120,", first);
    for (guint i = 0; place == PART_BEHIND_MANY && i < MANY; i++) {
        g_string_append_printf(text, "%x:10,", 0x1000 + i);
    }
}

/* Each prompt ends with a part of its own, and token counts vary. */
static char *
prompt_of(const caller_t *c, guint at)
{
    GString *text = g_string_new("Prompt-Prefix: ");
    place_t place = c->play->test->place;
    gboolean bad = c->calls == CALLS_BAD || c->calls == CALLS_BAD_TOO;
    guint random = c->number * 7 + at;
    if (place == PART_BEHIND_ONE && !bad) {
        place = PART_MIDDLE;
    }
    append_leading(text, place, random);
    if (bad) {
        g_string_append_printf(text, "%s:%u,",
                               c->calls == CALLS_BAD ? "BAD" : "bad2",
                               80 + random % 9);
    }
    else {
        g_string_append_printf(text, "%c%u:80,",
                               place == PART_FIRST ? 'f' : 'c',
                               random % MIDDLE_PARTS);
    }
    if (place == PART_FIRST) {
        g_string_append_printf(text, "c%u:80,", random % MIDDLE_PARTS);
    }
    g_string_append_printf(text, "%x:30\r\n%s", 0x100000 * c->number + at,
                           bad ? "Fault: crash\r\n" : "");
    return g_string_free(text, FALSE);
}

/* ---- callers ---- */

static void
attempt_id(const caller_t *c, guint at, char id[64])
{
    static const char *const NAMES[] = {"sound", "other", "bad", "too"};
    g_snprintf(id, 64, "%s-%u-%u", NAMES[c->calls], c->number, at);
}

static void
send_attempt(caller_t *c, guint at)
{
    attempt_t *a = &c->attempts[at];
    char id[64];
    attempt_id(c, at, id);
    char *target = g_strdup_printf(
        "%s%s",
        c->calls == CALLS_OTHER ? "/safe/other/" : c->play->test->target, id);
    char *fields = prompt_of(c, at);
    a->sent_us = g_get_monotonic_time();
    reply_t *reply =
        fleet_post(fleet_entry(c->play->fleet, (c->number + at) % ENTRIES),
                   target, id, FLEET_KEY, fields, id);
    a->served = reply->status == 200 && reply->complete;
    reply_free(reply);
    g_free(fields);
    g_free(target);
}

static int
interval_ms(calls_t calls)
{
    return calls == CALLS_SOUND   ? SOUND_INTERVAL_MS
           : calls == CALLS_OTHER ? OTHER_INTERVAL_MS
                                  : BAD_INTERVAL_MS;
}

static gpointer
caller_run(gpointer data)
{
    caller_t *c = data;
    gint64 step_us = (gint64)interval_ms(c->calls) * MS;
    gint64 next_us = g_get_monotonic_time() + c->phase_us;
    while (!g_atomic_int_get(&c->play->stop) && c->count < ATTEMPTS_MAX) {
        gint64 left_us = next_us - g_get_monotonic_time();
        if (left_us > 0) {
            g_usleep((gulong)left_us);
        }
        next_us = MAX(next_us, g_get_monotonic_time()) + step_us;
        send_attempt(c, c->count);
        c->count++;
    }
    return NULL;
}

static void
callers_start(play_t *p, calls_t calls, guint count)
{
    for (guint i = 0; i < count; i++) {
        caller_t *c = &p->callers[p->callers_count];
        *c = (caller_t){.play = p,
                        .calls = calls,
                        .number = p->callers_count++,
                        .phase_us =
                            (gint64)interval_ms(calls) * MS * i / count};
        c->thread = g_thread_new("caller", caller_run, c);
    }
}

static void
callers_join(play_t *p)
{
    g_atomic_int_set(&p->stop, 1);
    for (guint i = 0; i < p->callers_count; i++) {
        g_thread_join(p->callers[i].thread);
    }
}

/* ---- endpoints ---- */

static void
restart_ended(play_t *p)
{
    gint64 now = g_get_monotonic_time();
    for (guint i = 0; i < ENDPOINTS; i++) {
        fleet_process_t *e = fleet_endpoint(p->fleet, i);
        if (p->restart_us[i] == 0 && !fleet_is_running(e)) {
            p->restart_us[i] = now + (gint64)RESTART_MS * MS;
            p->ends++;
        }
        else if (p->restart_us[i] != 0 && now >= p->restart_us[i]) {
            p->restart_us[i] = 0;
            fleet_kill(e); /* frees the state of the ended process */
            fleet_start(p->fleet, e);
        }
    }
}

static void
wait_restarting(play_t *p, int ms)
{
    gint64 until_us = g_get_monotonic_time() + (gint64)ms * MS;
    while (g_get_monotonic_time() < until_us) {
        restart_ended(p);
        fleet_sleep(10);
    }
}

/* ---- checks ---- */

static gint
by_time(gconstpointer a, gconstpointer b)
{
    gint64 x = *(const gint64 *)a;
    gint64 y = *(const gint64 *)b;
    return x < y ? -1 : x > y;
}

/* Times (gint64) at which requests of these callers began to run at an
 * endpoint, which ends it. */
static GArray *
times_of_runs(const play_t *p, calls_t calls)
{
    static const char *const PREFIX[] = {"sound-", "other-", "bad-", "too-"};
    GArray *times = g_array_new(FALSE, FALSE, sizeof(gint64));
    for (guint i = 0; i < ENDPOINTS; i++) {
        GArray *ran = fleet_moments(fleet_endpoint(p->fleet, i), "ran");
        for (guint k = 0; k < ran->len; k++) {
            const fleet_moment_t *m = &g_array_index(ran, fleet_moment_t, k);
            if (g_str_has_prefix(m->request, PREFIX[calls])) {
                g_array_append_val(times, m->at_us);
            }
        }
        g_array_unref(ran);
    }
    g_array_sort(times, by_time);
    return times;
}

/* Checks the sends with one bad part. Returns when sound requests are to be
 * served again, 0 if no endpoint ended. */
static gint64
check_bad(const play_t *p, calls_t calls)
{
    guint late = 0;
    GArray *times = times_of_runs(p, calls);
    guint counted = MIN(times->len, ENDS_MAX);
    gint64 known_us =
        counted > 0 ? g_array_index(times, gint64, counted - 1) : 0;
    for (guint i = 0; i < times->len; i++) {
        late += g_array_index(times, gint64, i) >
                known_us + (gint64)STABLE_MS * MS;
    }
    if (late > LATE_SENDS_MAX) {
        printf("%s: sent %u times, %u later than %d ms after the fifth end\n",
               p->test->name, times->len, late, STABLE_MS);
    }
    CU_ASSERT(late <= LATE_SENDS_MAX);
    g_array_unref(times);
    return known_us != 0 ? known_us + 2 * (gint64)STABLE_MS * MS : 0;
}

/* Checks that requests of a kind that were sent at `from_us` or later were
 * served. */
static void
check_sound(const play_t *p, calls_t calls, gint64 from_us)
{
    enum { COUNTED_LEAST = 20 };
    guint sent = 0;
    guint served = 0;
    for (guint i = 0; i < p->callers_count; i++) {
        const caller_t *c = &p->callers[i];
        for (guint k = 0; c->calls == calls && k < c->count; k++) {
            sent += c->attempts[k].sent_us >= from_us;
            served +=
                c->attempts[k].sent_us >= from_us && c->attempts[k].served;
        }
    }
    if (sent < COUNTED_LEAST || served * 100 < sent * SERVED_LEAST) {
        printf("%s: %u of %u %s requests served\n", p->test->name, served,
               sent, calls == CALLS_SOUND ? "sound" : "other");
    }
    CU_ASSERT(sent >= COUNTED_LEAST);
    CU_ASSERT(served * 100 >= sent * SERVED_LEAST);
}

/* ---- plays ---- */

static void
restart(play_t *p, fleet_process_t *process)
{
    fleet_kill(process);
    wait_restarting(p, 500);
    fleet_start(p->fleet, process);
}

static void
disrupt(play_t *p)
{
    enum { BEFORE_MS = 6000, KILL_INTERVAL_MS = 1000, KILLS = 8 };
    wait_restarting(p, BEFORE_MS);
    for (guint i = 0; p->test->kill && i < KILLS; i++) {
        fleet_kill(fleet_endpoint(p->fleet, i % ENDPOINTS));
        wait_restarting(p, KILL_INTERVAL_MS);
    }
    if (p->test->restarts_entry) {
        restart(p, fleet_entry(p->fleet, 0));
    }
    if (p->test->restarts_control) {
        restart(p, fleet_control(p->fleet, 0));
    }
}

static void
play(const part_case_t *test)
{
    play_t *p = g_new0(play_t, 1);
    p->test = test;
    p->fleet = fleet_create(1, ENTRIES, ENDPOINTS);
    CU_ASSERT_FATAL(fleet_up(p->fleet, 1));
    callers_start(p, CALLS_SOUND, SOUND_CALLERS);
    callers_start(p, CALLS_OTHER, OTHER_CALLERS);
    wait_restarting(p, 2000);
    p->start_us = g_get_monotonic_time();
    if (!test->kill) {
        callers_start(p, CALLS_BAD, BAD_CALLERS);
    }
    if (test->two) {
        callers_start(p, CALLS_BAD_TOO, BAD_CALLERS);
    }
    disrupt(p);
    gint64 left_us =
        p->start_us + (gint64)PLAY_MS * MS - g_get_monotonic_time();
    wait_restarting(p, (int)(left_us / MS));
    callers_join(p);
    gint64 from_us = check_bad(p, CALLS_BAD);
    from_us = MAX(from_us, check_bad(p, CALLS_BAD_TOO));
    if (test->kill) {
        from_us = g_get_monotonic_time() - 3 * (gint64)G_USEC_PER_SEC;
    }
    if (test->restarts_entry) { /* its own callers meet it while it is down */
        from_us = MAX(from_us, p->start_us + 10 * (gint64)G_USEC_PER_SEC);
    }
    check_sound(p, CALLS_SOUND, from_us);
    check_sound(p, CALLS_OTHER, from_us);
    fleet_destroy(p->fleet);
    g_free(p);
}

static void
test_parts(void)
{
    for (gsize i = 0; i < G_N_ELEMENTS(CASES_OF_PARTS); i++) {
        play(&CASES_OF_PARTS[i]);
    }
}

/* ---- release ---- */

/* Sends a request with the part "bad" and others of its own. Returns the
 * status. */
static guint
send_one(const play_t *p, guint number, const char *fault)
{
    char id[32];
    g_snprintf(id, sizeof(id), "bad-one-%u", number);
    char *fields = g_strdup_printf("Prompt-Prefix: bad:80,%x:30\r\n%s",
                                   0x5000 + number, fault);
    char *target = g_strdup_printf("/once/%u", number);
    reply_t *reply = fleet_post(fleet_entry(p->fleet, number % ENTRIES),
                                target, id, FLEET_KEY, fields, id);
    guint status = reply->status;
    reply_free(reply);
    g_free(target);
    g_free(fields);
    return status;
}

/* Once endpoints are mended, the answer to a probe releases the part at all
 * instances. */
static void
test_released(void)
{
    enum { SENDS_MAX = 8, INTERVAL_MS = 700, RELEASED_MS = 10000 };
    play_t *p = g_new0(play_t, 1);
    guint number = 0;
    guint status = 0;
    guint served = 0;
    p->fleet = fleet_create(1, ENTRIES, ENDPOINTS);
    CU_ASSERT_FATAL(fleet_up(p->fleet, 1));
    wait_restarting(p, 500);
    /* An end that the part doesn't explain makes it uncertain. */
    reply_free(fleet_post(fleet_entry(p->fleet, 0), "/once/other", "other",
                          FLEET_KEY, "Fault: crash\r\n", "other"));
    while (number < SENDS_MAX && status != 503) {
        wait_restarting(p, INTERVAL_MS);
        status = send_one(p, number++, "Fault: crash\r\n");
    }
    CU_ASSERT_EQUAL(status, 503);
    gint64 until_us = g_get_monotonic_time() + (gint64)RELEASED_MS * MS;
    while (served < ENTRIES && g_get_monotonic_time() < until_us) {
        served = send_one(p, number++, "") == 200 ? served + 1 : 0;
        wait_restarting(p, 50);
    }
    CU_ASSERT_EQUAL(served, ENTRIES);
    CU_ASSERT_EQUAL(fleet_counter(fleet_control(p->fleet, 0), "parts_held"),
                    0);
    fleet_destroy(p->fleet);
    g_free(p);
}

static const test_case_t CASES[] = {
    {"a prompt part that crashes endpoints is held back", test_parts},
    {"an answered probe releases the part", test_released},
};

CHECK_MAIN("crashing parts", CASES)
