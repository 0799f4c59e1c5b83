/* The clock, the disk and the outgoing connections of the tests' carobloomd:
 * linked in place of the program's own, and steered from outside through a
 * file.
 *
 * The file that CAROBLOOM_FAULTS names holds two numbers: by how many
 * microseconds the machine's clock is ahead (as after a suspension, which the
 * steady clock does not count), and how long a sync of the disk takes. A third
 * word says what happens to new connections to the port that
 * CAROBLOOM_CUT_PORT names: "-" nothing, "refused", or an IP:PORT that they go
 * to instead, where nobody accepts them. A fourth is by how many microseconds
 * the time of day is ahead.
 *
 * What was synced below the folder that CAROBLOOM_DISK names is recorded, so
 * that a loss of power can be played (disk_loss.h).
 *
 * Connections come from the address that CAROBLOOM_SOURCE names, so that a
 * proxy can tell the processes of one machine apart. */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include "carobloom/common/clock.h"
#include "carobloom/common/disk.h"
#include "carobloom/http/stream_socket.h"
#include "disk_loss.h"

enum { SLICE_US = 10 * 1000 }; /* a stall that is over ends within it */

typedef struct {
    gint64 ahead_us;
    gint64 sync_us;
    char connects[32];
    gint64 day_us;
} faults_t;

static faults_t
faults_now(void)
{
    char text[96];
    faults_t faults = {.connects = "-"};
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
    faults.sync_us = g_ascii_strtoll(end, &end, 10);
    sscanf(end, "%31s %" G_GINT64_FORMAT, faults.connects, &faults.day_us);
    return faults;
}

static gint64
read_clock_us(clockid_t clock)
{
    struct timespec now;
    clock_gettime(clock, &now);
    return (gint64)now.tv_sec * G_USEC_PER_SEC + now.tv_nsec / 1000;
}

gint64
clock_boot_us(void)
{
    return read_clock_us(CLOCK_BOOTTIME) + faults_now().ahead_us;
}

/* In place of GLib's. */
gint64
g_get_real_time(void)
{
    return read_clock_us(CLOCK_REALTIME) + faults_now().day_us;
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
    int result = fsync(fd);
    disk_loss_record(fd);
    return result;
}

int
disk_sync_data(int fd)
{
    wait_for_disk();
    int result = fdatasync(fd);
    disk_loss_record(fd);
    return result;
}

static void
bind_to_source(int fd)
{
    const char *ip = getenv("CAROBLOOM_SOURCE");
    struct sockaddr_in source = {.sin_family = AF_INET};
    int one = 1;
    if (ip != NULL && inet_pton(AF_INET, ip, &source.sin_addr) == 1) {
        setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &one, sizeof(one));
        if (bind(fd, (struct sockaddr *)&source, sizeof(source)) != 0) {
            perror("bind to the source address");
        }
    }
}

static gboolean
is_cut(const struct sockaddr_in *to)
{
    const char *port = getenv("CAROBLOOM_CUT_PORT");
    return port != NULL && ntohs(to->sin_port) == atoi(port);
}

/* In place of the C library's. */
int
connect(int fd, const struct sockaddr *address, socklen_t length)
{
    struct sockaddr_in to;
    if (address->sa_family != AF_INET) {
        return (int)syscall(SYS_connect, fd, address, length);
    }
    memcpy(&to, address, sizeof(to));
    faults_t faults = faults_now();
    if (is_cut(&to) && g_str_equal(faults.connects, "refused")) {
        errno = ECONNREFUSED;
        return -1;
    }
    if (is_cut(&to) && !g_str_equal(faults.connects, "-")) {
        socket_address_parse(str_from_cstr(faults.connects), &to);
    }
    bind_to_source(fd);
    return (int)syscall(SYS_connect, fd, &to, sizeof(to));
}
