#include "carobloom/policy/endpoint.h"

#include "carobloom/policy/prompt_mix.h"

enum {
    SECOND_US = 1000 * 1000,
    BACKOFF_MIN_US = 300 * 1000,
    BACKOFF_MAX_US = 4 * SECOND_US,
    /* A refusal means that the endpoint's queue is full. The queue drains a
     * few requests in this time. */
    FULL_BACKOFF_MIN_US = 100 * 1000,
    FULL_BACKOFF_MAX_US = 3 * SECOND_US,
    MISDIRECTED_BACKOFF_US = 30 * SECOND_US,
    /* Shortest time between an endpoint's drain notice and its end. */
    DRAIN_MIN_US = 2 * SECOND_US,
    /* The drain notice may be half a second old, and a fetch takes a few
     * milliseconds. */
    FETCH_MARGIN_US = 500 * 1000,
    /* Endpoints close idle connections, but few do so within this time. */
    IDLE_CONNECTION_US = 4 * SECOND_US,
};

/* Weight of the newest request in the fraction of failures: about the last
 * twenty requests count. */
static const double FAILURE_WEIGHT = 0.08;

gboolean
endpoint_is_leased(const endpoint_t *e, gint64 now_us)
{
    return !e->left &&
           (e->reported_by != 0 || now_us < e->unreported_until_us);
}

gboolean
endpoint_usable(const endpoint_t *e, gint64 now_us)
{
    return !e->draining && endpoint_is_leased(e, now_us);
}

gboolean
endpoint_fetchable(const endpoint_t *e, gint64 now_us)
{
    return e->draining && !e->left && now_us < e->fetchable_until_us;
}

gboolean
endpoint_record_draining(endpoint_t *e, gint64 leaves_ms, gint64 now_us)
{
    if (e->draining) {
        return FALSE;
    }
    gint64 drain_us = leaves_ms > 0 ? leaves_ms * 1000 : DRAIN_MIN_US;
    e->draining = TRUE;
    e->fetchable_until_us = now_us + drain_us - FETCH_MARGIN_US;
    return TRUE;
}

gboolean
endpoint_is_misplaced(const endpoint_t *e, gint64 now_us)
{
    return now_us < e->misplaced_until_us;
}

gboolean
endpoint_available(const endpoint_t *e, gint64 now_us)
{
    return now_us >= e->backoff_until_us && now_us >= e->full_until_us &&
           !endpoint_is_misplaced(e, now_us);
}

gboolean
endpoint_connected(const endpoint_t *e, gint64 now_us)
{
    return e->last_served_us != 0 &&
           now_us - e->last_served_us < IDLE_CONNECTION_US;
}

guint
endpoint_running(const endpoint_t *e)
{
    return e->running + e->others.running;
}

guint
endpoint_waiting_tokens(const endpoint_t *e)
{
    return e->waiting_tokens + e->others.waiting_tokens;
}

void
endpoint_add_request(endpoint_t *e, guint prompt_tokens, guint waiting_tokens)
{
    e->running++;
    e->prompt_tokens += prompt_tokens;
    e->waiting_tokens += waiting_tokens;
    if (prompt_is_long(prompt_tokens)) {
        e->long_running++;
        e->long_waiting += waiting_tokens;
    }
}

void
endpoint_end_prefill(endpoint_t *e, guint prompt_tokens, guint waiting_tokens)
{
    e->waiting_tokens -= MIN(e->waiting_tokens, waiting_tokens);
    if (prompt_is_long(prompt_tokens)) {
        e->long_waiting -= MIN(e->long_waiting, waiting_tokens);
    }
}

void
endpoint_remove_request(endpoint_t *e, guint prompt_tokens)
{
    e->running--;
    e->prompt_tokens -= prompt_tokens;
    e->long_running -= prompt_is_long(prompt_tokens);
}

/* Starts a backoff, twice as long for each failure in a row. */
static void
endpoint_back_off(endpoint_t *e, gint64 now_us)
{
    if (now_us < e->backoff_until_us) {
        return;
    }
    e->backoff_us = e->backoff_us == 0
                        ? BACKOFF_MIN_US
                        : MIN(e->backoff_us * 2, BACKOFF_MAX_US);
    e->backoff_until_us = now_us + e->backoff_us;
}

void
endpoint_record_outcome(endpoint_t *e, endpoint_outcome_t outcome,
                        gint64 now_us)
{
    gboolean failed = outcome == ENDPOINT_BROKEN ||
                      outcome == ENDPOINT_SERVER_ERROR ||
                      outcome == ENDPOINT_UNREACHABLE;
    gboolean refused = outcome == ENDPOINT_FULL ||
                       outcome == ENDPOINT_ASKED_REST ||
                       outcome == ENDPOINT_MISDIRECTED;
    if (!refused) {
        e->failures += FAILURE_WEIGHT * ((failed ? 1.0 : 0.0) - e->failures);
    }
    switch (outcome) {
    case ENDPOINT_SERVED:
        e->last_served_us = now_us;
        e->backoff_us = 0;
        e->full_backoff_us = 0;
        break;
    case ENDPOINT_FULL:
        /* An endpoint that refuses all requests looks idle, and without a
         * backoff it would attract all of them. */
        e->full_backoff_us = CLAMP(e->full_backoff_us * 2, FULL_BACKOFF_MIN_US,
                                   FULL_BACKOFF_MAX_US);
        e->full_until_us = now_us + e->full_backoff_us;
        break;
    case ENDPOINT_ASKED_REST:
        /* The rest replaces the backoff, which only estimates it. */
        e->full_backoff_us = 0;
        e->full_until_us = 0;
        break;
    case ENDPOINT_MISDIRECTED:
        e->misplaced_until_us = now_us + MISDIRECTED_BACKOFF_US;
        break;
    case ENDPOINT_UNREACHABLE:
        endpoint_back_off(e, now_us);
        break;
    case ENDPOINT_BROKEN:
        if (e->failures > 0.3) {
            endpoint_back_off(e, now_us);
        }
        break;
    case ENDPOINT_SERVER_ERROR:
        break;
    }
}

gboolean
endpoint_has_part(const endpoint_t *e, guint64 part)
{
    return part_set_has(&e->parts, part);
}
