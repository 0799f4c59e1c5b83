/* Plays loads against the decisions of several entry instances on a model of
 * engines, and checks what callers get: first events and pauses within their
 * objectives. */
#include <math.h>

#include "batch_engine.h"
#include "carobloom/policy/directory.h"
#include "carobloom/policy/engine_model.h"
#include "carobloom/policy/limit_quota.h"
#include "carobloom/policy/placement.h"
#include "carobloom/policy/prompt_mix.h"
#include "check.h"
#include "leases.h"

enum {
    ENGINES_MOST = 700,
    INSTANCES_MOST = 300,
    INSTANCES = 4, /* unless a load says otherwise */
    TICK_MS = 2,
    TELL_MS = 200, /* how often each instance reports and is told loads */
    PARTS = 100,   /* shared by the prompts of a kind */
};

typedef enum { KIND_LONG, KIND_CHAT, KIND_TAG, KINDS } kind_t;

typedef struct {
    guint prompt_tokens;
    guint shared_tokens;
    guint out_tokens;
    guint priority;
    gint64 target_ms;
    gint64 pause_ms;
} request_kind_t;

/* Requests a second, until a time of the play. */
typedef struct {
    double until_s;
    double a_second[KINDS];
} phase_t;

/* What instances are told of the loads of others. */
typedef enum { TOLD_BUSIEST, TOLD_ALL, TOLD_NONE, TOLD_WAYS } told_t;

typedef struct {
    const engine_kind_t *kind;
    const request_kind_t *requests; /* by kind; NULL: REQUESTS */
    guint engines;
    phase_t phases[4];
    guint phase_count;
    double fixed_part;   /* of the engines, for long prompts; 0: it follows */
    guint instances;     /* 0: INSTANCES */
    guint parts;         /* 0: PARTS */
    guint tell_ms;       /* 0: TELL_MS */
    gboolean parts_told; /* instances tell each other what they sent where */
    told_t told;
    guint limited; /* so many engines name a limit */
    double limit;  /* requests a second */
    gboolean heeded;
} load_t;

/* What one kind of caller got. */
typedef struct {
    guint asked;
    guint in_aim;
    guint refused;
} served_t;

static const request_kind_t REQUESTS[KINDS] = {
    [KIND_LONG] = {.prompt_tokens = 9000,
                   .shared_tokens = 6000,
                   .out_tokens = 60,
                   .priority = 1,
                   .target_ms = 500,
                   .pause_ms = 300},
    [KIND_CHAT] = {.prompt_tokens = 800,
                   .out_tokens = 300,
                   .target_ms = 600,
                   .pause_ms = 200},
    [KIND_TAG] = {.prompt_tokens = 2400,
                  .shared_tokens = 600,
                  .out_tokens = 30,
                  .priority = 1,
                  .target_ms = 500,
                  .pause_ms = 600},
};

typedef struct {
    engine_job_t job;
    kind_t kind;
    guint instance;
    guint waiting;
    guint found_waiting;
    gboolean heard; /* its first event was seen */
    endpoint_t *endpoint;
} play_request_t;

typedef struct {
    const load_t *load;
    guint instances;
    batch_engine_t *engines[ENGINES_MOST];
    directory_t *seen[INSTANCES_MOST];
    prompt_mix_t mix[INSTANCES_MOST];
    engine_split_t split[INSTANCES_MOST];
    engine_model_t model[INSTANCES_MOST];
    load_sum_t *loads;            /* as the instances reported them */
    part_feed_t *feed;            /* the same of parts */
    GArray *sent[INSTANCES_MOST]; /* part_note_t, to be reported */
    guint64 heard[INSTANCES_MOST];
    limit_quota_t *quota;
    guint64 asks;
    GArray *limited_ms[ENGINES_MOST]; /* double: sends to those, or NULL */
    GHashTable *read;   /* shared parts that some engine has read */
    guint64 shared;     /* tokens of shared parts, asked for */
    guint64 read_again; /* of these, though some engine had read them */
    guint64 most;       /* requests under way at the busiest engine, summed */
    guint64 sum;    /* and at all, over the moments at which loads are told */
    GArray *errors; /* double, ms: expected first events less real ones */
    GPtrArray *under_way; /* play_request_t * */
    served_t served[KINDS];
    GRand *random;
} play_t;

static void
play_init(play_t *p, const load_t *load, guint32 seed)
{
    *p = (play_t){.load = load,
                  .instances =
                      load->instances > 0 ? load->instances : INSTANCES};
    p->loads = load_sum_create();
    p->feed = part_feed_create();
    p->quota = limit_quota_create();
    for (guint i = 0; i < load->limited; i++) {
        p->limited_ms[i] = g_array_new(FALSE, FALSE, sizeof(double));
    }
    p->read = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    p->errors = g_array_new(FALSE, FALSE, sizeof(double));
    p->under_way = g_ptr_array_new_with_free_func(g_free);
    p->random = g_rand_new_with_seed(seed);
    for (guint i = 0; i < load->engines; i++) {
        p->engines[i] = batch_engine_create(load->kind);
    }
    for (guint n = 0; n < p->instances; n++) {
        p->seen[n] = directory_create(drop_nothing);
        p->sent[n] = g_array_new(FALSE, FALSE, sizeof(part_note_t));
        engine_model_init(&p->model[n]);
        for (guint i = 0; i < load->engines; i++) {
            char id[16];
            g_snprintf(id, sizeof(id), "%u", i);
            endpoint_lease_t lease = {.id = id,
                                      .service = "s",
                                      .address = id,
                                      .data_centre = "dc",
                                      .sequence = 1,
                                      .slots = load->kind->slots,
                                      .state = LEASE_READY};
            directory_update(p->seen[n], 0, &lease, 0);
        }
    }
}

static void
play_clear(play_t *p)
{
    load_sum_destroy(p->loads);
    part_feed_destroy(p->feed);
    limit_quota_destroy(p->quota);
    for (guint i = 0; i < p->load->limited; i++) {
        g_array_unref(p->limited_ms[i]);
    }
    g_hash_table_unref(p->read);
    g_array_unref(p->errors);
    g_ptr_array_unref(p->under_way);
    g_rand_free(p->random);
    for (guint i = 0; i < p->load->engines; i++) {
        batch_engine_destroy(p->engines[i]);
    }
    for (guint n = 0; n < p->instances; n++) {
        directory_destroy(p->seen[n]);
        g_array_unref(p->sent[n]);
    }
}

static const request_kind_t *
kind_of(const play_t *p, kind_t kind)
{
    return p->load->requests != NULL ? &p->load->requests[kind]
                                     : &REQUESTS[kind];
}

static guint
engine_of(const endpoint_t *e)
{
    return (guint)g_ascii_strtoull(e->id, NULL, 10);
}

static double
long_part(const play_t *p, guint instance)
{
    return p->load->fixed_part > 0 ? p->load->fixed_part
                                   : engine_split_part(&p->split[instance]);
}

static placement_t
play_place(play_t *p, guint n, kind_t kind, guint64 part, double now_ms)
{
    const request_kind_t *k = kind_of(p, kind);
    prompt_part_t parts[] = {
        {part, k->shared_tokens},
        {g_rand_int(p->random) | G_GUINT64_CONSTANT(1) << 40,
         k->prompt_tokens - k->shared_tokens}};
    gint64 now_us = (gint64)(now_ms * 1000);
    prompt_note_t note = {.prompt_tokens = k->prompt_tokens,
                          .target_ms = k->target_ms,
                          .pause_ms = k->pause_ms,
                          .priority = k->priority};
    prompt_mix_note(&p->mix[n], note, now_us);
    placement_request_t request = {
        .parts = parts,
        .part_count = part != 0 ? 2 : 0,
        .prompt_tokens = k->prompt_tokens,
        .parted = prompt_mix_parted(&p->mix[n], now_us),
        .long_part = long_part(p, n),
        .target_ms = k->target_ms,
        .rest_pause_ms = p->mix[n].rest_pause_ms,
        .tokens_a_ms = engine_model_tokens_a_ms(&p->model[n]),
        .fetch_tokens_a_ms = 3000,
        .data_centre = "dc",
        .limits_now_us = now_us + 1,
        .draw = g_rand_int(p->random),
    };
    return placement_pick(directory_service(p->seen[n], "s"), &request,
                          now_us);
}

/* Counts what of shared parts is read again. */
static void
note_shared(play_t *p, const batch_engine_t *engine, guint64 part,
            guint tokens)
{
    p->shared += tokens;
    if (part == 0 || batch_engine_keeps(engine, part)) {
        return;
    }
    if (!g_hash_table_add(p->read, g_memdup2(&part, sizeof(part)))) {
        p->read_again += tokens;
    }
}

/* What the instance knows of its own request, and reports. */
static void
note_sent(play_t *p, guint n, endpoint_t *e, guint64 part)
{
    part_note_t note = {.part = part, .endpoint = e->hash};
    if (part != 0 && !endpoint_has_part(e, part)) {
        g_array_append_val(p->sent[n], note);
        directory_record_part(p->seen[n], e, part);
    }
}

/* What the owner of the limits is to be asked for, and what goes to engines
 * that named one. */
static void
note_limits(play_t *p, const placement_t *placed, double now_ms)
{
    gint64 now_us = (gint64)(now_ms * 1000) + 1;
    if (placed->denied != NULL) {
        endpoint_limit_deny(placed->denied->limit, now_us);
    }
    if (placed->endpoint == NULL ||
        engine_of(placed->endpoint) >= p->load->limited) {
        return;
    }
    g_array_append_val(p->limited_ms[engine_of(placed->endpoint)], now_ms);
    if (placed->endpoint->limit != NULL) {
        endpoint_limit_spend(placed->endpoint->limit, p->instances, now_us);
    }
}

/* An instance asks the owner of the limits, and is answered at once. */
static void
ask_limits(play_t *p, guint n, double now_ms)
{
    char name[8];
    gint64 now_us = (gint64)(now_ms * 1000) + 1;
    g_snprintf(name, sizeof(name), "%u", n);
    const GPtrArray *limits = directory_limits(p->seen[n]);
    for (guint i = 0; i < limits->len; i++) {
        endpoint_t *e = limits->pdata[i];
        limit_ask_t ask = {.endpoint = e->hash};
        limit_asker_t asker = {.name = name, .sequence = ++p->asks};
        endpoint_limit_expire(e->limit, now_us);
        endpoint_limit_ask(e->limit, &ask, now_us);
        limit_grant_t grant = limit_quota_ask(p->quota, &asker, &ask, now_us);
        endpoint_limit_granted(e->limit, &grant, now_us, now_us);
    }
}

/* All instances were told of the limits. */
static void
name_limits(play_t *p)
{
    for (guint n = 0; p->load->heeded && n < p->instances; n++) {
        const GPtrArray *all = directory_service(p->seen[n], "s");
        for (guint i = 0; i < all->len; i++) {
            endpoint_t *e = all->pdata[i];
            if (engine_of(e) < p->load->limited) {
                endpoint_limit_named(directory_limit(p->seen[n], e),
                                     p->load->limit, 1, 1);
            }
        }
    }
}

static void
play_request(play_t *p, kind_t kind, double now_ms)
{
    const request_kind_t *k = kind_of(p, kind);
    guint n = (guint)g_rand_int_range(p->random, 0, (gint)p->instances);
    gint parts = p->load->parts > 0 ? (gint)p->load->parts : PARTS;
    guint64 part = k->shared_tokens > 0
                       ? ((guint64)kind << 32) + 1 +
                             (guint64)g_rand_int_range(p->random, 0, parts)
                       : 0;
    placement_t placed = play_place(p, n, kind, part, now_ms);
    p->served[kind].asked++;
    note_limits(p, &placed, now_ms);
    if (placed.endpoint == NULL) {
        p->served[kind].refused++;
        return;
    }
    endpoint_t *e = placed.endpoint;
    play_request_t *r = g_new0(play_request_t, 1);
    *r = (play_request_t){
        .job = {.priority = k->priority,
                .part = part,
                .part_tokens = k->shared_tokens,
                .own_tokens = k->prompt_tokens - k->shared_tokens,
                .out_tokens = k->out_tokens,
                .sent_ms = now_ms},
        .kind = kind,
        .instance = n,
        .waiting = placed.read_tokens,
        .found_waiting = e->waiting_tokens + e->others.waiting_tokens,
        .endpoint = e,
    };
    batch_engine_t *engine = p->engines[engine_of(e)];
    if (placed.source != NULL &&
        batch_engine_keeps(p->engines[engine_of(placed.source)], part)) {
        batch_engine_keep(engine, part);
    }
    note_shared(p, engine, part, k->shared_tokens);
    note_sent(p, n, e, part);
    directory_add_request(p->seen[n], e, k->prompt_tokens, r->waiting);
    batch_engine_add(engine, &r->job);
    g_ptr_array_add(p->under_way, r);
}

static void
hear_first(play_t *p, play_request_t *r)
{
    engine_model_t *model = &p->model[r->instance];
    double tokens = (double)r->found_waiting + r->waiting;
    double ms = r->job.first_ms - r->job.sent_ms;
    double error = fabs(engine_model_first_ms(model, tokens) - ms);
    g_array_append_val(p->errors, error);
    r->heard = TRUE;
    endpoint_end_wait(r->endpoint, kind_of(p, r->kind)->prompt_tokens,
                      r->waiting);
    engine_model_note_first(model, tokens, ms);
}

static void
hear_end(play_t *p, const play_request_t *r)
{
    const request_kind_t *k = kind_of(p, r->kind);
    const engine_job_t *job = &r->job;
    directory_remove_request(p->seen[r->instance], r->endpoint,
                             k->prompt_tokens);
    if (job->first_ms - job->sent_ms <= (double)k->target_ms &&
        job->longest_ms <= (double)k->pause_ms) {
        p->served[r->kind].in_aim++;
    }
}

static void
hear_engines(play_t *p)
{
    for (guint i = p->under_way->len; i > 0; i--) {
        play_request_t *r = p->under_way->pdata[i - 1];
        if (r->job.made > 0 && !r->heard) {
            hear_first(p, r);
        }
        if (r->job.done) {
            hear_end(p, r);
            g_ptr_array_remove_index_fast(p->under_way, i - 1);
        }
    }
}

static void
tell_parts(play_t *p, guint n)
{
    part_feed_add(p->feed, p->sent[n]);
    g_array_set_size(p->sent[n], 0);
    GArray *notes = part_feed_since(p->feed, &p->heard[n]);
    directory_apply_parts(p->seen[n], notes);
    g_array_unref(notes);
}

static GArray *
loads_told(play_t *p, gint64 now_us)
{
    switch (p->load->told) {
    case TOLD_ALL:
        return load_sum_all(p->loads);
    case TOLD_NONE:
        return g_array_new(FALSE, FALSE, sizeof(endpoint_load_t));
    case TOLD_BUSIEST:
    case TOLD_WAYS:
        break;
    }
    return load_sum_told(p->loads, now_us);
}

/* An instance reports its requests and is told those of others, as they were
 * last reported. */
static void
tell_loads(play_t *p, guint n, double now_ms)
{
    char name[8];
    g_snprintf(name, sizeof(name), "%u", n);
    GArray *own = directory_loads(p->seen[n]);
    load_sum_report(p->loads, name, own, 0);
    gint64 now_us = (gint64)(now_ms * 1000);
    GArray *all = loads_told(p, now_us);
    directory_apply_loads(p->seen[n], all, own);
    split_demand_t demand = directory_demand(p->seen[n], "s", now_us);
    prompt_mix_fill(&p->mix[n], p->instances, now_us, &demand);
    demand.tokens_a_ms = engine_model_tokens_a_ms(&p->model[n]);
    engine_split_update(&p->split[n], &demand, now_us);
    g_array_unref(own);
    g_array_unref(all);
}

/* Those whose turn it is: each in its own moment of the interval. */
static void
tell_due(play_t *p, guint now_ms)
{
    guint tell_ms = p->load->tell_ms > 0 ? p->load->tell_ms : TELL_MS;
    for (guint n = 0; n < p->instances; n++) {
        guint phase = n * tell_ms / p->instances / TICK_MS * TICK_MS;
        if (now_ms % tell_ms == phase) {
            tell_loads(p, n, now_ms);
            ask_limits(p, n, now_ms);
            if (p->load->parts_told) {
                tell_parts(p, n);
            }
        }
    }
}

static void
note_busiest(play_t *p)
{
    guint counts[ENGINES_MOST] = {0};
    guint busiest = 0;
    for (guint i = 0; i < p->under_way->len; i++) {
        const play_request_t *r = p->under_way->pdata[i];
        guint at = engine_of(r->endpoint);
        counts[at]++;
        busiest = MAX(busiest, counts[at]);
    }
    p->most += busiest;
    p->sum += p->under_way->len;
}

/* Requests at the busiest engine in parts of the mean. */
static double
busiest_of(const play_t *p)
{
    return (double)p->most * p->load->engines / (double)MAX(p->sum, 1);
}

static void
play(play_t *p)
{
    const load_t *load = p->load;
    guint phase = 0;
    name_limits(p);
    for (guint ms = 0;; ms += TICK_MS) {
        while (phase < load->phase_count &&
               ms >= load->phases[phase].until_s * 1000) {
            phase++;
        }
        if (phase == load->phase_count) {
            return;
        }
        for (kind_t kind = 0; kind < KINDS; kind++) {
            double chance = load->phases[phase].a_second[kind] * TICK_MS / 1e3;
            if (g_rand_double(p->random) < chance) {
                play_request(p, kind, ms);
            }
        }
        for (guint i = 0; i < load->engines; i++) {
            batch_engine_run(p->engines[i], ms);
        }
        hear_engines(p);
        tell_due(p, ms);
        if (ms % TELL_MS == 0) {
            note_busiest(p);
        }
    }
}

static double
part_in_aim(const play_t *p, kind_t kind)
{
    return (double)p->served[kind].in_aim / MAX(p->served[kind].asked, 1);
}

/* Engines of two speeds and slot counts. */
static const engine_kind_t FAST = {.slots = 64,
                                   .step_ms = 3,
                                   .slot_ms = 0.12,
                                   .tokens_a_ms = 92,
                                   .chunk = 2048,
                                   .stride = 6};
static const engine_kind_t SLOW = {.slots = 16,
                                   .step_ms = 6,
                                   .slot_ms = 0.2,
                                   .tokens_a_ms = 45,
                                   .chunk = 1024,
                                   .stride = 3};

/* A burst of long prompts, then one of chats: engines that went to the one are
 * there for the other. Under a border that stays, part of the engines are idle
 * while callers of the other kind wait: in aim were 0.62 and 0.84 of the long
 * prompts, 0.96 and 0.78 of the chats; with a border that follows 0.99 and
 * 0.90, 1.00 and 1.00 (four seeds, within 0.05). */
static void
test_bursts(void)
{
    static const struct {
        load_t load;
        double long_least; /* part in aim */
        double chat_least;
        double gain_least; /* of long prompts, against a border at 0.6 */
    } CASES[] = {
        {{.kind = &FAST,
          .engines = 12,
          .phases =
              {{2, {45, 42}}, {11, {150, 42}}, {16, {45, 120}}, {22, {0, 0}}},
          .phase_count = 4},
         0.95,
         0.97,
         0.2},
        {{.kind = &SLOW,
          .engines = 48,
          .phases =
              {{2, {60, 60}}, {11, {260, 60}}, {16, {60, 160}}, {22, {0, 0}}},
          .phase_count = 4},
         0.85,
         0.97,
         0.02},
    };
    for (gsize i = 0; i < G_N_ELEMENTS(CASES); i++) {
        play_t follows;
        play_t stays;
        load_t fixed = CASES[i].load;
        fixed.fixed_part = 0.6;
        play_init(&follows, &CASES[i].load, 7);
        play(&follows);
        play_init(&stays, &fixed, 7);
        play(&stays);
        CU_ASSERT(part_in_aim(&follows, KIND_LONG) >= CASES[i].long_least);
        CU_ASSERT(part_in_aim(&follows, KIND_CHAT) >= CASES[i].chat_least);
        CU_ASSERT(part_in_aim(&follows, KIND_LONG) >=
                  part_in_aim(&stays, KIND_LONG) + CASES[i].gain_least);
        play_clear(&follows);
        play_clear(&stays);
    }
}

static const engine_kind_t NARROW = {.slots = 12,
                                     .step_ms = 3.4,
                                     .slot_ms = 0.011,
                                     .tokens_a_ms = 61,
                                     .chunk = 2048,
                                     .stride = 15};

/* Drafts of 12,000 tokens, chats and tags. */
static const request_kind_t DRAFTS[KINDS] = {
    [KIND_LONG] = {.prompt_tokens = 12000,
                   .shared_tokens = 5400,
                   .out_tokens = 390,
                   .priority = 2,
                   .target_ms = 2000,
                   .pause_ms = 1500},
    [KIND_CHAT] = {.prompt_tokens = 800,
                   .shared_tokens = 200,
                   .out_tokens = 290,
                   .target_ms = 300,
                   .pause_ms = 400},
    [KIND_TAG] = {.prompt_tokens = 2400,
                  .shared_tokens = 600,
                  .out_tokens = 30,
                  .priority = 1,
                  .target_ms = 500,
                  .pause_ms = 600},
};

/* The same load on the same engines, through few instances and through many
 * that all see what was so a moment ago: what all see as best is not best a
 * moment later, and none knows by itself who has read a part. Through 300
 * instances that are told each 1.2 s, 0.86 of the chats and 0.88 of the tags
 * are in aim and the busiest engine has 4.8 times the mean; told each 0.1 s,
 * it is 0.98, 1.00 and 3.0. */
static void
test_many_instances(void)
{
    static const struct {
        guint instances;
        double long_least; /* parts in aim */
        double short_least;
        double again_most;   /* of the shared tokens, read again */
        double busiest_most; /* requests, in parts of the mean */
    } CASES[] = {
        {3, 0.88, 0.95, 0.08, 3.6},
        {30, 0.90, 0.95, 0.08, 3.6},
        {300, 0.92, 0.93, 0.08, 3.6},
    };
    for (gsize i = 0; i < G_N_ELEMENTS(CASES); i++) {
        play_t p;
        load_t load = {
            .kind = &NARROW,
            .requests = DRAFTS,
            .engines = 48,
            .phases = {{3, {60, 57, 86}}, {9, {115, 57, 86}}, {14, {0, 0, 0}}},
            .phase_count = 3,
            .instances = CASES[i].instances,
            .parts = 600,
            .tell_ms = 100,
        };
        play_init(&p, &load, 13);
        play(&p);
        double again = (double)p.read_again / (double)p.shared;
        printf("%u: long %.3f chat %.3f tag %.3f again %.3f busiest %.2f; ",
               p.instances, part_in_aim(&p, KIND_LONG),
               part_in_aim(&p, KIND_CHAT), part_in_aim(&p, KIND_TAG), again,
               busiest_of(&p));
        CU_ASSERT(part_in_aim(&p, KIND_LONG) >= CASES[i].long_least);
        CU_ASSERT(part_in_aim(&p, KIND_CHAT) >= CASES[i].short_least);
        CU_ASSERT(part_in_aim(&p, KIND_TAG) >= CASES[i].short_least);
        CU_ASSERT(again <= CASES[i].again_most);
        CU_ASSERT(busiest_of(&p) <= CASES[i].busiest_most);
        play_clear(&p);
    }
}

/* Half of all prompts are about one thing: more engines than those ranked for
 * it take them. */
static void
test_hot_part(void)
{
    play_t p;
    load_t load = {
        .kind = &NARROW,
        .requests = DRAFTS,
        .engines = 48,
        .phases = {{6, {40, 60, 60}}, {10, {0, 0, 0}}},
        .phase_count = 2,
        .instances = 30,
        .parts = 2,
        .tell_ms = 100,
    };
    play_init(&p, &load, 17);
    play(&p);
    printf("long %.3f chat %.3f tag %.3f; ", part_in_aim(&p, KIND_LONG),
           part_in_aim(&p, KIND_CHAT), part_in_aim(&p, KIND_TAG));
    CU_ASSERT(part_in_aim(&p, KIND_LONG) >= 0.9);
    CU_ASSERT(part_in_aim(&p, KIND_CHAT) >= 0.9);
    CU_ASSERT(part_in_aim(&p, KIND_TAG) >= 0.9);
    play_clear(&p);
}

/* Bursts of chats and of drafts by turns: the border moves over the homes of
 * parts, and of 60 instances none knows by itself who has one. Of the shared
 * tokens 0.082 are read again and 0.90 of the drafts in aim; where the
 * instances tell each other, 0.013 and 0.92. */
static void
test_parts_told(void)
{
    double again[2];
    double in_aim[2];
    for (int told = 0; told < 2; told++) {
        play_t p;
        load_t load = {
            .kind = &NARROW,
            .requests = DRAFTS,
            .engines = 48,
            .phases = {{8, {40, 57, 86}},
                       {14, {40, 180, 86}},
                       {20, {110, 57, 86}},
                       {26, {40, 180, 86}}},
            .phase_count = 4,
            .instances = 60,
            .parts = 600,
            .tell_ms = 100,
            .parts_told = told,
        };
        play_init(&p, &load, 19);
        play(&p);
        again[told] = (double)p.read_again / (double)p.shared;
        in_aim[told] = part_in_aim(&p, KIND_LONG);
        printf("again %.3f long %.3f chat %.3f; ", again[told], in_aim[told],
               part_in_aim(&p, KIND_CHAT));
        play_clear(&p);
    }
    CU_ASSERT(again[1] <= again[0] / 2);
    CU_ASSERT(in_aim[1] >= in_aim[0]);
}

static gint
by_size(gconstpointer a, gconstpointer b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;
    return x < y ? -1 : x > y;
}

/* Expected first events on engines of three speeds, learned within seconds
 * from the same guess. Half of them are off by less than the time of three
 * chunks; the tail is prompts whose shared part was not kept after all, or
 * that met others nobody had told of yet. */
static void
test_expected_first_events(void)
{
    static const struct {
        double speed; /* of a moderate engine */
        guint slots;
        double median_ms;
        double most_ms; /* of 95 in 100 */
    } CASES[] = {{0.5, 16, 60, 300}, {1, 32, 25, 200}, {3, 64, 12, 60}};
    for (gsize i = 0; i < G_N_ELEMENTS(CASES); i++) {
        play_t p;
        engine_kind_t kind = {.slots = CASES[i].slots,
                              .step_ms = 4 / CASES[i].speed,
                              .slot_ms = 0.1 / CASES[i].speed,
                              .tokens_a_ms = 70 * CASES[i].speed,
                              .chunk = 2048,
                              .stride = 4};
        load_t load = {
            .kind = &kind,
            .engines = 16,
            .phases = {{15, {60 * CASES[i].speed, 50 * CASES[i].speed}}},
            .phase_count = 1,
        };
        play_init(&p, &load, 11);
        play(&p);
        g_array_remove_range(p.errors, 0, p.errors->len / 4);
        g_array_sort(p.errors, by_size);
        guint count = p.errors->len;
        double median = g_array_index(p.errors, double, count / 2);
        double most = g_array_index(p.errors, double, count * 95 / 100);
        printf("%.0f and %.0f ms ", median, most);
        CU_ASSERT(median <= CASES[i].median_ms);
        CU_ASSERT(most <= CASES[i].most_ms);
        play_clear(&p);
    }
}

/* More engines are busy than are told of. Told of the busiest only, callers
 * get what they get when all are told, and not what they get where none is. */
static void
test_busiest_told(void)
{
    static const char *const NAMES[TOLD_WAYS] = {"busiest", "all", "none"};
    double in_aim[TOLD_WAYS][KINDS];
    for (told_t told = 0; told < TOLD_WAYS; told++) {
        play_t p;
        load_t load = {
            .kind = &NARROW,
            .requests = DRAFTS,
            .engines = 700,
            .phases = {{5, {320, 450, 320}}, {8, {0, 0, 0}}},
            .phase_count = 2,
            .instances = 60,
            .parts = 600,
            .tell_ms = 100,
            .parts_told = TRUE,
            .told = told,
        };
        play_init(&p, &load, 23);
        play(&p);
        printf("%s:", NAMES[told]);
        for (kind_t kind = 0; kind < KINDS; kind++) {
            in_aim[told][kind] = part_in_aim(&p, kind);
            printf(" %.3f", in_aim[told][kind]);
        }
        printf("; ");
        play_clear(&p);
    }
    for (kind_t kind = 0; kind < KINDS; kind++) {
        CU_ASSERT(in_aim[TOLD_BUSIEST][kind] >= 0.95);
        CU_ASSERT(in_aim[TOLD_BUSIEST][kind] >= in_aim[TOLD_ALL][kind] - 0.01);
    }
    CU_ASSERT(in_aim[TOLD_BUSIEST][KIND_LONG] > in_aim[TOLD_NONE][KIND_LONG]);
}

/* The most sends in 4 s to an engine that named a limit. */
static guint
most_in_window(const play_t *p)
{
    enum { WINDOW_MS = 4000 };
    guint most = 0;
    for (guint i = 0; i < p->load->limited; i++) {
        const GArray *sent = p->limited_ms[i];
        guint first = 0;
        for (guint k = 0; k < sent->len; k++) {
            double at = g_array_index(sent, double, k);
            while (at - g_array_index(sent, double, first) > WINDOW_MS) {
                first++;
            }
            most = MAX(most, k - first + 1);
        }
    }
    return most;
}

/* A third of the engines name a limit: they get no more, and what is turned
 * away is served by the others, as by these alone where the limit is next to
 * nothing. */
static void
test_limited_engines(void)
{
    enum { LIMITED = 4 };
    static const double LIMITS[] = {0.4, 2, 10};
    static const double LEAST = 0.95; /* in aim, of either kind */
    for (gsize i = 0; i < G_N_ELEMENTS(LIMITS); i++) {
        guint most[2];
        double in_aim[2][2];
        for (guint heeded = 0; heeded < 2; heeded++) {
            play_t p;
            load_t load = {.kind = &FAST,
                           .engines = 12,
                           .phases = {{12, {40, 80}}, {15, {0, 0}}},
                           .phase_count = 2,
                           .instances = 8,
                           .tell_ms = 100,
                           .limited = LIMITED,
                           .limit = LIMITS[i],
                           .heeded = (gboolean)heeded};
            play_init(&p, &load, 11);
            play(&p);
            most[heeded] = most_in_window(&p);
            in_aim[heeded][0] = part_in_aim(&p, KIND_LONG);
            in_aim[heeded][1] = part_in_aim(&p, KIND_CHAT);
            play_clear(&p);
        }
        printf("%.1f: %u and %u in 4 s, in aim %.3f %.3f and %.3f %.3f; ",
               LIMITS[i], most[0], most[1], in_aim[0][0], in_aim[0][1],
               in_aim[1][0], in_aim[1][1]);
        CU_ASSERT(most[1] <= 6 * LIMITS[i] + 5);
        CU_ASSERT(in_aim[1][0] >= LEAST);
        CU_ASSERT(in_aim[1][1] >= LEAST);
    }
}

static const test_case_t CASES[] = {
    {"bursts of either kind", test_bursts},
    {"few instances and many", test_many_instances},
    {"half of the prompts share a part", test_hot_part},
    {"parts told among instances", test_parts_told},
    {"expected first events", test_expected_first_events},
    {"the busiest engines are told", test_busiest_told},
    {"engines that name limits, and the others", test_limited_engines},
};

CHECK_MAIN("placement under load", CASES)
