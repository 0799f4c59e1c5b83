/* Requests of the soak that need repeats, and the check that the repeats of
 * all instances stay within the budget. */
#ifndef TESTS_SOAK_REPEATS_H
#define TESTS_SOAK_REPEATS_H

#include "fleet.h"

typedef struct soak_repeats soak_repeats_t;

soak_repeats_t *soak_repeats_create(fleet_t *fleet);
void soak_repeats_destroy(soak_repeats_t *repeats);
/* Fields for a request that endpoints reject, break off or fail, most of the
 * time. The functions accept NULL, which asks for no faults. */
const char *soak_repeats_fields(const soak_repeats_t *repeats, GRand *random);
/* Records that a client sent a request. */
void soak_repeats_record(soak_repeats_t *repeats, gint64 sent_us);
/* Whether no window exceeded the budget. Prints the worst one. */
gboolean soak_repeats_kept(soak_repeats_t *repeats);

#endif
