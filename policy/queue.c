#include "carobloom/policy/queue.h"

/* Waiting jobs of one team. `node.key` is the team's virtual start time. */
typedef struct team_queue {
    heap_node_t node;
    guint64 team;
    GQueue jobs;
} team_queue_t;

static void
team_free(gpointer data)
{
    g_free(data);
}

void
queue_init(queue_t *queue)
{
    *queue = (queue_t){
        .teams = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                       team_free),
    };
    heap_init(&queue->heap);
    g_queue_init(&queue->by_arrival);
}

void
queue_clear(queue_t *queue)
{
    heap_clear(&queue->heap);
    g_hash_table_unref(queue->teams);
}

void
queue_push(queue_t *queue, job_t *job)
{
    team_queue_t *team = g_hash_table_lookup(queue->teams, &job->ticket.team);
    if (team == NULL) {
        team = g_new0(team_queue_t, 1);
        team->team = job->ticket.team;
        team->node = (heap_node_t){
            .key = queue->virtual_time,
            .tie = job->ticket.team,
            .index = -1,
        };
        g_queue_init(&team->jobs);
        g_hash_table_insert(queue->teams, &team->team, team);
        heap_push(&queue->heap, &team->node);
    }
    job->team = team;
    job->class_link.data = job;
    job->team_link.data = job;
    g_queue_push_tail_link(&queue->by_arrival, &job->class_link);
    g_queue_push_tail_link(&team->jobs, &job->team_link);
    queue->service_us += job->service_us;
}

void
queue_remove(queue_t *queue, job_t *job)
{
    team_queue_t *team = job->team;
    g_queue_unlink(&queue->by_arrival, &job->class_link);
    g_queue_unlink(&team->jobs, &job->team_link);
    queue->service_us -= job->service_us;
    if (queue->by_arrival.length == 0) {
        queue->service_us = 0;
    }
    job->team = NULL;
    if (team->jobs.length == 0) {
        heap_remove(&queue->heap, &team->node);
        g_hash_table_remove(queue->teams, &team->team);
    }
}

job_t *
queue_peek(const queue_t *queue)
{
    team_queue_t *team = (team_queue_t *)heap_peek(&queue->heap);
    return team ? g_queue_peek_head_link(&team->jobs)->data : NULL;
}

void
queue_charge(queue_t *queue, const job_t *job)
{
    /* A team that has no waiting jobs starts again at the current virtual
     * time, so an idle team earns no credit. */
    team_queue_t *team = g_hash_table_lookup(queue->teams, &job->ticket.team);
    double weight = MAX(job->ticket.team_weight, 0.001);
    double cost = MAX(job->service_us, 1) / weight;
    if (team != NULL) {
        queue->virtual_time = MAX(queue->virtual_time, team->node.key);
        team->node.key += cost;
        heap_update(&queue->heap, &team->node);
    }
    else {
        const heap_node_t *next = heap_peek(&queue->heap);
        if (next != NULL) {
            queue->virtual_time = MAX(queue->virtual_time, next->key);
        }
    }
}

job_t *
queue_oldest(const queue_t *queue)
{
    return queue->by_arrival.length ? queue->by_arrival.head->data : NULL;
}
