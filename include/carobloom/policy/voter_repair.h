/* How a voter that lost its disk comes back, and how one is replaced.
 *
 * It asks under a new identity. The leader adds that as a learner; once it
 * has the log the old identity goes, and then the new one votes: one logged
 * membership change at a time. */
#ifndef CAROBLOOM_POLICY_VOTER_REPAIR_H
#define CAROBLOOM_POLICY_VOTER_REPAIR_H

#include "carobloom/policy/voter.h"

typedef enum {
    REPAIR_DONE,     /* it votes, and that is committed */
    REPAIR_PENDING,  /* for a commit or for the log to catch up */
    REPAIR_PROPOSED, /* a membership change was appended */
} repair_state_t;

/* The next step, on the leader, for the member `id` named `name`. */
repair_state_t voter_repair_step(voter_t *voter, const char *name, guint64 id,
                                 gint64 now_us);
/* On the leader: takes out a voter that is gone for good, which only makes
 * quorums larger. `silent_us` tells for how long each member of voter_config
 * was not heard of. Only when the membership is even, as after a newcomer came
 * in its place, and all others are there; one taken out by mistake asks to be
 * taken in again. The identity taken out, or 0. */
guint64 voter_repair_remove_dead(voter_t *voter, const gint64 *silent_us,
                                 gint64 now_us);
/* Takes a member out; FALSE when it is not there. */
gboolean voter_config_remove(voter_config_t *config, guint64 id);

#endif
