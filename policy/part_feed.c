#include "carobloom/policy/part_feed.h"

struct part_feed {
    part_copy_t copies[PART_FEED_MAX]; /* a ring; record n at n modulo size */
    guint64 added;
};

part_feed_t *
part_feed_create(void)
{
    return g_new0(part_feed_t, 1);
}

void
part_feed_destroy(part_feed_t *f)
{
    g_free(f);
}

void
part_feed_add(part_feed_t *f, const GArray *copies)
{
    for (guint i = 0; i < copies->len; i++) {
        f->copies[f->added % PART_FEED_MAX] =
            g_array_index(copies, part_copy_t, i);
        f->added++;
    }
}

GArray *
part_feed_since(const part_feed_t *f, guint64 *received)
{
    GArray *copies = g_array_new(FALSE, FALSE, sizeof(part_copy_t));
    guint64 available = MIN(f->added, PART_FEED_MAX);
    guint64 first = *received <= f->added ? *received : 0;
    first = MAX(first, f->added - available);
    for (guint64 i = first; i < f->added; i++) {
        g_array_append_val(copies, f->copies[i % PART_FEED_MAX]);
    }
    *received = f->added;
    return copies;
}
