/* Which requests of one service are sent to endpoints that named limits, when
 * there are more than those take: the urgent first.
 *
 * What requests of each rank wanted of late says how many more urgent ones are
 * to be expected while a granted send may be used; so many are left to them.
 * An instance where urgent ones are seldom keeps nothing for them: what is
 * kept and not used would serve nobody. Pure. */
#ifndef CAROBLOOM_POLICY_LIMIT_SHARE_H
#define CAROBLOOM_POLICY_LIMIT_SHARE_H

#include <glib.h>

enum { LIMIT_RANKS = 10 };

/* Counts that decay over seconds. All of it is zero at first. */
typedef struct {
    gint64 at_us;  /* when they were decayed last */
    double span_s; /* over which they were counted */
    double grants;
    double granted;             /* sends */
    double wanted[LIMIT_RANKS]; /* 0 is the most urgent */
} limit_share_t;

/* Sends that may be used now. */
typedef struct {
    guint count;
    gint64 left_us; /* until the last of them is over */
} limit_tokens_t;

void limit_share_record_granted(limit_share_t *share, guint count,
                                gint64 now_us);
/* A request was sent there, or would have been. */
void limit_share_record_wanted(limit_share_t *share, guint rank,
                               gint64 now_us);
/* Whether one of this rank leaves `tokens` to more urgent ones. */
gboolean limit_share_yields(limit_share_t *share, guint rank,
                            const limit_tokens_t *tokens, gint64 now_us);

#endif
