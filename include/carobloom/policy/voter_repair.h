/* How a voter that lost its disk comes back, and how one is replaced.
 *
 * It asks under a new identity. The leader adds that as a learner; once it
 * has the log the old identity goes, and then the new one votes: one logged
 * membership change at a time. */
#ifndef CAROBLOOM_POLICY_VOTER_REPAIR_H
#define CAROBLOOM_POLICY_VOTER_REPAIR_H

#include "carobloom/policy/voter.h"

typedef enum {
    REPAIR_WHOLE,   /* it votes, and that is committed */
    REPAIR_WAITING, /* for a commit or for the log to catch up */
    REPAIR_CHANGED, /* a membership change was appended */
} repair_state_t;

/* The next step, on the leader, for the member `id` named `name`. */
repair_state_t voter_repair_step(voter_t *voter, const char *name, guint64 id,
                                 gint64 now_us);
/* Takes a member out; FALSE when it is not there. */
gboolean voter_config_remove(voter_config_t *config, guint64 id);

#endif
