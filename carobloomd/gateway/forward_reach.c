/* How a request reaches its endpoint: directly, or in a tunnel through another
 * instance if this one is cut off from the service. */
#include "carobloom/common/counters.h"
#include "carobloom/common/event_log.h"
#include "forward_state.h"

enum {
    MS = 1000,
    /* More than the other instance waits for the endpoint, and less than by
     * which the deadline that the endpoint was given may be late. */
    TUNNEL_OPEN_US = 400 * MS,
    /* Instances that are asked for a tunnel before the request is sent
     * directly. */
    TUNNELS_FAILED_MAX = 3,
    /* An endpoint that has sent nothing since the request for the objective of
     * the route, and at least for this time, may be cut off. */
    SILENCE_CHECK_MIN_US = 250 * MS,
    /* Bytes that already arrived may be read first: the check is repeated
     * after this time. */
    SILENCE_RECHECK_US = 20 * MS,
};

static gboolean
is_head_request(const forward_t *f)
{
    return g_str_equal(http_exchange_head(f->exchange)->method, "HEAD");
}

static void
log_tunnelled(const forward_t *f, const endpoint_t *endpoint)
{
    counter_add(counter_get("tunnel_requests_total", NULL, FALSE), 1);
    if (event_log_begin(EVENT_ROUTINE, "tunnelled")) {
        event_log_text("request", f->info.id);
        event_log_cstr("endpoint", endpoint->id);
        event_log_cstr("helper", client_call_tunnel_address(f->send->call));
        event_log_cstr("tunnel", client_call_tunnel_name(f->send->call));
        event_log_end();
    }
}

/* Makes the call in a tunnel through `helper`, or in one that is free. */
static gboolean
call_in_tunnel(forward_t *f, endpoint_t *endpoint, const helper_t *helper,
               str_t bytes)
{
    entry_t *e = f->entry;
    request_send_t *s = f->send;
    http_peer_t *peer = forward_peer(f, endpoint, &endpoint->tunnels);
    if (peer == NULL) {
        return FALSE;
    }
    tunnel_call_t setup = {.peer = peer,
                           .endpoint = endpoint->id,
                           .request = f->info.id,
                           .bytes = bytes,
                           .head_request = is_head_request(f),
                           .open_us = TUNNEL_OPEN_US};
    s->call =
        helper_link_call(e->helper_link, helper, &setup, &FORWARD_CALL_OPS, s);
    if (s->call == NULL) {
        return FALSE;
    }
    /* The call may have taken a free tunnel through another helper, which
     * need not be among the known ones any more. */
    s->in_tunnel = TRUE;
    s->helper =
        helper_link_find(e->helper_link, client_call_tunnel_address(s->call));
    if (s->helper != NULL) {
        s->helper->tunnels++;
    }
    traffic_count_into(e->traffic, s->call, TRAFFIC_TUNNELS,
                       s->helper != NULL ? s->helper->info.data_centre : NULL);
    log_tunnelled(f, endpoint);
    return TRUE;
}

/* Endpoints that were tried directly may be tried once more in a tunnel. */
static void
forget_direct_sends(forward_t *f, const endpoint_t *endpoint)
{
    if (!f->tunnelled && forward_possible_runs(f) == 0) {
        f->tried[0] = endpoint;
        f->tried_count = 1;
    }
    f->tunnelled = TRUE;
}

gboolean
forward_call(forward_t *f, endpoint_t *endpoint, str_t bytes)
{
    entry_t *e = f->entry;
    request_send_t *s = f->send;
    s->is_silent = FALSE;
    s->silence_recorded = FALSE;
    const helper_t *helper =
        !f->direct_only && reach_watch_avoids(e->reach, endpoint)
            ? helper_link_pick(e->helper_link)
            : NULL;
    if (helper != NULL && call_in_tunnel(f, endpoint, helper, bytes)) {
        forget_direct_sends(f, endpoint);
        return TRUE;
    }
    http_peer_t *peer = forward_peer(f, endpoint, &endpoint->connections);
    s->call = peer == NULL
                  ? NULL
                  : client_call_create(peer, bytes, is_head_request(f),
                                       &FORWARD_CALL_OPS, s);
    if (s->call == NULL) {
        return FALSE;
    }
    traffic_count_into(e->traffic, s->call, TRAFFIC_ENDPOINT_REQUESTS,
                       endpoint->data_centre);
    return TRUE;
}

void
request_send_release_helper(request_send_t *s)
{
    if (s->helper != NULL) {
        s->helper->tunnels--;
        s->helper = NULL;
    }
    s->in_tunnel = FALSE;
}

void
forward_handle_tunnel_failure(forward_t *f)
{
    helper_t *helper = f->send->helper;
    counter_add(counter_get("tunnels_failed_total", NULL, FALSE), 1);
    if (event_log_begin(EVENT_FAILURE, "tunnel_failed")) {
        event_log_text("request", f->info.id);
        event_log_cstr("endpoint", f->last_endpoint);
        event_log_cstr("helper", helper != NULL ? helper->info.address : "");
        event_log_end();
    }
    if (helper != NULL) {
        helper_record_failed(helper, forward_now(f));
    }
    f->tunnels_failed++;
    f->direct_only = f->tunnels_failed >= TUNNELS_FAILED_MAX;
    /* Neither the endpoint nor the request is to blame. */
    f->sends--;
    f->tried_count -= f->tried_count > 0;
    request_send_return_probe(f->send);
    request_send_detach(f->send);
    if (forward_now(f) >= f->deadline_us) {
        forward_fail(f, "no tunnel to the endpoint");
        return;
    }
    forward_send(f);
}

gboolean
request_send_record_unreached(request_send_t *s, call_failure_t failure)
{
    static const char *const SIGNS[] = {
        [CALL_FAILED_UNSENT] = "no connection",
        [CALL_FAILED_REFUSED] = "refused",
        [CALL_FAILED_SENT] = "closed without an answer",
        [CALL_FAILED_CUT] = "an answer broke off",
        [CALL_FAILED_SYNTAX] = NULL,
        [CALL_FAILED_TUNNEL] = NULL,
        [CALL_FAILED_WITHDRAWN] = NULL,
    };
    reach_watch_t *reach = s->request->entry->reach;
    if (s->in_tunnel || s->endpoint == NULL || SIGNS[failure] == NULL) {
        return FALSE;
    }
    reach_watch_record_failure(reach, s->endpoint, SIGNS[failure]);
    return reach_watch_is_confirmed(reach, s->request->service) &&
           reach_watch_avoids(reach, s->endpoint);
}

gint64
request_send_silence_check_us(const request_send_t *s)
{
    if (s->call == NULL || s->in_tunnel || s->silence_recorded ||
        s->last_byte_us >= s->sent_us) {
        return G_MAXINT64;
    }
    gint64 silence_us =
        MAX(s->request->route->target_ms * MS, (gint64)SILENCE_CHECK_MIN_US);
    return MAX(s->sent_us, s->silent_from_us) + silence_us +
           (s->is_silent ? SILENCE_RECHECK_US : 0);
}

/* The endpoint has sent nothing, to any request of this instance, for a while.
 */
static gboolean
is_endpoint_silent(const request_send_t *s)
{
    gint64 since_us = MAX(MAX(s->sent_us, s->silent_from_us), s->last_byte_us);
    return !s->paused && s->endpoint->reached_us <= since_us &&
           forward_now(s->request) - since_us >=
               (gint64)SILENCE_CHECK_MIN_US &&
           (s->call == NULL || client_call_is_quiet(s->call));
}

void
request_send_record_silence(request_send_t *s)
{
    if (!s->in_tunnel && s->endpoint != NULL && !s->silence_recorded &&
        is_endpoint_silent(s)) {
        s->silence_recorded = TRUE;
        reach_watch_record_failure(s->request->entry->reach, s->endpoint,
                                   "silent");
    }
}

void
request_send_check_silence(request_send_t *s)
{
    if (s->is_silent) {
        request_send_record_silence(s);
        s->silence_recorded = TRUE;
    }
    s->is_silent = TRUE;
}
