/* Private state of the configuration log, shared by the files that implement
 * it.
 *
 * log_state.c            the replicated state machine
 * config_log.c           startup, the Raft core and its disk, the task
 * config_log_messages.c  messages to and from the owner
 * config_log_members.c   voters: admits new ones, removes dead ones
 * config_log_report.c    why there is no leader */
#ifndef CAROBLOOMD_CONTROL_CONFIG_LOG_STATE_H
#define CAROBLOOMD_CONTROL_CONFIG_LOG_STATE_H

#include "carobloom/control/config_log.h"
#include "carobloom/process/log_store.h"
#include "log_state.h"

/* A put to answer once its version is committed. */
typedef struct {
    guint64 call;
    guint64 version;
    gint64 deadline_us;
} pending_commit_t;

/* Another control instance that sent a message here. */
typedef struct {
    char *name;
    guint64 id;
    gint64 received_us;
    /* sent a hello and is not a voting member yet */
    gboolean wants_membership;
} voter_peer_t;

struct config_log {
    const gateway_settings_t *settings;
    char *self; /* IP:PORT; also the name as a voter */
    task_t *owner;
    task_t *task;
    log_store_t *store;
    guint64 id;
    voter_t *core;
    log_state_t state; /* committed and applied */
    GArray *pending;   /* pending_commit_t */
    GHashTable *peers; /* name -> voter_peer_t */
    /* Members of which other instances told: name -> time in us. */
    GHashTable *contacts;
    GPtrArray *founders; /* names: the seeds at startup */
    GPtrArray *seeds;    /* names: the seeds of the settings in force */
    gint64 last_hello_us;
    /* hello intervals since this voter was last a member with a known
     * leader */
    guint hello_count;
    voter_role_t role;
    gboolean is_founder; /* started with an empty disk as a founder */
    gboolean set_aside;  /* the folder was damaged and counts as lost */
    gboolean local_state_published;
    char *folder_fault; /* why the folder could not be used, as last logged */
    /* a disk write failed; the log is reopened at `retry_us` */
    gboolean failed;
    gint64 retry_us;
    gint64 leader_seen_us;      /* when a leader was known last */
    gint64 reported_us;         /* last report that none is */
    config_view_message_t view; /* as last sent to the owner */
};

/* config_log_messages.c */
void message_free_plain(message_t *message);
/* Sends `message` to another voter. NULL sends a hello: only the name and
 * id of this voter. */
void config_log_send(config_log_t *log, const char *to, GBytes *message);
void config_log_send_result(config_log_t *log, guint64 call, gboolean durable);
/* Sends the committed configuration, if any, to the owner. */
void config_log_publish_config(config_log_t *log);
/* Sends the ledger of finalized usage windows to the owner. */
void config_log_publish_usage(config_log_t *log);

/* config_log_members.c */
/* Sends a hello to the seeds, the members and some other known control
 * instances, one of which should know the leader, if this voter is not a
 * voting member, or knows no leader and so may have been removed. */
void members_send_hello(config_log_t *log);
/* On the leader: admits new voters and removes dead ones. Called
 * periodically. */
void members_repair(config_log_t *log, gint64 now_us);
/* Passes a message from another voter to the core. */
void members_handle_envelope(config_log_t *log,
                             const config_envelope_message_t *m);

/* config_log_report.c */
/* Logs, while no leader is known, which voters count, which of them answered
 * and when, and why no quorum came together. Called periodically. */
void leaderless_report(config_log_t *log, gint64 now_us);

#endif
