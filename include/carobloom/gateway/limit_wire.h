/* Messages with which entry instances share the rate limits that endpoints
 * announce.
 *
 * An entry instance reports to the owner of a limit, a control instance, the
 * rates from responses and the number of sends it wants, and the owner answers
 * with grants. Control instances send changes of limits to all entry instances
 * with their other updates (sync_wire.h). */
#ifndef CAROBLOOM_GATEWAY_LIMIT_WIRE_H
#define CAROBLOOM_GATEWAY_LIMIT_WIRE_H

#include "carobloom/policy/limit_quota.h"

#define LIMITS_PATH "/limits" /* entry to owning control instance */
#define LIMIT_STATES_TYPE "a(tbd)"

enum { LIMIT_REQUESTS_MAX = 512 };

typedef struct {
    char *from;
    guint64 incarnation; /* random, drawn when the instance starts */
    guint64 sequence;    /* from 1 */
    GArray *requests;    /* limit_request_t */
} limit_report_t;

typedef struct {
    guint32 report_interval_ms; /* minimum, for grant requests */
    GArray *grants; /* limit_grant_t, in the order of the requests */
} limit_answer_t;

GBytes *limit_report_write(const limit_report_t *report);
gboolean limit_report_read(GBytes *bytes, limit_report_t *report);
void limit_report_clear(limit_report_t *report);
GBytes *limit_answer_write(const limit_answer_t *answer);
gboolean limit_answer_read(GBytes *bytes, limit_answer_t *answer);
void limit_answer_clear(limit_answer_t *answer);

/* Encodes limit_state_t as a part of another message. NULL encodes an empty
 * list. */
GVariant *limit_states_variant(const GArray *states);
/* Takes ownership of the variant. Returns NULL if it is not a list of valid
 * states. */
GArray *limit_states_read(GVariant *list);

#endif
