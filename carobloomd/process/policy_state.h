/* Private to the policy task: its state, shared by the files that make it up.
 *
 * policy_task.c      messages in, timers, document, members
 * policy_tickets.c   tickets of this entry, decisions, settlements
 * policy_endpoints.c endpoints that announced themselves here
 * policy_wire.c      what other instances send
 * policy_pool.c      one pool that this instance owns */
#ifndef CAROBLOOMD_PROCESS_POLICY_STATE_H
#define CAROBLOOMD_PROCESS_POLICY_STATE_H

#include "carobloom/process/policy_task.h"
#include "carobloom/process/wire.h"
#include "policy_pool.h"

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

/* policy_tickets.c */
void policy_deliver(policy_task_t *p, guint64 from, wire_decision_t *d);
void policy_flush_actions(policy_task_t *p, const pool_t *pool);
guint32 policy_class_hash(const char *name);
void policy_submit_owned(policy_task_t *p, const wire_ticket_t *w,
                         gboolean adopt);
void policy_place_ticket(policy_task_t *p, entry_ticket_t *t);
void policy_take_ticket(policy_task_t *p, const ticket_message_t *m);
void policy_take_withdraw(policy_task_t *p, const settle_message_t *m);
void policy_settle_owned(policy_task_t *p, guint64 pool_id, guint64 ticket,
                         const settlement_t *settlement);
void policy_settle_at_owner(policy_task_t *p, guint64 owner, guint64 pool,
                            guint64 ticket, const settlement_t *settlement);
void policy_take_settle(policy_task_t *p, const settle_message_t *m);
void policy_resend_waiting(void *data);
void policy_send_running(void *data);

/* policy_endpoints.c */
void policy_owned_endpoint_put(policy_task_t *p, guint64 pool_id,
                               endpoint_info_t *info);
void policy_place_announced(policy_task_t *p, announced_t *a);
void policy_take_endpoint(policy_task_t *p, endpoint_message_t *m);
void policy_owned_goodbye(policy_task_t *p, guint64 pool_id, guint64 endpoint);
void policy_take_goodbye(policy_task_t *p, const endpoint_event_message_t *m);
void policy_owned_prefix(policy_task_t *p, guint64 pool_id, guint64 endpoint,
                         guint64 prefix, gboolean present);
void policy_take_prefix(policy_task_t *p, const endpoint_event_message_t *m);
void policy_flush_loads(void *data);

/* policy_wire.c */
void policy_take_wire(policy_task_t *p, const wire_message_t *m);

/* policy_task.c */
gint64 policy_now_us(void);
guint64 policy_pool_owner(const policy_task_t *p, guint64 pool);
gboolean policy_is_self(const policy_task_t *p, guint64 member);
void policy_send_wire(policy_task_t *p, guint64 member, wire_kind_t kind,
                      GBytes *bytes);
pool_t *policy_owned_pool(policy_task_t *p, guint64 id);

#endif
