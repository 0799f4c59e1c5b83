#include "carobloom/policy/placement.h"

#include "carobloom/policy/brittle.h"
#include "carobloom/policy/keepers.h"
#include "carobloom/policy/prompt_mix.h"
#include "carobloom/policy/rendezvous.h"

/* docs/design/constants.md gives the source of each constant, and the effect
 * of half and twice its value. */

/* Cost of each request in flight for the next one: on an engine, each adds a
 * little to the step time; a plain server finishes one in about 15 ms on 6
 * slots. */
static const double ENGINE_REQUEST_COST_MS = 1.0;
static const double PLAIN_REQUEST_COST_MS = 2.5;
/* Cost of sending to a remote data centre, for the traffic: as much as 30
 * requests in flight at an engine. */
static const double REMOTE_COST_MS = 30.0;
/* Cost at a failure rate of 1: the request is lost, or retried after a
 * multiple of its objective. */
static const double FAILURE_COST_MS = 400.0;
/* Cost of an endpoint that started recently and is still slow. */
static const double COLD_COST_MS = 30.0;
/* Cost of a new connection to a plain server: a round trip and the server's
 * work on it. It is less than that of one request in flight, so it only
 * decides between otherwise equal endpoints: of hundreds of idle endpoints, an
 * instance prefers those that it is connected to. */
static const double CONNECT_COST_MS = 1.0;
/* Reading a shared part again uses up engine time, so it is priced at this
 * multiple of that time. */
static const double REREAD_WEIGHT = 3.0;
/* A fetch of a part from another engine is priced at this multiple of its
 * time. It takes a fourteenth to a twentieth of the time of reading the part,
 * depending on the rates of the engine and of its link. */
static const double FETCH_WEIGHT = 3.0;

/* Prompts that an engine reads in one go delay its streams. Limits that delay
 * to this fraction of the shortest pause objective, since other instances may
 * send to the same engine at the same time. */
static const double STALL_PAUSE_FRACTION = 0.4;
/* Cost to a short prompt of an engine where its stream would be delayed by
 * such a read: as much as 200 requests in flight. */
static const double SHORT_STALL_COST_MS = 200.0;
/* A short prompt waits for a slot on an engine that is nearly full. Above half
 * of the slots, each further tenth costs 10 ms, so that a full engine costs
 * more than a remote data centre. */
static const double SHORT_FULL_COST_MS = 100.0;
static const double SHORT_FULL_MIN_FRACTION = 0.5;
/* A short prompt for which no ranked endpoint is good enough takes the best of
 * this many consecutive endpoints of its partition, from a random start. */
static const guint SHORT_SAMPLE_MAX = 4;
/* Extra cost to a short prompt that leaves the homes of its shared part, as a
 * fraction of the cost of reading the part again. A fetch finds the part on
 * another engine only if an earlier request went there. */
static const double SHORT_NOT_HOME_FRACTION = 0.5;
/* A long prompt that leaves its homes takes the best of this many endpoints,
 * besides those ranked for its part. */
static const guint LONG_SAMPLE_MAX = 4;
/* While the cost at one of the ranked endpoints is within this fraction of the
 * objective, no other endpoint is considered. */
static const double RANKED_TARGET_FRACTION = 0.5;
/* A prompt leaves its partition only if that saves this much. */
static const double OTHER_PARTITION_COST_MS = 100.0;
/* Cost to a long prompt of each stream of a short prompt on the engine, as a
 * fraction of the objective. Such streams are left over when the partition
 * boundary has moved across the engine. Seven of them make the prompt go to
 * the fallback home. */
static const double LONG_PER_SHORT_TARGET_FRACTION = 0.06;

/* Fractions of an engine's slots that requests may take. While an engine keeps
 * reading prompts, a token takes ten times as long, and long answers would not
 * finish in time. */
static const double LONG_HOME_SLOTS_FRACTION = 0.85;
/* Fraction of an engine's memory that the prompts running there may take, in
 * tokens. Above it, engines evict widely shared parts and read them again, and
 * engines with many slots read so much that no stream finishes in time. */
static const double LONG_MEMORY_FRACTION = 0.6;
/* A long prompt goes to the fallback home of its shared parts when the queue
 * at its home exceeds this fraction of its objective. */
static const double LONG_FALLBACK_TARGET_FRACTION = 0.4;
/* The same for an engine that is neither home. Larger than for the fallback
 * home, so that few engines cache a part. */
static const double LONG_NOT_HOME_TARGET_FRACTION = 0.7;
/* Fractions of an engine's slots that long prompts may take where neither home
 * is: inside their partition, and outside it. */
static const double LONG_NOT_HOME_SLOTS_FRACTION = 0.15;
static const double LONG_OTHER_PARTITION_SLOTS_FRACTION = 0.1;
/* A long prompt that would delay streams goes to no engine of its partition
 * where short prompts use more than this fraction of the slots: the partition
 * boundary has just moved across that engine. Outside its partition, a single
 * short prompt in flight excludes the engine. */
static const double SHORT_RUNNING_SLOTS_FRACTION = 0.15;
/* Short prompts may wait for a slot for a moment, so an engine takes more of
 * them than it has slots. */
static const double SHORT_SLOTS_FRACTION = 1.2;
/* With four requests per slot of a plain server, a request waits for three
 * times the work of one: 45 ms of an objective of 100 ms. */
static const double PLAIN_SLOTS_FRACTION = 4.0;

guint
placement_unread_tokens(const endpoint_t *e, const placement_request_t *r)
{
    /* A cached part implies that the parts before it were read too. */
    guint cached_parts = r->part_count;
    while (cached_parts > 0 &&
           !endpoint_has_part(e, r->parts[cached_parts - 1].id)) {
        cached_parts--;
    }
    guint cached = 0;
    for (guint i = 0; i < cached_parts; i++) {
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

/* The last part of the prompt without its last `excluded` parts, with the
 * total tokens of the parts up to it. */
static prompt_part_t
prefix_without(const placement_request_t *r, guint excluded)
{
    prompt_part_t part = {0};
    for (guint i = 0; i + excluded < r->part_count; i++) {
        part.id = r->parts[i].id;
        part.tokens += r->parts[i].tokens;
    }
    part.tokens = MIN(part.tokens, r->prompt_tokens);
    return part;
}

/* The last part belongs to the request alone. The part before it is the one
 * that many prompts share. */
prompt_part_t
placement_shared_part(const placement_request_t *r)
{
    return prefix_without(r, 1);
}

prompt_part_t
placement_preceding_part(const placement_request_t *r)
{
    return prefix_without(r, 2);
}

static guint
shared_tokens(const placement_request_t *r)
{
    return placement_shared_part(r).tokens;
}

/* The partition of the endpoints that serves prompts of this length. */
static partition_t
partition_of(const GPtrArray *endpoints, const placement_request_t *r)
{
    guint count = endpoints->len;
    guint long_count = (guint)(r->long_fraction * count + 0.5);
    if (!r->partitioned || long_count == 0 || long_count >= count) {
        return (partition_t){.from = 0, .to = count};
    }
    return prompt_is_long(r->prompt_tokens)
               ? (partition_t){.from = 0, .to = long_count}
               : (partition_t){.from = long_count, .to = count};
}

/* An endpoint as a candidate for a request. */
typedef struct {
    guint position; /* in the ranking of its shared parts; 0: home */
    gboolean in_partition;
    guint read_tokens;  /* that it would have to read */
    guint fetch_tokens; /* that it would fetch from another endpoint */
} candidate_t;

static void
candidate_set_tokens(candidate_t *candidate, const endpoint_t *e,
                     const placement_request_t *r, gboolean can_fetch)
{
    guint own_tokens = r->prompt_tokens - shared_tokens(r);
    guint unread = placement_unread_tokens(e, r);
    candidate->read_tokens = unread;
    if (candidate->position == 0) {
        candidate->read_tokens = MIN(unread, own_tokens);
    }
    else if (can_fetch && unread > own_tokens) {
        candidate->read_tokens = own_tokens;
        candidate->fetch_tokens = unread - own_tokens;
    }
}

/* Requests that all instances have in flight at the endpoint. Callers are
 * spread evenly over the instances, so while the loads of the others are
 * unknown, each is assumed to have as many as this one. That estimate is
 * coarse, so it isn't applied to short prompts, which finish quickly. */
static guint
estimated_running(const endpoint_t *e, const placement_request_t *r)
{
    if (r->load_scale == 0) {
        return endpoint_running(e);
    }
    return prompt_is_long(r->prompt_tokens) ? e->running * r->load_scale
                                            : e->running;
}

/* Tokens of the prompts of the requests that all instances have in flight at
 * the endpoint. While the loads of the others are unknown, each is assumed to
 * have as many as this instance, for short prompts too. */
static guint64
estimated_prompt_tokens(const endpoint_t *e, const placement_request_t *r)
{
    return r->load_scale > 0
               ? (guint64)e->prompt_tokens * r->load_scale
               : (guint64)e->prompt_tokens + e->others.prompt_tokens;
}

/* Requests without long prompts at the endpoint, of all instances. */
static guint
short_running(const endpoint_t *e)
{
    guint running = endpoint_running(e);
    guint long_running = e->long_running + e->others.long_running;
    return running - MIN(running, long_running);
}

/* Requests of all instances at the endpoint, as a fraction of its slots. */
static double
slots_used_fraction(const endpoint_t *e)
{
    return (double)endpoint_running(e) / MAX(e->slots, 1);
}

/* Whether reading this many tokens in a row makes the streams on the same
 * engine miss their pause objective. */
static gboolean
stalls_streams(const placement_request_t *r, double tokens)
{
    return r->short_prompt_pause_ms > 0 &&
           tokens > STALL_PAUSE_FRACTION * (double)r->short_prompt_pause_ms *
                        r->tokens_per_ms;
}

/* Fraction of the endpoint's slots that long prompts may take. Away from its
 * homes, a long prompt costs an engine twice the reading, so only engines that
 * are almost idle take it. The fallback home takes as many prompts as it reads
 * within their objective. */
static double
long_slots_fraction(const endpoint_t *e, const placement_request_t *r,
                    candidate_t candidate)
{
    if (candidate.position == 0) {
        return LONG_HOME_SLOTS_FRACTION;
    }
    if (!candidate.in_partition) {
        return LONG_OTHER_PARTITION_SLOTS_FRACTION;
    }
    if (candidate.position >= PART_HOMES_MAX) {
        return LONG_NOT_HOME_SLOTS_FRACTION;
    }
    /* Assumes a prompt of typical size: otherwise a large prompt would find
     * every engine full where others still find a slot. */
    double typical_ratio =
        r->long_tokens > 0 ? r->long_tokens / r->prompt_tokens : 1;
    double read_tokens = candidate.read_tokens * MIN(typical_ratio, 1);
    double in_time =
        (double)r->target_ms * r->tokens_per_ms / MAX(read_tokens, 1);
    return CLAMP(in_time / e->slots, LONG_NOT_HOME_SLOTS_FRACTION,
                 LONG_HOME_SLOTS_FRACTION);
}

static gboolean
allows_brittle(const endpoint_t *e, const placement_request_t *r)
{
    const slot_rule_t *rule = &r->slot_rule;
    brittle_load_t load = {.running = e->running,
                           .others = e->others_peak,
                           .slots = e->slots,
                           .instances = rule->instances};
    return rule->kind == SLOT_RULE_LOADS
               ? brittle_has_slot(&load)
               : slot_hold_allows(e->hold, rule, e->slots, e->running);
}

static gboolean
has_slot(const endpoint_t *e, const placement_request_t *r,
         candidate_t candidate)
{
    double max_fraction = SHORT_SLOTS_FRACTION;
    if (!allows_brittle(e, r)) {
        return FALSE;
    }
    if (r->prompt_tokens == 0) {
        if (r->slot_rule.kind == SLOT_RULE_GRANTED) {
            return TRUE;
        }
        max_fraction = PLAIN_SLOTS_FRACTION;
    }
    else if (prompt_is_long(r->prompt_tokens)) {
        max_fraction = long_slots_fraction(e, r, candidate);
    }
    if (prompt_is_long(r->prompt_tokens) && r->memory_tokens > 0 &&
        (double)estimated_prompt_tokens(e, r) >
            LONG_MEMORY_FRACTION * (double)r->memory_tokens) {
        return FALSE;
    }
    if (prompt_is_long(r->prompt_tokens) &&
        short_running(e) > (candidate.in_partition
                                ? SHORT_RUNNING_SLOTS_FRACTION * e->slots
                                : 0) &&
        stalls_streams(r,
                       endpoint_waiting_tokens(e) + candidate.read_tokens)) {
        return FALSE;
    }
    return estimated_running(e, r) < MAX(max_fraction * e->slots, 1);
}

/* How much a long prompt has to gain to leave its home, as a fraction of its
 * objective. */
static double
not_home_target_fraction(candidate_t candidate)
{
    if (candidate.position == 0) {
        return 0;
    }
    return candidate.position < PART_HOMES_MAX ? LONG_FALLBACK_TARGET_FRACTION
                                               : LONG_NOT_HOME_TARGET_FRACTION;
}

/* Cost of sending the request to an engine, in ms of its own waiting time and
 * of the delay for others.
 *
 * Requests in flight count for this instance only, and so do waiting tokens in
 * the cost of a short prompt: the loads of the others are known a few hundred
 * ms late, so if all instances chose the endpoint that they all see as the
 * least loaded, it would become the most loaded. A long prompt chooses among
 * few endpoints, so its cost counts the waiting tokens of all instances. The
 * penalties for delayed streams, nearly full engines and short prompts on the
 * engine also count the requests of all instances. */
static double
engine_cost_ms(const endpoint_t *e, const placement_request_t *r,
               candidate_t candidate)
{
    guint own_tokens = r->prompt_tokens - shared_tokens(r);
    double reread = candidate.read_tokens > own_tokens
                        ? candidate.read_tokens - own_tokens
                        : 0;
    double ms =
        (double)(e->waiting_tokens + candidate.read_tokens) / r->tokens_per_ms;
    if (prompt_is_long(r->prompt_tokens)) {
        ms += e->others.waiting_tokens / r->tokens_per_ms;
        ms += not_home_target_fraction(candidate) * (double)r->target_ms;
        ms += short_running(e) * LONG_PER_SHORT_TARGET_FRACTION *
              (double)r->target_ms;
    }
    else {
        ms += stalls_streams(r, endpoint_waiting_tokens(e))
                  ? SHORT_STALL_COST_MS
                  : 0;
        ms += SHORT_FULL_COST_MS *
              MAX(slots_used_fraction(e) - SHORT_FULL_MIN_FRACTION, 0);
        if (candidate.position >= PART_HOMES_MAX) {
            ms += SHORT_NOT_HOME_FRACTION * REREAD_WEIGHT * shared_tokens(r) /
                  r->tokens_per_ms;
        }
    }
    ms += reread * (REREAD_WEIGHT - 1) / r->tokens_per_ms;
    if (candidate.fetch_tokens > 0) {
        ms += candidate.fetch_tokens / r->fetch_tokens_per_ms * FETCH_WEIGHT;
    }
    ms += e->running * ENGINE_REQUEST_COST_MS;
    if (!candidate.in_partition) {
        ms += OTHER_PARTITION_COST_MS;
    }
    return ms;
}

static double
plain_cost_ms(const endpoint_t *e, gint64 now_us)
{
    double connect = endpoint_connected(e, now_us) ? 0 : CONNECT_COST_MS;
    return e->running * PLAIN_REQUEST_COST_MS + connect;
}

/* Whether the endpoint has no cost for its data centre. A home or fallback
 * home of the shared parts has none even if it is remote: the engine time that
 * is saved by not reading them again outweighs the distance, and a request is
 * few bytes. */
static gboolean
is_local_or_home(const endpoint_t *e, const placement_request_t *r,
                 candidate_t candidate)
{
    gboolean is_home =
        r->part_count >= 2 && candidate.position < PART_HOMES_MAX;
    return is_home || g_strcmp0(e->data_centre, r->data_centre) == 0;
}

static double
expected_cost_ms(const endpoint_t *e, const placement_request_t *r,
                 candidate_t candidate, gint64 now_us)
{
    double ms = r->prompt_tokens > 0 ? engine_cost_ms(e, r, candidate)
                                     : plain_cost_ms(e, now_us);
    ms += e->failures * FAILURE_COST_MS;
    if (!is_local_or_home(e, r, candidate)) {
        ms += REMOTE_COST_MS;
    }
    ms += now_us < e->cold_until_us ? COLD_COST_MS : 0;
    return ms;
}

/* Whether the endpoint can take the request; if not, counts the reason. */
static gboolean
is_eligible(const endpoint_t *e, const placement_request_t *r,
            candidate_t candidate, placement_counts_t *counts, gint64 now_us)
{
    guint *counter = NULL;
    if (!endpoint_usable(e, now_us) || endpoint_is_misplaced(e, now_us)) {
        counter = &counts->unusable;
    }
    else if (endpoint_rest_is_active(&e->rest, r->boot_now_us)) {
        counter = &counts->resting;
    }
    else if (was_tried(r, e)) {
        counter = &counts->tried;
    }
    else if (now_us < e->full_until_us) {
        counter = &counts->full;
    }
    else if (!has_slot(e, r, candidate)) {
        counter = &counts->no_slot;
    }
    if (counter != NULL) {
        (*counter)++;
    }
    return counter == NULL;
}

/* Whether the endpoint's limit keeps the request from being sent there: no
 * send is granted, or granted sends are reserved for more urgent requests. */
static gboolean
is_limited(const endpoint_t *e, const placement_request_t *r)
{
    return e->limit != NULL && e->limit->limited &&
           (r->yields || !endpoint_limit_allows(e->limit, r->boot_now_us));
}

gboolean
placement_is_limited(const placement_counts_t *c)
{
    return c->limited > 0 && c->limited >= c->no_slot;
}

const char *
placement_reason(const placement_counts_t *c)
{
    if (c->known == c->unusable) {
        return "no endpoint of the service is up";
    }
    if (c->resting > c->limited &&
        c->resting >= c->no_slot + c->full + c->tried) {
        return "the endpoints asked for rest";
    }
    if (placement_is_limited(c)) {
        return "the limits that the endpoints named are spent";
    }
    if (c->no_slot >= c->full + c->tried) {
        return "all places are taken";
    }
    return c->full >= c->tried ? "the endpoints refuse"
                               : "the endpoints left were tried";
}

/* How many endpoints of a partition a request samples, besides those ranked
 * for its shared parts. The loads of other instances are known late, so if all
 * instances chose the least loaded endpoint, they would overload it. Instead
 * each chooses the least loaded of a few consecutive ones, from a random
 * start. */
static guint
sample_max(const placement_request_t *r)
{
    if (r->prompt_tokens == 0) {
        return G_MAXUINT;
    }
    return prompt_is_long(r->prompt_tokens) ? LONG_SAMPLE_MAX
                                            : SHORT_SAMPLE_MAX;
}

/* State of one choice: the best endpoint so far, either among the available
 * endpoints or, with `in_backoff`, among those in backoff after failures. */
typedef struct {
    const placement_request_t *request;
    part_ranking_t ranking; /* of the request's shared parts */
    gboolean in_backoff;
    gint64 now_us;
    placement_t best;
    double best_cost_ms;
    double denied_cost_ms; /* of best.denied */
} choice_t;

static candidate_t
candidate_of(const choice_t *c, const endpoint_t *e, gboolean in_partition)
{
    /* A prompt that shares no part is at home on every endpoint of its
     * partition. */
    gboolean anywhere = c->ranking.count == 0 && in_partition;
    return (candidate_t){
        .position = anywhere ? 0 : part_ranking_position(&c->ranking, e),
        .in_partition = in_partition,
    };
}

static endpoint_now_t
choice_now(const choice_t *c)
{
    return (endpoint_now_t){.now_us = c->now_us,
                            .boot_now_us = c->request->boot_now_us};
}

/* The endpoint to fetch shared parts from; NULL when engines don't fetch. */
static const endpoint_t *
choice_source(const choice_t *c, const endpoint_t *e)
{
    return c->request->fetch_tokens_per_ms > 0
               ? part_ranking_source(&c->ranking, e, choice_now(c))
               : NULL;
}

/* Whether the endpoint can be chosen; if not, counts the reason. */
static gboolean
choice_allows(choice_t *c, const endpoint_t *e, candidate_t candidate)
{
    placement_counts_t *counts = &c->best.counts;
    if (!is_eligible(e, c->request, candidate, counts, c->now_us)) {
        return FALSE;
    }
    if (endpoint_available(e, c->now_us) == c->in_backoff) {
        counts->in_backoff += !c->in_backoff;
        return FALSE;
    }
    return TRUE;
}

static void
choice_record_denied(choice_t *c, endpoint_t *e, double ms)
{
    if (c->best.denied == NULL || ms < c->denied_cost_ms) {
        c->best.denied = e;
        c->denied_cost_ms = ms;
    }
}

/* Whether the endpoint can be chosen. Makes it the choice if it is better than
 * the best so far. */
static gboolean
choice_consider(choice_t *c, endpoint_t *e, candidate_t candidate)
{
    const endpoint_t *source = choice_source(c, e);
    candidate_set_tokens(&candidate, e, c->request, source != NULL);
    if (!choice_allows(c, e, candidate)) {
        return FALSE;
    }
    double ms = expected_cost_ms(e, c->request, candidate, c->now_us);
    if (is_limited(e, c->request)) {
        choice_record_denied(c, e, ms);
        return FALSE;
    }
    if (c->best.endpoint == NULL || ms < c->best_cost_ms) {
        c->best.endpoint = e;
        c->best.source = source;
        c->best.read_tokens = candidate.read_tokens;
        c->best_cost_ms = ms;
    }
    return TRUE;
}

/* Considers the endpoints of the partition that are ranked for the shared
 * part: its homes, and the next ones, which take prompts that leave the homes.
 * Each part has next ones of its own: if hundreds of instances chose the best
 * of the whole partition, all would send to the few engines that looked idle a
 * moment before. */
static void
choice_consider_ranked(choice_t *c)
{
    for (guint i = 0; i < c->ranking.count; i++) {
        candidate_t candidate = {.position = i, .in_partition = TRUE};
        choice_consider(c, c->ranking.ranked[i], candidate);
    }
}

/* Considers consecutive endpoints of a partition, from a random start, until
 * `max_count` of them can take the request. With `count_rejected`, endpoints
 * that can't take it count too, so that not all instances find the only idle
 * endpoint of many at the same time. */
static void
choice_consider_sample(choice_t *c, const GPtrArray *endpoints,
                       partition_t partition, gboolean in_partition,
                       guint max_count, gboolean count_rejected)
{
    guint drawn = 0;
    guint count = partition.to - partition.from;
    for (guint i = 0; i < count && drawn < max_count; i++) {
        guint index = partition.from + (c->request->draw + i) % count;
        endpoint_t *e = endpoints->pdata[index];
        candidate_t candidate = candidate_of(c, e, in_partition);
        gboolean ranked =
            c->ranking.count > 0 && candidate.position < PART_RANKED_MAX;
        if (!ranked) {
            drawn += choice_consider(c, e, candidate) || count_rejected;
        }
    }
}

/* Counts the reasons of all endpoints when none was found. */
static void
choice_count_rejections(choice_t *c, const GPtrArray *endpoints,
                        partition_t partition)
{
    c->best.counts = (placement_counts_t){.known = endpoints->len};
    for (guint i = 0; i < endpoints->len; i++) {
        const endpoint_t *e = endpoints->pdata[i];
        gboolean in_partition = i >= partition.from && i < partition.to;
        candidate_t candidate = candidate_of(c, e, in_partition);
        candidate_set_tokens(&candidate, e, c->request,
                             choice_source(c, e) != NULL);
        c->best.counts.limited +=
            choice_allows(c, e, candidate) && is_limited(e, c->request);
    }
}

static partition_t
other_partition(partition_t partition, guint count)
{
    return partition.from == 0
               ? (partition_t){.from = partition.to, .to = count}
               : (partition_t){.from = 0, .to = partition.from};
}

static placement_t
pick_among(const GPtrArray *endpoints, const placement_request_t *r,
           gboolean in_backoff, gint64 now_us)
{
    partition_t partition = partition_of(endpoints, r);
    endpoint_now_t now = {.now_us = now_us, .boot_now_us = r->boot_now_us};
    choice_t c = {
        .request = r,
        .ranking = part_ranking_build(endpoints, partition,
                                      placement_shared_part(r).id,
                                      placement_preceding_part(r).id, now),
        .in_backoff = in_backoff,
        .now_us = now_us,
        .best = {.counts = {.known = endpoints->len}},
    };
    gboolean is_long = prompt_is_long(r->prompt_tokens);
    gboolean leaves_home = is_long && c.ranking.count > 0;
    c.best.preceding_cached = c.ranking.preceding_source != NULL;
    choice_consider_ranked(&c);
    if (c.best.endpoint == NULL ||
        c.best_cost_ms > RANKED_TARGET_FRACTION * (double)r->target_ms) {
        choice_consider_sample(&c, endpoints, partition, TRUE, sample_max(r),
                               leaves_home);
        if (is_long || c.best.endpoint == NULL) {
            partition_t other = other_partition(partition, endpoints->len);
            choice_consider_sample(&c, endpoints, other, FALSE, sample_max(r),
                                   FALSE);
        }
    }
    if (c.best.endpoint == NULL) {
        choice_count_rejections(&c, endpoints, partition);
    }
    else if (c.best.denied != NULL && c.denied_cost_ms >= c.best_cost_ms) {
        c.best.denied = NULL;
    }
    return c.best;
}

placement_t
placement_pick(const GPtrArray *endpoints, const placement_request_t *r,
               gint64 now_us)
{
    placement_t best = pick_among(endpoints, r, FALSE, now_us);
    /* If all remaining endpoints are in backoff after failures, one of them is
     * still better than none. But it is worse than a retry at a healthy
     * endpoint whose limit denied the request. */
    if (best.endpoint != NULL || best.denied != NULL) {
        return best;
    }
    return pick_among(endpoints, r, TRUE, now_us);
}
