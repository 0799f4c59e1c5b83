#include "carobloom/policy/placement.h"

#include "carobloom/policy/rendezvous.h"

/* Prompt tokens an engine reads in a millisecond; the engines met so far read
 * 61, less what the batch takes. Only the ratio to the other terms counts. */
static const double TOKENS_A_MS = 50.0;
/* What one more request under way costs the next, in ms: on engines the step
 * grows little; a plain server works one off in about 15 ms on 6 slots. */
static const double RUNNING_ENGINE_MS = 1.0;
static const double RUNNING_PLAIN_MS = 2.5;
/* Going to another data centre: half a millisecond each way, and bytes that
 * cost. */
static const double FAR_MS = 1.0;
/* A request at an endpoint that fails always is lost, or repeated after a
 * multiple of its objective. */
static const double FAILURE_MS = 400.0;
static const double COLD_MS = 30.0;

guint
placement_unread(const endpoint_t *e, const placement_request_t *r)
{
    guint cached = 0;
    for (guint i = 0; i < r->part_count; i++) {
        if (!endpoint_has_part(e, r->parts[i].id)) {
            break;
        }
        cached += r->parts[i].tokens;
    }
    return r->prompt_tokens > cached ? r->prompt_tokens - cached : 0;
}

static gboolean
was_tried(const placement_request_t *r, const endpoint_t *e)
{
    for (guint i = 0; i < r->tried_count; i++) {
        if (r->tried[i] == e) {
            return TRUE;
        }
    }
    return FALSE;
}

/* The last part is the request's own; the one before is what many share. */
static guint64
shared_part(const placement_request_t *r)
{
    return r->part_count >= 2 ? r->parts[r->part_count - 2].id : 0;
}

static guint
shared_tokens(const placement_request_t *r)
{
    guint tokens = 0;
    for (guint i = 0; i + 1 < r->part_count; i++) {
        tokens += r->parts[i].tokens;
    }
    return MIN(tokens, r->prompt_tokens);
}

/* The endpoint that all instances rank first for this prompt. */
static const endpoint_t *
home_of(const GPtrArray *endpoints, guint64 part, gint64 now_us)
{
    const endpoint_t *home = NULL;
    guint64 best = 0;
    for (guint i = 0; part != 0 && i < endpoints->len; i++) {
        const endpoint_t *e = endpoints->pdata[i];
        guint64 rank = hash_pair(part, e->hash);
        if (endpoint_usable(e, now_us) && (home == NULL || rank > best)) {
            home = e;
            best = rank;
        }
    }
    return home;
}

static double
expected_ms(const endpoint_t *e, const placement_request_t *r,
            const endpoint_t *home, gint64 now_us)
{
    double ms = 0;
    if (r->prompt_tokens > 0) {
        guint unread = placement_unread(e, r);
        if (e == home) {
            unread = MIN(unread, r->prompt_tokens - shared_tokens(r));
        }
        ms += (double)(e->waiting_tokens + unread) / TOKENS_A_MS;
        ms += e->running * RUNNING_ENGINE_MS;
    }
    else {
        ms += e->running * RUNNING_PLAIN_MS;
    }
    ms += e->failures * FAILURE_MS;
    ms += g_strcmp0(e->data_centre, r->data_centre) == 0 ? 0 : FAR_MS;
    ms += now_us < e->cold_until_us ? COLD_MS : 0;
    return ms;
}

static endpoint_t *
pick_among(const GPtrArray *endpoints, const placement_request_t *r,
           gboolean closed_too, gint64 now_us)
{
    const endpoint_t *home = home_of(endpoints, shared_part(r), now_us);
    endpoint_t *best = NULL;
    double best_ms = 0;
    for (guint i = 0; i < endpoints->len; i++) {
        endpoint_t *e = endpoints->pdata[(i + r->draw) % endpoints->len];
        if (!endpoint_usable(e, now_us) || was_tried(r, e) ||
            now_us < e->full_until_us ||
            (!closed_too && !endpoint_open(e, now_us))) {
            continue;
        }
        double ms = expected_ms(e, r, home, now_us);
        if (best == NULL || ms < best_ms) {
            best = e;
            best_ms = ms;
        }
    }
    return best;
}

endpoint_t *
placement_pick(const GPtrArray *endpoints, const placement_request_t *r,
               gint64 now_us)
{
    endpoint_t *best = pick_among(endpoints, r, FALSE, now_us);
    /* All that are left were closed after failures: one of them is still
     * better than none. */
    return best != NULL ? best : pick_among(endpoints, r, TRUE, now_us);
}
