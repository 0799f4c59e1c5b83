/* Detects requests, and parts of prompts, that crash the endpoints that run
 * them, from ends of endpoints and the requests that were running there.
 *
 * An end is the unannounced end of an endpoint's process. Each entry
 * instance knows only a part of what ran on an endpoint that ended, so every
 * entry instance reports to every control instance, and each control instance
 * keeps a ledger of its own. The ledgers need no agreement: reports only add
 * up, and an entry instance quarantines a request that any ledger orders to be
 * quarantined.
 *
 * A suspect is a request, known by its fingerprint, or a prompt part at the
 * endpoints of a service, whatever else the requests with it hold.
 *
 * A suspect is the cause if enough endpoints ended while running it and none
 * has answered it since. Other requests were running on the same endpoints,
 * so each end is attributed to one cause only. If two requests were running
 * when the same endpoints ended, neither is quarantined until a further end
 * distinguishes them. If none does, both are quarantined as uncertain. A
 * quarantined request is also uncertain while there are ends at which neither
 * it nor another quarantined request was running. Uncertain requests are
 * probed one at a time, each by one entry instance, until a response or
 * another end decides.
 *
 * A part runs wherever a request with it does, so that both are at the same
 * ends: the one that explains clearly more ends is the cause, otherwise the
 * narrower one, which is the request, or the part that is further back in the
 * prompt. Parts at two ends are published to be watched, so that all entry
 * instances report answers to requests with them. Pure. */
#ifndef CAROBLOOM_POLICY_CRASH_LEDGER_H
#define CAROBLOOM_POLICY_CRASH_LEDGER_H

#include <glib.h>

#include "carobloom/policy/endpoint_end.h"

typedef struct crash_ledger crash_ledger_t;

/* An order to quarantine or to watch a request or a prompt part, or to release
 * it. */
typedef struct {
    guint64 fingerprint;
    char *service; /* of a prompt part; empty: the order is for a request */
    guint64 part;  /* id of the prompt part */
    gboolean watch_only; /* report answers, refuse nothing */
    gboolean releases;   /* the watch follows a quarantine, and ends it */
    gint64 left_us;      /* remaining time; 0: released */
    gint64 since_us; /* time since the first end of an endpoint that ran it */
    char *endpoints; /* ids of the ended endpoints, comma-separated */
    guint ends;      /* ends that it explains, long responses count half */
    gboolean uncertain;   /* may not be the cause, and is probed soon */
    guint probe;          /* number of the probe in which one instance may send
                             the request once, counts up; 0: none */
    char *probe_instance; /* name of the instance that sends the probe, chosen
                             outside the ledger; NULL: not chosen */
} quarantine_order_t;

/* Whether the order is for a prompt part. */
gboolean quarantine_order_is_part(const quarantine_order_t *order);
/* Frees the members of an order in an array of orders. */
void quarantine_order_clear(gpointer order);
/* Creates an array of quarantine_order_t that frees its members. */
GArray *quarantine_orders_new(void);

/* Creates a ledger that keeps ends for `retention_us`, and quarantines a
 * request for as long after the last end that it caused. */
crash_ledger_t *crash_ledger_create(gint64 retention_us);
void crash_ledger_destroy(crash_ledger_t *ledger);
/* Changes how long ends are kept, and how long new quarantines last. */
void crash_ledger_set_retention(crash_ledger_t *ledger, gint64 retention_us);
/* Records an end. Runs of an end that was already recorded are added to it. */
void crash_ledger_record_end(crash_ledger_t *ledger, const endpoint_end_t *end,
                             gint64 now_us);
/* Records that an endpoint answered the request completely, or a request with
 * the part, which removes it as a suspect of all ends recorded so far. */
void crash_ledger_record_answered(crash_ledger_t *ledger, guint64 fingerprint,
                                  gint64 now_us);
/* Restores an order that was stored across a restart. */
void crash_ledger_restore(crash_ledger_t *ledger,
                          const quarantine_order_t *order, gint64 now_us);
/* Evaluates suspects that are due, and expires ends and orders. Call it
 * several times per second. */
void crash_ledger_evaluate(crash_ledger_t *ledger, gint64 now_us);
/* Increases with each order to quarantine, release or probe a request. */
guint64 crash_ledger_cursor(const crash_ledger_t *ledger);
/* Returns a new array with the orders after `cursor`, oldest first, at most
 * `max_count`. Moves `cursor` to the last one returned. */
GArray *crash_ledger_orders_since(const crash_ledger_t *ledger,
                                  guint64 *cursor, guint max_count,
                                  gint64 now_us);
/* Returns the number of quarantined requests and parts. */
guint crash_ledger_quarantined(const crash_ledger_t *ledger);
/* Returns the number of quarantined parts. */
guint crash_ledger_quarantined_parts(const crash_ledger_t *ledger);
/* Returns the number of requests and parts with recorded ends or orders. */
guint crash_ledger_suspects(const crash_ledger_t *ledger);
/* Returns the number of recorded ends. */
guint crash_ledger_ends(const crash_ledger_t *ledger);

#endif
