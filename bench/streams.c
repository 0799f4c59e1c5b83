/* Streams through one instance against the same load sent straight to the
 * stand-in, in one run. */
#include <stdio.h>
#include <string.h>

#include "bench.h"

enum {
    ENGINES = 5,
    OPEN = 200,
    HELD = 1000,
    CALLS = 2000,
    STEADY = 20000, /* requests after which memory must stand still */
};

/* Several stand-ins of one kind, and their addresses with commas between.
 * One alone would be slower than the router. */
typedef struct {
    engine_t *engines[ENGINES];
    char *addresses;
} engines_t;

static engines_t
engines_start(site_t *site, const char *extra)
{
    engines_t set = {0};
    GString *addresses = g_string_new(NULL);
    for (int i = 0; i < ENGINES; i++) {
        char name[16];
        g_snprintf(name, sizeof(name), "engine-%d", i);
        set.engines[i] = engine_start(site, name, "draft-7b", "model", extra);
        g_string_append_printf(addresses, "%s%s", i ? "," : "",
                               set.engines[i]->address);
    }
    set.addresses = g_string_free(addresses, FALSE);
    return set;
}

static void
engines_stop(engines_t *set)
{
    for (int i = 0; i < ENGINES; i++) {
        engine_destroy(set->engines[i]);
    }
    g_free(set->addresses);
}

static gboolean
measure_first_token(site_t *site, const char *engines, const char *address)
{
    load_run(address, 400, OPEN, 20); /* warm */
    load_t straight = load_run(engines, CALLS, OPEN, 20);
    double cpu = process_cpu(site, 0);
    load_t through = load_run(address, CALLS, OPEN, 20);
    double used = process_cpu(site, 0) - cpu;
    printf("first token at %d streams at once, %d calls of 20 tokens\n", OPEN,
           CALLS);
    gboolean ok = TRUE;
    ok &= figure_print(
        &(figure_t){"calls complete", through.complete, "calls", CALLS, TRUE});
    figure_print(&(figure_t){"straight p50", straight.first_p50_ms, "ms"});
    figure_print(&(figure_t){"through p50", through.first_p50_ms, "ms"});
    figure_print(&(figure_t){"straight p95", straight.first_p95_ms, "ms"});
    figure_print(&(figure_t){"through p95", through.first_p95_ms, "ms"});
    figure_print(&(figure_t){"straight p99", straight.first_p99_ms, "ms"});
    figure_print(&(figure_t){"through p99", through.first_p99_ms, "ms"});
    ok &= figure_print(
        &(figure_t){"added at p95",
                    through.first_p95_ms - straight.first_p95_ms, "ms", 1});
    figure_print(&(figure_t){"processor time a request of 20 tokens",
                             used / CALLS * 1e6, "us"});
    slopes.cpu_request_us = used / CALLS * 1e6;
    return ok;
}

static gboolean
measure_tokens(site_t *site, const char *address)
{
    double cpu = process_cpu(site, 0);
    load_t through = load_run(address, 400, OPEN, 1000);
    double used = process_cpu(site, 0) - cpu;
    printf("tokens through one instance, %d streams\n", OPEN);
    gboolean ok = figure_print(&(figure_t){
        "tokens a second", (double)through.tokens / through.seconds,
        "tokens/s", 50000, TRUE});
    slopes.cpu_token_us = used / (double)through.tokens * 1e6;
    figure_print(
        &(figure_t){"processor time a token", slopes.cpu_token_us, "us"});
    slopes.cpu_request_us =
        MAX(slopes.cpu_request_us - 20 * slopes.cpu_token_us, 1);
    return ok;
}

/* Memory while many streams stay open: sampled by a thread of its own. */
typedef struct {
    site_t *site;
    double most;
    gboolean stop;
} sampler_t;

static gpointer
sample(gpointer data)
{
    sampler_t *s = data;
    while (!g_atomic_int_get(&s->stop)) {
        s->most = MAX(s->most, process_memory(s->site, 0));
        sleep_ms(100);
    }
    return NULL;
}

static gboolean
measure_memory(site_t *site, const char *address)
{
    double before = process_memory(site, 0);
    sampler_t sampler = {.site = site};
    GThread *thread = g_thread_new("sampler", sample, &sampler);
    load_run(address, HELD, HELD, 60);
    g_atomic_int_set(&sampler.stop, TRUE);
    g_thread_join(thread);
    printf("memory\n");
    slopes.memory_base_bytes = before;
    slopes.memory_stream_bytes = (sampler.most - before) / HELD;
    gboolean ok = figure_print(&(figure_t){"resident with 1,000 open streams",
                                           sampler.most / 1048576, "MB", 64});
    figure_print(
        &(figure_t){"of it a stream", slopes.memory_stream_bytes, "bytes"});
    return ok;
}

static gboolean
measure_steady(site_t *site, const char *address)
{
    load_run(address, STEADY / 4, OPEN, 2);
    double before = process_memory(site, 0);
    load_run(address, STEADY, OPEN, 2);
    double after = process_memory(site, 0);
    return figure_print(&(figure_t){"growth over 20,000 more requests",
                                    (after - before) / before + 1, "times",
                                    1.1});
}

gboolean
bench_streams(void)
{
    site_t *site = site_up(1, 0);
    char address[32];
    g_snprintf(address, sizeof(address), "127.0.0.1:%d",
               site->instances[0].callers);
    engines_t usual =
        engines_start(site, "--slots=500 --token-us=20000 --first-us=20000");
    gboolean ok = site_wait_slots(site, "draft-7b", 500 * ENGINES);
    ok &= measure_first_token(site, usual.addresses, address);
    ok &= measure_memory(site, address);
    engines_stop(&usual);
    sleep_ms(4500); /* until they are taken for gone */
    engines_t fast =
        engines_start(site, "--slots=500 --token-us=1500 --first-us=1000");
    ok &= site_wait_slots(site, "draft-7b", 500 * ENGINES);
    ok &= measure_tokens(site, address);
    ok &= measure_steady(site, address);
    engines_stop(&fast);
    site_destroy(site);
    return ok;
}
