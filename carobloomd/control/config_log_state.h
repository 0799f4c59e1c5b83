/* Private to the configuration's log: its state, shared by the files that make
 * it up.
 *
 * log_state.c            what its commands say
 * config_log.c           starting, driving the core with its disk, the task
 * config_log_messages.c  messages to and from its owner
 * config_log_members.c   who votes: newcomers, the lost, the dead */
#ifndef CAROBLOOMD_CONTROL_CONFIG_LOG_STATE_H
#define CAROBLOOMD_CONTROL_CONFIG_LOG_STATE_H

#include "carobloom/control/config_log.h"
#include "carobloom/process/log_store.h"
#include "log_state.h"

/* A put that is to be answered once its version is committed. */
typedef struct {
    guint64 call;
    guint64 version;
    gint64 until_us;
} pending_commit_t;

/* Another control instance, by what it sent. */
typedef struct {
    char *name;
    guint64 id;
    gint64 received_us;
    gboolean
        wants_membership; /* it is not a voting member by its own account */
} voter_peer_t;

struct config_log {
    const gateway_settings_t *settings;
    char *self; /* IP:PORT; the name as a voter */
    task_t *owner;
    task_t *task;
    log_store_t *store;
    guint64 id;
    voter_t *core;
    log_state_t state; /* applied */
    GArray *pending;   /* pending_commit_t */
    GHashTable *peers; /* name -> voter_peer_t */
    GPtrArray *seeds;  /* names */
    gint64 last_hello_us;
    guint hello_count; /* since it was last a member that knew its leader */
    voter_role_t role;
    gboolean
        is_founder;  /* it started with an empty disk, the site being new */
    gboolean failed; /* the disk refused; started anew from it later */
    gint64 retry_us;
    config_view_message_t view; /* last sent */
};

/* config_log_messages.c */
void message_free_plain(message_t *message);
/* Sends to another voter; `message` may be NULL, to say who this is. */
void config_log_send(config_log_t *log, const char *to, GBytes *message);
void config_log_send_result(config_log_t *log, guint64 call, gboolean durable);
/* Tells the owner of the version committed here, if there is one. */
void config_log_publish_config(config_log_t *log);
/* Tells it of the usage windows that are fixed. */
void config_log_publish_usage(config_log_t *log);

/* config_log_members.c */
/* Whoever is not a voting member, or hears of no leader and may have been
 * taken out, says so to all that may lead. */
void members_send_hello(config_log_t *log);
/* The leader's part, now and then. */
void members_repair(config_log_t *log, gint64 now_us);
/* Passes what another voter sent to the core. */
void members_handle_envelope(config_log_t *log,
                             const config_envelope_message_t *m);

#endif
