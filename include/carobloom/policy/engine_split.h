/* How many engines of a service are for long prompts.
 *
 * Follows the requests of all entry instances, told by the control instances
 * 100 to 250 ms late. What is told is the same at all instances, so they agree
 * on the border to within one engine. Pure. */
#ifndef CAROBLOOM_POLICY_ENGINE_SPLIT_H
#define CAROBLOOM_POLICY_ENGINE_SPLIT_H

#include <glib.h>

/* Requests of one kind under way at a service, of all entry instances. */
typedef struct {
    guint running;
    guint64 waiting_tokens; /* to be read before their first events */
    gint64 target_ms;       /* objective of the first event; 0: not known */
    gint64 pause_ms;        /* objective of pauses; 0: none */
    double arrivals_per_s;  /* that arrive */
    double prompt_tokens;   /* of one, on average */
    guint priority;         /* of its most urgent requests; 0 first */
} kind_load_t;

typedef struct {
    guint engines;        /* that take work */
    guint slots;          /* of one */
    double tokens_per_ms; /* that one reads */
    kind_load_t long_prompts;
    kind_load_t short_prompts;
} split_demand_t;

typedef struct {
    double smoothed;   /* wanted for long prompts, smoothed */
    double applied;    /* in force: follows `part` in whole engines */
    gint64 updated_us; /* of the last update; 0: none yet */
} engine_split_t;

/* The part of the engines that long prompts get; before any load is known, one
 * that suits either kind. */
double engine_split_long_fraction(const engine_split_t *split);
void engine_split_update(engine_split_t *split, const split_demand_t *demand,
                         gint64 now_us);

#endif
