/* Online quantiles of positive values, in log-spaced buckets with decay.
 *
 * Two buckets per doubling, from 1 to 2^20: a quantile is accurate to a factor
 * of 1.42. Old samples lose weight as new ones arrive. */
#ifndef CAROBLOOM_POLICY_QUANTILE_H
#define CAROBLOOM_POLICY_QUANTILE_H

#include <glib.h>

enum { QUANTILE_BUCKETS = 41 };

typedef struct {
    float weights[QUANTILE_BUCKETS];
    float total;
} quantile_t;

void quantile_add(quantile_t *quantile, double value);
/* The value below which the fraction `q` of the samples lies; `fallback`
 * without samples. */
double quantile_get(const quantile_t *quantile, double q, double fallback);
/* The mean of the samples below the 95th percentile, for adding up queues. */
double quantile_trimmed_mean(const quantile_t *quantile, double fallback);

#endif
