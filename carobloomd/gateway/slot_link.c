/* Slots of brittle endpoints: holds them for the requests of this instance,
 * and gets them from the control instance that leads.
 *
 * Two calls are open to it: a report of what this instance holds and wants,
 * sent when that changes, and a poll, which is answered when slots are
 * granted. */
#include "slot_link.h"

#include "carobloom/common/clock.h"
#include "carobloom/common/counters.h"
#include "carobloom/common/event_log.h"
#include "carobloom/gateway/inner_line.h"
#include "carobloom/gateway/slot_wire.h"
#include "carobloom/policy/rendezvous.h"
#include "entry_state.h"

enum {
    MS = 1000,
    TICK_US = 100 * MS,
    FIRST_TICK_US = 20 * MS, /* until a grantor has answered */
    /* Requests of an instance that has just started wait for so long to learn
     * whether their service is brittle. */
    INTRODUCTION_US = 250 * MS,
    ANSWER_TIMEOUT_US = 400 * MS,
    /* After a failure: at least this, and more with many instances, so that a
     * grantor that takes no more connections is left alone. */
    RETRY_DELAY_US = 200 * MS,
    RETRY_DELAY_US_PER_INSTANCE = 1500,
    /* A poll is open while slots are held or wanted, and so long after. Polls
     * and reports of all instances together would be more connections than a
     * control instance has. */
    ACTIVE_US = 1000 * MS,
    LINE_IDLE_US = 500 * MS,
    ANSWER_MAX = 1024 * 1024,
    /* Less than the time for which endpoints that have become brittle let
     * requests wait. */
    LOADS_US = 2000 * MS,
    /* An instance that is younger does not know whether a service has been
     * brittle for long. */
    AGE_MIN_US = 5000 * MS,
    /* The grantor says that a service is brittle for some time after the
     * last instance found that it isn't. */
    UNTOLD_US = 15000 * MS,
    SCARCE_US = 1000 * MS,
    REPORTS_BURST = 4,
    /* Requests tried in a row that can't use any of the free slots. */
    MISFITS_MAX = 8,
};

/* Full reports of all instances together in each tick. */
static const double NAMINGS_PER_TICK = 0.2;

static const http_peer_limits_t GRANTOR_PEER_LIMITS = {
    .connect_us = ANSWER_TIMEOUT_US,
    .idle_us = LINE_IDLE_US,
    .idle_max = 1,
    .head_max = 4096,
};

struct slot_link {
    entry_t *entry;
    GHashTable *holds; /* endpoint -> slot_hold_t */
    guint64 incarnation;
    guint64 report_sequence;
    guint64 poll_sequence;
    guint64 epoch;   /* of the grantor that knows this instance; 0: none */
    guint32 applied; /* the last batch of grants */
    char *address;   /* of the grantor; NULL: none yet */
    inner_line_t *report_line;
    inner_line_t *poll_line;
    gint64 report_sent_us;
    gint64 poll_sent_us;
    gboolean is_full_due; /* the next report has to have all holdings */
    gboolean is_report_due;
    gboolean is_introduced; /* a grantor has answered */
    gint64 configured_us;   /* when the first configuration came; 0: never */
    gboolean is_answering;
    slot_pace_t pace;
    gint64 granted_until_us; /* clock_boot_us; slots may be used until then */
    gint64 retry_us;         /* no message before */
    gint64 active_us;        /* when slots were last held or wanted */
    double reports_left;     /* that may be sent now */
    gint64 reports_left_us;  /* when that was last updated */
    guint64 tick;
    gboolean has_first_ticks;
    guint64 turn; /* timer of the next turn; 0: none */
    gint64 started_us;
};

static guint64
service_hash(const char *service)
{
    return hash_text(str_from_cstr(service));
}

static gint64
link_now(const slot_link_t *link)
{
    return entry_now(link->entry);
}

/* ---- brittle services ---- */

gboolean
slot_link_is_brittle(const slot_link_t *link, const slot_service_t *s)
{
    return s->brittle.is_brittle || link_now(link) < s->told_until_us;
}

/* Calls `visit` with each service, which may add services. */
static void
each_service(slot_link_t *link,
             void (*visit)(slot_link_t *link, const char *service,
                           slot_service_t *state))
{
    guint count = 0;
    gpointer *services =
        g_hash_table_get_keys_as_array(link->entry->services, &count);
    for (guint i = 0; i < count; i++) {
        visit(link, services[i],
              &entry_service_state(link->entry, services[i])->slots);
    }
    g_free(services);
}

static gboolean
has_brittle(const slot_link_t *link)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, link->entry->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (slot_link_is_brittle(link, &((service_state_t *)value)->slots)) {
            return TRUE;
        }
    }
    return FALSE;
}

static void on_turn(void *data);
static void on_tick(void *data);

/* Handles what has changed once the current call is over. */
static void
schedule_turn(slot_link_t *link)
{
    if (link->turn == 0) {
        link->turn =
            timers_subscribe(link->entry->timers, 0, 0, on_turn, link);
    }
}

static slot_hold_t *
hold_find(const slot_link_t *link, guint64 endpoint)
{
    return g_hash_table_lookup(link->holds, &endpoint);
}

static slot_hold_t *
hold_find_or_create(slot_link_t *link, guint64 endpoint, guint64 service,
                    guint slots)
{
    slot_hold_t *h = hold_find(link, endpoint);
    if (h == NULL) {
        h = g_new0(slot_hold_t, 1);
        h->endpoint = endpoint;
        g_hash_table_insert(link->holds, &h->endpoint, h);
    }
    h->service = service;
    h->slots = slots;
    return h;
}

static const GPtrArray *
service_endpoints(const slot_link_t *link, const char *service)
{
    static GPtrArray *none;
    if (none == NULL) {
        none = g_ptr_array_new();
    }
    const GPtrArray *endpoints =
        directory_service(link->entry->directory, service);
    return endpoints != NULL ? endpoints : none;
}

/* Has a record for each endpoint of the service if it is brittle. */
static void
create_holds(slot_link_t *link, const char *service, slot_service_t *state)
{
    const GPtrArray *endpoints = service_endpoints(link, service);
    gboolean is_brittle = slot_link_is_brittle(link, state);
    for (guint i = 0; is_brittle && i < endpoints->len; i++) {
        endpoint_t *e = endpoints->pdata[i];
        if (e->hold == NULL) {
            slot_hold_t *h = hold_find_or_create(
                link, e->hash, service_hash(service), e->slots);
            h->is_changed = TRUE;
            link->is_report_due = TRUE;
            e->hold = h;
            if (e->running > 0) {
                slot_hold_begin(h, e->running, link_now(link));
            }
        }
    }
}

static void
drop_holds(slot_link_t *link, const char *service)
{
    const GPtrArray *endpoints = service_endpoints(link, service);
    guint64 hash = service_hash(service);
    GHashTableIter iter;
    gpointer value;
    for (guint i = 0; i < endpoints->len; i++) {
        ((endpoint_t *)endpoints->pdata[i])->hold = NULL;
    }
    g_hash_table_iter_init(&iter, link->holds);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (((slot_hold_t *)value)->service == hash) {
            g_hash_table_iter_remove(&iter);
        }
    }
    link->is_full_due = TRUE;
    link->is_report_due = TRUE;
}

static void
service_begin(slot_link_t *link, const char *service, slot_service_t *s)
{
    s->begun_us = link_now(link);
    create_holds(link, service, s);
    link->is_report_due = TRUE;
    if (link->tick == 0) {
        link->tick = timers_subscribe(link->entry->timers, TICK_US, TICK_US,
                                      on_tick, link);
    }
    schedule_turn(link);
}

static void
service_end(slot_link_t *link, const char *service, slot_service_t *s)
{
    s->begun_us = 0;
    s->told_until_us = 0;
    s->loads_until_us = 0;
    drop_holds(link, service);
    schedule_turn(link);
}

gboolean
slot_link_record_brittle(slot_link_t *link, const char *service,
                         slot_service_t *s, double refusals_per_s)
{
    gint64 now = link_now(link);
    gboolean was_brittle = slot_link_is_brittle(link, s);
    if (!service_brittle_record(&s->brittle, refusals_per_s, now)) {
        return FALSE;
    }
    link->is_report_due = TRUE;
    if (!was_brittle) {
        if (now - link->started_us > AGE_MIN_US) {
            s->loads_until_us = now + LOADS_US;
        }
        service_begin(link, service, s);
    }
    return TRUE;
}

gboolean
slot_link_record_absent(slot_link_t *link, const char *service,
                        slot_service_t *s)
{
    gint64 now = link_now(link);
    if (!s->brittle.is_brittle) {
        /* Told only, while its endpoints do not say so. */
        if (now < s->told_until_us) {
            s->untold_until_us = now + UNTOLD_US;
            service_end(link, service, s);
        }
        return FALSE;
    }
    if (!service_brittle_record_absent(&s->brittle, now)) {
        return FALSE;
    }
    s->untold_until_us = now + UNTOLD_US;
    service_end(link, service, s);
    return TRUE;
}

void
slot_link_record_told(slot_link_t *link, const char *service,
                      double refusals_per_s)
{
    gint64 now = link_now(link);
    slot_service_t *s = &entry_service_state(link->entry, service)->slots;
    if (now < s->untold_until_us) {
        return;
    }
    gboolean was_brittle = slot_link_is_brittle(link, s);
    s->told_until_us = now + link->pace.lifetime_ms * (gint64)MS;
    s->told_refusals_per_s = refusals_per_s;
    if (!was_brittle) {
        service_begin(link, service, s);
    }
}

/* ---- the rule ---- */

/* Whether this instance has just started and may learn in a moment which
 * services are brittle. */
static gboolean
is_unintroduced(const slot_link_t *link)
{
    return !link->is_introduced &&
           link_now(link) < link->configured_us + INTRODUCTION_US;
}

slot_rule_t
slot_link_rule(const slot_link_t *link, const slot_service_t *s)
{
    gint64 now = link_now(link);
    slot_rule_t rule = {
        .kind = SLOT_RULE_NONE,
        .instances = instance_count_get(&link->entry->sharing_instances),
        .now_us = now,
    };
    if (is_unintroduced(link)) {
        rule.kind = SLOT_RULE_AWAITED;
    }
    else if (slot_link_is_brittle(link, s)) {
        /* Grants expire on the clock that runs on in a suspension. */
        gint64 left_us = link->granted_until_us - clock_boot_us();
        slot_times_t times = {
            .now_us = now,
            .begun_us = s->begun_us,
            .loads_until_us = s->loads_until_us,
            .granted_until_us =
                link->granted_until_us == 0 ? 0 : now + left_us,
            .lifetime_us = link->pace.lifetime_ms * (gint64)MS,
        };
        rule.kind = slot_rule_kind(&times);
    }
    return rule;
}

/* ---- requests ---- */

gint64
slot_link_pause_us(const slot_link_t *link, const slot_service_t *s)
{
    service_brittle_t b = s->brittle;
    if (!b.is_brittle) {
        b.refusals_per_s = s->told_refusals_per_s;
    }
    return brittle_pause_us(
        &b, instance_count_get(&link->entry->sharing_instances));
}

gint64
slot_link_wait_us(const slot_link_t *link, gint64 target_ms)
{
    return is_unintroduced(link) ? INTRODUCTION_US + TICK_US
                                 : slot_wait_us(target_ms);
}

void
slot_link_begin(slot_link_t *link, const slot_service_t *s, endpoint_t *e)
{
    if (!slot_link_is_brittle(link, s) || e->hold == NULL) {
        return;
    }
    slot_hold_t *h = e->hold;
    gint64 now = link_now(link);
    slot_hold_begin(h, e->running, now);
    if (slot_link_rule(link, s).kind == SLOT_RULE_ALONE) {
        h->trial_us = now + slot_link_pause_us(link, s);
    }
    if (h->is_changed) {
        schedule_turn(link);
    }
}

void
slot_link_end(slot_link_t *link, const endpoint_t *e, gboolean is_abandoned)
{
    slot_hold_t *h = hold_find(link, e->hash);
    if (h != NULL) {
        slot_hold_end(h, is_abandoned, link_now(link));
        schedule_turn(link);
    }
}

void
slot_link_record_refused(slot_link_t *link, const endpoint_t *e)
{
    slot_hold_t *h = hold_find(link, e->hash);
    if (h != NULL) {
        h->refused++;
        h->refused_total++;
        link->is_report_due = TRUE;
        schedule_turn(link);
    }
}

static gint
compare_waiters(gconstpointer a, gconstpointer b, gpointer user)
{
    const slot_waiter_t *x = a;
    const slot_waiter_t *y = b;
    (void)user;
    if (x->want.rank != y->want.rank) {
        return x->want.rank < y->want.rank ? -1 : 1;
    }
    return x->since_us < y->since_us ? -1 : x->since_us > y->since_us;
}

void
slot_link_wait(slot_link_t *link, const char *service, slot_service_t *s,
               const endpoint_t *wanted, slot_waiter_t *waiter)
{
    waiter->want.endpoint = wanted->hash;
    waiter->want.slots = wanted->slots;
    waiter->want.service = service_hash(service);
    waiter->is_waiting = TRUE;
    g_queue_insert_sorted(&s->waiters, waiter, compare_waiters, NULL);
    link->is_report_due = TRUE;
    schedule_turn(link);
}

void
slot_link_end_wait(slot_service_t *s, slot_waiter_t *waiter)
{
    if (waiter->is_waiting) {
        waiter->is_waiting = FALSE;
        g_queue_remove(&s->waiters, waiter);
    }
}

static guint
free_slots(const slot_link_t *link, const char *service)
{
    const GPtrArray *endpoints = service_endpoints(link, service);
    gint64 now = link_now(link);
    guint count = 0;
    for (guint i = 0; i < endpoints->len; i++) {
        const endpoint_t *e = endpoints->pdata[i];
        count +=
            e->hold != NULL ? slot_hold_free(e->hold, e->running, now) : 0;
    }
    return count;
}

/* Sends waiting requests while slots are free. Those that can't use any of
 * them wait on. */
static void
serve_waiters(slot_link_t *link, const char *service, slot_service_t *s)
{
    guint at = 0;
    gboolean is_bound = slot_link_rule(link, s).kind == SLOT_RULE_GRANTED;
    while (at < s->waiters.length && at < MISFITS_MAX &&
           (!is_bound || free_slots(link, service) > 0)) {
        slot_waiter_t *waiter = g_queue_pop_nth(&s->waiters, at);
        guint left = s->waiters.length;
        waiter->is_waiting = FALSE;
        waiter->resume(waiter->user);
        at += s->waiters.length > left;
        /* The grantor knows which wants it has granted. */
        link->is_report_due = link->is_report_due || s->granted == 0;
        s->granted -= s->granted > 0;
    }
    s->granted = 0;
}

/* ---- holdings ---- */

static void
hold_return(slot_link_t *link, slot_hold_t *h, guint running,
            gboolean is_scarce)
{
    slot_hold_return(h, running, is_scarce, link_now(link));
    link->is_report_due = link->is_report_due || h->is_changed;
}

/* Returns the slots of an endpoint to which nothing can be sent for now.
 * Returns FALSE if requests can be sent there. */
static gboolean
return_avoided(slot_link_t *link, endpoint_t *e)
{
    gint64 now = link_now(link);
    if (endpoint_usable(e, now) && endpoint_available(e, now) &&
        !endpoint_rest_is_active(&e->rest, clock_boot_us())) {
        return FALSE;
    }
    if (slot_hold_return(e->hold, e->running, TRUE, now) > 0) {
        e->hold->is_avoided = TRUE;
        link->is_report_due = TRUE;
    }
    return TRUE;
}

/* Returns slots that others wait for, but those that may be used again by
 * requests of this instance that are as urgent. */
static void
return_scarce(slot_link_t *link, const char *service, const slot_service_t *s,
              gboolean is_reuse_over)
{
    const GPtrArray *endpoints = service_endpoints(link, service);
    gint64 now = link_now(link);
    gboolean is_scarce = now < s->scarce_until_us || link->entry->refusing;
    const slot_waiter_t *first =
        s->waiters.head != NULL ? s->waiters.head->data : NULL;
    gboolean is_less_urgent =
        first != NULL && first->want.rank > s->scarce_rank;
    for (guint i = 0; i < endpoints->len; i++) {
        endpoint_t *e = endpoints->pdata[i];
        if (e->hold != NULL && !return_avoided(link, e) &&
            (is_reuse_over ||
             !slot_hold_may_reuse(e->hold, is_less_urgent, now))) {
            hold_return(link, e->hold, e->running, is_scarce);
        }
    }
}

/* Returns all slots of endpoints that have gone, and forgets them. */
static void
sweep_holds(slot_link_t *link)
{
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    GHashTable *known = g_hash_table_new(g_int64_hash, g_int64_equal);
    g_hash_table_iter_init(&iter, link->entry->services);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const GPtrArray *endpoints = service_endpoints(link, key);
        for (guint i = 0; i < endpoints->len; i++) {
            endpoint_t *e = endpoints->pdata[i];
            if (e->hold != NULL) {
                g_hash_table_add(known, &e->hash);
            }
        }
    }
    g_hash_table_iter_init(&iter, link->holds);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        slot_hold_t *h = value;
        if (g_hash_table_contains(known, key)) {
            continue;
        }
        h->is_avoided = h->is_avoided || h->held > 0;
        hold_return(link, h, 0, TRUE);
        if (h->held == 0 && !h->is_changed) {
            g_hash_table_iter_remove(&iter);
        }
    }
    g_hash_table_unref(known);
}

/* Slots that may not be used any more: no grantor has answered for so long
 * that another one may have granted them. */
static void
expire_grants(slot_link_t *link, const char *service, slot_service_t *s)
{
    const GPtrArray *endpoints = service_endpoints(link, service);
    gint64 now = link_now(link);
    for (guint i = 0; i < endpoints->len; i++) {
        endpoint_t *e = endpoints->pdata[i];
        slot_hold_t *h = e->hold;
        if (h == NULL) {
            continue;
        }
        slot_hold_return(h, e->running, TRUE, now);
        if (h->trial_us == 0) {
            h->trial_us = now + (gint64)(g_rand_double(link->entry->random) *
                                         (double)slot_link_pause_us(link, s));
        }
    }
}

static void
visit_service(slot_link_t *link, const char *service, slot_service_t *s)
{
    create_holds(link, service, s);
    switch (slot_link_rule(link, s).kind) {
    case SLOT_RULE_GRANTED:
        return_scarce(link, service, s, FALSE);
        serve_waiters(link, service, s);
        return_scarce(link, service, s, TRUE);
        break;
    case SLOT_RULE_AWAITED:
        expire_grants(link, service, s);
        break;
    case SLOT_RULE_ALONE:
        expire_grants(link, service, s);
        serve_waiters(link, service, s);
        break;
    case SLOT_RULE_NONE: /* it is not brittle, or not any more */
        serve_waiters(link, service, s);
        break;
    case SLOT_RULE_LOADS:
        break;
    }
}

/* ---- messages ---- */

static void
log_grantor(const slot_link_t *link, const char *event)
{
    if (event_log_begin(EVENT_STATE, event)) {
        event_log_cstr("control", link->address);
        event_log_end();
    }
}

static void
link_failed(slot_link_t *link)
{
    if (link->is_answering) {
        link->is_answering = FALSE;
        log_grantor(link, "slot_grantor_lost");
    }
    counter_add(counter_get("slot_messages_failed_total", NULL, FALSE), 1);
    link->is_full_due = TRUE;
    link->is_report_due = TRUE;
    gint64 delay_us =
        RETRY_DELAY_US_PER_INSTANCE *
        (gint64)instance_count_get(&link->entry->sharing_instances);
    link->retry_us = link_now(link) + MAX(delay_us, (gint64)RETRY_DELAY_US);
}

static void
apply_state(slot_link_t *link, const slot_answer_t *answer, gint64 sent_us)
{
    link->pace = answer->pace;
    link->is_introduced = TRUE;
    if (!link->is_answering) {
        link->is_answering = TRUE;
        log_grantor(link, "slot_grantor_found");
    }
    if (answer->epoch != link->epoch) {
        link->epoch = answer->epoch;
        link->applied = 0;
    }
    if (!answer->is_used) {
        link->is_full_due = TRUE;
        link->is_report_due = TRUE;
        return;
    }
    if (answer->news.is_granting) {
        link->granted_until_us = sent_us + link->pace.lifetime_ms * (gint64)MS;
    }
}

static const char *
service_name(const slot_link_t *link, guint64 hash)
{
    const route_config_t *config = link->entry->config;
    for (guint i = 0; config != NULL && i < config->services->len; i++) {
        const service_t *service = config->services->pdata[i];
        if (service_hash(service->name) == hash) {
            return service->name;
        }
    }
    return NULL;
}

static void
count_granted(const slot_link_t *link, guint64 service, guint count)
{
    const char *name = service_name(link, service);
    if (name != NULL) {
        entry_service_state(link->entry, name)->slots.granted += count;
    }
}

static void
apply_news(slot_link_t *link, const slot_news_t *news)
{
    gint64 now = link_now(link);
    for (guint i = 0; i < news->marks->len; i++) {
        const slot_mark_t *m = &g_array_index(news->marks, slot_mark_t, i);
        const char *service = service_name(link, m->service);
        if (service != NULL) {
            slot_link_record_told(link, service, m->refusals_per_s);
        }
    }
    for (guint i = 0; i < news->scarce->len; i++) {
        const slot_scarcity_t *s =
            &g_array_index(news->scarce, slot_scarcity_t, i);
        const char *service = service_name(link, s->service);
        if (service != NULL) {
            slot_service_t *state =
                &entry_service_state(link->entry, service)->slots;
            state->scarce_until_us = now + SCARCE_US;
            state->scarce_rank = s->rank;
        }
    }
    each_service(link, create_holds);
    for (guint i = 0; i < news->grants->len; i++) {
        const slot_grant_t *g = &g_array_index(news->grants, slot_grant_t, i);
        slot_hold_t *h = hold_find(link, g->endpoint);
        if (h == NULL) { /* an endpoint that is not known here: returned */
            h = hold_find_or_create(link, g->endpoint, 0, 0);
        }
        slot_hold_grant(h, g->count, now);
        h->trial_us = 0;
        count_granted(link, h->service, g->count);
    }
    if (news->batch != 0) {
        link->applied = news->batch;
    }
}

static void
apply_answer(slot_link_t *link, guint status, GBytes *body, gint64 sent_us)
{
    slot_answer_t answer;
    if (status != 200 || !slot_answer_read(body, &answer)) {
        link_failed(link);
        return;
    }
    apply_state(link, &answer, sent_us);
    apply_news(link, &answer.news);
    slot_answer_clear(&answer);
}

static void
on_report_answered(void *user, guint status, GBytes *body)
{
    slot_link_t *link = user;
    apply_answer(link, status, body, link->report_sent_us);
    schedule_turn(link);
}

static void
on_poll_answered(void *user, guint status, GBytes *body)
{
    slot_link_t *link = user;
    apply_answer(link, status, body, link->poll_sent_us);
    schedule_turn(link);
}

static void
on_failed(void *user)
{
    link_failed(user);
}

static const inner_line_ops_t REPORT_OPS = {.answered = on_report_answered,
                                            .failed = on_failed};
static const inner_line_ops_t POLL_OPS = {.answered = on_poll_answered,
                                          .failed = on_failed};

static void
add_holdings(slot_link_t *link, slot_report_t *report)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, link->holds);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        slot_hold_t *h = value;
        gboolean is_due = h->is_changed || h->refused > 0 ||
                          (report->is_full && h->slots > 0);
        slot_holding_t holding = {.endpoint = h->endpoint,
                                  .service = h->service,
                                  .slots = h->slots,
                                  .held = h->held,
                                  .refused = h->refused,
                                  .is_avoided = h->is_avoided};
        if (is_due && report->holdings->len < SLOT_ITEMS_MAX) {
            g_array_append_val(report->holdings, holding);
            h->is_changed = FALSE;
            h->refused = 0;
            h->is_avoided = FALSE;
        }
    }
}

static void
add_service(const slot_link_t *link, slot_report_t *report,
            const char *service, const slot_service_t *s)
{
    gint64 now_us = link_now(link);
    if (s->brittle.is_brittle) {
        slot_mark_t mark = {.service = service_hash(service),
                            .refusals_per_s = s->brittle.refusals_per_s};
        g_array_append_val(report->marks, mark);
    }
    for (GList *l = s->waiters.head;
         l != NULL && report->wants->len < SLOT_WANTS_MAX; l = l->next) {
        slot_waiter_t *waiter = l->data;
        waiter->want.age_ms = (guint32)((now_us - waiter->since_us) / MS);
        waiter->want.left_ms =
            (guint32)(MAX(waiter->until_us - now_us, 0) / MS);
        g_array_append_val(report->wants, waiter->want);
    }
}

static slot_message_t
message_create(const slot_link_t *link, guint64 sequence)
{
    const entry_t *e = link->entry;
    slot_message_t message = {
        .from = e->settings->instance,
        .incarnation = link->incarnation,
        .sequence = sequence,
        .epoch = link->epoch,
        .instances = instance_count_get(&e->sharing_instances),
        .applied = link->applied,
    };
    slot_report_init(&message.report);
    return message;
}

static void
post(slot_link_t *link, inner_line_t *line, const char *path,
     slot_message_t *message, gint64 timeout_us)
{
    GBytes *body = slot_message_write(message);
    slot_report_clear(&message->report);
    if (!inner_line_post(line, path, body, timeout_us)) {
        link_failed(link);
    }
    g_bytes_unref(body);
}

static void
report_send(slot_link_t *link)
{
    GHashTableIter iter;
    gpointer service;
    gpointer value;
    slot_message_t message = message_create(link, ++link->report_sequence);
    message.report.is_full = link->is_full_due || link->epoch == 0;
    link->is_full_due = FALSE;
    link->is_report_due = FALSE;
    link->reports_left--;
    link->report_sent_us = clock_boot_us();
    add_holdings(link, &message.report);
    g_hash_table_iter_init(&iter, link->entry->services);
    while (g_hash_table_iter_next(&iter, &service, &value)) {
        const slot_service_t *s = &((service_state_t *)value)->slots;
        if (slot_link_is_brittle(link, s)) {
            add_service(link, &message.report, service, s);
        }
    }
    post(link, link->report_line, SLOTS_PATH, &message, ANSWER_TIMEOUT_US);
}

static void
poll_send(slot_link_t *link)
{
    slot_message_t message = message_create(link, ++link->poll_sequence);
    link->poll_sent_us = clock_boot_us();
    post(link, link->poll_line, SLOT_POLLS_PATH, &message,
         link->pace.poll_ms * (gint64)MS + ANSWER_TIMEOUT_US);
}

static inner_line_t *
create_line(slot_link_t *link, const inner_line_ops_t *ops)
{
    entry_t *e = link->entry;
    inner_line_setup_t setup = {.poller = e->poller,
                                .timers = e->timers,
                                .peer = GRANTOR_PEER_LIMITS,
                                .answer_max = ANSWER_MAX,
                                .ops = ops,
                                .user = link,
                                .traffic = e->traffic,
                                .kind = TRAFFIC_SLOTS};
    return inner_line_create(&setup, link->address);
}

static gboolean
connect_to(slot_link_t *link, const char *address)
{
    if (g_strcmp0(link->address, address) == 0) {
        return link->report_line != NULL && link->poll_line != NULL;
    }
    g_clear_pointer(&link->report_line, inner_line_destroy);
    g_clear_pointer(&link->poll_line, inner_line_destroy);
    g_free(link->address);
    link->address = g_strdup(address);
    link->report_line = create_line(link, &REPORT_OPS);
    link->poll_line = create_line(link, &POLL_OPS);
    link->epoch = 0;
    link->applied = 0;
    link->is_answering = FALSE;
    link->is_full_due = TRUE;
    link->is_report_due = TRUE;
    return link->report_line != NULL && link->poll_line != NULL;
}

/* Bounds the rate of reports of all instances together, but lets each send a
 * few at once. */
static gboolean
may_report(slot_link_t *link)
{
    gint64 now = link_now(link);
    double added =
        (double)(now - link->reports_left_us) / MAX(link->pace.report_us, 1);
    link->reports_left = MIN(link->reports_left + added, REPORTS_BURST);
    link->reports_left_us = now;
    return link->reports_left >= 1;
}

static gboolean
holds_or_wants(const slot_link_t *link)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, link->holds);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (((slot_hold_t *)value)->held > 0) {
            return TRUE;
        }
    }
    g_hash_table_iter_init(&iter, link->entry->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (((service_state_t *)value)->slots.waiters.length > 0) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Whether a poll is to be open. Without one, reports tell the grantor that
 * this instance is in touch. */
static gboolean
is_active(slot_link_t *link)
{
    if (holds_or_wants(link)) {
        link->active_us = link_now(link);
    }
    return link_now(link) - link->active_us < ACTIVE_US;
}

static void
send_messages(slot_link_t *link)
{
    const char *leader = control_links_leader(link->entry);
    /* Without a configuration the names of services are not known. */
    gboolean is_needed = has_brittle(link) || link->is_report_due;
    if (leader == NULL || link->entry->config == NULL || !is_needed ||
        link_now(link) < link->retry_us || !connect_to(link, leader)) {
        return;
    }
    if (link->is_report_due && !inner_line_is_busy(link->report_line) &&
        may_report(link)) {
        report_send(link);
    }
    if (link->epoch != 0 && !link->is_full_due && is_active(link) &&
        !inner_line_is_busy(link->poll_line)) {
        poll_send(link);
    }
}

static void
take_turn(slot_link_t *link)
{
    each_service(link, visit_service);
    send_messages(link);
}

static void
on_turn(void *data)
{
    slot_link_t *link = data;
    link->turn = 0;
    take_turn(link);
}

/* Ends what only the grantor said, once it does not say it any more. */
static void
end_untold(slot_link_t *link)
{
    GHashTableIter iter;
    gpointer service;
    gpointer value;
    g_hash_table_iter_init(&iter, link->entry->services);
    while (g_hash_table_iter_next(&iter, &service, &value)) {
        slot_service_t *s = &((service_state_t *)value)->slots;
        if (s->begun_us != 0 && !slot_link_is_brittle(link, s)) {
            service_end(link, service, s);
        }
    }
}

static void
on_tick(void *data)
{
    slot_link_t *link = data;
    /* All instances together name all endpoints twice a second, so
     * that the grantor knows those without requests. */
    double instances = instance_count_get(&link->entry->sharing_instances);
    if (g_rand_double(link->entry->random) * instances < NAMINGS_PER_TICK) {
        link->is_full_due = TRUE;
        link->is_report_due = TRUE;
    }
    gint64 silent_us =
        clock_boot_us() - MAX(link->report_sent_us, link->poll_sent_us);
    if (has_brittle(link) && silent_us >= link->pace.poll_ms * (gint64)MS) {
        link->is_report_due = TRUE;
    }
    end_untold(link);
    sweep_holds(link);
    take_turn(link);
    gboolean is_idle = !has_brittle(link) && !link->is_report_due &&
                       g_hash_table_size(link->holds) == 0;
    if (link->is_introduced && (is_idle || link->has_first_ticks)) {
        timers_cancel(link->entry->timers, link->tick);
        link->has_first_ticks = FALSE;
        link->tick = is_idle ? 0
                             : timers_subscribe(link->entry->timers, TICK_US,
                                                TICK_US, on_tick, link);
    }
}

void
slot_link_apply_config(slot_link_t *link)
{
    if (link->configured_us == 0) {
        link->configured_us = link_now(link);
        schedule_turn(link);
    }
}

void
slot_link_log_end(const slot_link_t *link, const char *endpoint)
{
    const endpoint_t *e = directory_find(link->entry->directory, endpoint);
    if (e == NULL || e->hold == NULL ||
        !event_log_begin(EVENT_FAILURE, "brittle_endpoint_ended")) {
        return;
    }
    event_log_cstr("endpoint", endpoint);
    event_log_number("slots", e->slots);
    event_log_number("held", e->hold->held);
    event_log_number("own_running", e->running);
    event_log_number("sent_in_2_s", slot_hold_sent(e->hold, link_now(link)));
    event_log_number("refused", e->hold->refused_total);
    event_log_end();
}

/* ---- create and destroy ---- */

void
slot_service_clear(slot_service_t *s)
{
    g_queue_clear(&s->waiters);
}

void
slot_link_dump(const slot_link_t *link, GString *text)
{
    GHashTableIter iter;
    gpointer value;
    gint64 left_us = link->granted_until_us - clock_boot_us();
    g_string_append_printf(text, "slots granted by %s%s, usable for %ld ms\n",
                           link->address != NULL ? link->address : "none",
                           link->is_answering ? "" : ", does not answer",
                           (long)(MAX(left_us, 0) / MS));
    g_hash_table_iter_init(&iter, link->holds);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const slot_hold_t *h = value;
        g_string_append_printf(text,
                               "slots of %016" G_GINT64_MODIFIER
                               "x: %u held of %u, last granted %ld ms ago\n",
                               h->endpoint, h->held, h->slots,
                               (long)((link_now(link) - h->granted_us) / MS));
    }
}

slot_link_t *
slot_link_create(entry_t *e)
{
    slot_link_t *link = g_new0(slot_link_t, 1);
    link->entry = e;
    link->holds =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    link->incarnation = (guint64)g_random_int() << 32 | g_random_int();
    link->pace = slot_pace(1, 1);
    link->started_us = entry_now(e);
    /* Learns at the start whether services are brittle. */
    link->is_report_due = TRUE;
    link->has_first_ticks = TRUE;
    link->tick = timers_subscribe(e->timers, FIRST_TICK_US, FIRST_TICK_US,
                                  on_tick, link);
    return link;
}

void
slot_link_destroy(slot_link_t *link)
{
    timers_cancel(link->entry->timers, link->tick);
    timers_cancel(link->entry->timers, link->turn);
    g_clear_pointer(&link->report_line, inner_line_destroy);
    g_clear_pointer(&link->poll_line, inner_line_destroy);
    g_hash_table_unref(link->holds);
    g_free(link->address);
    g_free(link);
}
