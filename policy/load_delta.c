#include "carobloom/policy/load_delta.h"

struct load_delta {
    GArray *acknowledged; /* loads in the last acknowledged message, or NULL */
    GArray *pending;      /* loads in the message in flight, or NULL */
    guint64 acknowledged_sequence;
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
    g_clear_pointer(&d->acknowledged, g_array_unref);
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
    return d->acknowledged != NULL ? d->acknowledged_sequence : 0;
}

static const endpoint_load_t *
load_or_null(const GArray *loads, guint i)
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
    const endpoint_load_t *old = load_or_null(d->acknowledged, i);
    const endpoint_load_t *current = load_or_null(loads, j);
    while (old != NULL || current != NULL) {
        if (current == NULL ||
            (old != NULL && old->endpoint < current->endpoint)) {
            endpoint_load_t removed = {.endpoint = old->endpoint};
            g_array_append_val(changes, removed);
            old = load_or_null(d->acknowledged, ++i);
            continue;
        }
        gboolean known = old != NULL && old->endpoint == current->endpoint;
        if (!known || !endpoint_load_equal(old, current)) {
            g_array_append_vals(changes, current, 1);
        }
        old = load_or_null(d->acknowledged, known ? ++i : i);
        current = load_or_null(loads, ++j);
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
    g_clear_pointer(&d->acknowledged, g_array_unref);
    d->acknowledged = g_steal_pointer(&d->pending);
    d->acknowledged_sequence = d->pending_sequence;
}

void
load_delta_lost(load_delta_t *d)
{
    g_clear_pointer(&d->pending, g_array_unref);
    g_clear_pointer(&d->acknowledged, g_array_unref);
}
