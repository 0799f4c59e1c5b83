#include <stdio.h>

#include "command.h"

static void
print_endpoint(json_t *e)
{
    printf("  %-22s %-10s %4d/%-4d %-8s %7.1f ms/token  seen %d ms ago%s\n",
           json_string_value(json_object_get(e, "address")),
           json_string_value(json_object_get(e, "protocol")),
           (int)json_integer_value(json_object_get(e, "in_flight")),
           (int)json_integer_value(json_object_get(e, "slots")),
           json_string_value(json_object_get(e, "health")),
           json_number_value(json_object_get(e, "token_us")) / 1000,
           (int)json_integer_value(json_object_get(e, "seen_ms_ago")),
           json_is_true(json_object_get(e, "fencing")) ? "  fencing" : "");
}

static void
print_class(json_t *c)
{
    printf("  class %-14s waiting %5d running %5d refused %6d preempted %5d "
           "longest wait %d ms, a new one would wait %d ms\n",
           json_string_value(json_object_get(c, "class")),
           (int)json_integer_value(json_object_get(c, "waiting")),
           (int)json_integer_value(json_object_get(c, "running")),
           (int)json_integer_value(json_object_get(c, "refused")),
           (int)json_integer_value(json_object_get(c, "preempted")),
           (int)json_integer_value(json_object_get(c, "longest_wait_ms")),
           (int)json_integer_value(json_object_get(c, "expected_wait_ms")));
}

static void
print_pool(json_t *pool)
{
    size_t index;
    json_t *item;
    printf("pool %s: %d of %d slots free\n",
           json_string_value(json_object_get(pool, "pool")),
           (int)json_integer_value(json_object_get(pool, "free")),
           (int)json_integer_value(json_object_get(pool, "slots")));
    json_array_foreach(json_object_get(pool, "classes"), index, item)
    {
        print_class(item);
    }
    json_array_foreach(json_object_get(pool, "endpoints"), index, item)
    {
        print_endpoint(item);
    }
}

static void
print_limit(json_t *limit)
{
    if (!json_is_object(limit)) {
        return;
    }
    printf("      limit %s: %.2f a second over %d instances, %d granted here, "
           "%d sent, %d kept away, told %d ms ago, owner %s%s\n",
           json_is_true(json_object_get(limit, "in_force")) ? "in force"
                                                            : "lifted",
           json_number_value(json_object_get(limit, "requests_a_second")),
           (int)json_integer_value(json_object_get(limit, "instances")),
           (int)json_integer_value(json_object_get(limit, "granted")),
           (int)json_integer_value(json_object_get(limit, "sent")),
           (int)json_integer_value(json_object_get(limit, "kept_away")),
           (int)json_integer_value(json_object_get(limit, "told_ms_ago")),
           json_string_value(json_object_get(limit, "owner")),
           json_is_true(json_object_get(limit, "owner_answers"))
               ? ""
               : ", which does not answer");
}

/* An endpoint of the gateway. */
static void
print_leased(json_t *e)
{
    printf("  %-24s %-14s %-22s %-14s %4d/%-4d %s\n",
           json_string_value(json_object_get(e, "endpoint")),
           json_string_value(json_object_get(e, "service")),
           json_string_value(json_object_get(e, "address")),
           json_string_value(json_object_get(e, "data_centre")),
           (int)json_integer_value(json_object_get(e, "running")),
           (int)json_integer_value(json_object_get(e, "slots")),
           json_string_value(json_object_get(e, "state")));
    json_int_t rest_ms =
        json_integer_value(json_object_get(e, "rest_left_ms"));
    if (rest_ms > 0) {
        printf("      asked for rest, %d ms left\n", (int)rest_ms);
    }
    print_limit(json_object_get(e, "limit"));
}

static void
print_all(json_t *root)
{
    size_t index;
    json_t *item;
    json_t *leased = json_object_get(root, "gateway");
    json_t *pools = json_object_get(json_object_get(root, "policy"), "pools");
    json_array_foreach(leased, index, item)
    {
        print_leased(item);
    }
    json_array_foreach(pools, index, item)
    {
        print_pool(item);
    }
    if (leased == NULL && json_array_size(pools) == 0) {
        printf("this instance owns no pool\n");
    }
}

result_t
command_endpoints(const context_t *context)
{
    json_t *root = NULL;
    char *text = NULL;
    result_t result =
        client_ask(context, "GET", "/api/endpoints", NULL, &root, &text);
    if (result.code == 0 && context->json) {
        printf("%s\n", text);
    }
    else if (result.code == 0) {
        print_all(root);
    }
    json_decref(root);
    g_free(text);
    return result;
}
