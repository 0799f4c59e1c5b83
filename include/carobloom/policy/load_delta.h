/* Tracks which loads another control instance has received, so that only
 * changes are sent to it.
 *
 * A message contains the changes since a message that the other instance
 * acknowledged, or all loads when none is known to have arrived. Pure. */
#ifndef CAROBLOOM_POLICY_LOAD_DELTA_H
#define CAROBLOOM_POLICY_LOAD_DELTA_H

#include "carobloom/policy/load_sum.h"

typedef struct load_delta load_delta_t;

load_delta_t *load_delta_create(void);
void load_delta_destroy(load_delta_t *delta);
/* Whether a message is waiting for its acknowledgement. No other message can
 * be sent until it is acknowledged or lost. */
gboolean load_delta_is_pending(const load_delta_t *delta);
/* The last acknowledged message, or 0 if all loads have to be sent. */
guint64 load_delta_base(const load_delta_t *delta);
/* The loads that differ from those of the base message, in a new array; a load
 * that is gone is zero. `loads` is sorted by endpoint. */
GArray *load_delta_changes(const load_delta_t *delta, const GArray *loads);
/* Records that message `sequence`, above 0, was sent and brings the other
 * instance's state to `loads`. */
void load_delta_sent(load_delta_t *delta, GArray *loads, guint64 sequence,
                     gint64 now_us);
/* When the last message was sent. */
gint64 load_delta_sent_us(const load_delta_t *delta);
/* The other instance acknowledged the message, or the message may be lost. */
void load_delta_acknowledged(load_delta_t *delta);
void load_delta_lost(load_delta_t *delta);

#endif
