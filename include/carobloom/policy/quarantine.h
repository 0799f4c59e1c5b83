/* The requests and prompt parts that an entry instance refuses because the
 * control instances ordered their quarantine, and the parts of which it is to
 * report answers. Pure. */
#ifndef CAROBLOOM_POLICY_QUARANTINE_H
#define CAROBLOOM_POLICY_QUARANTINE_H

#include <glib.h>

#include "carobloom/policy/crash_ledger.h"

typedef struct quarantine quarantine_t;

/* A quarantined or watched request or prompt part. */
typedef struct {
    char *service;       /* of a prompt part; empty: a request */
    guint64 part;        /* id of the prompt part */
    gboolean watch_only; /* not quarantined */
    gint64 until_us;
    gint64 since_us;    /* when the first endpoint ended while running it */
    char *endpoints;    /* ids of the ended endpoints, comma-separated */
    gboolean uncertain; /* will be probed soon, by this instance or another */
    gboolean probe;     /* this instance may send it once as a probe */
    gboolean probe_taken; /* the last probe may still be given back */
    gint64 probed_us; /* time of the last probe by this instance; 0: never */
} quarantined_request_t;

/* Whether the entry is for a prompt part. */
gboolean quarantined_is_part(const quarantined_request_t *entry);

quarantine_t *quarantine_create(void);
void quarantine_destroy(quarantine_t *quarantine);
/* Applies an order; `instance` is the name of this instance. Returns TRUE if a
 * request was added or removed. */
gboolean quarantine_apply_order(quarantine_t *quarantine,
                                const quarantine_order_t *order,
                                const char *instance, gint64 now_us);
/* Returns whether nothing is quarantined or watched. Fingerprints need not be
 * computed or looked up then. */
gboolean quarantine_is_empty(const quarantine_t *quarantine);
/* Returns whether an answer is to be reported: the request or part is
 * quarantined or watched. Ends the watch: one report is enough. */
gboolean quarantine_take_answer(quarantine_t *quarantine, guint64 fingerprint);
/* Returns NULL if the request or part is not quarantined. The result is valid
 * until the next change. */
const quarantined_request_t *quarantine_find(const quarantine_t *quarantine,
                                             guint64 fingerprint,
                                             gint64 now_us);
/* Returns whether a quarantined request may be sent now as a probe, and uses
 * up that permission. */
gboolean quarantine_take_probe(quarantine_t *quarantine, guint64 fingerprint,
                               gint64 now_us);
/* Gives the permission back: the probe was not executed, so that nothing was
 * learned by it. Does nothing if another instance has been assigned since. */
void quarantine_return_probe(quarantine_t *quarantine, guint64 fingerprint);
/* Frees requests whose quarantine has expired. */
void quarantine_expire(quarantine_t *quarantine, gint64 now_us);
/* Returns the number of quarantined requests, and of quarantined parts. */
guint quarantine_count(const quarantine_t *quarantine);
guint quarantine_count_parts(const quarantine_t *quarantine);
/* Appends a line for each quarantined or watched part. */
void quarantine_dump(const quarantine_t *quarantine, GString *text,
                     gint64 now_us);

#endif
