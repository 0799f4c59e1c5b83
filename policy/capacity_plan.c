#include "carobloom/policy/capacity_plan.h"

#include <math.h>
#include <string.h>

enum {
    MS = 1000,
    /* The peak is held for this time, since bursts recur, and then halves in
     * each further period of this length. */
    PEAK_HOLD_US = 20 * G_USEC_PER_SEC,
    /* Until demand has been seen for this time, the coming load is unknown,
     * and all engines that are cheap are kept ready. */
    LEARNING_US = 8 * G_USEC_PER_SEC,
    /* Minimum fraction, 1/4, of the engines allowed in a data centre that is
     * released at once to make room for reclaimable engines. */
    CROWDED_DIVISOR = 4,
    /* Without demand, the fraction 1/8 of the engines allowed in a data centre
     * stays ordered as on-demand engines until reclaimable engines are ready,
     * to serve the first requests. */
    IDLE_DIVISOR = 8,
};

/* Maximum fraction of time that an engine spends on prefill. A prompt then
 * waits for less than the prefill of one other prompt on average, and streams
 * on the same engine continue. */
static const double PREFILL_FRACTION_MAX = 0.42;
/* Maximum fraction of slots in use, so that a request finds a free slot
 * although the loads of other instances are 0.1 s old. */
static const double SLOTS_FRACTION_MAX = 0.5;
/* Headroom for load that arrives in less time than an engine takes to
 * start. */
static const double BURST_FACTOR = 1.3;
/* Reclaimable engines up to this price, relative to on-demand engines, are
 * kept ready before the load is known. */
static const double CHEAP_PRICE_MAX = 0.5;
/* On-demand engines replace unavailable reclaimable engines only up to this
 * fraction of the engines needed now. On-demand engines cost several times as
 * much, and an engine that comes and goes takes cached prompt parts with it.
 * With a lower fraction most requests would be refused. */
static const double SUBSTITUTE_FRACTION_MAX = 0.4;

/* ---- number of engines ---- */

static double
slots_needed(const service_demand_t *d, guint slots)
{
    /* A request that was turned away would have run as long as the others. */
    double duration_s = d->arrived > 0 ? d->running / d->arrived : 0;
    double slots_demanded = d->running + d->turned_away * MIN(duration_s, 5);
    return slots_demanded / MAX(SLOTS_FRACTION_MAX * slots, 1);
}

static double
needed_by_share(const service_demand_t *d, guint slots)
{
    return slots_needed(d, slots);
}

static double
needed_by_model(const service_demand_t *d, guint slots)
{
    double busy = d->read_tokens / MAX(d->tokens_per_ms * 1000, 1);
    return MAX(busy / PREFILL_FRACTION_MAX, slots_needed(d, slots));
}

static const capacity_estimator_t ESTIMATORS[] = {
    {"model", needed_by_model},
    {"share", needed_by_share},
};

const capacity_estimator_t *
capacity_estimator_find(const char *name)
{
    for (guint i = 0; i < G_N_ELEMENTS(ESTIMATORS); i++) {
        if (strcmp(ESTIMATORS[i].name, name) == 0) {
            return &ESTIMATORS[i];
        }
    }
    return NULL;
}

void
capacity_plan_init(capacity_plan_t *p, const capacity_estimator_t *estimator)
{
    *p = (capacity_plan_t){.estimator = estimator};
}

/* `max_needed` is the highest estimate that engines are available for. A
 * higher peak would order no more engines, but would keep the plan at its
 * maximum for longer after the load has fallen. */
static void
peak_update(capacity_plan_t *p, double max_needed, gint64 now_us)
{
    gint64 step_us = p->updated_us != 0 ? now_us - p->updated_us : 0;
    double needed = MIN(p->needed, max_needed);
    if (needed >= p->peak) {
        p->peak = needed;
        p->peak_us = now_us;
    }
    else if (now_us - p->peak_us > PEAK_HOLD_US) {
        p->peak = MAX(needed, p->peak * exp2(-(double)step_us / PEAK_HOLD_US));
    }
    p->updated_us = now_us;
}

static gboolean
reclaimable_is_cheap(const capacity_bounds_t *b)
{
    return b->reclaimable_price > 0 &&
           b->reclaimable_price <= CHEAP_PRICE_MAX &&
           b->reclaimable_fraction > 0;
}

static guint
engines_ready(const capacity_data_centre_t *data_centres, guint count)
{
    guint ready_total = 0;
    for (guint i = 0; i < count; i++) {
        ready_total += data_centres[i].ready[ENGINES_ON_DEMAND] +
                       data_centres[i].ready[ENGINES_RECLAIMABLE];
    }
    return ready_total;
}

/* Records when demand was first seen. If demand is already there at the first
 * update, as on a new duty holder, the plan keeps the engines that are ready
 * until it has seen demand for LEARNING_US. */
static void
first_demand_update(capacity_plan_t *p, const service_demand_t *demand,
                    const capacity_data_centre_t *data_centres, guint count,
                    gint64 now_us)
{
    if (p->first_demand_us != 0 || demand->arrived <= 0) {
        return;
    }
    p->first_demand_us = now_us;
    if (p->updated_us == 0) {
        p->initial_engines = engines_ready(data_centres, count);
    }
}

/* Number of engines to keep while the coming load is unknown. */
static guint
learning_total(const capacity_plan_t *p, const capacity_bounds_t *b,
               const capacity_data_centre_t *data_centres, guint count)
{
    if (p->initial_engines > 0) {
        return p->initial_engines;
    }
    return reclaimable_is_cheap(b) ? b->max_per_data_centre * count
                                   : engines_ready(data_centres, count);
}

/* Number of engines of both kinds in all data centres. */
static guint
total_engines(const capacity_plan_t *p, const capacity_bounds_t *b,
              const capacity_data_centre_t *data_centres, guint count,
              gint64 now_us)
{
    guint max_total = b->max_per_data_centre * count;
    double total = ceil(p->peak * BURST_FACTOR);
    if (p->first_demand_us == 0 || now_us - p->first_demand_us < LEARNING_US) {
        total = MAX(total, learning_total(p, b, data_centres, count));
    }
    if (b->max_total > 0) {
        max_total = MIN(max_total, b->max_total);
    }
    return (guint)CLAMP(
        total,
        MIN(MAX(b->min_total, b->min_per_data_centre * count), max_total),
        max_total);
}

/* ---- data centre and kind of each engine ---- */

/* Spreads `total` evenly over the data centres, up to `room` in each. Data
 * centres earlier in the order get the remainder. Returns the number of
 * engines that did not fit. */
static guint
spread(guint total, capacity_data_centre_t *data_centres, const guint *room,
       guint count, supply_kind_t kind)
{
    guint left = total;
    gboolean any = TRUE;
    while (left > 0 && any) {
        any = FALSE;
        for (guint i = 0; i < count && left > 0; i++) {
            if (data_centres[i].wanted[kind] < room[i]) {
                data_centres[i].wanted[kind]++;
                left--;
                any = TRUE;
            }
        }
    }
    return left;
}

static gint
by_price(gconstpointer a, gconstpointer b)
{
    const capacity_data_centre_t *x = a;
    const capacity_data_centre_t *y = b;
    if (x->price != y->price) {
        return x->price < y->price ? -1 : 1;
    }
    return strcmp(x->name, y->name);
}

static void
place_engines(const capacity_plan_t *p, const capacity_bounds_t *b,
              capacity_data_centre_t *data_centres, guint count, gint64 now_us)
{
    guint total = p->total;
    guint *room = g_new0(guint, count);
    guint reclaimable = reclaimable_is_cheap(b)
                            ? (guint)(total * b->reclaimable_fraction + 0.5)
                            : 0;
    for (guint i = 0; i < count; i++) {
        data_centres[i].wanted[ENGINES_ON_DEMAND] = 0;
        data_centres[i].wanted[ENGINES_RECLAIMABLE] = 0;
        room[i] = now_us < data_centres[i].unavailable_until_us
                      ? MIN(data_centres[i].ready[ENGINES_RECLAIMABLE],
                            b->max_per_data_centre)
                      : b->max_per_data_centre;
    }
    guint left =
        spread(reclaimable, data_centres, room, count, ENGINES_RECLAIMABLE);
    guint substitutes_max =
        (guint)ceil(MIN(p->needed, total) * SUBSTITUTE_FRACTION_MAX);
    guint missing = substitutes_max - MIN(substitutes_max, total - left);
    for (guint i = 0; i < count; i++) {
        room[i] = b->max_per_data_centre -
                  data_centres[i].wanted[ENGINES_RECLAIMABLE];
    }
    spread(total - reclaimable + MIN(left, missing), data_centres, room, count,
           ENGINES_ON_DEMAND);
    g_free(room);
}

void
capacity_plan_update(capacity_plan_t *p, const capacity_bounds_t *b,
                     const service_demand_t *demand, guint slots,
                     capacity_data_centre_t *data_centres, guint count,
                     gint64 now_us)
{
    p->needed = p->estimator->needed(demand, slots);
    first_demand_update(p, demand, data_centres, count, now_us);
    peak_update(p, b->max_per_data_centre * count / BURST_FACTOR, now_us);
    qsort(data_centres, count, sizeof(*data_centres), by_price);
    p->total = total_engines(p, b, data_centres, count, now_us);
    for (guint i = 0; i < count; i++) {
        data_centres[i].idle = p->first_demand_us == 0;
    }
    place_engines(p, b, data_centres, count, now_us);
}

/* Number of on-demand engines to keep where the wanted reclaimable engines do
 * not fit beside them. Once all reclaimable engines that fit are ready, as
 * many on-demand engines are released as reclaimable engines are ready, and at
 * least 1/CROWDED_DIVISOR of `max_engines`. Without demand, 1/IDLE_DIVISOR of
 * `max_engines` is enough. Both fractions are at least one engine. */
static guint
on_demand_when_crowded(const capacity_data_centre_t *dc, guint max_engines)
{
    guint on_demand = dc->ordered[ENGINES_ON_DEMAND];
    guint batch = MAX(max_engines / CROWDED_DIVISOR, 1);
    guint idle = MAX(max_engines / IDLE_DIVISOR, 1);
    if (dc->idle && on_demand > idle) {
        return idle;
    }
    guint ready = dc->ready[ENGINES_RECLAIMABLE];
    guint room = max_engines - MIN(on_demand, max_engines);
    guint next = MIN(dc->wanted[ENGINES_RECLAIMABLE], room);
    if (dc->ordered[ENGINES_RECLAIMABLE] < next || ready < next) {
        return on_demand;
    }
    return on_demand - MIN(on_demand, MAX(ready, batch));
}

guint
capacity_next_order(const capacity_data_centre_t *dc, supply_kind_t kind,
                    guint max_engines)
{
    guint on_demand = dc->ordered[ENGINES_ON_DEMAND];
    guint wanted = dc->wanted[ENGINES_ON_DEMAND];
    guint reclaimable_wanted = dc->wanted[ENGINES_RECLAIMABLE];
    guint reclaimable_ready = dc->ready[ENGINES_RECLAIMABLE];
    if (kind == ENGINES_RECLAIMABLE) {
        return MIN(reclaimable_wanted,
                   max_engines - MIN(on_demand, max_engines));
    }
    if (wanted >= on_demand) {
        return MIN(wanted, max_engines - MIN(dc->ordered[ENGINES_RECLAIMABLE],
                                             max_engines));
    }
    /* Each ready reclaimable engine releases an on-demand engine. */
    guint missing =
        reclaimable_wanted - MIN(reclaimable_wanted, reclaimable_ready);
    guint target = reclaimable_wanted + on_demand > max_engines
                       ? on_demand_when_crowded(dc, max_engines)
                       : wanted + missing;
    return CLAMP(target, wanted, on_demand);
}
