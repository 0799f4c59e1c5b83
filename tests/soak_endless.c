#include "soak_endless.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    MS = 1000,
    MB = 1024 * 1024,
    AT_ONCE = 3,
    UNIT_BYTES = 16 * 1024,
    CONNECT_MS = 300,
    LAST_MIN_MS = 300,
    LAST_MAX_MS = 1500,
    PAUSE_MAX_MS = 600,
};

/* What a client sends first, and then without end. */
static const struct {
    const char *first;
    const char *unit;
} HOSES[] = {
    {"", "noise "},
    {"", "\r\n"},
    {"GET /safe/x HTTP/1.1\r\nHost: h.example\r\nX: ", "xxxx"},
    {"GET /safe/x HTTP/1.1\r\nHost: h.example\r\n", "X: y\r\n"},
    {"POST /safe/x HTTP/1.1\r\nHost: h.example\r\n"
     "Content-Length: 99999999999\r\n\r\n",
     "xxxx"},
    {"PUT /api/config HTTP/1.1\r\nHost: h\r\n"
     "Transfer-Encoding: chunked\r\n\r\n",
     "1;xxxx\r\nx\r\n"},
    {"GET /safe/slow HTTP/1.1\r\nHost: h.example\r\n\r\n", "xxxx"},
};

/* One sender without end. */
typedef struct {
    gint64 until_us;
    fleet_process_t *process; /* endpoint that answers so, or NULL */
    gboolean platform;        /* answers so */
    GThread *hose;            /* or NULL */
    gint stop;                /* atomic; the hose ends */
    char *ip;
    guint port;
    guint kind; /* in HOSES */
} sender_t;

struct soak_endless {
    fleet_t *fleet;
    GRand *random;
    sender_t senders[AT_ONCE];
    gint64 next_us;
};

static gpointer
hose_run(gpointer data)
{
    sender_t *s = data;
    int fd = fleet_connect(s->ip, s->port, CONNECT_MS);
    GString *unit = g_string_new(HOSES[s->kind].first);
    gboolean open = fd >= 0;
    while (open && !g_atomic_int_get(&s->stop)) {
        while (unit->len < UNIT_BYTES) {
            g_string_append(unit, HOSES[s->kind].unit);
        }
        ssize_t count =
            send(fd, unit->str, unit->len, MSG_NOSIGNAL | MSG_DONTWAIT);
        open = count >= 0 || errno == EAGAIN;
        if (count > 0) {
            g_string_erase(unit, 0, count);
        }
        else {
            g_usleep(MS);
        }
    }
    if (fd >= 0) {
        close(fd);
    }
    g_string_free(unit, TRUE);
    return NULL;
}

soak_endless_t *
soak_endless_create(fleet_t *fleet, guint32 seed)
{
    soak_endless_t *e = g_new0(soak_endless_t, 1);
    e->fleet = fleet;
    e->random = g_rand_new_with_seed(seed);
    return e;
}

static void
sender_end(soak_endless_t *e, sender_t *s)
{
    if (s->process != NULL) {
        fleet_fault(s->process, NULL);
    }
    if (s->platform) {
        fleet_platform_mode(e->fleet, "ok");
    }
    if (s->hose != NULL) {
        g_atomic_int_set(&s->stop, 1);
        g_thread_join(s->hose);
    }
    g_free(s->ip);
    *s = (sender_t){0};
}

void
soak_endless_destroy(soak_endless_t *e)
{
    if (e == NULL) {
        return;
    }
    soak_endless_end(e);
    g_rand_free(e->random);
    g_free(e);
}

static void
hose_begin(soak_endless_t *e, sender_t *s)
{
    static const guint PORTS[] = {FLEET_CALLERS_PORT, FLEET_PROBE_PORT,
                                  FLEET_CONTROL_PORT, FLEET_PEERS_PORT,
                                  FLEET_METRICS_PORT};
    guint instances = e->fleet->controls + e->fleet->entries;
    gint at = g_rand_int_range(e->random, 0, (gint)instances);
    gint port = g_rand_int_range(e->random, 0, G_N_ELEMENTS(PORTS));
    s->ip = g_strdup(e->fleet->processes[at].bind);
    s->port = PORTS[port];
    s->kind = (guint)g_rand_int_range(e->random, 0, G_N_ELEMENTS(HOSES));
    s->hose = g_thread_new("hose", hose_run, s);
}

static void
sender_begin(soak_endless_t *e, sender_t *s, gint64 now_us)
{
    enum { ENDPOINT, PLATFORM, CLIENT, KINDS };
    guint endpoints = e->fleet->count - e->fleet->controls -
                      e->fleet->entries - (e->fleet->platform != NULL);
    gint last_ms = g_rand_int_range(e->random, LAST_MIN_MS, LAST_MAX_MS);
    gint kind = g_rand_int_range(e->random, 0, KINDS);
    gint at = g_rand_int_range(e->random, 0, (gint)endpoints);
    s->until_us = now_us + (gint64)last_ms * MS;
    if (kind == ENDPOINT) {
        s->process = fleet_endpoint(e->fleet, (guint)at);
        fleet_fault(s->process, "endless");
    }
    else if (kind == PLATFORM && e->fleet->platform != NULL) {
        s->platform = TRUE;
        fleet_platform_mode(e->fleet, "endless");
    }
    else {
        hose_begin(e, s);
    }
}

void
soak_endless_step(soak_endless_t *e)
{
    if (e == NULL) {
        return;
    }
    gint64 now_us = g_get_monotonic_time();
    for (guint i = 0; i < AT_ONCE; i++) {
        sender_t *s = &e->senders[i];
        if (s->until_us != 0 && now_us >= s->until_us) {
            sender_end(e, s);
        }
        if (s->until_us == 0 && now_us >= e->next_us) {
            sender_begin(e, s, now_us);
            e->next_us =
                now_us +
                (gint64)g_rand_int_range(e->random, 0, PAUSE_MAX_MS) * MS;
        }
    }
}

void
soak_endless_end(soak_endless_t *e)
{
    for (guint i = 0; e != NULL && i < AT_ONCE; i++) {
        if (e->senders[i].until_us != 0) {
            sender_end(e, &e->senders[i]);
        }
    }
}

guint
soak_endless_peak_mb(const soak_endless_t *e)
{
    guint most = 0;
    guint instances = e != NULL ? e->fleet->controls + e->fleet->entries : 0;
    for (guint i = 0; i < instances; i++) {
        const fleet_process_t *p = &e->fleet->processes[i];
        if (fleet_is_running(p)) {
            most = MAX(most, (guint)(fleet_peak_bytes(p) / MB));
        }
    }
    return most;
}
