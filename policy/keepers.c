#include "carobloom/policy/keepers.h"

#include "carobloom/policy/rendezvous.h"

/* One that fails a tenth of its requests is not asked for its memory. */
static const double SOURCE_FAILURES = 0.1;

typedef struct {
    keepers_t keepers;
    guint64 ranks[KEEPERS_RANKED];
    guint64 former_rank;
    guint64 leaving_rank;
    guint64 holder_ranks[KEEPERS_HOLDERS];
    guint64 prefix_rank;
} ranking_t;

/* Whether an endpoint is well enough to be asked for its memory. */
static gboolean
may_be_asked(const endpoint_t *e, gint64 now_us)
{
    return e != NULL && endpoint_available(e, now_us) &&
           e->failures < SOURCE_FAILURES;
}

/* Whether its memory is there to be asked for. */
static gboolean
is_source(const endpoint_t *e, gint64 now_us)
{
    return may_be_asked(e, now_us) &&
           (endpoint_usable(e, now_us) || endpoint_fetchable(e, now_us));
}

/* Puts an endpoint in its place, if it has one among the first. */
static void
rank_in(ranking_t *r, endpoint_t *e, guint64 rank)
{
    keepers_t *k = &r->keepers;
    guint at = k->count;
    while (at > 0 && rank > r->ranks[at - 1]) {
        at--;
    }
    if (at == KEEPERS_RANKED) {
        return;
    }
    k->count = MIN(k->count + 1, KEEPERS_RANKED);
    for (guint i = k->count - 1; i > at; i--) {
        k->at[i] = k->at[i - 1];
        r->ranks[i] = r->ranks[i - 1];
    }
    k->at[at] = e;
    r->ranks[at] = rank;
}

static void
note_leaving(ranking_t *r, const endpoint_t *e, guint64 rank, gint64 now_us)
{
    if (rank > r->leaving_rank && endpoint_fetchable(e, now_us)) {
        r->keepers.leaving = e;
        r->leaving_rank = rank;
    }
}

static void
note_holder(ranking_t *r, const endpoint_t *e, guint64 rank)
{
    const endpoint_t **holders = r->keepers.holders;
    guint at = KEEPERS_HOLDERS;
    while (at > 0 &&
           (holders[at - 1] == NULL || rank > r->holder_ranks[at - 1])) {
        at--;
    }
    for (guint i = KEEPERS_HOLDERS - 1; at < KEEPERS_HOLDERS && i > at; i--) {
        holders[i] = holders[i - 1];
        r->holder_ranks[i] = r->holder_ranks[i - 1];
    }
    if (at < KEEPERS_HOLDERS) {
        holders[at] = e;
        r->holder_ranks[at] = rank;
    }
}

/* All instances ask the same one, so that it surely has the part. */
static void
note_prefix(ranking_t *r, const endpoint_t *e, guint64 prefix, gint64 now_us)
{
    if (prefix == 0 || !endpoint_has_part(e, prefix) ||
        !is_source(e, now_us)) {
        return;
    }
    guint64 rank = hash_pair(prefix, e->hash);
    if (rank > r->prefix_rank) {
        r->keepers.prefix_holder = e;
        r->prefix_rank = rank;
    }
}

keepers_t
keepers_of(const GPtrArray *endpoints, side_t side, guint64 part,
           guint64 prefix, gint64 now_us)
{
    ranking_t r = {0};
    for (guint i = 0; part != 0 && i < endpoints->len; i++) {
        endpoint_t *e = endpoints->pdata[i];
        guint64 rank = hash_pair(part, e->hash);
        if (endpoint_has_part(e, part) && is_source(e, now_us)) {
            note_holder(&r, e, rank);
        }
        note_prefix(&r, e, prefix, now_us);
        if (!endpoint_usable(e, now_us)) {
            note_leaving(&r, e, rank, now_us);
            continue;
        }
        if (i >= side.from && i < side.to) {
            rank_in(&r, e, rank);
        }
        else if (rank > r.former_rank && endpoint_has_part(e, part)) {
            r.keepers.former = e;
            r.former_rank = rank;
        }
    }
    if (r.keepers.count > 0 && r.former_rank < r.ranks[0]) {
        r.keepers.former = NULL;
    }
    if (r.keepers.count > 0 && r.leaving_rank < r.ranks[0]) {
        r.keepers.leaving = NULL;
    }
    return r.keepers;
}

guint
keepers_rank(const keepers_t *k, const endpoint_t *endpoint)
{
    guint rank = 0;
    while (rank < k->count && k->at[rank] != endpoint) {
        rank++;
    }
    return rank < k->count ? rank : KEEPERS_RANKED;
}

const endpoint_t *
keepers_source(const keepers_t *k, const endpoint_t *endpoint, gint64 now_us)
{
    const endpoint_t *home = k->count > 0 ? k->at[0] : NULL;
    const endpoint_t *next = k->count > 1 ? k->at[1] : NULL;
    /* Those that have it as is known; where none is known, those that most
     * likely do. What leaves takes its memory with it: it goes first. The home
     * itself asks for the part before it rather than for a guess. */
    const endpoint_t *const sources[] = {
        k->holders[0], k->holders[1],    k->leaving, home,
        k->former,     k->prefix_holder, next};
    for (gsize i = 0; i < G_N_ELEMENTS(sources); i++) {
        if (sources[i] != endpoint && may_be_asked(sources[i], now_us)) {
            return sources[i];
        }
    }
    return NULL;
}
