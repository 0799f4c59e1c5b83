/* The duties: calls to the platform that only one control instance at a time
 * makes. They report the usage of teams and order engines. Private to the
 * control task.
 *
 * duties.c         the lease, reports of entry instances, the site's clock
 * duty_calls.c     calls to the platform under the lease
 * usage_duty.c     finalizes usage windows in the log and reports them
 * capacity_duty.c  plans and orders engines */
#ifndef CAROBLOOMD_CONTROL_DUTIES_H
#define CAROBLOOMD_CONTROL_DUTIES_H

#include <jansson.h>

#include "carobloom/gateway/usage_wire.h"
#include "carobloom/policy/site_clock.h"
#include "carobloom/policy/usage_book.h"
#include "control_state.h"
#include "duty_calls.h"
#include "platform.h"

typedef struct usage_duty usage_duty_t;
typedef struct capacity_duty capacity_duty_t;

/* State that the duties share. */
struct duties {
    control_t *control;
    duty_lease_t lease;
    gboolean initialized; /* the lease is set up, once the log says whether
                           * this is the first start */
    gint64 acquired_us;   /* clock_boot_us of the last acquisition */
    duty_calls_t *calls;
    site_clock_t *clock;
    usage_duty_t *usage;       /* NULL: disabled by the settings */
    capacity_duty_t *capacity; /* NULL: disabled by the settings */
    gint64 clock_sent_us;  /* time of the last clock report to the others */
    gint64 rate_window_us; /* start of the second in which `calls_in_window`
                            * are counted */
    guint calls_in_window;
    guint64 timer;
};

/* Returns the site's time of day as Unix time. */
gint64 duties_wall_us(const duties_t *duties);
/* Encodes a call with the stamp of the duty holder. */
typedef GString *(*duty_encode_t)(const duty_stamp_t *stamp,
                                  gconstpointer payload);
/* Encodes `payload` and sends it to the platform. Returns FALSE, without
 * calling `done`, if the call is not allowed now. */
gboolean duties_send(duties_t *duties, duty_encode_t encode,
                     gconstpointer payload, duty_call_done_t done, void *user);

/* Returns `root` as text and drops the reference to it; free the text with
 * g_free. */
char *duties_json(json_t *root);

/* usage_duty.c */
usage_duty_t *usage_duty_create(duties_t *duties);
void usage_duty_destroy(usage_duty_t *duty);
/* Resets the state for a new term, when this instance has acquired the
 * lease. */
void usage_duty_start_term(usage_duty_t *duty);
/* Records the counts of a report for windows that are not finalized. */
void usage_duty_record_report(usage_duty_t *duty,
                              const usage_report_t *report);
/* Replaces the ledger by the encoded copy from the replicated log. */
void usage_duty_set_ledger(usage_duty_t *duty, GBytes *bytes);
/* Returns the last finalized window. */
guint64 usage_duty_finalized_through(const usage_duty_t *duty);
/* Finalizes windows that are due and reports finalized ones. Call it regularly
 * while the lease is held. */
void usage_duty_step(usage_duty_t *duty);
/* Returns the usage windows as JSON for operators; free it with g_free. */
char *usage_duty_json(const usage_duty_t *duty);

/* capacity_duty.c */
capacity_duty_t *capacity_duty_create(duties_t *duties);
void capacity_duty_destroy(capacity_duty_t *duty);
/* Drops all plans and reports for a new term, when this instance has acquired
 * the lease. */
void capacity_duty_start_term(capacity_duty_t *duty);
/* Records the demand and the ready engines of a report. */
void capacity_duty_record_report(capacity_duty_t *duty,
                                 const usage_report_t *report);
/* Plans the engines of all services and sends the orders. Call it regularly
 * while the lease is held. */
void capacity_duty_step(capacity_duty_t *duty);
/* Returns the plans as JSON for operators; free it with g_free. */
char *capacity_duty_json(const capacity_duty_t *duty);

#endif
