#include "carobloom/policy/part_feed.h"

struct part_feed {
    part_copy_t notes[PART_FEED_MAX]; /* the one added as nth at n modulo */
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
part_feed_add(part_feed_t *f, const GArray *notes)
{
    for (guint i = 0; i < notes->len; i++) {
        f->notes[f->added % PART_FEED_MAX] =
            g_array_index(notes, part_copy_t, i);
        f->added++;
    }
}

GArray *
part_feed_since(const part_feed_t *f, guint64 *heard)
{
    GArray *notes = g_array_new(FALSE, FALSE, sizeof(part_copy_t));
    guint64 kept = MIN(f->added, PART_FEED_MAX);
    guint64 from = *heard <= f->added ? *heard : 0;
    from = MAX(from, f->added - kept);
    for (guint64 i = from; i < f->added; i++) {
        g_array_append_val(notes, f->notes[i % PART_FEED_MAX]);
    }
    *heard = f->added;
    return notes;
}
