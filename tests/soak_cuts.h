/* Cuts between entry instances and endpoints in the soak: one instance, most
 * of them or all, of any kind, beside the other faults. */
#ifndef TESTS_SOAK_CUTS_H
#define TESTS_SOAK_CUTS_H

#include "fleet_cut.h"

typedef struct soak_cuts soak_cuts_t;

/* `proxies` stay the caller's. */
soak_cuts_t *soak_cuts_create(fleet_t *fleet,
                              proxy_t *(*proxies)[FLEET_LISTENERS_MAX],
                              guint32 seed);
void soak_cuts_destroy(soak_cuts_t *cuts);
/* Begins and ends cuts as they are due. The functions accept NULL. */
void soak_cuts_step(soak_cuts_t *cuts);
/* Ends all cuts. */
void soak_cuts_end(soak_cuts_t *cuts);

#endif
