/* Opens connections to endpoints on behalf of entry instances that do not
 * reach them, and passes bytes on. Takes no decision about requests. */
#include <errno.h>
#include <sys/random.h>
#include <sys/socket.h>
#include <unistd.h>

#include "carobloom/common/counters.h"
#include "carobloom/common/event_log.h"
#include "carobloom/http/stream_socket.h"
#include "carobloom/http/tunnel.h"
#include "entry_state.h"
#include "tunnel_server.h"

enum {
    MS = 1000,
    OPEN_US = 1000 * MS, /* for the first frame of a connection */
    /* Less than the other instance waits for the tunnel. */
    CONNECT_US = 250 * MS,
    /* One in so many descriptors is for tunnels, which take two each. */
    DESCRIPTORS_PER_TUNNEL = 8,
    ACCEPTS_PER_TURN = 64,
};

typedef struct {
    tunnel_server_t *server;
    stream_socket_t *near; /* to the other instance */
    stream_socket_t *far;  /* to the endpoint; NULL while not open, and once
                              it ended */
    tunnel_reader_t reader;
    tunnel_open_t open;
    guint64 timer;
    gboolean opened;
    gboolean near_paused; /* not reading there: the other side is behind */
    gboolean far_paused;
    gboolean closing; /* the last bytes go out on `near` */
} served_tunnel_t;

struct tunnel_server {
    entry_t *entry;
    char *address; /* IP:PORT that other instances use */
    int fd;
    poll_watch_t *watch;
    guint64 token;
    GHashTable *tunnels; /* set of served_tunnel_t * */
    gsize buffered;      /* bytes of all tunnels */
    gboolean draining;
};

static const char *const REFUSAL_NAMES[TUNNEL_REFUSALS] = {
    [TUNNEL_REFUSAL_NONE] = "none",
    [TUNNEL_REFUSAL_DENIED] = "denied",
    [TUNNEL_REFUSAL_BUSY] = "busy",
    [TUNNEL_REFUSAL_CUT] = "cut off too",
    [TUNNEL_REFUSAL_UNREACHABLE] = "the endpoint does not accept",
    [TUNNEL_REFUSAL_CLOSED] = "nobody listens at the endpoint's address",
};

static void
tunnel_log(const served_tunnel_t *t, event_class_t kind, const char *event,
           const char *request, const char *why)
{
    if (!event_log_begin(kind, event)) {
        return;
    }
    event_log_cstr("tunnel", t->open.tunnel);
    event_log_cstr("from", t->open.from);
    event_log_cstr("endpoint", t->open.endpoint);
    if (request != NULL) {
        event_log_cstr("request", request);
    }
    if (why != NULL) {
        event_log_cstr("why", why);
    }
    event_log_end();
}

static void
tunnel_free(gpointer data)
{
    served_tunnel_t *t = data;
    timers_cancel(t->server->entry->timers, t->timer);
    g_clear_pointer(&t->near, stream_socket_destroy);
    g_clear_pointer(&t->far, stream_socket_destroy);
    tunnel_reader_clear(&t->reader);
    tunnel_open_clear(&t->open);
    g_free(t);
}

static void
tunnel_destroy(served_tunnel_t *t)
{
    g_hash_table_remove(t->server->tunnels, t);
}

/* Ends the tunnel so that the other instance does not take what it has for
 * all. */
static void
tunnel_reset(served_tunnel_t *t)
{
    stream_socket_reset_on_close(t->near, TRUE);
    tunnel_destroy(t);
}

/* Returns FALSE if the tunnel is gone. */
static gboolean
near_write(served_tunnel_t *t, const GByteArray *bytes)
{
    stream_socket_write(t->near, (str_t){.data = (const char *)bytes->data,
                                         .length = bytes->len});
    if (!stream_socket_flush(t->near)) {
        tunnel_destroy(t);
        return FALSE;
    }
    return TRUE;
}

static gboolean
near_send(served_tunnel_t *t, tunnel_frame_t type, str_t payload)
{
    GByteArray *frame = g_byte_array_new();
    tunnel_frame_write(frame, type, payload);
    gboolean alive = near_write(t, frame);
    g_byte_array_unref(frame);
    return alive;
}

/* Closes the tunnel once its last frame was sent. */
static void
tunnel_close(served_tunnel_t *t)
{
    t->closing = TRUE;
    if (stream_socket_backlog(t->near) == 0) {
        tunnel_destroy(t);
    }
}

static void
tunnel_refuse(served_tunnel_t *t, tunnel_refusal_t refusal)
{
    char reason = (char)refusal;
    counter_add(counter_get("tunnels_refused_total", NULL, FALSE), 1);
    tunnel_log(t, EVENT_FAILURE, "tunnel_refused", NULL,
               REFUSAL_NAMES[refusal]);
    if (near_send(t, TUNNEL_REFUSED, (str_t){.data = &reason, .length = 1})) {
        tunnel_close(t);
    }
}

static gsize
backlog_max(const tunnel_server_t *server)
{
    const entry_t *e = server->entry;
    return memory_stream_max(entry_memory_bytes(e), entry_answer_bytes(e));
}

/* ---- the endpoint's side ---- */

static void
far_connected(void *user)
{
    served_tunnel_t *t = user;
    timers_cancel(t->server->entry->timers, t->timer);
    t->timer = 0;
    t->opened = TRUE;
    counter_add(counter_get("tunnels_served_total", NULL, FALSE), 1);
    tunnel_log(t, EVENT_ROUTINE, "tunnel_opened", NULL, NULL);
    near_send(t, TUNNEL_OPENED, STR(""));
}

static void
far_bytes(void *user, str_t bytes)
{
    served_tunnel_t *t = user;
    GByteArray *frame = g_byte_array_new();
    tunnel_frame_write(frame, TUNNEL_DATA, bytes);
    gboolean alive = near_write(t, frame);
    g_byte_array_unref(frame);
    if (alive && stream_socket_backlog(t->near) > backlog_max(t->server)) {
        t->far_paused = TRUE;
        stream_socket_read(t->far, FALSE);
    }
}

static void
far_drained(void *user)
{
    served_tunnel_t *t = user;
    if (t->near_paused) {
        t->near_paused = FALSE;
        stream_socket_read(t->near, TRUE);
    }
}

/* Refuses the tunnel since the endpoint is not reached. An instance that may
 * be cut off itself does not blame the endpoint. */
static void
refuse_unreached(served_tunnel_t *t, tunnel_refusal_t refusal)
{
    entry_t *e = t->server->entry;
    endpoint_t *endpoint = directory_find(e->directory, t->open.endpoint);
    if (endpoint != NULL) {
        reach_watch_record_failure(e->reach, endpoint, "a tunnel");
        if (reach_watch_avoids(e->reach, endpoint)) {
            refusal = TUNNEL_REFUSAL_CUT;
        }
    }
    tunnel_refuse(t, refusal);
}

static void
far_closed(void *user, int error)
{
    served_tunnel_t *t = user;
    g_clear_pointer(&t->far, stream_socket_destroy);
    if (!t->opened) {
        refuse_unreached(t, error == ECONNREFUSED
                                ? TUNNEL_REFUSAL_CLOSED
                                : TUNNEL_REFUSAL_UNREACHABLE);
        return;
    }
    if (error != 0) {
        tunnel_reset(t);
        return;
    }
    if (near_send(t, TUNNEL_END, STR(""))) {
        tunnel_close(t);
    }
}

static const stream_socket_ops_t FAR_OPS = {.connected = far_connected,
                                            .bytes = far_bytes,
                                            .drained = far_drained,
                                            .closed = far_closed};

static void
far_expired(void *data)
{
    served_tunnel_t *t = data;
    t->timer = 0;
    g_clear_pointer(&t->far, stream_socket_destroy);
    refuse_unreached(t, TUNNEL_REFUSAL_UNREACHABLE);
}

/* ---- the other instance's side ---- */

static gboolean
has_room(const tunnel_server_t *server)
{
    const entry_t *e = server->entry;
    guint most =
        (guint)(e->settings->descriptors / DESCRIPTORS_PER_TUNNEL / 2);
    return !server->draining && !e->refusing && !e->is_late &&
           g_hash_table_size(server->tunnels) <= most &&
           !e->is_short_of_memory &&
           memory_admits(entry_memory_bytes(e), entry_answer_bytes(e));
}

/* Whether the tunnel may be opened; if so, sets its endpoint. */
static tunnel_refusal_t
check_open(const served_tunnel_t *t, endpoint_t **endpoint)
{
    const tunnel_server_t *server = t->server;
    entry_t *e = server->entry;
    *endpoint = directory_find(e->directory, t->open.endpoint);
    if (t->open.token != server->token || *endpoint == NULL ||
        !endpoint_is_leased(*endpoint, entry_now(e))) {
        return TUNNEL_REFUSAL_DENIED;
    }
    if (!has_room(server)) {
        return TUNNEL_REFUSAL_BUSY;
    }
    return reach_watch_avoids(e->reach, *endpoint) &&
                   reach_watch_is_confirmed(e->reach, (*endpoint)->service)
               ? TUNNEL_REFUSAL_CUT
               : TUNNEL_REFUSAL_NONE;
}

/* Connects to the endpoint. */
static void
tunnel_begin(served_tunnel_t *t)
{
    entry_t *e = t->server->entry;
    endpoint_t *endpoint;
    struct sockaddr_in address;
    timers_cancel(e->timers, t->timer);
    t->timer = 0;
    tunnel_refusal_t refusal = check_open(t, &endpoint);
    if (refusal != TUNNEL_REFUSAL_NONE) {
        tunnel_refuse(t, refusal);
        return;
    }
    if (socket_address_parse(str_from_cstr(endpoint->address), &address)) {
        t->far = stream_socket_connect(e->poller, &address, &FAR_OPS, t);
    }
    if (t->far == NULL) {
        tunnel_refuse(t, TUNNEL_REFUSAL_BUSY);
        return;
    }
    /* When the other instance gives a request up, so does the endpoint. */
    stream_socket_reset_on_close(t->far, TRUE);
    stream_socket_count(t->far, &t->server->buffered);
    t->timer = timers_subscribe(e->timers, CONNECT_US, 0, far_expired, t);
}

static void
pass_request(served_tunnel_t *t, const GByteArray *data)
{
    stream_socket_write(t->far, (str_t){.data = (const char *)data->data,
                                        .length = data->len});
    if (!stream_socket_flush(t->far)) {
        tunnel_reset(t);
        return;
    }
    if (stream_socket_backlog(t->far) > backlog_max(t->server)) {
        t->near_paused = TRUE;
        stream_socket_read(t->near, FALSE);
    }
}

static void
handle_piece(served_tunnel_t *t, const tunnel_piece_t *piece)
{
    gboolean begins = piece->open != NULL;
    gboolean has_begun = t->open.from != NULL;
    if (piece->malformed || (begins && has_begun) ||
        (!begins && !has_begun &&
         (piece->data->len > 0 || piece->request != NULL))) {
        tunnel_reset(t);
        return;
    }
    if (begins) {
        if (!tunnel_open_read(piece->open, &t->open)) {
            tunnel_reset(t);
            return;
        }
        tunnel_begin(t);
        return;
    }
    if (piece->request != NULL) {
        counter_add(counter_get("tunnel_requests_served_total", NULL, FALSE),
                    1);
        tunnel_log(t, EVENT_ROUTINE, "tunnel_request", piece->request, NULL);
    }
    if (piece->data->len > 0 && t->opened && t->far != NULL) {
        pass_request(t, piece->data);
    }
}

static void
near_bytes(void *user, str_t bytes)
{
    served_tunnel_t *t = user;
    tunnel_piece_t piece;
    if (t->closing) {
        return;
    }
    tunnel_reader_feed(&t->reader, bytes, &piece);
    handle_piece(t, &piece);
    tunnel_piece_clear(&piece);
}

static void
near_drained(void *user)
{
    served_tunnel_t *t = user;
    if (t->closing) {
        tunnel_destroy(t);
        return;
    }
    if (t->far_paused && t->far != NULL) {
        t->far_paused = FALSE;
        stream_socket_read(t->far, TRUE);
    }
}

/* The caller left, or the other instance ended: so does the run. */
static void
near_closed(void *user, int error)
{
    (void)error;
    tunnel_destroy(user);
}

static gboolean
near_hung_up(void *user, gboolean reset)
{
    (void)reset;
    tunnel_destroy(user);
    return TRUE;
}

static void
near_connected(void *user)
{
    (void)user;
}

static const stream_socket_ops_t NEAR_OPS = {.connected = near_connected,
                                             .bytes = near_bytes,
                                             .drained = near_drained,
                                             .closed = near_closed,
                                             .hung_up = near_hung_up};

static void
open_expired(void *data)
{
    served_tunnel_t *t = data;
    t->timer = 0;
    tunnel_destroy(t);
}

/* ---- the listener ---- */

static void
tunnel_accept(tunnel_server_t *server, int fd)
{
    entry_t *e = server->entry;
    served_tunnel_t *t = g_new0(served_tunnel_t, 1);
    t->server = server;
    tunnel_reader_init(&t->reader);
    t->near = stream_socket_adopt(e->poller, fd, &NEAR_OPS, t);
    if (t->near == NULL) {
        tunnel_reader_clear(&t->reader);
        g_free(t);
        return;
    }
    stream_socket_count(t->near, &server->buffered);
    t->timer = timers_subscribe(e->timers, OPEN_US, 0, open_expired, t);
    g_hash_table_add(server->tunnels, t);
}

static void
on_acceptable(guint32 events, void *data)
{
    (void)events;
    tunnel_server_t *server = data;
    for (int i = 0; i < ACCEPTS_PER_TURN; i++) {
        int fd = accept4(server->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            return;
        }
        tunnel_accept(server, fd);
    }
}

static guint64
random_token(void)
{
    guint64 token = 0;
    if (getrandom(&token, sizeof(token), 0) != (ssize_t)sizeof(token) &&
        event_log_begin(EVENT_STATE, "no_random_numbers")) {
        event_log_cstr("why", g_strerror(errno));
        event_log_end();
    }
    return token;
}

tunnel_server_t *
tunnel_server_create(entry_t *e)
{
    const gateway_settings_t *s = e->settings;
    guint16 port;
    gboolean is_control = s->control != NULL && *s->control != '\0';
    if (s->peers_port == 0 || is_control) {
        return NULL; /* the port belongs to the control role */
    }
    char *listen = gateway_settings_inner_listener(s);
    int fd = socket_listen(listen, &port);
    if (fd < 0) {
        if (event_log_begin(EVENT_STATE, "listen_failed")) {
            event_log_cstr("address", listen);
            event_log_end();
        }
        g_free(listen);
        return NULL;
    }
    g_free(listen);
    tunnel_server_t *server = g_new0(tunnel_server_t, 1);
    *server = (tunnel_server_t){
        .entry = e,
        .address = g_strdup_printf("%s:%d", s->address, (int)s->peers_port),
        .fd = fd,
        .token = random_token(),
        .tunnels = g_hash_table_new_full(NULL, NULL, tunnel_free, NULL)};
    server->watch =
        poll_watch_create(e->poller, fd, EPOLLIN, on_acceptable, server);
    if (server->watch == NULL) {
        tunnel_server_destroy(server);
        return NULL;
    }
    return server;
}

void
tunnel_server_destroy(tunnel_server_t *server)
{
    g_hash_table_unref(server->tunnels);
    g_clear_pointer(&server->watch, poll_watch_destroy);
    close(server->fd);
    g_free(server->address);
    g_free(server);
}

const char *
tunnel_server_address(const tunnel_server_t *server)
{
    return server != NULL ? server->address : "";
}

guint64
tunnel_server_token(const tunnel_server_t *server)
{
    return server != NULL ? server->token : 0;
}

guint
tunnel_server_count(const tunnel_server_t *server)
{
    return server != NULL ? g_hash_table_size(server->tunnels) : 0;
}

gsize
tunnel_server_buffered(const tunnel_server_t *server)
{
    return server != NULL ? server->buffered : 0;
}

void
tunnel_server_drain(tunnel_server_t *server)
{
    if (server == NULL) {
        return;
    }
    server->draining = TRUE;
    GList *tunnels = g_hash_table_get_keys(server->tunnels);
    for (GList *l = tunnels; l != NULL; l = l->next) {
        near_send(l->data, TUNNEL_DRAIN, STR(""));
    }
    g_list_free(tunnels);
}
