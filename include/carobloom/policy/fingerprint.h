/* What makes two requests the same one: who asks, where, and for what.
 *
 * A caller that asks again does so under a new id and at any instance, so what
 * is to be known of a request beyond one attempt goes by this. */
#ifndef CAROBLOOM_POLICY_FINGERPRINT_H
#define CAROBLOOM_POLICY_FINGERPRINT_H

#include <glib.h>

#include "carobloom/common/str.h"

enum { FINGERPRINT_TEXT_SIZE = 17 }; /* 16 digits and a zero byte */

/* Views of the parts of a request that count. */
typedef struct {
    str_t caller; /* its team; empty where no key is needed */
    str_t method;
    str_t host;
    str_t target; /* path and query */
    str_t body;
} request_identity_t;

/* The same on every instance; never 0. 64 bits: of 10,000 fingerprints that
 * are remembered, one in 10^15 other requests meets one by chance. */
guint64 request_fingerprint(const request_identity_t *identity);
/* As it stands in log lines. */
void fingerprint_format(guint64 fingerprint, char text[FINGERPRINT_TEXT_SIZE]);

#endif
