/* Calls to the platform under the lease of the duty holder. Private to the
 * control task.
 *
 * A call is sent only while the lease is valid, which is checked right before
 * the first byte. When the lease is lost, the connection of the call is reset,
 * so that no part of the call arrives later. */
#ifndef CAROBLOOMD_CONTROL_DUTY_CALLS_H
#define CAROBLOOMD_CONTROL_DUTY_CALLS_H

#include "carobloom/common/poller.h"
#include "carobloom/common/str.h"
#include "carobloom/common/timers.h"
#include "carobloom/policy/duty_lease.h"

typedef struct duty_calls duty_calls_t;

/* Called when a call has ended, with the status of the response; 0: no
 * response. */
typedef void (*duty_call_done_t)(void *user, guint status);

/* Creates the calls to the platform at `address`. `lease` must outlive them.
 * Returns NULL unless `address` is IP:PORT. */
duty_calls_t *duty_calls_create(poller_t *poller, timers_t *timers,
                                const char *address, duty_lease_t *lease);
/* Calls in flight are dropped first and end with status 0. */
void duty_calls_destroy(duty_calls_t *calls);
/* Sends `bytes`, a request that carries `token`. Returns FALSE, without
 * calling `done`, if the lease does not allow the call or no connection is
 * available. */
gboolean duty_calls_send(duty_calls_t *calls, guint64 token, str_t bytes,
                         duty_call_done_t done, void *user);
/* Drops calls that the lease no longer covers. Call it regularly. */
void duty_calls_check(duty_calls_t *calls);

#endif
