/* A loopback proxy that misbehaves on request: between clients and entry
 * instances, instances and control instances, entry instances and endpoints.
 * All proxies of a process run in one thread. */
#ifndef TESTS_PROXY_H
#define TESTS_PROXY_H

#include <glib.h>

typedef enum {
    PROXY_PASS,
    PROXY_DELAY,    /* each piece 80 ms late */
    PROXY_RESET,    /* open connections are reset, new ones too */
    PROXY_CUT_TO,   /* what comes from the connecting side is lost */
    PROXY_CUT_FROM, /* what goes back to it is lost */
    PROXY_SILENT,   /* both; connections stay open, new ones hang */
    PROXY_STALE,    /* connections open by now go silent; new ones work */
    PROXY_MODES,    /* drawn by the soak */
    /* Connections open by now live on; new ones are reset. */
    PROXY_REFUSE = PROXY_MODES,
    /* What comes from either side is held up, and passed on with the next
     * mode, unless the side that sent it has reset its connection. */
    PROXY_HOLD,
    /* One byte in the middle of each larger piece that goes back to the
     * connecting side is changed. */
    PROXY_GARBLE,
    /* What goes back to the connecting side comes a byte at a time. */
    PROXY_TRICKLE,
} proxy_mode_t;

typedef struct proxy proxy_t;

/* Starts and ends the thread. */
void proxies_start(void);
void proxies_stop(void);
/* Listens at `from` and connects to `to`, both IP:PORT. NULL when the
 * address can not be had. */
proxy_t *proxy_create(const char *from, const char *to);
void proxy_set(proxy_t *proxy, proxy_mode_t mode);
/* The same for connections from one address, whatever the mode of the others;
 * with PROXY_PASS they are like the others again. */
void proxy_set_from(proxy_t *proxy, const char *ip, proxy_mode_t mode);
const char *proxy_mode_name(proxy_mode_t mode);

#endif
