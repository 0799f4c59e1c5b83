/* A stand-in for a model engine or a plain service, for tests and trials.
 *
 * It speaks the endpoints' protocol, announces itself, keeps a log of what it
 * ran, and misbehaves on request. */
#ifndef STANDIN_STANDIN_H
#define STANDIN_STANDIN_H

#include <jansson.h>
#include <libsoup/soup.h>
#include <stdio.h>

/* What FAULT_CUT and its variants send, less what they cut off. */
#define STANDIN_ANSWER                                                        \
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: "         \
    "12\r\n\r\nwhole answer"
#define STANDIN_CHUNKS                                                        \
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: "      \
    "chunked\r\n\r\nc\r\nwhole answer\r\n0\r\n\r\n"
#define STANDIN_UNFRAMED                                                      \
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nwhole answer"

typedef enum {
    FAULT_NONE,
    FAULT_TRUNCATE,     /* a stream ends early, without its end mark */
    FAULT_SWAP,         /* answers carry another attempt's id */
    FAULT_DELAY,        /* the first token comes late */
    FAULT_CLOSE,        /* reads the call and closes */
    FAULT_SILENT,       /* reads the call and never answers */
    FAULT_REFUSE,       /* 503 before running */
    FAULT_STALL,        /* a stream stops halfway, the connection stays */
    FAULT_REPEAT,       /* sends the end of another stream after its own */
    FAULT_CUT,          /* closes after `count` bytes of its next answer */
    FAULT_CUT_CHUNKS,   /* the same, of an answer in chunks */
    FAULT_CUT_UNFRAMED, /* the same, of one that ends with its connection */
} fault_kind_t;

typedef struct {
    char *address;
    char *announced;  /* the address that callers are told */
    char **platforms; /* announces to these, in turn when one fails */
    char *serves;
    char *kind;
    char *version;
    char *role;
    gboolean fencing;
    int slots;
    int token_us;
    int first_us;
    int interval_ms;
    int tokens; /* when the call names no max_tokens */
    FILE *log;
    GMainLoop *loop;
    SoupServer *server;
    SoupSession *session;
    GList *streams;
    guint running;
    fault_kind_t fault;
    int fault_count;
    int cut_at;      /* bytes, of FAULT_CUT */
    gint64 fence;    /* the highest number seen in an order */
    gboolean silent; /* announces no more */
} standin_t;

void engine_register(standin_t *standin);
void announce_start(standin_t *standin);
void announce_goodbye(standin_t *standin);
/* A line in the log of what ran. */
void standin_log(standin_t *standin, const char *what, const char *id,
                 const char *key);

#endif
