/* One request from a caller, from its first byte to its final answer. */
#ifndef CAROBLOOM_REQUEST_REQUEST_H
#define CAROBLOOM_REQUEST_REQUEST_H

#include <jansson.h>

#include "carobloom/connection/http.h"
#include "carobloom/policy/lifecycle.h"
#include "carobloom/policy/limits.h"

struct attempt;

/* A team's use of this HTTP task. */
typedef struct {
    bucket_t rate;
    guint in_flight;
} team_usage_t;

typedef struct request {
    http_t *http;
    guint64 id;    /* also its ticket */
    char name[20]; /* the id as text, in logs and headers */
    lifecycle_t life;
    document_t *document;
    const document_class_t *class_info;
    guint class_index;
    const document_team_t *team;
    team_usage_t *usage;
    SoupServerMessage *message; /* NULL once the caller is gone */
    int caller_fd;              /* watched for a hang-up, -1 when not */
    char *method;
    char *path; /* towards the endpoint, with the query */
    char *pool;
    gboolean plain;  /* a service call */
    gboolean stream; /* the caller wants events */
    json_t *body;    /* of a model call */
    GBytes *raw;     /* of a service call */
    char *key;       /* idempotency key, NULL for none */
    guint64 digest;
    guint prompt_tokens;
    guint64 prefix;
    gint64 arrived_us;
    gint64 granted_us;
    gint64 first_token_us;
    guint tokens;
    guint preemptions;
    guint64 avoid;
    char *endpoint_address;
    GString *said;   /* text the caller has, for resuming */
    GString *answer; /* a whole answer, until it is complete */
    int answer_status;
    char *answer_type;
    gboolean head_sent;
    gboolean finished;
    gsize pending_bytes; /* towards the caller, not yet written */
    gint64 last_part_us;
    guint64 expiry;
    struct attempt *attempt;
    refuse_reason_t reason;
    gint64 retry_after_us;
    char *error_text;
} request_t;

/* What the listener found out about a call. */
typedef struct {
    SoupServerMessage *message;
    document_t *document;
    const document_team_t *team;
    guint class_index;
    const char *pool;
    const char *path;
    gboolean plain;
    gboolean stream;
    json_t *body; /* taken over */
    GBytes *raw;
    const char *key;
} request_spec_t;

/* Starts a request; it lives until its answer is complete. */
void request_create(http_t *http, const request_spec_t *spec);
/* Events from the other tasks. */
void request_granted(request_t *request, const decision_message_t *decision);
void request_refused(request_t *request, const decision_message_t *decision);
void request_preempted(request_t *request);
void request_claimed(request_t *request, const claimed_message_t *claimed);
/* Its caller closed the connection; for hangups_create. */
void request_hung_up(void *data);
/* Events from its attempt. */
void request_event(request_t *request, lifecycle_event_t event);
/* A part of a stream for the caller; `text` is what it says. */
void request_part(request_t *request, str_t raw, str_t text, guint tokens);
/* The attempt may read on: the caller keeps up. */
gboolean request_can_take(const request_t *request);
/* Once a second: keep-alive comments. */
void request_tick(request_t *request, gint64 now_us);
json_t *request_dump(const request_t *request);

#endif
