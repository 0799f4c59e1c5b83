#include "carobloom/policy/voter_repair.h"

#include <string.h>

enum {
    /* A member without contact for this many election timeouts (0.8 s each in
     * the gateway) counts as dead. After 4 s the platform assumes that the
     * replacement of a member has caught up, and may take the disk of the next
     * machine. The dead member must be removed before that: while it is one of
     * four members, the quorum is three, so no other member may fail. */
    DEAD_ELECTION_TIMEOUTS = 4,
    /* All other members must have made contact within this time. */
    RECENT_ELECTION_TIMEOUTS = 2,
    VOTERS_MIN = 3,
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
    else {
        member->learner = FALSE;
    }
    int result = voter_propose_config(voter, &config, now_us);
    return result == VOTER_OK ? REPAIR_PROPOSED : REPAIR_PENDING;
}

guint64
voter_repair_remove_dead(voter_t *voter, const gint64 *silent_us,
                         gint64 now_us)
{
    voter_config_t config = *voter_config(voter);
    gint64 election_timeout_us = voter_election_timeout_us(voter);
    guint64 dead_id = 0;
    if (voter_config_pending(voter) || config.count <= VOTERS_MIN ||
        config.count % 2 == 1) {
        return 0;
    }
    for (guint i = 0; i < config.count; i++) {
        if (silent_us[i] > DEAD_ELECTION_TIMEOUTS * election_timeout_us &&
            dead_id != 0) {
            return 0;
        }
        if (silent_us[i] > DEAD_ELECTION_TIMEOUTS * election_timeout_us) {
            dead_id = config.members[i].id;
        }
        else if (silent_us[i] >
                 RECENT_ELECTION_TIMEOUTS * election_timeout_us) {
            return 0;
        }
    }
    if (dead_id == 0) {
        return 0;
    }
    voter_config_remove(&config, dead_id);
    return voter_propose_config(voter, &config, now_us) == VOTER_OK ? dead_id
                                                                    : 0;
}
