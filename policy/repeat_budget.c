#include "carobloom/policy/repeat_budget.h"

/* For so long after a repeat was refused grants are requested for it. */
enum { NEED_US = 2 * 1000 * 1000 };

/* Own repeats are kept for the current and the previous one of these slots. */
static gint64
own_slot(const repeat_limits_t *limits, gint64 now_us)
{
    gint64 width_us = limits->window_us / (2 * REPEAT_OWN_LIFETIMES);
    return now_us / MAX(width_us, 1);
}

static void
advance_own(repeat_budget_t *b, const repeat_limits_t *limits, gint64 now_us)
{
    gint64 slot = own_slot(limits, now_us);
    if (slot > b->own_slot) {
        b->own[0] = slot == b->own_slot + 1 ? b->own[1] : 0;
        b->own[1] = 0;
        b->own_slot = slot;
    }
}

static repeat_slot_t *
history_slot(repeat_budget_t *b, const repeat_limits_t *limits, gint64 now_us)
{
    gint64 width_us = MAX(limits->window_us / REPEAT_HISTORY_SLOTS, 1);
    gint64 slot = now_us / width_us;
    gint64 from = MAX(b->history_slot + 1, slot - REPEAT_HISTORY_MAX + 1);
    for (gint64 i = from; i <= slot; i++) {
        b->history[i % REPEAT_HISTORY_MAX] = (repeat_slot_t){0};
    }
    b->history_slot = MAX(b->history_slot, slot);
    return &b->history[b->history_slot % REPEAT_HISTORY_MAX];
}

void
repeat_budget_init(repeat_budget_t *b, double phase)
{
    *b = (repeat_budget_t){.fraction = phase};
}

void
repeat_budget_record_first(repeat_budget_t *b, const repeat_limits_t *limits,
                           gint64 now_us)
{
    advance_own(b, limits, now_us);
    history_slot(b, limits, now_us)->firsts++;
    b->firsts++;
    b->first_newest_us = now_us;
    if (b->first_unreported_us == 0) {
        b->first_unreported_us = now_us;
    }
    if (b->first_unsent_us == 0) {
        b->first_unsent_us = now_us;
    }
    b->fraction += limits->ratio * REPEAT_OWN_FRACTION;
    if (b->fraction >= 1) {
        b->fraction -= 1;
        b->own[1]++;
        limit_share_record_granted(&b->share, 1, now_us);
    }
}

guint
repeat_budget_own(repeat_budget_t *b, const repeat_limits_t *limits,
                  gint64 now_us)
{
    advance_own(b, limits, now_us);
    return b->own[0] + b->own[1];
}

guint
repeat_budget_granted(const repeat_budget_t *b, gint64 now_us)
{
    return now_us < b->granted_until_us ? b->granted : 0;
}

/* Whether an own repeat is left that isn't reserved for more urgent requests.
 */
static gboolean
may_take_own(repeat_budget_t *b, const repeat_limits_t *limits, guint rank,
             gint64 now_us)
{
    gint64 lifetime_us = limits->window_us / REPEAT_OWN_LIFETIMES;
    limit_tokens_t tokens = {.count = repeat_budget_own(b, limits, now_us),
                             .left_us = lifetime_us,
                             .lifetime_us = lifetime_us};
    return tokens.count > 0 &&
           !limit_share_yields(&b->share, rank, &tokens, now_us);
}

/* The same of granted ones. */
static gboolean
may_take_granted(repeat_budget_t *b, guint rank, gint64 now_us)
{
    limit_tokens_t tokens = {.count = repeat_budget_granted(b, now_us),
                             .left_us = b->granted_until_us - now_us,
                             .lifetime_us = b->granted_lifetime_us};
    return tokens.count > 0 &&
           !limit_share_yields(&b->share, rank, &tokens, now_us);
}

gboolean
repeat_budget_take(repeat_budget_t *b, const repeat_limits_t *limits,
                   guint rank, gint64 now_us)
{
    limit_share_record_wanted(&b->share, rank, now_us);
    if (may_take_own(b, limits, rank, now_us)) {
        b->own[b->own[0] > 0 ? 0 : 1]--; /* the first to expire */
        b->own_spent++;
    }
    else if (may_take_granted(b, rank, now_us)) {
        b->granted--;
        b->granted_spent++;
    }
    else {
        b->unmet++;
        b->refused_us = now_us;
        return FALSE;
    }
    history_slot(b, limits, now_us)->spent++;
    b->taken++;
    b->taken_us = now_us;
    return TRUE;
}

/* Repeats that were refused and are still likely to be needed. */
static guint
unmet(const repeat_budget_t *b, gint64 now_us)
{
    return now_us - b->refused_us < NEED_US ? b->unmet : 0;
}

gboolean
repeat_budget_is_needy(const repeat_budget_t *b, gint64 now_us)
{
    return unmet(b, now_us) > 0 || 2 * b->granted < b->granted_last;
}

static guint32
age_ms(gint64 since_us, gint64 now_us)
{
    return (guint32)CLAMP((now_us - since_us) / 1000, 0, G_MAXUINT32);
}

void
repeat_budget_fill_request(repeat_budget_t *b, repeat_request_t *request,
                           gint64 now_us)
{
    b->granted = repeat_budget_granted(b, now_us);
    request->firsts = b->firsts;
    request->oldest_first_ms = age_ms(b->first_unreported_us, now_us);
    request->newest_first_ms = age_ms(b->first_newest_us, now_us);
    b->first_unsent_us = 0;
    request->own_spent = b->own_spent;
    request->granted_spent = b->granted_spent;
    request->spent_age_ms = age_ms(b->taken_us, now_us);
    request->held = b->granted;
    request->wanted = b->taken + unmet(b, now_us);
    b->taken = 0;
    b->granted_last = 0;
}

void
repeat_budget_history(repeat_budget_t *b, const repeat_limits_t *limits,
                      repeat_slot_t history[REPEAT_HISTORY_MAX], gint64 now_us)
{
    history_slot(b, limits, now_us);
    for (gint64 i = 0; i < REPEAT_HISTORY_MAX; i++) {
        gint64 slot = b->history_slot - i;
        history[i] = slot >= 0 ? b->history[slot % REPEAT_HISTORY_MAX]
                               : (repeat_slot_t){0};
    }
}

void
repeat_budget_apply_grant(repeat_budget_t *b, const repeat_grant_t *grant,
                          gint64 sent_us, gint64 lifetime_us, gint64 now_us)
{
    guint held = repeat_budget_granted(b, now_us);
    b->granted = MIN(held, grant->keep) + grant->granted;
    b->granted_last = b->granted;
    b->granted_until_us = sent_us + lifetime_us;
    b->granted_lifetime_us = lifetime_us;
    b->unmet -= MIN(b->unmet, grant->granted);
    b->first_unreported_us = b->first_unsent_us;
    b->all_spent = grant->spent;
    b->all_allowed = grant->allowed;
    b->answered_us = now_us;
    limit_share_record_granted(&b->share, grant->granted, now_us);
}

void
repeat_budget_drop_grants(repeat_budget_t *b)
{
    b->granted = 0;
}
