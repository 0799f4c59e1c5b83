#include <string.h>

#include "carobloom/common/event_log.h"
#include "config_log_state.h"

enum {
    MS = 1000,
    /* An election usually takes less. */
    LEADERLESS_US = 2000 * MS,
    REPORT_INTERVAL_US = 5000 * MS,
};

static const char *const BALLOT_NAMES[] = {
    [BALLOT_NONE] = "no vote",
    [BALLOT_GRANTED] = "granted",
    [BALLOT_NEWER_TERM] = "refused, newer term",
    [BALLOT_NEWER_LOG] = "refused, newer log",
    [BALLOT_HAS_LEADER] = "refused, has a leader or voted",
};

static const char *
own_membership(const config_log_t *log)
{
    const voter_member_t *self =
        voter_config_find(voter_config(log->core), log->id);
    return self == NULL ? "none" : self->learner ? "learner" : "voter";
}

/* "NAME: 120 ms ago, granted", or why nothing came from it. */
static void
append_peer(GString *text, const config_log_t *log, const char *name,
            const voter_member_t *member, gint64 now_us)
{
    const voter_peer_t *peer = g_hash_table_lookup(log->peers, name);
    g_string_append_printf(text, "%s%s: ", text->len > 0 ? "; " : "", name);
    if (peer == NULL) {
        g_string_append(text, "never heard");
        return;
    }
    g_string_append_printf(text, "%" G_GINT64_FORMAT " ms ago",
                           (now_us - peer->received_us) / MS);
    if (member != NULL && peer->id != member->id) {
        g_string_append(text, ", under another identity");
    }
    else if (member != NULL) {
        g_string_append_printf(
            text, ", %s", BALLOT_NAMES[voter_ballot(log->core, peer->id)]);
    }
}

static void
append_members(GString *text, const config_log_t *log, gint64 now_us)
{
    const voter_config_t *config = voter_config(log->core);
    for (guint i = 0; i < config->count; i++) {
        const voter_member_t *member = &config->members[i];
        if (member->id != log->id) {
            append_peer(text, log, member->name, member, now_us);
            g_string_append(text, member->learner ? " (learner)" : "");
        }
    }
}

static void
append_seeds(GString *text, const config_log_t *log, gint64 now_us)
{
    for (guint i = 0; i < log->seeds->len; i++) {
        append_peer(text, log, log->seeds->pdata[i], NULL, now_us);
    }
}

static void
write_report(const config_log_t *log, gint64 now_us)
{
    if (!event_log_begin(EVENT_STATE, "voter_no_leader")) {
        return;
    }
    const replica_log_t *entries = voter_log(log->core);
    GString *members = g_string_new(NULL);
    GString *seeds = g_string_new(NULL);
    append_members(members, log, now_us);
    append_seeds(seeds, log, now_us);
    event_log_number("for_ms", (now_us - log->leader_seen_us) / MS);
    event_log_cstr("as", own_membership(log));
    event_log_number("term", (gint64)voter_term(log->core));
    event_log_number("last_index", (gint64)replica_log_last_index(entries));
    event_log_number("last_term", (gint64)replica_log_last_term(entries));
    event_log_number("config_version", (gint64)log->state.version);
    event_log_number("quorum", voter_quorum(log->core));
    event_log_cstr("members", members->str);
    event_log_cstr("seeds", seeds->str);
    event_log_end();
    g_string_free(members, TRUE);
    g_string_free(seeds, TRUE);
}

void
leaderless_report(config_log_t *log, gint64 now_us)
{
    if (voter_leader(log->core) != 0 || log->leader_seen_us == 0) {
        log->leader_seen_us = now_us;
        return;
    }
    if (now_us - log->leader_seen_us >= LEADERLESS_US &&
        now_us - log->reported_us >= REPORT_INTERVAL_US) {
        log->reported_us = now_us;
        write_report(log, now_us);
    }
}
