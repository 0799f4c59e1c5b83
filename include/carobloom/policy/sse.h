/* Incremental parser of server-sent events (WHATWG HTML, 9.2).
 *
 * Bytes are fed as they arrive, and a callback gets each complete event. An
 * event that is still incomplete after SSE_EVENT_MAX bytes is an error, which
 * bounds the memory used. */
#ifndef CAROBLOOM_POLICY_SSE_H
#define CAROBLOOM_POLICY_SSE_H

#include <glib.h>

#include "carobloom/common/str.h"

enum { SSE_EVENT_MAX = 256 * 1024 };

enum {
    SSE_OK = 0,
    SSE_ERROR_TOO_LONG = -1, /* incomplete after SSE_EVENT_MAX bytes */
    SSE_ERROR_STOPPED = -2,  /* the callback asked to stop */
};

/* Parser of one stream. */
typedef struct {
    GString *pending; /* bytes after the last complete event */
} sse_t;

/* Called for one event. `data` is its data lines joined by newlines, `raw` its
 * bytes including the blank line. Returns 0 to continue. */
typedef int (*sse_event_fn_t)(str_t data, str_t raw, void *user);

void sse_init(sse_t *sse);
void sse_clear(sse_t *sse);
/* Feeds bytes and calls `fn` for each complete event. Returns SSE_OK or an
 * SSE_ERROR_ value. */
int sse_feed(sse_t *sse, str_t bytes, sse_event_fn_t fn, void *user);

#endif
