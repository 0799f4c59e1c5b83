/* Selects the control instance that an entry instance sends its load reports
 * to, and the report interval.
 *
 * Each entry instance selects on its own, by rendezvous hashing over the
 * reachable control instances, with those of its own data centre first. The
 * entry instances spread evenly, and when a control instance becomes
 * unreachable only those that reported to it move. Pure. */
#ifndef CAROBLOOM_POLICY_COLLECTOR_H
#define CAROBLOOM_POLICY_COLLECTOR_H

#include <glib.h>

/* A control instance as seen by one entry instance. */
typedef struct {
    guint64 hash;       /* of its address */
    gboolean local;     /* in this data centre */
    gboolean reachable; /* as far as this instance knows */
} collector_t;

/* Returns the index of the control instance to report to, or -1 when none is
 * reachable. `key` is the hash of the entry instance's name. */
gssize collector_pick(const collector_t *collectors, gsize count, guint64 key);
/* Returns the interval in ms at which each of `reporters` entry instances
 * reports to a control instance. */
guint collector_report_interval_ms(guint reporters);
/* Rounds the number of entry instances that a control instance announces:
 * exact for few, at most a sixteenth too low for many, so that the value does
 * not change with each instance that joins. */
guint collector_entries_rounded(guint entries);
/* Returns the age in ms beyond which a report is ignored. */
guint collector_report_max_age_ms(guint reporters);

#endif
