/* Clients of the soak that leave before they are answered: nothing of their
 * requests may reach an endpoint later. */
#ifndef TESTS_SOAK_LEAVING_H
#define TESTS_SOAK_LEAVING_H

#include "fleet.h"

typedef struct soak_leaving soak_leaving_t;

/* What the check found. */
typedef struct {
    guint left;    /* requests whose clients left */
    guint arrived; /* at an endpoint, in time or not */
    guint late;
    char example[128]; /* of one that was late */
} soak_leaving_verdict_t;

soak_leaving_t *soak_leaving_create(fleet_t *fleet, guint32 seed);
void soak_leaving_destroy(soak_leaving_t *leaving);
/* The functions accept NULL. */
void soak_leaving_start(soak_leaving_t *leaving);
void soak_leaving_stop(soak_leaving_t *leaving);
/* For `ms` a link to this process may lose what is sent on it, also the end of
 * a connection. */
void soak_leaving_excuse(soak_leaving_t *leaving,
                         const fleet_process_t *process, int ms);
/* The process does not run, or runs again: an entry instance ends nothing
 * meanwhile. */
void soak_leaving_stopped(soak_leaving_t *leaving,
                          const fleet_process_t *process);
void soak_leaving_continued(soak_leaving_t *leaving,
                            const fleet_process_t *process);
/* By the endpoints' logs, once all has ended. */
soak_leaving_verdict_t soak_leaving_check(const soak_leaving_t *leaving);

#endif
