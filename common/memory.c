#include "carobloom/common/memory.h"

#include <malloc.h>
#include <stdio.h>
#include <unistd.h>

enum {
    /* The initial default. Setting it keeps the allocator from raising it once
     * a large block is freed. */
    MAPPED_BYTES_MIN = 128 * 1024,
    /* Less is not worth the page faults of its next use. */
    TRIMMED_BYTES_MIN = 8 * 1024 * 1024,
    TRIM_INTERVAL_US = 5 * G_USEC_PER_SEC,
};

void
memory_configure(void)
{
    mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES_MIN);
    mallopt(M_TRIM_THRESHOLD, TRIMMED_BYTES_MIN);
}

void
memory_trim(gint64 now_us)
{
    static gint64 trimmed_us;
    if (now_us - trimmed_us < TRIM_INTERVAL_US) {
        return;
    }
    trimmed_us = now_us;
    if (mallinfo2().fordblks > TRIMMED_BYTES_MIN) {
        malloc_trim(0);
    }
}

gsize
memory_allocated(void)
{
    struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

gsize
memory_resident(void)
{
    unsigned long pages = 0;
    FILE *file = fopen("/proc/self/statm", "re");
    if (file == NULL) {
        return 0;
    }
    if (fscanf(file, "%*u %lu", &pages) != 1) {
        pages = 0;
    }
    fclose(file);
    return (gsize)pages * (gsize)sysconf(_SC_PAGESIZE);
}
