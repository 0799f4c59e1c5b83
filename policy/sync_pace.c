#include "carobloom/policy/sync_pace.h"

enum {
    /* Less often the more instances ask, so that the questions of 320 stay
     * under 3 KB a second each. */
    WAIT_MIN_MS = 600,
    WAIT_MAX_MS = 2000,
    WAIT_PER_ENTRY_MS = 20,
    /* The leader is asked more often, since it confirms the configuration.
     * With 320 instances that is 250 calls a second of 0.08 ms at it. */
    LEADER_WAIT_PER_ENTRY_MS = 4,
    /* While nothing is confirmed or the other is only just back; at the
     * leader's pace where many ask, or 291 instances without a configuration
     * keep all control instances too busy to elect a leader. */
    UNHEALTHY_WAIT_MIN_MS = 100,
};

/* Of the bound for a withdrawn key: an instance whose configuration was last
 * confirmed half of it ago is not ready, and an answer may be late. */
static const double CONFIRM_FRACTION = 0.25;

guint32
sync_wait_ms(const sync_pace_t *p)
{
    gint64 leader_ms = (gint64)p->entries * LEADER_WAIT_PER_ENTRY_MS;
    if (!p->healthy) {
        return (guint32)CLAMP(leader_ms, UNHEALTHY_WAIT_MIN_MS, WAIT_MAX_MS);
    }
    if (!p->leads) {
        return (guint32)CLAMP((gint64)p->entries * WAIT_PER_ENTRY_MS,
                              WAIT_MIN_MS, WAIT_MAX_MS);
    }
    gint64 max_ms = p->revocation_bound_ms > 0
                        ? (gint64)(p->revocation_bound_ms * CONFIRM_FRACTION)
                        : WAIT_MAX_MS;
    max_ms = CLAMP(max_ms, WAIT_MIN_MS, WAIT_MAX_MS);
    return (guint32)CLAMP(leader_ms, WAIT_MIN_MS, max_ms);
}
