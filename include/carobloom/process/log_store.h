/* A voter's disk: identity, hard state, snapshot and log under one folder.
 *
 * Each append is one checksummed frame. A torn last frame was never
 * acknowledged and is cut back; a damaged frame with a good one after it is
 * refused with its place, and the folder can then be set aside. Everything is
 * synced, file and folder, before a call returns. */
#ifndef CAROBLOOM_PROCESS_LOG_STORE_H
#define CAROBLOOM_PROCESS_LOG_STORE_H

#include <glib.h>

#include "carobloom/policy/voter.h"

enum {
    STORE_OK = 0,
    STORE_ERROR_OPEN = -1,    /* the folder can not be used */
    STORE_ERROR_DAMAGED = -2, /* a file is damaged; the text says where */
    STORE_ERROR_WRITE = -3,   /* disk full, failed write or failed sync */
    STORE_ERROR_READ = -4,    /* a file can not be read */
    STORE_ERROR_BUSY = -5,    /* another process uses the folder */
};

typedef struct log_store log_store_t;

/* What a folder held. */
typedef struct {
    gboolean empty; /* no state yet */
    guint64 id;     /* this voter's identity, made on the first open */
    voter_hard_state_t hard;
    voter_snapshot_t snapshot;
    GPtrArray *entries; /* log_entry_t * */
    guint64 cut_bytes;  /* of a torn tail */
    gboolean set_aside; /* there was state once, which was damaged */
} store_state_t;

void store_state_clear(store_state_t *state);

/* Opens or makes a folder. On an error `why` gets a text freed with g_free. */
int log_store_open(const char *folder, log_store_t **store,
                   store_state_t *state, char **why);
void log_store_close(log_store_t *store);
/* Renames the files of a damaged folder, so that it opens as an empty one.
 * What was set aside before is replaced. */
int log_store_set_aside(const char *folder, char **why);
/* Replaces the identity of a folder that holds no state yet. */
int log_store_set_id(log_store_t *store, guint64 id, char **why);
int log_store_hard(log_store_t *store, const voter_hard_state_t *hard,
                   char **why);
/* Makes the log from `from` on durable, replacing what stood there. */
int log_store_append(log_store_t *store, const replica_log_t *log,
                     guint64 from, char **why);
/* Makes a snapshot durable and rewrites the log after it. */
int log_store_snapshot(log_store_t *store, const voter_snapshot_t *snapshot,
                       const replica_log_t *log, char **why);
/* A small file beside the log, of the owner's own: replaced whole, and read;
 * NULL in `body` when there is none. */
int log_store_keep(log_store_t *store, GBytes *body, char **why);
int log_store_kept(log_store_t *store, GBytes **body, char **why);
/* Bytes of the log file, for the decision to compact. */
guint64 log_store_bytes(const log_store_t *store);

#endif
