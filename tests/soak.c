/* The fault soak: the real programs as separate processes on one machine,
 * faults from outside, and the promises checked by what clients, endpoints
 * and the operator see. The schedule follows from the seed. */
#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "fleet.h"
#include "fleet_cut.h"
#include "soak_answers.h"
#include "soak_brittle.h"
#include "soak_changes.h"
#include "soak_cuts.h"
#include "soak_endless.h"
#include "soak_leaving.h"
#include "soak_limits.h"
#include "soak_parts.h"
#include "soak_repeats.h"
#include "soak_rests.h"
#include "soak_silences.h"

enum {
    CLIENTS_MAX = 64,
    EVENTS = 12,
    ATTEMPTS_MOST = 3,    /* of the sample's routes */
    DISK_PAUSE_MS = 9000, /* between two lost disks: to catch up */
    SERVED_LEAST = 20,    /* in a hundred, with all faults */
    CRASH_EVERY_MS = 250, /* a request that crashes endpoints comes again */
    CRASH_BACK_MS = 1000, /* such an endpoint is up again */
    KNOWN_MS = 4000,      /* without faults, until all know to hold it back */
    LATE_MS = 3000,       /* and then, for so long, */
    LATE_SENDS = 3,       /* so often it may be sent */
    TERM_MS = 7000,       /* from a SIGTERM to the next start */
    PLANNED_RARER = 4,    /* planned faults, than those of all kinds */
};

typedef enum { KIND_SAFE, KIND_ONCE, KIND_STREAM, KIND_FRAGILE } kind_t;

static const char *const TARGETS[] = {
    [KIND_SAFE] = "/safe/slow",
    [KIND_ONCE] = "/once/slow",
    [KIND_STREAM] = "/stream/1",
    [KIND_FRAGILE] = "/fragile/stream/1",
};

static const char CRASH_TARGET[] = "/safe/crash";

/* What a client was told. */
typedef struct {
    char *id;
    kind_t kind;
    guint status;
} told_t;

typedef struct {
    fleet_t *fleet;
    GRand *random; /* of the schedule */
    fleet_proxies_t proxies;
    guint32 seed;
    gint stop;       /* atomic */
    gint acked;      /* atomic: newest version acknowledged */
    gint broken;     /* atomic: promises broken */
    gint asked;      /* atomic */
    gint served;     /* atomic */
    GMutex lock;     /* over `told` */
    GPtrArray *told; /* told_t * */
    gint64 disk_us;  /* when a disk was last lost */
    gint64 started_us;
    gboolean planned; /* no faults but SIGTERM, and nothing crashes */
    gboolean parts;   /* what crashes endpoints is a part of their prompts */
    gint64 back_us[FLEET_PROCESSES_MAX]; /* of endpoints that crashed */
    soak_limits_t *limits;               /* NULL: no endpoint names one */
    soak_rests_t *rests;                 /* NULL: none rests or leaves */
    soak_cuts_t *cuts;                   /* NULL: no instance is cut off */
    soak_repeats_t *repeats;             /* NULL: no request asks for faults */
    soak_brittle_t *brittle;             /* NULL: no endpoint is brittle */
    soak_silences_t *silences;           /* NULL: no endpoint falls silent */
    soak_endless_t *endless;             /* NULL: nothing sends without end */
    soak_leaving_t *leaving;             /* NULL: no client leaves early */
    soak_changes_t *changes;             /* NULL: one small change at a time */
    soak_answers_t *answers;             /* NULL: lost answers do not count */
} soak_t;

static int
since_ms(const soak_t *s)
{
    return (int)((g_get_monotonic_time() - s->started_us) / 1000);
}

static void
broke(soak_t *s, const char *promise, const char *what)
{
    g_atomic_int_inc(&s->broken);
    printf("%6d BROKEN %s: %s\n", since_ms(s), promise, what);
    fflush(stdout);
}

/* ---- clients ---- */

static gboolean
is_whole_stream(const reply_t *reply)
{
    GString *wanted = g_string_new(NULL);
    for (int i = 1; i <= EVENTS; i++) {
        g_string_append_printf(wanted, "id: %d\ndata: w%d\n\n", i, i);
    }
    gboolean equal = g_string_equal(wanted, reply->body);
    g_string_free(wanted, TRUE);
    return equal;
}

static gboolean
is_own_answer(const reply_t *reply, kind_t kind, const char *id)
{
    if (!reply->sealed) {
        return FALSE;
    }
    if (kind == KIND_STREAM || kind == KIND_FRAGILE) {
        return is_whole_stream(reply);
    }
    char *start = g_strdup_printf("answer to %s by ", id);
    gboolean own = g_str_has_prefix(reply->body->str, start);
    g_free(start);
    return own;
}

static void
check_reply(soak_t *s, const reply_t *reply, kind_t kind, const char *id)
{
    if (reply->status == 200 && reply->complete) {
        g_atomic_int_inc(&s->served);
        if (!is_own_answer(reply, kind, id)) {
            broke(s, "own whole answer", id);
        }
    }
    if (reply->status == 401 || reply->status == 404) {
        broke(s, "not denied what is allowed", id);
    }
}

typedef struct {
    soak_t *soak;
    int number;
    GRand *random;
} client_t;

static gpointer
client_run(gpointer data)
{
    client_t *c = data;
    soak_t *s = c->soak;
    for (int i = 0; !g_atomic_int_get(&s->stop); i++) {
        kind_t kind = (kind_t)g_rand_int_range(c->random, 0, 4);
        guint entry =
            (guint)g_rand_int_range(c->random, 0, (gint)s->fleet->entries);
        char *id =
            g_strdup_printf("e%u-s%u-c%d-%d", entry, s->seed, c->number, i);
        const char *fields = soak_repeats_fields(s->repeats, c->random);
        /* Requests that break off by themselves have fingerprints of their
         * own, so that they are not taken for those that crash endpoints. */
        char *target = fields[0] == '\0'
                           ? g_strdup(TARGETS[kind])
                           : g_strdup_printf("%s/%d", TARGETS[kind], i);
        char *parts = s->parts ? soak_parts_sound(c->random) : g_strdup("");
        char *all_fields = g_strconcat(fields, parts, NULL);
        soak_repeats_record(s->repeats, g_get_monotonic_time());
        reply_t *reply = fleet_request(fleet_entry(s->fleet, entry), target,
                                       id, all_fields);
        g_free(all_fields);
        g_free(parts);
        g_free(target);
        g_atomic_int_inc(&s->asked);
        check_reply(s, reply, kind, id);
        told_t *told = g_new0(told_t, 1);
        *told = (told_t){.id = id, .kind = kind, .status = reply->status};
        g_mutex_lock(&s->lock);
        g_ptr_array_add(s->told, told);
        g_mutex_unlock(&s->lock);
        if (reply->status != 200) {
            fleet_sleep(g_rand_int_range(c->random, 20, 150));
        }
        reply_free(reply);
    }
    return NULL;
}

/* Asks for what crashes every endpoint, through any entry instance. */
static gpointer
crasher_run(gpointer data)
{
    soak_t *s = data;
    for (guint i = 0; !g_atomic_int_get(&s->stop); i++) {
        char *id = g_strdup_printf("s%u-crash-%u", s->seed, i);
        char *parts = s->parts ? soak_parts_bad(i) : g_strdup("");
        char *fields = g_strconcat("Fault: crash\r\n", parts, NULL);
        char *target = s->parts ? g_strdup_printf("%s/%u", CRASH_TARGET, i)
                                : g_strdup(CRASH_TARGET);
        soak_repeats_record(s->repeats, g_get_monotonic_time());
        reply_free(fleet_request(fleet_entry(s->fleet, i % s->fleet->entries),
                                 target, id, fields));
        g_free(target);
        g_free(fields);
        g_free(parts);
        g_free(id);
        fleet_sleep(CRASH_EVERY_MS);
    }
    return NULL;
}

/* ---- the operator ---- */

static void
read_back(soak_t *s, guint at)
{
    gint acked = g_atomic_int_get(&s->acked);
    guint64 version = fleet_get(fleet_control(s->fleet, at));
    if (version != 0 && version < (guint64)acked) {
        char *text =
            g_strdup_printf("%u read, %d acknowledged", (guint)version, acked);
        broke(s, "changes never older", text);
        g_free(text);
    }
}

/* Returns the version of the next change. */
static gint
change_once(soak_t *s, gint version, GRand *random)
{
    char *text = fleet_config((guint64)version, NULL);
    guint first = (guint)g_rand_int_range(random, 0, (gint)s->fleet->controls);
    if (fleet_put(s->fleet, text, first) == 200) {
        g_atomic_int_set(&s->acked, version);
    }
    g_free(text);
    return version + 1;
}

static gpointer
operator_run(gpointer data)
{
    soak_t *s = data;
    GRand *random = g_rand_new_with_seed(s->seed + 1000);
    gint version = 2;
    while (!g_atomic_int_get(&s->stop)) {
        gint acked = g_atomic_int_get(&s->acked);
        if (s->changes != NULL) {
            version = soak_changes_make(s->changes, version, &acked);
            g_atomic_int_set(&s->acked, acked);
        }
        else {
            version = change_once(s, version, random);
        }
        for (guint i = 0; i < s->fleet->controls; i++) {
            read_back(s, i);
        }
        fleet_sleep(g_rand_int_range(random, 100, 900));
    }
    g_rand_free(random);
    return NULL;
}

/* ---- faults ---- */

/* A process is disturbed, so that promises on it do not hold for a while. */
static void
excuse(soak_t *s, const fleet_process_t *p, disturbance_t kind, int ms)
{
    soak_rests_excuse(s->rests, p, ms);
    soak_answers_excuse(s->answers, p, kind, ms);
}

/* Something to be undone later. */
typedef struct {
    int at_ms;
    fleet_process_t *process; /* to start, or to continue */
    gboolean stopped;
    gboolean platform; /* answers as it should again */
    proxy_t *proxy;    /* to pass again */
    gboolean disk;     /* of the process: sound again */
} undo_t;

/* Any but the platform, which is added last: what it has seen is what duties
 * are judged by. */
static fleet_process_t *
any_process(soak_t *s)
{
    gint count = (gint)s->fleet->count - (s->fleet->platform != NULL);
    return &s->fleet->processes[g_rand_int_range(s->random, 0, count)];
}

static void
say(const soak_t *s, const char *fault, const char *name)
{
    printf("%6d %s %s\n", since_ms(s), fault, name);
    fflush(stdout);
}

static undo_t
fault_kill(soak_t *s)
{
    fleet_process_t *p = any_process(s);
    int down = g_rand_int_range(s->random, 100, 1500);
    if (p->process == NULL) {
        return (undo_t){0};
    }
    say(s, "kill", p->name);
    excuse(s, p, DISTURBED_ABRUPTLY, down);
    fleet_signal(p, SIGCONT);
    soak_leaving_continued(s->leaving, p);
    fleet_kill(p);
    gint64 now = g_get_monotonic_time();
    gboolean spaced = now - s->disk_us > (gint64)DISK_PAUSE_MS * 1000;
    if (p->role == FLEET_CONTROL && spaced &&
        g_rand_int_range(s->random, 0, 3) == 0) {
        say(s, "lose the disk of", p->name);
        s->disk_us = now;
        fleet_lose_disk(p);
    }
    return (undo_t){.at_ms = since_ms(s) + down, .process = p};
}

static undo_t
fault_stop(soak_t *s)
{
    fleet_process_t *p = any_process(s);
    int down = g_rand_int_range(s->random, 200, 2500);
    if (p->process == NULL) {
        return (undo_t){0};
    }
    say(s, "stop", p->name);
    if (p->role == FLEET_ENDPOINT) {
        soak_rests_excuse(s->rests, p, down);
    }
    else {
        excuse(s, p, DISTURBED_ABRUPTLY, down);
    }
    fleet_signal(p, SIGSTOP);
    soak_leaving_stopped(s->leaving, p);
    return (undo_t){
        .at_ms = since_ms(s) + down, .process = p, .stopped = TRUE};
}

static undo_t
fault_term(soak_t *s)
{
    fleet_process_t *p = any_process(s);
    if (p->process == NULL) {
        return (undo_t){0};
    }
    say(s, "terminate", p->name);
    excuse(s, p, DISTURBED_BY_TERM, TERM_MS);
    fleet_signal(p, SIGTERM);
    return (undo_t){.at_ms = since_ms(s) + TERM_MS, .process = p};
}

static undo_t
fault_link(soak_t *s)
{
    guint at = (guint)g_rand_int_range(s->random, 0, (gint)s->fleet->count);
    proxy_t *proxy = s->proxies[at][g_rand_int_range(s->random, 0, 2)];
    proxy_mode_t mode =
        (proxy_mode_t)g_rand_int_range(s->random, 1, PROXY_MODES);
    int down = g_rand_int_range(s->random, 200, 3000);
    if (proxy == NULL) {
        return (undo_t){0};
    }
    char *text = g_strconcat(s->fleet->processes[at].name, " ",
                             proxy_mode_name(mode), NULL);
    say(s, "link", text);
    g_free(text);
    excuse(s, &s->fleet->processes[at], DISTURBED_ABRUPTLY, down);
    soak_leaving_excuse(s->leaving, &s->fleet->processes[at], down);
    proxy_set(proxy, mode);
    return (undo_t){.at_ms = since_ms(s) + down, .proxy = proxy};
}

static fleet_process_t *
any_control(soak_t *s)
{
    return fleet_control(
        s->fleet,
        (guint)g_rand_int_range(s->random, 0, (gint)s->fleet->controls));
}

/* A disk that is slow, answers nothing for seconds, or takes no more bytes. */
static undo_t
fault_disk(soak_t *s)
{
    enum { SLOW_US = 150 * 1000, STALLED_US = 60 * 1000000 };
    fleet_process_t *p = any_control(s);
    int kind = g_rand_int_range(s->random, 0, 3);
    int down = g_rand_int_range(s->random, 300, 4000);
    static const char *const SAID[] = {"slow disk", "stalled disk",
                                       "full disk"};
    say(s, SAID[kind], p->name);
    if (kind == 2) {
        fleet_limit_files(p, 1);
    }
    else {
        p->sync_us = kind == 0 ? SLOW_US : STALLED_US;
        fleet_set_faults(p);
    }
    return (undo_t){.at_ms = since_ms(s) + down, .process = p, .disk = TRUE};
}

/* The machine was suspended: its clock is ahead of what the process counted.
 * It does not go back. */
static undo_t
fault_suspended(soak_t *s)
{
    fleet_process_t *p = any_process(s);
    gint64 ms = g_rand_int_range(s->random, 300, 6000);
    if (p->role != FLEET_ENDPOINT) {
        say(s, "suspended", p->name);
        excuse(s, p, DISTURBED_ABRUPTLY, 0);
        p->ahead_us += ms * 1000;
        fleet_set_faults(p);
    }
    return (undo_t){0};
}

/* The platform takes no calls, or takes them late. */
static undo_t
fault_platform(soak_t *s)
{
    static const char *const MODES[] = {"slow", "silent", "refuse", "busy"};
    const char *mode =
        MODES[g_rand_int_range(s->random, 0, (gint)G_N_ELEMENTS(MODES))];
    int down = g_rand_int_range(s->random, 300, 4000);
    say(s, "platform", mode);
    fleet_platform_mode(s->fleet, mode);
    return (undo_t){.at_ms = since_ms(s) + down, .platform = TRUE};
}

typedef undo_t (*fault_fn_t)(soak_t *s);

static const fault_fn_t FAULTS[] = {fault_kill,    fault_kill, fault_stop,
                                    fault_term,    fault_link, fault_link,
                                    fault_link,    fault_disk, fault_suspended,
                                    fault_platform}; /* with duties alone */

static fault_fn_t
draw_fault(soak_t *s)
{
    gint kinds = (gint)G_N_ELEMENTS(FAULTS) - (s->fleet->platform == NULL);
    gint at = g_rand_int_range(s->random, 0, kinds);
    return s->planned ? fault_term : FAULTS[at];
}

static void
undo_one(soak_t *s, const undo_t *undo)
{
    if (undo->proxy != NULL) {
        proxy_set(undo->proxy, PROXY_PASS);
        return;
    }
    if (undo->platform) {
        fleet_platform_mode(s->fleet, "ok");
        return;
    }
    if (undo->disk) {
        undo->process->sync_us = 0;
        fleet_set_faults(undo->process);
        fleet_limit_files(undo->process, G_MAXUINT64);
        return;
    }
    fleet_signal(undo->process, SIGCONT);
    soak_leaving_continued(s->leaving, undo->process);
    if (undo->stopped) {
        return;
    }
    if (fleet_is_running(undo->process)) {
        /* It drained too slowly to have ended, or the schedule is over. */
        excuse(s, undo->process, DISTURBED_ABRUPTLY, 0);
    }
    fleet_kill(undo->process);
    fleet_start(s->fleet, undo->process);
}

static void
undo_due(soak_t *s, GArray *undos, gboolean all)
{
    for (guint i = undos->len; i > 0; i--) {
        undo_t undo = g_array_index(undos, undo_t, i - 1);
        if (all || undo.at_ms <= since_ms(s)) {
            g_array_remove_index(undos, i - 1);
            undo_one(s, &undo);
        }
    }
}

/* Starts again what crashed by itself, a second later. */
static void
tend_endpoints(soak_t *s)
{
    gint64 now = g_get_monotonic_time();
    for (guint i = 0; i < s->fleet->count; i++) {
        fleet_process_t *p = &s->fleet->processes[i];
        if (s->back_us[i] == 0 && fleet_has_crashed(p)) {
            say(s, "crashed", p->name);
            s->back_us[i] = now + (gint64)CRASH_BACK_MS * 1000;
        }
        else if (s->back_us[i] != 0 && now >= s->back_us[i]) {
            s->back_us[i] = 0;
            fleet_kill(p);
            fleet_start(s->fleet, p);
        }
    }
}

static void
wait_calm(soak_t *s, int ms)
{
    gint64 until_us = g_get_monotonic_time() + (gint64)ms * 1000;
    while (g_get_monotonic_time() < until_us) {
        soak_answers_step(s->answers);
        tend_endpoints(s);
        fleet_sleep(10);
    }
}

static void
run_schedule(soak_t *s, int seconds)
{
    GArray *undos = g_array_new(FALSE, FALSE, sizeof(undo_t));
    int next = 500;
    while (since_ms(s) < seconds * 1000) {
        soak_answers_step(s->answers);
        undo_due(s, undos, FALSE);
        tend_endpoints(s);
        soak_limits_step(s->limits);
        soak_rests_step(s->rests);
        soak_cuts_step(s->cuts);
        soak_brittle_step(s->brittle);
        soak_silences_step(s->silences);
        soak_endless_step(s->endless);
        if (since_ms(s) >= next) {
            undo_t undo = draw_fault(s)(s);
            if (undo.at_ms > 0) {
                g_array_append_val(undos, undo);
            }
            next += g_rand_int_range(s->random, 100, 1200) *
                    (s->planned ? PLANNED_RARER : 1);
        }
        fleet_sleep(10);
    }
    undo_due(s, undos, TRUE);
    soak_limits_end(s->limits);
    soak_rests_end(s->rests);
    soak_cuts_end(s->cuts);
    soak_brittle_end(s->brittle);
    soak_silences_end(s->silences);
    soak_endless_end(s->endless);
    while (!soak_answers_stop(s->answers)) {
        wait_calm(s, 10);
    }
    g_array_unref(undos);
}

/* ---- what must hold at the end ---- */

static void
check_runs(soak_t *s)
{
    GHashTable *runs = fleet_runs_by_id(s->fleet);
    for (guint i = 0; i < s->told->len; i++) {
        const told_t *told = s->told->pdata[i];
        guint count = GPOINTER_TO_UINT(g_hash_table_lookup(runs, told->id));
        gboolean once = told->kind == KIND_ONCE || told->kind == KIND_FRAGILE;
        if (count > (once ? 1 : ATTEMPTS_MOST)) {
            broke(s, "at most once", told->id);
        }
        if (told->status == 503 && count > 0) {
            broke(s, "not run when told so", told->id);
        }
    }
    g_hash_table_unref(runs);
}

static void
check_recovered(soak_t *s)
{
    guint64 acked = (guint64)g_atomic_int_get(&s->acked);
    char *target = g_strdup_printf("/extra-%u/1", (guint)acked);
    for (guint i = 0; i < s->fleet->entries; i++) {
        fleet_process_t *entry = fleet_entry(s->fleet, i);
        if (!fleet_wait_ready(entry)) {
            broke(s, "ready again", entry->name);
            continue;
        }
        guint64 read = 0;
        for (int j = 0; j < 200 && read < acked; j++) {
            read = fleet_get(
                fleet_control(s->fleet, (guint)j % s->fleet->controls));
            fleet_sleep(read < acked ? 50 : 0);
        }
        if (read < acked) {
            broke(s, "changes are kept", target);
        }
    }
    g_free(target);
}

/* How often the request that crashes endpoints began to run. */
static guint
crashing_runs(const soak_t *s)
{
    GHashTable *runs = fleet_runs_by_id(s->fleet);
    GHashTableIter iter;
    gpointer id;
    gpointer count;
    guint sum = 0;
    char *start = g_strdup_printf("s%u-crash-", s->seed);
    g_hash_table_iter_init(&iter, runs);
    while (g_hash_table_iter_next(&iter, &id, &count)) {
        sum += g_str_has_prefix(id, start) ? GPOINTER_TO_UINT(count) : 0;
    }
    g_free(start);
    g_hash_table_unref(runs);
    return sum;
}

/* Without faults only the request that crashes endpoints is held back. */
static void
check_held(soak_t *s)
{
    wait_calm(s, KNOWN_MS);
    guint before = crashing_runs(s);
    wait_calm(s, LATE_MS);
    guint late = crashing_runs(s) - before;
    if (late > LATE_SENDS) {
        char *text = g_strdup_printf("%u times more", late);
        broke(s, "not sent again once endpoints crashed under it", text);
        g_free(text);
    }
    for (guint i = 0; i < s->fleet->entries * G_N_ELEMENTS(TARGETS); i++) {
        const char *target = TARGETS[i % G_N_ELEMENTS(TARGETS)];
        char *id = g_strdup_printf("calm-%u", i);
        soak_repeats_record(s->repeats, g_get_monotonic_time());
        reply_t *reply = fleet_request(
            fleet_entry(s->fleet, i / G_N_ELEMENTS(TARGETS)), target, id, "");
        g_free(id);
        if (strstr(reply->body->str, "endpoints end under") != NULL) {
            broke(s, "what merely ran there is not held back", target);
        }
        reply_free(reply);
    }
}

/* The platform was never called by two holders at once, nor told two figures
 * of a window; and usage came through. */
static void
check_duties(soak_t *s)
{
    if (s->fleet->platform == NULL) {
        return;
    }
    char *text = fleet_platform_log(s->fleet);
    const char *at = strstr(text, "BROKEN");
    if (at != NULL) {
        char *line = g_strndup(at, strcspn(at, "\n"));
        broke(s, "duties have one holder", line);
        g_free(line);
    }
    if (strstr(text, "usage ") == NULL) {
        broke(s, "usage is told", "none was");
    }
    g_free(text);
}

/* ---- life ---- */

/* Nothing of a request reaches an endpoint after its client has left. */
static void
check_leaving(soak_t *s)
{
    soak_leaving_verdict_t verdict = soak_leaving_check(s->leaving);
    if (s->leaving != NULL) {
        printf("%6d left: %u clients, %u requests at endpoints, %u late\n",
               since_ms(s), verdict.left, verdict.arrived, verdict.late);
    }
    if (verdict.late > 0) {
        broke(s, "left", verdict.example);
    }
}

/* Bytes without end leave an instance within its memory. */
static void
check_memory(soak_t *s)
{
    guint peak_mb = soak_endless_peak_mb(s->endless);
    if (s->endless == NULL) {
        return;
    }
    printf("%6d memory: %u MB at most\n", since_ms(s), peak_mb);
    if (peak_mb >= s->fleet->memory_mb) {
        broke(s, "memory", "an instance used more than it has");
    }
}

static void
told_free(gpointer data)
{
    g_free(((told_t *)data)->id);
    g_free(data);
}

static int
soak_run(guint32 seed, int seconds, guint controls, guint entries,
         guint endpoints, guint clients, gboolean duties, gboolean limits,
         gboolean rests, gboolean cuts, gboolean repeats, gboolean brittle,
         gboolean silences, gboolean planned, gboolean endless,
         gboolean leaving, gboolean parts)
{
    soak_t s = {.seed = seed,
                .parts = parts,
                .random = g_rand_new_with_seed(seed),
                .planned = planned};
    client_t all[CLIENTS_MAX];
    GThread *threads[CLIENTS_MAX];
    s.told = g_ptr_array_new_with_free_func(told_free);
    proxies_start();
    s.fleet = fleet_create_proxied(controls, entries, endpoints);
    if (duties) {
        fleet_add_platform(s.fleet);
    }
    s.limits = limits ? soak_limits_create(s.fleet, seed) : NULL;
    s.rests = rests ? soak_rests_create(s.fleet, seed) : NULL;
    s.repeats = repeats ? soak_repeats_create(s.fleet) : NULL;
    s.brittle = brittle ? soak_brittle_create(s.fleet, seed) : NULL;
    s.silences = silences ? soak_silences_create(s.fleet, seed) : NULL;
    s.changes = silences ? soak_changes_create(s.fleet, seed) : NULL;
    s.answers = silences ? soak_answers_create(s.fleet, seed, clients) : NULL;
    s.leaving = leaving ? soak_leaving_create(s.fleet, seed) : NULL;
    s.endless = endless ? soak_endless_create(s.fleet, seed) : NULL;
    fleet_proxies_create(s.fleet, s.proxies);
    s.cuts = cuts ? soak_cuts_create(s.fleet, s.proxies, seed) : NULL;
    s.started_us = g_get_monotonic_time();
    if (!fleet_up(s.fleet, 1)) {
        broke(&s, "starts", s.fleet->folder);
        seconds = 0;
    }
    s.acked = 1;
    s.started_us = g_get_monotonic_time();
    s.disk_us = s.started_us;
    for (guint i = 0; i < clients; i++) {
        all[i] =
            (client_t){.soak = &s,
                       .number = (int)i,
                       .random = g_rand_new_with_seed(seed * CLIENTS_MAX + i)};
        threads[i] = g_thread_new("client", client_run, &all[i]);
    }
    soak_answers_start(s.answers);
    soak_leaving_start(s.leaving);
    GThread *operator= g_thread_new("operator", operator_run, &s);
    GThread *crasher =
        planned ? NULL : g_thread_new("crasher", crasher_run, &s);
    run_schedule(&s, seconds);
    check_recovered(&s);
    check_held(&s);
    g_atomic_int_set(&s.stop, 1);
    soak_leaving_stop(s.leaving);
    for (guint i = 0; i < clients; i++) {
        g_thread_join(threads[i]);
        g_rand_free(all[i].random);
    }
    g_thread_join(operator);
    if (crasher != NULL) {
        g_thread_join(crasher);
    }
    check_runs(&s);
    check_leaving(&s);
    check_memory(&s);
    check_duties(&s);
    if (!soak_limits_kept(s.limits)) {
        broke(&s, "limits of endpoints are kept", "see above");
    }
    if (!soak_rests_kept(s.rests)) {
        broke(&s, "endpoints that rest or leave are left alone", "see above");
    }
    if (!soak_repeats_kept(s.repeats)) {
        broke(&s, "the budget of repeats is kept", "see above");
    }
    if (!soak_brittle_kept(s.brittle)) {
        broke(&s, "brittle endpoints stand", "see above");
    }
    if (!soak_changes_kept(s.changes)) {
        broke(&s, "invalid changes are refused", "see above");
    }
    if (soak_answers_lost(s.answers) > 0) {
        broke(&s, "whole requests are answered or refused", "see above");
    }
    gboolean fails = s.repeats != NULL; /* four of five requests ask for it */
    if (!fails && s.served * 100 < s.asked * SERVED_LEAST) {
        broke(&s, "serves on", "too few were served");
    }
    printf("seed %u: %d asked, %d served, version %d, %d broken%s%s\n", seed,
           s.asked, s.served, s.acked, s.broken, s.broken ? ", logs in " : "",
           s.broken ? s.fleet->folder : "");
    soak_limits_destroy(s.limits);
    soak_rests_destroy(s.rests);
    soak_cuts_destroy(s.cuts);
    soak_repeats_destroy(s.repeats);
    soak_brittle_destroy(s.brittle);
    soak_silences_destroy(s.silences);
    soak_endless_destroy(s.endless);
    soak_leaving_destroy(s.leaving);
    soak_changes_destroy(s.changes);
    soak_answers_destroy(s.answers);
    fleet_destroy_keep(s.fleet, s.broken > 0);
    proxies_stop();
    g_ptr_array_unref(s.told);
    g_rand_free(s.random);
    return s.broken > 0;
}

int
main(int argc, char **argv)
{
    struct arg_int *seed = arg_int0("s", "seed", "N", "of the schedule (1)");
    struct arg_int *count = arg_int0("n", "count", "N", "seeds in a row (1)");
    struct arg_int *seconds =
        arg_int0("t", "seconds", "S", "of faults for each seed (15)");
    struct arg_int *controls = arg_int0(NULL, "controls", "N", "(3)");
    struct arg_int *entries = arg_int0(NULL, "entries", "N", "(3)");
    struct arg_int *endpoints = arg_int0(NULL, "endpoints", "N", "(4)");
    struct arg_int *clients = arg_int0(NULL, "clients", "N", "(8)");
    struct arg_lit *duties =
        arg_lit0(NULL, "duties", "the platform asks for duties");
    struct arg_lit *limits = arg_lit0(NULL, "limits", "endpoints name limits");
    struct arg_lit *rests =
        arg_lit0(NULL, "rests", "endpoints ask for rest, and leave");
    struct arg_lit *cuts =
        arg_lit0(NULL, "cuts", "entry instances are cut off from endpoints");
    struct arg_lit *repeats =
        arg_lit0(NULL, "repeats", "most requests need repeats");
    struct arg_lit *brittle = arg_lit0(NULL, "brittle",
                                       "endpoints fall over when they turn "
                                       "too many requests away");
    struct arg_lit *silences =
        arg_lit0(NULL, "silences",
                 "endpoints fall silent and go on, and changes come in quick "
                 "succession; all requests are answered or refused");
    struct arg_lit *planned =
        arg_lit0(NULL, "planned",
                 "no faults but SIGTERM, and no request that crashes "
                 "endpoints");
    struct arg_lit *endless =
        arg_lit0(NULL, "endless",
                 "endpoints, the platform and clients send "
                 "without end");
    struct arg_lit *leaving =
        arg_lit0(NULL, "leaving",
                 "clients leave before they are answered (not with --cuts)");
    struct arg_lit *parts =
        arg_lit0(NULL, "parts",
                 "no two requests that crash endpoints are alike, they share "
                 "a part of their prompts");
    struct arg_end *end = arg_end(10);
    void *table[] = {seed,      count,   seconds, controls, entries,
                     endpoints, clients, duties,  limits,   rests,
                     cuts,      repeats, brittle, silences, planned,
                     endless,   leaving, parts,   end};
    if (arg_parse(argc, argv, table) > 0) {
        arg_print_errors(stderr, end, argv[0]);
        arg_print_glossary(stderr, table, "  %-20s %s\n");
        return 2;
    }
#define OR(arg, fallback) ((arg)->count > 0 ? (arg)->ival[0] : (fallback))
    signal(SIGPIPE, SIG_IGN);
    int failed = 0;
    int many = OR(count, 1);
    for (int i = 0; i < many; i++) {
        failed +=
            soak_run((guint32)(OR(seed, 1) + i), OR(seconds, 15),
                     (guint)CLAMP(OR(controls, 3), 1, 9),
                     (guint)CLAMP(OR(entries, 3), 1, 24),
                     (guint)CLAMP(OR(endpoints, 4), 1, 24),
                     (guint)CLAMP(OR(clients, 8), 1, CLIENTS_MAX),
                     duties->count > 0, limits->count > 0, rests->count > 0,
                     cuts->count > 0, repeats->count > 0, brittle->count > 0,
                     silences->count > 0, planned->count > 0,
                     endless->count > 0, leaving->count > 0, parts->count > 0);
    }
#undef OR
    arg_freetable(table, G_N_ELEMENTS(table));
    printf("%d passed, %d failed\n", many - failed, failed);
    return failed > 0;
}
