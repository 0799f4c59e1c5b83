/* Length-counted strings.
 *
 * A str_t is a view: it owns nothing and need not end in a zero byte. Owned
 * copies are plain g_malloc memory. */
#ifndef CAROBLOOM_COMMON_STR_H
#define CAROBLOOM_COMMON_STR_H

#include <glib.h>

/* A view of `length` bytes at `data`. */
typedef struct {
    const char *data;
    gsize length;
} str_t;

/* A str_t of a string literal. */
#define STR(literal)                                                          \
    ((str_t){.data = (literal), .length = sizeof(literal) - 1})

/* A view of a zero-terminated string; NULL gives an empty view. */
str_t str_from_cstr(const char *cstr);
/* A view of what `bytes` holds. */
str_t str_from_bytes(GBytes *bytes);
gboolean str_equal(str_t a, str_t b);
gboolean str_has_prefix(str_t s, str_t prefix);
/* Offset of the first `needle` at or after `from`, or -1. */
gssize str_find(str_t s, str_t needle, gsize from);
/* The part of `s` from `from` on; empty when `from` is past the end. */
str_t str_tail(str_t s, gsize from);
/* A zero-terminated copy; the caller frees it with g_free. */
char *str_dup(str_t s);

#endif
