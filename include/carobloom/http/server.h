/* The serving side of HTTP/1.1: listeners, kept connections, exchanges.
 *
 * A connection carries one exchange at a time; pipelined requests wait in its
 * buffer, as many bytes as one request may have. It is read while more come,
 * to see the client's close, but these are dropped, and it ends with the
 * answer to the last request that is held; at once if there are more than a
 * body may have. The owner gets a request whole and answers it once, whole or
 * in parts. */
#ifndef CAROBLOOM_HTTP_SERVER_H
#define CAROBLOOM_HTTP_SERVER_H

#include "carobloom/common/poller.h"
#include "carobloom/common/timers.h"
#include "carobloom/http/head.h"

typedef struct http_server http_server_t;
typedef struct http_exchange http_exchange_t;

/* Bounds on what a client may send. All are settings of the owner. */
typedef struct {
    gsize head_max;     /* bytes */
    gsize body_max;     /* bytes */
    gint64 head_us;     /* from the first byte to the end of the request */
    gint64 idle_us;     /* between requests */
    guint connections;  /* more are closed at once */
    gsize buffered_max; /* bytes of requests in all; no more bodies are read */
    /* For which a client may read nothing of its answer; 0: four seconds. */
    gint64 unread_us;
} http_limits_t;

typedef struct {
    /* A request is in. */
    void (*request)(http_exchange_t *exchange, void *user);
    /* The client left before its answer was complete, or sent too much behind
     * its request. The exchange is gone after this call. */
    void (*gone)(http_exchange_t *exchange, void *user);
    /* What was written in parts has left; more may be written. */
    void (*drained)(http_exchange_t *exchange, void *user);
    /* Bytes held elsewhere that count toward `buffered_max`. NULL: none. */
    gsize (*held)(void *user);
} http_server_ops_t;

/* Listens at once. NULL when the address can not be had; errno tells why. */
http_server_t *http_server_create(poller_t *poller, timers_t *timers,
                                  const char *address,
                                  const http_limits_t *limits,
                                  const http_server_ops_t *ops, void *user);
/* Closes all connections; the owner is told of exchanges under way. */
void http_server_destroy(http_server_t *server);
guint16 http_server_port(const http_server_t *server);
void http_server_set_limits(http_server_t *server,
                            const http_limits_t *limits);
/* From now on answers carry "Connection: close", unless the next request on
 * their connection has arrived already. */
void http_server_drain(http_server_t *server);
/* Stops taking connections, once those that wait already are taken. */
void http_server_unlisten(http_server_t *server);
/* Closes connections with nothing on them: no request, not even a part that
 * was not read yet, and no answer that the client has not taken yet. */
void http_server_close_idle(http_server_t *server);
/* Ends all exchanges under way: `end` has to end the one that it is given, and
 * may end others. */
void http_server_end_exchanges(const http_server_t *server,
                               void (*end)(http_exchange_t *exchange));
guint http_server_connections(const http_server_t *server);
guint http_server_exchanges(const http_server_t *server);
/* Bytes of requests held, with what is reserved for bodies that arrive. */
gsize http_server_buffered(const http_server_t *server);
/* Bytes of answers held for clients that have not taken them. */
gsize http_server_unread(const http_server_t *server);

/* The request; valid until the exchange ends. */
const http_head_t *http_exchange_head(const http_exchange_t *exchange);
str_t http_exchange_body(const http_exchange_t *exchange);
/* When its first and last byte were read, by the timers' clock. */
gint64 http_exchange_started(const http_exchange_t *exchange);
void http_exchange_set_data(http_exchange_t *exchange, void *data);
void *http_exchange_data(const http_exchange_t *exchange);

/* A whole answer; `fields` are lines ending in CRLF, or empty. Ends the
 * exchange. */
void http_exchange_answer(http_exchange_t *exchange, guint status,
                          str_t fields, str_t body);
/* An answer in parts: head, bytes, end. */
void http_exchange_begin(http_exchange_t *exchange, guint status,
                         str_t fields);
void http_exchange_write(http_exchange_t *exchange, str_t bytes);
void http_exchange_finish(http_exchange_t *exchange);
/* Breaks the connection off, so that what was sent is not taken for whole.
 * Ends the exchange. */
void http_exchange_abort(http_exchange_t *exchange);
/* Whether the client has left, as far as the kernel knows by now. The owner is
 * told in its turn. */
gboolean http_exchange_has_left(const http_exchange_t *exchange);
/* Milliseconds since the client's last segment arrived but for a reset: of one
 * that has left, its close; -1 when unknown. */
gint64 http_exchange_quiet_ms(const http_exchange_t *exchange);
/* Bytes written but not yet taken by the kernel. */
gsize http_exchange_backlog(const http_exchange_t *exchange);

#endif
