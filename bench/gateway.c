/* The routing gateway: processor time of a call, an event and a lease renewal,
 * and memory with many open streams; real processes on loopback. */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "../tests/fleet.h"
#include "bench.h"
#include "carobloom/gateway/load_wire.h"
#include "carobloom/gateway/sync_wire.h"

enum {
    THREADS = 8,
    CALLS = 250, /* of each thread */
    STREAMS = 60,
    EVENTS = 12,
    BEATS = 250,
    OPEN = 1000,
    /* Bounds: what 0.25 of a core can bear on the heaviest days met, at 150
     * calls a second over nine entry instances, with most of it to spare. */
    CALL_US = 300,
    EVENT_US = 20,
    LEASE_US = 100,
    OPEN_MB = 40,
};

/* Processor seconds of a process so far. */
static double
cpu_of(const fleet_process_t *p)
{
    char *path = g_strdup_printf("/proc/%s/stat",
                                 g_subprocess_get_identifier(p->process));
    char *text = NULL;
    unsigned long user = 0;
    unsigned long system = 0;
    if (g_file_get_contents(path, &text, NULL, NULL)) {
        const char *at = strrchr(text, ')');
        char **fields = g_strsplit(at + 2, " ", -1);
        user = strtoul(fields[11], NULL, 10);
        system = strtoul(fields[12], NULL, 10);
        g_strfreev(fields);
    }
    g_free(text);
    g_free(path);
    return (double)(user + system) / (double)sysconf(_SC_CLK_TCK);
}

static double
memory_mb(const fleet_process_t *p)
{
    char *path = g_strdup_printf("/proc/%s/status",
                                 g_subprocess_get_identifier(p->process));
    char *text = NULL;
    double mb = 0;
    if (g_file_get_contents(path, &text, NULL, NULL)) {
        const char *at = strstr(text, "VmRSS:");
        mb = at != NULL ? strtod(at + 6, NULL) / 1024 : 0;
    }
    g_free(text);
    g_free(path);
    return mb;
}

typedef struct {
    fleet_t *fleet;
    const char *target;
    const char *fields;
    int count;
    int number;
    int served;
} worker_t;

static gpointer
worker_run(gpointer data)
{
    worker_t *w = data;
    for (int i = 0; i < w->count; i++) {
        char id[48];
        g_snprintf(id, sizeof(id), "bench-%d-%d", w->number, i);
        reply_t *reply =
            fleet_request(fleet_entry(w->fleet, 0), w->target, id, w->fields);
        w->served += reply->status == 200 && reply->complete;
        reply_free(reply);
    }
    return NULL;
}

/* Seconds of the entry instance for all; `served` counts them. */
static double
run_workers(fleet_t *f, const char *target, int count, int *served)
{
    worker_t workers[THREADS];
    GThread *threads[THREADS];
    double before = cpu_of(fleet_entry(f, 0));
    *served = 0;
    for (int i = 0; i < THREADS; i++) {
        workers[i] = (worker_t){.fleet = f,
                                .target = target,
                                .fields = "",
                                .count = count,
                                .number = i};
        threads[i] = g_thread_new("worker", worker_run, &workers[i]);
    }
    for (int i = 0; i < THREADS; i++) {
        g_thread_join(threads[i]);
        *served += workers[i].served;
    }
    return cpu_of(fleet_entry(f, 0)) - before;
}

static gboolean
bench_calls(fleet_t *f)
{
    int calls;
    int streams;
    double plain = run_workers(f, "/safe/1", CALLS, &calls);
    double streamed = run_workers(f, "/stream/1", STREAMS, &streams);
    double call = plain / MAX(calls, 1);
    double event = (streamed / MAX(streams, 1) - call) / EVENTS;
    printf("  a plain call on a new connection: %.0f us of processor time "
           "(bound %d; %d of %d served)\n",
           call * 1e6, CALL_US, calls, THREADS * CALLS);
    printf("  an event passed on: %.0f us (bound %d; %d of %d streams "
           "whole)\n",
           event * 1e6, EVENT_US, streams, THREADS * STREAMS);
    return call * 1e6 <= CALL_US && event * 1e6 <= EVENT_US;
}

static gboolean
bench_leases(fleet_t *f)
{
    fleet_process_t *control = fleet_control(f, 0);
    double before = cpu_of(control);
    gint64 started = g_get_monotonic_time();
    int taken = 0;
    for (int i = 0; i < BEATS * 4; i++) {
        char body[200];
        char target[64];
        g_snprintf(target, sizeof(target), "/api/instances/bench-%d", i % 60);
        g_snprintf(body, sizeof(body),
                   "{\"Service\":\"a\",\"Address\":\"127.0.0.1:%d\","
                   "\"Zone\":\"z\",\"Version\":\"v1\",\"Slots\":8,"
                   "\"State\":\"ready\",\"ColdRemainingMs\":0,"
                   "\"Sequence\":%d}",
                   1000 + i % 60, i);
        reply_t *reply = fleet_call(control->ip, FLEET_CONTROL_PORT, "PUT",
                                    target, "", body, 1000);
        taken += reply->status == 200;
        reply_free(reply);
    }
    double seconds = (double)(g_get_monotonic_time() - started) / 1e6;
    double spent = cpu_of(control) - before;
    fleet_sleep(2000);
    double idle = (cpu_of(control) - before - spent) / 2;
    double lease = (spent - idle * seconds) / MAX(taken, 1) * 1e6;
    printf("  a lease renewed on a new connection: %.0f us (bound %d; %d "
           "taken)\n",
           lease, LEASE_US, taken);
    return lease <= LEASE_US;
}

static gpointer
open_stream(gpointer data)
{
    worker_t *w = data;
    char id[48];
    g_snprintf(id, sizeof(id), "open-%d", w->number);
    reply_free(fleet_request(fleet_entry(w->fleet, 0), "/fragile/stream/1", id,
                             "Fault: mute\r\n"));
    return NULL;
}

static gboolean
bench_memory(fleet_t *f)
{
    static worker_t workers[OPEN];
    static GThread *threads[OPEN];
    double before = memory_mb(fleet_entry(f, 0));
    for (int i = 0; i < OPEN; i++) {
        workers[i] = (worker_t){.fleet = f, .number = i};
        threads[i] = g_thread_new("stream", open_stream, &workers[i]);
    }
    fleet_sleep(2500);
    double open = memory_mb(fleet_entry(f, 0));
    printf("  memory of an entry instance: %.1f MB, with %d open streams "
           "%.1f MB (bound %d)\n",
           before, OPEN, open, OPEN_MB);
    for (int i = 0; i < OPEN; i++) {
        g_thread_join(threads[i]);
    }
    return open <= OPEN_MB;
}

static void
print_question(const char *what, GBytes *asked, GBytes *told)
{
    enum { HEADS = 165 }; /* of HTTP, of both */
    printf("  %s: %zu bytes, its answer %zu, heads %d\n", what,
           g_bytes_get_size(asked), g_bytes_get_size(told), HEADS);
    g_bytes_unref(asked);
    g_bytes_unref(told);
}

/* What an entry instance spends on asking at rest, from the codecs: a question
 * for news and an answer without any that names nine control instances; and a
 * report of its requests, told those of all. */
static void
bench_question(void)
{
    enum { CONTROLS = 9, BUSY = 60, OWN = 10 };
    GArray *loads = g_array_new(FALSE, FALSE, sizeof(endpoint_load_t));
    for (guint i = 0; i < BUSY; i++) {
        endpoint_load_t load = {.endpoint = i * 1000003, .running = 3};
        g_array_append_val(loads, load);
    }
    load_answer_t sums = {.report_interval_ms = 200, .loads = loads};
    GBytes *told = load_answer_write(&sums);
    GArray *own = g_array_copy(loads);
    g_array_set_size(own, OWN);
    load_report_t report = {.from = "entry-amman-a-100", .loads = own};
    print_question("a report, 60 endpoints busy", load_report_write(&report),
                   told);
    g_array_unref(own);
    g_array_unref(loads);
    sync_request_t request = {.instance = "entry-amman-a-100"};
    sync_answer_t answer = {.controls = g_ptr_array_new(),
                            .data_centre = "amman-a"};
    for (int i = 0; i < CONTROLS; i++) {
        g_ptr_array_add(answer.controls, "10.100.100.100:7340");
    }
    print_question("a question without news", sync_request_write(&request),
                   sync_answer_write(&answer));
    g_ptr_array_unref(answer.controls);
}

gboolean
bench_gateway(void)
{
    printf("== the routing gateway\n");
    fleet_t *f = fleet_create(1, 1, 4);
    f->slots = OPEN;
    if (!fleet_up(f, 1)) {
        printf("  does not start\n");
        fleet_destroy(f);
        return FALSE;
    }
    bench_question();
    gboolean ok = bench_calls(f);
    ok = bench_memory(f) && ok;
    ok = bench_leases(f) && ok; /* last: nobody listens at what is renewed */
    fleet_destroy(f);
    return ok;
}
