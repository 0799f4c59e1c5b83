/* Replay of traces against small fakes of engines, on a manual clock.
 *
 * There is no model of network, hosts or hardware: an engine is a shared
 * token rate, a prefix cache and a queue. Same seed, same bytes out. */
#ifndef REPLAY_REPLAY_H
#define REPLAY_REPLAY_H

#include <glib.h>
#include <jansson.h>

#include "carobloom/policy/class.h"
#include "carobloom/policy/scheduler.h"

enum {
    REPLAY_CLASSES = 8,
    REPLAY_POOLS = 2,
    REPLAY_ENGINES = 64,
    REPLAY_INSTANCES = 9,
    TICK_US = 5000,
    CACHE_PREFIXES = 24, /* an engine's prefix cache */
};

typedef enum {
    REQUEST_WAITING,
    REQUEST_RUNNING,
    REQUEST_DONE,
    REQUEST_REFUSED,
    REQUEST_LOST, /* given up by its caller, or broken */
} request_state_t;

/* One request of a trace, and what came of it. */
typedef struct {
    guint64 id;
    guint index;
    guint class_index;
    guint pool;
    guint instance;
    guint64 team;
    guint prompt;
    guint64 prefix;
    guint tokens; /* its true length */
    gint64 arrive_us;
    request_state_t state;
    gint64 first_us; /* 0: none yet */
    gint64 end_us;
    gint64 wait_us; /* until its first start */
    guint received; /* tokens the caller has */
    guint preemptions;
    guint attempts;
    int engine; /* -1 when not at one */
    guint64 avoid;
} request_t;

typedef struct {
    char name[32];
    class_spec_t spec;
    gboolean repeatable;
    gint64 wait_bound_us; /* documented bound on its longest wait */
} replay_class_t;

/* A stream at an engine. */
typedef struct {
    request_t *request;
    double prefill_left; /* tokens */
    double credit;       /* part of the next token */
    gint64 started_us;
    gint64 first_us;
    guint made;
    gboolean running; /* else it waits in the engine's queue */
} stream_t;

typedef struct {
    guint index;
    guint pool;
    guint slots;
    double stream_rate; /* tokens a second of one stream alone */
    double total_rate;
    double prefill_rate;
    double service_us; /* of a plain service */
    double slow;       /* 1, or a straggler's factor */
    gboolean down;
    gboolean frozen;    /* its reports repeat the past */
    GPtrArray *streams; /* stream_t, in order of arrival */
    guint64 cache[CACHE_PREFIXES];
    guint cache_next;
    guint reported_busy;
    double reported_token_us;
} engine_t;

typedef enum {
    FAULT_SLOW,
    FAULT_CRASH,
    FAULT_FREEZE,
    FAULT_INSTANCE
} fault_kind_t;

typedef struct {
    gint64 at_us;
    gint64 until_us;
    fault_kind_t kind;
    guint target;
    double factor;
} fault_event_t;

typedef struct {
    char name[32];
    guint64 seed;
    guint class_count;
    replay_class_t classes[REPLAY_CLASSES];
    GArray *requests; /* request_t, by arrival */
    GArray *faults;   /* fault_event_t */
    engine_t engines[REPLAY_ENGINES];
    guint engine_count;
    gint64 length_us;
    double offered; /* peak demand against capacity, in tokens */
} trace_t;

struct world;

/* A policy under replay. */
typedef struct {
    const char *name;
    gboolean engine_priority; /* engines order their queue by tier */
    gboolean clairvoyant;
    void *(*create)(struct world *world);
    void (*destroy)(void *policy);
    void (*arrive)(void *policy, request_t *request);
    void (*ended)(void *policy, request_t *request, guint engine,
                  const settlement_t *settlement);
    void (*cancelled)(void *policy, request_t *request);
    void (*report)(void *policy, const engine_t *engine, gint64 at_us);
    void (*cache)(void *policy, const engine_t *engine, guint64 prefix);
    void (*up)(void *policy, const engine_t *engine, gboolean up);
    void (*tick)(void *policy);
} policy_ops_t;

typedef struct world {
    trace_t *trace;
    const policy_ops_t *ops;
    void *policy;
    GRand *rand;
    gint64 now_us;
    double computed; /* token equivalents */
    double wasted;
    guint messages; /* control, all instances */
    guint64 bytes;
    guint refused_protected; /* while lower work held a slot */
    guint bad_preemptions;
    gboolean with_faults;
} world_t;

/* trace.c */
trace_t *trace_load(const char *path);
void trace_destroy(trace_t *trace);

/* engine.c */
void engine_start(world_t *world, engine_t *engine, request_t *request);
/* Takes a request off; what it made for nobody counts as waste. */
void engine_cancel(world_t *world, engine_t *engine, request_t *request);
void engine_step(world_t *world, engine_t *engine);
double engine_token_us(const engine_t *engine);

/* run.c: what policies may do */
void world_start(world_t *world, request_t *request, guint engine);
void world_refuse(world_t *world, request_t *request);
void world_preempt(world_t *world, request_t *request);
void world_message(world_t *world, guint bytes);
/* The result as JSON. */
json_t *world_run(trace_t *trace, const policy_ops_t *ops, gboolean faults);

/* policies.c */
const policy_ops_t *policy_find(const char *name);
const policy_ops_t *policy_at(guint index);

#endif
