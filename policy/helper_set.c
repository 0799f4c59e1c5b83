#include "carobloom/policy/helper_set.h"

#include <string.h>

enum {
    BACKOFF_MIN_US = 200 * 1000,
    BACKOFF_MAX_US = 2000 * 1000,
};

struct helper_set {
    char *data_centre;
    GPtrArray *helpers; /* helper_t */
};

void
helper_info_clear(helper_info_t *info)
{
    g_free(info->instance);
    g_free(info->address);
    g_free(info->data_centre);
    *info = (helper_info_t){0};
}

static void
helper_free(gpointer data)
{
    helper_info_clear(&((helper_t *)data)->info);
    g_free(data);
}

helper_set_t *
helper_set_create(const char *data_centre)
{
    helper_set_t *set = g_new0(helper_set_t, 1);
    set->data_centre = g_strdup(data_centre);
    set->helpers = g_ptr_array_new_with_free_func(helper_free);
    return set;
}

void
helper_set_destroy(helper_set_t *set)
{
    g_ptr_array_unref(set->helpers);
    g_free(set->data_centre);
    g_free(set);
}

static void
helper_set_put(helper_set_t *set, helper_info_t *info)
{
    helper_t *helper = helper_set_find(set, info->address);
    if (helper == NULL) {
        helper = g_new0(helper_t, 1);
        g_ptr_array_add(set->helpers, helper);
    }
    else if (helper->info.token != info->token) {
        helper->unusable_until_us = 0; /* it started again */
        helper->backoff_us = 0;
    }
    helper_info_clear(&helper->info);
    helper->info = *info;
    helper->named = TRUE;
    helper->local = g_strcmp0(info->data_centre, set->data_centre) == 0;
    *info = (helper_info_t){0};
}

void
helper_set_update(helper_set_t *set, helper_info_t *infos, guint count)
{
    for (guint i = 0; i < set->helpers->len; i++) {
        ((helper_t *)set->helpers->pdata[i])->named = FALSE;
    }
    for (guint i = 0; i < count; i++) {
        helper_set_put(set, &infos[i]);
    }
    for (guint i = set->helpers->len; i > 0 && set->helpers->len > HELPERS_MAX;
         i--) {
        const helper_t *helper = set->helpers->pdata[i - 1];
        if (helper->tunnels == 0 && !helper->named) {
            g_ptr_array_remove_index(set->helpers, i - 1);
        }
    }
}

guint
helper_set_count(const helper_set_t *set)
{
    return set->helpers->len;
}

const helper_t *
helper_set_at(const helper_set_t *set, guint at)
{
    return set->helpers->pdata[at];
}

static gboolean
is_better(const helper_t *helper, const helper_t *than)
{
    if (than == NULL || helper->named != than->named) {
        return than == NULL || helper->named;
    }
    if (helper->local != than->local) {
        return helper->local;
    }
    return helper->tunnels < than->tunnels;
}

helper_t *
helper_set_pick(const helper_set_t *set, guint32 draw, gint64 now_us)
{
    helper_t *best = NULL;
    guint count = set->helpers->len;
    for (guint i = 0; i < count; i++) {
        helper_t *helper = set->helpers->pdata[(draw + i) % count];
        if (now_us >= helper->unusable_until_us && is_better(helper, best)) {
            best = helper;
        }
    }
    return best;
}

helper_t *
helper_set_find(const helper_set_t *set, const char *address)
{
    for (guint i = 0; i < set->helpers->len; i++) {
        helper_t *helper = set->helpers->pdata[i];
        if (strcmp(helper->info.address, address) == 0) {
            return helper;
        }
    }
    return NULL;
}

void
helper_record_failed(helper_t *helper, gint64 now_us)
{
    if (now_us < helper->unusable_until_us) {
        return;
    }
    helper->backoff_us =
        CLAMP(helper->backoff_us * 2, BACKOFF_MIN_US, BACKOFF_MAX_US);
    helper->unusable_until_us = now_us + helper->backoff_us;
}
