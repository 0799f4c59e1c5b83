/* The state machine of the replicated log: the current configuration and
 * the finalized usage windows. Private to the log's task. */
#ifndef CAROBLOOMD_CONTROL_LOG_STATE_H
#define CAROBLOOMD_CONTROL_LOG_STATE_H

#include "carobloom/policy/usage_ledger.h"

typedef struct {
    /* Drawn before the first configuration, so that whoever holds one of
     * another log does not compare versions; 0: none yet, or of a log that is
     * older than these ids. */
    guint64 log_id;
    guint64 version; /* of the configuration */
    GBytes *text;    /* NULL before the first configuration */
    usage_ledger_t *usage;
} log_state_t;

/* What a command changed, as bits. */
enum {
    LOG_STATE_CONFIG = 1,
    LOG_STATE_USAGE = 2,
};

void log_state_init(log_state_t *state);
void log_state_clear(log_state_t *state);
/* Applies a command, or a snapshot, which replaces the whole state. Other
 * bytes, and the empty snapshot that founders start with, change nothing.
 * Returns the LOG_STATE_ bits of what changed. */
guint log_state_apply(log_state_t *state, GBytes *command);
/* The whole state as a command for log_state_apply. */
GBytes *log_state_snapshot(const log_state_t *state);

/* Serialize commands for the log. */
GBytes *log_config_command(guint64 version, GBytes *text);
GBytes *log_usage_command(GBytes *command);
GBytes *log_id_command(guint64 log_id);

#endif
