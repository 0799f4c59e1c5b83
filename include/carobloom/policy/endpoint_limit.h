/* The rate limit of an endpoint, as one entry instance tracks it.
 *
 * An endpoint announces its limit in a response. The limit applies to all
 * entry instances together, so an instance that knows of a limit sends only
 * requests that the limit's owner, a control instance, granted beforehand (see
 * limit_quota.h). While no owner replies, an instance sends a small share of
 * the limit without grants, and reports the limit to another control instance,
 * the relay, which publishes it to all instances. A limit is lifted only by a
 * response without a limit, to a request that was sent after the limit was
 * last announced. Pure. */
#ifndef CAROBLOOM_POLICY_ENDPOINT_LIMIT_H
#define CAROBLOOM_POLICY_ENDPOINT_LIMIT_H

#include <glib.h>

enum {
    /* How long granted sends may be used, counted from the grant request. */
    LIMIT_GRANT_LIFETIME_MS = 1000,
    /* Requests per second. Higher values limit no endpoint in practice. */
    LIMIT_RATE_MAX = 1000000,
};

/* The age is unknown because this instance received no such response. */
#define LIMIT_AGE_UNKNOWN G_MAXUINT32

/* Requests per second that are sent to an endpoint however low its limit is.
 * At a lower rate a lifted limit would go unnoticed for seconds. */
extern const double LIMIT_SEND_RATE_MIN;

/* State and demand that an entry instance sends to the limit's owner. */
typedef struct {
    guint64 endpoint;       /* hash of its id and incarnation */
    gboolean limited;       /* FALSE: the limit was lifted */
    double rate;            /* requests per second, of all instances */
    guint32 request_age_ms; /* since the request was sent whose response set
                               or lifted the rate, or LIMIT_AGE_UNKNOWN */
    guint32 rate_age_ms;    /* since a response last carried a rate, or
                               LIMIT_AGE_UNKNOWN */
    guint32 wanted;         /* sends */
    guint32 outstanding;    /* granted sends that are not used yet */
    guint64 used;           /* granted sends used in this incarnation */
} limit_request_t;

/* A limit as its owner knows it. */
typedef struct {
    guint64 endpoint;
    gboolean limited;
    double rate;
} limit_state_t;

/* The owner's reply to a limit_request_t. */
typedef struct {
    limit_state_t state;
    guint32 granted; /* sends */
} limit_grant_t;

typedef enum {
    LIMIT_UNCHANGED,
    LIMIT_BEGUN,   /* the endpoint is limited from now on */
    LIMIT_CHANGED, /* the rate changed */
    LIMIT_LIFTED,
} limit_change_t;

/* All zero for an endpoint that never announced a limit. Times are in us, on
 * the clock of the `now_us` that the caller passes to these functions. That
 * clock has to include suspensions of the machine, so that grants expire. */
typedef struct {
    gboolean limited;
    double rate;
    /* When the request was sent whose response set the rate; 0: none. */
    gint64 request_sent_us;
    /* When this instance last received a response with a rate; 0: never. */
    gint64 rate_received_us;
    /* When the owner set the rate; 0: a response set it. */
    gint64 owner_rate_us;
    /* Responses to requests sent up to this time don't set a limit. */
    gint64 lifted_us;
    gboolean lifted_by_response;  /* received by this instance */
    gboolean owner_still_limited; /* lifted here, in force at the owner */
    gboolean update_due;          /* the owner needs the new state */
    gboolean relay_report_due;    /* used while no owner replies */
    gint64 relay_reported_us;     /* time of the last report to the relay */
    guint tokens;                 /* granted sends that are not used yet */
    gint64 tokens_expire_us;
    guint wanted;     /* sends, granted or not, since the last request */
    gint64 denied_us; /* when a send was last denied; 0: never */
    /* Granted sends expired or were dropped; the owner doesn't know yet. */
    gboolean tokens_dropped;
    guint64 used;          /* granted sends */
    guint64 used_reported; /* `used` as of the last grant request */
    /* Time of the next send while the owner doesn't reply; 0: it replies. */
    gint64 ownerless_send_us;
    /* For logs and diagnostic pages. */
    guint64 sends;
    guint64 denied;
    gint64 logged_us; /* when a spent grant was last logged */
    gboolean logged_begun;
} endpoint_limit_t;

/* Records a response that carried a rate. `sent_us` is the time at which its
 * request was sent. */
limit_change_t endpoint_limit_record_rate(endpoint_limit_t *limit, double rate,
                                          gint64 sent_us, gint64 now_us);
/* Records a response without a rate. */
limit_change_t endpoint_limit_record_unlimited(endpoint_limit_t *limit,
                                               gint64 sent_us);
/* Applies the state that the owner sent. */
limit_change_t endpoint_limit_apply_state(endpoint_limit_t *limit,
                                          const limit_state_t *state,
                                          gint64 now_us);
/* Returns whether one more request may be sent now. */
gboolean endpoint_limit_allows(const endpoint_limit_t *limit, gint64 now_us);
/* Records a sent request; `instances` share the limit. */
void endpoint_limit_record_send(endpoint_limit_t *limit, guint instances,
                                gint64 now_us);
/* Records a request that the limit kept from being sent. */
void endpoint_limit_record_denied(endpoint_limit_t *limit, gint64 now_us);
/* Drops expired grants; the owner gets them back with the next request. */
void endpoint_limit_expire(endpoint_limit_t *limit, gint64 now_us);
/* Returns whether an update to the owner is due. */
gboolean endpoint_limit_has_update(const endpoint_limit_t *limit);
/* Returns whether grants should be requested from the owner. */
gboolean endpoint_limit_needs_grants(const endpoint_limit_t *limit,
                                     gint64 now_us);
/* Fills in the request for the owner, except for `endpoint`, and resets the
 * counts that the request carries. */
void endpoint_limit_fill_request(endpoint_limit_t *limit,
                                 limit_request_t *request, gint64 now_us);
/* Returns whether a report to the relay is due. The relay publishes reports to
 * all instances while the owner doesn't reply. */
gboolean endpoint_limit_has_report(const endpoint_limit_t *limit);
/* Fills in the state from responses, and requests no grants. */
void endpoint_limit_fill_report(endpoint_limit_t *limit,
                                limit_request_t *request, gint64 now_us);
/* Applies the owner's reply to the request that was sent at `requested_us`. */
limit_change_t endpoint_limit_apply_grant(endpoint_limit_t *limit,
                                          const limit_grant_t *grant,
                                          gint64 requested_us, gint64 now_us);
/* Schedules sends without grants because no owner replies. `draw` is random,
 * 0 to 1: it places the first send at a random moment of the interval that
 * each of `instances` leaves between two sends. */
void endpoint_limit_owner_lost(endpoint_limit_t *limit, guint instances,
                               double draw, gint64 now_us);

#endif
