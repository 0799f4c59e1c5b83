/* JSON with comments, read by jansson.
 *
 * Comments are blanked with spaces first, so that jansson's line and column
 * stay true. Duplicate keys, overflow and trailing commas are refused. */
#ifndef CAROBLOOM_COMMON_JSONC_H
#define CAROBLOOM_COMMON_JSONC_H

#include <glib.h>
#include <jansson.h>

#include "carobloom/common/str.h"

enum { JSONC_MAX_BYTES = 16 * 1024 * 1024 };

/* Where and why a text was refused. */
typedef struct {
    int line;
    int column;
    char text[200];
} jsonc_error_t;

/* Parses `text`; NULL with `error` filled on a fault. The caller owns the
 * reference. */
json_t *jsonc_parse(str_t text, jsonc_error_t *error);
/* Line (from 1) at which the value at `path` (keys and indexes joined with
 * '.') stands; of its nearest parent if it is absent. */
int jsonc_line(str_t text, const char *path);

#endif
