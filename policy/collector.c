#include "carobloom/policy/collector.h"

#include "carobloom/policy/rendezvous.h"

enum {
    /* Half the time in which an engine reads a long prompt: the reported
     * load of an engine then lacks at most one prompt that other instances
     * sent. */
    REPORT_INTERVAL_MIN_MS = 100,
    /* A control instance processes a report in about 0.05 ms, so all reports
     * to one control instance take at most 3.4% of a core: 67 entry instances
     * at 100 ms, or 600 with nine control instances. Above that, the interval
     * grows. */
    REPORT_INTERVAL_US_PER_REPORTER = 1500,
    /* Number of reports that may be lost or late before an instance is
     * considered dead and its requests ended. */
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
