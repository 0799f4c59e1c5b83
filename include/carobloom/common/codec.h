/* GVariant as bytes for other machines and later times: normal form only,
 * little-endian whatever the machine. Reading is safe on untrusted bytes. */
#ifndef CAROBLOOM_COMMON_CODEC_H
#define CAROBLOOM_COMMON_CODEC_H

#include <glib.h>

/* Sinks the variant. */
GBytes *codec_write(GVariant *variant);
/* NULL when malformed; the caller unrefs it. */
GVariant *codec_read(GBytes *bytes, const char *type);
/* Bytes as a part ("ay") of a variant; NULL gives none. And back: takes the
 * part over. */
GVariant *codec_bytes(GBytes *bytes);
GBytes *codec_take_bytes(GVariant *variant);

#endif
