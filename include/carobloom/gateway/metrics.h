/* The counters and latency histograms over HTTP, and a dump of the state. */
#ifndef CAROBLOOM_GATEWAY_METRICS_H
#define CAROBLOOM_GATEWAY_METRICS_H

#include "carobloom/http/server.h"

/* Answers GET /metrics and GET /dump; `dump` gives the text of the second,
 * freed with g_free. */
typedef struct {
    char *(*dump)(void *user);
    void *user;
} metrics_source_t;

http_server_t *metrics_server_create(poller_t *poller, timers_t *timers,
                                     const char *address,
                                     const metrics_source_t *source);

#endif
