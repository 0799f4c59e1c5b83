/* Where the endpoints of each service are, merged from what several control
 * instances heard.
 *
 * An endpoint renews its lease at any control instance; each tells what it
 * heard itself, and the merge is done here. That an endpoint drains or has
 * left is never taken back for its id, unless it has started again since: a
 * new start knows nothing of before, so nothing that was learned of the one
 * before holds for it. Pure. */
#ifndef CAROBLOOM_POLICY_DIRECTORY_H
#define CAROBLOOM_POLICY_DIRECTORY_H

#include <glib.h>

#include "carobloom/common/str.h"
#include "carobloom/policy/endpoint.h"
#include "carobloom/policy/engine_split.h"
#include "carobloom/policy/part_feed.h"

enum {
    DIRECTORY_SOURCES_MAX = 32, /* control instances; bits of a word */
};

typedef enum {
    LEASE_READY,
    LEASE_DRAINING, /* takes no new work */
    LEASE_LEFT,     /* for good */
    LEASE_EXPIRED,  /* not renewed at this control instance */
    LEASE_STATES,
} lease_state_t;

/* What a control instance says of one endpoint. */
typedef struct {
    char *id;
    char *service;
    char *address; /* IP:PORT */
    char *data_centre;
    gint64 started_ms; /* Unix time: which start of it; 0 where not said */
    guint64 sequence;  /* within one start */
    guint slots;
    lease_state_t state;
    gboolean reclaimable; /* it may be taken away at short notice */
    gint64 leaves_ms; /* it drains and is gone after so long; 0: not said */
    gint64 cold_ms;   /* slow for so long from now */
} endpoint_lease_t;

void endpoint_lease_clear(endpoint_lease_t *lease);
void endpoint_lease_copy(endpoint_lease_t *to, const endpoint_lease_t *from);

/* What is known of one start of an endpoint. */
typedef enum {
    INCARNATION_CURRENT,
    INCARNATION_LEAVING,  /* it drains or has left, as it said */
    INCARNATION_REPLACED, /* another start has its id or its address */
} incarnation_state_t;

/* Endpoints of a service that take work, in one data centre. */
typedef struct {
    char *service;
    char *data_centre;
    guint32 slots; /* of one of them */
    guint32 on_demand;
    guint32 reclaimable;
} engine_supply_t;

/* An empty array of engine_supply_t that frees what is in it. */
GArray *engine_supplies_create(void);

typedef struct directory directory_t;

/* `drop` frees an endpoint's `connections` as it goes. */
directory_t *directory_create(void (*free_connections)(void *connections));
void directory_destroy(directory_t *directory);
/* Takes a lease as told by `source` (below DIRECTORY_SOURCES_MAX). */
void directory_update(directory_t *directory, guint source,
                      const endpoint_lease_t *lease, gint64 now_us);
/* `source` starts over: what only it had heard is trusted a while longer. */
void directory_source_reset(directory_t *directory, guint source,
                            gint64 now_us);
/* Frees endpoints that have left, or started again, and have no requests. */
void directory_sweep(directory_t *directory, gint64 now_us);
endpoint_t *directory_find(directory_t *directory, const char *id);
/* Endpoints of a service that have not left, or NULL; endpoint_t *, in an
 * order that all instances agree on. */
const GPtrArray *directory_service(const directory_t *directory,
                                   const char *service);
/* Calls `visit` with each service and its endpoints, as above. */
void directory_each_service(const directory_t *directory,
                            void (*visit)(const char *service,
                                          const GPtrArray *endpoints,
                                          void *user),
                            void *user);
/* `started_ms` and `address` are as the start's lease said. */
incarnation_state_t directory_incarnation_state(const directory_t *directory,
                                                const char *id,
                                                gint64 started_ms,
                                                const char *address);
guint directory_count(const directory_t *directory);
/* Endpoints looked at so far for the loads: what they cost this instance. */
guint64 directory_visits(const directory_t *directory);
/* A request of this instance goes to an endpoint, and is over there; see
 * endpoint_join and endpoint_leave. */
void directory_request_start(directory_t *directory, endpoint_t *endpoint,
                             guint prompt_tokens, guint waiting_tokens);
void directory_request_end(directory_t *directory, endpoint_t *endpoint,
                           guint prompt_tokens);
/* Requests under way here: a new array of endpoint_load_t. */
GArray *directory_loads(directory_t *directory);
/* Takes the sums over all entry instances, of which `own` were reported by
 * this one. An endpoint that is not among them has none of the others. */
void directory_apply_loads(directory_t *directory, const GArray *sums,
                           const GArray *own);
/* An endpoint is sent a prompt with this part. What is remembered of all
 * endpoints is bounded: of each the less the more there are. */
void directory_record_part(directory_t *directory, endpoint_t *endpoint,
                           guint64 part);
/* Takes what entry instances say of parts that they sent; part_note_t. */
void directory_apply_parts(directory_t *directory, const GArray *notes);
/* What is known of an endpoint's limit; the record lives as long as the
 * endpoint. */
endpoint_limit_t *directory_limit(directory_t *directory,
                                  endpoint_t *endpoint);
/* The endpoints that have such a record and have not left; endpoint_t *. */
const GPtrArray *directory_limits(const directory_t *directory);
/* Takes what the owner of a limit says. The endpoint, or NULL when it is not
 * known yet, which is remembered. */
endpoint_t *directory_apply_limit(directory_t *directory,
                                  const limit_state_t *state,
                                  limit_change_t *change, gint64 now_us);
/* Requests of all instances at a service's endpoints, by kind; objectives and
 * speed are the caller's to fill in. */
split_demand_t directory_demand(directory_t *directory, const char *service,
                                gint64 now_us);
/* This instance's requests at a service's endpoints. */
guint directory_running(const directory_t *directory, const char *service);
/* What takes work, by service and data centre: a new array. */
GArray *directory_supplies(const directory_t *directory, gint64 now_us);

#endif
