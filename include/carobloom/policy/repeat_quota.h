/* Grants the shared part of the budgets for repeats to entry instances: all
 * that instances don't spend as their own part (repeat_budget.h).
 *
 * One control instance grants at a time. It counts first sends and repeats of
 * all instances in slots of the window. A grant counts as spent until it is
 * returned, and one that is neither reported nor returned in time counts as
 * spent when it expires. Repeats therefore stay within the budget in each
 * window, whichever instances end, freeze or are cut off.
 *
 * A grantor that has just begun doesn't know what was spent before it. Each
 * instance sends it the history of its last window. It grants once it has
 * those of all instances, none of them has started within the window and
 * earlier grants have expired, or when what it can't know is older than the
 * window. Pure. */
#ifndef CAROBLOOM_POLICY_REPEAT_QUOTA_H
#define CAROBLOOM_POLICY_REPEAT_QUOTA_H

#include "carobloom/policy/repeat_budget.h"

typedef struct repeat_quota repeat_quota_t;

/* The entry instance that sent a request. */
typedef struct {
    const char *name;
    guint64 incarnation;
    guint64 sequence;   /* of the request; one out of order gets no grants */
    gint64 age_us;      /* since its start */
    guint instances;    /* number of entry instances, as it knows */
    gboolean is_ending; /* it returns its grants and gets no more */
} repeat_requester_t;

/* Intervals at which instances send requests, and for how long grants are
 * usable. They grow with the number of instances, so that the rate of requests
 * stays bounded. */
typedef struct {
    guint needy_ms; /* of an instance that wants repeats */
    guint calm_ms;  /* of the others */
    guint lifetime_ms;
} repeat_pace_t;

repeat_pace_t repeat_pace(guint instances);

/* `is_first`: no request was sent before by any instance, so that there is
 * nothing to wait for. */
repeat_quota_t *repeat_quota_create(const repeat_limits_t *limits,
                                    gboolean is_first, gint64 now_us);
void repeat_quota_destroy(repeat_quota_t *quota);
/* Records that an instance sends requests to this grantor. To be called before
 * the requests of one message are handled. Returns FALSE if the message is out
 * of order, and is to be dropped. */
gboolean repeat_quota_begin(repeat_quota_t *quota,
                            const repeat_requester_t *requester,
                            gint64 now_us);
/* Handles a request. `history` has the last window of the instance, the
 * current slot first; NULL: it was sent before. */
repeat_grant_t repeat_quota_request(repeat_quota_t *quota,
                                    const repeat_requester_t *requester,
                                    const repeat_request_t *request,
                                    const repeat_slot_t *history,
                                    gint64 now_us);
/* Counts expired grants as spent, and forgets instances and services without a
 * recent request. To be called several times per second. */
void repeat_quota_expire(repeat_quota_t *quota, gint64 now_us);
/* The number of instances that the quota counts with. */
guint repeat_quota_instances(const repeat_quota_t *quota);
/* Appends one diagnostic line per service. */
void repeat_quota_dump(repeat_quota_t *quota, GString *text, gint64 now_us);

#endif
