#include "soak_leaving.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    MS = 1000,
    CLIENTS = 8,
    CONNECT_MS = 500,
    STAY_MIN_MS = 20,
    STAY_MAX_MS = 900,
    PAUSE_MAX_MS = 60,
    GIVEN_UP_US = 500 * MS, /* within which nothing may be left of a request */
    STOPPED_MAX_MS = 3000,  /* for which an endpoint may not read */
};

typedef struct {
    soak_leaving_t *leaving;
    guint number;
    GRand *random;
    GThread *thread;
} leaver_t;

/* Of a process, for the time in which something was the matter with it. */
typedef struct {
    guint process; /* in the fleet */
    gint64 from_us;
    gint64 until_us;
} excuse_t;

/* A request whose client left. */
typedef struct {
    guint entry; /* process in the fleet */
    gint64 left_us;
} left_t;

struct soak_leaving {
    fleet_t *fleet;
    leaver_t clients[CLIENTS];
    gint stop;        /* atomic */
    GMutex lock;      /* over `left` */
    GHashTable *left; /* id -> left_t */
    GArray *excuses;  /* excuse_t: what is sent to it may be lost */
    GArray *stops;    /* excuse_t: it does not run */
};

soak_leaving_t *
soak_leaving_create(fleet_t *fleet, guint32 seed)
{
    soak_leaving_t *l = g_new0(soak_leaving_t, 1);
    l->fleet = fleet;
    l->left = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    l->excuses = g_array_new(FALSE, FALSE, sizeof(excuse_t));
    l->stops = g_array_new(FALSE, FALSE, sizeof(excuse_t));
    for (guint i = 0; i < CLIENTS; i++) {
        l->clients[i] =
            (leaver_t){.leaving = l,
                       .number = i,
                       .random = g_rand_new_with_seed(seed * CLIENTS + i)};
    }
    return l;
}

void
soak_leaving_destroy(soak_leaving_t *l)
{
    if (l == NULL) {
        return;
    }
    soak_leaving_stop(l);
    for (guint i = 0; i < CLIENTS; i++) {
        g_rand_free(l->clients[i].random);
    }
    g_hash_table_unref(l->left);
    g_array_unref(l->excuses);
    g_array_unref(l->stops);
    g_free(l);
}

/* Sends a request, waits for a while and leaves. */
static void
leave_once(leaver_t *c, guint request)
{
    static const char *const TARGETS[] = {"/safe/slow", "/once/slow",
                                          "/stream/long", "/safe/x"};
    soak_leaving_t *l = c->leaving;
    gint entry = g_rand_int_range(c->random, 0, (gint)l->fleet->entries);
    gint target = g_rand_int_range(c->random, 0, G_N_ELEMENTS(TARGETS));
    gint stay_ms = g_rand_int_range(c->random, STAY_MIN_MS, STAY_MAX_MS);
    gboolean resets = g_rand_boolean(c->random);
    /* Past the proxies, which lose the close as well. */
    int fd = fleet_connect(fleet_entry(l->fleet, (guint)entry)->bind,
                           FLEET_CALLERS_PORT, CONNECT_MS);
    if (fd < 0) {
        return;
    }
    char *id = g_strdup_printf("left-%u-%u", c->number, request);
    char *text = g_strdup_printf(
        "POST %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\n"
        "Authorization: Bearer %s\r\nDeadline-Ms: 8000\r\n"
        "Content-Length: 0\r\n\r\n",
        TARGETS[target], id, FLEET_KEY);
    (void)!send(fd, text, strlen(text), MSG_NOSIGNAL);
    fleet_sleep(stay_ms);
    if (resets) {
        fleet_reset_on_close(fd);
    }
    left_t left = {.entry = l->fleet->controls + (guint)entry,
                   .left_us = g_get_monotonic_time()};
    close(fd);
    g_mutex_lock(&l->lock);
    g_hash_table_insert(l->left, id, g_memdup2(&left, sizeof(left)));
    g_mutex_unlock(&l->lock);
    g_free(text);
}

static gpointer
leaver_run(gpointer data)
{
    leaver_t *c = data;
    for (guint i = 0; !g_atomic_int_get(&c->leaving->stop); i++) {
        leave_once(c, i);
        fleet_sleep(g_rand_int_range(c->random, 0, PAUSE_MAX_MS));
    }
    return NULL;
}

void
soak_leaving_start(soak_leaving_t *l)
{
    for (guint i = 0; l != NULL && i < CLIENTS; i++) {
        l->clients[i].thread =
            g_thread_new("leaver", leaver_run, &l->clients[i]);
    }
}

void
soak_leaving_stop(soak_leaving_t *l)
{
    if (l == NULL) {
        return;
    }
    g_atomic_int_set(&l->stop, 1);
    for (guint i = 0; i < CLIENTS; i++) {
        g_clear_pointer(&l->clients[i].thread, g_thread_join);
    }
}

void
soak_leaving_excuse(soak_leaving_t *l, const fleet_process_t *p, int ms)
{
    if (l == NULL) {
        return;
    }
    gint64 now_us = g_get_monotonic_time();
    excuse_t excuse = {.process = (guint)(p - l->fleet->processes),
                       .from_us = now_us,
                       .until_us =
                           now_us + (gint64)(ms + STOPPED_MAX_MS) * MS};
    g_array_append_val(l->excuses, excuse);
}

void
soak_leaving_stopped(soak_leaving_t *l, const fleet_process_t *p)
{
    if (l == NULL) {
        return;
    }
    excuse_t stop = {.process = (guint)(p - l->fleet->processes),
                     .from_us = g_get_monotonic_time(),
                     .until_us = G_MAXINT64};
    g_array_append_val(l->stops, stop);
}

void
soak_leaving_continued(soak_leaving_t *l, const fleet_process_t *p)
{
    for (guint i = 0; l != NULL && i < l->stops->len; i++) {
        excuse_t *stop = &g_array_index(l->stops, excuse_t, i);
        if (stop->process == (guint)(p - l->fleet->processes)) {
            stop->until_us = MIN(stop->until_us, g_get_monotonic_time());
        }
    }
}

/* For how long a process was stopped between two moments. */
static gint64
stopped_us(const soak_leaving_t *l, guint process, gint64 from_us,
           gint64 until_us)
{
    gint64 sum_us = 0;
    for (guint i = 0; i < l->stops->len; i++) {
        const excuse_t *stop = &g_array_index(l->stops, excuse_t, i);
        gint64 begin_us = MAX(stop->from_us, from_us);
        gint64 end_us = MIN(stop->until_us, until_us);
        if (stop->process == process && end_us > begin_us) {
            sum_us += end_us - begin_us;
        }
    }
    return sum_us;
}

/* Whether a request went through a tunnel of another entry instance, by the
 * log of the one that its client had called. */
static gboolean
is_tunnelled(const soak_leaving_t *l, const left_t *left, const char *id,
             const fleet_process_t *helper)
{
    char *text = NULL;
    char *name = g_strdup_printf("\"tunnelled\",\"request\":\"%s\"", id);
    char *address = g_strdup_printf("\"helper\":\"%s:", helper->ip);
    g_file_get_contents(l->fleet->processes[left->entry].log, &text, NULL,
                        NULL);
    const char *line = text != NULL ? strstr(text, name) : NULL;
    gboolean found = FALSE;
    while (line != NULL && !found) {
        const char *at = strstr(line, address);
        const char *end = strchr(line, '\n');
        found = at != NULL && (end == NULL || at < end);
        line = strstr(line + 1, name);
    }
    g_free(address);
    g_free(name);
    g_free(text);
    return found;
}

/* How long the instances that had the request, none of them stopped, let it
 * pass after its client had left. */
static gint64
late_us(const soak_leaving_t *l, const left_t *left, const char *id,
        gint64 at_us)
{
    gint64 late = at_us - left->left_us;
    if (late <= (gint64)GIVEN_UP_US) {
        return late;
    }
    late -= stopped_us(l, left->entry, left->left_us, at_us);
    for (guint i = 0; i < l->fleet->entries; i++) {
        guint process = l->fleet->controls + i;
        gint64 stopped = stopped_us(l, process, left->left_us, at_us);
        if (process != left->entry && stopped > 0 &&
            is_tunnelled(l, left, id, &l->fleet->processes[process])) {
            late -= stopped;
        }
    }
    return late;
}

static gboolean
is_excused(const soak_leaving_t *l, guint process, gint64 at_us)
{
    for (guint i = 0; i < l->excuses->len; i++) {
        const excuse_t *e = &g_array_index(l->excuses, excuse_t, i);
        if (e->process == process && at_us >= e->from_us &&
            at_us <= e->until_us) {
            return TRUE;
        }
    }
    return FALSE;
}

static void
check_endpoint(const soak_leaving_t *l, guint process,
               soak_leaving_verdict_t *verdict)
{
    const fleet_process_t *p = &l->fleet->processes[process];
    GArray *found = fleet_moments(p, "arrived");
    for (guint i = 0; i < found->len; i++) {
        const fleet_moment_t *m = &g_array_index(found, fleet_moment_t, i);
        const left_t *left = g_hash_table_lookup(l->left, m->request);
        verdict->arrived += left != NULL;
        if (left == NULL ||
            late_us(l, left, m->request, m->at_us) <= (gint64)GIVEN_UP_US ||
            is_excused(l, process, m->at_us)) {
            continue;
        }
        verdict->late++;
        g_snprintf(verdict->example, sizeof(verdict->example),
                   "%s reached %s %d ms after its client left", m->request,
                   p->name, (int)((m->at_us - left->left_us) / MS));
    }
    g_array_unref(found);
}

soak_leaving_verdict_t
soak_leaving_check(const soak_leaving_t *l)
{
    soak_leaving_verdict_t verdict = {0};
    if (l == NULL) {
        return verdict;
    }
    verdict.left = g_hash_table_size(l->left);
    for (guint i = 0; i < l->fleet->count; i++) {
        if (l->fleet->processes[i].role == FLEET_ENDPOINT) {
            check_endpoint(l, i, &verdict);
        }
    }
    return verdict;
}
