/* File descriptors of a task, watched by one epoll set in its main context.
 *
 * One GSource stands for all of them: g_poll over hundreds of descriptors
 * costs more than the work they bring. */
#ifndef CAROBLOOM_COMMON_POLLER_H
#define CAROBLOOM_COMMON_POLLER_H

#include <glib.h>
#include <sys/epoll.h>

typedef struct poller poller_t;
typedef struct poll_watch poll_watch_t;

/* `events` are EPOLLIN, EPOLLOUT, EPOLLERR, EPOLLHUP. */
typedef void (*poll_fn_t)(guint32 events, void *data);

/* Called before each event with the monotonic time, to bring the owner's clock
 * up to date: the event before may have taken long. */
typedef void (*poll_turn_fn_t)(gint64 now_us, void *data);
typedef void (*poll_urgent_fn_t)(void *data);

/* NULL when the kernel gives no epoll set. */
poller_t *poller_create(GMainContext *context, poll_turn_fn_t turn,
                        void *data);
void poller_destroy(poller_t *poller);
/* Takes events that wait already, also those that taking them brings, such as
 * bytes on a connection that was accepted. Does not block. */
void poller_catch_up(poller_t *poller);
/* Watches a descriptor, which stays the caller's; NULL when refused. */
poll_watch_t *poll_watch_create(poller_t *poller, int fd, guint32 events,
                                poll_fn_t fn, void *data);
/* May be called from within any callback of the poller. */
void poll_watch_destroy(poll_watch_t *watch);
void poll_watch_set(poll_watch_t *watch, guint32 events);
/* From now on events of this descriptor are taken before those of others, also
 * while many of these wait. */
void poll_watch_set_urgent(poll_watch_t *watch);
/* The same for the other side's close alone (EPOLLRDHUP, EPOLLERR, EPOLLHUP),
 * which may be told before bytes that came before it. */
void poll_watch_set_close_urgent(poll_watch_t *watch);
/* Takes urgent events that wait, unless it did a moment ago; for whoever does
 * other work for long. */
void poller_take_urgent(poller_t *poller);
/* `fn` is called after urgent events were taken. */
void poller_set_after_urgent(poller_t *poller, poll_urgent_fn_t fn,
                             void *data);

#endif
