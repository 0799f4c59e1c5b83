/* Repeats: takes them from the budgets that all instances share, and requests
 * grants from the control instance that leads ahead of time. */
#include "carobloom/common/clock.h"
#include "carobloom/common/counters.h"
#include "carobloom/common/event_log.h"
#include "carobloom/gateway/inner_line.h"
#include "carobloom/gateway/repeat_wire.h"
#include "carobloom/policy/rendezvous.h"
#include "entry_state.h"

enum {
    MS = 1000,
    ANSWER_TIMEOUT_US = 400 * MS,
    /* Retry delay while no leader is known, or it does not answer. */
    RETRY_DELAY_US = 200 * MS,
    JITTER_US = 20 * MS,
    ANSWER_MAX = 256 * 1024,
    /* Minimum interval, per service, between two log lines about refused
     * repeats. */
    REFUSED_LOG_INTERVAL_US = 1000 * MS,
};

static const http_peer_limits_t GRANTOR_PEER_LIMITS = {
    .connect_us = ANSWER_TIMEOUT_US,
    .idle_us = 5 * G_USEC_PER_SEC,
    .idle_max = 1,
    .head_max = 4096,
};

struct repeat_link {
    entry_t *entry;
    GHashTable *budgets; /* service -> repeat_budget_t */
    gint64 started_us;
    guint64 incarnation;
    guint64 sequence;
    guint64 epoch; /* of the grantor that has the history of this instance */
    char *address; /* of the grantor; NULL: none yet */
    inner_line_t *line;
    guint64 timer;
    gint64 sent_us;
    repeat_pace_t pace;    /* from the last answer */
    gboolean is_answering; /* the grantor answered the last request */
    gboolean is_ending;    /* no more grants are wanted */
};

static void on_due(void *data);

static repeat_limits_t
repeat_limits(const repeat_link_t *link)
{
    return gateway_settings_repeat_limits(link->entry->settings);
}

repeat_budget_t *
repeat_link_budget(repeat_link_t *link, const char *service)
{
    repeat_budget_t *budget = g_hash_table_lookup(link->budgets, service);
    if (budget == NULL) {
        budget = g_new0(repeat_budget_t, 1);
        repeat_budget_init(budget, g_rand_double(link->entry->random));
        g_hash_table_insert(link->budgets, g_strdup(service), budget);
    }
    return budget;
}

static void
link_schedule(repeat_link_t *link, gint64 us)
{
    timers_t *timers = link->entry->timers;
    timers_cancel(timers, link->timer);
    link->timer = timers_subscribe(timers, MAX(us, 0), 0, on_due, link);
}

/* ---- requests ---- */

static void
log_grantor(const repeat_link_t *link, const char *event)
{
    if (event_log_begin(EVENT_STATE, event)) {
        event_log_cstr("control", link->address);
        event_log_end();
    }
}

static void
link_failed(repeat_link_t *link)
{
    if (link->is_answering) {
        link->is_answering = FALSE;
        log_grantor(link, "repeat_grantor_lost");
    }
    counter_add(counter_get("repeat_asks_failed_total", NULL, FALSE), 1);
    link_schedule(link, MAX(link->pace.needy_ms * (gint64)MS, RETRY_DELAY_US));
}

static gboolean
is_needy(const repeat_link_t *link)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, link->budgets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (repeat_budget_is_needy(value, clock_boot_us())) {
            return TRUE;
        }
    }
    return FALSE;
}

static gint64
next_request_us(const repeat_link_t *link)
{
    guint ms = is_needy(link) ? link->pace.needy_ms : link->pace.calm_ms;
    return link->sent_us + ms * (gint64)MS;
}

static void
drop_grants(repeat_link_t *link)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, link->budgets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        repeat_budget_drop_grants(value);
    }
}

static void
apply_grants(const repeat_link_t *link, const repeat_answer_t *answer)
{
    gint64 now = clock_boot_us();
    GHashTableIter iter;
    gpointer name;
    gpointer value;
    g_hash_table_iter_init(&iter, link->budgets);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        guint64 service = hash_text(str_from_cstr(name));
        for (guint i = 0; i < answer->grants->len; i++) {
            const repeat_grant_t *grant =
                &g_array_index(answer->grants, repeat_grant_t, i);
            if (grant->service != service) {
                continue;
            }
            if (grant->brittle >= 0) {
                slot_link_record_told(link->entry->slot_link, name,
                                      grant->brittle);
            }
            repeat_budget_apply_grant(value, grant, link->sent_us,
                                      answer->pace.lifetime_ms * (gint64)MS,
                                      now);
        }
    }
}

static void
on_answered(void *user, guint status, GBytes *body)
{
    repeat_link_t *link = user;
    repeat_answer_t answer;
    if (status != 200 || !repeat_answer_read(body, &answer)) {
        link_failed(link);
        return;
    }
    if (!link->is_answering) {
        link->is_answering = TRUE;
        log_grantor(link, "repeat_grantor_found");
    }
    gboolean is_known = link->epoch == 0 || link->epoch == answer.epoch;
    link->pace = answer.pace;
    if (!is_known) {
        /* It doesn't know this instance. */
        link->epoch = 0;
        drop_grants(link);
        repeat_answer_clear(&answer);
        link_schedule(link, 0);
        return;
    }
    link->epoch = answer.epoch;
    apply_grants(link, &answer);
    repeat_answer_clear(&answer);
    /* Jitter: in step, the same instance could always be the first to ask. */
    gint64 jitter_us = g_rand_int_range(link->entry->random, 0, JITTER_US);
    link_schedule(link, next_request_us(link) - clock_boot_us() + jitter_us);
}

static void
on_failed(void *user)
{
    link_failed(user);
}

static const inner_line_ops_t GRANTOR_OPS = {.answered = on_answered,
                                             .failed = on_failed};

static GArray *
collect_items(repeat_link_t *link)
{
    GArray *items = g_array_new(FALSE, FALSE, sizeof(repeat_item_t));
    repeat_limits_t limits = repeat_limits(link);
    gint64 now = clock_boot_us();
    GHashTableIter iter;
    gpointer name;
    gpointer value;
    g_hash_table_iter_init(&iter, link->budgets);
    while (items->len < REPEAT_SERVICES_MAX &&
           g_hash_table_iter_next(&iter, &name, &value)) {
        repeat_item_t item = {
            .request = {.service = hash_text(str_from_cstr(name))},
            .has_history = link->epoch == 0,
        };
        repeat_budget_fill_request(value, &item.request, now);
        if (item.has_history) {
            repeat_budget_history(value, &limits, item.history, now);
        }
        g_array_append_val(items, item);
    }
    return items;
}

/* Has grants ready before the first request of a service. */
static void
create_budgets(repeat_link_t *link)
{
    const GPtrArray *services = link->entry->config->services;
    for (guint i = 0; i < services->len; i++) {
        repeat_link_budget(link,
                           ((const service_t *)services->pdata[i])->name);
    }
}

static void
request_grants(repeat_link_t *link)
{
    const entry_t *e = link->entry;
    create_budgets(link);
    link->sent_us = clock_boot_us();
    repeat_report_t report = {
        .from = e->settings->instance,
        .incarnation = link->incarnation,
        .sequence = ++link->sequence,
        .epoch = link->epoch,
        .age_ms = (guint32)((link->sent_us - link->started_us) / MS),
        .instances = instance_count_get(&e->sharing_instances),
        .is_ending = link->is_ending,
        .items = collect_items(link),
    };
    GBytes *body = repeat_report_write(&report);
    g_array_unref(report.items);
    gboolean posted =
        inner_line_post(link->line, REPEATS_PATH, body, ANSWER_TIMEOUT_US);
    g_bytes_unref(body);
    if (!posted) {
        link_failed(link);
    }
}

static gboolean
connect_to(repeat_link_t *link, const char *address)
{
    if (g_strcmp0(link->address, address) == 0) {
        return link->line != NULL;
    }
    entry_t *e = link->entry;
    inner_line_setup_t setup = {.poller = e->poller,
                                .timers = e->timers,
                                .peer = GRANTOR_PEER_LIMITS,
                                .answer_max = ANSWER_MAX,
                                .ops = &GRANTOR_OPS,
                                .user = link,
                                .traffic = e->traffic,
                                .kind = TRAFFIC_REPEATS};
    g_clear_pointer(&link->line, inner_line_destroy);
    g_free(link->address);
    link->address = g_strdup(address);
    link->line = inner_line_create(&setup, address);
    link->is_answering = FALSE;
    return link->line != NULL;
}

static void
on_due(void *data)
{
    repeat_link_t *link = data;
    const char *leader = control_links_leader(link->entry);
    link->timer = 0;
    if (leader == NULL || link->entry->config == NULL ||
        !connect_to(link, leader)) {
        link_schedule(link, RETRY_DELAY_US);
        return;
    }
    if (!inner_line_is_busy(link->line)) {
        request_grants(link);
    }
}

/* Requests grants as soon as the pace allows. */
static void
request_soon(repeat_link_t *link)
{
    if (link->is_answering && !inner_line_is_busy(link->line)) {
        link_schedule(link, next_request_us(link) - clock_boot_us());
    }
}

/* ---- repeats ---- */

static void
log_refused(repeat_link_t *link, const char *service, repeat_budget_t *budget,
            const repeat_take_t *take)
{
    const entry_t *e = link->entry;
    repeat_limits_t limits = repeat_limits(link);
    gint64 now = clock_boot_us();
    if (now - budget->logged_us < REFUSED_LOG_INTERVAL_US ||
        !event_log_begin(EVENT_FAILURE, "repeat_refused")) {
        return;
    }
    budget->logged_us = now;
    event_log_text("request", take->request);
    event_log_cstr("reason", take->reason);
    event_log_cstr("service", service);
    event_log_number("rank", take->rank);
    event_log_number("left_own", repeat_budget_own(budget, &limits, now));
    event_log_number("left_granted", repeat_budget_granted(budget, now));
    event_log_number("spent", budget->all_spent);
    event_log_number("allowed", budget->all_allowed);
    event_log_number("told_age_ms", budget->answered_us != 0
                                        ? (now - budget->answered_us) / MS
                                        : -1);
    event_log_number("instances", instance_count_get(&e->sharing_instances));
    event_log_number(
        "instances_age_ms",
        instance_count_age_ms(&e->sharing_instances, entry_now(e)));
    event_log_end();
}

void
repeat_link_record_first(repeat_link_t *link, repeat_budget_t *budget)
{
    repeat_limits_t limits = repeat_limits(link);
    repeat_budget_record_first(budget, &limits, clock_boot_us());
}

gboolean
repeat_link_take(repeat_link_t *link, const char *service,
                 const repeat_take_t *take)
{
    repeat_budget_t *budget = repeat_link_budget(link, service);
    repeat_limits_t limits = repeat_limits(link);
    gint64 now = clock_boot_us();
    gboolean taken = repeat_budget_take(budget, &limits, take->rank, now);
    if (!taken) {
        counter_add(counter_get("repeats_refused_total", NULL, FALSE), 1);
        log_refused(link, service, budget, take);
    }
    if (repeat_budget_is_needy(budget, now)) {
        request_soon(link);
    }
    return taken;
}

void
repeat_link_end(repeat_link_t *link)
{
    link->is_ending = TRUE;
    drop_grants(link);
    if (link->is_answering && !inner_line_is_busy(link->line)) {
        link_schedule(link, 0);
    }
}

/* ---- create and destroy ---- */

void
repeat_link_dump(repeat_link_t *link, GString *text)
{
    repeat_limits_t limits = repeat_limits(link);
    gint64 now = clock_boot_us();
    GHashTableIter iter;
    gpointer name;
    gpointer value;
    g_string_append_printf(text, "repeats granted by %s%s\n",
                           link->address != NULL ? link->address : "none",
                           link->is_answering ? "" : ", does not answer");
    g_hash_table_iter_init(&iter, link->budgets);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        repeat_budget_t *b = value;
        g_string_append_printf(
            text,
            "repeats of %s: %u own and %u granted left, %u first sends, %u "
            "repeats; of all instances %u of %u, %ld ms ago\n",
            (const char *)name, repeat_budget_own(b, &limits, now),
            repeat_budget_granted(b, now), b->firsts,
            b->own_spent + b->granted_spent, b->all_spent, b->all_allowed,
            (long)(b->answered_us != 0 ? (now - b->answered_us) / MS : -1));
    }
}

repeat_link_t *
repeat_link_create(entry_t *e)
{
    repeat_link_t *link = g_new0(repeat_link_t, 1);
    link->entry = e;
    link->budgets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    link->started_us = clock_boot_us();
    link->incarnation = (guint64)g_random_int() << 32 | g_random_int();
    link->pace = repeat_pace(1);
    link_schedule(link, RETRY_DELAY_US);
    return link;
}

void
repeat_link_destroy(repeat_link_t *link)
{
    timers_cancel(link->entry->timers, link->timer);
    g_clear_pointer(&link->line, inner_line_destroy);
    g_hash_table_unref(link->budgets);
    g_free(link->address);
    g_free(link);
}
