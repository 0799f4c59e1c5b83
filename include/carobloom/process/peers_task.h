/* The peers task: ZeroMQ between instances, and who of them is alive.
 *
 * One ROUTER hears all; one DEALER a peer sends to it. A frame is a kind, the
 * sender's and the receiver's member ids and a body; a receiver drops what is
 * for an earlier start of itself. */
#ifndef CAROBLOOM_PROCESS_PEERS_TASK_H
#define CAROBLOOM_PROCESS_PEERS_TASK_H

#include "carobloom/process/process.h"

typedef struct peers_task peers_task_t;

/* NULL with the fault logged when the address can not be bound. */
peers_task_t *peers_task_create(process_t *process);
void peers_task_destroy(peers_task_t *peers);
void peers_task_begin(void *state);
void peers_task_end(void *state);
void peers_task_handle(void *state, message_t *message);

#endif
