/* Tests every parser of external input on cases and on seeded mutations of
 * valid input. Invalid input must be refused with its position, or parsed, and
 * must never crash the parser; run it with the sanitizers. */
#include <glib/gstdio.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include "carobloom/common/fields.h"
#include "carobloom/common/jsonc.h"
#include "carobloom/gateway/departure_wire.h"
#include "carobloom/gateway/leaving_wire.h"
#include "carobloom/gateway/limit_wire.h"
#include "carobloom/gateway/repeat_wire.h"
#include "carobloom/gateway/slot_wire.h"
#include "carobloom/http/tunnel.h"
#include "carobloom/policy/membership.h"
#include "carobloom/policy/sse.h"
#include "carobloom/policy/voter_codec.h"
#include "carobloom/process/log_store.h"
#include "carobloom/process/settings.h"
#include "carobloom/process/wire.h"
#include "carobloom/version/document.h"
#include "carobloom/version/site_state.h"
#include "check.h"

enum { MUTATIONS = 4000 };

static char *
sample_load(const char *name)
{
    char *path = g_strdup_printf("%s/samples/%s", SOURCE_ROOT, name);
    char *text = NULL;
    g_file_get_contents(path, &text, NULL, NULL);
    g_free(path);
    return text;
}

typedef void (*parser_t)(GBytes *bytes);

static void
parse_mutations(GBytes *good, parser_t parse, guint seed)
{
    GRand *rand = g_rand_new_with_seed(seed);
    gsize length;
    const guint8 *raw = g_bytes_get_data(good, &length);
    for (int i = 0; i < MUTATIONS; i++) {
        guint8 *copy = g_memdup2(raw, length);
        for (int k = g_rand_int_range(rand, 0, 6); k > 0; k--) {
            copy[g_rand_int_range(rand, 0, (gint)length)] =
                (guint8)g_rand_int(rand);
        }
        gsize cut = g_rand_boolean(rand)
                        ? length
                        : (gsize)g_rand_int_range(rand, 0, (gint)length + 1);
        GBytes *bytes = g_bytes_new_take(copy, cut);
        parse(bytes);
        g_bytes_unref(bytes);
    }
    g_rand_free(rand);
}

static str_t
bytes_view(GBytes *bytes)
{
    gsize length;
    const char *data = g_bytes_get_data(bytes, &length);
    return (str_t){.data = data ? data : "", .length = length};
}

static void
parse_document(GBytes *bytes)
{
    GPtrArray *faults = faults_create();
    document_t *d = document_parse(bytes_view(bytes), 1, faults);
    CU_ASSERT((d != NULL) == (faults->len == 0));
    for (guint i = 0; i < faults->len; i++) {
        CU_ASSERT(jsonc_line(bytes_view(bytes),
                             ((fault_t *)faults->pdata[i])->path) >= 1);
    }
    document_unref(d);
    faults_destroy(faults);
}

static void
parse_settings(GBytes *bytes)
{
    GPtrArray *faults = faults_create();
    settings_t *s = NULL;
    if (settings_parse(bytes_view(bytes), &s, faults) == SETTINGS_OK) {
        settings_destroy(s);
    }
    else {
        CU_ASSERT(faults->len > 0);
    }
    faults_destroy(faults);
}

static int
ignore_event(str_t data, str_t raw, void *user)
{
    (void)data;
    (void)raw;
    (void)user;
    return 0;
}

static void
parse_events(GBytes *bytes)
{
    sse_t sse;
    sse_init(&sse);
    sse_feed(&sse, bytes_view(bytes), ignore_event, NULL);
    sse_clear(&sse);
}

static void
parse_wire(GBytes *bytes)
{
    wire_ticket_t ticket;
    wire_settle_t settle;
    wire_decision_t decision;
    endpoint_info_t info;
    wire_call_t call;
    wire_reply_t reply;
    wire_found_t found;
    wire_ticket_read(bytes, &ticket);
    wire_settle_read(bytes, &settle);
    wire_decision_read(bytes, &decision);
    g_free(decision.address);
    g_free(decision.protocol);
    wire_endpoint_read(bytes, &info);
    endpoint_info_clear(&info);
    wire_call_read(bytes, &call);
    wire_call_clear(&call);
    wire_reply_read(bytes, &reply);
    wire_reply_clear(&reply);
    wire_found_read(bytes, &found);
    wire_found_clear(&found);
    GArray *loads = wire_loads_read(bytes);
    g_clear_pointer(&loads, g_array_unref);
    GArray *steps = wire_steps_read(bytes);
    g_clear_pointer(&steps, g_array_unref);
}

static void
parse_command(GBytes *bytes)
{
    site_state_t *state = site_state_create();
    site_result_t result;
    site_state_apply(state, 1, bytes, &result);
    site_state_restore(state, bytes);
    site_state_destroy(state);
}

static void
parse_gossip(GBytes *bytes)
{
    member_record_t self = {.id = 1, .name = "a"};
    membership_settings_t settings = {
        .period_us = 1, .suspicion_us = 1, .dead_expiry_us = 1, .seed = 1};
    membership_t *m = membership_create(&self, &settings, 0);
    membership_receive(m, bytes, 1);
    membership_tick(m, 2);
    membership_destroy(m);
}

static void
parse_text_mutations(const char *text, parser_t parse, guint seed)
{
    GBytes *bytes = g_bytes_new(text, strlen(text));
    parse_mutations(bytes, parse, seed);
    g_bytes_unref(bytes);
}

static void
test_mutations(void)
{
    char *site = sample_load("site.jsonc");
    char *settings = sample_load("settings.jsonc");
    parse_text_mutations(site, parse_document, 1);
    parse_text_mutations(settings, parse_settings, 2);
    parse_text_mutations(
        "event: x\r\ndata: {\"id\":\"a\"}\n\ndata: b\ndata: c\n\n",
        parse_events, 3);
    g_free(site);
    g_free(settings);
    wire_ticket_t ticket = {.ticket = {.id = 5, .team_weight = 1}};
    wire_reply_t reply = {.call = 3, .text = (char *)"x"};
    endpoint_info_t info = {.address = (char *)"127.0.0.1:1",
                            .serves = (char *)"m",
                            .kind = (char *)"model",
                            .protocol = (char *)"openai"};
    GBytes *all[] = {wire_ticket_write(&ticket), wire_reply_write(&reply),
                     wire_endpoint_write(&info),
                     site_claim_write(1, "team", "key", 2, 3, 4)};
    for (guint i = 0; i < G_N_ELEMENTS(all); i++) {
        parse_mutations(all[i], parse_wire, 10 + i);
        parse_mutations(all[i], parse_command, 20 + i);
        parse_mutations(all[i], parse_gossip, 30 + i);
        g_bytes_unref(all[i]);
    }
}

static void
parse_leaving(GBytes *bytes)
{
    GArray *incarnations = leaving_report_read(bytes);
    g_clear_pointer(&incarnations, g_array_unref);
}

/* Reports of endpoints that leave: a written report is read back, one with too
 * many endpoints is malformed. */
static void
test_leaving_reports(void)
{
    GArray *incarnations = incarnations_create();
    incarnations_add(incarnations, "endpoint-1", 7);
    GBytes *written = leaving_report_write(incarnations);
    GArray *read = leaving_report_read(written);
    CU_ASSERT_FATAL(read != NULL && read->len == 1);
    const incarnation_t *first = &g_array_index(read, incarnation_t, 0);
    CU_ASSERT_STRING_EQUAL(first->endpoint, "endpoint-1");
    CU_ASSERT_EQUAL(first->started_ms, 7);
    g_array_unref(read);
    parse_mutations(written, parse_leaving, 43);
    g_bytes_unref(written);
    for (guint i = 0; i < LEAVING_REPORT_MAX; i++) {
        incarnations_add(incarnations, "another", i);
    }
    written = leaving_report_write(incarnations);
    CU_ASSERT_PTR_NULL(leaving_report_read(written));
    g_bytes_unref(written);
    g_array_unref(incarnations);
}

static void
parse_departures(GBytes *bytes)
{
    departures_t message;
    if (departures_read(bytes, &message)) {
        departures_clear(&message);
    }
}

/* Departures between control instances: a written message is read back, one
 * with a lease that does not depart is malformed. */
static void
test_departure_messages(void)
{
    static const lease_state_t STATES[] = {LEASE_READY, LEASE_DRAINING,
                                           LEASE_LEFT, LEASE_EXPIRED};
    for (gsize i = 0; i < G_N_ELEMENTS(STATES); i++) {
        endpoint_lease_t lease = {.id = (char *)"e",
                                  .service = (char *)"a",
                                  .address = (char *)"127.0.0.1:1",
                                  .started_ms = 7,
                                  .state = STATES[i]};
        departures_t message = {.from = (char *)"127.0.0.1:2",
                                .epoch = 3,
                                .leases = g_ptr_array_new()};
        g_ptr_array_add(message.leases, &lease);
        GBytes *written = departures_write(&message);
        departures_t read;
        gboolean departs =
            STATES[i] == LEASE_DRAINING || STATES[i] == LEASE_LEFT;
        CU_ASSERT_EQUAL(departures_read(written, &read), departs);
        if (departs) {
            const endpoint_lease_t *first = read.leases->pdata[0];
            CU_ASSERT_STRING_EQUAL(read.from, message.from);
            CU_ASSERT_EQUAL(read.epoch, 3);
            CU_ASSERT_STRING_EQUAL(first->id, "e");
            CU_ASSERT_EQUAL(first->started_ms, 7);
            CU_ASSERT_EQUAL(first->state, STATES[i]);
            departures_clear(&read);
        }
        parse_mutations(written, parse_departures, 44);
        g_bytes_unref(written);
        g_ptr_array_unref(message.leases);
    }
}

static void
parse_limits(GBytes *bytes)
{
    limit_report_t report;
    limit_answer_t answer;
    if (limit_report_read(bytes, &report)) {
        limit_report_clear(&report);
    }
    if (limit_answer_read(bytes, &answer)) {
        limit_answer_clear(&answer);
    }
}

/* Messages of instances about limits: a written report is read back, and a
 * rate that is negative, not finite or too high is refused. */
static void
test_limit_messages(void)
{
    limit_request_t request = {
        .endpoint = 7, .limited = TRUE, .rate = 2.5, .outstanding = 3};
    limit_grant_t grant = {.state = {7, TRUE, 2.5}, .granted = 4};
    limit_report_t report = {.from = (char *)"entry-1", .sequence = 9};
    limit_answer_t answer = {.report_interval_ms = 100};
    limit_report_t read;
    report.requests = g_array_new(FALSE, FALSE, sizeof(request));
    g_array_append_val(report.requests, request);
    answer.grants = g_array_new(FALSE, FALSE, sizeof(grant));
    g_array_append_val(answer.grants, grant);
    GBytes *written = limit_report_write(&report);
    CU_ASSERT_FATAL(limit_report_read(written, &read));
    CU_ASSERT_EQUAL(read.sequence, 9);
    CU_ASSERT_EQUAL(
        g_array_index(read.requests, limit_request_t, 0).outstanding, 3);
    limit_report_clear(&read);
    parse_mutations(written, parse_limits, 41);
    g_bytes_unref(written);
    written = limit_answer_write(&answer);
    parse_mutations(written, parse_limits, 42);
    g_bytes_unref(written);
    static const double RATES[] = {-1, NAN, INFINITY, 1e300};
    for (gsize i = 0; i < G_N_ELEMENTS(RATES); i++) {
        g_array_index(report.requests, limit_request_t, 0).rate = RATES[i];
        written = limit_report_write(&report);
        CU_ASSERT_FALSE(limit_report_read(written, &read));
        g_bytes_unref(written);
    }
    g_array_unref(report.requests);
    g_array_unref(answer.grants);
}

static void
parse_repeats(GBytes *bytes)
{
    repeat_report_t report;
    repeat_answer_t answer;
    if (repeat_report_read(bytes, &report)) {
        repeat_report_clear(&report);
    }
    if (repeat_answer_read(bytes, &answer)) {
        repeat_answer_clear(&answer);
    }
}

/* Messages of instances about repeats are read back as written, with and
 * without a history; a count of instances beyond the bound is refused. */
static void
test_repeat_messages(void)
{
    repeat_item_t items[2] = {
        {.request = {.service = 7,
                     .firsts = 10,
                     .oldest_first_ms = 90,
                     .newest_first_ms = 20,
                     .own_spent = 1,
                     .granted_spent = 2,
                     .spent_age_ms = 30,
                     .held = 3,
                     .wanted = 4}},
        {.request = {.service = 8}, .has_history = TRUE},
    };
    items[1].history[REPEAT_HISTORY_MAX - 1] =
        (repeat_slot_t){.firsts = 5, .spent = 6};
    repeat_grant_t grant = {.service = 7,
                            .granted = 1,
                            .keep = 2,
                            .spent = 3,
                            .allowed = 4,
                            .brittle = 6.5};
    repeat_report_t report = {.from = (char *)"entry-1",
                              .incarnation = 2,
                              .sequence = 9,
                              .epoch = 3,
                              .age_ms = 4000,
                              .instances = 6};
    repeat_answer_t answer = {.epoch = 3, .pace = repeat_pace(6)};
    repeat_report_t read;
    repeat_answer_t read_answer;
    report.items = g_array_new(FALSE, FALSE, sizeof(repeat_item_t));
    g_array_append_vals(report.items, items, G_N_ELEMENTS(items));
    answer.grants = g_array_new(FALSE, FALSE, sizeof(grant));
    g_array_append_val(answer.grants, grant);
    GBytes *written = repeat_report_write(&report);
    CU_ASSERT_FATAL(repeat_report_read(written, &read));
    CU_ASSERT_STRING_EQUAL(read.from, "entry-1");
    CU_ASSERT(read.incarnation == 2 && read.sequence == 9 && read.epoch == 3);
    CU_ASSERT(read.age_ms == 4000 && read.instances == 6);
    CU_ASSERT_EQUAL_FATAL(read.items->len, 2);
    const repeat_item_t *first = &g_array_index(read.items, repeat_item_t, 0);
    const repeat_item_t *second = &g_array_index(read.items, repeat_item_t, 1);
    CU_ASSERT(memcmp(&first->request, &items[0].request,
                     sizeof(first->request)) == 0);
    CU_ASSERT(!first->has_history && second->has_history);
    CU_ASSERT(memcmp(second->history, items[1].history,
                     sizeof(second->history)) == 0);
    repeat_report_clear(&read);
    parse_mutations(written, parse_repeats, 51);
    g_bytes_unref(written);
    written = repeat_answer_write(&answer);
    CU_ASSERT_FATAL(repeat_answer_read(written, &read_answer));
    CU_ASSERT_EQUAL_FATAL(read_answer.grants->len, 1);
    const repeat_grant_t *g =
        &g_array_index(read_answer.grants, repeat_grant_t, 0);
    CU_ASSERT(g->service == 7 && g->granted == 1 && g->keep == 2);
    CU_ASSERT(g->spent == 3 && g->allowed == 4 && g->brittle == 6.5);
    CU_ASSERT(memcmp(&read_answer.pace, &answer.pace, sizeof(answer.pace)) ==
              0);
    repeat_answer_clear(&read_answer);
    parse_mutations(written, parse_repeats, 52);
    g_bytes_unref(written);
    report.instances = REPEAT_INSTANCES_MAX + 1;
    written = repeat_report_write(&report);
    CU_ASSERT_FALSE(repeat_report_read(written, &read));
    g_bytes_unref(written);
    g_array_unref(report.items);
    g_array_unref(answer.grants);
}

static void
parse_slot_message(GBytes *bytes)
{
    slot_message_t read;
    if (slot_message_read(bytes, &read)) {
        slot_message_clear(&read);
    }
}

static void
parse_slot_answer(GBytes *bytes)
{
    slot_answer_t read;
    if (slot_answer_read(bytes, &read)) {
        slot_answer_clear(&read);
    }
}

/* Whether a message with this holding, want and mark is accepted. */
static gboolean
accepts_slots(slot_holding_t holding, slot_want_t want, slot_mark_t mark)
{
    slot_message_t read;
    slot_message_t message = {
        .from = (char *)"entry-1", .incarnation = 2, .instances = 6};
    slot_report_init(&message.report);
    g_array_append_val(message.report.holdings, holding);
    g_array_append_val(message.report.wants, want);
    g_array_append_val(message.report.marks, mark);
    GBytes *written = slot_message_write(&message);
    gboolean accepted = slot_message_read(written, &read);
    if (accepted) {
        const slot_holding_t *h =
            &g_array_index(read.report.holdings, slot_holding_t, 0);
        const slot_want_t *w =
            &g_array_index(read.report.wants, slot_want_t, 0);
        CU_ASSERT(h->endpoint == holding.endpoint && h->held == holding.held);
        CU_ASSERT(h->refused == holding.refused &&
                  h->is_avoided == holding.is_avoided);
        CU_ASSERT(w->rank == want.rank && w->age_ms == want.age_ms);
        slot_message_clear(&read);
    }
    parse_mutations(written, parse_slot_message, 53);
    g_bytes_unref(written);
    slot_report_clear(&message.report);
    return accepted;
}

/* Messages about slots are read back as written; values out of bounds are
 * refused. */
static void
test_slot_messages(void)
{
    slot_holding_t h = {.endpoint = 1,
                        .service = 2,
                        .slots = 8,
                        .held = 3,
                        .refused = 1,
                        .is_avoided = TRUE};
    slot_want_t w = {
        .endpoint = 1, .service = 2, .slots = 8, .rank = 9, .age_ms = 40};
    slot_mark_t m = {.service = 2, .refusals_per_s = 6};
    CU_ASSERT(accepts_slots(h, w, m));
    w.rank = SLOT_RANKS;
    CU_ASSERT_FALSE(accepts_slots(h, w, m));
    w.rank = 0;
    m.refusals_per_s = -1;
    CU_ASSERT_FALSE(accepts_slots(h, w, m));
    m.refusals_per_s = (double)INFINITY;
    CU_ASSERT_FALSE(accepts_slots(h, w, m));
    m.refusals_per_s = 0;
    h.held = SLOT_ITEMS_MAX + 1;
    CU_ASSERT_FALSE(accepts_slots(h, w, m));

    slot_answer_t answer = {
        .epoch = 3, .is_used = TRUE, .pace = slot_pace(6, 6)};
    slot_answer_t read;
    slot_grant_t grant = {.endpoint = 1, .count = 2};
    slot_scarcity_t scarce = {.service = 2, .rank = 3};
    slot_news_init(&answer.news);
    answer.news.batch = 7;
    g_array_append_val(answer.news.grants, grant);
    g_array_append_val(answer.news.scarce, scarce);
    g_array_append_val(answer.news.marks, m);
    GBytes *written = slot_answer_write(&answer);
    CU_ASSERT_FATAL(slot_answer_read(written, &read));
    CU_ASSERT(read.epoch == 3 && read.is_used && read.news.batch == 7);
    const slot_grant_t *g = &g_array_index(read.news.grants, slot_grant_t, 0);
    CU_ASSERT(g->endpoint == 1 && g->count == 2);
    const slot_scarcity_t *s =
        &g_array_index(read.news.scarce, slot_scarcity_t, 0);
    CU_ASSERT(s->service == 2 && s->rank == 3);
    CU_ASSERT_EQUAL(read.news.marks->len, 1);
    slot_answer_clear(&read);
    parse_mutations(written, parse_slot_answer, 54);
    g_bytes_unref(written);
    slot_answer_clear(&answer);
}

static void
test_settings_faults(void)
{
    static const struct {
        const char *text;
        const char *expected; /* must occur in the text of a fault */
    } cases[] = {
        {"{", "line 1"},
        {"{\n\"instance\": \"a\",\n\"instance\": \"b\"}", "line 3"},
        {"{\n\"oops\": 1}", "line 2: oops: unknown key"},
        {"{\n\n\"instance\": 7}", "line 3: instance: must be a string"},
        {"{\"http_threads\":\n 99}", "line 2: http_threads: must be 1 to 64"},
        {"{\"callers\": {\n\"address\": \"localhost:1\"}}",
         "line 2: callers.address: must be IP:PORT"},
        {"{\"callers\": {\"address\": \"10.0.0.1:1\"}}",
         "needs certificate and key"},
        {"{\"voters\": [\"a\", \"b\"]}", "odd number"},
        {"{\"platform\": {\"port\": 1}}", "platform.port: unknown key"},
        {"{\"http_threads\": 1e400}", "line 1"},
    };
    for (gsize i = 0; i < G_N_ELEMENTS(cases); i++) {
        GPtrArray *faults = faults_create();
        settings_t *s = NULL;
        int result = settings_parse(str_from_cstr(cases[i].text), &s, faults);
        CU_ASSERT_EQUAL(result, SETTINGS_ERROR_FAULTS);
        gboolean found = FALSE;
        for (guint k = 0; k < faults->len; k++) {
            found |= strstr(((fault_t *)faults->pdata[k])->text,
                            cases[i].expected) != NULL;
        }
        if (!found) {
            printf("case %zu: no fault contains: %s\n", i, cases[i].expected);
        }
        CU_ASSERT(found);
        faults_destroy(faults);
    }
}

/* ---- the voter's store on disk ---- */

static char *
folder_create(void)
{
    return g_dir_make_tmp("carobloom-store-XXXXXX", NULL);
}

static void
folder_remove(char *folder)
{
    static const char *const files[] = {"identity",    "hard",    "log",
                                        "snapshot",    "log.new", "hard.new",
                                        "snapshot.new"};
    for (guint i = 0; i < G_N_ELEMENTS(files); i++) {
        char *path = g_build_filename(folder, files[i], NULL);
        g_unlink(path);
        g_free(path);
    }
    g_rmdir(folder);
    g_free(folder);
}

static void
log_append_entry(replica_log_t *log, guint64 index)
{
    char text[32];
    g_snprintf(text, sizeof(text), "entry %lu", (unsigned long)index);
    GBytes *data = g_bytes_new(text, strlen(text));
    log_entry_t entry = {
        .index = index, .term = 1, .kind = ENTRY_COMMAND, .data = data};
    replica_log_append(log, &entry);
    g_bytes_unref(data);
}

/* Writes `entries` entries, each in a frame of its own. Returns the size of
 * the log in bytes. */
static guint64
store_write(const char *folder, guint64 entries)
{
    log_store_t *store;
    store_state_t state;
    char *why = NULL;
    CU_ASSERT_EQUAL_FATAL(log_store_open(folder, &store, &state, &why),
                          STORE_OK);
    store_state_clear(&state);
    replica_log_t log;
    replica_log_init(&log);
    for (guint64 i = 1; i <= entries; i++) {
        log_append_entry(&log, i);
        CU_ASSERT_EQUAL(log_store_append(store, &log, i, &why), STORE_OK);
    }
    guint64 bytes = log_store_bytes(store);
    log_store_close(store);
    replica_log_clear(&log);
    return bytes;
}

static int
store_read(const char *folder, guint *entries, guint64 *cut, char **why)
{
    log_store_t *store;
    store_state_t state;
    int result = log_store_open(folder, &store, &state, why);
    if (result == STORE_OK) {
        *entries = state.entries->len;
        *cut = state.cut_bytes;
        store_state_clear(&state);
        log_store_close(store);
    }
    return result;
}

static void
test_torn_tail_is_cut(void)
{
    guint64 frame = 8;
    for (guint truncated = 1; truncated < frame; truncated += 7) {
        char *folder = folder_create();
        guint64 bytes = store_write(folder, 5);
        frame = bytes / 5; /* only the last frame is truncated */
        char *path = g_build_filename(folder, "log", NULL);
        CU_ASSERT_EQUAL(truncate(path, (off_t)(bytes - truncated)), 0);
        guint entries = 0;
        guint64 cut = 0;
        char *why = NULL;
        CU_ASSERT_EQUAL(store_read(folder, &entries, &cut, &why), STORE_OK);
        CU_ASSERT_EQUAL(entries, 4);
        CU_ASSERT(cut > 0);
        /* The log was repaired and opens without a cut. */
        CU_ASSERT_EQUAL(store_read(folder, &entries, &cut, &why), STORE_OK);
        CU_ASSERT_EQUAL(cut, 0);
        g_free(path);
        folder_remove(folder);
    }
}

static void
test_damaged_middle_is_refused(void)
{
    char *folder = folder_create();
    store_write(folder, 5);
    char *path = g_build_filename(folder, "log", NULL);
    FILE *file = fopen(path, "r+");
    fseek(file, 100, SEEK_SET);
    fputc('X', file);
    fclose(file);
    guint entries = 0;
    guint64 cut = 0;
    char *why = NULL;
    CU_ASSERT_EQUAL(store_read(folder, &entries, &cut, &why),
                    STORE_ERROR_DAMAGED);
    CU_ASSERT(why && strstr(why, "damaged at byte") != NULL);
    g_free(why);
    g_free(path);
    folder_remove(folder);
}

/* A limit on the file size simulates a full disk: an append must fail with an
 * error, and the entries that were acknowledged before must stay readable. */
static void
test_full_disk_is_reported(void)
{
    char *folder = folder_create();
    log_store_t *store;
    store_state_t state;
    char *why = NULL;
    CU_ASSERT_EQUAL_FATAL(log_store_open(folder, &store, &state, &why),
                          STORE_OK);
    store_state_clear(&state);
    replica_log_t log;
    replica_log_init(&log);
    struct rlimit before;
    getrlimit(RLIMIT_FSIZE, &before);
    struct rlimit small = {.rlim_cur = 2000, .rlim_max = before.rlim_max};
    signal(SIGXFSZ, SIG_IGN);
    setrlimit(RLIMIT_FSIZE, &small);
    int result = STORE_OK;
    guint64 written = 0;
    for (guint64 i = 1; i <= 200 && result == STORE_OK; i++) {
        log_append_entry(&log, i);
        result = log_store_append(store, &log, i, &why);
        written += result == STORE_OK;
    }
    setrlimit(RLIMIT_FSIZE, &before);
    CU_ASSERT_EQUAL(result, STORE_ERROR_WRITE);
    CU_ASSERT(why != NULL);
    g_clear_pointer(&why, g_free);
    log_store_close(store);
    /* The log has exactly the acknowledged entries. */
    guint entries = 0;
    guint64 cut = 0;
    CU_ASSERT_EQUAL(store_read(folder, &entries, &cut, &why), STORE_OK);
    CU_ASSERT_EQUAL(entries, written);
    replica_log_clear(&log);
    folder_remove(folder);
}

/* ---- versions of the document ---- */

static void
test_splices_rebuild_any_version(void)
{
    GRand *rand = g_rand_new_with_seed(4);
    site_state_t *state = site_state_create();
    GPtrArray *texts = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(texts, g_strdup(""));
    for (guint i = 1; i <= 40; i++) {
        GString *next = g_string_new(texts->pdata[i - 1]);
        gssize at = g_rand_int_range(rand, 0, (gint)next->len + 1);
        g_string_insert(next, at, "some words ");
        if (next->len > 30) {
            g_string_erase(next, 3, 9);
        }
        char *text = g_string_free(next, FALSE);
        splice_t s = splice_between(str_from_cstr(texts->pdata[i - 1]),
                                    str_from_cstr(text));
        char id[16];
        g_snprintf(id, sizeof(id), "c%u", i);
        GBytes *command = site_submit_write(i, id, i - 1, "a", "", &s);
        site_result_t result;
        CU_ASSERT(site_state_apply(state, i, command, &result));
        CU_ASSERT_EQUAL(result.outcome, SITE_OK);
        /* A repeated change returns the version that it got the first time. */
        site_state_apply(state, i, command, &result);
        CU_ASSERT_EQUAL(result.outcome, SITE_REPEATED);
        CU_ASSERT_EQUAL(result.version, i);
        g_bytes_unref(command);
        splice_clear(&s);
        g_ptr_array_add(texts, text);
    }
    for (guint i = 0; i <= 40; i++) {
        gsize length;
        char *text = site_state_text_at(state, i, &length);
        CU_ASSERT_STRING_EQUAL(text, (char *)texts->pdata[i]);
        g_free(text);
    }
    /* An instance without the base version submits the whole text. */
    splice_t whole = splice_between(STR(""), STR("all new"));
    whole.removed = SITE_WHOLE;
    GBytes *replace = site_submit_write(41, "c41", 40, "a", "", &whole);
    site_result_t replaced;
    site_state_apply(state, 41, replace, &replaced);
    CU_ASSERT_EQUAL(replaced.outcome, SITE_OK);
    CU_ASSERT(str_equal(site_state_text(state), STR("all new")));
    g_bytes_unref(replace);
    splice_clear(&whole);
    GBytes *snapshot = site_state_snapshot(state);
    site_state_t *copy = site_state_create();
    CU_ASSERT(site_state_restore(copy, snapshot));
    CU_ASSERT(str_equal(site_state_text(copy), site_state_text(state)));
    CU_ASSERT_PTR_NOT_NULL(site_state_find_change(copy, "c17"));
    g_bytes_unref(snapshot);
    site_state_destroy(copy);
    site_state_destroy(state);
    g_ptr_array_unref(texts);
    g_rand_free(rand);
}

/* Frames come in pieces of any size; bytes that are no frames are refused. */
static void
test_tunnel_frames(void)
{
    enum { ROUNDS = 500, BYTES = 4000 };
    GRand *rand = g_rand_new_with_seed(48);
    GByteArray *sent = g_byte_array_new();
    GByteArray *stream = g_byte_array_new();
    char data[BYTES];
    for (guint i = 0; i < 20; i++) {
        gsize length = (gsize)g_rand_int_range(rand, 0, BYTES);
        memset(data, (int)('a' + i), length);
        g_byte_array_append(sent, (guint8 *)data, (guint)length);
        tunnel_frame_write(stream, TUNNEL_REQUEST, STR("id"));
        tunnel_frame_write(stream, TUNNEL_DATA,
                           (str_t){.data = data, .length = length});
    }
    tunnel_frame_write(stream, TUNNEL_END, STR(""));
    for (guint i = 0; i < ROUNDS; i++) {
        tunnel_reader_t reader;
        GByteArray *got = g_byte_array_new();
        gboolean ended = FALSE;
        gboolean malformed = FALSE;
        gboolean damaged = i % 2 == 1;
        guint hit = (guint)g_rand_int_range(rand, 0, (gint)stream->len);
        guint8 *copy = g_memdup2(stream->data, stream->len);
        copy[hit] = damaged ? (guint8)g_rand_int(rand) : copy[hit];
        tunnel_reader_init(&reader);
        for (guint at = 0; at < stream->len && !malformed;) {
            guint length = (guint)g_rand_int_range(
                rand, 1, (gint)MIN(stream->len - at, BYTES) + 1);
            tunnel_piece_t piece;
            tunnel_reader_feed(
                &reader, (str_t){.data = (char *)copy + at, .length = length},
                &piece);
            g_byte_array_append(got, piece.data->data, piece.data->len);
            ended |= piece.ended;
            malformed = piece.malformed;
            tunnel_piece_clear(&piece);
            at += length;
        }
        if (!damaged) {
            CU_ASSERT(ended && !malformed && got->len == sent->len);
            CU_ASSERT(got->len == sent->len &&
                      memcmp(got->data, sent->data, sent->len) == 0);
        }
        tunnel_reader_clear(&reader);
        g_byte_array_unref(got);
        g_free(copy);
    }
    g_byte_array_unref(sent);
    g_byte_array_unref(stream);
    g_rand_free(rand);
}

static const test_case_t cases[] = {
    {"mutated input is refused or read", test_mutations},
    {"messages about limits", test_limit_messages},
    {"messages about repeats", test_repeat_messages},
    {"messages about slots", test_slot_messages},
    {"reports of endpoints that leave", test_leaving_reports},
    {"departures between control instances", test_departure_messages},
    {"frames of a tunnel", test_tunnel_frames},
    {"settings' faults have their place", test_settings_faults},
    {"a torn tail is cut", test_torn_tail_is_cut},
    {"a damaged middle is refused", test_damaged_middle_is_refused},
    {"a full disk is told", test_full_disk_is_reported},
    {"steps rebuild any version", test_splices_rebuild_any_version},
};

CHECK_MAIN("parsers", cases)
