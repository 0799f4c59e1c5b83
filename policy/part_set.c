#include "carobloom/policy/part_set.h"

enum { PLACES_FIRST = 4 };

void
part_set_clear(part_set_t *s)
{
    g_clear_pointer(&s->buckets, g_free);
    s->count = 0;
}

static guint64 *
place_of(const part_set_t *s, guint64 part)
{
    return &s->buckets[part % s->count];
}

/* Parts that had a place each have one each among twice as many. */
static void
set_grow(part_set_t *s)
{
    part_set_t larger = {.count = s->count > 0 ? s->count * 2 : PLACES_FIRST};
    larger.buckets = g_new0(guint64, larger.count);
    for (guint i = 0; i < s->count; i++) {
        if (s->buckets[i] != 0) {
            *place_of(&larger, s->buckets[i]) = s->buckets[i];
        }
    }
    part_set_clear(s);
    *s = larger;
}

/* Whether the part's place is another's. */
static gboolean
is_crowded(const part_set_t *s, guint64 part)
{
    return s->count == 0 ||
           (*place_of(s, part) != 0 && *place_of(s, part) != part);
}

void
part_set_add(part_set_t *s, guint64 part, guint most)
{
    while (s->count < most && is_crowded(s, part)) {
        set_grow(s);
    }
    if (s->count > 0) {
        *place_of(s, part) = part;
    }
}

gboolean
part_set_has(const part_set_t *s, guint64 part)
{
    return s->count > 0 && *place_of(s, part) == part;
}
