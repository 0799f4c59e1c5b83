#include "soak_silences.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

enum {
    MS = 1000,
    SILENT_MIN_MS = 300,
    SILENT_MAX_MS = 3000,
    PAUSE_MAX_MS = 3500, /* between two that begin */
    GAP_MIN_MS = 30,     /* between two of a series */
    GAP_MAX_MS = 600,
    SERIES_MAX = 3,
    HANGUP_MAX_MS = 2000,
    HALF_MAX_MS = 400, /* that a settings file is half written */
    STARTED_MS = 3000, /* from then on a start reads signals and settings */
};

/* What an endpoint does while others are silent. */
typedef enum {
    AWAKE,
    TURNS_AWAY, /* refuses all, and may be asked again at once */
    RESTS,
    BRITTLE,
    STATES
} state_t;

typedef struct {
    gint64 silent_until_us; /* 0: it is not silent */
    gint64 again_us;        /* when it falls silent once more; 0: not */
    guint left;             /* of its series */
    gint64 state_until_us;  /* 0: AWAKE */
} endpoint_state_t;

/* When a process was last started. */
typedef struct {
    guint starts;
    gint64 started_us;
} start_t;

struct soak_silences {
    fleet_t *fleet;
    start_t starts[FLEET_PROCESSES_MAX];
    GRand *random;
    endpoint_state_t states[FLEET_PROCESSES_MAX]; /* by process */
    gint64 next_us;
    gint64 hangup_us;
    fleet_process_t *written; /* whose settings are half written, or NULL */
    char *settings;           /* its settings, whole */
    gint64 whole_us;
};

soak_silences_t *
soak_silences_create(fleet_t *fleet, guint32 seed)
{
    soak_silences_t *s = g_new0(soak_silences_t, 1);
    s->fleet = fleet;
    s->random = g_rand_new_with_seed(seed + 9000);
    return s;
}

void
soak_silences_destroy(soak_silences_t *s)
{
    if (s != NULL) {
        g_rand_free(s->random);
        g_free(s->settings);
        g_free(s);
    }
}

static gint64
draw_us(soak_silences_t *s, gint min_ms, gint max_ms)
{
    return g_rand_int_range(s->random, min_ms, max_ms + 1) * (gint64)MS;
}

/* ---- silence ---- */

static void
fall_silent(soak_silences_t *s, guint at, gint64 now)
{
    fleet_process_t *p = &s->fleet->processes[at];
    endpoint_state_t *state = &s->states[at];
    state->again_us = 0;
    if (!fleet_is_running(p)) {
        return;
    }
    state->silent_until_us = now + draw_us(s, SILENT_MIN_MS, SILENT_MAX_MS);
    printf("       %s silent for %d ms\n", p->name,
           (int)((state->silent_until_us - now) / MS));
    fleet_signal(p, SIGSTOP);
}

static void
go_on(soak_silences_t *s, guint at, gint64 now)
{
    endpoint_state_t *state = &s->states[at];
    fleet_signal(&s->fleet->processes[at], SIGCONT);
    state->silent_until_us = 0;
    if (state->left > 0) {
        state->left--;
        state->again_us = now + draw_us(s, GAP_MIN_MS, GAP_MAX_MS);
    }
}

static void
set_state(soak_silences_t *s, guint at, state_t kind, gint64 until_us)
{
    static const char *const NAMES[STATES] = {"", "turns all away", "rests",
                                              "is brittle"};
    fleet_process_t *p = &s->fleet->processes[at];
    fleet_rest(p, kind == TURNS_AWAY ? "0" : kind == RESTS ? "0.4" : NULL);
    fleet_brittle(p, kind == BRITTLE ? "6" : NULL);
    s->states[at].state_until_us = kind == AWAKE ? 0 : until_us;
    if (kind != AWAKE) {
        printf("       %s %s\n", p->name, NAMES[kind]);
    }
}

static void
begin(soak_silences_t *s, gint64 now)
{
    gint first = (gint)(s->fleet->controls + s->fleet->entries);
    gint count = (gint)s->fleet->count - first;
    gint silent = g_rand_int_range(s->random, 0, 3) > 0
                      ? 1
                      : g_rand_int_range(s->random, 1, count + 1);
    gint start = g_rand_int_range(s->random, 0, count);
    guint left = g_rand_int_range(s->random, 0, 3) == 0
                     ? (guint)g_rand_int_range(s->random, 1, SERIES_MAX)
                     : 0;
    state_t others = (state_t)g_rand_int_range(s->random, 0, 2 * STATES);
    gint64 until_us = now + draw_us(s, SILENT_MIN_MS, SILENT_MAX_MS);
    for (gint i = 0; i < count; i++) {
        guint at = (guint)(first + (start + i) % count);
        if (i >= silent && others != AWAKE && others < STATES) {
            set_state(s, at, others, until_us);
        }
        else if (i < silent && s->states[at].silent_until_us == 0) {
            s->states[at].left = left;
            fall_silent(s, at, now);
        }
    }
}

/* ---- signals and settings ---- */

static void
watch_starts(soak_silences_t *s, gint64 now)
{
    for (guint i = 0; i < s->fleet->count; i++) {
        if (s->starts[i].starts != s->fleet->processes[i].starts) {
            s->starts[i] = (start_t){.starts = s->fleet->processes[i].starts,
                                     .started_us = now};
        }
    }
}

static gboolean
has_started(const soak_silences_t *s, guint at, gint64 now)
{
    return now - s->starts[at].started_us >= (gint64)STARTED_MS * MS;
}

static char *
settings_path(const fleet_process_t *p)
{
    return g_build_filename(p->folder, "settings.jsonc", NULL);
}

/* Not by a new file under the old name: as an editor writes in place. */
static void
write_settings(const fleet_process_t *p, const char *text, gsize length)
{
    char *path = settings_path(p);
    FILE *file = fopen(path, "w");
    if (file != NULL) {
        fwrite(text, 1, length, file);
        fclose(file);
    }
    g_free(path);
}

static void
begin_half(soak_silences_t *s, fleet_process_t *p, gint64 now)
{
    char *path = settings_path(p);
    g_free(s->settings);
    s->settings = NULL;
    if (g_file_get_contents(path, &s->settings, NULL, NULL)) {
        s->written = p;
        s->whole_us = now + draw_us(s, 0, HALF_MAX_MS);
        write_settings(p, s->settings, strlen(s->settings) / 2);
    }
    g_free(path);
}

static void
end_half(soak_silences_t *s)
{
    write_settings(s->written, s->settings, strlen(s->settings));
    fleet_signal(s->written, SIGHUP);
    s->written = NULL;
}

/* SIGHUP at some instances, one of which may have a settings file that is
 * half written. */
static void
hang_up(soak_silences_t *s, gint64 now)
{
    guint instances = s->fleet->controls + s->fleet->entries;
    guint entry =
        (guint)g_rand_int_range(s->random, 0, (gint)s->fleet->entries);
    if (s->written == NULL && g_rand_int_range(s->random, 0, 2) == 0 &&
        has_started(s, s->fleet->controls + entry, now)) {
        begin_half(s, fleet_entry(s->fleet, entry), now);
    }
    for (guint i = 0; i < instances; i++) {
        if (g_rand_int_range(s->random, 0, 2) == 0) {
            fleet_signal(&s->fleet->processes[i], SIGHUP);
        }
    }
    s->hangup_us = now + draw_us(s, 0, HANGUP_MAX_MS);
}

/* ---- life ---- */

static void
step_endpoint(soak_silences_t *s, guint at, gint64 now, gboolean all)
{
    endpoint_state_t *state = &s->states[at];
    if (state->silent_until_us != 0 &&
        (all || now >= state->silent_until_us)) {
        go_on(s, at, now);
    }
    if (state->state_until_us != 0 && (all || now >= state->state_until_us)) {
        set_state(s, at, AWAKE, 0);
    }
    if (!all && state->again_us != 0 && now >= state->again_us) {
        fall_silent(s, at, now);
    }
}

static void
step_endpoints(soak_silences_t *s, gint64 now, gboolean all)
{
    for (guint i = s->fleet->controls + s->fleet->entries; i < s->fleet->count;
         i++) {
        step_endpoint(s, i, now, all);
    }
    if (s->written != NULL && (all || now >= s->whole_us)) {
        end_half(s);
    }
}

void
soak_silences_step(soak_silences_t *s)
{
    gint64 now = g_get_monotonic_time();
    if (s == NULL) {
        return;
    }
    watch_starts(s, now);
    step_endpoints(s, now, FALSE);
    if (now >= s->next_us) {
        begin(s, now);
        s->next_us = now + draw_us(s, 0, PAUSE_MAX_MS);
    }
    if (now >= s->hangup_us) {
        hang_up(s, now);
    }
}

void
soak_silences_end(soak_silences_t *s)
{
    if (s != NULL) {
        step_endpoints(s, g_get_monotonic_time(), TRUE);
    }
}
