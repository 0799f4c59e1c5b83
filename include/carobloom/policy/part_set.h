/* Prompt parts that an endpoint was recently sent.
 *
 * A hash table without chaining: the part's id determines its bucket, and a
 * new part replaces the one in its bucket. The table grows on collisions, up
 * to a bound set by the caller, so an endpoint that is sent few parts takes
 * little memory. Pure. */
#ifndef CAROBLOOM_POLICY_PART_SET_H
#define CAROBLOOM_POLICY_PART_SET_H

#include <glib.h>

/* Empty when zero-filled. */
typedef struct {
    guint64 *buckets; /* a part each; 0: empty */
    guint count;      /* of buckets: zero or a power of two */
} part_set_t;

void part_set_clear(part_set_t *set);
/* Adds a part. The table has at most `max_buckets` buckets, a power of two. */
void part_set_add(part_set_t *set, guint64 part, guint max_buckets);
gboolean part_set_has(const part_set_t *set, guint64 part);

#endif
