#include "carobloom/common/codec.h"

GBytes *
codec_write(GVariant *variant)
{
    g_variant_ref_sink(variant);
    GVariant *ordered = variant;
    if (G_BYTE_ORDER == G_BIG_ENDIAN) {
        ordered = g_variant_byteswap(variant);
        g_variant_unref(variant);
    }
    GBytes *bytes = g_variant_get_data_as_bytes(ordered);
    g_variant_unref(ordered);
    return bytes;
}

GVariant *
codec_read(GBytes *bytes, const char *type)
{
    GVariant *variant =
        g_variant_new_from_bytes(G_VARIANT_TYPE(type), bytes, FALSE);
    g_variant_ref_sink(variant);
    if (!g_variant_is_normal_form(variant)) {
        g_variant_unref(variant);
        return NULL;
    }
    if (G_BYTE_ORDER == G_BIG_ENDIAN) {
        GVariant *swapped = g_variant_byteswap(variant);
        g_variant_unref(variant);
        return swapped;
    }
    return variant;
}

GVariant *
codec_bytes(GBytes *bytes)
{
    gsize length = 0;
    gconstpointer data = bytes != NULL ? g_bytes_get_data(bytes, &length) : "";
    return g_variant_new_fixed_array(G_VARIANT_TYPE_BYTE, data, length, 1);
}

GBytes *
codec_take_bytes(GVariant *variant)
{
    gsize length = 0;
    gconstpointer data = g_variant_get_fixed_array(variant, &length, 1);
    GBytes *bytes = g_bytes_new(data, length);
    g_variant_unref(variant);
    return bytes;
}
