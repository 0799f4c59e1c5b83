/* Internal state of the voter, shared by its source files.
 *
 * voter.c            message dispatch, ticks, membership, proposals
 * voter_election.c   requesting, granting and counting votes
 * voter_replicate.c  sending, appending and committing entries; snapshots;
 *                    the leader lease */
#ifndef CAROBLOOM_POLICY_VOTER_STATE_H
#define CAROBLOOM_POLICY_VOTER_STATE_H

#include "carobloom/policy/voter.h"

/* Replication progress of one member, on the leader. */
typedef struct {
    guint64 id;
    guint64 next_index;
    guint64 match_index;
    guint64 acked_send_time_us; /* latest send time that it echoed */
    gint64 contact_us;
    gint64 snapshot_sent_us; /* 0: no snapshot awaits its reply */
} progress_t;

struct voter {
    voter_settings_t settings;
    GRand *rand;
    voter_hard_state_t hard;
    gboolean hard_state_changed;
    replica_log_t log;
    voter_snapshot_t snapshot;
    gboolean install;
    guint64 append_from;   /* first entry not yet passed to storage; 0: none */
    guint64 durable_index; /* last entry known to be durable */
    guint64 commit_index;
    guint64 applied_index;
    voter_config_t config;
    guint64 config_index;
    voter_role_t role;
    gboolean in_prevote;
    guint64 leader;
    gint64 now_us;
    gint64 leader_contact_us; /* last leader message; creation time at first */
    gint64 election_deadline_us; /* when to start an election */
    gint64 next_heartbeat_us;
    gint64 quorum_contact_us; /* send time that a quorum acknowledged last */
    gint64 lease_end_us;
    guint64 term_start_index; /* index of the leader's no-op entry */
    guint64 asked_term;       /* of the last request for votes */
    GHashTable *ballots;      /* member id -> ballot_t, of this election */
    progress_t progress[VOTER_MEMBERS_MAX];
    guint progress_count;
    GPtrArray *outbox;
};

/* voter.c */
/* Adds a message to the outbox and returns it; the caller fills it in. */
voter_message_t *voter_enqueue_message(voter_t *v, voter_message_kind_t kind,
                                       guint64 to);
/* Frees a log_entry_t; a GDestroyNotify for arrays. */
void voter_entry_free(gpointer entry);
/* Draws a random election timeout and restarts the timer. */
void voter_reset_election_timer(voter_t *v);
/* Follows `leader`, 0 for none, and adopts `term` if it is higher. */
void voter_become_follower(voter_t *v, guint64 term, guint64 leader);
gboolean voter_is_voting_member(const voter_t *v, guint64 id);
/* Sets the membership in force: the last in the log, committed or not, or else
 * the snapshot's. */
void voter_config_refresh(voter_t *v);

/* voter_election.c */
/* Asks for pre-votes, which don't raise the term, if this member votes. */
void voter_start_prevote(voter_t *v);
/* Whether a leader made contact within the minimum election timeout and so may
 * hold a lease: until it ends, no other candidate gets a vote. */
gboolean voter_has_recent_leader(const voter_t *v);
void voter_handle_prevote(voter_t *v, const voter_message_t *m);
void voter_handle_vote(voter_t *v, const voter_message_t *m);
/* Handles the replies to votes and to pre-votes. */
void voter_handle_vote_reply(voter_t *v, const voter_message_t *m);

/* voter_replicate.c */
/* Keeps one progress entry for each member of the membership in force. */
void voter_progress_refresh(voter_t *v);
/* Sends each member the entries that it lacks, or a heartbeat. */
void voter_send_append_all(voter_t *v);
/* Appends an entry in the leader's term. */
void voter_append_as_leader(voter_t *v, entry_kind_t kind, GBytes *data);
/* Commits what a quorum has made durable. The leader steps down once a
 * membership without it is committed. */
void voter_advance_commit(voter_t *v);
/* Extends the lease from the latest send time that a quorum acknowledged. */
void voter_advance_lease(voter_t *v);
void voter_handle_append(voter_t *v, const voter_message_t *m);
void voter_handle_append_reply(voter_t *v, const voter_message_t *m);
void voter_handle_snapshot(voter_t *v, const voter_message_t *m);

#endif
