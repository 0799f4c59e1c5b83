/* The rate limits that endpoints name, divided among the entry instances.
 *
 * Each limit has one owner among the control instances, which grants sends
 * ahead of time. What is granted and not used yet, and what may be granted at
 * once, are bounded together, and refilled at the limit's rate: so the sends
 * of all instances in any span are at most the bound and the rate times the
 * span. A grant that is returned is given to another instance; one that is not
 * counts as used. What the owner knows is told with each ask, so nothing is
 * lost with it but a moment. Pure. */
#ifndef CAROBLOOM_POLICY_LIMIT_QUOTA_H
#define CAROBLOOM_POLICY_LIMIT_QUOTA_H

#include "carobloom/policy/endpoint_limit.h"

typedef struct limit_quota limit_quota_t;

/* An entry instance. */
typedef struct {
    const char *name;
    guint64 incarnation;
    guint64 sequence; /* of its asks; one that comes late is not granted */
} limit_requester_t;

limit_quota_t *limit_quota_create(void);
void limit_quota_destroy(limit_quota_t *quota);
limit_grant_t limit_quota_request(limit_quota_t *quota,
                                  const limit_requester_t *requester,
                                  const limit_request_t *request,
                                  gint64 now_us);
/* As the relay of a limit whose owner does not answer an instance: takes what
 * answers said. It is told to all like what an owner knows; nothing is
 * granted. */
void limit_quota_apply_report(limit_quota_t *quota,
                              const limit_request_t *request, gint64 now_us);
/* Drops grants that are over, and limits that nobody asked for lately: entry
 * instances keep what they know of those and tell it when they ask again. */
void limit_quota_expire(limit_quota_t *quota, gint64 now_us);
/* Rises with each limit that begins, changes or is lifted. */
guint64 limit_quota_cursor(const limit_quota_t *quota);
/* limit_state_t of what changed after `cursor`, at most `most`, in a new
 * array; `cursor` becomes that of the last one. */
GArray *limit_quota_changes_since(const limit_quota_t *quota, guint64 *cursor,
                                  guint max_count);
/* Limits in force. */
guint limit_quota_count(const limit_quota_t *quota);
/* A line each, for people. */
void limit_quota_dump(const limit_quota_t *quota, GString *text,
                      gint64 now_us);

#endif
