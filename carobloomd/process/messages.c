#include "carobloom/process/messages.h"

#include <string.h>

void
message_free(message_t *message)
{
    g_free(message);
}

void
decision_message_free(message_t *message)
{
    decision_message_t *m = (decision_message_t *)message;
    g_free(m->address);
    g_free(m->protocol);
    g_free(m);
}

void
ticket_message_free(message_t *message)
{
    ticket_message_t *m = (ticket_message_t *)message;
    g_free(m->pool);
    g_free(m);
}

void
endpoint_info_clear(endpoint_info_t *info)
{
    g_free(info->address);
    g_free(info->serves);
    g_free(info->kind);
    g_free(info->protocol);
    g_free(info->role);
    g_free(info->data_centre);
    g_free(info->version);
    g_strfreev(info->adapters);
    *info = (endpoint_info_t){0};
}

void
endpoint_message_free(message_t *message)
{
    endpoint_message_t *m = (endpoint_message_t *)message;
    endpoint_info_clear(&m->info);
    g_free(m);
}

void
endpoint_event_message_free(message_t *message)
{
    endpoint_event_message_t *m = (endpoint_event_message_t *)message;
    g_free(m->address);
    g_free(m->serves);
    g_free(m);
}

void
document_message_free(message_t *message)
{
    document_message_t *m = (document_message_t *)message;
    document_unref(m->document);
    g_free(m);
}

void
reply_message_free(message_t *message)
{
    reply_message_t *m = (reply_message_t *)message;
    g_free(m->text);
    g_free(m);
}

void
reply_send(task_t *http, guint64 call, int status, json_t *root)
{
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    task_send(http,
              MESSAGE(reply_message_t,
                      .base = {HTTP_REPLY, reply_message_free}, .call = call,
                      .status = status, .text = text, .length = strlen(text)));
}

void
members_message_free(message_t *message)
{
    members_message_t *m = (members_message_t *)message;
    g_array_unref(m->members);
    g_free(m);
}

void
wire_message_free(message_t *message)
{
    wire_message_t *m = (wire_message_t *)message;
    g_bytes_unref(m->bytes);
    g_free(m);
}

void
submit_message_free(message_t *message)
{
    submit_message_t *m = (submit_message_t *)message;
    g_free(m->change);
    g_free(m->author);
    g_free(m->note);
    g_free(m->text);
    g_free(m);
}

void
claim_message_free(message_t *message)
{
    claim_message_t *m = (claim_message_t *)message;
    g_free(m->team);
    g_free(m->key);
    g_free(m->content_type);
    g_clear_pointer(&m->answer, g_bytes_unref);
    g_free(m);
}

void
claimed_message_free(message_t *message)
{
    claimed_message_t *m = (claimed_message_t *)message;
    g_free(m->content_type);
    g_clear_pointer(&m->answer, g_bytes_unref);
    g_free(m);
}

void
order_message_free(message_t *message)
{
    order_message_t *m = (order_message_t *)message;
    g_free(m->address);
    g_free(m->verb);
    g_free(m->value);
    g_free(m);
}

void
engine_message_free(message_t *message)
{
    engine_message_t *m = (engine_message_t *)message;
    g_free(m->address);
    g_free(m->verb);
    g_free(m->value);
    g_free(m);
}
