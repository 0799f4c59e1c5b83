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

static run_stage_t
run_stage(forward_t *f)
{
    gint64 now = forward_now(f);
    if (run_history_is_answered(&f->entry->history, forward_fingerprint(f),
                                now)) {
        return RUN_ANSWERED;
    }
    if (f->event_received && now - f->endpoint_first_event_us > LONG_RUN_US) {
        return RUN_LONG;
    }
    return f->is_probe ? RUN_PROBE : RUN_BEGINNING;
}

/* Describes the request's run at its endpoint, for the detection of
 * crashes. */
static watched_run_t
watched_run(forward_t *f)
{
    return (watched_run_t){
        .run = {.fingerprint = forward_fingerprint(f), .stage = run_stage(f)},
        .sent_us = f->sent_us,
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
    f->is_probe = FALSE;
    if (f->quarantined != NULL &&
        quarantine_take_probe(quarantine, f->fingerprint, forward_now(f))) {
        f->quarantined = NULL;
        f->is_probe = TRUE;
    }
    return f->quarantined != NULL;
}

void
forward_return_probe(forward_t *f)
{
    if (f->is_probe) {
        f->is_probe = FALSE;
        quarantine_return_probe(f->entry->quarantine, f->fingerprint);
    }
}

gboolean
forward_begin_probe(forward_t *f, const endpoint_t *endpoint)
{
    entry_t *e = f->entry;
    if (!f->is_probe) {
        return TRUE;
    }
    if (crash_watch_has_break(e->crashes, endpoint)) {
        forward_return_probe(f);
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
    if (run_history_take_cut(&e->history, fingerprint) || f->is_probe) {
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
forward_record_bytes(forward_t *f)
{
    f->last_byte_us = forward_now(f);
    if (f->endpoint != NULL && !f->in_tunnel) {
        endpoint_record_reached(f->endpoint, f->last_byte_us);
    }
    if (f->endpoint != NULL &&
        crash_watch_has_unexplained(f->entry->crashes)) {
        crash_watch_record_bytes(f->entry->crashes, f->endpoint);
    }
}

/* A refused connection is evidence of a crash, a broken one only a reason to
 * look for evidence: the crash watch decides. */
void
forward_record_failure(forward_t *f, call_failure_t failure)
{
    crash_watch_t *watch = f->entry->crashes;
    if (f->endpoint == NULL) {
        return;
    }
    if (failure == CALL_FAILED_REFUSED) {
        crash_watch_record_refused(watch, f->endpoint, !f->in_tunnel);
    }
    if (failure == CALL_FAILED_SENT || failure == CALL_FAILED_CUT) {
        crash_watch_record_break(watch, f->endpoint, watched_run(f));
    }
}

/* An abandoned request may still crash the endpoint that runs it. */
void
forward_record_abandoned(forward_t *f)
{
    if (f->call != NULL && f->endpoint != NULL && client_call_sent(f->call)) {
        crash_watch_record_abandoned(f->entry->crashes, f->endpoint,
                                     watched_run(f));
    }
}
