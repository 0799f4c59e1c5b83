/* Clients that keep connections open, and the check that each of their whole
 * requests got a whole answer or a true refusal, unless the instance that took
 * it, or the endpoint that ran it, was disturbed. */
#ifndef TESTS_SOAK_ANSWERS_H
#define TESTS_SOAK_ANSWERS_H

#include "fleet.h"

typedef enum {
    DISTURBED_ABRUPTLY, /* killed, frozen, or its links cut or harmed */
    DISTURBED_BY_TERM,
} disturbance_t;

typedef struct soak_answers soak_answers_t;

soak_answers_t *soak_answers_create(fleet_t *fleet, guint32 seed,
                                    guint clients);
void soak_answers_destroy(soak_answers_t *answers);
/* The functions accept NULL. */
void soak_answers_start(soak_answers_t *answers);
/* Sees which endpoints have ended since the last call. */
void soak_answers_step(soak_answers_t *answers);
/* Lets the clients end; they have ended once it returns TRUE. */
gboolean soak_answers_stop(soak_answers_t *answers);
/* Records that a process is disturbed for `ms` from now on. That an endpoint
 * is silent, or ends, is not to be recorded. */
void soak_answers_excuse(soak_answers_t *answers, const fleet_process_t *p,
                         disturbance_t disturbance, int ms);
/* Prints the requests without an answer. Returns how many. */
guint soak_answers_lost(soak_answers_t *answers);

#endif
