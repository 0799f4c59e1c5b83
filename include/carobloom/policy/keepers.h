/* Which endpoints keep the shared parts of a prompt.
 *
 * All instances rank the endpoints of a part the same (rendezvous hashing)
 * without talking. The first is its home; the next takes over what the home
 * has no time for, so that few endpoints keep a part. Those ranked after these
 * two are where a prompt goes that finds no place with them. Pure. */
#ifndef CAROBLOOM_POLICY_KEEPERS_H
#define CAROBLOOM_POLICY_KEEPERS_H

#include "carobloom/policy/directory.h"

enum {
    PART_SOURCES_MAX = 2, /* the one that asks may be among them */
    PART_HOMES_MAX = 2,   /* of the ranked ones, those that keep the part */
    PART_RANKED_MAX = 6,  /* four more: a choice among few evens out loads */
};

/* Endpoints for prompts of one kind, by their place in the service's list. */
typedef struct {
    guint from;
    guint to;
} partition_t;

typedef struct {
    endpoint_t *ranked[PART_RANKED_MAX]; /* in order of rank */
    guint count;
    /* Ranked before the home, but on the other side by now: it was the home
     * while its side was this one, and got the part. NULL: none. */
    const endpoint_t *former_home;
    /* Ranked before the home, but draining: it was the home until then, and
     * its memory can still be asked. NULL: none. */
    const endpoint_t *draining_home;
    /* Ranked highest of those that were sent the part lately, wherever they
     * are by now. */
    const endpoint_t *sources[PART_SOURCES_MAX];
    /* One that was sent the part before it in the prompt, which more prompts
     * share; an endpoint that gets the part for the first time has it from
     * there. NULL: none. */
    const endpoint_t *prefix_source;
} part_ranking_t;

/* The keepers of a part among the usable endpoints of a side; none for part
 * 0. `prefix` is the part before it, or 0. */
part_ranking_t part_ranking_build(const GPtrArray *endpoints,
                                  partition_t partition, guint64 part,
                                  guint64 prefix, gint64 now_us);
/* Its place among them; PART_RANKED_MAX when it has none. */
guint part_ranking_position(const part_ranking_t *ranking,
                            const endpoint_t *endpoint);
/* Whom `endpoint` best fetches the part from; NULL: nobody well enough. */
const endpoint_t *part_ranking_source(const part_ranking_t *ranking,
                                      const endpoint_t *endpoint,
                                      gint64 now_us);

#endif
