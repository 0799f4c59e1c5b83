/* The head of an HTTP/1.1 message, read or to be written.
 *
 * All text lies in one buffer and fields are offsets into it, so that a head
 * is cleared and filled again without allocations. */
#ifndef CAROBLOOM_HTTP_HEAD_H
#define CAROBLOOM_HTTP_HEAD_H

#include <glib.h>

#include "carobloom/common/str.h"

enum { HTTP_FIELDS_MAX = 128 }; /* fields of one head, as common servers */

typedef struct {
    guint32 name;
    guint32 name_length;
    guint32 value;
    guint32 value_length;
} http_field_t;

typedef struct {
    GString *text;
    GArray *fields;        /* http_field_t */
    guint32 target_length; /* the target stands first in `text` */
    const char *method;    /* of a request; a constant */
    guint status;          /* of a response */
    gboolean http_1_0;
    gboolean keep_alive;
    gboolean chunked;
    gboolean has_length;
    guint64 length; /* of the body, if has_length */
} http_head_t;

void http_head_init(http_head_t *head);
void http_head_clear(http_head_t *head);
/* Empties it, keeping its memory. */
void http_head_reset(http_head_t *head);
str_t http_head_target(const http_head_t *head);
str_t http_field_name(const http_head_t *head, guint index);
str_t http_field_value(const http_head_t *head, guint index);
/* The first field of that name in any case; FALSE when there is none. */
gboolean http_head_find(const http_head_t *head, const char *name,
                        str_t *value);
/* Whether `name` equals `text` in any case. */
gboolean http_name_is(str_t name, const char *text);
/* Whether a field concerns one connection only (RFC 9110, 7.6.1): the known
 * ones and those that Connection lists. */
gboolean http_field_is_hop(const http_head_t *head, guint index);
/* Reads an unsigned decimal; FALSE unless all of `text` is one. */
gboolean http_number(str_t text, guint64 *number);
const char *http_reason(guint status);

/* Appends "name: value" and a line end. */
void http_write_field(GString *out, str_t name, str_t value);
void http_write_number(GString *out, const char *name, guint64 value);

#endif
