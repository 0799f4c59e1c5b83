#include "policy_state.h"

#include "carobloom/common/counters.h"
#include "carobloom/policy/rendezvous.h"

static const gint64 RUNNING_US = 5 * G_USEC_PER_SEC;
/* ---- what other instances send ---- */

static void
wire_ticket(policy_task_t *p, const wire_message_t *m, gboolean adopt)
{
    wire_ticket_t w;
    if (wire_ticket_read(m->bytes, &w)) {
        policy_submit_owned(p, &w, adopt);
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
        policy_settle_owned(p, pool_id, ticket, &none);
    }
}

static void
wire_settle(policy_task_t *p, const wire_message_t *m)
{
    wire_settle_t w;
    if (wire_settle_read(m->bytes, &w)) {
        policy_settle_owned(p, w.pool, w.ticket, &w.settlement);
    }
}

static void
wire_decision(policy_task_t *p, const wire_message_t *m)
{
    wire_decision_t d;
    if (wire_decision_read(m->bytes, &d)) {
        policy_deliver(p, m->member, &d);
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
        policy_owned_endpoint_put(p, pool, &info);
    }
}

static void
wire_loads(policy_task_t *p, const wire_message_t *m)
{
    GArray *loads = wire_loads_read(m->bytes);
    for (guint i = 0; loads && i < loads->len; i++) {
        const wire_load_t *l = &g_array_index(loads, wire_load_t, i);
        pool_t *pool = policy_owned_pool(p, l->pool);
        if (pool && !pool_endpoint_load(pool, l, policy_now_us())) {
            policy_send_wire(p, m->member, WIRE_NEED,
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
        a->full_us = policy_now_us();
        policy_send_wire(p, m->member, WIRE_ENDPOINT,
                         wire_endpoint_write(&a->info));
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
        policy_owned_goodbye(p, pool, id);
    }
    else {
        policy_owned_prefix(p, pool, id, prefix, present);
    }
}

static void
wire_running(policy_task_t *p, const wire_message_t *m)
{
    guint64 pool_id;
    GArray *ids = wire_ids_read(m->bytes, &pool_id);
    pool_t *pool = ids ? g_hash_table_lookup(p->pools, &pool_id) : NULL;
    if (pool != NULL) {
        gint64 now = policy_now_us();
        guint ended =
            scheduler_reconcile(pool->scheduler, (guint32)(m->member >> 32),
                                (const guint64 *)ids->data, ids->len,
                                now - RUNNING_US, now, p->actions);
        counter_add(counter_get("settlements_lost_total", NULL, FALSE), ended);
        policy_flush_actions(p, pool);
    }
    g_clear_pointer(&ids, g_array_unref);
}

void
policy_take_wire(policy_task_t *p, const wire_message_t *m)
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
