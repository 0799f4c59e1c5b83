/* Lease of the duty holder: the control instance that makes the calls to the
 * platform, which only one instance may make at a time.
 *
 * The duty holder is the leader of the log while its lease is valid, and its
 * fencing token is its term. A term has at most one leader, terms only
 * increase, and the next leader is elected only after the lease has expired.
 * Pure; times are of a clock that includes suspension. */
#ifndef CAROBLOOM_POLICY_DUTY_LEASE_H
#define CAROBLOOM_POLICY_DUTY_LEASE_H

#include <glib.h>

/* State of the lease; set it up with duty_lease_init. */
typedef struct {
    /* After calls of instance A and then of instance B, the platform must not
     * see another call of A within this time of A's first call. */
    gint64 alternation_us;
    guint64 token;        /* of the lease; 0: not held */
    gint64 valid_from_us; /* first time at which calls are allowed */
    gint64 until_us;      /* end of the lease */
    gint64 last_call_us;  /* last time it may have made a call; G_MININT64:
                             never */
} duty_lease_t;

/* `first_incarnation`: no earlier process of this instance can have made a
 * call. */
void duty_lease_init(duty_lease_t *lease, gint64 alternation_us,
                     gboolean first_incarnation, gint64 now_us);
/* Applies the state of the log: whether this instance leads, in which term,
 * and the time before which no other instance can lead (0: unknown). Returns
 * TRUE if the lease was acquired or lost. */
gboolean duty_lease_update(duty_lease_t *lease, gboolean leads, guint64 term,
                           gint64 until_us, gint64 now_us);
/* Returns the token for a call that is sent now, and records the call; 0: the
 * call is not allowed. */
guint64 duty_lease_authorize_call(duty_lease_t *lease, gint64 now_us);
/* Returns the token as above without recording a call. */
guint64 duty_lease_token(const duty_lease_t *lease, gint64 now_us);

#endif
