/* One attempt of a request at one endpoint.
 *
 * It has an id of its own, which the endpoint echoes; an answer under another
 * id is never forwarded. */
#ifndef CAROBLOOM_REQUEST_ATTEMPT_H
#define CAROBLOOM_REQUEST_ATTEMPT_H

#include "carobloom/request/request.h"

struct attempt;

/* What differs between endpoint protocols. */
typedef struct {
    const char *name;
    /* The message to send, with its body. */
    SoupMessage *(*build)(const request_t *request, const char *address,
                          const char *attempt_id);
    /* Whether the head shows that the endpoint did not run it. */
    gboolean (*refused)(SoupMessage *message);
    /* Whether the head belongs to this attempt. */
    gboolean (*owns_head)(SoupMessage *message, const char *attempt_id);
    /* One event of a stream: its text, and whether it is the end mark.
     * Returns 0, or -1 when it is not this attempt's. */
    int (*read_event)(str_t data, const char *attempt_id, GString *text,
                      gboolean *end);
} endpoint_protocol_t;

/* Finds a protocol by name; NULL when there is none. */
const endpoint_protocol_t *endpoint_protocol_find(const char *name);

typedef struct attempt attempt_t;

attempt_t *attempt_create(request_t *request, const char *address,
                          const char *protocol);
/* Lets go of it; what still comes is dropped. Cancels work in flight. */
void attempt_destroy(attempt_t *attempt);
/* Reads on after the caller took what was pending. */
void attempt_resume(attempt_t *attempt);
/* Observed time a token, in microseconds; 0 when not known. */
double attempt_token_us(const attempt_t *attempt);

#endif
