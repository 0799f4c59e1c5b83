#include "policy_pool.h"

#include "carobloom/policy/rendezvous.h"

static const gint64 GRACE_US = 3 * G_USEC_PER_SEC;
enum { MISSED_INTERVALS = 3, SLACK_MS = 500 };

static void
record_free(gpointer data)
{
    endpoint_record_t *record = data;
    endpoint_info_clear(&record->info);
    g_free(record);
}

pool_t *
pool_create(guint64 id, const document_t *document, gint64 now_us)
{
    pool_t *pool = g_new0(pool_t, 1);
    pool->id = id;
    pool->name = g_strdup("");
    pool->scheduler = scheduler_create(document_class_specs(document),
                                       document_class_count(document));
    scheduler_set_grace(pool->scheduler, now_us + GRACE_US);
    pool->endpoints =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, record_free);
    pool->owned_us = now_us;
    return pool;
}

void
pool_destroy(pool_t *pool)
{
    scheduler_destroy(pool->scheduler);
    g_hash_table_unref(pool->endpoints);
    g_free(pool->name);
    g_free(pool);
}

static void
report_load(pool_t *pool, guint64 id, guint busy, double token_us,
            gint64 age_ms, gint64 now_us)
{
    endpoint_set_report(scheduler_endpoints(pool->scheduler), id, busy,
                        token_us, now_us - age_ms * 1000);
}

void
pool_endpoint_put(pool_t *pool, endpoint_info_t *info, gint64 now_us)
{
    guint64 id = hash_text(str_from_cstr(info->address));
    endpoint_record_t *record = g_hash_table_lookup(pool->endpoints, &id);
    if (record == NULL) {
        record = g_new0(endpoint_record_t, 1);
        record->id = id;
        g_hash_table_insert(pool->endpoints, &record->id, record);
    }
    if (*pool->name == '\0') {
        g_free(pool->name);
        pool->name = g_strdup(info->serves);
    }
    endpoint_info_clear(&record->info);
    record->info = *info;
    *info = (endpoint_info_t){0};
    record->seen_us = now_us;
    endpoint_set_put(scheduler_endpoints(pool->scheduler), id,
                     (guint)record->info.slots, now_us);
    report_load(pool, id, (guint)(record->info.running + record->info.waiting),
                record->info.token_us, record->info.age_ms, now_us);
}

gboolean
pool_endpoint_load(pool_t *pool, const wire_load_t *load, gint64 now_us)
{
    endpoint_record_t *record =
        g_hash_table_lookup(pool->endpoints, &load->id);
    if (record == NULL) {
        return FALSE;
    }
    record->seen_us = now_us;
    report_load(pool, load->id, load->busy, load->token_us, load->age_ms,
                now_us);
    return TRUE;
}

void
pool_endpoint_leave(pool_t *pool, guint64 id)
{
    endpoint_set_remove(scheduler_endpoints(pool->scheduler), id);
    g_hash_table_remove(pool->endpoints, &id);
}

guint
pool_expire(pool_t *pool, gint64 now_us)
{
    guint gone = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, pool->endpoints);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        endpoint_record_t *record = value;
        gint64 patience_ms =
            MISSED_INTERVALS * record->info.interval_ms + SLACK_MS;
        if (now_us - record->seen_us > patience_ms * 1000) {
            endpoint_set_remove(scheduler_endpoints(pool->scheduler),
                                record->id);
            g_hash_table_iter_remove(&iter);
            gone++;
        }
    }
    return gone;
}

static json_t *
endpoint_dump(const pool_t *pool, const endpoint_record_t *record)
{
    const endpoint_state_t *e =
        endpoint_set_find(scheduler_endpoints(pool->scheduler), record->id);
    json_t *adapters = json_array();
    for (int i = 0; record->info.adapters && record->info.adapters[i]; i++) {
        json_array_append_new(adapters, json_string(record->info.adapters[i]));
    }
    return json_pack(
        "{s:s, s:s, s:s, s:s*, s:s*, s:o, s:i, s:i, s:i, s:s, s:f, s:b, s:I}",
        "address", record->info.address, "serves", record->info.serves,
        "protocol", record->info.protocol, "role", record->info.role,
        "version", record->info.version, "adapters", adapters, "slots",
        (int)record->info.slots, "in_flight", e ? (int)e->inflight : 0,
        "foreign", e ? (int)e->foreign : 0, "health",
        e ? endpoint_health_name(e->health) : "gone", "token_us",
        e ? e->token_us : 0.0, "fencing", (int)record->info.fencing,
        "seen_ms_ago",
        (json_int_t)((g_get_monotonic_time() - record->seen_us) / 1000));
}

static json_t *
class_dump(const pool_t *pool, const document_t *document, guint index)
{
    const class_stats_t *stats = scheduler_stats(pool->scheduler, index);
    return json_pack(
        "{s:s, s:i, s:i, s:I, s:I, s:I, s:I, s:I, s:I}", "class",
        document_class(document, index)->name, "waiting",
        (int)scheduler_waiting(pool->scheduler, index), "running",
        (int)scheduler_running(pool->scheduler, index), "submitted",
        (json_int_t)stats->submitted, "granted", (json_int_t)stats->granted,
        "refused", (json_int_t)stats->refused, "preempted",
        (json_int_t)stats->preempted, "longest_wait_ms",
        (json_int_t)(stats->longest_wait_us / 1000), "expected_wait_ms",
        (json_int_t)(scheduler_expected_wait(pool->scheduler, index) / 1000));
}

json_t *
pool_dump(const pool_t *pool, const document_t *document)
{
    json_t *endpoints = json_array();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, pool->endpoints);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        json_array_append_new(endpoints, endpoint_dump(pool, value));
    }
    json_t *classes = json_array();
    for (guint i = 0; i < document_class_count(document); i++) {
        json_array_append_new(classes, class_dump(pool, document, i));
    }
    return json_pack(
        "{s:s, s:i, s:i, s:o, s:o}", "pool", pool->name, "slots",
        (int)endpoint_set_slots(scheduler_endpoints(pool->scheduler)), "free",
        (int)endpoint_set_free_slots(scheduler_endpoints(pool->scheduler),
                                     FALSE),
        "classes", classes, "endpoints", endpoints);
}
