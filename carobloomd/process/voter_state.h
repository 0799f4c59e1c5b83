/* Private to the voter task: its state, shared by the files that make it up.
 *
 * voter_task.c   messages in, timers, the document in force here
 * voter_log.c    the core with its disk: ready, apply, compaction, founding
 * voter_leader.c what the leader answers, and its orders to engines
 * voter_calls.c  questions of this instance, sent again until answered */
#ifndef CAROBLOOMD_PROCESS_VOTER_STATE_H
#define CAROBLOOMD_PROCESS_VOTER_STATE_H

#include "carobloom/policy/voter.h"
#include "carobloom/process/log_store.h"
#include "carobloom/process/messages.h"
#include "carobloom/process/voter_task.h"
#include "carobloom/process/wire.h"
#include "carobloom/version/site_state.h"

/* What the leader owes an answer once an entry is applied. */
typedef struct {
    guint64 index;
    guint64 term;
    guint64 member;
    guint64 call;
} owed_t;

/* A question of this instance. */
typedef struct {
    guint64 call;
    call_kind_t kind;
    GBytes *bytes; /* the wire_call_t, written */
    gint64 asked_us;
    gint64 sent_us;
    gint64 until_us;
    task_t *http;
    guint64 http_call;
    guint64 base; /* of a submit */
    char *text;   /* of a submit, for the conflict answer */
    gsize length;
} question_t;

/* A voter known by name that waits to be founded with or to rejoin. */
typedef struct {
    char *name;
    guint64 id;
    guint64 member;
    gboolean empty;
    gboolean unknown_to; /* it has state, and does not list us */
    gint64 heard_us;
} candidate_t;

struct voter_task {
    process_t *process;
    GArray *members; /* member_info_t */
    /* the log, on an instance that votes */
    gboolean votes;
    gboolean failed;    /* its disk failed: it takes no part any more */
    gboolean set_aside; /* its folder was damaged and counts as lost */
    guint64 id;
    log_store_t *store;
    voter_t *core; /* NULL until founded or taken in */
    site_state_t *state;
    guint64 last_applied;
    GHashTable *owed;       /* index -> owed_t */
    GHashTable *candidates; /* name -> candidate_t */
    gint64 led_since_us;
    gint64 looked_us; /* when voters were last asked about */
    voter_role_t last_role;
    gboolean turn_due; /* the core is to be driven before the next wait */
    /* the document in force here */
    guint64 version;
    char *text;
    gsize length;
    gboolean confirmed; /* a quorum vouched for it since the start */
    /* questions */
    GHashTable *questions; /* call -> question_t */
    guint64 last_call;
    guint64 leader_member; /* last known leader, 0 for none */
    guint next_voter;      /* whom to ask when it is not known */
    GHashTable *acks;      /* instance name -> version, on the leader */
    GHashTable *ordering;  /* fences on their way to engines */
};

/* voter_log.c */
gboolean voter_log_open(voter_task_t *v);
void voter_log_close(voter_task_t *v);
void voter_log_tick(voter_task_t *v);
/* Drives the core: disk, messages, apply. */
void voter_log_turn(voter_task_t *v);
void voter_log_wire(voter_task_t *v, const wire_message_t *m);
void voter_log_found(voter_task_t *v, const wire_message_t *m);

GHashTable *voter_candidates_create(void);

/* voter_leader.c */
void voter_leader_call(voter_task_t *v, guint64 member,
                       const wire_call_t *call);
void voter_leader_applied(voter_task_t *v, const log_entry_t *entry,
                          const site_result_t *result);
void voter_leader_lost(voter_task_t *v);
void voter_leader_tick(voter_task_t *v);
void voter_leader_order_done(voter_task_t *v, const engine_message_t *m);

/* voter_calls.c */
void voter_calls_ask(voter_task_t *v, const wire_call_t *call,
                     question_t *question);
void voter_calls_reply(voter_task_t *v, guint64 member,
                       const wire_reply_t *reply);
void voter_calls_tick(voter_task_t *v);

/* voter_task.c */
void voter_send(voter_task_t *v, guint64 member, wire_kind_t kind,
                GBytes *bytes);
/* Puts a document in force, if it is newer than the one here. */
void voter_publish(voter_task_t *v, guint64 version, str_t text);
void voter_take_steps(voter_task_t *v, GBytes *bytes);
const member_info_t *voter_member(const voter_task_t *v, guint64 id);
const member_info_t *voter_member_named(const voter_task_t *v,
                                        const char *name);
gboolean voter_alone(const voter_task_t *v);

#endif
