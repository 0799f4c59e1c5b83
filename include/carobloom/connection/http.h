/* An HTTP task: the listeners and the requests on one thread.
 *
 * Several run in one process; each owns its connections and requests. Only
 * the first serves the platform and the operators. */
#ifndef CAROBLOOM_CONNECTION_HTTP_H
#define CAROBLOOM_CONNECTION_HTTP_H

#include <libsoup/soup.h>

#include "carobloom/process/messages.h"
#include "carobloom/process/process.h"

struct request;

/* A question to another task whose answer completes an HTTP message. */
typedef void (*call_fn_t)(const reply_message_t *reply, void *data);

typedef struct http {
    process_t *process;
    guint index;
    task_t *task;
    document_t *document; /* in force here */
    SoupServer *callers;
    SoupServer *platform;  /* first task only */
    SoupServer *operators; /* first task only */
    SoupSession *session;  /* towards endpoints */
    struct hangups *hangups;
    GHashTable *requests; /* ticket id -> struct request */
    GHashTable *calls;    /* call id -> call_t */
    GHashTable *teams;    /* team name -> team_usage_t */
    GHashTable *budgets;  /* class name -> retry_budget_t */
    guint64 last_call;
    guint32 last_ticket;
} http_t;

http_t *http_create(process_t *process, guint index);
void http_destroy(http_t *http);
/* Opens the callers' listener; `port` passes an ephemeral port from the
 * first task to the others. Returns 0 or -1 with the fault logged. */
int http_listen(http_t *http, guint16 *port);
void http_begin(void *state);
void http_end(void *state);
void http_handle(void *state, message_t *message);

/* Registers a question; its id goes into the message that asks. */
guint64 http_call_create(http_t *http, call_fn_t fn, void *data);
/* A ticket id no other request of the process has. */
guint64 http_next_ticket(http_t *http);
/* A JSON answer. */
void http_reply_json(SoupServerMessage *message, int status, const char *text,
                     gssize length);

/* Holds `message` until the reply to the returned call comes, which is then
 * its answer. */
guint64 http_call_for(http_t *http, SoupServerMessage *message);

/* Adds the handlers of one listener. */
void callers_register(http_t *http);
void platform_register(http_t *http);
void operators_register(http_t *http);
/* The operator whose key a call carries, or NULL. */
const char *operators_find(http_t *http, SoupServerMessage *message);
void console_register(http_t *http);

/* Gives an engine an order and tells the voter task what came of it. */
void orders_give(http_t *http, const engine_message_t *order);

#endif
