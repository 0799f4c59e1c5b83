/* Cost of an instance as the fleet grows, counted at two sizes instead of
 * timed. Each case guards against a cost of one instance that grows with the
 * number of endpoints or of instances. */
#include "carobloom/gateway/limit_wire.h"
#include "carobloom/gateway/sync_wire.h"
#include "carobloom/policy/collector.h"
#include "carobloom/policy/directory.h"
#include "carobloom/policy/memory_bound.h"
#include "carobloom/policy/registry.h"
#include "carobloom/policy/sync_pace.h"
#include "check.h"
#include "leases.h"

enum {
    SECOND = 1000000,
    SMALL = 1000,  /* endpoints */
    LARGE = 10000, /* ten times as many */
};

/* Lease of the nth endpoint. The caller keeps the struct, which holds the
 * texts. */
typedef struct {
    char id[16];
    char address[32];
    endpoint_lease_t lease;
} numbered_lease_t;

static endpoint_lease_t *
lease_number(numbered_lease_t *l, guint n)
{
    g_snprintf(l->id, sizeof(l->id), "i-%08x", n * 2654435761u);
    g_snprintf(l->address, sizeof(l->address), "10.0.%u.%u:80", n / 256,
               n % 256);
    l->lease = lease_of(l->id, n + 1, LEASE_READY);
    l->lease.address = l->address;
    return &l->lease;
}

/* Returns a directory with this many endpoints of service "s". */
static directory_t *
directory_of(guint endpoints)
{
    directory_t *d = directory_create(drop_nothing);
    for (guint i = 0; i < endpoints; i++) {
        numbered_lease_t lease;
        directory_update(d, 0, lease_number(&lease, i), 0);
    }
    return d;
}

/* ---- memory ---- */

enum {
    ENDPOINT_BYTES = 320, /* of an endpoint that never served */
    PART_BYTES = 2 * 1024 * 1024,
};

/* Returns the bytes used for prompt parts after each endpoint was sent `parts`
 * different parts. */
static gsize
part_bytes(guint endpoints, guint parts)
{
    directory_t *d = directory_of(endpoints);
    const GPtrArray *list = directory_service(d, "s");
    gsize bytes = 0;
    for (guint i = 0; i < list->len; i++) {
        endpoint_t *e = list->pdata[i];
        for (guint64 part = 1; part <= parts; part++) {
            directory_record_part(d, e, part);
        }
        bytes += e->parts.count * sizeof(*e->parts.buckets);
    }
    directory_destroy(d);
    return bytes;
}

static void
test_memory(void)
{
    CU_ASSERT(sizeof(endpoint_t) <= ENDPOINT_BYTES);
    CU_ASSERT_EQUAL(part_bytes(SMALL, 0), 0);
    CU_ASSERT(part_bytes(SMALL, 1000) <= PART_BYTES);
    CU_ASSERT(part_bytes(LARGE, 1000) <= PART_BYTES);
}

/* With few endpoints the maximum number of parts is recorded for each of
 * them. */
static void
test_memory_of_few(void)
{
    CU_ASSERT_EQUAL(part_bytes(200, 1000), 200 * 512 * sizeof(guint64));
}

/* Guards against answers that callers do not read and that fill the memory. As
 * the buffered bytes grow, first the buffers of streams shrink, then new
 * requests are refused, and last, answers that are buffered as a whole are
 * given up. */
static void
test_answers_held(void)
{
    enum { MB = 1024 * 1024, MEMORY = 160 * MB, CONNECTIONS = 1900 };
    static const struct {
        gsize held;
        gboolean admits_request;
        gboolean admits_buffered;
        gsize stream_max;
    } HELD[] = {
        {0, TRUE, TRUE, 128 * 1024},       {15 * MB, TRUE, TRUE, 128 * 1024},
        {17 * MB, TRUE, TRUE, 4 * 1024},   {41 * MB, FALSE, TRUE, 4 * 1024},
        {65 * MB, FALSE, FALSE, 4 * 1024},
    };
    for (gsize i = 0; i < G_N_ELEMENTS(HELD); i++) {
        gsize held = HELD[i].held;
        CU_ASSERT_EQUAL(memory_admits(MEMORY, held), HELD[i].admits_request);
        CU_ASSERT_EQUAL(memory_admits_buffered(MEMORY, held),
                        HELD[i].admits_buffered);
        CU_ASSERT_EQUAL(memory_stream_max(MEMORY, held), HELD[i].stream_max);
    }
    /* Streams on all connections, none of which is read. */
    gsize held = 0;
    for (guint i = 0; i < CONNECTIONS; i++) {
        held += memory_stream_max(MEMORY, held);
    }
    CU_ASSERT(memory_admits(MEMORY, held));
}

/* ---- loads ---- */

enum {
    ACTIVE = 300, /* endpoints with requests in flight */
    REPORTS = 20, /* during two seconds */
    REPORT_US = 100 * 1000,
};

/* Returns the number of endpoints visited for two seconds of load reports. */
static guint64
visits_of(guint endpoints)
{
    directory_t *d = directory_of(endpoints);
    const GPtrArray *list = directory_service(d, "s");
    GArray *sums = g_array_new(FALSE, FALSE, sizeof(endpoint_load_t));
    for (guint i = 0; i < ACTIVE; i++) {
        const endpoint_t *e = list->pdata[i * (endpoints / ACTIVE)];
        endpoint_load_t sum = {.endpoint = e->hash, .running = 2};
        g_array_append_val(sums, sum);
    }
    directory_add_request(d, list->pdata[0], 500, 500);
    for (gint64 i = 1; i <= REPORTS; i++) {
        GArray *own = directory_loads(d);
        CU_ASSERT_EQUAL(own->len, 1);
        directory_apply_loads(d, sums, own);
        split_demand_t demand = directory_demand(d, "s", i * REPORT_US);
        CU_ASSERT_EQUAL(demand.short_prompts.running, 2 * ACTIVE);
        CU_ASSERT_EQUAL(demand.engines, endpoints);
        g_array_unref(own);
    }
    guint64 visits = directory_visits(d);
    g_array_unref(sums);
    directory_destroy(d);
    return visits;
}

/* With ten times the endpoints, and the same number with requests in flight,
 * the cost at most doubles. */
static void
test_load_visits(void)
{
    guint64 small = visits_of(SMALL);
    guint64 large = visits_of(LARGE);
    CU_ASSERT(small <= REPORTS * (3 * ACTIVE + SMALL + 4));
    CU_ASSERT(large <= 2 * small);
}

/* ---- number of entry instances ---- */

/* Returns how often the reported number of entry instances changes while they
 * start one by one; each change writes a new answer to all of them. */
static guint
count_changes(guint entries)
{
    guint changes = 0;
    guint reported = 0;
    for (guint i = 1; i <= entries; i++) {
        guint now = collector_entries_rounded(i);
        CU_ASSERT(now <= i && now >= i - i / 16);
        changes += now != reported;
        reported = now;
    }
    return changes;
}

static void
test_entry_count_changes(void)
{
    CU_ASSERT_EQUAL(count_changes(30), 30);
    CU_ASSERT(count_changes(1000) <= 120);
    CU_ASSERT(count_changes(10000) <= 2 * count_changes(1000));
}

/* ---- confirmations ---- */

/* Guards against entry instances that are not ready while the configuration is
 * valid. An entry instance isn't ready once half of the revocation bound has
 * passed since its last confirmation. However many entry instances poll, the
 * leader holds no poll for so long that an answer half a bound late could
 * cause this. */
static void
test_confirmations(void)
{
    static const guint ENTRIES[] = {1, 30, 300, 1000, 2000, 10000};
    static const double BOUNDS_MS[] = {3000, 5000, 20000};
    for (gsize i = 0; i < G_N_ELEMENTS(ENTRIES); i++) {
        for (gsize j = 0; j < G_N_ELEMENTS(BOUNDS_MS); j++) {
            sync_pace_t pace = {.entries = ENTRIES[i],
                                .leads = TRUE,
                                .healthy = TRUE,
                                .revocation_bound_ms = BOUNDS_MS[j]};
            CU_ASSERT(sync_wait_ms(&pace) <= 0.25 * BOUNDS_MS[j]);
            pace.leads = FALSE;
            CU_ASSERT(sync_wait_ms(&pace) <= 2000);
            CU_ASSERT(sync_wait_ms(&pace) >= 600);
        }
    }
}

/* ---- leases ---- */

enum {
    ANSWER_BYTES = 48 * 1024, /* 40 ms of a link of 10 Mbit/s */
    LEASE_BYTES = 40,
};

static registry_t *
registry_of(guint endpoints)
{
    registry_t *r = registry_create(SECOND);
    for (guint i = 0; i < endpoints; i++) {
        numbered_lease_t numbered;
        endpoint_lease_t *lease = lease_number(&numbered, i);
        lease->started_ms = 1790000000000 + i * 7919 % 300;
        registry_renew(r, lease, 0);
    }
    return r;
}

/* Returns the bytes that a starting entry instance receives for its leases, in
 * answers of bounded size. */
static gsize
initial_lease_bytes(guint endpoints)
{
    registry_t *r = registry_of(endpoints);
    guint64 cursor = 0;
    guint leases = 0;
    gsize bytes = 0;
    while (cursor < registry_cursor(r)) {
        sync_answer_t answer = {.has_log_id = TRUE, .data_centre = "dc"};
        answer.leases =
            registry_changes_since(r, cursor, SYNC_LEASES_MAX, &answer.cursor);
        CU_ASSERT_FATAL(answer.cursor > cursor);
        GBytes *written = sync_answer_write(&answer);
        CU_ASSERT(g_bytes_get_size(written) <= ANSWER_BYTES);
        bytes += g_bytes_get_size(written);
        leases += answer.leases->len;
        cursor = answer.cursor;
        g_ptr_array_unref(answer.leases);
        g_bytes_unref(written);
    }
    CU_ASSERT_EQUAL(leases, endpoints);
    registry_destroy(r);
    return bytes;
}

static void
test_initial_leases(void)
{
    CU_ASSERT(initial_lease_bytes(SMALL) <= (gsize)SMALL * LEASE_BYTES);
    CU_ASSERT(initial_lease_bytes(LARGE) <= (gsize)LARGE * LEASE_BYTES);
}

/* Guards against grant requests for every limit that any endpoint announced.
 * An endpoint that this instance doesn't need costs nothing; any other costs a
 * fixed number of bytes. */
static void
test_limit_requests(void)
{
    enum { MESSAGE_BYTES = 80, REQUEST_BYTES = 56, REQUESTS = 4 };
    limit_report_t report = {
        .from = "front-data-centre-1",
        .requests = g_array_new(FALSE, TRUE, sizeof(limit_request_t))};
    directory_t *d = directory_of(SMALL);
    const GPtrArray *all = directory_service(d, "s");
    for (guint i = 0; i < all->len; i++) {
        limit_state_t state = {.endpoint = ((endpoint_t *)all->pdata[i])->hash,
                               .limited = TRUE,
                               .rate = 2};
        limit_change_t change;
        const endpoint_t *e =
            directory_apply_limit(d, &state, &change, 1 * SECOND);
        CU_ASSERT_FATAL(e != NULL && change == LIMIT_BEGUN);
        if (i < REQUESTS) {
            endpoint_limit_record_denied(e->limit, 2 * SECOND);
        }
    }
    for (guint i = 0; i < directory_limits(d)->len; i++) {
        endpoint_t *e = directory_limits(d)->pdata[i];
        if (endpoint_limit_needs_grants(e->limit, 2 * SECOND) ||
            endpoint_limit_has_update(e->limit)) {
            limit_request_t ask = {.endpoint = e->hash};
            endpoint_limit_fill_request(e->limit, &ask, 2 * SECOND);
            g_array_append_val(report.requests, ask);
        }
    }
    CU_ASSERT_EQUAL(report.requests->len, REQUESTS);
    GBytes *bytes = limit_report_write(&report);
    CU_ASSERT(g_bytes_get_size(bytes) <=
              MESSAGE_BYTES + REQUESTS * REQUEST_BYTES);
    g_bytes_unref(bytes);
    g_array_unref(report.requests);
    directory_destroy(d);
}

static const test_case_t CASES[] = {
    {"memory for prompt parts is bounded", test_memory},
    {"loads cost as much as the busy endpoints", test_load_visits},
    {"leases come in bounded answers", test_initial_leases},
    {"entry instances that come one by one", test_entry_count_changes},
    {"answers that callers don't read", test_answers_held},
    {"confirmations in time at any number of polls", test_confirmations},
    {"few endpoints: all parts are remembered", test_memory_of_few},
    {"grant requests for limits", test_limit_requests},
};

CHECK_MAIN("costs", CASES)
