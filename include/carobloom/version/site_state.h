/* The replicated state: the site document, the claims, the orders.
 *
 * Commands are applied in the log's order and give the same result on every
 * voter: time comes with the command. Bounded: see the limits below. */
#ifndef CAROBLOOM_VERSION_SITE_STATE_H
#define CAROBLOOM_VERSION_SITE_STATE_H

#include <glib.h>

#include "carobloom/common/str.h"
#include "carobloom/version/splice.h"

enum {
    SITE_CHANGES_MAX = 20000, /* change ids remembered: near three days */
    SITE_CLAIMS_MAX = 200000,
    SITE_CLAIM_BYTES_MAX = 24 * 1024 * 1024,
    SITE_DELTAS_MAX = 64, /* kept to bring others up to date */
    SITE_ORDERS_MAX = 1000,
};

typedef enum {
    SITE_SUBMIT = 1,
    SITE_CLAIM,
    SITE_FINISH,
    SITE_ORDER,
    SITE_ORDER_DONE,
} site_command_t;

/* As `removed` of a submit: `inserted` is the whole text. */
#define SITE_WHOLE G_MAXUINT64

typedef enum {
    SITE_OK,
    SITE_REPEATED, /* a change id seen before: its first version */
    SITE_CONFLICT, /* the base is not the present version */
    SITE_HELD,     /* claim states */
    SITE_ANSWERED,
    SITE_MISMATCH,
    SITE_UNKNOWN,
    SITE_FULL,
} site_outcome_t;

/* What a command came to. Text and bytes belong to the state and stay valid
 * until the next command. */
typedef struct {
    site_command_t command;
    site_outcome_t outcome;
    guint64 version; /* of a submit */
    guint64 fence;   /* of an order */
    int status;      /* of a kept answer */
    const char *content_type;
    GBytes *answer;
} site_result_t;

/* One accepted change. */
typedef struct {
    guint64 version;
    char *change;
    char *author;
    char *note;
    gint64 time_ms;
} site_change_t;

typedef struct {
    guint64 fence;
    char *address;
    char *verb;
    char *value;
    gboolean done;
    int status; /* what the engine said */
} site_order_t;

/* A step from the version before. */
typedef struct {
    guint64 version;
    splice_t splice;
    GBytes *replaced; /* what it took out, to go back */
} site_delta_t;

typedef struct site_state site_state_t;

site_state_t *site_state_create(void);
void site_state_destroy(site_state_t *state);
/* FALSE when malformed; the state is then as new. */
gboolean site_state_restore(site_state_t *state, GBytes *snapshot);
GBytes *site_state_snapshot(const site_state_t *state);
/* Applies the command of log entry `index`; FALSE when malformed. */
gboolean site_state_apply(site_state_t *state, guint64 index, GBytes *command,
                          site_result_t *result);

guint64 site_state_version(const site_state_t *state);
str_t site_state_text(const site_state_t *state);
/* Newest last. */
const GQueue *site_state_changes(const site_state_t *state);
const GQueue *site_state_orders(const site_state_t *state);
const site_change_t *site_state_find_change(const site_state_t *state,
                                            const char *change);
/* Steps after `version`, oldest first; NULL when they are not all kept. */
GPtrArray *site_state_deltas(const site_state_t *state, guint64 version);
/* The text of an earlier version; NULL when it is too old. */
char *site_state_text_at(const site_state_t *state, guint64 version,
                         gsize *length);
guint site_state_claims(const site_state_t *state);
gsize site_state_claim_bytes(const site_state_t *state);

/* Builders of commands. */
GBytes *site_submit_write(gint64 time_ms, const char *change, guint64 base,
                          const char *author, const char *note,
                          const splice_t *splice);
GBytes *site_claim_write(gint64 time_ms, const char *team, const char *key,
                         guint64 digest, guint64 holder, gint64 keep_s);
/* `status` 0 gives the claim back; -1 says how it ended is not known. */
GBytes *site_finish_write(gint64 time_ms, const char *team, const char *key,
                          guint64 holder, int status, const char *type,
                          GBytes *answer);
GBytes *site_order_write(gint64 time_ms, const char *address, const char *verb,
                         const char *value);
GBytes *site_order_done_write(gint64 time_ms, guint64 fence, int status);

#endif
