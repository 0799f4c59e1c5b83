#include "carobloom/http/stream_socket.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    /* A larger buffer is freed once its bytes are sent. */
    IDLE_BUFFER_MAX = 4 * 1024,
    READ_BYTES = 32 * 1024,
    BACKLOG = 1024, /* connections waiting to be accepted */
    /* Unacknowledged bytes for so long end a connection: several round trips
     * with losses, well under the bounds for a final answer. */
    USER_TIMEOUT_MS = 4000,
    /* An idle peer that is gone is found within four seconds. USER_TIMEOUT_MS
     * decides that too, whatever the number of probes. */
    KEEPALIVE_IDLE_S = 1,
    KEEPALIVE_INTERVAL_S = 1,
    KEEPALIVE_PROBES = 3,
};

struct stream_socket {
    int fd;
    poll_watch_t *watch;
    const stream_socket_ops_t *ops;
    void *user;
    GByteArray *out; /* NULL while nothing waits */
    gsize out_at;
    guint out_peak; /* the most bytes that `out` has held */
    gboolean connecting;
    int refused; /* errno of a connection that failed at once */
    gboolean reading;
    gboolean sent;
    gboolean hung_up; /* the owner was told */
    gsize *sum;       /* of its owner's, of the bytes in line, or NULL */
};

gboolean
socket_address_parse(str_t text, struct sockaddr_in *address)
{
    char host[64];
    gsize colon = 0;
    guint64 port = 0;
    while (colon < text.length && text.data[colon] != ':') {
        colon++;
    }
    if (colon >= sizeof(host) || colon + 1 >= text.length ||
        text.length - colon > 6) {
        return FALSE;
    }
    for (gsize i = colon + 1; i < text.length; i++) {
        if (!g_ascii_isdigit(text.data[i])) {
            return FALSE;
        }
        port = port * 10 + (guint64)(text.data[i] - '0');
    }
    memcpy(host, text.data, colon);
    host[colon] = '\0';
    *address = (struct sockaddr_in){.sin_family = AF_INET,
                                    .sin_port = htons((guint16)port)};
    return port <= G_MAXUINT16 &&
           inet_pton(AF_INET, host, &address->sin_addr) == 1;
}

int
socket_listen(const char *text, guint16 *port)
{
    struct sockaddr_in address;
    socklen_t length = sizeof(address);
    if (!socket_address_parse(str_from_cstr(text), &address)) {
        return SOCKET_ERROR_ADDRESS;
    }
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int one = 1;
    if (fd < 0) {
        return SOCKET_ERROR_SYSTEM;
    }
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(fd, BACKLOG) != 0 ||
        getsockname(fd, (struct sockaddr *)&address, &length) != 0) {
        int error = errno;
        close(fd);
        errno = error;
        return SOCKET_ERROR_SYSTEM;
    }
    *port = ntohs(address.sin_port);
    return fd;
}

static void
socket_options(int fd)
{
    int one = 1;
    int timeout = USER_TIMEOUT_MS;
    int idle = KEEPALIVE_IDLE_S;
    int interval = KEEPALIVE_INTERVAL_S;
    int probes = KEEPALIVE_PROBES;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

static guint32
wanted_events(const stream_socket_t *s)
{
    guint32 events = 0;
    if (s->connecting || (s->out != NULL && s->out->len > s->out_at)) {
        events |= EPOLLOUT;
    }
    if (s->reading && !s->connecting) {
        events |= EPOLLIN;
    }
    if (s->ops->hung_up != NULL && !s->hung_up) {
        events |= EPOLLRDHUP;
    }
    return events;
}

static void
update_watch(stream_socket_t *s)
{
    poll_watch_set(s->watch, wanted_events(s));
}

static void
handle_readable(stream_socket_t *s)
{
    static __thread char buffer[READ_BYTES];
    ssize_t count = recv(s->fd, buffer, sizeof(buffer), 0);
    if (count > 0) {
        s->ops->bytes(s->user,
                      (str_t){.data = buffer, .length = (gsize)count});
    }
    else if (count == 0) {
        s->ops->closed(s->user, 0);
    }
    else if (errno != EAGAIN && errno != EINTR) {
        s->ops->closed(s->user, errno);
    }
}

static void
handle_connected(stream_socket_t *s)
{
    int error = s->refused;
    socklen_t length = sizeof(error);
    if (error == 0) {
        getsockopt(s->fd, SOL_SOCKET, SO_ERROR, &error, &length);
    }
    if (error != 0) {
        s->ops->closed(s->user, error);
        return;
    }
    s->connecting = FALSE;
    update_watch(s);
    s->ops->connected(s->user);
}

static void
handle_writable(stream_socket_t *s)
{
    if (s->ops->may_write != NULL && !s->ops->may_write(s->user)) {
        return;
    }
    if (!stream_socket_flush(s)) {
        s->ops->closed(s->user, EPIPE);
        return;
    }
    if (stream_socket_backlog(s) == 0) {
        s->ops->drained(s->user);
    }
}

/* Returns TRUE if the socket was destroyed. */
static gboolean
handle_hang_up(stream_socket_t *s, guint32 events)
{
    if (s->hung_up || !(events & (EPOLLRDHUP | EPOLLERR | EPOLLHUP))) {
        return FALSE;
    }
    s->hung_up = TRUE;
    if (s->ops->hung_up(s->user, (events & (EPOLLERR | EPOLLHUP)) != 0)) {
        return TRUE;
    }
    update_watch(s); /* it would be told again and again */
    return FALSE;
}

static void
handle_events(guint32 events, void *data)
{
    stream_socket_t *s = data;
    if (s->ops->hung_up != NULL && handle_hang_up(s, events)) {
        return;
    }
    if (s->connecting) {
        handle_connected(s);
    }
    else if (events & EPOLLIN) {
        handle_readable(s);
    }
    else if (events & (EPOLLERR | EPOLLHUP)) {
        int error = 0;
        socklen_t length = sizeof(error);
        getsockopt(s->fd, SOL_SOCKET, SO_ERROR, &error, &length);
        s->ops->closed(s->user, error != 0 ? error : ECONNRESET);
    }
    else if (events & EPOLLOUT) {
        handle_writable(s);
    }
}

static stream_socket_t *
socket_create(poller_t *poller, int fd, gboolean connecting,
              const stream_socket_ops_t *ops, void *user)
{
    stream_socket_t *s = g_new0(stream_socket_t, 1);
    *s = (stream_socket_t){.fd = fd,
                           .ops = ops,
                           .user = user,
                           .connecting = connecting,
                           .reading = TRUE};
    s->watch =
        poll_watch_create(poller, fd, wanted_events(s), handle_events, s);
    if (s->watch == NULL) {
        close(fd);
        g_clear_pointer(&s, g_free);
        return NULL;
    }
    if (ops->hung_up != NULL) {
        poll_watch_set_close_urgent(s->watch);
    }
    return s;
}

stream_socket_t *
stream_socket_adopt(poller_t *poller, int fd, const stream_socket_ops_t *ops,
                    void *user)
{
    socket_options(fd);
    return socket_create(poller, fd, FALSE, ops, user);
}

stream_socket_t *
stream_socket_connect(poller_t *poller, const struct sockaddr_in *address,
                      const stream_socket_ops_t *ops, void *user)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return NULL;
    }
    socket_options(fd);
    /* Between processes of one machine a port that nobody listens at is known
     * at once. The owner is told in its turn, as of a machine far away. */
    int error = 0;
    if (connect(fd, (const struct sockaddr *)address, sizeof(*address)) != 0) {
        error = errno;
    }
    if (error != 0 && error != EINPROGRESS && error != ECONNREFUSED) {
        close(fd);
        return NULL;
    }
    stream_socket_t *s = socket_create(poller, fd, TRUE, ops, user);
    if (s != NULL && error == ECONNREFUSED) {
        s->refused = error;
    }
    return s;
}

void
stream_socket_set_urgent(stream_socket_t *s)
{
    poll_watch_set_urgent(s->watch);
}

void
stream_socket_set_unread_max(stream_socket_t *s, gint64 us)
{
    int timeout_ms = (int)(us / 1000);
    setsockopt(s->fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
               sizeof(timeout_ms));
}

void
stream_socket_count(stream_socket_t *s, gsize *sum)
{
    s->sum = sum;
    *sum += stream_socket_backlog(s);
}

void
stream_socket_destroy(stream_socket_t *s)
{
    if (s->sum != NULL) {
        *s->sum -= stream_socket_backlog(s);
    }
    poll_watch_destroy(s->watch);
    close(s->fd);
    if (s->out != NULL) {
        g_byte_array_unref(s->out);
    }
    g_free(s);
}

void
stream_socket_reset_on_close(stream_socket_t *s, gboolean on)
{
    struct linger linger = {.l_onoff = on, .l_linger = 0};
    setsockopt(s->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

void
stream_socket_reset(stream_socket_t *s)
{
    stream_socket_reset_on_close(s, TRUE);
    stream_socket_destroy(s);
}

/* Drops sent bytes once they are most of the array, so that each byte is moved
 * once on average. */
static void
drop_sent(stream_socket_t *s)
{
    if (s->out_at > s->out->len / 2) {
        g_byte_array_remove_range(s->out, 0, (guint)s->out_at);
        s->out_at = 0;
    }
}

void
stream_socket_write(stream_socket_t *s, str_t bytes)
{
    if (s->out == NULL) {
        s->out = g_byte_array_new();
    }
    drop_sent(s);
    g_byte_array_append(s->out, (const guint8 *)bytes.data,
                        (guint)bytes.length);
    s->out_peak = MAX(s->out_peak, s->out->len);
    if (s->sum != NULL) {
        *s->sum += bytes.length;
    }
}

static void
empty_buffer(stream_socket_t *s)
{
    s->out_at = 0;
    if (s->out_peak > IDLE_BUFFER_MAX) {
        g_clear_pointer(&s->out, g_byte_array_unref);
        s->out_peak = 0;
        return;
    }
    g_byte_array_set_size(s->out, 0);
}

gboolean
stream_socket_flush(stream_socket_t *s)
{
    while (!s->connecting && s->out != NULL && s->out_at < s->out->len) {
        ssize_t count = send(s->fd, s->out->data + s->out_at,
                             s->out->len - s->out_at, MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count < 0 && errno == EAGAIN) {
            break;
        }
        if (count <= 0) {
            return FALSE;
        }
        s->sent = TRUE;
        s->out_at += (gsize)count;
        if (s->sum != NULL) {
            *s->sum -= (gsize)count;
        }
    }
    if (s->out != NULL && s->out_at == s->out->len) {
        empty_buffer(s);
    }
    update_watch(s);
    return TRUE;
}

gsize
stream_socket_backlog(const stream_socket_t *s)
{
    return s->out != NULL ? s->out->len - s->out_at : 0;
}

gboolean
stream_socket_take_sent(stream_socket_t *s)
{
    gboolean sent = s->sent;
    s->sent = FALSE;
    return sent;
}

gboolean
stream_socket_is_quiet(const stream_socket_t *s)
{
    struct pollfd poll_fd = {.fd = s->fd,
                             .events = s->connecting ? POLLOUT : POLLIN};
    return s->refused == 0 && poll(&poll_fd, 1, 0) == 0;
}

gboolean
stream_socket_has_hung_up(const stream_socket_t *s)
{
    struct pollfd poll_fd = {.fd = s->fd, .events = POLLRDHUP};
    return s->hung_up || poll(&poll_fd, 1, 0) > 0;
}

gint64
stream_socket_quiet_ms(const stream_socket_t *s)
{
    struct tcp_info info;
    socklen_t length = sizeof(info);
    if (getsockopt(s->fd, IPPROTO_TCP, TCP_INFO, &info, &length) != 0) {
        return -1;
    }
    return info.tcpi_last_ack_recv;
}

void
stream_socket_read(stream_socket_t *s, gboolean on)
{
    s->reading = on;
    update_watch(s);
}

void
stream_socket_end_writing(stream_socket_t *s)
{
    shutdown(s->fd, SHUT_WR);
}
