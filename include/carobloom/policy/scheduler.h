/* Scheduler of one pool: decides which request runs next, at which endpoint,
 * and which requests are refused.
 *
 * The scheduler is pure: each call takes an event and the time, and appends
 * actions. Tiers have strict priority, bounded by a minimum share of slots for
 * each class and by ageing. Classes of a tier share by weighted virtual time,
 * and so do the teams of a class. Protected classes keep free slots as
 * headroom, estimated from their bursts, and may preempt resumable requests of
 * lower tiers. A protected request is never refused while a lower tier has
 * running requests. */
#ifndef CAROBLOOM_POLICY_SCHEDULER_H
#define CAROBLOOM_POLICY_SCHEDULER_H

#include <glib.h>

#include "carobloom/policy/class.h"
#include "carobloom/policy/endpoint_set.h"

/* A request as its entry instance submits it to the scheduler. Each run of the
 * request at an endpoint is an attempt; a request that failed or was preempted
 * is submitted again for the next attempt. */
typedef struct {
    guint64 id;
    guint class_index;
    guint64 team; /* hash of the team's name */
    double team_weight;
    guint prompt_tokens;
    guint64 prefix;    /* hash of the prompt's start, 0: none */
    guint64 avoid;     /* endpoint that just failed the request, 0: none */
    guint done_tokens; /* already sent to the caller, if resumed */
    guint preemptions; /* number of preemptions so far */
    gint64 arrived_us; /* first arrival, on the pool's clock */
    gboolean plain;    /* call to a plain service, without tokens to count */
} ticket_t;

/* What the entry instance of a ticket has to do. */
typedef enum {
    ACTION_GRANT,   /* run `ticket` at `endpoint` */
    ACTION_REFUSE,  /* answer not-run with a time to retry after */
    ACTION_PREEMPT, /* stop the attempt of `ticket`, submit it again */
} action_type_t;

/* Why a ticket is refused. */
typedef enum {
    REFUSE_NONE,
    REFUSE_DEADLINE, /* the request's deadline cannot be met */
    REFUSE_QUEUE,    /* the queue of the class is full */
    REFUSE_POOL,     /* no endpoint serves the pool */
} refuse_reason_t;

/* A decision of the scheduler. `retry_after_us` and `reason` belong to a
 * refusal. */
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
    SETTLE_FAILED,    /* the endpoint failed */
    SETTLE_CANCELLED, /* the caller disconnected, or preempted */
} settle_result_t;

/* How an attempt ended. `token_us` is the time per token, 0 if unknown. */
typedef struct {
    settle_result_t result;
    guint tokens;
    double token_us;
} settlement_t;

/* Parts of the policy that a measurement may turn off. Production uses FALSE
 * for all of them. */
typedef struct {
    gboolean no_headroom;
    gboolean no_preemption;
    gboolean no_early_refusal;
    gboolean no_floors;
    gboolean no_affinity;
} scheduler_ablation_t;

/* Counters of one class since its creation. */
typedef struct {
    gint64 submitted;
    gint64 granted;
    gint64 refused;
    gint64 preempted;
    gint64 longest_wait_us;
} class_stats_t;

typedef struct scheduler scheduler_t;

/* Creates a scheduler for at most CLASS_MAX classes. */
scheduler_t *scheduler_create(const class_spec_t *classes, guint count);
void scheduler_destroy(scheduler_t *scheduler);
/* Replaces the class table. Requests of a class that no longer exists move to
 * the last class. */
void scheduler_set_classes(scheduler_t *scheduler, const class_spec_t *classes,
                           guint count);
void scheduler_set_ablation(scheduler_t *scheduler,
                            scheduler_ablation_t ablation);
/* The endpoints of the pool, owned by the scheduler. */
endpoint_set_t *scheduler_endpoints(scheduler_t *scheduler);
/* Until `until_us` a pool without endpoints queues its tickets instead of
 * refusing them: a new owner has not received the announcements of the
 * endpoints yet. */
void scheduler_set_grace(scheduler_t *scheduler, gint64 until_us);

/* Submits a new ticket, or one that returns after a failure or a preemption. A
 * ticket that is already known changes nothing; if it is running, its grant is
 * appended again. */
void scheduler_submit(scheduler_t *scheduler, const ticket_t *ticket,
                      gint64 now_us, GArray *actions);
/* Adds a ticket that is already running at `endpoint`. Entry instances report
 * such tickets to a new owner of the pool. */
void scheduler_adopt(scheduler_t *scheduler, const ticket_t *ticket,
                     guint64 endpoint, gint64 now_us);
/* Withdraws a waiting ticket. Ids that are unknown or not waiting are
 * ignored. */
void scheduler_cancel(scheduler_t *scheduler, guint64 id);
/* Records the end of a granted ticket and frees its slot. */
void scheduler_settle(scheduler_t *scheduler, guint64 id,
                      const settlement_t *settlement, gint64 now_us,
                      GArray *actions);
/* Updates endpoint health and headroom and expires deadlines. To be called
 * about every 100 ms. */
void scheduler_tick(scheduler_t *scheduler, gint64 now_us, GArray *actions);
/* Grants every ticket that can run now, and preempts where needed. To be
 * called after endpoints changed. */
void scheduler_grant(scheduler_t *scheduler, gint64 now_us, GArray *actions);
/* Drops all tickets of an entry instance that died. `entry` is the upper half
 * of their ids. */
void scheduler_drop_entry(scheduler_t *scheduler, guint32 entry, gint64 now_us,
                          GArray *actions);

/* Ends the tickets of `entry` that were granted before `before_us` and are not
 * among `ids`: their settlement was lost. Returns the number of tickets
 * ended. */
guint scheduler_reconcile(scheduler_t *scheduler, guint32 entry,
                          const guint64 *ids, gsize count, gint64 before_us,
                          gint64 now_us, GArray *actions);

/* Number of waiting and of running tickets of a class. */
guint scheduler_waiting(const scheduler_t *scheduler, guint class_index);
guint scheduler_running(const scheduler_t *scheduler, guint class_index);
/* Free slots that tickets of `tier` must leave to the protected tiers
 * above. */
guint scheduler_headroom(const scheduler_t *scheduler, int tier);
/* Slots that are guaranteed to a class: its minimum share, at least one slot
 * if the share is not 0. */
guint scheduler_floor(const scheduler_t *scheduler, guint class_index);
const class_stats_t *scheduler_stats(const scheduler_t *scheduler,
                                     guint class_index);
/* Estimated length of an answer of a class and team at quantile `q`, in
 * tokens. */
double scheduler_length_quantile(const scheduler_t *scheduler,
                                 guint class_index, guint64 team, double q);
/* Expected wait of a ticket of the class that is submitted now, in
 * microseconds. */
gint64 scheduler_expected_wait(const scheduler_t *scheduler,
                               guint class_index);

#endif
