/* Spreads the retries of callers that were refused because of endpoint limits:
 * they return one after the other, at the rate at which the endpoints accept
 * requests. Pure. */
#ifndef CAROBLOOM_POLICY_LIMIT_RETRY_H
#define CAROBLOOM_POLICY_LIMIT_RETRY_H

#include <glib.h>

typedef struct {
    gint64 last_retry_us; /* when the latest refused caller is to retry */
} limit_retry_t;

/* Returns how long the next refused caller should wait, in ms. `rate` is the
 * number of requests per second that the endpoints accept from this instance;
 * `draw` is random, 0 to 1. */
gint limit_retry_ms(limit_retry_t *retry, double rate, double draw,
                    gint64 now_us);

#endif
