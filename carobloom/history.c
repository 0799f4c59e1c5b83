#include <stdio.h>
#include <string.h>
#include <time.h>

#include "command.h"

static void
print_change(json_t *c)
{
    time_t seconds =
        (time_t)(json_integer_value(json_object_get(c, "time_ms")) / 1000);
    struct tm utc;
    char when[32];
    gmtime_r(&seconds, &utc);
    strftime(when, sizeof(when), "%Y-%m-%dT%H:%M:%SZ", &utc);
    printf("%6" JSON_INTEGER_FORMAT "  %s  %-16s %-24s %s\n",
           json_integer_value(json_object_get(c, "version")), when,
           json_string_value(json_object_get(c, "author")),
           json_string_value(json_object_get(c, "change")),
           json_string_value(json_object_get(c, "note")));
}

result_t
command_history(const context_t *context)
{
    json_t *root = NULL;
    char *text = NULL;
    result_t result =
        client_ask(context, "GET", "/api/history", NULL, &root, &text);
    if (result.code == 0 && context->json) {
        printf("%s\n", text);
    }
    else if (result.code == 0) {
        size_t index;
        json_t *change;
        json_array_foreach(json_object_get(root, "changes"), index, change)
        {
            print_change(change);
        }
    }
    json_decref(root);
    g_free(text);
    return result;
}
