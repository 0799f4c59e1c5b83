/* The in-memory copy of a replicated log: a snapshot's end and entries. */
#ifndef CAROBLOOM_POLICY_REPLICA_LOG_H
#define CAROBLOOM_POLICY_REPLICA_LOG_H

#include <glib.h>

typedef enum {
    ENTRY_NOOP,    /* a new leader's first */
    ENTRY_COMMAND, /* for the state machine */
    ENTRY_CONFIG,  /* a membership */
    ENTRY_KIND_COUNT,
} entry_kind_t;

/* One entry; `data` is counted by reference and may be empty, not NULL. */
typedef struct {
    guint64 index;
    guint64 term;
    entry_kind_t kind;
    GBytes *data;
} log_entry_t;

typedef struct {
    guint64 base_index; /* the snapshot's last entry, 0 for none */
    guint64 base_term;
    GArray *entries; /* log_entry_t, from base_index + 1 */
} replica_log_t;

void replica_log_init(replica_log_t *log);
void replica_log_clear(replica_log_t *log);
guint64 replica_log_last_index(const replica_log_t *log);
guint64 replica_log_last_term(const replica_log_t *log);
/* The term of an entry, 0 when it is not there (or is index 0). */
guint64 replica_log_term(const replica_log_t *log, guint64 index);
/* NULL when it was compacted or does not exist. */
const log_entry_t *replica_log_get(const replica_log_t *log, guint64 index);
/* Takes a reference of the entry's data. */
void replica_log_append(replica_log_t *log, const log_entry_t *entry);
/* Drops `index` and all after it. */
void replica_log_truncate(replica_log_t *log, guint64 index);
/* Drops all up to `index`, which stands in a snapshot now. */
void replica_log_compact(replica_log_t *log, guint64 index, guint64 term);

#endif
