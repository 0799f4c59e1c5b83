/* The order of work in one pool: who goes next, where, and who is refused.
 *
 * Pure: it takes events with the time and appends actions. Classes are served
 * by strict tiers, bounded by least shares and ageing; within a tier by
 * weighted virtual time; within a class, teams by weighted virtual time.
 * Top tiers keep headroom measured from their own bursts and may preempt
 * resumable lower work; they are never refused while it runs. */
#ifndef CAROBLOOM_POLICY_SCHEDULER_H
#define CAROBLOOM_POLICY_SCHEDULER_H

#include <glib.h>

#include "carobloom/policy/class.h"
#include "carobloom/policy/endpoint_set.h"

/* A request as its entry instance describes it. */
typedef struct {
    guint64 id;
    guint class_index;
    guint64 team; /* hash of the team's name */
    double team_weight;
    guint prompt_tokens;
    guint64 prefix;    /* hash of the prompt's start, 0 for none */
    guint64 avoid;     /* endpoint that just failed it, 0 for none */
    guint done_tokens; /* already sent to the caller, when resumed */
    guint preemptions; /* how often it was preempted */
    gint64 arrived_us; /* first arrival, on the pool's clock */
    gboolean plain;    /* a service call: no tokens to count */
} ticket_t;

typedef enum {
    ACTION_GRANT,   /* run `ticket` at `endpoint` */
    ACTION_REFUSE,  /* tell the caller not-run, to return later */
    ACTION_PREEMPT, /* stop `ticket`'s attempt; submit it again */
} action_type_t;

typedef enum {
    REFUSE_NONE,
    REFUSE_DEADLINE, /* its deadline can not be met */
    REFUSE_QUEUE,    /* its class's queue is full */
    REFUSE_POOL,     /* no endpoint serves the pool */
} refuse_reason_t;

typedef struct {
    action_type_t type;
    guint64 ticket;
    guint64 endpoint;
    refuse_reason_t reason;
    gint64 retry_after_us;
    gint64 waited_us;
} action_t;

typedef enum {
    SETTLE_COMPLETE,
    SETTLE_FAILED,    /* the endpoint's fault */
    SETTLE_CANCELLED, /* the caller left, or it was preempted */
} settle_result_t;

/* How an attempt ended. `token_us` is the time a token, 0 when unknown. */
typedef struct {
    settle_result_t result;
    guint tokens;
    double token_us;
} settlement_t;

/* Parts of the policy that a measurement may turn off; all FALSE is ours. */
typedef struct {
    gboolean no_headroom;
    gboolean no_preemption;
    gboolean no_early_refusal;
    gboolean no_floors;
    gboolean no_affinity;
} scheduler_ablation_t;

typedef struct {
    gint64 submitted;
    gint64 granted;
    gint64 refused;
    gint64 preempted;
    gint64 longest_wait_us;
} class_stats_t;

typedef struct scheduler scheduler_t;

scheduler_t *scheduler_create(const class_spec_t *classes, guint count);
void scheduler_destroy(scheduler_t *scheduler);
/* Takes a new table; what waits in a class that is gone moves to the last. */
void scheduler_set_classes(scheduler_t *scheduler, const class_spec_t *classes,
                           guint count);
void scheduler_set_ablation(scheduler_t *scheduler,
                            scheduler_ablation_t ablation);
endpoint_set_t *scheduler_endpoints(scheduler_t *scheduler);
/* Until then a pool without endpoints holds its tickets: a new owner has yet
 * to hear the announcements. */
void scheduler_set_grace(scheduler_t *scheduler, gint64 until_us);

/* A ticket arrives, or comes back after a failure or a preemption. One that
 * is known already changes nothing; if it was granted, it is told again. */
void scheduler_submit(scheduler_t *scheduler, const ticket_t *ticket,
                      gint64 now_us, GArray *actions);
/* A ticket that is already running elsewhere, told by its entry to a new
 * owner of the pool. */
void scheduler_adopt(scheduler_t *scheduler, const ticket_t *ticket,
                     guint64 endpoint, gint64 now_us);
/* A waiting ticket is withdrawn; unknown ids are ignored. */
void scheduler_cancel(scheduler_t *scheduler, guint64 id);
/* A granted ticket ended. */
void scheduler_settle(scheduler_t *scheduler, guint64 id,
                      const settlement_t *settlement, gint64 now_us,
                      GArray *actions);
/* Expiry, health, headroom; call it every 100 ms or so. */
void scheduler_tick(scheduler_t *scheduler, gint64 now_us, GArray *actions);
/* Grants what can be granted; for after endpoints changed. */
void scheduler_grant(scheduler_t *scheduler, gint64 now_us, GArray *actions);
/* Forgets every ticket of one entry (the id's upper half), which died. */
void scheduler_drop_entry(scheduler_t *scheduler, guint32 entry, gint64 now_us,
                          GArray *actions);

/* Ends the granted tickets of `entry` older than `before_us` that are not
 * among `ids`: their settlement was lost. Returns how many. */
guint scheduler_reconcile(scheduler_t *scheduler, guint32 entry,
                          const guint64 *ids, gsize count, gint64 before_us,
                          gint64 now_us, GArray *actions);

guint scheduler_waiting(const scheduler_t *scheduler, guint class_index);
guint scheduler_running(const scheduler_t *scheduler, guint class_index);
guint scheduler_headroom(const scheduler_t *scheduler, int tier);
guint scheduler_floor(const scheduler_t *scheduler, guint class_index);
const class_stats_t *scheduler_stats(const scheduler_t *scheduler,
                                     guint class_index);
/* Length at quantile `q` learnt for a class and team, in tokens. */
double scheduler_length_quantile(const scheduler_t *scheduler,
                                 guint class_index, guint64 team, double q);
/* The wait a new ticket of that class would see now. */
gint64 scheduler_expected_wait(const scheduler_t *scheduler,
                               guint class_index);

#endif
