#include <string.h>

#include "carobloom/common/clock.h"
#include "carobloom/common/counters.h"
#include "carobloom/common/event_log.h"
#include "carobloom/policy/voter_codec.h"
#include "carobloom/policy/voter_repair.h"
#include "config_log_state.h"

enum {
    MS = 1000,
    /* an instance that sent no message for longer may have ended */
    HELLO_MAX_AGE_US = 1500 * MS,
    HELLO_PEERS_MAX = 4,
    /* The first hellos are sent four times a second, time for the leader to
     * admit the instance if a member is missing. Later hellos are sent once
     * a second, well within HELLO_MAX_AGE_US. */
    HELLO_FAST_COUNT = 40,
    HELLO_SLOW_INTERVAL = 4,
    VOTERS_MIN = 3,
    /* Members of which nobody has told for longer may be gone. */
    CONTACT_MAX_AGE_US = 10000 * MS,
    CONTACTS_MAX = 4 * VOTER_MEMBERS_MAX,
};

/* Adds HELLO_PEERS_MAX of the known control instances, in rotation: when
 * the seeds have ended, one of the others knows the leader. Not all of them
 * at once: a hundred non-members that each send a hello to all others four
 * times a second send 40,000 messages per second. */
static void
add_peers(config_log_t *log, GHashTable *names)
{
    GHashTableIter iter;
    gpointer name;
    guint count = g_hash_table_size(log->peers);
    guint at = 0;
    g_hash_table_iter_init(&iter, log->peers);
    while (g_hash_table_iter_next(&iter, &name, NULL)) {
        if ((at++ + log->hello_count) % MAX(count, 1) < HELLO_PEERS_MAX) {
            g_hash_table_add(names, name);
        }
    }
}

static gboolean
contact_expired(gpointer name, gpointer told_us, gpointer now_us)
{
    (void)name;
    return *(gint64 *)now_us - *(gint64 *)told_us > CONTACT_MAX_AGE_US;
}

static void
add_contacts(config_log_t *log, GHashTable *names)
{
    GHashTableIter iter;
    gpointer name;
    gint64 now = clock_boot_us();
    g_hash_table_foreach_remove(log->contacts, contact_expired, &now);
    g_hash_table_iter_init(&iter, log->contacts);
    while (g_hash_table_iter_next(&iter, &name, NULL)) {
        g_hash_table_add(names, name);
    }
}

/* Takes the names that another instance knows as members. */
static void
contacts_learn(config_log_t *log, const voter_config_t *config)
{
    gint64 now = clock_boot_us();
    for (guint i = 0; i < config->count; i++) {
        const char *name = config->members[i].name;
        if (g_hash_table_contains(log->contacts, name) ||
            g_hash_table_size(log->contacts) < CONTACTS_MAX) {
            g_hash_table_replace(log->contacts, g_strdup(name),
                                 g_memdup2(&now, sizeof(now)));
        }
    }
}

/* What this instance knows of the membership: its own, or what it was told
 * while it is no member. */
static voter_config_t
known_members(const config_log_t *log)
{
    voter_config_t config = *voter_config(log->core);
    GHashTableIter iter;
    gpointer name;
    if (config.count > 0) {
        return config;
    }
    g_hash_table_iter_init(&iter, log->contacts);
    while (config.count < VOTER_MEMBERS_MAX &&
           g_hash_table_iter_next(&iter, &name, NULL)) {
        g_strlcpy(config.members[config.count++].name, name,
                  sizeof(config.members[0].name));
    }
    return config;
}

/* Only the leader admits an instance, and the instance may have no address of
 * the leader among its own. */
static void
send_members(config_log_t *log, const voter_peer_t *to)
{
    voter_message_t answer = {
        .kind = VOTER_MEMBERSHIP,
        .from = log->id,
        .to = to->id,
        .term = voter_term(log->core),
        .config = known_members(log),
    };
    GBytes *bytes = voter_message_write(&answer);
    config_log_send(log, to->name, bytes);
    g_bytes_unref(bytes);
}

void
members_send_hello(config_log_t *log)
{
    const voter_config_t *config = voter_config(log->core);
    const voter_member_t *self = voter_config_find(config, log->id);
    if (self != NULL && !self->learner && voter_leader(log->core) != 0) {
        log->hello_count = 0;
        return;
    }
    log->hello_count++;
    if (log->hello_count > HELLO_FAST_COUNT &&
        log->hello_count % HELLO_SLOW_INTERVAL != 0) {
        return;
    }
    GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTableIter iter;
    gpointer name;
    for (guint i = 0; i < log->seeds->len; i++) {
        g_hash_table_add(names, log->seeds->pdata[i]);
    }
    for (guint i = 0; i < config->count; i++) {
        g_hash_table_add(names, (gpointer)config->members[i].name);
    }
    add_contacts(log, names);
    add_peers(log, names);
    g_hash_table_iter_init(&iter, names);
    while (g_hash_table_iter_next(&iter, &name, NULL)) {
        if (strcmp(name, log->self) != 0) {
            config_log_send(log, name, NULL);
        }
    }
    g_hash_table_unref(names);
}

/* Time since a member last answered; 0 for this voter itself, G_MAXINT64 for
 * one that lost its disk: its address goes by another identity. */
static gint64
silence_us(const config_log_t *log, const voter_member_t *member, gint64 now)
{
    const voter_peer_t *peer = g_hash_table_lookup(log->peers, member->name);
    if (member->id == log->id) {
        return 0;
    }
    if (peer != NULL && peer->id != member->id) {
        return G_MAXINT64;
    }
    return now - voter_contact_us(log->core, member->id);
}

static void
remove_dead(config_log_t *log, gint64 now)
{
    const voter_config_t config = *voter_config(log->core);
    gint64 silent_us[VOTER_MEMBERS_MAX];
    for (guint i = 0; i < config.count; i++) {
        silent_us[i] = silence_us(log, &config.members[i], now);
    }
    guint voters_min =
        MAX(VOTERS_MIN, 2 * (guint)log->settings->disk_losses + 1);
    guint64 dead =
        voter_repair_remove_dead(log->core, silent_us, voters_min, now);
    const voter_member_t *member = voter_config_find(&config, dead);
    if (member != NULL && event_log_begin(EVENT_STATE, "voter_removed")) {
        event_log_cstr("name", member->name);
        event_log_number("voters", config.count);
        event_log_end();
    }
}

static void
admit_peer(config_log_t *log, gint64 now)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, log->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        voter_peer_t *peer = value;
        if (!peer->wants_membership ||
            now - peer->received_us > HELLO_MAX_AGE_US) {
            continue;
        }
        repair_state_t state =
            voter_repair_step(log->core, peer->name, peer->id, now);
        if (state == REPAIR_DONE) {
            peer->wants_membership = FALSE;
        }
        if (state == REPAIR_PROPOSED) {
            if (event_log_begin(EVENT_STATE, "voter_taken_in")) {
                event_log_cstr("name", peer->name);
                event_log_end();
            }
            return;
        }
    }
}

void
members_handle_envelope(config_log_t *log, const config_envelope_message_t *m)
{
    voter_envelope_t envelope;
    if (!voter_envelope_read(m->envelope, &envelope)) {
        counter_add(counter_get("voter_malformed_total", NULL, FALSE), 1);
        return;
    }
    voter_peer_t *peer = g_hash_table_lookup(log->peers, envelope.from);
    if (peer == NULL) {
        peer = g_new0(voter_peer_t, 1);
        peer->name = g_strdup(envelope.from);
        g_hash_table_insert(log->peers, peer->name, peer);
    }
    peer->id = envelope.id;
    peer->received_us = clock_boot_us();
    gsize length = g_bytes_get_size(envelope.message);
    voter_message_t *message =
        length > 0 ? voter_message_read(envelope.message) : NULL;
    if (length == 0) {
        peer->wants_membership = TRUE;
        if (voter_role(log->core) != ROLE_LEADER) {
            send_members(log, peer);
        }
    }
    if (message != NULL && message->kind == VOTER_MEMBERSHIP) {
        contacts_learn(log, &message->config);
    }
    if (message != NULL) {
        voter_step(log->core, message, clock_boot_us());
        voter_message_free(message);
    }
    voter_envelope_clear(&envelope);
}

void
members_repair(config_log_t *log, gint64 now_us)
{
    admit_peer(log, now_us);
    remove_dead(log, now_us);
}
