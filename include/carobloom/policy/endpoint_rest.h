/* Rest that an endpoint asks for: it refuses a request and names a time for
 * which it wants no further requests from this instance. Times include
 * suspensions of the machine. Pure. */
#ifndef CAROBLOOM_POLICY_ENDPOINT_REST_H
#define CAROBLOOM_POLICY_ENDPOINT_REST_H

#include <glib.h>

enum {
    /* Longer rests are cut to this, so that no value takes an endpoint out for
     * good. */
    REST_MAX_S = 3600,
};

/* The rest of one incarnation of an endpoint. */
typedef struct {
    gint64 until_us; /* no requests until then; 0: no rest since the start */
    gint64 asked_ms; /* as the endpoint last asked for it */
    double delay_fraction;    /* of the longest delay after the end, 0 to 1 */
    gint64 logged_until_us;   /* `until_us` as last logged */
    gint64 refusal_logged_us; /* last log line about a request refused because
                               * of it */
} endpoint_rest_t;

typedef enum {
    REST_UNCHANGED, /* or prolonged by too little to be logged */
    REST_BEGUN,
    REST_PROLONGED,
} rest_change_t;

/* Records that the endpoint asked for a rest of `seconds`. A rest is never
 * shortened: answers may overtake each other. `draw` is random, 0 to 1, and
 * delays the first request after the rest, so that instances do not all return
 * at the same time. */
rest_change_t endpoint_rest_record(endpoint_rest_t *rest, double seconds,
                                   double draw, gint64 now_us);
gboolean endpoint_rest_is_active(const endpoint_rest_t *rest, gint64 now_us);
/* Returns the time until the endpoint may get requests again; 0: now. */
gint64 endpoint_rest_left_us(const endpoint_rest_t *rest, gint64 now_us);

#endif
