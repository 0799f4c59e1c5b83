/* Budget for repeats, per service. A repeat is a further send of a request by
 * the same entry instance, to another endpoint.
 *
 * Unlike a retry_budget_t (limits.h), which each instance keeps for itself,
 * the budget bounds the repeats of all instances together. All instances share
 * a budget without a common counter: each spends a fraction of its own first
 * sends, and its share of the fixed slack by the number of instances. The sum
 * over all instances then stays within the budget. */
#ifndef CAROBLOOM_POLICY_REPEAT_BUDGET_H
#define CAROBLOOM_POLICY_REPEAT_BUDGET_H

#include <glib.h>

enum { REPEAT_BUDGET_SLOTS = 20 };

typedef struct {
    gint64 window_us; /* sliding window to which the budget applies */
    double ratio;     /* repeats per first send */
    double slack;     /* additional repeats of all instances together */
} repeat_limits_t;

/* Counts of one service in slots of the window, indexed by `slot` modulo
 * REPEAT_BUDGET_SLOTS. */
typedef struct {
    gint64 slot;
    guint firsts[REPEAT_BUDGET_SLOTS];
    guint repeats[REPEAT_BUDGET_SLOTS];
    gint64 logged_us; /* when a refused repeat was last logged */
} repeat_budget_t;

/* The budget of this instance at a point in time. */
typedef struct {
    guint spent;
    double allowed;
} repeat_budget_state_t;

/* Records the first send of a request. */
void repeat_budget_record_first(repeat_budget_t *budget,
                                const repeat_limits_t *limits, gint64 now_us);
/* Takes one repeat from the budget; FALSE when it is spent. `instances` share
 * the slack. */
gboolean repeat_budget_take(repeat_budget_t *budget,
                            const repeat_limits_t *limits, guint instances,
                            gint64 now_us);
/* Returns what this instance spent and may spend. */
repeat_budget_state_t repeat_budget_state(repeat_budget_t *budget,
                                          const repeat_limits_t *limits,
                                          guint instances, gint64 now_us);

#endif
