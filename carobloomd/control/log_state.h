/* What the replicated log says: the configuration in force, and usage windows
 * whose figures are fixed. Private to the log's task. */
#ifndef CAROBLOOMD_CONTROL_LOG_STATE_H
#define CAROBLOOMD_CONTROL_LOG_STATE_H

#include "carobloom/policy/usage_ledger.h"

typedef struct {
    guint64 version; /* of the configuration; its text is NULL before one */
    GBytes *text;
    usage_ledger_t *usage;
} log_state_t;

/* What a command changed; bits. */
enum {
    LOG_STATE_CONFIG = 1,
    LOG_STATE_USAGE = 2,
};

void log_state_init(log_state_t *state);
void log_state_clear(log_state_t *state);
/* Applies a command, or a snapshot, which replaces what was there. Bytes that
 * are neither change nothing, as does the empty snapshot of the founding. */
guint log_state_apply(log_state_t *state, GBytes *command);
/* All of it, for log_state_apply. */
GBytes *log_state_snapshot(const log_state_t *state);

/* Commands for the log. */
GBytes *log_config_command(guint64 version, GBytes *text);
GBytes *log_usage_command(GBytes *command);

#endif
