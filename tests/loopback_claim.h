/* Numbers, of loopback networks and ports, that test programs share while they
 * run at the same time. */
#ifndef TESTS_LOOPBACK_CLAIM_H
#define TESTS_LOOPBACK_CLAIM_H

#include <glib.h>

/* Claims a number of a kind until this process ends. FALSE if it was claimed
 * before, by this process or another that still runs. */
gboolean loopback_claim(const char *kind, guint number);

#endif
