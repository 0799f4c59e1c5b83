/* The control task of an instance: leases of endpoints, the operators'
 * configuration, and updates for entry instances. */
#ifndef CAROBLOOM_CONTROL_CONTROL_H
#define CAROBLOOM_CONTROL_CONTROL_H

#include "carobloom/common/poller.h"
#include "carobloom/common/task.h"
#include "carobloom/gateway/settings.h"

typedef struct control control_t;

/* Starts the listeners and the log. Logs the error and returns NULL on
 * failure. */
control_t *control_create(const gateway_settings_t *settings, task_t *task,
                          poller_t *poller);
void control_destroy(control_t *control);
/* Applies changed settings: how long requests stay quarantined. */
void control_reload(control_t *control, const gateway_settings_t *settings);
/* Handles a message from the log. */
void control_handle(control_t *control, message_t *message);
/* Hands leadership over on SIGTERM. The instance keeps serving until
 * control_idle returns TRUE. */
void control_drain(control_t *control);
gboolean control_idle(const control_t *control);
/* The state as text for the dump, freed with g_free. */
char *control_dump(control_t *control);
/* Usage by team and window, and numbers of engines planned, ordered and
 * present, as JSON; freed with g_free. NULL if the platform defines no such
 * duty. */
char *control_usage(const control_t *control);
char *control_capacity(const control_t *control);

#endif
