/* Grants the slots of brittle endpoints to entry instances.
 *
 * One control instance grants at a time. It counts, for each endpoint, the
 * slots that all entry instances hold, and never grants more than the endpoint
 * has. An instance sends a request to a brittle endpoint only in a slot that
 * it holds, so that what all instances together send there fits. Requests that
 * find no free slot are reported as wants and are granted slots by rank, then
 * by age.
 *
 * An instance reports what it holds and wants (slot_quota_report), and has a
 * poll open by which it receives grants (slot_quota_poll, slot_quota_collect).
 * Each answer to a poll is a numbered batch, and each message of the instance
 * names the last batch that it applied: a batch that was lost is void. Slots
 * of an instance that is silent for the lifetime of its grants are free again.
 * Pure. */
#ifndef CAROBLOOM_POLICY_SLOT_QUOTA_H
#define CAROBLOOM_POLICY_SLOT_QUOTA_H

#include "carobloom/policy/slot_hold.h"

typedef struct slot_quota slot_quota_t;

/* The entry instance that sent a message. */
typedef struct {
    const char *name;
    guint64 incarnation;
    guint64 sequence; /* of the message, separate for reports and polls */
    guint instances;  /* number of entry instances, as it knows */
    /* number of the last batch of this grantor that it applied; 0: none */
    guint32 applied;
} slot_requester_t;

/* Slots that an instance holds at an endpoint. */
typedef struct {
    guint64 endpoint; /* hash of its id and start */
    guint64 service;  /* hash of its name */
    guint32 slots;    /* of the endpoint */
    guint32 held;
    guint32 refused; /* requests that it turned away since the last report */
    /* The instance can't send requests there for now. */
    gboolean is_avoided;
} slot_holding_t;

/* A request that waits for a slot. */
typedef struct {
    guint64 endpoint; /* the best one for it */
    guint64 service;
    guint32 slots; /* of the endpoint */
    guint32 rank;  /* below SLOT_RANKS; 0 is the most urgent */
    guint32 age_ms;
    guint32 left_ms; /* for which the request waits on */
} slot_want_t;

/* A service whose endpoints are brittle. */
typedef struct {
    guint64 service;
    double refusals_per_s; /* that each endpoint allows */
} slot_mark_t;

typedef struct {
    gboolean is_full; /* all holdings; otherwise those that changed */
    GArray *holdings; /* slot_holding_t */
    GArray *wants;    /* slot_want_t, all, the most urgent first */
    GArray *marks;    /* slot_mark_t, services that answers said it of */
} slot_report_t;

typedef struct {
    guint64 endpoint;
    guint32 count;
} slot_grant_t;

/* A service with requests that wait in vain. */
typedef struct {
    guint64 service;
    guint32 rank; /* of the most urgent one */
} slot_scarcity_t;

typedef struct {
    guint32 batch;  /* its number; 0: no grants */
    GArray *grants; /* slot_grant_t */
    GArray *scarce; /* slot_scarcity_t */
    GArray *marks;  /* slot_mark_t, all brittle services */
    gboolean is_granting;
} slot_news_t;

/* Intervals that grow with the number of instances, or of those that report,
 * so that the rate of messages stays bounded. */
typedef struct {
    guint report_us;   /* between two reports of an instance, on average */
    guint poll_ms;     /* after which a poll without news is answered */
    guint lifetime_ms; /* of slots held, since the last message */
} slot_pace_t;

slot_pace_t slot_pace(guint instances, guint reporting);

slot_quota_t *slot_quota_create(gint64 now_us);
void slot_quota_destroy(slot_quota_t *quota);
/* Handles a report. Returns FALSE if it is out of order or was overtaken by a
 * poll, and the next report has to be full. */
gboolean slot_quota_report(slot_quota_t *quota,
                           const slot_requester_t *requester,
                           const slot_report_t *report, gint64 now_us);
/* Records that the instance waits for news. Returns FALSE if it is unknown and
 * has to send a full report first. */
gboolean slot_quota_poll(slot_quota_t *quota,
                         const slot_requester_t *requester, gint64 now_us);
/* Records that the instance's poll broke off. */
void slot_quota_end_poll(slot_quota_t *quota, const char *name);
/* Assigns free slots to wants. Returns the name of an instance that polls and
 * has news, or NULL. */
const char *slot_quota_next_ready(slot_quota_t *quota, gint64 now_us);
/* Takes the news of an instance, which answers its poll. */
void slot_quota_collect(slot_quota_t *quota, const char *name,
                        slot_news_t *news, gint64 now_us);
/* The scarce and the brittle services, for the answer to a report. */
void slot_quota_fill_state(const slot_quota_t *quota, slot_news_t *news,
                           gint64 now_us);
/* Requests per second that endpoints of the service may turn away, or -1 if
 * they are not known to be brittle. */
double slot_quota_refusals_per_s(const slot_quota_t *quota, guint64 service);
/* Frees slots of silent instances. To be called several times per second. */
void slot_quota_expire(slot_quota_t *quota, gint64 now_us);
slot_pace_t slot_quota_pace(const slot_quota_t *quota);
/* Appends one diagnostic line per endpoint. */
void slot_quota_dump(const slot_quota_t *quota, GString *text, gint64 now_us);

void slot_news_init(slot_news_t *news);
void slot_news_clear(slot_news_t *news);
void slot_report_init(slot_report_t *report);
void slot_report_clear(slot_report_t *report);

#endif
