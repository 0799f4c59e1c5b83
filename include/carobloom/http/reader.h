/* Reads HTTP/1.1 messages from bytes as they come, on http-parser.
 *
 * It stops after each message, so that what follows is read only once the
 * owner asks. Ambiguous framing (a length and chunks, two lengths) is
 * refused. */
#ifndef CAROBLOOM_HTTP_READER_H
#define CAROBLOOM_HTTP_READER_H

#include <http_parser.h>

#include "carobloom/http/head.h"

typedef enum {
    READER_OK = 0,
    READER_ERROR_SYNTAX = -1, /* not HTTP, or its framing is ambiguous */
    READER_ERROR_HEAD = -2,   /* the head is over its limit */
    READER_ERROR_OWNER = -3,  /* a callback refused it */
    READER_ERROR_CUT = -4,    /* the bytes ended within a message */
} reader_result_t;

/* What the owner is told; `head` and `body` return 0 to go on. */
typedef struct {
    int (*head)(void *user);
    int (*body)(void *user, str_t bytes);
} reader_ops_t;

typedef struct {
    http_parser parser;
    http_head_t head;
    gsize head_max; /* bytes */
    gsize head_bytes;
    gboolean in_head;
    gboolean in_value;
    gboolean started;  /* a byte of the message came */
    gboolean complete; /* the message is whole; reset for the next */
    gboolean no_body;  /* the response to a HEAD */
    gboolean too_large;
    gboolean refused;
    const reader_ops_t *ops;
    void *user;
} http_reader_t;

void http_reader_init(http_reader_t *reader, gboolean request, gsize head_max,
                      const reader_ops_t *ops, void *user);
void http_reader_clear(http_reader_t *reader);
/* Makes it ready for the next message. */
void http_reader_reset(http_reader_t *reader);
/* Reads up to the end of the message; `used` tells how many bytes. */
reader_result_t http_reader_feed(http_reader_t *reader, str_t bytes,
                                 gsize *used);
/* The peer closed: completes a response whose body ends so. */
reader_result_t http_reader_end(http_reader_t *reader);

#endif
