#include "carobloom/control/control.h"

#include <jansson.h>
#include <string.h>

#include "carobloom/common/clock.h"
#include "carobloom/common/counters.h"
#include "carobloom/common/event_log.h"
#include "carobloom/control/config_log.h"
#include "carobloom/gateway/sync_wire.h"
#include "carobloom/http/client.h"
#include "carobloom/http/server.h"
#include "carobloom/policy/registry.h"
#include "carobloom/version/site_state.h"
#include "platform.h"

enum {
    MS = 1000,
    EXPIRE_US = 200 * MS,
    /* An entry instance that asked within this time counts as one. */
    ENTRY_FRESH_US = 3000 * MS,
    /* Texts kept to send the next as a splice: a storm of changes brings
     * three a second, and an entry instance asks at least once a second. */
    TEXTS_KEPT = 16,
    /* Letters to one voter under way; more are dropped, the log sends them
     * again. */
    LETTERS_MAX = 16,
    LETTER_US = 700 * MS,
    MAILBOX_BOUND = 10000,
    /* Without word from a quorum or an entry instance for so long, leases are
     * refused, so that the endpoint goes to an instance that can spread
     * them. */
    CUT_US = 1500 * MS,
    /* A report of an instance that asks several times a second. */
    REPORT_US = 3000 * MS,
    HANDOVER_US = 1500 * MS,
};

static const http_limits_t CONTROL_LIMITS = {
    .head_max = 16384,
    .body_max = 16 * 1024 * 1024, /* four times the largest body met */
    .head_us = 5 * G_USEC_PER_SEC,
    .idle_us = 20 * G_USEC_PER_SEC,
    .connections = 2000,
    .buffered_max = 64 * 1024 * 1024,
};

static const http_peer_limits_t VOTER_LIMITS = {
    .connect_us = 500 * MS,
    .idle_us = 2 * G_USEC_PER_SEC,
    .idle_max = 4,
    .head_max = 4096,
};

/* Another control instance, to send letters to. */
typedef struct {
    control_t *control;
    char *address;
    http_peer_t *peer;
    GList *calls; /* letter_t */
    guint count;
} correspondent_t;

typedef struct {
    correspondent_t *to;
    client_call_t *call;
    guint64 timer;
} letter_t;

/* An entry instance's question, held until there is news. */
typedef struct {
    control_t *control;
    http_exchange_t *exchange;
    sync_request_t request;
    guint64 timer;
} held_sync_t;

/* An operator's change on its way through the log. */
typedef struct {
    guint64 call;
    guint64 version;
    http_exchange_t *exchange; /* NULL once the operator left */
} pending_put_t;

typedef struct {
    guint64 version;
    GBytes *text;
} kept_text_t;

struct control {
    const gateway_settings_t *settings;
    task_t *task;
    poller_t *poller;
    timers_t *timers;
    char *self;
    guint64 epoch;
    http_server_t *server; /* endpoints and operators */
    http_server_t *inner;  /* other instances */
    registry_t *registry;
    load_sum_t *loads; /* of the entry instances that report here */
    config_log_t *log;
    task_t *log_task;
    config_view_message_t view;
    GQueue texts;        /* kept_text_t, the newest at the tail */
    GHashTable *peers;   /* address -> correspondent_t */
    GList *held;         /* held_sync_t */
    GHashTable *entries; /* instance name -> gint64, when it asked last */
    GHashTable *puts;    /* call -> pending_put_t */
    guint64 last_call;
    gint64 quorum_us; /* when the quorum was last heard of */
    gint64 asked_us;  /* when an entry instance last asked */
    gboolean draining;
    gint64 drained_us;
};

static gint64
now_of(const control_t *c)
{
    return timers_now(c->timers);
}

static void
answer_plain(http_exchange_t *exchange, guint status, const char *text)
{
    http_exchange_answer(exchange, status,
                         STR("Content-Type: application/json\r\n"),
                         str_from_cstr(text));
}

/* ---- the configuration ---- */

static const kept_text_t *
newest(const control_t *c)
{
    return c->texts.tail != NULL ? c->texts.tail->data : NULL;
}

static guint64
newest_version(const control_t *c)
{
    const kept_text_t *text = newest(c);
    return text != NULL ? text->version : 0;
}

/* Whether what is committed here is the newest there is, now. */
static gboolean
may_read(const control_t *c)
{
    return clock_boot_us() < c->view.read_until_us;
}

/* Sends the operator on to the leader, or away for a moment. */
static void
answer_elsewhere(control_t *c, http_exchange_t *exchange)
{
    const char *leader = c->view.leader;
    const char *port = strrchr(c->settings->control, ':');
    const char *colon = strrchr(leader, ':');
    if (colon == NULL || strcmp(leader, c->self) == 0 || !c->view.in_quorum) {
        http_exchange_answer(exchange, 503, STR("Retry-After: 0.3\r\n"),
                             STR("{\"error\":\"no leader is known\"}"));
        return;
    }
    str_t target = http_head_target(http_exchange_head(exchange));
    char *fields = g_strdup_printf("Location: http://%.*s%s%.*s\r\n",
                                   (int)(colon - leader), leader, port,
                                   (int)target.length, target.data);
    http_exchange_answer(exchange, 307, str_from_cstr(fields), STR(""));
    g_free(fields);
}

static void
log_put(const control_t *c, guint64 version, const char *outcome)
{
    if (event_log_begin(EVENT_STATE, "config_put")) {
        event_log_number("version", (gint64)version);
        event_log_number("held_version", (gint64)newest_version(c));
        event_log_number("term", (gint64)c->view.term);
        event_log_cstr("outcome", outcome);
        event_log_end();
    }
}

static void
propose(control_t *c, http_exchange_t *exchange, guint64 version, str_t body)
{
    pending_put_t *put = g_new0(pending_put_t, 1);
    *put = (pending_put_t){
        .call = ++c->last_call, .version = version, .exchange = exchange};
    g_hash_table_insert(c->puts, &put->call, put);
    http_exchange_set_data(exchange, put);
    if (task_send(c->log_task,
                  config_put_message(put->call, version,
                                     g_bytes_new(body.data, body.length))) !=
        TASK_OK) {
        http_exchange_set_data(exchange, NULL);
        g_hash_table_remove(c->puts, &put->call);
        answer_plain(exchange, 503, "{\"error\":\"the log is busy\"}");
    }
}

static void
handle_config_put(control_t *c, http_exchange_t *exchange)
{
    route_config_t *config;
    char *fault = NULL;
    str_t body = http_exchange_body(exchange);
    if (platform_config_decode(body, &config, &fault) != PLATFORM_OK) {
        log_put(c, 0, fault);
        json_t *error = json_pack("{s:s}", "error", fault);
        char *text = json_dumps(error, JSON_COMPACT);
        answer_plain(exchange, 400, text);
        free(text);
        json_decref(error);
        g_free(fault);
        return;
    }
    guint64 version = config->version;
    route_config_unref(config);
    if (!c->view.leads || !may_read(c)) {
        answer_elsewhere(c, exchange);
        return;
    }
    if (newest(c) != NULL && version <= newest_version(c)) {
        log_put(c, version, "not newer, acknowledged");
        answer_plain(exchange, 200, "{}");
        return;
    }
    propose(c, exchange, version, body);
}

static void
handle_result(control_t *c, const config_result_message_t *m)
{
    pending_put_t *put = g_hash_table_lookup(c->puts, &m->call);
    if (put == NULL) {
        return;
    }
    log_put(c, put->version, m->durable ? "durable" : "not known");
    if (put->exchange != NULL) {
        http_exchange_set_data(put->exchange, NULL);
        answer_plain(put->exchange, m->durable ? 200 : 503, "{}");
    }
    g_hash_table_remove(c->puts, &m->call);
}

static void
handle_config_get(control_t *c, http_exchange_t *exchange)
{
    const kept_text_t *text = newest(c);
    if (!may_read(c)) {
        answer_elsewhere(c, exchange);
        return;
    }
    if (text == NULL) {
        answer_plain(exchange, 503, "{\"error\":\"no configuration yet\"}");
        return;
    }
    gsize length;
    const char *data = g_bytes_get_data(text->text, &length);
    http_exchange_answer(exchange, 200,
                         STR("Content-Type: application/json\r\n"),
                         (str_t){.data = data, .length = length});
}

static void
kept_text_free(gpointer data)
{
    g_bytes_unref(((kept_text_t *)data)->text);
    g_free(data);
}

/* ---- news to entry instances ---- */

static const kept_text_t *
text_of(const control_t *c, guint64 version)
{
    for (GList *l = c->texts.tail; l != NULL; l = l->prev) {
        if (((kept_text_t *)l->data)->version == version) {
            return l->data;
        }
    }
    return NULL;
}

static str_t
bytes_view(GBytes *bytes)
{
    gsize length;
    const char *data = g_bytes_get_data(bytes, &length);
    return (str_t){.data = data, .length = length};
}

static void
fill_config(const control_t *c, const sync_request_t *request,
            sync_answer_t *answer)
{
    const kept_text_t *now = newest(c);
    answer->version = newest_version(c);
    if (now == NULL || answer->version <= request->version) {
        return;
    }
    const kept_text_t *base = text_of(c, request->version);
    if (base == NULL) {
        answer->inserted = g_bytes_ref(now->text);
        return;
    }
    splice_t splice =
        splice_between(bytes_view(base->text), bytes_view(now->text));
    answer->base = base->version;
    answer->prefix = splice.prefix;
    answer->removed = splice.removed;
    answer->inserted = splice.inserted;
}

static guint
entries_fresh(const control_t *c)
{
    GHashTableIter iter;
    gpointer value;
    guint count = 0;
    g_hash_table_iter_init(&iter, c->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        count += now_of(c) - *(gint64 *)value < ENTRY_FRESH_US;
    }
    return count;
}

static GBytes *
sync_news(const control_t *c, const sync_request_t *request)
{
    gboolean full = request->epoch != c->epoch;
    sync_answer_t answer = {
        .epoch = c->epoch,
        .cursor = registry_cursor(c->registry),
        .full = full,
        .confirmed = may_read(c),
        .entries = entries_fresh(c),
        .leases = registry_since(c->registry, full ? 0 : request->cursor),
        .controls = g_ptr_array_new(),
    };
    for (guint i = 0; i < c->view.voters.count; i++) {
        g_ptr_array_add(answer.controls,
                        (gpointer)c->view.voters.members[i].name);
    }
    if (request->reports) {
        answer.loads = load_sum_all(c->loads);
    }
    fill_config(c, request, &answer);
    GBytes *bytes = sync_answer_write(&answer);
    sync_answer_clear(&answer);
    return bytes;
}

static gboolean
has_news(const control_t *c, const sync_request_t *request)
{
    return request->epoch != c->epoch ||
           request->cursor != registry_cursor(c->registry) ||
           request->version < newest_version(c);
}

static void
sync_answer(control_t *c, http_exchange_t *exchange,
            const sync_request_t *request)
{
    GBytes *bytes = sync_news(c, request);
    http_exchange_answer(exchange, 200, STR(""), bytes_view(bytes));
    g_bytes_unref(bytes);
}

static void
held_free(held_sync_t *held)
{
    control_t *c = held->control;
    timers_cancel(c->timers, held->timer);
    c->held = g_list_remove(c->held, held);
    sync_request_clear(&held->request);
    g_free(held);
}

static void
held_answer(held_sync_t *held)
{
    http_exchange_t *exchange = held->exchange;
    http_exchange_set_data(exchange, NULL);
    GBytes *bytes = sync_news(held->control, &held->request);
    held_free(held);
    http_exchange_answer(exchange, 200, STR(""), bytes_view(bytes));
    g_bytes_unref(bytes);
}

static void
held_expired(void *data)
{
    held_sync_t *held = data;
    held->timer = 0;
    held_answer(held);
}

static void
spread_news(control_t *c)
{
    GList *next;
    for (GList *l = c->held; l != NULL; l = next) {
        held_sync_t *held = l->data;
        next = l->next;
        if (has_news(c, &held->request)) {
            held_answer(held);
        }
    }
}

static void
note_entry(control_t *c, const char *instance)
{
    gint64 now = now_of(c);
    g_hash_table_replace(c->entries, g_strdup(instance),
                         g_memdup2(&now, sizeof(now)));
    c->asked_us = now;
}

static void
handle_sync(control_t *c, http_exchange_t *exchange)
{
    str_t body = http_exchange_body(exchange);
    GBytes *bytes = g_bytes_new_static(body.data, body.length);
    sync_request_t request;
    gboolean sound = sync_request_read(bytes, &request);
    g_bytes_unref(bytes);
    if (!sound) {
        answer_plain(exchange, 400, "{\"error\":\"malformed\"}");
        return;
    }
    note_entry(c, request.instance);
    if (request.reports) {
        load_sum_report(c->loads, request.instance, request.loads, now_of(c));
    }
    if (has_news(c, &request) || request.wait_ms == 0 || c->draining) {
        sync_answer(c, exchange, &request);
        sync_request_clear(&request);
        return;
    }
    held_sync_t *held = g_new0(held_sync_t, 1);
    *held =
        (held_sync_t){.control = c, .exchange = exchange, .request = request};
    held->timer =
        timers_subscribe(c->timers, MIN(request.wait_ms, 10000) * (gint64)MS,
                         0, held_expired, held);
    c->held = g_list_prepend(c->held, held);
    http_exchange_set_data(exchange, held);
}

/* ---- letters of voters ---- */

static void
letter_end(letter_t *letter)
{
    correspondent_t *to = letter->to;
    timers_cancel(to->control->timers, letter->timer);
    to->calls = g_list_remove(to->calls, letter);
    to->count--;
    g_free(letter);
}

static call_verdict_t
on_letter_head(client_call_t *call, const http_head_t *head, void *user)
{
    (void)call;
    (void)head;
    (void)user;
    return CALL_TAKE;
}

static void
on_letter_body(client_call_t *call, str_t bytes, void *user)
{
    (void)call;
    (void)bytes;
    (void)user;
}

static void
on_letter_done(client_call_t *call, void *user)
{
    (void)call;
    letter_end(user);
}

static void
on_letter_failed(client_call_t *call, call_failure_t failure, void *user)
{
    (void)call;
    (void)failure; /* the log sends what matters again */
    counter_add(counter_get("voter_letters_failed_total", NULL, FALSE), 1);
    letter_end(user);
}

static const client_call_ops_t LETTER_OPS = {.head = on_letter_head,
                                             .body = on_letter_body,
                                             .done = on_letter_done,
                                             .failed = on_letter_failed};

static void
letter_expired(void *data)
{
    letter_t *letter = data;
    letter->timer = 0;
    client_call_cancel(letter->call);
    counter_add(counter_get("voter_letters_failed_total", NULL, FALSE), 1);
    letter_end(letter);
}

static void
correspondent_free(gpointer data)
{
    correspondent_t *to = data;
    if (to->peer != NULL) {
        http_peer_destroy(to->peer);
    }
    g_free(to->address);
    g_free(to);
}

static correspondent_t *
correspondent_find(control_t *c, const char *address)
{
    correspondent_t *to = g_hash_table_lookup(c->peers, address);
    if (to == NULL) {
        to = g_new0(correspondent_t, 1);
        to->control = c;
        to->address = g_strdup(address);
        to->peer = http_peer_create(c->poller, c->timers,
                                    str_from_cstr(address), &VOTER_LIMITS);
        g_hash_table_insert(c->peers, to->address, to);
    }
    return to;
}

static void
handle_send(control_t *c, const config_letter_message_t *m)
{
    correspondent_t *to = correspondent_find(c, m->to);
    if (to->peer == NULL || to->count >= LETTERS_MAX) {
        counter_add(counter_get("voter_letters_dropped_total", NULL, FALSE),
                    1);
        return;
    }
    str_t body = bytes_view(m->letter);
    GString *bytes = g_string_sized_new(body.length + 128);
    g_string_append_printf(bytes,
                           "POST " VOTER_PATH " HTTP/1.1\r\nHost: %s\r\n"
                           "Content-Length: %" G_GSIZE_FORMAT "\r\n\r\n",
                           to->address, body.length);
    g_string_append_len(bytes, body.data, (gssize)body.length);
    letter_t *letter = g_new0(letter_t, 1);
    letter->to = to;
    letter->call = client_call_create(
        to->peer, (str_t){.data = bytes->str, .length = bytes->len}, FALSE,
        &LETTER_OPS, letter);
    g_string_free(bytes, TRUE);
    if (letter->call == NULL) {
        g_free(letter);
        return;
    }
    letter->timer =
        timers_subscribe(c->timers, LETTER_US, 0, letter_expired, letter);
    to->calls = g_list_prepend(to->calls, letter);
    to->count++;
}

static void
handle_letter(control_t *c, http_exchange_t *exchange)
{
    str_t body = http_exchange_body(exchange);
    task_send(c->log_task,
              config_letter_message(CONFIG_LOG_LETTER, "",
                                    g_bytes_new(body.data, body.length)));
    http_exchange_answer(exchange, 204, STR(""), STR(""));
}

/* ---- leases of endpoints ---- */

/* Whether what is told here reaches those who route. */
static gboolean
is_connected(const control_t *c)
{
    gint64 now = now_of(c);
    return now - c->quorum_us < CUT_US && now - c->asked_us < ENTRY_FRESH_US;
}

static void
log_lease(const char *id, const endpoint_lease_t *lease, const char *outcome)
{
    if (event_log_begin(EVENT_STATE, "lease")) {
        event_log_cstr("endpoint", id);
        if (lease != NULL) {
            event_log_cstr("service", lease->service);
            event_log_cstr("address", lease->address);
            event_log_number("sequence", (gint64)lease->sequence);
        }
        event_log_cstr("outcome", outcome);
        event_log_end();
    }
}

static void
handle_heartbeat(control_t *c, http_exchange_t *exchange, str_t id)
{
    heartbeat_t heartbeat;
    if (platform_heartbeat_decode(http_exchange_body(exchange), &heartbeat) !=
        PLATFORM_OK) {
        answer_plain(exchange, 400, "{\"error\":\"malformed\"}");
        return;
    }
    if (!is_connected(c)) {
        heartbeat_clear(&heartbeat);
        answer_plain(exchange, 503, "{\"error\":\"cut off\"}");
        return;
    }
    char *name = str_dup(id);
    guint64 before = registry_cursor(c->registry);
    endpoint_lease_t lease = {
        .id = name,
        .service = heartbeat.service,
        .address = heartbeat.address,
        .data_centre = heartbeat.data_centre,
        .sequence = heartbeat.sequence,
        .slots = heartbeat.slots,
        .state = heartbeat.draining ? LEASE_DRAINING : LEASE_READY,
        .cold_ms = heartbeat.cold_ms,
    };
    registry_renew(c->registry, &lease, now_of(c));
    if (registry_cursor(c->registry) != before) {
        log_lease(name, &lease, heartbeat.draining ? "draining" : "ready");
    }
    g_free(name);
    heartbeat_clear(&heartbeat);
    answer_plain(exchange, 200, "{}");
    if (registry_cursor(c->registry) != before) {
        spread_news(c);
    }
}

static void
handle_leave(control_t *c, http_exchange_t *exchange, str_t id)
{
    if (!is_connected(c)) {
        answer_plain(exchange, 503, "{\"error\":\"cut off\"}");
        return;
    }
    char *name = str_dup(id);
    registry_leave(c->registry, name, now_of(c));
    log_lease(name, NULL, "left");
    g_free(name);
    answer_plain(exchange, 200, "{}");
    spread_news(c);
}

static void
on_expire(void *data)
{
    control_t *c = data;
    if (c->view.in_quorum) {
        c->quorum_us = now_of(c);
    }
    load_sum_expire(c->loads, now_of(c) - REPORT_US);
    if (registry_expire(c->registry, now_of(c))) {
        spread_news(c);
    }
    counter_set(counter_get("endpoints", NULL, TRUE),
                registry_count(c->registry));
    event_log_flush();
}

/* ---- listeners ---- */

static void
handle_outer(http_exchange_t *exchange, void *user)
{
    control_t *c = user;
    str_t id = {0};
    switch (platform_call_of(http_exchange_head(exchange), &id)) {
    case PLATFORM_CALL_HEARTBEAT:
        handle_heartbeat(c, exchange, id);
        break;
    case PLATFORM_CALL_LEAVE:
        handle_leave(c, exchange, id);
        break;
    case PLATFORM_CALL_CONFIG_PUT:
        handle_config_put(c, exchange);
        break;
    case PLATFORM_CALL_CONFIG_GET:
        handle_config_get(c, exchange);
        break;
    default:
        answer_plain(exchange, 404, "{\"error\":\"no such call\"}");
    }
}

static void
handle_inner(http_exchange_t *exchange, void *user)
{
    control_t *c = user;
    str_t target = http_head_target(http_exchange_head(exchange));
    if (str_equal(target, STR(SYNC_PATH))) {
        handle_sync(c, exchange);
    }
    else if (str_equal(target, STR(VOTER_PATH))) {
        handle_letter(c, exchange);
    }
    else {
        answer_plain(exchange, 404, "{\"error\":\"no such call\"}");
    }
}

static void
outer_gone(http_exchange_t *exchange, void *user)
{
    (void)user;
    pending_put_t *put = http_exchange_data(exchange);
    if (put != NULL) {
        put->exchange = NULL;
    }
}

static void
inner_gone(http_exchange_t *exchange, void *user)
{
    (void)user;
    held_sync_t *held = http_exchange_data(exchange);
    if (held != NULL) {
        held_free(held);
    }
}

static void
handle_drained(http_exchange_t *exchange, void *user)
{
    (void)exchange;
    (void)user;
}

static const http_server_ops_t OUTER_OPS = {
    .request = handle_outer, .gone = outer_gone, .drained = handle_drained};
static const http_server_ops_t INNER_OPS = {
    .request = handle_inner, .gone = inner_gone, .drained = handle_drained};

/* ---- life ---- */

static void
handle_applied(control_t *c, const config_applied_message_t *m)
{
    if (newest(c) != NULL && m->version <= newest_version(c)) {
        return;
    }
    kept_text_t *text = g_new0(kept_text_t, 1);
    *text = (kept_text_t){.version = m->version, .text = g_bytes_ref(m->text)};
    g_queue_push_tail(&c->texts, text);
    while (c->texts.length > TEXTS_KEPT) {
        kept_text_free(g_queue_pop_head(&c->texts));
    }
    if (event_log_begin(EVENT_STATE, "config_committed")) {
        event_log_number("version", (gint64)m->version);
        event_log_end();
    }
    spread_news(c);
}

static void
handle_view(control_t *c, const config_view_message_t *view)
{
    if (strcmp(view->leader, c->view.leader) != 0 &&
        event_log_begin(EVENT_STATE, "leader")) {
        event_log_cstr("name", view->leader);
        event_log_number("term", (gint64)view->term);
        event_log_end();
    }
    c->view = *view;
    if (view->in_quorum) {
        c->quorum_us = now_of(c);
    }
}

void
control_handle(control_t *c, message_t *message)
{
    switch ((config_log_message_t)message->type) {
    case CONFIG_LOG_SEND:
        handle_send(c, (const config_letter_message_t *)message);
        break;
    case CONFIG_LOG_RESULT:
        handle_result(c, (const config_result_message_t *)message);
        break;
    case CONFIG_LOG_APPLIED:
        handle_applied(c, (const config_applied_message_t *)message);
        break;
    case CONFIG_LOG_VIEW:
        handle_view(c, (const config_view_message_t *)message);
        break;
    default:
        break;
    }
}

static const task_ops_t LOG_OPS = {.name = "config-log",
                                   .mailbox_bound = MAILBOX_BOUND,
                                   .handle = config_log_handle};

static gboolean
control_start(control_t *c)
{
    const gateway_settings_t *s = c->settings;
    c->server = http_server_create(c->poller, c->timers, s->control,
                                   &CONTROL_LIMITS, &OUTER_OPS, c);
    const char *bind =
        s->bind != NULL && *s->bind != '\0' ? s->bind : s->address;
    char *inner = g_strdup_printf("%s:%d", bind, (int)s->peers_port);
    c->inner = http_server_create(c->poller, c->timers, inner, &CONTROL_LIMITS,
                                  &INNER_OPS, c);
    g_free(inner);
    if (c->server == NULL || c->inner == NULL) {
        if (event_log_begin(EVENT_STATE, "listen_failed")) {
            event_log_cstr("address", c->server ? c->self : s->control);
            event_log_end();
        }
        return FALSE;
    }
    c->log = config_log_create(s, c->self, c->task);
    if (c->log == NULL) {
        return FALSE;
    }
    c->log_task = task_create(&LOG_OPS, c->log, NULL);
    config_log_set_task(c->log, c->log_task);
    task_start(c->log_task, config_log_begin);
    return TRUE;
}

control_t *
control_create(const gateway_settings_t *settings, task_t *task,
               poller_t *poller)
{
    control_t *c = g_new0(control_t, 1);
    c->settings = settings;
    c->task = task;
    c->poller = poller;
    c->timers = task_timers(task);
    c->self =
        g_strdup_printf("%s:%d", settings->address, (int)settings->peers_port);
    c->epoch = (guint64)g_random_int() << 32 | g_random_int() | 1;
    c->registry =
        registry_create((gint64)(settings->heartbeat_ms * (double)MS));
    c->loads = load_sum_create();
    c->peers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                     correspondent_free);
    c->entries =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    c->puts = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    timers_subscribe(c->timers, EXPIRE_US, EXPIRE_US, on_expire, c);
    if (!control_start(c)) {
        control_destroy(c);
        return NULL;
    }
    return c;
}

void
control_destroy(control_t *c)
{
    if (c->log_task != NULL) {
        task_stop(c->log_task, NULL);
        task_destroy(c->log_task);
    }
    g_clear_pointer(&c->log, config_log_destroy);
    GList *next;
    for (GList *l = c->held; l != NULL; l = next) {
        next = l->next;
        held_free(l->data);
    }
    g_clear_pointer(&c->server, http_server_destroy);
    g_clear_pointer(&c->inner, http_server_destroy);
    g_hash_table_unref(c->peers);
    g_hash_table_unref(c->entries);
    g_hash_table_unref(c->puts);
    g_queue_clear_full(&c->texts, kept_text_free);
    registry_destroy(c->registry);
    load_sum_destroy(c->loads);
    g_free(c->self);
    g_free(c);
}

void
control_drain(control_t *c)
{
    c->draining = TRUE;
    c->drained_us = now_of(c) + HANDOVER_US;
    http_server_drain(c->server);
    http_server_drain(c->inner);
    GList *next;
    for (GList *l = c->held; l != NULL; l = next) {
        next = l->next;
        held_answer(l->data);
    }
    task_send(c->log_task, config_hand_over_message());
}

gboolean
control_idle(const control_t *c)
{
    return c->draining && now_of(c) >= c->drained_us &&
           http_server_exchanges(c->server) == 0;
}

char *
control_dump(const control_t *c)
{
    GString *text = g_string_new(NULL);
    g_string_append_printf(
        text,
        "self %s\nleader %s\nleads %d\nterm %" G_GUINT64_FORMAT
        "\nconfig version %" G_GUINT64_FORMAT "\nendpoints %u\nentries %u\n",
        c->self, c->view.leader, c->view.leads, c->view.term,
        newest_version(c), registry_count(c->registry), entries_fresh(c));
    for (guint i = 0; i < c->view.voters.count; i++) {
        const voter_member_t *m = &c->view.voters.members[i];
        g_string_append_printf(text, "voter %s%s\n", m->name,
                               m->learner ? " (learner)" : "");
    }
    return g_string_free(text, FALSE);
}
