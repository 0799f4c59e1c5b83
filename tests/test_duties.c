/* Decisions of the duty holder without a network: the duty lease, the time of
 * day of the site, usage windows across the loss of instances and changes of
 * the holder, and their stored form. */
#include <string.h>

#include "../carobloomd/control/log_state.h"
#include "carobloom/common/codec.h"
#include "carobloom/gateway/usage_wire.h"
#include "carobloom/policy/duty_lease.h"
#include "carobloom/policy/site_clock.h"
#include "carobloom/policy/usage_book.h"
#include "carobloom/policy/usage_ledger.h"
#include "check.h"

enum { MS = 1000, SECOND = 1000 * MS };

/* ---- the lease ---- */

typedef struct {
    const char *name;
    gboolean first_incarnation;
    gint64 last_call_ms; /* before the lease is acquired again; -1: none */
    gint64 acquired_ms;  /* when the lease is acquired again */
    gint64 allowed_ms;   /* when calls are allowed again */
} lease_case_t;

static const lease_case_t LEASE_CASES[] = {
    {"a new site", TRUE, -1, 500, 500},
    {"an earlier process may have made calls", FALSE, -1, 500, 3500},
    {"long after its start", FALSE, -1, 20000, 20000},
    {"recent call", TRUE, 1000, 2000, 5000},
    {"call long ago", TRUE, 1000, 30000, 30000},
};

static void
lease_case(const lease_case_t *c)
{
    enum { ALTERNATION_MS = 3000, LEASE_MS = 700 };
    duty_lease_t lease;
    duty_lease_init(&lease, ALTERNATION_MS * MS, c->first_incarnation, 0);
    if (c->last_call_ms >= 0) {
        gint64 at = c->last_call_ms * MS;
        CU_ASSERT(duty_lease_update(&lease, TRUE, 4, at + SECOND, at));
        CU_ASSERT_EQUAL(duty_lease_authorize_call(&lease, at), 4);
        CU_ASSERT(duty_lease_update(&lease, FALSE, 5, 0, at + MS));
        CU_ASSERT_EQUAL(duty_lease_authorize_call(&lease, at + MS), 0);
    }
    for (gint64 ms = c->acquired_ms; ms < c->allowed_ms + 100; ms += 50) {
        duty_lease_update(&lease, TRUE, 6, (ms + LEASE_MS) * MS, ms * MS);
        guint64 token = duty_lease_token(&lease, ms * MS);
        if (token != (ms >= c->allowed_ms ? 6u : 0u)) {
            printf("%s: token %lu at %ld ms\n", c->name, (unsigned long)token,
                   (long)ms);
            CU_FAIL("the lease");
        }
    }
    /* A lease that is not renewed expires. */
    gint64 last_us = (c->allowed_ms + 50 + LEASE_MS) * MS;
    CU_ASSERT_EQUAL(duty_lease_authorize_call(&lease, last_us), 0);
}

static void
test_lease(void)
{
    for (gsize i = 0; i < G_N_ELEMENTS(LEASE_CASES); i++) {
        lease_case(&LEASE_CASES[i]);
    }
}

/* ---- the time of day ---- */

enum { CLOCKS = 9, CLOCK_TRIES = 2000 };

/* Guards against a wrong clock that shifts the time of the site. With fewer
 * than half of the clocks wrong by any amount, the time lies between the
 * correct clocks. */
static void
test_clock(void)
{
    GRand *random = g_rand_new_with_seed(3);
    for (int i = 0; i < CLOCK_TRIES; i++) {
        guint count = (guint)g_rand_int_range(random, 1, CLOCKS + 1);
        guint wrong = (count - 1) / 2;
        site_clock_t *clock = site_clock_create();
        gint64 now = 1000 * (gint64)SECOND;
        gint64 wall = 1700000000 * (gint64)SECOND;
        gint64 own = wall;
        gint64 spread = 20 * MS;
        for (guint k = 0; k < count; k++) {
            gint64 off = k < wrong ? g_rand_int_range(random, -30, 30) * SECOND
                                   : g_rand_int_range(random, 0, (gint)spread);
            char name[16];
            g_snprintf(name, sizeof(name), "c%u", k);
            if (k == 0) {
                own = wall + off;
            }
            else {
                site_clock_record(clock, name, wall + off, now);
            }
        }
        gint64 median = site_clock_wall_us(clock, own, now);
        CU_ASSERT(median >= wall && median <= wall + spread);
        CU_ASSERT_EQUAL(site_clock_count(clock), count);
        site_clock_destroy(clock);
    }
    g_rand_free(random);
}

/* Guards against a silent instance whose clock still counts. */
static void
test_clock_expires(void)
{
    site_clock_t *clock = site_clock_create();
    gint64 wall = 1700000000 * (gint64)SECOND;
    site_clock_record(clock, "a", wall + 50 * SECOND, 0);
    site_clock_record(clock, "b", wall + 50 * SECOND, 0);
    CU_ASSERT_EQUAL(site_clock_wall_us(clock, wall, 0), wall + 50 * SECOND);
    CU_ASSERT_EQUAL(site_clock_wall_us(clock, wall + 10 * SECOND, 10 * SECOND),
                    wall + 10 * SECOND);
    site_clock_destroy(clock);
}

/* ---- windows ---- */

static const usage_schedule_t SCHEDULE = {.window_us = 5 * SECOND,
                                          .due_us = 10 * SECOND};

static void
report(usage_book_t *book, guint64 incarnation, guint64 window,
       const char *team, guint64 count)
{
    usage_window_t *w = usage_window_create(window);
    usage_window_add(w, team, count);
    usage_book_report(book, incarnation, w);
    usage_window_free(w);
}

/* 0 if there is no window. */
static guint64
window_of(const usage_window_t *w)
{
    return w != NULL ? w->window : 0;
}

static guint64
count_of(const usage_window_t *w, const char *team)
{
    for (guint i = 0; w != NULL && i < w->counts->len; i++) {
        const usage_count_t *c = &g_array_index(w->counts, usage_count_t, i);
        if (strcmp(c->team, team) == 0) {
            return c->count;
        }
    }
    return 0;
}

/* Guards against counts that are added twice: reports may be repeated, delayed
 * or out of order. A new incarnation counts in addition to the one before. */
static void
test_reports_count_once(void)
{
    usage_book_t *book = usage_book_create();
    usage_book_start_term(book, 0);
    report(book, 1, 100, "t", 7);
    report(book, 1, 100, "t", 9);
    report(book, 1, 100, "t", 8);
    report(book, 2, 100, "t", 1);
    report(book, 2, 100, "u", 3);
    report(book, 2, 101, "t", 50);
    gint64 end = 101 * SCHEDULE.window_us;
    CU_ASSERT_PTR_NULL(usage_book_next_final(book, &SCHEDULE, 0, end));
    usage_window_t *w =
        usage_book_next_final(book, &SCHEDULE, 0, end + 2 * SECOND);
    CU_ASSERT_PTR_NOT_NULL_FATAL(w);
    CU_ASSERT_EQUAL(window_of(w), 100);
    CU_ASSERT_EQUAL(count_of(w, "t"), 10);
    CU_ASSERT_EQUAL(count_of(w, "u"), 3);
    CU_ASSERT_EQUAL(usage_window_total(w), 13);
    usage_window_free(w);
    usage_book_destroy(book);
}

typedef struct {
    const char *name;
    gint64 leader_since_s; /* when the leader began, after the window's end */
    gint64 finalized_ms;   /* when the window is finalized, after its end */
} finalize_case_t;

static const finalize_case_t FINALIZE_CASES[] = {
    {"leader since before the window's end", -30, 1500},
    {"a new leader waits for the reports", 1, 3500},
    {"a late leader waits until the latest time", 6, 7500},
    {"a leader after the latest time doesn't wait", 20, 20000},
};

static void
finalize_case(const finalize_case_t *c)
{
    usage_book_t *book = usage_book_create();
    gint64 end = 101 * SCHEDULE.window_us;
    usage_book_start_term(book, end + c->leader_since_s * SECOND);
    report(book, 1, 100, "t", 7);
    gint64 finalized = 0;
    for (gint64 ms = MAX(c->leader_since_s * 1000, 0);
         ms < 30000 && finalized == 0; ms += 100) {
        usage_window_t *w =
            usage_book_next_final(book, &SCHEDULE, 99, end + ms * MS);
        if (w != NULL) {
            finalized = ms;
            CU_ASSERT_EQUAL(count_of(w, "t"), 7);
            usage_window_free(w);
        }
    }
    if (finalized != c->finalized_ms) {
        printf("%s: finalized at %ld ms\n", c->name, (long)finalized);
    }
    CU_ASSERT_EQUAL(finalized, c->finalized_ms);
    usage_book_destroy(book);
}

static void
test_windows_finalized_in_time(void)
{
    for (gsize i = 0; i < G_N_ELEMENTS(FINALIZE_CASES); i++) {
        finalize_case(&FINALIZE_CASES[i]);
    }
}

/* Guards against the loss of counts of an entry instance that is cut off. Such
 * an instance served its callers and reports their requests later, so the
 * window waits for it while there is time. An instance that has been silent
 * for longer, or that reported after the window's end, isn't waited for. */
static void
test_window_waits_for_reports(void)
{
    static const struct {
        gint64 last_report_ms; /* relative to the window's end */
        gint64 next_report_ms; /* the next report; 0: none */
        gint64 finalized_ms;
    } CASES[] = {
        {-250, 0, 7500},   {-250, 4000, 4000}, {-6000, 4000, 4000},
        {-9900, 0, 7500},  {-10100, 0, 1500},  {0, 0, 1500},
        {-250, 500, 1500}, {-250, 8000, 7500},
    };
    for (gsize i = 0; i < G_N_ELEMENTS(CASES); i++) {
        usage_book_t *book = usage_book_create();
        gint64 end = 101 * SCHEDULE.window_us;
        gint64 finalized = -1;
        usage_book_start_term(book, 0);
        report(book, 1, 100, "t", 7);
        usage_book_record_contact(book, 1, end + CASES[i].last_report_ms * MS);
        for (gint64 ms = 0; ms < 10000 && finalized < 0; ms += 100) {
            if (ms == CASES[i].next_report_ms && ms != 0) {
                report(book, 1, 100, "t", 9);
                usage_book_record_contact(book, 1, end + ms * MS);
            }
            usage_window_t *w =
                usage_book_next_final(book, &SCHEDULE, 99, end + ms * MS);
            if (w != NULL) {
                gboolean reported = CASES[i].next_report_ms != 0 &&
                                    CASES[i].next_report_ms <= ms;
                CU_ASSERT_EQUAL(count_of(w, "t"), reported ? 9 : 7);
                finalized = ms;
                usage_window_free(w);
            }
        }
        CU_ASSERT_EQUAL(finalized, CASES[i].finalized_ms);
        usage_book_destroy(book);
    }
}

/* Guards against gaps. A window without requests is reported too; after an
 * outage of more windows than are kept, the windows that no instance has
 * counts of are skipped. */
static void
test_windows_in_order(void)
{
    usage_book_t *book = usage_book_create();
    usage_book_start_term(book, 0);
    gint64 now = 200 * SCHEDULE.window_us;
    usage_window_t *w = usage_book_next_final(book, &SCHEDULE, 197, now);
    CU_ASSERT_PTR_NOT_NULL_FATAL(w);
    CU_ASSERT_EQUAL(window_of(w), 198);
    CU_ASSERT_EQUAL(usage_window_total(w), 0);
    usage_window_free(w);
    w = usage_book_next_final(book, &SCHEDULE, 100, now);
    CU_ASSERT_PTR_NOT_NULL_FATAL(w);
    CU_ASSERT_EQUAL(window_of(w), 200 - USAGE_WINDOWS_MAX);
    usage_window_free(w);
    usage_book_destroy(book);
}

/* Guards against two duty holders that report different counts. Of two
 * proposals for a window the first in the log is valid, whichever instance
 * made it. */
static void
test_figures_never_change(void)
{
    usage_ledger_t *ledger = usage_ledger_create();
    usage_window_t *first = usage_window_create(100);
    usage_window_t *second = usage_window_create(100);
    usage_window_add(first, "t", 7);
    usage_window_add(second, "t", 8);
    GBytes *a = usage_finalize_command(first);
    GBytes *b = usage_finalize_command(second);
    CU_ASSERT(usage_command_apply(ledger, a));
    CU_ASSERT_FALSE(usage_command_apply(ledger, b));
    CU_ASSERT_EQUAL(usage_ledger_finalized_through(ledger), 100);
    GBytes *saved = usage_ledger_write(ledger);
    usage_ledger_t *restored = usage_ledger_read(saved);
    CU_ASSERT_PTR_NOT_NULL_FATAL(restored);
    CU_ASSERT_FALSE(usage_command_apply(restored, b));
    const usage_window_t *unaccepted =
        usage_ledger_next_unaccepted(restored, 0);
    CU_ASSERT_PTR_NOT_NULL_FATAL(unaccepted);
    CU_ASSERT_EQUAL(count_of(unaccepted, "t"), 7);
    CU_ASSERT_PTR_NULL(usage_ledger_next_unaccepted(restored, 100));
    GBytes *accept = usage_accept_command(100);
    CU_ASSERT(usage_command_apply(restored, accept));
    CU_ASSERT_PTR_NULL(usage_ledger_next_unaccepted(restored, 0));
    CU_ASSERT_EQUAL(usage_ledger_finalized_through(restored), 100);
    g_bytes_unref(a);
    g_bytes_unref(b);
    g_bytes_unref(saved);
    g_bytes_unref(accept);
    usage_window_free(first);
    usage_window_free(second);
    usage_ledger_destroy(ledger);
    usage_ledger_destroy(restored);
}

/* ---- the log ---- */

static GBytes *
old_command(guint64 version, const char *text)
{
    return codec_write(
        g_variant_new("(t@ay)", version,
                      g_variant_new_fixed_array(G_VARIANT_TYPE_BYTE, text,
                                                strlen(text), 1)));
}

static void
check_state(const log_state_t *state, guint64 version, const char *text,
            guint64 finalized_through)
{
    CU_ASSERT_EQUAL(state->version, version);
    CU_ASSERT(str_equal(str_from_bytes(state->text), str_from_cstr(text)));
    CU_ASSERT_EQUAL(usage_ledger_finalized_through(state->usage),
                    finalized_through);
}

/* Guards against an upgrade that cannot read its log: a log or snapshot from a
 * version that stored configurations only is still read. Finalized windows are
 * part of the snapshot and are restored from it. */
static void
test_log_state(void)
{
    log_state_t state;
    log_state_t restored;
    log_state_init(&state);
    log_state_init(&restored);
    GBytes *empty = g_bytes_new(NULL, 0);
    GBytes *old = old_command(7, "{\"a\":1}");
    GBytes *older = old_command(6, "{}");
    usage_window_t *w = usage_window_create(100);
    usage_window_add(w, "t", 7);
    GBytes *finalize = usage_finalize_command(w);
    GBytes *command = log_usage_command(finalize);
    CU_ASSERT_EQUAL(log_state_apply(&state, empty), 0);
    CU_ASSERT_EQUAL(log_state_apply(&state, old), LOG_STATE_CONFIG);
    CU_ASSERT_EQUAL(log_state_apply(&state, older), 0);
    CU_ASSERT_EQUAL(log_state_apply(&state, command), LOG_STATE_USAGE);
    CU_ASSERT_EQUAL(log_state_apply(&state, command), 0);
    check_state(&state, 7, "{\"a\":1}", 100);
    GBytes *snapshot = log_state_snapshot(&state);
    CU_ASSERT_EQUAL(log_state_apply(&restored, snapshot),
                    LOG_STATE_CONFIG | LOG_STATE_USAGE);
    check_state(&restored, 7, "{\"a\":1}", 100);
    CU_ASSERT_EQUAL(log_state_apply(&restored, command), 0);
    g_bytes_unref(empty);
    g_bytes_unref(old);
    g_bytes_unref(older);
    g_bytes_unref(finalize);
    g_bytes_unref(command);
    g_bytes_unref(snapshot);
    usage_window_free(w);
    log_state_clear(&state);
    log_state_clear(&restored);
}

/* Guards against a log that has two ids, or loses its own: the first counts,
 * and is part of the snapshot. */
static void
test_log_id(void)
{
    log_state_t state;
    log_state_t restored;
    log_state_init(&state);
    log_state_init(&restored);
    GBytes *first = log_id_command(11);
    GBytes *second = log_id_command(12);
    GBytes *old = old_command(7, "{\"a\":1}");
    CU_ASSERT_EQUAL(log_state_apply(&state, old), LOG_STATE_CONFIG);
    CU_ASSERT_EQUAL(state.log_id, 0);
    CU_ASSERT_EQUAL(log_state_apply(&state, first), 0);
    CU_ASSERT_EQUAL(log_state_apply(&state, second), 0);
    CU_ASSERT_EQUAL(state.log_id, 11);
    GBytes *snapshot = log_state_snapshot(&state);
    log_state_apply(&restored, snapshot);
    CU_ASSERT_EQUAL(restored.log_id, 11);
    CU_ASSERT_EQUAL(restored.version, 7);
    g_bytes_unref(first);
    g_bytes_unref(second);
    g_bytes_unref(old);
    g_bytes_unref(snapshot);
    log_state_clear(&state);
    log_state_clear(&restored);
}

/* Guards against unbounded memory: teams and windows beyond the maximum are
 * left out. */
static void
test_tally_is_bounded(void)
{
    usage_tally_t *tally = usage_tally_create();
    guint added = 0;
    for (guint i = 0; i < 2 * USAGE_TEAMS_MAX; i++) {
        char name[16];
        g_snprintf(name, sizeof(name), "t%u", i);
        added += usage_tally_add(tally, 1, name, 1);
    }
    CU_ASSERT_EQUAL(added, USAGE_TEAMS_MAX);
    for (guint64 w = 2; w < 2 * USAGE_WINDOWS_MAX; w++) {
        usage_tally_add(tally, w, "t", 1);
    }
    GPtrArray *windows = usage_tally_windows(tally);
    CU_ASSERT_EQUAL(windows->len, USAGE_WINDOWS_MAX);
    g_ptr_array_unref(windows);
    usage_tally_drop_through(tally, 10);
    guint64 first;
    CU_ASSERT(usage_tally_first(tally, &first));
    CU_ASSERT_EQUAL(first, 11);
    usage_tally_destroy(tally);
}

/* ---- messages ---- */

static GBytes *
sample_report(void)
{
    usage_report_t report = {
        .from = "entry-1",
        .incarnation = 77,
        .windows =
            g_ptr_array_new_with_free_func((GDestroyNotify)usage_window_free),
        .works = g_array_new(FALSE, FALSE, sizeof(service_work_t)),
        .supplies = engine_supplies_create(),
    };
    usage_window_t *w = usage_window_create(100);
    usage_window_add(w, "t", 7);
    g_ptr_array_add(report.windows, w);
    service_work_t work = {.service = "a",
                           .running = 3,
                           .arrived = 9,
                           .turned_away = 2,
                           .read_tokens = 12000,
                           .tokens_per_ms = 60};
    g_array_append_val(report.works, work);
    engine_supply_t supply = {.service = g_strdup("a"),
                              .data_centre = g_strdup("dc"),
                              .slots = 16,
                              .on_demand = 4,
                              .reclaimable = 5};
    g_array_append_val(report.supplies, supply);
    GBytes *bytes = usage_report_write(&report);
    g_ptr_array_unref(report.windows);
    g_array_unref(report.works);
    g_array_unref(report.supplies);
    return bytes;
}

static void
test_report_wire(void)
{
    GBytes *bytes = sample_report();
    usage_report_t read;
    CU_ASSERT_FATAL(usage_report_read(bytes, &read));
    CU_ASSERT_STRING_EQUAL(read.from, "entry-1");
    CU_ASSERT_EQUAL(read.incarnation, 77);
    CU_ASSERT_EQUAL(count_of(read.windows->pdata[0], "t"), 7);
    const service_work_t *work = &g_array_index(read.works, service_work_t, 0);
    CU_ASSERT_STRING_EQUAL(work->service, "a");
    CU_ASSERT_EQUAL(work->turned_away, 2);
    CU_ASSERT_EQUAL(work->read_tokens, 12000);
    const engine_supply_t *supply =
        &g_array_index(read.supplies, engine_supply_t, 0);
    CU_ASSERT_STRING_EQUAL(supply->data_centre, "dc");
    CU_ASSERT_EQUAL(supply->reclaimable, 5);
    usage_report_clear(&read);
    g_bytes_unref(bytes);
}

/* Guards against malformed messages: truncated or changed bytes are refused or
 * read as some report, without any other effect. */
static void
test_report_damaged(void)
{
    enum { DAMAGED_TRIES = 5000 };
    GBytes *bytes = sample_report();
    gsize length;
    const char *data = g_bytes_get_data(bytes, &length);
    GRand *random = g_rand_new_with_seed(5);
    guint refused = 0;
    for (int i = 0; i < DAMAGED_TRIES; i++) {
        char *copy = g_memdup2(data, length);
        copy[g_rand_int_range(random, 0, (gint)length)] ^=
            (char)(1 << g_rand_int_range(random, 0, 8));
        GBytes *changed = g_bytes_new_take(
            copy, (gsize)g_rand_int_range(random, 0, (gint)length + 1));
        usage_report_t read;
        if (usage_report_read(changed, &read)) {
            usage_report_clear(&read);
        }
        else {
            refused++;
        }
        usage_ledger_t *ledger = usage_ledger_create();
        usage_command_apply(ledger, changed);
        usage_ledger_destroy(ledger);
        ledger = usage_ledger_read(changed);
        if (ledger != NULL) {
            usage_ledger_destroy(ledger);
        }
        g_bytes_unref(changed);
    }
    CU_ASSERT(refused > DAMAGED_TRIES / 2);
    g_rand_free(random);
    g_bytes_unref(bytes);
}

static const test_case_t cases[] = {
    {"when the lease allows calls", test_lease},
    {"the time of day by the median", test_clock},
    {"clocks without reports expire", test_clock_expires},
    {"reports count once", test_reports_count_once},
    {"windows are finalized in time", test_windows_finalized_in_time},
    {"windows wait for overdue reports", test_window_waits_for_reports},
    {"windows without gaps", test_windows_in_order},
    {"counts of a final window don't change", test_figures_never_change},
    {"logs of old and new versions", test_log_state},
    {"a log has one id", test_log_id},
    {"counts are bounded", test_tally_is_bounded},
    {"reports on the wire", test_report_wire},
    {"damaged bytes", test_report_damaged},
};

CHECK_MAIN("duties", cases)
