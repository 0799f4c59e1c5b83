/* Token buckets: team rates and retry budgets. */
#ifndef CAROBLOOM_POLICY_LIMITS_H
#define CAROBLOOM_POLICY_LIMITS_H

#include <glib.h>

/* A bucket of `burst` that fills at `rate` a second. */
typedef struct {
    double level;
    gint64 at_us;
    gboolean started;
} bucket_t;

/* Takes `cost`; returns 0 or the microseconds after which it would fit.
 * `rate` of 0 or less means no limit. */
gint64 bucket_take(bucket_t *bucket, double rate, double burst, double cost,
                   gint64 now_us);

/* A retry budget: each first attempt earns a part of a retry, so that a crash
 * of many endpoints can not double the load. */
typedef struct {
    double level;
} retry_budget_t;

enum { RETRY_BUDGET_MAX = 50 };

void retry_budget_earn(retry_budget_t *budget, double ratio);
gboolean retry_budget_take(retry_budget_t *budget);

#endif
