/* Changes of the configuration in quick succession: routes that come, go and
 * move to another service, other timeouts and limits of callers, keys taken
 * away, many routes at once, two changes at a time, invalid ones. */
#ifndef TESTS_SOAK_CHANGES_H
#define TESTS_SOAK_CHANGES_H

#include "fleet.h"

enum {
    CHANGES_TIMEOUT_LEAST_MS = 6000, /* of any route in any version */
    CHANGES_ATTEMPTS_MOST = 3,       /* the same */
};

typedef struct soak_changes soak_changes_t;

/* Gives every other endpoint to service "b", before the fleet starts. */
soak_changes_t *soak_changes_create(fleet_t *fleet, guint32 seed);
void soak_changes_destroy(soak_changes_t *changes);
/* Makes some changes, the first with this version. Returns the version of the
 * next. The newest acknowledged is stored in `acked`. */
gint soak_changes_make(soak_changes_t *changes, gint version, gint *acked);
/* Whether all invalid changes were refused. */
gboolean soak_changes_kept(const soak_changes_t *changes);

#endif
