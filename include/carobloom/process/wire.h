/* The bytes that instances exchange: GVariant, little-endian, normal form.
 *
 * Each frame is a kind byte, the sender's member id and a body. */
#ifndef CAROBLOOM_PROCESS_WIRE_H
#define CAROBLOOM_PROCESS_WIRE_H

#include <glib.h>

#include "carobloom/policy/scheduler.h"
#include "carobloom/process/messages.h"

typedef enum {
    WIRE_TICKET = 1,
    WIRE_WITHDRAW,
    WIRE_SETTLE,
    WIRE_ADOPT,
    WIRE_DECISION,
    WIRE_ENDPOINT,
    WIRE_LOADS,
    WIRE_NEED,
    WIRE_GOODBYE,
    WIRE_PREFIX,
    WIRE_RUNNING,
    WIRE_GOSSIP,
    WIRE_VOTER, /* from here on: for the voter task */
    WIRE_VOTER_CALL,
    WIRE_VOTER_REPLY,
    WIRE_DOCUMENT,
    WIRE_FOUND,
} wire_kind_t;

/* A ticket with its pool. `waited_us` stands for the arrival, since clocks
 * differ; `endpoint` is set for WIRE_ADOPT. */
typedef struct {
    ticket_t ticket;
    guint64 pool;
    guint32 class_hash;
    guint32 waited_ms;
    guint64 endpoint;
} wire_ticket_t;

/* A grant, refusal or preemption. `address` is empty where not needed. */
typedef struct {
    guint8 action;
    guint8 reason;
    guint64 ticket;
    guint64 endpoint;
    guint32 retry_after_ms;
    char *address;
    char *protocol;
} wire_decision_t;

/* One endpoint's load as spread every flush. */
typedef struct {
    guint64 id;
    guint64 pool;
    guint16 busy;
    guint16 age_ms;
    guint32 token_us;
} wire_load_t;

typedef struct {
    guint64 ticket;
    guint64 pool;
    settlement_t settlement;
} wire_settle_t;

/* What an instance asks of the leader. */
typedef enum {
    CALL_SUBMIT = 1,
    CALL_CLAIM,
    CALL_FINISH,
    CALL_ORDER,
    CALL_SYNC, /* the document since `version`, confirmed by the lease */
    CALL_HISTORY,
    CALL_ACK, /* `version` is in force here; no reply */
    CALL_KINDS,
} call_kind_t;

/* A question. `body` is a site command without its time for the first four,
 * which the leader stamps. */
typedef struct {
    guint64 call;
    call_kind_t kind;
    guint64 version;
    GBytes *body;
    char *name; /* of the asking instance */
} wire_call_t;

enum {
    REPLY_OK = 0,
    REPLY_NOT_LEADER = -1, /* `text` names the leader, if known */
    REPLY_REFUSED = -2,    /* faults in the document, as JSON */
};

typedef struct {
    guint64 call;
    gint32 result;
    gint32 outcome; /* site_outcome_t */
    guint64 version;
    gint32 status;
    char *text;
    char *type;
    GBytes *body;
} wire_reply_t;

/* A step of the document, or the whole with base 0 and all removed. */
typedef struct {
    guint64 version;
    guint64 base;
    guint64 prefix;
    guint64 removed;
    GBytes *inserted;
} wire_step_t;

/* How voters first meet: who has state, and the founding membership. */
typedef struct {
    guint64 id;
    char *name;
    gboolean empty;
    gboolean answer; /* to a question; else it is one */
    GBytes *config;  /* empty unless it founds */
} wire_found_t;

/* All builders return new bytes; all readers return FALSE on malformed ones
 * and leave the target empty. */

GBytes *wire_ticket_write(const wire_ticket_t *ticket);
gboolean wire_ticket_read(GBytes *bytes, wire_ticket_t *ticket);
GBytes *wire_settle_write(const wire_settle_t *settle);
gboolean wire_settle_read(GBytes *bytes, wire_settle_t *settle);
GBytes *wire_decision_write(const wire_decision_t *decision);
gboolean wire_decision_read(GBytes *bytes, wire_decision_t *decision);
GBytes *wire_endpoint_write(const endpoint_info_t *info);
gboolean wire_endpoint_read(GBytes *bytes, endpoint_info_t *info);
GBytes *wire_loads_write(const GArray *loads);
/* A GArray of wire_load_t, or NULL. */
GArray *wire_loads_read(GBytes *bytes);
GBytes *wire_ids_write(guint64 pool, const GArray *ids);
/* A GArray of guint64, or NULL. */
GArray *wire_ids_read(GBytes *bytes, guint64 *pool);
/* Two numbers and a flag: withdrawals, goodbyes, prefixes, needs. */
GBytes *wire_pair_write(guint64 a, guint64 b, guint64 c, gboolean flag);
gboolean wire_pair_read(GBytes *bytes, guint64 *a, guint64 *b, guint64 *c,
                        gboolean *flag);

GBytes *wire_call_write(const wire_call_t *call);
gboolean wire_call_read(GBytes *bytes, wire_call_t *call);
void wire_call_clear(wire_call_t *call);
GBytes *wire_reply_write(const wire_reply_t *reply);
gboolean wire_reply_read(GBytes *bytes, wire_reply_t *reply);
void wire_reply_clear(wire_reply_t *reply);
GBytes *wire_steps_write(const GArray *steps);
/* A GArray of wire_step_t that clears its items, or NULL. */
GArray *wire_steps_read(GBytes *bytes);
GArray *wire_steps_create(void);
GBytes *wire_found_write(const wire_found_t *found);
gboolean wire_found_read(GBytes *bytes, wire_found_t *found);
void wire_found_clear(wire_found_t *found);

#endif
