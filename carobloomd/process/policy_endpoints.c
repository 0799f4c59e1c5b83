#include "policy_state.h"

#include "carobloom/common/log.h"
#include "carobloom/policy/rendezvous.h"

static const gint64 FULL_EVERY_US = 30 * G_USEC_PER_SEC;
/* ---- endpoints ---- */

/* A hash of what an owner must know besides the load. */
static guint64
endpoint_shape(const endpoint_info_t *info)
{
    char *adapters =
        info->adapters ? g_strjoinv(",", info->adapters) : g_strdup("");
    char *text = g_strdup_printf(
        "%s|%s|%s|%s|%s|%" G_GINT64_FORMAT "|%" G_GINT64_FORMAT "|%d",
        info->serves, info->protocol, info->role ? info->role : "",
        info->version ? info->version : "", adapters, info->slots,
        info->interval_ms, info->fencing);
    guint64 shape = hash_text(str_from_cstr(text));
    g_free(text);
    g_free(adapters);
    return shape;
}

void
policy_owned_endpoint_put(policy_task_t *p, guint64 pool_id,
                          endpoint_info_t *info)
{
    pool_t *pool = policy_owned_pool(p, pool_id);
    if (pool == NULL) {
        endpoint_info_clear(info);
        return;
    }
    guint64 id = hash_text(str_from_cstr(info->address));
    if (!g_hash_table_contains(pool->endpoints, &id)) {
        log_info(LOG_PART_POLICY, "Endpoint %s joined pool %s, %d slots.",
                 info->address, info->serves, (int)info->slots);
    }
    pool_endpoint_put(pool, info, policy_now_us());
    scheduler_grant(pool->scheduler, policy_now_us(), p->actions);
    policy_flush_actions(p, pool);
}

static wire_load_t
announced_load(const announced_t *a)
{
    return (wire_load_t){
        .id = a->id,
        .pool = a->pool,
        .busy = (guint16)MIN(a->info.running + a->info.waiting, G_MAXUINT16),
        .age_ms = (guint16)CLAMP(a->info.age_ms, 0, G_MAXUINT16),
        .token_us = (guint32)a->info.token_us,
    };
}

static GArray *
loads_for(policy_task_t *p, guint64 owner)
{
    GArray *loads = g_hash_table_lookup(p->loads, &owner);
    if (loads == NULL) {
        loads = g_array_new(FALSE, TRUE, sizeof(wire_load_t));
        g_hash_table_insert(p->loads, g_memdup2(&owner, sizeof(owner)), loads);
    }
    return loads;
}

/* Sends the whole announcement when the owner may not know it, else only the
 * load, gathered with others. */
void
policy_place_announced(policy_task_t *p, announced_t *a)
{
    guint64 owner = policy_pool_owner(p, a->pool);
    guint64 shape = endpoint_shape(&a->info);
    gint64 now = policy_now_us();
    gboolean full = owner != a->owner || shape != a->shape ||
                    now - a->full_us > FULL_EVERY_US;
    a->owner = owner;
    a->shape = shape;
    if (!full) {
        wire_load_t load = announced_load(a);
        if (!policy_is_self(p, owner)) {
            g_array_append_val(loads_for(p, owner), load);
            return;
        }
        pool_t *pool = policy_owned_pool(p, a->pool);
        full = pool && !pool_endpoint_load(pool, &load, now);
        if (!full) {
            return;
        }
    }
    a->full_us = now;
    GBytes *bytes = wire_endpoint_write(&a->info);
    if (!policy_is_self(p, owner)) {
        policy_send_wire(p, owner, WIRE_ENDPOINT, bytes);
        return;
    }
    endpoint_info_t copy;
    if (wire_endpoint_read(bytes, &copy)) {
        policy_owned_endpoint_put(p, a->pool, &copy);
    }
    g_bytes_unref(bytes);
}

void
policy_take_endpoint(policy_task_t *p, endpoint_message_t *m)
{
    guint64 id = hash_text(str_from_cstr(m->info.address));
    announced_t *a = g_hash_table_lookup(p->announced, &id);
    if (a == NULL) {
        a = g_new0(announced_t, 1);
        a->id = id;
        g_hash_table_insert(p->announced, &a->id, a);
    }
    endpoint_info_clear(&a->info);
    a->info = m->info;
    m->info = (endpoint_info_t){0};
    a->pool = hash_text(str_from_cstr(a->info.serves));
    a->seen_us = policy_now_us();
    policy_place_announced(p, a);
}

void
policy_owned_goodbye(policy_task_t *p, guint64 pool_id, guint64 endpoint)
{
    pool_t *pool = g_hash_table_lookup(p->pools, &pool_id);
    if (pool != NULL) {
        pool_endpoint_leave(pool, endpoint);
        log_info(LOG_PART_POLICY, "An endpoint left pool %s.", pool->name);
    }
}

void
policy_take_goodbye(policy_task_t *p, const endpoint_event_message_t *m)
{
    guint64 id = hash_text(str_from_cstr(m->address));
    guint64 pool = hash_text(str_from_cstr(m->serves));
    g_hash_table_remove(p->announced, &id);
    guint64 owner = policy_pool_owner(p, pool);
    if (policy_is_self(p, owner)) {
        policy_owned_goodbye(p, pool, id);
        return;
    }
    policy_send_wire(p, owner, WIRE_GOODBYE,
                     wire_pair_write(id, pool, 0, FALSE));
}

void
policy_owned_prefix(policy_task_t *p, guint64 pool_id, guint64 endpoint,
                    guint64 prefix, gboolean present)
{
    pool_t *pool = g_hash_table_lookup(p->pools, &pool_id);
    if (pool != NULL) {
        endpoint_set_prefix(scheduler_endpoints(pool->scheduler), prefix,
                            endpoint, present);
    }
}

void
policy_take_prefix(policy_task_t *p, const endpoint_event_message_t *m)
{
    guint64 id = hash_text(str_from_cstr(m->address));
    guint64 pool = hash_text(str_from_cstr(m->serves));
    guint64 owner = policy_pool_owner(p, pool);
    if (policy_is_self(p, owner)) {
        policy_owned_prefix(p, pool, id, m->prefix, m->present);
        return;
    }
    policy_send_wire(p, owner, WIRE_PREFIX,
                     wire_pair_write(id, pool, m->prefix, m->present));
}

static gboolean
announced_is_stale(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    (void)data;
    const announced_t *a = value;
    return policy_now_us() - a->seen_us > 10 * a->info.interval_ms * 1000;
}

void
policy_flush_loads(void *data)
{
    policy_task_t *p = data;
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, p->loads);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        GArray *loads = value;
        if (loads->len > 0) {
            policy_send_wire(p, *(guint64 *)key, WIRE_LOADS,
                             wire_loads_write(loads));
        }
        g_hash_table_iter_remove(&iter);
    }
    g_hash_table_foreach_remove(p->announced, announced_is_stale, NULL);
}
