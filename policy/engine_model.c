#include "carobloom/policy/engine_model.h"

#include <math.h>

/* The last few hundred requests count. */
static const double FORGET = 0.995;

/* The guess at the start: 50 tokens a ms, within the speeds of engines met so
 * far once their batch has its part, and 20 ms before the first event. As much
 * as eight requests. */
static const double GUESS_WEIGHT = 8;
static const double GUESS_FIRST_MS = 20;
static const double GUESS_TOKENS_A_MS = 50;
/* Tokens on either side of which the guess is spread. */
static const double GUESS_TOKENS = 5000;
/* Whatever is observed, an engine reads between 5 and 1,000 tokens a ms. */
static const double TOKENS_LEAST = 5;
static const double TOKENS_MOST = 1000;

void
line_fit_add(line_fit_t *f, double x, double y, double forget)
{
    f->weight = f->weight * forget + 1;
    double part = 1 / f->weight;
    f->x += part * (x - f->x);
    f->y += part * (y - f->y);
    f->xx += part * (x * x - f->xx);
    f->xy += part * (x * y - f->xy);
}

gboolean
line_fit_get(const line_fit_t *f, double *at_zero, double *slope)
{
    double variance = f->xx - f->x * f->x;
    if (f->weight == 0 || variance <= 1e-9) {
        return FALSE;
    }
    *slope = (f->xy - f->x * f->y) / variance;
    *at_zero = f->y - *slope * f->x;
    return TRUE;
}

/* A guess that weighs like observations at `x` - `spread` and + `spread`. */
static line_fit_t
guess_line(double at_zero, double slope, double x, double spread)
{
    line_fit_t fit = {
        .weight = GUESS_WEIGHT, .x = x, .y = at_zero + slope * x};
    fit.xx = x * x + spread * spread;
    fit.xy = at_zero * x + slope * fit.xx;
    return fit;
}

void
engine_model_init(engine_model_t *m)
{
    m->first = guess_line(GUESS_FIRST_MS, 1 / GUESS_TOKENS_A_MS, GUESS_TOKENS,
                          GUESS_TOKENS);
}

/* An outlier pulls no harder than several times what was expected. */
static double
bounded(double ms, double expected_ms)
{
    enum { OUTLIER = 4 };
    return MIN(ms, OUTLIER * MAX(expected_ms, 1));
}

void
engine_model_record_first(engine_model_t *m, double tokens, double ms)
{
    double expected = engine_model_first_ms(m, tokens);
    line_fit_add(&m->first, tokens, bounded(ms, expected), FORGET);
}

double
engine_model_tokens_per_ms(const engine_model_t *m)
{
    double at_zero = 0;
    double slope = 0;
    line_fit_get(&m->first, &at_zero, &slope);
    return slope <= 1 / TOKENS_MOST ? TOKENS_MOST
                                    : MAX(1 / slope, TOKENS_LEAST);
}

double
engine_model_first_ms(const engine_model_t *m, double tokens)
{
    double at_zero = 0;
    double slope = 0;
    line_fit_get(&m->first, &at_zero, &slope);
    return MAX(at_zero, 0) + tokens / engine_model_tokens_per_ms(m);
}
