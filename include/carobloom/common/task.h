/* Tasks: a thread with its own GMainContext, timers and bounded mailbox.
 *
 * A task owns its sockets and its state. Others only send it messages. */
#ifndef CAROBLOOM_COMMON_TASK_H
#define CAROBLOOM_COMMON_TASK_H

#include <glib.h>

#include "carobloom/common/timers.h"

enum {
    TASK_OK = 0,
    TASK_ERROR_FULL = -1,    /* the mailbox is at its bound */
    TASK_ERROR_STOPPED = -2, /* the task takes no more messages */
};

/* The head of every message; `type` is the receiver's own enumeration. */
typedef struct message {
    int type;
    void (*destroy)(struct message *message);
} message_t;

typedef struct task task_t;

/* What a task does. `handle` does not own the message. */
typedef struct {
    const char *name;
    guint mailbox_bound;
    void (*handle)(void *state, message_t *message);
} task_ops_t;

/* Makes a task over `context`, or over a new context with a thread of its
 * own when that is NULL. `state` is passed to `handle`. */
task_t *task_create(const task_ops_t *ops, void *state, GMainContext *context);
/* Starts the thread; `begin` runs first on it and may be NULL. */
void task_start(task_t *task, void (*begin)(void *state));
/* Ends the thread after the messages already sent; `end` runs last on it. */
void task_stop(task_t *task, void (*end)(void *state));
void task_destroy(task_t *task);
/* How the events of the task's descriptors are taken while its timers run. */
typedef struct {
    /* Before timers that are late, e.g. after the processor was away: a
     * timeout must not give up what has arrived in the meantime. */
    void (*catch_up)(void *data);
    /* After each timer: urgent events don't wait behind many of them. */
    void (*take_urgent)(void *data);
} task_events_t;
void task_set_events(task_t *task, const task_events_t *events, void *data);
/* Hands over a message. On an error the message is destroyed. */
int task_send(task_t *task, message_t *message);
timers_t *task_timers(task_t *task);
GMainContext *task_context(task_t *task);
/* Messages waiting, for the dump. */
guint task_backlog(task_t *task);

#endif
