#include "carobloom/policy/usage_ledger.h"

struct usage_ledger {
    GArray *windows; /* fixed_window_t, in order */
    guint64 fixed_through;
};

static void
fixed_clear(gpointer data)
{
    usage_window_free(((fixed_window_t *)data)->figures);
}

usage_ledger_t *
usage_ledger_create(void)
{
    usage_ledger_t *l = g_new0(usage_ledger_t, 1);
    l->windows = g_array_new(FALSE, FALSE, sizeof(fixed_window_t));
    g_array_set_clear_func(l->windows, fixed_clear);
    return l;
}

void
usage_ledger_destroy(usage_ledger_t *l)
{
    g_array_unref(l->windows);
    g_free(l);
}

gboolean
usage_ledger_fix(usage_ledger_t *l, usage_window_t *figures)
{
    if (l->fixed_through != 0 && figures->window <= l->fixed_through) {
        usage_window_free(figures);
        return FALSE;
    }
    usage_ledger_restore(l, figures, FALSE);
    return TRUE;
}

void
usage_ledger_restore(usage_ledger_t *l, usage_window_t *figures,
                     gboolean taken)
{
    fixed_window_t fixed = {.figures = figures, .taken = taken};
    l->fixed_through = MAX(l->fixed_through, figures->window);
    g_array_append_val(l->windows, fixed);
    if (l->windows->len > USAGE_WINDOWS_MAX) {
        g_array_remove_index(l->windows, 0);
    }
}

void
usage_ledger_take(usage_ledger_t *l, guint64 window)
{
    for (guint i = 0; i < l->windows->len; i++) {
        fixed_window_t *fixed = &g_array_index(l->windows, fixed_window_t, i);
        fixed->taken |= fixed->figures->window == window;
    }
}

guint64
usage_ledger_fixed_through(const usage_ledger_t *l)
{
    return l->fixed_through;
}

const usage_window_t *
usage_ledger_untold(const usage_ledger_t *l, guint64 after)
{
    for (guint i = 0; i < l->windows->len; i++) {
        const fixed_window_t *fixed =
            &g_array_index(l->windows, fixed_window_t, i);
        if (!fixed->taken && fixed->figures->window > after) {
            return fixed->figures;
        }
    }
    return NULL;
}

const GArray *
usage_ledger_windows(const usage_ledger_t *l)
{
    return l->windows;
}
