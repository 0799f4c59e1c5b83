/* Private to the control task: its state, shared by the files that make it
 * up.
 *
 * control.c           listeners, messages of the log, life
 * operator_calls.c    the operator's changes and reads
 * entry_news.c        news to entry instances
 * load_exchange.c     requests under way and where prompt parts are, of entry
 *                     instances and of all
 * limit_asks.c        limits that endpoints name, granted to entry instances
 * crash_reports.c     endpoints that ended, and requests held back for it
 * peer_messages.c           messages to other control instances
 * endpoint_leases.c   renewals and departures of endpoints
 * duties.h            calls to the platform that one instance makes */
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
#include "carobloom/version/route_config.h"

/* A configuration that was committed here. */
typedef struct {
    guint64 version;
    GBytes *text;
} committed_config_t;

/* A difference between two of them, as sent. */
typedef struct {
    guint64 base;
    guint64 version;
    GBytes *bytes; /* NULL: none kept */
} cached_delta_t;

enum {
    CONTROL_CACHED_DELTAS_MAX = 8
}; /* entry instances have one of few versions */

/* What an answer follows from. */
typedef struct {
    guint64 since; /* cursor of the asker; 0: it is told all */
    guint64 published;
    guint64 orders_since; /* the same of orders to hold requests back */
    guint64 orders;
    guint64 limits_since; /* the same of limits of endpoints */
    guint64 limits;
    guint64 request_version;
    guint64 version;
    guint32 entries;
    guint32 takes_config;
    guint32 full;
    guint32 confirmed;
} answer_key_t;

/* An answer as sent: many ask for the same one. */
typedef struct {
    answer_key_t key;
    GBytes *bytes; /* NULL: none kept */
} cached_answer_t;

enum { CONTROL_CACHED_ANSWERS_MAX = 8 }; /* of the last few batches */

typedef struct duties duties_t;

struct control {
    const gateway_settings_t *settings;
    task_t *task;
    poller_t *poller;
    timers_t *timers;
    char *self;
    traffic_t *traffic;
    guint64 epoch;
    http_server_t *server; /* endpoints and operators */
    http_server_t *inner;  /* other instances */
    registry_t *registry;
    load_sum_t *own_loads; /* of the entry instances that report here */
    load_sum_t *loads;     /* of these and of the other control instances */
    GArray *sorted_loads;  /* the sums of these, in order, or NULL */
    GHashTable
        *peer_load_deltas;  /* control instance -> load_delta_t of these */
    guint64 sums_sequence;  /* of the last message with them */
    part_feed_t *own_parts; /* of the entry instances that report here */
    guint64
        parts_sent_cursor; /* of these, told to the other control instances */
    part_feed_t *parts;    /* of all */
    crash_ledger_t *crashes;
    guint64 orders_published_cursor; /* of the ledger: logged and spread up to
                                        here */
    guint64 orders_saved_cursor;     /* written to the disk up to here */
    gint64 orders_saved_us;          /* when that was */
    limit_quota_t *limits;
    guint64 limits_published_cursor; /* of these changes, logged and spread up
                                        to here */
    config_log_t *log;
    task_t *log_task;
    config_view_message_t view;
    duties_t *duties; /* NULL: the platform asks for none */
    cached_delta_t deltas[CONTROL_CACHED_DELTAS_MAX];
    GQueue texts;          /* committed_config_t, the newest at the tail */
    GHashTable *peers;     /* address -> peer_t */
    GList *pending_syncs;  /* pending_sync_t */
    guint64 publish_timer; /* timer: when news go out next; 0: none wait */
    gint64 published_us;   /* when they last went out */
    guint64
        config_timer; /* timer: when a configuration goes out; 0: none waits */
    guint64 published_cursor; /* cursor of the leases told by then */
    cached_answer_t answers[CONTROL_CACHED_ANSWERS_MAX];
    guint next_cached_answer; /* the one to give way */
    GHashTable *entries;      /* instance name -> gint64, when it asked last */
    guint active_entries;     /* of these, as last counted */
    gint64 entries_counted_us;  /* when; 0: never */
    GHashTable *pending_puts;   /* call -> pending_put_t */
    GHashTable *known_services; /* set of names that a configuration had */
    guint64 services_version;   /* the newest of these configurations */
    guint64 last_call;
    gint64 last_quorum_us; /* when the quorum was last heard of */
    gint64 last_sync_us;   /* when an entry instance last asked */
    gboolean draining;
    gint64 drained_us;
};

gint64 control_now(const control_t *control);
/* The newest configuration committed here, or NULL; and its version, or 0. */
const committed_config_t *control_newest(const control_t *control);
guint64 control_newest_version(const control_t *control);
/* It decoded, to be unref'd; NULL when there is none, or it can not be read,
 * which is logged. */
route_config_t *control_read_newest(const control_t *control);
/* Whether what is committed here is the newest there is, now. */
gboolean control_may_read(const control_t *control);
void answer_plain(http_exchange_t *exchange, guint status, const char *text);
/* What an instance posted, as bytes that live as long as the exchange's body;
 * to be unref'd. */
GBytes *posted_bytes(http_exchange_t *exchange);

/* operator_calls.c */
void handle_config_put(control_t *control, http_exchange_t *exchange);
void handle_config_get(control_t *control, http_exchange_t *exchange);
void handle_put_result(control_t *control, const config_result_message_t *m);
/* The operator left before the answer. */
void operator_disconnected(http_exchange_t *exchange);

/* entry_news.c */
void handle_sync(control_t *control, http_exchange_t *exchange);
/* Answers the entry instances for which there is news by now. */
void control_publish_updates(control_t *control);
/* A configuration was committed: the same, at once but for those that are
 * committed with it. */
void control_publish_config(control_t *control);
/* What was kept to answer with no longer holds. */
void cached_answers_clear(control_t *control);
/* Answers all that are held, or drops them without an answer. */
void pending_syncs_answer_all(control_t *control);
void pending_syncs_drop_all(control_t *control);
void entry_disconnected(http_exchange_t *exchange);
/* Entry instances that asked lately. */
guint active_entries_count(control_t *control);
/* Whether any did. */
gboolean has_active_entries(const control_t *control);

/* load_exchange.c */
void handle_loads(control_t *control, http_exchange_t *exchange);
void handle_load_sums(control_t *control, http_exchange_t *exchange);
/* An empty control_t.peer_load_deltas. */
GHashTable *load_deltas_create(void);
/* For a timer: tells the other control instances. */
void load_sums_send(void *control);
void load_sums_expire(control_t *control);
/* A message with sums was accepted by a control instance, or may not have
 * been.
 */
void load_sums_delivery_ended(control_t *control, const char *to,
                              gboolean accepted);
/* Nobody is known to have any sums: the members changed. */
void load_sums_reset(control_t *control);

/* crash_reports.c */
void handle_crashes(control_t *control, http_exchange_t *exchange);
/* What was held before the last start. */
void handle_saved_orders(control_t *control, const config_bytes_message_t *m);
/* To be called several times a second. */
void crash_reports_tick(control_t *control);

/* limit_asks.c */
void handle_limits(control_t *control, http_exchange_t *exchange);
/* To be called several times a second. */
void limits_expire(control_t *control);

/* peer_messages.c */
typedef enum {
    PEER_MESSAGE_VOTER,
    PEER_MESSAGE_LOADS,
    PEER_MESSAGE_CLOCK,
    PEER_MESSAGE_KINDS,
} peer_message_kind_t;
/* Posts a message to another control instance (IP:PORT of its inner
 * listener). It may be lost; FALSE: it was dropped, since too many are under
 * way or there is no such address. */
gboolean peer_message_post(control_t *control, const char *to,
                           peer_message_kind_t kind, str_t bytes);
void handle_log_send(control_t *control, const config_envelope_message_t *m);
void handle_voter_message(control_t *control, http_exchange_t *exchange);
/* For the table of peers. */
void peer_free(gpointer data);

/* duties.c */
/* NULL where there are none. */
duties_t *duties_create(control_t *control);
void duties_destroy(duties_t *duties);
/* The control's view of the log changed. */
void duties_apply_view(duties_t *duties);
/* Usage as the log has it. */
void duties_apply_ledger(duties_t *duties, GBytes *bytes);
void handle_usage_report(control_t *control, http_exchange_t *exchange);
void handle_clock(control_t *control, http_exchange_t *exchange);
void duties_dump(const duties_t *duties, GString *text);
/* JSON for operators, freed with g_free; NULL where it is no duty. */
char *duties_usage_text(const duties_t *duties);
char *duties_capacity_text(const duties_t *duties);

/* endpoint_leases.c */
void handle_heartbeat(control_t *control, http_exchange_t *exchange, str_t id);
void handle_leave(control_t *control, http_exchange_t *exchange, str_t id);

#endif
