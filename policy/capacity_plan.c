#include "carobloom/policy/capacity_plan.h"

#include <math.h>
#include <string.h>

enum {
    MS = 1000,
    /* The highest need is held for so long, since bursts come again, and then
     * falls by half in the same time. */
    PEAK_HELD_US = 20 * G_USEC_PER_SEC,
    /* Before so much demand was seen, what may come is not known: all that is
     * cheap stands ready. */
    UNKNOWN_US = 8 * G_USEC_PER_SEC,
    /* Of what a data centre may have, let go at once to make room. */
    CROWD_PARTS = 4,
    /* And kept while nobody asks for anything, until reclaimable ones are up:
     * a few, should somebody ask in that time. */
    IDLE_PARTS = 8,
};

/* Engines read for such a part of their time at most: a prompt then waits for
 * less than another one is read in, on average, and streams beside it go on.
 */
static const double READ_PART = 0.42;
/* And such a part of their slots is taken, so that a place is found although
 * what is known of the others is a tenth of a second old. */
static const double SLOTS_PART = 0.5;
/* On top, for what comes in less time than an engine takes to start. */
static const double BURST_TIMES = 1.3;
/* Reclaimable engines up to this price are cheap enough to stand ready before
 * anything is known. */
static const double CHEAP_PRICE = 0.5;
/* Kept engines stand in for reclaimable ones that are not to be had only up to
 * such a part of what is needed now: they cost several times as much, and each
 * engine that comes and goes takes prompt parts with it. With less than that
 * most requests would be refused. */
static const double KEPT_PART = 0.4;

/* ---- how many ---- */

static double
slots_needed(const service_demand_t *d, guint slots)
{
    /* What was turned away would have stayed as long as the others do. */
    double stay_s = d->arrived > 0 ? d->running / d->arrived : 0;
    double asked = d->running + d->turned_away * MIN(stay_s, 5);
    return asked / MAX(SLOTS_PART * slots, 1);
}

static double
needed_by_share(const service_demand_t *d, guint slots)
{
    return slots_needed(d, slots);
}

static double
needed_by_model(const service_demand_t *d, guint slots)
{
    double busy = d->read_tokens / MAX(d->tokens_a_ms * 1000, 1);
    return MAX(busy / READ_PART, slots_needed(d, slots));
}

static const capacity_way_t WAYS[] = {
    {"model", needed_by_model},
    {"share", needed_by_share},
};

const capacity_way_t *
capacity_way_find(const char *name)
{
    for (guint i = 0; i < G_N_ELEMENTS(WAYS); i++) {
        if (strcmp(WAYS[i].name, name) == 0) {
            return &WAYS[i];
        }
    }
    return NULL;
}

void
capacity_plan_init(capacity_plan_t *p, const capacity_way_t *way)
{
    *p = (capacity_plan_t){.way = way};
}

/* `most`: the highest need that engines can be had for. One beyond it would be
 * held long after it can change anything. */
static void
peak_update(capacity_plan_t *p, double most, gint64 now_us)
{
    gint64 step_us = p->at_us != 0 ? now_us - p->at_us : 0;
    double needed = MIN(p->needed, most);
    if (needed >= p->peak) {
        p->peak = needed;
        p->peak_us = now_us;
    }
    else if (now_us - p->peak_us > PEAK_HELD_US) {
        p->peak = MAX(needed, p->peak * exp2(-(double)step_us / PEAK_HELD_US));
    }
    p->at_us = now_us;
}

static gboolean
is_cheap(const capacity_bounds_t *b)
{
    return b->reclaimable_price > 0 && b->reclaimable_price <= CHEAP_PRICE &&
           b->reclaimable_part > 0;
}

static guint
present_at(const capacity_place_t *places, guint count)
{
    guint present = 0;
    for (guint i = 0; i < count; i++) {
        present += places[i].ready[ENGINES_KEPT] +
                   places[i].ready[ENGINES_RECLAIMABLE];
    }
    return present;
}

/* Notes when demand was first seen. A plan that begins in the middle of it,
 * with a new holder, keeps what stands until it has seen enough itself. */
static void
seen_update(capacity_plan_t *p, const service_demand_t *demand,
            const capacity_place_t *places, guint count, gint64 now_us)
{
    if (p->seen_us != 0 || demand->arrived <= 0) {
        return;
    }
    p->seen_us = now_us;
    if (p->at_us == 0) {
        p->inherited = present_at(places, count);
    }
}

/* Engines that stand while what may come is not known. */
static guint
unknown_total(const capacity_plan_t *p, const capacity_bounds_t *b,
              const capacity_place_t *places, guint count)
{
    if (p->inherited > 0) {
        return p->inherited;
    }
    return is_cheap(b) ? b->most * count : present_at(places, count);
}

/* Engines of both kinds, in all. */
static guint
total_of(const capacity_plan_t *p, const capacity_bounds_t *b,
         const capacity_place_t *places, guint count, gint64 now_us)
{
    guint most = b->most * count;
    double total = ceil(p->peak * BURST_TIMES);
    if (p->seen_us == 0 || now_us - p->seen_us < UNKNOWN_US) {
        total = MAX(total, unknown_total(p, b, places, count));
    }
    if (b->ceiling > 0) {
        most = MIN(most, b->ceiling);
    }
    return (guint)CLAMP(total, MIN(MAX(b->floor, b->least * count), most),
                        most);
}

/* ---- where, and of which kind ---- */

/* Spreads `total` evenly over the places, up to `room` of each; those earlier
 * in the order take what is left over. Returns what found no room. */
static guint
spread(guint total, capacity_place_t *places, const guint *room, guint count,
       supply_kind_t kind)
{
    guint left = total;
    gboolean any = TRUE;
    while (left > 0 && any) {
        any = FALSE;
        for (guint i = 0; i < count && left > 0; i++) {
            if (places[i].wanted[kind] < room[i]) {
                places[i].wanted[kind]++;
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
    const capacity_place_t *x = a;
    const capacity_place_t *y = b;
    if (x->price != y->price) {
        return x->price < y->price ? -1 : 1;
    }
    return strcmp(x->name, y->name);
}

static void
place_engines(const capacity_plan_t *p, const capacity_bounds_t *b,
              capacity_place_t *places, guint count, gint64 now_us)
{
    guint total = p->total;
    guint *room = g_new0(guint, count);
    guint cheap = is_cheap(b) ? (guint)(total * b->reclaimable_part + 0.5) : 0;
    for (guint i = 0; i < count; i++) {
        places[i].wanted[ENGINES_KEPT] = 0;
        places[i].wanted[ENGINES_RECLAIMABLE] = 0;
        room[i] = now_us < places[i].lacking_us
                      ? MIN(places[i].ready[ENGINES_RECLAIMABLE], b->most)
                      : b->most;
    }
    guint left = spread(cheap, places, room, count, ENGINES_RECLAIMABLE);
    guint least = (guint)ceil(MIN(p->needed, total) * KEPT_PART);
    guint lacking = least - MIN(least, total - left);
    for (guint i = 0; i < count; i++) {
        room[i] = b->most - places[i].wanted[ENGINES_RECLAIMABLE];
    }
    spread(total - cheap + MIN(left, lacking), places, room, count,
           ENGINES_KEPT);
    g_free(room);
}

void
capacity_plan_update(capacity_plan_t *p, const capacity_bounds_t *b,
                     const service_demand_t *demand, guint slots,
                     capacity_place_t *places, guint count, gint64 now_us)
{
    p->needed = p->way->needed(demand, slots);
    seen_update(p, demand, places, count, now_us);
    peak_update(p, b->most * count / BURST_TIMES, now_us);
    qsort(places, count, sizeof(*places), by_price);
    p->total = total_of(p, b, places, count, now_us);
    for (guint i = 0; i < count; i++) {
        places[i].idle = p->seen_us == 0;
    }
    place_engines(p, b, places, count, now_us);
}

/* Kept engines where reclaimable ones need their room: once all that could be
 * ordered are up, as many are let go, or a part where there is no room yet.
 * While nobody asks for anything a smaller part is enough meanwhile. */
static guint
kept_in_a_crowd(const capacity_place_t *p, guint most)
{
    guint kept = p->ordered[ENGINES_KEPT];
    guint few = MAX(most / CROWD_PARTS, 1);
    guint idle = MAX(most / IDLE_PARTS, 1);
    if (p->idle && kept > idle) {
        return idle;
    }
    guint ready = p->ready[ENGINES_RECLAIMABLE];
    guint room = most - MIN(kept, most);
    guint next = MIN(p->wanted[ENGINES_RECLAIMABLE], room);
    if (p->ordered[ENGINES_RECLAIMABLE] < next || ready < next) {
        return kept;
    }
    return kept - MIN(kept, MAX(ready, few));
}

guint
capacity_next_order(const capacity_place_t *p, supply_kind_t kind, guint most)
{
    guint kept = p->ordered[ENGINES_KEPT];
    guint wanted = p->wanted[ENGINES_KEPT];
    guint cheap_wanted = p->wanted[ENGINES_RECLAIMABLE];
    guint cheap_ready = p->ready[ENGINES_RECLAIMABLE];
    if (kind == ENGINES_RECLAIMABLE) {
        return MIN(cheap_wanted, most - MIN(kept, most));
    }
    if (wanted >= kept) {
        return MIN(wanted, most - MIN(p->ordered[ENGINES_RECLAIMABLE], most));
    }
    /* Each reclaimable engine that is up lets a kept one go. */
    guint missing = cheap_wanted - MIN(cheap_wanted, cheap_ready);
    guint stays = cheap_wanted + kept > most ? kept_in_a_crowd(p, most)
                                             : wanted + missing;
    return CLAMP(stays, wanted, kept);
}
