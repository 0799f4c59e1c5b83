#include "voter_state.h"

#include <string.h>

#include "carobloom/policy/voter_codec.h"

/* ---- messages ---- */

log_entry_t *
log_entry_copy(const log_entry_t *entry)
{
    log_entry_t *copy = g_memdup2(entry, sizeof(*entry));
    copy->data = g_bytes_ref(entry->data);
    return copy;
}

void
log_entry_free(log_entry_t *entry)
{
    g_bytes_unref(entry->data);
    g_free(entry);
}

void
voter_entry_free(gpointer data)
{
    log_entry_free(data);
}

void
voter_message_free(voter_message_t *message)
{
    g_clear_pointer(&message->entries, g_ptr_array_unref);
    g_clear_pointer(&message->snapshot, g_bytes_unref);
    g_free(message);
}

static void
message_free(gpointer data)
{
    voter_message_free(data);
}

voter_message_t *
voter_enqueue_message(voter_t *v, voter_message_kind_t kind, guint64 to)
{
    voter_message_t *message = g_new0(voter_message_t, 1);
    message->kind = kind;
    message->from = v->settings.id;
    message->to = to;
    message->term = v->hard.term;
    g_ptr_array_add(v->outbox, message);
    return message;
}

/* ---- roles ---- */

void
voter_reset_election_timer(voter_t *v)
{
    gint64 spread = v->settings.election_timeout_us;
    v->election_deadline_us =
        v->now_us + v->settings.election_timeout_us +
        (gint64)(g_rand_double(v->rand) * (double)spread);
}

void
voter_become_follower(voter_t *v, guint64 term, guint64 leader)
{
    if (term > v->hard.term) {
        v->hard = (voter_hard_state_t){.term = term};
        v->hard_state_changed = TRUE;
    }
    v->role = ROLE_FOLLOWER;
    v->in_prevote = FALSE;
    v->leader = leader;
    v->lease_end_us = 0;
    voter_reset_election_timer(v);
}

/* ---- membership ---- */

const voter_member_t *
voter_config_find(const voter_config_t *config, guint64 id)
{
    for (guint i = 0; i < config->count; i++) {
        if (config->members[i].id == id) {
            return &config->members[i];
        }
    }
    return NULL;
}

gboolean
voter_is_voting_member(const voter_t *v, guint64 id)
{
    const voter_member_t *member = voter_config_find(&v->config, id);
    return member && !member->learner;
}

guint
voter_quorum(const voter_t *v)
{
    guint voting = 0;
    for (guint i = 0; i < v->config.count; i++) {
        voting += !v->config.members[i].learner;
    }
    return voting / 2 + 1;
}

void
voter_config_refresh(voter_t *v)
{
    for (guint64 i = replica_log_last_index(&v->log); i > v->log.base_index;
         i--) {
        const log_entry_t *entry = replica_log_get(&v->log, i);
        if (entry->kind == ENTRY_CONFIG &&
            voter_config_read(entry->data, &v->config)) {
            v->config_index = i;
            return;
        }
    }
    v->config = v->snapshot.config;
    v->config_index = v->snapshot.index;
}

gboolean
voter_config_pending(const voter_t *v)
{
    return v->config_index > v->commit_index;
}

void
voter_step(voter_t *v, const voter_message_t *m, gint64 now_us)
{
    v->now_us = MAX(v->now_us, now_us);
    if (m->to != v->settings.id || m->kind == VOTER_MEMBERSHIP) {
        return; /* for a previous identity of this voter, or its owner */
    }
    gboolean is_vote_request =
        m->kind == VOTER_PREVOTE || m->kind == VOTER_VOTE;
    if (m->kind == VOTER_VOTE &&
        (voter_has_recent_leader(v) ||
         (v->role == ROLE_LEADER && v->now_us < v->lease_end_us))) {
        return; /* a lease may still be valid; the candidate retries */
    }
    gboolean granted_prevote = m->kind == VOTER_PREVOTE_REPLY && m->granted;
    if (m->term > v->hard.term && !is_vote_request && !granted_prevote) {
        gboolean from_leader =
            m->kind == VOTER_APPEND || m->kind == VOTER_SNAPSHOT;
        voter_become_follower(v, m->term, from_leader ? m->from : 0);
    }
    switch (m->kind) {
    case VOTER_PREVOTE:
        voter_handle_prevote(v, m);
        break;
    case VOTER_VOTE:
        voter_handle_vote(v, m);
        break;
    case VOTER_PREVOTE_REPLY:
    case VOTER_VOTE_REPLY:
        voter_handle_vote_reply(v, m);
        break;
    case VOTER_APPEND:
        voter_handle_append(v, m);
        break;
    case VOTER_APPEND_REPLY:
        voter_handle_append_reply(v, m);
        break;
    case VOTER_SNAPSHOT:
        voter_handle_snapshot(v, m);
        break;
    case VOTER_MEMBERSHIP:
    case VOTER_MESSAGE_KIND_COUNT:
        break;
    }
}

void
voter_tick(voter_t *v, gint64 now_us)
{
    v->now_us = MAX(v->now_us, now_us);
    if (v->role != ROLE_LEADER) {
        if (v->now_us >= v->election_deadline_us) {
            voter_start_prevote(v);
        }
        return;
    }
    voter_advance_lease(v);
    /* A leader without a quorum for two election timeouts steps down. */
    if (v->now_us - v->quorum_contact_us >
        2 * v->settings.election_timeout_us) {
        voter_become_follower(v, v->hard.term, 0);
        return;
    }
    if (v->now_us >= v->next_heartbeat_us) {
        voter_send_append_all(v);
    }
}

/* ---- proposals ---- */

int
voter_propose(voter_t *v, GBytes *data, guint64 *index, gint64 now_us)
{
    v->now_us = MAX(v->now_us, now_us);
    if (v->role != ROLE_LEADER) {
        return VOTER_ERROR_NOT_LEADER;
    }
    voter_append_as_leader(v, ENTRY_COMMAND, data);
    *index = replica_log_last_index(&v->log);
    v->next_heartbeat_us = v->now_us; /* voter_ready sends it, batched */
    return VOTER_OK;
}

/* Counts members that were added, removed, or changed their learner role. */
static guint
count_member_changes(const voter_config_t *a, const voter_config_t *b)
{
    guint changes = 0;
    for (guint i = 0; i < a->count; i++) {
        const voter_member_t *other = voter_config_find(b, a->members[i].id);
        changes += other == NULL || other->learner != a->members[i].learner;
    }
    for (guint i = 0; i < b->count; i++) {
        changes += voter_config_find(a, b->members[i].id) == NULL;
    }
    return changes;
}

int
voter_propose_config(voter_t *v, const voter_config_t *config, gint64 now_us)
{
    v->now_us = MAX(v->now_us, now_us);
    if (v->role != ROLE_LEADER) {
        return VOTER_ERROR_NOT_LEADER;
    }
    /* A new leader must commit an entry of its own term before it changes the
     * membership (Ongaro, 2015). */
    if (voter_config_pending(v) || v->commit_index < v->term_start_index) {
        return VOTER_ERROR_CONFIG_PENDING;
    }
    if (count_member_changes(&v->config, config) != 1) {
        return VOTER_ERROR_CONFIG_INVALID;
    }
    GBytes *data = voter_config_write(config);
    voter_append_as_leader(v, ENTRY_CONFIG, data);
    g_bytes_unref(data);
    voter_config_refresh(v);
    voter_progress_refresh(v);
    v->next_heartbeat_us = v->now_us;
    return VOTER_OK;
}

void
voter_step_down(voter_t *v, gint64 now_us)
{
    v->now_us = MAX(v->now_us, now_us);
    if (v->role != ROLE_LEADER) {
        return;
    }
    /* Delays this member's own candidacy by four election timeouts, so that
     * another member is elected. */
    voter_become_follower(v, v->hard.term, 0);
    v->election_deadline_us = v->now_us + 4 * v->settings.election_timeout_us;
}

/* ---- work for the caller ---- */

static void
collect_committed(voter_t *v, voter_ready_t *ready)
{
    /* The caller makes the entries of a ready durable before it applies them,
     * so a snapshot never covers entries that are not durable. */
    guint64 until = MIN(v->commit_index, replica_log_last_index(&v->log));
    for (guint64 i = v->applied_index + 1; i <= until; i++) {
        g_ptr_array_add(ready->committed,
                        log_entry_copy(replica_log_get(&v->log, i)));
    }
}

gboolean
voter_ready(voter_t *v, voter_ready_t *ready)
{
    if (v->role == ROLE_LEADER && v->now_us >= v->next_heartbeat_us) {
        voter_send_append_all(v);
    }
    *ready = (voter_ready_t){
        .hard_state_changed = v->hard_state_changed,
        .hard = v->hard,
        .append_from = v->append_from,
        .install = v->install,
        .messages = v->outbox,
        .committed = g_ptr_array_new_with_free_func(voter_entry_free),
    };
    if (v->install) {
        ready->snapshot = v->snapshot;
        g_bytes_ref(ready->snapshot.data);
    }
    v->outbox = g_ptr_array_new_with_free_func(message_free);
    collect_committed(v, ready);
    v->hard_state_changed = FALSE;
    v->append_from = 0;
    v->install = FALSE;
    gboolean has_work = ready->hard_state_changed || ready->append_from > 0 ||
                        ready->install || ready->messages->len > 0 ||
                        ready->committed->len > 0;
    if (!has_work) {
        voter_ready_clear(ready);
    }
    return has_work;
}

void
voter_advance(voter_t *v, const voter_ready_t *ready, gint64 now_us)
{
    v->now_us = MAX(v->now_us, now_us);
    if (ready->append_from > 0) {
        v->durable_index = replica_log_last_index(&v->log);
    }
    if (ready->committed->len > 0) {
        const log_entry_t *last =
            ready->committed->pdata[ready->committed->len - 1];
        v->applied_index = MAX(v->applied_index, last->index);
    }
    if (v->role == ROLE_LEADER) {
        guint64 previous_commit = v->commit_index;
        voter_advance_commit(v);
        if (v->role == ROLE_LEADER && v->commit_index > previous_commit) {
            v->next_heartbeat_us = v->now_us;
        }
    }
}

void
voter_ready_clear(voter_ready_t *ready)
{
    g_clear_pointer(&ready->messages, g_ptr_array_unref);
    g_clear_pointer(&ready->committed, g_ptr_array_unref);
    if (ready->install) {
        g_clear_pointer(&ready->snapshot.data, g_bytes_unref);
    }
}

voter_snapshot_t
voter_compact(voter_t *v, guint64 index, GBytes *data)
{
    voter_snapshot_t snapshot = {
        .index = index,
        .term = replica_log_term(&v->log, index),
        .config = v->snapshot.config,
        .data = data,
    };
    for (guint64 i = v->log.base_index + 1; i <= index; i++) {
        const log_entry_t *entry = replica_log_get(&v->log, i);
        if (entry && entry->kind == ENTRY_CONFIG) {
            voter_config_read(entry->data, &snapshot.config);
        }
    }
    g_clear_pointer(&v->snapshot.data, g_bytes_unref);
    v->snapshot = snapshot;
    g_bytes_ref(v->snapshot.data);
    replica_log_compact(&v->log, index, snapshot.term);
    return snapshot;
}

/* ---- creation and accessors ---- */

voter_t *
voter_create(const voter_settings_t *settings, const voter_hard_state_t *hard,
             const voter_snapshot_t *snapshot, const GPtrArray *entries,
             gint64 now_us)
{
    voter_t *v = g_new0(voter_t, 1);
    v->settings = *settings;
    v->rand = g_rand_new_with_seed((guint32)settings->seed);
    v->hard = *hard;
    v->snapshot = *snapshot;
    if (v->snapshot.data) {
        g_bytes_ref(v->snapshot.data);
    }
    replica_log_init(&v->log);
    replica_log_compact(&v->log, snapshot->index, snapshot->term);
    for (guint i = 0; entries && i < entries->len; i++) {
        replica_log_append(&v->log, entries->pdata[i]);
    }
    v->durable_index = replica_log_last_index(&v->log);
    v->commit_index = snapshot->index;
    v->applied_index = snapshot->index;
    v->ballots = g_hash_table_new(NULL, NULL);
    v->outbox = g_ptr_array_new_with_free_func(message_free);
    v->now_us = now_us;
    /* This voter may have acknowledged a leader just before it restarted, so
     * it grants no vote until that leader's lease has ended. */
    v->leader_contact_us = now_us;
    voter_config_refresh(v);
    voter_reset_election_timer(v);
    if (v->config.count == 1 && voter_is_voting_member(v, settings->id)) {
        v->leader_contact_us = now_us - settings->election_timeout_us;
        /* The only member starts its election at once. */
        v->election_deadline_us = now_us;
    }
    return v;
}

void
voter_destroy(voter_t *v)
{
    g_rand_free(v->rand);
    replica_log_clear(&v->log);
    g_clear_pointer(&v->snapshot.data, g_bytes_unref);
    g_hash_table_unref(v->ballots);
    g_ptr_array_unref(v->outbox);
    g_free(v);
}

voter_role_t
voter_role(const voter_t *v)
{
    return v->role;
}

guint64
voter_term(const voter_t *v)
{
    return v->hard.term;
}

guint64
voter_leader(const voter_t *v)
{
    return v->leader;
}

guint64
voter_commit_index(const voter_t *v)
{
    return v->commit_index;
}

guint64
voter_applied_index(const voter_t *v)
{
    return v->applied_index;
}

const replica_log_t *
voter_log(const voter_t *v)
{
    return &v->log;
}

const voter_config_t *
voter_config(const voter_t *v)
{
    return &v->config;
}

gint64
voter_election_timeout_us(const voter_t *v)
{
    return v->settings.election_timeout_us;
}

gint64
voter_lease_end_us(const voter_t *v)
{
    return v->role == ROLE_LEADER ? v->lease_end_us : 0;
}

gboolean
voter_may_read(const voter_t *v, gint64 now_us)
{
    return v->role == ROLE_LEADER && now_us < v->lease_end_us &&
           v->applied_index >= v->term_start_index;
}

static const progress_t *
progress_of(const voter_t *v, guint64 member)
{
    for (guint i = 0; v->role == ROLE_LEADER && i < v->progress_count; i++) {
        if (v->progress[i].id == member) {
            return &v->progress[i];
        }
    }
    return NULL;
}

guint64
voter_match_index(const voter_t *v, guint64 member)
{
    const progress_t *progress = progress_of(v, member);
    return progress != NULL ? progress->match_index : 0;
}

gint64
voter_contact_us(const voter_t *v, guint64 member)
{
    const progress_t *progress = progress_of(v, member);
    return progress != NULL ? progress->contact_us : 0;
}
