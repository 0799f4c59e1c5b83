/* The policy task: schedulers of the pools this instance owns, tickets of the
 * requests it entered, and endpoints that announced themselves here. */
#ifndef CAROBLOOM_PROCESS_POLICY_TASK_H
#define CAROBLOOM_PROCESS_POLICY_TASK_H

#include "carobloom/process/process.h"

typedef struct policy_task policy_task_t;

policy_task_t *policy_task_create(process_t *process);
void policy_task_destroy(policy_task_t *policy);
void policy_task_begin(void *state);
void policy_task_end(void *state);
void policy_task_handle(void *state, message_t *message);

#endif
