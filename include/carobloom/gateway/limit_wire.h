/* How entry instances share the limits that endpoints name.
 *
 * An entry instance tells the owner of a limit, a control instance, what it
 * heard and how many sends it wants, and is answered with its grant. Control
 * instances tell all entry instances what changed with their other news
 * (sync_wire.h). */
#ifndef CAROBLOOM_GATEWAY_LIMIT_WIRE_H
#define CAROBLOOM_GATEWAY_LIMIT_WIRE_H

#include "carobloom/policy/limit_quota.h"

#define LIMITS_PATH "/limits" /* entry to the owning control */
#define LIMIT_STATES_TYPE "a(tbd)"

enum { LIMIT_REQUESTS_MAX = 512 };

typedef struct {
    char *from;
    guint64 incarnation; /* drawn at its start */
    guint64 sequence;    /* from 1 */
    GArray *requests;    /* limit_request_t */
} limit_report_t;

typedef struct {
    guint32 report_interval_ms; /* between two asks for sends */
    GArray *grants;             /* limit_grant_t, in the order of the asks */
} limit_answer_t;

GBytes *limit_report_write(const limit_report_t *report);
gboolean limit_report_read(GBytes *bytes, limit_report_t *report);
void limit_report_clear(limit_report_t *report);
GBytes *limit_answer_write(const limit_answer_t *answer);
gboolean limit_answer_read(GBytes *bytes, limit_answer_t *answer);
void limit_answer_clear(limit_answer_t *answer);

/* limit_state_t as a part of another message. NULL gives none. */
GVariant *limit_states_variant(const GArray *states);
/* Takes the part over; NULL when it is no list of sound states. */
GArray *limit_states_read(GVariant *list);

#endif
