/* Messages between entry and control instances, and envelopes between control
 * instances.
 *
 * An entry instance polls each control instance it knows. The control instance
 * holds the poll until there are updates. Answers are incremental: leases that
 * changed since the cursor, and the configuration as a delta to the text that
 * the entry instance has. */
#ifndef CAROBLOOM_GATEWAY_SYNC_WIRE_H
#define CAROBLOOM_GATEWAY_SYNC_WIRE_H

#include <glib.h>

#include "carobloom/gateway/limit_wire.h"
#include "carobloom/policy/crash_ledger.h"
#include "carobloom/policy/directory.h"

#define SYNC_PATH "/sync"   /* entry to control */
#define VOTER_PATH "/voter" /* control to control */

enum {
    SYNC_LEASES_MAX = 1024, /* per answer; more follow in the next */
    SYNC_CONTROLS_MAX = 64,
};

typedef struct {
    char *instance;
    gboolean has_log_id; /* FALSE: of an earlier version */
    guint64 log_id;  /* of the replicated log that its configuration is of */
    guint64 version; /* of its configuration; 0: none, or none of that log */
    guint64 epoch;   /* incarnation of the control instance that the cursors
                        belong to */
    guint64 cursor;  /* of the last lease change received */
    guint64 quarantine_cursor; /* of the last quarantine order received */
    guint64 limit_cursor;      /* of the last change of a limit received */
    guint32 wait_ms;       /* maximum time to hold the poll, while there are no
                              updates */
    gboolean wants_config; /* send configuration updates in the answer */
    gboolean more;         /* the last answer left out leases */
} sync_request_t;

typedef struct {
    guint64 epoch;
    guint64 cursor;
    guint64 quarantine_cursor;
    GArray *quarantine_orders; /* quarantine_order_t, only changes */
    guint64 limit_cursor;
    GArray *limits;      /* limit_state_t, only changes */
    gboolean full;       /* `leases` starts over from the first */
    gboolean more;       /* more leases follow */
    gboolean confirmed;  /* no newer configuration was acknowledged by the time
                            this answer was written */
    gboolean has_log_id; /* as in the request */
    guint64 log_id;      /* of the replicated log, see log_state.h */
    guint64 version;     /* of the committed configuration; 0: none */
    guint64 base;  /* version that `delta` applies to; 0: the empty text */
    GBytes *delta; /* from text_delta_between; NULL: no configuration update */
    GPtrArray *leases;   /* endpoint_lease_t * */
    GPtrArray *controls; /* char *: IP:PORT of the voters' listeners */
    char *data_centre;   /* of the control instance */
    guint32 entries;     /* entry instances that poll the control instance */
} sync_answer_t;

/* A list of leases; `packed` tells whether it was compressed. */
GBytes *leases_write(const GPtrArray *leases, gboolean *packed);
/* The list that a message contains as `bytes`, of which it takes ownership.
 * NULL if malformed. */
GPtrArray *leases_read(GVariant *bytes, gboolean packed);

GBytes *sync_request_write(const sync_request_t *request);
gboolean sync_request_read(GBytes *bytes, sync_request_t *request);
void sync_request_clear(sync_request_t *request);
GBytes *sync_answer_write(const sync_answer_t *answer);
gboolean sync_answer_read(GBytes *bytes, sync_answer_t *answer);
void sync_answer_clear(sync_answer_t *answer);

/* A message between control instances. `message` is empty if the sender only
 * introduces itself, so that the leader can add it as a voter. */
typedef struct {
    char *from; /* IP:PORT of the sender's listener; its name as a voter */
    guint64 id; /* identity of the sender as a voter */
    GBytes *message;
} voter_envelope_t;

GBytes *voter_envelope_write(const voter_envelope_t *envelope);
gboolean voter_envelope_read(GBytes *bytes, voter_envelope_t *envelope);
void voter_envelope_clear(voter_envelope_t *envelope);

#endif
