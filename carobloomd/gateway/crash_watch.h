/* Detects endpoints that ended without announcing that they leave, and which
 * requests of this instance were running there.
 *
 * A connection that breaks off is no evidence by itself: endpoints reset
 * connections when overloaded, cut responses short, or are disconnected from
 * the network. An endpoint has ended if a break is followed by a refused
 * connection (nothing listens at its address any more) or by another
 * incarnation at its address, and no more bytes came from it. The watch
 * ignores endpoints that announced their end: those that drain or have left.
 */
#ifndef CAROBLOOMD_GATEWAY_CRASH_WATCH_H
#define CAROBLOOMD_GATEWAY_CRASH_WATCH_H

#include "carobloom/common/poller.h"
#include "carobloom/common/timers.h"
#include "carobloom/policy/directory.h"
#include "carobloom/policy/endpoint_end.h"

typedef struct crash_watch crash_watch_t;

/* Dependencies and the callback of the watch. */
typedef struct {
    poller_t *poller;
    timers_t *timers;
    const directory_t *directory;
    /* An endpoint ended, or more requests that were running there are known.
     */
    void (*ended)(void *user, const endpoint_end_t *end);
    /* Whether this instance reaches the endpoints of a service. If not, its
     * own refused connections are no evidence. */
    gboolean (*reaches)(void *user, const char *service);
    void *user;
} crash_watch_setup_t;

/* A request that was sent to an endpoint. The watch takes references to its
 * parts. */
typedef struct {
    interrupted_run_t run;
    gint64 sent_us; /* when the request was sent to the endpoint */
} watched_run_t;

crash_watch_t *crash_watch_create(const crash_watch_setup_t *setup);
void crash_watch_destroy(crash_watch_t *watch);
/* Records that the connection of a request to the endpoint broke off. */
void crash_watch_record_break(crash_watch_t *watch, const endpoint_t *endpoint,
                              watched_run_t run);
/* Returns whether a connection to the endpoint broke off and no byte has come
 * from it since, so that it may have ended. */
gboolean crash_watch_has_break(const crash_watch_t *watch,
                               const endpoint_t *endpoint);
/* Records that the caller of a request left, or that the request was given up,
 * while it ran at the endpoint. */
void crash_watch_record_abandoned(crash_watch_t *watch,
                                  const endpoint_t *endpoint,
                                  watched_run_t run);
/* Records that a connection to the endpoint's address was refused; `direct`
 * says whether it was one of this instance. */
void crash_watch_record_refused(crash_watch_t *watch,
                                const endpoint_t *endpoint, gboolean direct);
/* Records that bytes came from the endpoint. This matters only while a break
 * is unexplained, which crash_watch_has_unexplained returns. */
gboolean crash_watch_has_unexplained(const crash_watch_t *watch);
void crash_watch_record_bytes(crash_watch_t *watch,
                              const endpoint_t *endpoint);

#endif
