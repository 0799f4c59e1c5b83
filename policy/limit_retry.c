#include "carobloom/policy/limit_retry.h"

enum {
    US_PER_MS = 1000,
    WAIT_MIN_MS = 200,
    /* Callers cap the delay at a third of their timeout, which is assumed to
     * be 15 s. A longer delay would have no effect. */
    WAIT_MAX_MS = 5000,
};

gint
limit_retry_ms(limit_retry_t *r, double rate, double draw, gint64 now_us)
{
    double interval_ms = MIN(1000 / MAX(rate, 0.001), WAIT_MAX_MS);
    gint64 earliest_us = now_us + (gint64)WAIT_MIN_MS * US_PER_MS;
    r->last_retry_us = MAX(r->last_retry_us, earliest_us) +
                       (gint64)(interval_ms * draw * 2 * US_PER_MS);
    gint64 wait_ms = (r->last_retry_us - now_us) / US_PER_MS;
    if (wait_ms <= WAIT_MAX_MS) {
        return (gint)wait_ms;
    }
    /* More callers were refused than can retry within WAIT_MAX_MS: their
     * retries are spread over that time, and the last is not delayed further.
     */
    r->last_retry_us = now_us + (gint64)WAIT_MAX_MS * US_PER_MS;
    return (gint)(WAIT_MIN_MS + draw * (WAIT_MAX_MS - WAIT_MIN_MS));
}
