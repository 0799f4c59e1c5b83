/* The page that lists the endpoints known to an entry instance, for
 * operators. */
#include <jansson.h>

#include "carobloom/common/clock.h"
#include "entry_state.h"

enum { MS = 1000 };

static json_int_t
age_ms(gint64 at_us)
{
    return at_us != 0 ? (json_int_t)((clock_boot_us() - at_us) / MS) : -1;
}

static json_t *
limit_json(const entry_t *e, const endpoint_t *endpoint)
{
    const endpoint_limit_t *l = endpoint->limit;
    const char *owner = limit_link_owner(e->limit_link, endpoint);
    if (l == NULL) {
        return json_null();
    }
    return json_pack(
        "{s:b,s:f,s:I,s:I,s:I,s:I,s:I,s:s,s:b}", "in_force", l->limited,
        "requests_a_second", l->rate, "granted", (json_int_t)l->tokens, "sent",
        (json_int_t)l->sends, "kept_away", (json_int_t)l->denied, "instances",
        (json_int_t)instance_count_get(&e->sharing_instances), "told_ms_ago",
        age_ms(MAX(l->rate_received_us, l->owner_rate_us)), "owner",
        owner != NULL ? owner : "", "owner_answers",
        l->ownerless_send_us == 0);
}

static const char *
state_name(const endpoint_t *endpoint, gint64 now_us)
{
    if (endpoint->draining) {
        return "draining";
    }
    if (!endpoint_usable(endpoint, now_us)) {
        return "unusable";
    }
    if (endpoint_rest_is_active(&endpoint->rest, clock_boot_us())) {
        return "resting";
    }
    return endpoint_available(endpoint, now_us) ? "open" : "closed";
}

static json_t *
endpoint_json(const entry_t *e, const endpoint_t *endpoint)
{
    gint64 now = entry_now(e);
    const char *state = state_name(endpoint, now);
    gint64 rest_us = endpoint_rest_left_us(&endpoint->rest, clock_boot_us());
    return json_pack("{s:s,s:s,s:s,s:s,s:s,s:I,s:I,s:I,s:o}", "endpoint",
                     endpoint->id, "service", endpoint->service, "address",
                     endpoint->address, "data_centre", endpoint->data_centre,
                     "state", state, "slots", (json_int_t)endpoint->slots,
                     "running", (json_int_t)endpoint_running(endpoint),
                     "rest_left_ms", (json_int_t)(rest_us / MS), "limit",
                     limit_json(e, endpoint));
}

static void
append_service(const char *service, const GPtrArray *endpoints, void *user)
{
    (void)service;
    void **context = user;
    const entry_t *e = context[0];
    for (guint i = 0; i < endpoints->len; i++) {
        json_array_append_new(context[1],
                              endpoint_json(e, endpoints->pdata[i]));
    }
}

char *
entry_endpoints(const entry_t *e)
{
    json_t *rows = json_array();
    void *context[] = {(void *)e, rows};
    directory_each_service(e->directory, append_service, context);
    json_t *root = json_pack("{s:o}", "gateway", rows);
    char *text = json_dumps(root, JSON_COMPACT);
    char *copy = g_strdup(text);
    free(text);
    json_decref(root);
    return copy;
}
