/* Listener for tunnels of other entry instances. */
#ifndef CAROBLOOMD_GATEWAY_TUNNEL_SERVER_H
#define CAROBLOOMD_GATEWAY_TUNNEL_SERVER_H

#include <glib.h>

typedef struct entry entry_t;
typedef struct tunnel_server tunnel_server_t;

/* Returns NULL if the instance has no port for it; it can open tunnels through
 * others all the same. The other functions accept NULL. */
tunnel_server_t *tunnel_server_create(entry_t *entry);
void tunnel_server_destroy(tunnel_server_t *server);
/* IP:PORT that other instances use; empty: none. */
const char *tunnel_server_address(const tunnel_server_t *server);
/* Others have to name it; new for each start of the process. */
guint64 tunnel_server_token(const tunnel_server_t *server);
guint tunnel_server_count(const tunnel_server_t *server);
/* Bytes that wait in tunnels. */
gsize tunnel_server_buffered(const tunnel_server_t *server);
/* Refuses new tunnels, and tells the other instances to close theirs after the
 * request in each. */
void tunnel_server_drain(tunnel_server_t *server);

#endif
