#include "carobloom/policy/site_clock.h"

enum {
    /* Older samples are left out. This is the time of six reports, so that a
     * clock that was adjusted counts with its new time. */
    SAMPLE_MAX_AGE_US = 3 * G_USEC_PER_SEC,
};

/* Last reading of an instance's clock. */
typedef struct {
    gint64 offset_us; /* its time of day minus `now_us` */
    gint64 sampled_us;
} clock_sample_t;

struct site_clock {
    GHashTable *samples; /* instance -> clock_sample_t */
};

site_clock_t *
site_clock_create(void)
{
    site_clock_t *c = g_new0(site_clock_t, 1);
    c->samples =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return c;
}

void
site_clock_destroy(site_clock_t *c)
{
    g_hash_table_unref(c->samples);
    g_free(c);
}

void
site_clock_record(site_clock_t *c, const char *instance, gint64 wall_us,
                  gint64 now_us)
{
    clock_sample_t sample = {.offset_us = wall_us - now_us,
                             .sampled_us = now_us};
    g_hash_table_replace(c->samples, g_strdup(instance),
                         g_memdup2(&sample, sizeof(sample)));
}

static gboolean
is_expired(gpointer key, gpointer value, gpointer now_us)
{
    (void)key;
    const clock_sample_t *sample = value;
    return *(gint64 *)now_us - sample->sampled_us > SAMPLE_MAX_AGE_US;
}

static gint
by_value(gconstpointer a, gconstpointer b)
{
    gint64 x = *(const gint64 *)a;
    gint64 y = *(const gint64 *)b;
    return x < y ? -1 : x > y;
}

gint64
site_clock_wall_us(site_clock_t *c, gint64 own_wall_us, gint64 now_us)
{
    GHashTableIter iter;
    gpointer value;
    gint64 own = own_wall_us - now_us;
    g_hash_table_foreach_remove(c->samples, is_expired, &now_us);
    GArray *all = g_array_new(FALSE, FALSE, sizeof(gint64));
    g_array_append_val(all, own);
    g_hash_table_iter_init(&iter, c->samples);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        g_array_append_val(all, ((clock_sample_t *)value)->offset_us);
    }
    g_array_sort(all, by_value);
    /* For an even number, the lower of the two in the middle: their mean would
     * be shifted by one wrong clock. */
    gint64 median = g_array_index(all, gint64, (all->len - 1) / 2);
    g_array_unref(all);
    return now_us + median;
}

guint
site_clock_count(const site_clock_t *c)
{
    return g_hash_table_size(c->samples) + 1;
}
