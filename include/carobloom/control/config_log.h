/* The routing configuration in the replicated log of the control instances.
 *
 * The log runs in a task of its own because it blocks on the disk. Its owner,
 * the control task, transports its messages to and from the other voters and
 * receives what is committed. */
#ifndef CAROBLOOM_CONTROL_CONFIG_LOG_H
#define CAROBLOOM_CONTROL_CONFIG_LOG_H

#include "carobloom/common/task.h"
#include "carobloom/gateway/settings.h"
#include "carobloom/gateway/sync_wire.h"
#include "carobloom/policy/voter.h"

typedef enum {
    /* owner to log */
    CONFIG_LOG_PUT,
    CONFIG_LOG_RECEIVED,
    CONFIG_LOG_HAND_OVER,
    CONFIG_LOG_SAVE_LOCAL,
    CONFIG_LOG_SEEDS,
    CONFIG_LOG_USAGE, /* both directions */
    /* log to owner */
    CONFIG_LOG_SEND,
    CONFIG_LOG_RESULT,
    CONFIG_LOG_APPLIED,
    CONFIG_LOG_VIEW,
    CONFIG_LOG_LOCAL_STATE,
} config_log_message_t;

/* CONFIG_LOG_PUT: a valid configuration to append to the log. */
typedef struct {
    message_t base;
    guint64 call; /* returned in the result */
    guint64 version;
    GBytes *text;
} config_put_message_t;

/* CONFIG_LOG_RECEIVED from another voter, CONFIG_LOG_SEND to one. */
typedef struct {
    message_t base;
    char *to;
    GBytes *envelope; /* serialized voter_envelope_t */
} config_envelope_message_t;

/* CONFIG_LOG_SEEDS: the seeds of the settings now in force. */
typedef struct {
    message_t base;
    char **seeds; /* IP:PORT of control listeners */
} config_seeds_message_t;

/* CONFIG_LOG_RESULT: whether a quorum stored the configuration of a put. */
typedef struct {
    message_t base;
    guint64 call;
    gboolean durable; /* FALSE: unknown; the caller has to retry */
} config_result_message_t;

/* CONFIG_LOG_APPLIED: a version was committed. */
typedef struct {
    message_t base;
    guint64 log_id; /* see log_state.h */
    guint64 version;
    GBytes *text;
} config_applied_message_t;

/* CONFIG_LOG_VIEW: the leader, the term and the voters, as known to this
 * voter. */
typedef struct {
    message_t base;
    gboolean leads;
    gint64 read_until_us; /* clock_boot_us until which the state applied on
                             this instance is the newest one. 0: the state may
                             be outdated */
    gboolean in_quorum;   /* the leader is known; if this instance leads, its
                             leader lease is valid */
    gboolean first_start; /* this voter is a founder that started with an
                             empty disk */
    guint64 term;
    char leader[VOTER_NAME_MAX + 1]; /* empty when not known */
    voter_config_t voters;
} config_view_message_t;

/* CONFIG_LOG_USAGE, to the log: a command of gateway/usage_wire.h to append;
 * from the log: the whole current ledger.
 * CONFIG_LOG_SAVE_LOCAL: bytes to store beside the log, replacing the previous
 * ones. They belong to this instance alone and are not replicated.
 * CONFIG_LOG_LOCAL_STATE: the bytes of the last CONFIG_LOG_SAVE_LOCAL, as
 * found on the disk at startup. */
typedef struct {
    message_t base;
    GBytes *bytes;
} config_bytes_message_t;

typedef struct config_log config_log_t;

/* Opens the log in the data folder. Logs the error and returns NULL when there
 * can be no such folder. One that is locked, or whose disk fails, is tried
 * again and again. */
config_log_t *config_log_create(const gateway_settings_t *settings,
                                const char *self, task_t *owner);
void config_log_destroy(config_log_t *log);
/* Callbacks for task_create and task_start. */
void config_log_handle(void *state, message_t *message);
void config_log_begin(void *state);
void config_log_set_task(config_log_t *log, task_t *task);

/* Create messages to the log. They take ownership of their GBytes. */
message_t *config_put_message(guint64 call, guint64 version, GBytes *text);
message_t *config_envelope_message(config_log_message_t type, const char *to,
                                   GBytes *envelope);
message_t *config_hand_over_message(void);
/* Copies `seeds`. */
message_t *config_seeds_message(char **seeds);
message_t *config_bytes_message(config_log_message_t type, GBytes *bytes);

#endif
