#include "carobloom/policy/fingerprint.h"

#include "carobloom/policy/rendezvous.h"

guint64
request_fingerprint(const request_identity_t *identity)
{
    /* Each part is hashed separately, so that text moved from one part to the
     * next gives a different fingerprint. */
    guint64 hash = hash_text(identity->caller);
    hash = hash_pair(hash, hash_text(identity->method));
    hash = hash_pair(hash, hash_text(identity->host));
    hash = hash_pair(hash, hash_text(identity->target));
    hash = hash_pair(hash, hash_text(identity->body));
    return hash != 0 ? hash : 1;
}

guint64
part_fingerprint(str_t service, guint64 part)
{
    guint64 hash = hash_pair(hash_text(service), part);
    return hash != 0 ? hash : 1;
}

void
fingerprint_format(guint64 fingerprint, char text[FINGERPRINT_TEXT_SIZE])
{
    g_snprintf(text, FINGERPRINT_TEXT_SIZE, "%016" G_GINT64_MODIFIER "x",
               fingerprint);
}
