/* What became of the requests that an entry instance sent lately: answered
 * whole, or cut by the end of their endpoint. Of fixed size. Pure. */
#ifndef CAROBLOOM_POLICY_RUN_HISTORY_H
#define CAROBLOOM_POLICY_RUN_HISTORY_H

#include <glib.h>

enum { RUN_HISTORY_SLOTS = 2048 };

/* One request in each slot, by its fingerprint; the later one stays. */
typedef struct {
    guint64 fingerprint;
    gint64 at_us;
} run_record_t;

typedef struct {
    run_record_t answered[RUN_HISTORY_SLOTS];
    run_record_t cut[RUN_HISTORY_SLOTS];
} run_history_t;

void run_history_record_answered(run_history_t *history, guint64 fingerprint,
                                 gint64 now_us);
void run_history_record_cut(run_history_t *history, guint64 fingerprint,
                            gint64 now_us);
/* Whether it was answered within the last seconds: then it is no request that
 * no endpoint survives. */
gboolean run_history_is_answered(const run_history_t *history,
                                 guint64 fingerprint, gint64 now_us);
/* Whether an end cut it that is not made up for yet; asked once, forgotten. */
gboolean run_history_take_cut(run_history_t *history, guint64 fingerprint);

#endif
