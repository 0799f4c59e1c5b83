#include "fleet_cut.h"

#include <arpa/inet.h>
#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#include "carobloom/http/stream_socket.h"

enum { BLACK_HOLE_FILL = 4 }; /* connections that fill its queue */

static const struct {
    const char *name;
    proxy_mode_t mode; /* of open connections, and of new ones that arrive */
    const char *connects; /* what new ones meet before; NULL: nothing */
} KINDS[] = {
    [CUT_HANG] = {"hang", PROXY_SILENT, "hang"},
    [CUT_RESET] = {"reset", PROXY_RESET, "refused"},
    [CUT_LIVE_ON] = {"live on", PROXY_REFUSE, "refused"},
    [CUT_SILENT] = {"silent", PROXY_SILENT, NULL},
    [CUT_ONE_WAY] = {"one way", PROXY_CUT_FROM, NULL},
    [CUT_HOLD] = {"held up", PROXY_HOLD, "hang"},
};

const char *
cut_kind_name(cut_kind_t kind)
{
    return KINDS[kind].name;
}

void
fleet_proxies_create(const fleet_t *fleet, fleet_proxies_t proxies)
{
    static const guint PORTS[][FLEET_LISTENERS_MAX] = {
        [FLEET_CONTROL] = {FLEET_CONTROL_PORT, FLEET_PEERS_PORT},
        [FLEET_ENTRY] = {FLEET_CALLERS_PORT, FLEET_PROBE_PORT,
                         FLEET_PEERS_PORT},
        [FLEET_ENDPOINT] = {FLEET_ENDPOINT_PORT},
        [FLEET_PLATFORM] = {FLEET_PLATFORM_PORT},
    };
    for (guint i = 0; i < fleet->count; i++) {
        const fleet_process_t *p = &fleet->processes[i];
        for (guint j = 0; j < FLEET_LISTENERS_MAX; j++) {
            guint port = PORTS[p->role][j];
            if (port == 0) {
                continue;
            }
            char *from = g_strdup_printf("%s:%u", p->ip, port);
            char *to = g_strdup_printf("%s:%u", p->bind, port);
            proxies[i][j] = proxy_create(from, to);
            g_free(from);
            g_free(to);
        }
    }
}

/* An address where connections are neither accepted nor refused: its queue is
 * full. It stays until the program ends. */
static const char *
black_hole(void)
{
    static char text[32];
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t length = sizeof(address);
    if (text[0] != '\0') {
        return text;
    }
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(fd, 0) != 0 ||
        getsockname(fd, (struct sockaddr *)&address, &length) != 0) {
        close(fd);
        return NULL;
    }
    for (guint i = 0; i < BLACK_HOLE_FILL; i++) {
        int filler =
            socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (connect(filler, (struct sockaddr *)&address, sizeof(address)) !=
                0 &&
            errno != EINPROGRESS) {
            close(filler);
        }
    }
    g_snprintf(text, sizeof(text), "127.0.0.1:%u", ntohs(address.sin_port));
    return text;
}

static void
set_connects(fleet_process_t *entry, const char *connects)
{
    entry->connects =
        g_strcmp0(connects, "hang") == 0 ? black_hole() : connects;
    fleet_set_faults(entry);
}

static guint
endpoints_count(const fleet_t *fleet)
{
    return fleet->count - fleet->controls - fleet->entries -
           (fleet->platform != NULL);
}

static void
set_endpoints(fleet_t *fleet, fleet_proxies_t proxies, guint entry,
              proxy_mode_t mode, guint32 spared)
{
    const char *source = fleet_entry(fleet, entry)->bind;
    for (guint i = 0; i < endpoints_count(fleet); i++) {
        guint at = fleet->controls + fleet->entries + i;
        if (!(spared & 1u << i)) {
            proxy_set_from(proxies[at][0], source, mode);
        }
    }
}

void
fleet_cut(fleet_t *fleet, fleet_proxies_t proxies, guint entry,
          cut_kind_t kind, guint32 spared)
{
    /* With some spared, new connections to the others meet their proxies. */
    if (spared == 0) {
        set_connects(fleet_entry(fleet, entry), KINDS[kind].connects);
    }
    set_endpoints(fleet, proxies, entry, KINDS[kind].mode, spared);
}

void
fleet_cut_end(fleet_t *fleet, fleet_proxies_t proxies, guint entry)
{
    set_connects(fleet_entry(fleet, entry), NULL);
    set_endpoints(fleet, proxies, entry, PROXY_PASS, 0);
}
