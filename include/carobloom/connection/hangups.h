/* Callers that leave, of one HTTP task.
 *
 * One epoll descriptor watches all their sockets: a GSource each would cost
 * every turn of the main loop its part, however quiet they are. */
#ifndef CAROBLOOM_CONNECTION_HANGUPS_H
#define CAROBLOOM_CONNECTION_HANGUPS_H

#include <glib.h>

typedef struct hangups hangups_t;
typedef void (*hangup_fn_t)(void *data);

/* `fn` is called with what was given to hangups_watch. */
hangups_t *hangups_create(GMainContext *context, hangup_fn_t fn);
void hangups_destroy(hangups_t *hangups);
/* Watches a socket until it is forgotten or its other side has closed. */
void hangups_watch(hangups_t *hangups, int fd, void *data);
void hangups_forget(hangups_t *hangups, int fd);

#endif
