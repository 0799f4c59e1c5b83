/* Departures of endpoints (they drain, or have left) that this instance
 * acknowledges, and those that other control instances did.
 *
 * A departure is acknowledged once another control instance has it, so that it
 * outlives the loss of either. The one that has it publishes it if the one
 * that acknowledged it may not have done so, and sends it back to one that
 * starts again. */
#include "carobloom/common/counters.h"
#include "carobloom/common/event_log.h"
#include "carobloom/gateway/departure_wire.h"
#include "control_state.h"
#include "platform.h"

enum {
    MS = 1000,
    /* The endpoint waits a second for its answer, then calls another control
     * instance. */
    ACKNOWLEDGE_TIMEOUT_US = 700 * MS,
    /* Another control instance is assumed to be lost after this time without a
     * message. It sends loads at least each 400 ms. */
    SILENCE_MAX_US = 700 * MS,
    /* By then a control instance that is not lost has published a departure.
     * Together with the time to publish it here this is less than endpoints
     * serve on for after the acknowledgement. */
    PUBLISHED_AFTER_US = 1000 * MS,
};

/* Another control instance, as far as departures are concerned. */
typedef struct {
    guint64 epoch;       /* of its incarnation; 0: not known */
    guint64 sent_cursor; /* of the message in flight */
    guint64 kept_cursor; /* it has this instance's departures up to here */
    /* it also gets the departures of others, up to here */
    guint64 all_cursor;
    gboolean in_flight;
    gboolean has_epoch; /* it has answered since one of the two started */
    gint64 heard_us;    /* time of its last message */
    gint64 learned_us;  /* time of a departure from it that it may not have
                           published; 0: none */
} departure_peer_t;

/* A call that is answered once the departure is kept elsewhere. */
typedef struct {
    http_exchange_t *exchange;
    char *endpoint;
    char *answer;
    guint64 cursor; /* of the departure */
    gint64 since_us;
} pending_departure_t;

static departure_peer_t *
peer_find(control_t *c, const char *address)
{
    departure_peer_t *peer = g_hash_table_lookup(c->departure_peers, address);
    if (peer == NULL) {
        peer = g_new0(departure_peer_t, 1);
        g_hash_table_insert(c->departure_peers, g_strdup(address), peer);
    }
    return peer;
}

/* ---- calls that wait ---- */

static void
pending_free(control_t *c, pending_departure_t *pending)
{
    c->pending_departures = g_list_remove(c->pending_departures, pending);
    g_free(pending->endpoint);
    g_free(pending->answer);
    g_free(pending);
}

static void
pending_answer(control_t *c, pending_departure_t *pending, gboolean is_kept)
{
    gint64 waited_us = control_now(c) - pending->since_us;
    if (!is_kept) {
        counter_add(counter_get("departures_not_kept_total", NULL, FALSE), 1);
    }
    if (event_log_begin(EVENT_STATE,
                        is_kept ? "departure_kept" : "departure_not_kept")) {
        event_log_cstr("endpoint", pending->endpoint);
        event_log_number("waited_us", waited_us);
        event_log_end();
    }
    answer_json(pending->exchange, is_kept ? 200 : 503,
                is_kept ? pending->answer
                        : "{\"error\":\"no other control instance has it\"}");
    pending_free(c, pending);
}

/* The departures up to this cursor are kept by another control instance, if
 * there is any. */
static guint64
kept_cursor(const control_t *c)
{
    guint64 cursor = 0;
    gboolean is_alone = TRUE;
    for (guint i = 0; i < c->view.voters.count; i++) {
        const char *name = c->view.voters.members[i].name;
        const departure_peer_t *peer =
            g_hash_table_lookup(c->departure_peers, name);
        is_alone = is_alone && g_strcmp0(name, c->self) == 0;
        cursor = MAX(cursor, peer != NULL ? peer->kept_cursor : 0);
    }
    return is_alone ? G_MAXUINT64 : cursor;
}

static void
answer_kept(control_t *c)
{
    guint64 cursor = kept_cursor(c);
    GList *next;
    for (GList *l = c->pending_departures; l != NULL; l = next) {
        pending_departure_t *pending = l->data;
        next = l->next;
        if (pending->cursor <= cursor) {
            pending_answer(c, pending, TRUE);
        }
    }
}

void
departure_acknowledge(control_t *c, http_exchange_t *exchange,
                      const char *endpoint, const char *answer)
{
    guint64 cursor = registry_departure_cursor(c->registry, endpoint);
    if (cursor == 0 || cursor <= kept_cursor(c)) {
        answer_json(exchange, 200, answer);
        return;
    }
    pending_departure_t *pending = g_new0(pending_departure_t, 1);
    *pending = (pending_departure_t){.exchange = exchange,
                                     .endpoint = g_strdup(endpoint),
                                     .answer = g_strdup(answer),
                                     .cursor = cursor,
                                     .since_us = control_now(c)};
    c->pending_departures = g_list_prepend(c->pending_departures, pending);
    departures_send(c);
}

gboolean
departure_disconnected(control_t *c, const http_exchange_t *exchange)
{
    for (GList *l = c->pending_departures; l != NULL; l = l->next) {
        pending_departure_t *pending = l->data;
        if (pending->exchange == exchange) {
            pending_free(c, pending);
            return TRUE;
        }
    }
    return FALSE;
}

/* ---- messages to other control instances ---- */

static void
send_to(control_t *c, const char *address)
{
    departure_peer_t *peer = peer_find(c, address);
    gboolean is_behind =
        registry_last_departure(c->registry) > peer->kept_cursor;
    if (peer->in_flight || (peer->has_epoch && !is_behind)) {
        return;
    }
    departures_t message = {.from = c->self, .epoch = c->epoch};
    message.leases = registry_departures_since(
        c->registry, peer->kept_cursor, peer->all_cursor, SYNC_LEASES_MAX,
        &peer->sent_cursor);
    GBytes *bytes = departures_write(&message);
    peer->in_flight = peer_message_post(c, address, PEER_MESSAGE_DEPARTURES,
                                        str_from_bytes(bytes));
    g_bytes_unref(bytes);
    g_ptr_array_unref(message.leases);
}

void
departures_send(control_t *c)
{
    for (guint i = 0; i < c->view.voters.count; i++) {
        const char *name = c->view.voters.members[i].name;
        if (g_strcmp0(name, c->self) != 0) {
            send_to(c, name);
        }
    }
}

void
departures_delivery_ended(control_t *c, const char *to, gboolean accepted)
{
    departure_peer_t *peer = peer_find(c, to);
    gboolean is_expected = peer->in_flight;
    peer->in_flight = FALSE;
    if (!accepted || !is_expected) {
        return; /* sent again by the next tick */
    }
    peer->has_epoch = TRUE;
    peer->kept_cursor = MAX(peer->kept_cursor, peer->sent_cursor);
    answer_kept(c);
    send_to(c, to);
}

/* ---- messages from other control instances ---- */

void
departures_record_heard(control_t *c, const char *from)
{
    peer_find(c, from)->heard_us = control_now(c);
}

/* The other instance started again: it has lost what it kept for this one, and
 * may not have published what it acknowledged. */
static void
handle_restart(control_t *c, departure_peer_t *peer, guint64 epoch)
{
    peer->epoch = epoch;
    peer->has_epoch = FALSE;
    peer->kept_cursor = 0;
    peer->all_cursor = registry_cursor(c->registry);
    /* What is in flight may have reached the incarnation before. */
    peer->sent_cursor = 0;
    if (peer->learned_us != 0) {
        peer->learned_us = 0;
        control_publish_updates(c);
    }
}

static gboolean
learn_all(control_t *c, const departures_t *message)
{
    gboolean changed = FALSE;
    for (guint i = 0; i < message->leases->len; i++) {
        const endpoint_lease_t *lease = message->leases->pdata[i];
        if (!registry_learn_departure(c->registry, lease, control_now(c))) {
            continue;
        }
        changed = TRUE;
        if (event_log_begin(EVENT_STATE, "departure_learned")) {
            event_log_cstr("endpoint", lease->id);
            event_log_cstr("control", message->from);
            event_log_cstr("outcome",
                           lease->state == LEASE_LEFT ? "left" : "draining");
            event_log_end();
        }
    }
    return changed;
}

void
handle_departures(control_t *c, http_exchange_t *exchange)
{
    departures_t message;
    GBytes *bytes = posted_bytes(exchange);
    gboolean valid = departures_read(bytes, &message);
    g_bytes_unref(bytes);
    if (!valid) {
        answer_json(exchange, 400, "{\"error\":\"malformed\"}");
        return;
    }
    departure_peer_t *peer = peer_find(c, message.from);
    peer->heard_us = control_now(c);
    if (peer->epoch != message.epoch) {
        handle_restart(c, peer, message.epoch);
    }
    if (learn_all(c, &message)) {
        peer->learned_us = control_now(c);
    }
    departures_clear(&message);
    http_exchange_answer(exchange, 204, STR(""), STR(""));
    departures_send(c);
}

/* ---- several times per second ---- */

/* Publishes departures that the instance that acknowledged them may not have
 * published. */
static void
publish_of_silent(control_t *c, departure_peer_t *peer)
{
    gint64 now = control_now(c);
    if (peer->learned_us == 0) {
        return;
    }
    if (now - peer->heard_us > SILENCE_MAX_US) {
        peer->learned_us = 0;
        control_publish_updates(c);
    }
    else if (now - peer->learned_us > PUBLISHED_AFTER_US) {
        peer->learned_us = 0;
    }
}

void
departures_tick(control_t *c)
{
    GHashTableIter iter;
    gpointer value;
    GList *next;
    g_hash_table_iter_init(&iter, c->departure_peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        publish_of_silent(c, value);
    }
    for (GList *l = c->pending_departures; l != NULL; l = next) {
        pending_departure_t *pending = l->data;
        next = l->next;
        if (control_now(c) - pending->since_us > ACKNOWLEDGE_TIMEOUT_US) {
            pending_answer(c, pending, FALSE);
        }
    }
    departures_send(c);
}

GHashTable *
departure_peers_create(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void
departures_dump(control_t *c, GString *text)
{
    GHashTableIter iter;
    gpointer address;
    gpointer value;
    g_string_append_printf(text, "departures up to %lu, kept up to %lu\n",
                           (unsigned long)registry_last_departure(c->registry),
                           (unsigned long)kept_cursor(c));
    g_hash_table_iter_init(&iter, c->departure_peers);
    while (g_hash_table_iter_next(&iter, &address, &value)) {
        const departure_peer_t *peer = value;
        g_string_append_printf(
            text, "departures at %s: up to %lu, heard %ld ms ago\n",
            (const char *)address, (unsigned long)peer->kept_cursor,
            (long)((control_now(c) - peer->heard_us) / MS));
    }
}
