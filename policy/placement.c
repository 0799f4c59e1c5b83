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
/* One that fails a tenth of its requests is not asked for its memory. */
static const double SOURCE_FAILURES = 0.1;
/* Reading a shared part again costs the engine its time and is priced: it
 * weighs so many times its time. */
static const double REREAD_WEIGHT = 3.0;
/* Fetching it from another engine takes a fourteenth of that, and is priced
 * too. */
static const double FETCH_WEIGHT = 3.0;

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
/* And of its memory, by the tokens of the prompts that run there: above, parts
 * that many share are dropped to make room and read again, and engines with
 * many slots read so much that no stream ends in time (gaf-carobloom, 64
 * slots: worth 0.54 by the slots alone, 0.58 with this on scale-1). */
static const double LONG_MEMORY = 0.6;
/* A long prompt leaves its home for a queue there of half its objective of
 * 2 s; sooner, what it reads again elsewhere makes others late. */
static const double LONG_AWAY_MS = 1000.0;
static const double LONG_AWAY_SLOTS = 0.15;
static const double LONG_OFF_SIDE_SLOTS = 0.1;
static const double SHORT_SLOTS = 1.2;
/* Four times the slots of a plain server wait for three times its work, 45 ms
 * of an objective of 100. */
static const double PLAIN_SLOTS = 4.0;

/* A service that got no long prompt for so long is not parted. */
static const gint64 LONG_REMEMBERED_US = 60 * G_USEC_PER_SEC;
/* Until then an instance can not know whether it gets any: at 13 requests a
 * second, one in seven of them long, it would have met one. Without the
 * parting, chats begun in the first second share their engines with long
 * prompts to their end and miss their deadline (48 of 2,120 on gaf-carobloom
 * scale-1). */
static const gint64 LONG_UNKNOWN_US = 10 * G_USEC_PER_SEC;

gboolean
placement_is_long(guint prompt_tokens)
{
    return prompt_tokens >= LONG_TOKENS;
}

void
prompt_mix_note(prompt_mix_t *mix, guint prompt_tokens, gint64 now_us)
{
    if (mix->first_us == 0) {
        mix->first_us = now_us;
    }
    if (placement_is_long(prompt_tokens)) {
        mix->long_us = now_us;
    }
}

gboolean
prompt_mix_parted(const prompt_mix_t *mix, gint64 now_us)
{
    if (mix->long_us != 0) {
        return now_us - mix->long_us < LONG_REMEMBERED_US;
    }
    return now_us - mix->first_us < LONG_UNKNOWN_US;
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

/* The endpoints of the side that all instances rank first and second for a
 * prompt: its shared parts are kept there. NULL where there is none. */
typedef struct {
    const endpoint_t *home;
    const endpoint_t *deputy;
} homes_t;

static homes_t
homes_of(const GPtrArray *endpoints, side_t side, guint64 part, gint64 now_us)
{
    homes_t homes = {0};
    guint64 first = 0;
    guint64 second = 0;
    for (guint i = side.from; part != 0 && i < side.to; i++) {
        const endpoint_t *e = endpoints->pdata[i];
        guint64 rank = hash_pair(part, e->hash);
        if (!endpoint_usable(e, now_us)) {
            continue;
        }
        if (homes.home == NULL || rank > first) {
            homes.deputy = homes.home;
            second = first;
            homes.home = e;
            first = rank;
        }
        else if (homes.deputy == NULL || rank > second) {
            homes.deputy = e;
            second = rank;
        }
    }
    return homes;
}

/* How an endpoint stands to a request. */
typedef struct {
    gboolean home;
    gboolean on_side;
    guint read_tokens;  /* it would have to read */
    guint fetch_tokens; /* it would fetch from the home's memory */
} standing_t;

static void
set_tokens(standing_t *s, const endpoint_t *e, const placement_request_t *r,
           gboolean fetchable)
{
    guint own = r->prompt_tokens - shared_tokens(r);
    guint unread = placement_unread(e, r);
    s->read_tokens = unread;
    if (s->home) {
        s->read_tokens = MIN(unread, own);
    }
    else if (fetchable && unread > own) {
        s->read_tokens = own;
        s->fetch_tokens = unread - own;
    }
}

/* Requests under way there, of all instances. Callers are spread evenly over
 * them, so when nothing is told of the others they are taken to have as many
 * as this one. That is a coarse count; short requests, which end at once, are
 * not refused by it. */
static guint
running_at(const endpoint_t *e, const placement_request_t *r)
{
    if (r->unknown_sharers == 0) {
        return e->running + e->others_running;
    }
    return placement_is_long(r->prompt_tokens)
               ? e->running * r->unknown_sharers
               : e->running;
}

/* The tokens of the prompts of those requests. */
static guint64
tokens_at(const endpoint_t *e, const placement_request_t *r)
{
    return r->unknown_sharers > 0
               ? (guint64)e->prompt_tokens * r->unknown_sharers
               : (guint64)e->prompt_tokens + e->others_tokens;
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
    if (placement_is_long(r->prompt_tokens) && r->memory_tokens > 0 &&
        (double)tokens_at(e, r) > LONG_MEMORY * (double)r->memory_tokens) {
        return FALSE;
    }
    return running_at(e, r) < MAX(part * e->slots, 1);
}

/* Costs count this instance's own requests only. Those of the others are
 * known a few hundred ms late, and what all see as the least loaded endpoint
 * would be the most loaded next. */
static double
engine_ms(const endpoint_t *e, const placement_request_t *r,
          standing_t standing)
{
    guint own = r->prompt_tokens - shared_tokens(r);
    double reread =
        standing.read_tokens > own ? standing.read_tokens - own : 0;
    double ms =
        (double)(e->waiting_tokens + standing.read_tokens) / TOKENS_A_MS;
    if (placement_is_long(r->prompt_tokens)) {
        ms += e->others_waiting / TOKENS_A_MS;
        ms += standing.home ? 0 : LONG_AWAY_MS;
    }
    ms += reread * (REREAD_WEIGHT - 1) / TOKENS_A_MS;
    if (standing.fetch_tokens > 0) {
        ms += standing.fetch_tokens / r->fetch_tokens_a_ms * FETCH_WEIGHT;
    }
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

/* Whether it may take the request at all; counts why not. */
static gboolean
is_candidate(const endpoint_t *e, const placement_request_t *r,
             standing_t standing, placement_counts_t *counts, gint64 now_us)
{
    guint *why = NULL;
    if (!endpoint_usable(e, now_us)) {
        why = &counts->unusable;
    }
    else if (was_tried(r, e)) {
        why = &counts->tried;
    }
    else if (now_us < e->full_until_us) {
        why = &counts->full;
    }
    else if (!has_place(e, r, standing)) {
        why = &counts->no_place;
    }
    if (why != NULL) {
        (*why)++;
    }
    return why == NULL;
}

const char *
placement_reason(const placement_counts_t *c)
{
    if (c->known == c->unusable) {
        return "no endpoint of the service is up";
    }
    if (c->no_place >= c->full + c->tried) {
        return "all places are taken";
    }
    return c->full >= c->tried ? "the endpoints refuse"
                               : "the endpoints left were tried";
}

/* Whether an endpoint is well enough to be asked for its memory. */
static gboolean
may_be_asked(const endpoint_t *e, gint64 now_us)
{
    return e != NULL && endpoint_open(e, now_us) &&
           e->failures < SOURCE_FAILURES;
}

/* Where `endpoint` may fetch the shared parts from. */
static const endpoint_t *
source_for(const endpoint_t *endpoint, homes_t homes, gint64 now_us)
{
    if (endpoint != homes.home && may_be_asked(homes.home, now_us)) {
        return homes.home;
    }
    if (endpoint != homes.deputy && may_be_asked(homes.deputy, now_us)) {
        return homes.deputy;
    }
    return NULL;
}

/* The best of those that are open, or of those closed after failures. */
static placement_t
pick_among(const GPtrArray *endpoints, const placement_request_t *r,
           gboolean closed, gint64 now_us)
{
    side_t side = side_of(endpoints, r);
    homes_t homes = homes_of(endpoints, side, shared_part(r), now_us);
    gboolean fetches = r->fetch_tokens_a_ms > 0;
    placement_t best = {.counts = {.known = endpoints->len}};
    double best_ms = 0;
    for (guint i = 0; i < endpoints->len; i++) {
        guint at = (i + r->draw) % endpoints->len;
        endpoint_t *e = endpoints->pdata[at];
        gboolean on_side = at >= side.from && at < side.to;
        /* A prompt that shares no part is at home anywhere on its side. */
        standing_t standing = {
            .home = homes.home != NULL ? e == homes.home : on_side,
            .on_side = on_side,
        };
        if (!is_candidate(e, r, standing, &best.counts, now_us)) {
            continue;
        }
        if (endpoint_open(e, now_us) == closed) {
            best.counts.closed += !closed;
            continue;
        }
        const endpoint_t *source =
            fetches ? source_for(e, homes, now_us) : NULL;
        set_tokens(&standing, e, r, source != NULL);
        double ms = expected_ms(e, r, standing, now_us);
        if (best.endpoint == NULL || ms < best_ms) {
            best.endpoint = e;
            best.source = source;
            best.read_tokens = standing.read_tokens;
            best_ms = ms;
        }
    }
    return best;
}

placement_t
placement_pick(const GPtrArray *endpoints, const placement_request_t *r,
               gint64 now_us)
{
    placement_t best = pick_among(endpoints, r, FALSE, now_us);
    /* All that are left were closed after failures: one of them is still
     * better than none. */
    return best.endpoint != NULL ? best
                                 : pick_among(endpoints, r, TRUE, now_us);
}
