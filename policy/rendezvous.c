#include "carobloom/policy/rendezvous.h"

#include <xxhash.h>

guint64
hash_text(str_t text)
{
    return XXH3_64bits(text.data, text.length);
}

guint64
hash_pair(guint64 key, guint64 member)
{
    guint64 pair[2] = {key, member};
    return XXH3_64bits(pair, sizeof(pair));
}

gssize
rendezvous_owner(guint64 key, const guint64 *members, gsize count)
{
    gssize best = -1;
    guint64 best_weight = 0;
    for (gsize i = 0; i < count; i++) {
        guint64 weight = hash_pair(key, members[i]);
        if (best < 0 || weight > best_weight) {
            best = (gssize)i;
            best_weight = weight;
        }
    }
    return best;
}
