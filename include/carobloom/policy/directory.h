/* Where the endpoints of each service are, merged from what several control
 * instances heard.
 *
 * An endpoint renews its lease at any control instance; each tells what it
 * heard itself, and the merge is done here. That an endpoint drains or has
 * left is never taken back for its id, unless it has started again since: a
 * new start knows nothing of before, so nothing that was learned of the one
 * before holds for it. Pure. */
#ifndef CAROBLOOM_POLICY_DIRECTORY_H
#define CAROBLOOM_POLICY_DIRECTORY_H

#include <glib.h>

#include "carobloom/common/str.h"
#include "carobloom/policy/engine_split.h"
#include "carobloom/policy/load_sum.h"
#include "carobloom/policy/part_feed.h"

enum {
    DIRECTORY_SOURCES_MAX = 32, /* control instances; bits of a word */
    ENDPOINT_PARTS = 512,       /* prompt parts remembered an endpoint */
};

typedef enum {
    LEASE_READY,
    LEASE_DRAINING, /* takes no new work */
    LEASE_LEFT,     /* for good */
    LEASE_SILENT,   /* not renewed at this control instance */
    LEASE_STATES,
} lease_state_t;

/* What a control instance says of one endpoint. */
typedef struct {
    char *id;
    char *service;
    char *address; /* IP:PORT */
    char *data_centre;
    gint64 started_ms; /* Unix time: which start of it; 0 where not said */
    guint64 sequence;  /* within one start */
    guint slots;
    lease_state_t state;
    gboolean reclaimable; /* it may be taken away at short notice */
    gint64 leaves_ms; /* it drains and is gone after so long; 0: not said */
    gint64 cold_ms;   /* slow for so long from now */
} endpoint_lease_t;

void endpoint_lease_clear(endpoint_lease_t *lease);
void endpoint_lease_copy(endpoint_lease_t *to, const endpoint_lease_t *from);

/* How a request at an endpoint went, for its health. */
typedef enum {
    ENDPOINT_SERVED,
    ENDPOINT_ERRED,       /* its own 5xx */
    ENDPOINT_FULL,        /* refused, not run */
    ENDPOINT_BROKE,       /* reset, cut, no HTTP, or silent */
    ENDPOINT_UNREACHABLE, /* no connection */
    ENDPOINT_MISDIRECTED, /* another one has the address */
} endpoint_outcome_t;

/* One endpoint, with what this instance knows of its load and health. */
typedef struct {
    char *id;
    char *service;
    char *address;
    char *data_centre;
    guint slots;
    gint64 started_ms; /* which start of it */
    guint64 hash;      /* of the id and the start */
    gboolean draining;
    gboolean left;
    gboolean reclaimable;
    gint64 lends_until_us;   /* it drains; its memory is there until then */
    guint32 heard_by;        /* sources that hear its renewals */
    gint64 trusted_until_us; /* though no source hears it just now */
    gint64 cold_until_us;
    /* this instance's own requests there */
    guint running;
    guint32 waiting_tokens; /* that they wait for to be read */
    guint32 prompt_tokens;  /* of all these requests' whole prompts */
    guint long_running;     /* of them, those with long prompts */
    guint32 long_waiting;
    endpoint_load_t others; /* of the other entry instances, as last told */
    /* health */
    double failures;        /* decaying share of failed requests */
    gint64 closed_until_us; /* gets nothing until then */
    gint64 backoff_us;
    gint64 full_until_us;
    gint64 full_backoff_us;
    guint64 parts[ENDPOINT_PARTS]; /* prompt parts sent there lately */
    void *connections;             /* the owner's */
} endpoint_t;

/* What is known of one start of an endpoint. */
typedef enum {
    START_KNOWN,
    START_LEAVES,   /* it drains or has left, as it said */
    START_REPLACED, /* another start has its id or its address */
} start_state_t;

/* Endpoints of a service that take work, in one data centre. */
typedef struct {
    char *service;
    char *data_centre;
    guint32 slots; /* of one of them */
    guint32 kept;
    guint32 reclaimable;
} engine_supply_t;

/* An empty array of engine_supply_t that frees what is in it. */
GArray *engine_supplies_create(void);

typedef struct directory directory_t;

/* `drop` frees an endpoint's `connections` as it goes. */
directory_t *directory_create(void (*drop)(void *connections));
void directory_destroy(directory_t *directory);
/* Takes a lease as told by `source` (below DIRECTORY_SOURCES_MAX). */
void directory_update(directory_t *directory, guint source,
                      const endpoint_lease_t *lease, gint64 now_us);
/* `source` starts over: what only it had heard is trusted a while longer. */
void directory_forget(directory_t *directory, guint source, gint64 now_us);
/* Frees endpoints that have left, or started again, and have no requests. */
void directory_sweep(directory_t *directory, gint64 now_us);
endpoint_t *directory_find(directory_t *directory, const char *id);
/* Endpoints of a service that have not left, or NULL; endpoint_t *, in an
 * order that all instances agree on. */
const GPtrArray *directory_service(const directory_t *directory,
                                   const char *service);
/* `started_ms` and `address` are as the start's lease said. */
start_state_t directory_start_state(const directory_t *directory,
                                    const char *id, gint64 started_ms,
                                    const char *address);
guint directory_count(const directory_t *directory);
/* Requests under way here: a new array of endpoint_load_t. */
GArray *directory_loads(const directory_t *directory);
/* Takes the sums over all entry instances, of which `own` were reported by
 * this one. */
void directory_take_loads(directory_t *directory, const GArray *sums,
                          const GArray *own);
/* Takes what entry instances say of parts that they sent; part_note_t. */
void directory_take_parts(directory_t *directory, const GArray *notes);
/* Requests of all instances at a service's endpoints, by kind; objectives and
 * speed are the caller's to fill in. */
split_demand_t directory_demand(const directory_t *directory,
                                const char *service, gint64 now_us);
/* This instance's requests at a service's endpoints. */
guint directory_running(const directory_t *directory, const char *service);
/* What takes work, by service and data centre: a new array. */
GArray *directory_supplies(const directory_t *directory, gint64 now_us);
/* Whether it may be sent new work at all. */
gboolean endpoint_usable(const endpoint_t *endpoint, gint64 now_us);
/* Whether it drains, but others can still fetch from its memory. */
gboolean endpoint_lends(const endpoint_t *endpoint, gint64 now_us);
/* Requests of all instances there, as far as told; prompt tokens that wait to
 * be read for them. */
guint endpoint_running(const endpoint_t *endpoint);
guint endpoint_waiting(const endpoint_t *endpoint);
/* One of this instance's requests goes there, `waiting_tokens` of whose prompt
 * have to be read. */
void endpoint_join(endpoint_t *endpoint, guint prompt_tokens,
                   guint waiting_tokens);
/* Its prompt is read. */
void endpoint_end_wait(endpoint_t *endpoint, guint prompt_tokens,
                       guint waiting_tokens);
/* It is over there. */
void endpoint_leave(endpoint_t *endpoint, guint prompt_tokens);
/* Whether its health lets it take work just now. */
gboolean endpoint_open(const endpoint_t *endpoint, gint64 now_us);
void endpoint_note(endpoint_t *endpoint, endpoint_outcome_t outcome,
                   gint64 now_us);
void endpoint_note_part(endpoint_t *endpoint, guint64 part);
gboolean endpoint_has_part(const endpoint_t *endpoint, guint64 part);

#endif
