/* A voter of the replicated log: election with pre-vote, quorum commit,
 * leader lease, snapshots, and membership changes one at a time.
 *
 * After Ongaro and Ousterhout, "In Search of an Understandable Consensus
 * Algorithm" (2014), and Ongaro's thesis for the membership changes, learners
 * and pre-vote. Pure: events and the time go in; voter_ready tells what to
 * make durable, what to send after that, and what to apply. */
#ifndef CAROBLOOM_POLICY_VOTER_H
#define CAROBLOOM_POLICY_VOTER_H

#include <glib.h>

#include "carobloom/policy/replica_log.h"

enum {
    VOTER_MEMBERS_MAX = 16,
    VOTER_NAME_MAX = 64,
    VOTER_MESSAGE_ENTRIES_MAX = 256,
    VOTER_MESSAGE_BYTES_MAX = 1024 * 1024,
};

enum {
    VOTER_OK = 0,
    VOTER_ERROR_NOT_LEADER = -1,
    VOTER_ERROR_CONFIG_PENDING =
        -2, /* a membership change is not committed yet */
    VOTER_ERROR_CONFIG_INVALID = -3, /* it would change more than one member */
};

/* One member. `id` changes when it lost its disk; the name stays. */
typedef struct {
    guint64 id;
    gboolean learner;
    char name[VOTER_NAME_MAX + 1];
} voter_member_t;

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
    VOTER_MESSAGE_KIND_COUNT,
} voter_message_kind_t;

/* One message between voters. Fields not named for a kind are zero. */
typedef struct {
    voter_message_kind_t kind;
    guint64 from;
    guint64 to;
    guint64 term;
    guint64 index; /* last of the log (votes), previous (append), match */
    guint64 log_term;
    guint64 commit_index;
    guint64
        send_time_us; /* of the leader's sending time, echoed; for the lease */
    gboolean granted; /* or the append fitted */
    GPtrArray *entries;    /* log_entry_t *, owned; may be NULL */
    voter_config_t config; /* of a snapshot */
    GBytes *snapshot;
} voter_message_t;

void voter_message_free(voter_message_t *message);
log_entry_t *log_entry_copy(const log_entry_t *entry);
void log_entry_free(log_entry_t *entry);

/* What must outlive a crash besides the log. */
typedef struct {
    guint64 term;
    guint64 voted_for; /* member voted for in the term, 0 for none */
} voter_hard_state_t;

typedef struct {
    guint64 index;
    guint64 term;
    voter_config_t config;
    GBytes *data; /* of the state machine; NULL for none */
} voter_snapshot_t;

typedef struct {
    guint64 id;
    gint64 election_timeout_us; /* least election timeout; also the lease's
                                   length */
    gint64 heartbeat_us;
    guint64 seed;
} voter_settings_t;

typedef enum { ROLE_FOLLOWER, ROLE_CANDIDATE, ROLE_LEADER } voter_role_t;

/* What the driver must do, in this order: make `snapshot` durable, then
 * `hard` and the log from `append_from` on; send `messages`; restore or apply
 * `snapshot` and `committed`; then call voter_advance. */
typedef struct {
    gboolean hard_state_changed;
    voter_hard_state_t hard;
    guint64 append_from; /* 0: the log did not change */
    gboolean install;    /* `snapshot` came from the leader */
    voter_snapshot_t snapshot;
    GPtrArray *messages;  /* voter_message_t * */
    GPtrArray *committed; /* log_entry_t * */
} voter_ready_t;

typedef struct voter voter_t;

/* Starts from what is durable; `entries` may be NULL. */
voter_t *voter_create(const voter_settings_t *settings,
                      const voter_hard_state_t *hard,
                      const voter_snapshot_t *snapshot,
                      const GPtrArray *entries, gint64 now_us);
void voter_destroy(voter_t *voter);

void voter_tick(voter_t *voter, gint64 now_us);
void voter_step(voter_t *voter, const voter_message_t *message, gint64 now_us);
/* Appends a command as leader; `index` tells where. */
int voter_propose(voter_t *voter, GBytes *data, guint64 *index, gint64 now_us);
/* Appends a membership that differs in one member from the present. */
int voter_propose_config(voter_t *voter, const voter_config_t *config,
                         gint64 now_us);
/* Collects what is to do; clear it with voter_ready_clear. FALSE when there
 * is nothing. */
gboolean voter_ready(voter_t *voter, voter_ready_t *ready);
void voter_advance(voter_t *voter, const voter_ready_t *ready, gint64 now_us);
void voter_ready_clear(voter_ready_t *ready);
/* The state machine's snapshot up to an applied index; the log before it
 * may be dropped. Returns the snapshot to make durable (config filled in). */
voter_snapshot_t voter_compact(voter_t *voter, guint64 index, GBytes *data);
/* Gives up leadership, for a drain; the followers elect another once their
 * timeout has passed. */
void voter_step_down(voter_t *voter, gint64 now_us);

voter_role_t voter_role(const voter_t *voter);
guint64 voter_term(const voter_t *voter);
guint64 voter_leader(const voter_t *voter);
guint64 voter_commit_index(const voter_t *voter);
guint64 voter_applied_index(const voter_t *voter);
const replica_log_t *voter_log(const voter_t *voter);
const voter_config_t *voter_config(const voter_t *voter);
/* Whether a config entry waits for its commit. */
gboolean voter_config_pending(const voter_t *voter);
/* Until when, by this clock, no other leader can have been elected. Reads
 * and orders need now < this, and an entry of the own term applied. */
/* Its settings' election timeout. */
gint64 voter_election_timeout_us(const voter_t *voter);
gint64 voter_lease_end_us(const voter_t *voter);
/* Whether the leader may answer reads from its applied state now. */
gboolean voter_may_read(const voter_t *voter, gint64 now_us);
/* How far a member has the log, as the leader knows; 0 elsewhere. */
guint64 voter_match_index(const voter_t *voter, guint64 member);
const voter_member_t *voter_config_find(const voter_config_t *config,
                                        guint64 id);

#endif
