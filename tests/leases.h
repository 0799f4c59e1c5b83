/* Leases and endpoints for tests of directories. */
#ifndef TESTS_LEASES_H
#define TESTS_LEASES_H

#include "carobloom/policy/directory.h"

/* A lease of endpoint `id` of service "s", with four slots in "dc". */
static inline endpoint_lease_t
lease_of(const char *id, guint64 sequence, lease_state_t state)
{
    return (endpoint_lease_t){.id = (char *)id,
                              .service = "s",
                              .address = "10.0.0.1:80",
                              .data_centre = "dc",
                              .sequence = sequence,
                              .slots = 4,
                              .state = state};
}

/* For directories whose endpoints have no connections. */
static inline void
drop_nothing(void *connections)
{
    (void)connections;
}

#endif
