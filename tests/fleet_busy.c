#include "fleet_busy.h"

#include <signal.h>

enum {
    FLOW_MS = 1500, /* until all streams flow */
    RUNS_MS = 3,
    STOPS_MS = 290,
    WAIT_MS = 20, /* between two looks */
};

struct fleet_busy {
    fleet_process_t *entry;
    GThread *throttle;
    gint stop;    /* atomic */
    gint callers; /* that have not ended; atomic */
};

static gpointer
throttle_run(gpointer data)
{
    fleet_busy_t *b = data;
    while (!g_atomic_int_get(&b->stop)) {
        fleet_signal(b->entry, SIGSTOP);
        fleet_sleep(STOPS_MS);
        fleet_signal(b->entry, SIGCONT);
        fleet_sleep(RUNS_MS);
    }
    fleet_signal(b->entry, SIGCONT);
    return NULL;
}

static gpointer
caller_run(gpointer data)
{
    fleet_busy_t *b = data;
    for (guint i = 0; !g_atomic_int_get(&b->stop); i++) {
        char id[64];
        g_snprintf(id, sizeof(id), "busy-%p-%u", (void *)g_thread_self(), i);
        reply_free(fleet_request(b->entry, "/stream/long/x", id, ""));
    }
    g_atomic_int_add(&b->callers, -1);
    return NULL;
}

fleet_busy_t *
fleet_busy_create(fleet_process_t *entry, guint callers)
{
    fleet_busy_t *b = g_new0(fleet_busy_t, 1);
    *b = (fleet_busy_t){.entry = entry, .callers = (gint)callers};
    for (guint i = 0; i < callers; i++) {
        g_thread_unref(g_thread_new("caller", caller_run, b));
    }
    fleet_sleep(FLOW_MS);
    return b;
}

void
fleet_busy_throttle(fleet_busy_t *b)
{
    b->throttle = g_thread_new("throttle", throttle_run, b);
    fleet_sleep(FLOW_MS);
}

void
fleet_busy_destroy(fleet_busy_t *b)
{
    g_atomic_int_set(&b->stop, 1);
    if (b->throttle != NULL) {
        g_thread_join(b->throttle);
    }
    while (g_atomic_int_get(&b->callers) > 0) {
        fleet_sleep(WAIT_MS);
    }
    g_free(b);
}
