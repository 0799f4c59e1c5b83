/* Messages by which entry instances hold slots of brittle endpoints, granted
 * by the control instance that leads. */
#ifndef CAROBLOOM_GATEWAY_SLOT_WIRE_H
#define CAROBLOOM_GATEWAY_SLOT_WIRE_H

#include "carobloom/policy/slot_quota.h"

/* Entry to control. Reports are answered at once, polls when there is news. */
#define SLOTS_PATH "/slots"
#define SLOT_POLLS_PATH "/slots/poll"

enum {
    SLOT_ITEMS_MAX = 65536,
    SLOT_WANTS_MAX = 64, /* in one report */
    SLOT_INSTANCES_MAX = 100000,
};

/* A report, or a poll, which has no items. */
typedef struct {
    char *from;
    guint64 incarnation;
    guint64 sequence;
    guint64 epoch; /* of the grantor that knows the sender; 0: none */
    guint32 instances;
    guint32 applied;
    slot_report_t report;
} slot_message_t;

typedef struct {
    guint64 epoch; /* of this grantor */
    /* The message was used; otherwise the next report has to be full. */
    gboolean is_used;
    slot_pace_t pace;
    slot_news_t news;
} slot_answer_t;

GBytes *slot_message_write(const slot_message_t *message);
gboolean slot_message_read(GBytes *bytes, slot_message_t *message);
void slot_message_clear(slot_message_t *message);
GBytes *slot_answer_write(const slot_answer_t *answer);
gboolean slot_answer_read(GBytes *bytes, slot_answer_t *answer);
void slot_answer_clear(slot_answer_t *answer);

#endif
