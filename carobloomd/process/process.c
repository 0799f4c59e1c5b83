#include "carobloom/process/process.h"

#include "carobloom/process/messages.h"

guint32
process_entry(const process_t *process)
{
    return (guint32)(process->member >> 32);
}

static void
send_document(task_t *task, message_type_t type, document_t *document)
{
    task_send(task, MESSAGE(document_message_t,
                            .base = {type, document_message_free},
                            .document = document_ref(document)));
}

void
process_publish_document(process_t *process, document_t *document)
{
    /* The policy task first: a request must not outrun its classes. */
    send_document(process->policy, POLICY_DOCUMENT, document);
    for (guint i = 0; i < process->http_count; i++) {
        send_document(process->http[i], HTTP_DOCUMENT, document);
    }
    g_atomic_int_set(&process->ready, 1);
}
