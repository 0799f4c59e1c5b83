/* An endpoint whose process ended without having said that it leaves, and the
 * requests that ran there. */
#ifndef CAROBLOOM_POLICY_ENDPOINT_END_H
#define CAROBLOOM_POLICY_ENDPOINT_END_H

#include <glib.h>

/* Requests of one end that are remembered: twice the slots of the largest
 * engine. */
enum { ENDPOINT_RUNS_MAX = 128 };

/* How far a request was when its endpoint ended. */
typedef enum {
    RUN_BEGINNING, /* just begun, waiting, or not known */
    RUN_LONG,      /* answered for a while by then */
    RUN_ANSWERED,  /* the same request was answered whole shortly before */
    RUN_PROBE,     /* just begun, and sent on trial: see quarantine.h */
    RUN_STAGE_COUNT,
} run_stage_t;

typedef struct {
    guint64 fingerprint;
    run_stage_t stage;
} interrupted_run_t;

typedef struct {
    char *endpoint;    /* its id */
    gint64 started_ms; /* which start of it; 0 where not said */
    GArray *runs;      /* interrupted_run_t, each fingerprint once */
} endpoint_end_t;

void endpoint_end_init(endpoint_end_t *end, const char *endpoint,
                       gint64 started_ms);
void endpoint_end_clear(endpoint_end_t *end);
/* Adds a run unless its fingerprint is there. FALSE when it was. */
gboolean endpoint_end_add(endpoint_end_t *end, interrupted_run_t run);

#endif
