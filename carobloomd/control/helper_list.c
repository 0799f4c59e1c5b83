/* Entry instances as they announced themselves, and a few of them for each
 * that asks. */
#include "carobloom/gateway/helper_wire.h"
#include "control_state.h"

enum { LOCAL_MAX = HELPERS_MAX / 2 }; /* of the data centre of who asks */

typedef struct {
    helper_info_t info;
    gboolean can_help;
} announced_t;

static void
announced_free(gpointer data)
{
    helper_info_clear(&((announced_t *)data)->info);
    g_free(data);
}

GHashTable *
helper_list_create(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                 announced_free);
}

static void
record_announcement(control_t *c, helpers_request_t *request)
{
    announced_t *announced = g_new0(announced_t, 1);
    announced->info = request->self;
    announced->can_help =
        request->can_help && request->self.address[0] != '\0';
    request->self = (helper_info_t){0};
    /* The key belongs to the value. */
    g_hash_table_replace(c->helpers, announced->info.instance, announced);
}

static gboolean
may_help(const control_t *c, const announced_t *announced, const char *asker)
{
    return announced->can_help &&
           g_strcmp0(announced->info.instance, asker) != 0 &&
           is_active_entry(c, announced->info.instance);
}

/* Keeps a uniform sample of at most `most` of `seen` instances. */
static void
sample_add(GPtrArray *sample, guint most, guint seen, gpointer info)
{
    if (sample->len < most) {
        g_ptr_array_add(sample, info);
        return;
    }
    guint at = (guint)g_random_int_range(0, (gint)seen);
    if (at < most) {
        sample->pdata[at] = info;
    }
}

/* Instances of the asker's data centre and of others, since a whole data
 * centre may be cut off. */
static GPtrArray *
choose_helpers(const control_t *c, const helper_info_t *asker)
{
    GHashTableIter iter;
    gpointer value;
    guint local_seen = 0;
    guint others_seen = 0;
    GPtrArray *chosen = g_ptr_array_new();
    GPtrArray *others = g_ptr_array_new();
    g_hash_table_iter_init(&iter, c->helpers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        announced_t *announced = value;
        if (!may_help(c, announced, asker->instance)) {
            continue;
        }
        if (g_strcmp0(announced->info.data_centre, asker->data_centre) == 0) {
            sample_add(chosen, LOCAL_MAX, ++local_seen, &announced->info);
        }
        else {
            sample_add(others, HELPERS_MAX, ++others_seen, &announced->info);
        }
    }
    for (guint i = 0; i < others->len && chosen->len < HELPERS_MAX; i++) {
        g_ptr_array_add(chosen, others->pdata[i]);
    }
    g_ptr_array_unref(others);
    return chosen;
}

void
handle_helpers(control_t *c, http_exchange_t *exchange)
{
    GBytes *bytes = posted_bytes(exchange);
    helpers_request_t request;
    gboolean valid = helpers_request_read(bytes, &request);
    g_bytes_unref(bytes);
    if (!valid) {
        answer_json(exchange, 400, "{\"error\":\"malformed\"}");
        return;
    }
    GPtrArray *chosen = choose_helpers(c, &request.self);
    bytes = helpers_answer_write(chosen);
    g_ptr_array_unref(chosen);
    record_announcement(c, &request);
    helpers_request_clear(&request);
    http_exchange_answer(exchange, 200, STR(""), str_from_bytes(bytes));
    g_bytes_unref(bytes);
}
