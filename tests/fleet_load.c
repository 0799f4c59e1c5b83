#include "fleet_load.h"

#include <string.h>

enum { MS = 1000 };

static void
count_refusal(load_t *load, gint64 started_us)
{
    gint ms = (gint)((g_get_monotonic_time() - started_us) / MS);
    gint longest = g_atomic_int_get(&load->longest_refusal_ms);
    while (ms > longest && !g_atomic_int_compare_and_exchange(
                               &load->longest_refusal_ms, longest, ms)) {
        longest = g_atomic_int_get(&load->longest_refusal_ms);
    }
    g_atomic_int_inc(&load->refused);
}

static void
count_reply(caller_t *c, const reply_t *reply, gint64 started_us)
{
    load_t *load = c->load;
    if (reply->status == 200 && reply->complete) {
        g_atomic_int_inc(&load->answered);
        c->answered++;
    }
    else if (reply->status == 503 &&
             strstr(reply->fields, "Retry-After") != NULL) {
        count_refusal(load, started_us);
    }
    else {
        g_atomic_int_inc(&load->failed);
    }
}

static gpointer
caller_run(gpointer data)
{
    caller_t *c = data;
    load_t *load = c->load;
    for (guint i = 0; !g_atomic_int_get(&load->stop); i++) {
        gint64 now_us = g_get_monotonic_time();
        gint64 next_us = now_us + (gint64)load->interval_ms * MS;
        guint entry = (c->number + i) % load->fleet->entries;
        char *id = g_strdup_printf("e%u-c%u-%u", entry, c->number, i);
        const char *fields = c->fields != NULL ? c->fields : load->fields;
        reply_t *reply =
            fleet_post(fleet_entry(load->fleet, entry),
                       c->target != NULL ? c->target : load->target, id,
                       FLEET_KEY, fields != NULL ? fields : "", id);
        count_reply(c, reply, now_us);
        if (load->observe != NULL) {
            load->observe(load->user, entry, reply, now_us);
        }
        reply_free(reply);
        g_free(id);
        g_usleep((gulong)MAX(next_us - g_get_monotonic_time(), 1));
    }
    return NULL;
}

void
load_start(load_t *load, caller_t *callers, GThread **threads)
{
    for (guint i = 0; i < LOAD_CALLERS; i++) {
        callers[i].load = load;
        callers[i].number = i;
        threads[i] = g_thread_new("caller", caller_run, &callers[i]);
    }
}

void
load_stop(load_t *load, GThread **threads)
{
    g_atomic_int_set(&load->stop, 1);
    for (guint i = 0; i < LOAD_CALLERS; i++) {
        g_thread_join(threads[i]);
    }
}

guint
load_entry_of(const char *request)
{
    return request[0] == 'e' ? (guint)g_ascii_strtoull(request + 1, NULL, 10)
                             : G_MAXUINT;
}
