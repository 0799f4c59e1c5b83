#include "carobloom/policy/endpoint_rest.h"

enum {
    MS = 1000,
    SECOND_US = 1000 * MS,
    /* Longest delay after the end of a rest. Shorter rests have a shorter
     * one. */
    DELAY_MAX_US = 250 * MS,
    DELAY_DIVISOR = 4, /* the delay is at most the rest divided by this */
    /* While an endpoint refuses, each of its answers asks for rest again and
     * prolongs it by a few milliseconds. */
    PROLONGED_MIN_US = 250 * MS,
};

rest_change_t
endpoint_rest_record(endpoint_rest_t *r, double seconds, double draw,
                     gint64 now_us)
{
    gint64 asked_us = (gint64)(MIN(seconds, REST_MAX_S) * SECOND_US);
    gboolean active = endpoint_rest_is_active(r, now_us);
    if (asked_us <= 0) {
        return REST_UNCHANGED;
    }
    if (!active) {
        r->delay_fraction = draw;
    }
    gint64 delay_max_us = MIN(asked_us / DELAY_DIVISOR, DELAY_MAX_US);
    gint64 until_us =
        now_us + asked_us + (gint64)(r->delay_fraction * (double)delay_max_us);
    if (active && until_us <= r->until_us) {
        return REST_UNCHANGED;
    }
    r->until_us = until_us;
    r->asked_ms = asked_us / MS;
    if (active && until_us - r->logged_until_us < PROLONGED_MIN_US) {
        return REST_UNCHANGED;
    }
    r->logged_until_us = until_us;
    return active ? REST_PROLONGED : REST_BEGUN;
}

gboolean
endpoint_rest_is_active(const endpoint_rest_t *r, gint64 now_us)
{
    return now_us < r->until_us;
}

gint64
endpoint_rest_left_us(const endpoint_rest_t *r, gint64 now_us)
{
    return MAX(r->until_us - now_us, 0);
}
