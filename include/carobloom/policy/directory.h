/* Directory of the endpoints of each service, merged from the lease reports of
 * several control instances.
 *
 * An endpoint renews its lease at any control instance. Each control instance
 * reports the renewals that it received itself, and the directory merges the
 * reports. Once an endpoint drains or has left, no later report of that
 * incarnation makes it usable again. A new incarnation starts without any
 * state of the one before, so nothing that was learned about the old
 * incarnation is kept. Pure. */
#ifndef CAROBLOOM_POLICY_DIRECTORY_H
#define CAROBLOOM_POLICY_DIRECTORY_H

#include <glib.h>

#include "carobloom/common/str.h"
#include "carobloom/policy/endpoint.h"
#include "carobloom/policy/engine_split.h"
#include "carobloom/policy/part_feed.h"

enum {
    DIRECTORY_SOURCES_MAX = 32, /* control instances; bits of a guint32 */
};

/* State of an endpoint as its lease gives it. */
typedef enum {
    LEASE_READY,
    LEASE_DRAINING, /* takes no new work */
    LEASE_LEFT,     /* permanently */
    LEASE_EXPIRED,  /* not renewed at this control instance */
    LEASE_STATES,
} lease_state_t;

/* What a control instance reports about one endpoint. */
typedef struct {
    char *id;
    char *service;
    char *address; /* IP:PORT */
    char *data_centre;
    gint64 started_ms; /* start of the incarnation, Unix time; 0: not given */
    guint64 sequence;  /* of the report, within one incarnation */
    guint slots;
    lease_state_t state;
    gboolean reclaimable; /* the platform may reclaim it at short notice */
    gint64 leaves_ms;     /* time from draining to its end; 0: not given */
    gint64 cold_ms; /* time from now for which it is slow; 0: not given */
} endpoint_lease_t;

/* Frees what the lease owns, not the lease. */
void endpoint_lease_clear(endpoint_lease_t *lease);
/* Copies `from` with its texts; `to` is overwritten. */
void endpoint_lease_copy(endpoint_lease_t *to, const endpoint_lease_t *from);

/* State of one incarnation of an endpoint. */
typedef enum {
    INCARNATION_CURRENT,
    INCARNATION_LEAVING,  /* it announced that it drains or leaves */
    INCARNATION_REPLACED, /* another incarnation has its id or its address */
} incarnation_state_t;

/* Usable endpoints of a service in one data centre. */
typedef struct {
    char *service;
    char *data_centre;
    guint32 slots; /* of one endpoint, the highest value reported */
    guint32 on_demand;
    guint32 reclaimable;
} engine_supply_t;

/* Returns an empty array of engine_supply_t that frees its items. */
GArray *engine_supplies_create(void);

typedef struct directory directory_t;

/* `free_connections` frees the `connections` and `tunnels` of an endpoint when
 * the endpoint is freed. */
directory_t *directory_create(void (*free_connections)(void *connections));
void directory_destroy(directory_t *directory);
/* Applies a lease that `source` (below DIRECTORY_SOURCES_MAX) reported. */
void directory_update(directory_t *directory, guint source,
                      const endpoint_lease_t *lease, gint64 now_us);
/* Drops all reports of `source`, which will report all leases anew. Endpoints
 * that only `source` had reported stay usable for a grace period, until their
 * renewals are reported again. */
void directory_source_reset(directory_t *directory, guint source,
                            gint64 now_us);
/* Frees endpoints that have left or were replaced by a new incarnation, once
 * they run no request of this instance, and keeps endpoints misplaced whose
 * address a later start has. Call it once a second or more often. */
void directory_sweep(directory_t *directory, gint64 now_us);
/* Returns the latest incarnation of an endpoint, or NULL. */
endpoint_t *directory_find(directory_t *directory, const char *id);
/* Endpoints of a service that have not left, as endpoint_t *, or NULL for an
 * unknown service. The order is the same on all instances. */
const GPtrArray *directory_service(const directory_t *directory,
                                   const char *service);
/* Calls `visit` with each service and its endpoints, ordered as above. */
void directory_each_service(const directory_t *directory,
                            void (*visit)(const char *service,
                                          const GPtrArray *endpoints,
                                          void *user),
                            void *user);
/* State of the incarnation whose lease had this `started_ms` and `address`. */
incarnation_state_t directory_incarnation_state(const directory_t *directory,
                                                const char *id,
                                                gint64 started_ms,
                                                const char *address);
/* Number of endpoint ids, including those that left but are not freed yet. */
guint directory_count(const directory_t *directory);
/* Number of endpoints visited so far to report and to sum loads: a measure of
 * the processor time that this takes. */
guint64 directory_visits(const directory_t *directory);
/* A request of this instance starts or ends at an endpoint; see
 * endpoint_add_request and endpoint_remove_request. */
void directory_add_request(directory_t *directory, endpoint_t *endpoint,
                           guint prompt_tokens, guint waiting_tokens);
void directory_remove_request(directory_t *directory, endpoint_t *endpoint,
                              guint prompt_tokens);
/* Returns a new array of endpoint_load_t: this instance's requests in
 * flight. */
GArray *directory_loads(directory_t *directory);
/* Applies the sums over all entry instances. `own` holds the
 * loads that this instance reported, which the sums include. An endpoint
 * without a sum runs no request of other instances. */
void directory_apply_loads(directory_t *directory, const GArray *sums,
                           const GArray *own);
/* Records that a prompt with this part is sent to an endpoint. The total over
 * all endpoints is bounded, so fewer parts are kept per endpoint when there
 * are more endpoints. */
void directory_record_part(directory_t *directory, endpoint_t *endpoint,
                           guint64 part);
/* Applies the reports of entry instances on parts that they sent;
 * part_copy_t. */
void directory_apply_parts(directory_t *directory, const GArray *copies);
/* Records that an endpoint asked for rest; see endpoint_rest_record. `now_us`
 * includes suspensions. */
rest_change_t directory_record_rest(directory_t *directory,
                                    endpoint_t *endpoint, double seconds,
                                    double draw, gint64 now_us);
/* Calls `ended` with each endpoint whose rest ended since the last call. */
void directory_end_rests(directory_t *directory, gint64 now_us,
                         void (*ended)(const endpoint_t *endpoint, void *user),
                         void *user);
/* Endpoints that rest, as endpoint_t *. */
const GPtrArray *directory_resting(const directory_t *directory);
/* If all usable endpoints of a service rest, returns the one whose rest ends
 * first, else NULL. */
endpoint_t *directory_first_rested(const directory_t *directory,
                                   const char *service, endpoint_now_t now);
/* Returns the record of an endpoint's limit, created if missing. The record
 * lives as long as the endpoint. */
endpoint_limit_t *directory_limit(directory_t *directory,
                                  endpoint_t *endpoint);
/* The endpoints that have a limit record and have not left; endpoint_t *. */
const GPtrArray *directory_limits(const directory_t *directory);
/* Applies a report of the owner of a limit. Returns the endpoint that has the
 * limit, or NULL when the endpoint is not known yet; the state is then applied
 * once the endpoint is added. */
endpoint_t *directory_apply_limit(directory_t *directory,
                                  const limit_state_t *state,
                                  limit_change_t *change, gint64 now_us);
/* Demand of all instances for a service's endpoints, for long and for short
 * prompts, and the usable endpoints and their slots. The caller fills in
 * objectives and speed. */
split_demand_t directory_demand(directory_t *directory, const char *service,
                                gint64 now_us);
/* Number of this instance's requests at a service's endpoints. */
guint directory_running(const directory_t *directory, const char *service);
/* Returns a new array of engine_supply_t: the usable endpoints by service and
 * data centre. */
GArray *directory_supplies(const directory_t *directory, gint64 now_us);

#endif
