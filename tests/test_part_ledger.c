/* Tests of the detection of prompt parts that crash endpoints: the crash
 * ledger and the quarantine at an entry instance. No sockets. */
#include <string.h>

#include "carobloom/gateway/crash_wire.h"
#include "carobloom/policy/crash_ledger.h"
#include "carobloom/policy/fingerprint.h"
#include "carobloom/policy/quarantine.h"
#include "carobloom/policy/run_history.h"
#include "check.h"

enum { MS = 1000, SECOND = 1000 * MS };
static const gint64 MEMORY_US = 600 * (gint64)SECOND;
static const char SERVICE[] = "a";

/* ---- evaluation of ends ---- */

typedef enum {
    STEP_NONE,
    STEP_END,      /* an endpoint ended; `text` ran there */
    STEP_ANSWERED, /* a request, or one with the part, was answered */
    STEP_WAIT,     /* time passes and the ledger is evaluated */
} step_kind_t;

/* Runs are separated by spaces: a letter for the request, in lower case if its
 * response had been streaming for long, and a digit for each part of its
 * prompt, in order; ! marks a probe. */
typedef struct {
    step_kind_t kind;
    const char *service;
    const char *text;
    gint64 ms;
} step_t;

enum {
    STEPS_MAX = 16,
    APART_MS = 400, /* longer than for ends that count as one */
};

typedef struct {
    const char *name;
    const char *quarantined; /* digits and letters in their order */
    const char *watched;     /* the same, or NULL: not checked */
    step_t steps[STEPS_MAX];
} ledger_case_t;

#define END(runs)                                                             \
    {                                                                         \
        .kind = STEP_END, .service = SERVICE, .text = (runs), .ms = APART_MS  \
    }
#define END_AT(name, runs)                                                    \
    {                                                                         \
        .kind = STEP_END, .service = (name), .text = (runs), .ms = APART_MS   \
    }
/* The next end is at the same time. */
#define END_WITH(runs)                                                        \
    {                                                                         \
        .kind = STEP_END, .service = SERVICE, .text = (runs)                  \
    }
#define ANSWERED(what)                                                        \
    {                                                                         \
        .kind = STEP_ANSWERED, .text = (what)                                 \
    }
#define WAIT(time)                                                            \
    {                                                                         \
        .kind = STEP_WAIT, .ms = (time)                                       \
    }

static const ledger_case_t LEDGER_CASES[] = {
    {"a part at two ends is watched",
     "",
     "1",
     {END("A1 B2"), END("C1 D3"), WAIT(900)}},
    {"three ends of different requests identify the part",
     "1",
     "",
     {END("A1"), END("B1"), END("C1"), WAIT(900)}},
    {"whatever else ran there",
     "1",
     NULL,
     {END("A21 B34"), END("C31 D56"), END("E41 F57"), WAIT(900)}},
    {"an end after long streaming counts half",
     "",
     NULL,
     {END("a1"), END("b1"), END("c1"), END("d1"), END("e1"), WAIT(900)}},
    {"a request is the cause rather than a part of it",
     "A",
     NULL,
     {END("A1"), END("A1"), END("A1"), WAIT(900)}},
    {"a part of a request that was repeated and of two others",
     "1",
     NULL,
     {END("A1"), END("A1"), END("A1"), WAIT(900), END("B1"), END("C1"),
      WAIT(900)}},
    {"one further end may be coincidence",
     "A",
     NULL,
     {END("A1"), END("A1"), END("A1"), WAIT(900), END("B1 C2"), WAIT(900)}},
    {"requests that are repeated at once, each at three ends",
     "1",
     NULL,
     {END_WITH("A1"), END_WITH("A1"), END("A1"), END_WITH("B1"),
      END_WITH("B1"), END("B1"), END_WITH("C1"), END_WITH("C1"), END("C1"),
      WAIT(900)}},
    {"ends that a request was sent on between don't count as one",
     "1",
     NULL,
     {END_WITH("A1 Y2"), END_WITH("A1 Y2"), END_WITH("B1 Z3"),
      END_WITH("B1 Z3"), WAIT(900)}},
    {"endpoints that are killed together count as one",
     "",
     NULL,
     {END_WITH("A1"), END_WITH("B1"), END_WITH("C1"), END_WITH("D1"),
      END("E1"), END("F1"), WAIT(900)}},
    {"the part further back, if both always come together",
     "2",
     NULL,
     {END("A12"), END("B12"), END("C12"), WAIT(900)}},
    {"the one before it, if it comes with others as well",
     "1",
     NULL,
     {END("A12"), END("B13"), END("C12"), END("D14"), WAIT(900)}},
    {"a part that was answered is not the cause",
     "2",
     NULL,
     {END("A12"), END("B12"), ANSWERED("1"), END("C12"), WAIT(900)}},
    {"an answer releases the part",
     "",
     "",
     {END("A1"), END("B1"), END("C1"), WAIT(900), ANSWERED("1"), WAIT(900)}},
    {"an answer ends the watch",
     "",
     "",
     {END("A1"), END("B1"), ANSWERED("1"), WAIT(100)}},
    {"parts of other requests at all ends wait for one more",
     "",
     NULL,
     {END("A1 B2"), END("C1 D2"), END("E1 F2"), WAIT(900)}},
    {"one that is at one more only may be a coincidence",
     "12",
     NULL,
     {END("A1 B2"), END("C1 D2"), END("E1 F2"), WAIT(900), END("G1"),
      WAIT(900)}},
    {"the same ends: both are uncertain",
     "12",
     NULL,
     {END("A1 B2"), END("C1 D2"), END("E1 F2"), WAIT(900), END("G1 H2"),
      WAIT(900)}},
    {"many parts at the same ends are not singled out",
     "",
     NULL,
     {END("A1 B2 C3 D4 E5 F6"), END("G1 H2 I3 J4 K5 L6"),
      END("M1 N2 O3 P4 Q5 R6"), END("S1 T2 U3 V4 W5 X6"), WAIT(900)}},
    {"the same part at another service is another one",
     "",
     NULL,
     {END("A1"), END("B1"), END_AT("b", "C1"), END_AT("b", "D1"), WAIT(900)}},
    {"two parts that crash endpoints by turns",
     "12",
     NULL,
     {END("A1"), END("B2"), END("C1"), END("D2"), END("E1"), END("F2"),
      WAIT(900)}},
    {"a part beside a request that crashes endpoints",
     "1X",
     NULL,
     {END("A1"), END("X2"), END("B1"), END("X2"), END("C1"), END("X2"),
      WAIT(900)}},
    {"quarantine ends with the retention of the ends",
     "",
     "",
     {END("A1"), END("B1"), END("C1"), WAIT(900), WAIT(600000)}},
};

static GArray *
digits_of(const char *from, const char *to)
{
    GArray *parts = NULL;
    for (const char *c = from; c < to; c++) {
        guint64 part = (guint64)*c;
        if (g_ascii_isdigit(*c)) {
            parts = parts != NULL ? parts
                                  : g_array_new(FALSE, FALSE, sizeof(guint64));
            g_array_append_val(parts, part);
        }
    }
    return parts;
}

static void
record_end(crash_ledger_t *l, const step_t *s, guint number, gint64 now_us)
{
    endpoint_end_t end;
    char name[16];
    char **runs = g_strsplit(s->text, " ", -1);
    g_snprintf(name, sizeof(name), "e%u", number);
    endpoint_end_init(&end, name, s->service, 0);
    for (guint i = 0; runs[i] != NULL; i++) {
        const char *run = runs[i];
        interrupted_run_t r = {.fingerprint = (guint64)g_ascii_toupper(run[0]),
                               .stage = strchr(run, '!') != NULL ? RUN_PROBE
                                        : g_ascii_islower(run[0])
                                            ? RUN_LONG
                                            : RUN_BEGINNING,
                               .parts = digits_of(run, run + strlen(run))};
        endpoint_end_add(&end, r);
        g_clear_pointer(&r.parts, g_array_unref);
    }
    g_strfreev(runs);
    crash_ledger_record_end(l, &end, now_us);
    endpoint_end_clear(&end);
}

static guint64
suspect_of(char letter)
{
    return g_ascii_isdigit(letter)
               ? part_fingerprint(STR("a"), (guint64)letter)
               : (guint64)letter;
}

static gint
by_letter(gconstpointer a, gconstpointer b)
{
    return *(const char *)a - *(const char *)b;
}

/* Returns the digits and letters of what is quarantined, or watched. */
static char *
ordered(const crash_ledger_t *l, gboolean watched, gint64 now_us)
{
    guint64 cursor = 0;
    GArray *letters = g_array_new(TRUE, FALSE, 1);
    GArray *orders = crash_ledger_orders_since(l, &cursor, G_MAXUINT, now_us);
    for (guint i = 0; i < orders->len; i++) {
        const quarantine_order_t *o =
            &g_array_index(orders, quarantine_order_t, i);
        char letter =
            (char)(quarantine_order_is_part(o) ? o->part : o->fingerprint);
        if (o->left_us > 0 && o->watch_only == watched) {
            g_array_append_val(letters, letter);
        }
    }
    g_array_sort(letters, by_letter);
    g_array_unref(orders);
    return g_array_free(letters, FALSE);
}

static void
check_ordered(const ledger_case_t *c, const crash_ledger_t *l,
              gboolean watched, gint64 now_us)
{
    const char *expected = watched ? c->watched : c->quarantined;
    char *letters = ordered(l, watched, now_us);
    if (expected != NULL && strcmp(letters, expected) != 0) {
        printf("%s: %s %s\n", c->name, watched ? "watched" : "quarantined",
               letters);
    }
    CU_ASSERT(expected == NULL || strcmp(letters, expected) == 0);
    g_free(letters);
}

static void
ledger_case(const ledger_case_t *c)
{
    crash_ledger_t *l = crash_ledger_create(MEMORY_US);
    gint64 now_us = SECOND;
    guint ends = 0;
    for (const step_t *s = c->steps; s->kind != STEP_NONE; s++) {
        if (s->kind == STEP_END) {
            record_end(l, s, ends++, now_us);
        }
        if (s->kind == STEP_ANSWERED) {
            crash_ledger_record_answered(l, suspect_of(s->text[0]), now_us);
        }
        now_us += s->ms * MS;
        crash_ledger_evaluate(l, now_us);
    }
    check_ordered(c, l, FALSE, now_us);
    check_ordered(c, l, TRUE, now_us);
    crash_ledger_destroy(l);
}

static void
test_ledger(void)
{
    for (gsize i = 0; i < G_N_ELEMENTS(LEDGER_CASES); i++) {
        ledger_case(&LEDGER_CASES[i]);
    }
}

/* ---- random histories ---- */

enum {
    BAD_PART = 1,
    FIRST_PART = 100,
    FIRST_PARTS = 8,
    MIDDLE_PART = 200,
    MIDDLE_PARTS = 60,
    ENDPOINTS = 9,
    TICK_MS = 50,
    ORDER_TICKS = 4, /* until orders have arrived */
    KILLS_US = 60 * SECOND,
};

typedef enum { PLACE_FIRST, PLACE_MIDDLE, PLACE_BEHIND_ONE } place_t;

typedef struct {
    const char *name;
    place_t place;
    int kill_ms;     /* mean interval; 0: endpoints end by the part alone */
    guint killed;    /* endpoints at a time */
    int interval_ms; /* of requests with the part */
    guint sound;     /* sound requests per second */
} history_case_t;

static const history_case_t HISTORY_CASES[] = {
    {"a middle part, often", PLACE_MIDDLE, 0, 0, 250, 120},
    {"a first part, often", PLACE_FIRST, 0, 0, 250, 120},
    {"always behind the same part", PLACE_BEHIND_ONE, 0, 0, 250, 120},
    {"rarely", PLACE_MIDDLE, 0, 0, 4000, 120},
    {"few are sound", PLACE_MIDDLE, 0, 0, 250, 20},
    {"endpoints also end for other reasons", PLACE_MIDDLE, 5000, 1, 500, 120},
    {"few are sound, other reasons", PLACE_MIDDLE, 5000, 1, 500, 20},
    {"several are killed together", PLACE_MIDDLE, 5000, 4, 500, 120},
};

/* A sound request that runs at an endpoint. */
typedef struct {
    gint64 answered_us; /* when it is answered, if its endpoint doesn't end */
    int endpoint;
    interrupted_run_t run;
} sound_request_t;

/* A ledger, and the entry instance that sends and reports. */
typedef struct {
    const history_case_t *test;
    crash_ledger_t *ledger;
    quarantine_t *quarantine;
    GRand *random;
    run_history_t answered; /* parts */
    GArray *running;        /* sound_request_t */
    guint64 cursor;
    guint64 next_request;
    gint64 now_us;
    guint ends; /* by the part */
    guint late; /* of these, 3 s after the fifth or later */
    gint64 fifth_us;
    guint sound_refused; /* 6 s after the fifth end or later */
    guint sound_sent;
} history_t;

static GArray *
parts_new(guint64 first, guint64 middle)
{
    GArray *parts = g_array_new(FALSE, FALSE, sizeof(guint64));
    g_array_append_val(parts, first);
    g_array_append_val(parts, middle);
    return parts;
}

static interrupted_run_t
sound_run(history_t *h)
{
    guint first = (guint)g_rand_int_range(h->random, 0, FIRST_PARTS);
    guint middle = (guint)g_rand_int_range(h->random, 0, MIDDLE_PARTS);
    return (interrupted_run_t){
        .fingerprint = h->next_request++,
        .parts = parts_new(FIRST_PART + first, MIDDLE_PART + middle)};
}

static interrupted_run_t
bad_run(history_t *h)
{
    interrupted_run_t run = sound_run(h);
    guint64 *parts = (guint64 *)(void *)run.parts->data;
    parts[h->test->place == PLACE_FIRST ? 0 : 1] = BAD_PART;
    if (h->test->place == PLACE_BEHIND_ONE) {
        parts[0] = FIRST_PART;
    }
    return run;
}

static void
take_orders(history_t *h)
{
    GArray *orders =
        crash_ledger_orders_since(h->ledger, &h->cursor, G_MAXUINT, h->now_us);
    for (guint i = 0; i < orders->len; i++) {
        quarantine_order_t *o = &g_array_index(orders, quarantine_order_t, i);
        o->probe_instance = g_strdup("i");
        quarantine_apply_order(h->quarantine, o, "i", h->now_us);
        if (o->left_us > 0 &&
            run_history_is_answered_since(&h->answered, o->fingerprint,
                                          h->now_us - o->since_us)) {
            quarantine_take_answer(h->quarantine, o->fingerprint);
            crash_ledger_record_answered(h->ledger, o->fingerprint, h->now_us);
        }
    }
    g_array_unref(orders);
}

/* Returns whether a request may be sent; marks a probe. */
static gboolean
may_send(history_t *h, interrupted_run_t *run)
{
    guint64 quarantined = 0;
    guint count = 0;
    for (guint i = 0; i < run->parts->len; i++) {
        guint64 part =
            part_fingerprint(STR("a"), g_array_index(run->parts, guint64, i));
        if (quarantine_find(h->quarantine, part, h->now_us) != NULL) {
            quarantined = part;
            count++;
        }
    }
    if (count == 0) {
        return TRUE;
    }
    run->stage = RUN_PROBE;
    return count == 1 &&
           quarantine_take_probe(h->quarantine, quarantined, h->now_us);
}

/* Ends an endpoint; `cause` is NULL if it was killed. */
static void
end_endpoint(history_t *h, const interrupted_run_t *cause, guint number)
{
    char name[16];
    endpoint_end_t end;
    int endpoint = g_rand_int_range(h->random, 0, ENDPOINTS);
    g_snprintf(name, sizeof(name), "e%u", number);
    endpoint_end_init(&end, name, SERVICE, 0);
    if (cause != NULL) {
        endpoint_end_add(&end, *cause);
    }
    for (guint i = h->running->len; i > 0; i--) {
        const sound_request_t *r =
            &g_array_index(h->running, sound_request_t, i - 1);
        if (r->endpoint == endpoint) {
            endpoint_end_add(&end, r->run);
            g_array_remove_index_fast(h->running, i - 1);
        }
    }
    crash_ledger_record_end(h->ledger, &end, h->now_us);
    endpoint_end_clear(&end);
}

static void
record_caused(history_t *h)
{
    enum { ENDS_MAX = 5, KNOWN_US = 3 * SECOND };
    h->ends++;
    if (h->ends == ENDS_MAX) {
        h->fifth_us = h->now_us;
    }
    h->late += h->ends > ENDS_MAX && h->now_us > h->fifth_us + KNOWN_US;
}

/* Sends a sound request. */
static void
send_sound(history_t *h)
{
    enum { SERVED_US = 6 * SECOND, ANSWER_MIN_MS = 200, ANSWER_MAX_MS = 2000 };
    sound_request_t r = {.run = sound_run(h)};
    gboolean counted = h->fifth_us != 0 && h->now_us > h->fifth_us + SERVED_US;
    gboolean sent = may_send(h, &r.run);
    h->sound_sent += counted;
    h->sound_refused += counted && !sent;
    if (!sent) {
        g_array_unref(r.run.parts);
        return;
    }
    gint64 ms = g_rand_int_range(h->random, ANSWER_MIN_MS, ANSWER_MAX_MS);
    r.answered_us = h->now_us + ms * MS;
    r.endpoint = g_rand_int_range(h->random, 0, ENDPOINTS);
    g_array_append_val(h->running, r);
}

static void
record_answer(history_t *h, const GArray *parts)
{
    for (guint i = 0; i < parts->len; i++) {
        guint64 part =
            part_fingerprint(STR("a"), g_array_index(parts, guint64, i));
        run_history_record_answered(&h->answered, part, h->now_us);
        if (quarantine_take_answer(h->quarantine, part)) {
            crash_ledger_record_answered(h->ledger, part, h->now_us);
        }
    }
}

static void
answer_sound(history_t *h)
{
    for (guint i = h->running->len; i > 0; i--) {
        const sound_request_t *r =
            &g_array_index(h->running, sound_request_t, i - 1);
        if (h->now_us >= r->answered_us) {
            record_answer(h, r->run.parts);
            g_array_remove_index_fast(h->running, i - 1);
        }
    }
}

static void
sound_request_clear(gpointer request)
{
    g_array_unref(((sound_request_t *)request)->run.parts);
}

/* Whether something that happens once in `interval_ms` happens in a tick. */
static gboolean
happens(history_t *h, int interval_ms)
{
    return interval_ms > 0 &&
           g_rand_int_range(h->random, 0, interval_ms) < TICK_MS;
}

/* Orders arrive some ticks late: what is sent before still ends endpoints. */
static void
history_tick(history_t *h, guint tick)
{
    const history_case_t *c = h->test;
    interrupted_run_t bad = bad_run(h);
    gboolean cause = happens(h, c->interval_ms) && may_send(h, &bad);
    gboolean kills = h->now_us < KILLS_US && happens(h, c->kill_ms);
    for (guint i = 0; kills && i < c->killed; i++) {
        end_endpoint(h, NULL, ENDPOINTS * tick + i + 1);
    }
    if (cause) {
        end_endpoint(h, &bad, ENDPOINTS * tick);
    }
    if (cause) {
        record_caused(h);
    }
    g_array_unref(bad.parts);
    for (guint i = 0; i < c->sound; i++) {
        if (happens(h, 1000)) {
            send_sound(h);
        }
    }
    answer_sound(h);
    h->now_us += TICK_MS * MS;
    crash_ledger_evaluate(h->ledger, h->now_us);
    if (tick % ORDER_TICKS == 0) {
        take_orders(h);
    }
}

static void
run_history(const history_case_t *c, guint32 seed)
{
    enum { PLAY_US = 120 * SECOND, LATE_MAX = 3, REFUSED_PER_CENT = 10 };
    history_t h = {.test = c,
                   .ledger = crash_ledger_create(MEMORY_US),
                   .quarantine = quarantine_create(),
                   .random = g_rand_new_with_seed(seed),
                   .running =
                       g_array_new(FALSE, FALSE, sizeof(sound_request_t)),
                   .next_request = 1000,
                   .now_us = SECOND};
    guint64 bad = part_fingerprint(STR("a"), BAD_PART);
    g_array_set_clear_func(h.running, sound_request_clear);
    for (guint i = 0; h.now_us < PLAY_US; i++) {
        history_tick(&h, i);
    }
    guint parts = crash_ledger_quarantined_parts(h.ledger);
    gboolean held = quarantine_find(h.quarantine, bad, h.now_us) != NULL;
    gboolean served = h.sound_refused * 100 <= h.sound_sent * REFUSED_PER_CENT;
    if (h.late > LATE_MAX || parts != 1 || !held || !served) {
        printf("%s, seed %u: %u ends by the part, %u late, %u parts held,"
               " %u of %u sound requests refused\n",
               c->name, seed, h.ends, h.late, parts, h.sound_refused,
               h.sound_sent);
    }
    CU_ASSERT(h.late <= LATE_MAX);
    CU_ASSERT_EQUAL(parts, 1);
    CU_ASSERT(held);
    CU_ASSERT(served);
    g_array_unref(h.running);
    quarantine_destroy(h.quarantine);
    crash_ledger_destroy(h.ledger);
    g_rand_free(h.random);
}

static void
test_histories(void)
{
    enum { HISTORIES = 100 };
    for (gsize i = 0; i < G_N_ELEMENTS(HISTORY_CASES); i++) {
        for (guint32 seed = 1; seed <= HISTORIES; seed++) {
            run_history(&HISTORY_CASES[i], seed);
        }
    }
}

/* With more parts at each end than are kept, memory is bounded, and a part
 * that crashes endpoints is found. */
static void
test_many_parts(void)
{
    enum { ENDS = 600, RUNS = 64, PARTS = 16, SUSPECTS_MAX = 70000 };
    guint64 next = 1000;
    gint64 now_us = SECOND;
    crash_ledger_t *l = crash_ledger_create(MEMORY_US);
    for (guint i = 0; i < ENDS; i++) {
        char name[16];
        endpoint_end_t end;
        g_snprintf(name, sizeof(name), "e%u", i);
        endpoint_end_init(&end, name, SERVICE, 0);
        for (guint k = 0; k < RUNS; k++) {
            GArray *parts = g_array_new(FALSE, FALSE, sizeof(guint64));
            guint64 bad = BAD_PART;
            if (k == 0 && i > ENDS - 4) {
                g_array_append_val(parts, bad);
            }
            for (guint p = 0; p < PARTS; p++) {
                g_array_append_val(parts, next);
                next++;
            }
            endpoint_end_add(&end, (interrupted_run_t){.fingerprint = next++,
                                                       .parts = parts});
            g_array_unref(parts);
        }
        crash_ledger_record_end(l, &end, now_us);
        endpoint_end_clear(&end);
        now_us += APART_MS * MS;
        crash_ledger_evaluate(l, now_us);
        CU_ASSERT(crash_ledger_suspects(l) < SUSPECTS_MAX);
    }
    crash_ledger_evaluate(l, now_us + SECOND);
    CU_ASSERT_EQUAL(crash_ledger_quarantined_parts(l), 1);
    now_us += 3 * MEMORY_US;
    crash_ledger_evaluate(l, now_us);
    crash_ledger_evaluate(l, now_us + 2 * MEMORY_US);
    CU_ASSERT_EQUAL(crash_ledger_suspects(l), 0);
    crash_ledger_destroy(l);
}

/* ---- probes ---- */

/* Counts the probes that are ordered within a time in which each one ends its
 * endpoint. */
static guint
failed_probes(crash_ledger_t *l, int seconds, gint64 now_us)
{
    guint probes = 0;
    guint64 cursor = crash_ledger_cursor(l);
    for (int i = 0; i < seconds * 10; i++) {
        now_us += 100 * MS;
        crash_ledger_evaluate(l, now_us);
        GArray *orders =
            crash_ledger_orders_since(l, &cursor, G_MAXUINT, now_us);
        for (guint k = 0; k < orders->len; k++) {
            char run[8];
            if (g_array_index(orders, quarantine_order_t, k).probe == 0) {
                continue;
            }
            g_snprintf(run, sizeof(run), "%c1!", 'F' + (int)probes);
            record_end(l, &(step_t){.service = SERVICE, .text = run},
                       100 + probes++, now_us);
        }
        g_array_unref(orders);
    }
    return probes;
}

/* A quarantined part is probed again in case endpoints were mended, but not
 * more often than operators accept. */
static void
test_probes(void)
{
    enum { PROBES_MAX = 2, SECONDS = 590 };
    gint64 now_us = SECOND;
    crash_ledger_t *l = crash_ledger_create(MEMORY_US);
    for (guint i = 0; i < 5; i++) {
        char run[8];
        g_snprintf(run, sizeof(run), "%c1", 'A' + (int)i);
        record_end(l, &(step_t){.service = SERVICE, .text = run}, i, now_us);
        now_us += APART_MS * MS;
    }
    now_us += SECOND;
    crash_ledger_evaluate(l, now_us);
    CU_ASSERT_EQUAL(crash_ledger_quarantined_parts(l), 1);
    CU_ASSERT_EQUAL(failed_probes(l, SECONDS, now_us), PROBES_MAX);
    CU_ASSERT_EQUAL(crash_ledger_quarantined_parts(l), 1);
    crash_ledger_destroy(l);
}

/* ---- orders at an entry instance ---- */

/* A control instance that has restarted knows fewer ends than the others. */
static void
test_watch_after_quarantine(void)
{
    guint64 part = part_fingerprint(STR("a"), 5);
    quarantine_t *q = quarantine_create();
    quarantine_order_t order = {.fingerprint = part,
                                .service = (char *)SERVICE,
                                .part = 5,
                                .watch_only = TRUE,
                                .left_us = 10 * (gint64)SECOND,
                                .endpoints = (char *)"e"};
    CU_ASSERT(quarantine_apply_order(q, &order, "i", SECOND));
    CU_ASSERT_FALSE(quarantine_is_empty(q));
    CU_ASSERT_PTR_NULL(quarantine_find(q, part, SECOND));
    order.watch_only = FALSE;
    CU_ASSERT(quarantine_apply_order(q, &order, "i", SECOND));
    CU_ASSERT_PTR_NOT_NULL(quarantine_find(q, part, SECOND));
    CU_ASSERT_EQUAL(quarantine_count_parts(q), 1);
    order.watch_only = TRUE;
    order.left_us = 0;
    CU_ASSERT_FALSE(quarantine_apply_order(q, &order, "i", SECOND));
    CU_ASSERT_PTR_NOT_NULL(quarantine_find(q, part, SECOND));
    CU_ASSERT(quarantine_take_answer(q, part));
    order.watch_only = FALSE;
    CU_ASSERT(quarantine_apply_order(q, &order, "i", SECOND));
    CU_ASSERT(quarantine_is_empty(q));
    quarantine_destroy(q);
}

/* ---- messages ---- */

static void
test_report(void)
{
    crash_report_t report;
    crash_report_t back;
    endpoint_end_t end;
    guint64 answered = part_fingerprint(STR("a"), 7);
    GArray *parts = parts_new(5, 6);
    crash_report_init(&report);
    endpoint_end_init(&end, "e1", SERVICE, 1234);
    endpoint_end_add(&end, (interrupted_run_t){.fingerprint = 1,
                                               .stage = RUN_PROBE,
                                               .parts = parts});
    endpoint_end_add(&end, (interrupted_run_t){.fingerprint = 2});
    g_array_unref(parts);
    g_array_append_val(report.ends, end);
    g_array_append_val(report.answered, answered);
    GBytes *bytes = crash_report_write(&report);
    CU_ASSERT_FATAL(crash_report_read(bytes, &back));
    const endpoint_end_t *e = &g_array_index(back.ends, endpoint_end_t, 0);
    const interrupted_run_t *run =
        &g_array_index(e->runs, interrupted_run_t, 0);
    CU_ASSERT_STRING_EQUAL(e->service, SERVICE);
    CU_ASSERT_EQUAL(e->part_count, 2);
    CU_ASSERT_FATAL(run->parts != NULL && run->parts->len == 2);
    CU_ASSERT_EQUAL(g_array_index(run->parts, guint64, 1), 6);
    CU_ASSERT_PTR_NULL(g_array_index(e->runs, interrupted_run_t, 1).parts);
    CU_ASSERT_EQUAL(g_array_index(back.answered, guint64, 0), answered);
    crash_report_clear(&back);
    crash_report_clear(&report);
    g_bytes_unref(bytes);
}

/* What an entry instance stores and restores is the part, not only its hash.
 */
static void
test_file(void)
{
    crash_ledger_t *l = crash_ledger_create(MEMORY_US);
    GArray *orders = quarantine_orders_new();
    quarantine_order_t order = {
        .fingerprint = part_fingerprint(STR("a"), 5),
        .service = g_strdup(SERVICE),
        .part = 5,
        .left_us = 100 * (gint64)SECOND,
        .endpoints = g_strdup("e1"),
    };
    g_array_append_val(orders, order);
    GBytes *bytes = quarantine_file_write(orders, SECOND);
    GArray *back = quarantine_file_read(bytes, SECOND);
    CU_ASSERT_FATAL(back != NULL && back->len == 1);
    crash_ledger_restore(l, &g_array_index(back, quarantine_order_t, 0),
                         SECOND);
    CU_ASSERT_EQUAL(crash_ledger_quarantined_parts(l), 1);
    g_array_unref(back);
    g_bytes_unref(bytes);
    g_array_unref(orders);
    crash_ledger_destroy(l);
}

static const test_case_t CASES[] = {
    {"quarantines after ends of endpoints", test_ledger},
    {"random histories: the part and nothing else is quarantined",
     test_histories},
    {"thousands of parts", test_many_parts},
    {"a quarantined part is probed again a few times", test_probes},
    {"a watch does not release what others quarantined",
     test_watch_after_quarantine},
    {"reports of ends with parts", test_report},
    {"quarantined parts are stored across a restart", test_file},
};

CHECK_MAIN("part ledger", CASES)
