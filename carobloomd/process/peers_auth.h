/* Private to the peers task: CURVE with the site's one key pair.
 *
 * Every instance of a site holds the same pair; a ZAP handler (RFC 27) lets
 * in only clients that prove to hold it. Without keys, loopback only. */
#ifndef CAROBLOOMD_PROCESS_PEERS_AUTH_H
#define CAROBLOOMD_PROCESS_PEERS_AUTH_H

#include "carobloom/process/settings.h"

typedef struct peers_auth peers_auth_t;

/* NULL when the settings have no keys. */
peers_auth_t *peers_auth_create(const settings_t *settings, void *context);
/* After zmq_ctx_shutdown of the context. */
void peers_auth_destroy(peers_auth_t *auth);
void peers_auth_server(const settings_t *settings, void *socket);
void peers_auth_client(const settings_t *settings, void *socket);

#endif
