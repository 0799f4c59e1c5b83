/* An entry instance that has more work than it can do. */
#ifndef TESTS_FLEET_BUSY_H
#define TESTS_FLEET_BUSY_H

#include "fleet.h"

typedef struct fleet_busy fleet_busy_t;

/* So many callers send one long stream after the other to the instance.
 * Returns once the streams flow. */
fleet_busy_t *fleet_busy_create(fleet_process_t *entry, guint callers);
/* From now on it runs for a hundredth of the time, in short turns. */
void fleet_busy_throttle(fleet_busy_t *busy);
/* Lets it run, and waits until its callers have ended. */
void fleet_busy_destroy(fleet_busy_t *busy);

#endif
