/* Divides the rate limits of endpoints among the entry instances.
 *
 * Each limit has one owner among the control instances, which grants sends
 * ahead of time. Outstanding grants and the credit from which more may be
 * granted share one bound, and the credit refills at the limit's rate. Over
 * any period all instances together therefore send at most the bound plus the
 * rate times the period. Returned grants go to other instances; grants that
 * are not returned count as used. Each grant request carries what its sender
 * knows of the limit, so a new owner rebuilds the state from the next
 * requests. Pure. */
#ifndef CAROBLOOM_POLICY_LIMIT_QUOTA_H
#define CAROBLOOM_POLICY_LIMIT_QUOTA_H

#include "carobloom/policy/endpoint_limit.h"

typedef struct limit_quota limit_quota_t;

/* The entry instance that sent a grant request. */
typedef struct {
    const char *name;
    guint64 incarnation;
    guint64 sequence; /* of the request; one out of order gets no grants */
} limit_requester_t;

limit_quota_t *limit_quota_create(void);
void limit_quota_destroy(limit_quota_t *quota);
/* Handles a grant request as the owner of the limit. */
limit_grant_t limit_quota_request(limit_quota_t *quota,
                                  const limit_requester_t *requester,
                                  const limit_request_t *request,
                                  gint64 now_us);
/* Applies a report as the relay of a limit, from an instance to which the
 * owner doesn't reply. The limit is published to all instances like an owned
 * one, but nothing is granted. */
void limit_quota_apply_report(limit_quota_t *quota,
                              const limit_request_t *request, gint64 now_us);
/* Removes expired grants, and limits without a recent request or report. Entry
 * instances keep their own state of a removed limit and send it with their
 * next request. */
void limit_quota_expire(limit_quota_t *quota, gint64 now_us);
/* Increases whenever a limit begins, changes or is lifted. */
guint64 limit_quota_cursor(const limit_quota_t *quota);
/* Returns a new array of limit_state_t with the changes after `cursor`, oldest
 * first, at most `max_count`. Moves `cursor` to the last one returned. */
GArray *limit_quota_changes_since(const limit_quota_t *quota, guint64 *cursor,
                                  guint max_count);
/* Returns the number of limits in force. */
guint limit_quota_count(const limit_quota_t *quota);
/* Appends one diagnostic line per limit. */
void limit_quota_dump(const limit_quota_t *quota, GString *text,
                      gint64 now_us);

#endif
