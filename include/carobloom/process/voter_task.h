/* The voter task: the replicated log with its disk, the site document and
 * the claims. An fsync here never stalls a request's thread. */
#ifndef CAROBLOOM_PROCESS_VOTER_TASK_H
#define CAROBLOOM_PROCESS_VOTER_TASK_H

#include "carobloom/process/process.h"

typedef struct voter_task voter_task_t;

/* NULL with the fault logged when the data folder can not be used. */
voter_task_t *voter_task_create(process_t *process);
void voter_task_destroy(voter_task_t *voter);
void voter_task_begin(void *state);
void voter_task_end(void *state);
void voter_task_handle(void *state, message_t *message);

#endif
