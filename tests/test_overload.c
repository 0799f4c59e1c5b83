/* Tests that an instance with more work than it can do still ends what its
 * callers have left, in time, with real processes. */
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "check.h"
#include "fleet_busy.h"
#include "fleet_cut.h"

enum {
    MS = 1000,
    ENTRIES = 2,
    ENDPOINTS = 4,
    CALLERS = 200,
    LEAVERS = 48,
    LEAVE_SPREAD_MS = 1500,
    LEAVE_MIN_MS = 250, /* after what was sent to a busy instance */
    AHEAD_BYTES = 200 * 1024,
    WAIT_MS = 5000,
    GIVEN_UP_MS = 500, /* within which nothing may be left of a request */
    SETTLE_MS = 2500,  /* for endpoints to log */
    DETAILED_MAX = 4,
};

typedef struct {
    const char *name;      /* the failure that the case guards against */
    gboolean sent_busy;    /* the requests come while it is busy already */
    gboolean through_busy; /* the busy one helps the one that was called */
    gboolean in_chunks;
    gboolean sends_ahead; /* more requests, shortly before they leave */
    int leave_after_ms;   /* of being busy */
} overload_case_t;

static const overload_case_t OVERLOAD_CASES[] = {
    {.name = "a busy instance lets runs of callers that left go on"},
    {.name = "the same of requests in chunks", .in_chunks = TRUE},
    {.name = "a busy instance sends requests of callers that left",
     .sent_busy = TRUE},
    {.name = "an instance that has been busy for long lets runs go on",
     .leave_after_ms = 4000},
    {.name = "a busy instance lets runs go on behind which requests wait",
     .sends_ahead = TRUE},
    {.name = "a busy helper lets runs of callers that left go on",
     .through_busy = TRUE},
};

typedef struct {
    char id[32];
    int connection;
    gint64 left_us;
} leaver_t;

typedef struct {
    const overload_case_t *setup;
    fleet_t *fleet;
    fleet_proxies_t proxies;
    fleet_busy_t *busy;
    leaver_t leavers[LEAVERS];
} overload_t;

enum { BUSY, OTHER }; /* entry instances */

static void
send_request(overload_t *o, guint at)
{
    const overload_case_t *c = o->setup;
    leaver_t *l = &o->leavers[at];
    const fleet_process_t *entry =
        fleet_entry(o->fleet, c->through_busy ? OTHER : BUSY);
    g_snprintf(l->id, sizeof(l->id), "left-%u", at);
    char *text = g_strdup_printf(
        "POST /stream/for-9000/x HTTP/1.1\r\nHost: h.example\r\n"
        "Request-Id: %s\r\nAuthorization: Bearer %s\r\n%s",
        l->id, FLEET_KEY,
        c->in_chunks ? "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"
                       "4\r\nmore\r\n0\r\n\r\n"
                     : "Content-Length: 4\r\n\r\nbody");
    l->connection = fleet_connect(entry->ip, FLEET_CALLERS_PORT, WAIT_MS);
    CU_ASSERT_TRUE(l->connection >= 0 &&
                   fleet_send(l->connection, text, strlen(text)));
    g_free(text);
}

/* Sends requests, one behind the other, as many as its kernel takes. */
static void
send_ahead(const leaver_t *l)
{
    static const int BUFFER = AHEAD_BYTES;
    GString *bytes = g_string_new(NULL);
    while (bytes->len < AHEAD_BYTES) {
        g_string_append_printf(bytes,
                               "POST /stream/for-9000/x HTTP/1.1\r\n"
                               "Host: h.example\r\nRequest-Id: %s-ahead\r\n"
                               "Authorization: Bearer %s\r\n"
                               "Content-Length: 4\r\n\r\nbody",
                               l->id, FLEET_KEY);
    }
    setsockopt(l->connection, SOL_SOCKET, SO_SNDBUF, &BUFFER, sizeof(BUFFER));
    CU_ASSERT_TRUE(send(l->connection, bytes->str, bytes->len,
                        MSG_NOSIGNAL | MSG_DONTWAIT) > 0);
    g_string_free(bytes, TRUE);
}

/* Half of them by a reset. */
static void
leave(leaver_t *l, gboolean by_reset)
{
    if (by_reset) {
        fleet_reset_on_close(l->connection);
    }
    l->left_us = g_get_monotonic_time();
    close(l->connection);
}

/* When `what` happened to a request at any endpoint; 0: never. */
static gint64
moment_us(overload_t *o, const char *what, const char *id)
{
    gint64 at_us = 0;
    for (guint i = 0; i < ENDPOINTS; i++) {
        GArray *found = fleet_moments(fleet_endpoint(o->fleet, i), what);
        for (guint k = 0; k < found->len; k++) {
            const fleet_moment_t *m = &g_array_index(found, fleet_moment_t, k);
            if (g_str_equal(m->request, id)) {
                at_us = MAX(at_us, m->at_us);
            }
        }
        g_array_unref(found);
    }
    return at_us;
}

static gboolean
all_run(overload_t *o)
{
    gint64 until = g_get_monotonic_time() + FLEET_WAIT_MS * (gint64)MS;
    guint ran = 0;
    while (ran < LEAVERS && g_get_monotonic_time() < until) {
        ran = 0;
        while (ran < LEAVERS && moment_us(o, "ran", o->leavers[ran].id) != 0) {
            ran++;
        }
        fleet_sleep(20);
    }
    return ran == LEAVERS;
}

static gboolean
overload_start(overload_t *o)
{
    gboolean is_cut = o->setup->through_busy;
    o->fleet = is_cut ? fleet_create_proxied(1, ENTRIES, ENDPOINTS)
                      : fleet_create(1, ENTRIES, ENDPOINTS);
    o->fleet->slots = CALLERS;
    if (is_cut) {
        fleet_proxies_create(o->fleet, o->proxies);
    }
    gboolean up = fleet_up(o->fleet, 1);
    if (is_cut) {
        fleet_cut(o->fleet, o->proxies, OTHER, CUT_RESET, 0);
    }
    o->busy = fleet_busy_create(fleet_entry(o->fleet, BUSY), CALLERS);
    return up;
}

/* In a row, each as long after its request as the one before. */
static void
play(overload_t *o)
{
    gint64 apart_us = LEAVE_SPREAD_MS * (gint64)MS / LEAVERS;
    for (guint i = 0; !o->setup->sent_busy && i < LEAVERS; i++) {
        send_request(o, i);
    }
    CU_ASSERT_TRUE(o->setup->sent_busy || all_run(o));
    fleet_busy_throttle(o->busy);
    fleet_sleep(o->setup->leave_after_ms);
    gint64 start_us = g_get_monotonic_time();
    guint ahead = (guint)(LEAVE_MIN_MS * (gint64)MS / apart_us);
    for (guint i = 0; i < LEAVERS + ahead; i++) {
        fleet_sleep_until(start_us + i * apart_us);
        if (o->setup->sent_busy && i < LEAVERS) {
            send_request(o, i);
        }
        if (o->setup->sends_ahead && i < LEAVERS) {
            send_ahead(&o->leavers[i]);
        }
        if (i >= ahead) {
            leave(&o->leavers[i - ahead], i % 2 == 0);
        }
    }
    fleet_sleep(SETTLE_MS);
}

static void
judge(overload_t *o)
{
    guint ran = 0;
    guint late = 0;
    gint64 latest_us = 0;
    for (guint i = 0; i < LEAVERS; i++) {
        const leaver_t *l = &o->leavers[i];
        gint64 ran_us = moment_us(o, "ran", l->id);
        gint64 end_us =
            MAX(moment_us(o, "gone", l->id), moment_us(o, "done", l->id));
        if (ran_us == 0) {
            continue;
        }
        ran++;
        gint64 after_us =
            (end_us != 0 ? end_us : g_get_monotonic_time()) - l->left_us;
        latest_us = MAX(latest_us, after_us);
        if (after_us <= (gint64)GIVEN_UP_MS * MS) {
            continue;
        }
        late++;
        if (late <= DETAILED_MAX) {
            printf("%s ran until %d ms after its caller left; ", l->id,
                   (int)(after_us / MS));
        }
    }
    const fleet_process_t *busy = fleet_entry(o->fleet, BUSY);
    guint64 hedged = fleet_counter(busy, "requests_hedged_total");
    guint64 repeats = fleet_counter(busy, "repeats_total");
    printf("%u ran, %u went on, until %d ms at most; %" G_GUINT64_FORMAT
           " hedged, %" G_GUINT64_FORMAT " repeated; ",
           ran, late, (int)(latest_us / MS), hedged, repeats);
    CU_ASSERT_EQUAL(late, 0);
    /* The links of a fleet with proxies may be silent for so long. */
    CU_ASSERT_TRUE(hedged == 0 || o->fleet->proxied);
    CU_ASSERT_TRUE(repeats == 0 || o->fleet->proxied);
    CU_ASSERT_TRUE(o->setup->sent_busy || ran == LEAVERS);
}

static void
test_case(void)
{
    const char *name = CU_get_current_test()->pName;
    overload_t *o = g_new0(overload_t, 1);
    o->setup = OVERLOAD_CASES;
    while (!g_str_equal(o->setup->name, name)) {
        o->setup++;
    }
    proxies_start();
    CU_ASSERT_TRUE(overload_start(o));
    play(o);
    fleet_busy_destroy(o->busy);
    judge(o);
    fleet_destroy(o->fleet);
    proxies_stop();
    g_free(o);
}

int
main(void)
{
    test_case_t cases[G_N_ELEMENTS(OVERLOAD_CASES)];
    for (gsize i = 0; i < G_N_ELEMENTS(OVERLOAD_CASES); i++) {
        cases[i] =
            (test_case_t){.name = OVERLOAD_CASES[i].name, .run = test_case};
    }
    return check_run("overload", cases, G_N_ELEMENTS(cases));
}
