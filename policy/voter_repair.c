#include "carobloom/policy/voter_repair.h"

#include <string.h>

enum {
    /* A member without contact for this many election timeouts (0.8 s each in
     * the gateway) counts as dead. After 4 s the platform assumes that the
     * replacement of a member has caught up, and may take the disk of the next
     * machine. */
    DEAD_ELECTION_TIMEOUTS = 4,
    /* A member that made contact within this time can commit a change. */
    RECENT_ELECTION_TIMEOUTS = 2,
    /* Fewer voters are not made of an odd number: those that are silent may
     * only be cut off, and the others need them after the next loss. */
    ODD_VOTERS_MIN = 5,
};

gboolean
voter_config_remove(voter_config_t *config, guint64 id)
{
    for (guint i = 0; i < config->count; i++) {
        if (config->members[i].id == id) {
            config->members[i] = config->members[--config->count];
            return TRUE;
        }
    }
    return FALSE;
}

/* Returns the id of another member with the same name, or 0. */
static guint64
find_previous_id(const voter_config_t *config, const char *name, guint64 id)
{
    for (guint i = 0; i < config->count; i++) {
        const voter_member_t *m = &config->members[i];
        if (m->id != id && strcmp(m->name, name) == 0) {
            return m->id;
        }
    }
    return 0;
}

static void
add_learner(voter_config_t *config, const char *name, guint64 id)
{
    voter_member_t *m = &config->members[config->count++];
    *m = (voter_member_t){.id = id, .learner = TRUE};
    g_strlcpy(m->name, name, sizeof(m->name));
}

static gboolean
is_recent(const voter_t *voter, gint64 silent_us)
{
    return silent_us <=
           RECENT_ELECTION_TIMEOUTS * voter_election_timeout_us(voter);
}

/* Whether the voters can do without the newcomer once it votes. Otherwise one
 * of them is missing, and is replaced rather than joined. A voter counts if it
 * answered within half an election timeout, so that one that has just died
 * does not. */
static gboolean
promotion_is_safe(const voter_t *voter, gint64 now_us)
{
    const voter_config_t *config = voter_config(voter);
    guint voters = 0;
    guint recent = 0;
    for (guint i = 0; i < config->count; i++) {
        const voter_member_t *member = &config->members[i];
        if (!member->learner) {
            voters++;
            recent += member->id == voter_leader(voter) ||
                      now_us - voter_contact_us(voter, member->id) <=
                          voter_election_timeout_us(voter) / 2;
        }
    }
    guint quorum_after = (voters + 1) / 2 + 1;
    return recent == voters || recent >= quorum_after;
}

repair_state_t
voter_repair_step(voter_t *voter, const char *name, guint64 id, gint64 now_us)
{
    voter_config_t config = *voter_config(voter);
    voter_member_t *member = (voter_member_t *)voter_config_find(&config, id);
    if (member && !member->learner) {
        return voter_config_pending(voter) ? REPAIR_PENDING : REPAIR_DONE;
    }
    guint64 previous_id = find_previous_id(&config, name, id);
    if (member == NULL) {
        if (config.count >= VOTER_MEMBERS_MAX) {
            return REPAIR_PENDING;
        }
        add_learner(&config, name, id);
    }
    else if (voter_match_index(voter, id) < voter_commit_index(voter)) {
        return REPAIR_PENDING;
    }
    else if (previous_id != 0) {
        voter_config_remove(&config, previous_id);
    }
    else if (!promotion_is_safe(voter, now_us)) {
        return REPAIR_PENDING;
    }
    else {
        member->learner = FALSE;
    }
    int result = voter_propose_config(voter, &config, now_us);
    return result == VOTER_OK ? REPAIR_PROPOSED : REPAIR_PENDING;
}

/* How the members fare, by the time since their last contact. */
typedef struct {
    guint voters;
    guint dead_voters;
    guint recent_voters;
    guint ready_learners; /* have the log, and wait to vote */
    guint64 dead_voter;   /* id, 0 for none */
    guint64 dead_learner; /* the same */
} census_t;

static census_t
census_take(const voter_t *voter, const gint64 *silent_us)
{
    const voter_config_t *config = voter_config(voter);
    gint64 election_timeout_us = voter_election_timeout_us(voter);
    census_t census = {0};
    for (guint i = 0; i < config->count; i++) {
        const voter_member_t *member = &config->members[i];
        gboolean dead =
            silent_us[i] > DEAD_ELECTION_TIMEOUTS * election_timeout_us;
        gboolean recent = is_recent(voter, silent_us[i]);
        if (member->learner) {
            census.dead_learner = dead ? member->id : census.dead_learner;
            census.ready_learners +=
                recent && voter_match_index(voter, member->id) >=
                              voter_commit_index(voter);
            continue;
        }
        census.voters++;
        census.recent_voters += recent;
        census.dead_voters += dead;
        census.dead_voter = dead ? member->id : census.dead_voter;
    }
    return census;
}

/* Whether a dead voter is to be removed: for a newcomer that takes its place,
 * or because that lowers the quorum, at once if the voters are even, else with
 * the second one. */
static gboolean
removal_helps(const census_t *census, guint voters_min)
{
    guint quorum_after = (census->voters - 1) / 2 + 1;
    if (census->dead_voters == 0 || census->recent_voters < quorum_after) {
        return FALSE;
    }
    if (census->ready_learners > 0) {
        return TRUE;
    }
    if (census->voters % 2 == 0) {
        return census->voters > voters_min;
    }
    return census->dead_voters >= 2 &&
           census->voters >= MAX(voters_min, ODD_VOTERS_MIN) + 2;
}

guint64
voter_repair_remove_dead(voter_t *voter, const gint64 *silent_us,
                         guint voters_min, gint64 now_us)
{
    voter_config_t config = *voter_config(voter);
    census_t census = census_take(voter, silent_us);
    guint64 dead = census.dead_learner;
    if (dead == 0 && removal_helps(&census, voters_min)) {
        dead = census.dead_voter;
    }
    if (dead == 0 || !voter_config_remove(&config, dead)) {
        return 0;
    }
    return voter_propose_config(voter, &config, now_us) == VOTER_OK ? dead : 0;
}
