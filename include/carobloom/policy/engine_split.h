/* Divides the engines of a service between long and short prompts.
 *
 * Follows the requests of all entry instances, which the control instances
 * report 100 to 250 ms late. All instances get the same reports, so their
 * partition boundaries differ by one engine at most. Pure. */
#ifndef CAROBLOOM_POLICY_ENGINE_SPLIT_H
#define CAROBLOOM_POLICY_ENGINE_SPLIT_H

#include <glib.h>

/* Requests for prompts of one kind, long or short, in flight at a service from
 * all entry instances. */
typedef struct {
    guint running;
    guint64 waiting_tokens; /* to be read before their first events */
    gint64 target_ms;       /* objective of the first event; 0: unknown */
    gint64 pause_ms;        /* objective of pauses in streams; 0: none */
    double arrivals_per_s;
    double prompt_tokens; /* mean of a request */
    guint priority; /* of the most urgent requests; 0 is the most urgent */
} kind_load_t;

typedef struct {
    guint engines;        /* that take requests */
    guint slots;          /* of one engine */
    double tokens_per_ms; /* read by one engine */
    kind_load_t long_prompts;
    kind_load_t short_prompts;
} split_demand_t;

typedef struct {
    double smoothed;   /* wanted fraction for long prompts, smoothed */
    double applied;    /* in force; follows `smoothed` by whole engines */
    gint64 updated_us; /* last update; 0: none yet */
} engine_split_t;

/* The fraction of the engines for long prompts. Before any load is known, it
 * suits either kind of load. */
double engine_split_long_fraction(const engine_split_t *split);
void engine_split_update(engine_split_t *split, const split_demand_t *demand,
                         gint64 now_us);

#endif
