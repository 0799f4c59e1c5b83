/* Tests, with real processes, that requests are served as before while most
 * new connections come to one entry instance, and then to another, though what
 * endpoints bound is shared by all instances. */
#include <string.h>

#include "check.h"
#include "fleet.h"

enum {
    MS = 1000,
    ENTRIES = 4,
    ENDPOINTS = 8,
    CALLERS = 24,
    INTERVAL_MS = 200,
    CALM_MS = 4000,
    SKEWED_MS = 5000,
    ATTEMPTS_MAX = 200,
    SKEWED_TENTHS = 9, /* of all connections */
    CUT_MS = 500,      /* longer than a request takes */
    SERVED_LEAST = 98, /* in a hundred of those served before */
};

typedef struct {
    const char *name;
    guint connections; /* that an endpoint accepts of all instances */
    gboolean kills;    /* the crowded instance is killed amid it */
} skew_case_t;

static const skew_case_t SKEW_CASES[] = {
    {"room for all", 64, FALSE},
    {"the crowded instance is killed", 64, TRUE},
};

typedef struct play play_t;

typedef struct {
    gint64 sent_us;
    gboolean served;
    gboolean reached; /* the connection was accepted */
} attempt_t;

typedef struct {
    play_t *play;
    guint number;
    guint count;
    attempt_t attempts[ATTEMPTS_MAX];
    GThread *thread;
} caller_t;

struct play {
    fleet_t *fleet;
    gint crowded; /* entry instance, or -1: none; atomic */
    gint stop;    /* atomic */
    caller_t callers[CALLERS];
};

static char *
config_with(guint connections)
{
    char *text = fleet_config(2, NULL);
    char *with = g_strdup_printf("\"MaxConnections\":%u", connections);
    char **parts = g_strsplit(text, "\"MaxConnections\":500", -1);
    char *changed = g_strjoinv(with, parts);
    g_strfreev(parts);
    g_free(with);
    g_free(text);
    return changed;
}

static gpointer
caller_run(gpointer data)
{
    caller_t *c = data;
    play_t *p = c->play;
    fleet_sleep(INTERVAL_MS * (int)c->number / CALLERS);
    for (guint i = 0; !g_atomic_int_get(&p->stop) && i < ATTEMPTS_MAX; i++) {
        char id[32];
        attempt_t *a = &c->attempts[i];
        gint crowded = g_atomic_int_get(&p->crowded);
        guint other = (c->number + i) % ENTRIES;
        gboolean skewed = crowded >= 0 && (c->number + i) % 10 < SKEWED_TENTHS;
        g_snprintf(id, sizeof(id), "skew-%u-%u", c->number, i);
        a->sent_us = g_get_monotonic_time();
        reply_t *reply = fleet_request(
            fleet_entry(p->fleet, skewed ? (guint)crowded : other),
            "/stream/x", id, "");
        a->served = reply->status == 200 && reply->complete;
        a->reached = reply->status != 0;
        reply_free(reply);
        c->count = i + 1;
        gint64 left_us =
            a->sent_us + (gint64)INTERVAL_MS * MS - g_get_monotonic_time();
        g_usleep((gulong)MAX(left_us, 0));
    }
    return NULL;
}

/* Share of the requests sent in a time that were served, of those that an
 * instance accepted, in a thousand. */
static guint
served_between(const play_t *p, gint64 from_us, gint64 until_us)
{
    guint sent = 0;
    guint served = 0;
    for (guint i = 0; i < CALLERS; i++) {
        const caller_t *c = &p->callers[i];
        for (guint k = 0; k < c->count; k++) {
            const attempt_t *a = &c->attempts[k];
            gboolean counted =
                a->reached && a->sent_us >= from_us && a->sent_us < until_us;
            sent += counted;
            served += counted && a->served;
        }
    }
    CU_ASSERT(sent > 0);
    return served * 1000 / MAX(sent, 1);
}

static void
skew_case(const skew_case_t *c)
{
    play_t *p = g_new0(play_t, 1);
    char *text = config_with(c->connections);
    p->fleet = fleet_create(1, ENTRIES, ENDPOINTS);
    p->crowded = -1;
    CU_ASSERT_FATAL(fleet_up(p->fleet, 1));
    CU_ASSERT_EQUAL(fleet_put(p->fleet, text, 0), 200);
    g_free(text);
    for (guint i = 0; i < CALLERS; i++) {
        p->callers[i] = (caller_t){.play = p, .number = i};
        p->callers[i].thread =
            g_thread_new("caller", caller_run, &p->callers[i]);
    }
    gint64 calm_us = g_get_monotonic_time();
    fleet_sleep(CALM_MS);
    gint64 skewed_us = g_get_monotonic_time();
    g_atomic_int_set(&p->crowded, 1);
    fleet_sleep(SKEWED_MS);
    if (c->kills) {
        fleet_kill(fleet_entry(p->fleet, 1));
    }
    g_atomic_int_set(&p->crowded, 2);
    gint64 moved_us = g_get_monotonic_time();
    fleet_sleep(SKEWED_MS);
    g_atomic_int_set(&p->stop, 1);
    for (guint i = 0; i < CALLERS; i++) {
        g_thread_join(p->callers[i].thread);
    }
    /* What ran at an instance that is killed is lost with it. */
    gint64 cut_us = c->kills ? (gint64)CUT_MS * MS : 0;
    guint before = served_between(p, calm_us, skewed_us);
    guint crowded = served_between(p, skewed_us, moved_us - cut_us);
    guint moved = served_between(p, moved_us, g_get_monotonic_time());
    printf("%s: %u, then %u and %u of 1000 served; ", c->name, before, crowded,
           moved);
    CU_ASSERT(crowded * 100 >= before * SERVED_LEAST);
    CU_ASSERT(moved * 100 >= before * SERVED_LEAST);
    fleet_destroy(p->fleet);
    g_free(p);
}

static void
test_skew(void)
{
    for (gsize i = 0; i < G_N_ELEMENTS(SKEW_CASES); i++) {
        skew_case(&SKEW_CASES[i]);
    }
}

static const test_case_t CASES[] = {
    {"most new connections come to one instance", test_skew},
};

CHECK_MAIN("skew", CASES)
