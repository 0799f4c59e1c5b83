#include "carobloom/common/pack.h"

#include <gio/gio.h>

static const int COMPRESSION = 6; /* zlib's own default */

/* Takes the converter. */
static GBytes *
convert(GConverter *converter, GBytes *bytes, gsize most)
{
    GInputStream *source = g_memory_input_stream_new_from_bytes(bytes);
    GInputStream *stream = g_converter_input_stream_new(source, converter);
    GByteArray *out = g_byte_array_new();
    guint8 buffer[16384];
    gssize count;
    while ((count = g_input_stream_read(stream, buffer, sizeof(buffer), NULL,
                                        NULL)) > 0 &&
           out->len + (gsize)count <= most) {
        g_byte_array_append(out, buffer, (guint)count);
    }
    g_object_unref(stream);
    g_object_unref(source);
    g_object_unref(converter);
    if (count != 0) {
        g_byte_array_unref(out);
        return NULL;
    }
    return g_byte_array_free_to_bytes(out);
}

GBytes *
pack_bytes(GBytes *plain)
{
    GZlibCompressor *compressor =
        g_zlib_compressor_new(G_ZLIB_COMPRESSOR_FORMAT_RAW, COMPRESSION);
    return convert(G_CONVERTER(compressor), plain, G_MAXSIZE);
}

GBytes *
unpack_bytes(GBytes *packed, gsize most)
{
    GZlibDecompressor *decompressor =
        g_zlib_decompressor_new(G_ZLIB_COMPRESSOR_FORMAT_RAW);
    return convert(G_CONVERTER(decompressor), packed, most);
}
