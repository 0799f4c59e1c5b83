#include "carobloom/policy/run_history.h"

/* A request that was answered within this time counts as harmless. Each
 * instance answers a popular request many times within this time. A
 * request that begins to crash a new release of its endpoints goes undetected
 * for this long. */
static const gint64 ANSWERED_TIMEOUT_US = 10 * G_USEC_PER_SEC;

static void
record(run_record_t *records, guint64 fingerprint, gint64 now_us)
{
    records[fingerprint % RUN_HISTORY_SLOTS] =
        (run_record_t){.fingerprint = fingerprint, .recorded_us = now_us};
}

void
run_history_record_answered(run_history_t *h, guint64 fingerprint,
                            gint64 now_us)
{
    record(h->answered, fingerprint, now_us);
}

void
run_history_record_cut(run_history_t *h, guint64 fingerprint, gint64 now_us)
{
    record(h->cut, fingerprint, now_us);
}

gboolean
run_history_is_answered_since(const run_history_t *h, guint64 fingerprint,
                              gint64 since_us)
{
    const run_record_t *entry = &h->answered[fingerprint % RUN_HISTORY_SLOTS];
    return entry->fingerprint == fingerprint && entry->recorded_us >= since_us;
}

gboolean
run_history_is_answered(const run_history_t *h, guint64 fingerprint,
                        gint64 now_us)
{
    return run_history_is_answered_since(h, fingerprint,
                                         now_us - ANSWERED_TIMEOUT_US + 1);
}

gboolean
run_history_take_cut(run_history_t *h, guint64 fingerprint)
{
    run_record_t *entry = &h->cut[fingerprint % RUN_HISTORY_SLOTS];
    if (entry->fingerprint != fingerprint) {
        return FALSE;
    }
    *entry = (run_record_t){0};
    return TRUE;
}
