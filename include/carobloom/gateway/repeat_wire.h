/* Messages by which entry instances request grants of repeats from the control
 * instance that leads. */
#ifndef CAROBLOOM_GATEWAY_REPEAT_WIRE_H
#define CAROBLOOM_GATEWAY_REPEAT_WIRE_H

#include "carobloom/policy/repeat_quota.h"

#define REPEATS_PATH "/repeats" /* entry to control */

enum {
    REPEAT_SERVICES_MAX = 4096,
    REPEAT_INSTANCES_MAX = 100000,
};

/* A request for the budget of one service. */
typedef struct {
    repeat_request_t request;
    gboolean has_history;
    repeat_slot_t history[REPEAT_HISTORY_MAX];
} repeat_item_t;

typedef struct {
    char *from; /* name of the instance */
    guint64 incarnation;
    guint64 sequence;
    /* identifies the grantor that knows the sender's history; 0: none does */
    guint64 epoch;
    guint32 age_ms; /* since the start of the sender */
    guint32 instances;
    gboolean is_ending;
    GArray *items; /* repeat_item_t */
} repeat_report_t;

typedef struct {
    /* of this grantor; where it is not that of the report, the report was not
     * used, and the next one has to have the history */
    guint64 epoch;
    repeat_pace_t pace;
    GArray *grants; /* repeat_grant_t */
} repeat_answer_t;

GBytes *repeat_report_write(const repeat_report_t *report);
gboolean repeat_report_read(GBytes *bytes, repeat_report_t *report);
void repeat_report_clear(repeat_report_t *report);
GBytes *repeat_answer_write(const repeat_answer_t *answer);
gboolean repeat_answer_read(GBytes *bytes, repeat_answer_t *answer);
void repeat_answer_clear(repeat_answer_t *answer);

#endif
