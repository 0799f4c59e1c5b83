#include "carobloom/gateway/departure_wire.h"

#include "carobloom/common/codec.h"
#include "carobloom/gateway/sync_wire.h"

#define MESSAGE_TYPE "(stbay)"
#define MESSAGE_FORMAT "(stb@ay)"

GBytes *
departures_write(const departures_t *message)
{
    gboolean packed;
    GBytes *leases = leases_write(message->leases, &packed);
    GBytes *bytes = codec_write(g_variant_new(MESSAGE_FORMAT, message->from,
                                              message->epoch, packed,
                                              codec_bytes(leases)));
    g_bytes_unref(leases);
    return bytes;
}

static gboolean
are_departures(const GPtrArray *leases)
{
    for (guint i = 0; i < leases->len; i++) {
        lease_state_t state = ((endpoint_lease_t *)leases->pdata[i])->state;
        if (state != LEASE_DRAINING && state != LEASE_LEFT) {
            return FALSE;
        }
    }
    return TRUE;
}

gboolean
departures_read(GBytes *bytes, departures_t *message)
{
    *message = (departures_t){0};
    GVariant *v = codec_read(bytes, MESSAGE_TYPE);
    if (v == NULL) {
        return FALSE;
    }
    GVariant *leases;
    gboolean packed;
    g_variant_get(v, MESSAGE_FORMAT, &message->from, &message->epoch, &packed,
                  &leases);
    message->leases = leases_read(leases, packed);
    g_variant_unref(v);
    if (message->leases == NULL || !are_departures(message->leases)) {
        departures_clear(message);
        return FALSE;
    }
    return TRUE;
}

void
departures_clear(departures_t *message)
{
    g_clear_pointer(&message->from, g_free);
    g_clear_pointer(&message->leases, g_ptr_array_unref);
}
