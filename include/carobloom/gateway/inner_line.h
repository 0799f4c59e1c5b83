/* Connection to another instance that carries one call at a time and passes on
 * complete answers. */
#ifndef CAROBLOOM_GATEWAY_INNER_LINE_H
#define CAROBLOOM_GATEWAY_INNER_LINE_H

#include "carobloom/gateway/traffic.h"

/* Field of an answer: milliseconds between the receipt of the request and the
 * answer. */
#define HELD_FIELD "Held-Ms"

/* Maximum time from a request to the end of its answer, however many bytes
 * arrive. */
enum { INNER_ANSWER_MAX_US = 20 * G_USEC_PER_SEC };

typedef struct inner_line inner_line_t;

/* Callbacks for the end of a call; exactly one of them is called for each
 * call. They may make the next call, which opens another connection, since
 * the connection of the ended call is free only after the callback returns.
 * They must not destroy the line. */
typedef struct {
    void (*answered)(void *user, guint status, GBytes *body);
    /* The call broke off or timed out, or its answer was too long. */
    void (*failed)(void *user);
} inner_line_ops_t;

typedef struct {
    poller_t *poller;
    timers_t *timers;
    http_peer_limits_t peer;
    gsize answer_max; /* bytes */
    /* Microseconds by which the timeout of a call is extended if bytes
     * arrived since it was set, for a long answer over a slow link, up to
     * INNER_ANSWER_MAX_US. 0: no extension. */
    gint64 progress_us;
    const inner_line_ops_t *ops;
    void *user;
    const traffic_t *traffic;
    traffic_kind_t kind;
} inner_line_setup_t;

/* Returns NULL unless `address` is IP:PORT. */
inner_line_t *inner_line_create(const inner_line_setup_t *setup,
                                const char *address);
/* Cancels a call in flight without a callback. */
void inner_line_destroy(inner_line_t *line);
void inner_line_set_progress(inner_line_t *line, gint64 progress_us);
/* Milliseconds for which the other instance held the request before it
 * answered, from HELD_FIELD. Valid in `answered`. */
guint inner_line_held_ms(const inner_line_t *line);
gboolean inner_line_is_busy(const inner_line_t *line);
/* Bytes of the answer to the call in flight that have arrived. */
gsize inner_line_received(const inner_line_t *line);
/* Ends the call in flight, if there is one, without a callback. Not to be
 * called within a callback of this line. */
void inner_line_cancel(inner_line_t *line);
/* Posts `body`, to be answered within `wait_us`. Returns FALSE if no
 * connection is available; `failed` is not called then. No call may be
 * in flight. */
gboolean inner_line_post(inner_line_t *line, const char *path, GBytes *body,
                         gint64 wait_us);

#endif
