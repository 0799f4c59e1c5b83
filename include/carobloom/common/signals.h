/* The signals that operators send: SIGHUP, SIGINT, SIGTERM and SIGUSR1. One
 * that arrives before its handler is there would end the process. */
#ifndef CAROBLOOM_COMMON_SIGNALS_H
#define CAROBLOOM_COMMON_SIGNALS_H

/* Keeps them pending in this thread and in those that it creates. */
void signals_hold(void);

/* Delivers those that are pending, and those to come, to this thread. Also
 * ends a hold that the parent process began. */
void signals_release(void);

#endif
