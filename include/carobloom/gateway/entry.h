/* The entry role of an instance: forwards callers' requests to endpoints. */
#ifndef CAROBLOOM_GATEWAY_ENTRY_H
#define CAROBLOOM_GATEWAY_ENTRY_H

#include "carobloom/common/poller.h"
#include "carobloom/common/task.h"
#include "carobloom/gateway/settings.h"

typedef struct entry entry_t;

/* Opens the listeners and starts to poll the control instances for updates.
 * Returns NULL with the error logged. */
entry_t *entry_create(const gateway_settings_t *settings, task_t *task,
                      poller_t *poller);
void entry_destroy(entry_t *entry);
/* Applies new settings (seeds and bounds). The old settings may be freed
 * afterwards. */
void entry_reload(entry_t *entry, const gateway_settings_t *settings);
/* Handles SIGTERM: the instance reports that it is not ready, so that the
 * balancer stops sending callers to it. entry_idle is polled from then on;
 * once the balancer had time to notice, it refuses new requests, and it
 * returns TRUE when the last request is answered or the grace period is almost
 * over. */
void entry_drain(entry_t *entry);
gboolean entry_idle(entry_t *entry);
/* Returns the state as text for the dump; freed with g_free. */
char *entry_dump(const entry_t *entry);
/* Returns the known endpoints as JSON; freed with g_free. */
char *entry_endpoints(const entry_t *entry);

#endif
