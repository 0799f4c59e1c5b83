/* Tests of endpoint state without sockets or a clock: heartbeats as the
 * platform sends them, the leases that one control instance receives, and
 * their merge at an entry instance. */
#include <string.h>

#include "carobloom/policy/directory.h"
#include "carobloom/policy/registry.h"
#include "carobloom/policy/rendezvous.h"
#include "check.h"
#include "leases.h"
#include "platform.h"

enum { SECOND = 1000000 };

/* ---- heartbeats ---- */

#define VALID_FIELDS                                                          \
    "\"Service\":\"s\",\"Address\":\"10.0.0.1:80\",\"Zone\":\"z\","           \
    "\"Version\":\"v1\",\"Slots\":4,\"State\":\"ready\","                     \
    "\"ColdRemainingMs\":0,\"born\":1000,\"Sequence\":9"

typedef struct {
    const char *name;
    const char *field; /* field to replace; NULL: none */
    const char *value; /* its new value; NULL: the field is left out */
    int result;
} heartbeat_case_t;

static const heartbeat_case_t HEARTBEAT_CASES[] = {
    {"whole", NULL, NULL, PLATFORM_OK},
    {"no start, as on older platforms", "born", NULL, PLATFORM_OK},
    {"draining", "State", "\"draining\"", PLATFORM_OK},
    {"cold", "ColdRemainingMs", "12.5", PLATFORM_OK},
    {"a state of another writer", "State", "\"zombie\"", PLATFORM_ERROR_FIELD},
    {"a state of another type", "State", "7", PLATFORM_ERROR_FIELD},
    {"no state", "State", NULL, PLATFORM_ERROR_FIELD},
    {"a sequence as text", "Sequence", "\"9\"", PLATFORM_ERROR_FIELD},
    {"a negative sequence", "Sequence", "-1", PLATFORM_ERROR_FIELD},
    {"no sequence", "Sequence", NULL, PLATFORM_ERROR_FIELD},
    {"slots as text", "Slots", "\"4\"", PLATFORM_ERROR_FIELD},
    {"negative slots", "Slots", "-1", PLATFORM_ERROR_FIELD},
    {"no slots", "Slots", NULL, PLATFORM_ERROR_FIELD},
    {"too many slots", "Slots", "100000000000", PLATFORM_ERROR_FIELD},
    {"a start as text", "born", "\"x\"", PLATFORM_ERROR_FIELD},
    {"half a start", "born", "1.5", PLATFORM_ERROR_FIELD},
    {"a start that is null", "born", "null", PLATFORM_ERROR_FIELD},
    {"a service that is no text", "Service", "{}", PLATFORM_ERROR_FIELD},
    {"no service", "Service", NULL, PLATFORM_ERROR_FIELD},
    {"an address that is no text", "Address", "[1]", PLATFORM_ERROR_FIELD},
    {"an address that is none", "Address", "\"here\"", PLATFORM_ERROR_FIELD},
    {"no data centre", "Zone", NULL, PLATFORM_ERROR_FIELD},
    {"a version that is no text", "Version", "1", PLATFORM_ERROR_FIELD},
    {"cold as text", "ColdRemainingMs", "\"0\"", PLATFORM_ERROR_FIELD},
    {"cold for years", "ColdRemainingMs", "1e300", PLATFORM_ERROR_FIELD},
    {"models that are no list", "Models", "{}", PLATFORM_ERROR_FIELD},
    {"reclaimable", "Spot", "true", PLATFORM_OK},
    {"reclaimable as text", "Spot", "\"true\"", PLATFORM_ERROR_FIELD},
    {"ends soon", "leaves_ms", "2200.5", PLATFORM_OK},
    {"time to its end as text", "leaves_ms", "\"2\"", PLATFORM_ERROR_FIELD},
    {"negative time to its end", "leaves_ms", "-1", PLATFORM_ERROR_FIELD},
};

/* A valid heartbeat with one field replaced, added or left out. */
static char *
heartbeat_text(const heartbeat_case_t *c)
{
    GString *text = g_string_new("{");
    char **fields = g_strsplit("" VALID_FIELDS, ",", -1);
    char *key = g_strdup_printf("\"%s\":", c->field);
    for (guint i = 0; fields[i] != NULL; i++) {
        if (c->field == NULL || !g_str_has_prefix(fields[i], key)) {
            g_string_append_printf(text, "%s,", fields[i]);
        }
    }
    if (c->value != NULL) {
        g_string_append_printf(text, "%s%s,", key, c->value);
    }
    g_string_truncate(text, text->len - 1);
    g_string_append_c(text, '}');
    g_strfreev(fields);
    g_free(key);
    return g_string_free(text, FALSE);
}

static void
test_heartbeats(void)
{
    for (gsize i = 0; i < G_N_ELEMENTS(HEARTBEAT_CASES); i++) {
        const heartbeat_case_t *c = &HEARTBEAT_CASES[i];
        const char *field;
        heartbeat_t heartbeat;
        char *text = heartbeat_text(c);
        int result =
            platform_heartbeat_decode(str_from_cstr(text), &heartbeat, &field);
        if (result != c->result) {
            printf("%s\n", c->name);
        }
        CU_ASSERT_EQUAL(result, c->result);
        gboolean named = c->result == PLATFORM_ERROR_FIELD;
        CU_ASSERT_STRING_EQUAL(field != NULL ? field : "",
                               named ? c->field : "");
        heartbeat_clear(&heartbeat);
        g_free(text);
    }
}

static void
test_heartbeat_values(void)
{
    const char *field;
    heartbeat_t h;
    CU_ASSERT_EQUAL(
        platform_heartbeat_decode(STR("{" VALID_FIELDS "}"), &h, &field),
        PLATFORM_OK);
    CU_ASSERT_STRING_EQUAL(h.service, "s");
    CU_ASSERT_STRING_EQUAL(h.address, "10.0.0.1:80");
    CU_ASSERT_STRING_EQUAL(h.data_centre, "z");
    CU_ASSERT_EQUAL(h.started_ms, 1000);
    CU_ASSERT_EQUAL(h.sequence, 9);
    CU_ASSERT_EQUAL(h.slots, 4);
    CU_ASSERT_FALSE(h.draining);
    CU_ASSERT_FALSE(h.reclaimable);
    CU_ASSERT_EQUAL(h.leaves_ms, 0);
    heartbeat_clear(&h);
    CU_ASSERT_EQUAL(
        platform_heartbeat_decode(
            STR("{" VALID_FIELDS ",\"Spot\":true,\"leaves_ms\":2200}"), &h,
            &field),
        PLATFORM_OK);
    CU_ASSERT(h.reclaimable);
    CU_ASSERT_EQUAL(h.leaves_ms, 2200);
    heartbeat_clear(&h);
}

/* Bodies that are not a heartbeat, and random damage to a valid one, must not
 * crash the decoder or pass with missing fields. */
static void
test_heartbeat_bytes(void)
{
    enum { NESTED_BYTES = 5000, BLANK_BYTES = 100000, MUTATIONS = 20000 };
    static const char VALID_TEXT[] = "{" VALID_FIELDS "}";
    const char *field;
    heartbeat_t h;
    char *nested = g_strnfill(NESTED_BYTES, '[');
    char *blank = g_strnfill(BLANK_BYTES, ' ');
    const char *const bodies[] = {"",
                                  "[]",
                                  "null",
                                  "7",
                                  "\"x\"",
                                  nested,
                                  blank,
                                  "\xff\xfe",
                                  "{" VALID_FIELDS "}}",
                                  "{" VALID_FIELDS "," VALID_FIELDS "}"};
    for (gsize i = 0; i < G_N_ELEMENTS(bodies); i++) {
        CU_ASSERT_EQUAL(
            platform_heartbeat_decode(str_from_cstr(bodies[i]), &h, &field),
            PLATFORM_ERROR_FORMAT);
    }
    GRand *random = g_rand_new_with_seed(7);
    for (int i = 0; i < MUTATIONS; i++) {
        gsize length = sizeof(VALID_TEXT) - 1;
        char *copy = g_memdup2(VALID_TEXT, length);
        for (int j = g_rand_int_range(random, 1, 4); j > 0; j--) {
            copy[g_rand_int_range(random, 0, (gint)length)] =
                (char)g_rand_int_range(random, 0, 256);
        }
        str_t body = {.data = copy, .length = length};
        int result = platform_heartbeat_decode(body, &h, &field);
        CU_ASSERT(result != PLATFORM_OK ||
                  (h.slots >= 1 && h.service != NULL && h.address != NULL));
        heartbeat_clear(&h);
        gint64 started_ms;
        platform_leave_decode(body, &started_ms);
        CU_ASSERT(started_ms >= 0);
        g_free(copy);
    }
    g_rand_free(random);
    g_free(nested);
    g_free(blank);
}

/* The answer to an accepted renewal. */
static void
test_heartbeat_answer(void)
{
    char *answer = platform_heartbeat_answer("10.0.0.4:8080");
    CU_ASSERT_STRING_EQUAL(answer, "{\"HeartbeatAddr\":\"10.0.0.4:8080\"}");
    g_free(answer);
}

/* ---- leases ---- */

/* What a control instance knows of an endpoint, what another one tells of it,
 * and what comes late. */
typedef struct {
    const char *name;
    gboolean is_known;
    lease_state_t learned;
    guint64 late; /* sequence of a heartbeat that says ready */
    lease_state_t state;
} learned_case_t;

static const learned_case_t LEARNED_CASES[] = {
    {"left, not known", FALSE, LEASE_LEFT, 1, LEASE_LEFT},
    {"left, known", TRUE, LEASE_LEFT, 9, LEASE_LEFT},
    {"draining, not known", FALSE, LEASE_DRAINING, 1, LEASE_DRAINING},
    {"draining, known", TRUE, LEASE_DRAINING, 9, LEASE_DRAINING},
};

static GPtrArray *
departures_of(const registry_t *r, guint64 learned_cursor)
{
    guint64 through;
    return registry_departures_since(r, 0, learned_cursor, G_MAXUINT,
                                     &through);
}

static lease_state_t
first_state(const registry_t *r)
{
    guint64 through;
    GPtrArray *all = registry_changes_since(r, 0, G_MAXUINT, &through);
    lease_state_t state = all->len > 0
                              ? ((endpoint_lease_t *)all->pdata[0])->state
                              : LEASE_READY;
    g_ptr_array_unref(all);
    return state;
}

/* A departure that another control instance acknowledged is published, is told
 * to others only if they ask for all, and is not undone by a late heartbeat.
 */
static void
test_learned_departures(void)
{
    for (gsize i = 0; i < G_N_ELEMENTS(LEARNED_CASES); i++) {
        const learned_case_t *c = &LEARNED_CASES[i];
        registry_t *r = registry_create(SECOND);
        endpoint_lease_t before = lease_of("e", 5, LEASE_READY);
        endpoint_lease_t learned = lease_of("e", 6, c->learned);
        endpoint_lease_t late = lease_of("e", c->late, LEASE_READY);
        if (c->is_known) {
            registry_renew(r, &before, SECOND);
        }
        CU_ASSERT(registry_learn_departure(r, &learned, SECOND));
        CU_ASSERT_FALSE(registry_learn_departure(r, &learned, SECOND));
        CU_ASSERT_EQUAL(registry_last_departure(r), 0);
        GPtrArray *own = departures_of(r, 0);
        GPtrArray *all = departures_of(r, registry_cursor(r));
        CU_ASSERT_EQUAL(own->len, 0);
        CU_ASSERT_EQUAL(all->len, 1);
        registry_renew(r, &late, 2 * SECOND);
        if (first_state(r) != c->state) {
            printf("%s: state %d\n", c->name, (int)first_state(r));
        }
        CU_ASSERT_EQUAL(first_state(r), c->state);
        g_ptr_array_unref(own);
        g_ptr_array_unref(all);
        registry_destroy(r);
    }
}

static void
test_registry(void)
{
    registry_t *r = registry_create(SECOND);
    endpoint_lease_t ready = lease_of("e", 2, LEASE_READY);
    endpoint_lease_t late = lease_of("e", 1, LEASE_DRAINING);
    endpoint_lease_t renewed = lease_of("e", 3, LEASE_READY);
    CU_ASSERT_EQUAL(registry_renew(r, &ready, SECOND), REGISTRY_ACCEPTED);
    guint64 through;
    guint64 cursor = registry_cursor(r);
    CU_ASSERT_EQUAL(registry_renew(r, &late, SECOND), REGISTRY_STALE);
    CU_ASSERT_EQUAL(registry_renew(r, &renewed, 2 * SECOND),
                    REGISTRY_ACCEPTED);
    /* A renewal without a change is not reported as a change. */
    CU_ASSERT_EQUAL(registry_cursor(r), cursor);
    CU_ASSERT_FALSE(registry_expire(r, 4 * SECOND));
    CU_ASSERT(registry_expire(r, 8 * SECOND));
    GPtrArray *changes =
        registry_changes_since(r, cursor, G_MAXUINT, &through);
    CU_ASSERT_EQUAL_FATAL(changes->len, 1);
    CU_ASSERT_EQUAL(((endpoint_lease_t *)changes->pdata[0])->state,
                    LEASE_EXPIRED);
    g_ptr_array_unref(changes);
    renewed.sequence = 4;
    registry_renew(r, &renewed, 9 * SECOND);
    CU_ASSERT(registry_cursor(r) > cursor + 1);
    registry_leave(r, "e", 0, 1, 10 * SECOND);
    renewed.sequence = 5;
    CU_ASSERT_EQUAL(registry_renew(r, &renewed, 11 * SECOND), REGISTRY_LEFT);
    registry_leave(r, "never seen", 0, 1, 11 * SECOND);
    changes = registry_changes_since(r, 0, G_MAXUINT, &through);
    CU_ASSERT_EQUAL(changes->len, 2);
    g_ptr_array_unref(changes);
    registry_destroy(r);
}

typedef struct {
    const char *name;
    struct {
        guint source;
        const char *id;
        guint64 sequence;
        lease_state_t state;
    } reports[4];
    guint count;
    gboolean usable; /* whether endpoint "e" is usable in the end */
} merge_case_t;

static const merge_case_t MERGE_CASES[] = {
    {"reported by one instance", {{0, "e", 1, LEASE_READY}}, 1, TRUE},
    {"expired at one instance, renewed at another",
     {{0, "e", 1, LEASE_READY},
      {1, "e", 4, LEASE_READY},
      {0, "e", 1, LEASE_EXPIRED}},
     3,
     TRUE},
    {"expired at all instances",
     {{0, "e", 1, LEASE_READY},
      {1, "e", 4, LEASE_READY},
      {0, "e", 1, LEASE_EXPIRED},
      {1, "e", 4, LEASE_EXPIRED}},
     4,
     FALSE},
    {"an instance without the drain report doesn't undo it",
     {{0, "e", 5, LEASE_DRAINING}, {1, "e", 4, LEASE_READY}},
     2,
     FALSE},
    {"a late report doesn't undo a departure",
     {{0, "e", 5, LEASE_LEFT}, {1, "e", 4, LEASE_READY}},
     2,
     FALSE},
    {"leaves after a report as ready",
     {{1, "e", 4, LEASE_READY}, {0, "e", 5, LEASE_LEFT}},
     2,
     FALSE},
};

static void
test_merge(void)
{
    for (gsize i = 0; i < G_N_ELEMENTS(MERGE_CASES); i++) {
        const merge_case_t *c = &MERGE_CASES[i];
        directory_t *d = directory_create(drop_nothing);
        for (guint j = 0; j < c->count; j++) {
            endpoint_lease_t lease = lease_of(
                c->reports[j].id, c->reports[j].sequence, c->reports[j].state);
            directory_update(d, c->reports[j].source, &lease, SECOND);
        }
        const endpoint_t *e = directory_find(d, "e");
        gboolean usable = e != NULL && endpoint_usable(e, SECOND);
        if (usable != c->usable) {
            printf("%s\n", c->name);
        }
        CU_ASSERT_EQUAL(usable, c->usable);
        directory_destroy(d);
    }
}

/* Endpoints that only one control instance reported stay usable for a while
 * when that instance restarts, since they renew within a heartbeat
 * interval. */
static void
test_forget(void)
{
    directory_t *d = directory_create(drop_nothing);
    endpoint_lease_t lease = lease_of("e", 1, LEASE_READY);
    directory_update(d, 3, &lease, SECOND);
    directory_source_reset(d, 3, 2 * SECOND);
    const endpoint_t *e = directory_find(d, "e");
    CU_ASSERT(endpoint_usable(e, 3 * SECOND));
    CU_ASSERT_FALSE(endpoint_usable(e, 20 * SECOND));
    directory_destroy(d);
}

/* Two endpoints without a start time report one address: the one reported
 * last gets the requests, but not permanently, since a delayed renewal may
 * report the older one last. Misdirected answers back off the wrong one. */
static void
test_address_taken(void)
{
    directory_t *d = directory_create(drop_nothing);
    endpoint_lease_t old = lease_of("old", 9, LEASE_READY);
    endpoint_lease_t new = lease_of("new", 1, LEASE_READY);
    directory_update(d, 0, &old, SECOND);
    directory_update(d, 0, &new, 2 * SECOND);
    CU_ASSERT_FALSE(endpoint_available(directory_find(d, "old"), 3 * SECOND));
    CU_ASSERT(endpoint_available(directory_find(d, "new"), 3 * SECOND));
    endpoint_record_outcome(directory_find(d, "old"), ENDPOINT_MISDIRECTED,
                            9 * SECOND);
    CU_ASSERT_FALSE(endpoint_available(directory_find(d, "old"), 30 * SECOND));
    directory_destroy(d);
}

/* ---- endpoints that restart ---- */

/* A lease of one incarnation of "e". */
static endpoint_lease_t
lease_of_incarnation(gint64 started_ms, guint64 sequence, lease_state_t state)
{
    endpoint_lease_t lease = lease_of("e", sequence, state);
    lease.started_ms = started_ms;
    return lease;
}

typedef struct {
    const char *name;
    struct {
        gint64 started_ms;
        guint64 sequence;
        lease_state_t state;
        registry_result_t result;
    } renewals[4];
    guint count;
    gint64 started_ms; /* of the final lease */
    lease_state_t state;
} incarnation_case_t;

static const incarnation_case_t INCARNATION_CASES[] = {
    {"a new incarnation numbers its renewals anew",
     {{100, 50, LEASE_READY, REGISTRY_ACCEPTED},
      {200, 1, LEASE_READY, REGISTRY_ACCEPTED},
      {200, 2, LEASE_READY, REGISTRY_ACCEPTED}},
     3,
     200,
     LEASE_READY},
    {"late renewal of the previous incarnation",
     {{100, 50, LEASE_READY, REGISTRY_ACCEPTED},
      {200, 1, LEASE_READY, REGISTRY_ACCEPTED},
      {100, 51, LEASE_DRAINING, REGISTRY_OLD_INCARNATION}},
     3,
     200,
     LEASE_READY},
    {"previous incarnation drained",
     {{100, 50, LEASE_DRAINING, REGISTRY_ACCEPTED},
      {200, 1, LEASE_READY, REGISTRY_ACCEPTED}},
     2,
     200,
     LEASE_READY},
    {"previous incarnation left",
     {{100, 50, LEASE_READY, REGISTRY_ACCEPTED},
      {100, 0, LEASE_LEFT, REGISTRY_ACCEPTED},
      {100, 51, LEASE_READY, REGISTRY_LEFT},
      {200, 1, LEASE_READY, REGISTRY_ACCEPTED}},
     4,
     200,
     LEASE_READY},
    {"late departure of the previous incarnation",
     {{100, 50, LEASE_READY, REGISTRY_ACCEPTED},
      {200, 1, LEASE_READY, REGISTRY_ACCEPTED},
      {100, 0, LEASE_LEFT, REGISTRY_ACCEPTED}},
     3,
     200,
     LEASE_READY},
    {"a renewal without an incarnation changes nothing",
     {{100, 50, LEASE_READY, REGISTRY_ACCEPTED},
      {0, 51, LEASE_DRAINING, REGISTRY_OLD_INCARNATION}},
     2,
     100,
     LEASE_READY},
};

static void
test_registry_incarnations(void)
{
    for (gsize i = 0; i < G_N_ELEMENTS(INCARNATION_CASES); i++) {
        const incarnation_case_t *c = &INCARNATION_CASES[i];
        registry_t *r = registry_create(SECOND);
        for (guint j = 0; j < c->count; j++) {
            endpoint_lease_t lease = lease_of_incarnation(
                c->renewals[j].started_ms, c->renewals[j].sequence,
                c->renewals[j].state);
            if (lease.state == LEASE_LEFT) {
                registry_leave(r, "e", lease.started_ms, 1, SECOND);
                continue;
            }
            CU_ASSERT_EQUAL(registry_renew(r, &lease, SECOND),
                            c->renewals[j].result);
        }
        guint64 through;
        GPtrArray *all = registry_changes_since(r, 0, G_MAXUINT, &through);
        CU_ASSERT_EQUAL_FATAL(all->len, 1);
        const endpoint_lease_t *lease = all->pdata[0];
        if (lease->started_ms != c->started_ms || lease->state != c->state) {
            printf("%s\n", c->name);
        }
        CU_ASSERT_EQUAL(lease->started_ms, c->started_ms);
        CU_ASSERT_EQUAL(lease->state, c->state);
        g_ptr_array_unref(all);
        registry_destroy(r);
    }
}

/* An endpoint leaves at an instance that does not know it: all its
 * incarnations until then have left, but a later one has not. */
static void
test_unknown_leaves(void)
{
    registry_t *r = registry_create(SECOND);
    endpoint_lease_t before = lease_of_incarnation(100, 50, LEASE_READY);
    endpoint_lease_t after = lease_of_incarnation(300, 1, LEASE_READY);
    registry_leave(r, "e", 0, 200, SECOND);
    CU_ASSERT_EQUAL(registry_renew(r, &before, SECOND),
                    REGISTRY_OLD_INCARNATION);
    CU_ASSERT_EQUAL(registry_renew(r, &after, SECOND), REGISTRY_ACCEPTED);
    registry_destroy(r);
}

/* A new incarnation keeps no state of the previous one, and late reports about
 * the previous one do not change it. */
static void
test_directory_incarnations(void)
{
    directory_t *d = directory_create(drop_nothing);
    endpoint_lease_t first = lease_of_incarnation(100, 50, LEASE_READY);
    endpoint_lease_t second = lease_of_incarnation(200, 1, LEASE_READY);
    endpoint_lease_t late = lease_of_incarnation(100, 51, LEASE_DRAINING);
    endpoint_lease_t left = lease_of_incarnation(100, 0, LEASE_LEFT);
    second.address = "10.0.0.2:80";
    directory_update(d, 0, &first, SECOND);
    endpoint_t *before = directory_find(d, "e");
    directory_record_part(d, before, 77);
    endpoint_record_outcome(before, ENDPOINT_UNREACHABLE, SECOND);
    endpoint_add_request(before, 5000, 5000);
    directory_update(d, 1, &second, SECOND);
    endpoint_t *after = directory_find(d, "e");
    CU_ASSERT(after != before);
    CU_ASSERT_STRING_EQUAL(after->address, "10.0.0.2:80");
    CU_ASSERT(endpoint_available(after, SECOND));
    CU_ASSERT_FALSE(endpoint_has_part(after, 77));
    CU_ASSERT_EQUAL(after->running, 0);
    CU_ASSERT_EQUAL(directory_service(d, "s")->len, 1);
    directory_update(d, 0, &late, SECOND);
    directory_update(d, 2, &left, SECOND);
    CU_ASSERT(endpoint_usable(directory_find(d, "e"), SECOND));
    CU_ASSERT_FALSE(directory_find(d, "e")->draining);
    directory_sweep(d, SECOND);
    endpoint_remove_request(before, 5000); /* its last request ends */
    directory_sweep(d, SECOND);
    CU_ASSERT_EQUAL(directory_count(d), 1);
    left.started_ms = 200;
    directory_update(d, 2, &left, SECOND);
    directory_update(d, 1, &second, SECOND);
    CU_ASSERT_EQUAL(directory_service(d, "s")->len, 0);
    directory_destroy(d);
}

/* Of two endpoints with one address, the later incarnation has it, in whatever
 * order they are reported. */
static void
test_address_by_incarnation(void)
{
    for (int order = 0; order < 2; order++) {
        directory_t *d = directory_create(drop_nothing);
        endpoint_lease_t old = lease_of("old", 9, LEASE_READY);
        endpoint_lease_t new = lease_of("new", 1, LEASE_READY);
        old.started_ms = 100;
        new.started_ms = 200;
        directory_update(d, 0, order == 0 ? &old : &new, SECOND);
        directory_update(d, 0, order == 0 ? &new : &old, SECOND);
        CU_ASSERT_FALSE(endpoint_available(directory_find(d, "old"), SECOND));
        CU_ASSERT(endpoint_available(directory_find(d, "new"), SECOND));
        directory_destroy(d);
    }
}

/* ---- state of an incarnation ---- */

typedef struct {
    const char *name;
    lease_state_t last;  /* last state that the incarnation reported */
    gint64 next_ms;      /* start time of the next incarnation; 0: none */
    const char *next_id; /* id of the next incarnation */
    const char *next_address;
    incarnation_state_t state;
} start_state_case_t;

static const start_state_case_t START_STATE_CASES[] = {
    {"ready", LEASE_READY, 0, "", "", INCARNATION_CURRENT},
    {"expired", LEASE_EXPIRED, 0, "", "", INCARNATION_CURRENT},
    {"drains", LEASE_DRAINING, 0, "", "", INCARNATION_LEAVING},
    {"left", LEASE_LEFT, 0, "", "", INCARNATION_LEAVING},
    {"new incarnation", LEASE_READY, 200, "e", "10.0.0.2:80",
     INCARNATION_REPLACED},
    {"a later incarnation has its address", LEASE_READY, 200, "f",
     "10.0.0.1:80", INCARNATION_REPLACED},
    {"another endpoint at another address", LEASE_READY, 200, "f",
     "10.0.0.2:80", INCARNATION_CURRENT},
    {"left, and its address was used again", LEASE_LEFT, 200, "f",
     "10.0.0.1:80", INCARNATION_LEAVING},
};

static void
test_start_state(void)
{
    for (gsize i = 0; i < G_N_ELEMENTS(START_STATE_CASES); i++) {
        const start_state_case_t *c = &START_STATE_CASES[i];
        directory_t *d = directory_create(drop_nothing);
        endpoint_lease_t first = lease_of_incarnation(100, 50, LEASE_READY);
        endpoint_lease_t last = lease_of_incarnation(100, 51, c->last);
        directory_update(d, 0, &first, SECOND);
        directory_update(d, 0, &last, SECOND);
        if (c->next_ms != 0) {
            endpoint_lease_t next =
                lease_of_incarnation(c->next_ms, 1, LEASE_READY);
            next.id = (char *)c->next_id;
            next.address = (char *)c->next_address;
            directory_update(d, 1, &next, SECOND);
        }
        incarnation_state_t state =
            directory_incarnation_state(d, "e", 100, "10.0.0.1:80");
        if (state != c->state) {
            printf("%s: state %d\n", c->name, state);
        }
        CU_ASSERT_EQUAL(state, c->state);
        directory_destroy(d);
    }
}

/* A late answer of an endpoint that has left names a limit. The endpoint must
 * not be listed among those with a limit: the list would keep a pointer to it
 * after it is freed. */
static void
test_limit_of_departed(void)
{
    directory_t *d = directory_create(drop_nothing);
    endpoint_lease_t lease = lease_of("e", 1, LEASE_READY);
    directory_update(d, 0, &lease, SECOND);
    endpoint_t *e = directory_find(d, "e");
    directory_add_request(d, e, 0, 0);
    lease = lease_of("e", 2, LEASE_LEFT);
    directory_update(d, 0, &lease, SECOND);
    endpoint_limit_record_rate(directory_limit(d, e), 2, SECOND, SECOND);
    CU_ASSERT_EQUAL(directory_limits(d)->len, 0);
    directory_remove_request(d, e, 0);
    directory_sweep(d, SECOND);
    CU_ASSERT_EQUAL(directory_limits(d)->len, 0);
    directory_destroy(d);
}

/* A limit that is reported before its endpoint is known applies once the
 * endpoint is known, and only to that incarnation. */
static void
test_early_limit(void)
{
    directory_t *d = directory_create(drop_nothing);
    endpoint_lease_t lease = lease_of("e", 1, LEASE_READY);
    lease.started_ms = 5;
    limit_change_t change;
    limit_state_t state = {
        .endpoint = hash_pair(hash_text(STR("e")), 5),
        .limited = TRUE,
        .rate = 2,
    };
    CU_ASSERT_PTR_NULL(directory_apply_limit(d, &state, &change, SECOND));
    directory_update(d, 0, &lease, SECOND);
    const endpoint_t *e = directory_find(d, "e");
    CU_ASSERT(e->limit != NULL && e->limit->limited);
    lease.started_ms = 6;
    directory_update(d, 0, &lease, SECOND);
    e = directory_find(d, "e");
    CU_ASSERT_PTR_NULL(e->limit);
    CU_ASSERT_EQUAL(directory_limits(d)->len, 0);
    directory_destroy(d);
}

/* Guards against a limit reported before its endpoint that is applied with the
 * time of another clock, which a suspended machine has apart. */
static void
test_early_limit_clock(void)
{
    enum { SUSPENDED_S = 1000 };
    directory_t *d = directory_create(drop_nothing);
    endpoint_lease_t lease = lease_of("e", 1, LEASE_READY);
    gint64 boot_us = SECOND * (gint64)SUSPENDED_S;
    limit_change_t change;
    limit_state_t state = {
        .endpoint = hash_text(STR("e")), .limited = TRUE, .rate = 2};
    directory_apply_limit(d, &state, &change, boot_us);
    directory_update(d, 0, &lease, SECOND);
    const endpoint_t *e = directory_find(d, "e");
    CU_ASSERT_PTR_NOT_NULL_FATAL(e->limit);
    CU_ASSERT_EQUAL(e->limit->owner_rate_us, boot_us);
    directory_destroy(d);
}

static const test_case_t CASES[] = {
    {"heartbeats of other writers name no endpoint", test_heartbeats},
    {"a heartbeat is read as written", test_heartbeat_values},
    {"bytes that are no heartbeat", test_heartbeat_bytes},
    {"the answer to a renewal", test_heartbeat_answer},
    {"leases by sequence, expiry and departure", test_registry},
    {"a departure learned from another control instance",
     test_learned_departures},
    {"leases of several control instances are merged", test_merge},
    {"a control instance that restarts", test_forget},
    {"an address used again", test_address_taken},
    {"leases by incarnation", test_registry_incarnations},
    {"an unknown endpoint leaves", test_unknown_leaves},
    {"a new incarnation starts without state", test_directory_incarnations},
    {"an address goes to the later incarnation", test_address_by_incarnation},
    {"state of an incarnation", test_start_state},
    {"a limit of an endpoint that left", test_limit_of_departed},
    {"a limit reported before its endpoint", test_early_limit},
    {"a limit reported before its endpoint has the time of limits",
     test_early_limit_clock},
};

CHECK_MAIN("endpoints", CASES)
