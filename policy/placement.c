#include "carobloom/policy/placement.h"

#include "carobloom/policy/rendezvous.h"

/* The figures below were chosen by rounds on the heaviest days; the table
 * stands in docs/design/placement.md. */

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
/* Reading a shared part again costs the engine its time and is priced: it
 * weighs so many times its time. */
static const double REREAD_WEIGHT = 3.0;

/* A prompt of so many tokens holds an engine up for two chunks of its reading
 * or more, some 65 ms, a quarter of the shortest pause objective (250 ms). */
static const guint LONG_TOKENS = 4000;
/* The part of a service's engines that long prompts are for. */
static const double LONG_PART = 0.6;
/* A long prompt goes among short ones only when that spares it most of its
 * objective of 2 s; a short one goes among long ones rather than wait for two
 * thirds of its own of 300 ms. */
static const double LONG_AMONG_SHORT_MS = 1500.0;
static const double SHORT_AMONG_LONG_MS = 200.0;

/* Parts of an engine's slots that requests may take. While prompts are read
 * all the time a token takes ten times as long, and a draft of 400 of them
 * does not end in 15 s: at 27 of 32 slots an engine reads for some 70% of its
 * time and drafts end within five. Away from where its shared parts are, a
 * long prompt costs the engine twice the reading: only engines with next to
 * nothing to do take it. Short prompts may wait for a moment. */
static const double LONG_HOME_SLOTS = 0.85;
static const double LONG_AWAY_SLOTS = 0.15;
static const double LONG_OFF_SIDE_SLOTS = 0.1;
static const double SHORT_SLOTS = 1.2;
/* Four times the slots of a plain server wait for three times its work, 45 ms
 * of an objective of 100. */
static const double PLAIN_SLOTS = 4.0;

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
    guint for_long = (guint)(LONG_PART * count + 0.5);
    if (!r->parted || for_long == 0 || for_long >= count) {
        return (side_t){.from = 0, .to = count};
    }
    return placement_is_long(r->prompt_tokens)
               ? (side_t){.from = 0, .to = for_long}
               : (side_t){.from = for_long, .to = count};
}

/* The endpoint of the side that all instances rank first for a prompt. */
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

/* How an endpoint stands to a request. */
typedef struct {
    gboolean home;
    gboolean on_side;
} standing_t;

static guint
running_at(const endpoint_t *e)
{
    return e->running + e->others_running;
}

static gboolean
has_place(const endpoint_t *e, const placement_request_t *r,
          standing_t standing)
{
    double part = SHORT_SLOTS;
    if (r->prompt_tokens == 0) {
        part = PLAIN_SLOTS;
    }
    else if (placement_is_long(r->prompt_tokens)) {
        part = standing.home      ? LONG_HOME_SLOTS
               : standing.on_side ? LONG_AWAY_SLOTS
                                  : LONG_OFF_SIDE_SLOTS;
    }
    return running_at(e) < MAX(part * e->slots, 1);
}

/* Costs count this instance's own requests only. Those of the others are
 * known a few hundred ms late, and what all see as the least loaded endpoint
 * would be the most loaded next. */
static double
engine_ms(const endpoint_t *e, const placement_request_t *r,
          standing_t standing)
{
    guint own = r->prompt_tokens - shared_tokens(r);
    guint unread = placement_unread(e, r);
    unread = standing.home ? MIN(unread, own) : unread;
    double reread = unread > own ? unread - own : 0;
    double ms = (double)(e->waiting_tokens + unread) / TOKENS_A_MS;
    ms += reread * (REREAD_WEIGHT - 1) / TOKENS_A_MS;
    ms += e->running * RUNNING_ENGINE_MS;
    if (!standing.on_side) {
        ms += placement_is_long(r->prompt_tokens) ? LONG_AMONG_SHORT_MS
                                                  : SHORT_AMONG_LONG_MS;
    }
    return ms;
}

static double
expected_ms(const endpoint_t *e, const placement_request_t *r,
            standing_t standing, gint64 now_us)
{
    double ms = r->prompt_tokens > 0 ? engine_ms(e, r, standing)
                                     : e->running * RUNNING_PLAIN_MS;
    ms += e->failures * FAILURE_MS;
    ms += g_strcmp0(e->data_centre, r->data_centre) == 0 ? 0 : FAR_MS;
    ms += now_us < e->cold_until_us ? COLD_MS : 0;
    return ms;
}

/* Whether it may take the request at all. */
static gboolean
is_candidate(const endpoint_t *e, const placement_request_t *r,
             standing_t standing, gboolean closed_too, gint64 now_us)
{
    return endpoint_usable(e, now_us) && !was_tried(r, e) &&
           now_us >= e->full_until_us && has_place(e, r, standing) &&
           (closed_too || endpoint_open(e, now_us));
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
        standing_t standing = {.home = home != NULL && e == home,
                               .on_side = at >= side.from && at < side.to};
        if (!is_candidate(e, r, standing, closed_too, now_us)) {
            continue;
        }
        double ms = expected_ms(e, r, standing, now_us);
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
