#include <stdio.h>

#include "command.h"

static void
print_window(json_t *window, double length_s)
{
    json_int_t number = json_integer_value(json_object_get(window, "window"));
    json_t *teams = json_object_get(window, "teams");
    const char *team;
    json_t *count;
    json_int_t total = 0;
    json_object_foreach(teams, team, count)
    {
        total += json_integer_value(count);
    }
    printf("window %" JSON_INTEGER_FORMAT ", from %.0f, %s: %zu teams, "
           "%" JSON_INTEGER_FORMAT " requests\n",
           number, (double)number * length_s,
           json_string_value(json_object_get(window, "state")),
           json_object_size(teams), total);
    json_object_foreach(teams, team, count)
    {
        printf("  %-24s %8" JSON_INTEGER_FORMAT "\n", team,
               json_integer_value(count));
    }
}

result_t
command_usage(const context_t *context)
{
    json_t *root = NULL;
    char *text = NULL;
    size_t index;
    json_t *window;
    result_t result = client_ask(context, "GET", "/usage", NULL, &root, &text);
    if (result.code == 0 && context->json) {
        printf("%s\n", text);
    }
    else if (result.code == 0) {
        printf("%s, the leader is %s\n",
               json_is_true(json_object_get(root, "held"))
                   ? "this instance tells the platform"
                   : "another instance tells the platform",
               json_string_value(json_object_get(root, "leader")));
        double length_s = json_number_value(json_object_get(root, "window_s"));
        json_array_foreach(json_object_get(root, "windows"), index, window)
        {
            print_window(window, length_s);
        }
    }
    json_decref(root);
    g_free(text);
    return result;
}
