#include "carobloom/policy/load_delta.h"

struct load_delta {
    GArray *told;    /* loads as the other has them, or NULL */
    GArray *pending; /* as the message under way says, or NULL */
    guint64 told_sequence;
    guint64 pending_sequence;
    gint64 sent_us;
};

load_delta_t *
load_delta_create(void)
{
    return g_new0(load_delta_t, 1);
}

void
load_delta_destroy(load_delta_t *d)
{
    g_clear_pointer(&d->told, g_array_unref);
    g_clear_pointer(&d->pending, g_array_unref);
    g_free(d);
}

gboolean
load_delta_is_pending(const load_delta_t *d)
{
    return d->pending != NULL;
}

guint64
load_delta_base(const load_delta_t *d)
{
    return d->told != NULL ? d->told_sequence : 0;
}

static const endpoint_load_t *
load_at(const GArray *loads, guint i)
{
    return loads != NULL && i < loads->len
               ? &g_array_index(loads, endpoint_load_t, i)
               : NULL;
}

GArray *
load_delta_changes(const load_delta_t *d, const GArray *loads)
{
    GArray *changes = g_array_new(FALSE, FALSE, sizeof(endpoint_load_t));
    guint i = 0;
    guint j = 0;
    const endpoint_load_t *was = load_at(d->told, i);
    const endpoint_load_t *is = load_at(loads, j);
    while (was != NULL || is != NULL) {
        if (is == NULL || (was != NULL && was->endpoint < is->endpoint)) {
            endpoint_load_t gone = {.endpoint = was->endpoint};
            g_array_append_val(changes, gone);
            was = load_at(d->told, ++i);
            continue;
        }
        gboolean known = was != NULL && was->endpoint == is->endpoint;
        if (!known || !endpoint_load_equal(was, is)) {
            g_array_append_vals(changes, is, 1);
        }
        was = load_at(d->told, known ? ++i : i);
        is = load_at(loads, ++j);
    }
    return changes;
}

void
load_delta_sent(load_delta_t *d, GArray *loads, guint64 sequence,
                gint64 now_us)
{
    g_clear_pointer(&d->pending, g_array_unref);
    d->pending = g_array_ref(loads);
    d->pending_sequence = sequence;
    d->sent_us = now_us;
}

gint64
load_delta_sent_us(const load_delta_t *d)
{
    return d->sent_us;
}

void
load_delta_acknowledged(load_delta_t *d)
{
    if (d->pending == NULL) {
        return;
    }
    g_clear_pointer(&d->told, g_array_unref);
    d->told = g_steal_pointer(&d->pending);
    d->told_sequence = d->pending_sequence;
}

void
load_delta_lost(load_delta_t *d)
{
    g_clear_pointer(&d->pending, g_array_unref);
    g_clear_pointer(&d->told, g_array_unref);
}
