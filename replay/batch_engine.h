/* A small model of a model engine that batches continuously, for playing
 * placement decisions on a manual clock.
 *
 * One step makes a token for every running stream and reads a chunk of the
 * most urgent prompt; it takes longer the more streams run. Prompts' shared
 * parts are kept for good. There is no model of network or hosts. */
#ifndef REPLAY_BATCH_ENGINE_H
#define REPLAY_BATCH_ENGINE_H

#include <glib.h>

/* What an engine can do. */
typedef struct {
    guint slots;        /* requests that run at once; others wait */
    double step_ms;     /* a step with one stream */
    double slot_ms;     /* more for each further stream */
    double tokens_a_ms; /* prompt tokens read */
    guint chunk;        /* of a prompt, read in one step */
    guint stride;       /* tokens of an event */
} engine_kind_t;

/* One request at an engine, and what its caller sees. */
typedef struct {
    guint priority; /* 0 is the most urgent */
    guint64 part;   /* of the prompt, shared with others; 0: none */
    guint part_tokens;
    guint own_tokens;
    guint out_tokens;
    double sent_ms;
    /* filled in by the engine */
    gboolean admitted;
    gboolean begun; /* what has to be read is settled */
    guint unread;
    guint made; /* tokens */
    double first_ms;
    double event_ms;
    double longest_ms; /* pause between two events */
    gboolean done;
} engine_job_t;

typedef struct batch_engine batch_engine_t;

batch_engine_t *batch_engine_create(const engine_kind_t *kind);
void batch_engine_destroy(batch_engine_t *engine);
/* The job stays the caller's, and must live until it is done. */
void batch_engine_add(batch_engine_t *engine, engine_job_t *job);
/* Puts a shared part into the engine's memory, as a fetch does. */
void batch_engine_keep(batch_engine_t *engine, guint64 part);
gboolean batch_engine_keeps(const batch_engine_t *engine, guint64 part);
/* Runs the steps that begin before `now_ms`. */
void batch_engine_run(batch_engine_t *engine, double now_ms);
/* Prompt tokens read so far. */
guint64 batch_engine_read(const batch_engine_t *engine);

#endif
