/* Whether this control instance may act as the holder of the duties: calls to
 * the platform that one instance at a time makes.
 *
 * The holder is the leader of the log, while its lease holds, and its fencing
 * token is its term: a term has one leader at most, the log makes terms rise,
 * and a next leader is elected only after the lease has run out. Pure; times
 * are of a clock that counts suspension. */
#ifndef CAROBLOOM_POLICY_DUTY_LEASE_H
#define CAROBLOOM_POLICY_DUTY_LEASE_H

#include <glib.h>

typedef struct {
    gint64 alternation_us; /* the platform must not see holder, other, holder
                            * within so long */
    guint64 token;         /* of the lease; 0: none is held */
    gint64 valid_from_us;  /* not before */
    gint64 until_us;       /* nor from then on */
    gint64
        last_call_us; /* the last time it may have acted; G_MININT64: never */
} duty_lease_t;

/* `first_start`: no earlier process of this instance can have acted. */
void duty_lease_init(duty_lease_t *lease, gint64 alternation_us,
                     gboolean first_incarnation, gint64 now_us);
/* Takes what the log says: whether it leads, in which term, and until when
 * nobody else can (0: not certain). TRUE when the lease was acquired or lost.
 */
gboolean duty_lease_update(duty_lease_t *lease, gboolean leads, guint64 term,
                           gint64 until_us, gint64 now_us);
/* The token under which it may send a call right now, which is then taken to
 * be sent; 0: it may not. */
guint64 duty_lease_authorize_call(duty_lease_t *lease, gint64 now_us);
/* The same without sending anything. */
guint64 duty_lease_token(const duty_lease_t *lease, gint64 now_us);

#endif
