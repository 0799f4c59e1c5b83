/* Bytes that calls to other processes take, by kind of message and by whether
 * the other one stands in the same data centre.
 *
 * The caller counts both ways, heads included, so that the sum over all
 * processes has each byte once. A process reports them as counters and in its
 * log. */
#ifndef CAROBLOOM_GATEWAY_TRAFFIC_H
#define CAROBLOOM_GATEWAY_TRAFFIC_H

#include "carobloom/http/client.h"

typedef enum {
    TRAFFIC_SYNC,      /* configuration, leases and news, from control */
    TRAFFIC_LOADS,     /* requests under way, to and from control */
    TRAFFIC_CRASHES,   /* what ran on endpoints that ended */
    TRAFFIC_LIMITS,    /* limits that endpoints name */
    TRAFFIC_USAGE,     /* what teams used */
    TRAFFIC_VOTER,     /* the replicated log */
    TRAFFIC_LOAD_SUMS, /* requests under way, between control instances */
    TRAFFIC_CLOCK,
    TRAFFIC_ENDPOINT_REQUESTS, /* requests to endpoints and their answers */
    TRAFFIC_KINDS,
} traffic_kind_t;

/* Where the processes stand that this one calls. */
typedef struct traffic traffic_t;

/* `data_centre` is this process's. */
traffic_t *traffic_create(const char *data_centre);
void traffic_destroy(traffic_t *traffic);
/* The process at IP:PORT stands in `data_centre`; NULL or empty: not told. */
void traffic_set_data_centre(traffic_t *traffic, const char *address,
                             const char *data_centre);
/* Counts a call that was just made to IP:PORT, and its answer. */
void traffic_count(const traffic_t *traffic, client_call_t *call,
                   traffic_kind_t kind, const char *address);
/* The same of a call into `data_centre`; NULL or empty: not known. */
void traffic_count_into(const traffic_t *traffic, client_call_t *call,
                        traffic_kind_t kind, const char *data_centre);
/* Writes a line with what this process counted since its start. */
void traffic_log(void);

#endif
