#include "duty_calls.h"

#include "carobloom/common/clock.h"
#include "carobloom/common/counters.h"
#include "carobloom/http/client.h"

enum {
    MS = 1000,
    /* A slow platform answers within one or two seconds. A call without an
     * answer is repeated, which has no effect if the platform had already
     * processed it. */
    CALL_TIMEOUT_US = 4000 * MS,
};

static const http_peer_limits_t PLATFORM_LIMITS = {
    .connect_us = 1500 * MS,
    .idle_us = 2 * G_USEC_PER_SEC,
    .idle_max = 4,
    .head_max = 8192,
    .body_max = 65536,
};

typedef struct {
    duty_calls_t *calls;
    client_call_t *call;
    guint64 token;
    guint64 timer;
    guint status;
    duty_call_done_t done;
    void *user;
} duty_call_t;

struct duty_calls {
    timers_t *timers;
    duty_lease_t *lease;
    http_peer_t *peer;
    GList *in_flight; /* duty_call_t */
};

static void
call_end(duty_call_t *d, guint status)
{
    duty_call_done_t done = d->done;
    void *user = d->user;
    timers_cancel(d->calls->timers, d->timer);
    d->calls->in_flight = g_list_remove(d->calls->in_flight, d);
    g_free(d);
    done(user, status);
}

/* Cancels a call, which then ends without a response. */
static void
call_drop(duty_call_t *d)
{
    client_call_cancel(d->call);
    call_end(d, 0);
}

static gboolean
on_may_send(client_call_t *call, void *user)
{
    (void)call;
    duty_call_t *d = user;
    return duty_lease_authorize_call(d->calls->lease, clock_boot_us()) ==
           d->token;
}

static call_verdict_t
on_head(client_call_t *call, const http_head_t *head, void *user)
{
    (void)call;
    ((duty_call_t *)user)->status = head->status;
    return CALL_TAKE;
}

static void
on_body(client_call_t *call, str_t bytes, void *user)
{
    (void)call;
    (void)bytes; /* the status is sufficient */
    (void)user;
}

static void
on_done(client_call_t *call, void *user)
{
    (void)call;
    duty_call_t *d = user;
    call_end(d, d->status);
}

static void
on_failed(client_call_t *call, call_failure_t failure, void *user)
{
    (void)call;
    (void)failure; /* the call is repeated whether it arrived or not */
    counter_add(counter_get("duty_calls_failed_total", NULL, FALSE), 1);
    call_end(user, 0);
}

static const client_call_ops_t CALL_OPS = {.may_send = on_may_send,
                                           .head = on_head,
                                           .body = on_body,
                                           .done = on_done,
                                           .failed = on_failed};

static void
on_timeout(void *data)
{
    duty_call_t *d = data;
    d->timer = 0;
    counter_add(counter_get("duty_calls_failed_total", NULL, FALSE), 1);
    call_drop(d);
}

duty_calls_t *
duty_calls_create(poller_t *poller, timers_t *timers, const char *address,
                  duty_lease_t *lease)
{
    http_peer_t *peer = http_peer_create(
        poller, timers, str_from_cstr(address), &PLATFORM_LIMITS);
    if (peer == NULL) {
        return NULL;
    }
    duty_calls_t *calls = g_new0(duty_calls_t, 1);
    *calls = (duty_calls_t){.timers = timers, .lease = lease, .peer = peer};
    return calls;
}

void
duty_calls_destroy(duty_calls_t *calls)
{
    GList *next;
    for (GList *l = calls->in_flight; l != NULL; l = next) {
        next = l->next;
        call_drop(l->data);
    }
    http_peer_destroy(calls->peer);
    g_free(calls);
}

gboolean
duty_calls_send(duty_calls_t *calls, guint64 token, str_t bytes,
                duty_call_done_t done, void *user)
{
    /* Checked first, since client_call_create writes the bytes at once on an
     * idle connection. */
    if (duty_lease_authorize_call(calls->lease, clock_boot_us()) != token) {
        return FALSE;
    }
    duty_call_t *d = g_new0(duty_call_t, 1);
    *d = (duty_call_t){
        .calls = calls, .token = token, .done = done, .user = user};
    d->call = client_call_create(calls->peer, bytes, FALSE, &CALL_OPS, d);
    if (d->call == NULL) {
        g_free(d);
        return FALSE;
    }
    d->timer =
        timers_subscribe(calls->timers, CALL_TIMEOUT_US, 0, on_timeout, d);
    calls->in_flight = g_list_prepend(calls->in_flight, d);
    counter_add(counter_get("duty_calls_total", NULL, FALSE), 1);
    return TRUE;
}

void
duty_calls_check(duty_calls_t *calls)
{
    guint64 token = duty_lease_token(calls->lease, clock_boot_us());
    GList *next;
    for (GList *l = calls->in_flight; l != NULL; l = next) {
        duty_call_t *d = l->data;
        next = l->next;
        if (d->token != token) {
            call_drop(d);
        }
    }
}
