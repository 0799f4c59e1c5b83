/* The counters and latency histograms over HTTP, and pages of the state. */
#ifndef CAROBLOOM_GATEWAY_METRICS_H
#define CAROBLOOM_GATEWAY_METRICS_H

#include "carobloom/http/server.h"

/* A page beside /metrics. */
typedef struct {
    const char *path;
    char *(*text)(void *user); /* freed with g_free; NULL: there is none */
} metrics_page_t;

/* Answers GET of /metrics and of each page. */
typedef struct {
    const metrics_page_t *pages;
    gsize page_count;
    void *user;
} metrics_source_t;

http_server_t *metrics_server_create(poller_t *poller, timers_t *timers,
                                     const char *address,
                                     const metrics_source_t *source);

#endif
