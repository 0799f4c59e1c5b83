/* Requests that crash their endpoints, with real processes. */
#include <signal.h>
#include <string.h>

#include "check.h"
#include "fleet.h"

/* ---- what is taken for the end of an endpoint ---- */

typedef struct {
    const char *name;
    const char *target;
    const char *fault; /* that the request asks for */
    int signal;        /* to the endpoint while it runs; 0: none */
    gboolean ends;
} end_case_t;

static const end_case_t END_CASES[] = {
    {"resets", "/safe/x", "Fault: reset\r\n", 0, FALSE},
    {"cuts an answer short", "/safe/x", "Fault: cut\r\n", 0, FALSE},
    {"cuts a stream short", "/stream/x", "Fault: cut\r\n", 0, FALSE},
    {"refuses", "/safe/x", "Fault: full\r\n", 0, FALSE},
    {"fails", "/safe/x", "Fault: error\r\n", 0, FALSE},
    {"falls silent", "/safe/x", "Fault: mute\r\n", 0, FALSE},
    {"is paused", "/safe/slow", "", SIGSTOP, FALSE},
    {"drains and leaves", "/stream/x", "", SIGTERM, FALSE},
    {"is killed", "/stream/x", "", SIGKILL, TRUE},
    {"crashes", "/safe/x", "Fault: crash\r\n", 0, TRUE},
    {"crashes in a stream", "/fragile/stream/x", "Fault: crash\r\n", 0, TRUE},
};

static gpointer
ask_once(gpointer data)
{
    fleet_t *f = ((gpointer *)data)[0];
    const end_case_t *c = ((gpointer *)data)[1];
    reply_t *reply = fleet_post(fleet_entry(f, 0), c->target, "x", FLEET_KEY,
                                c->fault, "body");
    reply_free(reply);
    return NULL;
}

/* An end is known by more than a connection that broke off, and one that the
 * endpoint announced is none. */
static void
test_ends(void)
{
    enum { BEGUN_MS = 60, KNOWN_MS = 3000 };
    for (gsize i = 0; i < G_N_ELEMENTS(END_CASES); i++) {
        const end_case_t *c = &END_CASES[i];
        fleet_t *f = fleet_create(1, 1, 1);
        gpointer data[] = {f, (gpointer)c};
        CU_ASSERT_FATAL(fleet_up(f, 1));
        GThread *thread = g_thread_new("caller", ask_once, data);
        fleet_sleep(BEGUN_MS);
        if (c->signal != 0) {
            fleet_signal(fleet_endpoint(f, 0), c->signal);
        }
        guint64 ended = 0;
        for (int ms = 0; ms < KNOWN_MS && (ended == 0 || !c->ends); ms += 50) {
            fleet_sleep(50);
            ended = fleet_counter(fleet_entry(f, 0), "endpoints_ended_total");
        }
        if (ended != (guint64)c->ends) {
            printf("one that %s: %d ends\n", c->name, (int)ended);
        }
        CU_ASSERT_EQUAL(ended, (guint64)c->ends);
        fleet_signal(fleet_endpoint(f, 0), SIGCONT);
        g_thread_join(thread);
        fleet_destroy(f);
    }
}

static const test_case_t CASES[] = {
    {"what is taken for the end of an endpoint", test_ends},
};

CHECK_MAIN("crashing", CASES)
