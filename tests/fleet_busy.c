#include "fleet_busy.h"

#include <signal.h>
#include <stdlib.h>
#include <time.h>

enum {
    FLOW_MS = 1500, /* until all streams flow */
    /* It runs until it has used so much of a processor, which takes longer on
     * a machine that has other work, and then not at all. */
    RUNS_US = 3000,
    RUNS_MAX_MS = 100, /* for one that has nothing to do */
    STOPS_MS = 290,
    WAIT_MS = 20, /* between two looks */
};

struct fleet_busy {
    fleet_process_t *entry;
    GThread *throttle;
    gint stop;    /* atomic */
    gint callers; /* that have not ended; atomic */
};

/* Time of processors that the process has used. */
static gint64
used_us(const fleet_process_t *p)
{
    const char *id =
        p->process != NULL ? g_subprocess_get_identifier(p->process) : NULL;
    clockid_t clock;
    struct timespec used = {0};
    if (id != NULL && clock_getcpuclockid((pid_t)atoi(id), &clock) == 0) {
        clock_gettime(clock, &used);
    }
    return (gint64)used.tv_sec * G_USEC_PER_SEC + used.tv_nsec / 1000;
}

static void
run_for_a_while(const fleet_busy_t *b)
{
    gint64 until_us = g_get_monotonic_time() + RUNS_MAX_MS * (gint64)1000;
    gint64 before_us = used_us(b->entry);
    fleet_signal(b->entry, SIGCONT);
    while (used_us(b->entry) - before_us < RUNS_US &&
           g_get_monotonic_time() < until_us) {
        g_usleep(RUNS_US / 6);
    }
}

static gpointer
throttle_run(gpointer data)
{
    fleet_busy_t *b = data;
    while (!g_atomic_int_get(&b->stop)) {
        fleet_signal(b->entry, SIGSTOP);
        fleet_sleep(STOPS_MS);
        run_for_a_while(b);
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
