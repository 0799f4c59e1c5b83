/* A difference of two texts that differ in one place. Pure. */
#ifndef CAROBLOOM_VERSION_SPLICE_H
#define CAROBLOOM_VERSION_SPLICE_H

#include <glib.h>

#include "carobloom/common/str.h"

/* At `prefix`, `removed` bytes give way to `inserted`. */
typedef struct {
    guint64 prefix;
    guint64 removed;
    GBytes *inserted;
} splice_t;

/* From the first byte in which the texts differ to the last. */
splice_t splice_between(str_t from, str_t to);
/* NULL when it does not fit; freed with g_free, `length` set. */
char *splice_apply(str_t from, const splice_t *splice, gsize *length);
void splice_clear(splice_t *splice);

#endif
