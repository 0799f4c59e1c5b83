/* Endpoints that fall silent and go on, in the soak: one, several or all, in
 * series and overlapping, also while the others turn all requests away; and
 * beside that SIGHUP and settings files that are half written for a while. */
#ifndef TESTS_SOAK_SILENCES_H
#define TESTS_SOAK_SILENCES_H

#include "fleet.h"

typedef struct soak_silences soak_silences_t;

soak_silences_t *soak_silences_create(fleet_t *fleet, guint32 seed);
void soak_silences_destroy(soak_silences_t *silences);
/* Begins and ends what is due. The functions accept NULL. */
void soak_silences_step(soak_silences_t *silences);
/* Ends all. */
void soak_silences_end(soak_silences_t *silences);

#endif
