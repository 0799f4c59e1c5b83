/* Splits the bytes of a text/event-stream into events.
 *
 * Only complete events are passed on, byte for byte as they arrived, with the
 * number in their id line. */
#ifndef CAROBLOOMD_GATEWAY_EVENT_STREAM_H
#define CAROBLOOMD_GATEWAY_EVENT_STREAM_H

#include <glib.h>

#include "carobloom/common/str.h"

enum {
    EVENT_STREAM_OK = 0,
    EVENT_STREAM_ERROR_LONG = -1, /* an event is over EVENT_BYTES_MAX */
    EVENT_BYTES_MAX = 256 * 1024,
};

typedef struct {
    GByteArray *pending; /* bytes of the event that is still incomplete */
    gsize searched;      /* so many of them are known not to hold its end */
} event_stream_t;

/* Receives one complete event. `id` is G_MAXUINT64 when the event has none. */
typedef void (*event_fn_t)(str_t bytes, guint64 id, void *user);

void event_stream_init(event_stream_t *stream);
void event_stream_clear(event_stream_t *stream);
void event_stream_reset(event_stream_t *stream);
/* Appends bytes and calls `fn` for each event that they complete. Returns
 * EVENT_STREAM_OK or EVENT_STREAM_ERROR_LONG. */
int event_stream_feed(event_stream_t *stream, str_t bytes, event_fn_t fn,
                      void *user);
/* Whether the bytes so far end with a complete event. */
gboolean event_stream_at_boundary(const event_stream_t *stream);

#endif
