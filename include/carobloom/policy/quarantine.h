/* The requests that an entry instance holds back, as the control instances
 * order it. Pure. */
#ifndef CAROBLOOM_POLICY_QUARANTINE_H
#define CAROBLOOM_POLICY_QUARANTINE_H

#include <glib.h>

#include "carobloom/policy/crash_ledger.h"

typedef struct quarantine quarantine_t;

/* A request that is held back. */
typedef struct {
    gint64 until_us;
    gint64 since_us;    /* when the first endpoint ended under it */
    char *endpoints;    /* ids of those that ended under it, by commas */
    gboolean uncertain; /* it is tried soon, here or elsewhere */
    gboolean probe;     /* it may be sent once, to see */
    gint64 probed_us;   /* when it last was; 0: never */
} quarantined_request_t;

quarantine_t *quarantine_create(void);
void quarantine_destroy(quarantine_t *quarantine);
/* Takes an order; `instance` is the name of this one. TRUE when it changes
 * what is held. */
gboolean quarantine_apply_order(quarantine_t *quarantine,
                                const quarantine_order_t *order,
                                const char *instance, gint64 now_us);
/* Whether any is held: else none need be looked up, nor its fingerprint
 * worked out. */
gboolean quarantine_is_empty(const quarantine_t *quarantine);
/* NULL when it is not held; valid until the next change. */
const quarantined_request_t *quarantine_find(const quarantine_t *quarantine,
                                             guint64 fingerprint,
                                             gint64 now_us);
/* Whether a held request may be sent now, on trial; asked once, used up. */
gboolean quarantine_take_probe(quarantine_t *quarantine, guint64 fingerprint,
                               gint64 now_us);
/* Frees what is held no longer. */
void quarantine_expire(quarantine_t *quarantine, gint64 now_us);
guint quarantine_count(const quarantine_t *quarantine);

#endif
