/* Private to the entry role: its state, shared by the files that implement it.
 *
 * entry.c           listeners, readiness, draining
 * control_link.c    updates from the control instances
 * config_fetch.c    which of these are asked for the configuration
 * config_update.c   configurations among the updates
 * load_link.c       reports and updates of the requests in flight
 * limit_link.c      limits that endpoints name, shared by all instances
 * limit_log.c       log lines about these limits
 * reach_watch.c     whether endpoints are reached directly
 * helper_link.c     the instances through which they are reached if not
 * tunnel_server.c   connections to endpoints on behalf of other instances
 * repeat_link.c     repeats, and grants of them
 * rest_watch.c      rests that endpoints ask for, and endpoints that leave
 * endpoints_page.c  endpoints, for operators
 * usage_link.c      reports of requests run and of demand for engines
 * crash_watch.c     detects endpoints that crashed and what they ran
 * crash_link.c      reports crashes and endpoints that leave, receives
 *                   quarantine orders
 * forward*.c        one request: admission, placement, sends, answer
 * event_stream.c    splits a stream into events */
#ifndef CAROBLOOMD_GATEWAY_ENTRY_STATE_H
#define CAROBLOOMD_GATEWAY_ENTRY_STATE_H

#include "carobloom/gateway/entry.h"
#include "carobloom/gateway/metrics.h"
#include "carobloom/gateway/sync_wire.h"
#include "carobloom/gateway/traffic.h"
#include "carobloom/http/client.h"
#include "carobloom/http/server.h"
#include "carobloom/policy/collector.h"
#include "carobloom/policy/directory.h"
#include "carobloom/policy/engine_model.h"
#include "carobloom/policy/helper_set.h"
#include "carobloom/policy/instance_count.h"
#include "carobloom/policy/limit_retry.h"
#include "carobloom/policy/limit_share.h"
#include "carobloom/policy/memory_bound.h"
#include "carobloom/policy/placement.h"
#include "carobloom/policy/prompt_mix.h"
#include "carobloom/policy/quarantine.h"
#include "carobloom/policy/reachability.h"
#include "carobloom/policy/repeat_budget.h"
#include "carobloom/policy/run_history.h"
#include "carobloom/version/route_config.h"
#include "crash_watch.h"
#include "slot_link.h"
#include "tunnel_server.h"

typedef struct control_link control_link_t;
typedef struct load_link load_link_t;
typedef struct usage_link usage_link_t;
typedef struct crash_link crash_link_t;
typedef struct limit_link limit_link_t;
typedef struct rest_watch rest_watch_t;
typedef struct reach_watch reach_watch_t;
typedef struct helper_link helper_link_t;
typedef struct repeat_link repeat_link_t;

/* State of a service at this instance. */
typedef struct {
    repeat_budget_t *budget; /* of repeat_link */
    service_reach_t reach;
    slot_service_t slots;
    prompt_mix_t prompts;
    engine_split_t split;
    engine_model_t engine;
    /* use of granted sends to limited endpoints, by priority */
    limit_share_t limit_share;
    limit_retry_t limit_retry;
    /* totals since the start of the process */
    guint64 arrived;     /* requests that arrived */
    guint64 turned_away; /* requests that no endpoint could take */
    guint64 read_tokens; /* prompt tokens that engines had to read */
} service_state_t;

struct entry {
    const gateway_settings_t *settings;
    task_t *task;
    poller_t *poller;
    timers_t *timers;
    traffic_t *traffic;
    http_server_t *callers;
    http_server_t *probe;
    http_server_t *metrics;
    metrics_source_t dump;
    GRand *random;
    directory_t *directory;
    gsize buffered_bytes;       /* of answers that aren't complete yet */
    gsize request_bytes_unsent; /* copies of requests on the way to endpoints
                                 */
    /* Little of the instance's memory is left: new requests are refused. */
    gboolean is_short_of_memory;
    GHashTable *services; /* name -> service_state_t */
    GPtrArray *links;     /* control_link_t * */
    load_link_t *load_link;
    usage_link_t *usage_link; /* NULL if nobody receives usage reports */
    crash_watch_t *crashes;
    crash_link_t *crash_link;
    limit_link_t *limit_link;
    rest_watch_t *rests;
    reach_watch_t *reach;
    helper_link_t *helper_link;
    repeat_link_t *repeat_link;
    slot_link_t *slot_link;
    tunnel_server_t *tunnel_server; /* NULL: opens none for others */
    quarantine_t *quarantine;
    run_history_t history;      /* of requests */
    run_history_t part_history; /* of prompt parts */
    /* the configuration in force at this instance */
    route_config_t *config; /* NULL until the first one is received */
    GBytes *text;
    /* id of the replicated log whose configurations are taken, once there is
     * one */
    guint64 log_id;
    gboolean is_of_other_log; /* the configuration in force is older than that
                                 log */
    /* clock_boot_us at which the configuration was last known to be the
     * newest */
    gint64 confirmed_us;
    char *confirmed_by; /* address of that control instance; NULL: never */
    /* since when a newer configuration is known to exist; 0: none */
    gint64 newer_config_since_us;
    /* the next configuration is asked for whole, since one could not be
     * applied */
    gboolean needs_whole_config;
    guint64 late_config_timer; /* 0: no newer configuration is known */
    /* when the loads of the other instances were last received */
    gint64 loads_received_us;
    guint entries; /* number of entry instances, as reported by control */
    /* estimate of the number of entry instances, among which limits are
     * divided */
    instance_count_t sharing_instances;
    gint64 started_us;
    gint64 drain_us; /* when SIGTERM was received; 0: not yet */
    /* The last periodic timer ran late: the processor is busy. */
    gboolean is_late;
    gint64 swept_us; /* time of that timer */
    /* new requests are refused: too little time is left to answer them */
    gboolean refusing;
    guint requests_in_flight; /* caller requests that aren't answered yet */
};

/* Whether the configuration was confirmed within the bound for withdrawn keys,
 * so that a key withdrawn longer ago is known to be invalid. */
gboolean entry_is_confirmed(const entry_t *entry);
/* Time since the configuration in force was known to be the newest; -1:
 * never. */
gint64 entry_config_age_ms(const entry_t *entry);
/* Time since a newer configuration than that in force was known to exist; -1:
 * none is. */
gint64 entry_newer_config_ms(const entry_t *entry);
/* Puts a configuration in force. Returns FALSE, with what is wrong with its
 * text, to be freed with g_free, if it can't be used. */
gboolean entry_apply_config(entry_t *entry, guint64 version, GBytes *text,
                            char **fault);
/* Records that the configuration in force was known to be the newest at
 * `written_us` (clock_boot_us), when the control instance at the address wrote
 * its answer. */
void entry_record_confirmation(entry_t *entry, gint64 written_us,
                               const char *control);
gint64 entry_now(const entry_t *entry);
service_state_t *entry_service_state(entry_t *entry, const char *service);
/* Recomputes the split of engines after the loads of the other instances were
 * received. */
void entry_apply_loads(entry_t *entry);
/* Whether the loads of the other entry instances were received recently. */
gboolean entry_has_recent_loads(const entry_t *entry);

/* Sets the counters of quarantined requests and prompt parts. */
void entry_count_quarantined(const entry_t *entry);

/* config_update.c */
/* Version of the configuration in force, as control instances count them; 0:
 * none of the log that this instance follows. */
guint64 entry_known_version(const entry_t *entry);
/* Follows the log that an answer is of, unless it is another one than before
 * that is not confirmed, or while the one before still is. Returns whether the
 * answer is of the log that is followed. */
gboolean entry_follow_log(entry_t *entry, const sync_answer_t *answer,
                          const char *control);
/* Applies the configuration that an answer of a control instance brought, if
 * any. Returns FALSE, and logs why, if it can't be used. */
gboolean entry_apply_update(entry_t *entry, const sync_answer_t *answer,
                            const char *control);

/* control_link.c */
void control_links_add_seeds(entry_t *entry);
/* Polls the control instances that have just answered again. `data` is the
 * entry_t. Timers would do that too, but late on a busy instance. */
void control_links_poll_again(void *data);
void control_links_destroy(entry_t *entry);
void control_links_dump(const entry_t *entry, GString *text);
/* Appends the state of each control instance as a collector of loads. Returns
 * their addresses in the same order; the caller frees the array, not the
 * addresses. */
GPtrArray *control_links_collectors(const entry_t *entry, GArray *collectors);

/* Returns the address of the control instance that reported itself as leader,
 * or NULL. */
const char *control_links_leader(const entry_t *entry);

/* usage_link.c */
/* Returns NULL if nobody receives usage reports. */
usage_link_t *usage_link_create(entry_t *entry);
void usage_link_destroy(usage_link_t *link);
/* Counts a request of a team that began to run at an endpoint. `link` may be
 * NULL, and `team` is NULL if the route needs no key. */
void usage_link_count(usage_link_t *link, const char *team);
void usage_link_dump(const usage_link_t *link, GString *text);

/* Returns the memory limit of this instance in bytes, and the bytes that
 * buffered answers take of it. */
gsize entry_memory_bytes(const entry_t *entry);
gsize entry_answer_bytes(const entry_t *entry);

/* load_link.c */
load_link_t *load_link_create(entry_t *entry);
void load_link_destroy(load_link_t *link);
/* Records that an endpoint is sent a prompt with a part that was not cached
 * there. */
void load_link_record_part(load_link_t *link, guint64 part,
                           const endpoint_t *endpoint);
void load_link_dump(const load_link_t *link, GString *text);

/* crash_link.c */
crash_link_t *crash_link_create(entry_t *entry);
void crash_link_destroy(crash_link_t *link);
void crash_link_report_end(crash_link_t *link, const endpoint_end_t *end);
/* Reports that a request, or one with a prompt part, was answered completely
 * that a crash interrupted or that is quarantined or watched. */
void crash_link_report_answered(crash_link_t *link, guint64 fingerprint);
/* Reports that an endpoint said in an answer that it leaves. */
void crash_link_report_leaving(crash_link_t *link, const endpoint_t *endpoint);
/* Adds the control instance at `address`, or resends all reports if its
 * `epoch`, which identifies its incarnation, has changed. */
void crash_link_update_control(crash_link_t *link, const char *address,
                               guint64 epoch);
void crash_link_remove_control(crash_link_t *link, const char *address);
/* Applies orders (quarantine_order_t) of the control instance at an
 * address. */
void crash_link_apply_orders(crash_link_t *link, const GArray *orders,
                             const char *control);

/* limit_link.c */
limit_link_t *limit_link_create(entry_t *entry);
void limit_link_destroy(limit_link_t *link);
/* Returns the current time on the clock that all limits use. */
gint64 limit_link_now(void);
/* Records that the answer to a request sent at `sent_us` named a limit of
 * `rate` requests per second, or no limit. */
void limit_link_record_limit(limit_link_t *link, endpoint_t *endpoint,
                             double rate, gint64 sent_us);
void limit_link_record_unlimited(limit_link_t *link, endpoint_t *endpoint,
                                 gint64 sent_us);
/* Records a send to an endpoint with a limit. */
void limit_link_record_send(limit_link_t *link, endpoint_t *endpoint);
/* Records that a request was not sent to an endpoint because of its limit. */
void limit_link_record_denied(limit_link_t *link, endpoint_t *endpoint);
/* Like limit_link_record_denied, for a few limited endpoints of a service,
 * beginning at a random one. */
void limit_link_record_denied_sample(limit_link_t *link, const char *service);
/* Returns the granted sends to endpoints of a service that may be used at
 * this time. */
limit_tokens_t limit_link_tokens(const limit_link_t *link,
                                 const char *service);
/* Returns this instance's share of a service's limits, per second. */
double limit_link_rate(const limit_link_t *link, const char *service);
/* Applies limits (limit_state_t) received from the control instance at an
 * address. */
void limit_link_apply_limits(limit_link_t *link, const GArray *states,
                             const char *control);
/* Sets the control instances, IP:PORT (char *), as the leader reports them.
 * Each limit is owned by one of them. */
void limit_link_set_owners(limit_link_t *link, const GPtrArray *controls);
/* Returns the address of the control instance that owns the endpoint's limit,
 * or NULL. */
const char *limit_link_owner(const limit_link_t *link,
                             const endpoint_t *endpoint);
void limit_link_dump(const limit_link_t *link, GString *text);

/* limit_log.c */
/* Logs a change of a limit. `source` is "answer", or the control instance that
 * reported it. */
void limit_log_change(const entry_t *entry, const endpoint_t *endpoint,
                      limit_change_t change, const char *source);
/* Logs that a request was not sent to an endpoint because of its limit.
 * Writes at most one line per interval and endpoint. */
void limit_log_denied(const entry_t *entry, const endpoint_t *endpoint);

/* rest_watch.c */
rest_watch_t *rest_watch_create(entry_t *entry);
void rest_watch_destroy(rest_watch_t *watch);
/* Records that the endpoint refused `request` and asked for rest. */
void rest_watch_record_rest(rest_watch_t *watch, endpoint_t *endpoint,
                            double seconds, str_t request);
/* If all usable endpoints of a service rest, logs at a bounded rate that
 * `request` is refused because of it, and returns the time until the first
 * may get requests again. Otherwise returns 0. */
gint64 rest_watch_refuse(rest_watch_t *watch, const char *service,
                         str_t request);
/* Records that the endpoint said in its answer to `request` that it leaves. */
void rest_watch_record_leaving(rest_watch_t *watch, endpoint_t *endpoint,
                               str_t request);
/* Logs a field of the answer to `request` that can't be decoded. */
void rest_watch_record_malformed(const endpoint_t *endpoint, const char *event,
                                 str_t request);
void rest_watch_dump(const rest_watch_t *watch, GString *text);

/* reach_watch.c */
reach_watch_t *reach_watch_create(entry_t *entry);
void reach_watch_destroy(reach_watch_t *watch);
/* Records that a direct connection to the endpoint failed or was silent;
 * `sign` says how, for the log. */
void reach_watch_record_failure(reach_watch_t *watch, endpoint_t *endpoint,
                                const char *sign);
/* Whether the endpoint is to be reached through another instance. */
gboolean reach_watch_avoids(const reach_watch_t *watch,
                            const endpoint_t *endpoint);
/* Whether this instance is known to be cut off from a service. */
gboolean reach_watch_is_confirmed(const reach_watch_t *watch,
                                  const char *service);
void reach_watch_dump(const reach_watch_t *watch, GString *text);

/* helper_link.c */
helper_link_t *helper_link_create(entry_t *entry);
void helper_link_destroy(helper_link_t *link);
/* An instance to open a tunnel through, or NULL; and the one at an address. */
helper_t *helper_link_pick(helper_link_t *link);
helper_t *helper_link_find(helper_link_t *link, const char *address);
guint helper_link_count(const helper_link_t *link);
/* A request to an endpoint in a tunnel. */
typedef struct {
    http_peer_t *peer;    /* the tunnels to the endpoint */
    const char *endpoint; /* id */
    str_t request;        /* name of the request in the logs */
    str_t bytes;
    gboolean head_request;
    gint64 open_us; /* for a new tunnel to be open */
} tunnel_call_t;
/* Sends it in a free tunnel, or in a new one through `helper`. Returns NULL if
 * no connection is free. */
client_call_t *helper_link_call(helper_link_t *link, const helper_t *helper,
                                const tunnel_call_t *call,
                                const client_call_ops_t *ops, void *user);
/* Announces whether this instance opens tunnels for others. */
void helper_link_set_can_help(helper_link_t *link, gboolean can_help);
/* Adds the control instance at `address`, or announces this instance to it
 * again if its `epoch`, which identifies its incarnation, has changed. */
void helper_link_update_control(helper_link_t *link, const char *address,
                                guint64 epoch);
void helper_link_remove_control(helper_link_t *link, const char *address);
void helper_link_dump(const helper_link_t *link, GString *text);

/* repeat_link.c */
repeat_link_t *repeat_link_create(entry_t *entry);
void repeat_link_destroy(repeat_link_t *link);
/* Returns the budget of a service, which lives as long as the link. */
repeat_budget_t *repeat_link_budget(repeat_link_t *link, const char *service);
/* Returns all grants. To be called when no requests are taken any more. */
void repeat_link_end(repeat_link_t *link);
/* Records the first send of a request. */
void repeat_link_record_first(repeat_link_t *link, repeat_budget_t *budget);
/* A request that is to be repeated, and why. */
typedef struct {
    str_t request;
    const char *reason;
    guint rank; /* 0 is the most urgent */
} repeat_take_t;
/* Takes one repeat from the service's budget. Logs at a bounded rate if it is
 * refused. */
gboolean repeat_link_take(repeat_link_t *link, const char *service,
                          const repeat_take_t *take);
void repeat_link_dump(repeat_link_t *link, GString *text);

/* forward.c */
void forward_create(entry_t *entry, http_exchange_t *exchange);
void forward_gone(http_exchange_t *exchange);
/* Ends a request that has no answer when its instance ends. */
void forward_end(http_exchange_t *exchange);
void forward_drained(http_exchange_t *exchange);

#endif
