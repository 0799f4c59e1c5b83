#include "carobloom/policy/collector.h"

#include "carobloom/policy/rendezvous.h"

enum {
    /* Half of what a long prompt is read in: what is known of an engine then
     * misses one at most of those sent there by others. */
    REPORT_INTERVAL_MIN_MS = 100,
    /* A report costs a control instance some 0.05 ms, so that all that go to
     * one take 3.4% of a core at most: 67 entry instances at 100 ms, and with
     * nine control instances 600. Beyond that they ask less often. */
    REPORT_INTERVAL_US_PER_REPORTER = 1500,
    /* Reports that may be lost or late before an instance's requests are
     * taken to have ended with it. */
    MISSED_REPORTS_MAX = 8,
    EXACT_ENTRIES_MAX = 32,
};

gssize
collector_pick(const collector_t *collectors, gsize count, guint64 key)
{
    gssize best = -1;
    for (gsize i = 0; i < count; i++) {
        const collector_t *c = &collectors[i];
        if (!c->reachable) {
            continue;
        }
        const collector_t *b = best >= 0 ? &collectors[best] : NULL;
        gboolean locality_differs = b != NULL && c->local != b->local;
        if (b == NULL || (locality_differs && c->local) ||
            (!locality_differs &&
             hash_pair(key, c->hash) > hash_pair(key, b->hash))) {
            best = (gssize)i;
        }
    }
    return best;
}

guint
collector_report_interval_ms(guint reporters)
{
    return MAX(REPORT_INTERVAL_MIN_MS,
               reporters * REPORT_INTERVAL_US_PER_REPORTER / 1000);
}

guint
collector_entries_rounded(guint entries)
{
    guint step = 1;
    while (entries / step > EXACT_ENTRIES_MAX) {
        step *= 2;
    }
    return entries / step * step;
}

guint
collector_report_max_age_ms(guint reporters)
{
    return MISSED_REPORTS_MAX * collector_report_interval_ms(reporters);
}
