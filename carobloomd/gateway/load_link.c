/* Reports the requests in flight of this instance and the prompt parts that it
 * sent to endpoints to one control instance, and applies those of all
 * instances from its answers. */
#include <string.h>

#include "carobloom/common/counters.h"
#include "carobloom/common/event_log.h"
#include "carobloom/gateway/inner_line.h"
#include "carobloom/gateway/load_wire.h"
#include "carobloom/policy/rendezvous.h"
#include "entry_state.h"

enum {
    MS = 1000,
    /* After this time without an answer, four report intervals, reports go to
     * another control instance: without the loads of the other instances,
     * requests are sent to engines that are full. */
    ANSWER_TIMEOUT_US = 400 * MS,
    /* A control instance that failed gets no reports for this time: a process
     * that was killed is back within a second, one that froze within a few.
     * If all control instances failed, the shorter time applies. */
    UNRESPONSIVE_US = 3000 * MS,
    UNRESPONSIVE_FALLBACK_US = 200 * MS,
    /* Retry delay while no control instance is reachable, or there is no
     * configuration yet. */
    IDLE_RETRY_US = 200 * MS,
    /* Minimum delay between an answer and the next report, however late the
     * answer is. */
    PAUSE_MIN_US = 20 * MS,
    ANSWER_MAX = 1024 * 1024,
    /* Parts per report: more than an instance sends within its interval. Parts
     * beyond this bound are dropped; the instance that sends them to an
     * endpoint next reports them. */
    PARTS_MAX = 256,
};

static const http_peer_limits_t LOAD_PEER_LIMITS = {
    .connect_us = ANSWER_TIMEOUT_US,
    .idle_us = 5 * G_USEC_PER_SEC,
    .idle_max = 1,
    .head_max = 4096,
};

struct load_link {
    entry_t *entry;
    char *address; /* of the control instance; NULL: none yet */
    inner_line_t *line;
    guint64 timer; /* of the next report */
    gint64 sent_us;
    GArray *reported;       /* loads in the last report, or NULL */
    GArray *parts;          /* part_copy_t, for the next report */
    guint64 parts_received; /* number of part_copy_t received from `address` */
    GHashTable *unresponsive; /* address -> gint64, time of the last failure */
};

static void on_due(void *data);

static void
link_wait(load_link_t *link, gint64 us)
{
    timers_cancel(link->entry->timers, link->timer);
    link->timer = timers_subscribe(link->entry->timers, us, 0, on_due, link);
}

static void
log_collector(const load_link_t *link, const char *event)
{
    if (event_log_begin(EVENT_STATE, event)) {
        event_log_cstr("control", link->address);
        event_log_number(
            "loads_age_ms",
            (entry_now(link->entry) - link->entry->loads_received_us) / MS);
        event_log_end();
    }
}

/* Handles a control instance that does not answer: a report is sent to
 * another one at once. */
static void
link_failed(load_link_t *link)
{
    gint64 now = entry_now(link->entry);
    g_hash_table_replace(link->unresponsive, g_strdup(link->address),
                         g_memdup2(&now, sizeof(now)));
    log_collector(link, "loads_lost");
    counter_add(counter_get("load_reports_failed_total", NULL, FALSE), 1);
    link_wait(link, 0);
}

static gboolean
is_unresponsive(const load_link_t *link, const char *address, gint64 for_us)
{
    const gint64 *since = g_hash_table_lookup(link->unresponsive, address);
    return since != NULL && entry_now(link->entry) - *since < for_us;
}

/* Returns a copy of the address of the control instance to report to, or NULL.
 * Skips those that failed within `unresponsive_us`. */
static char *
choose_responsive(const load_link_t *link, gint64 unresponsive_us)
{
    const entry_t *e = link->entry;
    GArray *collectors = g_array_new(FALSE, FALSE, sizeof(collector_t));
    GPtrArray *addresses = control_links_collectors(e, collectors);
    for (guint i = 0; i < collectors->len; i++) {
        collector_t *c = &g_array_index(collectors, collector_t, i);
        c->reachable =
            c->reachable &&
            !is_unresponsive(link, addresses->pdata[i], unresponsive_us);
    }
    gssize best =
        collector_pick((const collector_t *)collectors->data, collectors->len,
                       hash_text(str_from_cstr(e->settings->instance)));
    char *address = best >= 0 ? g_strdup(addresses->pdata[best]) : NULL;
    g_ptr_array_unref(addresses);
    g_array_unref(collectors);
    return address;
}

static char *
choose_collector(const load_link_t *link)
{
    char *address = choose_responsive(link, UNRESPONSIVE_US);
    return address != NULL ? address
                           : choose_responsive(link, UNRESPONSIVE_FALLBACK_US);
}

static void
on_answered(void *user, guint status, GBytes *body)
{
    load_link_t *link = user;
    entry_t *e = link->entry;
    load_answer_t answer;
    if (status != 200 || !load_answer_read(body, &answer)) {
        link_failed(link);
        return;
    }
    directory_apply_loads(e->directory, answer.loads, link->reported);
    directory_apply_parts(e->directory, answer.parts);
    link->parts_received = answer.parts_received;
    entry_apply_loads(e);
    gint64 since = entry_now(e) - link->sent_us;
    link_wait(link, MAX(answer.report_interval_ms * (gint64)MS - since,
                        PAUSE_MIN_US));
    load_answer_clear(&answer);
}

static void
on_failed(void *user)
{
    link_failed(user); /* the next report repeats the loads */
}

static const inner_line_ops_t LOAD_OPS = {.answered = on_answered,
                                          .failed = on_failed};

/* Reports to the control instance at `address` from now on. Takes ownership of
 * `address`. Returns FALSE if it is invalid. */
static gboolean
connect_to(load_link_t *link, char *address)
{
    if (g_strcmp0(link->address, address) == 0) {
        g_free(address);
        return link->line != NULL;
    }
    entry_t *e = link->entry;
    inner_line_setup_t setup = {.poller = e->poller,
                                .timers = e->timers,
                                .peer = LOAD_PEER_LIMITS,
                                .answer_max = ANSWER_MAX,
                                .ops = &LOAD_OPS,
                                .user = link,
                                .traffic = e->traffic,
                                .kind = TRAFFIC_LOADS};
    g_clear_pointer(&link->line, inner_line_destroy);
    g_free(link->address);
    link->address = address;
    link->parts_received = 0;
    link->line = inner_line_create(&setup, address);
    log_collector(link, "loads_reported_to");
    return link->line != NULL;
}

static void
report(load_link_t *link)
{
    g_clear_pointer(&link->reported, g_array_unref);
    link->reported = directory_loads(link->entry->directory);
    load_report_t report = {.from = link->entry->settings->instance,
                            .loads = link->reported,
                            .parts = link->parts,
                            .parts_received = link->parts_received};
    GBytes *body = load_report_write(&report);
    g_array_set_size(link->parts, 0);
    link->sent_us = entry_now(link->entry);
    gboolean posted =
        inner_line_post(link->line, LOADS_PATH, body, ANSWER_TIMEOUT_US);
    g_bytes_unref(body);
    if (!posted) {
        link_failed(link);
    }
}

static void
on_due(void *data)
{
    load_link_t *link = data;
    link->timer = 0;
    char *address =
        link->entry->config != NULL ? choose_collector(link) : NULL;
    if (address == NULL || !connect_to(link, address)) {
        link_wait(link, IDLE_RETRY_US);
        return;
    }
    report(link);
}

load_link_t *
load_link_create(entry_t *e)
{
    load_link_t *link = g_new0(load_link_t, 1);
    link->entry = e;
    link->parts = g_array_new(FALSE, FALSE, sizeof(part_copy_t));
    link->unresponsive =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    link_wait(link, IDLE_RETRY_US);
    return link;
}

void
load_link_destroy(load_link_t *link)
{
    timers_cancel(link->entry->timers, link->timer);
    g_clear_pointer(&link->line, inner_line_destroy);
    g_clear_pointer(&link->reported, g_array_unref);
    g_array_unref(link->parts);
    g_hash_table_unref(link->unresponsive);
    g_free(link->address);
    g_free(link);
}

void
load_link_record_part(load_link_t *link, guint64 part,
                      const endpoint_t *endpoint)
{
    part_copy_t copy = {.part = part, .endpoint = endpoint->hash};
    if (link->parts->len < PARTS_MAX) {
        g_array_append_val(link->parts, copy);
    }
}

void
load_link_dump(const load_link_t *link, GString *text)
{
    g_string_append_printf(
        text, "loads reported to %s, told %ld ms ago\n",
        link->address != NULL ? link->address : "none",
        (long)((entry_now(link->entry) - link->entry->loads_received_us) /
               MS));
}
