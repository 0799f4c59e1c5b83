/* Counts the bytes of calls to other processes, by kind of message and by
 * whether the other process runs in the same data centre.
 *
 * The caller counts both directions, including headers, so that the sum over
 * all processes counts each byte once. A process publishes the counts as
 * metrics and in its log. */
#ifndef CAROBLOOM_GATEWAY_TRAFFIC_H
#define CAROBLOOM_GATEWAY_TRAFFIC_H

#include "carobloom/http/client.h"

typedef enum {
    TRAFFIC_SYNC,  /* configuration, leases and other updates, from control */
    TRAFFIC_LOADS, /* requests in flight, to and from control */
    TRAFFIC_CRASHES,   /* requests that ran at endpoints that ended */
    TRAFFIC_LIMITS,    /* limits that endpoints announce */
    TRAFFIC_REPEATS,   /* grants of repeats, from control */
    TRAFFIC_SLOTS,     /* grants of slots of brittle endpoints, the same */
    TRAFFIC_USAGE,     /* usage of teams */
    TRAFFIC_VOTER,     /* the replicated log */
    TRAFFIC_LOAD_SUMS, /* requests in flight, between control instances */
    TRAFFIC_CLOCK,
    TRAFFIC_DEPARTURES,        /* of endpoints, between control instances */
    TRAFFIC_ENDPOINT_REQUESTS, /* requests to endpoints and their answers */
    TRAFFIC_TUNNELS,           /* the same, through another entry instance */
    TRAFFIC_HELPERS, /* entry instances that open tunnels, from control */
    TRAFFIC_KINDS,
} traffic_kind_t;

/* The data centres of the processes that this process calls. */
typedef struct traffic traffic_t;

/* Creates a traffic counter. `data_centre` is that of this process. */
traffic_t *traffic_create(const char *data_centre);
void traffic_destroy(traffic_t *traffic);
/* Records that the process at IP:PORT runs in `data_centre`; NULL or empty:
 * unknown, which changes nothing. */
void traffic_set_data_centre(traffic_t *traffic, const char *address,
                             const char *data_centre);
/* Counts the bytes of a call that was just made to IP:PORT, and of its answer.
 */
void traffic_count(const traffic_t *traffic, client_call_t *call,
                   traffic_kind_t kind, const char *address);
/* Like traffic_count, for a call into `data_centre`; NULL or empty: unknown.
 */
void traffic_count_into(const traffic_t *traffic, client_call_t *call,
                        traffic_kind_t kind, const char *data_centre);
/* Logs the bytes that this process counted since it started. */
void traffic_log(void);

#endif
