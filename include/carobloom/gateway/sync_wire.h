/* What entry and control instances tell each other.
 *
 * An entry instance asks each control instance it knows for news and is held
 * until there is some. Answers carry differences: leases that changed since
 * the cursor, and the configuration as a difference to the text it has. */
#ifndef CAROBLOOM_GATEWAY_SYNC_WIRE_H
#define CAROBLOOM_GATEWAY_SYNC_WIRE_H

#include <glib.h>

#include "carobloom/gateway/limit_wire.h"
#include "carobloom/policy/crash_ledger.h"
#include "carobloom/policy/directory.h"

#define SYNC_PATH "/sync"   /* entry to control */
#define VOTER_PATH "/voter" /* control to control */

enum {
    SYNC_LEASES_MAX = 1024, /* in one answer; more come in the next */
    SYNC_CONTROLS_MAX = 64,
};

typedef struct {
    char *instance;
    guint64 version; /* of the configuration here; 0 for none */
    guint64 epoch;   /* of the control instance's start that `cursor` is of */
    guint64 cursor;  /* leases changed up to here are known */
    guint64
        quarantine_cursor; /* orders to hold requests back, up to here, too */
    guint64 limit_cursor;  /* limits of endpoints, the same */
    guint32 wait_ms;       /* to be held for, at most, when there is no news */
    gboolean wants_config; /* news of the configuration are to be sent here */
    gboolean more;         /* the last answer said that there are more */
} sync_request_t;

typedef struct {
    guint64 epoch;
    guint64 cursor;
    guint64 quarantine_cursor;
    GArray *quarantine_orders; /* quarantine_order_t, changed since */
    guint64 limit_cursor;
    GArray *limits;     /* limit_state_t, changed since */
    gboolean full;      /* `leases` are from the first on, not the changes */
    gboolean more;      /* there are more leases than were sent */
    gboolean confirmed; /* no newer configuration was acknowledged by the time
                           this was written */
    guint64 version;    /* committed here */
    guint64 base;       /* of `delta`; 0: the empty text */
    GBytes *delta; /* text_delta_between; NULL: no news of the configuration */
    GPtrArray *leases;   /* endpoint_lease_t * */
    GPtrArray *controls; /* char *: IP:PORT of the voters' listeners */
    char *data_centre;   /* of the control instance */
    guint32 entries;     /* entry instances that ask here */
} sync_answer_t;

GBytes *sync_request_write(const sync_request_t *request);
gboolean sync_request_read(GBytes *bytes, sync_request_t *request);
void sync_request_clear(sync_request_t *request);
GBytes *sync_answer_write(const sync_answer_t *answer);
gboolean sync_answer_read(GBytes *bytes, sync_answer_t *answer);
void sync_answer_clear(sync_answer_t *answer);

/* One message between control instances. `message` is empty when the sender
 * only says who it is, so that the leader can take it in. */
typedef struct {
    char *from; /* IP:PORT of its listener; its name as a voter */
    guint64 id; /* its identity as a voter */
    GBytes *message;
} voter_envelope_t;

GBytes *voter_envelope_write(const voter_envelope_t *envelope);
gboolean voter_envelope_read(GBytes *bytes, voter_envelope_t *envelope);
void voter_envelope_clear(voter_envelope_t *envelope);

#endif
