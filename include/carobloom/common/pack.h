/* Bytes made shorter for other machines (zlib, raw). Reading is safe on
 * untrusted bytes. */
#ifndef CAROBLOOM_COMMON_PACK_H
#define CAROBLOOM_COMMON_PACK_H

#include <glib.h>

GBytes *pack_bytes(GBytes *plain);
/* NULL when they are damaged, or longer than `most` bytes. */
GBytes *unpack_bytes(GBytes *packed, gsize most);

#endif
