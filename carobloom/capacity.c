#include <stdio.h>

#include "command.h"

static int
whole(json_t *object, const char *key)
{
    return (int)json_integer_value(json_object_get(object, key));
}

static double
number(json_t *object, const char *key)
{
    return json_number_value(json_object_get(object, key));
}

static void
print_place(json_t *place)
{
    printf("  %-20s price %5.2f  kept %4d wanted %4d ordered %4d ready  "
           "reclaimable %4d wanted %4d ordered %4d ready%s\n",
           json_string_value(json_object_get(place, "data_centre")),
           number(place, "price"), whole(place, "kept_wanted"),
           whole(place, "kept_ordered"), whole(place, "kept_ready"),
           whole(place, "reclaimable_wanted"),
           whole(place, "reclaimable_ordered"),
           whole(place, "reclaimable_ready"),
           json_is_true(json_object_get(place, "none_to_be_had"))
               ? "  none to be had"
               : "");
}

static void
print_service(json_t *service)
{
    size_t index;
    json_t *place;
    printf("service %s, by %s: %d engines planned, %.1f needed now, %.1f at "
           "the peak\n",
           json_string_value(json_object_get(service, "service")),
           json_string_value(json_object_get(service, "way")),
           whole(service, "planned"), number(service, "needed"),
           number(service, "peak"));
    printf("  %.0f requests run, %.1f a second arrive, %.1f are turned away, "
           "%.0f tokens a second are read\n",
           number(service, "running"), number(service, "arrive_a_second"),
           number(service, "turned_away_a_second"),
           number(service, "tokens_read_a_second"));
    json_array_foreach(json_object_get(service, "places"), index, place)
    {
        print_place(place);
    }
}

result_t
command_capacity(const context_t *context)
{
    json_t *root = NULL;
    char *text = NULL;
    size_t index;
    json_t *service;
    result_t result =
        client_ask(context, "GET", "/capacity", NULL, &root, &text);
    if (result.code == 0 && context->json) {
        printf("%s\n", text);
    }
    else if (result.code == 0 &&
             !json_is_true(json_object_get(root, "held"))) {
        printf("engines are ordered by %s\n",
               json_string_value(json_object_get(root, "leader")));
    }
    else if (result.code == 0) {
        json_array_foreach(json_object_get(root, "services"), index, service)
        {
            print_service(service);
        }
    }
    json_decref(root);
    g_free(text);
    return result;
}
