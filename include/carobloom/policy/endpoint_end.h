/* An end of an endpoint's process that the endpoint did not announce, such as
 * a crash, and the requests that were running there. */
#ifndef CAROBLOOM_POLICY_ENDPOINT_END_H
#define CAROBLOOM_POLICY_ENDPOINT_END_H

#include <glib.h>

/* Requests recorded per end: twice the slots of the largest engine. */
enum {
    ENDPOINT_RUNS_MAX = 128,
    /* Prompt parts recorded per end, in all runs together. */
    ENDPOINT_PARTS_MAX = 1024,
};

/* Progress of a request when its endpoint ended. */
typedef enum {
    RUN_BEGINNING, /* just started, waiting, or unknown */
    RUN_LONG,      /* had been answered for a while */
    RUN_ANSWERED,  /* the same request got a whole answer shortly before */
    RUN_PROBE,     /* just started, and sent as a probe: see quarantine.h */
    RUN_STAGE_COUNT,
} run_stage_t;

/* A request that was running when its endpoint ended. */
typedef struct {
    guint64 fingerprint;
    run_stage_t stage;
    /* Ids (guint64) of the parts of its prompt that other requests may share,
     * in order; NULL: none. */
    GArray *parts;
} interrupted_run_t;

/* The end of one incarnation of an endpoint. */
typedef struct {
    char *endpoint; /* endpoint id */
    char *service;
    gint64 started_ms; /* Unix time; identifies the incarnation, 0: unknown */
    GArray *runs;      /* interrupted_run_t, with distinct fingerprints */
    guint part_count;  /* of all runs together */
} endpoint_end_t;

/* Initializes an end without runs, and frees its contents. */
void endpoint_end_init(endpoint_end_t *end, const char *endpoint,
                       const char *service, gint64 started_ms);
void endpoint_end_clear(endpoint_end_t *end);
/* Adds a run, with a reference to its parts, or without them if there are too
 * many already. Returns FALSE if its fingerprint is already listed. */
gboolean endpoint_end_add(endpoint_end_t *end, interrupted_run_t run);
/* Initializes `copy` with all runs of `end`. */
void endpoint_end_copy(endpoint_end_t *copy, const endpoint_end_t *end);

#endif
