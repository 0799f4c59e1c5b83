#include "carobloom/process/peers_task.h"

#include <errno.h>
#include <jansson.h>
#include <string.h>
#include <zmq.h>

#include "carobloom/common/counters.h"
#include "carobloom/common/log.h"
#include "carobloom/policy/membership.h"
#include "carobloom/process/messages.h"
#include "carobloom/process/wire.h"
#include "peers_auth.h"

static const gint64 PERIOD_US = 400 * 1000;
static const gint64 SUSPICION_US = 1200 * 1000;
static const gint64 FORGET_US = 600 * (gint64)G_USEC_PER_SEC;
static const gint64 TICK_US = 50 * 1000;
enum {
    HEADER_BYTES = 17, /* kind, from, to */
    SEND_BOUND = 10000,
    FRAMES_A_TURN = 256,
    FRAME_BYTES_MAX = 64 * 1024 * 1024,
};

/* A connection towards one address. */
typedef struct {
    char *address;
    void *socket;
    gint64 used_us;
} link_t;

struct peers_task {
    process_t *process;
    void *context;
    void *router;
    peers_auth_t *auth;
    GSource *source;
    guint64 version; /* of the document in force here */
    membership_t *membership;
    GHashTable *links; /* address -> link_t */
    counter_t *sent_bytes;
    counter_t *sent_messages;
    counter_t *received_bytes;
    counter_t *received_messages;
    counter_t *dropped;
};

/* A GSource over the ROUTER's descriptor, which is edge-triggered: it is
 * read until empty. */
typedef struct {
    GSource source;
    peers_task_t *peers;
} peers_source_t;

static void
link_free(gpointer data)
{
    link_t *link = data;
    zmq_close(link->socket);
    g_free(link->address);
    g_free(link);
}

/* ---- sending ---- */

static link_t *
link_open(peers_task_t *p, const char *address)
{
    link_t *link = g_hash_table_lookup(p->links, address);
    if (link != NULL) {
        return link;
    }
    link = g_new0(link_t, 1);
    link->address = g_strdup(address);
    link->socket = zmq_socket(p->context, ZMQ_DEALER);
    int bound = SEND_BOUND;
    int none = 0;
    zmq_setsockopt(link->socket, ZMQ_SNDHWM, &bound, sizeof(bound));
    zmq_setsockopt(link->socket, ZMQ_LINGER, &none, sizeof(none));
    peers_auth_client(p->process->settings, link->socket);
    char *uri = g_strdup_printf("tcp://%s", address);
    zmq_connect(link->socket, uri);
    g_free(uri);
    g_hash_table_insert(p->links, link->address, link);
    return link;
}

static void
send_frame(peers_task_t *p, const char *address, guint64 to, guint8 kind,
           GBytes *body)
{
    link_t *link = link_open(p, address);
    gsize length;
    const void *data = g_bytes_get_data(body, &length);
    zmq_msg_t frame;
    zmq_msg_init_size(&frame, HEADER_BYTES + length);
    guint8 *out = zmq_msg_data(&frame);
    guint64 from_le = GUINT64_TO_LE(p->process->member);
    guint64 to_le = GUINT64_TO_LE(to);
    out[0] = kind;
    memcpy(out + 1, &from_le, sizeof(from_le));
    memcpy(out + 9, &to_le, sizeof(to_le));
    if (length > 0) {
        memcpy(out + HEADER_BYTES, data, length);
    }
    link->used_us = g_get_monotonic_time();
    if (zmq_msg_send(&frame, link->socket, ZMQ_DONTWAIT) < 0) {
        counter_add(p->dropped, 1);
        zmq_msg_close(&frame);
        return;
    }
    counter_add(p->sent_messages, 1);
    counter_add(p->sent_bytes, (gint64)(HEADER_BYTES + length));
}

static void
handle_send(peers_task_t *p, const wire_message_t *m)
{
    const member_record_t *record = membership_find(p->membership, m->member);
    if (record == NULL || record->state >= MEMBER_DEAD) {
        counter_add(p->dropped, 1);
        return;
    }
    send_frame(p, record->address, m->member, m->kind, m->bytes);
}

/* ---- members ---- */

static GArray *
alive_members(peers_task_t *p)
{
    GArray *records = membership_list(p->membership);
    GArray *alive = g_array_new(FALSE, TRUE, sizeof(member_info_t));
    for (guint i = 0; i < records->len; i++) {
        const member_record_t *r = &g_array_index(records, member_record_t, i);
        if (r->state > MEMBER_SUSPECT) {
            continue;
        }
        member_info_t info = {.id = r->id,
                              .control = r->control,
                              /* A suspect keeps its tickets, but owns no
                               * pool until it refutes. */
                              .draining =
                                  r->draining || r->state == MEMBER_SUSPECT};
        g_strlcpy(info.name, r->name, sizeof(info.name));
        g_strlcpy(info.region, r->region, sizeof(info.region));
        g_strlcpy(info.data_centre, r->data_centre, sizeof(info.data_centre));
        g_strlcpy(info.peers_address, r->address, sizeof(info.peers_address));
        g_array_append_val(alive, info);
    }
    g_array_unref(records);
    return alive;
}

static void
send_members(task_t *task, message_type_t type, GArray *members)
{
    task_send(task,
              MESSAGE(members_message_t, .base = {type, members_message_free},
                      .members = g_array_ref(members)));
}

static gboolean
link_is_gone(gpointer key, gpointer value, gpointer data)
{
    (void)value;
    const GArray *members = data;
    for (guint i = 0; i < members->len; i++) {
        const member_info_t *m = &g_array_index(members, member_info_t, i);
        if (strcmp(m->peers_address, key) == 0) {
            return FALSE;
        }
    }
    return TRUE;
}

static void
publish_members(peers_task_t *p)
{
    GArray *members = alive_members(p);
    log_info(LOG_PART_PEERS, "%u instances are alive.", members->len);
    counter_set(counter_get("members_alive", NULL, TRUE), members->len);
    send_members(p->process->policy, POLICY_MEMBERS, members);
    send_members(p->process->voter, VOTER_MEMBERS, members);
    g_hash_table_foreach_remove(p->links, link_is_gone, members);
    g_array_unref(members);
}

static void
flush_gossip(peers_task_t *p)
{
    GPtrArray *sends = membership_take_messages(p->membership);
    for (guint i = 0; i < sends->len; i++) {
        const membership_message_t *s = sends->pdata[i];
        if (s->reconnect) {
            g_hash_table_remove(p->links, s->address);
        }
        send_frame(p, s->address, s->to, WIRE_GOSSIP, s->bytes);
    }
    g_ptr_array_unref(sends);
    if (membership_take_changed(p->membership)) {
        publish_members(p);
    }
}

/* A ping told of a newer document than the one here. */
static void
check_version(peers_task_t *p)
{
    guint64 member;
    guint64 best = membership_newest_config_version(p->membership, &member);
    if (best > p->version) {
        task_send(p->process->voter,
                  MESSAGE(version_message_t,
                          .base = {VOTER_VERSION, message_free},
                          .version = best, .member = member));
    }
}

static void
tick(void *data)
{
    peers_task_t *p = data;
    membership_tick(p->membership, g_get_monotonic_time());
    flush_gossip(p);
    check_version(p);
}

/* ---- receiving ---- */

static message_type_t
type_of_kind(guint8 kind)
{
    return kind >= WIRE_VOTER ? VOTER_WIRE : POLICY_WIRE;
}

static void
take_frame(peers_task_t *p, const guint8 *data, gsize length)
{
    if (length < HEADER_BYTES) {
        return;
    }
    guint64 from;
    guint64 to;
    memcpy(&from, data + 1, sizeof(from));
    memcpy(&to, data + 9, sizeof(to));
    from = GUINT64_FROM_LE(from);
    to = GUINT64_FROM_LE(to);
    if (to != 0 && to != p->process->member) {
        return;
    }
    counter_add(p->received_messages, 1);
    counter_add(p->received_bytes, (gint64)length);
    GBytes *body = g_bytes_new(data + HEADER_BYTES, length - HEADER_BYTES);
    if (data[0] == WIRE_GOSSIP) {
        membership_receive(p->membership, body, g_get_monotonic_time());
        flush_gossip(p);
        g_bytes_unref(body);
        return;
    }
    message_type_t type = type_of_kind(data[0]);
    task_t *task = type == VOTER_WIRE ? p->process->voter : p->process->policy;
    task_send(task, MESSAGE(wire_message_t, .base = {type, wire_message_free},
                            .member = from, .kind = data[0], .bytes = body));
}

/* Reads one message, its first part being the connection's identity. */
static gboolean
read_one(peers_task_t *p)
{
    zmq_msg_t part;
    zmq_msg_init(&part);
    if (zmq_msg_recv(&part, p->router, ZMQ_DONTWAIT) < 0) {
        zmq_msg_close(&part);
        return FALSE;
    }
    while (zmq_msg_more(&part)) {
        zmq_msg_close(&part);
        zmq_msg_init(&part);
        if (zmq_msg_recv(&part, p->router, ZMQ_DONTWAIT) < 0) {
            break;
        }
        if (!zmq_msg_more(&part)) {
            take_frame(p, zmq_msg_data(&part), zmq_msg_size(&part));
        }
    }
    zmq_msg_close(&part);
    return TRUE;
}

static gboolean
readable(peers_task_t *p)
{
    int events = 0;
    size_t size = sizeof(events);
    zmq_getsockopt(p->router, ZMQ_EVENTS, &events, &size);
    return (events & ZMQ_POLLIN) != 0;
}

static gboolean
source_prepare(GSource *source, gint *timeout)
{
    *timeout = -1;
    return readable(((peers_source_t *)source)->peers);
}

static gboolean
source_check(GSource *source)
{
    return readable(((peers_source_t *)source)->peers);
}

static gboolean
source_dispatch(GSource *source, GSourceFunc fn, gpointer data)
{
    (void)fn;
    (void)data;
    peers_task_t *p = ((peers_source_t *)source)->peers;
    for (int i = 0; i < FRAMES_A_TURN && read_one(p); i++) {
    }
    return G_SOURCE_CONTINUE;
}

static GSourceFuncs source_funcs = {
    .prepare = source_prepare,
    .check = source_check,
    .dispatch = source_dispatch,
};

/* ---- life ---- */

static gboolean
router_open(peers_task_t *p)
{
    const settings_t *s = p->process->settings;
    p->router = zmq_socket(p->context, ZMQ_ROUTER);
    gint64 most = FRAME_BYTES_MAX;
    int bound = SEND_BOUND;
    zmq_setsockopt(p->router, ZMQ_MAXMSGSIZE, &most, sizeof(most));
    zmq_setsockopt(p->router, ZMQ_RCVHWM, &bound, sizeof(bound));
    peers_auth_server(s, p->router);
    char *uri = g_strdup_printf("tcp://%s", s->peers.address);
    int result = zmq_bind(p->router, uri);
    if (result != 0) {
        log_error(LOG_PART_PEERS, "Can not listen for peers at %s: %s.",
                  s->peers.address, zmq_strerror(errno));
    }
    g_free(uri);
    return result == 0;
}

static membership_t *
membership_start(const process_t *process)
{
    const settings_t *s = process->settings;
    member_record_t self = {.id = process->member,
                            .started = (guint64)g_get_real_time() / 1000,
                            .control = s->control};
    g_strlcpy(self.name, s->instance, sizeof(self.name));
    g_strlcpy(self.region, s->region, sizeof(self.region));
    g_strlcpy(self.data_centre, s->data_centre, sizeof(self.data_centre));
    g_strlcpy(self.address, s->peers.address, sizeof(self.address));
    membership_settings_t settings = {
        .period_us = PERIOD_US,
        .suspicion_us = SUSPICION_US,
        .dead_expiry_us = FORGET_US,
        .seed = process->incarnation,
    };
    membership_t *m =
        membership_create(&self, &settings, g_get_monotonic_time());
    for (int i = 0; s->peers.seeds && s->peers.seeds[i]; i++) {
        membership_add_seed(m, s->peers.seeds[i]);
    }
    return m;
}

peers_task_t *
peers_task_create(process_t *process)
{
    peers_task_t *p = g_new0(peers_task_t, 1);
    p->process = process;
    p->context = zmq_ctx_new();
    p->auth = peers_auth_create(process->settings, p->context);
    p->links = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, link_free);
    p->sent_bytes = counter_get("peer_sent_bytes_total", NULL, FALSE);
    p->sent_messages = counter_get("peer_sent_messages_total", NULL, FALSE);
    p->received_bytes = counter_get("peer_received_bytes_total", NULL, FALSE);
    p->received_messages =
        counter_get("peer_received_messages_total", NULL, FALSE);
    p->dropped = counter_get("peer_dropped_messages_total", NULL, FALSE);
    p->membership = membership_start(process);
    if (!router_open(p)) {
        peers_task_destroy(p);
        return NULL;
    }
    return p;
}

void
peers_task_destroy(peers_task_t *p)
{
    g_hash_table_unref(p->links);
    membership_destroy(p->membership);
    int none = 0;
    zmq_setsockopt(p->router, ZMQ_LINGER, &none, sizeof(none));
    zmq_close(p->router);
    zmq_ctx_shutdown(p->context);
    peers_auth_destroy(p->auth);
    zmq_ctx_term(p->context);
    g_free(p);
}

void
peers_task_begin(void *state)
{
    peers_task_t *p = state;
    int fd;
    size_t size = sizeof(fd);
    zmq_getsockopt(p->router, ZMQ_FD, &fd, &size);
    p->source = g_source_new(&source_funcs, sizeof(peers_source_t));
    ((peers_source_t *)p->source)->peers = p;
    g_source_add_unix_fd(p->source, fd, G_IO_IN);
    g_source_attach(p->source, task_context(p->process->peers));
    timers_subscribe(task_timers(p->process->peers), 0, TICK_US, tick, p);
    /* Every change of the document in force is told on the next pings. */
    log_info(LOG_PART_PEERS, "Listening for peers at %s.",
             p->process->settings->peers.address);
}

void
peers_task_end(void *state)
{
    peers_task_t *p = state;
    membership_leave(p->membership, g_get_monotonic_time());
    flush_gossip(p);
    /* A moment for the goodbye to leave. */
    g_usleep(50 * 1000);
    g_source_destroy(p->source);
    g_source_unref(p->source);
}

static json_t *
member_dump(const member_record_t *r)
{
    static const char *const states[] = {"alive", "suspect", "dead", "left"};
    return json_pack("{s:s, s:s, s:s, s:s, s:s, s:b, s:b}", "name", r->name,
                     "state", states[r->state], "data_centre", r->data_centre,
                     "region", r->region, "address", r->address, "control",
                     (int)r->control, "draining", (int)r->draining);
}

static void
handle_dump(peers_task_t *p, const ask_message_t *m)
{
    GArray *records = membership_list(p->membership);
    json_t *members = json_array();
    for (guint i = 0; i < records->len; i++) {
        json_array_append_new(
            members, member_dump(&g_array_index(records, member_record_t, i)));
    }
    g_array_unref(records);
    json_t *root = json_pack(
        "{s:o, s:i, s:I, s:I, s:I, s:I}", "members", members, "links",
        (int)g_hash_table_size(p->links), "sent_bytes",
        (json_int_t)counter_value(p->sent_bytes), "sent_messages",
        (json_int_t)counter_value(p->sent_messages), "received_bytes",
        (json_int_t)counter_value(p->received_bytes), "received_messages",
        (json_int_t)counter_value(p->received_messages));
    reply_send(m->http, m->call, 200, root);
}

void
peers_task_handle(void *state, message_t *message)
{
    peers_task_t *p = state;
    switch ((message_type_t)message->type) {
    case PEERS_SEND:
        handle_send(p, (wire_message_t *)message);
        break;
    case PEERS_DUMP:
        handle_dump(p, (ask_message_t *)message);
        break;
    case PEERS_VERSION:
        p->version = ((version_message_t *)message)->version;
        membership_set_config_version(p->membership, p->version);
        break;
    case PEERS_LEAVE:
        membership_set_draining(p->membership, g_get_monotonic_time());
        flush_gossip(p);
        break;
    default:
        break;
    }
}
