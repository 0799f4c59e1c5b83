/* Calls between instances: a POST with a body, to the inner listener. */
#ifndef CAROBLOOM_GATEWAY_INNER_POST_H
#define CAROBLOOM_GATEWAY_INNER_POST_H

#include "carobloom/common/str.h"

/* The whole call as bytes; `address` is IP:PORT. */
GString *inner_post(const char *path, const char *address, str_t body);

#endif
