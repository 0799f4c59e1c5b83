#include "policy_state.h"

#include <string.h>

#include "carobloom/common/counters.h"
#include "carobloom/common/log.h"
#include "carobloom/policy/rendezvous.h"

static const gint64 RESEND_US = 2 * G_USEC_PER_SEC;
/* ---- decisions on their way to the entry ---- */

/* A decision for a ticket that entered here. */
void
policy_deliver(policy_task_t *p, guint64 from, wire_decision_t *d)
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
            policy_settle_at_owner(p, from, t->wire.pool, d->ticket, &none);
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
        policy_deliver(p, p->process->member, &d);
        return;
    }
    guint64 member = member_of_entry(p, entry);
    if (member != 0) {
        policy_send_wire(p, member, WIRE_DECISION, wire_decision_write(&d));
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

void
policy_flush_actions(policy_task_t *p, const pool_t *pool)
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

guint32
policy_class_hash(const char *name)
{
    return (guint32)hash_text(str_from_cstr(name));
}

void
policy_submit_owned(policy_task_t *p, const wire_ticket_t *w, gboolean adopt)
{
    pool_t *pool = policy_owned_pool(p, w->pool);
    if (pool == NULL) {
        return;
    }
    ticket_t ticket = w->ticket;
    gpointer index =
        g_hash_table_lookup(p->class_index, GUINT_TO_POINTER(w->class_hash));
    guint last = document_class_count(p->document) - 1;
    ticket.class_index = index ? GPOINTER_TO_UINT(index) - 1 : last;
    gint64 now = policy_now_us();
    ticket.arrived_us = now - (gint64)w->waited_ms * 1000;
    if (adopt) {
        scheduler_adopt(pool->scheduler, &ticket, w->endpoint, now);
        return;
    }
    scheduler_submit(pool->scheduler, &ticket, now, p->actions);
    policy_flush_actions(p, pool);
}

/* Sends a ticket to its pool's owner: anew, or as already running. */
void
policy_place_ticket(policy_task_t *p, entry_ticket_t *t)
{
    gint64 now = policy_now_us();
    t->owner = policy_pool_owner(p, t->wire.pool);
    t->sent_us = now;
    t->wire.waited_ms = (guint32)((now - t->arrived_us) / 1000);
    t->wire.endpoint = t->endpoint;
    gboolean adopt = t->endpoint != 0;
    if (policy_is_self(p, t->owner)) {
        wire_ticket_t copy = t->wire; /* the ticket may go while submitting */
        policy_submit_owned(p, &copy, adopt);
        return;
    }
    policy_send_wire(p, t->owner, adopt ? WIRE_ADOPT : WIRE_TICKET,
                     wire_ticket_write(&t->wire));
}

void
policy_take_ticket(policy_task_t *p, const ticket_message_t *m)
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
        .class_hash =
            policy_class_hash(document_class(p->document, index)->name),
    };
    t->arrived_us = m->ticket.arrived_us;
    t->http = m->http;
    g_hash_table_replace(p->tickets, &t->wire.ticket.id, t);
    policy_place_ticket(p, t);
}

void
policy_take_withdraw(policy_task_t *p, const settle_message_t *m)
{
    entry_ticket_t *t = g_hash_table_lookup(p->tickets, &m->ticket);
    if (t == NULL) {
        return;
    }
    guint64 owner = t->owner;
    guint64 pool_id = t->wire.pool;
    g_hash_table_remove(p->tickets, &m->ticket);
    if (!policy_is_self(p, owner)) {
        policy_send_wire(p, owner, WIRE_WITHDRAW,
                         wire_pair_write(m->ticket, pool_id, 0, FALSE));
        return;
    }
    pool_t *pool = g_hash_table_lookup(p->pools, &pool_id);
    if (pool != NULL) {
        settlement_t none = {.result = SETTLE_CANCELLED};
        scheduler_cancel(pool->scheduler, m->ticket);
        scheduler_settle(pool->scheduler, m->ticket, &none, policy_now_us(),
                         p->actions);
        policy_flush_actions(p, pool);
    }
}

void
policy_settle_owned(policy_task_t *p, guint64 pool_id, guint64 ticket,
                    const settlement_t *settlement)
{
    pool_t *pool = g_hash_table_lookup(p->pools, &pool_id);
    if (pool == NULL) {
        return;
    }
    scheduler_settle(pool->scheduler, ticket, settlement, policy_now_us(),
                     p->actions);
    policy_flush_actions(p, pool);
}

void
policy_settle_at_owner(policy_task_t *p, guint64 owner, guint64 pool,
                       guint64 ticket, const settlement_t *settlement)
{
    if (policy_is_self(p, owner)) {
        policy_settle_owned(p, pool, ticket, settlement);
        return;
    }
    wire_settle_t w = {
        .ticket = ticket, .pool = pool, .settlement = *settlement};
    policy_send_wire(p, owner, WIRE_SETTLE, wire_settle_write(&w));
}

void
policy_take_settle(policy_task_t *p, const settle_message_t *m)
{
    entry_ticket_t *t = g_hash_table_lookup(p->tickets, &m->ticket);
    if (t == NULL) {
        return;
    }
    guint64 owner = t->owner;
    guint64 pool = t->wire.pool;
    g_hash_table_remove(p->tickets, &m->ticket);
    policy_settle_at_owner(p, owner, pool, m->ticket, &m->settlement);
}

void
policy_resend_waiting(void *data)
{
    policy_task_t *p = data;
    gint64 now = policy_now_us();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, p->tickets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        entry_ticket_t *t = value;
        if (t->endpoint == 0 && !policy_is_self(p, t->owner) &&
            now - t->sent_us > RESEND_US) {
            t->sent_us = now;
            t->wire.waited_ms = (guint32)((now - t->arrived_us) / 1000);
            policy_send_wire(p, t->owner, WIRE_TICKET,
                             wire_ticket_write(&t->wire));
        }
    }
}

static void
ids_free(gpointer data)
{
    g_array_unref(data);
}

/* Tells each owner what runs here under its grants. */
void
policy_send_running(void *data)
{
    policy_task_t *p = data;
    GHashTable *by_pool = g_hash_table_new_full(NULL, NULL, NULL, ids_free);
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, p->tickets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        entry_ticket_t *t = value;
        if (policy_is_self(p, t->owner)) {
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
        policy_send_wire(p, policy_pool_owner(p, pool), WIRE_RUNNING,
                         wire_ids_write(pool, value));
    }
    g_hash_table_unref(by_pool);
}
