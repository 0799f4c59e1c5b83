/* In-memory copy of a replicated log: the end of a snapshot and the entries
 * after it. */
#ifndef CAROBLOOM_POLICY_REPLICA_LOG_H
#define CAROBLOOM_POLICY_REPLICA_LOG_H

#include <glib.h>

typedef enum {
    ENTRY_NOOP,    /* first entry of a new leader */
    ENTRY_COMMAND, /* for the state machine */
    ENTRY_CONFIG,  /* a membership, see voter_config_t */
    ENTRY_KIND_COUNT,
} entry_kind_t;

/* One entry; `data` is reference-counted and may be empty, but not NULL. */
typedef struct {
    guint64 index;
    guint64 term;
    entry_kind_t kind;
    GBytes *data;
} log_entry_t;

typedef struct {
    guint64 base_index; /* last entry in the snapshot, 0 for none */
    guint64 base_term;
    GArray *entries; /* log_entry_t, from base_index + 1 */
} replica_log_t;

void replica_log_init(replica_log_t *log);
void replica_log_clear(replica_log_t *log);
/* Index of the last entry, or of the snapshot's last entry. */
guint64 replica_log_last_index(const replica_log_t *log);
/* Term of the entry at replica_log_last_index. */
guint64 replica_log_last_term(const replica_log_t *log);
/* The term of the entry at `index`, which may be base_index; 0 when it is not
 * known or `index` is 0. */
guint64 replica_log_term(const replica_log_t *log, guint64 index);
/* The entry at `index`; NULL when it was compacted or does not exist. */
const log_entry_t *replica_log_get(const replica_log_t *log, guint64 index);
/* Appends a copy of the entry, with a reference to its data. */
void replica_log_append(replica_log_t *log, const log_entry_t *entry);
/* Removes the entry at `index` and all after it. */
void replica_log_truncate(replica_log_t *log, guint64 index);
/* Removes all entries up to `index`, which a snapshot covers now. */
void replica_log_compact(replica_log_t *log, guint64 index, guint64 term);

#endif
