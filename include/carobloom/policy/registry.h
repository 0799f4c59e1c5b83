/* The leases of endpoints, as one control instance hears them. Pure.
 *
 * Kept in memory only: after a restart every live endpoint is heard again
 * within a heartbeat. */
#ifndef CAROBLOOM_POLICY_REGISTRY_H
#define CAROBLOOM_POLICY_REGISTRY_H

#include "carobloom/policy/directory.h"

typedef enum {
    REGISTRY_ACCEPTED,
    REGISTRY_STALE, /* an older call that came late; nothing changed */
    REGISTRY_LEFT,  /* this start of it has left */
    REGISTRY_OLD_INCARNATION, /* of a start before the one that is known */
} registry_result_t;

typedef struct registry registry_t;

registry_t *registry_create(gint64 heartbeat_us);
void registry_destroy(registry_t *registry);
registry_result_t registry_renew(registry_t *registry,
                                 const endpoint_lease_t *lease, gint64 now_us);
/* The start at `started_ms` of an endpoint ends its lease; 0: the one known,
 * or, of one never heard here, all that began before `wall_ms` (Unix time). */
void registry_leave(registry_t *registry, const char *id, gint64 started_ms,
                    gint64 wall_ms, gint64 now_us);
/* Marks silent what was not renewed in time; TRUE when something changed. */
gboolean registry_expire(registry_t *registry, gint64 now_us);
/* Raised with each change. */
guint64 registry_cursor(const registry_t *registry);
/* Copies of the `max_count` leases that changed first after `cursor`, or of
 * all for 0. `through` becomes the cursor up to which they are told. */
GPtrArray *registry_changes_since(const registry_t *registry, guint64 cursor,
                                  guint max_count, guint64 *through);
guint registry_count(const registry_t *registry);

#endif
