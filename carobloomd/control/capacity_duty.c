/* Plans the engines of each service from the reports of entry instances, and
 * orders them from the platform. */
#include <string.h>

#include "carobloom/common/clock.h"
#include "carobloom/common/counters.h"
#include "carobloom/common/event_log.h"
#include "carobloom/policy/capacity_plan.h"
#include "duties.h"

enum {
    MS = 1000,
    /* Interval between two plans of a service. */
    PLAN_INTERVAL_US = 200 * MS,
    /* The number of ready engines is the maximum in this many reports: entry
     * instances that have just started, or are disconnected from the control
     * instances, know fewer engines. */
    SUPPLY_WINDOW_REPORTS = 8,
    /* A plan for more engines is ordered at once, a plan for fewer only this
     * long after the last order for more. */
    SHRINK_DELAY_US = 6 * G_USEC_PER_SEC,
    /* Minimum interval between two orders of one kind in a data centre, so
     * that rising demand causes a few calls rather than one per step. */
    ORDER_INTERVAL_US = 400 * MS,
    /* Engines that are still not ready this long after the time that a start
     * takes, or that leave, are ordered again: the platform drops orders that
     * it could not fulfil. */
    REORDER_DELAY_US = 2500 * MS,
    /* Delay of reclaimable orders after the platform had no engines. */
    UNAVAILABLE_RETRY_US = 1500 * MS,
    /* Nothing is planned before this many reports have arrived. */
    REPORTS_MIN = 3 * SUPPLY_WINDOW_REPORTS,
    /* Maximum number of engines times entry instances. Every entry instance is
     * notified of each engine that joins or leaves. Above this number,
     * replacing all engines would saturate the links of the control instances,
     * so nothing is ordered. */
    ENDPOINT_UPDATES_MAX = 200000,
};

/* Fewer reclaimable engines are ordered only if the plan is at most this
 * fraction of the last order: each change loses the prompt parts that engines
 * have cached. */
static const double SHRINK_MAX_FRACTION = 0.85;

/* An order in flight. */
typedef struct service_plan service_plan_t;
typedef struct {
    service_plan_t *service;
    const char *data_centre; /* owned by the data centre's entry in the plan */
    supply_kind_t kind;
    guint count;
} order_t;

/* State of the orders of one data centre. */
typedef struct {
    gint64 accepted_us[ENGINES_KINDS]; /* when the platform last accepted an
                                        * order */
    gint64 sent_us[ENGINES_KINDS];     /* when an order was last sent */
    order_t *in_flight[ENGINES_KINDS];
    guint reported[SUPPLY_WINDOW_REPORTS][ENGINES_KINDS];
    guint next_report;
} data_centre_state_t;

struct service_plan {
    capacity_duty_t *duty;
    char *service;
    capacity_plan_t plan;
    capacity_bounds_t bounds;
    gint64 boot_us; /* time from the order of an engine until it is ready */
    guint slots;    /* of one engine */
    capacity_data_centre_t *data_centres; /* sorted by the plan */
    GHashTable *states;    /* data centre -> data_centre_state_t */
    guint count;           /* of data_centres */
    gint64 increased_us;   /* time of the last order for more */
    gint64 unavailable_us; /* last time a data centre had no engines available;
                            * engines that are released then cannot be ordered
                            * again */
    gint64 first_ready_us; /* when ready engines were first reported */
    gint64 ready_since_us; /* since when ready_engines is unchanged */
    guint ready_engines;
    gboolean settled;   /* last result of is_settled; stays TRUE */
    gboolean too_large; /* last result of is_too_large */
};

struct capacity_duty {
    duties_t *duties;
    capacity_demand_t *demand;
    GHashTable *services; /* name -> service_plan_t */
    guint64 version;      /* of the configuration last applied */
    guint reports;        /* received in this term */
    gint64 planned_us;    /* time of the last plan */
};

/* ---- services of the configuration ---- */

static void
service_plan_free(gpointer data)
{
    service_plan_t *s = data;
    for (guint i = 0; i < s->count; i++) {
        g_free(s->data_centres[i].name);
    }
    g_free(s->data_centres);
    g_hash_table_unref(s->states);
    g_free(s->service);
    g_free(s);
}

static data_centre_state_t *
state_find(const service_plan_t *s, const char *data_centre)
{
    return g_hash_table_lookup(s->states, data_centre);
}

static void
data_centres_fill(service_plan_t *s, const engine_offer_t *offer)
{
    s->count = offer->places->len;
    s->data_centres = g_new0(capacity_data_centre_t, s->count);
    s->states = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    for (guint i = 0; i < s->count; i++) {
        const engine_place_t *offered =
            &g_array_index(offer->places, engine_place_t, i);
        s->data_centres[i] = (capacity_data_centre_t){
            .name = g_strdup(offered->data_centre), .price = offered->price};
        g_hash_table_insert(s->states, g_strdup(offered->data_centre),
                            g_new0(data_centre_state_t, 1));
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
service_apply(capacity_duty_t *c, const service_t *service,
              const capacity_estimator_t *estimator)
{
    const gateway_settings_t *settings = c->duties->control->settings;
    service_plan_t *s = g_hash_table_lookup(c->services, service->name);
    if (s == NULL) {
        s = g_new0(service_plan_t, 1);
        s->duty = c;
        s->service = g_strdup(service->name);
        capacity_plan_init(&s->plan, estimator);
        data_centres_fill(s, &service->offer);
        g_hash_table_insert(c->services, s->service, s);
    }
    s->slots = service->slots;
    bounds_fill(s, &service->offer, settings);
}

/* Applies the newest configuration if it is newer than the last one applied. A
 * service that the configuration no longer names, or names with other data
 * centres, is planned as before until the next duty holder starts anew. */
static void
config_refresh(capacity_duty_t *c)
{
    const control_t *control = c->duties->control;
    const capacity_estimator_t *estimator =
        capacity_estimator_find(control->settings->capacity);
    if (control_newest_version(control) <= c->version || estimator == NULL) {
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
            service_apply(c, service, estimator);
        }
    }
    route_config_unref(config);
}

/* ---- reports ---- */

void
capacity_duty_record_report(capacity_duty_t *c, const usage_report_t *report)
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
        data_centre_state_t *state =
            s != NULL ? state_find(s, supply->data_centre) : NULL;
        if (state != NULL) {
            guint at = state->next_report++ % SUPPLY_WINDOW_REPORTS;
            state->reported[at][ENGINES_ON_DEMAND] = supply->on_demand;
            state->reported[at][ENGINES_RECLAIMABLE] = supply->reclaimable;
        }
    }
}

static void
supply_refresh(service_plan_t *s)
{
    for (guint i = 0; i < s->count; i++) {
        capacity_data_centre_t *data_centre = &s->data_centres[i];
        const data_centre_state_t *state = state_find(s, data_centre->name);
        for (int kind = 0; kind < ENGINES_KINDS; kind++) {
            guint ready = 0;
            for (guint at = 0; at < SUPPLY_WINDOW_REPORTS; at++) {
                ready = MAX(ready, state->reported[at][kind]);
            }
            data_centre->ready[kind] = ready;
            /* Engines that were ready before this instance ordered any. */
            if (state->accepted_us[kind] == 0) {
                data_centre->ordered[kind] = ready;
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
    event_log_cstr("data_centre", o->data_centre);
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
data_centre_find(service_plan_t *s, const char *name)
{
    for (guint i = 0; i < s->count; i++) {
        if (strcmp(s->data_centres[i].name, name) == 0) {
            return &s->data_centres[i];
        }
    }
    return NULL;
}

static void
on_ordered(void *user, guint status)
{
    order_t *o = user;
    service_plan_t *s = o->service;
    capacity_data_centre_t *data_centre = data_centre_find(s, o->data_centre);
    data_centre_state_t *state = state_find(s, o->data_centre);
    gint64 now = clock_boot_us();
    state->in_flight[o->kind] = NULL;
    if (status == 200) {
        data_centre->ordered[o->kind] = o->count;
        state->accepted_us[o->kind] = now;
        log_order(o, "engines_ordered", status);
    }
    else {
        if (status == 409) {
            /* The platform cannot fulfil the previous order either. Lowering
             * the recorded order to the ready engines makes the plan order
             * the missing ones again soon and lets other data centres replace
             * them. */
            data_centre->ordered[o->kind] = MIN(data_centre->ordered[o->kind],
                                                data_centre->ready[o->kind]);
            data_centre->unavailable_until_us = now + UNAVAILABLE_RETRY_US;
            s->unavailable_us = now;
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
        .data_centre = o->data_centre,
        .count = o->count,
        .reclaimable = o->kind == ENGINES_RECLAIMABLE,
    };
    return platform_order_encode(stamp, &order);
}

static void
order_send(service_plan_t *s, const capacity_data_centre_t *data_centre,
           supply_kind_t kind, guint count, gint64 now)
{
    data_centre_state_t *state = state_find(s, data_centre->name);
    order_t *o = g_new0(order_t, 1);
    *o = (order_t){.service = s,
                   .data_centre = data_centre->name,
                   .kind = kind,
                   .count = count};
    state->sent_us[kind] = now;
    state->in_flight[kind] = o;
    if (!duties_send(s->duty->duties, encode_order, o, on_ordered, o)) {
        state->in_flight[kind] = NULL;
        g_free(o);
    }
}

/* Returns whether engines of an accepted order are missing although their
 * start time and REORDER_DELAY_US have passed. */
static gboolean
is_overdue(const service_plan_t *s, const capacity_data_centre_t *data_centre,
           supply_kind_t kind, gint64 now)
{
    const data_centre_state_t *state = state_find(s, data_centre->name);
    gint64 since = MAX(state->accepted_us[kind], state->sent_us[kind]);
    return data_centre->ready[kind] < data_centre->ordered[kind] &&
           now - since > s->boot_us + REORDER_DELAY_US;
}

static gboolean
should_order(const service_plan_t *s,
             const capacity_data_centre_t *data_centre, supply_kind_t kind,
             guint count, gint64 now)
{
    guint ordered = data_centre->ordered[kind];
    if (count >= ordered) {
        return count > ordered || is_overdue(s, data_centre, kind, now);
    }
    if (kind == ENGINES_ON_DEMAND) {
        /* On-demand engines are reduced when cheaper reclaimable engines
         * replace them, or when they are no longer needed. */
        return now - s->increased_us > SHRINK_DELAY_US || data_centre->idle ||
               data_centre->ready[ENGINES_RECLAIMABLE] > 0;
    }
    return now - MAX(s->increased_us, s->unavailable_us) > SHRINK_DELAY_US &&
           count <= SHRINK_MAX_FRACTION * ordered;
}

static void
order_update(service_plan_t *s, capacity_data_centre_t *data_centre,
             supply_kind_t kind, gint64 now)
{
    const data_centre_state_t *state = state_find(s, data_centre->name);
    guint count =
        capacity_next_order(data_centre, kind, s->bounds.max_per_data_centre);
    if (state->in_flight[kind] != NULL ||
        now - state->sent_us[kind] < ORDER_INTERVAL_US ||
        (kind == ENGINES_RECLAIMABLE &&
         now < data_centre->unavailable_until_us) ||
        !should_order(s, data_centre, kind, count, now)) {
        return;
    }
    if (count > data_centre->ordered[kind]) {
        s->increased_us = now;
    }
    order_send(s, data_centre, kind, count, now);
}

/* Returns whether the number of ready engines is known. All endpoints renew
 * their leases within one heartbeat interval after this instance or the whole
 * site has started, so the number must be unchanged for an interval. Where
 * engines join and leave all the time, two intervals suffice: waiting longer
 * costs the full price of the ready engines. */
static gboolean
is_settled(service_plan_t *s, gint64 now)
{
    enum { INTERVALS_MAX = 2 };
    const gateway_settings_t *settings = s->duty->duties->control->settings;
    gint64 interval_us = (gint64)(settings->heartbeat_ms * MS);
    guint ready_engines = 0;
    for (guint i = 0; i < s->count; i++) {
        ready_engines += s->data_centres[i].ready[ENGINES_ON_DEMAND] +
                         s->data_centres[i].ready[ENGINES_RECLAIMABLE];
    }
    if (s->settled || ready_engines == 0) {
        return s->settled;
    }
    if (s->first_ready_us == 0) {
        s->first_ready_us = now;
    }
    if (ready_engines != s->ready_engines) {
        s->ready_engines = ready_engines;
        s->ready_since_us = now;
    }
    s->settled = now - s->ready_since_us > interval_us ||
                 now - s->first_ready_us > INTERVALS_MAX * interval_us;
    return s->settled;
}

/* Returns whether engines times entry instances exceed ENDPOINT_UPDATES_MAX.
 * Logs the first time that they do. */
static gboolean
is_too_large(service_plan_t *s)
{
    guint64 updates = (guint64)s->ready_engines *
                      active_entries_count(s->duty->duties->control);
    if (updates > ENDPOINT_UPDATES_MAX && !s->too_large &&
        event_log_begin(EVENT_STATE, "engines_not_planned")) {
        event_log_cstr("service", s->service);
        event_log_number("engines", s->ready_engines);
        event_log_number("tellings", (gint64)updates);
        event_log_end();
    }
    s->too_large = updates > ENDPOINT_UPDATES_MAX;
    return s->too_large;
}

static void
service_step(service_plan_t *s, gint64 now)
{
    service_demand_t demand =
        capacity_demand_sum(s->duty->demand, s->service, now);
    supply_refresh(s);
    if (!is_settled(s, now) || is_too_large(s)) {
        return;
    }
    capacity_plan_update(&s->plan, &s->bounds, &demand, s->slots,
                         s->data_centres, s->count, now);
    for (guint i = 0; i < s->count; i++) {
        order_update(s, &s->data_centres[i], ENGINES_RECLAIMABLE, now);
        order_update(s, &s->data_centres[i], ENGINES_ON_DEMAND, now);
    }
}

void
capacity_duty_step(capacity_duty_t *c)
{
    gint64 now = clock_boot_us();
    if (now - c->planned_us < PLAN_INTERVAL_US) {
        return;
    }
    c->planned_us = now;
    config_refresh(c);
    capacity_demand_expire(c->demand, now);
    if (c->reports < REPORTS_MIN) {
        return;
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, c->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        service_step(value, now);
    }
}

/* ---- create and destroy ---- */

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

/* The orders of the previous duty holder are not known and are derived from
 * the ready engines. No call of the previous holder, or of an earlier term of
 * this instance, is still in flight. */
void
capacity_duty_start_term(capacity_duty_t *c)
{
    g_hash_table_remove_all(c->services);
    c->version = 0;
    c->reports = 0;
    config_refresh(c);
}

/* ---- state for operators ---- */

static json_t *
data_centre_json(const capacity_data_centre_t *p, gint64 now)
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
    json_t *data_centres = json_array();
    for (guint i = 0; i < s->count; i++) {
        json_array_append_new(data_centres,
                              data_centre_json(&s->data_centres[i], now));
    }
    return json_pack("{s:s,s:s,s:i,s:f,s:f,s:f,s:f,s:f,s:f,s:o}", "service",
                     s->service, "way", s->plan.estimator->name, "planned",
                     (int)s->plan.total, "needed", s->plan.needed, "peak",
                     s->plan.peak, "running", demand.running,
                     "arrive_a_second", demand.arrived, "turned_away_a_second",
                     demand.turned_away, "tokens_read_a_second",
                     demand.read_tokens, "places", data_centres);
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
