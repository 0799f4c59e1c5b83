/* The rate limit that an endpoint in need names, as one entry instance keeps
 * it.
 *
 * The limit holds for all entry instances together, so an instance that knows
 * of it sends nothing there but what the limit's owner, a control instance,
 * granted it before (limit_quota.h). Only an answer without a limit lifts it:
 * one to a request that was sent after the limit was last named. Pure. */
#ifndef CAROBLOOM_POLICY_ENDPOINT_LIMIT_H
#define CAROBLOOM_POLICY_ENDPOINT_LIMIT_H

#include <glib.h>

enum {
    /* For which granted sends may be used, from when they were asked for. */
    LIMIT_GRANT_LIFETIME_MS = 1000,
    /* Requests a second: more is no limit to any endpoint. */
    LIMIT_RATE_MAX = 1000000,
};

/* No answer that came to the instance itself says so. */
#define LIMIT_AGE_UNKNOWN G_MAXUINT32

/* Requests a second that an endpoint is tried with however low its limit:
 * fewer would leave a lifted limit unnoticed for seconds. */
extern const double LIMIT_SEND_RATE_MIN;

/* What an entry instance tells the owner of an endpoint's limit. */
typedef struct {
    guint64 endpoint;       /* hash of its id and start */
    gboolean limited;       /* FALSE: it was lifted */
    double rate;            /* requests a second, of all instances */
    guint32 request_age_ms; /* since the request was sent that told so, or
                            LIMIT_AGE_UNKNOWN */
    guint32 rate_age_ms;    /* since an answer named it last; the same */
    guint32 wanted;         /* sends */
    guint32 outstanding;    /* granted sends not used yet */
    guint64 used;           /* of all that were granted since the start */
} limit_request_t;

/* A limit as its owner knows it. */
typedef struct {
    guint64 endpoint;
    gboolean limited;
    double rate;
} limit_state_t;

/* What the owner answers. */
typedef struct {
    limit_state_t state;
    guint32 granted; /* sends */
} limit_grant_t;

typedef enum {
    LIMIT_UNCHANGED,
    LIMIT_BEGUN,   /* the endpoint is limited from now on */
    LIMIT_CHANGED, /* to another rate */
    LIMIT_LIFTED,
} limit_change_t;

/* All of it is zero for an endpoint that never named a limit. Times are of
 * this instance's clock, in us. */
typedef struct {
    gboolean limited;
    double rate;
    gint64
        request_sent_us; /* of the request that told the rate here; 0: none */
    gint64
        rate_received_us; /* when an answer here named it last; 0: none did */
    gint64 owner_rate_us; /* when the owner told the rate; 0: an answer did */
    gint64 lifted_us; /* no request sent before tells of a limit any more */
    gboolean lifted_by_response; /* by an answer to this instance */
    gboolean disputed;           /* the owner does not take it as lifted */
    gboolean update_due;         /* the owner is to be told */
    gboolean
        relay_report_due; /* the same of the relay, while the owner is lost */
    gint64 relay_reported_us; /* to the relay, last */
    guint tokens;             /* granted sends */
    gint64 tokens_expire_us;
    guint wanted;            /* sends, granted or not, since the last ask */
    gint64 denied_us;        /* when one was last kept away; 0: none was */
    gboolean tokens_dropped; /* granted sends, which the owner is to know */
    guint64 used;            /* granted sends */
    guint64 used_reported;
    /* Without word from the owner: when the next send is; 0: it answers. */
    gint64 ownerless_send_us;
    /* for people */
    guint64 sends;
    guint64 denied;
    gint64 logged_us; /* that its grant is spent */
    gboolean logged_begun;
} endpoint_limit_t;

/* An answer named a rate. `sent_us` is of its request. */
limit_change_t endpoint_limit_record_rate(endpoint_limit_t *limit, double rate,
                                          gint64 sent_us, gint64 now_us);
/* An answer named none. */
limit_change_t endpoint_limit_record_unlimited(endpoint_limit_t *limit,
                                               gint64 sent_us);
/* The owner says how it stands. */
limit_change_t endpoint_limit_apply_state(endpoint_limit_t *limit,
                                          const limit_state_t *state,
                                          gint64 now_us);
/* Whether one more request may be sent now. */
gboolean endpoint_limit_allows(const endpoint_limit_t *limit, gint64 now_us);
/* One is sent; `instances` share the limit. */
void endpoint_limit_record_send(endpoint_limit_t *limit, guint instances,
                                gint64 now_us);
/* One would have been sent. */
void endpoint_limit_record_denied(endpoint_limit_t *limit, gint64 now_us);
/* Returns grants that are over. */
void endpoint_limit_expire(endpoint_limit_t *limit, gint64 now_us);
/* Whether the owner is to be told something. */
gboolean endpoint_limit_has_update(const endpoint_limit_t *limit);
/* Whether it is to be asked for sends. */
gboolean endpoint_limit_needs_grants(const endpoint_limit_t *limit,
                                     gint64 now_us);
/* Fills in all but the endpoint, and starts to count anew. */
void endpoint_limit_fill_request(endpoint_limit_t *limit, limit_request_t *ask,
                                 gint64 now_us);
/* Whether the relay, which tells all while the owner is lost, is to be told
 * something. */
gboolean endpoint_limit_has_report(const endpoint_limit_t *limit);
/* Fills in what answers said, and asks for nothing. */
void endpoint_limit_fill_report(endpoint_limit_t *limit, limit_request_t *ask,
                                gint64 now_us);
/* The ask, made at `asked_us`, was answered. */
limit_change_t endpoint_limit_apply_grant(endpoint_limit_t *limit,
                                          const limit_grant_t *grant,
                                          gint64 asked_us, gint64 now_us);
/* No owner answers; `draw` is random, 0 to 1. The first send without one is at
 * a random moment of the time that each of `instances` waits between two. */
void endpoint_limit_owner_lost(endpoint_limit_t *limit, guint instances,
                               double draw, gint64 now_us);

#endif
