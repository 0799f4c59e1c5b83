#include "carobloom/http/reader.h"

#include <string.h>

static http_reader_t *
reader_of(http_parser *parser)
{
    return parser->data;
}

static int
on_begin(http_parser *parser)
{
    reader_of(parser)->started = TRUE;
    return 0;
}

static int
on_target(http_parser *parser, const char *at, size_t length)
{
    http_reader_t *r = reader_of(parser);
    g_string_append_len(r->head.text, at, (gssize)length);
    r->head.target_length += (guint32)length;
    return 0;
}

static int
on_name(http_parser *parser, const char *at, size_t length)
{
    http_reader_t *r = reader_of(parser);
    if (!r->in_head) {
        return 0; /* a trailer; dropped */
    }
    GArray *fields = r->head.fields;
    if (r->in_value || fields->len == 0) {
        if (fields->len >= HTTP_FIELDS_MAX) {
            r->too_large = TRUE;
            return -1;
        }
        http_field_t field = {.name = (guint32)r->head.text->len};
        g_array_append_val(fields, field);
        r->in_value = FALSE;
    }
    g_string_append_len(r->head.text, at, (gssize)length);
    g_array_index(fields, http_field_t, fields->len - 1).name_length +=
        (guint32)length;
    return 0;
}

static int
on_value(http_parser *parser, const char *at, size_t length)
{
    http_reader_t *r = reader_of(parser);
    if (!r->in_head) {
        return 0;
    }
    GArray *fields = r->head.fields;
    http_field_t *field =
        &g_array_index(fields, http_field_t, fields->len - 1);
    if (!r->in_value) {
        field->value = (guint32)r->head.text->len;
        r->in_value = TRUE;
    }
    g_string_append_len(r->head.text, at, (gssize)length);
    field->value_length += (guint32)length;
    return 0;
}

/* The library takes a space within a field's name; others may then frame the
 * message in another way (RFC 9112, 5.1). */
static gboolean
names_are_tokens(const http_head_t *head)
{
    static const char MARKS[] = "!#$%&'*+-.^_`|~";
    for (guint i = 0; i < head->fields->len; i++) {
        str_t name = http_field_name(head, i);
        for (gsize j = 0; j < name.length; j++) {
            if (!g_ascii_isalnum(name.data[j]) &&
                (name.data[j] == '\0' ||
                 strchr(MARKS, name.data[j]) == NULL)) {
                return FALSE;
            }
        }
    }
    return TRUE;
}

static int
on_head(http_parser *parser)
{
    http_reader_t *r = reader_of(parser);
    http_head_t *head = &r->head;
    gboolean request = parser->type == HTTP_REQUEST;
    r->in_head = FALSE;
    if (!names_are_tokens(head)) {
        return -1;
    }
    head->method =
        request ? http_method_str((enum http_method)parser->method) : NULL;
    head->status = request ? 0 : parser->status_code;
    head->http_1_0 = parser->http_major == 1 && parser->http_minor == 0;
    head->keep_alive = http_should_keep_alive(parser) != 0;
    head->chunked = (parser->flags & F_CHUNKED) != 0;
    head->has_length = (parser->flags & F_CONTENTLENGTH) != 0;
    head->length = head->has_length ? parser->content_length : 0;
    if (r->ops->head(r->user) != 0) {
        r->refused = TRUE;
        return -1;
    }
    return r->no_body ? 1 : 0;
}

static int
on_body(http_parser *parser, const char *at, size_t length)
{
    http_reader_t *r = reader_of(parser);
    str_t bytes = {.data = at, .length = length};
    if (r->ops->body(r->user, bytes) != 0) {
        r->refused = TRUE;
        return -1;
    }
    return 0;
}

static int
on_complete(http_parser *parser)
{
    reader_of(parser)->complete = TRUE;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings CALLBACKS = {
    .on_message_begin = on_begin,
    .on_url = on_target,
    .on_header_field = on_name,
    .on_header_value = on_value,
    .on_headers_complete = on_head,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

void
http_reader_init(http_reader_t *r, gboolean request, gsize head_max,
                 const reader_ops_t *ops, void *user)
{
    *r = (http_reader_t){.head_max = head_max, .ops = ops, .user = user};
    http_parser_init(&r->parser, request ? HTTP_REQUEST : HTTP_RESPONSE);
    r->parser.data = r;
    r->in_head = TRUE;
    http_head_init(&r->head);
}

void
http_reader_clear(http_reader_t *r)
{
    http_head_clear(&r->head);
}

void
http_reader_reset(http_reader_t *r)
{
    enum http_parser_type type = (enum http_parser_type)r->parser.type;
    http_parser_init(&r->parser, type);
    r->parser.data = r;
    http_head_reset(&r->head);
    r->head_bytes = 0;
    r->in_head = TRUE;
    r->in_value = FALSE;
    r->started = FALSE;
    r->complete = FALSE;
    r->no_body = FALSE;
}

reader_result_t
http_reader_feed(http_reader_t *r, str_t bytes, gsize *used)
{
    gboolean was_in_head = r->in_head;
    *used =
        http_parser_execute(&r->parser, &CALLBACKS, bytes.data, bytes.length);
    if (was_in_head && r->in_head) {
        r->head_bytes += *used;
    }
    if (r->too_large || r->head.text->len > r->head_max ||
        (r->in_head && r->head_bytes > r->head_max)) {
        return READER_ERROR_HEAD;
    }
    if (r->refused) {
        return READER_ERROR_OWNER;
    }
    if (HTTP_PARSER_ERRNO(&r->parser) != HPE_OK && !r->complete) {
        return READER_ERROR_SYNTAX;
    }
    if (r->parser.upgrade && r->complete == FALSE) {
        return READER_ERROR_SYNTAX;
    }
    return READER_OK;
}

reader_result_t
http_reader_end(http_reader_t *r)
{
    if (!r->started || r->complete) {
        return READER_OK;
    }
    http_parser_execute(&r->parser, &CALLBACKS, NULL, 0);
    return r->complete ? READER_OK : READER_ERROR_CUT;
}
