/* Traces: a JSON file with comments says what arrives when; expanding it with
 * its seed gives the same requests every time. docs/design/replay.md has the
 * format. */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "carobloom/common/jsonc.h"
#include "replay.h"

static double
number(json_t *object, const char *key, double fallback)
{
    json_t *value = json_object_get(object, key);
    return value ? json_number_value(value) : fallback;
}

static gint64
ms(json_t *object, const char *key, double fallback)
{
    return (gint64)(number(object, key, fallback) * 1000);
}

static void
read_class(json_t *item, replay_class_t *c)
{
    g_strlcpy(c->name, json_string_value(json_object_get(item, "name")),
              sizeof(c->name));
    c->repeatable = number(item, "repeatable", 1) > 0;
    c->wait_bound_us = ms(item, "wait_bound_ms", 600000);
    c->spec = (class_spec_t){
        .tier = (int)number(item, "tier", 0),
        .min_share = number(item, "least_share", 0.02),
        .weight = number(item, "weight", 1),
        .first_token_us = ms(item, "first_token_ms", 1000),
        .between_tokens_us = ms(item, "between_tokens_ms", 100),
        .deadline_us = ms(item, "deadline_ms", 60000),
        .max_wait_us = ms(item, "max_wait_ms", 30000),
        .queue_limit = 100000,
        .typical_tokens = (guint)number(item, "typical_tokens", 200),
        .resume = number(item, "resume", 0) > 0,
        .protect = number(item, "protect", 0) > 0,
    };
}

/* Lengths are log-normal: a median and a spread (sigma of the logarithm). */
static guint
draw_length(GRand *rand, double median, double sigma)
{
    double u = g_rand_double(rand);
    double v = g_rand_double(rand);
    double normal = sqrt(-2 * log(MAX(u, 1e-12))) * cos(2 * G_PI * v);
    return (guint)CLAMP(median * exp(sigma * normal), 1, 32000);
}

/* The rate of a flow at a time: linear between the given points. */
static double
rate_at(json_t *points, double t)
{
    double last_t = 0;
    double last_rate = 0;
    size_t index;
    json_t *point;
    json_array_foreach(points, index, point)
    {
        double pt = json_number_value(json_array_get(point, 0));
        double rate = json_number_value(json_array_get(point, 1));
        if (t < pt) {
            double part = pt > last_t ? (t - last_t) / (pt - last_t) : 1;
            return last_rate + (rate - last_rate) * part;
        }
        last_t = pt;
        last_rate = rate;
    }
    return last_rate;
}

static guint
class_named(const trace_t *t, const char *name)
{
    for (guint i = 0; i < t->class_count; i++) {
        if (strcmp(t->classes[i].name, name) == 0) {
            return i;
        }
    }
    fprintf(stderr, "replay: no class is named %s\n", name);
    exit(2);
}

static void
expand_flow(trace_t *t, json_t *flow, GRand *rand)
{
    guint class_index =
        class_named(t, json_string_value(json_object_get(flow, "class")));
    json_t *rates = json_object_get(flow, "rate");
    guint teams = (guint)number(flow, "teams", 10);
    guint prefixes = (guint)number(flow, "prefixes", 8);
    double seconds = (double)t->length_us / 1e6;
    for (double at = 0; at < seconds;) {
        double rate = rate_at(rates, at);
        double u = MAX(g_rand_double(rand), 1e-12);
        double step = rate > 0 ? -log(u) / rate : 0.1;
        at += MIN(step, 0.1);
        if (step > 0.1 || at >= seconds) {
            continue; /* the rate may have changed: draw again */
        }
        /* A few large teams: the square favours the low numbers. */
        double who = g_rand_double(rand);
        request_t r = {
            .class_index = class_index,
            .pool = (guint)number(flow, "pool", 0),
            .instance = (guint)g_rand_int_range(rand, 0, REPLAY_INSTANCES),
            .team = 1 + (guint64)(who * who * teams),
            .prompt = draw_length(rand, number(flow, "prompt", 200), 0.5),
            .tokens = draw_length(rand, number(flow, "median", 100),
                                  number(flow, "sigma", 0.5)),
            .arrive_us = (gint64)(at * 1e6),
            .engine = -1,
        };
        r.prefix = prefixes
                       ? class_index * 1000 + 1 +
                             (guint64)g_rand_int_range(rand, 0, (gint)prefixes)
                       : 0;
        g_array_append_val(t->requests, r);
    }
}

static gint
by_arrival(gconstpointer a, gconstpointer b)
{
    const request_t *x = a;
    const request_t *y = b;
    if (x->arrive_us != y->arrive_us) {
        return x->arrive_us < y->arrive_us ? -1 : 1;
    }
    return x->class_index < y->class_index ? -1
                                           : x->class_index > y->class_index;
}

static void
read_engines(trace_t *t, json_t *list)
{
    size_t index;
    json_t *item;
    json_array_foreach(list, index, item)
    {
        guint count = (guint)number(item, "count", 1);
        for (guint i = 0; i < count && t->engine_count < REPLAY_ENGINES; i++) {
            engine_t *e = &t->engines[t->engine_count];
            *e = (engine_t){
                .index = t->engine_count++,
                .pool = (guint)number(item, "pool", 0),
                .slots = (guint)number(item, "slots", 16),
                .stream_rate = number(item, "stream_rate", 50),
                .total_rate = number(item, "total_rate", 1000),
                .prefill_rate = number(item, "prefill_rate", 20000),
                .service_us = number(item, "service_ms", 0) * 1000,
                .slow = 1,
            };
            e->streams = g_ptr_array_new_with_free_func(g_free);
        }
    }
}

static void
read_faults(trace_t *t, json_t *list)
{
    static const char *const kinds[] = {"slow", "crash", "freeze", "instance"};
    size_t index;
    json_t *item;
    json_array_foreach(list, index, item)
    {
        const char *kind = json_string_value(json_object_get(item, "kind"));
        fault_event_t f = {
            .at_us = (gint64)(number(item, "at", 0) * 1e6),
            .until_us = (gint64)(number(item, "until", 1e6) * 1e6),
            .target = (guint)number(item, "target", 0),
            .factor = number(item, "factor", 4),
        };
        for (guint k = 0; k < G_N_ELEMENTS(kinds); k++) {
            if (g_strcmp0(kinds[k], kind) == 0) {
                f.kind = (fault_kind_t)k;
            }
        }
        g_array_append_val(t->faults, f);
    }
}

/* Peak demand of the model pool over its capacity, over any 10 seconds. */
static double
peak_demand(const trace_t *t)
{
    guint windows = (guint)(t->length_us / 10000000) + 1;
    double *tokens = g_new0(double, windows);
    for (guint i = 0; i < t->requests->len; i++) {
        const request_t *r = &g_array_index(t->requests, request_t, i);
        if (r->pool == 0) {
            tokens[r->arrive_us / 10000000] += r->tokens;
        }
    }
    double capacity = 0;
    for (guint i = 0; i < t->engine_count; i++) {
        capacity += t->engines[i].pool == 0 ? t->engines[i].total_rate : 0;
    }
    double peak = 0;
    for (guint i = 0; i < windows; i++) {
        peak = MAX(peak, tokens[i] / (10 * capacity));
    }
    g_free(tokens);
    return peak;
}

static void
expand(trace_t *t, json_t *root)
{
    GRand *rand = g_rand_new_with_seed((guint32)t->seed);
    size_t index;
    json_t *item;
    json_array_foreach(json_object_get(root, "flows"), index, item)
    {
        expand_flow(t, item, rand);
    }
    g_rand_free(rand);
    g_array_sort(t->requests, by_arrival);
    for (guint i = 0; i < t->requests->len; i++) {
        request_t *r = &g_array_index(t->requests, request_t, i);
        r->index = i;
        r->id = (guint64)(r->instance + 1) << 32 | (i + 1);
    }
}

trace_t *
trace_load(const char *path)
{
    char *text = NULL;
    gsize length = 0;
    jsonc_error_t error = {.text = "can not be read"};
    json_t *root = NULL;
    if (g_file_get_contents(path, &text, &length, NULL)) {
        root = jsonc_parse((str_t){.data = text, .length = length}, &error);
    }
    g_free(text);
    if (root == NULL) {
        fprintf(stderr, "replay: %s:%d: %s\n", path, error.line, error.text);
        return NULL;
    }
    trace_t *t = g_new0(trace_t, 1);
    g_strlcpy(t->name, json_string_value(json_object_get(root, "name")),
              sizeof(t->name));
    t->seed = (guint64)number(root, "seed", 1);
    t->length_us = (gint64)(number(root, "seconds", 60) * 1e6);
    t->requests = g_array_new(FALSE, TRUE, sizeof(request_t));
    t->faults = g_array_new(FALSE, TRUE, sizeof(fault_event_t));
    size_t index;
    json_t *item;
    json_array_foreach(json_object_get(root, "classes"), index, item)
    {
        if (t->class_count < REPLAY_CLASSES) {
            read_class(item, &t->classes[t->class_count++]);
        }
    }
    read_engines(t, json_object_get(root, "engines"));
    read_faults(t, json_object_get(root, "faults"));
    expand(t, root);
    t->offered = peak_demand(t);
    json_decref(root);
    return t;
}

void
trace_destroy(trace_t *t)
{
    for (guint i = 0; i < t->engine_count; i++) {
        g_ptr_array_unref(t->engines[i].streams);
    }
    g_array_unref(t->requests);
    g_array_unref(t->faults);
    g_free(t);
}
