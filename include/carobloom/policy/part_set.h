/* Prompt parts that an endpoint was sent lately.
 *
 * A part has one place, by its number; a later one that falls on the same
 * place takes it. The set grows while parts fall on each other, up to a bound
 * that the caller sets, so that an endpoint that is sent few parts costs few
 * bytes. Pure. */
#ifndef CAROBLOOM_POLICY_PART_SET_H
#define CAROBLOOM_POLICY_PART_SET_H

#include <glib.h>

/* Zero-filled: empty. */
typedef struct {
    guint64 *buckets; /* a part each; 0: none */
    guint count;      /* of buckets: none or a power of two */
} part_set_t;

void part_set_clear(part_set_t *set);
/* Adds a part, with `most` buckets at most (a power of two). */
void part_set_add(part_set_t *set, guint64 part, guint max_buckets);
gboolean part_set_has(const part_set_t *set, guint64 part);

#endif
