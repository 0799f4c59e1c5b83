#include "carobloom/policy/repeat_budget.h"

/* An instance spends only this fraction of its budget, so that a new instance,
 * or one that learns of others late, doesn't push the sum over the budget. */
static const double SAFETY_FRACTION = 0.7;

/* Moves to the slot of the current time, and clears the slots in between. They
 * held counts that are now older than the window. */
static void
advance(repeat_budget_t *b, const repeat_limits_t *limits, gint64 now_us)
{
    gint64 width = MAX(limits->window_us / (REPEAT_BUDGET_SLOTS - 1), 1);
    gint64 slot = now_us / width;
    gint64 from = MAX(b->slot + 1, slot - REPEAT_BUDGET_SLOTS + 1);
    for (gint64 i = from; i <= slot; i++) {
        b->firsts[i % REPEAT_BUDGET_SLOTS] = 0;
        b->repeats[i % REPEAT_BUDGET_SLOTS] = 0;
    }
    b->slot = MAX(b->slot, slot);
}

static guint
sum(const guint *slots)
{
    guint total = 0;
    for (guint i = 0; i < REPEAT_BUDGET_SLOTS; i++) {
        total += slots[i];
    }
    return total;
}

void
repeat_budget_record_first(repeat_budget_t *b, const repeat_limits_t *limits,
                           gint64 now_us)
{
    advance(b, limits, now_us);
    b->firsts[b->slot % REPEAT_BUDGET_SLOTS]++;
}

repeat_budget_state_t
repeat_budget_state(repeat_budget_t *b, const repeat_limits_t *limits,
                    guint instances, gint64 now_us)
{
    advance(b, limits, now_us);
    double whole =
        limits->ratio * sum(b->firsts) + limits->slack / MAX(instances, 1);
    return (repeat_budget_state_t){.spent = sum(b->repeats),
                                   .allowed = whole * SAFETY_FRACTION};
}

gboolean
repeat_budget_take(repeat_budget_t *b, const repeat_limits_t *limits,
                   guint instances, gint64 now_us)
{
    repeat_budget_state_t state =
        repeat_budget_state(b, limits, instances, now_us);
    if (state.spent + 1 > state.allowed) {
        return FALSE;
    }
    b->repeats[b->slot % REPEAT_BUDGET_SLOTS]++;
    return TRUE;
}
