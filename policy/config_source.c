#include "carobloom/policy/config_source.h"

gboolean
config_source_asks(const config_source_t *sources, guint count, guint at)
{
    if (sources[at].leads && sources[at].usable) {
        return TRUE;
    }
    for (guint i = 0; i < count; i++) {
        const config_source_t *other = &sources[i];
        if (i == at) {
            continue;
        }
        /* One that does not answer is not waited for if another one does. */
        gboolean preferred =
            sources[at].usable
                ? other->usable && (other->leads || other->asked)
                : other->usable || other->asked;
        if (preferred) {
            return FALSE;
        }
    }
    return TRUE;
}

/* Whether `a` is to be asked before `b`. */
static gboolean
is_better(const config_source_t *a, const config_source_t *b)
{
    if (a->leads != b->leads) {
        return a->leads;
    }
    if (a->version != b->version) {
        return a->version > b->version;
    }
    if (a->local != b->local) {
        return a->local;
    }
    return a->asked_us < b->asked_us;
}

gint
config_source_substitute(const config_source_t *sources, guint count)
{
    gint best = -1;
    for (guint i = 0; i < count; i++) {
        if (sources[i].usable &&
            (best < 0 || is_better(&sources[i], &sources[best]))) {
            best = (gint)i;
        }
    }
    return best >= 0 && !sources[best].asked ? best : -1;
}
