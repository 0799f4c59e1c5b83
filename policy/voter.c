#include "carobloom/policy/voter.h"

#include <string.h>

#include "carobloom/policy/voter_codec.h"

static const double LEASE_SHARE = 0.9; /* the rest covers clock drift */

/* What the leader knows of one member. */
typedef struct {
    guint64 id;
    guint64 next;
    guint64 match;
    guint64 acked_round; /* the latest of our rounds it echoed */
    gint64 heard_us;
    gint64 snapshot_us; /* when a snapshot was last sent */
} progress_t;

struct voter {
    voter_settings_t settings;
    GRand *rand;
    voter_hard_t hard;
    gboolean hard_changed;
    replica_log_t log;
    voter_snapshot_t snapshot;
    gboolean install;
    guint64 append_from; /* the first entry not yet given to the disk */
    guint64 durable;     /* the last entry known to be on the disk */
    guint64 commit;
    guint64 applied;
    voter_config_t config;
    guint64 config_index;
    voter_role_t role;
    gboolean prevoting;
    guint64 leader;
    gint64 now_us;
    gint64 heard_us;   /* from a leader; also at start */
    gint64 timeout_us; /* when to stand for election */
    gint64 beat_us;    /* when to send the next heartbeat */
    gint64 quorum_us;  /* when a quorum was last heard */
    gint64 lease_us;
    guint64 term_start; /* index of the leader's no-op */
    GHashTable *votes;  /* member ids that granted */
    progress_t progress[VOTER_MEMBERS_MAX];
    guint progress_count;
    GPtrArray *outbox;
};

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

static void
entry_free(gpointer data)
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

static voter_message_t *
send(voter_t *v, voter_message_kind_t kind, guint64 to)
{
    voter_message_t *message = g_new0(voter_message_t, 1);
    message->kind = kind;
    message->from = v->settings.id;
    message->to = to;
    message->term = v->hard.term;
    g_ptr_array_add(v->outbox, message);
    return message;
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

static gboolean
may_vote(const voter_t *v, guint64 id)
{
    const voter_member_t *member = voter_config_find(&v->config, id);
    return member && !member->learner;
}

static guint
quorum(const voter_t *v)
{
    guint voting = 0;
    for (guint i = 0; i < v->config.count; i++) {
        voting += !v->config.members[i].learner;
    }
    return voting / 2 + 1;
}

/* The membership in force: the last in the log, committed or not. */
static void
config_refresh(voter_t *v)
{
    for (guint64 i = replica_log_last(&v->log); i > v->log.base_index; i--) {
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
    return v->config_index > v->commit;
}

static progress_t *
progress_of(voter_t *v, guint64 id)
{
    for (guint i = 0; i < v->progress_count; i++) {
        if (v->progress[i].id == id) {
            return &v->progress[i];
        }
    }
    return NULL;
}

/* Keeps one progress entry for each member of the present membership. */
static void
progress_refresh(voter_t *v)
{
    progress_t fresh[VOTER_MEMBERS_MAX];
    for (guint i = 0; i < v->config.count; i++) {
        guint64 id = v->config.members[i].id;
        progress_t *known = progress_of(v, id);
        fresh[i] = known ? *known
                         : (progress_t){.id = id,
                                        .next = replica_log_last(&v->log) + 1,
                                        .heard_us = v->now_us};
    }
    memcpy(v->progress, fresh, sizeof(progress_t) * v->config.count);
    v->progress_count = v->config.count;
}

/* ---- roles ---- */

static void
reset_timeout(voter_t *v)
{
    gint64 spread = v->settings.election_us;
    v->timeout_us = v->now_us + v->settings.election_us +
                    (gint64)(g_rand_double(v->rand) * (double)spread);
}

static void
become_follower(voter_t *v, guint64 term, guint64 leader)
{
    if (term > v->hard.term) {
        v->hard = (voter_hard_t){.term = term};
        v->hard_changed = TRUE;
    }
    v->role = ROLE_FOLLOWER;
    v->prevoting = FALSE;
    v->leader = leader;
    v->lease_us = 0;
    reset_timeout(v);
}

static void
ask_votes(voter_t *v, gboolean pre)
{
    g_hash_table_remove_all(v->votes);
    for (guint i = 0; i < v->config.count; i++) {
        const voter_member_t *member = &v->config.members[i];
        if (member->learner || member->id == v->settings.id) {
            continue;
        }
        voter_message_t *m =
            send(v, pre ? VOTER_PREVOTE : VOTER_VOTE, member->id);
        m->term = pre ? v->hard.term + 1 : v->hard.term;
        m->index = replica_log_last(&v->log);
        m->log_term = replica_log_last_term(&v->log);
    }
}

static void take_vote(voter_t *v, guint64 from);

static void
start_election(voter_t *v)
{
    v->role = ROLE_CANDIDATE;
    v->prevoting = FALSE;
    v->leader = 0;
    v->hard = (voter_hard_t){.term = v->hard.term + 1, .vote = v->settings.id};
    v->hard_changed = TRUE;
    reset_timeout(v);
    ask_votes(v, FALSE);
    take_vote(v, v->settings.id);
}

static void
start_prevote(voter_t *v)
{
    reset_timeout(v);
    if (!may_vote(v, v->settings.id)) {
        return;
    }
    v->role = ROLE_CANDIDATE;
    v->prevoting = TRUE;
    v->leader = 0;
    ask_votes(v, TRUE);
    take_vote(v, v->settings.id);
}

/* ---- replication, as leader ---- */

static void
send_snapshot(voter_t *v, progress_t *p)
{
    if (v->now_us - p->snapshot_us < v->settings.election_us &&
        p->snapshot_us > 0) {
        return;
    }
    p->snapshot_us = v->now_us;
    voter_message_t *m = send(v, VOTER_SNAPSHOT, p->id);
    m->index = v->snapshot.index;
    m->log_term = v->snapshot.term;
    m->config = v->snapshot.config;
    m->round = (guint64)v->now_us;
    m->snapshot = v->snapshot.data ? g_bytes_ref(v->snapshot.data)
                                   : g_bytes_new(NULL, 0);
}

static void
send_append(voter_t *v, progress_t *p)
{
    guint64 previous = p->next - 1;
    if (previous < v->log.base_index) {
        send_snapshot(v, p);
        return;
    }
    voter_message_t *m = send(v, VOTER_APPEND, p->id);
    m->index = previous;
    m->log_term = replica_log_term(&v->log, previous);
    m->commit = v->commit;
    m->round = (guint64)v->now_us;
    m->entries = g_ptr_array_new_with_free_func(entry_free);
    gsize bytes = 0;
    while (m->entries->len < VOTER_ENTRIES_A_MESSAGE &&
           bytes < VOTER_BYTES_A_MESSAGE) {
        const log_entry_t *entry = replica_log_get(&v->log, p->next);
        if (entry == NULL) {
            break;
        }
        g_ptr_array_add(m->entries, log_entry_copy(entry));
        bytes += g_bytes_get_size(entry->data);
        p->next++;
    }
}

static void
send_all(voter_t *v)
{
    v->beat_us = v->now_us + v->settings.heartbeat_us;
    for (guint i = 0; i < v->progress_count; i++) {
        if (v->progress[i].id != v->settings.id) {
            send_append(v, &v->progress[i]);
        }
    }
}

static gint
compare_u64_down(gconstpointer a, gconstpointer b)
{
    guint64 x = *(const guint64 *)a;
    guint64 y = *(const guint64 *)b;
    return x > y ? -1 : x < y;
}

/* The value that a quorum of voting members has reached. */
static guint64
quorum_value(voter_t *v, guint64 (*value)(voter_t *, progress_t *))
{
    guint64 values[VOTER_MEMBERS_MAX];
    guint count = 0;
    for (guint i = 0; i < v->progress_count; i++) {
        if (may_vote(v, v->progress[i].id)) {
            values[count++] = value(v, &v->progress[i]);
        }
    }
    if (count == 0) {
        return 0;
    }
    qsort(values, count, sizeof(guint64), compare_u64_down);
    return values[quorum(v) - 1];
}

static guint64
value_match(voter_t *v, progress_t *p)
{
    return p->id == v->settings.id ? v->durable : p->match;
}

static guint64
value_round(voter_t *v, progress_t *p)
{
    return p->id == v->settings.id ? (guint64)v->now_us : p->acked_round;
}

static void
advance_commit(voter_t *v)
{
    guint64 index = quorum_value(v, value_match);
    /* Only entries of the own term are committed by counting. */
    if (index > v->commit &&
        replica_log_term(&v->log, index) == v->hard.term) {
        v->commit = index;
        gboolean removed =
            voter_config_find(&v->config, v->settings.id) == NULL &&
            v->config_index <= v->commit;
        if (removed) {
            send_all(v);
            become_follower(v, v->hard.term, 0);
        }
    }
}

static void
advance_lease(voter_t *v)
{
    gint64 round = (gint64)quorum_value(v, value_round);
    if (round == 0) {
        return;
    }
    v->quorum_us = MAX(v->quorum_us, round);
    v->lease_us =
        MAX(v->lease_us,
            round + (gint64)(LEASE_SHARE * (double)v->settings.election_us));
}

static void
append_own(voter_t *v, entry_kind_t kind, GBytes *data)
{
    log_entry_t entry = {
        .index = replica_log_last(&v->log) + 1,
        .term = v->hard.term,
        .kind = kind,
        .data = data,
    };
    replica_log_append(&v->log, &entry);
    if (v->append_from == 0) {
        v->append_from = entry.index;
    }
}

static void
become_leader(voter_t *v)
{
    v->role = ROLE_LEADER;
    v->prevoting = FALSE;
    v->leader = v->settings.id;
    v->lease_us = 0;
    v->quorum_us = v->now_us;
    v->progress_count = 0;
    progress_refresh(v);
    GBytes *empty = g_bytes_new(NULL, 0);
    append_own(v, ENTRY_NOOP, empty);
    g_bytes_unref(empty);
    v->term_start = replica_log_last(&v->log);
    send_all(v);
}

static void
take_vote(voter_t *v, guint64 from)
{
    g_hash_table_add(v->votes, (gpointer)from);
    guint granted = 0;
    for (guint i = 0; i < v->config.count; i++) {
        const voter_member_t *member = &v->config.members[i];
        granted += !member->learner &&
                   g_hash_table_contains(v->votes, (gpointer)member->id);
    }
    if (granted < quorum(v)) {
        return;
    }
    if (v->prevoting) {
        start_election(v);
    }
    else {
        become_leader(v);
    }
}

/* ---- handling messages ---- */

static gboolean
log_up_to_date(const voter_t *v, const voter_message_t *m)
{
    guint64 term = replica_log_last_term(&v->log);
    return m->log_term > term ||
           (m->log_term == term && m->index >= replica_log_last(&v->log));
}

/* While a leader may hold a lease, nobody is helped into its place. */
static gboolean
leader_is_fresh(const voter_t *v)
{
    return v->role != ROLE_LEADER &&
           v->now_us - v->heard_us < v->settings.election_us;
}

static void
handle_prevote(voter_t *v, const voter_message_t *m)
{
    gboolean leading = v->role == ROLE_LEADER && v->now_us < v->lease_us;
    voter_message_t *reply = send(v, VOTER_PREVOTE_REPLY, m->from);
    reply->granted = m->term > v->hard.term && log_up_to_date(v, m) &&
                     !leader_is_fresh(v) && !leading;
    reply->term = reply->granted ? m->term : v->hard.term;
}

static void
handle_vote(voter_t *v, const voter_message_t *m)
{
    if (m->term > v->hard.term) {
        become_follower(v, m->term, 0);
    }
    gboolean free_vote = v->hard.vote == 0 || v->hard.vote == m->from;
    gboolean grant =
        m->term == v->hard.term && free_vote && log_up_to_date(v, m);
    if (grant && v->hard.vote == 0) {
        v->hard.vote = m->from;
        v->hard_changed = TRUE;
    }
    if (grant) {
        reset_timeout(v);
    }
    voter_message_t *reply = send(v, VOTER_VOTE_REPLY, m->from);
    reply->granted = grant;
}

/* Takes the entries that are new; a conflict cuts the own tail. */
static guint64
take_entries(voter_t *v, const voter_message_t *m)
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
        if (entry->index <= replica_log_last(&v->log)) {
            replica_log_truncate(&v->log, entry->index);
            v->durable = MIN(v->durable, entry->index - 1);
        }
        replica_log_append(&v->log, entry);
        if (v->append_from == 0 || entry->index < v->append_from) {
            v->append_from = entry->index;
        }
        changed = TRUE;
    }
    if (changed) {
        config_refresh(v);
    }
    return last;
}

static void
handle_append(voter_t *v, const voter_message_t *m)
{
    voter_message_t *reply = send(v, VOTER_APPEND_REPLY, m->from);
    reply->round = m->round;
    if (m->term < v->hard.term) {
        return;
    }
    become_follower(v, m->term, m->from);
    reply->term = v->hard.term;
    v->heard_us = v->now_us;
    gboolean fits = m->index < v->log.base_index ||
                    (m->index <= replica_log_last(&v->log) &&
                     replica_log_term(&v->log, m->index) == m->log_term);
    if (!fits) {
        /* Where the leader may try next: before the conflicting term. */
        guint64 hint = MIN(m->index - 1, replica_log_last(&v->log));
        guint64 term = replica_log_term(&v->log, hint);
        while (hint > v->log.base_index && hint > v->commit &&
               m->index <= replica_log_last(&v->log) &&
               replica_log_term(&v->log, hint) == term) {
            hint--;
        }
        reply->index = MAX(hint, v->log.base_index);
        return;
    }
    reply->granted = TRUE;
    reply->index = take_entries(v, m);
    v->commit = MAX(v->commit, MIN(m->commit, reply->index));
}

static void
handle_append_reply(voter_t *v, const voter_message_t *m)
{
    progress_t *p = v->role == ROLE_LEADER ? progress_of(v, m->from) : NULL;
    if (p == NULL || m->term != v->hard.term) {
        return;
    }
    p->heard_us = v->now_us;
    p->acked_round = MAX(p->acked_round, m->round);
    advance_lease(v);
    if (!m->granted) {
        p->next = MAX(MIN(m->index + 1, replica_log_last(&v->log) + 1),
                      p->match + 1);
        send_append(v, p);
        return;
    }
    p->match = MAX(p->match, m->index);
    p->next = MAX(p->next, p->match + 1);
    p->snapshot_us = 0;
    guint64 before = v->commit;
    advance_commit(v);
    if (v->role != ROLE_LEADER) {
        return;
    }
    if (v->commit > before) {
        send_all(v); /* followers learn of the commit at once */
    }
    else if (p->next <= replica_log_last(&v->log)) {
        send_append(v, p);
    }
}

static void
handle_snapshot(voter_t *v, const voter_message_t *m)
{
    voter_message_t *reply = send(v, VOTER_APPEND_REPLY, m->from);
    reply->round = m->round;
    if (m->term < v->hard.term) {
        return;
    }
    become_follower(v, m->term, m->from);
    reply->term = v->hard.term;
    reply->granted = TRUE;
    v->heard_us = v->now_us;
    reply->index = MAX(v->commit, m->index);
    if (m->index <= v->commit) {
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
    v->commit = m->index;
    v->applied = m->index;
    v->durable = m->index;
    config_refresh(v);
}

static void
handle_vote_reply(voter_t *v, const voter_message_t *m)
{
    gboolean pre = m->kind == VOTER_PREVOTE_REPLY;
    guint64 expected = pre ? v->hard.term + 1 : v->hard.term;
    if (v->role == ROLE_CANDIDATE && v->prevoting == pre && m->granted &&
        m->term == expected) {
        take_vote(v, m->from);
    }
}

void
voter_step(voter_t *v, const voter_message_t *m, gint64 now_us)
{
    v->now_us = MAX(v->now_us, now_us);
    if (m->to != v->settings.id) {
        return; /* for an identity this voter no longer has */
    }
    gboolean asks = m->kind == VOTER_PREVOTE || m->kind == VOTER_VOTE;
    if (m->kind == VOTER_VOTE &&
        (leader_is_fresh(v) ||
         (v->role == ROLE_LEADER && v->now_us < v->lease_us))) {
        return; /* the lease still holds: the vote waits */
    }
    gboolean granted_prevote = m->kind == VOTER_PREVOTE_REPLY && m->granted;
    if (m->term > v->hard.term && !asks && !granted_prevote) {
        gboolean leads = m->kind == VOTER_APPEND || m->kind == VOTER_SNAPSHOT;
        become_follower(v, m->term, leads ? m->from : 0);
    }
    switch (m->kind) {
    case VOTER_PREVOTE:
        handle_prevote(v, m);
        break;
    case VOTER_VOTE:
        handle_vote(v, m);
        break;
    case VOTER_PREVOTE_REPLY:
    case VOTER_VOTE_REPLY:
        handle_vote_reply(v, m);
        break;
    case VOTER_APPEND:
        handle_append(v, m);
        break;
    case VOTER_APPEND_REPLY:
        handle_append_reply(v, m);
        break;
    case VOTER_SNAPSHOT:
        handle_snapshot(v, m);
        break;
    case VOTER_MESSAGE_KINDS:
        break;
    }
}

void
voter_tick(voter_t *v, gint64 now_us)
{
    v->now_us = MAX(v->now_us, now_us);
    if (v->role != ROLE_LEADER) {
        if (v->now_us >= v->timeout_us) {
            start_prevote(v);
        }
        return;
    }
    advance_lease(v);
    if (v->now_us - v->quorum_us > 2 * v->settings.election_us) {
        become_follower(v, v->hard.term, 0);
        return;
    }
    if (v->now_us >= v->beat_us) {
        send_all(v);
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
    append_own(v, ENTRY_COMMAND, data);
    *index = replica_log_last(&v->log);
    v->beat_us = v->now_us; /* sent with the next ready, batched */
    return VOTER_OK;
}

/* How many members differ between two memberships. */
static guint
config_distance(const voter_config_t *a, const voter_config_t *b)
{
    guint distance = 0;
    for (guint i = 0; i < a->count; i++) {
        const voter_member_t *other = voter_config_find(b, a->members[i].id);
        distance += other == NULL || other->learner != a->members[i].learner;
    }
    for (guint i = 0; i < b->count; i++) {
        distance += voter_config_find(a, b->members[i].id) == NULL;
    }
    return distance;
}

int
voter_change(voter_t *v, const voter_config_t *config, gint64 now_us)
{
    v->now_us = MAX(v->now_us, now_us);
    if (v->role != ROLE_LEADER) {
        return VOTER_ERROR_NOT_LEADER;
    }
    /* A new leader must commit in its own term first (Ongaro, 2015). */
    if (voter_config_pending(v) || v->commit < v->term_start) {
        return VOTER_ERROR_BUSY;
    }
    if (config_distance(&v->config, config) != 1) {
        return VOTER_ERROR_CONFIG;
    }
    GBytes *data = voter_config_write(config);
    append_own(v, ENTRY_CONFIG, data);
    g_bytes_unref(data);
    config_refresh(v);
    progress_refresh(v);
    v->beat_us = v->now_us;
    return VOTER_OK;
}

void
voter_hand_over(voter_t *v, gint64 now_us)
{
    v->now_us = MAX(v->now_us, now_us);
    if (v->role != ROLE_LEADER) {
        return;
    }
    /* It does not stand again before the others had their chance. */
    become_follower(v, v->hard.term, 0);
    v->timeout_us = v->now_us + 4 * v->settings.election_us;
}

/* ---- what the driver does ---- */

static void
collect_committed(voter_t *v, voter_ready_t *ready)
{
    /* The driver makes the same ready's entries durable before it applies,
     * so a snapshot never holds more than the disk. */
    guint64 until = MIN(v->commit, replica_log_last(&v->log));
    for (guint64 i = v->applied + 1; i <= until; i++) {
        g_ptr_array_add(ready->committed,
                        log_entry_copy(replica_log_get(&v->log, i)));
    }
}

gboolean
voter_ready(voter_t *v, voter_ready_t *ready)
{
    if (v->role == ROLE_LEADER && v->now_us >= v->beat_us) {
        send_all(v);
    }
    *ready = (voter_ready_t){
        .hard_changed = v->hard_changed,
        .hard = v->hard,
        .append_from = v->append_from,
        .install = v->install,
        .messages = v->outbox,
        .committed = g_ptr_array_new_with_free_func(entry_free),
    };
    if (v->install) {
        ready->snapshot = v->snapshot;
        g_bytes_ref(ready->snapshot.data);
    }
    v->outbox = g_ptr_array_new_with_free_func(message_free);
    collect_committed(v, ready);
    v->hard_changed = FALSE;
    v->append_from = 0;
    v->install = FALSE;
    gboolean any = ready->hard_changed || ready->append_from > 0 ||
                   ready->install || ready->messages->len > 0 ||
                   ready->committed->len > 0;
    if (!any) {
        voter_ready_clear(ready);
    }
    return any;
}

void
voter_advance(voter_t *v, const voter_ready_t *ready, gint64 now_us)
{
    v->now_us = MAX(v->now_us, now_us);
    if (ready->append_from > 0) {
        v->durable = replica_log_last(&v->log);
    }
    if (ready->committed->len > 0) {
        const log_entry_t *last =
            ready->committed->pdata[ready->committed->len - 1];
        v->applied = MAX(v->applied, last->index);
    }
    if (v->role == ROLE_LEADER) {
        guint64 before = v->commit;
        advance_commit(v);
        if (v->role == ROLE_LEADER && v->commit > before) {
            v->beat_us = v->now_us;
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

/* ---- life ---- */

voter_t *
voter_create(const voter_settings_t *settings, const voter_hard_t *hard,
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
    v->durable = replica_log_last(&v->log);
    v->commit = snapshot->index;
    v->applied = snapshot->index;
    v->votes = g_hash_table_new(NULL, NULL);
    v->outbox = g_ptr_array_new_with_free_func(message_free);
    v->now_us = now_us;
    /* It may have promised a leader its lease just before it went down. */
    v->heard_us = now_us;
    config_refresh(v);
    reset_timeout(v);
    if (v->config.count == 1 && may_vote(v, settings->id)) {
        v->heard_us = now_us - settings->election_us;
        v->timeout_us = now_us; /* alone: nobody to wait for */
    }
    return v;
}

void
voter_destroy(voter_t *v)
{
    g_rand_free(v->rand);
    replica_log_clear(&v->log);
    g_clear_pointer(&v->snapshot.data, g_bytes_unref);
    g_hash_table_unref(v->votes);
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
voter_commit(const voter_t *v)
{
    return v->commit;
}

guint64
voter_applied(const voter_t *v)
{
    return v->applied;
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
voter_election_us(const voter_t *v)
{
    return v->settings.election_us;
}

gint64
voter_lease(const voter_t *v)
{
    return v->role == ROLE_LEADER ? v->lease_us : 0;
}

gboolean
voter_may_read(const voter_t *v, gint64 now_us)
{
    return v->role == ROLE_LEADER && now_us < v->lease_us &&
           v->applied >= v->term_start;
}

guint64
voter_match(const voter_t *v, guint64 member)
{
    for (guint i = 0; i < v->progress_count; i++) {
        if (v->role == ROLE_LEADER && v->progress[i].id == member) {
            return v->progress[i].match;
        }
    }
    return 0;
}
