/* Calls between instances: a POST with a body to the listener for other
 * instances. */
#ifndef CAROBLOOM_GATEWAY_INNER_POST_H
#define CAROBLOOM_GATEWAY_INNER_POST_H

#include "carobloom/http/client.h"

/* Starts the call. `address` is IP:PORT of the peer. Returns NULL if
 * client_call_create does. */
client_call_t *inner_post(http_peer_t *peer, const char *path,
                          const char *address, str_t body,
                          const client_call_ops_t *ops, void *user);

#endif
