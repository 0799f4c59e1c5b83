/* Hedged requests: open at several endpoints at once.
 *
 * A silent endpoint may go on, and the one that gets the repeat may refuse it
 * or fail. The call to the silent endpoint therefore stays open until another
 * endpoint has taken its place. The first send that brings an event, or a
 * whole answer, is chosen, and all others are cancelled. A stream that has
 * begun is handed over soon after it was sent to another endpoint: that one
 * may work on it without any answer. */
#include "carobloom/common/counters.h"
#include "carobloom/common/event_log.h"
#include "forward_state.h"

enum {
    MS = 1000,
    /* From the head of a stream's answer, or from when a stream that has begun
     * was sent to another endpoint, until the other sends are cancelled if no
     * event comes first. Two endpoints may not work on the same stream for
     * more than 400 ms. */
    HANDOVER_US = 200 * MS,
};

static guint
silent_count(const forward_t *f)
{
    return f->silent != NULL ? f->silent->len : 0;
}

guint
forward_possible_runs(const forward_t *f)
{
    return f->runs + silent_count(f);
}

static void
set_send(forward_t *f, request_send_t *s)
{
    f->send = s;
    if (s->endpoint != NULL) {
        g_strlcpy(f->last_endpoint, s->endpoint->id, sizeof(f->last_endpoint));
    }
}

static void
log_hedge(const forward_t *f, const char *event, const request_send_t *s,
          const char *reason)
{
    if (!event_log_begin(EVENT_FAILURE, event)) {
        return;
    }
    event_log_text("request", f->info.id);
    event_log_cstr("endpoint", s->endpoint != NULL ? s->endpoint->id : "");
    event_log_cstr("reason", reason);
    event_log_number("since_sent_ms", (forward_now(f) - s->sent_us) / MS);
    event_log_number("silent_sends", silent_count(f));
    event_log_number("elapsed_ms", (forward_now(f) - f->started_us) / MS);
    event_log_end();
}

void
forward_keep_silent(forward_t *f)
{
    request_send_t *s = f->send;
    if (!client_call_sent(s->call)) {
        request_send_cancel(s);
        request_send_return_probe(s);
        return;
    }
    counter_add(counter_get("requests_hedged_total", NULL, FALSE), 1);
    if (f->silent == NULL) {
        f->silent = g_ptr_array_new();
    }
    g_ptr_array_add(f->silent, s);
    f->send = request_send_create(f);
}

/* Endpoints that refused the request for a moment may be asked again; those
 * that have it may not. */
static void
forget_refusals(forward_t *f)
{
    f->tried_count = 0;
    f->tried[f->tried_count++] = f->send->endpoint;
    for (guint i = 0; i < silent_count(f); i++) {
        const request_send_t *s = f->silent->pdata[i];
        f->tried[f->tried_count++ % PLACEMENT_TRIED_MAX] = s->endpoint;
    }
}

gboolean
forward_return_to_silent(forward_t *f)
{
    if (silent_count(f) == 0 || forward_now(f) >= f->deadline_us) {
        return FALSE;
    }
    request_send_free(f->send);
    set_send(f, g_ptr_array_steal_index(f->silent, 0));
    f->send->silent_from_us = forward_now(f);
    f->quarantined = NULL; /* its entry may end before the request */
    forget_refusals(f);
    counter_add(counter_get("requests_returned_total", NULL, FALSE), 1);
    log_hedge(f, "request_returned", f->send, "no other endpoint answered");
    forward_set_timer(f);
    return TRUE;
}

static void
cancel_and_free(request_send_t *s)
{
    request_send_cancel(s);
    request_send_free(s);
}

void
forward_cancel_silent(forward_t *f)
{
    for (guint i = 0; i < silent_count(f); i++) {
        cancel_and_free(f->silent->pdata[i]);
    }
    if (f->silent != NULL) {
        g_ptr_array_set_size(f->silent, 0);
    }
}

gboolean
request_send_try_continue(request_send_t *s, gboolean received,
                          const char *reason)
{
    forward_t *f = s->request;
    if (s != f->send) {
        log_hedge(f, "silent_send_ended", s, reason);
        g_ptr_array_remove(f->silent, s);
        request_send_free(s);
        /* If it was refused, there may be room for another send. */
        forward_set_timer(f);
        return TRUE;
    }
    if (f->taken_up_by != NULL && f->taken_up_by != s) {
        request_send_choose(f->taken_up_by);
        return TRUE;
    }
    return forward_try_repeat(f, received, reason) ||
           forward_return_to_silent(f);
}

void
request_send_continue(request_send_t *s, gboolean received, const char *reason)
{
    forward_t *f = s->request;
    if (!request_send_try_continue(s, received, reason)) {
        request_send_detach(f->send);
        forward_fail(f, reason);
    }
}

void
request_send_take_up(request_send_t *s)
{
    forward_t *f = s->request;
    if (silent_count(f) == 0 || f->taken_up_by != NULL) {
        return;
    }
    f->taken_up_by = s;
    f->handover_us = forward_now(f) + HANDOVER_US;
    forward_set_timer(f);
}

void
request_send_record_sent(request_send_t *s)
{
    const forward_t *f = s->request;
    s->silent_from_us = forward_now(f);
    if (f->has_event && s == f->send) {
        request_send_take_up(s);
    }
}

void
request_send_choose(request_send_t *s)
{
    forward_t *f = s->request;
    f->taken_up_by = NULL;
    if (silent_count(f) == 0) {
        return;
    }
    gboolean was_silent = s != f->send;
    if (was_silent) {
        slot_link_end_wait(&f->service_state->slots, &f->waiter);
        g_ptr_array_remove(f->silent, s);
        g_ptr_array_add(f->silent, f->send);
        set_send(f, s);
    }
    s->silent_from_us = forward_now(f);
    log_hedge(f, "send_chosen", s,
              was_silent ? "the silent endpoint goes on"
                         : "another endpoint goes on");
    forward_cancel_silent(f);
    forward_set_timer(f);
}
