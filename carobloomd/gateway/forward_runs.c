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

/* Returns the parts of the prompt but the last, which belongs to the request
 * or to its session alone. NULL if there are none; free it with g_array_unref.
 */
static GArray *
shared_parts(const forward_t *f)
{
    GArray *parts = NULL;
    if (f->info.part_count > 1) {
        parts = platform_request_part_ids(http_exchange_head(f->exchange));
        g_array_set_size(parts, parts->len - 1);
    }
    return parts;
}

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
    return s->is_probe ? RUN_PROBE : RUN_BEGINNING;
}

/* Describes the request's run at its endpoint, for the detection of crashes.
 * The caller releases the parts. */
static watched_run_t
watched_run(request_send_t *s)
{
    return (watched_run_t){
        .run = {.fingerprint = forward_fingerprint(s->request),
                .stage = run_stage(s),
                .parts = shared_parts(s->request)},
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
        event_log_end();
    }
}

gboolean
forward_is_quarantined(forward_t *f)
{
    quarantine_t *quarantine = f->entry->quarantine;
    f->quarantined = quarantine_is_empty(quarantine)
                         ? NULL
                         : quarantine_find(quarantine, forward_fingerprint(f),
                                           forward_now(f));
    f->send->is_probe = FALSE;
    if (f->quarantined != NULL &&
        quarantine_take_probe(quarantine, f->fingerprint, forward_now(f))) {
        f->quarantined = NULL;
        f->send->is_probe = TRUE;
    }
    return f->quarantined != NULL;
}

void
request_send_return_probe(request_send_t *s)
{
    const forward_t *f = s->request;
    if (s->is_probe) {
        s->is_probe = FALSE;
        quarantine_return_probe(f->entry->quarantine, f->fingerprint);
    }
}

gboolean
forward_begin_probe(forward_t *f, const endpoint_t *endpoint)
{
    entry_t *e = f->entry;
    if (!f->send->is_probe) {
        return TRUE;
    }
    if (crash_watch_has_break(e->crashes, endpoint)) {
        request_send_return_probe(f->send);
        f->quarantined =
            quarantine_find(e->quarantine, f->fingerprint, forward_now(f));
        return FALSE;
    }
    log_probe(f);
    return TRUE;
}

/* Records that the request does not crash its endpoint. Otherwise a popular
 * request would be quarantined, since it runs at every endpoint that crashes.
 * The answer to a probe is reported even if this instance knows of no end
 * under the request, because other instances reported those ends. The
 * fingerprint is computed once per request: 0.14 us with a body of 1 KB, 7 us
 * with 64 KB. */
void
forward_record_answered(forward_t *f)
{
    entry_t *e = f->entry;
    guint64 fingerprint = forward_fingerprint(f);
    run_history_record_answered(&e->history, fingerprint, forward_now(f));
    if (run_history_take_cut(&e->history, fingerprint) || f->send->is_probe) {
        crash_link_report_answered(e->crash_link, fingerprint);
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
