#include "carobloom/common/jsonc.h"

#include <string.h>

/* Blanks // and block comments outside strings, keeping newlines. */
static void
blank_comments(char *text, gsize length)
{
    gboolean in_string = FALSE;
    for (gsize i = 0; i < length; i++) {
        if (in_string) {
            if (text[i] == '\\') {
                i++;
            }
            else if (text[i] == '"') {
                in_string = FALSE;
            }
            continue;
        }
        if (text[i] == '"') {
            in_string = TRUE;
            continue;
        }
        if (text[i] != '/' || i + 1 >= length) {
            continue;
        }
        if (text[i + 1] == '/') {
            while (i < length && text[i] != '\n') {
                text[i++] = ' ';
            }
            continue;
        }
        if (text[i + 1] == '*') {
            const char *end = memmem(text + i + 2, length - i - 2, "*/", 2);
            gsize stop = end ? (gsize)(end - text) + 2 : length;
            for (; i < stop; i++) {
                text[i] = text[i] == '\n' ? '\n' : ' ';
            }
            i--;
        }
    }
}

json_t *
jsonc_parse(str_t text, jsonc_error_t *error)
{
    if (text.length > JSONC_MAX_BYTES) {
        *error = (jsonc_error_t){.line = 1, .column = 1};
        g_strlcpy(error->text, "text is larger than 16 MiB",
                  sizeof(error->text));
        return NULL;
    }
    char *copy = str_dup(text);
    blank_comments(copy, text.length);
    json_error_t fault;
    json_t *root =
        json_loadb(copy, text.length, JSON_REJECT_DUPLICATES, &fault);
    g_free(copy);
    if (root == NULL) {
        *error = (jsonc_error_t){.line = fault.line, .column = fault.column};
        g_strlcpy(error->text, fault.text, sizeof(error->text));
    }
    return root;
}

/* A cursor over blanked, well-formed JSON text. */
typedef struct {
    const char *text;
    gsize length;
    gsize at;
    int line;
} cursor_t;

static void
cursor_skip_space(cursor_t *c)
{
    while (c->at < c->length && strchr(" \t\r\n,:", c->text[c->at])) {
        if (c->text[c->at] == '\n') {
            c->line++;
        }
        c->at++;
    }
}

static str_t
cursor_take_string(cursor_t *c)
{
    gsize start = ++c->at;
    while (c->at < c->length && c->text[c->at] != '"') {
        c->at += c->text[c->at] == '\\' ? 2 : 1;
    }
    gsize end = MIN(c->at, c->length);
    c->at = end + 1;
    return (str_t){.data = c->text + start, .length = end - start};
}

static void
cursor_skip_value(cursor_t *c)
{
    int depth = 0;
    do {
        cursor_skip_space(c);
        if (c->at >= c->length) {
            return;
        }
        char ch = c->text[c->at];
        if (ch == '"') {
            cursor_take_string(c);
        }
        else if (ch == '{' || ch == '[') {
            depth++;
            c->at++;
        }
        else if (ch == '}' || ch == ']') {
            depth--;
            c->at++;
        }
        else {
            while (c->at < c->length &&
                   !strchr(",]} \n\t\r", c->text[c->at])) {
                c->at++;
            }
        }
    } while (depth > 0);
}

/* Enters the container at the cursor and stops before the member `part`. */
static gboolean
cursor_enter(cursor_t *c, const char *part)
{
    cursor_skip_space(c);
    if (c->at >= c->length) {
        return FALSE;
    }
    gboolean is_object = c->text[c->at] == '{';
    if (!is_object && c->text[c->at] != '[') {
        return FALSE;
    }
    c->at++;
    for (guint64 index = 0;; index++) {
        cursor_skip_space(c);
        if (c->at >= c->length || strchr("]}", c->text[c->at])) {
            return FALSE;
        }
        if (!is_object) {
            if (index == g_ascii_strtoull(part, NULL, 10)) {
                return TRUE;
            }
        }
        else if (str_equal(cursor_take_string(c), str_from_cstr(part))) {
            return TRUE;
        }
        cursor_skip_value(c);
    }
}

int
jsonc_line(str_t text, const char *path)
{
    char *copy = str_dup(text);
    blank_comments(copy, text.length);
    cursor_t c = {.text = copy, .length = text.length, .line = 1};
    int line = 1;
    char **parts = g_strsplit(path, ".", -1);
    for (guint i = 0; parts[i] && *parts[i]; i++) {
        if (!cursor_enter(&c, parts[i])) {
            break;
        }
        cursor_skip_space(&c);
        line = c.line;
    }
    g_strfreev(parts);
    g_free(copy);
    return line;
}
