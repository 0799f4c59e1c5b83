#include "carobloom/policy/sync_pace.h"

enum {
    /* The wait grows with the number of entry instances. With 320 entry
     * instances the polls of each of them stay under 3 KB per second. */
    WAIT_MIN_MS = 600,
    WAIT_MAX_MS = 2000,
    WAIT_PER_ENTRY_MS = 20,
    /* The leader is polled more often, since it confirms the configuration.
     * With 320 instances the leader gets 250 polls per second, which take 0.08
     * ms each. */
    LEADER_WAIT_PER_ENTRY_MS = 4,
    /* Minimum wait while the configuration is not confirmed or the polled
     * instance has only just come back. With many entry instances the wait is
     * that of polls at the leader: otherwise 291 instances without a
     * configuration keep all control instances too busy to elect a leader. */
    UNHEALTHY_WAIT_MIN_MS = 100,
    /* A round trip between regions, and the delay of a busy control instance,
     * which grows with the number of entry instances that poll it. */
    OVERDUE_MIN_MS = 300,
    OVERDUE_PER_ENTRY_MS = 1,
};

/* Maximum wait at the leader, as a fraction of the revocation bound. An entry
 * instance is not ready once half of the bound has passed since its
 * configuration was last confirmed; a wait of a quarter leaves time for an
 * answer that is delayed. */
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

guint32
sync_overdue_ms(guint entries)
{
    return OVERDUE_MIN_MS + entries * OVERDUE_PER_ENTRY_MS;
}
