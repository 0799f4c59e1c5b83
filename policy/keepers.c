#include "carobloom/policy/keepers.h"

#include "carobloom/policy/rendezvous.h"

/* Endpoints with this failure rate or a higher one are not fetched from. */
static const double SOURCE_FAILURES_MAX = 0.1;

typedef struct {
    part_ranking_t ranking;
    guint64 weights[PART_RANKED_MAX];
    guint64 former_home_weight;
    guint64 draining_home_weight;
    guint64 source_weights[PART_SOURCES_MAX];
    guint64 preceding_source_weight;
} ranking_builder_t;

/* Whether an endpoint is healthy enough to fetch from. One that asked for rest
 * is not given the work of a fetch either. */
static gboolean
is_healthy(const endpoint_t *e, endpoint_now_t now)
{
    return e != NULL && endpoint_available(e, now.now_us) &&
           !endpoint_rest_is_active(&e->rest, now.boot_now_us) &&
           e->failures < SOURCE_FAILURES_MAX;
}

/* Whether other endpoints can fetch from its memory. */
static gboolean
can_serve_fetch(const endpoint_t *e, endpoint_now_t now)
{
    return is_healthy(e, now) && (endpoint_usable(e, now.now_us) ||
                                  endpoint_fetchable(e, now.now_us));
}

/* Inserts an endpoint by weight if it is among the first PART_RANKED_MAX. */
static void
builder_insert(ranking_builder_t *r, endpoint_t *e, guint64 weight)
{
    part_ranking_t *ranking = &r->ranking;
    guint at = ranking->count;
    while (at > 0 && weight > r->weights[at - 1]) {
        at--;
    }
    if (at == PART_RANKED_MAX) {
        return;
    }
    ranking->count = MIN(ranking->count + 1, PART_RANKED_MAX);
    for (guint i = ranking->count - 1; i > at; i--) {
        ranking->ranked[i] = ranking->ranked[i - 1];
        r->weights[i] = r->weights[i - 1];
    }
    ranking->ranked[at] = e;
    r->weights[at] = weight;
}

static void
builder_record_draining(ranking_builder_t *r, const endpoint_t *e,
                        guint64 weight, gint64 now_us)
{
    if (weight > r->draining_home_weight && endpoint_fetchable(e, now_us)) {
        r->ranking.draining_home = e;
        r->draining_home_weight = weight;
    }
}

static void
builder_record_source(ranking_builder_t *r, const endpoint_t *e,
                      guint64 weight)
{
    const endpoint_t **sources = r->ranking.sources;
    guint at = PART_SOURCES_MAX;
    while (at > 0 &&
           (sources[at - 1] == NULL || weight > r->source_weights[at - 1])) {
        at--;
    }
    for (guint i = PART_SOURCES_MAX - 1; at < PART_SOURCES_MAX && i > at;
         i--) {
        sources[i] = sources[i - 1];
        r->source_weights[i] = r->source_weights[i - 1];
    }
    if (at < PART_SOURCES_MAX) {
        sources[at] = e;
        r->source_weights[at] = weight;
    }
}

/* All instances choose the same source, so that it surely has the part. */
static void
builder_record_preceding_source(ranking_builder_t *r, const endpoint_t *e,
                                guint64 preceding, endpoint_now_t now)
{
    if (preceding == 0 || !endpoint_has_part(e, preceding) ||
        !can_serve_fetch(e, now)) {
        return;
    }
    guint64 weight = hash_pair(preceding, e->hash);
    if (weight > r->preceding_source_weight) {
        r->ranking.preceding_source = e;
        r->preceding_source_weight = weight;
    }
}

part_ranking_t
part_ranking_build(const GPtrArray *endpoints, partition_t partition,
                   guint64 part, guint64 preceding, endpoint_now_t now)
{
    ranking_builder_t r = {0};
    for (guint i = 0; part != 0 && i < endpoints->len; i++) {
        endpoint_t *e = endpoints->pdata[i];
        guint64 weight = hash_pair(part, e->hash);
        if (endpoint_has_part(e, part) && can_serve_fetch(e, now)) {
            builder_record_source(&r, e, weight);
        }
        builder_record_preceding_source(&r, e, preceding, now);
        if (!endpoint_usable(e, now.now_us)) {
            builder_record_draining(&r, e, weight, now.now_us);
            continue;
        }
        if (i >= partition.from && i < partition.to) {
            builder_insert(&r, e, weight);
        }
        else if (weight > r.former_home_weight && endpoint_has_part(e, part)) {
            r.ranking.former_home = e;
            r.former_home_weight = weight;
        }
    }
    if (r.ranking.count > 0 && r.former_home_weight < r.weights[0]) {
        r.ranking.former_home = NULL;
    }
    if (r.ranking.count > 0 && r.draining_home_weight < r.weights[0]) {
        r.ranking.draining_home = NULL;
    }
    return r.ranking;
}

guint
part_ranking_position(const part_ranking_t *ranking,
                      const endpoint_t *endpoint)
{
    guint position = 0;
    while (position < ranking->count &&
           ranking->ranked[position] != endpoint) {
        position++;
    }
    return position < ranking->count ? position : PART_RANKED_MAX;
}

const endpoint_t *
part_ranking_source(const part_ranking_t *ranking, const endpoint_t *endpoint,
                    endpoint_now_t now)
{
    const endpoint_t *home = ranking->count > 0 ? ranking->ranked[0] : NULL;
    const endpoint_t *fallback =
        ranking->count > 1 ? ranking->ranked[1] : NULL;
    /* Endpoints that were sent the part come first, then those that are likely
     * to have it. A draining home precedes the home, since its cache is about
     * to be lost. The home itself prefers the source of the preceding part to
     * the fallback home, which may not have the part. */
    const endpoint_t *const candidates[] = {ranking->sources[0],
                                            ranking->sources[1],
                                            ranking->draining_home,
                                            home,
                                            ranking->former_home,
                                            ranking->preceding_source,
                                            fallback};
    for (gsize i = 0; i < G_N_ELEMENTS(candidates); i++) {
        if (candidates[i] != endpoint && is_healthy(candidates[i], now)) {
            return candidates[i];
        }
    }
    return NULL;
}
