/* Tests of the pure modules: heap, quantiles, limits, rendezvous hashing,
 * server-sent events, request lifecycle, and timers. */
#include <string.h>

#include "carobloom/common/timers.h"
#include "carobloom/policy/heap.h"
#include "carobloom/policy/lifecycle.h"
#include "carobloom/policy/limits.h"
#include "carobloom/policy/quantile.h"
#include "carobloom/policy/rendezvous.h"
#include "carobloom/policy/sse.h"
#include "check.h"

static void
test_heap_orders(void)
{
    heap_t heap;
    heap_node_t nodes[200];
    GRand *rand = g_rand_new_with_seed(7);
    heap_init(&heap);
    for (guint i = 0; i < G_N_ELEMENTS(nodes); i++) {
        nodes[i] = (heap_node_t){
            .key = g_rand_int_range(rand, 0, 50), .tie = i, .index = -1};
        heap_push(&heap, &nodes[i]);
    }
    for (guint i = 0; i < 100; i++) {
        guint at = (guint)g_rand_int_range(rand, 0, 200);
        nodes[at].key = g_rand_int_range(rand, 0, 50);
        heap_update(&heap, &nodes[at]);
    }
    heap_remove(&heap, &nodes[3]);
    CU_ASSERT_EQUAL(nodes[3].index, -1);
    double last = -1;
    for (guint i = 0; i < 199; i++) {
        heap_node_t *node = heap_peek(&heap);
        CU_ASSERT(node->key >= last);
        last = node->key;
        heap_remove(&heap, node);
    }
    CU_ASSERT_EQUAL(heap_size(&heap), 0);
    heap_clear(&heap);
    g_rand_free(rand);
}

static void
test_quantile_within_factor(void)
{
    quantile_t q = {0};
    CU_ASSERT_EQUAL(quantile_get(&q, 0.5, 77), 77);
    for (int i = 1; i <= 300; i++) {
        quantile_add(&q, i);
    }
    static const struct {
        double q;
        double truth;
    } cases[] = {{0.1, 30}, {0.5, 150}, {0.9, 270}};
    for (gsize i = 0; i < G_N_ELEMENTS(cases); i++) {
        double value = quantile_get(&q, cases[i].q, 0);
        CU_ASSERT(value > cases[i].truth / 1.45);
        CU_ASSERT(value < cases[i].truth * 1.45);
    }
    for (int i = 0; i < 4000; i++) {
        quantile_add(&q, 4000);
    }
    CU_ASSERT(quantile_get(&q, 0.5, 0) > 2800);
}

static void
test_bucket_wait(void)
{
    bucket_t b = {0};
    CU_ASSERT_EQUAL(bucket_take(&b, 10, 2, 1, 0), 0);
    CU_ASSERT_EQUAL(bucket_take(&b, 10, 2, 1, 0), 0);
    gint64 wait = bucket_take(&b, 10, 2, 1, 0);
    CU_ASSERT(wait > 99000 && wait < 101000);
    CU_ASSERT(bucket_take(&b, 10, 2, 1, wait - 1000) > 0);
    CU_ASSERT_EQUAL(bucket_take(&b, 10, 2, 1, wait), 0);
    CU_ASSERT_EQUAL(bucket_take(&b, 0, 0, 1, 0), 0);
    /* A clock that goes backwards neither refills nor locks the bucket. */
    CU_ASSERT(bucket_take(&b, 10, 2, 1, 0) > 0);
    CU_ASSERT_EQUAL(bucket_take(&b, 10, 2, 1, 10 * G_USEC_PER_SEC), 0);
}

static void
test_retry_budget_bounds_storm(void)
{
    retry_budget_t budget = {0};
    int retries = 0;
    for (int i = 0; i < 1000; i++) {
        retry_budget_earn(&budget, 0.1);
        retries += retry_budget_take(&budget);
    }
    CU_ASSERT(retries >= 99 && retries <= 100);
}

static void
test_rendezvous_moves_little(void)
{
    guint64 members[9];
    for (guint i = 0; i < 9; i++) {
        members[i] = 1000 + i * 17;
    }
    int moved = 0;
    int counts[9] = {0};
    for (guint64 key = 0; key < 9000; key++) {
        gssize all = rendezvous_owner(key, members, 9);
        gssize fewer = rendezvous_owner(key, members, 8);
        counts[all]++;
        if (all != 8 && fewer != all) {
            moved++;
        }
    }
    CU_ASSERT_EQUAL(moved, 0);
    for (int i = 0; i < 9; i++) {
        CU_ASSERT(counts[i] > 850 && counts[i] < 1150);
    }
    CU_ASSERT_EQUAL(rendezvous_owner(1, members, 0), -1);
}

typedef struct {
    int events;
    char data[256];
} sse_result_t;

static int
on_event(str_t data, str_t raw, void *user)
{
    sse_result_t *received = user;
    (void)raw;
    received->events++;
    g_snprintf(received->data, sizeof(received->data), "%.*s",
               (int)data.length, data.data);
    return str_equal(data, STR("stop"));
}

static void
test_sse_cases(void)
{
    static const struct {
        const char *text;
        int events;
        const char *last;
        int result;
    } cases[] = {
        {"data: a\n\n", 1, "a", SSE_OK},
        {"data: a\r\n\r\ndata:b\n\n", 2, "b", SSE_OK},
        {"data: a\ndata: b\n\n", 1, "a\nb", SSE_OK},
        {": comment\n\ndata: x\n\n", 2, "x", SSE_OK},
        {"event: e\nid: 3\ndata: y\n\n", 1, "y", SSE_OK},
        {"data: half", 0, "", SSE_OK},
        {"data: stop\n\ndata: after\n\n", 1, "stop", SSE_ERROR_STOPPED},
    };
    for (gsize i = 0; i < G_N_ELEMENTS(cases); i++) {
        for (gsize step = 1; step < 20; step += 6) {
            sse_t sse;
            sse_result_t received = {0};
            int result = SSE_OK;
            sse_init(&sse);
            gsize length = strlen(cases[i].text);
            for (gsize at = 0; at < length && result == SSE_OK; at += step) {
                str_t part = {.data = cases[i].text + at,
                              .length = MIN(step, length - at)};
                result = sse_feed(&sse, part, on_event, &received);
            }
            CU_ASSERT_EQUAL(result, cases[i].result);
            CU_ASSERT_EQUAL(received.events, cases[i].events);
            CU_ASSERT_STRING_EQUAL(received.data, cases[i].last);
            sse_clear(&sse);
        }
    }
}

static void
test_sse_bounds_memory(void)
{
    sse_t sse;
    sse_result_t received = {0};
    char *block = g_strnfill(64 * 1024, 'x');
    int result = SSE_OK;
    sse_init(&sse);
    for (int i = 0; i < 6 && result == SSE_OK; i++) {
        result = sse_feed(&sse, str_from_cstr(block), on_event, &received);
    }
    CU_ASSERT_EQUAL(result, SSE_ERROR_TOO_LONG);
    sse_clear(&sse);
    g_free(block);
}

/* Random events. A request that is not repeatable must be dispatched at most
 * once, whatever happens after a byte was sent. It may only be answered
 * not-run if no byte was sent or the endpoint itself answered that it did not
 * run the request. */
static void
test_lifecycle_at_most_once(void)
{
    GRand *rand = g_rand_new_with_seed(11);
    for (int round = 0; round < 20000; round++) {
        lifecycle_t lifecycle = {.repeatable = FALSE, .attempts_max = 3};
        int dispatches = 0;
        gboolean sent = FALSE;
        gboolean answered_not_run = FALSE;
        lifecycle_apply(&lifecycle, LIFECYCLE_EVENT_ADMIT);
        for (int i = 0; i < 30 && lifecycle.state != LIFECYCLE_DONE; i++) {
            lifecycle_event_t event = (lifecycle_event_t)g_rand_int_range(
                rand, 1, LIFECYCLE_EVENT_COUNT);
            lifecycle_state_t previous = lifecycle.state;
            lifecycle.retry_allowed = g_rand_boolean(rand);
            lifecycle_apply(&lifecycle, event);
            if (previous == LIFECYCLE_CONNECTING &&
                lifecycle.state == LIFECYCLE_SENT) {
                dispatches++;
                sent = TRUE;
                answered_not_run = FALSE;
            }
            if (previous == LIFECYCLE_SENT &&
                event == LIFECYCLE_EVENT_NOT_RUN) {
                answered_not_run = TRUE;
                dispatches--;
            }
        }
        CU_ASSERT_FATAL(dispatches <= 1);
        if (lifecycle.state == LIFECYCLE_DONE &&
            lifecycle.outcome == OUTCOME_NOT_RUN) {
            CU_ASSERT_FATAL(!sent || answered_not_run);
        }
    }
    g_rand_free(rand);
}

static void
test_lifecycle_resume_only_where_permitted(void)
{
    static const struct {
        gboolean repeatable;
        gboolean resume;
        lifecycle_state_t next;
    } cases[] = {
        {TRUE, TRUE, LIFECYCLE_QUEUED},
        {TRUE, FALSE, LIFECYCLE_DONE},
        {FALSE, FALSE, LIFECYCLE_DONE},
    };
    for (gsize i = 0; i < G_N_ELEMENTS(cases); i++) {
        lifecycle_t lifecycle = {.state = LIFECYCLE_STREAMING,
                                 .repeatable = cases[i].repeatable,
                                 .resume = cases[i].resume,
                                 .attempts = 1,
                                 .attempts_max = 3,
                                 .retry_allowed = TRUE};
        lifecycle_apply(&lifecycle, LIFECYCLE_EVENT_BROKEN);
        CU_ASSERT_EQUAL(lifecycle.state, cases[i].next);
    }
}

/* The documentation must contain the transition table as it is in the code. */
static void
test_lifecycle_page_is_the_table(void)
{
    char *page = NULL;
    char *table = lifecycle_table_markdown();
    g_file_get_contents(SOURCE_ROOT "/docs/design/request-lifecycle.md", &page,
                        NULL, NULL);
    CU_ASSERT(page != NULL && strstr(page, table) != NULL);
    g_free(page);
    g_free(table);
}

static void
count_call(void *data)
{
    (*(int *)data)++;
}

static void
test_timers_manual_clock(void)
{
    timers_t *timers = timers_create(0);
    int once = 0;
    int often = 0;
    timers_subscribe(timers, 100, 0, count_call, &once);
    guint64 id = timers_subscribe(timers, 10, 10, count_call, &often);
    CU_ASSERT_EQUAL(timers_next(timers), 10);
    timers_advance(timers, 9);
    CU_ASSERT_EQUAL(often, 0);
    for (gint64 now = 10; now <= 100; now += 10) {
        timers_advance(timers, now);
    }
    CU_ASSERT_EQUAL(often, 10);
    CU_ASSERT_EQUAL(once, 1);
    /* A jump of the clock runs a periodic timer once, not once per missed
     * period. */
    timers_advance(timers, 100000);
    CU_ASSERT_EQUAL(often, 11);
    /* A clock that goes backwards runs no timer. */
    timers_advance(timers, 50);
    CU_ASSERT_EQUAL(often, 11);
    timers_cancel(timers, id);
    timers_advance(timers, 200000);
    CU_ASSERT_EQUAL(often, 11);
    timers_destroy(timers);
}

static const test_case_t cases[] = {
    {"heap orders", test_heap_orders},
    {"quantile within its factor", test_quantile_within_factor},
    {"time until the bucket has a token", test_bucket_wait},
    {"retry budget bounds a storm", test_retry_budget_bounds_storm},
    {"rendezvous hashing moves few keys", test_rendezvous_moves_little},
    {"events are read at any split", test_sse_cases},
    {"events are bounded", test_sse_bounds_memory},
    {"requests that can't repeat run at most once",
     test_lifecycle_at_most_once},
    {"resumes only where permitted",
     test_lifecycle_resume_only_where_permitted},
    {"the documented lifecycle is the table",
     test_lifecycle_page_is_the_table},
    {"timers on a manual clock", test_timers_manual_clock},
};

CHECK_MAIN("policy", cases)
