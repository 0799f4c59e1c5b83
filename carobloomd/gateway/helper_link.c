/* Announces this instance to the control instances, and learns from them of
 * other entry instances that open tunnels for it. */
#include "carobloom/common/counters.h"
#include "carobloom/gateway/helper_wire.h"
#include "carobloom/gateway/inner_line.h"
#include "entry_state.h"

enum {
    MS = 1000,
    /* Until an announcement that failed is repeated. */
    ANNOUNCE_RETRY_US = 500 * MS,
    /* Interval between two checks of what control instances know, while they
     * know all. */
    ANNOUNCE_TICK_US = 5000 * MS,
    /* A restart of a large fleet spreads its first announcements. */
    ANNOUNCE_DELAY_PER_ENTRY_US = 10 * MS,
    ANNOUNCE_TIMEOUT_US = 1000 * MS,
    /* The known helpers are replaced this often. */
    REFRESH_INTERVAL_US = 30 * G_USEC_PER_SEC,
    /* The same while none is known, or none is usable where one is needed. */
    REFRESH_URGENT_US = 500 * MS,
    ANSWER_MAX = 8192,
};

static const http_peer_limits_t ANNOUNCE_LIMITS = {.connect_us = 600 * MS,
                                                   .head_max = 4096};

/* A control instance, and what it was told. */
typedef struct {
    guint64 epoch;
    guint announced; /* version of what it was told; 0: nothing yet */
} told_control_t;

struct helper_link {
    entry_t *entry;
    helper_set_t *helpers;
    GHashTable *controls; /* address -> told_control_t */
    guint version;        /* of what is announced */
    gboolean can_help;
    gboolean wants_helper; /* none was usable when one was needed */
    guint64 timer;
    gint64 first_announce_us;
    gint64 refreshed_us;
    inner_line_t *line; /* NULL: no announcement is in flight */
    char *line_address;
    guint line_version;
    gboolean line_done; /* to be destroyed */
    guint64 tunnels;    /* opened, for their names */
};

static void announce_tick(void *data);

static void
announce_schedule(helper_link_t *link, gint64 delay_us)
{
    timers_cancel(link->entry->timers, link->timer);
    link->timer = timers_subscribe(link->entry->timers, delay_us, 0,
                                   announce_tick, link);
}

static gboolean
has_usable_helper(const helper_link_t *link)
{
    return helper_set_pick(link->helpers, 0, entry_now(link->entry)) != NULL;
}

helper_t *
helper_link_pick(helper_link_t *link)
{
    entry_t *e = link->entry;
    helper_t *helper =
        helper_set_pick(link->helpers, g_rand_int(e->random), entry_now(e));
    if (helper == NULL &&
        entry_now(e) - link->refreshed_us > (gint64)REFRESH_URGENT_US &&
        link->line == NULL) {
        link->wants_helper = TRUE;
        announce_schedule(link, 0);
    }
    return helper;
}

helper_t *
helper_link_find(helper_link_t *link, const char *address)
{
    return helper_set_find(link->helpers, address);
}

client_call_t *
helper_link_call(helper_link_t *link, const helper_t *helper,
                 const tunnel_call_t *call, const client_call_ops_t *ops,
                 void *user)
{
    const char *instance = link->entry->settings->instance;
    char *name =
        g_strdup_printf("%s/%" G_GUINT64_FORMAT, instance, ++link->tunnels);
    tunnel_open_t open = {.from = (char *)instance,
                          .tunnel = name,
                          .endpoint = (char *)call->endpoint,
                          .token = helper->info.token};
    http_tunnel_t tunnel = {.address = helper->info.address,
                            .open = &open,
                            .open_us = call->open_us};
    client_call_t *made = client_call_create_in_tunnel(
        call->peer, &tunnel, call->request, call->bytes, call->head_request,
        ops, user);
    g_free(name);
    return made;
}

static void
on_announced(void *user, guint status, GBytes *body)
{
    helper_link_t *link = user;
    GArray *infos = status == 200 ? helpers_answer_read(body) : NULL;
    told_control_t *told =
        g_hash_table_lookup(link->controls, link->line_address);
    link->line_done = TRUE;
    announce_schedule(link, 0);
    /* One that does not know the call is not asked again at once. */
    if (told != NULL) {
        told->announced = link->line_version;
    }
    if (infos == NULL) {
        counter_add(counter_get("helpers_malformed_total", NULL, FALSE), 1);
        return;
    }
    helper_set_update(link->helpers, (helper_info_t *)infos->data, infos->len);
    counter_set(counter_get("helpers", NULL, TRUE),
                helper_set_count(link->helpers));
    g_array_unref(infos);
}

static void
on_announce_failed(void *user)
{
    helper_link_t *link = user;
    link->line_done = TRUE;
    announce_schedule(link, ANNOUNCE_RETRY_US);
}

static const inner_line_ops_t ANNOUNCE_OPS = {.answered = on_announced,
                                              .failed = on_announce_failed};

static void
announce_to(helper_link_t *link, const char *address)
{
    entry_t *e = link->entry;
    inner_line_setup_t setup = {.poller = e->poller,
                                .timers = e->timers,
                                .peer = ANNOUNCE_LIMITS,
                                .answer_max = ANSWER_MAX,
                                .ops = &ANNOUNCE_OPS,
                                .user = link,
                                .traffic = e->traffic,
                                .kind = TRAFFIC_HELPERS};
    helpers_request_t request = {
        .self = {.instance = e->settings->instance,
                 .address = (char *)tunnel_server_address(e->tunnel_server),
                 .data_centre = e->settings->data_centre,
                 .token = tunnel_server_token(e->tunnel_server)},
        .can_help = link->can_help,
    };
    link->line = inner_line_create(&setup, address);
    link->line_address = g_strdup(address);
    link->line_version = link->version;
    link->refreshed_us = entry_now(e);
    link->wants_helper = FALSE;
    GBytes *body = helpers_request_write(&request);
    if (link->line == NULL || !inner_line_post(link->line, HELPERS_PATH, body,
                                               ANNOUNCE_TIMEOUT_US)) {
        on_announce_failed(link);
    }
    g_bytes_unref(body);
}

static void
line_clear(helper_link_t *link)
{
    g_clear_pointer(&link->line, inner_line_destroy);
    g_clear_pointer(&link->line_address, g_free);
    link->line_done = FALSE;
}

static gboolean
is_refresh_due(const helper_link_t *link)
{
    gint64 age_us = entry_now(link->entry) - link->refreshed_us;
    gboolean is_urgent = helper_set_count(link->helpers) == 0 ||
                         (link->wants_helper && !has_usable_helper(link));
    return age_us > (is_urgent ? REFRESH_URGENT_US : REFRESH_INTERVAL_US);
}

/* A control instance that does not know what is announced, or any one if the
 * helpers are due to be replaced; NULL: none. The start is random, so that one
 * that does not answer holds up none of the others. */
static const char *
next_control(const helper_link_t *link)
{
    GRand *random = link->entry->random;
    gboolean refresh = is_refresh_due(link);
    guint count = g_hash_table_size(link->controls);
    guint skipped =
        count > 0 ? (guint)g_rand_int_range(random, 0, (gint)count) : 0;
    const char *chosen = NULL;
    GHashTableIter iter;
    gpointer address;
    gpointer value;
    g_hash_table_iter_init(&iter, link->controls);
    for (guint i = 0; g_hash_table_iter_next(&iter, &address, &value); i++) {
        const told_control_t *told = value;
        if ((refresh || told->announced != link->version) &&
            (chosen == NULL || i == skipped)) {
            chosen = address;
        }
    }
    return chosen;
}

static void
announce_tick(void *data)
{
    helper_link_t *link = data;
    link->timer = 0;
    if (link->line_done) {
        line_clear(link);
    }
    if (link->line != NULL) {
        return; /* its end schedules the next */
    }
    gint64 delay_us = link->first_announce_us - entry_now(link->entry);
    if (delay_us > 0) {
        announce_schedule(link, delay_us);
        return;
    }
    const char *address = next_control(link);
    if (address != NULL) {
        announce_to(link, address);
        return;
    }
    announce_schedule(link, helper_set_count(link->helpers) > 0
                                ? ANNOUNCE_TICK_US
                                : REFRESH_URGENT_US);
}

void
helper_link_update_control(helper_link_t *link, const char *address,
                           guint64 epoch)
{
    entry_t *e = link->entry;
    told_control_t *told = g_hash_table_lookup(link->controls, address);
    if (told != NULL && told->epoch == epoch) {
        return;
    }
    if (link->first_announce_us == 0) {
        gint64 spread_us =
            (gint64)e->entries * (gint64)ANNOUNCE_DELAY_PER_ENTRY_US;
        link->first_announce_us =
            entry_now(e) +
            (gint64)(g_rand_double(e->random) * (double)spread_us);
    }
    told = g_new0(told_control_t, 1);
    told->epoch = epoch;
    g_hash_table_replace(link->controls, g_strdup(address), told);
    if (link->line == NULL) {
        announce_schedule(link, ANNOUNCE_RETRY_US);
    }
}

void
helper_link_remove_control(helper_link_t *link, const char *address)
{
    g_hash_table_remove(link->controls, address);
}

void
helper_link_set_can_help(helper_link_t *link, gboolean can_help)
{
    if (link->can_help != can_help) {
        link->can_help = can_help;
        link->version++;
        announce_schedule(link, 0);
    }
}

helper_link_t *
helper_link_create(entry_t *e)
{
    helper_link_t *link = g_new0(helper_link_t, 1);
    link->entry = e;
    link->version = 1;
    link->can_help = TRUE;
    link->helpers = helper_set_create(e->settings->data_centre);
    link->controls =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return link;
}

void
helper_link_destroy(helper_link_t *link)
{
    timers_cancel(link->entry->timers, link->timer);
    line_clear(link);
    g_hash_table_unref(link->controls);
    helper_set_destroy(link->helpers);
    g_free(link);
}

guint
helper_link_count(const helper_link_t *link)
{
    return helper_set_count(link->helpers);
}

void
helper_link_dump(const helper_link_t *link, GString *text)
{
    gint64 now = entry_now(link->entry);
    for (guint i = 0; i < helper_set_count(link->helpers); i++) {
        const helper_t *helper = helper_set_at(link->helpers, i);
        g_string_append_printf(
            text, "helper %s %s %s, %s, %u requests\n", helper->info.instance,
            helper->info.address, helper->info.data_centre,
            now < helper->unusable_until_us ? "unusable" : "usable",
            helper->tunnels);
    }
    g_string_append_printf(text, "tunnels served %u\n",
                           tunnel_server_count(link->entry->tunnel_server));
}
