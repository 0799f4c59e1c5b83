#include "carobloom/policy/rendezvous.h"

#include <xxhash.h>

guint64
hash_text(str_t text)
{
    return XXH3_64bits(text.data, text.length);
}

gssize
rendezvous_owner(guint64 key, const guint64 *members, gsize count)
{
    gssize best = -1;
    guint64 best_weight = 0;
    for (gsize i = 0; i < count; i++) {
        guint64 pair[2] = {key, members[i]};
        guint64 weight = XXH3_64bits(pair, sizeof(pair));
        if (best < 0 || weight > best_weight) {
            best = (gssize)i;
            best_weight = weight;
        }
    }
    return best;
}
