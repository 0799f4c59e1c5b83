/* The client's commands: one file each, looked up by name. */
#ifndef CAROBLOOM_COMMAND_H
#define CAROBLOOM_COMMAND_H

#include <glib.h>
#include <jansson.h>

/* Where to ask and how to print. */
typedef struct {
    const char *address; /* of an instance's operators' listener */
    const char *key;
    gboolean tls;
    gboolean json; /* print what came as it is */
    int argc;      /* the command's own arguments */
    char **argv;
} context_t;

/* How a command ended; `error` is for the user and is freed with g_free. */
typedef struct {
    int code; /* the exit code */
    char *error;
} result_t;

#define RESULT_OK ((result_t){.code = 0})
result_t result_error(int code, const char *format, ...) G_GNUC_PRINTF(2, 3);

/* Asks an instance. On success `root` gets the answer, with its text where
 * `text` is not NULL. */
result_t client_ask(const context_t *context, const char *method,
                    const char *path, const char *body, json_t **root,
                    char **text);

result_t command_capacity(const context_t *context);
result_t command_check(const context_t *context);
result_t command_document(const context_t *context);
result_t command_drain(const context_t *context);
result_t command_dump(const context_t *context);
result_t command_endpoints(const context_t *context);
result_t command_history(const context_t *context);
result_t command_order(const context_t *context);
result_t command_status(const context_t *context);
result_t command_usage(const context_t *context);

#endif
