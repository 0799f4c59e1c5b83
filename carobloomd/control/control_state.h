/* Private state of the control task, shared by the files that implement it.
 *
 * control.c           listeners, messages from the log, startup and shutdown
 * operator_calls.c    operators' reads and writes of the configuration
 * entry_news.c        updates for entry instances, answers to their long polls
 * helper_list.c       entry instances, named to each other for tunnels
 * load_exchange.c     requests in flight and locations of prompt parts
 * limit_asks.c        endpoints' rate limits, granted to entry instances
 * repeat_grants.c     budgets for repeats, granted to entry instances
 * slot_grants.c       slots of brittle endpoints, the same
 * crash_reports.c     endpoints that ended and the quarantine of requests
 * peer_messages.c     messages to other control instances
 * endpoint_leases.c   lease renewals and departures of endpoints
 * departure_exchange.c  departures, kept by other control instances too
 * duties.h            calls to the platform, made by the duty holder alone */
#ifndef CAROBLOOMD_CONTROL_CONTROL_STATE_H
#define CAROBLOOMD_CONTROL_CONTROL_STATE_H

#include "carobloom/control/config_log.h"
#include "carobloom/control/control.h"
#include "carobloom/gateway/sync_wire.h"
#include "carobloom/gateway/traffic.h"
#include "carobloom/http/client.h"
#include "carobloom/http/server.h"
#include "carobloom/policy/crash_ledger.h"
#include "carobloom/policy/limit_quota.h"
#include "carobloom/policy/load_delta.h"
#include "carobloom/policy/registry.h"
#include "carobloom/policy/repeat_quota.h"
#include "carobloom/policy/slot_quota.h"
#include "carobloom/version/route_config.h"

/* A configuration that is committed in the log. */
typedef struct {
    guint64 version;
    GBytes *text;
} committed_config_t;

/* The serialized difference between two committed configurations. */
typedef struct {
    guint64 base;
    guint64 version;
    GBytes *bytes; /* NULL: the cache entry is unused */
} cached_delta_t;

/* Entry instances have only a few different configuration versions at a time.
 */
enum { CONTROL_CACHED_DELTAS_MAX = 8 };

/* All inputs that determine an answer to a sync request. */
typedef struct {
    guint64 since; /* the requester's lease cursor; 0: it needs all leases */
    guint64 published;
    guint64 orders_since; /* cursors as above, for quarantine orders */
    guint64 orders;
    guint64 limits_since; /* cursors as above, for limits of endpoints */
    guint64 limits;
    guint64 has_log_id; /* the requester knows log ids */
    guint64 request_log_id;
    guint64 request_version;
    guint64 version;
    guint32 entries;
    guint32 wants_config;
    guint32 full;
    guint32 confirmed;
} answer_key_t;

/* A serialized answer, cached because many entry instances request the same
 * one. */
typedef struct {
    answer_key_t key;
    GBytes *bytes; /* NULL: the cache entry is unused */
} cached_answer_t;

enum { CONTROL_CACHED_ANSWERS_MAX = 8 }; /* answers of the last few batches */

typedef struct duties duties_t;

struct control {
    const gateway_settings_t *settings;
    task_t *task;
    poller_t *poller;
    timers_t *timers;
    char *self;
    traffic_t *traffic;
    /* random number of this incarnation; cursors of another epoch are invalid
     */
    guint64 epoch;
    http_server_t *server; /* for endpoints and operators */
    http_server_t *inner;  /* for other instances */
    registry_t *registry;
    /* loads that entry instances reported to this instance */
    load_sum_t *own_loads;
    /* `own_loads` and those of the other control instances */
    load_sum_t *loads;
    /* sums of `own_loads`, sorted by endpoint, or NULL */
    GArray *sorted_loads;
    /* control instance -> load_delta_t of `own_loads` */
    GHashTable *peer_load_deltas;
    guint64 sums_sequence; /* sequence number of the last message with sums */
    /* locations of prompt parts that entry instances reported to this
     * instance */
    part_feed_t *own_parts;
    /* `own_parts` up to here were sent to the other control instances */
    guint64 parts_sent_cursor;
    /* `own_parts` and those of the other control instances */
    part_feed_t *parts;
    crash_ledger_t *crashes;
    /* quarantine orders up to here are logged and published */
    guint64 orders_published_cursor;
    /* quarantine orders up to here are saved to the disk */
    guint64 orders_saved_cursor;
    gint64 orders_saved_us; /* time of the last save */
    limit_quota_t *limits;
    /* changes of limits up to here are logged and published */
    guint64 limits_published_cursor;
    /* since the start of this process another instance was known to lead */
    gboolean others_led;
    repeat_quota_t *repeats; /* NULL: another instance grants repeats */
    guint64 repeats_term;    /* in which this instance began to grant them */
    guint64 repeats_epoch;   /* random number of the same */
    slot_quota_t *slots;     /* NULL: another instance grants slots */
    guint64 slots_term;      /* in which this instance began to grant them */
    guint64 slots_epoch;     /* random number of the same, never 0 */
    GHashTable *slot_polls;  /* instance -> slot_poll_t */
    config_log_t *log;
    task_t *log_task;
    config_view_message_t view;
    duties_t *duties; /* NULL: the platform defines none */
    cached_delta_t deltas[CONTROL_CACHED_DELTAS_MAX];
    guint64 log_id;    /* of the log that `configs` are of, see log_state.h */
    GQueue configs;    /* committed_config_t, newest at the tail */
    GHashTable *peers; /* address -> peer_t */
    GList *pending_syncs;     /* pending_sync_t */
    guint64 publish_timer;    /* next batch of updates; 0: none is scheduled */
    gint64 published_us;      /* time of the last publication */
    guint64 config_timer;     /* publication of a configuration; 0: none is
                                 scheduled */
    guint64 published_cursor; /* lease cursor at the last publication */
    cached_answer_t answers[CONTROL_CACHED_ANSWERS_MAX];
    guint next_cached_answer; /* the cache entry to replace next, modulo the
                                 size */
    /* instance name -> gint64 *, time of its last sync request */
    GHashTable *entries;
    GHashTable *helpers;       /* entry instances that announced themselves */
    guint active_entries;      /* number of active ones, as last counted */
    gint64 entries_counted_us; /* time of that count; 0: never */
    GHashTable *pending_puts;  /* call -> pending_put_t */
    /* set of all names that were in a configuration */
    GHashTable *known_services;
    guint64 services_version; /* the newest configuration in that set */
    guint64 last_call; /* `call` of the last put that was sent to the log */
    gint64 last_quorum_us; /* last time that the quorum was reachable */
    /* time of the last sync request of any entry instance */
    gint64 last_sync_us;
    GHashTable *departure_peers; /* address -> departure_peer_t */
    GList *pending_departures;   /* pending_departure_t */
    gboolean draining;
    gint64 drain_until_us; /* the instance doesn't exit before this time */
};

gint64 control_now(const control_t *control);
/* The newest configuration that is committed on this instance, or NULL, and
 * its version, or 0. */
const committed_config_t *control_newest(const control_t *control);
guint64 control_newest_version(const control_t *control);
/* Decodes the newest configuration; release it with route_config_unref.
 * Returns NULL when there is none, or when it is unreadable, which is
 * logged. */
route_config_t *control_read_newest(const control_t *control);
/* Whether no newer configuration than the one committed on this instance can
 * have been committed elsewhere. */
gboolean control_may_read(const control_t *control);
/* Logs that this instance began or ended to grant something as the leader. */
void control_log_granting(const control_t *control, const char *event);
/* Answers with `text`, which must be JSON. */
void answer_json(http_exchange_t *exchange, guint status, const char *text);
/* The body that an instance posted. The bytes are valid as long as the
 * exchange's body; release them with g_bytes_unref. */
GBytes *posted_bytes(http_exchange_t *exchange);

/* operator_calls.c */
void handle_config_put(control_t *control, http_exchange_t *exchange);
void handle_config_get(control_t *control, http_exchange_t *exchange);
void handle_put_result(control_t *control, const config_result_message_t *m);
/* The operator disconnected before the answer. */
void operator_disconnected(http_exchange_t *exchange);

/* entry_news.c */
void handle_sync(control_t *control, http_exchange_t *exchange);
/* Answers the waiting entry instances that have updates, at once or with
 * the next batch. */
void control_publish_updates(control_t *control);
/* Publishes a new configuration. It doesn't wait for the next batch, only a
 * short time for other configurations that are committed with it. */
void control_publish_config(control_t *control);
/* Clears the cache of answers when they are outdated. */
void cached_answers_clear(control_t *control);
/* Answers all waiting sync requests, or drops them without an answer. */
void pending_syncs_answer_all(control_t *control);
void pending_syncs_drop_all(control_t *control);
void entry_disconnected(http_exchange_t *exchange);
/* The number of entry instances with a recent sync request. */
guint active_entries_count(control_t *control);
/* Whether any entry instance sent a sync request recently. */
gboolean has_active_entries(const control_t *control);
gboolean is_active_entry(const control_t *control, const char *instance);

/* helper_list.c */
GHashTable *helper_list_create(void);
void handle_helpers(control_t *control, http_exchange_t *exchange);

/* load_exchange.c */
void handle_loads(control_t *control, http_exchange_t *exchange);
void handle_load_sums(control_t *control, http_exchange_t *exchange);
/* Creates an empty table for control_t.peer_load_deltas. */
GHashTable *load_deltas_create(void);
/* Timer callback: sends the sums to the other control instances. */
void load_sums_send(void *control);
void load_sums_expire(control_t *control);
/* Handles the end of a message with sums: `to` accepted it, or it may be
 * lost. */
void load_sums_delivery_ended(control_t *control, const char *to,
                              gboolean accepted);
/* Makes the next message to each control instance contain all sums, not only
 * the changed ones. To be called when the members change. */
void load_sums_reset(control_t *control);

/* crash_reports.c */
void handle_crashes(control_t *control, http_exchange_t *exchange);
/* Restores the quarantine orders that were saved before this process
 * started. */
void handle_saved_orders(control_t *control, const config_bytes_message_t *m);
/* Decides on new quarantine orders, publishes and saves them. To be called
 * several times per second. */
void crash_reports_tick(control_t *control);

/* limit_asks.c */
void handle_limits(control_t *control, http_exchange_t *exchange);
/* Removes expired grants, and limits without a recent request or report. To be
 * called several times per second. */
void limits_expire(control_t *control);

/* repeat_grants.c */
void handle_repeats(control_t *control, http_exchange_t *exchange);
/* Begins or ends to grant repeats after a change of control_t.view. */
void repeat_grants_apply_view(control_t *control);
/* To be called several times per second. */
void repeat_grants_expire(control_t *control);
void repeat_grants_dump(const control_t *control, GString *text);

/* slot_grants.c */
void handle_slots(control_t *control, http_exchange_t *exchange);
void handle_slot_poll(control_t *control, http_exchange_t *exchange);
/* Creates an empty table for control_t.slot_polls. */
GHashTable *slot_polls_create(void);
/* Removes the poll that came as `exchange`, whose connection broke off.
 * Returns FALSE if it is none. */
gboolean slot_poll_disconnected(control_t *control, http_exchange_t *exchange);
void slot_polls_refuse_all(control_t *control);
/* Begins or ends to grant slots after a change of control_t.view. */
void slot_grants_apply_view(control_t *control);
/* To be called several times per second. */
void slot_grants_expire(control_t *control);
void slot_grants_dump(const control_t *control, GString *text);

/* peer_messages.c */
typedef enum {
    PEER_MESSAGE_VOTER,
    PEER_MESSAGE_LOADS,
    PEER_MESSAGE_CLOCK,
    PEER_MESSAGE_DEPARTURES,
    PEER_MESSAGE_KINDS,
} peer_message_kind_t;
/* Posts a message to another control instance (IP:PORT of its inner
 * listener). The message may be lost. Returns FALSE if it was dropped
 * because the address is invalid or too many messages to it are in flight. */
gboolean peer_message_post(control_t *control, const char *to,
                           peer_message_kind_t kind, str_t bytes);
void handle_log_send(control_t *control, const config_envelope_message_t *m);
void handle_voter_message(control_t *control, http_exchange_t *exchange);
/* Frees a value of control_t.peers. */
void peer_free(gpointer data);

/* duties.c */
/* Returns NULL when the platform defines no duties. */
duties_t *duties_create(control_t *control);
void duties_destroy(duties_t *duties);
/* Applies a change of control_t.view. */
void duties_apply_view(duties_t *duties);
/* Applies the usage ledger from the log. */
void duties_apply_ledger(duties_t *duties, GBytes *bytes);
void handle_usage_report(control_t *control, http_exchange_t *exchange);
void handle_clock(control_t *control, http_exchange_t *exchange);
void duties_dump(const duties_t *duties, GString *text);
/* JSON for operators, freed with g_free; NULL if the duty is disabled. */
char *duties_usage_text(const duties_t *duties);
char *duties_capacity_text(const duties_t *duties);

/* departure_exchange.c */
/* Creates an empty table for control_t.departure_peers. */
GHashTable *departure_peers_create(void);
/* Answers a call of an endpoint with 200 and `answer`, at once, or, if it
 * departs, when another control instance has that. */
void departure_acknowledge(control_t *control, http_exchange_t *exchange,
                           const char *endpoint, const char *answer);
/* Forgets the call that came as `exchange`, whose connection broke off.
 * Returns FALSE if none of them waits. */
gboolean departure_disconnected(control_t *control,
                                const http_exchange_t *exchange);
/* Sends departures to the control instances that do not have them. */
void departures_send(control_t *control);
/* As load_sums_delivery_ended, of a message with departures. */
void departures_delivery_ended(control_t *control, const char *to,
                               gboolean accepted);
void handle_departures(control_t *control, http_exchange_t *exchange);
/* Records that a message came from another control instance. */
void departures_record_heard(control_t *control, const char *from);
/* To be called several times per second. */
void departures_tick(control_t *control);
void departures_dump(control_t *control, GString *text);

/* endpoint_leases.c */
void handle_heartbeat(control_t *control, http_exchange_t *exchange, str_t id);
void handle_leave(control_t *control, http_exchange_t *exchange, str_t id);
void handle_leaving_report(control_t *control, http_exchange_t *exchange);

#endif
