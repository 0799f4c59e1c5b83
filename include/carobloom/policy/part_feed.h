/* Which prompt parts endpoints were sent, as entry instances tell each other.
 *
 * Each part is asked for through another entry instance nearly every time, so
 * that none knows from its own requests which engines keep it. With the news
 * of all a part is fetched from an engine that has it, in a twentieth of the
 * time in which it is read again. A feed keeps the newest notes; one that is
 * lost costs a part that is read again. Pure. */
#ifndef CAROBLOOM_POLICY_PART_FEED_H
#define CAROBLOOM_POLICY_PART_FEED_H

#include <glib.h>

enum { PART_FEED_MAX = 2048 }; /* notes that are kept */

/* An endpoint was sent a prompt with this part, and did not have it before. */
typedef struct {
    guint64 part;
    guint64 endpoint; /* hash of it */
} part_copy_t;

typedef struct part_feed part_feed_t;

part_feed_t *part_feed_create(void);
void part_feed_destroy(part_feed_t *feed);
/* `notes` holds part_copy_t. */
void part_feed_add(part_feed_t *feed, const GArray *copies);
/* The notes after the first `heard` ones, as far as they are kept, in a new
 * array; `heard` becomes how many were ever added. More than these is a word
 * of another feed, and counts as none. */
GArray *part_feed_since(const part_feed_t *feed, guint64 *received);

#endif
