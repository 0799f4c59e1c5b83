/* The tickets of one class that wait: teams in weighted fair by_arrival, and
 * all of them in by_arrival of arrival. */
#ifndef CAROBLOOM_POLICY_QUEUE_H
#define CAROBLOOM_POLICY_QUEUE_H

#include <glib.h>

#include "carobloom/policy/heap.h"
#include "carobloom/policy/scheduler.h"

struct team_queue;

typedef enum { JOB_WAITING, JOB_RUNNING } job_state_t;

/* A ticket inside a scheduler. */
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
    GList class_link; /* in the class's waiting or running list */
    GList team_link;
    struct team_queue *team;
} job_t;

/* Teams that wait in a class, least virtual time first. */
typedef struct {
    GHashTable *teams; /* team hash -> team_queue_t, only those waiting */
    heap_t heap;
    GQueue by_arrival; /* job_t by arrival */
    double virtual_time;
    double service_us; /* sum over all that wait */
} queue_t;

void queue_init(queue_t *queue);
void queue_clear(queue_t *queue);
void queue_push(queue_t *queue, job_t *job);
void queue_remove(queue_t *queue, job_t *job);
/* The job next in fair by_arrival; it stays in the queue. */
job_t *queue_peek(const queue_t *queue);
/* Tells the queue that `job`, just removed, was served. */
void queue_charge(queue_t *queue, const job_t *job);
job_t *queue_oldest(const queue_t *queue);

#endif
