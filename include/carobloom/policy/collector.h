/* Which control instance an entry instance reports its requests to, and how
 * often.
 *
 * Each entry instance chooses by itself, by rendezvous hashing over the
 * control instances that answer, those of its own data centre first: they are
 * spread evenly, and when one falls silent only those that reported to it
 * move. Pure. */
#ifndef CAROBLOOM_POLICY_COLLECTOR_H
#define CAROBLOOM_POLICY_COLLECTOR_H

#include <glib.h>

/* A control instance, as one entry instance sees it. */
typedef struct {
    guint64 hash;       /* of its address */
    gboolean local;     /* in this data centre */
    gboolean reachable; /* as far as known */
} collector_t;

/* The index of the one to report to, or -1 when none answers. `key` is the
 * hash of the entry instance's name. */
gssize collector_pick(const collector_t *collectors, gsize count, guint64 key);
/* Until the next report, in ms, of one of `reporters` to a control instance.
 */
guint collector_report_interval_ms(guint reporters);
/* How many entry instances ask, as it is told: exact for few, a sixteenth less
 * at most for many, so that it does not change with each that comes. */
guint collector_entries_rounded(guint entries);
/* A report that is older, in ms, no longer counts. */
guint collector_report_max_age_ms(guint reporters);

#endif
