/* What one control instance at a time does towards the platform: usage told,
 * engines ordered. Private to the control task.
 *
 * duties.c         the lease, reports of entry instances, clocks
 * duty_calls.c     calls under the lease
 * usage_duty.c     windows fixed in the log and told
 * capacity_duty.c  engines planned and ordered */
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

/* What the duties share. */
struct duties {
    control_t *control;
    duty_lease_t lease;
    gboolean initialized; /* the log said how this instance started */
    gint64
        acquired_us; /* clock_boot_us at which the lease was last acquired */
    duty_calls_t *calls;
    site_clock_t *clock;
    usage_duty_t *usage;       /* NULL: not a duty here */
    capacity_duty_t *capacity; /* NULL: not a duty here */
    gint64 clock_sent_us;
    gint64 rate_window_us; /* since when calls are counted */
    guint calls_in_window;
    guint64 timer;
};

/* The site's time of day, Unix time. */
gint64 duties_wall_us(const duties_t *duties);
/* Sends a call; `encode` writes it for a stamp. FALSE when it may not be sent
 * now. */
typedef GString *(*duty_encode_t)(const duty_stamp_t *stamp,
                                  gconstpointer payload);
gboolean duties_send(duties_t *duties, duty_encode_t encode,
                     gconstpointer payload, duty_call_done_t done, void *user);

/* Takes over `root`; the text is freed with g_free. */
char *duties_json(json_t *root);

/* usage_duty.c */
usage_duty_t *usage_duty_create(duties_t *duties);
void usage_duty_destroy(usage_duty_t *duty);
/* This instance acquired the lease. */
void usage_duty_start_term(usage_duty_t *duty);
void usage_duty_record_report(usage_duty_t *duty,
                              const usage_report_t *report);
/* The ledger as the log has it. */
void usage_duty_set_ledger(usage_duty_t *duty, GBytes *bytes);
guint64 usage_duty_finalized_through(const usage_duty_t *duty);
/* What is due, while the lease is held. */
void usage_duty_step(usage_duty_t *duty);
/* For operators; freed with g_free. */
char *usage_duty_json(const usage_duty_t *duty);

/* capacity_duty.c */
capacity_duty_t *capacity_duty_create(duties_t *duties);
void capacity_duty_destroy(capacity_duty_t *duty);
void capacity_duty_start_term(capacity_duty_t *duty);
void capacity_duty_record_report(capacity_duty_t *duty,
                                 const usage_report_t *report);
void capacity_duty_step(capacity_duty_t *duty);
char *capacity_duty_json(const capacity_duty_t *duty);

#endif
