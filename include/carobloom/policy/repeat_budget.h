/* Budget for repeats, per service: what one entry instance may spend. A repeat
 * is a further send of a request by the same entry instance, to another
 * endpoint.
 *
 * Unlike a retry_budget_t (limits.h), which each instance keeps for itself,
 * the budget bounds the repeats of all instances together, in any window. An
 * instance spends from two sources:
 *
 * - its own part: a fraction of a repeat for each of its first sends, to be
 *   used within a short time. It needs no other process and no memory of what
 *   was spent before, so it holds over starts, wrong counts and freezes.
 * - grants of the rest of the budget by the control instance that leads
 *   (repeat_quota.h), which are requested ahead of time and expire.
 *
 * Times are clock_boot_us: a process that was frozen finds its grants expired.
 * Pure. */
#ifndef CAROBLOOM_POLICY_REPEAT_BUDGET_H
#define CAROBLOOM_POLICY_REPEAT_BUDGET_H

#include "carobloom/policy/limit_share.h"

/* Fraction of the ratio that instances spend as their own part. */
#define REPEAT_OWN_FRACTION 0.6

enum {
    /* An own repeat is usable for at most 1 / REPEAT_OWN_LIFETIMES of the
     * window. */
    REPEAT_OWN_LIFETIMES = 80,
    /* Slots of the window in the history of an instance, and the current one.
     */
    REPEAT_HISTORY_SLOTS = 20,
    REPEAT_HISTORY_MAX = REPEAT_HISTORY_SLOTS + 1,
};

typedef struct {
    gint64 window_us; /* sliding window to which the budget applies */
    double ratio;     /* repeats per first send */
    double slack;     /* additional repeats of all instances together */
} repeat_limits_t;

/* First sends and repeats of an instance in one slot of the window. */
typedef struct {
    guint32 firsts;
    guint32 spent;
} repeat_slot_t;

/* Initialise with repeat_budget_init. */
typedef struct {
    double fraction; /* of the next own repeat */
    /* own repeats by the slot in which they were earned: previous, current */
    guint own[2];
    gint64 own_slot;
    guint granted;
    guint granted_last; /* the same after the last answer */
    gint64 granted_until_us;
    gint64 granted_lifetime_us;
    /* totals since the start of the process; they wrap around */
    guint32 firsts;
    guint32 own_spent;
    guint32 granted_spent;
    /* oldest first send since the last answer, and since the last request; 0:
     * none. And the newest one. */
    gint64 first_unreported_us;
    gint64 first_unsent_us;
    gint64 first_newest_us;
    guint32 taken; /* since the last request */
    gint64 taken_us;
    guint32 unmet; /* refused since the last grant */
    gint64 refused_us;
    limit_share_t share;
    repeat_slot_t history[REPEAT_HISTORY_MAX]; /* by slot modulo its size */
    gint64 history_slot;
    /* of all instances in the last window, from the grantor's last answer */
    guint32 all_spent;
    guint32 all_allowed;
    gint64 answered_us; /* time of that answer; 0: none yet */
    gint64 logged_us;   /* when a refused repeat was last logged */
} repeat_budget_t;

/* What an instance reports to the grantor, and wants of it. */
typedef struct {
    guint64 service; /* hash of its name */
    guint32 firsts;
    /* ages of the oldest and the newest of those not reported before */
    guint32 oldest_first_ms;
    guint32 newest_first_ms;
    guint32 own_spent;
    guint32 granted_spent;
    guint32 spent_age_ms; /* since the last repeat was taken */
    guint32 held;         /* grants that may still be used */
    guint32 wanted;       /* repeats that were taken or refused of late */
} repeat_request_t;

/* The answer of the grantor. */
typedef struct {
    guint64 service;
    guint32 granted; /* in addition to those held */
    guint32 keep;    /* of those held; the others are returned */
    guint32 spent;   /* by all instances in the last window */
    guint32 allowed; /* for all instances in it */
    /* Refusals per second that each endpoint of the service allows; -1: they
     * are not known to be brittle. */
    double brittle;
} repeat_grant_t;

/* `phase`, from 0 to 1, is random: the fractions of many instances then add up
 * to the same as those of one. */
void repeat_budget_init(repeat_budget_t *budget, double phase);
/* Records the first send of a request. */
void repeat_budget_record_first(repeat_budget_t *budget,
                                const repeat_limits_t *limits, gint64 now_us);
/* Takes one repeat for a request of this rank (0 is the most urgent). FALSE:
 * none is left, or what is left is reserved for more urgent requests. */
gboolean repeat_budget_take(repeat_budget_t *budget,
                            const repeat_limits_t *limits, guint rank,
                            gint64 now_us);
/* Number of own and of granted repeats that may be used now. */
guint repeat_budget_own(repeat_budget_t *budget, const repeat_limits_t *limits,
                        gint64 now_us);
guint repeat_budget_granted(const repeat_budget_t *budget, gint64 now_us);
/* Whether grants should be requested at once: repeats were refused of late, or
 * most of the grants are spent. */
gboolean repeat_budget_is_needy(const repeat_budget_t *budget, gint64 now_us);
/* Fills the next request to the grantor. */
void repeat_budget_fill_request(repeat_budget_t *budget,
                                repeat_request_t *request, gint64 now_us);
/* Copies the history of the last window, the current slot first. */
void repeat_budget_history(repeat_budget_t *budget,
                           const repeat_limits_t *limits,
                           repeat_slot_t history[REPEAT_HISTORY_MAX],
                           gint64 now_us);
/* Applies the answer to a request that was sent at `sent_us`. All grants are
 * then usable until `lifetime_us` after that. */
void repeat_budget_apply_grant(repeat_budget_t *budget,
                               const repeat_grant_t *grant, gint64 sent_us,
                               gint64 lifetime_us, gint64 now_us);
/* Drops all grants. To be called before the first request to another grantor,
 * which doesn't know of them. */
void repeat_budget_drop_grants(repeat_budget_t *budget);

#endif
