#include "carobloom/process/policy_task.h"

#include <string.h>

#include "carobloom/common/counters.h"
#include "carobloom/common/log.h"
#include "carobloom/policy/rendezvous.h"
#include "carobloom/process/wire.h"
#include "policy_pool.h"

static const gint64 TICK_US = 50 * 1000;
static const gint64 FLUSH_US = 250 * 1000;
static const gint64 RUNNING_US = 5 * G_USEC_PER_SEC;
static const gint64 RESEND_US = 2 * G_USEC_PER_SEC;
static const gint64 FULL_EVERY_US = 30 * G_USEC_PER_SEC;

/* A request that entered here. `endpoint` is 0 while it waits. */
typedef struct {
    wire_ticket_t wire;
    guint64 owner;
    guint64 endpoint;
    gint64 arrived_us;
    gint64 sent_us;
    task_t *http;
} entry_ticket_t;

/* An endpoint that announced itself here. */
typedef struct {
    guint64 id;
    guint64 pool;
    guint64 owner; /* to whom the full announcement went */
    guint64 shape; /* hash of all but the load */
    gint64 full_us;
    gint64 seen_us;
    endpoint_info_t info;
} announced_t;

/* What an owner tells entries by: where an endpoint is. */
struct policy_task {
    process_t *process;
    document_t *document;
    GArray *members;       /* member_info_t */
    GHashTable *tickets;   /* id -> entry_ticket_t */
    GHashTable *pools;     /* id -> pool_t */
    GHashTable *announced; /* id -> announced_t */
    GHashTable *loads;     /* owner -> GArray of wire_load_t */
    GArray *actions;
    GHashTable *class_index; /* class hash -> index + 1 */
};

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

static gint64
now_us(void)
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
static guint64
pool_owner(const policy_task_t *p, guint64 pool)
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

static gboolean
is_self(const policy_task_t *p, guint64 member)
{
    return member == p->process->member;
}

static void
send_wire(policy_task_t *p, guint64 member, wire_kind_t kind, GBytes *bytes)
{
    if (p->process->peers == NULL) {
        g_bytes_unref(bytes);
        return;
    }
    task_send(p->process->peers,
              MESSAGE(wire_message_t, .base = {PEERS_SEND, wire_message_free},
                      .member = member, .kind = (guint8)kind, .bytes = bytes));
}

static pool_t *
owned_pool(policy_task_t *p, guint64 id)
{
    pool_t *pool = g_hash_table_lookup(p->pools, &id);
    if (pool == NULL && p->document != NULL) {
        pool = pool_create(id, p->document, now_us());
        g_hash_table_insert(p->pools, &pool->id, pool);
    }
    return pool;
}

/* ---- decisions on their way to the entry ---- */

static void settle_at_owner(policy_task_t *p, guint64 owner, guint64 pool,
                            guint64 ticket, const settlement_t *settlement);

/* A decision for a ticket that entered here. */
static void
deliver(policy_task_t *p, guint64 from, wire_decision_t *d)
{
    entry_ticket_t *t = g_hash_table_lookup(p->tickets, &d->ticket);
    gboolean is_grant = d->action == ACTION_GRANT;
    if (t == NULL || t->owner != from || (is_grant && t->endpoint != 0)) {
        gboolean repeated =
            t && t->owner == from && t->endpoint == d->endpoint;
        if (is_grant && t == NULL) {
            log_debug(LOG_PART_POLICY, "Grant for a ticket that is gone.");
        }
        if (is_grant && !repeated && t && t->owner != from) {
            settlement_t none = {.result = SETTLE_CANCELLED};
            settle_at_owner(p, from, t->wire.pool, d->ticket, &none);
        }
        return;
    }
    int type = HTTP_PREEMPT;
    if (is_grant) {
        t->endpoint = d->endpoint;
        type = HTTP_GRANT;
    }
    task_t *http = t->http;
    if (d->action == ACTION_REFUSE) {
        type = HTTP_REFUSE;
        g_hash_table_remove(p->tickets, &d->ticket);
    }
    task_send(http,
              MESSAGE(decision_message_t,
                      .base = {type, decision_message_free},
                      .ticket = d->ticket, .endpoint = d->endpoint,
                      .address = g_strdup(d->address),
                      .protocol = g_strdup(d->protocol),
                      .reason = (refuse_reason_t)d->reason,
                      .retry_after_us = (gint64)d->retry_after_ms * 1000));
}

static guint64
member_of_entry(const policy_task_t *p, guint32 entry)
{
    for (guint i = 0; i < p->members->len; i++) {
        const member_info_t *m = &g_array_index(p->members, member_info_t, i);
        if ((guint32)(m->id >> 32) == entry) {
            return m->id;
        }
    }
    return 0;
}

static void
send_decision(policy_task_t *p, const pool_t *pool, const action_t *action)
{
    const endpoint_record_t *record =
        g_hash_table_lookup(pool->endpoints, &action->endpoint);
    wire_decision_t d = {
        .action = (guint8)action->type,
        .reason = (guint8)action->reason,
        .ticket = action->ticket,
        .endpoint = action->endpoint,
        .retry_after_ms = (guint32)(action->retry_after_us / 1000),
        .address = record ? record->info.address : NULL,
        .protocol = record ? record->info.protocol : NULL,
    };
    guint32 entry = (guint32)(action->ticket >> 32);
    if (entry == process_entry(p->process)) {
        deliver(p, p->process->member, &d);
        return;
    }
    guint64 member = member_of_entry(p, entry);
    if (member != 0) {
        send_wire(p, member, WIRE_DECISION, wire_decision_write(&d));
    }
}

static void
count_action(const action_t *action)
{
    static const char *const families[] = {
        [ACTION_GRANT] = "grants_total",
        [ACTION_REFUSE] = "refusals_total",
        [ACTION_PREEMPT] = "preemptions_total",
    };
    counter_add(counter_get(families[action->type], NULL, FALSE), 1);
    if (action->type == ACTION_GRANT) {
        histogram_add(histogram_get("queue_wait_seconds", NULL),
                      (double)action->waited_us / 1e6);
    }
}

static void
flush_actions(policy_task_t *p, const pool_t *pool)
{
    /* Delivering may lead to more decisions, in an array of their own. */
    GArray *batch = p->actions;
    p->actions = g_array_new(FALSE, FALSE, sizeof(action_t));
    for (guint i = 0; i < batch->len; i++) {
        const action_t *action = &g_array_index(batch, action_t, i);
        count_action(action);
        send_decision(p, pool, action);
    }
    g_array_unref(batch);
}

/* ---- tickets ---- */

static guint32
class_hash(const char *name)
{
    return (guint32)hash_text(str_from_cstr(name));
}

static void
submit_owned(policy_task_t *p, const wire_ticket_t *w, gboolean adopt)
{
    pool_t *pool = owned_pool(p, w->pool);
    if (pool == NULL) {
        return;
    }
    ticket_t ticket = w->ticket;
    gpointer index =
        g_hash_table_lookup(p->class_index, GUINT_TO_POINTER(w->class_hash));
    guint last = document_class_count(p->document) - 1;
    ticket.class_index = index ? GPOINTER_TO_UINT(index) - 1 : last;
    gint64 now = now_us();
    ticket.arrived_us = now - (gint64)w->waited_ms * 1000;
    if (adopt) {
        scheduler_adopt(pool->scheduler, &ticket, w->endpoint, now);
        return;
    }
    scheduler_submit(pool->scheduler, &ticket, now, p->actions);
    flush_actions(p, pool);
}

/* Sends a ticket to its pool's owner: anew, or as already running. */
static void
place_ticket(policy_task_t *p, entry_ticket_t *t)
{
    gint64 now = now_us();
    t->owner = pool_owner(p, t->wire.pool);
    t->sent_us = now;
    t->wire.waited_ms = (guint32)((now - t->arrived_us) / 1000);
    t->wire.endpoint = t->endpoint;
    gboolean adopt = t->endpoint != 0;
    if (is_self(p, t->owner)) {
        wire_ticket_t copy = t->wire; /* the ticket may go while submitting */
        submit_owned(p, &copy, adopt);
        return;
    }
    send_wire(p, t->owner, adopt ? WIRE_ADOPT : WIRE_TICKET,
              wire_ticket_write(&t->wire));
}

static void
handle_ticket(policy_task_t *p, const ticket_message_t *m)
{
    if (p->document == NULL) {
        return;
    }
    entry_ticket_t *t = g_new0(entry_ticket_t, 1);
    guint index =
        MIN(m->ticket.class_index, document_class_count(p->document) - 1);
    t->wire = (wire_ticket_t){
        .ticket = m->ticket,
        .pool = hash_text(str_from_cstr(m->pool)),
        .class_hash = class_hash(document_class(p->document, index)->name),
    };
    t->arrived_us = m->ticket.arrived_us;
    t->http = m->http;
    g_hash_table_replace(p->tickets, &t->wire.ticket.id, t);
    place_ticket(p, t);
}

static void
handle_withdraw(policy_task_t *p, const settle_message_t *m)
{
    entry_ticket_t *t = g_hash_table_lookup(p->tickets, &m->ticket);
    if (t == NULL) {
        return;
    }
    guint64 owner = t->owner;
    guint64 pool_id = t->wire.pool;
    g_hash_table_remove(p->tickets, &m->ticket);
    if (!is_self(p, owner)) {
        send_wire(p, owner, WIRE_WITHDRAW,
                  wire_pair_write(m->ticket, pool_id, 0, FALSE));
        return;
    }
    pool_t *pool = g_hash_table_lookup(p->pools, &pool_id);
    if (pool != NULL) {
        settlement_t none = {.result = SETTLE_CANCELLED};
        scheduler_cancel(pool->scheduler, m->ticket);
        scheduler_settle(pool->scheduler, m->ticket, &none, now_us(),
                         p->actions);
        flush_actions(p, pool);
    }
}

static void
settle_owned(policy_task_t *p, guint64 pool_id, guint64 ticket,
             const settlement_t *settlement)
{
    pool_t *pool = g_hash_table_lookup(p->pools, &pool_id);
    if (pool == NULL) {
        return;
    }
    scheduler_settle(pool->scheduler, ticket, settlement, now_us(),
                     p->actions);
    flush_actions(p, pool);
}

static void
settle_at_owner(policy_task_t *p, guint64 owner, guint64 pool, guint64 ticket,
                const settlement_t *settlement)
{
    if (is_self(p, owner)) {
        settle_owned(p, pool, ticket, settlement);
        return;
    }
    wire_settle_t w = {
        .ticket = ticket, .pool = pool, .settlement = *settlement};
    send_wire(p, owner, WIRE_SETTLE, wire_settle_write(&w));
}

static void
handle_settle(policy_task_t *p, const settle_message_t *m)
{
    entry_ticket_t *t = g_hash_table_lookup(p->tickets, &m->ticket);
    if (t == NULL) {
        return;
    }
    guint64 owner = t->owner;
    guint64 pool = t->wire.pool;
    g_hash_table_remove(p->tickets, &m->ticket);
    settle_at_owner(p, owner, pool, m->ticket, &m->settlement);
}

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

static void
owned_endpoint_put(policy_task_t *p, guint64 pool_id, endpoint_info_t *info)
{
    pool_t *pool = owned_pool(p, pool_id);
    if (pool == NULL) {
        endpoint_info_clear(info);
        return;
    }
    guint64 id = hash_text(str_from_cstr(info->address));
    if (!g_hash_table_contains(pool->endpoints, &id)) {
        log_info(LOG_PART_POLICY, "Endpoint %s joined pool %s, %d slots.",
                 info->address, info->serves, (int)info->slots);
    }
    pool_endpoint_put(pool, info, now_us());
    scheduler_run(pool->scheduler, now_us(), p->actions);
    flush_actions(p, pool);
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
static void
place_announced(policy_task_t *p, announced_t *a)
{
    guint64 owner = pool_owner(p, a->pool);
    guint64 shape = endpoint_shape(&a->info);
    gint64 now = now_us();
    gboolean full = owner != a->owner || shape != a->shape ||
                    now - a->full_us > FULL_EVERY_US;
    a->owner = owner;
    a->shape = shape;
    if (!full) {
        wire_load_t load = announced_load(a);
        if (!is_self(p, owner)) {
            g_array_append_val(loads_for(p, owner), load);
            return;
        }
        pool_t *pool = owned_pool(p, a->pool);
        full = pool && !pool_endpoint_load(pool, &load, now);
        if (!full) {
            return;
        }
    }
    a->full_us = now;
    GBytes *bytes = wire_endpoint_write(&a->info);
    if (!is_self(p, owner)) {
        send_wire(p, owner, WIRE_ENDPOINT, bytes);
        return;
    }
    endpoint_info_t copy;
    if (wire_endpoint_read(bytes, &copy)) {
        owned_endpoint_put(p, a->pool, &copy);
    }
    g_bytes_unref(bytes);
}

static void
handle_endpoint(policy_task_t *p, endpoint_message_t *m)
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
    a->seen_us = now_us();
    place_announced(p, a);
}

static void
owned_goodbye(policy_task_t *p, guint64 pool_id, guint64 endpoint)
{
    pool_t *pool = g_hash_table_lookup(p->pools, &pool_id);
    if (pool != NULL) {
        pool_endpoint_leave(pool, endpoint);
        log_info(LOG_PART_POLICY, "An endpoint left pool %s.", pool->name);
    }
}

static void
handle_goodbye(policy_task_t *p, const endpoint_event_message_t *m)
{
    guint64 id = hash_text(str_from_cstr(m->address));
    guint64 pool = hash_text(str_from_cstr(m->serves));
    g_hash_table_remove(p->announced, &id);
    guint64 owner = pool_owner(p, pool);
    if (is_self(p, owner)) {
        owned_goodbye(p, pool, id);
        return;
    }
    send_wire(p, owner, WIRE_GOODBYE, wire_pair_write(id, pool, 0, FALSE));
}

static void
owned_prefix(policy_task_t *p, guint64 pool_id, guint64 endpoint,
             guint64 prefix, gboolean present)
{
    pool_t *pool = g_hash_table_lookup(p->pools, &pool_id);
    if (pool != NULL) {
        endpoint_set_prefix(scheduler_endpoints(pool->scheduler), prefix,
                            endpoint, present);
    }
}

static void
handle_prefix(policy_task_t *p, const endpoint_event_message_t *m)
{
    guint64 id = hash_text(str_from_cstr(m->address));
    guint64 pool = hash_text(str_from_cstr(m->serves));
    guint64 owner = pool_owner(p, pool);
    if (is_self(p, owner)) {
        owned_prefix(p, pool, id, m->prefix, m->present);
        return;
    }
    send_wire(p, owner, WIRE_PREFIX,
              wire_pair_write(id, pool, m->prefix, m->present));
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
        guint32 hash = class_hash(document_class(p->document, i)->name);
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
                                 now_us(), p->actions);
            flush_actions(p, pool);
        }
    }
}

static gboolean
pool_is_lost(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    policy_task_t *p = data;
    pool_t *pool = value;
    if (is_self(p, pool_owner(p, pool->id))) {
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
        if (a->owner != pool_owner(p, a->pool)) {
            place_announced(p, a);
        }
    }
    GPtrArray *moved = g_ptr_array_new();
    g_hash_table_iter_init(&iter, p->tickets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        entry_ticket_t *t = value;
        if (t->owner != pool_owner(p, t->wire.pool)) {
            g_ptr_array_add(moved,
                            g_memdup2(&t->wire.ticket.id, sizeof(guint64)));
        }
    }
    for (guint i = 0; i < moved->len; i++) {
        entry_ticket_t *t = g_hash_table_lookup(p->tickets, moved->pdata[i]);
        if (t != NULL) {
            place_ticket(p, t);
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

/* ---- what other instances send ---- */

static void
wire_ticket(policy_task_t *p, const wire_message_t *m, gboolean adopt)
{
    wire_ticket_t w;
    if (wire_ticket_read(m->bytes, &w)) {
        submit_owned(p, &w, adopt);
    }
}

static void
wire_withdraw(policy_task_t *p, const wire_message_t *m)
{
    guint64 ticket, pool_id, spare;
    gboolean flag;
    if (!wire_pair_read(m->bytes, &ticket, &pool_id, &spare, &flag)) {
        return;
    }
    pool_t *pool = g_hash_table_lookup(p->pools, &pool_id);
    if (pool != NULL) {
        scheduler_cancel(pool->scheduler, ticket);
        settlement_t none = {.result = SETTLE_CANCELLED};
        settle_owned(p, pool_id, ticket, &none);
    }
}

static void
wire_settle(policy_task_t *p, const wire_message_t *m)
{
    wire_settle_t w;
    if (wire_settle_read(m->bytes, &w)) {
        settle_owned(p, w.pool, w.ticket, &w.settlement);
    }
}

static void
wire_decision(policy_task_t *p, const wire_message_t *m)
{
    wire_decision_t d;
    if (wire_decision_read(m->bytes, &d)) {
        deliver(p, m->member, &d);
    }
    g_free(d.address);
    g_free(d.protocol);
}

static void
wire_endpoint(policy_task_t *p, const wire_message_t *m)
{
    endpoint_info_t info;
    if (wire_endpoint_read(m->bytes, &info)) {
        guint64 pool = hash_text(str_from_cstr(info.serves));
        owned_endpoint_put(p, pool, &info);
    }
}

static void
wire_loads(policy_task_t *p, const wire_message_t *m)
{
    GArray *loads = wire_loads_read(m->bytes);
    for (guint i = 0; loads && i < loads->len; i++) {
        const wire_load_t *l = &g_array_index(loads, wire_load_t, i);
        pool_t *pool = owned_pool(p, l->pool);
        if (pool && !pool_endpoint_load(pool, l, now_us())) {
            send_wire(p, m->member, WIRE_NEED,
                      wire_pair_write(l->id, l->pool, 0, FALSE));
        }
    }
    g_clear_pointer(&loads, g_array_unref);
}

/* An owner asks for a whole announcement. */
static void
wire_need(policy_task_t *p, const wire_message_t *m)
{
    guint64 id, pool, spare;
    gboolean flag;
    if (!wire_pair_read(m->bytes, &id, &pool, &spare, &flag)) {
        return;
    }
    announced_t *a = g_hash_table_lookup(p->announced, &id);
    if (a != NULL) {
        a->full_us = now_us();
        send_wire(p, m->member, WIRE_ENDPOINT, wire_endpoint_write(&a->info));
    }
}

static void
wire_event(policy_task_t *p, const wire_message_t *m)
{
    guint64 id, pool, prefix;
    gboolean present;
    if (!wire_pair_read(m->bytes, &id, &pool, &prefix, &present)) {
        return;
    }
    if (m->kind == WIRE_GOODBYE) {
        owned_goodbye(p, pool, id);
    }
    else {
        owned_prefix(p, pool, id, prefix, present);
    }
}

static void
wire_running(policy_task_t *p, const wire_message_t *m)
{
    guint64 pool_id;
    GArray *ids = wire_ids_read(m->bytes, &pool_id);
    pool_t *pool = ids ? g_hash_table_lookup(p->pools, &pool_id) : NULL;
    if (pool != NULL) {
        gint64 now = now_us();
        guint ended =
            scheduler_reconcile(pool->scheduler, (guint32)(m->member >> 32),
                                (const guint64 *)ids->data, ids->len,
                                now - RUNNING_US, now, p->actions);
        counter_add(counter_get("settlements_lost_total", NULL, FALSE), ended);
        flush_actions(p, pool);
    }
    g_clear_pointer(&ids, g_array_unref);
}

static void
handle_wire(policy_task_t *p, const wire_message_t *m)
{
    if (p->document == NULL) {
        return;
    }
    switch ((wire_kind_t)m->kind) {
    case WIRE_TICKET:
        wire_ticket(p, m, FALSE);
        break;
    case WIRE_ADOPT:
        wire_ticket(p, m, TRUE);
        break;
    case WIRE_WITHDRAW:
        wire_withdraw(p, m);
        break;
    case WIRE_SETTLE:
        wire_settle(p, m);
        break;
    case WIRE_DECISION:
        wire_decision(p, m);
        break;
    case WIRE_ENDPOINT:
        wire_endpoint(p, m);
        break;
    case WIRE_LOADS:
        wire_loads(p, m);
        break;
    case WIRE_NEED:
        wire_need(p, m);
        break;
    case WIRE_GOODBYE:
    case WIRE_PREFIX:
        wire_event(p, m);
        break;
    case WIRE_RUNNING:
        wire_running(p, m);
        break;
    default:
        break;
    }
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
        guint gone = pool_expire(pool, now_us());
        if (gone > 0) {
            log_warn(LOG_PART_POLICY, "%u endpoints of pool %s went silent.",
                     gone, pool->name);
        }
        scheduler_tick(pool->scheduler, now_us(), p->actions);
        flush_actions(p, pool);
    }
}

static gboolean
announced_is_stale(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    (void)data;
    const announced_t *a = value;
    return now_us() - a->seen_us > 10 * a->info.interval_ms * 1000;
}

static void
flush_loads(void *data)
{
    policy_task_t *p = data;
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, p->loads);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        GArray *loads = value;
        if (loads->len > 0) {
            send_wire(p, *(guint64 *)key, WIRE_LOADS, wire_loads_write(loads));
        }
        g_hash_table_iter_remove(&iter);
    }
    g_hash_table_foreach_remove(p->announced, announced_is_stale, NULL);
}

static void
resend_waiting(void *data)
{
    policy_task_t *p = data;
    gint64 now = now_us();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, p->tickets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        entry_ticket_t *t = value;
        if (t->endpoint == 0 && !is_self(p, t->owner) &&
            now - t->sent_us > RESEND_US) {
            t->sent_us = now;
            t->wire.waited_ms = (guint32)((now - t->arrived_us) / 1000);
            send_wire(p, t->owner, WIRE_TICKET, wire_ticket_write(&t->wire));
        }
    }
}

/* Tells each owner what runs here under its grants. */
static void
send_running(void *data)
{
    policy_task_t *p = data;
    GHashTable *by_pool = g_hash_table_new_full(NULL, NULL, NULL, loads_free);
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, p->tickets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        entry_ticket_t *t = value;
        if (is_self(p, t->owner)) {
            continue;
        }
        gpointer pool = (gpointer)t->wire.pool;
        GArray *ids = g_hash_table_lookup(by_pool, pool);
        if (ids == NULL) {
            ids = g_array_new(FALSE, FALSE, sizeof(guint64));
            g_hash_table_insert(by_pool, pool, ids);
        }
        g_array_append_val(ids, t->wire.ticket.id);
    }
    g_hash_table_iter_init(&iter, by_pool);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        guint64 pool = (guint64)key;
        send_wire(p, pool_owner(p, pool), WIRE_RUNNING,
                  wire_ids_write(pool, value));
    }
    g_hash_table_unref(by_pool);
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
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    task_send(m->http, MESSAGE(reply_message_t,
                               .base = {HTTP_REPLY, reply_message_free},
                               .call = m->call, .status = 200, .text = text,
                               .length = strlen(text)));
}

void
policy_task_begin(void *state)
{
    policy_task_t *p = state;
    timers_t *timers = task_timers(p->process->policy);
    timers_subscribe(timers, TICK_US, TICK_US, tick_pools, p);
    timers_subscribe(timers, FLUSH_US, FLUSH_US, flush_loads, p);
    timers_subscribe(timers, RESEND_US, RESEND_US / 2, resend_waiting, p);
    timers_subscribe(timers, RUNNING_US, RUNNING_US, send_running, p);
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
        handle_ticket(p, (ticket_message_t *)message);
        break;
    case POLICY_WITHDRAW:
        handle_withdraw(p, (settle_message_t *)message);
        break;
    case POLICY_SETTLE:
        handle_settle(p, (settle_message_t *)message);
        break;
    case POLICY_ENDPOINT:
        handle_endpoint(p, (endpoint_message_t *)message);
        break;
    case POLICY_GOODBYE:
        handle_goodbye(p, (endpoint_event_message_t *)message);
        break;
    case POLICY_PREFIX:
        handle_prefix(p, (endpoint_event_message_t *)message);
        break;
    case POLICY_DOCUMENT:
        handle_document(p, (document_message_t *)message);
        break;
    case POLICY_MEMBERS:
        handle_members(p, (members_message_t *)message);
        break;
    case POLICY_WIRE:
        handle_wire(p, (wire_message_t *)message);
        break;
    case POLICY_DUMP:
        handle_dump(p, (ask_message_t *)message);
        break;
    default:
        break;
    }
}
