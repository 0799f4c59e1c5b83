#include "carobloom/policy/memory_bound.h"

enum {
    STREAM_BYTES_MAX = 128 * 1024,
    /* Where many read slowly: some events of each. */
    STREAM_BYTES_CROWDED = 4 * 1024,
};

/* Parts of the memory. Bodies of requests have a quarter of their own. */
static const double CROWDED_FRACTION = 0.1; /* beyond it each holds little */
static const double ADMIT_FRACTION = 0.25;
static const double BUFFERED_FRACTION = 0.4;

gboolean
memory_admits(gsize memory, gsize held)
{
    return (double)held < ADMIT_FRACTION * (double)memory;
}

gboolean
memory_admits_buffered(gsize memory, gsize held)
{
    return (double)held < BUFFERED_FRACTION * (double)memory;
}

gsize
memory_stream_max(gsize memory, gsize held)
{
    return (double)held < CROWDED_FRACTION * (double)memory
               ? STREAM_BYTES_MAX
               : STREAM_BYTES_CROWDED;
}
