#include "carobloom/common/task.h"

/* A GSource that is ready when a message waits or a timer is due. */
typedef struct {
    GSource source;
    task_t *task;
} task_source_t;

struct task {
    const task_ops_t *ops;
    void *state;
    GMainContext *context;
    GMainLoop *loop;
    GThread *thread;
    GAsyncQueue *mailbox;
    timers_t *timers;
    const task_events_t *events; /* may be NULL */
    void *events_data;
    GSource *source;
    void (*begin)(void *state);
    void (*end)(void *state);
    gint stopping;
    gint stopped;
};

enum {
    MESSAGES_A_TURN = 256,
    LATE_US = 10 * 1000, /* by which a timer is late */
};

static gboolean
source_prepare(GSource *source, gint *timeout_ms)
{
    task_t *task = ((task_source_t *)source)->task;
    if (g_atomic_int_get(&task->stopping) ||
        g_async_queue_length(task->mailbox) > 0) {
        *timeout_ms = 0;
        return TRUE;
    }
    gint64 next = timers_next(task->timers);
    if (next == G_MAXINT64) {
        *timeout_ms = -1;
        return FALSE;
    }
    gint64 wait_us = next - g_get_monotonic_time();
    *timeout_ms = wait_us <= 0 ? 0 : (gint)MIN((wait_us + 999) / 1000, 60000);
    return wait_us <= 0;
}

static gboolean
source_check(GSource *source)
{
    gint timeout_ms;
    return source_prepare(source, &timeout_ms);
}

static void
run_timers(task_t *task)
{
    gint64 now = g_get_monotonic_time();
    if (task->events == NULL) {
        timers_advance(task->timers, now);
        return;
    }
    if (now - timers_next(task->timers) >= (gint64)LATE_US) {
        task->events->catch_up(task->events_data);
        now = g_get_monotonic_time();
    }
    while (timers_advance_some(task->timers, now, 1) > 0) {
        task->events->take_urgent(task->events_data);
    }
}

static gboolean
source_dispatch(GSource *source, GSourceFunc fn, gpointer data)
{
    (void)fn;
    (void)data;
    task_t *task = ((task_source_t *)source)->task;
    run_timers(task);
    for (int i = 0; i < MESSAGES_A_TURN; i++) {
        message_t *message = g_async_queue_try_pop(task->mailbox);
        if (message == NULL) {
            break;
        }
        task->ops->handle(task->state, message);
        message->destroy(message);
    }
    if (g_atomic_int_get(&task->stopping) &&
        g_async_queue_length(task->mailbox) <= 0) {
        g_main_loop_quit(task->loop);
    }
    return G_SOURCE_CONTINUE;
}

static GSourceFuncs source_funcs = {
    .prepare = source_prepare,
    .check = source_check,
    .dispatch = source_dispatch,
};

static void
message_drop(gpointer data)
{
    message_t *message = data;
    message->destroy(message);
}

task_t *
task_create(const task_ops_t *ops, void *state, GMainContext *context)
{
    task_t *task = g_new0(task_t, 1);
    task->ops = ops;
    task->state = state;
    task->context =
        context ? g_main_context_ref(context) : g_main_context_new();
    task->loop = g_main_loop_new(task->context, FALSE);
    task->mailbox = g_async_queue_new_full(message_drop);
    task->timers = timers_create(g_get_monotonic_time());
    task->source = g_source_new(&source_funcs, sizeof(task_source_t));
    ((task_source_t *)task->source)->task = task;
    g_source_attach(task->source, task->context);
    return task;
}

static gpointer
task_run(gpointer data)
{
    task_t *task = data;
    g_main_context_push_thread_default(task->context);
    if (task->begin) {
        task->begin(task->state);
    }
    g_main_loop_run(task->loop);
    if (task->end) {
        task->end(task->state);
    }
    g_main_context_pop_thread_default(task->context);
    return NULL;
}

void
task_start(task_t *task, void (*begin)(void *state))
{
    task->begin = begin;
    task->thread = g_thread_new(task->ops->name, task_run, task);
}

void
task_stop(task_t *task, void (*end)(void *state))
{
    task->end = end;
    g_atomic_int_set(&task->stopping, 1);
    g_main_context_wakeup(task->context);
    if (task->thread) {
        g_thread_join(task->thread);
        task->thread = NULL;
    }
    g_atomic_int_set(&task->stopped, 1);
}

void
task_destroy(task_t *task)
{
    g_source_destroy(task->source);
    g_source_unref(task->source);
    timers_destroy(task->timers);
    g_async_queue_unref(task->mailbox);
    g_main_loop_unref(task->loop);
    g_main_context_unref(task->context);
    g_free(task);
}

void
task_set_events(task_t *task, const task_events_t *events, void *data)
{
    task->events = events;
    task->events_data = data;
}

int
task_send(task_t *task, message_t *message)
{
    if (g_atomic_int_get(&task->stopped)) {
        message->destroy(message);
        return TASK_ERROR_STOPPED;
    }
    if (g_async_queue_length(task->mailbox) >=
        (gint)task->ops->mailbox_bound) {
        message->destroy(message);
        return TASK_ERROR_FULL;
    }
    g_async_queue_push(task->mailbox, message);
    g_main_context_wakeup(task->context);
    return TASK_OK;
}

timers_t *
task_timers(task_t *task)
{
    return task->timers;
}

GMainContext *
task_context(task_t *task)
{
    return task->context;
}

guint
task_backlog(task_t *task)
{
    return (guint)MAX(g_async_queue_length(task->mailbox), 0);
}
