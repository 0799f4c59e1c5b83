#include "carobloom/policy/part_set.h"

enum { BUCKETS_INITIAL = 4 };

void
part_set_clear(part_set_t *s)
{
    g_clear_pointer(&s->buckets, g_free);
    s->count = 0;
}

static guint64 *
bucket_of(const part_set_t *s, guint64 part)
{
    return &s->buckets[part % s->count];
}

/* Parts in different buckets stay in different buckets when the number of
 * buckets doubles. */
static void
set_grow(part_set_t *s)
{
    part_set_t larger = {.count =
                             s->count > 0 ? s->count * 2 : BUCKETS_INITIAL};
    larger.buckets = g_new0(guint64, larger.count);
    for (guint i = 0; i < s->count; i++) {
        if (s->buckets[i] != 0) {
            *bucket_of(&larger, s->buckets[i]) = s->buckets[i];
        }
    }
    part_set_clear(s);
    *s = larger;
}

/* Whether the part's bucket is taken by another part. */
static gboolean
is_collision(const part_set_t *s, guint64 part)
{
    return s->count == 0 ||
           (*bucket_of(s, part) != 0 && *bucket_of(s, part) != part);
}

void
part_set_add(part_set_t *s, guint64 part, guint max_buckets)
{
    while (s->count < max_buckets && is_collision(s, part)) {
        set_grow(s);
    }
    if (s->count > 0) {
        *bucket_of(s, part) = part;
    }
}

gboolean
part_set_has(const part_set_t *s, guint64 part)
{
    return s->count > 0 && *bucket_of(s, part) == part;
}
