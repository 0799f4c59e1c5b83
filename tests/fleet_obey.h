/* How long entry instances take to obey a configuration of the sample, judged
 * by the route that each version of it adds. */
#ifndef TESTS_FLEET_OBEY_H
#define TESTS_FLEET_OBEY_H

#include "fleet.h"

enum {
    /* From an acknowledgement, or the end of what keeps instances out of
     * touch, until a request must be handled as the new version says. */
    FLEET_APPLY_MS = 2000,
};

typedef struct fleet_obey fleet_obey_t;

/* Asks each entry instance for the route of `version` until it is there;
 * `counts_us` is since when it should be, at last. */
fleet_obey_t *fleet_obey_begin(fleet_t *fleet, guint64 version,
                               gint64 counts_us);
/* Waits for all instances. Returns whether each obeyed in time, and prints
 * under `name` those that did not. */
gboolean fleet_obey_end(fleet_obey_t *obey, const char *name);

#endif
