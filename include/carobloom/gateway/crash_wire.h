/* Reports of entry instances to control instances about endpoints that ended,
 * and the quarantine orders that a control instance stores on its disk. */
#ifndef CAROBLOOM_GATEWAY_CRASH_WIRE_H
#define CAROBLOOM_GATEWAY_CRASH_WIRE_H

#include <glib.h>

#include "carobloom/policy/crash_ledger.h"

#define CRASHES_PATH "/crashes" /* entry to control */

enum {
    /* Bounds of one report, which together keep it within 16 KB. */
    CRASH_REPORT_ENDS_MAX = 16,
    /* Of all ends; one end alone may have more. */
    CRASH_REPORT_RUNS_MAX = 256,
    CRASH_REPORT_PARTS_MAX = 1024,
    CRASH_REPORT_ANSWERED_MAX = 256,
    QUARANTINE_ORDERS_MAX = 4096,
};

typedef struct {
    GArray *ends; /* endpoint_end_t */
    /* guint64: fingerprints of requests and prompt parts that were interrupted
     * by an end, quarantined or watched, and were answered completely */
    GArray *answered;
} crash_report_t;

void crash_report_init(crash_report_t *report);
void crash_report_clear(crash_report_t *report);
GBytes *crash_report_write(const crash_report_t *report);
gboolean crash_report_read(GBytes *bytes, crash_report_t *report);

/* Encodes quarantine_order_t as a part of other messages. */
#define QUARANTINE_ORDERS_TYPE "a(tstbbxxsubus)"
GVariant *quarantine_orders_variant(const GArray *orders);
/* Takes ownership of the variant. Returns NULL if there are too many orders.
 */
GArray *quarantine_orders_read(GVariant *variant);

/* Encodes the orders and the time of writing, for the disk. */
GBytes *quarantine_file_write(const GArray *orders, gint64 wall_us);
/* Decodes the orders and advances their times by the time since they were
 * written. Returns NULL if malformed. If the clock was set back, no time
 * counts as passed. */
GArray *quarantine_file_read(GBytes *bytes, gint64 wall_us);

#endif
