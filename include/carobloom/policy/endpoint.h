/* One endpoint as this instance knows it: what runs there, how well it is, and
 * which parts of prompts it keeps. Pure. */
#ifndef CAROBLOOM_POLICY_ENDPOINT_H
#define CAROBLOOM_POLICY_ENDPOINT_H

#include "carobloom/policy/endpoint_limit.h"
#include "carobloom/policy/load_sum.h"
#include "carobloom/policy/part_set.h"

/* How a request at an endpoint went, for its health. */
typedef enum {
    ENDPOINT_SERVED,
    ENDPOINT_SERVER_ERROR, /* its own 5xx */
    ENDPOINT_FULL,         /* refused, not run */
    ENDPOINT_BROKEN,       /* reset, cut, no HTTP, or silent */
    ENDPOINT_UNREACHABLE,  /* no connection */
    ENDPOINT_MISDIRECTED,  /* another one has the address */
} endpoint_outcome_t;

/* One endpoint, with what this instance knows of its load and health. */
typedef struct {
    char *id;
    GRefString *service; /* one copy for all that have it */
    char *address;
    GRefString *data_centre;
    guint slots;
    gint64 started_ms; /* which start of it */
    guint64 hash;      /* of the id and the start */
    gboolean draining;
    gboolean left;
    gboolean reclaimable;
    gint64 fetchable_until_us;  /* it drains; its memory is there until then */
    guint32 reported_by;        /* sources that hear its renewals */
    gint64 unreported_until_us; /* though no source hears it just now */
    gint64 cold_until_us;
    /* this instance's own requests there */
    gint64 last_served_us; /* when one was last answered there; 0: never */
    guint running;
    guint32 waiting_tokens; /* that they wait for to be read */
    guint32 prompt_tokens;  /* of all these requests' whole prompts */
    guint long_running;     /* of them, those with long prompts */
    guint32 long_waiting;
    endpoint_load_t others;   /* of the other entry instances, as last told */
    gboolean has_others_load; /* they were told of */
    /* health */
    double failures;         /* decaying share of failed requests */
    gint64 backoff_until_us; /* gets nothing until then */
    gint64 backoff_us;
    gint64 full_until_us;
    gint64 full_backoff_us;
    endpoint_limit_t *limit; /* NULL: it never named one */
    part_set_t parts;        /* of prompts sent there lately */
    void *connections;       /* the owner's */
} endpoint_t;

/* Whether it may be sent new work at all. */
gboolean endpoint_usable(const endpoint_t *endpoint, gint64 now_us);
/* Whether it drains, but others can still fetch from its memory. */
gboolean endpoint_fetchable(const endpoint_t *endpoint, gint64 now_us);
/* Requests of all instances there, as far as told; prompt tokens that wait to
 * be read for them. */
guint endpoint_running(const endpoint_t *endpoint);
guint endpoint_waiting_tokens(const endpoint_t *endpoint);
/* Whether this instance most likely has an open connection to it. */
gboolean endpoint_connected(const endpoint_t *endpoint, gint64 now_us);
/* One of this instance's requests goes there, `waiting_tokens` of whose prompt
 * have to be read. */
void endpoint_add_request(endpoint_t *endpoint, guint prompt_tokens,
                          guint waiting_tokens);
/* Its prompt is read. */
void endpoint_end_prefill(endpoint_t *endpoint, guint prompt_tokens,
                          guint waiting_tokens);
/* It is over there. */
void endpoint_remove_request(endpoint_t *endpoint, guint prompt_tokens);
/* Whether its health lets it take work just now. */
gboolean endpoint_available(const endpoint_t *endpoint, gint64 now_us);
void endpoint_record_outcome(endpoint_t *endpoint, endpoint_outcome_t outcome,
                             gint64 now_us);
gboolean endpoint_has_part(const endpoint_t *endpoint, guint64 part);

#endif
