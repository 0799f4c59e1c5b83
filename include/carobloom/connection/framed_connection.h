/* TCP connections for libsoup on which the end of the other side's bytes is an
 * error.
 *
 * libsoup takes the end of a connection for the end of a head or of chunks
 * that are not complete. Only a body that has neither a length nor chunks may
 * end so. */
#ifndef CAROBLOOM_CONNECTION_FRAMED_CONNECTION_H
#define CAROBLOOM_CONNECTION_FRAMED_CONNECTION_H

#include <libsoup/soup.h>

/* Makes the connections of this process framed, those that it accepts too. */
void framed_connection_register(void);
/* Whether an answer is whole: its last read failed with `error`, or with none
 * (NULL). */
gboolean framed_connection_is_whole(SoupMessage *message, const GError *error);

#endif
