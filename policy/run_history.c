#include "carobloom/policy/run_history.h"

/* A popular request is answered many times within it, at each instance. One
 * that a new release of its endpoints can no longer bear crashes them for so
 * long before it counts. */
static const gint64 ANSWERED_US = 10 * G_USEC_PER_SEC;

static void
note(run_note_t *notes, guint64 fingerprint, gint64 now_us)
{
    notes[fingerprint % RUN_HISTORY_SLOTS] =
        (run_note_t){.fingerprint = fingerprint, .at_us = now_us};
}

void
run_history_note_answered(run_history_t *h, guint64 fingerprint, gint64 now_us)
{
    note(h->answered, fingerprint, now_us);
}

void
run_history_note_cut(run_history_t *h, guint64 fingerprint, gint64 now_us)
{
    note(h->cut, fingerprint, now_us);
}

gboolean
run_history_is_answered(const run_history_t *h, guint64 fingerprint,
                        gint64 now_us)
{
    const run_note_t *n = &h->answered[fingerprint % RUN_HISTORY_SLOTS];
    return n->fingerprint == fingerprint && now_us - n->at_us < ANSWERED_US;
}

gboolean
run_history_take_cut(run_history_t *h, guint64 fingerprint)
{
    run_note_t *n = &h->cut[fingerprint % RUN_HISTORY_SLOTS];
    if (n->fingerprint != fingerprint) {
        return FALSE;
    }
    *n = (run_note_t){0};
    return TRUE;
}
