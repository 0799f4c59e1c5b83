/* Signals to the processes that a test started. */
#ifndef TESTS_CHILD_PROCESS_H
#define TESTS_CHILD_PROCESS_H

#include <gio/gio.h>

/* Sends a signal. After SIGSTOP it returns once the process has stopped or
 * ended: until then the process may still take requests. */
void child_process_signal(GSubprocess *process, int signal);

#endif
