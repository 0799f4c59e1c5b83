/* An incremental reader of server-sent events (WHATWG HTML, 9.2).
 *
 * Bytes go in as they come; whole events come out. An event longer than the
 * bound is an error, so memory is bounded. */
#ifndef CAROBLOOM_POLICY_SSE_H
#define CAROBLOOM_POLICY_SSE_H

#include <glib.h>

#include "carobloom/common/str.h"

enum { SSE_EVENT_MAX = 256 * 1024 };

enum {
    SSE_OK = 0,
    SSE_ERROR_TOO_LONG = -1, /* an event is over SSE_EVENT_MAX */
    SSE_ERROR_STOPPED = -2,  /* the callback asked to stop */
};

typedef struct {
    GString *pending; /* bytes after the last whole event */
} sse_t;

/* One event: `data` is its data lines joined, `raw` its bytes with the blank
 * line. Returns 0 to go on. */
typedef int (*sse_event_fn_t)(str_t data, str_t raw, void *user);

void sse_init(sse_t *sse);
void sse_clear(sse_t *sse);
/* Feeds bytes; calls `fn` for each whole event. Returns SSE_OK or an error. */
int sse_feed(sse_t *sse, str_t bytes, sse_event_fn_t fn, void *user);

#endif
