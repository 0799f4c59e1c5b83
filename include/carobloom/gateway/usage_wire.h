/* What entry instances tell the leading control instance for its duties, and
 * the commands by which usage is fixed in the replicated log. */
#ifndef CAROBLOOM_GATEWAY_USAGE_WIRE_H
#define CAROBLOOM_GATEWAY_USAGE_WIRE_H

#include "carobloom/policy/capacity_demand.h"
#include "carobloom/policy/directory.h"
#include "carobloom/policy/usage_ledger.h"

#define USAGE_PATH "/usage-report" /* entry to the leading control */
#define CLOCK_PATH "/clock"        /* control to control */

enum {
    USAGE_WORKS_MAX = 256,     /* services with engines */
    USAGE_SUPPLIES_MAX = 4096, /* of these, in each data centre */
};

/* Of one start of an entry instance. */
typedef struct {
    char *from;
    guint64 incarnation; /* drawn at its start */
    GPtrArray *windows;  /* usage_window_t *: all it counted of each */
    GArray *works;       /* service_work_t */
    GArray *supplies;    /* engine_supply_t */
} usage_report_t;

/* NULL lists are written empty. */
GBytes *usage_report_write(const usage_report_t *report);
gboolean usage_report_read(GBytes *bytes, usage_report_t *report);
void usage_report_clear(usage_report_t *report);

typedef struct {
    gint64 wall_us;         /* the site's time of day */
    guint64 last_finalized; /* windows up to this one take no more counts */
    guint32 report_interval_ms; /* until the next report */
} usage_answer_t;

GBytes *usage_answer_write(const usage_answer_t *answer);
gboolean usage_answer_read(GBytes *bytes, usage_answer_t *answer);

/* A control instance's time of day, for the others. */
typedef struct {
    char *from;
    gint64 wall_us;
} clock_report_t;

GBytes *clock_report_write(const clock_report_t *report);
gboolean clock_report_read(GBytes *bytes, clock_report_t *report);
void clock_report_clear(clock_report_t *report);

/* Commands of the log. */
GBytes *usage_finalize_command(const usage_window_t *figures);
GBytes *usage_accept_command(guint64 window);
/* FALSE when it is no command, or changes nothing. */
gboolean usage_command_apply(usage_ledger_t *ledger, GBytes *command);
/* The whole ledger. */
GBytes *usage_ledger_write(const usage_ledger_t *ledger);
/* NULL when it can not be read. */
usage_ledger_t *usage_ledger_read(GBytes *bytes);

#endif
