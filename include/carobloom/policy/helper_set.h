/* Other entry instances through which this one can reach endpoints.
 *
 * An instance knows a few of them, as a control instance named them. It
 * prefers those that were named last, then those of its own data centre, and
 * among these the one with the fewest of its own requests. Pure. */
#ifndef CAROBLOOM_POLICY_HELPER_SET_H
#define CAROBLOOM_POLICY_HELPER_SET_H

#include <glib.h>

enum { HELPERS_MAX = 8 };

typedef struct {
    char *instance;
    char *address; /* IP:PORT of its tunnel listener */
    char *data_centre;
    guint64 token; /* that it accepts tunnels with */
} helper_info_t;

void helper_info_clear(helper_info_t *info);

typedef struct {
    helper_info_t info;
    gboolean named;           /* by the last answer of a control instance */
    gboolean local;           /* in the data centre of this instance */
    gint64 unusable_until_us; /* it refused, or could not be reached */
    gint64 backoff_us;        /* length of that pause; doubles */
    guint tunnels;            /* requests of this instance in tunnels there */
} helper_t;

typedef struct helper_set helper_set_t;

helper_set_t *helper_set_create(const char *data_centre);
void helper_set_destroy(helper_set_t *set);
/* Adds the helpers that a control instance named. Others stay as a last resort
 * while there are no more than HELPERS_MAX, since a control instance that has
 * just started knows few. Takes the strings over. */
void helper_set_update(helper_set_t *set, helper_info_t *infos, guint count);
guint helper_set_count(const helper_set_t *set);
const helper_t *helper_set_at(const helper_set_t *set, guint at);
/* Returns NULL if none is usable. `draw` is random. */
helper_t *helper_set_pick(const helper_set_t *set, guint32 draw,
                          gint64 now_us);
/* The helper at that address, or NULL. */
helper_t *helper_set_find(const helper_set_t *set, const char *address);
/* It refused a tunnel, or did not answer. */
void helper_record_failed(helper_t *helper, gint64 now_us);

#endif
