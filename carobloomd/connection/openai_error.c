#include "openai_error.h"

#include <jansson.h>
#include <string.h>

char *
openai_error_text(int status, const char *type, const char *text,
                  outcome_t outcome)
{
    json_t *error =
        json_pack("{s:{s:s, s:s, s:i, s:s}}", "error", "message", text, "type",
                  type, "code", status, "outcome", outcome_name(outcome));
    char *result = json_dumps(error, JSON_COMPACT);
    json_decref(error);
    return result;
}

void
openai_error_reply(SoupServerMessage *message, int status, const char *type,
                   const char *text, outcome_t outcome, gint64 retry_after_us)
{
    SoupMessageHeaders *headers =
        soup_server_message_get_response_headers(message);
    soup_message_headers_replace(headers, "Carobloom-Outcome",
                                 outcome_name(outcome));
    if (retry_after_us > 0) {
        gint64 seconds =
            (retry_after_us + G_USEC_PER_SEC - 1) / G_USEC_PER_SEC;
        char *value = g_strdup_printf("%" G_GINT64_FORMAT, seconds);
        soup_message_headers_replace(headers, "Retry-After", value);
        g_free(value);
    }
    char *body = openai_error_text(status, type, text, outcome);
    soup_server_message_set_status(message, (guint)status, NULL);
    soup_server_message_set_response(message, "application/json",
                                     SOUP_MEMORY_COPY, body, strlen(body));
    g_free(body);
}
