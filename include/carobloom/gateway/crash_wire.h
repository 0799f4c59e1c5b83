/* How entry instances tell control instances of endpoints that ended, and
 * what a control instance keeps on its disk of the requests it holds back. */
#ifndef CAROBLOOM_GATEWAY_CRASH_WIRE_H
#define CAROBLOOM_GATEWAY_CRASH_WIRE_H

#include <glib.h>

#include "carobloom/policy/crash_ledger.h"

#define CRASHES_PATH "/crashes" /* entry to control */

enum {
    /* Of one report: at most 8 KB. */
    CRASH_REPORT_ENDS_MAX = 16,
    CRASH_REPORT_RUNS_MAX =
        256, /* of all these ends; or of one, if it has more */
    CRASH_REPORT_ANSWERED_MAX = 256,
    QUARANTINE_ORDERS_MAX = 4096,
};

typedef struct {
    GArray *ends;     /* endpoint_end_t */
    GArray *answered; /* guint64: fingerprints of requests that were cut by an
                         end, or held, and are answered whole */
} crash_report_t;

void crash_report_init(crash_report_t *report);
void crash_report_clear(crash_report_t *report);
GBytes *crash_report_write(const crash_report_t *report);
gboolean crash_report_read(GBytes *bytes, crash_report_t *report);

/* Orders as a part of other messages: of quarantine_order_t. */
#define QUARANTINE_ORDERS_TYPE "a(txxsbus)"
GVariant *quarantine_orders_variant(const GArray *orders);
/* Sinks the variant; NULL when there are too many. */
GArray *quarantine_orders_read(GVariant *variant);

/* What is kept on the disk: the orders and when they were written. */
GBytes *quarantine_file_write(const GArray *orders, gint64 wall_us);
/* Their times less what has passed since; NULL when malformed. A clock that
 * was set back counts as no time. */
GArray *quarantine_file_read(GBytes *bytes, gint64 wall_us);

#endif
