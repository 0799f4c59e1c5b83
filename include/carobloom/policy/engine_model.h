/* How fast the engines of a service read prompts, learned from one's own
 * requests.
 *
 * A straight line, fitted with forgetting: the time to a first event over the
 * prompt tokens that had to be read for it. It begins at a cautious guess that
 * weighs as much as a few observations. Pure. */
#ifndef CAROBLOOM_POLICY_ENGINE_MODEL_H
#define CAROBLOOM_POLICY_ENGINE_MODEL_H

#include <glib.h>

/* A line y = at_zero + slope * x through weighted observations; the older, the
 * less they weigh. */
typedef struct {
    double weight;
    double x; /* weighted means */
    double y;
    double xx; /* weighted mean of squares, of products */
    double xy;
} line_fit_t;

void line_fit_add(line_fit_t *fit, double x, double y, double decay);
/* FALSE while nothing tells the slope. */
gboolean line_fit_get(const line_fit_t *fit, double *intercept, double *slope);

typedef struct {
    line_fit_t first; /* ms over tokens */
} engine_model_t;

void engine_model_init(engine_model_t *model);
/* A first event came after `ms`; `tokens` had to be read for it, those of
 * prompts ahead of it included. */
void engine_model_record_first(engine_model_t *model, double tokens,
                               double ms);
/* Expected time to a first event, in ms, at an endpoint of usual speed. */
double engine_model_first_ms(const engine_model_t *model, double tokens);
/* Prompt tokens read in a ms. */
double engine_model_tokens_per_ms(const engine_model_t *model);

#endif
