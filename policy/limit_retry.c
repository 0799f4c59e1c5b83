#include "carobloom/policy/limit_retry.h"

enum {
    MS = 1000,
    WAIT_MIN_MS = 200,
    /* Callers wait a third of their time at most; one that was told more
     * comes back no later. */
    WAIT_MAX_MS = 5000,
};

gint
limit_retry_ms(limit_retry_t *r, double rate, double draw, gint64 now_us)
{
    double interval_ms = MIN(1000 / MAX(rate, 0.001), WAIT_MAX_MS);
    gint64 first_us = now_us + (gint64)WAIT_MIN_MS * MS;
    r->next_us =
        MAX(r->next_us, first_us) + (gint64)(interval_ms * draw * 2 * MS);
    gint64 wait_ms = (r->next_us - now_us) / MS;
    if (wait_ms <= WAIT_MAX_MS) {
        return (gint)wait_ms;
    }
    /* More were refused than can come back in that time: they are spread over
     * it, and the last one is not put off further. */
    r->next_us = now_us + (gint64)WAIT_MAX_MS * MS;
    return (gint)(WAIT_MIN_MS + draw * (WAIT_MAX_MS - WAIT_MIN_MS));
}
