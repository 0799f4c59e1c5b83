#include <stdio.h>

#include "command.h"

static void
print_member(json_t *m)
{
    printf("  %-20s %-8s %-14s %-10s %s%s%s\n",
           json_string_value(json_object_get(m, "name")),
           json_string_value(json_object_get(m, "state")),
           json_string_value(json_object_get(m, "data_centre")),
           json_string_value(json_object_get(m, "region")),
           json_string_value(json_object_get(m, "address")),
           json_is_true(json_object_get(m, "control")) ? " control" : "",
           json_is_true(json_object_get(m, "draining")) ? " draining" : "");
}

static void
print_voter(json_t *voter)
{
    if (!json_is_object(voter)) {
        printf("voter: no\n");
        return;
    }
    printf("voter: %s, term %" JSON_INTEGER_FORMAT
           ", commit %" JSON_INTEGER_FORMAT "%s, with",
           json_string_value(json_object_get(voter, "role")),
           json_integer_value(json_object_get(voter, "term")),
           json_integer_value(json_object_get(voter, "commit")),
           json_is_true(json_object_get(voter, "failed")) ? ", DISK FAILED"
                                                          : "");
    size_t index;
    json_t *m;
    json_array_foreach(json_object_get(voter, "members"), index, m)
    {
        printf(" %s%s", json_string_value(json_object_get(m, "name")),
               json_is_true(json_object_get(m, "learner")) ? "(learner)" : "");
    }
    printf("\n");
}

result_t
command_status(const context_t *context)
{
    json_t *root = NULL;
    char *text = NULL;
    result_t result =
        client_ask(context, "GET", "/api/status", NULL, &root, &text);
    if (result.code == 0 && context->json) {
        printf("%s\n", text);
    }
    else if (result.code == 0) {
        json_t *self = json_object_get(root, "self");
        json_t *document = json_object_get(root, "document");
        printf("instance %s in %s, %s, %d in flight, up %d s\n",
               json_string_value(json_object_get(self, "instance")),
               json_string_value(json_object_get(self, "data_centre")),
               json_is_true(json_object_get(self, "ready")) ? "ready"
                                                            : "not ready",
               (int)json_integer_value(json_object_get(self, "in_flight")),
               (int)json_integer_value(json_object_get(self, "up_s")));
        printf("document: version %" JSON_INTEGER_FORMAT "%s\n",
               json_integer_value(json_object_get(document, "version")),
               json_is_true(json_object_get(document, "confirmed"))
                   ? ""
                   : ", not confirmed by a quorum");
        print_voter(json_object_get(document, "voter"));
        size_t index;
        json_t *m;
        json_array_foreach(
            json_object_get(json_object_get(root, "peers"), "members"), index,
            m)
        {
            print_member(m);
        }
    }
    json_decref(root);
    g_free(text);
    return result;
}
