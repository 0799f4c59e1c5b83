#include "carobloom/common/clock.h"

#include <time.h>

gint64
clock_boot_us(void)
{
    struct timespec now;
    if (clock_gettime(CLOCK_BOOTTIME, &now) != 0) {
        return g_get_monotonic_time();
    }
    return (gint64)now.tv_sec * G_USEC_PER_SEC + now.tv_nsec / 1000;
}
