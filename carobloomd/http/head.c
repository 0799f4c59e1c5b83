#include "carobloom/http/head.h"

#include <string.h>

enum {
    TEXT_BYTES = 512,
    FIELDS = 16,
    /* A head with more of either is not kept for the next one. */
    IDLE_TEXT_MAX = 4 * TEXT_BYTES,
    IDLE_FIELDS_MAX = 4 * FIELDS,
};

void
http_head_init(http_head_t *head)
{
    *head = (http_head_t){
        .text = g_string_sized_new(TEXT_BYTES),
        .fields =
            g_array_sized_new(FALSE, FALSE, sizeof(http_field_t), FIELDS),
    };
}

void
http_head_clear(http_head_t *head)
{
    g_string_free(head->text, TRUE);
    g_array_unref(head->fields);
    *head = (http_head_t){0};
}

void
http_head_reset(http_head_t *head)
{
    if (head->text->len > IDLE_TEXT_MAX ||
        head->fields->len > IDLE_FIELDS_MAX) {
        http_head_clear(head);
        http_head_init(head);
        return;
    }
    GString *text = g_string_truncate(head->text, 0);
    GArray *fields = g_array_set_size(head->fields, 0);
    *head = (http_head_t){.text = text, .fields = fields};
}

str_t
http_head_target(const http_head_t *head)
{
    return (str_t){.data = head->text->str, .length = head->target_length};
}

static const http_field_t *
field_at(const http_head_t *head, guint index)
{
    return &g_array_index(head->fields, http_field_t, index);
}

str_t
http_field_name(const http_head_t *head, guint index)
{
    const http_field_t *f = field_at(head, index);
    return (str_t){.data = head->text->str + f->name,
                   .length = f->name_length};
}

str_t
http_field_value(const http_head_t *head, guint index)
{
    const http_field_t *f = field_at(head, index);
    return (str_t){.data = head->text->str + f->value,
                   .length = f->value_length};
}

gboolean
http_name_is(str_t name, const char *text)
{
    return name.length == strlen(text) &&
           g_ascii_strncasecmp(name.data, text, name.length) == 0;
}

gboolean
http_head_find(const http_head_t *head, const char *name, str_t *value)
{
    for (guint i = 0; i < head->fields->len; i++) {
        if (http_name_is(http_field_name(head, i), name)) {
            *value = http_field_value(head, i);
            return TRUE;
        }
    }
    return FALSE;
}

/* Whether the comma-separated `list` holds `name`. */
static gboolean
list_has(str_t list, str_t name)
{
    gsize at = 0;
    while (at < list.length) {
        gsize end = at;
        while (end < list.length && list.data[end] != ',') {
            end++;
        }
        gsize from = at;
        gsize to = end;
        while (from < to && g_ascii_isspace(list.data[from])) {
            from++;
        }
        while (to > from && g_ascii_isspace(list.data[to - 1])) {
            to--;
        }
        if (to - from == name.length &&
            g_ascii_strncasecmp(list.data + from, name.data, name.length) ==
                0) {
            return TRUE;
        }
        at = end + 1;
    }
    return FALSE;
}

gboolean
http_field_is_hop(const http_head_t *head, guint index)
{
    static const char *const HOPS[] = {
        "connection", "keep-alive",         "proxy-connection",
        "te",         "transfer-encoding",  "trailer",
        "upgrade",    "proxy-authenticate", "proxy-authorization",
    };
    str_t name = http_field_name(head, index);
    for (guint i = 0; i < G_N_ELEMENTS(HOPS); i++) {
        if (http_name_is(name, HOPS[i])) {
            return TRUE;
        }
    }
    for (guint i = 0; i < head->fields->len; i++) {
        if (http_name_is(http_field_name(head, i), "connection") &&
            list_has(http_field_value(head, i), name)) {
            return TRUE;
        }
    }
    return FALSE;
}

gboolean
http_number(str_t text, guint64 *number)
{
    if (text.length == 0 || text.length > 18) {
        return FALSE;
    }
    guint64 value = 0;
    for (gsize i = 0; i < text.length; i++) {
        if (!g_ascii_isdigit(text.data[i])) {
            return FALSE;
        }
        value = value * 10 + (guint64)(text.data[i] - '0');
    }
    *number = value;
    return TRUE;
}

const char *
http_reason(guint status)
{
    static const struct {
        guint status;
        const char *text;
    } REASONS[] = {
        {200, "OK"},
        {307, "Temporary Redirect"},
        {400, "Bad Request"},
        {401, "Unauthorized"},
        {404, "Not Found"},
        {405, "Method Not Allowed"},
        {408, "Request Timeout"},
        {409, "Conflict"},
        {413, "Content Too Large"},
        {431, "Request Header Fields Too Large"},
        {500, "Internal Server Error"},
        {502, "Bad Gateway"},
        {503, "Service Unavailable"},
        {504, "Gateway Timeout"},
    };
    for (guint i = 0; i < G_N_ELEMENTS(REASONS); i++) {
        if (REASONS[i].status == status) {
            return REASONS[i].text;
        }
    }
    return "Status";
}

void
http_write_field(GString *out, str_t name, str_t value)
{
    g_string_append_len(out, name.data, (gssize)name.length);
    g_string_append_len(out, ": ", 2);
    g_string_append_len(out, value.data, (gssize)value.length);
    g_string_append_len(out, "\r\n", 2);
}

void
http_write_number(GString *out, const char *name, guint64 value)
{
    g_string_append_printf(out, "%s: %" G_GUINT64_FORMAT "\r\n", name, value);
}
