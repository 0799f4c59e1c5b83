#include "carobloom/policy/duty_lease.h"

enum {
    MS = 1000,
    /* Maximum time from duty_lease_authorize_call to the arrival of the call
     * at the platform: a round trip between data centres and a busy process.
     * The next leader can start 80 ms, a tenth of the election timeout, after
     * the lease ends. */
    ARRIVAL_US = 40 * MS,
    /* A call that is more than this many times `alternation_us` old cannot be
     * the first of calls of A, B and A within that time. */
    RECENT_CALL_FACTOR = 4,
};

void
duty_lease_init(duty_lease_t *l, gint64 alternation_us,
                gboolean first_incarnation, gint64 now_us)
{
    *l = (duty_lease_t){.alternation_us = alternation_us,
                        .last_call_us =
                            first_incarnation ? G_MININT64 : now_us};
}

/* After a recent call and the loss of the lease, another instance may have
 * made calls in between. The instance then waits for `alternation_us`, counted
 * from now, since the other instance may have made a call a moment ago. */
static gint64
start_delay_us(const duty_lease_t *l, gint64 now_us)
{
    gboolean recent =
        l->last_call_us != G_MININT64 &&
        now_us - l->last_call_us < RECENT_CALL_FACTOR * l->alternation_us;
    return recent ? l->alternation_us : 0;
}

gboolean
duty_lease_update(duty_lease_t *l, gboolean leads, guint64 term,
                  gint64 until_us, gint64 now_us)
{
    guint64 token = leads && until_us > now_us ? term : 0;
    gboolean changed = token != l->token;
    if (token != 0 && changed) {
        l->valid_from_us = now_us + start_delay_us(l, now_us);
    }
    l->token = token;
    l->until_us = until_us;
    return changed;
}

guint64
duty_lease_token(const duty_lease_t *l, gint64 now_us)
{
    gboolean holds =
        now_us >= l->valid_from_us && now_us < l->until_us - ARRIVAL_US;
    return holds ? l->token : 0;
}

guint64
duty_lease_authorize_call(duty_lease_t *l, gint64 now_us)
{
    guint64 token = duty_lease_token(l, now_us);
    if (token != 0) {
        l->last_call_us = now_us;
    }
    return token;
}
