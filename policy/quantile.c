#include "carobloom/policy/quantile.h"

#include <math.h>

enum { DECAY_WEIGHT = 400 };
static const double TRIMMED_FRACTION = 0.95;

static int
bucket_of(double value)
{
    if (value <= 1) {
        return 0;
    }
    return MIN((int)(2 * log2(value)) + 1, QUANTILE_BUCKETS - 1);
}

/* The geometric middle of a bucket. */
static double
bucket_value(int bucket)
{
    return bucket == 0 ? 1 : exp2(((double)bucket - 0.5) / 2);
}

void
quantile_add(quantile_t *quantile, double value)
{
    if (quantile->total >= DECAY_WEIGHT) {
        for (int i = 0; i < QUANTILE_BUCKETS; i++) {
            quantile->weights[i] /= 2;
        }
        quantile->total /= 2;
    }
    quantile->weights[bucket_of(value)] += 1;
    quantile->total += 1;
}

double
quantile_get(const quantile_t *quantile, double q, double fallback)
{
    if (quantile->total < 1) {
        return fallback;
    }
    double remaining = q * quantile->total;
    for (int i = 0; i < QUANTILE_BUCKETS; i++) {
        remaining -= quantile->weights[i];
        if (remaining <= 0) {
            return bucket_value(i);
        }
    }
    return bucket_value(QUANTILE_BUCKETS - 1);
}

double
quantile_trimmed_mean(const quantile_t *quantile, double fallback)
{
    if (quantile->total < 1) {
        return fallback;
    }
    double remaining = TRIMMED_FRACTION * quantile->total;
    double sum = 0;
    double weight = 0;
    for (int i = 0; i < QUANTILE_BUCKETS && remaining > 0; i++) {
        double weight_taken = MIN(remaining, quantile->weights[i]);
        sum += weight_taken * bucket_value(i);
        weight += weight_taken;
        remaining -= weight_taken;
    }
    return weight > 0 ? sum / weight : fallback;
}
