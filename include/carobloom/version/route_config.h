/* One version of the routing configuration: routes, services, teams, limits.
 *
 * Built field by field by a decoder, then checked and indexed once; immutable
 * and counted by reference from then on. */
#ifndef CAROBLOOM_VERSION_ROUTE_CONFIG_H
#define CAROBLOOM_VERSION_ROUTE_CONFIG_H

#include <glib.h>

#include "carobloom/common/str.h"

enum {
    ROUTE_CONFIG_OK = 0,
    ROUTE_CONFIG_INVALID = -1, /* the fault text says what and where */
};

/* What may be repeated follows from the kind alone. */
typedef enum {
    ROUTE_IDEMPOTENT, /* may run more than once */
    ROUTE_ONCE,       /* at most once for each request */
    ROUTE_STREAM,     /* events; at most once unless the route may resume */
} route_kind_t;

/* One service a route leads to. */
typedef struct {
    char *service;
    guint weight; /* its part of the sum over the route */
} route_share_t;

typedef struct {
    char *name;
    char *host;
    char *prefix; /* begins and ends with a slash */
    route_kind_t kind;
    gint64 timeout_ms;  /* the longest that a caller is kept waiting */
    gint64 target_ms;   /* latency objective: the answer, or the first event */
    gint64 pause_ms;    /* objective: between two events; 0: none */
    guint priority;     /* 0 is the most urgent */
    guint max_attempts; /* endpoints that one request may be sent to */
    gboolean open;      /* needs no key */
    gboolean resumable; /* a stream may go on at another endpoint */
    GArray *shares;     /* route_share_t */
    guint weight_sum;
} route_t;

/* A data centre in which engines of a service may be ordered. */
typedef struct {
    char *data_centre;
    double price; /* of one engine there, a second */
} engine_place_t;

/* How engines of a service may be ordered. */
typedef struct {
    guint least;              /* in one data centre, of both kinds together */
    guint most;               /* the same */
    gint64 boot_ms;           /* until an engine that was ordered serves */
    double reclaimable_price; /* of one that may be taken away, in parts of
                               * the price of another; 0: there are none */
    GArray *places; /* engine_place_t, by name; NULL: none may be ordered */
} engine_offer_t;

typedef struct {
    char *name;
    guint connections; /* that one endpoint takes, of all callers together */
    char *health_path; /* NULL: none is set */
    guint slots;       /* of a model engine; 0 for a plain service */
    gint64 memory_tokens; /* that an engine holds, of requests and kept parts;
                           * 0: not known */
    /* Prompt tokens that one engine fetches from another's memory in a
     * millisecond; 0: they do not fetch. */
    double fetch_tokens_a_ms;
    engine_offer_t offer;
} service_t;

typedef struct {
    char *name;
    char **keys;
    gboolean has_priority;
    guint priority; /* goes before the route's */
} team_t;

typedef struct {
    gint64 head_bytes;
    gint64 body_bytes;
    gint64 head_ms; /* to read a request */
    gint64 idle_ms; /* between requests on one connection */
} client_limits_t;

typedef struct {
    gatomicrefcount references;
    guint64 version;
    GPtrArray *routes;   /* route_t * */
    GPtrArray *services; /* service_t * */
    GPtrArray *teams;    /* team_t * */
    gboolean keyed;      /* it has teams, so requests need keys */
    client_limits_t limits;
    GHashTable *by_place; /* "host prefix" -> route_t */
    GHashTable *by_service;
    GHashTable *by_key; /* key -> team_t */
} route_config_t;

route_config_t *route_config_create(void);
route_config_t *route_config_ref(route_config_t *config);
void route_config_unref(route_config_t *config);
route_t *route_config_add_route(route_config_t *config);
void route_add_share(route_t *route, char *service, guint weight);
service_t *route_config_add_service(route_config_t *config);
void engine_offer_add_place(engine_offer_t *offer, const char *data_centre,
                            double price);
team_t *route_config_add_team(route_config_t *config);
/* Checks the whole and builds the indexes. On ROUTE_CONFIG_INVALID `fault`
 * is a text freed with g_free. */
int route_config_finish(route_config_t *config, char **fault);

/* The route of that host whose prefix is the longest to begin `target` (its
 * query is passed over); NULL when there is none. */
const route_t *route_config_match(const route_config_t *config, str_t host,
                                  str_t target);
const service_t *route_config_service(const route_config_t *config,
                                      const char *name);
const team_t *route_config_team(const route_config_t *config, str_t key);
/* The service for a draw from 0 to below the route's weight_sum. */
const char *route_pick(const route_t *route, guint draw);
/* Whether a request on it may run again after it may have run. */
gboolean route_repeatable(const route_t *route);

#endif
