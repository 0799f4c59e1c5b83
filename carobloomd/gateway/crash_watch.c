#include "crash_watch.h"

#include <errno.h>
#include <string.h>

#include "carobloom/common/counters.h"
#include "carobloom/common/event_log.h"
#include "carobloom/http/stream_socket.h"
#include "carobloom/policy/fingerprint.h"

enum {
    MS = 1000,
    /* Interval at which unexplained breaks are checked. */
    CHECK_INTERVAL_US = 50 * MS,
    /* A connection is tried this long after a break unless a request found the
     * address refused before. This detects the end of an endpoint that gets no
     * new requests. */
    CONNECT_DELAY_US = 50 * MS,
    /* Bytes that arrive later than this after a break were not in transit when
     * the connection broke, so the endpoint still runs. */
    IN_TRANSIT_US = 50 * MS,
    /* Time for the breaks of other requests at the endpoint to be noticed
     * before its end is reported. Three ends must be known everywhere within
     * 3 s. */
    REPORT_DELAY_US = 150 * MS,
    /* An engine restarts within seconds. If there is no evidence after this
     * time, the endpoint did not end, or the evidence can't be found any
     * more. */
    BREAK_LIFETIME_US = 6000 * MS,
    /* A request whose caller left within this time before a break counts as
     * running there. */
    ABANDONED_LIFETIME_US = 1000 * MS,
    ABANDONED_MAX = 64,   /* abandoned runs; the oldest is overwritten */
    LOGGED_RUNS_MAX = 8,  /* fingerprints per log line */
    LOGGED_PARTS_MAX = 8, /* prompt parts per log line */
    BREAKS_MAX = 1024, /* at one time: as many as a large site has endpoints */
};

/* A connection to an endpoint that broke off, and the evidence that the
 * endpoint ended. */
typedef struct {
    endpoint_end_t end;
    char *address;
    gint64 broke_us;
    const char *evidence; /* of the endpoint's end; NULL: none yet */
    gboolean is_own;      /* a refused connection of this instance */
    gboolean reported;
    gboolean has_new_runs; /* runs were added since the last report */
    gboolean connect_tried;
    stream_socket_t *connection; /* the attempt in progress, or NULL */
    crash_watch_t *watch;
} break_t;

typedef struct {
    guint64 endpoint;
    gint64 at_us;
    watched_run_t run;
} abandoned_run_t;

struct crash_watch {
    crash_watch_setup_t setup;
    GHashTable *breaks; /* hash of the endpoint -> break_t */
    guint unexplained;  /* number of breaks that were not reported as ends */
    guint64 timer;      /* 0: no breaks to check */
    abandoned_run_t abandoned[ABANDONED_MAX];
    guint abandoned_next;
};

static void check_breaks(void *data);

static gint64
watch_now(const crash_watch_t *w)
{
    return timers_now(w->setup.timers);
}

static void
connection_close(break_t *b)
{
    g_clear_pointer(&b->connection, stream_socket_destroy);
}

static void
break_free(gpointer data)
{
    break_t *b = data;
    connection_close(b);
    endpoint_end_clear(&b->end);
    g_free(b->address);
    g_free(b);
}

crash_watch_t *
crash_watch_create(const crash_watch_setup_t *setup)
{
    crash_watch_t *w = g_new0(crash_watch_t, 1);
    w->setup = *setup;
    w->breaks =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, break_free);
    return w;
}

void
crash_watch_destroy(crash_watch_t *w)
{
    timers_cancel(w->setup.timers, w->timer);
    g_hash_table_unref(w->breaks);
    for (guint i = 0; i < ABANDONED_MAX; i++) {
        g_clear_pointer(&w->abandoned[i].run.run.parts, g_array_unref);
    }
    g_free(w);
}

/* ---- requests at an endpoint ---- */

static void
add_run(break_t *b, interrupted_run_t run)
{
    if (b->end.runs->len >= ENDPOINT_RUNS_MAX) {
        counter_add(counter_get("cut_requests_dropped_total", NULL, FALSE), 1);
        return;
    }
    b->has_new_runs |= endpoint_end_add(&b->end, run);
}

/* Adds the requests whose callers left shortly before the break: these were
 * running there as well. */
static void
add_abandoned(break_t *b, guint64 endpoint)
{
    const crash_watch_t *w = b->watch;
    for (guint i = 0; i < ABANDONED_MAX; i++) {
        const abandoned_run_t *abandoned = &w->abandoned[i];
        if (abandoned->endpoint == endpoint &&
            b->broke_us - abandoned->at_us < ABANDONED_LIFETIME_US) {
            add_run(b, abandoned->run.run);
        }
    }
}

static break_t *
break_find(const crash_watch_t *w, const endpoint_t *e)
{
    return g_hash_table_lookup(w->breaks, &e->hash);
}

static break_t *
break_add(crash_watch_t *w, const endpoint_t *e)
{
    break_t *b = g_new0(break_t, 1);
    b->watch = w;
    b->broke_us = watch_now(w);
    b->address = g_strdup(e->address);
    endpoint_end_init(&b->end, e->id, e->service, e->started_ms);
    g_hash_table_insert(w->breaks, g_memdup2(&e->hash, sizeof(e->hash)), b);
    w->unexplained++;
    add_abandoned(b, e->hash);
    if (w->timer == 0) {
        w->timer = timers_subscribe(w->setup.timers, CHECK_INTERVAL_US,
                                    CHECK_INTERVAL_US, check_breaks, w);
    }
    return b;
}

void
crash_watch_record_break(crash_watch_t *w, const endpoint_t *e,
                         watched_run_t run)
{
    break_t *b = break_find(w, e);
    if (b == NULL && (e->draining || e->left ||
                      g_hash_table_size(w->breaks) >= BREAKS_MAX)) {
        return;
    }
    if (b == NULL) {
        b = break_add(w, e);
    }
    /* A request that was sent after the first break met an endpoint that had
     * already ended. */
    if (run.sent_us <= b->broke_us) {
        add_run(b, run.run);
    }
}

gboolean
crash_watch_has_break(const crash_watch_t *w, const endpoint_t *e)
{
    return break_find(w, e) != NULL;
}

void
crash_watch_record_abandoned(crash_watch_t *w, const endpoint_t *e,
                             watched_run_t run)
{
    abandoned_run_t *abandoned = &w->abandoned[w->abandoned_next];
    g_clear_pointer(&abandoned->run.run.parts, g_array_unref);
    *abandoned = (abandoned_run_t){
        .endpoint = e->hash, .at_us = watch_now(w), .run = run};
    if (run.run.parts != NULL) {
        g_array_ref(run.run.parts);
    }
    w->abandoned_next = (w->abandoned_next + 1) % ABANDONED_MAX;
}

/* ---- evidence of an end ---- */

static void
set_evidence(break_t *b, const char *evidence)
{
    if (b->evidence == NULL) {
        b->evidence = evidence;
    }
}

static void
set_refused(break_t *b, gboolean direct)
{
    b->is_own = direct && (b->is_own || b->evidence == NULL);
    set_evidence(b, direct ? "nobody listens there"
                           : "nobody listens there, for another instance");
}

void
crash_watch_record_refused(crash_watch_t *w, const endpoint_t *e,
                           gboolean direct)
{
    break_t *b = break_find(w, e);
    if (b != NULL) {
        set_refused(b, direct);
    }
}

gboolean
crash_watch_has_unexplained(const crash_watch_t *w)
{
    return w->unexplained > 0;
}

void
crash_watch_record_bytes(crash_watch_t *w, const endpoint_t *e)
{
    break_t *b = break_find(w, e);
    if (b != NULL && !b->reported &&
        watch_now(w) - b->broke_us > IN_TRANSIT_US) {
        w->unexplained--;
        g_hash_table_remove(w->breaks, &e->hash);
    }
}

static void
connection_connected(void *user)
{
    connection_close(user); /* the endpoint still runs, or has restarted; a
                               restart is found by the next incarnation */
}

static void
connection_bytes(void *user, str_t bytes)
{
    (void)user;
    (void)bytes;
}

static void
connection_drained(void *user)
{
    (void)user;
}

static void
connection_closed(void *user, int error)
{
    break_t *b = user;
    if (error == ECONNREFUSED) {
        set_refused(b, TRUE);
    }
    connection_close(b);
}

static const stream_socket_ops_t CONNECTION_OPS = {
    .connected = connection_connected,
    .bytes = connection_bytes,
    .drained = connection_drained,
    .closed = connection_closed};

static void
connection_open(break_t *b)
{
    struct sockaddr_in address;
    b->connect_tried = TRUE;
    if (socket_address_parse(str_from_cstr(b->address), &address)) {
        b->connection = stream_socket_connect(b->watch->setup.poller, &address,
                                              &CONNECTION_OPS, b);
    }
}

/* ---- reports ---- */

typedef struct {
    guint64 id;
    guint runs;
} part_count_t;

static gint
by_runs(gconstpointer a, gconstpointer b)
{
    const part_count_t *x = a;
    const part_count_t *y = b;
    return x->runs > y->runs ? -1 : x->runs < y->runs;
}

/* Counts the interrupted runs that had each prompt part, the most first. */
static GArray *
count_parts(const GArray *runs)
{
    GArray *counts = g_array_new(FALSE, FALSE, sizeof(part_count_t));
    GHashTable *at = g_hash_table_new(g_int64_hash, g_int64_equal);
    for (guint i = 0; i < runs->len; i++) {
        const GArray *parts = g_array_index(runs, interrupted_run_t, i).parts;
        for (guint k = 0; parts != NULL && k < parts->len; k++) {
            guint64 *id = &g_array_index(parts, guint64, k);
            gpointer index;
            if (!g_hash_table_lookup_extended(at, id, NULL, &index)) {
                part_count_t count = {.id = *id};
                index = GUINT_TO_POINTER(counts->len);
                g_hash_table_insert(at, id, index);
                g_array_append_val(counts, count);
            }
            g_array_index(counts, part_count_t, GPOINTER_TO_UINT(index))
                .runs++;
        }
    }
    g_hash_table_unref(at);
    g_array_sort(counts, by_runs);
    return counts;
}

/* Appends "ID:RUNS,..." of the parts that most runs had. */
static void
log_parts(const GArray *runs)
{
    GArray *counts = count_parts(runs);
    GString *list = g_string_new(NULL);
    for (guint i = 0; i < MIN(counts->len, LOGGED_PARTS_MAX); i++) {
        const part_count_t *count = &g_array_index(counts, part_count_t, i);
        g_string_append_printf(list, "%s%" G_GINT64_MODIFIER "x:%u",
                               i > 0 ? "," : "", count->id, count->runs);
    }
    event_log_number("parts", counts->len);
    event_log_cstr("most_parts", list->str);
    g_string_free(list, TRUE);
    g_array_unref(counts);
}

static void
log_end(const break_t *b)
{
    const GArray *runs = b->end.runs;
    if (!event_log_begin(EVENT_STATE, "endpoint_ended")) {
        return;
    }
    GString *list = g_string_new(NULL);
    for (guint i = 0; i < MIN(runs->len, LOGGED_RUNS_MAX); i++) {
        char text[FINGERPRINT_TEXT_SIZE];
        fingerprint_format(
            g_array_index(runs, interrupted_run_t, i).fingerprint, text);
        g_string_append_printf(list, "%s%s", i > 0 ? "," : "", text);
    }
    event_log_cstr("endpoint", b->end.endpoint);
    event_log_number("started_ms", b->end.started_ms);
    event_log_cstr("service", b->end.service);
    event_log_cstr("evidence", b->evidence);
    event_log_number("since_break_ms",
                     (watch_now(b->watch) - b->broke_us) / MS);
    event_log_number("cut_requests", runs->len);
    event_log_cstr("fingerprints", list->str);
    log_parts(runs);
    event_log_end();
    g_string_free(list, TRUE);
}

static void
report_end(break_t *b)
{
    if (!b->reported) {
        b->reported = TRUE;
        b->watch->unexplained--;
        log_end(b);
        counter_add(counter_get("endpoints_ended_total", NULL, FALSE), 1);
        counter_add(counter_get("cut_requests_total", NULL, FALSE),
                    b->end.runs->len);
    }
    b->has_new_runs = FALSE;
    b->watch->setup.ended(b->watch->setup.user, &b->end);
}

/* Returns TRUE if the break need not be tracked any longer. */
static gboolean
check_break(break_t *b, gint64 now_us)
{
    const crash_watch_t *w = b->watch;
    gint64 age_us = now_us - b->broke_us;
    incarnation_state_t state = directory_incarnation_state(
        w->setup.directory, b->end.endpoint, b->end.started_ms, b->address);
    if (b->reported && b->has_new_runs) {
        report_end(b);
    }
    if (age_us > BREAK_LIFETIME_US) {
        return TRUE;
    }
    if (b->reported) {
        return FALSE;
    }
    if (state == INCARNATION_LEAVING) {
        return TRUE;
    }
    if (state == INCARNATION_REPLACED) {
        set_evidence(b, "another start has its address");
    }
    if (b->evidence == NULL && !b->connect_tried &&
        age_us >= CONNECT_DELAY_US) {
        connection_open(b);
    }
    if (b->evidence == NULL || age_us < REPORT_DELAY_US) {
        return FALSE;
    }
    if (b->is_own && !w->setup.reaches(w->setup.user, b->end.service)) {
        return TRUE;
    }
    report_end(b);
    return FALSE;
}

static void
check_breaks(void *data)
{
    crash_watch_t *w = data;
    GHashTableIter iter;
    gpointer value;
    gint64 now_us = watch_now(w);
    g_hash_table_iter_init(&iter, w->breaks);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        break_t *b = value;
        if (check_break(b, now_us)) {
            w->unexplained -= !b->reported;
            g_hash_table_iter_remove(&iter);
        }
    }
    if (g_hash_table_size(w->breaks) == 0) {
        timers_cancel(w->setup.timers, w->timer);
        w->timer = 0;
    }
}
