/* One member of a Raft group: elections with pre-vote, quorum commit, leader
 * lease, snapshots, and single-member membership changes.
 *
 * A member is a voter, or a learner, which receives the log but has no vote.
 *
 * Source: Ongaro and Ousterhout, "In Search of an Understandable Consensus
 * Algorithm" (2014); membership changes, learners and pre-vote follow Ongaro's
 * thesis. The module does no I/O and reads no clock: the caller passes in
 * messages and the time, and voter_ready returns what to make durable, what to
 * send after that, and what to apply. */
#ifndef CAROBLOOM_POLICY_VOTER_H
#define CAROBLOOM_POLICY_VOTER_H

#include <glib.h>

#include "carobloom/policy/replica_log.h"

enum {
    VOTER_MEMBERS_MAX = 16,
    VOTER_NAME_MAX = 64,
    VOTER_MESSAGE_ENTRIES_MAX = 256,
    /* An append is full at this size; its last entry may exceed it. */
    VOTER_MESSAGE_BYTES_MAX = 1024 * 1024,
};

enum {
    VOTER_OK = 0,
    VOTER_ERROR_NOT_LEADER = -1,
    /* A membership change, or the first entry of the leader's term, is not
     * committed yet. */
    VOTER_ERROR_CONFIG_PENDING = -2,
    /* The proposed membership doesn't differ in exactly one member. */
    VOTER_ERROR_CONFIG_INVALID = -3,
};

/* One member of the group. A member that lost its disk gets a new `id` and
 * keeps its name. */
typedef struct {
    guint64 id;
    gboolean learner;
    char name[VOTER_NAME_MAX + 1];
} voter_member_t;

/* The membership of the group. */
typedef struct {
    guint count;
    voter_member_t members[VOTER_MEMBERS_MAX];
} voter_config_t;

typedef enum {
    VOTER_PREVOTE,
    VOTER_PREVOTE_REPLY,
    VOTER_VOTE,
    VOTER_VOTE_REPLY,
    VOTER_APPEND,
    VOTER_APPEND_REPLY,
    VOTER_SNAPSHOT,
    VOTER_MEMBERSHIP, /* tells an instance that asks to join whom to ask */
    VOTER_MESSAGE_KIND_COUNT,
} voter_message_kind_t;

/* One message between voters. Fields that a kind doesn't use are zero. */
typedef struct {
    voter_message_kind_t kind;
    guint64 from;
    guint64 to;
    guint64 term;
    /* (Pre-)vote: the candidate's last entry. Append: the entry before
     * `entries`. Append reply: the last entry that matches, or after which the
     * leader should retry. Snapshot: the last entry it covers. Reply to a
     * (pre-)vote: the last entry of the voter that replies. */
    guint64 index;
    guint64 log_term; /* term of the entry at `index` */
    guint64 commit_index;
    guint64 send_time_us;  /* leader's clock; echoed, and extends the lease */
    gboolean granted;      /* the vote is granted, or the append matches */
    GPtrArray *entries;    /* log_entry_t *, owned; may be NULL */
    voter_config_t config; /* membership, in the snapshot or as known here */
    GBytes *snapshot;
} voter_message_t;

void voter_message_free(voter_message_t *message);
log_entry_t *log_entry_copy(const log_entry_t *entry);
void log_entry_free(log_entry_t *entry);

/* Raft's persistent state besides the log and the snapshot. */
typedef struct {
    guint64 term;
    guint64 voted_for; /* member id in this term, 0 for none */
} voter_hard_state_t;

/* A snapshot of the state machine after the entry at `index`. */
typedef struct {
    guint64 index;
    guint64 term;
    voter_config_t config;
    GBytes *data; /* serialized state machine; NULL for none */
} voter_snapshot_t;

typedef struct {
    guint64 id;
    /* Minimum election timeout: each timeout is drawn between this and twice
     * this. The leader lease is derived from it. */
    gint64 election_timeout_us;
    gint64 heartbeat_us; /* interval */
    guint64 seed;        /* of the random election timeouts */
} voter_settings_t;

typedef enum { ROLE_FOLLOWER, ROLE_CANDIDATE, ROLE_LEADER } voter_role_t;

/* What the caller must do, in this order: make `snapshot` durable, then `hard`
 * and the log from `append_from` on; send `messages`; restore `snapshot` and
 * apply `committed`; then call voter_advance. */
typedef struct {
    gboolean hard_state_changed;
    voter_hard_state_t hard;
    guint64 append_from; /* first entry to write; 0: the log is unchanged */
    gboolean install;    /* `snapshot` is set: it came from the leader */
    voter_snapshot_t snapshot;
    GPtrArray *messages;  /* voter_message_t * */
    GPtrArray *committed; /* log_entry_t * */
} voter_ready_t;

typedef struct voter voter_t;

/* What a member answered to this voter's last request for a vote. */
typedef enum {
    BALLOT_NONE, /* not asked, or no answer yet */
    BALLOT_GRANTED,
    BALLOT_NEWER_TERM, /* refused: it is in a newer term */
    BALLOT_NEWER_LOG,  /* refused: this voter's log lacks entries */
    BALLOT_HAS_LEADER, /* refused: it heard from a leader, or has voted */
} ballot_t;

/* Starts from the durable state; `entries` are those after the snapshot and
 * may be NULL. */
voter_t *voter_create(const voter_settings_t *settings,
                      const voter_hard_state_t *hard,
                      const voter_snapshot_t *snapshot,
                      const GPtrArray *entries, gint64 now_us);
void voter_destroy(voter_t *voter);

void voter_tick(voter_t *voter, gint64 now_us);
void voter_step(voter_t *voter, const voter_message_t *message, gint64 now_us);
/* Appends a command, on the leader, and stores the entry's index in
 * `index`. Returns VOTER_ERROR_NOT_LEADER elsewhere. */
int voter_propose(voter_t *voter, GBytes *data, guint64 *index, gint64 now_us);
/* Appends a membership that differs from the current one in one member, on
 * the leader. Returns a VOTER_ERROR_ code on failure. */
int voter_propose_config(voter_t *voter, const voter_config_t *config,
                         gint64 now_us);
/* Collects the pending work; free it with voter_ready_clear. Returns FALSE,
 * with nothing to free, when there is none. */
gboolean voter_ready(voter_t *voter, voter_ready_t *ready);
/* Records that the work in `ready` is done. */
void voter_advance(voter_t *voter, const voter_ready_t *ready, gint64 now_us);
void voter_ready_clear(voter_ready_t *ready);
/* Replaces the log up to `index`, which must be applied, by a snapshot with
 * `data`. Returns the snapshot to make durable, with its membership; its data
 * is borrowed. */
voter_snapshot_t voter_compact(voter_t *voter, guint64 index, GBytes *data);
/* Gives up leadership before this instance drains. The followers elect a new
 * leader after their election timeout. */
void voter_step_down(voter_t *voter, gint64 now_us);

voter_role_t voter_role(const voter_t *voter);
guint64 voter_term(const voter_t *voter);
/* The leader's member id, 0 when not known. */
guint64 voter_leader(const voter_t *voter);
guint64 voter_commit_index(const voter_t *voter);
guint64 voter_applied_index(const voter_t *voter);
const replica_log_t *voter_log(const voter_t *voter);
/* The membership in force: the last in the log, committed or not. */
const voter_config_t *voter_config(const voter_t *voter);
/* Whether the membership in force is not committed yet. */
gboolean voter_config_pending(const voter_t *voter);
/* The election timeout from the settings. */
gint64 voter_election_timeout_us(const voter_t *voter);
/* The end of the leader's lease by its own clock; 0 on other members. No other
 * leader can be elected before it. Reads, and actions that only a leader may
 * take, need now < this and an applied entry of the leader's own term. */
gint64 voter_lease_end_us(const voter_t *voter);
/* Whether the leader may answer reads from its applied state now. */
gboolean voter_may_read(const voter_t *voter, gint64 now_us);
/* The last entry known to be replicated on `member`; 0 when this voter is not
 * the leader. */
guint64 voter_match_index(const voter_t *voter, guint64 member);
/* When `member` answered this leader last; for one that has not yet, when this
 * voter began to lead or the member was added. */
gint64 voter_contact_us(const voter_t *voter, guint64 member);
/* The answer of `member` to the last request for votes or pre-votes. */
ballot_t voter_ballot(const voter_t *voter, guint64 member);
/* The number of voting members that make up a quorum. */
guint voter_quorum(const voter_t *voter);
/* The member with this id, or NULL. */
const voter_member_t *voter_config_find(const voter_config_t *config,
                                        guint64 id);

#endif
