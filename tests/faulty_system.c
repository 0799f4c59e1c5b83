/* The clock and the disk of the fault soak's carobloomd: linked in place of
 * the program's own, and steered from outside through a file.
 *
 * The file that CAROBLOOM_FAULTS names holds two numbers: by how many
 * microseconds the machine's clock is ahead (as after a suspension, which the
 * steady clock does not count), and how long a sync of the disk takes. */
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

#include "carobloom/common/clock.h"
#include "carobloom/common/disk.h"

enum { SLICE_US = 10 * 1000 }; /* a stall that is over ends within it */

typedef struct {
    gint64 ahead_us;
    gint64 sync_us;
} faults_t;

static faults_t
faults_now(void)
{
    char text[64];
    faults_t faults = {0};
    const char *path = getenv("CAROBLOOM_FAULTS");
    int fd = path != NULL ? open(path, O_RDONLY | O_CLOEXEC) : -1;
    if (fd < 0) {
        return faults;
    }
    ssize_t length = read(fd, text, sizeof(text) - 1);
    close(fd);
    text[length > 0 ? length : 0] = '\0';
    char *end;
    faults.ahead_us = g_ascii_strtoll(text, &end, 10);
    faults.sync_us = g_ascii_strtoll(end, NULL, 10);
    return faults;
}

gint64
clock_boot_us(void)
{
    struct timespec now;
    clock_gettime(CLOCK_BOOTTIME, &now);
    return (gint64)now.tv_sec * G_USEC_PER_SEC + now.tv_nsec / 1000 +
           faults_now().ahead_us;
}

static void
wait_for_disk(void)
{
    for (gint64 waited = 0; waited < faults_now().sync_us;
         waited += SLICE_US) {
        g_usleep(SLICE_US);
    }
}

int
disk_sync(int fd)
{
    wait_for_disk();
    return fsync(fd);
}

int
disk_sync_data(int fd)
{
    wait_for_disk();
    return fdatasync(fd);
}
