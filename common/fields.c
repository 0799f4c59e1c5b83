#include "carobloom/common/fields.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#include "carobloom/common/jsonc.h"

static void
fault_free(gpointer data)
{
    fault_t *fault = data;
    g_free(fault->path);
    g_free(fault->text);
    g_free(fault);
}

GPtrArray *
faults_create(void)
{
    return g_ptr_array_new_with_free_func(fault_free);
}

void
faults_destroy(GPtrArray *faults)
{
    g_ptr_array_unref(faults);
}

void
faults_add(GPtrArray *faults, const char *base, const char *key,
           const char *format, ...)
{
    if (faults->len >= FIELDS_MAX_FAULTS) {
        return;
    }
    fault_t *fault = g_new0(fault_t, 1);
    gboolean joined = base && *base && key && *key;
    fault->path =
        g_strconcat(base ? base : "", joined ? "." : "", key ? key : "", NULL);
    va_list args;
    va_start(args, format);
    fault->text = g_strdup_vprintf(format, args);
    va_end(args);
    g_ptr_array_add(faults, fault);
}

void
faults_add_lines(GPtrArray *faults, str_t text)
{
    for (guint i = 0; i < faults->len; i++) {
        fault_t *fault = faults->pdata[i];
        if (*fault->path == '\0') {
            continue;
        }
        char *with_line =
            g_strdup_printf("line %d: %s: %s", jsonc_line(text, fault->path),
                            fault->path, fault->text);
        g_free(fault->text);
        fault->text = with_line;
    }
}

void
faults_print(const GPtrArray *faults, const char *file)
{
    for (guint i = 0; i < faults->len; i++) {
        const fault_t *fault = faults->pdata[i];
        fprintf(stderr, "carobloomd: %s: %s\n", file, fault->text);
    }
}

char *
faults_read_file(const char *path, gsize *length, GPtrArray *faults)
{
    char *text = NULL;
    GError *error = NULL;
    if (!g_file_get_contents(path, &text, length, &error)) {
        faults_add(faults, NULL, NULL, "%s", error->message);
        g_error_free(error);
    }
    return text;
}

static const field_t *
field_find(const field_t *fields, gsize count, const char *key)
{
    for (gsize i = 0; i < count; i++) {
        if (strcmp(fields[i].key, key) == 0) {
            return &fields[i];
        }
    }
    return NULL;
}

static char *
known_keys(const field_t *fields, gsize count)
{
    GString *list = g_string_new(NULL);
    for (gsize i = 0; i < count; i++) {
        g_string_append_printf(list, "%s%s", i ? ", " : "", fields[i].key);
    }
    return g_string_free(list, FALSE);
}

static void
read_string(const field_t *f, json_t *value, const char *base, char **out,
            GPtrArray *faults)
{
    if (!json_is_string(value)) {
        faults_add(faults, base, f->key, "must be a string");
        return;
    }
    const char *text = json_string_value(value);
    gsize length = json_string_length(value);
    if (strlen(text) != length) {
        faults_add(faults, base, f->key, "must not hold a zero byte");
        return;
    }
    if (f->max > 0 && (length < f->min || length > f->max)) {
        faults_add(faults, base, f->key, "must be %.0f to %.0f bytes long",
                   f->min, f->max);
        return;
    }
    if (f->choices && !g_strv_contains(f->choices, text)) {
        char *words = g_strjoinv(", ", (char **)f->choices);
        faults_add(faults, base, f->key, "must be one of %s", words);
        g_free(words);
        return;
    }
    g_free(*out);
    *out = g_strdup(text);
}

static void
read_strings(const field_t *f, json_t *value, const char *base, char ***out,
             GPtrArray *faults)
{
    if (!json_is_array(value)) {
        faults_add(faults, base, f->key, "must be a list of strings");
        return;
    }
    GStrvBuilder *builder = g_strv_builder_new();
    size_t index;
    json_t *item;
    json_array_foreach(value, index, item)
    {
        if (!json_is_string(item) || json_string_length(item) == 0) {
            faults_add(faults, base, f->key, "item %zu must be a string",
                       index);
            continue;
        }
        g_strv_builder_add(builder, json_string_value(item));
    }
    if (f->max > 0 && json_array_size(value) > f->max) {
        faults_add(faults, base, f->key, "must have at most %.0f items",
                   f->max);
    }
    g_strfreev(*out);
    *out = g_strv_builder_end(builder);
    g_strv_builder_unref(builder);
}

static gboolean
number_in_range(const field_t *f, double number, const char *base,
                GPtrArray *faults)
{
    if (f->max > f->min && (number < f->min || number > f->max)) {
        faults_add(faults, base, f->key, "must be %g to %g, not %g", f->min,
                   f->max, number);
        return FALSE;
    }
    return TRUE;
}

static void
field_read(const field_t *f, json_t *value, const char *base, char *target,
           GPtrArray *faults)
{
    void *out = target + f->offset;
    switch (f->type) {
    case FIELD_STRING:
        read_string(f, value, base, out, faults);
        break;
    case FIELD_STRINGS:
        read_strings(f, value, base, out, faults);
        break;
    case FIELD_INT:
        if (!json_is_integer(value)) {
            faults_add(faults, base, f->key, "must be a whole number");
        }
        else if (number_in_range(f, (double)json_integer_value(value), base,
                                 faults)) {
            *(gint64 *)out = json_integer_value(value);
        }
        break;
    case FIELD_NUMBER:
        if (!json_is_number(value) || !isfinite(json_number_value(value))) {
            faults_add(faults, base, f->key, "must be a number");
        }
        else if (number_in_range(f, json_number_value(value), base, faults)) {
            *(double *)out = json_number_value(value);
        }
        break;
    case FIELD_BOOL:
        if (!json_is_boolean(value)) {
            faults_add(faults, base, f->key, "must be true or false");
            break;
        }
        *(gboolean *)out = json_is_true(value);
        break;
    case FIELD_JSON:
        *(json_t **)out = json_incref(value);
        break;
    }
}

static void
field_default(const field_t *f, char *target)
{
    if (f->fallback == NULL) {
        return;
    }
    void *out = target + f->offset;
    switch (f->type) {
    case FIELD_STRING:
        *(char **)out = g_strdup(f->fallback);
        break;
    case FIELD_INT:
        *(gint64 *)out = g_ascii_strtoll(f->fallback, NULL, 10);
        break;
    case FIELD_NUMBER:
        *(double *)out = g_ascii_strtod(f->fallback, NULL);
        break;
    case FIELD_BOOL:
        *(gboolean *)out = strcmp(f->fallback, "true") == 0;
        break;
    case FIELD_STRINGS:
    case FIELD_JSON:
        break;
    }
}

guint
fields_read(json_t *object, const char *base, const field_t *fields,
            gsize count, void *target, GPtrArray *faults)
{
    guint before = faults->len;
    if (!json_is_object(object)) {
        faults_add(faults, base, NULL, "must be an object");
        return 1;
    }
    const char *key;
    json_t *value;
    json_object_foreach(object, key, value)
    {
        if (field_find(fields, count, key) == NULL) {
            char *known = known_keys(fields, count);
            faults_add(faults, base, key, "unknown key; allowed: %s", known);
            g_free(known);
        }
    }
    for (gsize i = 0; i < count; i++) {
        value = json_object_get(object, fields[i].key);
        field_default(&fields[i], target);
        if (value != NULL) {
            field_read(&fields[i], value, base, target, faults);
        }
        else if (fields[i].required) {
            faults_add(faults, base, fields[i].key, "is required");
        }
    }
    return faults->len - before;
}

void
fields_clear(const field_t *fields, gsize count, void *target)
{
    for (gsize i = 0; i < count; i++) {
        void *out = (char *)target + fields[i].offset;
        if (fields[i].type == FIELD_STRING) {
            g_clear_pointer((char **)out, g_free);
        }
        else if (fields[i].type == FIELD_STRINGS) {
            g_clear_pointer((char ***)out, g_strfreev);
        }
        else if (fields[i].type == FIELD_JSON && *(json_t **)out) {
            json_decref(*(json_t **)out);
            *(json_t **)out = NULL;
        }
    }
}
