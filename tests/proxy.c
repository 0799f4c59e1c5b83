#include "proxy.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "carobloom/common/poller.h"
#include "carobloom/common/timers.h"
#include "carobloom/http/stream_socket.h"

enum {
    DELAY_US = 80 * 1000,
    TURN_MS = 2,
    SOURCES_MAX = 32,
    GARBLED_MIN = 256,      /* bytes of a piece that is garbled */
    TRICKLE_US = 50 * 1000, /* from one byte to the next */
};

static const char *const MODE_NAMES[] = {
    [PROXY_PASS] = "pass",         [PROXY_DELAY] = "delay",
    [PROXY_RESET] = "reset",       [PROXY_CUT_TO] = "cut-to",
    [PROXY_CUT_FROM] = "cut-from", [PROXY_SILENT] = "silent",
    [PROXY_STALE] = "stale",       [PROXY_REFUSE] = "refuse",
    [PROXY_HOLD] = "hold",         [PROXY_GARBLE] = "garble",
    [PROXY_TRICKLE] = "trickle",
};

/* A mode, and whether it took effect. */
typedef struct {
    gint ip;   /* atomic; of the connecting side, in network order; 0: any */
    gint mode; /* atomic; a proxy_mode_t, as asked for */
    gint done; /* the mode that took effect on open connections */
} source_t;

struct proxy {
    struct sockaddr_in to;
    int fd;
    poll_watch_t *watch;
    source_t any;
    source_t sources[SOURCES_MAX];
    GList *pairs;
};

typedef struct pair pair_t;

/* One way of a connection. */
typedef struct {
    pair_t *pair;
    stream_socket_t *socket;
    gboolean closed;
    gboolean lossy;   /* bytes that came from there were lost */
    gboolean reset;   /* it was closed by a reset */
    GByteArray *held; /* NULL: nothing that came from there is held up */
} end_t;

struct pair {
    proxy_t *proxy;
    gint ip;    /* of the connecting side, in network order */
    end_t near; /* of the connecting side */
    end_t far;
    gboolean stale;
    gboolean over;
    guint late; /* pieces on their way, with DELAY; the last frees it */
    gint64 trickled_us; /* when the last byte was passed on, with TRICKLE */
};

typedef struct {
    pair_t *pair;
    gboolean to_far;
    GBytes *bytes;
} piece_t;

static struct {
    GThread *thread;
    GMainContext *context;
    poller_t *poller;
    timers_t *timers;
    GPtrArray *proxies;
    GMutex lock; /* over `proxies` */
    gint stop;
} all;

const char *
proxy_mode_name(proxy_mode_t mode)
{
    return MODE_NAMES[mode];
}

static proxy_mode_t
mode_from(const proxy_t *proxy, gint ip)
{
    for (guint i = 0; i < SOURCES_MAX; i++) {
        const source_t *source = &proxy->sources[i];
        gint mode = g_atomic_int_get(&source->mode);
        if (mode != PROXY_PASS && g_atomic_int_get(&source->ip) == ip) {
            return (proxy_mode_t)mode;
        }
    }
    return (proxy_mode_t)g_atomic_int_get(&proxy->any.mode);
}

static proxy_mode_t
mode_of(const pair_t *pair)
{
    return mode_from(pair->proxy, pair->ip);
}

static void
pair_destroy(pair_t *pair, gboolean reset)
{
    end_t *ends[] = {&pair->near, &pair->far};
    for (int i = 0; i < 2; i++) {
        if (ends[i]->socket == NULL) {
            continue;
        }
        if (reset) {
            stream_socket_reset(ends[i]->socket);
        }
        else {
            stream_socket_destroy(ends[i]->socket);
        }
        ends[i]->socket = NULL;
    }
    g_clear_pointer(&pair->near.held, g_byte_array_unref);
    g_clear_pointer(&pair->far.held, g_byte_array_unref);
    pair->proxy->pairs = g_list_remove(pair->proxy->pairs, pair);
    pair->over = TRUE;
    if (pair->late == 0) {
        g_free(pair);
    }
}

static gboolean
is_lost(const pair_t *pair, gboolean to_far)
{
    proxy_mode_t mode = mode_of(pair);
    return pair->stale || mode == PROXY_SILENT ||
           mode == (to_far ? PROXY_CUT_TO : PROXY_CUT_FROM);
}

/* Whether what comes from that end is held up. */
static gboolean
is_held(const end_t *from)
{
    proxy_mode_t mode = mode_of(from->pair);
    return mode == PROXY_HOLD ||
           (mode == PROXY_TRICKLE && from == &from->pair->far);
}

static void
hold(end_t *from, str_t bytes)
{
    if (from->held == NULL) {
        from->held = g_byte_array_new();
    }
    g_byte_array_append(from->held, (const guint8 *)bytes.data,
                        (guint)bytes.length);
}

static void
pass(pair_t *pair, gboolean to_far, str_t bytes)
{
    stream_socket_t *socket = to_far ? pair->far.socket : pair->near.socket;
    if (socket != NULL) {
        stream_socket_write(socket, bytes);
        stream_socket_flush(socket);
    }
}

/* Passes a piece on with one byte changed. */
static void
pass_garbled(pair_t *pair, gboolean to_far, str_t bytes)
{
    char *copy = g_memdup2(bytes.data, bytes.length);
    copy[bytes.length / 2] ^= 1;
    pass(pair, to_far, (str_t){.data = copy, .length = bytes.length});
    g_free(copy);
}

static void
pass_late(void *data)
{
    piece_t *piece = data;
    gsize length;
    const char *bytes = g_bytes_get_data(piece->bytes, &length);
    piece->pair->late--;
    pass(piece->pair, piece->to_far, (str_t){.data = bytes, .length = length});
    if (piece->pair->over && piece->pair->late == 0) {
        g_free(piece->pair);
    }
    g_bytes_unref(piece->bytes);
    g_free(piece);
}

static void
on_bytes(void *user, str_t bytes)
{
    end_t *end = user;
    pair_t *pair = end->pair;
    gboolean to_far = end == &pair->near;
    if (is_lost(pair, to_far) || end->lossy) {
        end->lossy = TRUE; /* nothing may come after a gap */
        return;
    }
    if (is_held(end) || end->held != NULL) {
        hold(end, bytes);
        return;
    }
    if (mode_of(pair) == PROXY_GARBLE && !to_far &&
        bytes.length >= GARBLED_MIN) {
        pass_garbled(pair, to_far, bytes);
        return;
    }
    /* Once a piece is late those after it must not overtake it. */
    if (mode_of(pair) != PROXY_DELAY && pair->late == 0) {
        pass(pair, to_far, bytes);
        return;
    }
    piece_t *piece = g_new0(piece_t, 1);
    *piece = (piece_t){.pair = pair,
                       .to_far = to_far,
                       .bytes = g_bytes_new(bytes.data, bytes.length)};
    pair->late++;
    timers_subscribe(all.timers, DELAY_US, 0, pass_late, piece);
}

static void
on_closed(void *user, int error)
{
    end_t *end = user;
    pair_t *pair = end->pair;
    /* Behind a cut an end is not heard of; the other side keeps waiting. */
    if (is_lost(pair, end == &pair->near) && end->socket != NULL) {
        g_clear_pointer(&end->socket, stream_socket_destroy);
        end->closed = TRUE;
        return;
    }
    if (end->socket != NULL && (is_held(end) || end->held != NULL)) {
        g_clear_pointer(&end->socket, stream_socket_destroy);
        end->closed = TRUE;
        end->reset = error != 0;
        if (end->reset) {
            g_clear_pointer(&end->held, g_byte_array_unref);
        }
        return;
    }
    pair_destroy(pair, error != 0);
}

static void
on_nothing(void *user)
{
    (void)user;
}

static const stream_socket_ops_t END_OPS = {.connected = on_nothing,
                                            .bytes = on_bytes,
                                            .drained = on_nothing,
                                            .closed = on_closed};

static void
on_acceptable(guint32 events, void *data)
{
    (void)events;
    proxy_t *proxy = data;
    struct sockaddr_in from = {0};
    socklen_t length = sizeof(from);
    int fd = accept4(proxy->fd, (struct sockaddr *)&from, &length,
                     SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
        return;
    }
    gint ip = (gint)from.sin_addr.s_addr;
    proxy_mode_t mode = mode_from(proxy, ip);
    if (mode == PROXY_RESET || mode == PROXY_REFUSE) {
        struct linger linger = {.l_onoff = 1};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
        close(fd);
        return;
    }
    pair_t *pair = g_new0(pair_t, 1);
    pair->proxy = proxy;
    pair->ip = ip;
    pair->near.pair = pair;
    pair->far.pair = pair;
    pair->near.socket =
        stream_socket_adopt(all.poller, fd, &END_OPS, &pair->near);
    pair->far.socket =
        stream_socket_connect(all.poller, &proxy->to, &END_OPS, &pair->far);
    proxy->pairs = g_list_prepend(proxy->pairs, pair);
    if (pair->near.socket == NULL || pair->far.socket == NULL) {
        pair_destroy(pair, TRUE);
    }
}

/* Passes on what was held up. Returns FALSE if the pair is gone. */
static gboolean
release(pair_t *pair)
{
    end_t *ends[] = {&pair->near, &pair->far};
    gboolean closed = FALSE;
    gboolean reset = FALSE;
    for (int i = 0; i < 2; i++) {
        GByteArray *held = g_steal_pointer(&ends[i]->held);
        if (held != NULL) {
            pass(pair, i == 0,
                 (str_t){.data = (const char *)held->data,
                         .length = held->len});
            g_byte_array_unref(held);
        }
        closed |= ends[i]->closed;
        reset |= ends[i]->reset;
    }
    if (closed) {
        pair_destroy(pair, reset);
    }
    return !closed;
}

/* What a change of mode does to open connections of a source. */
static void
source_turn(proxy_t *proxy, source_t *source)
{
    gint ip = g_atomic_int_get(&source->ip);
    proxy_mode_t mode = (proxy_mode_t)g_atomic_int_get(&source->mode);
    if ((gint)mode == source->done) {
        return;
    }
    gboolean was_held =
        source->done == PROXY_HOLD || source->done == PROXY_TRICKLE;
    source->done = (gint)mode;
    GList *next;
    for (GList *l = proxy->pairs; l != NULL; l = next) {
        pair_t *pair = l->data;
        next = l->next;
        if ((ip != 0 && ip != pair->ip) || (was_held && !release(pair))) {
            continue;
        }
        gboolean ended = pair->near.closed || pair->far.closed ||
                         pair->near.lossy || pair->far.lossy;
        if (mode == PROXY_RESET || (mode == PROXY_PASS && ended)) {
            pair_destroy(pair, TRUE);
        }
        else if (mode == PROXY_STALE) {
            pair->stale = TRUE;
        }
    }
}

static void
trickle(pair_t *pair)
{
    gint64 now = g_get_monotonic_time();
    GByteArray *held = pair->far.held;
    if (held == NULL || held->len == 0 || pair->far.socket == NULL ||
        mode_of(pair) != PROXY_TRICKLE ||
        now - pair->trickled_us < TRICKLE_US) {
        return;
    }
    char byte = (char)held->data[0];
    pair->trickled_us = now;
    g_byte_array_remove_index(held, 0);
    pass(pair, FALSE, (str_t){.data = &byte, .length = 1});
}

static void
proxy_turn(proxy_t *proxy)
{
    if (proxy->watch == NULL) {
        proxy->watch = poll_watch_create(all.poller, proxy->fd, EPOLLIN,
                                         on_acceptable, proxy);
    }
    source_turn(proxy, &proxy->any);
    for (guint i = 0; i < SOURCES_MAX; i++) {
        source_turn(proxy, &proxy->sources[i]);
    }
    for (GList *l = proxy->pairs; l != NULL; l = l->next) {
        trickle(l->data);
    }
}

static void
on_turn(gint64 now_us, void *data)
{
    (void)data;
    timers_advance(all.timers, now_us);
}

static gpointer
proxies_run(gpointer data)
{
    (void)data;
    while (!g_atomic_int_get(&all.stop)) {
        g_mutex_lock(&all.lock);
        for (guint i = 0; i < all.proxies->len; i++) {
            proxy_turn(all.proxies->pdata[i]);
        }
        g_mutex_unlock(&all.lock);
        while (g_main_context_iteration(all.context, FALSE)) {
        }
        on_turn(g_get_monotonic_time(), NULL);
        g_usleep(TURN_MS * 1000 / 4);
    }
    return NULL;
}

void
proxies_start(void)
{
    all.context = g_main_context_new();
    all.timers = timers_create(g_get_monotonic_time());
    all.poller = poller_create(all.context, on_turn, NULL);
    all.proxies = g_ptr_array_new();
    g_atomic_int_set(&all.stop, 0);
    all.thread = g_thread_new("proxies", proxies_run, NULL);
}

void
proxies_stop(void)
{
    g_atomic_int_set(&all.stop, 1);
    g_thread_join(all.thread);
    for (guint i = 0; i < all.proxies->len; i++) {
        proxy_t *proxy = all.proxies->pdata[i];
        GList *next;
        for (GList *l = proxy->pairs; l != NULL; l = next) {
            next = l->next;
            pair_destroy(l->data, TRUE);
        }
        if (proxy->watch != NULL) {
            poll_watch_destroy(proxy->watch);
        }
        close(proxy->fd);
        g_free(proxy);
    }
    timers_advance(all.timers, g_get_monotonic_time() + DELAY_US);
    g_ptr_array_unref(all.proxies);
    poller_destroy(all.poller);
    timers_destroy(all.timers);
    g_main_context_unref(all.context);
}

proxy_t *
proxy_create(const char *from, const char *to)
{
    proxy_t *proxy = g_new0(proxy_t, 1);
    guint16 port;
    proxy->fd = socket_listen(from, &port);
    if (proxy->fd < 0 ||
        !socket_address_parse(str_from_cstr(to), &proxy->to)) {
        g_free(proxy);
        return NULL;
    }
    g_mutex_lock(&all.lock);
    g_ptr_array_add(all.proxies, proxy);
    g_mutex_unlock(&all.lock);
    return proxy;
}

void
proxy_set(proxy_t *proxy, proxy_mode_t mode)
{
    g_atomic_int_set(&proxy->any.mode, (gint)mode);
}

void
proxy_set_from(proxy_t *proxy, const char *ip, proxy_mode_t mode)
{
    struct in_addr address = {0};
    inet_pton(AF_INET, ip, &address);
    gint number = (gint)address.s_addr;
    for (guint i = 0; i < SOURCES_MAX; i++) {
        source_t *source = &proxy->sources[i];
        gint known = g_atomic_int_get(&source->ip);
        if (known == 0 || known == number) {
            g_atomic_int_set(&source->ip, number);
            g_atomic_int_set(&source->mode, (gint)mode);
            return;
        }
    }
}
