/* Decides which requests of one service may be sent to endpoints with rate
 * limits when there are more requests than the limits allow: the most urgent
 * first.
 *
 * Recent demand per rank estimates how many more urgent requests will arrive
 * while a granted send may be used, and that many sends are reserved for them.
 * An instance that rarely gets urgent requests reserves nothing, because a
 * reserved send that isn't used would be wasted. Pure. */
#ifndef CAROBLOOM_POLICY_LIMIT_SHARE_H
#define CAROBLOOM_POLICY_LIMIT_SHARE_H

#include <glib.h>

enum { LIMIT_RANKS = 10 };

/* Counts that decay exponentially over seconds. Initially all zero. */
typedef struct {
    gint64 decayed_us;  /* time of the last decay */
    double span_s;      /* period that the counts cover */
    double grant_count; /* grants of any number of sends */
    double granted_sends;
    double wanted_sends[LIMIT_RANKS]; /* by rank; 0 is the most urgent */
} limit_share_t;

/* Granted sends that may be used now, not tokens of prompts. */
typedef struct {
    guint count;
    gint64 left_us;     /* until the last of them expires */
    gint64 lifetime_us; /* from a grant until it expires */
} limit_tokens_t;

/* Records a grant of `count` sends. */
void limit_share_record_granted(limit_share_t *share, guint count,
                                gint64 now_us);
/* Records a request that was sent or would have been sent to a limited
 * endpoint. */
void limit_share_record_wanted(limit_share_t *share, guint rank,
                               gint64 now_us);
/* Returns whether a request of this rank must not use `tokens`, because they
 * are reserved for more urgent requests. */
gboolean limit_share_yields(limit_share_t *share, guint rank,
                            const limit_tokens_t *tokens, gint64 now_us);

#endif
