/* Rate limits that endpoints announce. Reports them to their owners among the
 * control instances, and requests grants from the owners ahead of time for the
 * sends that this instance may make. */
#include <string.h>

#include "carobloom/common/clock.h"
#include "carobloom/common/counters.h"
#include "carobloom/common/event_log.h"
#include "carobloom/gateway/inner_line.h"
#include "carobloom/gateway/limit_wire.h"
#include "carobloom/policy/rendezvous.h"
#include "carobloom/policy/voter.h"
#include "entry_state.h"

enum {
    MS = 1000,
    /* Interval of the check for expired grants and of repeated requests to
     * owners that did not answer, while any limit is in force. */
    TICK_INTERVAL_US = 100 * MS,
    /* Minimum interval between two requests to one owner. For grants the owner
     * may set a longer one. */
    REQUEST_INTERVAL_US = 100 * MS,
    REQUEST_JITTER_US = 30 * MS,
    /* A request without an answer is sent again after this time. */
    ANSWER_TIMEOUT_US = 400 * MS,
    RETRY_DELAY_US = 200 * MS,
    /* Consecutive failed requests after which the owner counts as lost. */
    FAILURES_MAX = 2,
    ANSWER_MAX = 64 * 1024,
    /* If a caller's request finds no endpoint, grants are requested for this
     * many limited endpoints. If they were requested for all, the traffic
     * would grow with the number of instances times the number of limited
     * endpoints. */
    DENIED_MAX = 4,
};

static const http_peer_limits_t OWNER_PEER_LIMITS = {
    .connect_us = ANSWER_TIMEOUT_US,
    .idle_us = 2 * G_USEC_PER_SEC,
    .idle_max = 1,
    .head_max = 4096,
};

/* A control instance that may own limits, and the connection to it. */
typedef struct {
    limit_link_t *link;
    char *address;
    guint64 hash;
    inner_line_t *line;
    guint64 timer;    /* of the next request; 0: none is scheduled */
    GArray *requests; /* limit_request_t in flight, or NULL */
    gint64 sent_us;
    gint64 next_grants_us; /* time before which no grants are requested */
    guint failures;        /* consecutive failed requests */
} owner_t;

struct limit_link {
    entry_t *entry;
    guint64 incarnation;
    guint64 sequence;  /* of the last request */
    GPtrArray *owners; /* owner_t * */
    guint64 tick;      /* timer of the periodic check; 0: nothing to check */
};

gint64
limit_link_now(void)
{
    return clock_boot_us();
}

/* ---- owners ---- */

static gboolean
is_lost(const owner_t *owner)
{
    return owner->failures >= FAILURES_MAX;
}

/* Returns the control instance that owns an endpoint's limit, chosen among all
 * of them, or among those that are not lost if `reachable` is set. NULL: there
 * is none. */
static owner_t *
owner_among(const limit_link_t *link, guint64 endpoint, gboolean reachable)
{
    owner_t *candidates[VOTER_MEMBERS_MAX];
    guint64 hashes[VOTER_MEMBERS_MAX];
    guint count = 0;
    for (guint i = 0; i < link->owners->len && count < VOTER_MEMBERS_MAX;
         i++) {
        owner_t *owner = link->owners->pdata[i];
        if (!reachable || !is_lost(owner)) {
            candidates[count] = owner;
            hashes[count++] = owner->hash;
        }
    }
    gssize best = rendezvous_owner(endpoint, hashes, count);
    return best >= 0 ? candidates[best] : NULL;
}

static owner_t *
owner_of(const limit_link_t *link, guint64 endpoint)
{
    return owner_among(link, endpoint, FALSE);
}

/* Returns the control instance that publishes an endpoint's limit to all entry
 * instances: its owner, or while the owner is lost the next one in the same
 * ranking. */
static owner_t *
relay_of(const limit_link_t *link, guint64 endpoint)
{
    return owner_among(link, endpoint, TRUE);
}

static endpoint_t *
endpoint_at(const limit_link_t *link, guint at)
{
    return directory_limits(link->entry->directory)->pdata[at];
}

static guint
limit_count(const limit_link_t *link)
{
    return directory_limits(link->entry->directory)->len;
}

/* Schedules sends without grants to the endpoints whose limits are owned by
 * `owner`, which does not answer. `owner` is NULL if no control instance is
 * known. */
static void
send_without_owner(const limit_link_t *link, const owner_t *owner)
{
    const entry_t *e = link->entry;
    gint64 now = limit_link_now();
    for (guint i = 0; i < limit_count(link); i++) {
        endpoint_t *endpoint = endpoint_at(link, i);
        if (owner_of(link, endpoint->hash) == owner) {
            endpoint_limit_owner_lost(
                endpoint->limit, instance_count_get(&e->sharing_instances),
                g_rand_double(e->random), now);
        }
    }
}

/* ---- requests to one owner ---- */

/* Returns whether an update or a grant request to the owner is due. */
static gboolean
is_request_due(const owner_t *owner, const endpoint_t *e, gint64 now)
{
    return endpoint_limit_has_update(e->limit) ||
           (now >= owner->next_grants_us &&
            endpoint_limit_needs_grants(e->limit, now));
}

/* Returns whether a report to the relay of the limit is due. */
static gboolean
is_report_due(const owner_t *owner, const endpoint_t *e)
{
    return endpoint_limit_has_report(e->limit) &&
           relay_of(owner->link, e->hash) == owner;
}

static void owner_on_timer(void *data);

static void
owner_schedule(owner_t *owner, gint64 us)
{
    timers_t *timers = owner->link->entry->timers;
    timers_cancel(timers, owner->timer);
    owner->timer =
        timers_subscribe(timers, MAX(us, 0), 0, owner_on_timer, owner);
}

/* Returns the endpoint with a limit that has this hash, or NULL. */
static endpoint_t *
endpoint_find(const limit_link_t *link, guint64 hash)
{
    for (guint i = 0; i < limit_count(link); i++) {
        endpoint_t *e = endpoint_at(link, i);
        if (e->hash == hash) {
            return e;
        }
    }
    return NULL;
}

static void
owner_failed(owner_t *owner)
{
    const limit_link_t *link = owner->link;
    for (guint i = 0; owner->requests != NULL && i < owner->requests->len;
         i++) {
        const endpoint_t *e = endpoint_find(
            link, g_array_index(owner->requests, limit_request_t, i).endpoint);
        if (e != NULL && owner_of(link, e->hash) == owner) {
            e->limit->update_due = TRUE;
        }
        else if (e != NULL) {
            e->limit->relay_report_due = TRUE;
        }
    }
    g_clear_pointer(&owner->requests, g_array_unref);
    counter_add(counter_get("limit_asks_failed_total", NULL, FALSE), 1);
    owner->failures++;
    if (owner->failures == FAILURES_MAX &&
        event_log_begin(EVENT_STATE, "limit_owner_lost")) {
        event_log_cstr("control", owner->address);
        event_log_end();
    }
    if (is_lost(owner)) {
        send_without_owner(link, owner);
    }
    owner_schedule(owner, RETRY_DELAY_US);
}

static void
apply_grant(const owner_t *owner, const limit_grant_t *grant)
{
    entry_t *e = owner->link->entry;
    endpoint_t *endpoint = endpoint_find(owner->link, grant->state.endpoint);
    if (endpoint == NULL || owner_of(owner->link, endpoint->hash) != owner) {
        return;
    }
    endpoint_limit_t *l = endpoint->limit;
    limit_change_t change =
        endpoint_limit_apply_grant(l, grant, owner->sent_us, limit_link_now());
    limit_log_change(e, endpoint, change, owner->address);
    limit_share_record_granted(
        &entry_service_state(e, endpoint->service)->limit_share,
        grant->granted, entry_now(e));
}

static void
on_answered(void *user, guint status, GBytes *body)
{
    owner_t *owner = user;
    limit_answer_t answer;
    if (status != 200 || !limit_answer_read(body, &answer)) {
        owner_failed(owner);
        return;
    }
    for (guint i = 0; i < answer.grants->len; i++) {
        apply_grant(owner, &g_array_index(answer.grants, limit_grant_t, i));
    }
    if (is_lost(owner) && event_log_begin(EVENT_STATE, "limit_owner_found")) {
        event_log_cstr("control", owner->address);
        event_log_end();
    }
    owner->failures = 0;
    owner->next_grants_us =
        owner->sent_us + answer.report_interval_ms * (gint64)MS;
    limit_answer_clear(&answer);
    g_clear_pointer(&owner->requests, g_array_unref);
    gint64 elapsed_us = limit_link_now() - owner->sent_us;
    /* Jitter: at a fixed interval the same instance could always be the first
     * to request after the owner had something to grant. */
    gint64 pause_us =
        REQUEST_INTERVAL_US +
        g_rand_int_range(owner->link->entry->random, 0, REQUEST_JITTER_US);
    owner_schedule(owner, pause_us - elapsed_us);
}

static void
on_failed(void *user)
{
    owner_failed(user);
}

static const inner_line_ops_t OWNER_OPS = {.answered = on_answered,
                                           .failed = on_failed};

/* Returns FALSE if nothing is due to this control instance. */
static gboolean
fill_request(const owner_t *owner, const endpoint_t *e,
             limit_request_t *request, gint64 now)
{
    *request = (limit_request_t){.endpoint = e->hash};
    if (owner_of(owner->link, e->hash) == owner) {
        if (!is_request_due(owner, e, now)) {
            return FALSE;
        }
        endpoint_limit_fill_request(e->limit, request, now);
        return TRUE;
    }
    if (!is_report_due(owner, e)) {
        return FALSE;
    }
    endpoint_limit_fill_report(e->limit, request, now);
    return TRUE;
}

/* Returns the updates, reports and grant requests that are due. */
static GArray *
collect_requests(const owner_t *owner)
{
    const limit_link_t *link = owner->link;
    gint64 now = limit_link_now();
    GArray *requests = g_array_new(FALSE, FALSE, sizeof(limit_request_t));
    for (guint i = 0;
         i < limit_count(link) && requests->len < LIMIT_REQUESTS_MAX; i++) {
        limit_request_t request;
        if (fill_request(owner, endpoint_at(link, i), &request, now)) {
            g_array_append_val(requests, request);
        }
    }
    return requests;
}

static void
owner_send(owner_t *owner)
{
    const entry_t *e = owner->link->entry;
    limit_report_t report = {.from = e->settings->instance,
                             .incarnation = owner->link->incarnation,
                             .sequence = ++owner->link->sequence,
                             .requests = owner->requests};
    GBytes *body = limit_report_write(&report);
    owner->sent_us = limit_link_now();
    gboolean posted =
        inner_line_post(owner->line, LIMITS_PATH, body, ANSWER_TIMEOUT_US);
    g_bytes_unref(body);
    if (!posted) {
        owner_failed(owner);
    }
}

static void
owner_on_timer(void *data)
{
    owner_t *owner = data;
    owner->timer = 0;
    if (inner_line_is_busy(owner->line)) {
        owner_schedule(owner, RETRY_DELAY_US);
        return;
    }
    owner->requests = collect_requests(owner);
    if (owner->requests->len == 0) {
        g_clear_pointer(&owner->requests, g_array_unref);
        return;
    }
    owner_send(owner);
}

/* Schedules a request to be sent at once, unless one is already scheduled or
 * in flight. */
static void
owner_request_soon(owner_t *owner)
{
    if (owner->timer == 0 && !inner_line_is_busy(owner->line)) {
        owner_schedule(owner, 0);
    }
}

static void
owner_free(gpointer data)
{
    owner_t *owner = data;
    timers_cancel(owner->link->entry->timers, owner->timer);
    inner_line_destroy(owner->line);
    g_clear_pointer(&owner->requests, g_array_unref);
    g_free(owner->address);
    g_free(owner);
}

/* Returns NULL if the address is invalid. */
static owner_t *
owner_create(limit_link_t *link, const char *address)
{
    entry_t *e = link->entry;
    owner_t *owner = g_new0(owner_t, 1);
    inner_line_setup_t setup = {.poller = e->poller,
                                .timers = e->timers,
                                .peer = OWNER_PEER_LIMITS,
                                .answer_max = ANSWER_MAX,
                                .ops = &OWNER_OPS,
                                .user = owner,
                                .traffic = e->traffic,
                                .kind = TRAFFIC_LIMITS};
    owner->line = inner_line_create(&setup, address);
    if (owner->line == NULL) {
        g_free(owner);
        return NULL;
    }
    owner->link = link;
    owner->address = g_strdup(address);
    owner->hash = hash_text(str_from_cstr(address));
    return owner;
}

/* ---- all limits ---- */

static void
wake_owner(const limit_link_t *link, const endpoint_t *e)
{
    owner_t *owner = owner_of(link, e->hash);
    if (owner != NULL && is_request_due(owner, e, limit_link_now())) {
        owner_request_soon(owner);
    }
    if (owner == NULL || !is_lost(owner)) {
        return;
    }
    owner_t *relay = relay_of(link, e->hash);
    if (relay != NULL && is_report_due(relay, e)) {
        owner_request_soon(relay);
    }
}

static void
wake_owners(limit_link_t *link)
{
    gint64 now = limit_link_now();
    for (guint i = 0; i < limit_count(link); i++) {
        endpoint_t *e = endpoint_at(link, i);
        endpoint_limit_expire(e->limit, now);
        wake_owner(link, e);
    }
    if (link->owners->len == 0) {
        send_without_owner(link, NULL);
    }
}

/* Returns whether the periodic check is needed for the endpoint. */
static gboolean
needs_ticks(const endpoint_t *e)
{
    return e->limit->limited || endpoint_limit_has_update(e->limit);
}

static void
on_tick(void *data)
{
    limit_link_t *link = data;
    guint limited = 0;
    gboolean needed = FALSE;
    wake_owners(link);
    for (guint i = 0; i < limit_count(link); i++) {
        const endpoint_t *e = endpoint_at(link, i);
        limited += e->limit->limited;
        needed = needed || needs_ticks(e);
    }
    counter_set(counter_get("endpoints_limited", NULL, TRUE), limited);
    if (!needed) {
        timers_cancel(link->entry->timers, link->tick);
        link->tick = 0;
    }
}

static void
tick_start(limit_link_t *link, const endpoint_t *e)
{
    if (link->tick == 0 && needs_ticks(e)) {
        link->tick = timers_subscribe(link->entry->timers, TICK_INTERVAL_US,
                                      TICK_INTERVAL_US, on_tick, link);
    }
}

static void
handle_change(limit_link_t *link, const endpoint_t *e)
{
    tick_start(link, e);
    wake_owner(link, e);
}

void
limit_link_record_limit(limit_link_t *link, endpoint_t *e, double rate,
                        gint64 sent_us)
{
    endpoint_limit_t *l = directory_limit(link->entry->directory, e);
    limit_change_t change =
        endpoint_limit_record_rate(l, rate, sent_us, limit_link_now());
    limit_log_change(link->entry, e, change, "answer");
    handle_change(link, e);
}

void
limit_link_record_unlimited(limit_link_t *link, endpoint_t *e, gint64 sent_us)
{
    limit_change_t change = endpoint_limit_record_unlimited(e->limit, sent_us);
    limit_log_change(link->entry, e, change, "answer");
    handle_change(link, e);
}

void
limit_link_record_send(limit_link_t *link, endpoint_t *e)
{
    if (!e->limit->limited) {
        return;
    }
    endpoint_limit_record_send(
        e->limit, instance_count_get(&link->entry->sharing_instances),
        limit_link_now());
    counter_add(counter_get("sends_to_limited_total", NULL, FALSE), 1);
    handle_change(link, e);
}

void
limit_link_record_denied(limit_link_t *link, endpoint_t *e)
{
    endpoint_limit_record_denied(e->limit, limit_link_now());
    counter_add(counter_get("sends_kept_by_limits_total", NULL, FALSE), 1);
    limit_log_denied(link->entry, e);
    handle_change(link, e);
}

void
limit_link_record_denied_sample(limit_link_t *link, const char *service)
{
    guint count = limit_count(link);
    guint from = g_rand_int(link->entry->random);
    guint denied = 0;
    for (guint i = 0; i < count && denied < DENIED_MAX; i++) {
        endpoint_t *e = endpoint_at(link, (from % count + i) % count);
        if (e->limit->limited && strcmp(e->service, service) == 0) {
            limit_link_record_denied(link, e);
            denied++;
        }
    }
}

limit_tokens_t
limit_link_tokens(const limit_link_t *link, const char *service)
{
    limit_tokens_t all = {.lifetime_us = LIMIT_GRANT_LIFETIME_MS * (gint64)MS};
    gint64 now = limit_link_now();
    for (guint i = 0; i < limit_count(link); i++) {
        const endpoint_t *e = endpoint_at(link, i);
        gint64 left_us = e->limit->tokens_expire_us - now;
        if (e->limit->tokens > 0 && left_us > 0 &&
            strcmp(e->service, service) == 0) {
            all.count += e->limit->tokens;
            all.left_us = MAX(all.left_us, left_us);
        }
    }
    return all;
}

double
limit_link_rate(const limit_link_t *link, const char *service)
{
    double rate = 0;
    for (guint i = 0; i < limit_count(link); i++) {
        const endpoint_t *e = endpoint_at(link, i);
        if (e->limit->limited && strcmp(e->service, service) == 0) {
            rate += e->limit->rate;
        }
    }
    return rate / instance_count_get(&link->entry->sharing_instances);
}

/* Logs limits that were received before their endpoints were known. */
static void
log_early(limit_link_t *link, const char *control)
{
    for (guint i = 0; i < limit_count(link); i++) {
        const endpoint_t *e = endpoint_at(link, i);
        if (e->limit->limited && !e->limit->logged_begun) {
            limit_log_change(link->entry, e, LIMIT_BEGUN, control);
            tick_start(link, e);
        }
    }
}

void
limit_link_apply_limits(limit_link_t *link, const GArray *states,
                        const char *control)
{
    for (guint i = 0; i < states->len; i++) {
        limit_change_t change;
        const limit_state_t *state = &g_array_index(states, limit_state_t, i);
        const endpoint_t *e = directory_apply_limit(
            link->entry->directory, state, &change, limit_link_now());
        if (e != NULL && e->limit != NULL) {
            limit_log_change(link->entry, e, change, control);
            tick_start(link, e);
        }
    }
    log_early(link, control);
}

static gboolean
has_owners(const limit_link_t *link, const GPtrArray *controls)
{
    gboolean same = link->owners->len == controls->len;
    for (guint i = 0; same && i < controls->len; i++) {
        const owner_t *owner = link->owners->pdata[i];
        same = strcmp(owner->address, controls->pdata[i]) == 0;
    }
    return same;
}

void
limit_link_set_owners(limit_link_t *link, const GPtrArray *controls)
{
    if (has_owners(link, controls)) {
        return;
    }
    g_ptr_array_set_size(link->owners, 0);
    for (guint i = 0; i < limit_count(link); i++) {
        endpoint_at(link, i)->limit->update_due = TRUE; /* for the new owner */
    }
    for (guint i = 0; i < controls->len; i++) {
        owner_t *owner = owner_create(link, controls->pdata[i]);
        if (owner != NULL) {
            g_ptr_array_add(link->owners, owner);
        }
    }
}

const char *
limit_link_owner(const limit_link_t *link, const endpoint_t *e)
{
    const owner_t *owner = owner_of(link, e->hash);
    return owner != NULL ? owner->address : NULL;
}

static void
dump_limit(const limit_link_t *link, const endpoint_t *e, GString *text)
{
    const endpoint_limit_t *l = e->limit;
    const char *owner = limit_link_owner(link, e);
    gint64 now = limit_link_now();
    g_string_append_printf(
        text,
        "limit of %s (%016" G_GINT64_MODIFIER "x): %s %.2f a second, %u "
        "granted for %ld ms, announced here %ld ms ago, %" G_GUINT64_FORMAT
        " sent, %" G_GUINT64_FORMAT " kept away, owner %s%s\n",
        e->id, e->hash, l->limited ? "in force," : "lifted,", l->rate,
        l->tokens,
        (long)(l->tokens > 0 ? (l->tokens_expire_us - now) / MS : 0),
        (long)(l->rate_received_us != 0 ? (now - l->rate_received_us) / MS
                                        : -1),
        l->sends, l->denied, owner != NULL ? owner : "none",
        l->ownerless_send_us != 0 ? ", does not answer" : "");
}

void
limit_link_dump(const limit_link_t *link, GString *text)
{
    for (guint i = 0; i < limit_count(link); i++) {
        dump_limit(link, endpoint_at(link, i), text);
    }
}

limit_link_t *
limit_link_create(entry_t *e)
{
    limit_link_t *link = g_new0(limit_link_t, 1);
    link->entry = e;
    link->incarnation = (guint64)g_random_int() << 32 | g_random_int();
    link->owners = g_ptr_array_new_with_free_func(owner_free);
    return link;
}

void
limit_link_destroy(limit_link_t *link)
{
    timers_cancel(link->entry->timers, link->tick);
    g_ptr_array_unref(link->owners);
    g_free(link);
}
