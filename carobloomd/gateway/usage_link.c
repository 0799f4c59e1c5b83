/* Reports the usage that this instance counted and its requests in flight to
 * the control instance that leads, which is also the duty holder. */
#include "carobloom/common/clock.h"
#include "carobloom/common/counters.h"
#include "carobloom/common/event_log.h"
#include "carobloom/gateway/inner_line.h"
#include "carobloom/gateway/usage_wire.h"
#include "entry_state.h"
#include "platform.h"

enum {
    MS = 1000,
    /* Longer than a new leader needs to answer after an election. */
    ANSWER_TIMEOUT_US = 600 * MS,
    /* Retry delay while no leader is known. */
    IDLE_RETRY_US = 150 * MS,
    PAUSE_MIN_US = 50 * MS,
    ANSWER_MAX = 4096, /* bytes */
};

static const http_peer_limits_t USAGE_PEER_LIMITS = {
    .connect_us = ANSWER_TIMEOUT_US,
    .idle_us = 5 * G_USEC_PER_SEC,
    .idle_max = 1,
    .head_max = 4096,
};

struct usage_link {
    entry_t *entry;
    duty_set_t set;
    guint64 incarnation;
    usage_tally_t *tally;
    gint64 clock_offset_us; /* the site's time of day minus clock_boot_us */
    char *address;          /* of the control instance that gets the reports */
    inner_line_t *line;
    guint64 timer;
    gint64 sent_us; /* clock_boot_us */
};

static void on_due(void *data);

static void
link_wait(usage_link_t *link, gint64 us)
{
    timers_cancel(link->entry->timers, link->timer);
    link->timer = timers_subscribe(link->entry->timers, us, 0, on_due, link);
}

/* ---- counting ---- */

static guint64
window_now(const usage_link_t *link)
{
    gint64 wall_us = clock_boot_us() + link->clock_offset_us;
    double window_us = link->entry->settings->usage_window_s * G_USEC_PER_SEC;
    return (guint64)((double)wall_us / window_us);
}

void
usage_link_count(usage_link_t *link, const char *team)
{
    if (link == NULL || !link->set.usage || team == NULL) {
        return;
    }
    if (!usage_tally_add(link->tally, window_now(link), team, 1)) {
        counter_add(counter_get("usage_not_counted_total", NULL, FALSE), 1);
    }
}

/* ---- the report ---- */

static GArray *
service_works(const entry_t *e)
{
    GArray *works = g_array_new(FALSE, FALSE, sizeof(service_work_t));
    GHashTableIter iter;
    gpointer name;
    gpointer value;
    g_hash_table_iter_init(&iter, e->services);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        const service_state_t *use = value;
        const service_t *service = route_config_service(e->config, name);
        if (service == NULL || service->slots == 0) {
            continue;
        }
        service_work_t work = {
            .service = name,
            .running = directory_running(e->directory, name),
            .arrived = use->arrived,
            .turned_away = use->turned_away,
            .read_tokens = use->read_tokens,
            .tokens_per_ms = engine_model_tokens_per_ms(&use->engine),
        };
        g_array_append_val(works, work);
    }
    return works;
}

static void
report(usage_link_t *link)
{
    entry_t *e = link->entry;
    usage_report_t report = {
        .from = e->settings->instance,
        .incarnation = link->incarnation,
        .windows = usage_tally_windows(link->tally),
    };
    if (link->set.capacity) {
        report.works = service_works(e);
        report.supplies = directory_supplies(e->directory, entry_now(e));
    }
    GBytes *body = usage_report_write(&report);
    g_ptr_array_unref(report.windows);
    g_clear_pointer(&report.works, g_array_unref);
    g_clear_pointer(&report.supplies, g_array_unref);
    link->sent_us = clock_boot_us();
    if (!inner_line_post(link->line, USAGE_PATH, body, ANSWER_TIMEOUT_US)) {
        link_wait(link, IDLE_RETRY_US);
    }
    g_bytes_unref(body);
}

/* Estimates the offset: the answer was written about halfway between the
 * report and now, since each direction takes some milliseconds. */
static void
update_clock_offset(usage_link_t *link, gint64 wall_us)
{
    gint64 now = clock_boot_us();
    link->clock_offset_us =
        wall_us - (link->sent_us + (now - link->sent_us) / 2);
}

static void
on_answered(void *user, guint status, GBytes *body)
{
    usage_link_t *link = user;
    usage_answer_t answer;
    if (status != 200 || !usage_answer_read(body, &answer)) {
        link_wait(link, IDLE_RETRY_US); /* the leader has changed */
        return;
    }
    update_clock_offset(link, answer.wall_us);
    if (answer.finalized_through != 0) {
        usage_tally_drop_through(link->tally, answer.finalized_through);
    }
    gint64 since = clock_boot_us() - link->sent_us;
    link_wait(link, MAX(answer.report_interval_ms * (gint64)MS - since,
                        PAUSE_MIN_US));
}

static void
on_failed(void *user)
{
    counter_add(counter_get("usage_reports_failed_total", NULL, FALSE), 1);
    link_wait(user, IDLE_RETRY_US); /* the next report repeats the counts */
}

static const inner_line_ops_t USAGE_OPS = {.answered = on_answered,
                                           .failed = on_failed};

static gboolean
connect_to(usage_link_t *link, const char *address)
{
    if (g_strcmp0(link->address, address) == 0) {
        return link->line != NULL;
    }
    entry_t *e = link->entry;
    inner_line_setup_t setup = {.poller = e->poller,
                                .timers = e->timers,
                                .peer = USAGE_PEER_LIMITS,
                                .answer_max = ANSWER_MAX,
                                .ops = &USAGE_OPS,
                                .user = link,
                                .traffic = e->traffic,
                                .kind = TRAFFIC_USAGE};
    g_clear_pointer(&link->line, inner_line_destroy);
    g_free(link->address);
    link->address = g_strdup(address);
    link->line = inner_line_create(&setup, address);
    if (event_log_begin(EVENT_STATE, "usage_reported_to")) {
        event_log_cstr("control", address);
        event_log_end();
    }
    return link->line != NULL;
}

static void
on_due(void *data)
{
    usage_link_t *link = data;
    entry_t *e = link->entry;
    const char *leader = control_links_leader(e);
    link->timer = 0;
    if (e->config == NULL || leader == NULL || !connect_to(link, leader)) {
        link_wait(link, IDLE_RETRY_US);
        return;
    }
    report(link);
}

/* ---- create and destroy ---- */

usage_link_t *
usage_link_create(entry_t *e)
{
    duty_set_t set;
    if (platform_duties_decode(e->settings->duties, &set) != PLATFORM_OK ||
        !set.any) {
        return NULL; /* the settings were validated: none of the duties needs
                        reports */
    }
    usage_link_t *link = g_new0(usage_link_t, 1);
    link->entry = e;
    link->set = set;
    link->incarnation = (guint64)g_random_int() << 32 | g_random_int();
    link->tally = usage_tally_create();
    link->clock_offset_us = g_get_real_time() - clock_boot_us();
    link_wait(link, IDLE_RETRY_US);
    return link;
}

void
usage_link_destroy(usage_link_t *link)
{
    timers_cancel(link->entry->timers, link->timer);
    g_clear_pointer(&link->line, inner_line_destroy);
    usage_tally_destroy(link->tally);
    g_free(link->address);
    g_free(link);
}

void
usage_link_dump(const usage_link_t *link, GString *text)
{
    g_string_append_printf(
        text, "usage reported to %s, local clock off by %ld ms\n",
        link->address != NULL ? link->address : "none",
        (long)((g_get_real_time() - clock_boot_us() - link->clock_offset_us) /
               MS));
}
