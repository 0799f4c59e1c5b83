/* The fake engine: continuous batching at a shared token rate, a prefix cache
 * in limited memory, a queue in order of arrival or of priority. */
#include "replay.h"

/* A prefix's share of a prompt that need not be computed when cached. */
static const double PREFIX_SHARE = 0.6;

static gboolean
cache_has(const engine_t *e, guint64 prefix)
{
    for (guint i = 0; prefix && i < CACHE_PREFIXES; i++) {
        if (e->cache[i] == prefix) {
            return TRUE;
        }
    }
    return FALSE;
}

static void
cache_add(engine_t *e, guint64 prefix)
{
    if (prefix && !cache_has(e, prefix)) {
        e->cache[e->cache_next++ % CACHE_PREFIXES] = prefix;
    }
}

static int
find_stream(const engine_t *e, const request_t *r)
{
    for (guint i = 0; i < e->streams->len; i++) {
        if (((stream_t *)e->streams->pdata[i])->request == r) {
            return (int)i;
        }
    }
    return -1;
}

static guint
count_running(const engine_t *e)
{
    guint count = 0;
    for (guint i = 0; i < e->streams->len; i++) {
        count += ((stream_t *)e->streams->pdata[i])->running;
    }
    return count;
}

/* Prefilling a token costs its part of the engine's time. */
static double
prefill_cost(const engine_t *e)
{
    return e->total_rate / e->prefill_rate;
}

void
engine_start(world_t *w, engine_t *e, request_t *r)
{
    stream_t *s = g_new0(stream_t, 1);
    double prompt = r->prompt + r->received;
    gboolean hit = cache_has(e, r->prefix);
    s->request = r;
    s->started_us = w->now_us;
    s->prefill_left = hit ? prompt * (1 - PREFIX_SHARE) : prompt;
    if (e->service_us > 0) {
        s->prefill_left = 0;
    }
    r->engine = (int)e->index;
    g_ptr_array_add(e->streams, s);
}

void
engine_cancel(world_t *w, engine_t *e, request_t *r)
{
    int at = find_stream(e, r);
    if (at < 0) {
        return;
    }
    const stream_t *s = e->streams->pdata[at];
    const replay_class_t *c = &w->trace->classes[r->class_index];
    /* Kept only where the caller has it and may go on from there. */
    if (!c->spec.resume || !c->repeatable || r->state == REQUEST_LOST) {
        w->wasted += s->made;
    }
    g_ptr_array_remove_index(e->streams, (guint)at);
    r->engine = -1;
}

double
engine_token_us(const engine_t *e)
{
    guint n = MAX(count_running(e), 1);
    double rate = MIN(e->stream_rate, e->total_rate / n) / e->slow;
    return 1e6 / rate;
}

/* Lets the queue's next in, by priority where the engine honours it. */
static void
admit(world_t *w, engine_t *e)
{
    while (count_running(e) < e->slots) {
        stream_t *best = NULL;
        for (guint i = 0; i < e->streams->len; i++) {
            stream_t *s = e->streams->pdata[i];
            int tier = w->trace->classes[s->request->class_index].spec.tier;
            if (s->running) {
                continue;
            }
            if (best == NULL ||
                (w->ops->engine_priority &&
                 tier < w->trace->classes[best->request->class_index]
                            .spec.tier)) {
                best = s;
            }
        }
        if (best == NULL) {
            return;
        }
        best->running = TRUE;
        request_t *r = best->request;
        if (r->wait_us == 0) {
            r->wait_us = MAX(w->now_us - r->arrive_us, 1);
        }
    }
}

static void
finish(world_t *w, engine_t *e, stream_t *s)
{
    request_t *r = s->request;
    gint64 span = w->now_us - s->first_us;
    settlement_t settlement = {
        .result = SETTLE_COMPLETE,
        .tokens = r->received,
        .token_us = s->made > 1 ? (double)span / (s->made - 1) : 0,
    };
    r->state = REQUEST_DONE;
    r->end_us = w->now_us;
    r->engine = -1;
    g_ptr_array_remove(e->streams, s);
    w->ops->ended(w->policy, r, e->index, &settlement);
}

static void
step_service(world_t *w, engine_t *e, stream_t *s)
{
    s->credit += TICK_US;
    if (s->credit < e->service_us * e->slow) {
        return;
    }
    s->request->first_us = w->now_us;
    s->request->received = s->request->tokens;
    w->computed += s->request->tokens;
    finish(w, e, s);
}

static void
step_stream(world_t *w, engine_t *e, stream_t *s, double rate,
            double prefill_rate)
{
    request_t *r = s->request;
    double seconds = TICK_US / 1e6;
    if (s->prefill_left > 0) {
        double done = MIN(prefill_rate * seconds, s->prefill_left);
        s->prefill_left -= done;
        w->computed += done * prefill_cost(e);
        if (r->attempts > 1) {
            w->wasted += done * prefill_cost(e); /* computed again */
        }
        if (s->prefill_left <= 0) {
            cache_add(e, r->prefix);
            w->ops->cache(w->policy, e, r->prefix);
        }
        return;
    }
    s->credit += rate * seconds;
    while (s->credit >= 1 && r->received < r->tokens) {
        s->credit -= 1;
        s->made++;
        r->received++;
        w->computed += 1;
        if (s->first_us == 0) {
            s->first_us = w->now_us;
        }
        if (r->first_us == 0) {
            r->first_us = w->now_us;
        }
    }
    if (r->received >= r->tokens) {
        finish(w, e, s);
    }
}

void
engine_step(world_t *w, engine_t *e)
{
    if (e->down) {
        return;
    }
    admit(w, e);
    guint prefilling = 0;
    for (guint i = 0; i < e->streams->len; i++) {
        const stream_t *s = e->streams->pdata[i];
        prefilling += s->running && s->prefill_left > 0;
    }
    double rate = 1e6 / engine_token_us(e);
    double prefill = e->prefill_rate / MAX(prefilling, 1) / e->slow;
    GPtrArray *running = g_ptr_array_new();
    for (guint i = 0; i < e->streams->len; i++) {
        if (((stream_t *)e->streams->pdata[i])->running) {
            g_ptr_array_add(running, e->streams->pdata[i]);
        }
    }
    for (guint i = 0; i < running->len; i++) {
        /* A stream that ended may have led to another's preemption. */
        if (!g_ptr_array_find(e->streams, running->pdata[i], NULL)) {
            continue;
        }
        if (e->service_us > 0) {
            step_service(w, e, running->pdata[i]);
        }
        else {
            step_stream(w, e, running->pdata[i], rate, prefill);
        }
    }
    g_ptr_array_unref(running);
}
