/* A site document: classes, teams, routes, services and limits.
 *
 * Immutable and counted by reference. A request keeps the version it started
 * with. Parsing checks the whole text and lists every fault. */
#ifndef CAROBLOOM_VERSION_DOCUMENT_H
#define CAROBLOOM_VERSION_DOCUMENT_H

#include <glib.h>
#include <jansson.h>

#include "carobloom/common/str.h"
#include "carobloom/policy/class.h"

enum {
    DOCUMENT_TEAMS_MAX = 100000,
    DOCUMENT_ROUTES_MAX = 10000,
    DOCUMENT_SERVICES_MAX = 1000,
    DOCUMENT_NAME_MAX = 64,
};

typedef struct {
    char *name;
    gint64 tier;
    double least_share;
    double weight;
    gint64 first_token_ms;
    gint64 between_tokens_ms;
    gint64 deadline_ms;
    gint64 max_wait_ms;
    gint64 queue_limit;
    gint64 typical_tokens;
    gint64 silence_ms; /* no progress for so long breaks an attempt */
    gint64 keep_s;     /* how long a claimed answer is kept */
    gint64 attempts;
    gboolean repeatable;
    gboolean resume;
    gboolean protect;
    char **pools; /* models and services that may serve; empty: all */
} document_class_t;

typedef struct {
    char *name;
    char **key_sha256;
    double weight;
    double requests_per_s; /* 0: no limit */
    gint64 in_flight;      /* 0: no limit */
} document_team_t;

/* The first route that fits gives the class. Empty fields fit anything. */
typedef struct {
    char *path;
    char *model;
    char *team;
    char *header; /* a header's name */
    char *value;  /* and the value it must have */
    char *class_name;
    guint class_index;
} document_route_t;

typedef struct {
    char *name;
    char *class_name;
    guint class_index;
} document_service_t;

typedef struct {
    gint64 body_bytes;
    gint64 answer_bytes; /* of an answer kept under a claim */
    double retry_ratio;
} document_limits_t;

typedef struct document document_t;

/* Parses and checks; NULL with `faults` filled. `version` is its number. */
document_t *document_parse(str_t text, guint64 version, GPtrArray *faults);
document_t *document_ref(document_t *document);
void document_unref(document_t *document);

guint64 document_version(const document_t *document);
str_t document_text(const document_t *document);
guint document_class_count(const document_t *document);
const document_class_t *document_class(const document_t *document,
                                       guint index);
/* The same classes as the decisions want them. */
const class_spec_t *document_class_specs(const document_t *document);
const document_limits_t *document_limits(const document_t *document);
/* The team whose key this is, or NULL. */
const document_team_t *document_find_team(const document_t *document,
                                          str_t key);
const document_service_t *document_find_service(const document_t *document,
                                                const char *name);
typedef const char *(*header_fn_t)(const char *name, void *data);
/* The class of a call, or -1 when no route fits. */
int document_find_class(const document_t *document, const char *path,
                        const char *model, const char *team,
                        header_fn_t header, void *data);
gboolean document_class_allows(const document_class_t *class_info,
                               const char *pool);
/* What differs between two texts, a line each; freed with g_free. */
char *document_difference(str_t from, str_t to);

#endif
