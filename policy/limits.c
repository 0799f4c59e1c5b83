#include "carobloom/policy/limits.h"

gint64
bucket_take(bucket_t *bucket, double rate, double burst, double cost,
            gint64 now_us)
{
    if (rate <= 0) {
        return 0;
    }
    burst = MAX(burst, cost);
    if (!bucket->initialized) {
        *bucket = (bucket_t){
            .level = burst, .refilled_us = now_us, .initialized = TRUE};
    }
    double earned = rate * (double)(now_us - bucket->refilled_us) / 1e6;
    bucket->level = MIN(burst, bucket->level + MAX(earned, 0));
    bucket->refilled_us = MAX(bucket->refilled_us, now_us);
    if (bucket->level >= cost) {
        bucket->level -= cost;
        return 0;
    }
    return (gint64)((cost - bucket->level) / rate * 1e6) + 1;
}

void
retry_budget_earn(retry_budget_t *budget, double ratio)
{
    budget->level = MIN(budget->level + ratio, RETRY_BUDGET_MAX);
}

gboolean
retry_budget_take(retry_budget_t *budget)
{
    if (budget->level < 1) {
        return FALSE;
    }
    budget->level -= 1;
    return TRUE;
}
