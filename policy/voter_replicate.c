#include "voter_state.h"

#include <string.h>

#include "carobloom/policy/voter_codec.h"

/* Lease length as a fraction of the minimum election timeout; the rest covers
 * clock drift. */
static const double LEASE_FRACTION = 0.9;

/* ---- progress of members, on the leader ---- */

static progress_t *
find_progress(voter_t *v, guint64 id)
{
    for (guint i = 0; i < v->progress_count; i++) {
        if (v->progress[i].id == id) {
            return &v->progress[i];
        }
    }
    return NULL;
}

void
voter_progress_refresh(voter_t *v)
{
    progress_t fresh[VOTER_MEMBERS_MAX];
    for (guint i = 0; i < v->config.count; i++) {
        guint64 id = v->config.members[i].id;
        progress_t *known = find_progress(v, id);
        fresh[i] = known
                       ? *known
                       : (progress_t){.id = id,
                                      .next_index =
                                          replica_log_last_index(&v->log) + 1,
                                      .contact_us = v->now_us};
    }
    memcpy(v->progress, fresh, sizeof(progress_t) * v->config.count);
    v->progress_count = v->config.count;
}

/* ---- replication, on the leader ---- */

static void
send_snapshot(voter_t *v, progress_t *p)
{
    if (v->now_us - p->snapshot_sent_us < v->settings.election_timeout_us &&
        p->snapshot_sent_us > 0) {
        return;
    }
    p->snapshot_sent_us = v->now_us;
    voter_message_t *m = voter_enqueue_message(v, VOTER_SNAPSHOT, p->id);
    m->index = v->snapshot.index;
    m->log_term = v->snapshot.term;
    m->config = v->snapshot.config;
    m->send_time_us = (guint64)v->now_us;
    m->snapshot = v->snapshot.data ? g_bytes_ref(v->snapshot.data)
                                   : g_bytes_new(NULL, 0);
}

static void
send_append(voter_t *v, progress_t *p)
{
    guint64 previous = p->next_index - 1;
    if (previous < v->log.base_index) {
        send_snapshot(v, p);
        return;
    }
    voter_message_t *m = voter_enqueue_message(v, VOTER_APPEND, p->id);
    m->index = previous;
    m->log_term = replica_log_term(&v->log, previous);
    m->commit_index = v->commit_index;
    m->send_time_us = (guint64)v->now_us;
    m->entries = g_ptr_array_new_with_free_func(voter_entry_free);
    gsize bytes = 0;
    while (m->entries->len < VOTER_MESSAGE_ENTRIES_MAX &&
           bytes < VOTER_MESSAGE_BYTES_MAX) {
        const log_entry_t *entry = replica_log_get(&v->log, p->next_index);
        if (entry == NULL) {
            break;
        }
        g_ptr_array_add(m->entries, log_entry_copy(entry));
        bytes += g_bytes_get_size(entry->data);
        p->next_index++;
    }
}

void
voter_send_append_all(voter_t *v)
{
    v->next_heartbeat_us = v->now_us + v->settings.heartbeat_us;
    for (guint i = 0; i < v->progress_count; i++) {
        if (v->progress[i].id != v->settings.id) {
            send_append(v, &v->progress[i]);
        }
    }
}

static gint
compare_u64_descending(gconstpointer a, gconstpointer b)
{
    guint64 x = *(const guint64 *)a;
    guint64 y = *(const guint64 *)b;
    return x > y ? -1 : x < y;
}

/* The highest value that a quorum of voting members has reached. */
static guint64
quorum_value(voter_t *v, guint64 (*value)(voter_t *, progress_t *))
{
    guint64 values[VOTER_MEMBERS_MAX];
    guint count = 0;
    for (guint i = 0; i < v->progress_count; i++) {
        if (voter_is_voting_member(v, v->progress[i].id)) {
            values[count++] = value(v, &v->progress[i]);
        }
    }
    if (count == 0) {
        return 0;
    }
    qsort(values, count, sizeof(guint64), compare_u64_descending);
    return values[voter_quorum(v) - 1];
}

static guint64
durable_match(voter_t *v, progress_t *p)
{
    return p->id == v->settings.id ? v->durable_index : p->match_index;
}

static guint64
acked_send_time(voter_t *v, progress_t *p)
{
    return p->id == v->settings.id ? (guint64)v->now_us
                                   : p->acked_send_time_us;
}

void
voter_advance_commit(voter_t *v)
{
    guint64 index = quorum_value(v, durable_match);
    /* Only entries of the leader's own term are committed by counting
     * replicas; earlier ones are committed with them. */
    if (index > v->commit_index &&
        replica_log_term(&v->log, index) == v->hard.term) {
        v->commit_index = index;
        gboolean removed =
            voter_config_find(&v->config, v->settings.id) == NULL &&
            v->config_index <= v->commit_index;
        if (removed) {
            voter_send_append_all(v);
            voter_become_follower(v, v->hard.term, 0);
        }
    }
}

void
voter_advance_lease(voter_t *v)
{
    gint64 acked_us = (gint64)quorum_value(v, acked_send_time);
    if (acked_us == 0) {
        return;
    }
    v->quorum_contact_us = MAX(v->quorum_contact_us, acked_us);
    v->lease_end_us =
        MAX(v->lease_end_us,
            acked_us + (gint64)(LEASE_FRACTION *
                                (double)v->settings.election_timeout_us));
}

void
voter_append_as_leader(voter_t *v, entry_kind_t kind, GBytes *data)
{
    log_entry_t entry = {
        .index = replica_log_last_index(&v->log) + 1,
        .term = v->hard.term,
        .kind = kind,
        .data = data,
    };
    replica_log_append(&v->log, &entry);
    if (v->append_from == 0) {
        v->append_from = entry.index;
    }
}

/* ---- appends, their replies, and snapshots received ---- */

/* Appends the entries that are new. A conflicting entry truncates the log
 * first. Returns the last index that now matches the leader's log. */
static guint64
append_entries(voter_t *v, const voter_message_t *m)
{
    gboolean changed = FALSE;
    guint64 last = m->index;
    for (guint i = 0; m->entries && i < m->entries->len; i++) {
        const log_entry_t *entry = m->entries->pdata[i];
        last = entry->index;
        if (entry->index <= v->log.base_index ||
            replica_log_term(&v->log, entry->index) == entry->term) {
            continue;
        }
        if (entry->index <= replica_log_last_index(&v->log)) {
            replica_log_truncate(&v->log, entry->index);
            v->durable_index = MIN(v->durable_index, entry->index - 1);
        }
        replica_log_append(&v->log, entry);
        if (v->append_from == 0 || entry->index < v->append_from) {
            v->append_from = entry->index;
        }
        changed = TRUE;
    }
    if (changed) {
        voter_config_refresh(v);
    }
    return last;
}

void
voter_handle_append(voter_t *v, const voter_message_t *m)
{
    voter_message_t *reply =
        voter_enqueue_message(v, VOTER_APPEND_REPLY, m->from);
    reply->send_time_us = m->send_time_us;
    if (m->term < v->hard.term) {
        return;
    }
    voter_become_follower(v, m->term, m->from);
    reply->term = v->hard.term;
    v->leader_contact_us = v->now_us;
    gboolean log_matches =
        m->index < v->log.base_index ||
        (m->index <= replica_log_last_index(&v->log) &&
         replica_log_term(&v->log, m->index) == m->log_term);
    if (!log_matches) {
        /* Hint for the leader's retry: skips the conflicting term. */
        guint64 hint = MIN(m->index - 1, replica_log_last_index(&v->log));
        guint64 term = replica_log_term(&v->log, hint);
        while (hint > v->log.base_index && hint > v->commit_index &&
               m->index <= replica_log_last_index(&v->log) &&
               replica_log_term(&v->log, hint) == term) {
            hint--;
        }
        reply->index = MAX(hint, v->log.base_index);
        return;
    }
    reply->granted = TRUE;
    reply->index = append_entries(v, m);
    v->commit_index = MAX(v->commit_index, MIN(m->commit_index, reply->index));
}

void
voter_handle_append_reply(voter_t *v, const voter_message_t *m)
{
    progress_t *p = v->role == ROLE_LEADER ? find_progress(v, m->from) : NULL;
    if (p == NULL || m->term != v->hard.term) {
        return;
    }
    p->contact_us = v->now_us;
    p->acked_send_time_us = MAX(p->acked_send_time_us, m->send_time_us);
    voter_advance_lease(v);
    if (!m->granted) {
        /* A member whose disk lost what it had acknowledged gets it again. */
        p->match_index = MIN(p->match_index, m->index);
        p->next_index = MIN(m->index, replica_log_last_index(&v->log)) + 1;
        send_append(v, p);
        return;
    }
    p->match_index = MAX(p->match_index, m->index);
    p->next_index = MAX(p->next_index, p->match_index + 1);
    p->snapshot_sent_us = 0;
    guint64 previous_commit = v->commit_index;
    voter_advance_commit(v);
    if (v->role != ROLE_LEADER) {
        return;
    }
    if (v->commit_index > previous_commit) {
        /* Notifies the followers of the commit at once. */
        voter_send_append_all(v);
    }
    else if (p->next_index <= replica_log_last_index(&v->log)) {
        send_append(v, p);
    }
}

void
voter_handle_snapshot(voter_t *v, const voter_message_t *m)
{
    voter_message_t *reply =
        voter_enqueue_message(v, VOTER_APPEND_REPLY, m->from);
    reply->send_time_us = m->send_time_us;
    if (m->term < v->hard.term) {
        return;
    }
    voter_become_follower(v, m->term, m->from);
    reply->term = v->hard.term;
    reply->granted = TRUE;
    v->leader_contact_us = v->now_us;
    reply->index = MAX(v->commit_index, m->index);
    if (m->index <= v->commit_index) {
        return;
    }
    replica_log_truncate(&v->log, v->log.base_index + 1);
    replica_log_compact(&v->log, m->index, m->log_term);
    g_clear_pointer(&v->snapshot.data, g_bytes_unref);
    v->snapshot = (voter_snapshot_t){
        .index = m->index,
        .term = m->log_term,
        .config = m->config,
        .data = g_bytes_ref(m->snapshot),
    };
    v->install = TRUE;
    v->append_from = 0;
    v->commit_index = m->index;
    v->applied_index = m->index;
    v->durable_index = m->index;
    voter_config_refresh(v);
}
