/* Slots of brittle endpoints that this instance holds, see slot_quota.h. */
#ifndef CAROBLOOMD_GATEWAY_SLOT_LINK_H
#define CAROBLOOMD_GATEWAY_SLOT_LINK_H

#include "carobloom/policy/endpoint.h"
#include "carobloom/policy/slot_quota.h"

typedef struct entry entry_t;
typedef struct slot_link slot_link_t;

/* A request that waits for a slot. */
typedef struct {
    slot_want_t want;
    gint64 since_us; /* when the request arrived */
    gint64 until_us; /* how long it waits */
    /* Called when a slot may be free, with the waiter removed. The request is
     * sent, or waits again. */
    void (*resume)(void *user);
    void *user;
    gboolean is_waiting;
} slot_waiter_t;

/* Brittleness of a service, and its waiting requests. */
typedef struct {
    service_brittle_t brittle; /* by answers of its endpoints */
    /* Until then it is brittle because the grantor says so; it is not believed
     * before the second time. */
    gint64 told_until_us;
    gint64 untold_until_us;
    double told_refusals_per_s;
    gint64 begun_us; /* when it became brittle here */
    /* Until then no grant is needed: the service has become brittle just now,
     * and its endpoints let requests wait for a while. */
    gint64 loads_until_us;
    guint scarce_rank;      /* of the most urgent of them */
    gint64 scarce_until_us; /* requests of other instances wait for slots */
    guint granted;          /* slots granted since waiters were served */
    GQueue waiters;         /* slot_waiter_t, by rank, then by age */
} slot_service_t;

slot_link_t *slot_link_create(entry_t *entry);
void slot_link_destroy(slot_link_t *link);
/* To be called when a configuration is in force. */
void slot_link_apply_config(slot_link_t *link);
/* Records that an answer said that the service is brittle, or did not say so.
 * Return TRUE if that changed. */
gboolean slot_link_record_brittle(slot_link_t *link, const char *service,
                                  slot_service_t *state,
                                  double refusals_per_s);
gboolean slot_link_record_absent(slot_link_t *link, const char *service,
                                 slot_service_t *state);
/* Records that the grantor says that a service is brittle. */
void slot_link_record_told(slot_link_t *link, const char *service,
                           double refusals_per_s);
gboolean slot_link_is_brittle(const slot_link_t *link,
                              const slot_service_t *state);
/* How requests to the service are sent now. */
slot_rule_t slot_link_rule(const slot_link_t *link,
                           const slot_service_t *state);
/* Time that a request may wait for a slot. `target_ms`: its latency objective;
 * 0: none. */
gint64 slot_link_wait_us(const slot_link_t *link, gint64 target_ms);
/* For how long this instance sends nothing to an endpoint that turned one of
 * its requests away while no slots are granted. */
gint64 slot_link_pause_us(const slot_link_t *link,
                          const slot_service_t *state);
/* Records that a request begins or ended at an endpoint of a brittle service;
 * the endpoint's count of running requests includes it, or no longer. */
void slot_link_begin(slot_link_t *link, const slot_service_t *state,
                     endpoint_t *endpoint);
void slot_link_end(slot_link_t *link, const endpoint_t *endpoint,
                   gboolean is_abandoned);
/* Records that an endpoint turned a request away. */
void slot_link_record_refused(slot_link_t *link, const endpoint_t *endpoint);
/* Lets a request wait for a slot, and removes it. */
void slot_link_wait(slot_link_t *link, const char *service,
                    slot_service_t *state, const endpoint_t *wanted,
                    slot_waiter_t *waiter);
void slot_link_end_wait(slot_service_t *state, slot_waiter_t *waiter);
/* Frees what the state of a service owns. */
void slot_service_clear(slot_service_t *state);
/* Logs what this instance had sent to a brittle endpoint that ended. */
void slot_link_log_end(const slot_link_t *link, const char *endpoint);
void slot_link_dump(const slot_link_t *link, GString *text);

#endif
