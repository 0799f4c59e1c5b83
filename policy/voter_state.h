/* Private to the voter: its state, shared by the files that make it up.
 *
 * voter.c            messages in and out, time, membership, proposals
 * voter_election.c   votes: asked for, given, counted
 * voter_replicate.c  entries and snapshots: sent, taken, committed; the lease
 */
#ifndef CAROBLOOM_POLICY_VOTER_STATE_H
#define CAROBLOOM_POLICY_VOTER_STATE_H

#include "carobloom/policy/voter.h"

/* What the leader knows of one member. */
typedef struct {
    guint64 id;
    guint64 next_index;
    guint64 match_index;
    guint64 acked_send_time_us; /* the latest of our rounds it echoed */
    gint64 contact_us;
    gint64 snapshot_sent_us; /* when a snapshot was last sent */
} progress_t;

struct voter {
    voter_settings_t settings;
    GRand *rand;
    voter_hard_state_t hard;
    gboolean hard_state_changed;
    replica_log_t log;
    voter_snapshot_t snapshot;
    gboolean install;
    guint64 append_from;   /* the first entry not yet given to the disk */
    guint64 durable_index; /* the last entry known to be on the disk */
    guint64 commit_index;
    guint64 applied_index;
    voter_config_t config;
    guint64 config_index;
    voter_role_t role;
    gboolean in_prevote;
    guint64 leader;
    gint64 now_us;
    gint64 leader_contact_us;    /* from a leader; also at start */
    gint64 election_deadline_us; /* when to stand for election */
    gint64 next_heartbeat_us;    /* when to send the next heartbeat */
    gint64 quorum_contact_us;    /* when a quorum was last heard */
    gint64 lease_end_us;
    guint64 term_start_index; /* index of the leader's no-op */
    GHashTable *votes;        /* member ids that granted */
    progress_t progress[VOTER_MEMBERS_MAX];
    guint progress_count;
    GPtrArray *outbox;
};

/* voter.c */
/* Puts a message in the outbox and returns it to be filled in. */
voter_message_t *voter_enqueue_message(voter_t *v, voter_message_kind_t kind,
                                       guint64 to);
/* Frees a log_entry_t, for arrays of them. */
void voter_entry_free(gpointer entry);
void voter_reset_election_timer(voter_t *v);
void voter_become_follower(voter_t *v, guint64 term, guint64 leader);
gboolean voter_is_voting_member(const voter_t *v, guint64 id);
/* Voting members that make up a quorum. */
guint voter_quorum(const voter_t *v);
/* Takes the membership in force: the last in the log, committed or not. */
void voter_config_refresh(voter_t *v);

/* voter_election.c */
void voter_start_prevote(voter_t *v);
/* While a leader may hold a lease, nobody is helped into its place. */
gboolean voter_has_recent_leader(const voter_t *v);
void voter_handle_prevote(voter_t *v, const voter_message_t *m);
void voter_handle_vote(voter_t *v, const voter_message_t *m);
/* Of votes and of pre-votes. */
void voter_handle_vote_reply(voter_t *v, const voter_message_t *m);

/* voter_replicate.c */
/* Keeps one progress entry for each member of the present membership. */
void voter_progress_refresh(voter_t *v);
/* Sends each member what it lacks, or a heartbeat. */
void voter_send_append_all(voter_t *v);
/* Appends an entry as leader. */
void voter_append_as_leader(voter_t *v, entry_kind_t kind, GBytes *data);
void voter_advance_commit(voter_t *v);
void voter_advance_lease(voter_t *v);
void voter_handle_append(voter_t *v, const voter_message_t *m);
void voter_handle_append_reply(voter_t *v, const voter_message_t *m);
void voter_handle_snapshot(voter_t *v, const voter_message_t *m);

#endif
