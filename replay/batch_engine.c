#include "batch_engine.h"

struct batch_engine {
    engine_kind_t kind;
    GPtrArray *jobs;  /* engine_job_t *, in order of arrival */
    GHashTable *kept; /* ids of parts */
    double free_ms;   /* when the next step may begin */
    guint64 read;
};

batch_engine_t *
batch_engine_create(const engine_kind_t *kind)
{
    batch_engine_t *e = g_new0(batch_engine_t, 1);
    e->kind = *kind;
    e->jobs = g_ptr_array_new();
    e->kept = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    return e;
}

void
batch_engine_destroy(batch_engine_t *e)
{
    g_ptr_array_unref(e->jobs);
    g_hash_table_unref(e->kept);
    g_free(e);
}

void
batch_engine_add(batch_engine_t *e, engine_job_t *job)
{
    g_ptr_array_add(e->jobs, job);
}

void
batch_engine_keep(batch_engine_t *e, guint64 part)
{
    g_hash_table_add(e->kept, g_memdup2(&part, sizeof(part)));
}

gboolean
batch_engine_keeps(const batch_engine_t *e, guint64 part)
{
    return g_hash_table_contains(e->kept, &part);
}

guint64
batch_engine_read(const batch_engine_t *e)
{
    return e->read;
}

/* The most urgent job that matches, the oldest among equals. */
static engine_job_t *
most_urgent(const batch_engine_t *e, gboolean (*matches)(const engine_job_t *))
{
    engine_job_t *best = NULL;
    for (guint i = 0; i < e->jobs->len; i++) {
        engine_job_t *job = e->jobs->pdata[i];
        if (matches(job) && (best == NULL || job->priority < best->priority)) {
            best = job;
        }
    }
    return best;
}

static gboolean
is_waiting(const engine_job_t *job)
{
    return !job->admitted;
}

static gboolean
is_reading(const engine_job_t *job)
{
    return job->admitted && (!job->begun || job->unread > 0);
}

static guint
count_admitted(const batch_engine_t *e)
{
    guint count = 0;
    for (guint i = 0; i < e->jobs->len; i++) {
        count += ((const engine_job_t *)e->jobs->pdata[i])->admitted;
    }
    return count;
}

static void
admit(batch_engine_t *e)
{
    engine_job_t *job = most_urgent(e, is_waiting);
    for (guint n = count_admitted(e); job != NULL && n < e->kind.slots; n++) {
        job->admitted = TRUE;
        job = most_urgent(e, is_waiting);
    }
}

/* Reads a chunk of a prompt; returns its tokens. */
static guint
read_chunk(batch_engine_t *e)
{
    engine_job_t *job = most_urgent(e, is_reading);
    if (job == NULL) {
        return 0;
    }
    if (!job->begun) {
        gboolean kept = job->part == 0 || batch_engine_keeps(e, job->part);
        job->begun = TRUE;
        job->unread = job->own_tokens + (kept ? 0 : job->part_tokens);
    }
    guint tokens = MIN(job->unread, e->kind.chunk);
    job->unread -= tokens;
    e->read += tokens;
    if (job->unread == 0 && job->part != 0) {
        batch_engine_keep(e, job->part);
    }
    return tokens;
}

static void
make_token(const batch_engine_t *e, engine_job_t *job, double now_ms)
{
    job->made++;
    gboolean ends = job->made >= job->out_tokens;
    if (job->made > 1 && job->made % e->kind.stride != 0 && !ends) {
        return;
    }
    if (job->made == 1) {
        job->first_ms = now_ms;
    }
    else {
        job->longest_ms = MAX(job->longest_ms, now_ms - job->event_ms);
    }
    job->event_ms = now_ms;
    job->done = ends;
}

static double
step_ms(const batch_engine_t *e, guint streams, guint tokens)
{
    return e->kind.step_ms + e->kind.slot_ms * streams +
           tokens / e->kind.tokens_a_ms;
}

static gboolean
is_streaming(const engine_job_t *job)
{
    return job->admitted && job->begun && job->unread == 0;
}

static void
step(batch_engine_t *e)
{
    guint streams = 0;
    admit(e);
    guint tokens = read_chunk(e);
    for (guint i = 0; i < e->jobs->len; i++) {
        streams += is_streaming(e->jobs->pdata[i]);
    }
    e->free_ms += step_ms(e, streams, tokens);
    for (guint i = e->jobs->len; i > 0; i--) {
        engine_job_t *job = e->jobs->pdata[i - 1];
        if (is_streaming(job)) {
            make_token(e, job, e->free_ms);
        }
        if (job->done) {
            g_ptr_array_remove_index(e->jobs, i - 1);
        }
    }
}

void
batch_engine_run(batch_engine_t *e, double now_ms)
{
    while (e->free_ms < now_ms && e->jobs->len > 0) {
        step(e);
    }
    e->free_ms = MAX(e->free_ms, now_ms);
}
