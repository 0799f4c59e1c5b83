/* Usage windows whose figures are fixed, as the replicated log has them.
 *
 * A window's figures are fixed once, before they are first told to the
 * platform, and every holder of the duty tells exactly these until they are
 * taken. Pure: the state machine of the commands in gateway/usage_wire.h. */
#ifndef CAROBLOOM_POLICY_USAGE_LEDGER_H
#define CAROBLOOM_POLICY_USAGE_LEDGER_H

#include "carobloom/policy/usage_tally.h"

/* A fixed window. */
typedef struct {
    usage_window_t *figures;
    gboolean accepted; /* the platform has it */
} finalized_window_t;

typedef struct usage_ledger usage_ledger_t;

usage_ledger_t *usage_ledger_create(void);
void usage_ledger_destroy(usage_ledger_t *ledger);
/* Fixes a window unless it or a later one is fixed already; takes over
 * `figures` either way. TRUE when these are the figures now. */
gboolean usage_ledger_finalize(usage_ledger_t *ledger,
                               usage_window_t *figures);
/* The platform took a window's figures. */
void usage_ledger_mark_accepted(usage_ledger_t *ledger, guint64 window);
/* The last window that is fixed; 0: none is. */
guint64 usage_ledger_finalized_through(const usage_ledger_t *ledger);
/* The first fixed window that is not taken, or NULL; `after` passes over those
 * up to it. */
const usage_window_t *
usage_ledger_next_unaccepted(const usage_ledger_t *ledger, guint64 after);
/* The last few windows, the oldest first; finalized_window_t. */
const GArray *usage_ledger_windows(const usage_ledger_t *ledger);
/* Puts back a window as it was saved. */
void usage_ledger_restore(usage_ledger_t *ledger, usage_window_t *figures,
                          gboolean accepted);

#endif
