/* Calls to the platform under the lease of the duties. Private to the control
 * task.
 *
 * A call is sent only while the lease holds, as checked right before its first
 * byte, and its connection is reset once the lease is lost, so that nothing of
 * it arrives later. */
#ifndef CAROBLOOMD_CONTROL_DUTY_CALLS_H
#define CAROBLOOMD_CONTROL_DUTY_CALLS_H

#include "carobloom/common/poller.h"
#include "carobloom/common/str.h"
#include "carobloom/common/timers.h"
#include "carobloom/policy/duty_lease.h"

typedef struct duty_calls duty_calls_t;

/* How a call ended: the status answered, or 0 for none. */
typedef void (*duty_call_done_t)(void *user, guint status);

/* `lease` outlives it. NULL unless `address` is IP:PORT. */
duty_calls_t *duty_calls_create(poller_t *poller, timers_t *timers,
                                const char *address, duty_lease_t *lease);
/* Calls under way end first, as unanswered. */
void duty_calls_destroy(duty_calls_t *calls);
/* Sends `bytes`, which bear `token`. FALSE when it may not, or no connection
 * can be had; `answered` is not called then. */
gboolean duty_calls_send(duty_calls_t *calls, guint64 token, str_t bytes,
                         duty_call_done_t done, void *user);
/* To be called often: ends calls that the lease no longer covers. */
void duty_calls_check(duty_calls_t *calls);

#endif
