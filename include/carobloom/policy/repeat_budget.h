/* How many requests may be sent a second time, per service.
 *
 * All instances share a budget that nobody counts in common: each spends a
 * part of its own first sends, and of the fixed slack its share by the number
 * of instances. The sum over all then keeps the whole. */
#ifndef CAROBLOOM_POLICY_REPEAT_BUDGET_H
#define CAROBLOOM_POLICY_REPEAT_BUDGET_H

#include <glib.h>

enum { REPEAT_BUDGET_SLOTS = 20 };

typedef struct {
    gint64 window_us; /* over which the budget holds, at every moment */
    double ratio;     /* repeats for each first send */
    double slack;     /* repeats beyond, of all instances together */
} repeat_limits_t;

typedef struct {
    gint64 slot;
    guint firsts[REPEAT_BUDGET_SLOTS];
    guint repeats[REPEAT_BUDGET_SLOTS];
} repeat_budget_t;

void repeat_budget_record_first(repeat_budget_t *budget,
                                const repeat_limits_t *limits, gint64 now_us);
/* Takes one repeat; FALSE when the budget is spent. `instances` share the
 * slack. */
gboolean repeat_budget_take(repeat_budget_t *budget,
                            const repeat_limits_t *limits, guint instances,
                            gint64 now_us);

#endif
