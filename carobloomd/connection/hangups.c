#include "carobloom/connection/hangups.h"

#include <sys/epoll.h>
#include <unistd.h>

enum { EVENTS_A_TURN = 64 };

struct hangups {
    int poller;
    hangup_fn_t fn;
    GSource *source;
};

typedef struct {
    GSource source;
    hangups_t *hangups;
} hangups_source_t;

/* One at a time: answering may forget others that are ready too. */
static gboolean
dispatch(GSource *source, GSourceFunc fn, gpointer data)
{
    (void)fn;
    (void)data;
    hangups_t *h = ((hangups_source_t *)source)->hangups;
    for (int i = 0; i < EVENTS_A_TURN; i++) {
        struct epoll_event event;
        if (epoll_wait(h->poller, &event, 1, 0) != 1) {
            break;
        }
        h->fn(event.data.ptr);
    }
    return G_SOURCE_CONTINUE;
}

static GSourceFuncs source_funcs = {.dispatch = dispatch};

hangups_t *
hangups_create(GMainContext *context, hangup_fn_t fn)
{
    hangups_t *h = g_new0(hangups_t, 1);
    h->poller = epoll_create1(EPOLL_CLOEXEC);
    h->fn = fn;
    h->source = g_source_new(&source_funcs, sizeof(hangups_source_t));
    ((hangups_source_t *)h->source)->hangups = h;
    g_source_add_unix_fd(h->source, h->poller, G_IO_IN);
    g_source_attach(h->source, context);
    return h;
}

void
hangups_destroy(hangups_t *h)
{
    g_source_destroy(h->source);
    g_source_unref(h->source);
    close(h->poller);
    g_free(h);
}

void
hangups_watch(hangups_t *h, int fd, void *data)
{
    /* A half-closed connection counts: whoever sends no more and reads on is
     * not worth an engine's time. Edge-triggered: it is told once. */
    struct epoll_event event = {.events = EPOLLRDHUP | EPOLLET,
                                .data.ptr = data};
    epoll_ctl(h->poller, EPOLL_CTL_ADD, fd, &event);
}

void
hangups_forget(hangups_t *h, int fd)
{
    epoll_ctl(h->poller, EPOLL_CTL_DEL, fd, NULL);
}
