/* Runs an instance that routes by the routing configuration: its task, signals
 * and settings, for the entry and the control role. */
#ifndef CAROBLOOM_GATEWAY_GATEWAY_H
#define CAROBLOOM_GATEWAY_GATEWAY_H

/* Runs until the process has drained after SIGTERM. `path` is the settings
 * file, which is read again on SIGHUP and when it changes. Returns the exit
 * status. */
int gateway_run(const char *path);

#endif
