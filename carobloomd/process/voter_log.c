#include <string.h>

#include "carobloom/common/counters.h"
#include "carobloom/common/log.h"
#include "carobloom/policy/voter_codec.h"
#include "carobloom/policy/voter_repair.h"
#include "voter_state.h"

static const gint64 ELECTION_US = 400 * 1000;
static const gint64 HEARTBEAT_US = 80 * 1000;
static const gint64 LOOK_US = 250 * 1000;
static const guint64 COMPACT_BYTES = 4 * 1024 * 1024;

/* ---- starting ---- */

static void
core_start(voter_task_t *v, const store_state_t *state)
{
    voter_settings_t settings = {
        .id = v->id,
        .election_timeout_us = ELECTION_US,
        .heartbeat_us = HEARTBEAT_US,
        .seed = v->process->incarnation,
    };
    v->core = voter_create(&settings, &state->hard, &state->snapshot,
                           state->entries, g_get_monotonic_time());
    if (state->snapshot.data != NULL) {
        site_state_restore(v->state, state->snapshot.data);
    }
    v->last_applied = state->snapshot.index;
}

/* Makes the founding membership durable and starts with it. */
static gboolean
found_with(voter_task_t *v, const voter_config_t *config)
{
    replica_log_t none;
    char *why = NULL;
    store_state_t state = {
        .snapshot = {.config = *config, .data = g_bytes_new(NULL, 0)}};
    replica_log_init(&none);
    int result = log_store_snapshot(v->store, &state.snapshot, &none, &why);
    if (result == STORE_OK) {
        core_start(v, &state);
        log_info(LOG_PART_VOTER, "Founded with %u voters.", config->count);
    }
    else {
        log_error(LOG_PART_VOTER, "Can not found: %s.", why);
        v->failed = TRUE;
    }
    replica_log_clear(&none);
    g_bytes_unref(state.snapshot.data);
    g_free(why);
    return result == STORE_OK;
}

static voter_config_t
config_alone(const voter_task_t *v)
{
    voter_config_t config = {.count = 1};
    config.members[0].id = v->id;
    g_strlcpy(config.members[0].name, v->process->settings->instance,
              sizeof(config.members[0].name));
    return config;
}

/* An instance alone without a data folder keeps its state in memory. */
static gboolean
open_without_disk(voter_task_t *v)
{
    store_state_t state = {
        .snapshot = {.config = config_alone(v), .data = g_bytes_new(NULL, 0)}};
    log_warn(LOG_PART_VOTER, "No data folder: the site document and the "
                             "claims last only as long as this process.");
    core_start(v, &state);
    g_bytes_unref(state.snapshot.data);
    return TRUE;
}

/* Opens the folder; one that is damaged counts as a lost disk where there are
 * other voters to join anew. */
static int
folder_open(voter_task_t *v, const char *folder, store_state_t *state,
            char **why)
{
    int result = log_store_open(folder, &v->store, state, why);
    if (result != STORE_ERROR_DAMAGED || voter_alone(v)) {
        return result;
    }
    log_error(LOG_PART_VOTER, "The data folder is set aside: %s.", *why);
    g_clear_pointer(why, g_free);
    result = log_store_set_aside(folder, why);
    return result == STORE_OK ? log_store_open(folder, &v->store, state, why)
                              : result;
}

gboolean
voter_log_open(voter_task_t *v)
{
    const char *folder = v->process->settings->data_folder;
    v->state = site_state_create();
    v->id = v->process->member;
    if (folder == NULL) {
        return open_without_disk(v);
    }
    store_state_t state;
    char *why = NULL;
    if (folder_open(v, folder, &state, &why) != STORE_OK) {
        log_error(LOG_PART_VOTER, "Can not use the data folder: %s.", why);
        g_free(why);
        return FALSE;
    }
    v->id = state.id;
    v->set_aside = state.set_aside;
    if (state.cut_bytes > 0) {
        log_warn(LOG_PART_VOTER, "Cut a torn tail of %lu bytes.",
                 (unsigned long)state.cut_bytes);
    }
    gboolean ok = TRUE;
    if (!state.empty) {
        core_start(v, &state);
    }
    else if (voter_alone(v)) {
        voter_config_t config = config_alone(v);
        ok = found_with(v, &config);
    }
    store_state_clear(&state);
    return ok;
}

void
voter_log_close(voter_task_t *v)
{
    g_clear_pointer(&v->core, voter_destroy);
    g_clear_pointer(&v->store, log_store_close);
    g_clear_pointer(&v->state, site_state_destroy);
}

/* ---- founding and rejoining ---- */

static void
candidate_free(gpointer data)
{
    candidate_t *c = data;
    g_free(c->name);
    g_free(c);
}

/* Whether this voter has no state, and had none that was set aside. */
static gboolean
may_found(const voter_task_t *v)
{
    return v->core == NULL && !v->set_aside;
}

static void
ask_voters(voter_task_t *v)
{
    char **names = v->process->settings->voters;
    for (int i = 0; names[i]; i++) {
        const member_info_t *m = voter_member_named(v, names[i]);
        if (m == NULL || m->id == v->process->member) {
            continue;
        }
        wire_found_t found = {.id = v->id,
                              .name = v->process->settings->instance,
                              .empty = may_found(v)};
        voter_send(v, m->id, WIRE_FOUND, wire_found_write(&found));
    }
}

/* The voter whose name sorts first founds, once every other one has said
 * that it is empty too. */
static void
try_founding(voter_task_t *v)
{
    const settings_t *s = v->process->settings;
    voter_config_t config = {0};
    gint64 now = g_get_monotonic_time();
    for (int i = 0; s->voters[i]; i++) {
        voter_member_t *member = &config.members[config.count++];
        g_strlcpy(member->name, s->voters[i], sizeof(member->name));
        if (strcmp(s->voters[i], s->instance) == 0) {
            member->id = v->id;
            continue;
        }
        candidate_t *c = g_hash_table_lookup(v->candidates, s->voters[i]);
        gboolean before = strcmp(s->voters[i], s->instance) < 0;
        if (c == NULL || !c->empty || before ||
            now - c->heard_us > 2 * (gint64)G_USEC_PER_SEC) {
            return;
        }
        member->id = c->id;
    }
    found_with(v, &config);
}

/* Says whether there is state here; and, to one that it lists, the membership,
 * so that a voter that missed the founding starts with the same. */
static void
answer_found(voter_task_t *v, const candidate_t *c)
{
    gboolean listed =
        v->core && voter_config_find(voter_config(v->core), c->id) != NULL;
    GBytes *config = listed ? voter_config_write(voter_config(v->core)) : NULL;
    wire_found_t found = {.id = v->id,
                          .name = v->process->settings->instance,
                          .empty = may_found(v),
                          .answer = TRUE,
                          .config = config};
    voter_send(v, c->member, WIRE_FOUND, wire_found_write(&found));
    g_clear_pointer(&config, g_bytes_unref);
}

static gboolean
is_voter_name(const voter_task_t *v, const char *name)
{
    char **names = v->process->settings->voters;
    return names && g_strv_contains((const char *const *)names, name);
}

static void
note_candidate(voter_task_t *v, const wire_found_t *found, guint64 member)
{
    candidate_t *c = g_new0(candidate_t, 1);
    *c = (candidate_t){
        .name = g_strdup(found->name),
        .id = found->id,
        .member = member,
        .empty = found->empty,
        .unknown_to = found->answer && !found->empty &&
                      g_bytes_get_size(found->config) == 0,
        .heard_us = g_get_monotonic_time(),
    };
    g_hash_table_replace(v->candidates, c->name, c);
    if (!found->answer) {
        answer_found(v, c);
    }
}

void
voter_log_found(voter_task_t *v, const wire_message_t *m)
{
    wire_found_t found;
    if (!v->votes || v->failed || !wire_found_read(m->bytes, &found)) {
        return;
    }
    voter_config_t config;
    if (v->core == NULL && g_bytes_get_size(found.config) > 0 &&
        voter_config_read(found.config, &config) &&
        voter_config_find(&config, v->id) != NULL) {
        found_with(v, &config);
    }
    if (is_voter_name(v, found.name)) {
        note_candidate(v, &found, m->member);
    }
    wire_found_clear(&found);
}

/* An empty voter that is not of the founding is taken in as a learner: it
 * starts with an empty membership and waits for a snapshot or entries. */
static void
start_as_learner(voter_task_t *v)
{
    GHashTableIter iter;
    gpointer value;
    gboolean unknown = FALSE;
    g_hash_table_iter_init(&iter, v->candidates);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        unknown |= ((candidate_t *)value)->unknown_to;
    }
    if (unknown) {
        log_warn(LOG_PART_VOTER, "The folder is empty but the site has a "
                                 "log: rejoining as a learner.");
        voter_config_t none = {0};
        found_with(v, &none);
    }
}

/* The leader takes candidates in, one change at a time. */
static void
repair_candidates(voter_task_t *v)
{
    GHashTableIter iter;
    gpointer value;
    gint64 now = g_get_monotonic_time();
    g_hash_table_iter_init(&iter, v->candidates);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        candidate_t *c = value;
        if (now - c->heard_us > 3 * (gint64)G_USEC_PER_SEC) {
            continue;
        }
        repair_state_t state = voter_repair_step(v->core, c->name, c->id, now);
        if (state == REPAIR_PROPOSED) {
            log_info(LOG_PART_VOTER, "Changing the membership for %s.",
                     c->name);
            return;
        }
    }
}

/* ---- driving the core ---- */

static void
disk_failed(voter_task_t *v, char *why)
{
    log_error(LOG_PART_VOTER, "The disk failed, this voter stops: %s.", why);
    counter_set(counter_get("voter_failed", NULL, TRUE), 1);
    v->failed = TRUE;
    voter_leader_lost(v);
    g_free(why);
}

/* FALSE when the disk failed. */
static gboolean
make_durable(voter_task_t *v, const voter_ready_t *ready)
{
    if (v->store == NULL) {
        return TRUE;
    }
    char *why = NULL;
    int result = STORE_OK;
    if (ready->hard_state_changed) {
        result = log_store_hard(v->store, &ready->hard, &why);
    }
    if (result == STORE_OK && ready->install) {
        result = log_store_snapshot(v->store, &ready->snapshot,
                                    voter_log(v->core), &why);
    }
    else if (result == STORE_OK && ready->append_from > 0) {
        result = log_store_append(v->store, voter_log(v->core),
                                  ready->append_from, &why);
    }
    if (result != STORE_OK) {
        disk_failed(v, why);
        return FALSE;
    }
    return TRUE;
}

static guint64
member_of_voter(const voter_task_t *v, guint64 id)
{
    const voter_member_t *m = voter_config_find(voter_config(v->core), id);
    const member_info_t *info = m ? voter_member_named(v, m->name) : NULL;
    if (info != NULL) {
        return info->id;
    }
    /* A learner does not know the membership: it answers who spoke to it. */
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, v->candidates);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const candidate_t *c = value;
        if (c->id == id) {
            return c->member;
        }
    }
    return 0;
}

static void
send_messages(voter_task_t *v, const GPtrArray *messages)
{
    for (guint i = 0; i < messages->len; i++) {
        const voter_message_t *m = messages->pdata[i];
        guint64 member = member_of_voter(v, m->to);
        if (member != 0) {
            voter_send(v, member, WIRE_VOTER, voter_message_write(m));
        }
    }
}

static void
apply(voter_task_t *v, const log_entry_t *entry)
{
    v->last_applied = entry->index;
    if (entry->kind != ENTRY_COMMAND) {
        return;
    }
    guint64 before = site_state_version(v->state);
    site_result_t result;
    if (!site_state_apply(v->state, entry->index, entry->data, &result)) {
        log_error(LOG_PART_VOTER, "Entry %lu is malformed and was skipped.",
                  (unsigned long)entry->index);
        return;
    }
    voter_leader_applied(v, entry, &result);
    guint64 version = site_state_version(v->state);
    if (version > before && v->confirmed) {
        voter_publish(v, version, site_state_text(v->state));
    }
}

static void
compact_if_large(voter_task_t *v)
{
    if (v->store == NULL || log_store_bytes(v->store) < COMPACT_BYTES ||
        voter_applied_index(v->core) != v->last_applied) {
        return;
    }
    char *why = NULL;
    GBytes *data = site_state_snapshot(v->state);
    voter_snapshot_t snapshot = voter_compact(v->core, v->last_applied, data);
    int result =
        log_store_snapshot(v->store, &snapshot, voter_log(v->core), &why);
    g_bytes_unref(data);
    if (result != STORE_OK) {
        disk_failed(v, why);
    }
}

static void
note_role(voter_task_t *v)
{
    voter_role_t role = voter_role(v->core);
    if (role == v->last_role) {
        return;
    }
    if (v->last_role == ROLE_LEADER) {
        log_warn(LOG_PART_VOTER, "No longer the leader.");
        voter_leader_lost(v);
    }
    if (role == ROLE_LEADER) {
        log_info(LOG_PART_VOTER, "Leader of term %lu.",
                 (unsigned long)voter_term(v->core));
        v->led_since_us = g_get_monotonic_time();
    }
    v->last_role = role;
    counter_set(counter_get("voter_leads", NULL, TRUE), role == ROLE_LEADER);
}

void
voter_log_turn(voter_task_t *v)
{
    voter_ready_t ready;
    while (v->core && !v->failed && voter_ready(v->core, &ready)) {
        if (!make_durable(v, &ready)) {
            voter_ready_clear(&ready);
            return;
        }
        if (ready.install) {
            site_state_restore(v->state, ready.snapshot.data);
            v->last_applied = ready.snapshot.index;
            if (v->confirmed) {
                voter_publish(v, site_state_version(v->state),
                              site_state_text(v->state));
            }
        }
        /* Replies of the leader follow its entries' commit, so applying
         * comes after the core knows that they are durable. */
        send_messages(v, ready.messages);
        for (guint i = 0; i < ready.committed->len; i++) {
            apply(v, ready.committed->pdata[i]);
        }
        voter_advance(v->core, &ready, g_get_monotonic_time());
        voter_ready_clear(&ready);
        note_role(v);
    }
    if (v->core && !v->failed) {
        note_role(v);
        compact_if_large(v);
    }
}

void
voter_log_wire(voter_task_t *v, const wire_message_t *m)
{
    if (v->core == NULL || v->failed) {
        return;
    }
    voter_message_t *message = voter_message_read(m->bytes);
    if (message == NULL) {
        counter_add(counter_get("voter_malformed_total", NULL, FALSE), 1);
        return;
    }
    voter_step(v->core, message, g_get_monotonic_time());
    voter_message_free(message);
}

/* Once in a while: who are we, who waits to be taken in. */
static void
look_for_voters(voter_task_t *v)
{
    const voter_member_t *self =
        v->core ? voter_config_find(voter_config(v->core), v->id) : NULL;
    if (self == NULL || self->learner) {
        ask_voters(v);
    }
    if (may_found(v)) {
        try_founding(v);
    }
    if (v->core == NULL) {
        start_as_learner(v);
    }
    if (v->core && voter_role(v->core) == ROLE_LEADER) {
        repair_candidates(v);
    }
}

void
voter_log_tick(voter_task_t *v)
{
    if (v->failed) {
        return;
    }
    if (!voter_alone(v)) {
        gint64 now = g_get_monotonic_time();
        if (now - v->looked_us > LOOK_US) {
            v->looked_us = now;
            look_for_voters(v);
        }
    }
    if (v->core != NULL) {
        voter_tick(v->core, g_get_monotonic_time());
    }
    voter_log_turn(v);
}

GHashTable *
voter_candidates_create(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                 candidate_free);
}
