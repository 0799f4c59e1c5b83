/* Leases of endpoints, as renewed at one control instance. Pure.
 *
 * The leases are kept in memory only: after a restart every live endpoint
 * renews its lease within a heartbeat interval. Departures, which nobody
 * repeats, are kept by other control instances as well. */
#ifndef CAROBLOOM_POLICY_REGISTRY_H
#define CAROBLOOM_POLICY_REGISTRY_H

#include "carobloom/policy/directory.h"

/* Result of a renewal. Only an accepted one changes the registry. */
typedef enum {
    REGISTRY_ACCEPTED,
    REGISTRY_STALE,           /* out of order: a newer renewal came before */
    REGISTRY_LEFT,            /* this incarnation has left */
    REGISTRY_OLD_INCARNATION, /* the lease has a later incarnation */
} registry_result_t;

typedef struct registry registry_t;

/* Creates a registry. `heartbeat_us` is the interval at which endpoints
 * renew. */
registry_t *registry_create(gint64 heartbeat_us);
void registry_destroy(registry_t *registry);
/* Adds a lease or renews it. The lease is copied. */
registry_result_t registry_renew(registry_t *registry,
                                 const endpoint_lease_t *lease, gint64 now_us);
/* Ends the lease of the incarnation of an endpoint that started at
 * `started_ms`. If that is 0, the known incarnation has left, or, for an
 * unknown endpoint, all that started before `wall_ms` (Unix time). */
void registry_leave(registry_t *registry, const char *id, gint64 started_ms,
                    gint64 wall_ms, gint64 now_us);
/* Records that the incarnation of an endpoint that started at `started_ms`
 * said elsewhere that it leaves. Its lease is draining from then on, whatever
 * its renewals say, also if it is first renewed here later. Returns TRUE if a
 * lease changed. */
gboolean registry_record_leaving(registry_t *registry, const char *id,
                                 gint64 started_ms, gint64 now_us);
/* Marks leases that were not renewed in time as LEASE_EXPIRED, and removes
 * leases that expired or left long ago. Returns TRUE if a lease expired. */
gboolean registry_expire(registry_t *registry, gint64 now_us);
/* Number of the last change; increases with each change. */
guint64 registry_cursor(const registry_t *registry);
/* Copies of the leases that changed after `cursor` (0: all leases), oldest
 * change first, at most `max_count`. `through` is set to the cursor up to
 * which the changes are included. */
GPtrArray *registry_changes_since(const registry_t *registry, guint64 cursor,
                                  guint max_count, guint64 *through);
/* Applies a lease that drains or has left, as another control instance
 * acknowledged it. Later renewals do not undo it. Returns TRUE if a lease
 * changed. */
gboolean registry_learn_departure(registry_t *registry,
                                  const endpoint_lease_t *lease,
                                  gint64 now_us);
/* The change by which an endpoint departs as acknowledged here; 0: it does
 * not. */
guint64 registry_departure_cursor(const registry_t *registry, const char *id);
/* The last such change of any endpoint. */
guint64 registry_last_departure(const registry_t *registry);
/* Copies of the leases that depart by a change after `cursor`, as
 * registry_changes_since. Those learned from other instances are included if
 * they changed up to `learned_cursor`. */
GPtrArray *registry_departures_since(const registry_t *registry,
                                     guint64 cursor, guint64 learned_cursor,
                                     guint max_count, guint64 *through);
/* Number of leases, including those that expired or were left. */
guint registry_count(const registry_t *registry);

#endif
