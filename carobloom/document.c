#include <stdio.h>
#include <string.h>

#include "command.h"

/* Which version is in force, and which instances are behind. */
static result_t
document_status(const context_t *context)
{
    json_t *root = NULL;
    result_t result =
        client_ask(context, "GET", "/api/history", NULL, &root, NULL);
    if (result.code == 0) {
        printf("version %" JSON_INTEGER_FORMAT ", leader %s\n",
               json_integer_value(json_object_get(root, "version")),
               json_string_value(json_object_get(root, "leader")));
        size_t index;
        json_t *item;
        json_t *behind = json_object_get(root, "behind");
        json_array_foreach(behind, index, item)
        {
            printf("behind: %s at %" JSON_INTEGER_FORMAT "\n",
                   json_string_value(json_object_get(item, "instance")),
                   json_integer_value(json_object_get(item, "version")));
        }
        if (json_array_size(behind) == 0) {
            printf("in force at every live instance\n");
        }
    }
    json_decref(root);
    return result;
}

result_t
command_document(const context_t *context)
{
    if (context->argc > 0 && strcmp(context->argv[0], "status") == 0) {
        return document_status(context);
    }
    if (context->argc > 0) {
        return result_error(2, "document: unknown argument %s",
                            context->argv[0]);
    }
    char *text = NULL;
    result_t result =
        client_ask(context, "GET", "/api/document", NULL, NULL, &text);
    if (result.code == 0) {
        printf("%s\n", text);
    }
    g_free(text);
    return result;
}
