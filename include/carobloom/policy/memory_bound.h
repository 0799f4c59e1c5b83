/* Bounds on the memory of an instance for answers that callers have not read.
 * Pure. */
#ifndef CAROBLOOM_POLICY_MEMORY_BOUND_H
#define CAROBLOOM_POLICY_MEMORY_BOUND_H

#include <glib.h>

/* Whether a new request is accepted while `held` bytes of answers are
 * buffered. */
gboolean memory_admits(gsize memory, gsize held);
/* Whether an answer that is buffered as a whole may grow while `held` bytes of
 * answers are buffered. */
gboolean memory_admits_buffered(gsize memory, gsize held);
/* Maximum bytes that one stream may buffer for its caller before reading from
 * its endpoint pauses. */
gsize memory_stream_max(gsize memory, gsize held);

#endif
