#include "carobloom/policy/placement.h"

#include "carobloom/policy/keepers.h"
#include "carobloom/policy/prompt_mix.h"
#include "carobloom/policy/rendezvous.h"

/* Where each figure comes from, and what half and twice of it do, stands in
 * docs/design/constants.md. */

/* What one more request under way costs the next, in ms: on engines the step
 * grows little; a plain server works one off in about 15 ms on 6 slots. */
static const double RUNNING_ENGINE_MS = 1.0;
static const double RUNNING_PLAIN_MS = 2.5;
/* Going to another data centre, for the bytes: as much as 30 running requests
 * at an engine. */
static const double FAR_MS = 30.0;
/* A request at an endpoint that fails always is lost, or repeated after a
 * multiple of its objective. */
static const double FAILURE_MS = 400.0;
static const double COLD_MS = 30.0;
/* A new connection to a plain server: a round trip and the server's work on
 * it. Less than one request under way, so that it only decides among equals:
 * of hundreds of idle ones an instance uses those that it is connected to. */
static const double CONNECT_MS = 1.0;
/* Reading a shared part again costs the engine its time and is priced: it
 * weighs so many times its time. */
static const double REREAD_WEIGHT = 3.0;
/* Fetching it from another engine takes a fourteenth of that, and is priced
 * too. */
static const double FETCH_WEIGHT = 3.0;

/* Prompts that are read in one go hold up the streams beside them: at most for
 * so much of the shortest objective of their pauses, since other instances may
 * send there at the same time. */
static const double STALL_PART = 0.4;
/* A short prompt rather goes where 200 others run than where one of those
 * reads holds its stream up. */
static const double SHORT_STALLED_MS = 200.0;
/* An engine whose slots are nearly full makes a short prompt wait for one:
 * over half of them, each tenth weighs 10 ms, so that a full one weighs more
 * than going to another data centre. */
static const double SHORT_FULL_MS = 100.0;
static const double SHORT_FULL_FROM = 0.5;
/* Short prompts for which no ranked endpoint is good enough take the best of
 * so many, drawn anywhere on their side. */
static const guint SHORT_SAMPLE = 4;
/* To a short prompt that leaves the keepers of its shared part, in parts of
 * the time that reading it again costs: an engine that is asked for the part
 * has it only if others went there before. */
static const double SHORT_AWAY_PART = 0.5;
/* A long prompt that leaves its keepers takes the best of so many, beside the
 * next ranked for its part. */
static const guint LONG_SAMPLE = 4;
/* While one of the endpoints ranked for its part serves a request within such
 * a part of its objective, no other is considered. */
static const double RANKED_PART = 0.5;
/* Off its side a prompt goes when it spares it this much. */
static const double OFF_SIDE_MS = 100.0;
/* To a long prompt, in parts of its objective, each stream that is not long on
 * an engine: the border moved over them and they still run there. Seven of
 * them make it go to the next keeper. */
static const double LONG_AT_REST_PART = 0.06;

/* Parts of an engine's slots that requests may take. While prompts are read
 * all the time a token takes ten times as long, so that long answers do not
 * end in time. Short prompts may wait for a moment. */
static const double LONG_HOME_SLOTS = 0.85;
/* And of its memory, by the tokens of the prompts that run there: above, parts
 * that many share are dropped to make room and read again, and engines with
 * many slots read so much that no stream ends in time. */
static const double LONG_MEMORY = 0.6;
/* A long prompt leaves its home for a queue there of so much of its objective:
 * for the next keeper of its shared parts, or for another engine of its side.
 * Others later, so that few engines keep a part. */
static const double LONG_KEEPER_PART = 0.4;
static const double LONG_AWAY_PART = 0.7;
static const double LONG_AWAY_SLOTS = 0.15;
static const double LONG_OFF_SIDE_SLOTS = 0.1;
/* A long prompt that would hold streams up goes to no engine, of its side
 * either, where more than this part of the slots stream: the border has just
 * moved over them. */
static const double REST_SLOTS = 0.15;
static const double SHORT_SLOTS = 1.2;
/* Four times the slots of a plain server wait for three times its work, 45 ms
 * of an objective of 100. */
static const double PLAIN_SLOTS = 4.0;

guint
placement_unread(const endpoint_t *e, const placement_request_t *r)
{
    /* A part was read after those before it. */
    guint known = r->part_count;
    while (known > 0 && !endpoint_has_part(e, r->parts[known - 1].id)) {
        known--;
    }
    guint cached = 0;
    for (guint i = 0; i < known; i++) {
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

/* The last of a prompt's parts but its `last` ones, with the tokens of all up
 * to it. */
static prompt_part_t
part_before(const placement_request_t *r, guint last)
{
    prompt_part_t part = {0};
    for (guint i = 0; i + last < r->part_count; i++) {
        part.id = r->parts[i].id;
        part.tokens += r->parts[i].tokens;
    }
    part.tokens = MIN(part.tokens, r->prompt_tokens);
    return part;
}

/* The last part is the request's own; the one before is what many share. */
prompt_part_t
placement_shared_part(const placement_request_t *r)
{
    return part_before(r, 1);
}

prompt_part_t
placement_prefix_part(const placement_request_t *r)
{
    return part_before(r, 2);
}

static guint
shared_tokens(const placement_request_t *r)
{
    return placement_shared_part(r).tokens;
}

/* Which endpoints are for prompts like this. */
static side_t
side_of(const GPtrArray *endpoints, const placement_request_t *r)
{
    guint count = endpoints->len;
    guint for_long = (guint)(r->long_part * count + 0.5);
    if (!r->parted || for_long == 0 || for_long >= count) {
        return (side_t){.from = 0, .to = count};
    }
    return prompt_is_long(r->prompt_tokens)
               ? (side_t){.from = 0, .to = for_long}
               : (side_t){.from = for_long, .to = count};
}

/* How an endpoint stands to a request. */
typedef struct {
    guint rank; /* among the keepers of its shared parts; 0: their home */
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
    if (s->rank == 0) {
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
        return endpoint_running(e);
    }
    return prompt_is_long(r->prompt_tokens) ? e->running * r->unknown_sharers
                                            : e->running;
}

/* The tokens of the prompts of those requests. */
static guint64
tokens_at(const endpoint_t *e, const placement_request_t *r)
{
    return r->unknown_sharers > 0
               ? (guint64)e->prompt_tokens * r->unknown_sharers
               : (guint64)e->prompt_tokens + e->others.prompt_tokens;
}

/* Requests that are not long at an endpoint, of all instances. */
static guint
rest_at(const endpoint_t *e)
{
    guint running = endpoint_running(e);
    guint of_long = e->long_running + e->others.long_running;
    return running - MIN(running, of_long);
}

/* Requests of all instances there, in parts of its slots. */
static double
fullness(const endpoint_t *e)
{
    return (double)endpoint_running(e) / MAX(e->slots, 1);
}

/* Whether reading so many tokens in a row makes pauses late for what streams
 * beside. */
static gboolean
stalls(const placement_request_t *r, double tokens)
{
    return r->rest_pause_ms > 0 &&
           tokens > STALL_PART * (double)r->rest_pause_ms * r->tokens_a_ms;
}

/* The part of its slots that long prompts may take. Away from where its shared
 * parts are kept, a long prompt costs the engine twice the reading: only those
 * with next to nothing to do take it. The next keeper takes as many as it
 * reads within their objective. */
static double
long_slots(const endpoint_t *e, const placement_request_t *r,
           standing_t standing)
{
    if (standing.rank == 0) {
        return LONG_HOME_SLOTS;
    }
    if (!standing.on_side) {
        return LONG_OFF_SIDE_SLOTS;
    }
    if (standing.rank >= KEEPERS_MAX) {
        return LONG_AWAY_SLOTS;
    }
    /* As if it were a typical prompt: a large one must not find every engine
     * full that others still find free. */
    double typical =
        r->long_tokens > 0 ? r->long_tokens / r->prompt_tokens : 1;
    double read_tokens = standing.read_tokens * MIN(typical, 1);
    double in_time =
        (double)r->target_ms * r->tokens_a_ms / MAX(read_tokens, 1);
    return CLAMP(in_time / e->slots, LONG_AWAY_SLOTS, LONG_HOME_SLOTS);
}

static gboolean
has_place(const endpoint_t *e, const placement_request_t *r,
          standing_t standing)
{
    double part = SHORT_SLOTS;
    if (r->prompt_tokens == 0) {
        part = PLAIN_SLOTS;
    }
    else if (prompt_is_long(r->prompt_tokens)) {
        part = long_slots(e, r, standing);
    }
    if (prompt_is_long(r->prompt_tokens) && r->memory_tokens > 0 &&
        (double)tokens_at(e, r) > LONG_MEMORY * (double)r->memory_tokens) {
        return FALSE;
    }
    if (prompt_is_long(r->prompt_tokens) &&
        rest_at(e) > (standing.on_side ? REST_SLOTS * e->slots : 0) &&
        stalls(r, endpoint_waiting_tokens(e) + standing.read_tokens)) {
        return FALSE;
    }
    return running_at(e, r) < MAX(part * e->slots, 1);
}

/* What leaving the home of its shared parts has to spare a long prompt, in
 * parts of its objective. */
static double
away_part(standing_t standing)
{
    if (standing.rank == 0) {
        return 0;
    }
    return standing.rank < KEEPERS_MAX ? LONG_KEEPER_PART : LONG_AWAY_PART;
}

/* What sending the request to an engine costs, in ms of its own waiting and of
 * what others lose. Running requests count as this instance's own only: those
 * of the others are known a few hundred ms late, and what all see as the least
 * loaded endpoint would be the most loaded next. Where a request chooses among
 * few endpoints, what all instances have there counts. */
static double
engine_ms(const endpoint_t *e, const placement_request_t *r,
          standing_t standing)
{
    guint own = r->prompt_tokens - shared_tokens(r);
    double reread =
        standing.read_tokens > own ? standing.read_tokens - own : 0;
    double ms =
        (double)(e->waiting_tokens + standing.read_tokens) / r->tokens_a_ms;
    if (prompt_is_long(r->prompt_tokens)) {
        ms += e->others.waiting_tokens / r->tokens_a_ms;
        ms += away_part(standing) * (double)r->target_ms;
        ms += rest_at(e) * LONG_AT_REST_PART * (double)r->target_ms;
    }
    else {
        ms += stalls(r, endpoint_waiting_tokens(e)) ? SHORT_STALLED_MS : 0;
        ms += SHORT_FULL_MS * MAX(fullness(e) - SHORT_FULL_FROM, 0);
        if (standing.rank >= KEEPERS_MAX) {
            ms += SHORT_AWAY_PART * REREAD_WEIGHT * shared_tokens(r) /
                  r->tokens_a_ms;
        }
    }
    ms += reread * (REREAD_WEIGHT - 1) / r->tokens_a_ms;
    if (standing.fetch_tokens > 0) {
        ms += standing.fetch_tokens / r->fetch_tokens_a_ms * FETCH_WEIGHT;
    }
    ms += e->running * RUNNING_ENGINE_MS;
    if (!standing.on_side) {
        ms += OFF_SIDE_MS;
    }
    return ms;
}

static double
plain_ms(const endpoint_t *e, gint64 now_us)
{
    double connect = endpoint_connected(e, now_us) ? 0 : CONNECT_MS;
    return e->running * RUNNING_PLAIN_MS + connect;
}

/* Whether going there costs nothing for its data centre. A keeper of shared
 * parts elsewhere is worth it: what is not read again takes more of an
 * engine's time than the way, and a request is few bytes. */
static gboolean
near_enough(const endpoint_t *e, const placement_request_t *r,
            standing_t standing)
{
    gboolean keeps = r->part_count >= 2 && standing.rank < KEEPERS_MAX;
    return keeps || g_strcmp0(e->data_centre, r->data_centre) == 0;
}

static double
expected_ms(const endpoint_t *e, const placement_request_t *r,
            standing_t standing, gint64 now_us)
{
    double ms =
        r->prompt_tokens > 0 ? engine_ms(e, r, standing) : plain_ms(e, now_us);
    ms += e->failures * FAILURE_MS;
    if (!near_enough(e, r, standing)) {
        ms += FAR_MS;
    }
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

/* Whether its limit keeps the request away. */
static gboolean
is_limited(const endpoint_t *e, const placement_request_t *r)
{
    return e->limit != NULL && e->limit->limited &&
           (r->yields || !endpoint_limit_allows(e->limit, r->limits_now_us));
}

gboolean
placement_is_limited(const placement_counts_t *c)
{
    return c->limited > 0 && c->limited >= c->no_place;
}

const char *
placement_reason(const placement_counts_t *c)
{
    if (c->known == c->unusable) {
        return "no endpoint of the service is up";
    }
    if (placement_is_limited(c)) {
        return "the limits that the endpoints named are spent";
    }
    if (c->no_place >= c->full + c->tried) {
        return "all places are taken";
    }
    return c->full >= c->tried ? "the endpoints refuse"
                               : "the endpoints left were tried";
}

/* How many endpoints of a side a request chooses from, beside the keepers of
 * its shared parts. Loads of others are told late, so that all instances would
 * take the one that was the least loaded; each takes the least loaded of a few
 * drawn at random. */
static guint
sample_most(const placement_request_t *r)
{
    if (r->prompt_tokens == 0) {
        return G_MAXUINT;
    }
    return prompt_is_long(r->prompt_tokens) ? LONG_SAMPLE : SHORT_SAMPLE;
}

/* A choice being made: the best of those that are open, or of those closed
 * after failures. */
typedef struct {
    const placement_request_t *request;
    keepers_t keepers; /* of the request's shared parts */
    gboolean closed;
    gint64 now_us;
    placement_t best;
    double best_ms;
    double denied_ms; /* of best.denied */
} choice_t;

static standing_t
standing_of(const choice_t *c, const endpoint_t *e, gboolean on_side)
{
    /* A prompt that shares no part is at home anywhere on its side. */
    gboolean anywhere = c->keepers.count == 0 && on_side;
    return (standing_t){
        .rank = anywhere ? 0 : keepers_rank(&c->keepers, e),
        .on_side = on_side,
    };
}

/* Whom it would fetch shared parts from; NULL when engines do not fetch. */
static const endpoint_t *
choice_source(const choice_t *c, const endpoint_t *e)
{
    return c->request->fetch_tokens_a_ms > 0
               ? keepers_source(&c->keepers, e, c->now_us)
               : NULL;
}

/* Whether it can be chosen; counts why not. */
static gboolean
choice_allows(choice_t *c, const endpoint_t *e, standing_t standing)
{
    placement_counts_t *counts = &c->best.counts;
    if (!is_candidate(e, c->request, standing, counts, c->now_us)) {
        return FALSE;
    }
    if (endpoint_available(e, c->now_us) == c->closed) {
        counts->closed += !c->closed;
        return FALSE;
    }
    return TRUE;
}

static void
choice_deny(choice_t *c, endpoint_t *e, double ms)
{
    if (c->best.denied == NULL || ms < c->denied_ms) {
        c->best.denied = e;
        c->denied_ms = ms;
    }
}

/* Whether it can be chosen; it is when it is better than the best so far. */
static gboolean
choice_consider(choice_t *c, endpoint_t *e, standing_t standing)
{
    const endpoint_t *source = choice_source(c, e);
    set_tokens(&standing, e, c->request, source != NULL);
    if (!choice_allows(c, e, standing)) {
        return FALSE;
    }
    double ms = expected_ms(e, c->request, standing, c->now_us);
    if (is_limited(e, c->request)) {
        choice_deny(c, e, ms);
        return FALSE;
    }
    if (c->best.endpoint == NULL || ms < c->best_ms) {
        c->best.endpoint = e;
        c->best.source = source;
        c->best.read_tokens = standing.read_tokens;
        c->best_ms = ms;
    }
    return TRUE;
}

/* Considers the endpoints of its side that are ranked for its shared part: the
 * keepers, and the next ones, where a prompt goes that leaves the keepers.
 * Each part has its own next ones: hundreds of instances that took the best of
 * the whole side would all send to the few engines that looked idle a moment
 * before. */
static void
choice_rank(choice_t *c)
{
    for (guint i = 0; i < c->keepers.count; i++) {
        standing_t standing = {.rank = i, .on_side = TRUE};
        choice_consider(c, c->keepers.at[i], standing);
    }
}

/* Considers endpoints of a side drawn at random, `most` that can take it;
 * where `blind`, those that can not count among them: an endpoint that is the
 * only idle one of many is then not found by all instances at once. */
static void
choice_draw(choice_t *c, const GPtrArray *endpoints, side_t side,
            gboolean on_side, guint most, gboolean blind)
{
    guint drawn = 0;
    guint count = side.to - side.from;
    for (guint i = 0; i < count && drawn < most; i++) {
        guint at = side.from + (c->request->draw + i) % count;
        endpoint_t *e = endpoints->pdata[at];
        standing_t standing = standing_of(c, e, on_side);
        gboolean ranked =
            c->keepers.count > 0 && standing.rank < KEEPERS_RANKED;
        if (!ranked) {
            drawn += choice_consider(c, e, standing) || blind;
        }
    }
}

/* Nothing was found: says of all endpoints why they could not take it. */
static void
choice_count(choice_t *c, const GPtrArray *endpoints, side_t side)
{
    c->best.counts = (placement_counts_t){.known = endpoints->len};
    for (guint i = 0; i < endpoints->len; i++) {
        const endpoint_t *e = endpoints->pdata[i];
        gboolean on_side = i >= side.from && i < side.to;
        standing_t standing = standing_of(c, e, on_side);
        set_tokens(&standing, e, c->request, choice_source(c, e) != NULL);
        c->best.counts.limited +=
            choice_allows(c, e, standing) && is_limited(e, c->request);
    }
}

static side_t
side_beyond(side_t side, guint count)
{
    return side.from == 0 ? (side_t){.from = side.to, .to = count}
                          : (side_t){.from = 0, .to = side.from};
}

static placement_t
pick_among(const GPtrArray *endpoints, const placement_request_t *r,
           gboolean closed, gint64 now_us)
{
    side_t side = side_of(endpoints, r);
    choice_t c = {
        .request = r,
        .keepers = keepers_of(endpoints, side, placement_shared_part(r).id,
                              placement_prefix_part(r).id, now_us),
        .closed = closed,
        .now_us = now_us,
        .best = {.counts = {.known = endpoints->len}},
    };
    gboolean is_long = prompt_is_long(r->prompt_tokens);
    gboolean leaves = is_long && c.keepers.count > 0;
    c.best.prefix_held = c.keepers.prefix_holder != NULL;
    choice_rank(&c);
    if (c.best.endpoint == NULL ||
        c.best_ms > RANKED_PART * (double)r->target_ms) {
        choice_draw(&c, endpoints, side, TRUE, sample_most(r), leaves);
        if (is_long || c.best.endpoint == NULL) {
            side_t beyond = side_beyond(side, endpoints->len);
            choice_draw(&c, endpoints, beyond, FALSE, sample_most(r), FALSE);
        }
    }
    if (c.best.endpoint == NULL) {
        choice_count(&c, endpoints, side);
    }
    else if (c.best.denied != NULL && c.denied_ms >= c.best_ms) {
        c.best.denied = NULL;
    }
    return c.best;
}

placement_t
placement_pick(const GPtrArray *endpoints, const placement_request_t *r,
               gint64 now_us)
{
    placement_t best = pick_among(endpoints, r, FALSE, now_us);
    /* All that are left were closed after failures: one of them is still
     * better than none, but not than to come back to one that is well. */
    if (best.endpoint != NULL || best.denied != NULL) {
        return best;
    }
    return pick_among(endpoints, r, TRUE, now_us);
}
