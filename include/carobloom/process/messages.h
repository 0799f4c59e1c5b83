/* The messages between the tasks of one process. */
#ifndef CAROBLOOM_PROCESS_MESSAGES_H
#define CAROBLOOM_PROCESS_MESSAGES_H

#include <glib.h>
#include <jansson.h>

#include "carobloom/common/task.h"
#include "carobloom/policy/scheduler.h"
#include "carobloom/version/document.h"

/* Makes a message on the heap from designated initialisers. */
#define MESSAGE(type_t, ...)                                                  \
    ((message_t *)g_memdup2(&(type_t){__VA_ARGS__}, sizeof(type_t)))

typedef enum {
    /* to an HTTP task */
    HTTP_GRANT,
    HTTP_REFUSE,
    HTTP_PREEMPT,
    HTTP_CLAIMED,
    HTTP_DOCUMENT,
    HTTP_REPLY,
    HTTP_ORDER,
    HTTP_ASK,
    /* to the policy task */
    POLICY_TICKET,
    POLICY_WITHDRAW,
    POLICY_SETTLE,
    POLICY_ENDPOINT,
    POLICY_GOODBYE,
    POLICY_PREFIX,
    POLICY_DOCUMENT,
    POLICY_MEMBERS,
    POLICY_WIRE,
    POLICY_DUMP,
    /* to the peers task */
    PEERS_SEND,
    PEERS_DUMP,
    PEERS_LEAVE,
    PEERS_VERSION,
    /* to the voter task */
    VOTER_WIRE,
    VOTER_SUBMIT,
    VOTER_CLAIM,
    VOTER_FINISH,
    VOTER_HISTORY,
    VOTER_DUMP,
    VOTER_MEMBERS,
    VOTER_HANDOVER,
    VOTER_ORDER,
    VOTER_ORDER_DONE,
    VOTER_VERSION,
} message_type_t;

/* A message with nothing but its type. */
typedef struct {
    message_t base;
} plain_message_t;

void message_free(message_t *message);

/* HTTP_GRANT, HTTP_REFUSE, HTTP_PREEMPT. */
typedef struct {
    message_t base;
    guint64 ticket;
    guint64 endpoint;
    char *address;
    char *protocol;
    refuse_reason_t reason;
    gint64 retry_after_us;
} decision_message_t;

void decision_message_free(message_t *message);

/* POLICY_TICKET: `http` gets the decision. */
typedef struct {
    message_t base;
    ticket_t ticket;
    char *pool;
    task_t *http;
} ticket_message_t;

void ticket_message_free(message_t *message);

/* POLICY_WITHDRAW and POLICY_SETTLE. */
typedef struct {
    message_t base;
    guint64 ticket;
    settlement_t settlement;
} settle_message_t;

/* What an endpoint says of itself. */
typedef struct {
    char *address;
    char *serves;   /* the model or service: its pool */
    char *kind;     /* "model" or "service" */
    char *protocol; /* "openai" or "plain" */
    char *role;
    char *data_centre;
    char *version;
    char **adapters;
    gint64 slots;
    gint64 interval_ms;
    gboolean fencing;
    gint64 running;
    gint64 waiting;
    double token_us;
    gint64 age_ms; /* of the load figures */
} endpoint_info_t;

void endpoint_info_clear(endpoint_info_t *info);

/* POLICY_ENDPOINT. */
typedef struct {
    message_t base;
    endpoint_info_t info;
} endpoint_message_t;

void endpoint_message_free(message_t *message);

/* POLICY_GOODBYE and POLICY_PREFIX. */
typedef struct {
    message_t base;
    char *address;
    char *serves;
    guint64 prefix;
    gboolean present;
} endpoint_event_message_t;

void endpoint_event_message_free(message_t *message);

/* HTTP_DOCUMENT and POLICY_DOCUMENT. */
typedef struct {
    message_t base;
    document_t *document;
} document_message_t;

void document_message_free(message_t *message);

/* HTTP_REPLY: the answer to a question asked under `call`. */
typedef struct {
    message_t base;
    guint64 call;
    int status; /* HTTP status */
    char *text; /* JSON */
    gsize length;
} reply_message_t;

void reply_message_free(message_t *message);
/* Answers a question of an HTTP task with `root`, which is taken over. */
void reply_send(task_t *http, guint64 call, int status, json_t *root);

/* POLICY_DUMP, PEERS_DUMP, VOTER_DUMP, VOTER_HISTORY. */
typedef struct {
    message_t base;
    guint64 call;
    task_t *http;
} ask_message_t;

/* One instance as the others see it. */
typedef struct {
    guint64 id; /* hash of name and incarnation */
    char name[65];
    char region[65];
    char data_centre[65];
    char peers_address[65];
    gboolean control;
    gboolean draining;
    guint64 version; /* the document in force there */
} member_info_t;

/* POLICY_MEMBERS and VOTER_MEMBERS: those alive, this instance included. */
typedef struct {
    message_t base;
    GArray *members; /* member_info_t */
} members_message_t;

void members_message_free(message_t *message);

/* PEERS_SEND, POLICY_WIRE, VOTER_WIRE: bytes to or from a member. */
typedef struct {
    message_t base;
    guint64 member;
    guint8 kind;
    GBytes *bytes;
} wire_message_t;

void wire_message_free(message_t *message);

/* VOTER_SUBMIT: a change of the site document. */
typedef struct {
    message_t base;
    guint64 call;
    task_t *http;
    char *change;
    guint64 base_version;
    char *author;
    char *note;
    char *text;
    gsize length;
} submit_message_t;

void submit_message_free(message_t *message);

/* VOTER_CLAIM and VOTER_FINISH. A finish with status 0 gives it back. */
typedef struct {
    message_t base;
    guint64 call;
    task_t *http;
    char *team;
    char *key;
    guint64 digest; /* of the body */
    guint64 holder; /* the request */
    gint64 keep_s;
    int status;
    char *content_type;
    GBytes *answer;
} claim_message_t;

void claim_message_free(message_t *message);

typedef enum {
    CLAIM_WON,
    CLAIM_HELD,     /* another request runs under this key */
    CLAIM_ANSWERED, /* its answer is kept */
    CLAIM_MISMATCH, /* the key was used with another body */
    CLAIM_UNKNOWN,  /* it was sent, and how it ended is not known */
    CLAIM_NO_QUORUM,
    CLAIM_FULL,
} claim_state_t;

/* HTTP_CLAIMED. */
typedef struct {
    message_t base;
    guint64 call;
    claim_state_t state;
    int status;
    char *content_type;
    GBytes *answer;
} claimed_message_t;

void claimed_message_free(message_t *message);

/* VOTER_ORDER: an order to an engine, from an operator. */
typedef struct {
    message_t base;
    guint64 call;
    task_t *http;
    char *address;
    char *verb; /* load-model, load-adapter, set-version, set-role */
    char *value;
} order_message_t;

void order_message_free(message_t *message);

/* HTTP_ORDER and VOTER_ORDER_DONE: an order on its way to an engine, and what
 * came of it; `status` 0 means that it may or may not have arrived. */
typedef struct {
    message_t base;
    guint64 fence;
    char *address;
    char *verb;
    char *value;
    gint64 latest_us; /* give up by then, monotonic */
    int status;
} engine_message_t;

void engine_message_free(message_t *message);

/* PEERS_VERSION and VOTER_VERSION: the document in force here, or the highest
 * heard of and who has it. */
typedef struct {
    message_t base;
    guint64 version;
    guint64 member;
} version_message_t;

#endif
