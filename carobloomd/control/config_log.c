#include <string.h>

#include "carobloom/common/clock.h"
#include "carobloom/common/codec.h"
#include "carobloom/common/counters.h"
#include "carobloom/common/event_log.h"
#include "carobloom/policy/rendezvous.h"
#include "carobloom/policy/voter_codec.h"
#include "config_log_state.h"

enum {
    MS = 1000,
    TICK_INTERVAL_US = 25 * MS,
    /* A failed leader is replaced within about twice the election timeout,
     * well under the 3 s after which a site counts as stable again. On 0.15
     * of a core, heartbeats to four voters every 150 ms use about 3% of that
     * share. */
    ELECTION_TIMEOUT_US = 800 * MS,
    HEARTBEAT_INTERVAL_US = 150 * MS,
    HELLO_INTERVAL_US = 250 * MS,
    /* A put that no quorum has stored after this time fails, and the caller
     * retries. */
    PUT_TIMEOUT_US = 3000 * MS,
    DISK_RETRY_INTERVAL_US = 500 * MS, /* a full or failing disk is retried */
    COMPACT_MIN_BYTES = 8 * 1024 * 1024, /* the disk has 128 MB */
};

/* ---- startup ---- */

static void
command_apply(config_log_t *log, GBytes *command)
{
    guint changed = log_state_apply(&log->state, command);
    if (changed & LOG_STATE_CONFIG) {
        config_log_publish_config(log);
    }
    if (changed & LOG_STATE_USAGE) {
        config_log_publish_usage(log);
    }
}

static void
core_start(config_log_t *log, const store_state_t *state)
{
    voter_settings_t settings = {
        .id = log->id,
        .election_timeout_us = ELECTION_TIMEOUT_US,
        .heartbeat_us = HEARTBEAT_INTERVAL_US,
        .seed = log->id ^ (guint64)clock_boot_us(),
    };
    log->core = voter_create(&settings, &state->hard, &state->snapshot,
                             state->entries, clock_boot_us());
    if (state->snapshot.data != NULL) {
        command_apply(log, state->snapshot.data);
    }
}

/* Of a voter, or of the log; never 0. */
static guint64
random_id(void)
{
    return (guint64)g_random_int() << 32 | g_random_int() | 1;
}

static guint64
founder_id(const char *name)
{
    return hash_text(str_from_cstr(name)) | 1;
}

/* Fills in the membership that founders start with. All founders start with
 * the same seeds, so they need no coordination: each starts with the same
 * membership and derives its voter id from its address. An instance that joins
 * later, or lost its disk, creates a random id and is admitted by the leader.
 */
static gboolean
founding_config(const config_log_t *log, voter_config_t *config)
{
    gboolean founder = FALSE;
    *config = (voter_config_t){0};
    for (guint i = 0; i < log->founders->len && i < VOTER_MEMBERS_MAX; i++) {
        voter_member_t *member = &config->members[config->count++];
        g_strlcpy(member->name, log->founders->pdata[i], sizeof(member->name));
        member->id = founder_id(member->name);
        founder |= strcmp(member->name, log->self) == 0;
    }
    return founder && log->settings->founding && !log->set_aside;
}

static void
log_folder_fault(config_log_t *log, const char *event, const char *why)
{
    if (g_strcmp0(log->folder_fault, why) != 0 &&
        event_log_begin(EVENT_STATE, event)) {
        event_log_cstr("why", why);
        event_log_end();
    }
    g_free(log->folder_fault);
    log->folder_fault = g_strdup(why);
}

static int
start_empty(config_log_t *log)
{
    replica_log_t empty_log;
    char *why = NULL;
    voter_config_t config;
    gboolean is_founder = founding_config(log, &config);
    log->is_founder = is_founder;
    log->id = is_founder ? founder_id(log->self) : random_id();
    if (!is_founder) {
        config = (voter_config_t){0};
    }
    store_state_t state = {
        .snapshot = {.config = config, .data = g_bytes_new(NULL, 0)}};
    replica_log_init(&empty_log);
    int result = log_store_set_id(log->store, log->id, &why);
    if (result == STORE_OK) {
        result =
            log_store_snapshot(log->store, &state.snapshot, &empty_log, &why);
    }
    if (result == STORE_OK) {
        core_start(log, &state);
    }
    if (result != STORE_OK) {
        log_folder_fault(log, "voter_folder_failed", why);
    }
    else if (event_log_begin(EVENT_STATE, "voter_empty_start")) {
        event_log_cstr("as", is_founder ? "founder" : "learner");
        event_log_end();
    }
    replica_log_clear(&empty_log);
    g_bytes_unref(state.snapshot.data);
    g_free(why);
    return result;
}

/* Opens the folder; one that is damaged counts as a lost disk. */
static int
folder_open(config_log_t *log, store_state_t *state)
{
    const char *folder = log->settings->data_folder;
    char *why = NULL;
    int result = log_store_open(folder, &log->store, state, &why);
    if (result == STORE_ERROR_DAMAGED) {
        log_folder_fault(log, "voter_folder_set_aside", why);
        counter_add(counter_get("voter_folders_set_aside_total", NULL, FALSE),
                    1);
        g_clear_pointer(&why, g_free);
        result = log_store_set_aside(folder, &why);
        if (result == STORE_OK) {
            result = log_store_open(folder, &log->store, state, &why);
        }
    }
    if (result != STORE_OK) {
        log_folder_fault(log, "voter_folder_failed", why);
    }
    g_free(why);
    return result;
}

static int
log_open(config_log_t *log)
{
    store_state_t state;
    int result = folder_open(log, &state);
    if (result != STORE_OK) {
        return result;
    }
    log->id = state.id;
    log->set_aside = state.set_aside;
    if (state.empty) {
        result = start_empty(log);
    }
    else {
        core_start(log, &state);
        if (event_log_begin(EVENT_STATE, "voter_start")) {
            event_log_number("config_version", (gint64)log->state.version);
            event_log_number("last_index", (gint64)replica_log_last_index(
                                               voter_log(log->core)));
            event_log_number("cut_bytes", (gint64)state.cut_bytes);
            event_log_end();
        }
    }
    store_state_clear(&state);
    if (result != STORE_OK) {
        g_clear_pointer(&log->core, voter_destroy);
        g_clear_pointer(&log->store, log_store_close);
        return result;
    }
    g_clear_pointer(&log->folder_fault, g_free);
    return STORE_OK;
}

static void
voter_peer_free(gpointer data)
{
    voter_peer_t *peer = data;
    g_free(peer->name);
    g_free(peer);
}

/* The names of the voters behind these control listeners. */
static GPtrArray *
seed_names(char **seeds, gint64 peers_port)
{
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    for (int i = 0; seeds[i] != NULL; i++) {
        char *colon = strrchr(seeds[i], ':');
        int host = (int)(colon != NULL ? colon - seeds[i] : 0);
        g_ptr_array_add(names, g_strdup_printf("%.*s:%d", host, seeds[i],
                                               (int)peers_port));
    }
    return names;
}

config_log_t *
config_log_create(const gateway_settings_t *settings, const char *self,
                  task_t *owner)
{
    config_log_t *log = g_new0(config_log_t, 1);
    log->settings = settings;
    log->self = g_strdup(self);
    log->owner = owner;
    log_state_init(&log->state);
    log->pending = g_array_new(FALSE, FALSE, sizeof(pending_commit_t));
    log->peers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, voter_peer_free);
    log->contacts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    log->founders = seed_names(settings->seeds, settings->peers_port);
    log->seeds = g_ptr_array_ref(log->founders);
    int result = log_open(log);
    if (result == STORE_ERROR_OPEN) {
        config_log_destroy(log);
        return NULL;
    }
    log->failed = result != STORE_OK;
    return log;
}

void
config_log_destroy(config_log_t *log)
{
    g_clear_pointer(&log->core, voter_destroy);
    g_clear_pointer(&log->store, log_store_close);
    log_state_clear(&log->state);
    g_array_unref(log->pending);
    g_hash_table_unref(log->peers);
    g_hash_table_unref(log->contacts);
    g_ptr_array_unref(log->founders);
    g_ptr_array_unref(log->seeds);
    g_free(log->folder_fault);
    g_free(log->self);
    g_free(log);
}

void
config_log_set_task(config_log_t *log, task_t *task)
{
    log->task = task;
}

/* ---- the Raft core ---- */

static void
fail_disk(config_log_t *log, char *why)
{
    log->failed = TRUE;
    if (event_log_begin(EVENT_STATE, "voter_disk_failed")) {
        event_log_cstr("why", why);
        event_log_end();
    }
    counter_add(counter_get("voter_disk_failures_total", NULL, FALSE), 1);
    g_free(why);
    log->retry_us = clock_boot_us() + DISK_RETRY_INTERVAL_US;
    log->view =
        (config_view_message_t){.base = {CONFIG_LOG_VIEW, message_free_plain}};
    task_send(log->owner, g_memdup2(&log->view, sizeof(log->view)));
}

/* Writes to the disk what has to be durable before the messages in `ready`
 * are sent. Returns FALSE when the disk failed. */
static gboolean
make_durable(config_log_t *log, const voter_ready_t *ready)
{
    char *why = NULL;
    int result = STORE_OK;
    if (ready->hard_state_changed) {
        result = log_store_hard(log->store, &ready->hard, &why);
    }
    if (result == STORE_OK && ready->install) {
        result = log_store_snapshot(log->store, &ready->snapshot,
                                    voter_log(log->core), &why);
    }
    else if (result == STORE_OK && ready->append_from > 0) {
        result = log_store_append(log->store, voter_log(log->core),
                                  ready->append_from, &why);
    }
    if (result != STORE_OK) {
        fail_disk(log, why);
        return FALSE;
    }
    return TRUE;
}

static const char *
member_name(const config_log_t *log, guint64 id)
{
    const voter_member_t *member =
        voter_config_find(voter_config(log->core), id);
    if (member != NULL) {
        return member->name;
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, log->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (((voter_peer_t *)value)->id == id) {
            return ((voter_peer_t *)value)->name;
        }
    }
    return NULL;
}

static void
send_messages(config_log_t *log, const GPtrArray *messages)
{
    for (guint i = 0; i < messages->len; i++) {
        const voter_message_t *m = messages->pdata[i];
        const char *name = member_name(log, m->to);
        if (name != NULL) {
            GBytes *bytes = voter_message_write(m);
            config_log_send(log, name, bytes);
            g_bytes_unref(bytes);
        }
    }
}

/* Answers puts whose version, or a higher one, is committed, and fails
 * those that timed out or lost their leader. */
static void
answer_pending(config_log_t *log)
{
    for (guint i = log->pending->len; i > 0; i--) {
        pending_commit_t pending =
            g_array_index(log->pending, pending_commit_t, i - 1);
        if (pending.version <= log->state.version) {
            config_log_send_result(log, pending.call, TRUE);
            g_array_remove_index_fast(log->pending, i - 1);
        }
        else if (clock_boot_us() > pending.deadline_us ||
                 voter_role(log->core) != ROLE_LEADER) {
            config_log_send_result(log, pending.call, FALSE);
            g_array_remove_index_fast(log->pending, i - 1);
        }
    }
}

static void
compact_if_large(config_log_t *log)
{
    if (log_store_bytes(log->store) < COMPACT_MIN_BYTES) {
        return;
    }
    char *why = NULL;
    GBytes *data = log_state_snapshot(&log->state);
    voter_snapshot_t snapshot =
        voter_compact(log->core, voter_applied_index(log->core), data);
    int result =
        log_store_snapshot(log->store, &snapshot, voter_log(log->core), &why);
    g_bytes_unref(data);
    if (result != STORE_OK) {
        fail_disk(log, why);
    }
}

static gboolean
voters_equal(const voter_config_t *a, const voter_config_t *b)
{
    for (guint i = 0; a->count == b->count && i < a->count; i++) {
        if (a->members[i].id != b->members[i].id ||
            a->members[i].learner != b->members[i].learner) {
            return FALSE;
        }
    }
    return a->count == b->count;
}

static gboolean
view_equal(const config_view_message_t *a, const config_view_message_t *b)
{
    return a->leads == b->leads && a->read_until_us == b->read_until_us &&
           a->in_quorum == b->in_quorum && a->term == b->term &&
           strcmp(a->leader, b->leader) == 0 &&
           voters_equal(&a->voters, &b->voters);
}

static void
send_view(config_log_t *log)
{
    gint64 now = clock_boot_us();
    guint64 leader = voter_leader(log->core);
    const char *name = leader == log->id ? log->self
                       : leader != 0     ? member_name(log, leader)
                                         : NULL;
    config_view_message_t view = {
        .base = {CONFIG_LOG_VIEW, message_free_plain},
        .leads = voter_role(log->core) == ROLE_LEADER,
        .term = voter_term(log->core),
        .voters = *voter_config(log->core),
        .first_start = log->is_founder,
    };
    view.read_until_us =
        voter_may_read(log->core, now) ? voter_lease_end_us(log->core) : 0;
    view.in_quorum = name != NULL && (!view.leads || view.read_until_us > now);
    g_strlcpy(view.leader, name != NULL ? name : "", sizeof(view.leader));
    if (!view_equal(&view, &log->view)) {
        log->view = view;
        task_send(log->owner, g_memdup2(&view, sizeof(view)));
    }
}

static void
record_role(config_log_t *log)
{
    voter_role_t role = voter_role(log->core);
    if (role == log->role) {
        return;
    }
    static const char *const NAMES[] = {"follower", "candidate", "leader"};
    if (event_log_begin(EVENT_STATE, "voter_role")) {
        event_log_cstr("role", NAMES[role]);
        event_log_number("term", (gint64)voter_term(log->core));
        event_log_number("config_version", (gint64)log->state.version);
        event_log_end();
    }
    counter_set(counter_get("voter_leads", NULL, TRUE), role == ROLE_LEADER);
    log->role = role;
}

static void
process_ready(config_log_t *log)
{
    voter_ready_t ready;
    while (!log->failed && voter_ready(log->core, &ready)) {
        if (!make_durable(log, &ready)) {
            voter_ready_clear(&ready);
            break;
        }
        if (ready.install && ready.snapshot.data != NULL) {
            command_apply(log, ready.snapshot.data);
        }
        send_messages(log, ready.messages);
        for (guint i = 0; i < ready.committed->len; i++) {
            const log_entry_t *entry = ready.committed->pdata[i];
            if (entry->kind == ENTRY_COMMAND) {
                command_apply(log, entry->data);
            }
        }
        voter_advance(log->core, &ready, clock_boot_us());
        voter_ready_clear(&ready);
    }
    if (log->failed) {
        return;
    }
    record_role(log);
    answer_pending(log);
    compact_if_large(log);
    send_view(log);
}

/* ---- the task ---- */

/* Before the first configuration. A log that has one keeps the id that it has,
 * 0 if it was founded by a version that knew no ids: other voters may still
 * be of that version, and would misread the command. */
static int
propose_log_id(config_log_t *log, gint64 now)
{
    guint64 index;
    if (log->state.log_id != 0 || log->state.text != NULL) {
        return VOTER_OK;
    }
    GBytes *command = log_id_command(random_id());
    int result = voter_propose(log->core, command, &index, now);
    g_bytes_unref(command);
    return result;
}

static void
handle_put(config_log_t *log, const config_put_message_t *m)
{
    gint64 now = clock_boot_us();
    if (log->failed || voter_role(log->core) != ROLE_LEADER) {
        config_log_send_result(log, m->call, FALSE);
        return;
    }
    guint64 index;
    GBytes *command = log_config_command(m->version, m->text);
    int result = propose_log_id(log, now);
    if (result == VOTER_OK) {
        result = voter_propose(log->core, command, &index, now);
    }
    g_bytes_unref(command);
    if (result != VOTER_OK) {
        config_log_send_result(log, m->call, FALSE);
        return;
    }
    pending_commit_t pending = {.call = m->call,
                                .version = m->version,
                                .deadline_us = now + PUT_TIMEOUT_US};
    g_array_append_val(log->pending, pending);
}

/* Proposes a usage command. If the command is not committed, the owner sends
 * it again. */
static void
handle_usage(config_log_t *log, const config_bytes_message_t *m)
{
    guint64 index;
    GBytes *command = log_usage_command(m->bytes);
    if (voter_propose(log->core, command, &index, clock_boot_us()) !=
        VOTER_OK) {
        counter_add(counter_get("usage_not_proposed_total", NULL, FALSE), 1);
    }
    g_bytes_unref(command);
}

static void
log_local_state_failure(const char *event, char *why)
{
    if (event_log_begin(EVENT_STATE, event)) {
        event_log_cstr("why", why);
        event_log_end();
    }
    g_free(why);
}

/* Tells the owner once what it stored beside the log. */
static void
publish_local_state(config_log_t *log)
{
    char *why = NULL;
    GBytes *bytes;
    if (log->store == NULL || log->local_state_published) {
        return;
    }
    log->local_state_published = TRUE;
    if (log_store_kept(log->store, &bytes, &why) != STORE_OK) {
        log_local_state_failure("kept_read_failed", why);
    }
    else if (bytes != NULL) {
        task_send(log->owner,
                  config_bytes_message(CONFIG_LOG_LOCAL_STATE, bytes));
    }
}

/* Restarts the voter from the disk, as after a crash: after a failed write
 * only the disk shows what is durable. */
static void
restart_from_disk(config_log_t *log)
{
    g_clear_pointer(&log->core, voter_destroy);
    g_clear_pointer(&log->store, log_store_close);
    log->failed = log_open(log) != STORE_OK;
    log->retry_us = clock_boot_us() + DISK_RETRY_INTERVAL_US;
    publish_local_state(log);
}

static void
on_tick(void *data)
{
    config_log_t *log = data;
    gint64 now = clock_boot_us();
    if (log->failed && now >= log->retry_us) {
        restart_from_disk(log);
    }
    if (log->failed) {
        return;
    }
    voter_tick(log->core, now);
    if (now - log->last_hello_us >= HELLO_INTERVAL_US) {
        log->last_hello_us = now;
        members_send_hello(log);
        if (voter_role(log->core) == ROLE_LEADER) {
            members_repair(log, now);
        }
    }
    leaderless_report(log, now);
    process_ready(log);
}

static void
handle_save_local(config_log_t *log, const config_bytes_message_t *m)
{
    char *why = NULL;
    if (log->store == NULL) {
        log_local_state_failure("kept_write_failed",
                                g_strdup("no data folder"));
    }
    else if (log_store_keep(log->store, m->bytes, &why) != STORE_OK) {
        log_local_state_failure("kept_write_failed", why);
    }
}

void
config_log_begin(void *state)
{
    config_log_t *log = state;
    publish_local_state(log);
    config_log_publish_config(log);
    config_log_publish_usage(log);
    timers_subscribe(task_timers(log->task), TICK_INTERVAL_US,
                     TICK_INTERVAL_US, on_tick, log);
    on_tick(log);
}

static void
handle_seeds(config_log_t *log, const config_seeds_message_t *m)
{
    g_ptr_array_unref(log->seeds);
    log->seeds = seed_names(m->seeds, log->settings->peers_port);
    log->hello_count = 0;
}

void
config_log_handle(void *state, message_t *message)
{
    config_log_t *log = state;
    if (message->type == CONFIG_LOG_SAVE_LOCAL) {
        handle_save_local(log, (const config_bytes_message_t *)message);
        return;
    }
    if (message->type == CONFIG_LOG_SEEDS) {
        handle_seeds(log, (const config_seeds_message_t *)message);
        return;
    }
    if (log->failed) {
        if (message->type == CONFIG_LOG_PUT) {
            config_log_send_result(
                log, ((config_put_message_t *)message)->call, FALSE);
        }
        return;
    }
    switch ((config_log_message_t)message->type) {
    case CONFIG_LOG_PUT:
        handle_put(log, (const config_put_message_t *)message);
        break;
    case CONFIG_LOG_USAGE:
        handle_usage(log, (const config_bytes_message_t *)message);
        break;
    case CONFIG_LOG_RECEIVED:
        members_handle_envelope(log,
                                (const config_envelope_message_t *)message);
        break;
    case CONFIG_LOG_HAND_OVER:
        voter_step_down(log->core, clock_boot_us());
        break;
    default:
        return;
    }
    process_ready(log);
}
