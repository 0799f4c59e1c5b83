/* The control task of an instance: leases of endpoints, the operator's
 * configuration, and news to the entry instances. */
#ifndef CAROBLOOM_CONTROL_CONTROL_H
#define CAROBLOOM_CONTROL_CONTROL_H

#include "carobloom/common/poller.h"
#include "carobloom/common/task.h"
#include "carobloom/gateway/settings.h"

typedef struct control control_t;

/* Listens and starts the log. NULL with the fault logged. */
control_t *control_create(const gateway_settings_t *settings, task_t *task,
                          poller_t *poller);
void control_destroy(control_t *control);
/* Takes changed settings: for how long requests are held back. */
void control_reload(control_t *control, const gateway_settings_t *settings);
/* Messages of the log. */
void control_handle(control_t *control, message_t *message);
/* SIGTERM: hands leadership over and serves on until control_idle. */
void control_drain(control_t *control);
gboolean control_idle(const control_t *control);
/* State as text, for the dump; freed with g_free. */
char *control_dump(const control_t *control);
/* Usage by team and window, and engines planned, ordered and present, as JSON;
 * freed with g_free. NULL where they are no duties. */
char *control_usage(const control_t *control);
char *control_capacity(const control_t *control);

#endif
