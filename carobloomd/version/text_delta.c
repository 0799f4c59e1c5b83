#include "carobloom/version/text_delta.h"

#include <string.h>

#include "carobloom/common/codec.h"
#include "carobloom/common/pack.h"
#include "carobloom/policy/rendezvous.h"

/* The length of the result, and pieces: copied from an offset, or new. */
#define DELTA_TYPE "(ta(ttay))"

typedef struct {
    guint64 from;
    guint64 length;
    GByteArray *inserted; /* after what is copied */
} piece_t;

static void
piece_clear(gpointer data)
{
    g_byte_array_unref(((piece_t *)data)->inserted);
}

/* The length of the piece of `text` at `at`: up to the end of an object that
 * is followed by another. */
static gsize
piece_length(str_t text, gsize at)
{
    gssize end = str_find(text, STR("},{"), at);
    return end < 0 ? text.length - at : (gsize)end + 2 - at;
}

static str_t
piece_at(str_t text, gsize at)
{
    return (str_t){.data = text.data + at, .length = piece_length(text, at)};
}

/* hash of a piece -> its offset + 1; two of one hash: the last counts, and
 * the bytes are compared before they are taken for equal. */
static GHashTable *
pieces_index(str_t text)
{
    GHashTable *index = g_hash_table_new(NULL, NULL);
    gsize at = 0;
    while (at < text.length) {
        str_t piece = piece_at(text, at);
        g_hash_table_insert(index, GSIZE_TO_POINTER(hash_text(piece)),
                            GSIZE_TO_POINTER(at + 1));
        at += piece.length;
    }
    return index;
}

static gboolean
find_piece(GHashTable *index, str_t from, str_t piece, gsize *at)
{
    gsize found = GPOINTER_TO_SIZE(
        g_hash_table_lookup(index, GSIZE_TO_POINTER(hash_text(piece))));
    *at = found - 1;
    return found > 0 && str_equal(piece, piece_at(from, found - 1));
}

static piece_t *
last_piece(GArray *pieces)
{
    return &g_array_index(pieces, piece_t, pieces->len - 1);
}

static void
add_copy(GArray *pieces, gsize from, gsize length)
{
    piece_t *last = last_piece(pieces);
    if (last->inserted->len == 0 && last->from + last->length == from) {
        last->length += length;
        return;
    }
    piece_t piece = {
        .from = from, .length = length, .inserted = g_byte_array_new()};
    g_array_append_val(pieces, piece);
}

static GArray *
pieces_between(str_t from, str_t to)
{
    GArray *pieces = g_array_new(FALSE, FALSE, sizeof(piece_t));
    GHashTable *index = pieces_index(from);
    piece_t first = {.inserted = g_byte_array_new()};
    g_array_set_clear_func(pieces, piece_clear);
    g_array_append_val(pieces, first);
    gsize at = 0;
    while (at < to.length) {
        str_t piece = piece_at(to, at);
        gsize where;
        if (find_piece(index, from, piece, &where)) {
            add_copy(pieces, where, piece.length);
        }
        else {
            g_byte_array_append(last_piece(pieces)->inserted,
                                (const guint8 *)piece.data,
                                (guint)piece.length);
        }
        at += piece.length;
    }
    g_hash_table_unref(index);
    return pieces;
}

GBytes *
text_delta_between(str_t from, str_t to)
{
    GVariantBuilder b;
    GArray *pieces = pieces_between(from, to);
    g_variant_builder_init(&b, G_VARIANT_TYPE("a(ttay)"));
    for (guint i = 0; i < pieces->len; i++) {
        const piece_t *p = &g_array_index(pieces, piece_t, i);
        g_variant_builder_add(&b, "(tt@ay)", p->from, p->length,
                              g_variant_new_fixed_array(G_VARIANT_TYPE_BYTE,
                                                        p->inserted->data,
                                                        p->inserted->len, 1));
    }
    GBytes *plain =
        codec_write(g_variant_new("(ta(ttay))", (guint64)to.length, &b));
    GBytes *packed = pack_bytes(plain);
    g_array_unref(pieces);
    g_bytes_unref(plain);
    return packed;
}

/* FALSE when a piece does not lie in `from`. */
static gboolean
piece_apply(GByteArray *out, str_t from, GVariant *piece)
{
    guint64 at;
    guint64 length;
    gsize inserted;
    GVariant *bytes;
    g_variant_get(piece, "(tt@ay)", &at, &length, &bytes);
    gconstpointer data = g_variant_get_fixed_array(bytes, &inserted, 1);
    gboolean sound = at <= from.length && length <= from.length - at &&
                     out->len + length + inserted <= TEXT_DELTA_BYTES_MAX;
    if (sound) {
        g_byte_array_append(out, (const guint8 *)from.data + at,
                            (guint)length);
        g_byte_array_append(out, data, (guint)inserted);
    }
    g_variant_unref(bytes);
    return sound;
}

GBytes *
text_delta_apply(str_t from, GBytes *delta)
{
    GBytes *plain = unpack_bytes(delta, TEXT_DELTA_BYTES_MAX);
    GVariant *v = plain != NULL ? codec_read(plain, DELTA_TYPE) : NULL;
    g_clear_pointer(&plain, g_bytes_unref);
    if (v == NULL) {
        return NULL;
    }
    guint64 length;
    GVariantIter *iter;
    GVariant *piece;
    GByteArray *out = g_byte_array_new();
    gboolean sound = TRUE;
    g_variant_get(v, "(ta(ttay))", &length, &iter);
    while (sound && (piece = g_variant_iter_next_value(iter)) != NULL) {
        sound = piece_apply(out, from, piece);
        g_variant_unref(piece);
    }
    g_variant_iter_free(iter);
    g_variant_unref(v);
    if (!sound || out->len != length) {
        g_byte_array_unref(out);
        return NULL;
    }
    return g_byte_array_free_to_bytes(out);
}
