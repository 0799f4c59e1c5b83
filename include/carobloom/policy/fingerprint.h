/* Identity of a request: its caller, its destination and its content.
 *
 * A caller that retries does so under a new request id and at any instance, so
 * state that outlives one attempt is keyed by the fingerprint. */
#ifndef CAROBLOOM_POLICY_FINGERPRINT_H
#define CAROBLOOM_POLICY_FINGERPRINT_H

#include <glib.h>

#include "carobloom/common/str.h"

enum { FINGERPRINT_TEXT_SIZE = 17 }; /* 16 digits and a zero byte */

/* Views of the parts of a request that identify it. */
typedef struct {
    str_t caller; /* team of the caller; empty if no key is required */
    str_t method;
    str_t host;
    str_t target; /* path and query */
    str_t body;
} request_identity_t;

/* Returns the same value on every instance, never 0. With 10,000 stored
 * fingerprints of 64 bits, one in 10^15 other requests collides with one of
 * them. */
guint64 request_fingerprint(const request_identity_t *identity);
/* Returns the fingerprint of a prompt part at the endpoints of a service, the
 * same on every instance, never 0. */
guint64 part_fingerprint(str_t service, guint64 part);
/* Writes the fingerprint in the format of log lines, 16 hexadecimal digits. */
void fingerprint_format(guint64 fingerprint, char text[FINGERPRINT_TEXT_SIZE]);

#endif
