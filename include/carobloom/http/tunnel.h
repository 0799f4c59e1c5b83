/* Frames of a tunnel: a connection to an endpoint that another instance opens
 * and passes on.
 *
 * The bytes of the endpoint's connection are carried in frames, so that the
 * end of that connection is told apart from the end of the tunnel: an answer
 * whose length is not known would otherwise look complete when the instance
 * in between ends. A frame is a type, a length (32 bits, big-endian) and the
 * payload. */
#ifndef CAROBLOOM_HTTP_TUNNEL_H
#define CAROBLOOM_HTTP_TUNNEL_H

#include "carobloom/common/str.h"

typedef enum {
    TUNNEL_OPEN = 1, /* tunnel_open_t; the first frame */
    TUNNEL_OPENED,   /* the endpoint accepted the connection */
    TUNNEL_REFUSED,  /* one byte, a tunnel_refusal_t; the last frame */
    TUNNEL_REQUEST,  /* id of the request that follows, for the log */
    TUNNEL_DATA,     /* bytes from or to the endpoint */
    TUNNEL_END,      /* the endpoint closed its connection */
    TUNNEL_DRAIN,    /* no further request may be sent in this tunnel */
} tunnel_frame_t;

/* Why a tunnel was not opened. Nothing was sent to the endpoint. */
typedef enum {
    TUNNEL_REFUSAL_NONE,
    TUNNEL_REFUSAL_DENIED,      /* the token or the endpoint is not known */
    TUNNEL_REFUSAL_BUSY,        /* no room, or the instance drains */
    TUNNEL_REFUSAL_CUT,         /* this instance does not reach it either */
    TUNNEL_REFUSAL_UNREACHABLE, /* the endpoint did not accept in time */
    TUNNEL_REFUSAL_CLOSED,      /* nobody listens at the endpoint's address */
    TUNNEL_REFUSALS,
} tunnel_refusal_t;

/* Payload of TUNNEL_OPEN. */
typedef struct {
    char *from;     /* instance that asks */
    char *tunnel;   /* name of the tunnel in the logs of both instances */
    char *endpoint; /* id */
    guint64 token;  /* of the instance that is asked */
} tunnel_open_t;

GBytes *tunnel_open_write(const tunnel_open_t *open);
gboolean tunnel_open_read(GBytes *bytes, tunnel_open_t *open);
void tunnel_open_clear(tunnel_open_t *open);

/* Appends a frame. */
void tunnel_frame_write(GByteArray *out, tunnel_frame_t type, str_t payload);

/* Decodes frames from pieces of a stream. */
typedef struct {
    guint8 head[5];
    guint head_length;
    guint left; /* bytes of the frame's payload that have not arrived */
    GByteArray *payload;
} tunnel_reader_t;

/* What one piece contained, in the order of the fields. */
typedef struct {
    gboolean malformed;
    GBytes *open; /* payload of TUNNEL_OPEN, or NULL */
    gboolean opened;
    tunnel_refusal_t refusal;
    char *request; /* the last request id, or NULL */
    GByteArray *data;
    gboolean ended;
    gboolean draining;
} tunnel_piece_t;

void tunnel_reader_init(tunnel_reader_t *reader);
void tunnel_reader_clear(tunnel_reader_t *reader);
/* The caller frees the piece with tunnel_piece_clear. */
void tunnel_reader_feed(tunnel_reader_t *reader, str_t bytes,
                        tunnel_piece_t *piece);
void tunnel_piece_clear(tunnel_piece_t *piece);

#endif
