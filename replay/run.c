/* The clock and the books: arrivals, faults, reports, patience, results. */
#include <string.h>

#include "replay.h"

static const gint64 REPORT_US = 1000000;
static const gint64 REPORT_LAG_US = 400000; /* how old a report is */
static const gint64 DRAIN_US = 3600 * (gint64)1000000;

static engine_t *
engine_of(world_t *w, const request_t *r)
{
    return r->engine < 0 ? NULL : &w->trace->engines[r->engine];
}

void
world_message(world_t *w, guint bytes)
{
    w->messages++;
    w->bytes += bytes;
}

void
world_start(world_t *w, request_t *r, guint engine)
{
    r->state = REQUEST_RUNNING;
    r->attempts++;
    engine_start(w, &w->trace->engines[engine], r);
}

/* The assertions of the brief, at every decision. */
static gboolean
lower_work_runs(const world_t *w, const request_t *r)
{
    int tier = w->trace->classes[r->class_index].spec.tier;
    for (guint i = 0; i < w->trace->engine_count; i++) {
        const engine_t *e = &w->trace->engines[i];
        for (guint k = 0; e->pool == r->pool && k < e->streams->len; k++) {
            const stream_t *s = e->streams->pdata[k];
            if (w->trace->classes[s->request->class_index].spec.tier > tier) {
                return TRUE;
            }
        }
    }
    return FALSE;
}

void
world_refuse(world_t *w, request_t *r)
{
    if (w->trace->classes[r->class_index].spec.protect &&
        lower_work_runs(w, r)) {
        w->refused_protected++;
    }
    r->state = REQUEST_REFUSED;
    r->end_us = w->now_us;
    w->wasted += r->received;
}

void
world_preempt(world_t *w, request_t *r)
{
    const replay_class_t *c = &w->trace->classes[r->class_index];
    gboolean above_waits = FALSE;
    for (guint i = 0; i < w->trace->class_count; i++) {
        above_waits |= w->trace->classes[i].spec.tier < c->spec.tier;
    }
    if (!above_waits || c->spec.protect) {
        w->bad_preemptions++;
    }
    engine_t *e = engine_of(w, r);
    if (e != NULL) {
        engine_cancel(w, e, r);
    }
    r->state = REQUEST_WAITING;
    r->preemptions++;
}

/* A break is over for the request: its policy gets it back, or it is lost. */
static void
break_request(world_t *w, request_t *r, engine_t *e)
{
    const replay_class_t *c = &w->trace->classes[r->class_index];
    guint engine = e->index;
    engine_cancel(w, e, r);
    settlement_t failed = {.result = SETTLE_FAILED, .tokens = r->received};
    if (!c->repeatable) {
        r->state = REQUEST_LOST; /* whether it ran is not known */
        w->ops->ended(w->policy, r, engine, &failed);
        return;
    }
    if (!c->spec.resume) {
        r->received = 0;
        r->first_us = 0;
    }
    r->state = REQUEST_WAITING;
    r->avoid = engine + 1;
    w->ops->ended(w->policy, r, engine, &failed);
    w->ops->arrive(w->policy, r);
}

static void
crash(world_t *w, engine_t *e)
{
    e->down = TRUE;
    while (e->streams->len > 0) {
        stream_t *s = e->streams->pdata[0];
        break_request(w, s->request, e);
    }
    memset(e->cache, 0, sizeof(e->cache));
    w->ops->up(w->policy, e, FALSE);
}

/* An instance dies: its callers lose what they had there. */
static void
lose_instance(world_t *w, guint instance)
{
    for (guint i = 0; i < w->trace->requests->len; i++) {
        request_t *r = &g_array_index(w->trace->requests, request_t, i);
        if (r->arrive_us > w->now_us || r->instance != instance ||
            r->state > REQUEST_RUNNING) {
            continue;
        }
        engine_t *e = engine_of(w, r);
        r->state = REQUEST_LOST;
        if (e != NULL) {
            engine_cancel(w, e, r);
        }
        else {
            w->wasted += r->received;
        }
        w->ops->cancelled(w->policy, r);
    }
}

static void
apply_faults(world_t *w)
{
    for (guint i = 0; w->with_faults && i < w->trace->faults->len; i++) {
        const fault_event_t *f =
            &g_array_index(w->trace->faults, fault_event_t, i);
        gboolean begins =
            f->at_us <= w->now_us && f->at_us > w->now_us - TICK_US;
        gboolean ends =
            f->until_us <= w->now_us && f->until_us > w->now_us - TICK_US;
        engine_t *e = &w->trace->engines[f->target];
        if (f->kind == FAULT_SLOW && (begins || ends)) {
            e->slow = begins ? f->factor : 1;
        }
        else if (f->kind == FAULT_FREEZE && (begins || ends)) {
            e->frozen = begins;
        }
        else if (f->kind == FAULT_CRASH && begins) {
            crash(w, e);
        }
        else if (f->kind == FAULT_CRASH && ends) {
            e->down = FALSE;
            w->ops->up(w->policy, e, TRUE);
        }
        else if (f->kind == FAULT_INSTANCE && begins) {
            lose_instance(w, f->target);
        }
    }
}

static void
send_reports(world_t *w)
{
    if (w->now_us % REPORT_US != 0) {
        return;
    }
    for (guint i = 0; i < w->trace->engine_count; i++) {
        engine_t *e = &w->trace->engines[i];
        if (e->down) {
            continue;
        }
        gint64 lag = w->ops->clairvoyant ? 0 : REPORT_LAG_US;
        w->ops->report(w->policy, e, w->now_us - lag);
        if (!e->frozen) {
            e->reported_busy = e->streams->len;
            e->reported_token_us = engine_token_us(e);
        }
    }
}

/* Callers whose first token did not come in time go away. */
static void
lose_patience(world_t *w, GPtrArray *open)
{
    for (guint i = 0; i < open->len;) {
        request_t *r = open->pdata[i];
        const replay_class_t *c = &w->trace->classes[r->class_index];
        gboolean over = r->state > REQUEST_RUNNING;
        if (!over && r->first_us == 0 &&
            w->now_us - r->arrive_us > 2 * c->spec.deadline_us) {
            engine_t *e = engine_of(w, r);
            r->state = REQUEST_LOST;
            if (e != NULL) {
                engine_cancel(w, e, r);
            }
            w->ops->cancelled(w->policy, r);
            over = TRUE;
        }
        if (over) {
            g_ptr_array_remove_index_fast(open, i);
        }
        else {
            i++;
        }
    }
}

/* ---- results ---- */

/* In time: the first token and the pace are within the class's targets. */
static gboolean
attained(const replay_class_t *c, const request_t *r)
{
    if (r->state != REQUEST_DONE ||
        r->first_us - r->arrive_us > c->spec.first_token_us) {
        return FALSE;
    }
    gint64 span = r->end_us - r->first_us;
    return r->tokens < 2 ||
           span / (r->tokens - 1) <= c->spec.between_tokens_us;
}

static json_t *
class_result(const world_t *w, guint index, double seconds)
{
    const replay_class_t *c = &w->trace->classes[index];
    guint count = 0;
    guint met = 0;
    guint refused = 0;
    guint lost = 0;
    guint preempted = 0;
    gint64 longest = 0;
    double goodput = 0;
    guint late_first = 0;
    for (guint i = 0; i < w->trace->requests->len; i++) {
        const request_t *r = &g_array_index(w->trace->requests, request_t, i);
        if (r->class_index != index) {
            continue;
        }
        count++;
        refused += r->state == REQUEST_REFUSED;
        lost += r->state == REQUEST_LOST || r->state <= REQUEST_RUNNING;
        preempted += r->preemptions;
        longest = MAX(longest, r->wait_us);
        gboolean late = r->first_us - r->arrive_us > c->spec.first_token_us;
        late_first += r->state == REQUEST_DONE && late;
        if (attained(c, r)) {
            met++;
            goodput += r->tokens;
        }
    }
    return json_pack(
        "{s:s, s:i, s:i, s:f, s:f, s:i, s:i, s:i, s:i, s:i, s:f, s:b}",
        "class", c->name, "tier", c->spec.tier, "requests", (int)count,
        "attainment", count ? (double)met / count : 1.0, "goodput",
        goodput / seconds, "late", (int)late_first, "slow",
        (int)(count - met - late_first - refused - lost), "refused",
        (int)refused, "lost", (int)lost, "preempted", (int)preempted,
        "longest_wait_s", (double)longest / 1e6, "within_bound",
        (int)(longest <= c->wait_bound_us));
}

static json_t *
results(const world_t *w)
{
    double seconds = (double)w->trace->length_us / 1e6;
    json_t *classes = json_array();
    double goodput = 0;
    for (guint i = 0; i < w->trace->class_count; i++) {
        json_t *one = class_result(w, i, seconds);
        goodput += json_number_value(json_object_get(one, "goodput"));
        json_array_append_new(classes, one);
    }
    return json_pack(
        "{s:s, s:s, s:b, s:f, s:f, s:f, s:i, s:f, s:i, s:i, s:f, s:o}",
        "trace", w->trace->name, "policy", w->ops->name, "faults",
        (int)w->with_faults, "offered", w->trace->offered, "goodput", goodput,
        "waste", w->computed > 0 ? w->wasted / w->computed : 0.0, "messages",
        (int)w->messages, "bytes_s_instance",
        (double)w->bytes / seconds / REPLAY_INSTANCES, "protected_refusals",
        (int)w->refused_protected, "bad_preemptions", (int)w->bad_preemptions,
        "requests", (double)w->trace->requests->len, "classes", classes);
}

static void
world_reset(world_t *w)
{
    trace_t *t = w->trace;
    for (guint i = 0; i < t->requests->len; i++) {
        request_t *r = &g_array_index(t->requests, request_t, i);
        r->state = REQUEST_WAITING;
        r->first_us = r->end_us = r->wait_us = 0;
        r->received = r->preemptions = r->attempts = 0;
        r->engine = -1;
        r->avoid = 0;
    }
    for (guint i = 0; i < t->engine_count; i++) {
        engine_t *e = &t->engines[i];
        g_ptr_array_set_size(e->streams, 0);
        memset(e->cache, 0, sizeof(e->cache));
        e->cache_next = 0;
        e->slow = 1;
        e->down = e->frozen = FALSE;
        e->reported_busy = 0;
        e->reported_token_us = 0;
    }
}

json_t *
world_run(trace_t *trace, const policy_ops_t *ops, gboolean faults)
{
    world_t w = {.trace = trace, .ops = ops, .with_faults = faults};
    w.rand = g_rand_new_with_seed((guint32)trace->seed + 1);
    world_reset(&w);
    w.policy = ops->create(&w);
    GPtrArray *open = g_ptr_array_new();
    guint next = 0;
    gint64 end = trace->length_us + DRAIN_US;
    for (w.now_us = TICK_US; w.now_us <= end; w.now_us += TICK_US) {
        while (next < trace->requests->len) {
            request_t *r = &g_array_index(trace->requests, request_t, next);
            if (r->arrive_us > w.now_us) {
                break;
            }
            next++;
            g_ptr_array_add(open, r);
            ops->arrive(w.policy, r);
        }
        apply_faults(&w);
        for (guint i = 0; i < trace->engine_count; i++) {
            engine_step(&w, &trace->engines[i]);
        }
        send_reports(&w);
        ops->tick(w.policy);
        if (w.now_us % 100000 == 0) {
            lose_patience(&w, open);
        }
        if (next >= trace->requests->len && open->len == 0) {
            break;
        }
    }
    json_t *result = results(&w);
    g_ptr_array_unref(open);
    ops->destroy(w.policy);
    g_rand_free(w.rand);
    return result;
}
