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
    KEEPERS_HOLDERS = 2, /* the one that asks may be among them */
    KEEPERS_MAX = 2,     /* of the ranked ones, those that keep the part */
    KEEPERS_RANKED = 6,  /* four more: a choice among few evens out loads */
};

/* Endpoints for prompts of one kind, by their place in the service's list. */
typedef struct {
    guint from;
    guint to;
} side_t;

typedef struct {
    endpoint_t *at[KEEPERS_RANKED]; /* in order of rank */
    guint count;
    /* Ranked before the home, but on the other side by now: it was the home
     * while its side was this one, and got the part. NULL: none. */
    const endpoint_t *former;
    /* Ranked before the home, but draining: it was the home until then, and
     * its memory can still be asked. NULL: none. */
    const endpoint_t *leaving;
    /* Ranked highest of those that were sent the part lately, wherever they
     * are by now. */
    const endpoint_t *holders[KEEPERS_HOLDERS];
    /* One that was sent the part before it in the prompt, which more prompts
     * share; an endpoint that gets the part for the first time has it from
     * there. NULL: none. */
    const endpoint_t *prefix_holder;
} keepers_t;

/* The keepers of a part among the usable endpoints of a side; none for part
 * 0. `prefix` is the part before it, or 0. */
keepers_t keepers_of(const GPtrArray *endpoints, side_t side, guint64 part,
                     guint64 prefix, gint64 now_us);
/* Its place among them; KEEPERS_RANKED when it has none. */
guint keepers_rank(const keepers_t *keepers, const endpoint_t *endpoint);
/* Whom `endpoint` best fetches the part from; NULL: nobody well enough. */
const endpoint_t *keepers_source(const keepers_t *keepers,
                                 const endpoint_t *endpoint, gint64 now_us);

#endif
