#include "carobloom/common/poller.h"

#include <unistd.h>

/* Events taken from the kernel at once; more wait for the next turn. */
enum { EVENTS_A_TURN = 128 };
/* Bounds of poller_catch_up while new events keep arriving: what waits for it
 * is late already. */
enum { CATCH_UP_TURNS = 8, CATCH_UP_US = 50 * 1000 };

struct poller {
    int fd;
    GSource *source;
    poll_turn_fn_t turn;
    void *data;
    gboolean dispatching;
    GPtrArray *dead; /* watches destroyed within a batch */
};

struct poll_watch {
    poller_t *poller;
    int fd;
    guint32 events;
    poll_fn_t fn; /* NULL once destroyed */
    void *data;
};

typedef struct {
    GSource source;
    poller_t *poller;
    gpointer tag;
} poller_source_t;

static gboolean
poller_check(GSource *source)
{
    poller_source_t *self = (poller_source_t *)source;
    return g_source_query_unix_fd(source, self->tag) != 0;
}

/* Returns the number of events. */
static int
take_events(poller_t *poller)
{
    struct epoll_event events[EVENTS_A_TURN];
    int count = epoll_wait(poller->fd, events, EVENTS_A_TURN, 0);
    poller->dispatching = TRUE;
    for (int i = 0; i < count; i++) {
        poll_watch_t *watch = events[i].data.ptr;
        poller->turn(poller->data);
        if (watch->fn != NULL) {
            watch->fn(events[i].events, watch->data);
        }
    }
    poller->dispatching = FALSE;
    g_ptr_array_set_size(poller->dead, 0);
    return count;
}

static gboolean
poller_dispatch(GSource *source, GSourceFunc fn, gpointer data)
{
    (void)fn;
    (void)data;
    take_events(((poller_source_t *)source)->poller);
    return G_SOURCE_CONTINUE;
}

static GSourceFuncs poller_funcs = {
    .check = poller_check,
    .dispatch = poller_dispatch,
};

poller_t *
poller_create(GMainContext *context, poll_turn_fn_t turn, void *data)
{
    int fd = epoll_create1(EPOLL_CLOEXEC);
    if (fd < 0) {
        return NULL;
    }
    poller_t *poller = g_new0(poller_t, 1);
    *poller = (poller_t){.fd = fd, .turn = turn, .data = data};
    poller->dead = g_ptr_array_new_with_free_func(g_free);
    poller->source = g_source_new(&poller_funcs, sizeof(poller_source_t));
    poller_source_t *self = (poller_source_t *)poller->source;
    self->poller = poller;
    self->tag = g_source_add_unix_fd(poller->source, fd, G_IO_IN);
    g_source_attach(poller->source, context);
    return poller;
}

void
poller_destroy(poller_t *poller)
{
    g_source_destroy(poller->source);
    g_source_unref(poller->source);
    g_ptr_array_unref(poller->dead);
    close(poller->fd);
    g_free(poller);
}

void
poller_catch_up(poller_t *poller)
{
    gint64 until = g_get_monotonic_time() + CATCH_UP_US;
    int turns = 0;
    while (take_events(poller) > 0 && ++turns < CATCH_UP_TURNS &&
           g_get_monotonic_time() < until) {
    }
}

poll_watch_t *
poll_watch_create(poller_t *poller, int fd, guint32 events, poll_fn_t fn,
                  void *data)
{
    poll_watch_t *watch = g_new0(poll_watch_t, 1);
    *watch = (poll_watch_t){
        .poller = poller, .fd = fd, .events = events, .fn = fn, .data = data};
    struct epoll_event event = {.events = events, .data.ptr = watch};
    if (epoll_ctl(poller->fd, EPOLL_CTL_ADD, fd, &event) != 0) {
        g_free(watch);
        return NULL;
    }
    return watch;
}

void
poll_watch_destroy(poll_watch_t *watch)
{
    poller_t *poller = watch->poller;
    epoll_ctl(poller->fd, EPOLL_CTL_DEL, watch->fd, NULL);
    watch->fn = NULL;
    if (poller->dispatching) {
        g_ptr_array_add(poller->dead, watch);
    }
    else {
        g_free(watch);
    }
}

void
poll_watch_set(poll_watch_t *watch, guint32 events)
{
    if (watch->events == events) {
        return;
    }
    struct epoll_event event = {.events = events, .data.ptr = watch};
    watch->events = events;
    epoll_ctl(watch->poller->fd, EPOLL_CTL_MOD, watch->fd, &event);
}
