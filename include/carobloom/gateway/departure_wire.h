/* Messages between control instances about endpoints that drain or have left.
 */
#ifndef CAROBLOOM_GATEWAY_DEPARTURE_WIRE_H
#define CAROBLOOM_GATEWAY_DEPARTURE_WIRE_H

#include "carobloom/policy/directory.h"

#define DEPARTURES_PATH "/departures" /* control to control */

typedef struct {
    char *from;        /* IP:PORT of the sender's listener */
    guint64 epoch;     /* of the sender's incarnation */
    GPtrArray *leases; /* endpoint_lease_t *, draining or left */
} departures_t;

GBytes *departures_write(const departures_t *message);
/* Returns FALSE if malformed. */
gboolean departures_read(GBytes *bytes, departures_t *message);
void departures_clear(departures_t *message);

#endif
