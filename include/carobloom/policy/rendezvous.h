/* Rendezvous hashing (highest random weight): assigns keys to members.
 *
 * When a member leaves, only the keys that it owned move. */
#ifndef CAROBLOOM_POLICY_RENDEZVOUS_H
#define CAROBLOOM_POLICY_RENDEZVOUS_H

#include <glib.h>

#include "carobloom/common/str.h"

/* A stable 64-bit hash of text (XXH3), the same on every machine. */
guint64 hash_text(str_t text);
/* The weight of a member for a key. The member with the highest weight owns
 * the key. */
guint64 hash_pair(guint64 key, guint64 member);
/* The index of the member that owns `key`, or -1 when there is none. */
gssize rendezvous_owner(guint64 key, const guint64 *members, gsize count);

#endif
