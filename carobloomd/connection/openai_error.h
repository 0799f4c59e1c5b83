/* Private to the listeners: errors in the OpenAI form. */
#ifndef CAROBLOOMD_CONNECTION_OPENAI_ERROR_H
#define CAROBLOOMD_CONNECTION_OPENAI_ERROR_H

#include <libsoup/soup.h>

#include "carobloom/policy/lifecycle.h"

/* {"error":{"message","type","code","outcome"}}; freed with g_free. */
char *openai_error_text(int status, const char *type, const char *text,
                        outcome_t outcome);
/* Answers with it, and with the outcome and Retry-After as headers. */
void openai_error_reply(SoupServerMessage *message, int status,
                        const char *type, const char *text, outcome_t outcome,
                        gint64 retry_after_us);

#endif
