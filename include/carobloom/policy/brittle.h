/* Endpoints that fall over when they have to turn away too many requests.
 *
 * The endpoints of a service announce that they are brittle, and how many
 * requests of all instances together one of them may turn away in a second.
 * Meanwhile an instance sends an endpoint no more than what fits into its
 * slots, and pauses after a refusal for as long as its share of that number
 * demands. Pure. */
#ifndef CAROBLOOM_POLICY_BRITTLE_H
#define CAROBLOOM_POLICY_BRITTLE_H

#include <glib.h>

/* Of a service, as its endpoints announce it. */
typedef struct {
    gboolean is_brittle;
    double refusals_per_s; /* of one endpoint, for all instances together */
    gint64 named_us;       /* when it was last announced */
} service_brittle_t;

/* Records an answer of an endpoint that announced it, or did not. Return TRUE
 * if the service is brittle from now on, or no longer. */
gboolean service_brittle_record(service_brittle_t *brittle,
                                double refusals_per_s, gint64 now_us);
gboolean service_brittle_record_absent(service_brittle_t *brittle,
                                       gint64 now_us);

/* What is known of an endpoint. */
typedef struct {
    guint running; /* requests of this instance there */
    double others; /* decaying maximum of the others' requests */
    guint slots;
    guint instances; /* that may send there */
} brittle_load_t;

/* The next value of that maximum after a report. */
double brittle_peak(double peak, guint reported);
/* Whether a request would find a free slot. */
gboolean brittle_has_slot(const brittle_load_t *load);
/* For how long an instance sends nothing to an endpoint that turned one of its
 * requests away, in microseconds. */
gint64 brittle_pause_us(const service_brittle_t *brittle, guint instances);

#endif
