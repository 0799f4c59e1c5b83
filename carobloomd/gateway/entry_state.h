/* Private to the entry task: its state, shared by the files that make it up.
 *
 * entry.c        listeners, readiness, draining
 * control_link.c news from the control instances
 * load_link.c    requests under way, reported and told
 * limit_link.c   limits that endpoints name, shared by all
 * limit_log.c    their lines
 * endpoints_page.c  endpoints, for operators
 * usage_link.c   what began to run, and work for engines, reported
 * crash_watch.c  endpoints that ended, and what ran there
 * crash_link.c   these told to control instances, and what they order for it
 * forward*.c     one request: admitted, placed, sent, repeated, answered
 * event_stream.c events of a stream, told apart in bytes as they come */
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
#include "carobloom/policy/instance_count.h"
#include "carobloom/policy/limit_retry.h"
#include "carobloom/policy/limit_share.h"
#include "carobloom/policy/memory_bound.h"
#include "carobloom/policy/placement.h"
#include "carobloom/policy/prompt_mix.h"
#include "carobloom/policy/quarantine.h"
#include "carobloom/policy/repeat_budget.h"
#include "carobloom/policy/run_history.h"
#include "carobloom/version/route_config.h"
#include "crash_watch.h"

typedef struct control_link control_link_t;
typedef struct load_link load_link_t;
typedef struct usage_link usage_link_t;
typedef struct crash_link crash_link_t;
typedef struct limit_link limit_link_t;

/* What this instance remembers of a service. */
typedef struct {
    repeat_budget_t budget;
    prompt_mix_t prompts;
    engine_split_t split;
    engine_model_t engine;
    /* of endpoints that named limits */
    limit_share_t limit_share;
    limit_retry_t limit_retry;
    /* since the start */
    guint64 arrived;     /* requests */
    guint64 turned_away; /* times that no engine had a place for one */
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
    gsize buffered_bytes; /* bytes of answers that are not whole yet */
    GHashTable *services; /* name -> service_state_t */
    GPtrArray *links;     /* control_link_t * */
    load_link_t *load_link;
    usage_link_t *usage_link; /* NULL: nobody asks for it */
    crash_watch_t *crashes;
    crash_link_t *crash_link;
    limit_link_t *limit_link;
    quarantine_t *quarantine;
    run_history_t history;
    /* the configuration in force here */
    route_config_t *config; /* NULL until one came */
    GBytes *text;
    gint64 confirmed_us; /* clock_boot_us at which it was surely the newest */
    gint64 newer_config_since_us; /* since when a newer one is known elsewhere;
                                     0: not */
    gint64 loads_received_us; /* when the loads of the others were last told */
    guint entries; /* entry instances, as the control ones count them */
    instance_count_t
        sharing_instances; /* the same, to divide what all share */
    gint64 started_us;
    gint64 drain_us;          /* when SIGTERM came; 0: not yet */
    gboolean refusing;        /* what comes now would be cut by the end */
    guint requests_in_flight; /* requests under way */
};

/* Whether a key withdrawn for longer than the bound would be noticed. */
gboolean entry_is_confirmed(const entry_t *entry);
/* Since the configuration here was surely the newest; -1: never. */
gint64 entry_config_age_ms(const entry_t *entry);
/* Puts a configuration in force, if it is newer. FALSE when it can not be
 * read. */
gboolean entry_apply_config(entry_t *entry, guint64 version, GBytes *text);
void entry_record_confirmation(entry_t *entry, gint64 asked_us);
gint64 entry_now(const entry_t *entry);
service_state_t *entry_service_state(entry_t *entry, const char *service);
repeat_limits_t entry_repeat_limits(const entry_t *entry);
/* The loads of the others were told: what follows from them is brought up to
 * date. */
void entry_apply_loads(entry_t *entry);
/* Whether the requests of the other entry instances were told lately. */
gboolean entry_has_recent_loads(const entry_t *entry);

/* control_link.c */
void control_links_add_seeds(entry_t *entry);
void control_links_destroy(entry_t *entry);
void control_links_dump(const entry_t *entry, GString *text);
/* Appends how each control instance stands as a collector of loads; returns
 * their addresses in the same order, to be freed without them. */
GPtrArray *control_links_collectors(const entry_t *entry, GArray *collectors);

/* The address of the one that leads, as it said, or NULL. */
const char *control_links_leader(const entry_t *entry);

/* usage_link.c */
/* NULL where nobody asks for it. */
usage_link_t *usage_link_create(entry_t *entry);
void usage_link_destroy(usage_link_t *link);
/* A request of a team began to run at an endpoint. The link may be NULL, and
 * the team where the route needs none. */
void usage_link_count(usage_link_t *link, const char *team);
void usage_link_dump(const usage_link_t *link, GString *text);

/* Memory for all that this instance holds, and what answers take of it. */
gsize entry_memory_bytes(const entry_t *entry);
gsize entry_answer_bytes(const entry_t *entry);

/* load_link.c */
load_link_t *load_link_create(entry_t *entry);
void load_link_destroy(load_link_t *link);
/* An endpoint is sent a prompt with a part that it did not have. */
void load_link_record_part(load_link_t *link, guint64 part,
                           const endpoint_t *endpoint);
void load_link_dump(const load_link_t *link, GString *text);

/* crash_link.c */
crash_link_t *crash_link_create(entry_t *entry);
void crash_link_destroy(crash_link_t *link);
void crash_link_report_end(crash_link_t *link, const endpoint_end_t *end);
/* A request that an end cut, or that is held back, was answered whole. */
void crash_link_report_answered(crash_link_t *link, guint64 fingerprint);
/* A control instance answers; `epoch` is of its start. */
void crash_link_update_control(crash_link_t *link, const char *address,
                               guint64 epoch);
void crash_link_remove_control(crash_link_t *link, const char *address);
/* Takes orders (quarantine_order_t) of the control instance at an address. */
void crash_link_apply_orders(crash_link_t *link, const GArray *orders,
                             const char *control);

/* limit_link.c */
limit_link_t *limit_link_create(entry_t *entry);
void limit_link_destroy(limit_link_t *link);
/* By the clock of all limits. */
gint64 limit_link_now(void);
/* An answer of an endpoint, to a request sent at `sent_us`, named a limit
 * (`rate` a second), or none. */
void limit_link_record_limit(limit_link_t *link, endpoint_t *endpoint,
                             double rate, gint64 sent_us);
void limit_link_record_unlimited(limit_link_t *link, endpoint_t *endpoint,
                                 gint64 sent_us);
/* A request is sent to an endpoint with a limit. */
void limit_link_record_send(limit_link_t *link, endpoint_t *endpoint);
/* One was kept away by the limit. */
void limit_link_record_denied(limit_link_t *link, endpoint_t *endpoint);
/* The same of a few endpoints of a service, drawn at random. */
void limit_link_record_denied_sample(limit_link_t *link, const char *service);
/* Granted sends to endpoints of a service that may be used now. */
limit_tokens_t limit_link_tokens(const limit_link_t *link,
                                 const char *service);
/* What this instance's share of a service's limits is, a second. */
double limit_link_rate(const limit_link_t *link, const char *service);
/* Takes changes (limit_state_t) of the control instance at an address. */
void limit_link_apply_limits(limit_link_t *link, const GArray *states,
                             const char *control);
/* The control instances, IP:PORT (char *), as the leader names them: each
 * limit is owned by one of them. */
void limit_link_set_owners(limit_link_t *link, const GPtrArray *controls);
/* The address of the control instance that owns its limit, or NULL. */
const char *limit_link_owner(const limit_link_t *link,
                             const endpoint_t *endpoint);
void limit_link_dump(const limit_link_t *link, GString *text);

/* limit_log.c */
/* `source` is "answer", or the control instance that told. */
void limit_log_change(const entry_t *entry, const endpoint_t *endpoint,
                      limit_change_t change, const char *source);
/* A request was kept away; bounded in rate. */
void limit_log_denied(const entry_t *entry, const endpoint_t *endpoint);

/* forward.c */
void forward_create(entry_t *entry, http_exchange_t *exchange);
void forward_gone(http_exchange_t *exchange);
void forward_drained(http_exchange_t *exchange);

#endif
