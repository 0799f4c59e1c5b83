#include "carobloom/policy/endpoint_end.h"

void
endpoint_end_init(endpoint_end_t *end, const char *endpoint, gint64 started_ms)
{
    *end = (endpoint_end_t){
        .endpoint = g_strdup(endpoint),
        .started_ms = started_ms,
        .runs = g_array_new(FALSE, FALSE, sizeof(interrupted_run_t)),
    };
}

void
endpoint_end_clear(endpoint_end_t *end)
{
    g_clear_pointer(&end->endpoint, g_free);
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
    g_array_append_val(end->runs, run);
    return TRUE;
}
