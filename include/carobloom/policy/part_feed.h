/* Records which endpoints were sent which prompt parts, as entry instances
 * report it to each other.
 *
 * Requests for the same part nearly always arrive at different entry
 * instances, so no instance knows from its own requests alone which engines
 * cache the part. With the reports of all instances the part is fetched from
 * such an engine, which takes a fourteenth to a twentieth of the time of
 * reading it again, depending on the rates of the engine and of its link. The
 * feed keeps the latest records; a lost record costs one more reading of a
 * part. Pure. */
#ifndef CAROBLOOM_POLICY_PART_FEED_H
#define CAROBLOOM_POLICY_PART_FEED_H

#include <glib.h>

enum { PART_FEED_MAX = 2048 }; /* records kept */

/* A part that an endpoint was sent and did not have before. */
typedef struct {
    guint64 part;
    guint64 endpoint; /* hash of the endpoint's id and incarnation */
} part_copy_t;

typedef struct part_feed part_feed_t;

part_feed_t *part_feed_create(void);
void part_feed_destroy(part_feed_t *feed);
/* Appends records; `copies` holds part_copy_t. */
void part_feed_add(part_feed_t *feed, const GArray *copies);
/* Returns the records after the first `received` ones, as far as they are
 * kept, in a new array, and sets `received` to the number ever added. A larger
 * `received` comes from a different feed and counts as 0. */
GArray *part_feed_since(const part_feed_t *feed, guint64 *received);

#endif
