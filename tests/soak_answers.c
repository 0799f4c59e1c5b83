#include "soak_answers.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "soak_changes.h"

enum {
    MS = 1000,
    CLIENTS_MAX = 64,
    EVENTS = 24, /* of a long stream of the stand-in endpoint */
    DEADLINE_MS = 10000,
    HANG_MS = 2000, /* past the deadline, until a client gives up */
    /* The rules. */
    SETTLE_MS = 3000,    /* a disturbed process is sound again after this */
    LOSS_SLACK_MS = 200, /* a request that was not read may be closed */
    GRACE_MS = 6000,     /* of the instances' settings */
    GRACE_LAST_MS = GRACE_MS * 5 / 6,
    GRACE_EARLY_MS = 3000,
    /* The main thread sees ends so late at most, and a process that starts
     * listens after so long. */
    SEEN_MS = 300,
    CLOSED_MS = 50, /* an endpoint that goes on sees closed connections */
};

typedef struct {
    const char *target;
    gboolean once; /* may not run twice */
    gboolean stream;
    gboolean goes; /* its route is not in every configuration */
} kind_t;

static const kind_t KINDS[] = {
    {.target = "/safe/slow"},
    {.target = "/once/slow", .once = TRUE},
    {.target = "/stream/long", .stream = TRUE},
    {.target = "/fragile/stream/long", .once = TRUE, .stream = TRUE},
    {.target = "/going/safe/slow", .goes = TRUE},
    {.target = "/going/once/slow", .once = TRUE, .goes = TRUE},
    {.target = "/going/stream/long", .stream = TRUE, .goes = TRUE},
};

/* What became of a request. */
typedef struct {
    char *id;
    const kind_t *kind;
    const fleet_process_t *entry;
    gboolean other_key; /* one that is taken away at times */
    gboolean kept;      /* the connection had served another */
    gint64 sent_us;
    gint64 ended_us;
    guint status;
    gboolean complete;
    gboolean whole; /* the own answer of the endpoint, all of it */
    gsize bytes;
} asked_t;

/* A run of a request at an endpoint. */
typedef struct {
    const fleet_process_t *endpoint;
    gint64 ran_us;
    gint64 spoke_us; /* first event, or the answer; 0: it did not */
    gint64 done_us;  /* all was sent; 0: it was not */
    gint64 gone_us;  /* the connection was closed under it; 0: it was not */
    gboolean broke;  /* the endpoint broke off */
} run_t;

/* A process was disturbed, or an endpoint ended. */
typedef struct {
    const fleet_process_t *process;
    disturbance_t kind;
    gint64 from_us;
    gint64 until_us;
} span_t;

typedef struct {
    soak_answers_t *answers;
    guint number;
    GRand *random;
    GThread *thread;
    int fd;
    guint entry; /* that `fd` goes to */
} client_t;

struct soak_answers {
    fleet_t *fleet;
    guint32 seed;
    client_t clients[CLIENTS_MAX];
    guint client_count;
    gint stop;                           /* atomic */
    gint running;                        /* atomic: clients */
    GMutex lock;                         /* over `asked` */
    GPtrArray *asked;                    /* asked_t * */
    GArray *spans;                       /* span_t, disturbances */
    GArray *ends;                        /* span_t, of endpoints */
    guint starts[FLEET_PROCESSES_MAX];   /* as last seen */
    gboolean is_up[FLEET_PROCESSES_MAX]; /* the same */
    gint64 seen_us;
};

static void
asked_free(gpointer data)
{
    g_free(((asked_t *)data)->id);
    g_free(data);
}

soak_answers_t *
soak_answers_create(fleet_t *fleet, guint32 seed, guint clients)
{
    soak_answers_t *a = g_new0(soak_answers_t, 1);
    a->fleet = fleet;
    a->seed = seed;
    a->client_count = MIN(clients, CLIENTS_MAX);
    a->asked = g_ptr_array_new_with_free_func(asked_free);
    a->spans = g_array_new(FALSE, FALSE, sizeof(span_t));
    a->ends = g_array_new(FALSE, FALSE, sizeof(span_t));
    return a;
}

void
soak_answers_destroy(soak_answers_t *a)
{
    if (a != NULL) {
        g_ptr_array_unref(a->asked);
        g_array_unref(a->spans);
        g_array_unref(a->ends);
        g_free(a);
    }
}

/* ---- clients ---- */

static gboolean
is_whole(const kind_t *kind, const char *id, const reply_t *reply)
{
    if (!kind->stream) {
        char *start = g_strdup_printf("answer to %s by ", id);
        gboolean own = g_str_has_prefix(reply->body->str, start);
        g_free(start);
        return own && reply->sealed;
    }
    GString *wanted = g_string_new(NULL);
    for (int i = 1; i <= EVENTS; i++) {
        g_string_append_printf(wanted, "id: %d\ndata: w%d\n\n", i, i);
    }
    gboolean equal = g_string_equal(wanted, reply->body);
    g_string_free(wanted, TRUE);
    return equal && reply->sealed;
}

/* Chooses an instance, and so a connection: mostly the one that is open. */
static void
choose_entry(client_t *c)
{
    enum { NEW_ONE_IN = 4 };
    if (c->fd >= 0 && g_rand_int_range(c->random, 0, NEW_ONE_IN) > 0) {
        return;
    }
    if (c->fd >= 0) {
        close(c->fd);
        c->fd = -1;
    }
    c->entry = (guint)g_rand_int_range(c->random, 0,
                                       (gint)c->answers->fleet->entries);
}

static reply_t *
send_request(client_t *c, const asked_t *asked, guint number)
{
    enum { LATE_ONE_IN = 8 };
    gboolean late = !asked->kind->stream &&
                    g_rand_int_range(c->random, 0, LATE_ONE_IN) == 0;
    char *target =
        g_strdup_printf("%s/%u/%u", asked->kind->target, c->number, number);
    char *fields = g_strdup_printf(
        "Request-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: %d\r\n%s",
        asked->id, asked->other_key ? FLEET_OTHER_KEY : FLEET_KEY, DEADLINE_MS,
        late ? "Fault: late\r\n" : "");
    reply_t *reply =
        fleet_call_kept(&c->fd, asked->entry->ip, FLEET_CALLERS_PORT, target,
                        fields, DEADLINE_MS + HANG_MS);
    g_free(target);
    g_free(fields);
    return reply;
}

static guint
ask(client_t *c, guint number)
{
    enum { OTHER_KEY_ONE_IN = 4 };
    soak_answers_t *a = c->answers;
    choose_entry(c);
    asked_t *asked = g_new0(asked_t, 1);
    *asked = (asked_t){
        .id = g_strdup_printf("e%u-s%u-k%u-%u", c->entry, a->seed, c->number,
                              number),
        .kind = &KINDS[g_rand_int_range(c->random, 0, G_N_ELEMENTS(KINDS))],
        .entry = fleet_entry(a->fleet, c->entry),
        .other_key = g_rand_int_range(c->random, 0, OTHER_KEY_ONE_IN) == 0,
        .kept = c->fd >= 0,
        .sent_us = g_get_monotonic_time()};
    reply_t *reply = send_request(c, asked, number);
    asked->ended_us = g_get_monotonic_time();
    asked->status = reply->status;
    asked->complete = reply->complete;
    asked->whole = is_whole(asked->kind, asked->id, reply);
    asked->bytes = reply->body->len;
    reply_free(reply);
    g_mutex_lock(&a->lock);
    g_ptr_array_add(a->asked, asked);
    g_mutex_unlock(&a->lock);
    return asked->status;
}

static gpointer
client_run(gpointer data)
{
    enum { PAUSE_MIN_MS = 20, PAUSE_MAX_MS = 150 };
    client_t *c = data;
    for (guint i = 0; !g_atomic_int_get(&c->answers->stop); i++) {
        if (ask(c, i) != 200) {
            fleet_sleep(
                g_rand_int_range(c->random, PAUSE_MIN_MS, PAUSE_MAX_MS));
        }
    }
    if (c->fd >= 0) {
        close(c->fd);
    }
    g_atomic_int_add(&c->answers->running, -1);
    return NULL;
}

void
soak_answers_start(soak_answers_t *a)
{
    for (guint i = 0; a != NULL && i < a->client_count; i++) {
        client_t *c = &a->clients[i];
        *c = (client_t){
            .answers = a,
            .number = i,
            .random = g_rand_new_with_seed(a->seed * CLIENTS_MAX + i + 3000),
            .fd = -1};
        g_atomic_int_inc(&a->running);
        c->thread = g_thread_new("kept", client_run, c);
    }
}

gboolean
soak_answers_stop(soak_answers_t *a)
{
    if (a == NULL) {
        return TRUE;
    }
    g_atomic_int_set(&a->stop, 1);
    if (g_atomic_int_get(&a->running) > 0) {
        return FALSE;
    }
    for (guint i = 0; i < a->client_count; i++) {
        g_thread_join(a->clients[i].thread);
        g_rand_free(a->clients[i].random);
    }
    return TRUE;
}

/* ---- what was disturbed ---- */

void
soak_answers_excuse(soak_answers_t *a, const fleet_process_t *p,
                    disturbance_t kind, int ms)
{
    if (a != NULL) {
        gint64 now = g_get_monotonic_time();
        span_t span = {.process = p,
                       .kind = kind,
                       .from_us = now,
                       .until_us = now + (gint64)(ms + SETTLE_MS) * MS};
        g_array_append_val(a->spans, span);
    }
}

/* The endpoint is up again. */
static void
close_end(soak_answers_t *a, const fleet_process_t *p, gint64 now)
{
    for (guint i = 0; i < a->ends->len; i++) {
        span_t *end = &g_array_index(a->ends, span_t, i);
        if (end->process == p) {
            end->until_us = MIN(end->until_us, now);
        }
    }
}

void
soak_answers_step(soak_answers_t *a)
{
    if (a == NULL) {
        return;
    }
    gint64 now = g_get_monotonic_time();
    for (guint i = a->fleet->controls + a->fleet->entries; i < a->fleet->count;
         i++) {
        const fleet_process_t *p = &a->fleet->processes[i];
        gboolean is_up = fleet_is_running(p);
        if (a->is_up[i] && (!is_up || p->starts != a->starts[i])) {
            span_t end = {
                .process = p, .from_us = a->seen_us, .until_us = G_MAXINT64};
            g_array_append_val(a->ends, end);
        }
        if (is_up) {
            close_end(a, p, now);
        }
        a->is_up[i] = is_up;
        a->starts[i] = p->starts;
    }
    a->seen_us = now;
}

static gboolean
overlaps(const GArray *spans, const fleet_process_t *p, disturbance_t kind,
         gint64 from_us, gint64 until_us)
{
    for (guint i = 0; i < spans->len; i++) {
        const span_t *span = &g_array_index(spans, span_t, i);
        if (span->process == p && span->kind == kind &&
            span->from_us <= until_us + (gint64)SEEN_MS * MS &&
            from_us - (gint64)SEEN_MS * MS <= span->until_us) {
            return TRUE;
        }
    }
    return FALSE;
}

/* The SIGTERM that the request met at its instance, or NULL. */
static const span_t *
term_of(const soak_answers_t *a, const asked_t *asked)
{
    for (guint i = 0; i < a->spans->len; i++) {
        const span_t *span = &g_array_index(a->spans, span_t, i);
        if (span->process == asked->entry && span->kind == DISTURBED_BY_TERM &&
            span->from_us <= asked->ended_us &&
            asked->sent_us <= span->until_us) {
            return span;
        }
    }
    return NULL;
}

/* ---- runs ---- */

/* The last run of a request that began at the endpoint before a moment. */
static run_t *
run_at(const GArray *runs, const fleet_process_t *endpoint, gint64 at_us)
{
    for (guint i = runs != NULL ? runs->len : 0; i > 0; i--) {
        run_t *run = &g_array_index(runs, run_t, i - 1);
        if (run->endpoint == endpoint && run->ran_us <= at_us) {
            return run;
        }
    }
    return NULL;
}

static void
read_moment(GHashTable *by_id, const fleet_process_t *p, const char *what,
            const fleet_moment_t *m)
{
    GArray *runs = g_hash_table_lookup(by_id, m->request);
    if (g_str_equal(what, "ran")) {
        run_t run = {.endpoint = p, .ran_us = m->at_us};
        if (runs == NULL) {
            runs = g_array_new(FALSE, FALSE, sizeof(run_t));
            g_hash_table_insert(by_id, g_strdup(m->request), runs);
        }
        g_array_append_val(runs, run);
        return;
    }
    run_t *run = run_at(runs, p, m->at_us);
    if (run == NULL) {
        return;
    }
    if (g_str_equal(what, "spoke")) {
        run->spoke_us = m->at_us;
    }
    else if (g_str_equal(what, "done")) {
        run->done_us = m->at_us;
    }
    else if (g_str_equal(what, "gone")) {
        run->gone_us = m->at_us;
    }
    else {
        run->broke = TRUE;
    }
}

/* The runs of each request, by its id: GArray of run_t. */
static GHashTable *
read_runs(const soak_answers_t *a)
{
    static const char *const WHAT[] = {"ran", "spoke", "done", "gone",
                                       "broke"};
    GHashTable *by_id = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                              (GDestroyNotify)g_array_unref);
    for (guint i = a->fleet->controls + a->fleet->entries; i < a->fleet->count;
         i++) {
        const fleet_process_t *p = &a->fleet->processes[i];
        for (guint j = 0; j < G_N_ELEMENTS(WHAT); j++) {
            GArray *moments = fleet_moments(p, WHAT[j]);
            for (guint k = 0; k < moments->len; k++) {
                read_moment(by_id, p, WHAT[j],
                            &g_array_index(moments, fleet_moment_t, k));
            }
            g_array_unref(moments);
        }
    }
    return by_id;
}

/* Whether the endpoint ended under the run. One that leaves closes its
 * connections first. */
static gboolean
is_ended(const soak_answers_t *a, const asked_t *asked, const run_t *run)
{
    gint64 from_us = run->gone_us != 0 ? run->gone_us : run->ran_us;
    gint64 until_us = run->gone_us != 0 ? run->gone_us : asked->ended_us;
    return run->done_us == 0 &&
           overlaps(a->ends, run->endpoint, DISTURBED_ABRUPTLY, from_us,
                    until_us);
}

/* Whether the endpoint, or the link to it, broke the run off. */
static gboolean
is_broken(const soak_answers_t *a, const asked_t *asked, const run_t *run)
{
    return run->broke || is_ended(a, asked, run) ||
           overlaps(a->spans, run->endpoint, DISTURBED_ABRUPTLY, run->ran_us,
                    asked->ended_us);
}

/* When the run spoke, if the request was still at it: an endpoint that goes on
 * speaks before it sees that its connection was closed meanwhile. */
static gint64
spoke_at_us(const asked_t *asked, const run_t *run)
{
    gboolean closed = run->gone_us != 0 &&
                      run->gone_us - run->spoke_us < (gint64)CLOSED_MS * MS;
    return closed || run->spoke_us > asked->ended_us ? 0 : run->spoke_us;
}

/* Whether another run, which spoke after this one or spoke alone, had taken
 * its place when it was ended. */
static gboolean
is_replaced(const asked_t *asked, const GArray *runs, const run_t *run)
{
    for (guint i = 0; i < runs->len; i++) {
        const run_t *other = &g_array_index(runs, run_t, i);
        gint64 spoke_us = spoke_at_us(asked, other);
        if (other != run && spoke_us > spoke_at_us(asked, run) &&
            run->gone_us >= spoke_us) {
            return TRUE;
        }
    }
    return FALSE;
}

/* ---- the log of the instance that took the request ---- */

/* The value of a field of a line, in JSON; freed with g_free. */
static char *
field_of(const char *line, const char *name)
{
    char *start = g_strdup_printf("\"%s\":\"", name);
    const char *at = strstr(line, start);
    char *value = at != NULL ? g_strndup(at + strlen(start),
                                         strcspn(at + strlen(start), "\""))
                             : g_strdup("");
    g_free(start);
    return value;
}

/* Whether a line names a helper that was disturbed while the request was under
 * way. */
static gboolean
names_disturbed_helper(const soak_answers_t *a, const asked_t *asked,
                       const char *line)
{
    char *helper = field_of(line, "helper");
    gboolean found = FALSE;
    helper[strcspn(helper, ":")] = '\0';
    for (guint i = 0; i < a->fleet->count && !found; i++) {
        const fleet_process_t *p = &a->fleet->processes[i];
        found = g_str_equal(p->ip, helper) &&
                (overlaps(a->spans, p, DISTURBED_ABRUPTLY, asked->sent_us,
                          asked->ended_us) ||
                 overlaps(a->spans, p, DISTURBED_BY_TERM, asked->sent_us,
                          asked->ended_us));
    }
    g_free(helper);
    return found;
}

/* Whether the log names a disturbed helper. An instance drops lines when there
 * are many. */
static gboolean
is_helper_logged(const soak_answers_t *a, const asked_t *asked)
{
    char *text = NULL;
    char *id = g_strdup_printf("\"%s\"", asked->id);
    gboolean found = FALSE;
    g_file_get_contents(asked->entry->log, &text, NULL, NULL);
    char **lines = g_strsplit(text != NULL ? text : "", "\n", -1);
    for (guint i = 0; lines[i] != NULL && !found; i++) {
        found = strstr(lines[i], id) != NULL &&
                names_disturbed_helper(a, asked, lines[i]);
    }
    g_strfreev(lines);
    g_free(text);
    g_free(id);
    return found;
}

/* Whether the request ended with another entry instance, so that it may have
 * been in a tunnel through that one. */
static gboolean
is_ended_with_helper(const soak_answers_t *a, const asked_t *asked)
{
    for (guint i = 0; i < a->spans->len; i++) {
        const span_t *span = &g_array_index(a->spans, span_t, i);
        if (span->process->role == FLEET_ENTRY &&
            span->kind == DISTURBED_ABRUPTLY &&
            ABS(asked->ended_us - span->from_us) <= (gint64)SEEN_MS * MS) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Whether a request that failed and ran nowhere may have been sent to an
 * endpoint that was down: its connection is accepted by the proxy. */
static gboolean
is_sent_in_vain(const soak_answers_t *a, const asked_t *asked)
{
    for (guint i = a->fleet->controls + a->fleet->entries; i < a->fleet->count;
         i++) {
        const fleet_process_t *p = &a->fleet->processes[i];
        if (overlaps(a->ends, p, DISTURBED_ABRUPTLY, asked->sent_us,
                     asked->ended_us) ||
            overlaps(a->spans, p, DISTURBED_ABRUPTLY, asked->sent_us,
                     asked->ended_us)) {
            return asked->complete;
        }
    }
    return FALSE;
}

/* ---- the check ---- */

static gboolean
is_refusal(guint status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

static gboolean
is_denied_rightly(const asked_t *asked)
{
    return (asked->status == 404 && asked->kind->goes) ||
           (asked->status == 401 && asked->other_key);
}

/* Past the grace period, or in its last part and begun early enough. */
static gboolean
is_past_grace(const span_t *term, const asked_t *asked)
{
    gint64 since_us = asked->ended_us - term->from_us;
    gboolean early =
        asked->sent_us <= term->from_us + (gint64)GRACE_EARLY_MS * MS;
    return since_us >= (gint64)GRACE_MS * MS ||
           (early && since_us >= (gint64)GRACE_LAST_MS * MS);
}

/* Whether the connection was closed before the request was read, as it may be
 * where the two cross, or where the instance is ending or starting. */
static gboolean
is_unread(const asked_t *asked, const GArray *runs, const span_t *term)
{
    gint64 took_us = asked->ended_us - asked->sent_us;
    return runs == NULL && asked->status == 0 && (asked->kept || term) &&
           took_us <= (gint64)LOSS_SLACK_MS * MS;
}

static gboolean
is_every_run_excused(const soak_answers_t *a, const asked_t *asked,
                     const GArray *runs)
{
    for (guint i = 0; i < runs->len; i++) {
        const run_t *run = &g_array_index(runs, run_t, i);
        if (!is_broken(a, asked, run) && !is_replaced(asked, runs, run)) {
            return FALSE;
        }
    }
    return TRUE;
}

/* What is wrong with the outcome of a request; NULL: nothing. */
static const char *
fault_of(const soak_answers_t *a, const asked_t *asked, const GArray *runs)
{
    gint64 took_us = asked->ended_us - asked->sent_us;
    gboolean over = took_us >= (gint64)CHANGES_TIMEOUT_LEAST_MS * MS;
    gboolean hung = took_us >= (gint64)(DEADLINE_MS + HANG_MS) * MS;
    const span_t *term = term_of(a, asked);
    if (asked->kind->once && runs != NULL && runs->len > 1) {
        return "ran twice";
    }
    if (runs != NULL && runs->len > CHANGES_ATTEMPTS_MOST) {
        return "ran too often";
    }
    if (asked->status == 200 && asked->complete) {
        return asked->whole ? NULL : "another answer than the endpoint's";
    }
    if (asked->complete && is_refusal(asked->status)) {
        return runs == NULL ? NULL : "refused, but ran";
    }
    if (asked->complete && is_denied_rightly(asked)) {
        return runs == NULL ? NULL : "denied, but ran";
    }
    if (overlaps(a->spans, asked->entry, DISTURBED_ABRUPTLY, asked->sent_us,
                 asked->ended_us) ||
        is_unread(asked, runs, term) ||
        (term != NULL && is_past_grace(term, asked))) {
        return NULL;
    }
    if (hung) {
        return "left hanging";
    }
    if (over || is_ended_with_helper(a, asked) ||
        (runs != NULL ? is_every_run_excused(a, asked, runs)
                      : is_sent_in_vain(a, asked)) ||
        is_helper_logged(a, asked)) {
        return NULL;
    }
    return asked->complete ? "failed" : "broken off";
}

static void
print_fault(const soak_answers_t *a, const asked_t *asked, const GArray *runs,
            const char *fault)
{
    printf("%s: %s %s at %s, %s connection, status %u, %zu bytes, sent %ld, "
           "took %ld ms\n",
           fault, asked->id, asked->kind->target, asked->entry->name,
           asked->kept ? "kept" : "new", asked->status, asked->bytes,
           (long)(asked->sent_us / MS),
           (long)((asked->ended_us - asked->sent_us) / MS));
    for (guint i = 0; runs != NULL && i < runs->len; i++) {
        const run_t *run = &g_array_index(runs, run_t, i);
#define SINCE(at) (long)((at) != 0 ? ((at)-asked->sent_us) / MS : 0)
        printf("    at %s: ran %ld, spoke %ld, done %ld, gone %ld%s\n",
               run->endpoint->name, SINCE(run->ran_us), SINCE(run->spoke_us),
               SINCE(run->done_us), SINCE(run->gone_us),
               is_broken(a, asked, run) ? ", broken off" : "");
#undef SINCE
    }
}

guint
soak_answers_lost(soak_answers_t *a)
{
    if (a == NULL) {
        return 0;
    }
    guint lost = 0;
    guint served = 0;
    guint refused = 0;
    GHashTable *by_id = read_runs(a);
    for (guint i = 0; i < a->asked->len; i++) {
        const asked_t *asked = a->asked->pdata[i];
        const GArray *runs = g_hash_table_lookup(by_id, asked->id);
        const char *fault = fault_of(a, asked, runs);
        served += asked->status == 200 && asked->complete;
        refused += is_refusal(asked->status) || is_denied_rightly(asked);
        if (fault != NULL) {
            print_fault(a, asked, runs, fault);
            lost++;
        }
    }
    printf("kept connections: %u asked, %u served, %u refused, %u excused, "
           "%u broken\n",
           a->asked->len, served, refused,
           a->asked->len - served - refused - lost, lost);
    g_hash_table_unref(by_id);
    return lost;
}
