/* Fingerprint of a request, and reports on its runs: whether endpoints crash
 * while they run it, or answer it. */
#include "carobloom/common/counters.h"
#include "carobloom/common/event_log.h"
#include "carobloom/policy/fingerprint.h"
#include "forward_state.h"

enum {
    MS = 1000,
    /* A request that crashes its endpoint does so as it begins to run, in
     * observed cases within 100 ms. A request that has been answered for five
     * times as long was most likely interrupted by the crash, and another
     * request caused it. */
    LONG_RUN_US = 500 * MS,
    /* A prompt part that was answered within this time is not reported as a
     * suspect. Short, since one that begins to crash endpoints, as they are
     * replaced, was answered just before. */
    PART_ANSWERED_US = 2000 * MS,
};

/* ---- fingerprint ---- */

guint64
forward_fingerprint(forward_t *f)
{
    if (f->fingerprint == 0) {
        const http_head_t *head = http_exchange_head(f->exchange);
        request_identity_t identity = {
            .caller = str_from_cstr(f->team != NULL ? f->team->name : ""),
            .method = str_from_cstr(head->method),
            .host = f->info.host,
            .target = http_head_target(head),
            .body = http_exchange_body(f->exchange),
        };
        f->fingerprint = request_fingerprint(&identity);
    }
    return f->fingerprint;
}

/* ---- prompt parts ---- */

static GArray *
list_part_ids(const forward_t *f)
{
    GArray *ids;
    if (f->info.part_count == PROMPT_PARTS_MAX) {
        return platform_request_part_ids(http_exchange_head(f->exchange));
    }
    ids = g_array_sized_new(FALSE, FALSE, sizeof(guint64), f->info.part_count);
    for (guint i = 0; i < f->info.part_count; i++) {
        g_array_append_val(ids, f->info.parts[i].id);
    }
    return ids;
}

/* Returns the parts that other requests may share, or NULL. */
static const GArray *
shared_parts(forward_t *f)
{
    if (f->shared_parts == NULL && f->info.part_count > 1) {
        f->shared_parts = list_part_ids(f);
        g_array_set_size(f->shared_parts, f->shared_parts->len - 1);
    }
    return f->shared_parts;
}

static guint64
shared_part_fingerprint(const forward_t *f, guint at)
{
    return part_fingerprint(str_from_cstr(f->service),
                            g_array_index(f->shared_parts, guint64, at));
}

/* Returns the parts that may have crashed the endpoint: those that were not
 * answered a moment ago. NULL if there are none; free it with g_array_unref.
 */
static GArray *
suspect_parts(forward_t *f)
{
    GArray *suspects = NULL;
    const GArray *parts = shared_parts(f);
    for (guint i = 0; parts != NULL && i < parts->len; i++) {
        if (run_history_is_answered_since(&f->entry->part_history,
                                          shared_part_fingerprint(f, i),
                                          forward_now(f) - PART_ANSWERED_US)) {
            continue;
        }
        if (suspects == NULL) {
            suspects = g_array_new(FALSE, FALSE, sizeof(guint64));
        }
        g_array_append_val(suspects, g_array_index(parts, guint64, i));
    }
    return suspects;
}

/* ---- runs that crash endpoints ---- */

static run_stage_t
run_stage(request_send_t *s)
{
    forward_t *f = s->request;
    gint64 now = forward_now(f);
    if (run_history_is_answered(&f->entry->history, forward_fingerprint(f),
                                now)) {
        return RUN_ANSWERED;
    }
    if (s->event_received && now - s->first_event_us > LONG_RUN_US) {
        return RUN_LONG;
    }
    return s->probe != 0 ? RUN_PROBE : RUN_BEGINNING;
}

/* Describes the request's run at its endpoint, for the detection of crashes.
 * The caller releases the parts. */
static watched_run_t
watched_run(request_send_t *s)
{
    return (watched_run_t){
        .run = {.fingerprint = forward_fingerprint(s->request),
                .stage = run_stage(s),
                .parts = suspect_parts(s->request)},
        .sent_us = s->sent_us,
    };
}

static void
log_probe(forward_t *f)
{
    counter_add(counter_get("requests_tried_total", NULL, FALSE), 1);
    if (event_log_begin(EVENT_STATE, "request_tried")) {
        event_log_text("request", f->info.id);
        forward_log_fingerprint(f);
        event_log_number("part", f->send->probe != f->fingerprint);
        event_log_end();
    }
}

/* What is quarantined of a request. */
typedef struct {
    const quarantined_request_t *entry; /* NULL: nothing */
    guint64 fingerprint;
    guint count;
} quarantine_match_t;

static void
match_add(quarantine_match_t *match, const forward_t *f, guint64 fingerprint)
{
    const quarantined_request_t *entry =
        quarantine_find(f->entry->quarantine, fingerprint, forward_now(f));
    if (entry == NULL) {
        return;
    }
    match->count++;
    /* A retry is refused until all of them are released. */
    if (match->entry == NULL || !entry->uncertain) {
        match->entry = entry;
        match->fingerprint = fingerprint;
    }
}

static quarantine_match_t
quarantine_match(forward_t *f)
{
    quarantine_match_t match = {0};
    if (quarantine_is_empty(f->entry->quarantine)) {
        return match;
    }
    match_add(&match, f, forward_fingerprint(f));
    const GArray *parts = shared_parts(f);
    for (guint i = 0; parts != NULL && i < parts->len; i++) {
        match_add(&match, f, shared_part_fingerprint(f, i));
    }
    return match;
}

gboolean
forward_is_quarantined(forward_t *f)
{
    quarantine_match_t match = quarantine_match(f);
    f->quarantined = match.entry;
    f->send->probe = 0;
    if (match.count == 1 &&
        quarantine_take_probe(f->entry->quarantine, match.fingerprint,
                              forward_now(f))) {
        f->quarantined = NULL;
        f->send->probe = match.fingerprint;
    }
    return f->quarantined != NULL;
}

gboolean
forward_may_not_repeat(forward_t *f)
{
    return quarantine_match(f).count > 0;
}

void
request_send_return_probe(request_send_t *s)
{
    const forward_t *f = s->request;
    if (s->probe != 0) {
        quarantine_return_probe(f->entry->quarantine, s->probe);
        s->probe = 0;
    }
}

gboolean
forward_begin_probe(forward_t *f, const endpoint_t *endpoint)
{
    entry_t *e = f->entry;
    guint64 probe = f->send->probe;
    if (probe == 0) {
        return TRUE;
    }
    if (crash_watch_has_break(e->crashes, endpoint)) {
        request_send_return_probe(f->send);
        f->quarantined = quarantine_find(e->quarantine, probe, forward_now(f));
        return FALSE;
    }
    log_probe(f);
    return TRUE;
}

static void
record_parts_answered(forward_t *f)
{
    entry_t *e = f->entry;
    const GArray *parts = shared_parts(f);
    for (guint i = 0; parts != NULL && i < parts->len; i++) {
        guint64 part = shared_part_fingerprint(f, i);
        run_history_record_answered(&e->part_history, part, forward_now(f));
        gboolean cut = run_history_take_cut(&e->part_history, part);
        if (quarantine_take_answer(e->quarantine, part) || cut) {
            crash_link_report_answered(e->crash_link, part);
        }
    }
}

/* Records that neither the request nor a part of its prompt crashes its
 * endpoint. Otherwise a popular request would be quarantined, since it runs at
 * every endpoint that crashes. The answer to a probe is reported even if this
 * instance knows of no end under the request, because other instances reported
 * those ends. The fingerprint is computed once per request: 0.14 us with a
 * body of 1 KB, 7 us with 64 KB. */
void
forward_record_answered(forward_t *f)
{
    entry_t *e = f->entry;
    guint64 fingerprint = forward_fingerprint(f);
    run_history_record_answered(&e->history, fingerprint, forward_now(f));
    if (run_history_take_cut(&e->history, fingerprint) ||
        f->send->probe == fingerprint) {
        crash_link_report_answered(e->crash_link, fingerprint);
    }
    if (f->send->status < 300) {
        record_parts_answered(f);
    }
}

void
forward_log_fingerprint(forward_t *f)
{
    char text[FINGERPRINT_TEXT_SIZE];
    fingerprint_format(forward_fingerprint(f), text);
    event_log_cstr("fingerprint", text);
}

/* ---- runs ---- */

/* Bytes that arrive after a broken connection show that the endpoint still
 * runs. */
void
request_send_record_bytes(request_send_t *s)
{
    crash_watch_t *watch = s->request->entry->crashes;
    s->last_byte_us = forward_now(s->request);
    if (s->endpoint != NULL && !s->in_tunnel) {
        endpoint_record_reached(s->endpoint, s->last_byte_us);
    }
    if (s->endpoint != NULL && crash_watch_has_unexplained(watch)) {
        crash_watch_record_bytes(watch, s->endpoint);
    }
}

/* A refused connection is evidence of a crash, a broken one only a reason to
 * look for evidence: the crash watch decides. */
void
request_send_record_failure(request_send_t *s, call_failure_t failure)
{
    crash_watch_t *watch = s->request->entry->crashes;
    if (s->endpoint == NULL) {
        return;
    }
    if (failure == CALL_FAILED_REFUSED) {
        crash_watch_record_refused(watch, s->endpoint, !s->in_tunnel);
    }
    if (failure == CALL_FAILED_SENT || failure == CALL_FAILED_CUT) {
        watched_run_t run = watched_run(s);
        crash_watch_record_break(watch, s->endpoint, run);
        g_clear_pointer(&run.run.parts, g_array_unref);
    }
}

/* An abandoned request may still crash the endpoint that runs it. */
void
request_send_record_abandoned(request_send_t *s)
{
    if (s->call != NULL && s->endpoint != NULL && client_call_sent(s->call)) {
        watched_run_t run = watched_run(s);
        crash_watch_record_abandoned(s->request->entry->crashes, s->endpoint,
                                     run);
        g_clear_pointer(&run.run.parts, g_array_unref);
    }
}
