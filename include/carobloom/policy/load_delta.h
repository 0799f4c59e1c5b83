/* What another control instance was told of the loads here, so that only what
 * changed is told again.
 *
 * A message changes one that the other is known to have taken; when that is
 * not known, it says all. Pure. */
#ifndef CAROBLOOM_POLICY_LOAD_DELTA_H
#define CAROBLOOM_POLICY_LOAD_DELTA_H

#include "carobloom/policy/load_sum.h"

typedef struct load_delta load_delta_t;

load_delta_t *load_delta_create(void);
void load_delta_destroy(load_delta_t *delta);
/* Whether a message is under way. Nothing else can be told until it was taken
 * or lost. */
gboolean load_delta_is_pending(const load_delta_t *delta);
/* The message that the other has, or 0: it has to be told all. */
guint64 load_delta_base(const load_delta_t *delta);
/* What is to be told, in a new array: the loads that differ from those of the
 * base; one that is gone is told as zero. `loads` is in order of endpoints. */
GArray *load_delta_changes(const load_delta_t *delta, const GArray *loads);
/* Message `sequence`, above 0, says that the loads are these now. */
void load_delta_sent(load_delta_t *delta, GArray *loads, guint64 sequence,
                     gint64 now_us);
/* When the last message was sent. */
gint64 load_delta_sent_us(const load_delta_t *delta);
/* The other has taken it, or it may not have. */
void load_delta_acknowledged(load_delta_t *delta);
void load_delta_lost(load_delta_t *delta);

#endif
