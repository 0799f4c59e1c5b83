/* Engines: planned from what entry instances tell, and ordered. */
#include <string.h>

#include "carobloom/common/clock.h"
#include "carobloom/common/counters.h"
#include "carobloom/common/event_log.h"
#include "carobloom/policy/capacity_plan.h"
#include "duties.h"

enum {
    MS = 1000,
    /* Between two plans of a service. */
    PLAN_US = 200 * MS,
    /* Reports that a supply is the highest of: entry instances that have just
     * started, or are cut off, know fewer engines. */
    SUPPLY_REPORTS = 8,
    /* A plan that wants more is ordered at once; fewer only this long after
     * the last order for more. */
    CALM_US = 6 * G_USEC_PER_SEC,
    /* Between two orders of one kind at one place, so that a need that climbs
     * makes a few calls and not one each step. */
    ORDER_US = 400 * MS,
    /* What does not come up so long after it should, or leaves, is ordered
     * again: the platform forgets what it could not have. */
    AGAIN_US = 2500 * MS,
    /* After the platform said that it has none. */
    LACKING_US = 1500 * MS,
    /* This instance knows what stands only once some reports came. */
    KNOWN_REPORTS = 3 * SUPPLY_REPORTS,
    /* Each engine that comes or goes is told to every entry instance: beyond
     * so many engines times entry instances, an exchange of all of them fills
     * the control instances' links and nothing is ordered. */
    TELLINGS_MOST = 200000,
};

/* Fewer are ordered only when so much less is wanted: each move costs the
 * parts of prompts that the engines keep. */
static const double SHRINK_PART = 0.85;

/* One order under way. */
typedef struct service_plan service_plan_t;
typedef struct {
    service_plan_t *service;
    const char *place; /* the place's own name */
    supply_kind_t kind;
    guint count;
} order_t;

/* A place with what its orders need. */
typedef struct {
    gint64 ordered_us[ENGINES_KINDS]; /* when the last order was taken */
    gint64 asked_us[ENGINES_KINDS];   /* when one was last sent */
    order_t *under_way[ENGINES_KINDS];
    guint told[SUPPLY_REPORTS][ENGINES_KINDS];
    guint next_told;
} place_state_t;

struct service_plan {
    capacity_duty_t *duty;
    char *service;
    capacity_plan_t plan;
    capacity_bounds_t bounds;
    gint64 boot_us;
    guint slots;
    capacity_data_centre_t *places; /* sorted by the plan */
    GHashTable *states;             /* place -> place_state_t */
    guint count;
    gint64 grew_us;   /* the last order for more */
    gint64 lacked_us; /* a place had none to give last: what is given back then
                       * can not be had again */
    gint64 first_us;  /* when engines were first heard of */
    gint64 stands_us; /* since when as many stand as now */
    guint standing;
    gboolean settled;
    gboolean too_large; /* as was logged */
};

struct capacity_duty {
    duties_t *duties;
    capacity_demand_t *demand;
    GHashTable *services; /* name -> service_plan_t */
    guint64 version;      /* of the configuration that they follow */
    guint reports;
    gint64 planned_us;
};

/* ---- services of the configuration ---- */

static void
service_plan_free(gpointer data)
{
    service_plan_t *s = data;
    for (guint i = 0; i < s->count; i++) {
        g_free(s->places[i].name);
    }
    g_free(s->places);
    g_hash_table_unref(s->states);
    g_free(s->service);
    g_free(s);
}

static place_state_t *
state_of(const service_plan_t *s, const char *place)
{
    return g_hash_table_lookup(s->states, place);
}

static void
places_fill(service_plan_t *s, const engine_offer_t *offer)
{
    s->count = offer->places->len;
    s->places = g_new0(capacity_data_centre_t, s->count);
    s->states = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    for (guint i = 0; i < s->count; i++) {
        const engine_place_t *place =
            &g_array_index(offer->places, engine_place_t, i);
        s->places[i] = (capacity_data_centre_t){
            .name = g_strdup(place->data_centre), .price = place->price};
        g_hash_table_insert(s->states, g_strdup(place->data_centre),
                            g_new0(place_state_t, 1));
    }
}

static void
bounds_fill(service_plan_t *s, const engine_offer_t *offer,
            const gateway_settings_t *settings)
{
    s->bounds = (capacity_bounds_t){
        .min_per_data_centre = offer->least,
        .max_per_data_centre = offer->most,
        .min_total = (guint)settings->capacity_floor,
        .max_total = (guint)settings->capacity_ceiling,
        .reclaimable_price = offer->reclaimable_price,
        .reclaimable_fraction = settings->capacity_reclaimable,
    };
    s->boot_us = offer->boot_ms * MS;
}

static void
service_take(capacity_duty_t *c, const service_t *service,
             const capacity_estimator_t *way)
{
    const gateway_settings_t *settings = c->duties->control->settings;
    service_plan_t *s = g_hash_table_lookup(c->services, service->name);
    if (s == NULL) {
        s = g_new0(service_plan_t, 1);
        s->duty = c;
        s->service = g_strdup(service->name);
        capacity_plan_init(&s->plan, way);
        places_fill(s, &service->offer);
        g_hash_table_insert(c->services, s->service, s);
    }
    s->slots = service->slots;
    bounds_fill(s, &service->offer, settings);
}

/* Reads the newest configuration when there is a newer one. A service that it
 * no longer names, or names with other places, keeps what was ordered: its
 * plan is made anew by the next holder. */
static void
config_follow(capacity_duty_t *c)
{
    const control_t *control = c->duties->control;
    const capacity_estimator_t *way =
        capacity_estimator_find(control->settings->capacity);
    if (control_newest_version(control) <= c->version || way == NULL) {
        return;
    }
    c->version = control_newest_version(control);
    route_config_t *config = control_read_newest(control);
    if (config == NULL) {
        return;
    }
    for (guint i = 0; i < config->services->len; i++) {
        const service_t *service = config->services->pdata[i];
        if (service->offer.places != NULL && service->slots > 0) {
            service_take(c, service, way);
        }
    }
    route_config_unref(config);
}

/* ---- reports ---- */

void
capacity_duty_report(capacity_duty_t *c, const usage_report_t *report)
{
    gint64 now = clock_boot_us();
    c->reports++;
    for (guint i = 0; i < report->works->len; i++) {
        capacity_demand_record(
            c->demand, report->incarnation,
            &g_array_index(report->works, service_work_t, i), now);
    }
    for (guint i = 0; i < report->supplies->len; i++) {
        const engine_supply_t *supply =
            &g_array_index(report->supplies, engine_supply_t, i);
        service_plan_t *s = g_hash_table_lookup(c->services, supply->service);
        place_state_t *state =
            s != NULL ? state_of(s, supply->data_centre) : NULL;
        if (state != NULL) {
            guint at = state->next_told++ % SUPPLY_REPORTS;
            state->told[at][ENGINES_ON_DEMAND] = supply->on_demand;
            state->told[at][ENGINES_RECLAIMABLE] = supply->reclaimable;
        }
    }
}

static void
supply_follow(service_plan_t *s)
{
    for (guint i = 0; i < s->count; i++) {
        capacity_data_centre_t *place = &s->places[i];
        const place_state_t *state = state_of(s, place->name);
        for (int kind = 0; kind < ENGINES_KINDS; kind++) {
            guint ready = 0;
            for (guint at = 0; at < SUPPLY_REPORTS; at++) {
                ready = MAX(ready, state->told[at][kind]);
            }
            place->ready[kind] = ready;
            /* What stood there before this instance ordered any. */
            if (state->ordered_us[kind] == 0) {
                place->ordered[kind] = ready;
            }
        }
    }
}

/* ---- orders ---- */

static void
log_order(const order_t *o, const char *event, guint status)
{
    const service_plan_t *s = o->service;
    if (!event_log_begin(EVENT_STATE, event)) {
        return;
    }
    event_log_cstr("service", s->service);
    event_log_cstr("data_centre", o->place);
    event_log_cstr("kind",
                   o->kind == ENGINES_RECLAIMABLE ? "reclaimable" : "kept");
    event_log_number("count", o->count);
    event_log_number("planned", s->plan.total);
    event_log_number("needed", (gint64)s->plan.needed);
    event_log_number("peak", (gint64)s->plan.peak);
    if (status != 0) {
        event_log_number("status", status);
    }
    event_log_end();
}

static capacity_data_centre_t *
place_find(service_plan_t *s, const char *name)
{
    for (guint i = 0; i < s->count; i++) {
        if (strcmp(s->places[i].name, name) == 0) {
            return &s->places[i];
        }
    }
    return NULL;
}

static void
on_ordered(void *user, guint status)
{
    order_t *o = user;
    service_plan_t *s = o->service;
    capacity_data_centre_t *place = place_find(s, o->place);
    place_state_t *state = state_of(s, o->place);
    gint64 now = clock_boot_us();
    state->under_way[o->kind] = NULL;
    if (status == 200) {
        place->ordered[o->kind] = o->count;
        state->ordered_us[o->kind] = now;
        log_order(o, "engines_ordered", status);
    }
    else {
        if (status == 409) {
            /* What was ordered before is not to be had either, so that it is
             * asked for again soon, and others may take its room. */
            place->ordered[o->kind] =
                MIN(place->ordered[o->kind], place->ready[o->kind]);
            place->unavailable_until_us = now + LACKING_US;
            s->lacked_us = now;
        }
        counter_add(counter_get("engine_orders_refused_total", NULL, FALSE),
                    1);
        log_order(o, "engines_not_ordered", status);
    }
    g_free(o);
}

static GString *
encode_order(const duty_stamp_t *stamp, gconstpointer what)
{
    const order_t *o = what;
    engine_order_t order = {
        .service = o->service->service,
        .data_centre = o->place,
        .count = o->count,
        .reclaimable = o->kind == ENGINES_RECLAIMABLE,
    };
    return platform_order_encode(stamp, &order);
}

static void
order_send(service_plan_t *s, const capacity_data_centre_t *place,
           supply_kind_t kind, guint count, gint64 now)
{
    place_state_t *state = state_of(s, place->name);
    order_t *o = g_new0(order_t, 1);
    *o = (order_t){
        .service = s, .place = place->name, .kind = kind, .count = count};
    state->asked_us[kind] = now;
    state->under_way[kind] = o;
    if (!duties_send(s->duty->duties, encode_order, o, on_ordered, o)) {
        state->under_way[kind] = NULL;
        g_free(o);
    }
}

/* Whether an order that was taken brought nothing for too long. */
static gboolean
is_overdue(const service_plan_t *s, const capacity_data_centre_t *place,
           supply_kind_t kind, gint64 now)
{
    const place_state_t *state = state_of(s, place->name);
    gint64 since = MAX(state->ordered_us[kind], state->asked_us[kind]);
    return place->ready[kind] < place->ordered[kind] &&
           now - since > s->boot_us + AGAIN_US;
}

static gboolean
is_worth_it(const service_plan_t *s, const capacity_data_centre_t *place,
            supply_kind_t kind, guint count, gint64 now)
{
    guint ordered = place->ordered[kind];
    if (count >= ordered) {
        return count > ordered || is_overdue(s, place, kind, now);
    }
    if (kind == ENGINES_ON_DEMAND) {
        /* Replaced by ones that cost less, or no longer wanted. */
        return now - s->grew_us > CALM_US || place->idle ||
               place->ready[ENGINES_RECLAIMABLE] > 0;
    }
    return now - MAX(s->grew_us, s->lacked_us) > CALM_US &&
           count <= SHRINK_PART * ordered;
}

static void
order_place(service_plan_t *s, capacity_data_centre_t *place,
            supply_kind_t kind, gint64 now)
{
    const place_state_t *state = state_of(s, place->name);
    guint count =
        capacity_next_order(place, kind, s->bounds.max_per_data_centre);
    if (state->under_way[kind] != NULL ||
        now - state->asked_us[kind] < ORDER_US ||
        (kind == ENGINES_RECLAIMABLE && now < place->unavailable_until_us) ||
        !is_worth_it(s, place, kind, count, now)) {
        return;
    }
    if (count > place->ordered[kind]) {
        s->grew_us = now;
    }
    order_send(s, place, kind, count, now);
}

/* Whether what stands is known: all endpoints have renewed their leases since
 * this instance or the whole site started, and no more were heard of; where
 * they come and go all the time, after two such intervals: what stands is paid
 * for at the full price meanwhile. */
static gboolean
is_settled(service_plan_t *s, gint64 now)
{
    enum { INTERVALS_MOST = 2 };
    const gateway_settings_t *settings = s->duty->duties->control->settings;
    gint64 interval_us = (gint64)(settings->heartbeat_ms * MS);
    guint standing = 0;
    for (guint i = 0; i < s->count; i++) {
        standing += s->places[i].ready[ENGINES_ON_DEMAND] +
                    s->places[i].ready[ENGINES_RECLAIMABLE];
    }
    if (s->settled || standing == 0) {
        return s->settled;
    }
    if (s->first_us == 0) {
        s->first_us = now;
    }
    if (standing != s->standing) {
        s->standing = standing;
        s->stands_us = now;
    }
    s->settled = now - s->stands_us > interval_us ||
                 now - s->first_us > INTERVALS_MOST * interval_us;
    return s->settled;
}

/* Whether the fleet is too large for engines to be exchanged. */
static gboolean
is_too_large(service_plan_t *s)
{
    guint64 tellings =
        (guint64)s->standing * active_entries_count(s->duty->duties->control);
    if (tellings > TELLINGS_MOST && !s->too_large &&
        event_log_begin(EVENT_STATE, "engines_not_planned")) {
        event_log_cstr("service", s->service);
        event_log_number("engines", s->standing);
        event_log_number("tellings", (gint64)tellings);
        event_log_end();
    }
    s->too_large = tellings > TELLINGS_MOST;
    return s->too_large;
}

static void
service_step(service_plan_t *s, gint64 now)
{
    service_demand_t demand =
        capacity_demand_sum(s->duty->demand, s->service, now);
    supply_follow(s);
    if (!is_settled(s, now) || is_too_large(s)) {
        return;
    }
    capacity_plan_update(&s->plan, &s->bounds, &demand, s->slots, s->places,
                         s->count, now);
    for (guint i = 0; i < s->count; i++) {
        order_place(s, &s->places[i], ENGINES_RECLAIMABLE, now);
        order_place(s, &s->places[i], ENGINES_ON_DEMAND, now);
    }
}

void
capacity_duty_step(capacity_duty_t *c)
{
    gint64 now = clock_boot_us();
    if (now - c->planned_us < PLAN_US) {
        return;
    }
    c->planned_us = now;
    config_follow(c);
    capacity_demand_expire(c->demand, now);
    if (c->reports < KNOWN_REPORTS) {
        return;
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, c->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        service_step(value, now);
    }
}

/* ---- life ---- */

capacity_duty_t *
capacity_duty_create(duties_t *d)
{
    capacity_duty_t *c = g_new0(capacity_duty_t, 1);
    c->duties = d;
    c->demand = capacity_demand_create();
    c->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                        service_plan_free);
    return c;
}

void
capacity_duty_destroy(capacity_duty_t *c)
{
    g_hash_table_unref(c->services);
    capacity_demand_destroy(c->demand);
    g_free(c);
}

/* What an earlier holder ordered is learned from what stands; its calls have
 * ended, and so have this instance's own. */
void
capacity_duty_begin(capacity_duty_t *c)
{
    g_hash_table_remove_all(c->services);
    c->version = 0;
    c->reports = 0;
    config_follow(c);
}

/* ---- for people ---- */

static json_t *
place_json(const capacity_data_centre_t *p, gint64 now)
{
    return json_pack(
        "{s:s,s:f,s:i,s:i,s:i,s:i,s:i,s:i,s:b}", "data_centre", p->name,
        "price", p->price, "kept_wanted", (int)p->wanted[ENGINES_ON_DEMAND],
        "kept_ordered", (int)p->ordered[ENGINES_ON_DEMAND], "kept_ready",
        (int)p->ready[ENGINES_ON_DEMAND], "reclaimable_wanted",
        (int)p->wanted[ENGINES_RECLAIMABLE], "reclaimable_ordered",
        (int)p->ordered[ENGINES_RECLAIMABLE], "reclaimable_ready",
        (int)p->ready[ENGINES_RECLAIMABLE], "none_to_be_had",
        now < p->unavailable_until_us);
}

static json_t *
service_json(const service_plan_t *s)
{
    gint64 now = clock_boot_us();
    service_demand_t demand =
        capacity_demand_sum(s->duty->demand, s->service, now);
    json_t *places = json_array();
    for (guint i = 0; i < s->count; i++) {
        json_array_append_new(places, place_json(&s->places[i], now));
    }
    return json_pack("{s:s,s:s,s:i,s:f,s:f,s:f,s:f,s:f,s:f,s:o}", "service",
                     s->service, "way", s->plan.estimator->name, "planned",
                     (int)s->plan.total, "needed", s->plan.needed, "peak",
                     s->plan.peak, "running", demand.running,
                     "arrive_a_second", demand.arrived, "turned_away_a_second",
                     demand.turned_away, "tokens_read_a_second",
                     demand.read_tokens, "places", places);
}

char *
capacity_duty_json(const capacity_duty_t *c)
{
    GHashTableIter iter;
    gpointer value;
    json_t *services = json_array();
    g_hash_table_iter_init(&iter, c->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        json_array_append_new(services, service_json(value));
    }
    json_t *root = json_pack(
        "{s:b,s:s,s:o}", "held", c->duties->lease.token != 0, "leader",
        c->duties->control->view.leader, "services", services);
    return duties_json(root);
}
