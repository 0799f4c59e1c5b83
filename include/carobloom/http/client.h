/* The calling side of HTTP/1.1: kept connections to one address, calls.
 *
 * A call is sent once on one connection and never again by this layer. Its
 * failure says whether a byte of it may have reached the server. */
#ifndef CAROBLOOM_HTTP_CLIENT_H
#define CAROBLOOM_HTTP_CLIENT_H

#include "carobloom/common/counters.h"
#include "carobloom/common/poller.h"
#include "carobloom/common/timers.h"
#include "carobloom/http/head.h"
#include "carobloom/http/tunnel.h"

typedef struct http_peer http_peer_t; /* one address and its connections */
typedef struct client_call client_call_t;

typedef enum {
    CALL_FAILED_UNSENT,    /* no byte of it left */
    CALL_FAILED_REFUSED,   /* the same: nobody listens at the address */
    CALL_FAILED_SENT,      /* no answer; it may have run */
    CALL_FAILED_CUT,       /* the answer began and broke off */
    CALL_FAILED_SYNTAX,    /* what came is no answer */
    CALL_FAILED_TUNNEL,    /* no tunnel could be opened; no byte of it left */
    CALL_FAILED_WITHDRAWN, /* `may_send` said no; it has not left whole */
} call_failure_t;

typedef enum { CALL_TAKE, CALL_SKIP, CALL_REFUSE } call_verdict_t;

/* What the owner is told. The call is gone after `done` and `failed`. */
typedef struct {
    /* Asked right before its bytes are written to a new connection, however
     * long that took, and before those that had to wait for room. FALSE
     * withdraws the call. NULL: always. */
    gboolean (*may_send)(client_call_t *call, void *user);
    /* A head came. CALL_SKIP passes over an answer to another request that
     * came late on this connection. */
    call_verdict_t (*head)(client_call_t *call, const http_head_t *head,
                           void *user);
    void (*body)(client_call_t *call, str_t bytes, void *user);
    void (*done)(client_call_t *call, void *user);
    void (*failed)(client_call_t *call, call_failure_t failure, void *user);
} client_call_ops_t;

/* Counters of bytes. */
typedef struct {
    counter_t *sent;
    counter_t *received;
} http_traffic_t;

typedef struct {
    gint64 connect_us; /* for a new connection to stand */
    gint64 idle_us;    /* a connection idle for longer is not used again */
    guint idle_max;    /* kept connections */
    guint connections; /* of one peer in all; 0 for no bound */
    gsize head_max;
    gsize body_max; /* of an answer; 0: bounded by the owner of the call */
    gsize *unsent;  /* sum of the bytes that wait to be sent, or NULL */
    /* Its answers are read before what others sent: they say how the rest is
     * to be handled. */
    gboolean urgent;
} http_peer_limits_t;

/* NULL unless `address` is IP:PORT. */
http_peer_t *http_peer_create(poller_t *poller, timers_t *timers,
                              str_t address, const http_peer_limits_t *limits);
/* Calls under way fail; each owner is told. */
void http_peer_destroy(http_peer_t *peer);
guint http_peer_connections(const http_peer_t *peer);

/* Sends `bytes`, a whole request. NULL when no connection can be had; the
 * owner is not told then. `head_request` marks an answer without a body. */
client_call_t *client_call_create(http_peer_t *peer, str_t bytes,
                                  gboolean head_request,
                                  const client_call_ops_t *ops, void *user);

/* A new tunnel to the peer, through another instance. */
typedef struct {
    const char *address; /* IP:PORT of the other instance's listener */
    const tunnel_open_t *open;
    gint64 open_us; /* for the tunnel to be open */
} http_tunnel_t;

/* Like client_call_create, for a peer whose connections are tunnels: takes one
 * that is free, or opens `tunnel`. `request` names the request in the other
 * instance's log. */
client_call_t *
client_call_create_in_tunnel(http_peer_t *peer, const http_tunnel_t *tunnel,
                             str_t request, str_t bytes, gboolean head_request,
                             const client_call_ops_t *ops, void *user);
/* The address and the name of the tunnel that a call uses; NULL: none. */
const char *client_call_tunnel_address(const client_call_t *call);
const char *client_call_tunnel_name(const client_call_t *call);
/* Closes the peer's tunnels: free ones now, others after their calls. */
void http_peer_close_tunnels(http_peer_t *peer);

/* Counts its bytes, and those of its answer as they come. */
void client_call_count(client_call_t *call, const http_traffic_t *traffic);
/* Ends a call and its connection without a word to the owner. The connection
 * is reset, so that the server does not read what it has not read yet: a link
 * that is cut and heals later delivers none of it. */
void client_call_cancel(client_call_t *call);
/* Whether a byte of it may have left. */
gboolean client_call_sent(const client_call_t *call);
/* Whether nothing of the other side waits to be told to the owner. If
 * something does, this process is behind, and the other side is not silent. */
gboolean client_call_is_quiet(const client_call_t *call);
/* Stops and resumes reading the answer. */
void client_call_read(client_call_t *call, gboolean on);

#endif
