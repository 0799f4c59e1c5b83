/* Ranks the endpoints that cache the shared parts of a prompt.
 *
 * All instances rank the endpoints of a part by the same rendezvous hash,
 * without coordination. The first is the part's home. The second is the
 * fallback home, which takes requests that the home has no time for, so that
 * few endpoints cache a part. A prompt that finds no slot at either goes to
 * the endpoints ranked after them. Pure. */
#ifndef CAROBLOOM_POLICY_KEEPERS_H
#define CAROBLOOM_POLICY_KEEPERS_H

#include "carobloom/policy/directory.h"

enum {
    PART_SOURCES_MAX = 2, /* one may be the fetching endpoint itself */
    PART_HOMES_MAX = 2,   /* the home and the fallback home */
    PART_RANKED_MAX = 6,  /* four more: a choice among few spreads the load */
};

/* Endpoints for long or for short prompts, as a range of indexes into the
 * service's list. */
typedef struct {
    guint from;
    guint to;
} partition_t;

typedef struct {
    endpoint_t *ranked[PART_RANKED_MAX]; /* highest weight first */
    guint count;
    /* Has a higher weight than the home, but is in the other partition now. It
     * was the home and received the part before the partition boundary moved.
     * NULL: none. */
    const endpoint_t *former_home;
    /* Has a higher weight than the home, but is draining. It was the home
     * until then, and others can still fetch from its memory. NULL: none. */
    const endpoint_t *draining_home;
    /* Endpoints of any partition that were recently sent the part, highest
     * weight first. */
    const endpoint_t *sources[PART_SOURCES_MAX];
    /* An endpoint that was sent the preceding part of the prompt, which more
     * prompts share. An endpoint that gets the part for the first time can
     * fetch the preceding one there. NULL: none. */
    const endpoint_t *preceding_source;
} part_ranking_t;

/* Ranks the usable endpoints of a partition for a part; none for part 0.
 * `preceding` is the preceding part, or 0. */
part_ranking_t part_ranking_build(const GPtrArray *endpoints,
                                  partition_t partition, guint64 part,
                                  guint64 preceding, endpoint_now_t now);
/* The endpoint's index in the ranking; PART_RANKED_MAX if it isn't ranked. */
guint part_ranking_position(const part_ranking_t *ranking,
                            const endpoint_t *endpoint);
/* The best healthy endpoint for `endpoint` to fetch the part from, or NULL. */
const endpoint_t *part_ranking_source(const part_ranking_t *ranking,
                                      const endpoint_t *endpoint,
                                      endpoint_now_t now);

#endif
