/* Messages that share the requests in flight of all entry instances, and the
 * prompt parts that each entry instance sent to endpoints.
 *
 * An entry instance reports to one control instance several times per second,
 * and the answer has the sums over all entry instances. Control instances send
 * each other the sums over the entry instances that report to them. No leader
 * is needed. Received loads are at most as old as two report intervals of
 * entry instances and one of control instances. */
#ifndef CAROBLOOM_GATEWAY_LOAD_WIRE_H
#define CAROBLOOM_GATEWAY_LOAD_WIRE_H

#include <glib.h>

#include "carobloom/policy/load_sum.h"
#include "carobloom/policy/part_feed.h"

#define LOADS_PATH "/loads"    /* entry to control */
#define LOAD_SUMS_PATH "/sums" /* control to control */

enum { LOAD_ENDPOINTS_MAX = 20000 };

/* A report of an entry instance. */
typedef struct {
    char *from;             /* name of the instance */
    GArray *loads;          /* endpoint_load_t */
    GArray *parts;          /* part_copy_t, since the last report */
    guint64 parts_received; /* part_copy_t received so far; see part_feed.h */
} load_report_t;

typedef struct {
    guint32 report_interval_ms; /* until the next report */
    GArray *loads;              /* endpoint_load_t, over all entry instances */
    GArray *parts;              /* part_copy_t that were not sent before */
    guint64 parts_received;     /* to be sent with the next report */
} load_answer_t;

/* The sums over the entry instances that report to one control instance, sent
 * to another control instance. */
typedef struct {
    char *from;        /* IP:PORT of the control instance */
    char *data_centre; /* of the control instance; empty: sent before */
    guint64 sequence;  /* see load_sum_apply_changes */
    guint64 base;
    GArray *loads; /* endpoint_load_t that changed, in order of endpoints */
    GArray *parts; /* part_copy_t that were not sent before */
} load_sums_t;

GBytes *load_report_write(const load_report_t *report);
gboolean load_report_read(GBytes *bytes, load_report_t *report);
void load_report_clear(load_report_t *report);
GBytes *load_sums_write(const load_sums_t *sums);
gboolean load_sums_read(GBytes *bytes, load_sums_t *sums);
void load_sums_clear(load_sums_t *sums);
GBytes *load_answer_write(const load_answer_t *answer);
gboolean load_answer_read(GBytes *bytes, load_answer_t *answer);
void load_answer_clear(load_answer_t *answer);

#endif
