/* Bytes without end in the soak: from endpoints and the platform in their
 * answers, and from clients at any listener, beside the other faults. */
#ifndef TESTS_SOAK_ENDLESS_H
#define TESTS_SOAK_ENDLESS_H

#include "fleet.h"

typedef struct soak_endless soak_endless_t;

soak_endless_t *soak_endless_create(fleet_t *fleet, guint32 seed);
void soak_endless_destroy(soak_endless_t *endless);
/* Begins and ends them as they are due. The functions accept NULL. */
void soak_endless_step(soak_endless_t *endless);
/* Ends all of them. */
void soak_endless_end(soak_endless_t *endless);
/* The most memory that an instance running now has used, in MB. */
guint soak_endless_peak_mb(const soak_endless_t *endless);

#endif
