#include "carobloom/version/document.h"

#include <string.h>

#include "carobloom/common/fields.h"
#include "carobloom/common/jsonc.h"

static const double LEAST_SHARES_SUM = 0.5;

/* A document and the tables looked up while serving. */
struct document {
    gint references;
    guint64 version;
    char *text;
    gsize length;
    GArray *classes;
    GArray *teams;
    GArray *routes;
    GArray *services;
    document_limits_t limits;
    class_spec_t specs[CLASS_MAX];
    GHashTable *team_by_key;
    GHashTable *service_by_name;
    GHashTable *class_by_name; /* name -> index + 1 */
};

#define CLASS_FIELD(k, t, m, ...)                                             \
    {                                                                         \
        .key = #k, .type = t, .offset = offsetof(document_class_t, m),        \
        __VA_ARGS__                                                           \
    }

static const field_t CLASS_FIELDS[] = {
    CLASS_FIELD(name, FIELD_STRING, name, .required = TRUE, .min = 1,
                .max = DOCUMENT_NAME_MAX),
    CLASS_FIELD(tier, FIELD_INT, tier, .required = TRUE, .min = 0,
                .max = TIER_COUNT - 1),
    CLASS_FIELD(least_share, FIELD_NUMBER, least_share, .min = 0, .max = 0.5,
                .fallback = "0.02"),
    CLASS_FIELD(weight, FIELD_NUMBER, weight, .min = 0.001, .max = 1000,
                .fallback = "1"),
    CLASS_FIELD(first_token_ms, FIELD_INT, first_token_ms, .min = 1,
                .max = 3600000, .fallback = "1000"),
    CLASS_FIELD(between_tokens_ms, FIELD_INT, between_tokens_ms, .min = 1,
                .max = 60000, .fallback = "100"),
    CLASS_FIELD(deadline_ms, FIELD_INT, deadline_ms, .min = 1, .max = 86400000,
                .fallback = "60000"),
    CLASS_FIELD(max_wait_ms, FIELD_INT, max_wait_ms, .min = 1, .max = 86400000,
                .fallback = "30000"),
    CLASS_FIELD(queue_limit, FIELD_INT, queue_limit, .min = 1, .max = 1000000,
                .fallback = "10000"),
    CLASS_FIELD(typical_tokens, FIELD_INT, typical_tokens, .min = 1,
                .max = 1000000, .fallback = "200"),
    CLASS_FIELD(silence_ms, FIELD_INT, silence_ms, .min = 50, .max = 3600000,
                .fallback = "10000"),
    CLASS_FIELD(keep_s, FIELD_INT, keep_s, .min = 1, .max = 2592000,
                .fallback = "86400"),
    CLASS_FIELD(attempts, FIELD_INT, attempts, .min = 1, .max = 10,
                .fallback = "3"),
    CLASS_FIELD(repeatable, FIELD_BOOL, repeatable, .fallback = "true"),
    CLASS_FIELD(resume, FIELD_BOOL, resume, .fallback = "false"),
    CLASS_FIELD(protect, FIELD_BOOL, protect, .fallback = "false"),
    CLASS_FIELD(pools, FIELD_STRINGS, pools, .max = 1000),
};

#define TEAM_FIELD(k, t, m, ...)                                              \
    {                                                                         \
        .key = #k, .type = t, .offset = offsetof(document_team_t, m),         \
        __VA_ARGS__                                                           \
    }

static const field_t TEAM_FIELDS[] = {
    TEAM_FIELD(name, FIELD_STRING, name, .required = TRUE, .min = 1,
               .max = DOCUMENT_NAME_MAX),
    TEAM_FIELD(key_sha256, FIELD_STRINGS, key_sha256, .required = TRUE,
               .max = 16),
    TEAM_FIELD(weight, FIELD_NUMBER, weight, .min = 0.001, .max = 1000,
               .fallback = "1"),
    TEAM_FIELD(requests_per_s, FIELD_NUMBER, requests_per_s, .min = 0,
               .max = 1e6, .fallback = "0"),
    TEAM_FIELD(in_flight, FIELD_INT, in_flight, .min = 0, .max = 1e6,
               .fallback = "0"),
};

#define ROUTE_FIELD(k, m, ...)                                                \
    {                                                                         \
        .key = k, .type = FIELD_STRING,                                       \
        .offset = offsetof(document_route_t, m), .max = 256, __VA_ARGS__      \
    }

static const field_t ROUTE_FIELDS[] = {
    ROUTE_FIELD("path", path),
    ROUTE_FIELD("model", model),
    ROUTE_FIELD("team", team),
    ROUTE_FIELD("header", header),
    ROUTE_FIELD("value", value),
    ROUTE_FIELD("class", class_name, .required = TRUE),
};

#define SERVICE_FIELD(k, m)                                                   \
    {                                                                         \
        .key = k, .type = FIELD_STRING,                                       \
        .offset = offsetof(document_service_t, m), .required = TRUE,          \
        .min = 1, .max = DOCUMENT_NAME_MAX                                    \
    }

static const field_t SERVICE_FIELDS[] = {
    SERVICE_FIELD("name", name),
    SERVICE_FIELD("class", class_name),
};

#define LIMIT_FIELD(k, t, m, ...)                                             \
    {                                                                         \
        .key = #k, .type = t, .offset = offsetof(document_limits_t, m),       \
        __VA_ARGS__                                                           \
    }

static const field_t LIMIT_FIELDS[] = {
    LIMIT_FIELD(body_bytes, FIELD_INT, body_bytes, .min = 1024,
                .max = 67108864, .fallback = "4194304"),
    LIMIT_FIELD(answer_bytes, FIELD_INT, answer_bytes, .min = 0,
                .max = 1048576, .fallback = "65536"),
    LIMIT_FIELD(retry_ratio, FIELD_NUMBER, retry_ratio, .min = 0, .max = 1,
                .fallback = "0.1"),
};

/* The top of the document, read before its parts. */
typedef struct {
    json_t *classes;
    json_t *teams;
    json_t *routes;
    json_t *services;
    json_t *limits;
} parts_t;

#define PART(k, ...)                                                          \
    {                                                                         \
        .key = #k, .type = FIELD_JSON, .offset = offsetof(parts_t, k),        \
        __VA_ARGS__                                                           \
    }

static const field_t PART_FIELDS[] = {
    PART(classes, .required = TRUE),
    PART(teams, .required = TRUE),
    PART(routes),
    PART(services),
    PART(limits),
};

/* How one list of the document is read. */
typedef struct {
    const char *name;
    const field_t *fields;
    gsize field_count;
    gsize item_size;
    guint most;
} list_spec_t;

static const list_spec_t CLASS_LIST = {"classes", CLASS_FIELDS,
                                       G_N_ELEMENTS(CLASS_FIELDS),
                                       sizeof(document_class_t), CLASS_MAX};
static const list_spec_t TEAM_LIST = {
    "teams", TEAM_FIELDS, G_N_ELEMENTS(TEAM_FIELDS), sizeof(document_team_t),
    DOCUMENT_TEAMS_MAX};
static const list_spec_t ROUTE_LIST = {
    "routes", ROUTE_FIELDS, G_N_ELEMENTS(ROUTE_FIELDS),
    sizeof(document_route_t), DOCUMENT_ROUTES_MAX};
static const list_spec_t SERVICE_LIST = {
    "services", SERVICE_FIELDS, G_N_ELEMENTS(SERVICE_FIELDS),
    sizeof(document_service_t), DOCUMENT_SERVICES_MAX};

static void
read_list(const list_spec_t *spec, json_t *list, GArray *out,
          GPtrArray *faults)
{
    if (list == NULL) {
        return;
    }
    if (!json_is_array(list)) {
        faults_add(faults, spec->name, NULL, "must be a list");
        return;
    }
    if (json_array_size(list) > spec->most) {
        faults_add(faults, spec->name, NULL, "must have at most %u items",
                   spec->most);
        return;
    }
    size_t index;
    json_t *item;
    json_array_foreach(list, index, item)
    {
        char *base = g_strdup_printf("%s.%zu", spec->name, index);
        g_array_set_size(out, out->len + 1);
        void *target = out->data + (out->len - 1) * spec->item_size;
        fields_read(item, base, spec->fields, spec->field_count, target,
                    faults);
        g_free(base);
    }
}

static void
clear_list(const list_spec_t *spec, GArray *items)
{
    for (guint i = 0; i < items->len; i++) {
        fields_clear(spec->fields, spec->field_count,
                     items->data + i * spec->item_size);
    }
    g_array_unref(items);
}

/* ---- checks across fields ---- */

static void
check_classes(document_t *d, GPtrArray *faults)
{
    double shares = 0;
    if (d->classes->len == 0) {
        faults_add(faults, "classes", NULL, "must have at least one class");
    }
    for (guint i = 0; i < d->classes->len; i++) {
        document_class_t *c = &g_array_index(d->classes, document_class_t, i);
        char *base = g_strdup_printf("classes.%u", i);
        shares += c->least_share;
        if (c->name && g_hash_table_contains(d->class_by_name, c->name)) {
            faults_add(faults, base, "name", "class %s stands twice", c->name);
        }
        else if (c->name) {
            g_hash_table_insert(d->class_by_name, c->name,
                                GUINT_TO_POINTER(i + 1));
        }
        if (!c->repeatable && c->resume) {
            faults_add(faults, base, "resume",
                       "must be false where repeatable is false");
        }
        g_free(base);
    }
    if (shares > LEAST_SHARES_SUM) {
        faults_add(faults, "classes", NULL,
                   "least_share of all classes adds up to %g, at most %g",
                   shares, LEAST_SHARES_SUM);
    }
}

static gboolean
is_sha256(const char *text)
{
    return strlen(text) == 64 && strspn(text, "0123456789abcdef") == 64;
}

static void
check_teams(document_t *d, GPtrArray *faults)
{
    GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; i < d->teams->len; i++) {
        document_team_t *t = &g_array_index(d->teams, document_team_t, i);
        char *base = g_strdup_printf("teams.%u", i);
        if (t->name && !g_hash_table_add(names, t->name)) {
            faults_add(faults, base, "name", "team %s stands twice", t->name);
        }
        for (int k = 0; t->key_sha256 && t->key_sha256[k]; k++) {
            if (!is_sha256(t->key_sha256[k])) {
                faults_add(faults, base, "key_sha256",
                           "item %d must be 64 lower-case hex digits", k);
            }
            else if (g_hash_table_contains(d->team_by_key, t->key_sha256[k])) {
                faults_add(faults, base, "key_sha256",
                           "item %d is another team's key too", k);
            }
            else {
                g_hash_table_insert(d->team_by_key, t->key_sha256[k], t);
            }
        }
        g_free(base);
    }
    g_hash_table_unref(names);
}

static guint
resolve_class(document_t *d, const char *name, const char *base,
              GPtrArray *faults)
{
    gpointer found = name ? g_hash_table_lookup(d->class_by_name, name) : NULL;
    if (found == NULL) {
        if (name != NULL) {
            faults_add(faults, base, "class", "no class is named %s", name);
        }
        return 0;
    }
    return GPOINTER_TO_UINT(found) - 1;
}

static void
check_routes(document_t *d, GPtrArray *faults)
{
    for (guint i = 0; i < d->routes->len; i++) {
        document_route_t *r = &g_array_index(d->routes, document_route_t, i);
        char *base = g_strdup_printf("routes.%u", i);
        r->class_index = resolve_class(d, r->class_name, base, faults);
        if ((r->header == NULL) != (r->value == NULL)) {
            faults_add(faults, base, "header", "goes together with value");
        }
        g_free(base);
    }
}

static void
check_services(document_t *d, GPtrArray *faults)
{
    for (guint i = 0; i < d->services->len; i++) {
        document_service_t *s =
            &g_array_index(d->services, document_service_t, i);
        char *base = g_strdup_printf("services.%u", i);
        s->class_index = resolve_class(d, s->class_name, base, faults);
        if (s->name && !g_hash_table_insert(d->service_by_name, s->name, s)) {
            faults_add(faults, base, "name", "service %s stands twice",
                       s->name);
        }
        g_free(base);
    }
}

static void
fill_specs(document_t *d)
{
    for (guint i = 0; i < d->classes->len; i++) {
        const document_class_t *c = document_class(d, i);
        d->specs[i] = (class_spec_t){
            .tier = (int)c->tier,
            .min_share = c->least_share,
            .weight = c->weight,
            .first_token_us = c->first_token_ms * 1000,
            .between_tokens_us = c->between_tokens_ms * 1000,
            .deadline_us = c->deadline_ms * 1000,
            .max_wait_us = c->max_wait_ms * 1000,
            .queue_limit = (guint)c->queue_limit,
            .typical_tokens = (guint)c->typical_tokens,
            .resume = c->resume && c->repeatable,
            .protect = c->protect,
        };
    }
}

static document_t *
document_create(str_t text, guint64 version)
{
    document_t *d = g_new0(document_t, 1);
    d->references = 1;
    d->version = version;
    d->text = str_dup(text);
    d->length = text.length;
    d->classes = g_array_new(FALSE, TRUE, sizeof(document_class_t));
    d->teams = g_array_new(FALSE, TRUE, sizeof(document_team_t));
    d->routes = g_array_new(FALSE, TRUE, sizeof(document_route_t));
    d->services = g_array_new(FALSE, TRUE, sizeof(document_service_t));
    d->team_by_key = g_hash_table_new(g_str_hash, g_str_equal);
    d->service_by_name = g_hash_table_new(g_str_hash, g_str_equal);
    d->class_by_name = g_hash_table_new(g_str_hash, g_str_equal);
    return d;
}

static void
document_destroy(document_t *d)
{
    clear_list(&CLASS_LIST, d->classes);
    clear_list(&TEAM_LIST, d->teams);
    clear_list(&ROUTE_LIST, d->routes);
    clear_list(&SERVICE_LIST, d->services);
    g_hash_table_unref(d->team_by_key);
    g_hash_table_unref(d->service_by_name);
    g_hash_table_unref(d->class_by_name);
    g_free(d->text);
    g_free(d);
}

static void
read_parts(document_t *d, json_t *root, GPtrArray *faults)
{
    parts_t parts = {0};
    fields_read(root, "", PART_FIELDS, G_N_ELEMENTS(PART_FIELDS), &parts,
                faults);
    read_list(&CLASS_LIST, parts.classes, d->classes, faults);
    read_list(&TEAM_LIST, parts.teams, d->teams, faults);
    read_list(&ROUTE_LIST, parts.routes, d->routes, faults);
    read_list(&SERVICE_LIST, parts.services, d->services, faults);
    json_t *limits = parts.limits ? json_incref(parts.limits) : json_object();
    fields_read(limits, "limits", LIMIT_FIELDS, G_N_ELEMENTS(LIMIT_FIELDS),
                &d->limits, faults);
    json_decref(limits);
    fields_clear(PART_FIELDS, G_N_ELEMENTS(PART_FIELDS), &parts);
}

document_t *
document_parse(str_t text, guint64 version, GPtrArray *faults)
{
    jsonc_error_t error;
    json_t *root = jsonc_parse(text, &error);
    if (root == NULL) {
        faults_add(faults, NULL, NULL, "line %d, column %d: %s", error.line,
                   error.column, error.text);
        return NULL;
    }
    document_t *d = document_create(text, version);
    read_parts(d, root, faults);
    json_decref(root);
    check_classes(d, faults);
    check_teams(d, faults);
    check_routes(d, faults);
    check_services(d, faults);
    if (faults->len > 0) {
        document_destroy(d);
        return NULL;
    }
    fill_specs(d);
    return d;
}

document_t *
document_ref(document_t *document)
{
    g_atomic_int_inc(&document->references);
    return document;
}

void
document_unref(document_t *document)
{
    if (document && g_atomic_int_dec_and_test(&document->references)) {
        document_destroy(document);
    }
}

guint64
document_version(const document_t *document)
{
    return document->version;
}

str_t
document_text(const document_t *document)
{
    return (str_t){.data = document->text, .length = document->length};
}

guint
document_class_count(const document_t *document)
{
    return document->classes->len;
}

const document_class_t *
document_class(const document_t *document, guint index)
{
    return &g_array_index(document->classes, document_class_t, index);
}

const class_spec_t *
document_class_specs(const document_t *document)
{
    return document->specs;
}

const document_limits_t *
document_limits(const document_t *document)
{
    return &document->limits;
}

const document_team_t *
document_find_team(const document_t *document, str_t key)
{
    char *digest = g_compute_checksum_for_data(
        G_CHECKSUM_SHA256, (const guchar *)key.data, key.length);
    const document_team_t *team =
        g_hash_table_lookup(document->team_by_key, digest);
    g_free(digest);
    return team;
}

const document_service_t *
document_find_service(const document_t *document, const char *name)
{
    return g_hash_table_lookup(document->service_by_name, name);
}

static gboolean
fits(const char *wanted, const char *actual)
{
    return wanted == NULL || *wanted == '\0' || g_strcmp0(wanted, actual) == 0;
}

int
document_find_class(const document_t *document, const char *path,
                    const char *model, const char *team, header_fn_t header,
                    void *data)
{
    for (guint i = 0; i < document->routes->len; i++) {
        const document_route_t *r =
            &g_array_index(document->routes, document_route_t, i);
        if (!fits(r->path, path) || !fits(r->model, model) ||
            !fits(r->team, team)) {
            continue;
        }
        if (r->header && g_strcmp0(header(r->header, data), r->value) != 0) {
            continue;
        }
        return (int)r->class_index;
    }
    return -1;
}

gboolean
document_class_allows(const document_class_t *class_info, const char *pool)
{
    if (class_info->pools == NULL || class_info->pools[0] == NULL) {
        return TRUE;
    }
    return g_strv_contains((const char *const *)class_info->pools, pool);
}

/* ---- differences, for the conflict answer ---- */

static void
difference_add(GString *out, const char *path, json_t *from, json_t *to)
{
    char *a = from ? json_dumps(from, JSON_ENCODE_ANY | JSON_COMPACT) : NULL;
    char *b = to ? json_dumps(to, JSON_ENCODE_ANY | JSON_COMPACT) : NULL;
    g_string_append_printf(out, "%s: %s -> %s\n", path, a ? a : "(absent)",
                           b ? b : "(absent)");
    free(a);
    free(b);
}

/* The name of a list's item, by which it is matched, or NULL. */
static const char *
item_name(json_t *item)
{
    return json_string_value(json_object_get(item, "name"));
}

static json_t *
find_named(json_t *list, const char *name)
{
    size_t index;
    json_t *item;
    json_array_foreach(list, index, item)
    {
        if (g_strcmp0(item_name(item), name) == 0) {
            return item;
        }
    }
    return NULL;
}

static void
difference_list(GString *out, const char *path, json_t *from, json_t *to)
{
    size_t index;
    json_t *item;
    if (json_array_size(from) && item_name(json_array_get(from, 0)) == NULL) {
        difference_add(out, path, from, to);
        return;
    }
    json_array_foreach(from, index, item)
    {
        json_t *other = find_named(to, item_name(item));
        if (!json_equal(item, other)) {
            char *name = g_strdup_printf("%s.%s", path, item_name(item));
            difference_add(out, name, item, other);
            g_free(name);
        }
    }
    json_array_foreach(to, index, item)
    {
        if (find_named(from, item_name(item)) == NULL) {
            char *name = g_strdup_printf("%s.%s", path, item_name(item));
            difference_add(out, name, NULL, item);
            g_free(name);
        }
    }
}

char *
document_difference(str_t from, str_t to)
{
    jsonc_error_t error;
    json_t *a = jsonc_parse(from, &error);
    json_t *b = jsonc_parse(to, &error);
    GString *out = g_string_new(NULL);
    for (gsize i = 0; i < G_N_ELEMENTS(PART_FIELDS); i++) {
        const char *key = PART_FIELDS[i].key;
        json_t *x = json_object_get(a, key);
        json_t *y = json_object_get(b, key);
        if (json_equal(x, y)) {
            continue;
        }
        if (json_is_array(x) && json_is_array(y)) {
            difference_list(out, key, x, y);
        }
        else {
            difference_add(out, key, x, y);
        }
    }
    json_decref(a);
    json_decref(b);
    return g_string_free(out, FALSE);
}
