/* A non-blocking TCP connection with a buffered writing side. */
#ifndef CAROBLOOM_HTTP_STREAM_SOCKET_H
#define CAROBLOOM_HTTP_STREAM_SOCKET_H

#include <netinet/in.h>

#include "carobloom/common/poller.h"
#include "carobloom/common/str.h"

enum {
    SOCKET_OK = 0,
    SOCKET_ERROR_ADDRESS = -1, /* not IP:PORT */
    SOCKET_ERROR_SYSTEM = -2,  /* the kernel refused; errno tells why */
};

typedef struct stream_socket stream_socket_t;

/* What the owner is told. It may destroy the socket within any of these. */
typedef struct {
    /* An outgoing connection stands. */
    void (*connected)(void *user);
    void (*bytes)(void *user, str_t bytes);
    /* What was written has all gone to the kernel. */
    void (*drained)(void *user);
    /* The peer closed (`error` 0) or the connection failed with an errno. */
    void (*closed)(void *user, int error);
    /* The peer has closed its side, or reset the connection, while bytes that
     * it sent before may not be read yet. Taken before other events of the
     * poller. Returns TRUE if the socket was destroyed. NULL: those bytes are
     * read first, `closed` comes after. */
    gboolean (*hung_up)(void *user, gboolean reset);
    /* Asked before bytes that waited are sent. Returns FALSE if the socket was
     * destroyed instead. NULL: they are always sent. */
    gboolean (*may_write)(void *user);
} stream_socket_ops_t;

/* Parses "a.b.c.d:port". */
gboolean socket_address_parse(str_t text, struct sockaddr_in *address);
/* A listening descriptor, or a negative error. */
int socket_listen(const char *address, guint16 *port);
/* Takes a connected descriptor over. NULL when it can not be watched; it is
 * closed then. */
stream_socket_t *stream_socket_adopt(poller_t *poller, int fd,
                                     const stream_socket_ops_t *ops,
                                     void *user);
/* Starts a connection; NULL when the kernel refuses at once. */
stream_socket_t *stream_socket_connect(poller_t *poller,
                                       const struct sockaddr_in *address,
                                       const stream_socket_ops_t *ops,
                                       void *user);
/* Closes it; unsent bytes are lost. */
void stream_socket_destroy(stream_socket_t *socket);
/* Whether its end, however it comes, is a reset: what was sent but has not
 * been read by the peer is then lost, also on a link that is held up. */
void stream_socket_reset_on_close(stream_socket_t *socket, gboolean on);
/* Closes with a reset, so that the peer can not take what it has for all. */
void stream_socket_reset(stream_socket_t *socket);
/* Puts bytes in line; `stream_socket_flush` sends them. */
void stream_socket_write(stream_socket_t *socket, str_t bytes);
/* FALSE when the connection failed; `closed` is not called then. */
gboolean stream_socket_flush(stream_socket_t *socket);
/* Its events are taken before those of others. */
void stream_socket_set_urgent(stream_socket_t *socket);
/* Sets for how long the other side may leave sent bytes unacknowledged, or
 * read none, before the connection ends. */
void stream_socket_set_unread_max(stream_socket_t *socket, gint64 us);
/* Adds the bytes in line, as they come and go, to a sum of its owner's. */
void stream_socket_count(stream_socket_t *socket, gsize *sum);
/* Bytes in line. */
gsize stream_socket_backlog(const stream_socket_t *socket);
/* Whether any byte has gone to the kernel since the last call. */
gboolean stream_socket_take_sent(stream_socket_t *socket);
/* Whether nothing waits to be told to the owner, as far as the kernel knows by
 * now: no bytes and no close, or, of an outgoing connection, that it stands or
 * has failed. */
gboolean stream_socket_is_quiet(const stream_socket_t *socket);
/* Whether the peer has closed its side or reset the connection, as far as the
 * kernel knows by now; bytes that it sent before may not be read yet. */
gboolean stream_socket_has_hung_up(const stream_socket_t *socket);
/* Milliseconds since the peer's last segment arrived but for a reset; -1 when
 * unknown. */
gint64 stream_socket_quiet_ms(const stream_socket_t *socket);
void stream_socket_read(stream_socket_t *socket, gboolean on);
/* Tells the peer that nothing more is sent; it may still send. */
void stream_socket_end_writing(stream_socket_t *socket);

#endif
