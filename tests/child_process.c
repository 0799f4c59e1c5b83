#include "child_process.h"

#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/wait.h>

static void
wait_stopped(GSubprocess *process)
{
    const char *id = g_subprocess_get_identifier(process);
    siginfo_t info;
    while (id != NULL && waitid(P_PID, (id_t)atoi(id), &info,
                                WSTOPPED | WEXITED | WNOWAIT) != 0) {
        if (errno != EINTR) {
            return; /* it ended, and GIO has waited for it */
        }
    }
}

void
child_process_signal(GSubprocess *process, int signal)
{
    g_subprocess_send_signal(process, signal);
    if (signal == SIGSTOP) {
        wait_stopped(process);
    }
}
