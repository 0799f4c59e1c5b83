#include <stdio.h>

#include "command.h"

result_t
command_order(const context_t *context)
{
    if (context->argc != 3) {
        return result_error(2, "order: needs ADDRESS VERB VALUE");
    }
    json_t *body =
        json_pack("{s:s, s:s, s:s}", "address", context->argv[0], "verb",
                  context->argv[1], "value", context->argv[2]);
    char *text = json_dumps(body, JSON_COMPACT);
    char *answer = NULL;
    result_t result =
        client_ask(context, "POST", "/api/order", text, NULL, &answer);
    if (result.code == 0) {
        printf("%s\n", answer);
    }
    g_free(answer);
    free(text);
    json_decref(body);
    return result;
}
