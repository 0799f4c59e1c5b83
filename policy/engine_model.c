#include "carobloom/policy/engine_model.h"

#include <math.h>

/* The last few hundred requests determine the estimate. */
static const double DECAY = 0.995;

/* The initial estimate: 50 tokens per ms, within the range of known engines
 * when their batch also gets its share of each step, and 20 ms before the
 * first event. It weighs as much as eight requests. */
static const double PRIOR_WEIGHT = 8;
static const double PRIOR_FIRST_MS = 20;
static const double PRIOR_TOKENS_PER_MS = 50;
/* The initial estimate acts like observations at this many tokens plus and
 * minus as many. */
static const double PRIOR_MEAN_TOKENS = 5000;
/* The estimate stays between 5 and 1,000 tokens per ms in any case. */
static const double TOKENS_PER_MS_MIN = 5;
static const double TOKENS_PER_MS_MAX = 1000;

void
line_fit_add(line_fit_t *f, double x, double y, double decay)
{
    f->weight = f->weight * decay + 1;
    double sample_weight = 1 / f->weight;
    f->x += sample_weight * (x - f->x);
    f->y += sample_weight * (y - f->y);
    f->xx += sample_weight * (x * x - f->xx);
    f->xy += sample_weight * (x * y - f->xy);
}

gboolean
line_fit_get(const line_fit_t *f, double *intercept, double *slope)
{
    double variance = f->xx - f->x * f->x;
    if (f->weight == 0 || variance <= 1e-9) {
        return FALSE;
    }
    *slope = (f->xy - f->x * f->y) / variance;
    *intercept = f->y - *slope * f->x;
    return TRUE;
}

/* A line that weighs like observations at `x` - `spread` and `x` +
 * `spread`. */
static line_fit_t
prior_line(double intercept, double slope, double x, double spread)
{
    line_fit_t fit = {
        .weight = PRIOR_WEIGHT, .x = x, .y = intercept + slope * x};
    fit.xx = x * x + spread * spread;
    fit.xy = intercept * x + slope * fit.xx;
    return fit;
}

void
engine_model_init(engine_model_t *m)
{
    m->first = prior_line(PRIOR_FIRST_MS, 1 / PRIOR_TOKENS_PER_MS,
                          PRIOR_MEAN_TOKENS, PRIOR_MEAN_TOKENS);
}

/* Bounds an outlier to a multiple of the expected time. */
static double
bound_outlier(double ms, double expected_ms)
{
    enum { OUTLIER_FACTOR_MAX = 4 };
    return MIN(ms, OUTLIER_FACTOR_MAX * MAX(expected_ms, 1));
}

void
engine_model_record_first(engine_model_t *m, double tokens, double ms)
{
    double expected = engine_model_first_ms(m, tokens);
    line_fit_add(&m->first, tokens, bound_outlier(ms, expected), DECAY);
}

double
engine_model_tokens_per_ms(const engine_model_t *m)
{
    double intercept = 0;
    double slope = 0;
    line_fit_get(&m->first, &intercept, &slope);
    return slope <= 1 / TOKENS_PER_MS_MAX ? TOKENS_PER_MS_MAX
                                          : MAX(1 / slope, TOKENS_PER_MS_MIN);
}

double
engine_model_first_ms(const engine_model_t *m, double tokens)
{
    double intercept = 0;
    double slope = 0;
    line_fit_get(&m->first, &intercept, &slope);
    return MAX(intercept, 0) + tokens / engine_model_tokens_per_ms(m);
}
