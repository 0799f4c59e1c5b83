#include "carobloom/policy/usage_ledger.h"

struct usage_ledger {
    GArray *windows; /* finalized_window_t, by window */
    guint64 finalized_through;
};

static void
finalized_clear(gpointer data)
{
    usage_window_free(((finalized_window_t *)data)->figures);
}

usage_ledger_t *
usage_ledger_create(void)
{
    usage_ledger_t *l = g_new0(usage_ledger_t, 1);
    l->windows = g_array_new(FALSE, FALSE, sizeof(finalized_window_t));
    g_array_set_clear_func(l->windows, finalized_clear);
    return l;
}

void
usage_ledger_destroy(usage_ledger_t *l)
{
    g_array_unref(l->windows);
    g_free(l);
}

gboolean
usage_ledger_finalize(usage_ledger_t *l, usage_window_t *figures)
{
    if (l->finalized_through != 0 && figures->window <= l->finalized_through) {
        usage_window_free(figures);
        return FALSE;
    }
    usage_ledger_restore(l, figures, FALSE);
    return TRUE;
}

void
usage_ledger_restore(usage_ledger_t *l, usage_window_t *figures,
                     gboolean accepted)
{
    finalized_window_t finalized = {.figures = figures, .accepted = accepted};
    l->finalized_through = MAX(l->finalized_through, figures->window);
    g_array_append_val(l->windows, finalized);
    if (l->windows->len > USAGE_WINDOWS_MAX) {
        g_array_remove_index(l->windows, 0);
    }
}

void
usage_ledger_mark_accepted(usage_ledger_t *l, guint64 window)
{
    for (guint i = 0; i < l->windows->len; i++) {
        finalized_window_t *finalized =
            &g_array_index(l->windows, finalized_window_t, i);
        finalized->accepted |= finalized->figures->window == window;
    }
}

guint64
usage_ledger_finalized_through(const usage_ledger_t *l)
{
    return l->finalized_through;
}

const usage_window_t *
usage_ledger_next_unaccepted(const usage_ledger_t *l, guint64 after)
{
    for (guint i = 0; i < l->windows->len; i++) {
        const finalized_window_t *finalized =
            &g_array_index(l->windows, finalized_window_t, i);
        if (!finalized->accepted && finalized->figures->window > after) {
            return finalized->figures;
        }
    }
    return NULL;
}

const GArray *
usage_ledger_windows(const usage_ledger_t *l)
{
    return l->windows;
}
