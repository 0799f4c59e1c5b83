/* Calls between instances: a POST with a body, to the inner listener. */
#ifndef CAROBLOOM_GATEWAY_INNER_POST_H
#define CAROBLOOM_GATEWAY_INNER_POST_H

#include "carobloom/http/client.h"

/* `address` is the peer's, IP:PORT. NULL as of client_call_create. */
client_call_t *inner_post(http_peer_t *peer, const char *path,
                          const char *address, str_t body,
                          const client_call_ops_t *ops, void *user);

#endif
