/* Whether this instance reaches the endpoints of a service directly.
 *
 * An endpoint that fails and a cut between this instance and the endpoint look
 * the same at one endpoint. They differ in number: an instance that is cut off
 * loses most of its endpoints at once. A cut is then assumed, and endpoints
 * are reached through another instance. It is confirmed once a probe of an
 * endpoint fails directly and is answered through another instance. Probes
 * also find its end. Pure. */
#ifndef CAROBLOOM_POLICY_REACHABILITY_H
#define CAROBLOOM_POLICY_REACHABILITY_H

#include "carobloom/policy/endpoint.h"

/* State of a service. */
typedef struct {
    gint64 since_us; /* when the first path of the cut failed; 0: not cut off
                      */
    gboolean confirmed;
    gboolean is_silent; /* direct connections are accepted, and not answered */
    guint probes_ok;    /* direct probes answered in a row */
} service_reach_t;

/* What a probe of an endpoint showed, directly and through another instance.
 */
typedef struct {
    gboolean opened; /* the direct connection was accepted */
    gboolean answered;
    gboolean through_opened;
    gboolean through_answered;
    gboolean through_failed; /* the other instance does not reach it either */
} reach_probe_t;

/* Endpoints of a service by what is known of their paths. */
typedef struct {
    guint usable;
    guint reached;          /* answered recently, and did not fail since */
    guint failed;           /* failed recently, and did not answer since */
    gint64 first_failed_us; /* the earliest failure of these, or 0 */
} reach_counts_t;

/* Counts the endpoints (endpoint_t) of a service. */
void reach_count(const GPtrArray *endpoints, gint64 now_us,
                 reach_counts_t *counts);
/* Adds the counts of one service to those of all. */
void reach_counts_add(reach_counts_t *all, const reach_counts_t *service);
/* Records that bytes arrived from the endpoint on a direct connection, or that
 * a direct connection failed or stayed silent. */
void endpoint_record_reached(endpoint_t *endpoint, gint64 now_us);
void endpoint_record_unreached(endpoint_t *endpoint, gint64 now_us);
/* Decides after a failure whether the service is cut off now. `service` counts
 * its endpoints, `all` those of all services. Returns TRUE if a cut begins. */
gboolean service_reach_begin(service_reach_t *reach,
                             const reach_counts_t *service,
                             const reach_counts_t *all);
gboolean service_reach_is_cut(const service_reach_t *reach);
/* Whether the endpoint is to be reached through another instance. */
gboolean service_reach_avoids(const service_reach_t *reach,
                              const endpoint_t *endpoint);
/* Records the result of a probe. `endpoint` is NULL if it is gone. Returns
 * TRUE if the cut becomes confirmed. */
gboolean service_reach_record_probe(service_reach_t *reach,
                                    endpoint_t *endpoint,
                                    const reach_probe_t *probe, gint64 now_us);
/* Whether the cut is over, or never was one: direct probes are answered, or
 * each endpoint that failed is not reached by others either. */
gboolean service_reach_is_over(const service_reach_t *reach,
                               const GPtrArray *endpoints, gint64 now_us);
/* The next endpoint to probe, beginning at a random one, or NULL. Until the
 * cut is confirmed, one that failed. */
endpoint_t *service_reach_next_probe(const service_reach_t *reach,
                                     const GPtrArray *endpoints, guint32 draw,
                                     gint64 now_us);
/* Ends the backoff of endpoints that failed because of the cut. */
void service_reach_forgive(const GPtrArray *endpoints);
/* Ends the cut and forgets the failures of these endpoints. */
void service_reach_end(service_reach_t *reach, const GPtrArray *endpoints);

#endif
