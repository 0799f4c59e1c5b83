/* Token buckets: rates of teams, and retry budgets. */
#ifndef CAROBLOOM_POLICY_LIMITS_H
#define CAROBLOOM_POLICY_LIMITS_H

#include <glib.h>

/* A token bucket of size `burst` that refills at `rate` per second. */
typedef struct {
    double level;
    gint64 refilled_us;
    gboolean initialized;
} bucket_t;

/* Takes `cost` tokens and returns 0, or returns the microseconds until that
 * many are available. A `rate` of 0 or less means no limit. */
gint64 bucket_take(bucket_t *bucket, double rate, double burst, double cost,
                   gint64 now_us);

/* A retry budget. Each first attempt earns a fraction of a retry, so that a
 * crash of many endpoints can't double the load. */
typedef struct {
    double level;
} retry_budget_t;

enum { RETRY_BUDGET_MAX = 50 };

/* Adds `ratio` retries for a first attempt, up to RETRY_BUDGET_MAX. */
void retry_budget_earn(retry_budget_t *budget, double ratio);
/* Takes one retry; FALSE when the budget is spent. */
gboolean retry_budget_take(retry_budget_t *budget);

#endif
