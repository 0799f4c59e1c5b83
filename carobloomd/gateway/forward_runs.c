/* Which request it is, and what its runs tell: whether endpoints end under it
 * or answer it. */
#include "carobloom/common/counters.h"
#include "carobloom/common/event_log.h"
#include "carobloom/policy/fingerprint.h"
#include "forward_state.h"

enum {
    MS = 1000,
    /* A request that crashes its endpoint does so as it begins to run, within
     * a tenth of a second where it was seen; one that has answered for five
     * times as long most likely ran beside the cause. */
    RUN_LONG_US = 500 * MS,
};

/* ---- which request ---- */

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
stage_of(forward_t *f)
{
    gint64 now = forward_now(f);
    if (run_history_is_answered(&f->entry->history, forward_fingerprint(f),
                                now)) {
        return RUN_ANSWERED;
    }
    if (f->heard && now - f->heard_us > RUN_LONG_US) {
        return RUN_LONG;
    }
    return f->on_trial ? RUN_PROBE : RUN_BEGINNING;
}

/* How it stands at its endpoint, for whoever looks into that one's end. */
static watched_run_t
watched_run(forward_t *f)
{
    return (watched_run_t){
        .run = {.fingerprint = forward_fingerprint(f), .stage = stage_of(f)},
        .sent_us = f->sent_us,
    };
}

static void
log_trial(forward_t *f)
{
    counter_add(counter_get("requests_tried_total", NULL, FALSE), 1);
    if (event_log_begin(EVENT_STATE, "request_tried")) {
        event_log_text("request", f->info.id);
        forward_log_fingerprint(f);
        event_log_end();
    }
}

gboolean
forward_is_held(forward_t *f)
{
    quarantine_t *quarantine = f->entry->quarantine;
    f->held = quarantine_is_empty(quarantine)
                  ? NULL
                  : quarantine_find(quarantine, forward_fingerprint(f),
                                    forward_now(f));
    f->on_trial = FALSE;
    if (f->held != NULL &&
        quarantine_take_probe(quarantine, f->fingerprint, forward_now(f))) {
        log_trial(f);
        f->held = NULL;
        f->on_trial = TRUE;
    }
    return f->held != NULL;
}

/* A request that its endpoint answers does not crash it; without it what all
 * ask for would be held for being at every end. Its fingerprint is worked out
 * once a request: 0.14 us with a body of 1 KB, 7 us with 64 KB, as timed over
 * 200,000 of each. */
void
forward_note_answered(forward_t *f)
{
    entry_t *e = f->entry;
    guint64 fingerprint = forward_fingerprint(f);
    run_history_record_answered(&e->history, fingerprint, forward_now(f));
    if (run_history_take_cut(&e->history, fingerprint)) {
        crash_link_answered(e->crash_link, fingerprint);
    }
}

void
forward_log_fingerprint(forward_t *f)
{
    char text[FINGERPRINT_TEXT_SIZE];
    fingerprint_format(forward_fingerprint(f), text);
    event_log_cstr("fingerprint", text);
}

/* ---- what its runs tell ---- */

/* Bytes of the endpoint: it lives. */
void
forward_note_heard(forward_t *f)
{
    f->progress_us = forward_now(f);
    if (f->endpoint != NULL &&
        crash_watch_has_unexplained(f->entry->crashes)) {
        crash_watch_record_bytes(f->entry->crashes, f->endpoint);
    }
}

/* Whether the endpoint ended under it is found out later. */
void
forward_note_failure(forward_t *f, call_failure_t failure)
{
    crash_watch_t *watch = f->entry->crashes;
    if (f->endpoint == NULL) {
        return;
    }
    if (failure == CALL_FAILED_REFUSED) {
        crash_watch_record_refused(watch, f->endpoint);
    }
    if (failure == CALL_FAILED_SENT || failure == CALL_FAILED_CUT) {
        crash_watch_record_break(watch, f->endpoint, watched_run(f));
    }
}

/* It is given up while it may run at its endpoint. */
void
forward_note_left(forward_t *f)
{
    if (f->call != NULL && f->endpoint != NULL && client_call_sent(f->call)) {
        crash_watch_record_abandoned(f->entry->crashes, f->endpoint,
                                     watched_run(f));
    }
}
