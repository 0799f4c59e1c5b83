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
    WIRE_VOTER,
    WIRE_VOTER_CALL,
    WIRE_VOTER_REPLY,
    WIRE_DOCUMENT,
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

#endif
