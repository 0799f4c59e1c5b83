/* Rejoin of a voter that lost its disk, and replacement of a dead voter.
 *
 * A voter without its disk rejoins under a new identity. The leader adds this
 * identity as a learner; once the learner has the log, the leader removes the
 * old identity and then makes the learner a voter. Each step is one committed
 * membership change. */
#ifndef CAROBLOOM_POLICY_VOTER_REPAIR_H
#define CAROBLOOM_POLICY_VOTER_REPAIR_H

#include "carobloom/policy/voter.h"

typedef enum {
    REPAIR_DONE,     /* the member votes, and this is committed */
    REPAIR_PENDING,  /* waits for a commit or for the learner's log */
    REPAIR_PROPOSED, /* a membership change was appended */
} repair_state_t;

/* Takes the next step, on the leader, for the member `id` named `name`. */
repair_state_t voter_repair_step(voter_t *voter, const char *name, guint64 id,
                                 gint64 now_us);
/* Removes a dead member, on the leader: a learner, or a voter that still
 * counts towards the quorum, if that lets the others form one with fewer.
 * `silent_us` holds the time since the last contact with each member of
 * voter_config. `voters_min` voters at least are kept, dead or not, unless a
 * newcomer is ready to take the place. A member that was removed by mistake
 * rejoins by itself. Returns the id of the removed member, or 0. */
guint64 voter_repair_remove_dead(voter_t *voter, const gint64 *silent_us,
                                 guint voters_min, gint64 now_us);
/* Removes a member; returns FALSE when there is none with this id. */
gboolean voter_config_remove(voter_config_t *config, guint64 id);

#endif
