#include "carobloom/http/client.h"

#include <errno.h>

#include "carobloom/http/reader.h"
#include "carobloom/http/stream_socket.h"

/* A server that says for how long it keeps an idle connection is taken at
 * its word less this, for the time the next request is on its way. */
static const gint64 IDLE_MARGIN_US = 600 * 1000;

enum {
    REQUEST_NAME_MAX = 128, /* bytes of a request's id in a tunnel */
    /* Bytes that may come before the head of the answer: interim responses,
     * and late answers to other requests. */
    BEFORE_ANSWER_MAX = 1024 * 1024,
    READ_FIRST_US = 5 * 1000, /* for what arrived before a timeout */
};

/* A connection through another instance. */
typedef struct {
    char *address; /* of that instance */
    char *name;
    tunnel_reader_t reader;
    gboolean opening;     /* the other instance has not answered yet */
    GByteArray *unsent;   /* the request, until the tunnel is open */
    gboolean ended;       /* the endpoint closed its connection */
    gboolean is_last_use; /* is closed after the call */
} tunnel_t;

/* One connection; `busy` while a call is on it. */
struct client_call {
    http_peer_t *peer;
    GList *link; /* in the peer's busy or idle list */
    stream_socket_t *socket;
    http_reader_t reader;
    gboolean busy;
    gboolean connecting;
    gboolean sent;
    gboolean skipping; /* the answer on hand is for another request */
    gboolean answered; /* a head was taken */
    gboolean keep;     /* may be used again */
    gboolean complete; /* the answer is whole */
    gboolean head_request;
    gboolean in_reader; /* callbacks of the reader are on the stack */
    gboolean cancelled; /* within them */
    gint64 usable_until_us;
    guint64 timer;
    const client_call_ops_t *ops;
    void *user;
    gsize length;                  /* of the request */
    gsize before_answer;           /* bytes that came before its head */
    gsize body_length;             /* of the answer, so far */
    const http_traffic_t *traffic; /* NULL: not counted */
    tunnel_t *tunnel;              /* NULL: a direct connection */
};

struct http_peer {
    poller_t *poller;
    timers_t *timers;
    struct sockaddr_in address;
    http_peer_limits_t limits;
    GList *busy;
    GList *idle; /* the most recent first */
    guint busy_count;
    guint idle_count;
};

/* Holds the request back until the tunnel is open. */
static void
unsent_set(const client_call_t *call, GByteArray *bytes)
{
    call->tunnel->unsent = g_byte_array_ref(bytes);
    if (call->peer->limits.unsent != NULL) {
        *call->peer->limits.unsent += bytes->len;
    }
}

static void
unsent_clear(const client_call_t *call)
{
    tunnel_t *tunnel = call->tunnel;
    if (tunnel == NULL || tunnel->unsent == NULL) {
        return;
    }
    if (call->peer->limits.unsent != NULL) {
        *call->peer->limits.unsent -= tunnel->unsent->len;
    }
    g_clear_pointer(&tunnel->unsent, g_byte_array_unref);
}

static void
tunnel_free(tunnel_t *tunnel)
{
    tunnel_reader_clear(&tunnel->reader);
    g_free(tunnel->address);
    g_free(tunnel->name);
    g_free(tunnel);
}

/* Whether the server still has, or will get, any part of a request that was
 * given up. */
static gboolean
is_given_up(const client_call_t *call)
{
    return call->busy &&
           (!call->complete || stream_socket_backlog(call->socket) > 0);
}

static void
call_free(client_call_t *call)
{
    http_peer_t *peer = call->peer;
    if (!is_given_up(call)) {
        stream_socket_reset_on_close(call->socket, FALSE);
    }
    if (call->busy) {
        peer->busy = g_list_delete_link(peer->busy, call->link);
        peer->busy_count--;
    }
    else {
        peer->idle = g_list_delete_link(peer->idle, call->link);
        peer->idle_count--;
    }
    timers_cancel(peer->timers, call->timer);
    stream_socket_destroy(call->socket);
    http_reader_clear(&call->reader);
    unsent_clear(call);
    g_clear_pointer(&call->tunnel, tunnel_free);
    g_free(call);
}

static void
call_fail(client_call_t *call, call_failure_t failure)
{
    call->ops->failed(call, failure, call->user);
    call_free(call);
}

static gboolean
is_opening(const client_call_t *call)
{
    return call->tunnel != NULL && call->tunnel->opening;
}

static void
note_sent(client_call_t *call)
{
    if (!is_opening(call) && stream_socket_take_sent(call->socket)) {
        call->sent = TRUE;
    }
}

/* ---- the answer ---- */

static gint64
kept_for(const client_call_t *call)
{
    str_t value;
    gint64 keep = call->peer->limits.idle_us;
    if (!http_head_find(&call->reader.head, "Keep-Alive", &value)) {
        return keep;
    }
    gssize at = str_find(value, STR("timeout="), 0);
    if (at < 0) {
        return keep;
    }
    gint64 seconds = 0;
    for (gsize i = (gsize)at + 8;
         i < value.length && g_ascii_isdigit(value.data[i]) && seconds < 1000;
         i++) {
        seconds = seconds * 10 + (value.data[i] - '0');
    }
    return MIN(keep, seconds * G_USEC_PER_SEC - IDLE_MARGIN_US);
}

static int
on_answer_head(void *user)
{
    client_call_t *call = user;
    const http_head_t *head = &call->reader.head;
    if (head->status < 200) {
        call->skipping = TRUE;
        return 0;
    }
    call_verdict_t verdict = call->ops->head(call, head, call->user);
    call->skipping = verdict == CALL_SKIP;
    if (verdict == CALL_SKIP) {
        call->keep = FALSE;
        return 0;
    }
    if (verdict == CALL_REFUSE || call->cancelled) {
        return -1;
    }
    call->answered = TRUE;
    call->keep =
        call->keep && head->keep_alive && (head->has_length || head->chunked);
    call->usable_until_us = timers_now(call->peer->timers) + kept_for(call);
    return 0;
}

static int
on_answer_body(void *user, str_t bytes)
{
    client_call_t *call = user;
    gsize body_max = call->peer->limits.body_max;
    if (call->skipping) {
        return 0;
    }
    call->body_length += bytes.length;
    if (body_max > 0 && call->body_length > body_max) {
        return -1;
    }
    call->ops->body(call, bytes, call->user);
    return call->cancelled ? -1 : 0;
}

static const reader_ops_t READER_OPS = {.head = on_answer_head,
                                        .body = on_answer_body};

/* Puts the connection aside for the next call, or closes it. */
static void
call_release(client_call_t *call)
{
    http_peer_t *peer = call->peer;
    gint64 left = call->usable_until_us - timers_now(peer->timers);
    gboolean is_last = call->tunnel != NULL && call->tunnel->is_last_use;
    if (!call->keep || is_last || left <= 0 ||
        stream_socket_backlog(call->socket) > 0 ||
        peer->idle_count >= peer->limits.idle_max) {
        call_free(call);
        return;
    }
    peer->busy = g_list_remove_link(peer->busy, call->link);
    peer->busy_count--;
    peer->idle = g_list_concat(call->link, peer->idle);
    peer->idle_count++;
    call->busy = FALSE;
    http_reader_reset(&call->reader);
}

static void
call_complete(client_call_t *call, gboolean more)
{
    if (more) {
        call->keep = FALSE; /* bytes after an answer belong to nobody */
    }
    call->complete = TRUE;
    call->ops->done(call, call->user);
    call_release(call);
}

static void handle_closed(client_call_t *call, int error);

static void
answer_feed(client_call_t *call, str_t bytes)
{
    gsize used = 0;
    call->in_reader = TRUE;
    reader_result_t result = http_reader_feed(&call->reader, bytes, &used);
    call->in_reader = FALSE;
    if (call->cancelled) {
        call_free(call);
        return;
    }
    if (result != READER_OK) {
        call_fail(call, call->answered ? CALL_FAILED_CUT : CALL_FAILED_SYNTAX);
        return;
    }
    if (!call->reader.complete) {
        if (call->tunnel != NULL && call->tunnel->ended) {
            handle_closed(call, 0);
        }
        return;
    }
    str_t rest = str_tail(bytes, used);
    if (!call->skipping) {
        call_complete(call, rest.length > 0);
        return;
    }
    http_reader_reset(&call->reader);
    call->reader.no_body = call->head_request;
    call->skipping = FALSE;
    if (rest.length > 0) {
        answer_feed(call, rest);
    }
}

static gboolean
may_send(client_call_t *call)
{
    return call->ops->may_send == NULL ||
           call->ops->may_send(call, call->user);
}

/* Returns TRUE if the owner does not want the call to be sent any more; it is
 * gone then. */
static gboolean
withdraw_if_unwanted(client_call_t *call)
{
    if (may_send(call)) {
        return FALSE;
    }
    call_fail(call, CALL_FAILED_WITHDRAWN);
    return TRUE;
}

static void
write_array(stream_socket_t *socket, const GByteArray *bytes)
{
    stream_socket_write(socket, (str_t){.data = (const char *)bytes->data,
                                        .length = bytes->len});
}

/* Sends the request once the tunnel is open. */
static void
handle_opened(client_call_t *call)
{
    tunnel_t *tunnel = call->tunnel;
    timers_cancel(call->peer->timers, call->timer);
    call->timer = 0;
    if (withdraw_if_unwanted(call)) {
        return;
    }
    stream_socket_take_sent(call->socket); /* of the open frame */
    tunnel->opening = FALSE;
    write_array(call->socket, tunnel->unsent);
    unsent_clear(call);
    gboolean sound = stream_socket_flush(call->socket);
    note_sent(call);
    if (!sound) {
        call_fail(call, call->sent ? CALL_FAILED_SENT : CALL_FAILED_UNSENT);
    }
}

static void
handle_refused(client_call_t *call, tunnel_refusal_t refusal)
{
    switch (refusal) {
    case TUNNEL_REFUSAL_CLOSED:
        call_fail(call, CALL_FAILED_REFUSED);
        break;
    case TUNNEL_REFUSAL_UNREACHABLE:
        call_fail(call, CALL_FAILED_UNSENT);
        break;
    default:
        call_fail(call, CALL_FAILED_TUNNEL);
    }
}

static void
handle_piece(client_call_t *call, const tunnel_piece_t *piece)
{
    tunnel_t *tunnel = call->tunnel;
    gboolean opening = tunnel->opening;
    tunnel->ended = piece->ended;
    tunnel->is_last_use |= piece->draining || piece->ended;
    if (piece->malformed || (opening && piece->data->len > 0)) {
        handle_closed(call, ECONNRESET);
    }
    else if (opening && piece->ended) {
        call_fail(call, CALL_FAILED_UNSENT);
    }
    else if (opening && !piece->opened && !piece->refusal) {
        return; /* a part of the answer */
    }
    else if (piece->refusal != TUNNEL_REFUSAL_NONE) {
        handle_refused(call, piece->refusal);
    }
    else if (opening) {
        handle_opened(call);
    }
    else if (piece->data->len > 0) {
        answer_feed(call, (str_t){.data = (const char *)piece->data->data,
                                  .length = piece->data->len});
    }
    else if (piece->ended) {
        handle_closed(call, 0);
    }
}

static void
tunnel_feed(client_call_t *call, str_t bytes)
{
    tunnel_piece_t piece;
    tunnel_reader_feed(&call->tunnel->reader, bytes, &piece);
    handle_piece(call, &piece);
    tunnel_piece_clear(&piece);
}

static void
on_bytes(void *user, str_t bytes)
{
    client_call_t *call = user;
    if (!call->busy) {
        call_free(call); /* unasked bytes on an idle connection */
        return;
    }
    if (call->traffic != NULL) {
        counter_add(call->traffic->received, (gint64)bytes.length);
    }
    if (!call->answered) {
        call->before_answer += bytes.length;
    }
    if (call->before_answer > BEFORE_ANSWER_MAX) {
        call_fail(call,
                  is_opening(call) ? CALL_FAILED_TUNNEL : CALL_FAILED_SYNTAX);
        return;
    }
    if (call->tunnel != NULL) {
        tunnel_feed(call, bytes);
        return;
    }
    answer_feed(call, bytes);
}

/* The connection to the endpoint ended. */
static void
handle_closed(client_call_t *call, int error)
{
    note_sent(call);
    if (is_opening(call)) {
        call_fail(call, CALL_FAILED_TUNNEL);
        return;
    }
    if (error == 0 && call->answered) {
        call->in_reader = TRUE;
        reader_result_t result = http_reader_end(&call->reader);
        call->in_reader = FALSE;
        if (call->cancelled) {
            call_free(call);
            return;
        }
        if (result == READER_OK && call->reader.complete) {
            call->keep = FALSE;
            call_complete(call, FALSE);
            return;
        }
    }
    if (call->answered) {
        call_fail(call, CALL_FAILED_CUT);
        return;
    }
    if (call->connecting && error == ECONNREFUSED) {
        call_fail(call, CALL_FAILED_REFUSED);
        return;
    }
    call_fail(call, call->sent ? CALL_FAILED_SENT : CALL_FAILED_UNSENT);
}

static void
on_closed(void *user, int error)
{
    client_call_t *call = user;
    if (!call->busy) {
        call_free(call);
        return;
    }
    /* Only a frame ends an answer in a tunnel. */
    handle_closed(call, call->tunnel != NULL ? ECONNRESET : error);
}

static void
on_drained(void *user)
{
    note_sent(user);
}

static void
on_connected(void *user)
{
    client_call_t *call = user;
    call->connecting = FALSE;
    if (is_opening(call)) {
        if (!stream_socket_flush(call->socket)) {
            call_fail(call, CALL_FAILED_TUNNEL);
        }
        return;
    }
    timers_cancel(call->peer->timers, call->timer);
    call->timer = 0;
    if (withdraw_if_unwanted(call)) {
        return;
    }
    gboolean sound = stream_socket_flush(call->socket);
    note_sent(call);
    if (!sound) {
        call_fail(call, call->sent ? CALL_FAILED_SENT : CALL_FAILED_UNSENT);
    }
}

static gboolean
on_may_write(void *user)
{
    client_call_t *call = user;
    return !call->busy || is_opening(call) || !withdraw_if_unwanted(call);
}

static const stream_socket_ops_t SOCKET_OPS = {.connected = on_connected,
                                               .bytes = on_bytes,
                                               .drained = on_drained,
                                               .closed = on_closed,
                                               .may_write = on_may_write};

static void
connect_expired(void *data)
{
    client_call_t *call = data;
    call->timer = 0;
    if (!stream_socket_is_quiet(call->socket)) {
        /* This process is behind, not the other side. */
        call->timer = timers_subscribe(call->peer->timers, READ_FIRST_US, 0,
                                       connect_expired, call);
        return;
    }
    call_fail(call,
              is_opening(call) ? CALL_FAILED_TUNNEL : CALL_FAILED_UNSENT);
}

/* ---- peers ---- */

http_peer_t *
http_peer_create(poller_t *poller, timers_t *timers, str_t address,
                 const http_peer_limits_t *limits)
{
    struct sockaddr_in parsed;
    if (!socket_address_parse(address, &parsed)) {
        return NULL;
    }
    http_peer_t *peer = g_new0(http_peer_t, 1);
    *peer = (http_peer_t){.poller = poller,
                          .timers = timers,
                          .address = parsed,
                          .limits = *limits};
    return peer;
}

void
http_peer_destroy(http_peer_t *peer)
{
    GList *next;
    for (GList *l = peer->busy; l != NULL; l = next) {
        client_call_t *call = l->data;
        next = l->next;
        note_sent(call);
        call_fail(call, call->answered ? CALL_FAILED_CUT
                        : call->sent   ? CALL_FAILED_SENT
                                       : CALL_FAILED_UNSENT);
    }
    for (GList *l = peer->idle; l != NULL; l = next) {
        next = l->next;
        call_free(l->data);
    }
    g_free(peer);
}

guint
http_peer_connections(const http_peer_t *peer)
{
    return peer->busy_count + peer->idle_count;
}

static client_call_t *
idle_take(http_peer_t *peer)
{
    gint64 now = timers_now(peer->timers);
    GList *next;
    for (GList *l = peer->idle; l != NULL; l = next) {
        client_call_t *call = l->data;
        next = l->next;
        if (call->usable_until_us > now &&
            stream_socket_is_quiet(call->socket)) {
            peer->idle = g_list_remove_link(peer->idle, call->link);
            peer->idle_count--;
            peer->busy = g_list_concat(call->link, peer->busy);
            peer->busy_count++;
            call->busy = TRUE;
            return call;
        }
        call_free(call);
    }
    return NULL;
}

/* A new connection to an address. Returns NULL if there are too many. */
static client_call_t *
connect_new(http_peer_t *peer, const struct sockaddr_in *address,
            gint64 connect_us)
{
    if (peer->limits.connections > 0 &&
        peer->busy_count >= peer->limits.connections) {
        return NULL;
    }
    client_call_t *call = g_new0(client_call_t, 1);
    call->peer = peer;
    call->socket =
        stream_socket_connect(peer->poller, address, &SOCKET_OPS, call);
    if (call->socket == NULL) {
        g_free(call);
        return NULL;
    }
    if (peer->limits.unsent != NULL) {
        stream_socket_count(call->socket, peer->limits.unsent);
    }
    if (peer->limits.urgent) {
        stream_socket_set_urgent(call->socket);
    }
    /* Also if this process is killed. */
    stream_socket_reset_on_close(call->socket, TRUE);
    call->busy = TRUE;
    call->connecting = TRUE;
    http_reader_init(&call->reader, FALSE, peer->limits.head_max, &READER_OPS,
                     call);
    peer->busy = g_list_prepend(peer->busy, call);
    call->link = peer->busy;
    peer->busy_count++;
    call->timer =
        timers_subscribe(peer->timers, connect_us, 0, connect_expired, call);
    return call;
}

static client_call_t *
tunnel_new(http_peer_t *peer, const http_tunnel_t *setup)
{
    struct sockaddr_in address;
    if (!socket_address_parse(str_from_cstr(setup->address), &address)) {
        return NULL;
    }
    client_call_t *call = connect_new(peer, &address, setup->open_us);
    if (call == NULL) {
        return NULL;
    }
    call->tunnel = g_new0(tunnel_t, 1);
    call->tunnel->address = g_strdup(setup->address);
    call->tunnel->name = g_strdup(setup->open->tunnel);
    call->tunnel->opening = TRUE;
    tunnel_reader_init(&call->tunnel->reader);
    GBytes *payload = tunnel_open_write(setup->open);
    GByteArray *frame = g_byte_array_new();
    tunnel_frame_write(frame, TUNNEL_OPEN, str_from_bytes(payload));
    write_array(call->socket, frame);
    g_byte_array_unref(frame);
    g_bytes_unref(payload);
    return call;
}

static void
call_begin(client_call_t *call, gsize length, gboolean head_request,
           const client_call_ops_t *ops, void *user)
{
    call->ops = ops;
    call->user = user;
    call->sent = FALSE;
    call->skipping = FALSE;
    call->answered = FALSE;
    call->complete = FALSE;
    call->keep = TRUE;
    call->length = length;
    call->before_answer = 0;
    call->body_length = 0;
    call->traffic = NULL;
    call->head_request = head_request;
    call->reader.no_body = head_request;
    stream_socket_read(call->socket, TRUE);
}

/* A failed write shows as a close in its turn, so that the owner is never told
 * of the failure within this call. */
static void
call_flush(client_call_t *call)
{
    stream_socket_flush(call->socket);
    note_sent(call);
}

client_call_t *
client_call_create(http_peer_t *peer, str_t bytes, gboolean head_request,
                   const client_call_ops_t *ops, void *user)
{
    client_call_t *call = idle_take(peer);
    if (call == NULL) {
        call = connect_new(peer, &peer->address, peer->limits.connect_us);
    }
    if (call == NULL) {
        return NULL;
    }
    call_begin(call, bytes.length, head_request, ops, user);
    stream_socket_write(call->socket, bytes);
    call_flush(call);
    return call;
}

client_call_t *
client_call_create_in_tunnel(http_peer_t *peer, const http_tunnel_t *tunnel,
                             str_t request, str_t bytes, gboolean head_request,
                             const client_call_ops_t *ops, void *user)
{
    client_call_t *call = idle_take(peer);
    if (call == NULL) {
        call = tunnel_new(peer, tunnel);
    }
    if (call == NULL) {
        return NULL;
    }
    call_begin(call, bytes.length, head_request, ops, user);
    GByteArray *frames = g_byte_array_new();
    request.length = MIN(request.length, REQUEST_NAME_MAX);
    tunnel_frame_write(frames, TUNNEL_REQUEST, request);
    tunnel_frame_write(frames, TUNNEL_DATA, bytes);
    if (call->tunnel->opening) {
        unsent_set(call, frames);
    }
    else {
        write_array(call->socket, frames);
    }
    g_byte_array_unref(frames);
    call_flush(call);
    return call;
}

const char *
client_call_tunnel_address(const client_call_t *call)
{
    return call->tunnel != NULL ? call->tunnel->address : NULL;
}

const char *
client_call_tunnel_name(const client_call_t *call)
{
    return call->tunnel != NULL ? call->tunnel->name : NULL;
}

void
http_peer_close_tunnels(http_peer_t *peer)
{
    GList *next;
    for (GList *l = peer->busy; l != NULL; l = l->next) {
        const client_call_t *call = l->data;
        if (call->tunnel != NULL) {
            call->tunnel->is_last_use = TRUE;
        }
    }
    for (GList *l = peer->idle; l != NULL; l = next) {
        next = l->next;
        call_free(l->data);
    }
}

void
client_call_count(client_call_t *call, const http_traffic_t *traffic)
{
    call->traffic = traffic;
    counter_add(traffic->sent, (gint64)call->length);
}

void
client_call_cancel(client_call_t *call)
{
    if (call->in_reader) {
        call->cancelled = TRUE;
        return;
    }
    call_free(call);
}

gboolean
client_call_sent(const client_call_t *call)
{
    return call->sent;
}

gboolean
client_call_is_quiet(const client_call_t *call)
{
    return stream_socket_is_quiet(call->socket);
}

void
client_call_read(client_call_t *call, gboolean on)
{
    stream_socket_read(call->socket, on);
}
