/* Finalized usage windows, as they are in the replicated log.
 *
 * The counts of a window are finalized once, before the first report of them
 * to the platform. Every duty holder reports exactly these counts until the
 * platform accepts them. Pure: the state machine of the commands in
 * gateway/usage_wire.h. */
#ifndef CAROBLOOM_POLICY_USAGE_LEDGER_H
#define CAROBLOOM_POLICY_USAGE_LEDGER_H

#include "carobloom/policy/usage_tally.h"

/* A finalized window. */
typedef struct {
    usage_window_t *figures;
    gboolean accepted; /* by the platform */
} finalized_window_t;

typedef struct usage_ledger usage_ledger_t;

usage_ledger_t *usage_ledger_create(void);
void usage_ledger_destroy(usage_ledger_t *ledger);
/* Finalizes a window unless it or a later one is finalized already. Takes
 * ownership of `figures` in both cases. Returns TRUE if the window was
 * finalized with them. */
gboolean usage_ledger_finalize(usage_ledger_t *ledger,
                               usage_window_t *figures);
/* Records that the platform accepted a window. */
void usage_ledger_mark_accepted(usage_ledger_t *ledger, guint64 window);
/* The last finalized window; 0: none. */
guint64 usage_ledger_finalized_through(const usage_ledger_t *ledger);
/* Returns the first finalized window after `after` that the platform has not
 * accepted, or NULL. */
const usage_window_t *
usage_ledger_next_unaccepted(const usage_ledger_t *ledger, guint64 after);
/* The latest finalized windows, the oldest first; finalized_window_t. */
const GArray *usage_ledger_windows(const usage_ledger_t *ledger);
/* Restores a saved window. */
void usage_ledger_restore(usage_ledger_t *ledger, usage_window_t *figures,
                          gboolean accepted);

#endif
