#include "carobloom/policy/placement.h"

#include <math.h>

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
/* A prompt of so many tokens holds an engine up for two chunks of its reading
 * or more, some 65 ms, a quarter of the shortest pause objective (250 ms). */
static const guint LONG_TOKENS = 4000;
/* Reading a shared part again costs the engine its time and is priced: it
 * weighs so many times its time. */
static const double REREAD_WEIGHT = 3.0;
/* A long prompt goes among short ones only when that spares it most of its
 * objective of 2 s; a short one goes among long ones rather than wait for two
 * thirds of its own of 300 ms. */
static const double LONG_AMONG_SHORT_MS = 1500.0;
static const double SHORT_AMONG_LONG_MS = 200.0;
/* Short prompts get twice the engines that their tokens need, since pauses
 * grow with the load long before an engine is full. */
static const double SHORT_WEIGHT = 2.0;
static const double LONG_PART_LEAST = 0.25;
static const double LONG_PART_MOST = 0.75;
/* The mix is over the last ten seconds or so: bursts last that long. */
static const double MIX_SECONDS = 10.0;

static void
mix_decay(placement_mix_t *mix, gint64 now_us)
{
    double seconds = (double)(now_us - mix->at_us) / 1e6;
    double keep = exp(-seconds / MIX_SECONDS);
    mix->long_tokens *= keep;
    mix->short_tokens *= keep;
    mix->at_us = now_us;
}

void
placement_mix_note(placement_mix_t *mix, guint prompt_tokens, gint64 now_us)
{
    mix_decay(mix, now_us);
    if (placement_is_long(prompt_tokens)) {
        mix->long_tokens += prompt_tokens;
    }
    else {
        mix->short_tokens += prompt_tokens;
    }
}

double
placement_mix_long_part(const placement_mix_t *mix)
{
    double weighted = mix->long_tokens + SHORT_WEIGHT * mix->short_tokens;
    if (weighted <= 0 || mix->long_tokens <= 0) {
        return 0;
    }
    return CLAMP(mix->long_tokens / weighted, LONG_PART_LEAST, LONG_PART_MOST);
}

gboolean
placement_is_long(guint prompt_tokens)
{
    return prompt_tokens >= LONG_TOKENS;
}

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

/* Which endpoints, by their place in the list, are for prompts like this. */
typedef struct {
    guint from;
    guint to;
} side_t;

static side_t
side_of(const GPtrArray *endpoints, const placement_request_t *r)
{
    guint count = endpoints->len;
    guint for_long = (guint)(r->long_part * count + 0.5);
    if (r->prompt_tokens == 0 || for_long == 0 || for_long >= count) {
        return (side_t){.from = 0, .to = count};
    }
    return placement_is_long(r->prompt_tokens)
               ? (side_t){.from = 0, .to = for_long}
               : (side_t){.from = for_long, .to = count};
}

/* The endpoint of the side that all instances rank first for this prompt. */
static const endpoint_t *
home_of(const GPtrArray *endpoints, side_t side, guint64 part, gint64 now_us)
{
    const endpoint_t *home = NULL;
    guint64 best = 0;
    for (guint i = side.from; part != 0 && i < side.to; i++) {
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
engine_ms(const endpoint_t *e, const placement_request_t *r, gboolean home,
          gboolean on_side)
{
    guint own = r->prompt_tokens - shared_tokens(r);
    guint unread = placement_unread(e, r);
    unread = home ? MIN(unread, own) : unread;
    double reread = unread > own ? unread - own : 0;
    double ms = (double)(e->waiting_tokens + unread) / TOKENS_A_MS;
    ms += reread * (REREAD_WEIGHT - 1) / TOKENS_A_MS;
    ms += e->running * RUNNING_ENGINE_MS;
    if (!on_side) {
        ms += placement_is_long(r->prompt_tokens) ? LONG_AMONG_SHORT_MS
                                                  : SHORT_AMONG_LONG_MS;
    }
    return ms;
}

static double
expected_ms(const endpoint_t *e, const placement_request_t *r, gboolean home,
            gboolean on_side, gint64 now_us)
{
    double ms = r->prompt_tokens > 0 ? engine_ms(e, r, home, on_side)
                                     : e->running * RUNNING_PLAIN_MS;
    ms += e->failures * FAILURE_MS;
    ms += g_strcmp0(e->data_centre, r->data_centre) == 0 ? 0 : FAR_MS;
    ms += now_us < e->cold_until_us ? COLD_MS : 0;
    return ms;
}

static endpoint_t *
pick_among(const GPtrArray *endpoints, const placement_request_t *r,
           gboolean closed_too, gint64 now_us)
{
    side_t side = side_of(endpoints, r);
    const endpoint_t *home = home_of(endpoints, side, shared_part(r), now_us);
    endpoint_t *best = NULL;
    double best_ms = 0;
    for (guint i = 0; i < endpoints->len; i++) {
        guint at = (i + r->draw) % endpoints->len;
        endpoint_t *e = endpoints->pdata[at];
        if (!endpoint_usable(e, now_us) || was_tried(r, e) ||
            now_us < e->full_until_us ||
            (!closed_too && !endpoint_open(e, now_us))) {
            continue;
        }
        gboolean on_side = at >= side.from && at < side.to;
        double ms = expected_ms(e, r, e == home, on_side, now_us);
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
