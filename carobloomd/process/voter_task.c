#include "carobloom/process/voter_task.h"

#include <string.h>

#include "carobloom/common/fields.h"
#include "carobloom/common/log.h"
#include "carobloom/process/messages.h"

struct voter_task {
    process_t *process;
    document_t *document;
};

voter_task_t *
voter_task_create(process_t *process)
{
    voter_task_t *v = g_new0(voter_task_t, 1);
    v->process = process;
    return v;
}

void
voter_task_destroy(voter_task_t *v)
{
    document_unref(v->document);
    g_free(v);
}

void
voter_task_begin(void *state)
{
    (void)state;
}

void
voter_task_end(void *state)
{
    (void)state;
}

static void
handle_submit(voter_task_t *v, const submit_message_t *m)
{
    GPtrArray *faults = faults_create();
    guint64 version = v->document ? document_version(v->document) + 1 : 1;
    document_t *d = document_parse(
        (str_t){.data = m->text, .length = m->length}, version, faults);
    char *text = g_strdup("{\"state\":\"refused\"}");
    if (d != NULL) {
        document_unref(v->document);
        v->document = d;
        process_publish_document(v->process, d);
        g_free(text);
        text = g_strdup_printf("{\"state\":\"accepted\",\"version\":%d}",
                               (int)version);
    }
    faults_destroy(faults);
    task_send(m->http, MESSAGE(reply_message_t,
                               .base = {HTTP_REPLY, reply_message_free},
                               .call = m->call, .status = d ? 200 : 400,
                               .text = text, .length = strlen(text)));
}

void
voter_task_handle(void *state, message_t *message)
{
    if (message->type == VOTER_SUBMIT) {
        handle_submit(state, (submit_message_t *)message);
    }
}
