#include "carobloom/policy/endpoint_limit.h"

enum {
    US_PER_MS = 1000,
    /* How long an instance trusts its own responses over the owner's state,
     * which may not include its update yet. */
    OWNER_STATE_LAG_US = 500 * US_PER_MS,
    WANTED_MAX = 1000,
    /* Interval of reports to the relay while responses still carry the limit;
     * well below the time after which the relay discards a limit. */
    RELAY_REPORT_US = 2000 * US_PER_MS,
    /* How long a denied send is a reason to request grants: its caller
     * retries, or the next caller arrives, within that time. */
    DENIED_US = 1000 * US_PER_MS,
};

const double LIMIT_SEND_RATE_MIN = 0.6;

/* Fraction of the limit that all instances without a reply from the owner may
 * use together. Added to what an owner may grant to the other instances, it
 * stays below the limit's bound. */
static const double OWNERLESS_FRACTION = 0.15;

/* Granted sends are kept unless the rate falls below this fraction of the
 * previous rate. */
static const double TOKENS_KEPT_FRACTION = 0.9;

static void
set_update_due(endpoint_limit_t *l)
{
    l->update_due = TRUE;
    l->relay_report_due = TRUE;
}

static void
drop_tokens(endpoint_limit_t *l)
{
    l->tokens_dropped = l->tokens_dropped || l->tokens > 0;
    l->tokens = 0;
}

static limit_change_t
set_rate(endpoint_limit_t *l, double rate)
{
    if (l->rate == rate) {
        return LIMIT_UNCHANGED;
    }
    if (rate < l->rate * TOKENS_KEPT_FRACTION) {
        drop_tokens(l);
    }
    l->rate = rate;
    return LIMIT_CHANGED;
}

static limit_change_t
begin_limit(endpoint_limit_t *l, double rate)
{
    l->limited = TRUE;
    l->rate = rate;
    l->request_sent_us = 0;
    l->rate_received_us = 0;
    l->owner_rate_us = 0;
    l->wanted = 0;
    l->ownerless_send_us = 0;
    return LIMIT_BEGUN;
}

static limit_change_t
lift_limit(endpoint_limit_t *l, gint64 lifted_us, gboolean by_response)
{
    l->limited = FALSE;
    l->lifted_us = lifted_us;
    l->lifted_by_response = by_response;
    l->owner_still_limited = FALSE;
    drop_tokens(l);
    return LIMIT_LIFTED;
}

limit_change_t
endpoint_limit_record_rate(endpoint_limit_t *l, double rate, gint64 sent_us,
                           gint64 now_us)
{
    if (!l->limited) {
        if (l->lifted_us != 0 && sent_us <= l->lifted_us) {
            return LIMIT_UNCHANGED;
        }
        set_update_due(l);
        begin_limit(l, rate);
        l->request_sent_us = sent_us;
        l->rate_received_us = now_us;
        return LIMIT_BEGUN;
    }
    l->rate_received_us = now_us;
    l->relay_report_due = l->relay_report_due ||
                          now_us - l->relay_reported_us >= RELAY_REPORT_US;
    if (sent_us < MAX(l->request_sent_us, l->owner_rate_us)) {
        return LIMIT_UNCHANGED;
    }
    l->request_sent_us = sent_us;
    limit_change_t change = set_rate(l, rate);
    if (change != LIMIT_UNCHANGED) {
        set_update_due(l);
    }
    return change;
}

limit_change_t
endpoint_limit_record_unlimited(endpoint_limit_t *l, gint64 sent_us)
{
    if (l->owner_still_limited && sent_us > l->lifted_us) {
        l->lifted_us = sent_us;
        l->owner_still_limited = FALSE;
        set_update_due(l);
    }
    if (!l->limited || sent_us <= MAX(l->rate_received_us, l->owner_rate_us)) {
        return LIMIT_UNCHANGED;
    }
    set_update_due(l);
    return lift_limit(l, sent_us, TRUE);
}

limit_change_t
endpoint_limit_apply_state(endpoint_limit_t *l, const limit_state_t *state,
                           gint64 now_us)
{
    if (l->update_due) {
        return LIMIT_UNCHANGED;
    }
    if (!l->limited) {
        gboolean settled =
            l->lifted_us == 0 || now_us - l->lifted_us >= OWNER_STATE_LAG_US;
        if (!state->limited || !settled) {
            l->owner_still_limited = state->limited;
            return LIMIT_UNCHANGED;
        }
        begin_limit(l, state->rate);
        l->owner_rate_us = now_us;
        return LIMIT_BEGUN;
    }
    if (l->rate_received_us != 0 &&
        now_us - l->rate_received_us < OWNER_STATE_LAG_US) {
        l->relay_report_due = l->relay_report_due || !state->limited;
        return LIMIT_UNCHANGED;
    }
    if (!state->limited) {
        return lift_limit(l, now_us, FALSE);
    }
    limit_change_t change = set_rate(l, state->rate);
    if (change != LIMIT_UNCHANGED) {
        l->owner_rate_us = now_us;
    }
    return change;
}

gboolean
endpoint_limit_allows(const endpoint_limit_t *l, gint64 now_us)
{
    if (!l->limited || (l->tokens > 0 && now_us < l->tokens_expire_us)) {
        return TRUE;
    }
    return l->ownerless_send_us != 0 && now_us >= l->ownerless_send_us;
}

/* Interval between two sends of one instance while no owner replies. */
static gint64
ownerless_interval_us(const endpoint_limit_t *l, guint instances)
{
    double rate = OWNERLESS_FRACTION * MAX(l->rate, LIMIT_SEND_RATE_MIN);
    return (gint64)(MAX(instances, 1) / rate * G_USEC_PER_SEC);
}

void
endpoint_limit_record_send(endpoint_limit_t *l, guint instances, gint64 now_us)
{
    if (!l->limited) {
        return;
    }
    l->sends++;
    l->wanted = MIN(l->wanted + 1, WANTED_MAX);
    if (l->tokens > 0 && now_us < l->tokens_expire_us) {
        l->tokens--;
        l->used++;
        return;
    }
    l->ownerless_send_us = now_us + ownerless_interval_us(l, instances);
}

void
endpoint_limit_record_denied(endpoint_limit_t *l, gint64 now_us)
{
    l->denied++;
    l->denied_us = now_us;
    l->wanted = MIN(l->wanted + 1, WANTED_MAX);
}

void
endpoint_limit_expire(endpoint_limit_t *l, gint64 now_us)
{
    if (l->tokens > 0 && now_us >= l->tokens_expire_us) {
        drop_tokens(l);
    }
}

/* Returns the number of sends to request. It is at least one for DENIED_US
 * after a denied send, or until a grant arrives, so that the instance keeps
 * its share when the owner divides grants. */
static guint32
grants_wanted(const endpoint_limit_t *l, gint64 now_us)
{
    if (!l->limited) {
        return 0;
    }
    gboolean waiting = l->tokens == 0 && l->denied_us != 0 &&
                       now_us - l->denied_us < DENIED_US;
    guint more = l->wanted > l->tokens ? l->wanted - l->tokens : 0;
    return more == 0 && waiting ? 1 : more;
}

gboolean
endpoint_limit_has_update(const endpoint_limit_t *l)
{
    return l->update_due || l->tokens_dropped || l->used > l->used_reported;
}

gboolean
endpoint_limit_needs_grants(const endpoint_limit_t *l, gint64 now_us)
{
    return grants_wanted(l, now_us) > 0;
}

/* `at_us` is 0 if the event never occurred. */
static guint32
age_ms(gint64 at_us, gint64 now_us)
{
    if (at_us == 0) {
        return LIMIT_AGE_UNKNOWN;
    }
    return (guint32)CLAMP((now_us - at_us) / US_PER_MS, 0, G_MAXINT32);
}

static void
fill_state(const endpoint_limit_t *l, limit_request_t *request, gint64 now_us)
{
    gint64 lifted_us = l->lifted_by_response ? l->lifted_us : 0;
    request->limited = l->limited;
    request->rate = l->rate;
    request->request_age_ms =
        age_ms(l->limited ? l->request_sent_us : lifted_us, now_us);
    request->rate_age_ms = age_ms(l->rate_received_us, now_us);
}

gboolean
endpoint_limit_has_report(const endpoint_limit_t *l)
{
    return l->relay_report_due;
}

void
endpoint_limit_fill_report(endpoint_limit_t *l, limit_request_t *request,
                           gint64 now_us)
{
    fill_state(l, request, now_us);
    l->relay_report_due = FALSE;
    l->relay_reported_us = now_us;
}

void
endpoint_limit_fill_request(endpoint_limit_t *l, limit_request_t *request,
                            gint64 now_us)
{
    fill_state(l, request, now_us);
    request->wanted = grants_wanted(l, now_us);
    request->outstanding = l->tokens;
    request->used = l->used;
    l->used_reported = l->used;
    l->wanted = 0;
    l->update_due = FALSE;
    l->tokens_dropped = FALSE;
}

limit_change_t
endpoint_limit_apply_grant(endpoint_limit_t *l, const limit_grant_t *grant,
                           gint64 requested_us, gint64 now_us)
{
    gint64 until_us =
        requested_us + (gint64)LIMIT_GRANT_LIFETIME_MS * US_PER_MS;
    l->ownerless_send_us = 0;
    limit_change_t change =
        endpoint_limit_apply_state(l, &grant->state, now_us);
    if (grant->granted == 0) {
        return change;
    }
    l->tokens += grant->granted;
    l->tokens_expire_us = until_us;
    l->denied_us = 0;
    if (!l->limited) {
        drop_tokens(l);
    }
    endpoint_limit_expire(l, now_us);
    return change;
}

void
endpoint_limit_owner_lost(endpoint_limit_t *l, guint instances, double draw,
                          gint64 now_us)
{
    if (l->limited && l->ownerless_send_us == 0) {
        l->ownerless_send_us =
            now_us +
            (gint64)(draw * (double)ownerless_interval_us(l, instances)) + 1;
    }
}
