/* Tests, with real processes, that the newest acknowledged configuration is
 * read back at every control instance after control instances were replaced,
 * in any order, and a fault then took all processes and one disk.
 *
 * REPLACEMENT_SEED draws other losses of power, other delays, and other steps
 * for the cases whose steps are drawn. */
#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/file.h>
#include <unistd.h>

#include "check.h"
#include "fleet.h"

enum {
    CONTROLS = 5,
    STEPS_MAX = 8,
    CASES_AT_ONCE = 5,
    DRAWN = 3, /* cases */
    /* By then a replacement counts like the one before it. */
    CATCH_UP_MS = 4000,
    READ_BACK_MS = 12000,
    AWAY_MS = 1000, /* of all processes, in the fault */
    FREEZE_MS = 4000,
};

typedef enum {
    STEP_END,
    STEP_LEADER_OFF_SEEDS, /* planned restarts until no seed leads */
    STEP_REPLACE_SEED,     /* one that was a seed at the start */
    STEP_REPLACE_LEADER,
    STEP_REPLACE_OTHER,   /* the newest one that does not lead */
    STEP_REPLACE_TWO,     /* both end before the new ones start */
    STEP_REPLACE_PLANNED, /* SIGTERM */
    STEP_NEWCOMER_LOST,   /* one is replaced, and its successor before it votes
                           */
    STEP_NEWCOMER_WIPED,  /* one is replaced, its successor loses its disk */
    STEP_ONE_AWAY,        /* one ends and is not replaced */
    STEP_FREEZE_LEADER,   /* SIGSTOP, SIGCONT */
    STEP_WIPE_ONE,        /* it starts again with an empty disk */
    STEP_REPLACE_BESIDE_SILENT, /* and its successor loses its disk */
    STEP_POWER_LOSS,            /* of all, right after a change */
    STEP_DAMAGE_ONE,  /* in the middle of its log, while it is down */
    STEP_LOCK_ONE,    /* another process uses its folder as it starts */
    STEP_RENEW_SEEDS, /* of one that started while all its seeds were gone */
    STEP_LOSE_SEEDS,  /* one that is no seed; its successor finds the seeds
                         down at first */
} step_t;

typedef enum {
    WIPE_LEADER, /* the one that acknowledged */
    WIPE_FIRST,  /* the oldest other one */
    WIPE_NEWEST,
    WIPE_NONE,
} wipe_t;

typedef struct {
    const char *name;
    step_t steps[STEPS_MAX];
    wipe_t wipe;
    guint controls;       /* 0: CONTROLS */
    gboolean stale_seeds; /* the settings go on to name the first seeds */
    gboolean at_once;     /* the fault comes in the middle of the last step */
    gboolean power;       /* the fault is a loss of power, not a kill */
    gboolean in_flight;   /* it comes shortly after a change was sent */
} replacement_case_t;

static const replacement_case_t REPLACEMENT_CASES[] = {
    {"the leader is none of the seeds of the one that comes",
     {STEP_LEADER_OFF_SEEDS, STEP_REPLACE_OTHER},
     WIPE_LEADER},
    {"the same twice",
     {STEP_LEADER_OFF_SEEDS, STEP_REPLACE_OTHER, STEP_REPLACE_OTHER},
     WIPE_LEADER},
    {"all seeds are replaced, the settings are not",
     {STEP_REPLACE_SEED, STEP_REPLACE_SEED, STEP_REPLACE_SEED},
     WIPE_LEADER,
     .stale_seeds = TRUE},
    {"all are replaced in turn",
     {STEP_REPLACE_LEADER, STEP_REPLACE_LEADER, STEP_REPLACE_LEADER,
      STEP_REPLACE_LEADER, STEP_REPLACE_LEADER},
     WIPE_LEADER},
    {"two are replaced at once", {STEP_REPLACE_TWO}, WIPE_LEADER},
    {"two are replaced at once, twice",
     {STEP_REPLACE_TWO, STEP_REPLACE_TWO},
     WIPE_FIRST},
    {"one is away while another is replaced",
     {STEP_ONE_AWAY, STEP_REPLACE_OTHER, STEP_REPLACE_OTHER},
     WIPE_LEADER},
    {"planned replacements",
     {STEP_REPLACE_PLANNED, STEP_REPLACE_PLANNED, STEP_REPLACE_PLANNED},
     WIPE_FIRST},
    {"the newcomers are lost before they vote",
     {STEP_NEWCOMER_LOST, STEP_NEWCOMER_LOST, STEP_NEWCOMER_LOST},
     WIPE_LEADER},
    {"the newcomers lose their disks",
     {STEP_NEWCOMER_WIPED, STEP_NEWCOMER_WIPED},
     WIPE_NEWEST},
    {"the newcomers among three lose their disks",
     {STEP_NEWCOMER_WIPED, STEP_NEWCOMER_WIPED},
     WIPE_NEWEST,
     .controls = 3},
    {"the newcomers among three are lost before they vote",
     {STEP_NEWCOMER_LOST, STEP_NEWCOMER_LOST},
     WIPE_LEADER,
     .controls = 3},
    {"two are silent while a third is replaced",
     {STEP_REPLACE_BESIDE_SILENT},
     WIPE_NONE},
    {"the same twice, and a lost disk",
     {STEP_REPLACE_BESIDE_SILENT, STEP_REPLACE_BESIDE_SILENT},
     WIPE_LEADER},
    {"a replacement, a freeze and a lost disk",
     {STEP_REPLACE_LEADER, STEP_FREEZE_LEADER, STEP_WIPE_ONE},
     WIPE_NEWEST},
    {"the seeds are down as the successor starts",
     {STEP_LOSE_SEEDS},
     WIPE_LEADER},
    {"the fault comes in the middle of a replacement",
     {STEP_LEADER_OFF_SEEDS, STEP_REPLACE_LEADER, STEP_REPLACE_OTHER},
     WIPE_NONE,
     .at_once = TRUE},
    {"power is lost everywhere, and one disk",
     {STEP_REPLACE_OTHER, STEP_POWER_LOSS, STEP_POWER_LOSS},
     WIPE_LEADER,
     .power = TRUE},
    {"power is lost while a change is on its way",
     {STEP_POWER_LOSS, STEP_REPLACE_LEADER},
     WIPE_FIRST,
     .power = TRUE,
     .in_flight = TRUE},
    {"power is lost in the middle of a replacement",
     {STEP_POWER_LOSS, STEP_REPLACE_LEADER},
     WIPE_NONE,
     .at_once = TRUE,
     .power = TRUE},
    {"all seeds are gone until the settings change",
     {STEP_RENEW_SEEDS},
     WIPE_LEADER},
    {"a folder is damaged", {STEP_DAMAGE_ONE}, WIPE_LEADER},
    {"a folder is in use as its instance starts",
     {STEP_LOCK_ONE},
     WIPE_LEADER},
};

typedef struct {
    const replacement_case_t *test;
    fleet_t *fleet;
    GPtrArray *controls; /* fleet_process_t *, the oldest first */
    guint64 version;     /* the newest one acknowledged */
    GRand *rand;
    gint sent; /* atomic */
    GString *failures;
} play_t;

enum { PLAYS = G_N_ELEMENTS(REPLACEMENT_CASES) + DRAWN };

static play_t plays[PLAYS];
static replacement_case_t drawn_cases[DRAWN];

static guint32
seed_of(guint play)
{
    const char *seed = g_getenv("REPLACEMENT_SEED");
    return play + (seed != NULL ? (guint32)atoi(seed) : 0) * 100;
}

static void
draw_case(replacement_case_t *test, guint number)
{
    static const char *const NAMES[DRAWN] = {
        "drawn steps, 1", "drawn steps, 2", "drawn steps, 3"};
    static const step_t STEPS[] = {
        STEP_LEADER_OFF_SEEDS, STEP_REPLACE_LEADER, STEP_REPLACE_LEADER,
        STEP_REPLACE_OTHER,    STEP_REPLACE_OTHER,  STEP_REPLACE_TWO,
        STEP_REPLACE_PLANNED,  STEP_NEWCOMER_LOST,  STEP_NEWCOMER_WIPED,
        STEP_FREEZE_LEADER,    STEP_WIPE_ONE,       STEP_POWER_LOSS,
        STEP_DAMAGE_ONE,       STEP_LOCK_ONE};
    GRand *rand = g_rand_new_with_seed(seed_of(PLAYS + number));
    *test = (replacement_case_t){
        .name = NAMES[number],
        .wipe = (wipe_t)g_rand_int_range(rand, 0, WIPE_NONE + 1),
        .power = g_rand_boolean(rand),
        .in_flight = g_rand_boolean(rand)};
    /* In the middle of a step a disk may be lost already. */
    test->at_once = test->wipe == WIPE_NONE;
    guint count = (guint)g_rand_int_range(rand, 2, 6);
    for (guint i = 0; i < count; i++) {
        test->steps[i] = STEPS[g_rand_int(rand) % G_N_ELEMENTS(STEPS)];
    }
    g_rand_free(rand);
}

static void
plays_create(void)
{
    for (guint i = 0; i < DRAWN; i++) {
        draw_case(&drawn_cases[i], i);
    }
    for (guint i = 0; i < PLAYS; i++) {
        const guint tabled = G_N_ELEMENTS(REPLACEMENT_CASES);
        plays[i].test =
            i < tabled ? &REPLACEMENT_CASES[i] : &drawn_cases[i - tabled];
    }
}

/* ---- the control instances ---- */

static gboolean
is_leader(const fleet_process_t *p)
{
    if (!fleet_is_running(p)) {
        return FALSE;
    }
    reply_t *reply = fleet_call(p->ip, FLEET_CONTROL_PORT, "GET",
                                "/api/config", "", "", 1000);
    gboolean leads = reply->status == 200;
    reply_free(reply);
    return leads;
}

/* NULL when none leads in time. */
static fleet_process_t *
find_leader(play_t *play)
{
    gint64 until = g_get_monotonic_time() + READ_BACK_MS * 1000;
    while (g_get_monotonic_time() < until) {
        for (guint i = 0; i < play->controls->len; i++) {
            if (is_leader(play->controls->pdata[i])) {
                return play->controls->pdata[i];
            }
        }
        fleet_sleep(50);
    }
    g_string_append(play->failures, "no leader before the fault; ");
    return NULL;
}

/* One that does not lead: the oldest or the newest. */
static fleet_process_t *
find_other(play_t *play, gboolean newest)
{
    const fleet_process_t *leader = find_leader(play);
    guint count = play->controls->len;
    for (guint i = 0; i < count; i++) {
        fleet_process_t *p = play->controls->pdata[newest ? count - 1 - i : i];
        if (p != leader && fleet_is_running(p)) {
            return p;
        }
    }
    return NULL;
}

static gboolean
is_seed(const fleet_t *f, const fleet_process_t *p)
{
    for (guint i = 0; i < FLEET_SEEDS; i++) {
        if (f->seeds[i] == p) {
            return TRUE;
        }
    }
    return FALSE;
}

/* As an operator's list: three that run, none of them the leader where that
 * can be. */
static void
seeds_renew(play_t *play)
{
    const fleet_process_t *leader = find_leader(play);
    guint count = 0;
    for (guint i = 0; i < play->controls->len && count < FLEET_SEEDS; i++) {
        const fleet_process_t *p = play->controls->pdata[i];
        if (p != leader && fleet_is_running(p)) {
            play->fleet->seeds[count++] = p;
        }
    }
}

static fleet_process_t *
start_new(play_t *play)
{
    if (!play->test->stale_seeds) {
        seeds_renew(play);
    }
    fleet_process_t *p = fleet_add(play->fleet, FLEET_CONTROL);
    g_ptr_array_add(play->controls, p);
    fleet_start(play->fleet, p);
    return p;
}

static void
end_for_good(play_t *play, fleet_process_t *p)
{
    if (p != NULL) {
        fleet_kill(p);
        g_ptr_array_remove(play->controls, p);
    }
}

static void
change(play_t *play)
{
    char *text = fleet_config(play->version + 1, NULL);
    if (fleet_put(play->fleet, text, 0) == 200) {
        play->version++;
    }
    else {
        g_string_append(play->failures, "a change was not acknowledged; ");
    }
    g_free(text);
}

/* ---- steps ---- */

static void
leader_off_seeds(play_t *play)
{
    fleet_process_t *leader;
    for (guint i = 0; i < 20; i++) {
        leader = find_leader(play);
        if (leader == NULL || !is_seed(play->fleet, leader)) {
            return;
        }
        fleet_signal(leader, SIGSTOP);
        fleet_sleep(2500);
        fleet_signal(leader, SIGCONT);
        fleet_sleep(500);
    }
    g_string_append(play->failures, "a seed leads; ");
}

static void
replace(play_t *play, fleet_process_t *p)
{
    end_for_good(play, p);
    fleet_sleep(300);
    start_new(play);
}

static void
replace_two(play_t *play)
{
    end_for_good(play, find_other(play, FALSE));
    end_for_good(play, find_other(play, FALSE));
    fleet_sleep(300);
    start_new(play);
    start_new(play);
}

static void
replace_planned(play_t *play)
{
    fleet_process_t *leader = find_leader(play);
    if (leader != NULL) {
        start_new(play);
        fleet_signal(leader, SIGTERM);
        fleet_sleep(2000);
        end_for_good(play, leader);
    }
}

static void
replace_seed(play_t *play)
{
    for (guint i = 0; i < FLEET_SEEDS; i++) {
        fleet_process_t *seed = &play->fleet->processes[i];
        if (fleet_is_running(seed)) {
            /* Planned: the new one comes first. */
            start_new(play);
            fleet_sleep(1000);
            end_for_good(play, seed);
            return;
        }
    }
}

static void
newcomer_lost(play_t *play)
{
    replace(play, find_other(play, FALSE));
    fleet_sleep(400);
    replace(play, play->controls->pdata[play->controls->len - 1]);
}

static void
newcomer_wiped(play_t *play)
{
    replace(play, find_other(play, FALSE));
    for (guint i = 0; i < 2; i++) {
        fleet_sleep(600);
        fleet_process_t *p = play->controls->pdata[play->controls->len - 1];
        fleet_kill(p);
        fleet_lose_disk(p);
        fleet_start(play->fleet, p);
    }
}

static void
freeze_leader(play_t *play)
{
    fleet_process_t *leader = find_leader(play);
    if (leader != NULL) {
        fleet_signal(leader, SIGSTOP);
        fleet_sleep(FREEZE_MS);
        fleet_signal(leader, SIGCONT);
    }
}

/* Two do not run for a while; a third is replaced meanwhile, and the newcomer
 * loses its disk. */
static void
replace_beside_silent(play_t *play)
{
    const fleet_process_t *leader = find_leader(play);
    fleet_process_t *others[CONTROLS];
    guint count = 0;
    for (guint i = 0; i < play->controls->len && count < CONTROLS; i++) {
        fleet_process_t *p = play->controls->pdata[i];
        if (p != leader) {
            others[count++] = p;
        }
    }
    if (leader == NULL || count < 3) {
        return;
    }
    fleet_signal(others[0], SIGSTOP);
    fleet_signal(others[1], SIGSTOP);
    fleet_sleep(FREEZE_MS);
    end_for_good(play, others[2]);
    fleet_process_t *p = fleet_add(play->fleet, FLEET_CONTROL);
    g_ptr_array_add(play->controls, p);
    fleet_start(play->fleet, p);
    fleet_sleep(700);
    fleet_kill(p);
    fleet_lose_disk(p);
    fleet_start(play->fleet, p);
    fleet_signal(others[0], SIGCONT);
    fleet_signal(others[1], SIGCONT);
}

static void
wipe_one(play_t *play)
{
    fleet_process_t *p = find_other(play, FALSE);
    if (p != NULL) {
        fleet_kill(p);
        fleet_lose_disk(p);
        fleet_start(play->fleet, p);
    }
}

static void
lose_seeds(play_t *play)
{
    for (guint i = 0; i < FLEET_SEEDS; i++) {
        fleet_signal(&play->fleet->processes[i], SIGSTOP);
    }
    end_for_good(play, &play->fleet->processes[CONTROLS - 1]);
    fleet_process_t *p = fleet_add(play->fleet, FLEET_CONTROL);
    g_ptr_array_add(play->controls, p);
    fleet_start(play->fleet, p);
    fleet_sleep(FREEZE_MS);
    for (guint i = 0; i < FLEET_SEEDS; i++) {
        fleet_signal(&play->fleet->processes[i], SIGCONT);
    }
}

static void
renew_seeds(play_t *play)
{
    fleet_process_t *gone = find_other(play, FALSE);
    end_for_good(play, gone);
    for (guint i = 0; i < FLEET_SEEDS; i++) {
        play->fleet->seeds[i] = gone;
    }
    fleet_process_t *p = fleet_add(play->fleet, FLEET_CONTROL);
    g_ptr_array_add(play->controls, p);
    fleet_start(play->fleet, p);
    fleet_sleep(1000);
    seeds_renew(play);
    fleet_write_settings(play->fleet, p);
    gint64 until = g_get_monotonic_time() + CATCH_UP_MS * 1000;
    while (fleet_get(p) == 0) {
        if (g_get_monotonic_time() > until) {
            g_string_append_printf(play->failures, "%s does not join; ",
                                   p->name);
            return;
        }
        fleet_sleep(50);
    }
}

static void
kill_all(play_t *play)
{
    fleet_t *f = play->fleet;
    for (guint i = 0; i < f->count; i++) {
        if (fleet_is_running(&f->processes[i])) {
            fleet_signal(&f->processes[i], SIGKILL);
        }
    }
    for (guint i = 0; i < f->count; i++) {
        fleet_kill(&f->processes[i]);
    }
}

static void
start_all(play_t *play)
{
    for (guint i = 0; i < play->controls->len; i++) {
        fleet_start(play->fleet, play->controls->pdata[i]);
    }
}

static void
lose_power(play_t *play, const fleet_process_t *wiped)
{
    for (guint i = 0; i < play->controls->len; i++) {
        if (play->controls->pdata[i] != wiped) {
            fleet_lose_power(play->controls->pdata[i], play->rand);
        }
    }
}

static void
power_loss(play_t *play)
{
    change(play);
    kill_all(play);
    lose_power(play, NULL);
    fleet_sleep(AWAY_MS);
    start_all(play);
}

static void
damage_one(play_t *play)
{
    fleet_process_t *p = find_other(play, FALSE);
    if (p == NULL) {
        return;
    }
    fleet_kill(p);
    char *path = g_build_filename(p->folder, "data", "log", NULL);
    FILE *file = fopen(path, "r+e");
    if (file != NULL) {
        fseek(file, 100, SEEK_SET);
        fputc('X', file);
        fclose(file);
    }
    g_free(path);
    fleet_start(play->fleet, p);
}

static void
lock_one(play_t *play)
{
    fleet_process_t *p = find_other(play, FALSE);
    if (p == NULL) {
        return;
    }
    fleet_kill(p);
    char *path = g_build_filename(p->folder, "data", NULL);
    int fd = open(path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (flock(fd, LOCK_EX) != 0) {
        g_string_append(play->failures, "not locked; ");
    }
    fleet_start(play->fleet, p);
    fleet_sleep(2000);
    if (!fleet_is_running(p)) {
        g_string_append_printf(play->failures, "%s ended; ", p->name);
    }
    close(fd);
    g_free(path);
}

static void
replace_leader(play_t *play)
{
    replace(play, find_leader(play));
}

static void
replace_other(play_t *play)
{
    replace(play, find_other(play, TRUE));
}

static void
one_away(play_t *play)
{
    end_for_good(play, find_other(play, FALSE));
}

static void (*const STEP_RUNS[])(play_t *play) = {
    [STEP_LEADER_OFF_SEEDS] = leader_off_seeds,
    [STEP_REPLACE_SEED] = replace_seed,
    [STEP_REPLACE_LEADER] = replace_leader,
    [STEP_REPLACE_OTHER] = replace_other,
    [STEP_REPLACE_TWO] = replace_two,
    [STEP_REPLACE_PLANNED] = replace_planned,
    [STEP_NEWCOMER_LOST] = newcomer_lost,
    [STEP_NEWCOMER_WIPED] = newcomer_wiped,
    [STEP_ONE_AWAY] = one_away,
    [STEP_FREEZE_LEADER] = freeze_leader,
    [STEP_WIPE_ONE] = wipe_one,
    [STEP_REPLACE_BESIDE_SILENT] = replace_beside_silent,
    [STEP_POWER_LOSS] = power_loss,
    [STEP_DAMAGE_ONE] = damage_one,
    [STEP_LOCK_ONE] = lock_one,
    [STEP_RENEW_SEEDS] = renew_seeds,
    [STEP_LOSE_SEEDS] = lose_seeds,
};

/* Control instances that ended by themselves. */
static void
check_running(play_t *play)
{
    for (guint i = 0; i < play->controls->len; i++) {
        const fleet_process_t *p = play->controls->pdata[i];
        if (fleet_is_running(p)) {
            continue;
        }
        gboolean spawned = p->process != NULL;
        g_string_append_printf(
            play->failures, "%s does not run, code %d, signal %d; ", p->name,
            spawned && g_subprocess_get_if_exited(p->process)
                ? g_subprocess_get_exit_status(p->process)
                : -1,
            spawned && g_subprocess_get_if_signaled(p->process)
                ? g_subprocess_get_term_sig(p->process)
                : 0);
    }
}

/* ---- the fault ---- */

static fleet_process_t *
to_wipe(play_t *play, fleet_process_t *leader)
{
    switch (play->test->wipe) {
    case WIPE_LEADER:
        return leader;
    case WIPE_FIRST:
        for (guint i = 0; i < play->controls->len; i++) {
            if (play->controls->pdata[i] != leader) {
                return play->controls->pdata[i];
            }
        }
        return NULL;
    case WIPE_NEWEST:
        return play->controls->pdata[play->controls->len - 1];
    case WIPE_NONE:
        break;
    }
    return NULL;
}

/* Sends a change to the leader; a thread's. */
static gpointer
send_change(gpointer data)
{
    play_t *play = data;
    const fleet_process_t *leader = find_leader(play);
    char *text = fleet_config(play->version + 1, NULL);
    guint status = 0;
    g_atomic_int_set(&play->sent, 1);
    if (leader != NULL) {
        reply_t *reply = fleet_call(leader->ip, FLEET_CONTROL_PORT, "PUT",
                                    "/api/config", "", text, 1000);
        status = reply->status;
        reply_free(reply);
    }
    g_free(text);
    return GUINT_TO_POINTER(status);
}

/* Ends all processes right after a change was acknowledged, or shortly after
 * it was sent. */
static void
end_all_at_a_change(play_t *play)
{
    if (!play->test->in_flight) {
        change(play);
        kill_all(play);
        return;
    }
    GThread *sender = g_thread_new("change", send_change, play);
    while (!g_atomic_int_get(&play->sent)) {
        g_usleep(100);
    }
    fleet_sleep(g_rand_int_range(play->rand, 0, 40));
    kill_all(play);
    if (GPOINTER_TO_UINT(g_thread_join(sender)) == 200) {
        play->version++;
    }
}

static void
fault(play_t *play)
{
    fleet_process_t *leader = find_leader(play);
    end_all_at_a_change(play);
    fleet_process_t *wiped = to_wipe(play, leader);
    if (wiped != NULL) {
        fleet_lose_disk(wiped);
    }
    if (play->test->power) {
        lose_power(play, wiped);
    }
    fleet_sleep(AWAY_MS);
    start_all(play);
}

/* Each control instance gives the newest version in time, and none an older
 * one. */
static void
read_back(play_t *play)
{
    gint64 started = g_get_monotonic_time();
    guint missing = play->controls->len;
    gboolean *has = g_new0(gboolean, missing);
    while (missing > 0 &&
           g_get_monotonic_time() - started < READ_BACK_MS * 1000) {
        for (guint i = 0; i < play->controls->len; i++) {
            fleet_process_t *p = play->controls->pdata[i];
            guint64 version = has[i] ? 0 : fleet_get(p);
            if (version != 0 && version < play->version) {
                g_string_append_printf(play->failures, "%s gives %u; ",
                                       p->name, (guint)version);
            }
            if (!has[i] && version >= play->version) {
                has[i] = TRUE;
                missing--;
            }
        }
        fleet_sleep(50);
    }
    for (guint i = 0; i < play->controls->len; i++) {
        const fleet_process_t *p = play->controls->pdata[i];
        if (!has[i]) {
            g_string_append_printf(play->failures, "%s gives none; ", p->name);
        }
    }
    g_free(has);
}

static void
run_case(gpointer data, gpointer user)
{
    play_t *play = data;
    (void)user;
    play->failures = g_string_new("");
    play->controls = g_ptr_array_new();
    play->rand = g_rand_new_with_seed(seed_of((guint)(play - plays)));
    guint count = play->test->controls > 0 ? play->test->controls : CONTROLS;
    play->fleet = fleet_create(count, 0, 0);
    play->fleet->faulty_disks = TRUE;
    for (guint i = 0; i < count; i++) {
        g_ptr_array_add(play->controls, fleet_control(play->fleet, i));
    }
    if (!fleet_up(play->fleet, ++play->version)) {
        g_string_append(play->failures, "not up; ");
    }
    fleet_sleep(CATCH_UP_MS);
    const step_t *steps = play->test->steps;
    for (guint i = 0; steps[i] != STEP_END; i++) {
        STEP_RUNS[steps[i]](play);
        if (steps[i + 1] != STEP_END || !play->test->at_once) {
            fleet_sleep(CATCH_UP_MS);
        }
        check_running(play);
    }
    fault(play);
    read_back(play);
    fleet_destroy_keep(play->fleet, play->failures->len > 0 &&
                                        g_getenv("KEEP_SITE") != NULL);
    g_rand_free(play->rand);
    g_ptr_array_unref(play->controls);
}

static char *only; /* NULL: all cases */

static gboolean
is_wanted(const play_t *play)
{
    return only == NULL || g_str_has_prefix(play->test->name, only);
}

static void
run_cases(void)
{
    static gboolean done;
    if (done) {
        return;
    }
    done = TRUE;
    GThreadPool *pool =
        g_thread_pool_new(run_case, NULL, CASES_AT_ONCE, FALSE, NULL);
    for (guint i = 0; i < PLAYS; i++) {
        if (is_wanted(&plays[i])) {
            g_thread_pool_push(pool, &plays[i], NULL);
        }
    }
    g_thread_pool_free(pool, FALSE, TRUE);
}

static void
test_case(void)
{
    run_cases();
    const char *name = CU_get_current_test()->pName;
    play_t *play = plays;
    while (!g_str_equal(play->test->name, name)) {
        play++;
    }
    if (play->failures->len > 0) {
        printf("steps");
        for (guint i = 0; play->test->steps[i] != STEP_END; i++) {
            printf(" %d", (int)play->test->steps[i]);
        }
        printf(", wipe %d, power %d, in flight %d: %s", (int)play->test->wipe,
               play->test->power, play->test->in_flight, play->failures->str);
    }
    CU_ASSERT_EQUAL(play->failures->len, 0);
    g_string_free(play->failures, TRUE);
}

/* TEST_ONLY may also name the beginning that several cases share. */
int
main(void)
{
    test_case_t cases[PLAYS];
    gsize count = 0;
    only = g_strdup(g_getenv("TEST_ONLY"));
    g_unsetenv("TEST_ONLY");
    plays_create();
    for (guint i = 0; i < PLAYS; i++) {
        if (is_wanted(&plays[i])) {
            cases[count++] =
                (test_case_t){.name = plays[i].test->name, .run = test_case};
        }
    }
    return check_run("replacements", cases, count);
}
