#include "policy_state.h"

#include <string.h>

#include "carobloom/common/log.h"
#include "carobloom/policy/rendezvous.h"

static const gint64 TICK_US = 50 * 1000;
static const gint64 FLUSH_US = 250 * 1000;
static const gint64 RUNNING_US = 5 * G_USEC_PER_SEC;
static const gint64 RESEND_US = 2 * G_USEC_PER_SEC;
static void
announced_free(gpointer data)
{
    announced_t *a = data;
    endpoint_info_clear(&a->info);
    g_free(a);
}

static void
pool_free(gpointer data)
{
    pool_destroy(data);
}

static void
loads_free(gpointer data)
{
    g_array_unref(data);
}

policy_task_t *
policy_task_create(process_t *process)
{
    policy_task_t *p = g_new0(policy_task_t, 1);
    p->process = process;
    p->members = g_array_new(FALSE, TRUE, sizeof(member_info_t));
    p->tickets =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    p->pools =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, pool_free);
    p->announced = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                         announced_free);
    p->loads =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, loads_free);
    p->class_index = g_hash_table_new(NULL, NULL);
    p->actions = g_array_new(FALSE, FALSE, sizeof(action_t));
    return p;
}

void
policy_task_destroy(policy_task_t *p)
{
    g_array_unref(p->members);
    g_hash_table_unref(p->tickets);
    g_hash_table_unref(p->pools);
    g_hash_table_unref(p->announced);
    g_hash_table_unref(p->loads);
    g_hash_table_unref(p->class_index);
    g_array_unref(p->actions);
    document_unref(p->document);
    g_free(p);
}

gint64
policy_now_us(void)
{
    return g_get_monotonic_time();
}

/* ---- who owns a pool ---- */

static gboolean
may_own(const policy_task_t *p, const member_info_t *m, gboolean need_control)
{
    return strcmp(m->region, p->process->settings->region) == 0 &&
           !m->draining && (!need_control || m->control);
}

static gboolean
any_control(const policy_task_t *p)
{
    for (guint i = 0; i < p->members->len; i++) {
        const member_info_t *m = &g_array_index(p->members, member_info_t, i);
        if (m->control && may_own(p, m, TRUE)) {
            return TRUE;
        }
    }
    return FALSE;
}

/* The member that owns a pool; this instance when nobody else may. */
guint64
policy_pool_owner(const policy_task_t *p, guint64 pool)
{
    gboolean need_control = any_control(p);
    guint64 *ids = g_newa(guint64, p->members->len + 1);
    gsize count = 0;
    for (guint i = 0; i < p->members->len; i++) {
        const member_info_t *m = &g_array_index(p->members, member_info_t, i);
        if (may_own(p, m, need_control)) {
            ids[count++] = m->id;
        }
    }
    gssize at = rendezvous_owner(pool, ids, count);
    return at < 0 ? p->process->member : ids[at];
}

gboolean
policy_is_self(const policy_task_t *p, guint64 member)
{
    return member == p->process->member;
}

void
policy_send_wire(policy_task_t *p, guint64 member, wire_kind_t kind,
                 GBytes *bytes)
{
    if (p->process->peers == NULL) {
        g_bytes_unref(bytes);
        return;
    }
    task_send(p->process->peers,
              MESSAGE(wire_message_t, .base = {PEERS_SEND, wire_message_free},
                      .member = member, .kind = (guint8)kind, .bytes = bytes));
}

pool_t *
policy_owned_pool(policy_task_t *p, guint64 id)
{
    pool_t *pool = g_hash_table_lookup(p->pools, &id);
    if (pool == NULL && p->document != NULL) {
        pool = pool_create(id, p->document, policy_now_us());
        g_hash_table_insert(p->pools, &pool->id, pool);
    }
    return pool;
}

/* ---- document and members ---- */

static void
handle_document(policy_task_t *p, const document_message_t *m)
{
    document_unref(p->document);
    p->document = document_ref(m->document);
    guint count = document_class_count(p->document);
    g_hash_table_remove_all(p->class_index);
    for (guint i = 0; i < count; i++) {
        guint32 hash = policy_class_hash(document_class(p->document, i)->name);
        g_hash_table_insert(p->class_index, GUINT_TO_POINTER(hash),
                            GUINT_TO_POINTER(i + 1));
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, p->pools);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        scheduler_set_classes(((pool_t *)value)->scheduler,
                              document_class_specs(p->document), count);
    }
}

static gboolean
member_listed(const GArray *members, guint64 id)
{
    for (guint i = 0; i < members->len; i++) {
        if (g_array_index(members, member_info_t, i).id == id) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Forgets what entries that are gone had here. */
static void
drop_gone_entries(policy_task_t *p, const GArray *before)
{
    for (guint i = 0; i < before->len; i++) {
        guint64 id = g_array_index(before, member_info_t, i).id;
        if (member_listed(p->members, id)) {
            continue;
        }
        GHashTableIter iter;
        gpointer value;
        g_hash_table_iter_init(&iter, p->pools);
        while (g_hash_table_iter_next(&iter, NULL, &value)) {
            pool_t *pool = value;
            scheduler_drop_entry(pool->scheduler, (guint32)(id >> 32),
                                 policy_now_us(), p->actions);
            policy_flush_actions(p, pool);
        }
    }
}

static gboolean
pool_is_lost(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    policy_task_t *p = data;
    pool_t *pool = value;
    if (policy_is_self(p, policy_pool_owner(p, pool->id))) {
        return FALSE;
    }
    log_info(LOG_PART_POLICY, "Pool %s went to another owner.", pool->name);
    return TRUE;
}

/* Pools follow the members: tickets go to the new owners, those running are
 * adopted, endpoints are announced in full. */
static void
move_pools(policy_task_t *p)
{
    g_hash_table_foreach_remove(p->pools, pool_is_lost, p);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, p->announced);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        announced_t *a = value;
        if (a->owner != policy_pool_owner(p, a->pool)) {
            policy_place_announced(p, a);
        }
    }
    GPtrArray *moved = g_ptr_array_new();
    g_hash_table_iter_init(&iter, p->tickets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        entry_ticket_t *t = value;
        if (t->owner != policy_pool_owner(p, t->wire.pool)) {
            g_ptr_array_add(moved,
                            g_memdup2(&t->wire.ticket.id, sizeof(guint64)));
        }
    }
    for (guint i = 0; i < moved->len; i++) {
        entry_ticket_t *t = g_hash_table_lookup(p->tickets, moved->pdata[i]);
        if (t != NULL) {
            policy_place_ticket(p, t);
        }
        g_free(moved->pdata[i]);
    }
    g_ptr_array_unref(moved);
}

static void
handle_members(policy_task_t *p, const members_message_t *m)
{
    GArray *before = p->members;
    p->members = g_array_ref(m->members);
    drop_gone_entries(p, before);
    g_array_unref(before);
    move_pools(p);
}

/* ---- periodic work ---- */

static void
tick_pools(void *data)
{
    policy_task_t *p = data;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, p->pools);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        pool_t *pool = value;
        guint gone = pool_expire(pool, policy_now_us());
        if (gone > 0) {
            log_warn(LOG_PART_POLICY, "%u endpoints of pool %s went silent.",
                     gone, pool->name);
        }
        scheduler_tick(pool->scheduler, policy_now_us(), p->actions);
        policy_flush_actions(p, pool);
    }
}

static void
handle_dump(policy_task_t *p, const ask_message_t *m)
{
    json_t *pools = json_array();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, p->pools);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        json_array_append_new(pools, pool_dump(value, p->document));
    }
    json_t *root = json_pack("{s:o, s:i, s:i, s:i, s:i}", "pools", pools,
                             "tickets", (int)g_hash_table_size(p->tickets),
                             "announced", (int)g_hash_table_size(p->announced),
                             "members", (int)p->members->len, "mailbox",
                             (int)task_backlog(p->process->policy));
    reply_send(m->http, m->call, 200, root);
}

void
policy_task_begin(void *state)
{
    policy_task_t *p = state;
    timers_t *timers = task_timers(p->process->policy);
    timers_subscribe(timers, TICK_US, TICK_US, tick_pools, p);
    timers_subscribe(timers, FLUSH_US, FLUSH_US, policy_flush_loads, p);
    timers_subscribe(timers, RESEND_US, RESEND_US / 2, policy_resend_waiting,
                     p);
    timers_subscribe(timers, RUNNING_US, RUNNING_US, policy_send_running, p);
}

void
policy_task_end(void *state)
{
    (void)state;
}

void
policy_task_handle(void *state, message_t *message)
{
    policy_task_t *p = state;
    switch ((message_type_t)message->type) {
    case POLICY_TICKET:
        policy_take_ticket(p, (ticket_message_t *)message);
        break;
    case POLICY_WITHDRAW:
        policy_take_withdraw(p, (settle_message_t *)message);
        break;
    case POLICY_SETTLE:
        policy_take_settle(p, (settle_message_t *)message);
        break;
    case POLICY_ENDPOINT:
        policy_take_endpoint(p, (endpoint_message_t *)message);
        break;
    case POLICY_GOODBYE:
        policy_take_goodbye(p, (endpoint_event_message_t *)message);
        break;
    case POLICY_PREFIX:
        policy_take_prefix(p, (endpoint_event_message_t *)message);
        break;
    case POLICY_DOCUMENT:
        handle_document(p, (document_message_t *)message);
        break;
    case POLICY_MEMBERS:
        handle_members(p, (members_message_t *)message);
        break;
    case POLICY_WIRE:
        policy_take_wire(p, (wire_message_t *)message);
        break;
    case POLICY_DUMP:
        handle_dump(p, (ask_message_t *)message);
        break;
    default:
        break;
    }
}
