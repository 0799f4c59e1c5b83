/* Plans how many engines of a service to order in each data centre, and of
 * which kind.
 *
 * On-demand engines stay until they are no longer ordered. Reclaimable engines
 * cost less, but the platform may take back all of them in a data centre at
 * once, with a notice that is shorter than the start of an engine. Load can
 * multiply in less time than an engine takes to start. The plan therefore
 * covers the highest recent load: it scales up at once and down slowly.
 * Pure. */
#ifndef CAROBLOOM_POLICY_CAPACITY_PLAN_H
#define CAROBLOOM_POLICY_CAPACITY_PLAN_H

#include "carobloom/policy/capacity_demand.h"

/* Kinds of engines that can be ordered. */
typedef enum {
    ENGINES_ON_DEMAND,
    ENGINES_RECLAIMABLE,
    ENGINES_KINDS,
} supply_kind_t;

/* Capacity of one data centre that may have engines of the service. */
typedef struct {
    char *name;
    double price;                 /* of an on-demand engine, per second */
    guint ready[ENGINES_KINDS];   /* engines that take requests now */
    guint ordered[ENGINES_KINDS]; /* in the last order that was accepted */
    guint wanted[ENGINES_KINDS];  /* engines in the plan */
    gboolean idle;                /* no demand since the plan began */
    gint64 unavailable_until_us;  /* no reclaimable engines until then */
} capacity_data_centre_t;

/* Bounds set by the operator and the platform. */
typedef struct {
    guint min_per_data_centre; /* both kinds together */
    guint max_per_data_centre;
    guint min_total;             /* over all data centres */
    guint max_total;             /* over all data centres; 0: no maximum */
    double reclaimable_price;    /* fraction of on-demand; 0: none */
    double reclaimable_fraction; /* maximum fraction of the ordered engines */
} capacity_bounds_t;

/* Estimates how many engines are needed; see capacity_estimator_find. */
typedef struct {
    const char *name;
    /* Engines, with `slots` each, that serve the demand well. */
    double (*needed)(const service_demand_t *demand, guint slots);
} capacity_estimator_t;

/* Plan of one service over all data centres. */
typedef struct {
    const capacity_estimator_t *estimator;
    double needed; /* estimate for the current demand */
    double peak;   /* highest recent estimate, which the plan covers */
    gint64 peak_us;
    gint64 updated_us;
    gint64 first_demand_us; /* when demand was first seen; 0: not yet */
    /* Engines ready when a plan began while demand was already there, as on a
     * new duty holder; otherwise 0. */
    guint initial_engines;
    guint total; /* engines planned, both kinds */
} capacity_plan_t;

/* "model": estimates from the prefill work and the slots in use. "share":
 * estimates from the slots alone. Returns NULL for an unknown name. */
const capacity_estimator_t *capacity_estimator_find(const char *name);
/* Starts a plan without demand or engines. */
void capacity_plan_init(capacity_plan_t *plan,
                        const capacity_estimator_t *estimator);
/* Updates the plan for the current demand and sets `wanted` of each data
 * centre. `slots` are those of one engine. Sorts `data_centres` by price. */
void capacity_plan_update(capacity_plan_t *plan,
                          const capacity_bounds_t *bounds,
                          const service_demand_t *demand, guint slots,
                          capacity_data_centre_t *data_centres, guint count,
                          gint64 now_us);
/* Returns the number of engines of one kind to order now in a data centre, as
 * a step towards the plan. On-demand engines are released as reclaimable
 * engines become ready, and both kinds together never exceed `max_engines`. */
guint capacity_next_order(const capacity_data_centre_t *data_centre,
                          supply_kind_t kind, guint max_engines);

#endif
