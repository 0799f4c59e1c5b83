#include "carobloom/common/str.h"

#include <string.h>

str_t
str_from_cstr(const char *cstr)
{
    return (str_t){.data = cstr ? cstr : "",
                   .length = cstr ? strlen(cstr) : 0};
}

str_t
str_from_bytes(GBytes *bytes)
{
    gsize length;
    const char *data = g_bytes_get_data(bytes, &length);
    return (str_t){.data = data, .length = length};
}

gboolean
str_equal(str_t a, str_t b)
{
    return a.length == b.length &&
           (a.length == 0 || memcmp(a.data, b.data, a.length) == 0);
}

gboolean
str_has_prefix(str_t s, str_t prefix)
{
    if (s.length < prefix.length) {
        return FALSE;
    }
    return str_equal((str_t){.data = s.data, .length = prefix.length}, prefix);
}

gssize
str_find(str_t s, str_t needle, gsize from)
{
    if (from > s.length) {
        return -1;
    }
    const char *hit =
        memmem(s.data + from, s.length - from, needle.data, needle.length);
    return hit ? hit - s.data : -1;
}

str_t
str_tail(str_t s, gsize from)
{
    if (from >= s.length) {
        return (str_t){.data = "", .length = 0};
    }
    return (str_t){.data = s.data + from, .length = s.length - from};
}

char *
str_dup(str_t s)
{
    return s.length > 0 ? g_strndup(s.data, s.length) : g_strdup("");
}
