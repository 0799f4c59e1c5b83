#include "carobloom/common/counters.h"
#include "carobloom/gateway/departure_wire.h"
#include "carobloom/gateway/inner_post.h"
#include "carobloom/gateway/load_wire.h"
#include "carobloom/gateway/usage_wire.h"
#include "control_state.h"

enum {
    MS = 1000,
    MESSAGE_TIMEOUT_US = 700 * MS,
};

/* How messages of one kind are delivered. */
typedef struct {
    const char *path;
    traffic_kind_t traffic;
    guint max_in_flight; /* per control instance */
    /* Called when the message ends; `accepted` is FALSE if it may be lost.
     * May be NULL. */
    void (*done)(control_t *control, const char *to, gboolean accepted);
} delivery_t;

static const delivery_t DELIVERIES[PEER_MESSAGE_KINDS] = {
    /* The log retransmits lost messages itself. */
    [PEER_MESSAGE_VOTER] = {.path = VOTER_PATH,
                            .traffic = TRAFFIC_VOTER,
                            .max_in_flight = 16},
    /* The next sums replace lost ones. */
    [PEER_MESSAGE_LOADS] = {.path = LOAD_SUMS_PATH,
                            .traffic = TRAFFIC_LOAD_SUMS,
                            .max_in_flight = 1,
                            .done = load_sums_delivery_ended},
    /* A delayed timestamp would be wrong, so none is queued. */
    [PEER_MESSAGE_CLOCK] = {.path = CLOCK_PATH,
                            .traffic = TRAFFIC_CLOCK,
                            .max_in_flight = 1},
    /* What comes meanwhile goes with the next message. */
    [PEER_MESSAGE_DEPARTURES] = {.path = DEPARTURES_PATH,
                                 .traffic = TRAFFIC_DEPARTURES,
                                 .max_in_flight = 1,
                                 .done = departures_delivery_ended},
};

static const http_peer_limits_t PEER_LIMITS = {
    .connect_us = 500 * MS,
    .idle_us = 2 * G_USEC_PER_SEC,
    .idle_max = 4,
    .head_max = 4096,
    .body_max = 65536,
};

/* Another control instance. */
typedef struct {
    control_t *control;
    char *address;
    http_peer_t *connections; /* NULL: the address is invalid */
    GList *calls;             /* peer_message_t */
    guint in_flight[PEER_MESSAGE_KINDS];
} peer_t;

typedef struct {
    peer_t *to;
    peer_message_kind_t kind;
    client_call_t *call;
    guint64 timer;
    guint status; /* of the answer; 0: no answer yet */
} peer_message_t;

static void
message_end(peer_message_t *message, gboolean accepted)
{
    peer_t *to = message->to;
    const delivery_t *delivery = &DELIVERIES[message->kind];
    timers_cancel(to->control->timers, message->timer);
    to->calls = g_list_remove(to->calls, message);
    to->in_flight[message->kind]--;
    g_free(message);
    if (delivery->done != NULL) {
        delivery->done(to->control, to->address, accepted);
    }
}

static call_verdict_t
on_message_head(client_call_t *call, const http_head_t *head, void *user)
{
    (void)call;
    ((peer_message_t *)user)->status = head->status;
    return CALL_TAKE;
}

static void
on_message_body(client_call_t *call, str_t bytes, void *user)
{
    (void)call;
    (void)bytes;
    (void)user;
}

static void
on_message_done(client_call_t *call, void *user)
{
    (void)call;
    peer_message_t *message = user;
    message_end(message, message->status / 100 == 2);
}

static void
on_message_failed(client_call_t *call, call_failure_t failure, void *user)
{
    (void)call;
    (void)failure; /* lost messages are handled as in DELIVERIES */
    counter_add(counter_get("control_messages_failed_total", NULL, FALSE), 1);
    message_end(user, FALSE);
}

static const client_call_ops_t MESSAGE_OPS = {.head = on_message_head,
                                              .body = on_message_body,
                                              .done = on_message_done,
                                              .failed = on_message_failed};

static void
message_expired(void *data)
{
    peer_message_t *message = data;
    message->timer = 0;
    client_call_cancel(message->call);
    counter_add(counter_get("control_messages_failed_total", NULL, FALSE), 1);
    message_end(message, FALSE);
}

void
peer_free(gpointer data)
{
    peer_t *to = data;
    if (to->connections != NULL) {
        http_peer_destroy(to->connections);
    }
    g_free(to->address);
    g_free(to);
}

static peer_t *
peer_find(control_t *c, const char *address)
{
    peer_t *to = g_hash_table_lookup(c->peers, address);
    if (to == NULL) {
        to = g_new0(peer_t, 1);
        to->control = c;
        to->address = g_strdup(address);
        to->connections = http_peer_create(
            c->poller, c->timers, str_from_cstr(address), &PEER_LIMITS);
        g_hash_table_insert(c->peers, to->address, to);
    }
    return to;
}

gboolean
peer_message_post(control_t *c, const char *address, peer_message_kind_t kind,
                  str_t bytes)
{
    peer_t *to = peer_find(c, address);
    if (to->connections == NULL ||
        to->in_flight[kind] >= DELIVERIES[kind].max_in_flight) {
        counter_add(counter_get("control_messages_dropped_total", NULL, FALSE),
                    1);
        return FALSE;
    }
    peer_message_t *message = g_new0(peer_message_t, 1);
    message->to = to;
    message->kind = kind;
    message->call = inner_post(to->connections, DELIVERIES[kind].path,
                               to->address, bytes, &MESSAGE_OPS, message);
    if (message->call == NULL) {
        g_free(message);
        return FALSE;
    }
    traffic_count(c->traffic, message->call, DELIVERIES[kind].traffic,
                  to->address);
    message->timer = timers_subscribe(c->timers, MESSAGE_TIMEOUT_US, 0,
                                      message_expired, message);
    to->calls = g_list_prepend(to->calls, message);
    to->in_flight[kind]++;
    return TRUE;
}

void
handle_log_send(control_t *c, const config_envelope_message_t *m)
{
    peer_message_post(c, m->to, PEER_MESSAGE_VOTER,
                      str_from_bytes(m->envelope));
}

void
handle_voter_message(control_t *c, http_exchange_t *exchange)
{
    str_t body = http_exchange_body(exchange);
    task_send(c->log_task,
              config_envelope_message(CONFIG_LOG_RECEIVED, "",
                                      g_bytes_new(body.data, body.length)));
    http_exchange_answer(exchange, 204, STR(""), STR(""));
}
