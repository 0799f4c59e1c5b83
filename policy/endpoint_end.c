#include "carobloom/policy/endpoint_end.h"

static void
run_clear(gpointer data)
{
    interrupted_run_t *run = data;
    g_clear_pointer(&run->parts, g_array_unref);
}

void
endpoint_end_init(endpoint_end_t *end, const char *endpoint,
                  const char *service, gint64 started_ms)
{
    *end = (endpoint_end_t){
        .endpoint = g_strdup(endpoint),
        .service = g_strdup(service),
        .started_ms = started_ms,
        .runs = g_array_new(FALSE, FALSE, sizeof(interrupted_run_t)),
    };
    g_array_set_clear_func(end->runs, run_clear);
}

void
endpoint_end_clear(endpoint_end_t *end)
{
    g_clear_pointer(&end->endpoint, g_free);
    g_clear_pointer(&end->service, g_free);
    g_clear_pointer(&end->runs, g_array_unref);
}

gboolean
endpoint_end_add(endpoint_end_t *end, interrupted_run_t run)
{
    for (guint i = 0; i < end->runs->len; i++) {
        if (g_array_index(end->runs, interrupted_run_t, i).fingerprint ==
            run.fingerprint) {
            return FALSE;
        }
    }
    if (run.parts != NULL &&
        end->part_count + run.parts->len > ENDPOINT_PARTS_MAX) {
        run.parts = NULL;
    }
    if (run.parts != NULL) {
        end->part_count += run.parts->len;
        g_array_ref(run.parts);
    }
    g_array_append_val(end->runs, run);
    return TRUE;
}

void
endpoint_end_copy(endpoint_end_t *copy, const endpoint_end_t *end)
{
    endpoint_end_init(copy, end->endpoint, end->service, end->started_ms);
    for (guint i = 0; i < end->runs->len; i++) {
        endpoint_end_add(copy, g_array_index(end->runs, interrupted_run_t, i));
    }
}
