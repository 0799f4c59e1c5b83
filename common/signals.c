#include "carobloom/common/signals.h"

#include <pthread.h>
#include <signal.h>

static void
mask(int how)
{
    sigset_t handled;
    sigemptyset(&handled);
    sigaddset(&handled, SIGHUP);
    sigaddset(&handled, SIGINT);
    sigaddset(&handled, SIGTERM);
    sigaddset(&handled, SIGUSR1);
    pthread_sigmask(how, &handled, NULL);
}

void
signals_hold(void)
{
    mask(SIG_BLOCK);
}

void
signals_release(void)
{
    mask(SIG_UNBLOCK);
}
