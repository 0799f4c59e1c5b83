#include "loopback_claim.h"

#include <stddef.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

/* The descriptor stays open: the name is gone with it, however the process
 * ends. */
gboolean
loopback_claim(const char *kind, guint number)
{
    struct sockaddr_un address = {.sun_family = AF_UNIX};
    int length = g_snprintf(address.sun_path + 1, sizeof(address.sun_path) - 1,
                            "carobloom-%s-%u", kind, number);
    socklen_t size =
        (socklen_t)(offsetof(struct sockaddr_un, sun_path) + 1 + length);
    int fd = socket(AF_UNIX, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        g_error("no socket to claim %s %u with", kind, number);
    }
    if (bind(fd, (struct sockaddr *)&address, size) != 0) {
        close(fd);
        return FALSE;
    }
    return TRUE;
}
