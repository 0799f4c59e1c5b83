/* Which requests crash the endpoints that run them, judged from the ends of
 * endpoints and what ran there.
 *
 * Each entry instance sees a part of what ran on an endpoint that ended, so
 * all tell every control instance, and each of those keeps a ledger. There is
 * no agreement between them and none is needed: what is noted only adds up,
 * and an entry instance holds back what any of them has found.
 *
 * A request is found to be the cause when enough endpoints ended under it and
 * none answered it since. What ran beside it was at its first ends too, so an
 * end counts for one cause only, and of two requests that were at the same
 * ends neither is held until the ends tell them apart. Where they do not, all
 * are held in doubt, as is one whose ends are not the only ones that nothing
 * else explains. What is doubted is tried, one at a time and by one entry
 * instance, until an answer or a further end tells. Pure. */
#ifndef CAROBLOOM_POLICY_CRASH_LEDGER_H
#define CAROBLOOM_POLICY_CRASH_LEDGER_H

#include <glib.h>

#include "carobloom/policy/endpoint_end.h"

typedef struct crash_ledger crash_ledger_t;

/* A request that is held back, or no longer is. */
typedef struct {
    guint64 fingerprint;
    gint64 left_us;  /* that it is held for from now on; 0: it is not held */
    gint64 since_us; /* since the first end it was at */
    char *endpoints; /* ids of those that ended under it, by commas */
    gboolean uncertain; /* it may not be the cause: it is tried soon */
    guint probe; /* it may be sent once, by one instance; counts up. 0: it
                    may not */
    char *probe_instance; /* the name of that instance, which the ledger does
                       not choose; NULL: not chosen */
} quarantine_order_t;

/* For arrays of orders. */
void quarantine_order_clear(gpointer order);
GArray *quarantine_orders_new(void);

/* A request is held for `memory_us` from the last end that it is found to be
 * the cause of, and ends are remembered as long. */
crash_ledger_t *crash_ledger_create(gint64 memory_us);
void crash_ledger_destroy(crash_ledger_t *ledger);
void crash_ledger_set_memory(crash_ledger_t *ledger, gint64 memory_us);
/* Runs of an end told before are added to it. */
void crash_ledger_record_end(crash_ledger_t *ledger, const endpoint_end_t *end,
                             gint64 now_us);
/* An endpoint answered the request whole: it was no cause so far. */
void crash_ledger_record_answered(crash_ledger_t *ledger, guint64 fingerprint,
                                  gint64 now_us);
/* Takes back an order that was kept over a restart. */
void crash_ledger_restore(crash_ledger_t *ledger,
                          const quarantine_order_t *order, gint64 now_us);
/* Judges what is ripe and lets go what is old; to be called several times a
 * second. */
void crash_ledger_evaluate(crash_ledger_t *ledger, gint64 now_us);
/* Raised with each order, given or taken back. */
guint64 crash_ledger_cursor(const crash_ledger_t *ledger);
/* Orders after the cursor, the oldest first, at most `most`; the cursor is
 * moved to the last of them. A new array. */
GArray *crash_ledger_orders_since(const crash_ledger_t *ledger,
                                  guint64 *cursor, guint max_count,
                                  gint64 now_us);
/* What is held, and what is remembered of endpoints and requests. */
guint crash_ledger_quarantined(const crash_ledger_t *ledger);
guint crash_ledger_suspects(const crash_ledger_t *ledger);
guint crash_ledger_ends(const crash_ledger_t *ledger);

#endif
