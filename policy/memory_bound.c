#include "carobloom/policy/memory_bound.h"

enum {
    STREAM_BYTES_MAX = 128 * 1024,
    /* When many callers read slowly: a few events per stream. */
    STREAM_BYTES_CROWDED = 4 * 1024,
};

/* Fractions of the memory that buffered answers fill. Request bodies may fill
 * another quarter, which is not bounded here. */

/* Above this fraction each stream buffers at most STREAM_BYTES_CROWDED. */
static const double CROWDED_FRACTION = 0.1;
/* Above this fraction no new request is accepted. */
static const double ADMIT_FRACTION = 0.25;
/* Above this fraction no answer that is buffered as a whole may grow. */
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
