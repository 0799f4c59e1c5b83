#include "carobloom/common/poller.h"

#include <unistd.h>

/* Events taken from the kernel at once; more wait for the next turn. */
enum {
    EVENTS_A_TURN = 128,
    /* Other events, or timers, before urgent events are looked for again, and
     * the time after which they are in any case: some take long, and a process
     * may not run for a while. */
    WORK_BETWEEN_URGENT = 16,
    URGENT_INTERVAL_US = 2000,
};
/* Bounds of poller_catch_up while new events keep arriving: what waits for it
 * is late already. */
enum { CATCH_UP_TURNS = 8, CATCH_UP_US = 50 * 1000 };

struct poller {
    int fd;
    int urgent_fd; /* epoll set of the urgent descriptors, itself in `fd` */
    GSource *source;
    poll_turn_fn_t turn;
    void *data;
    poll_urgent_fn_t after_urgent; /* or NULL */
    void *after_urgent_data;
    gint64 now_us;
    gint64 urgent_looked_us; /* when urgent events were looked for last */
    guint work_since;        /* events and timers since then */
    gboolean dispatching;
    GPtrArray *dead; /* watches destroyed within a batch */
};

struct poll_watch {
    poller_t *poller;
    int set; /* epoll set that the descriptor is in */
    int fd;
    guint32 events;
    gboolean has_urgent_close; /* it is in the urgent set as well */
    poll_fn_t fn;              /* NULL once destroyed */
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

static void
take_event(poller_t *poller, const struct epoll_event *event)
{
    poll_watch_t *watch = event->data.ptr;
    poller->now_us = g_get_monotonic_time();
    poller->turn(poller->now_us, poller->data);
    if (watch->fn != NULL) {
        watch->fn(event->events, watch->data);
    }
}

/* Callable from within a batch. */
static void
take_urgent(poller_t *poller)
{
    struct epoll_event events[WORK_BETWEEN_URGENT];
    int count = epoll_wait(poller->urgent_fd, events, WORK_BETWEEN_URGENT, 0);
    for (int i = 0; i < count; i++) {
        take_event(poller, &events[i]);
    }
    poller->urgent_looked_us = poller->now_us;
    poller->work_since = 0;
    if (count > 0 && poller->after_urgent != NULL) {
        poller->after_urgent(poller->after_urgent_data);
    }
}

static gboolean
is_urgent_look_due(const poller_t *poller)
{
    return poller->work_since >= WORK_BETWEEN_URGENT ||
           poller->now_us - poller->urgent_looked_us >= URGENT_INTERVAL_US;
}

/* Whether urgent events may wait besides those of a batch. The set of the
 * urgent ones is in it as NULL, unless more events wait than it holds. */
static gboolean
has_urgent(const struct epoll_event *events, int count)
{
    for (int i = 0; i < count; i++) {
        if (events[i].data.ptr == NULL) {
            return TRUE;
        }
    }
    return count == EVENTS_A_TURN;
}

static void
begin_batch(poller_t *poller)
{
    poller->dispatching = TRUE;
}

static void
end_batch(poller_t *poller)
{
    poller->dispatching = FALSE;
    g_ptr_array_set_size(poller->dead, 0);
}

/* Returns the number of events. */
static int
take_events(poller_t *poller)
{
    struct epoll_event events[EVENTS_A_TURN];
    int count = epoll_wait(poller->fd, events, EVENTS_A_TURN, 0);
    begin_batch(poller);
    poller->now_us = g_get_monotonic_time();
    poller->urgent_looked_us = poller->now_us;
    poller->work_since = 0;
    if (has_urgent(events, count)) {
        take_urgent(poller);
    }
    for (int i = 0; i < count; i++) {
        if (is_urgent_look_due(poller)) {
            take_urgent(poller);
        }
        if (events[i].data.ptr != NULL) {
            poller->work_since++;
            take_event(poller, &events[i]);
        }
    }
    end_batch(poller);
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
    struct epoll_event urgent = {.events = EPOLLIN};
    int fd = epoll_create1(EPOLL_CLOEXEC);
    int urgent_fd = epoll_create1(EPOLL_CLOEXEC);
    if (fd < 0 || urgent_fd < 0 ||
        epoll_ctl(fd, EPOLL_CTL_ADD, urgent_fd, &urgent) != 0) {
        close(fd);
        close(urgent_fd);
        return NULL;
    }
    poller_t *poller = g_new0(poller_t, 1);
    *poller = (poller_t){
        .fd = fd, .urgent_fd = urgent_fd, .turn = turn, .data = data};
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
    close(poller->urgent_fd);
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

void
poller_take_urgent(poller_t *poller)
{
    poller->now_us = g_get_monotonic_time();
    poller->work_since++;
    if (!is_urgent_look_due(poller)) {
        return;
    }
    begin_batch(poller);
    take_urgent(poller);
    end_batch(poller);
}

poll_watch_t *
poll_watch_create(poller_t *poller, int fd, guint32 events, poll_fn_t fn,
                  void *data)
{
    poll_watch_t *watch = g_new0(poll_watch_t, 1);
    *watch = (poll_watch_t){.poller = poller,
                            .set = poller->fd,
                            .fd = fd,
                            .events = events,
                            .fn = fn,
                            .data = data};
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
    epoll_ctl(watch->set, EPOLL_CTL_DEL, watch->fd, NULL);
    if (watch->has_urgent_close) {
        epoll_ctl(poller->urgent_fd, EPOLL_CTL_DEL, watch->fd, NULL);
    }
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
    epoll_ctl(watch->set, EPOLL_CTL_MOD, watch->fd, &event);
}

void
poll_watch_set_urgent(poll_watch_t *watch)
{
    poller_t *poller = watch->poller;
    struct epoll_event event = {.events = watch->events, .data.ptr = watch};
    if (watch->set == poller->urgent_fd || watch->has_urgent_close ||
        epoll_ctl(poller->urgent_fd, EPOLL_CTL_ADD, watch->fd, &event) != 0) {
        return;
    }
    epoll_ctl(poller->fd, EPOLL_CTL_DEL, watch->fd, NULL);
    watch->set = poller->urgent_fd;
}

void
poll_watch_set_close_urgent(poll_watch_t *watch)
{
    /* Edge-triggered: bytes may have to be read before the close counts. */
    struct epoll_event event = {.events = EPOLLRDHUP | EPOLLET,
                                .data.ptr = watch};
    if (watch->set != watch->poller->urgent_fd &&
        epoll_ctl(watch->poller->urgent_fd, EPOLL_CTL_ADD, watch->fd,
                  &event) == 0) {
        watch->has_urgent_close = TRUE;
    }
}

void
poller_set_after_urgent(poller_t *poller, poll_urgent_fn_t fn, void *data)
{
    poller->after_urgent = fn;
    poller->after_urgent_data = data;
}
