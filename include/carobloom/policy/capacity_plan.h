/* How many engines of a service stand in each data centre, and at which price.
 *
 * Two kinds are ordered: kept ones, which stay until they are no longer
 * ordered, and reclaimable ones, which cost less and may all be taken from a
 * data centre at once, at a notice shorter than an engine takes to start.
 * The plan answers loads that multiply within less than that time: it holds
 * what the highest load of late asked for, goes up at once and down slowly.
 * Pure. */
#ifndef CAROBLOOM_POLICY_CAPACITY_PLAN_H
#define CAROBLOOM_POLICY_CAPACITY_PLAN_H

#include "carobloom/policy/capacity_demand.h"

typedef enum {
    ENGINES_ON_DEMAND,
    ENGINES_RECLAIMABLE,
    ENGINES_KINDS,
} supply_kind_t;

/* A data centre that may have engines of the service. */
typedef struct {
    char *name;
    double price;                 /* of a kept engine there, a second */
    guint ready[ENGINES_KINDS];   /* that take work now */
    guint ordered[ENGINES_KINDS]; /* as the platform last took it */
    guint wanted[ENGINES_KINDS];  /* the plan */
    gboolean idle;                /* no demand was seen yet */
    gint64 unavailable_until_us;  /* no reclaimable ones are to be had until
                                     then */
} capacity_data_centre_t;

/* What an operator and the platform allow. */
typedef struct {
    guint min_per_data_centre; /* in one data centre, both kinds together */
    guint max_per_data_centre;
    guint min_total;          /* in all */
    guint max_total;          /* in all; 0: none */
    double reclaimable_price; /* in parts of a kept one's; 0: none are had */
    double reclaimable_fraction; /* of what is ordered, at most */
} capacity_bounds_t;

/* Way to work out how many are needed; see capacity_estimator_find. */
typedef struct {
    const char *name;
    /* Engines that serve the demand well, of so many slots each. */
    double (*needed)(const service_demand_t *demand, guint slots);
} capacity_estimator_t;

typedef struct {
    const capacity_estimator_t *estimator;
    double needed; /* by the demand now */
    double peak;   /* the highest of late, that is planned for */
    gint64 peak_us;
    gint64 updated_us;
    gint64 first_demand_us; /* when demand was first seen; 0: not yet */
    guint initial_engines;  /* that stood when it began amid demand; 0: it did
                               not */
    guint total;            /* engines planned */
} capacity_plan_t;

/* "model": by the reading that is asked for and the slots taken. "share": by
 * the slots alone. NULL for no such way. */
const capacity_estimator_t *capacity_estimator_find(const char *name);
void capacity_plan_init(capacity_plan_t *plan,
                        const capacity_estimator_t *estimator);
/* Takes the demand as it is now and fills in `wanted` of each place;
 * `slots` are those of one engine. */
void capacity_plan_update(capacity_plan_t *plan,
                          const capacity_bounds_t *bounds,
                          const service_demand_t *demand, guint slots,
                          capacity_data_centre_t *data_centres, guint count,
                          gint64 now_us);
/* What is to be ordered now of one kind at a place, on the way to what is
 * wanted: reclaimable engines that came up let kept ones go, and both together
 * never exceed what the platform allows there. */
guint capacity_next_order(const capacity_data_centre_t *data_centre,
                          supply_kind_t kind, guint max_engines);

#endif
