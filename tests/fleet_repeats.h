/* Counts repeats as the platform's users do: arrivals at endpoints beyond the
 * first of each request, in sliding windows. */
#ifndef TESTS_FLEET_REPEATS_H
#define TESTS_FLEET_REPEATS_H

#include "fleet.h"

enum { REPEATS_WINDOW_MS = 10000 };

typedef struct {
    double ratio;
    double slack;
} repeats_rule_t;

/* Repeats in one window, and how many the rule allows in it. */
typedef struct {
    gint64 from_us;
    guint repeats;
    double allowed;
} repeats_window_t;

/* Returns the times (gint64, us) of arrivals beyond the first of each request
 * at all endpoints, in order; to be unref'd. */
GArray *fleet_repeat_times(const fleet_t *fleet);
/* Returns the window in which repeats exceed what is allowed by most, or one
 * without repeats. `requests` holds the times (gint64, us) at which clients
 * sent requests, and is sorted. */
repeats_window_t repeats_worst(const GArray *repeats, GArray *requests,
                               const repeats_rule_t *rule);

#endif
