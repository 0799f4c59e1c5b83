#include "voter_state.h"

ballot_t
voter_ballot(const voter_t *v, guint64 member)
{
    return GPOINTER_TO_INT(
        g_hash_table_lookup(v->ballots, (gconstpointer)member));
}

static void
set_ballot(voter_t *v, guint64 member, ballot_t ballot)
{
    g_hash_table_insert(v->ballots, (gpointer)member, GINT_TO_POINTER(ballot));
}

static void
request_votes(voter_t *v, gboolean pre)
{
    g_hash_table_remove_all(v->ballots);
    v->asked_term = pre ? v->hard.term + 1 : v->hard.term;
    for (guint i = 0; i < v->config.count; i++) {
        const voter_member_t *member = &v->config.members[i];
        if (member->learner || member->id == v->settings.id) {
            continue;
        }
        voter_message_t *m = voter_enqueue_message(
            v, pre ? VOTER_PREVOTE : VOTER_VOTE, member->id);
        m->term = pre ? v->hard.term + 1 : v->hard.term;
        m->index = replica_log_last_index(&v->log);
        m->log_term = replica_log_last_term(&v->log);
    }
}

static void record_vote(voter_t *v, guint64 from);

static void
start_election(voter_t *v)
{
    v->role = ROLE_CANDIDATE;
    v->in_prevote = FALSE;
    v->leader = 0;
    v->hard = (voter_hard_state_t){.term = v->hard.term + 1,
                                   .voted_for = v->settings.id};
    v->hard_state_changed = TRUE;
    voter_reset_election_timer(v);
    request_votes(v, FALSE);
    record_vote(v, v->settings.id);
}

void
voter_start_prevote(voter_t *v)
{
    voter_reset_election_timer(v);
    v->leader = 0;
    if (!voter_is_voting_member(v, v->settings.id)) {
        return;
    }
    v->role = ROLE_CANDIDATE;
    v->in_prevote = TRUE;
    request_votes(v, TRUE);
    record_vote(v, v->settings.id);
}

static void
become_leader(voter_t *v)
{
    v->role = ROLE_LEADER;
    v->in_prevote = FALSE;
    v->leader = v->settings.id;
    v->lease_end_us = 0;
    v->quorum_contact_us = v->now_us;
    v->progress_count = 0;
    voter_progress_refresh(v);
    GBytes *empty = g_bytes_new(NULL, 0);
    voter_append_as_leader(v, ENTRY_NOOP, empty);
    g_bytes_unref(empty);
    v->term_start_index = replica_log_last_index(&v->log);
    voter_send_append_all(v);
}

static void
record_vote(voter_t *v, guint64 from)
{
    set_ballot(v, from, BALLOT_GRANTED);
    guint granted = 0;
    for (guint i = 0; i < v->config.count; i++) {
        const voter_member_t *member = &v->config.members[i];
        granted +=
            !member->learner && voter_ballot(v, member->id) == BALLOT_GRANTED;
    }
    if (granted < voter_quorum(v)) {
        return;
    }
    if (v->in_prevote) {
        start_election(v);
    }
    else {
        become_leader(v);
    }
}

/* ---- requests and replies of others ---- */

/* Whether the log that ends as `m` says is at least as up to date as this
 * one. */
static gboolean
log_up_to_date(const voter_t *v, const voter_message_t *m)
{
    guint64 term = replica_log_last_term(&v->log);
    return m->log_term > term || (m->log_term == term &&
                                  m->index >= replica_log_last_index(&v->log));
}

gboolean
voter_has_recent_leader(const voter_t *v)
{
    return v->role != ROLE_LEADER &&
           v->now_us - v->leader_contact_us < v->settings.election_timeout_us;
}

static voter_message_t *
enqueue_reply(voter_t *v, voter_message_kind_t kind, guint64 to)
{
    voter_message_t *reply = voter_enqueue_message(v, kind, to);
    reply->index = replica_log_last_index(&v->log);
    reply->log_term = replica_log_last_term(&v->log);
    return reply;
}

void
voter_handle_prevote(voter_t *v, const voter_message_t *m)
{
    gboolean holds_lease =
        v->role == ROLE_LEADER && v->now_us < v->lease_end_us;
    voter_message_t *reply = enqueue_reply(v, VOTER_PREVOTE_REPLY, m->from);
    reply->granted = m->term > v->hard.term && log_up_to_date(v, m) &&
                     !voter_has_recent_leader(v) && !holds_lease;
    reply->term = reply->granted ? m->term : v->hard.term;
}

void
voter_handle_vote(voter_t *v, const voter_message_t *m)
{
    if (m->term > v->hard.term) {
        voter_become_follower(v, m->term, 0);
    }
    gboolean vote_available =
        v->hard.voted_for == 0 || v->hard.voted_for == m->from;
    gboolean grant =
        m->term == v->hard.term && vote_available && log_up_to_date(v, m);
    if (grant && v->hard.voted_for == 0) {
        v->hard.voted_for = m->from;
        v->hard_state_changed = TRUE;
    }
    if (grant) {
        voter_reset_election_timer(v);
    }
    voter_message_t *reply = enqueue_reply(v, VOTER_VOTE_REPLY, m->from);
    reply->granted = grant;
}

/* Why the sender of `m` refused its vote. */
static ballot_t
refusal(const voter_t *v, const voter_message_t *m)
{
    guint64 last_term = replica_log_last_term(&v->log);
    if (m->log_term > last_term ||
        (m->log_term == last_term &&
         m->index > replica_log_last_index(&v->log))) {
        return BALLOT_NEWER_LOG;
    }
    guint64 newer = v->asked_term + (m->kind == VOTER_PREVOTE_REPLY ? 0 : 1);
    return m->term >= newer ? BALLOT_NEWER_TERM : BALLOT_HAS_LEADER;
}

void
voter_handle_vote_reply(voter_t *v, const voter_message_t *m)
{
    gboolean pre = m->kind == VOTER_PREVOTE_REPLY;
    guint64 expected = pre ? v->hard.term + 1 : v->hard.term;
    if (!m->granted && voter_is_voting_member(v, m->from) &&
        voter_ballot(v, m->from) != BALLOT_GRANTED) {
        set_ballot(v, m->from, refusal(v, m));
    }
    if (v->role == ROLE_CANDIDATE && v->in_prevote == pre && m->granted &&
        m->term == expected) {
        record_vote(v, m->from);
    }
}
