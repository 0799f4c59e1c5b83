/* Reports of entry instances to the leading control instance for its duties,
 * and the commands that finalize usage in the replicated log. */
#ifndef CAROBLOOM_GATEWAY_USAGE_WIRE_H
#define CAROBLOOM_GATEWAY_USAGE_WIRE_H

#include "carobloom/policy/capacity_demand.h"
#include "carobloom/policy/directory.h"
#include "carobloom/policy/usage_ledger.h"

#define USAGE_PATH "/usage-report" /* entry to the leading control */
#define CLOCK_PATH "/clock"        /* control to control */

enum {
    USAGE_WORKS_MAX = 256,     /* services with engines */
    USAGE_SUPPLIES_MAX = 4096, /* one per service and data centre */
};

/* A report of one incarnation of an entry instance. */
typedef struct {
    char *from;
    guint64 incarnation; /* random, drawn when the instance starts */
    GPtrArray *windows;  /* usage_window_t *: all counts of each window */
    GArray *works;       /* service_work_t */
    GArray *supplies;    /* engine_supply_t */
} usage_report_t;

/* Encodes a report; NULL lists are encoded as empty ones. */
GBytes *usage_report_write(const usage_report_t *report);
gboolean usage_report_read(GBytes *bytes, usage_report_t *report);
void usage_report_clear(usage_report_t *report);

typedef struct {
    gint64 wall_us;             /* the site's time of day */
    guint64 finalized_through;  /* windows up to this one are final; 0: none */
    guint32 report_interval_ms; /* until the next report */
} usage_answer_t;

GBytes *usage_answer_write(const usage_answer_t *answer);
gboolean usage_answer_read(GBytes *bytes, usage_answer_t *answer);

/* Time of day of a control instance, sent to the other control instances. */
typedef struct {
    char *from;
    gint64 wall_us;
} clock_report_t;

GBytes *clock_report_write(const clock_report_t *report);
gboolean clock_report_read(GBytes *bytes, clock_report_t *report);
void clock_report_clear(clock_report_t *report);

/* Create commands for the log: finalize a window with its counts, and mark a
 * window as accepted by the platform. */
GBytes *usage_finalize_command(const usage_window_t *window);
GBytes *usage_accept_command(guint64 window);
/* Returns FALSE if the command is malformed or changes nothing. */
gboolean usage_command_apply(usage_ledger_t *ledger, GBytes *command);
/* Encodes the whole ledger. */
GBytes *usage_ledger_write(const usage_ledger_t *ledger);
/* Returns NULL if the bytes are malformed. */
usage_ledger_t *usage_ledger_read(GBytes *bytes);

#endif
