/* HTTP listener for counters, latency histograms and pages that show the
 * state. */
#ifndef CAROBLOOM_GATEWAY_METRICS_H
#define CAROBLOOM_GATEWAY_METRICS_H

#include "carobloom/http/server.h"

/* A page served next to /metrics. */
typedef struct {
    const char *path;
    char *(*text)(void *user); /* freed with g_free; NULL: no such page */
} metrics_page_t;

/* Pages that GET serves next to /metrics; `user` is the argument of their
 * `text`. */
typedef struct {
    const metrics_page_t *pages;
    gsize page_count;
    void *user;
} metrics_source_t;

http_server_t *metrics_server_create(poller_t *poller, timers_t *timers,
                                     const char *address,
                                     const metrics_source_t *source);

#endif
