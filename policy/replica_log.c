#include "carobloom/policy/replica_log.h"

static void
entry_clear(gpointer data)
{
    g_bytes_unref(((log_entry_t *)data)->data);
}

void
replica_log_init(replica_log_t *log)
{
    *log = (replica_log_t){.entries =
                               g_array_new(FALSE, FALSE, sizeof(log_entry_t))};
    g_array_set_clear_func(log->entries, entry_clear);
}

void
replica_log_clear(replica_log_t *log)
{
    g_array_unref(log->entries);
}

guint64
replica_log_last_index(const replica_log_t *log)
{
    return log->base_index + log->entries->len;
}

guint64
replica_log_term(const replica_log_t *log, guint64 index)
{
    if (index == log->base_index) {
        return log->base_term;
    }
    const log_entry_t *entry = replica_log_get(log, index);
    return entry ? entry->term : 0;
}

guint64
replica_log_last_term(const replica_log_t *log)
{
    return replica_log_term(log, replica_log_last_index(log));
}

const log_entry_t *
replica_log_get(const replica_log_t *log, guint64 index)
{
    if (index <= log->base_index || index > replica_log_last_index(log)) {
        return NULL;
    }
    return &g_array_index(log->entries, log_entry_t,
                          index - log->base_index - 1);
}

void
replica_log_append(replica_log_t *log, const log_entry_t *entry)
{
    log_entry_t copy = *entry;
    copy.data = g_bytes_ref(entry->data);
    g_array_append_val(log->entries, copy);
}

void
replica_log_truncate(replica_log_t *log, guint64 index)
{
    if (index <= replica_log_last_index(log) && index > log->base_index) {
        g_array_set_size(log->entries, (guint)(index - log->base_index - 1));
    }
}

void
replica_log_compact(replica_log_t *log, guint64 index, guint64 term)
{
    if (index <= log->base_index) {
        return;
    }
    guint drop = (guint)MIN(index - log->base_index, log->entries->len);
    if (drop > 0) {
        g_array_remove_range(log->entries, 0, drop);
    }
    log->base_index = index;
    log->base_term = term;
}
