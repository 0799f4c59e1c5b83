/* What all tasks of one process share, read-only once it runs. */
#ifndef CAROBLOOM_PROCESS_PROCESS_H
#define CAROBLOOM_PROCESS_PROCESS_H

#include <glib.h>

#include "carobloom/common/task.h"
#include "carobloom/process/settings.h"
#include "carobloom/version/document.h"

enum { HTTP_TASKS_MAX = 64 };

typedef struct {
    const settings_t *settings;
    guint64 member; /* hash of the instance's name and incarnation */
    guint64 incarnation;
    gint64 started_us;
    task_t *http[HTTP_TASKS_MAX];
    guint http_count;
    task_t *policy;
    task_t *peers; /* NULL when alone */
    task_t *voter;
    gint in_flight; /* atomic: requests not yet answered */
    gint ready;     /* atomic: a confirmed document is in force */
    gint draining;  /* atomic */
} process_t;

/* The upper half of this instance's ticket ids. */
guint32 process_entry(const process_t *process);
/* Sends the same document to all tasks that use it. */
void process_publish_document(process_t *process, document_t *document);

#endif
