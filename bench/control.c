/* What the instances spend on each other: gossip, tickets, claims, changes. */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "bench.h"

enum { REST_MS = 6000, CLAIMS = 600, CLAIMERS = 16, CHANGES = 500 };

/* Bytes sent by every instance, by the counters of the peers task. */
static double
sent_bytes(site_t *site)
{
    double sum = 0;
    for (guint i = 0; i < site->count; i++) {
        sum += site_metric(site, i, "peer_sent_bytes_total");
    }
    return sum;
}

static double
rest_bytes(guint instances, double *cpu, double *memory)
{
    site_t *site = site_up(instances, MIN(instances, 3));
    sleep_ms(3000);
    double bytes = sent_bytes(site);
    double cpu_before = process_cpu(site, instances - 1);
    gint64 started = g_get_monotonic_time();
    sleep_ms(REST_MS);
    double seconds = (double)(g_get_monotonic_time() - started) / 1e6;
    double a_second = (sent_bytes(site) - bytes) / seconds / instances;
    *cpu = (process_cpu(site, instances - 1) - cpu_before) / seconds;
    *memory = process_memory(site, instances - 1);
    site_destroy(site);
    return a_second;
}

gboolean
bench_gossip(void)
{
    static const guint sizes[] = {3, 9, 27, 60};
    printf("instances at rest: control sent, processor time, memory (of one "
           "that does not vote)\n");
    double first_memory = 0;
    for (guint i = 0; i < G_N_ELEMENTS(sizes); i++) {
        double cpu;
        double memory;
        double bytes = rest_bytes(sizes[i], &cpu, &memory);
        printf("  %3u instances: %7.0f bytes/s an instance, %6.3f%% of a "
               "core, %5.1f MB\n",
               sizes[i], bytes, 100 * cpu, memory / 1048576);
        fflush(stdout);
        if (i == 1) {
            first_memory = memory;
        }
        if (i + 1 == G_N_ELEMENTS(sizes)) {
            slopes.gossip_bytes_s = bytes;
            slopes.gossip_cpu_s = cpu;
            slopes.member_bytes =
                MAX(memory - first_memory, 0) / (sizes[i] - sizes[1]);
        }
    }
    return figure_print(&(figure_t){"sent by an instance at rest, of 60",
                                    slopes.gossip_bytes_s, "bytes/s", 3000});
}

/* ---- claims ---- */

typedef struct {
    site_t *site;
    guint first;
    GArray *ms;
    guint ok;
} claimer_t;

static gpointer
claim_some(gpointer data)
{
    claimer_t *c = data;
    for (guint i = 0; i < CLAIMS / CLAIMERS; i++) {
        char key[32];
        g_snprintf(key, sizeof(key), "c-%u-%u", c->first, i);
        gint64 started = g_get_monotonic_time();
        answer_t *a = call_whole(c->site, c->first % c->site->count,
                                 "/services/tagging/x", key, "x");
        double ms = (double)(g_get_monotonic_time() - started) / 1e3;
        g_array_append_val(c->ms, ms);
        c->ok += a->status == 200;
        answer_free(a);
    }
    return NULL;
}

static void
claims_with(guint voters, double *p50, double *p95, double *a_second)
{
    site_t *site = site_up(voters, voters);
    engine_t *tag = engine_start(site, "tag", "tagging", "service",
                                 "--slots=1000 --first-us=0");
    site_wait_slots(site, "tagging", 1000);
    claimer_t claimers[CLAIMERS];
    GThread *threads[CLAIMERS];
    gint64 started = g_get_monotonic_time();
    for (guint i = 0; i < CLAIMERS; i++) {
        claimers[i] = (claimer_t){.site = site, .first = i};
        claimers[i].ms = g_array_new(FALSE, FALSE, sizeof(double));
        threads[i] = g_thread_new("claimer", claim_some, &claimers[i]);
    }
    GArray *all = g_array_new(FALSE, FALSE, sizeof(double));
    guint ok = 0;
    for (guint i = 0; i < CLAIMERS; i++) {
        g_thread_join(threads[i]);
        g_array_append_vals(all, claimers[i].ms->data, claimers[i].ms->len);
        ok += claimers[i].ok;
        g_array_unref(claimers[i].ms);
    }
    double seconds = (double)(g_get_monotonic_time() - started) / 1e6;
    *p50 = percentile(all, 0.5);
    *p95 = percentile(all, 0.95);
    *a_second = ok / seconds;
    g_array_unref(all);
    engine_destroy(tag);
    site_destroy(site);
}

gboolean
bench_claims(void)
{
    static const guint voters[] = {1, 3, 5};
    printf("a not repeatable call: claim, run, keep; 16 at once\n");
    gboolean ok = TRUE;
    for (guint i = 0; i < G_N_ELEMENTS(voters); i++) {
        double p50;
        double p95;
        double a_second;
        claims_with(voters[i], &p50, &p95, &a_second);
        printf("  %u voters: p50 %.1f ms, p95 %.1f ms, %.0f calls/s\n",
               voters[i], p50, p95, a_second);
        fflush(stdout);
        ok &= a_second > 0;
        if (voters[i] == 3) {
            slopes.claim_ms = p50;
        }
    }
    return ok;
}

/* ---- changes of the document ---- */

/* Submits until it is accepted; the same change id each time. */
static guint64
change_once(site_t *site, guint at, int number, guint64 base)
{
    char id[32];
    g_snprintf(id, sizeof(id), "change-%d", number);
    char *text = site_sample_with_weight(number % 900 + 1);
    guint64 version = 0;
    for (int i = 0; i < 40 && version == 0; i++) {
        guint to = (at + (guint)i) % site->count;
        if (site->instances[to].process == NULL) {
            continue;
        }
        answer_t *a = site_submit(site, to, id, base, text);
        const char *found = strstr(a->body, "\"version\":");
        if (a->status == 200 && found) {
            version = g_ascii_strtoull(found + 10, NULL, 10);
        }
        answer_free(a);
    }
    g_free(text);
    return version;
}

static double
wait_in_force(site_t *site, guint64 version, gint64 since, guint64 *seen,
              gboolean *went_back)
{
    gboolean all = FALSE;
    while (!all && g_get_monotonic_time() - since < 20 * G_USEC_PER_SEC) {
        all = TRUE;
        for (guint k = 0; k < site->count; k++) {
            if (site->instances[k].process == NULL) {
                continue;
            }
            guint64 now = site_version(site, k);
            if (now > 0 && now < seen[k]) {
                *went_back = TRUE;
            }
            seen[k] = MAX(seen[k], now);
            all &= now >= version;
        }
    }
    double took_ms = (double)(g_get_monotonic_time() - since) / 1e3;
    for (guint k = 0; k < site->count && took_ms > 2000; k++) {
        printf("  version %lu took %.0f ms: %s shows %lu%s\n",
               (unsigned long)version, took_ms, site->instances[k].name,
               (unsigned long)seen[k],
               site->instances[k].process ? "" : ", down");
    }
    return took_ms;
}

gboolean
bench_changes(void)
{
    site_t *site = site_up(9, 3);
    GArray *ms = g_array_new(FALSE, FALSE, sizeof(double));
    guint64 version = 1;
    guint64 seen[SITE_INSTANCES_MAX] = {0};
    gboolean went_back = FALSE;
    int down = -1;
    guint kills = 0;
    guint lost = 0;
    for (int i = 1; i <= CHANGES; i++) {
        if (i % 25 == 10) {
            down = (i / 25) % 3;
            site_signal(site, (guint)down, SIGKILL);
            site_wait_exit(site, (guint)down);
            kills++;
        }
        if (i % 25 == 20 && down >= 0) {
            /* Its memory is gone with it: what it shows now is new. */
            seen[down] = 0;
            site_start(site, (guint)down);
            site_wait_ready(site, (guint)down);
            down = -1;
        }
        gint64 started = g_get_monotonic_time();
        guint64 next = change_once(site, (guint)i % 9, i, version);
        if (next != version + 1) {
            lost++;
            continue;
        }
        version = next;
        double took = wait_in_force(site, version, started, seen, &went_back);
        g_array_append_val(ms, took);
    }
    printf("500 changes at 9 instances, voters killed in turn (%u kills)\n",
           kills);
    gboolean ok = TRUE;
    figure_print(&(figure_t){"accepted to in force everywhere, p50",
                             percentile(ms, 0.5), "ms"});
    ok &= figure_print(&(figure_t){"accepted to in force everywhere, p99",
                                   percentile(ms, 0.99), "ms", 2000});
    ok &= figure_print(&(figure_t){"not accepted, or out of step", lost + 1.0,
                                   "(1 is none)", 1});
    ok &= figure_print(&(figure_t){"an older version was shown",
                                   went_back + 1.0, "(1 is never)", 1});
    slopes.change_ms = percentile(ms, 0.99);
    g_array_unref(ms);
    site_destroy(site);
    return ok;
}
