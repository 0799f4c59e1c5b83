/* The routing configuration in the voters' replicated log.
 *
 * A task of its own, since it waits for the disk. Its owner, the control
 * task, carries its messages to the other voters and gets what it decides. */
#ifndef CAROBLOOM_CONTROL_CONFIG_LOG_H
#define CAROBLOOM_CONTROL_CONFIG_LOG_H

#include "carobloom/common/task.h"
#include "carobloom/gateway/settings.h"
#include "carobloom/gateway/sync_wire.h"
#include "carobloom/policy/voter.h"

typedef enum {
    /* to the log */
    CONFIG_LOG_PUT,
    CONFIG_LOG_RECEIVED,
    CONFIG_LOG_HAND_OVER,
    CONFIG_LOG_SAVE_LOCAL,
    CONFIG_LOG_USAGE, /* both ways */
    /* to its owner */
    CONFIG_LOG_SEND,
    CONFIG_LOG_RESULT,
    CONFIG_LOG_APPLIED,
    CONFIG_LOG_VIEW,
    CONFIG_LOG_LOCAL_STATE,
} config_log_message_t;

/* CONFIG_LOG_PUT: a checked configuration to append. */
typedef struct {
    message_t base;
    guint64 call;
    guint64 version;
    GBytes *text;
} config_put_message_t;

/* CONFIG_LOG_RECEIVED from another voter, CONFIG_LOG_SEND to one. */
typedef struct {
    message_t base;
    char *to;
    GBytes *envelope; /* voter_envelope_t, written */
} config_envelope_message_t;

/* CONFIG_LOG_RESULT of a put: whether a quorum has it. */
typedef struct {
    message_t base;
    guint64 call;
    gboolean durable; /* FALSE: not known; the caller asks again */
} config_result_message_t;

/* CONFIG_LOG_APPLIED: a version is committed. */
typedef struct {
    message_t base;
    guint64 version;
    GBytes *text;
} config_applied_message_t;

/* CONFIG_LOG_VIEW: who leads. */
typedef struct {
    message_t base;
    gboolean leads;
    gint64 read_until_us; /* clock_boot_us; until then what is applied here is
                             the newest there is. 0: not so */
    gboolean in_quorum;   /* a leader was heard of lately */
    gboolean first_start; /* the site is new, and so is this instance */
    guint64 term;
    char leader[VOTER_NAME_MAX + 1]; /* empty when not known */
    voter_config_t voters;
} config_view_message_t;

/* CONFIG_LOG_USAGE, to the log: a command of gateway/usage_wire.h to append;
 * from it: the whole ledger as it is now.
 * CONFIG_LOG_SAVE_LOCAL: bytes of the owner's to keep beside the log, in place
 * of those before; CONFIG_LOG_LOCAL_STATE: those found at the start. They are
 * this instance's alone and not agreed with the other voters. */
typedef struct {
    message_t base;
    GBytes *bytes;
} config_bytes_message_t;

typedef struct config_log config_log_t;

/* NULL when the data folder can not be used; that is logged. */
config_log_t *config_log_create(const gateway_settings_t *settings,
                                const char *self, task_t *owner);
void config_log_destroy(config_log_t *log);
/* For task_create and task_start. */
void config_log_handle(void *state, message_t *message);
void config_log_begin(void *state);
void config_log_set_task(config_log_t *log, task_t *task);

/* Builders of messages to the log; they take what they are given. */
message_t *config_put_message(guint64 call, guint64 version, GBytes *text);
message_t *config_envelope_message(config_log_message_t type, const char *to,
                                   GBytes *envelope);
message_t *config_hand_over_message(void);
message_t *config_bytes_message(config_log_message_t type, GBytes *bytes);

#endif
