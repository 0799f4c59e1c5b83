/* Checked reading of JSON objects into structs, by a table of fields.
 *
 * Every fault is collected with its path and what is allowed, so that one
 * pass reports all of them. */
#ifndef CAROBLOOM_COMMON_FIELDS_H
#define CAROBLOOM_COMMON_FIELDS_H

#include <glib.h>
#include <jansson.h>

#include "carobloom/common/str.h"

enum { FIELDS_MAX_FAULTS = 100 };

typedef enum {
    FIELD_STRING,  /* char *, freed by fields_clear; min/max are its length */
    FIELD_INT,     /* gint64 */
    FIELD_NUMBER,  /* double */
    FIELD_BOOL,    /* gboolean */
    FIELD_STRINGS, /* char ** (NULL-terminated) */
    FIELD_JSON,    /* json_t *, a reference; checked by the caller */
} field_type_t;

/* One key of an object. `choices` limits a string to the listed words. */
typedef struct {
    const char *key;
    field_type_t type;
    gsize offset;
    gboolean required;
    double min;
    double max;
    const char *const *choices;
    const char *fallback; /* default, as text; NULL leaves zero */
} field_t;

/* One fault: `path` is keys and indexes joined with '.'. */
typedef struct {
    char *path;
    char *text;
} fault_t;

/* A growing list of fault_t. */
GPtrArray *faults_create(void);
void faults_destroy(GPtrArray *faults);
void faults_add(GPtrArray *faults, const char *base, const char *key,
                const char *format, ...) G_GNUC_PRINTF(4, 5);

/* Puts in front of each fault's text the line and the path of its place in
 * `text`; those without a path stay. */
void faults_add_lines(GPtrArray *faults, str_t text);
/* To standard error, a line each, with the name of the file. */
void faults_print(const GPtrArray *faults, const char *file);
/* The text of a file, freed with g_free; NULL with a fault when it can not be
 * read. */
char *faults_read_file(const char *path, gsize *length, GPtrArray *faults);

/* Fills `target` from `object`; returns the number of faults added. */
guint fields_read(json_t *object, const char *base, const field_t *fields,
                  gsize count, void *target, GPtrArray *faults);
/* Frees what fields_read put into `target`. */
void fields_clear(const field_t *fields, gsize count, void *target);

#endif
