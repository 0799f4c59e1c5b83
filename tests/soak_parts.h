/* Prompt parts in the soak: requests that crash endpoints are no two alike and
 * share one part with each other, and all others with sound requests. */
#ifndef TESTS_SOAK_PARTS_H
#define TESTS_SOAK_PARTS_H

#include <glib.h>

/* The field of a sound request, and of one that crashes its endpoint; to be
 * freed with g_free. */
char *soak_parts_sound(GRand *random);
char *soak_parts_bad(guint number);

#endif
