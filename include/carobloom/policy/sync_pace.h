/* Long polls of entry instances at control instances: how long a control
 * instance may hold a poll while there are no updates. Pure. */
#ifndef CAROBLOOM_POLICY_SYNC_PACE_H
#define CAROBLOOM_POLICY_SYNC_PACE_H

#include <glib.h>

/* What determines how long a poll is held. */
typedef struct {
    guint entries;    /* entry instances that poll */
    gboolean leads;   /* the polled instance is the leader */
    gboolean healthy; /* the polled instance answers, and the configuration is
                         confirmed */
    double
        revocation_bound_ms; /* time limit to reject a revoked key; 0: none */
} sync_pace_t;

/* Maximum time to hold a poll, in ms. */
guint32 sync_wait_ms(const sync_pace_t *pace);
/* Time after that from which the answer to a poll is overdue, in ms: the
 * updates that it should bring are asked for elsewhere. */
guint32 sync_overdue_ms(guint entries);

#endif
