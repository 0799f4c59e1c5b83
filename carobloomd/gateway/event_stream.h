/* Events of a text/event-stream, told apart in bytes as they come.
 *
 * Only whole events come out, as the bytes they came as, with the number in
 * their id line. */
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
    GByteArray *pending; /* the event that is not whole yet */
} event_stream_t;

/* `id` is G_MAXUINT64 when the event has none. */
typedef void (*event_fn_t)(str_t bytes, guint64 id, void *user);

void event_stream_init(event_stream_t *stream);
void event_stream_clear(event_stream_t *stream);
void event_stream_reset(event_stream_t *stream);
/* `fn` is called for each whole event. */
int event_stream_feed(event_stream_t *stream, str_t bytes, event_fn_t fn,
                      void *user);
/* Whether all bytes so far make up whole events. */
gboolean event_stream_at_boundary(const event_stream_t *stream);

#endif
