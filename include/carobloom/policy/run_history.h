/* Outcomes of the requests that an entry instance sent recently, or of prompt
 * parts in them: answered completely, or cut off by the end of their endpoint.
 * Of fixed size. Pure. */
#ifndef CAROBLOOM_POLICY_RUN_HISTORY_H
#define CAROBLOOM_POLICY_RUN_HISTORY_H

#include <glib.h>

enum { RUN_HISTORY_SLOTS = 2048 };

/* A slot, selected by fingerprint, holds the latest request that maps to it.
 */
typedef struct {
    guint64 fingerprint;
    gint64 recorded_us;
} run_record_t;

typedef struct {
    run_record_t answered[RUN_HISTORY_SLOTS];
    run_record_t cut[RUN_HISTORY_SLOTS];
} run_history_t;

/* Records that a request was answered completely. */
void run_history_record_answered(run_history_t *history, guint64 fingerprint,
                                 gint64 now_us);
/* Records that a request was cut off by the end of its endpoint. */
void run_history_record_cut(run_history_t *history, guint64 fingerprint,
                            gint64 now_us);
/* Returns whether the request was answered in the last few seconds, and so
 * does not crash every endpoint that runs it. */
gboolean run_history_is_answered(const run_history_t *history,
                                 guint64 fingerprint, gint64 now_us);
/* The same for a request with a prompt part, at `since_us` or later. */
gboolean run_history_is_answered_since(const run_history_t *history,
                                       guint64 fingerprint, gint64 since_us);
/* Returns whether the request was cut off and not answered since, and removes
 * that record. */
gboolean run_history_take_cut(run_history_t *history, guint64 fingerprint);

#endif
