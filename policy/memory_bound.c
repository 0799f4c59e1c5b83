#include "carobloom/policy/memory_bound.h"

enum {
    STREAM_BYTES = 128 * 1024,
    /* Where many read slowly: some events of each. */
    STREAM_BYTES_LEAST = 4 * 1024,
};

/* Parts of the memory. Bodies of requests have a quarter of their own. */
static const double STREAMS_FREE_PART = 0.1; /* beyond it each holds little */
static const double ADMIT_PART = 0.25;
static const double GATHER_PART = 0.4;

gboolean
memory_admits(gsize memory, gsize held)
{
    return (double)held < ADMIT_PART * (double)memory;
}

gboolean
memory_gathers(gsize memory, gsize held)
{
    return (double)held < GATHER_PART * (double)memory;
}

gsize
memory_stream_most(gsize memory, gsize held)
{
    return (double)held < STREAMS_FREE_PART * (double)memory
               ? STREAM_BYTES
               : STREAM_BYTES_LEAST;
}
