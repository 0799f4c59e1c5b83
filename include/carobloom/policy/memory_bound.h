/* How much of an instance's memory may hold answers that callers have not
 * read. Pure. */
#ifndef CAROBLOOM_POLICY_MEMORY_BOUND_H
#define CAROBLOOM_POLICY_MEMORY_BOUND_H

#include <glib.h>

/* Whether a new request is taken while so many bytes of answers are held. */
gboolean memory_admits(gsize memory, gsize held);
/* Whether an answer that is gathered whole may grow to hold so many. */
gboolean memory_admits_buffered(gsize memory, gsize held);
/* Bytes that one stream may hold for its caller before its endpoint waits. */
gsize memory_stream_max(gsize memory, gsize held);

#endif
