#include "carobloom/version/splice.h"

#include <string.h>

splice_t
splice_between(str_t from, str_t to)
{
    gsize most = MIN(from.length, to.length);
    gsize prefix = 0;
    while (prefix < most && from.data[prefix] == to.data[prefix]) {
        prefix++;
    }
    gsize suffix = 0;
    while (suffix < most - prefix && from.data[from.length - 1 - suffix] ==
                                         to.data[to.length - 1 - suffix]) {
        suffix++;
    }
    return (splice_t){
        .prefix = prefix,
        .removed = from.length - prefix - suffix,
        .inserted = g_bytes_new(to.data + prefix, to.length - prefix - suffix),
    };
}

char *
splice_apply(str_t from, const splice_t *splice, gsize *length)
{
    if (splice->prefix > from.length ||
        splice->removed > from.length - splice->prefix) {
        return NULL;
    }
    gsize added;
    const char *inserted = g_bytes_get_data(splice->inserted, &added);
    gsize rest = from.length - splice->prefix - splice->removed;
    *length = splice->prefix + added + rest;
    char *text = g_malloc(*length + 1);
    if (splice->prefix > 0) {
        memcpy(text, from.data, splice->prefix);
    }
    if (added > 0) {
        memcpy(text + splice->prefix, inserted, added);
    }
    if (rest > 0) {
        memcpy(text + splice->prefix + added,
               from.data + splice->prefix + splice->removed, rest);
    }
    text[*length] = '\0';
    return text;
}

void
splice_clear(splice_t *splice)
{
    g_clear_pointer(&splice->inserted, g_bytes_unref);
}
