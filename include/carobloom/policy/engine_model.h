/* Estimates how fast the engines of a service read prompts, from this
 * instance's own requests.
 *
 * Fits a straight line with exponential decay to the time to the first event
 * as a function of the prompt tokens that had to be read for it. The initial
 * estimate is cautious and weighs as much as a few observations. Pure. */
#ifndef CAROBLOOM_POLICY_ENGINE_MODEL_H
#define CAROBLOOM_POLICY_ENGINE_MODEL_H

#include <glib.h>

/* A line y = intercept + slope * x fitted to weighted observations; the weight
 * of an observation decays as later ones are added. */
typedef struct {
    double weight;
    double x; /* weighted means */
    double y;
    double xx; /* weighted means of squares and products */
    double xy;
} line_fit_t;

void line_fit_add(line_fit_t *fit, double x, double y, double decay);
/* FALSE while the observations don't determine the slope. */
gboolean line_fit_get(const line_fit_t *fit, double *intercept, double *slope);

typedef struct {
    line_fit_t first; /* ms to the first event, by tokens to be read */
} engine_model_t;

void engine_model_init(engine_model_t *model);
/* Records that a first event came after `ms`. `tokens` had to be read for it,
 * including those of prompts queued ahead of it. */
void engine_model_record_first(engine_model_t *model, double tokens,
                               double ms);
/* Expected time to the first event, in ms, at an endpoint of average speed. */
double engine_model_first_ms(const engine_model_t *model, double tokens);
/* Prompt tokens that an engine reads per ms. */
double engine_model_tokens_per_ms(const engine_model_t *model);

#endif
