#include <stdio.h>

#include "command.h"

result_t
command_dump(const context_t *context)
{
    char *text = NULL;
    result_t result =
        client_ask(context, "GET", "/api/dump", NULL, NULL, &text);
    if (result.code == 0) {
        printf("%s\n", text);
    }
    g_free(text);
    return result;
}
