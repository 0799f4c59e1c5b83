/* Waiting tickets of one class, in weighted fair order of their teams and in
 * order of arrival. */
#ifndef CAROBLOOM_POLICY_QUEUE_H
#define CAROBLOOM_POLICY_QUEUE_H

#include <glib.h>

#include "carobloom/policy/heap.h"
#include "carobloom/policy/scheduler.h"

struct team_queue;

typedef enum { JOB_WAITING, JOB_RUNNING } job_state_t;

/* The scheduler's record of a ticket that waits or runs. */
typedef struct {
    heap_node_t deadline; /* in the scheduler's heap while waiting */
    ticket_t ticket;
    job_state_t state;
    gboolean preempting;
    gint64 queued_us;
    gint64 started_us;
    double expected_tokens;
    double service_us; /* expected time in a slot */
    guint64 endpoint;
    GList class_link; /* in the waiting or running list of the class */
    GList team_link;
    struct team_queue *team;
} job_t;

/* Queue of one class. The heap orders its teams by virtual time, lowest
 * first. */
typedef struct {
    GHashTable *teams; /* team hash -> team_queue_t, of waiting teams */
    heap_t heap;
    GQueue by_arrival; /* job_t */
    double virtual_time;
    double service_us; /* sum over the waiting jobs */
} queue_t;

/* Creates and frees the queue's tables. Jobs are owned by the caller. */
void queue_init(queue_t *queue);
void queue_clear(queue_t *queue);
/* Appends a job to the queue of its team; removes a job from it. */
void queue_push(queue_t *queue, job_t *job);
void queue_remove(queue_t *queue, job_t *job);
/* The next job in fair order, NULL if the queue is empty. The job stays
 * queued. */
job_t *queue_peek(const queue_t *queue);
/* Charges the service time of `job`, which was just removed, to its team and
 * advances the virtual time. */
void queue_charge(queue_t *queue, const job_t *job);
/* The job that was pushed first, NULL if the queue is empty. */
job_t *queue_oldest(const queue_t *queue);

#endif
