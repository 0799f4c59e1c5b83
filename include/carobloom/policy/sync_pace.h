/* For how long a control instance may hold an entry instance's question when
 * it has no news. Pure. */
#ifndef CAROBLOOM_POLICY_SYNC_PACE_H
#define CAROBLOOM_POLICY_SYNC_PACE_H

#include <glib.h>

typedef struct {
    guint entries;    /* that ask */
    gboolean leads;   /* the one asked confirms the configuration */
    gboolean healthy; /* it answers, and the configuration is confirmed */
    double revocation_bound_ms; /* within which a withdrawn key must not serve;
                                   0: none */
} sync_pace_t;

/* In ms. */
guint32 sync_wait_ms(const sync_pace_t *pace);

#endif
