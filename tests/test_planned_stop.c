/* Tests, with real processes, that a planned stop of an entry instance cuts no
 * request: at each tenth of the grace requests of several kinds and lengths
 * are sent, on new and on kept connections. */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "check.h"
#include "fleet.h"

enum {
    GRACE_MS = 6000, /* of the instances' settings */
    TENTHS = 10,
    /* New requests are refused from 2.6 s after the SIGTERM on, when the
     * balancer has had time to notice; this is a little later. */
    REFUSES_MS = 3000,
    /* What would end later than this may be answered as broken off: the
     * instance needs some time to end before the platform kills it. */
    ENDS_MS = 5500,
    ENDPOINTS = 3,
    SLOTS = 100, /* of each endpoint: none is refused for want of room */
    WAIT_MS = 9000,
};

static const char *const PATHS[] = {"safe", "once", "stream",
                                    "fragile/stream"};
static const int LASTS_MS[] = {100, 1000, 3000, 5000};

enum {
    KINDS = G_N_ELEMENTS(PATHS),
    LENGTHS = G_N_ELEMENTS(LASTS_MS),
    REQUESTS = TENTHS * KINDS * LENGTHS * 2,
};

typedef struct {
    const fleet_process_t *entry;
    gint64 term_us; /* when the instance is asked to end */
    int sent_ms;    /* after that */
    int lasts_ms;
    const char *path;
    gboolean kept;
    char id[64];
    int connection; /* -1: none */
    reply_t *reply;
} request_t;

static reply_t *
request_send(request_t *r, int lasts_ms, const char *id)
{
    char target[64];
    char *fields =
        g_strdup_printf("Request-Id: %s\r\nAuthorization: Bearer %s\r\n"
                        "Deadline-Ms: 8000\r\n",
                        id, FLEET_KEY);
    g_snprintf(target, sizeof(target), "/%s/for-%d/", r->path, lasts_ms);
    reply_t *reply =
        fleet_call_on(r->connection, "GET", target, fields, "", WAIT_MS);
    g_free(fields);
    return reply;
}

static gpointer
request_run(gpointer data)
{
    request_t *r = data;
    if (r->kept) {
        char first[80];
        g_snprintf(first, sizeof(first), "%s-first", r->id);
        r->connection =
            fleet_connect(r->entry->ip, FLEET_CALLERS_PORT, WAIT_MS);
        reply_free(request_send(r, 1, first));
    }
    gint64 at_us = r->term_us + r->sent_ms * (gint64)1000;
    g_usleep((gulong)MAX(at_us - g_get_monotonic_time(), 0));
    if (!r->kept) {
        r->connection =
            fleet_connect(r->entry->ip, FLEET_CALLERS_PORT, WAIT_MS);
    }
    r->reply = request_send(r, r->lasts_ms, r->id);
    if (r->connection >= 0) {
        close(r->connection);
    }
    return NULL;
}

/* Whether the caller got what it may get. */
static gboolean
is_answered(const request_t *r, guint ran)
{
    const reply_t *reply = r->reply;
    if (reply->status == 200 && reply->complete) {
        return TRUE;
    }
    /* A true refusal, or a connection that was closed before the request was
     * passed on. */
    if ((reply->status == 503 && reply->complete) || reply->status == 0) {
        return ran == 0;
    }
    gboolean could_end = r->sent_ms + r->lasts_ms <= ENDS_MS;
    gboolean is_stream = strstr(r->path, "stream") != NULL;
    return !could_end && r->sent_ms < REFUSES_MS &&
           (reply->complete || (is_stream && reply->status == 200));
}

static void
requests_create(request_t *requests, const fleet_process_t *entry,
                gint64 term_us)
{
    for (guint i = 0; i < REQUESTS; i++) {
        request_t *r = &requests[i];
        *r = (request_t){
            .entry = entry,
            .term_us = term_us,
            .sent_ms = (int)(i % TENTHS) * GRACE_MS / TENTHS,
            .path = PATHS[i / TENTHS % KINDS],
            .lasts_ms = LASTS_MS[i / TENTHS / KINDS % LENGTHS],
            .kept = i / TENTHS / KINDS / LENGTHS > 0,
            .connection = -1,
        };
        g_snprintf(r->id, sizeof(r->id), "r%u", i);
    }
}

/* Guards against requests that are taken during a planned stop and cut at its
 * end. */
static void
test_no_request_cut(void)
{
    enum { BEFORE_MS = 1500 };
    static request_t requests[REQUESTS];
    GThread *threads[REQUESTS];
    fleet_t *f = fleet_create(1, 2, ENDPOINTS);
    guint answered = 0;
    f->slots = SLOTS;
    CU_ASSERT_FATAL(fleet_up(f, 1));
    fleet_process_t *entry = fleet_entry(f, 0);
    gint64 term_us = g_get_monotonic_time() + BEFORE_MS * (gint64)1000;
    requests_create(requests, entry, term_us);
    for (guint i = 0; i < REQUESTS; i++) {
        threads[i] = g_thread_new("request", request_run, &requests[i]);
    }
    g_usleep((gulong)MAX(term_us - g_get_monotonic_time(), 0));
    fleet_signal(entry, SIGTERM);
    int code = fleet_wait_exit(entry);
    gint64 ended_ms = (g_get_monotonic_time() - term_us) / 1000;
    CU_ASSERT_EQUAL(code, 0);
    CU_ASSERT(ended_ms <= GRACE_MS);
    for (guint i = 0; i < REQUESTS; i++) {
        request_t *r = &requests[i];
        g_thread_join(threads[i]);
        guint ran = fleet_ran(f, "run", r->id);
        if (!is_answered(r, ran)) {
            printf("/%s of %d ms, sent after %d ms on a %s connection: status "
                   "%u, complete %d, ran %u; ",
                   r->path, r->lasts_ms, r->sent_ms, r->kept ? "kept" : "new",
                   r->reply->status, r->reply->complete, ran);
        }
        CU_ASSERT(is_answered(r, ran));
        answered += r->reply->status == 200 && r->reply->complete;
        reply_free(r->reply);
    }
    /* Else it was tried on nothing. */
    CU_ASSERT(answered > REQUESTS / 4);
    fleet_destroy(f);
}

static const test_case_t CASES[] = {
    {"no request is cut in a planned stop", test_no_request_cut},
};

CHECK_MAIN("planned stop", CASES)
