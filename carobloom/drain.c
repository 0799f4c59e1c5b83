#include <stdio.h>

#include "command.h"

result_t
command_drain(const context_t *context)
{
    char *text = NULL;
    result_t result =
        client_ask(context, "POST", "/api/drain", NULL, NULL, &text);
    if (result.code == 0) {
        printf("%s\n", text);
    }
    g_free(text);
    return result;
}
