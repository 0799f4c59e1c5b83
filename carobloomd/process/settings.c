#include "carobloom/process/settings.h"

#include <gio/gio.h>
#include <string.h>

#include "carobloom/common/fields.h"
#include "carobloom/common/jsonc.h"

static const char *const LOG_FORMS[] = {"plain", "json", NULL};
static const char *const LOG_LEVELS[] = {"debug", "info", "warn", "error",
                                         NULL};
enum { NAME_MAX_BYTES = 64, Z85_KEY_BYTES = 40 };

/* The parts of the file that are objects or lists. */
typedef struct {
    settings_t settings;
    json_t *callers;
    json_t *platform;
    json_t *operators;
    json_t *peers;
    json_t *log;
} root_t;

#define ROOT_FIELD(k, t, m, ...)                                              \
    {                                                                         \
        .key = #k, .type = t, .offset = offsetof(root_t, m), __VA_ARGS__      \
    }

static const field_t ROOT_FIELDS[] = {
    ROOT_FIELD(instance, FIELD_STRING, settings.instance, .required = TRUE,
               .min = 1, .max = NAME_MAX_BYTES),
    ROOT_FIELD(data_centre, FIELD_STRING, settings.data_centre,
               .required = TRUE, .min = 1, .max = NAME_MAX_BYTES),
    ROOT_FIELD(region, FIELD_STRING, settings.region, .min = 1,
               .max = NAME_MAX_BYTES, .fallback = "default"),
    ROOT_FIELD(control, FIELD_BOOL, settings.control, .fallback = "false"),
    ROOT_FIELD(data_folder, FIELD_STRING, settings.data_folder, .min = 1,
               .max = 4096),
    ROOT_FIELD(voters, FIELD_STRINGS, settings.voters, .max = 9),
    ROOT_FIELD(http_threads, FIELD_INT, settings.http_threads, .min = 1,
               .max = 64, .fallback = "4"),
    ROOT_FIELD(connections, FIELD_INT, settings.connections, .min = 1,
               .max = 100000, .fallback = "4096"),
    ROOT_FIELD(drain_notice_ms, FIELD_INT, settings.drain_notice_ms, .min = 0,
               .max = 600000, .fallback = "3000"),
    ROOT_FIELD(callers, FIELD_JSON, callers, .required = TRUE),
    ROOT_FIELD(platform, FIELD_JSON, platform, .required = TRUE),
    ROOT_FIELD(operators, FIELD_JSON, operators, .required = TRUE),
    ROOT_FIELD(peers, FIELD_JSON, peers),
    ROOT_FIELD(log, FIELD_JSON, log),
};

#define LISTENER_FIELDS                                                       \
    {.key = "address",                                                        \
     .type = FIELD_STRING,                                                    \
     .offset = offsetof(listener_settings_t, address),                        \
     .required = TRUE,                                                        \
     .min = 1,                                                                \
     .max = 64},                                                              \
        {.key = "certificate",                                                \
         .type = FIELD_STRING,                                                \
         .offset = offsetof(listener_settings_t, certificate),                \
         .min = 1,                                                            \
         .max = 4096},                                                        \
    {                                                                         \
        .key = "key", .type = FIELD_STRING,                                   \
        .offset = offsetof(listener_settings_t, key), .min = 1, .max = 4096   \
    }

static const field_t LISTENER[] = {LISTENER_FIELDS};

/* The operators' listener has keys too. */
typedef struct {
    listener_settings_t listener;
    json_t *keys;
} operators_t;

static const field_t OPERATORS[] = {
    LISTENER_FIELDS,
    {.key = "keys",
     .type = FIELD_JSON,
     .offset = offsetof(operators_t, keys),
     .required = TRUE},
};

static const field_t OPERATOR_KEY[] = {
    {.key = "name",
     .type = FIELD_STRING,
     .offset = offsetof(operator_settings_t, name),
     .required = TRUE,
     .min = 1,
     .max = NAME_MAX_BYTES},
    {.key = "sha256",
     .type = FIELD_STRING,
     .offset = offsetof(operator_settings_t, sha256),
     .required = TRUE,
     .min = 64,
     .max = 64},
};

static const field_t PEERS[] = {
    {.key = "address",
     .type = FIELD_STRING,
     .offset = offsetof(peers_settings_t, address),
     .required = TRUE,
     .min = 1,
     .max = 64},
    {.key = "seeds",
     .type = FIELD_STRINGS,
     .offset = offsetof(peers_settings_t, seeds),
     .max = 64},
    {.key = "public_key",
     .type = FIELD_STRING,
     .offset = offsetof(peers_settings_t, public_key),
     .min = Z85_KEY_BYTES,
     .max = Z85_KEY_BYTES},
    {.key = "secret_key",
     .type = FIELD_STRING,
     .offset = offsetof(peers_settings_t, secret_key),
     .min = Z85_KEY_BYTES,
     .max = Z85_KEY_BYTES},
};

static const field_t LOG[] = {
    {.key = "form",
     .type = FIELD_STRING,
     .offset = offsetof(settings_t, log_form),
     .choices = LOG_FORMS,
     .fallback = "plain"},
    {.key = "level",
     .type = FIELD_STRING,
     .offset = offsetof(settings_t, log_level),
     .choices = LOG_LEVELS,
     .fallback = "info"},
};

gboolean
address_parse(const char *text, char **host, guint16 *port)
{
    const char *colon = text ? strrchr(text, ':') : NULL;
    if (colon == NULL || colon == text) {
        return FALSE;
    }
    gsize length = (gsize)(colon - text);
    gboolean bracketed = text[0] == '[' && text[length - 1] == ']';
    char *name =
        bracketed ? g_strndup(text + 1, length - 2) : g_strndup(text, length);
    guint64 number;
    gboolean ok = g_hostname_is_ip_address(name) &&
                  g_ascii_string_to_unsigned(colon + 1, 10, 0, G_MAXUINT16,
                                             &number, NULL);
    if (ok && host) {
        *host = g_steal_pointer(&name);
    }
    if (ok && port) {
        *port = (guint16)number;
    }
    g_free(name);
    return ok;
}

gboolean
address_is_loopback(const char *text)
{
    char *host = NULL;
    if (!address_parse(text, &host, NULL)) {
        return FALSE;
    }
    GInetAddress *address = g_inet_address_new_from_string(host);
    gboolean loopback = address && g_inet_address_get_is_loopback(address);
    g_clear_object(&address);
    g_free(host);
    return loopback;
}

static void
check_address(const char *text, const char *base, GPtrArray *faults)
{
    if (text && !address_parse(text, NULL, NULL)) {
        faults_add(faults, base, "address",
                   "must be IP:PORT, an IP number and a port of 0 to 65535");
    }
}

static void
check_listener(const listener_settings_t *l, const char *base,
               gboolean needs_tls, GPtrArray *faults)
{
    check_address(l->address, base, faults);
    if ((l->certificate == NULL) != (l->key == NULL)) {
        faults_add(faults, base, "certificate", "goes together with key");
    }
    gboolean open = l->address && address_parse(l->address, NULL, NULL) &&
                    !address_is_loopback(l->address);
    if (needs_tls && open && l->certificate == NULL) {
        faults_add(faults, base, "address",
                   "beyond loopback needs certificate and key");
    }
}

static void
read_operators(settings_t *s, json_t *object, GPtrArray *faults)
{
    operators_t operators = {0};
    fields_read(object, "operators", OPERATORS, G_N_ELEMENTS(OPERATORS),
                &operators, faults);
    s->operators = operators.listener;
    check_listener(&s->operators, "operators", TRUE, faults);
    if (operators.keys && !json_is_array(operators.keys)) {
        faults_add(faults, "operators", "keys", "must be a list");
    }
    size_t index;
    json_t *item;
    json_array_foreach(operators.keys, index, item)
    {
        operator_settings_t key = {0};
        char *base = g_strdup_printf("operators.keys.%zu", index);
        fields_read(item, base, OPERATOR_KEY, G_N_ELEMENTS(OPERATOR_KEY), &key,
                    faults);
        g_free(base);
        g_array_append_val(s->operator_keys, key);
    }
    json_decref(operators.keys);
}

static void
read_peers(settings_t *s, json_t *object, GPtrArray *faults)
{
    if (object == NULL) {
        return;
    }
    fields_read(object, "peers", PEERS, G_N_ELEMENTS(PEERS), &s->peers,
                faults);
    check_address(s->peers.address, "peers", faults);
    for (int i = 0; s->peers.seeds && s->peers.seeds[i]; i++) {
        if (!address_parse(s->peers.seeds[i], NULL, NULL)) {
            faults_add(faults, "peers", "seeds", "item %d must be IP:PORT", i);
        }
    }
    if ((s->peers.public_key == NULL) != (s->peers.secret_key == NULL)) {
        faults_add(faults, "peers", "public_key", "goes with secret_key");
    }
    gboolean open = s->peers.address &&
                    address_parse(s->peers.address, NULL, NULL) &&
                    !address_is_loopback(s->peers.address);
    if (open && s->peers.public_key == NULL) {
        faults_add(faults, "peers", "address",
                   "beyond loopback needs public_key and secret_key");
    }
}

static void
check_voters(const settings_t *s, GPtrArray *faults)
{
    guint count = s->voters ? g_strv_length(s->voters) : 0;
    if (count == 0) {
        return;
    }
    if (count % 2 == 0) {
        faults_add(faults, "", "voters", "must be an odd number of names");
    }
    gboolean own =
        s->instance &&
        g_strv_contains((const char *const *)s->voters, s->instance);
    if (own && s->data_folder == NULL) {
        faults_add(faults, "", "data_folder", "is required of a voter");
    }
    if (s->peers.address == NULL && (count > 1 || !own)) {
        faults_add(faults, "", "peers", "is required to reach the voters");
    }
}

static void
read_root(settings_t *s, root_t *root, GPtrArray *faults)
{
    *s = root->settings;
    s->operator_keys = g_array_new(FALSE, TRUE, sizeof(operator_settings_t));
    if (root->callers) {
        fields_read(root->callers, "callers", LISTENER, G_N_ELEMENTS(LISTENER),
                    &s->callers, faults);
        check_listener(&s->callers, "callers", TRUE, faults);
    }
    if (root->platform) {
        fields_read(root->platform, "platform", LISTENER,
                    G_N_ELEMENTS(LISTENER), &s->platform, faults);
        check_listener(&s->platform, "platform", FALSE, faults);
    }
    if (root->operators) {
        read_operators(s, root->operators, faults);
    }
    read_peers(s, root->peers, faults);
    json_t *log = root->log ? json_incref(root->log) : json_object();
    fields_read(log, "log", LOG, G_N_ELEMENTS(LOG), s, faults);
    json_decref(log);
    check_voters(s, faults);
}

int
settings_parse(str_t text, settings_t **settings, GPtrArray *faults)
{
    jsonc_error_t error;
    json_t *json = jsonc_parse(text, &error);
    if (json == NULL) {
        faults_add(faults, NULL, NULL, "line %d, column %d: %s", error.line,
                   error.column, error.text);
        return SETTINGS_ERROR_FAULTS;
    }
    settings_t *s = g_new0(settings_t, 1);
    root_t root = {0};
    fields_read(json, "", ROOT_FIELDS, G_N_ELEMENTS(ROOT_FIELDS), &root,
                faults);
    read_root(s, &root, faults);
    json_decref(root.callers);
    json_decref(root.platform);
    json_decref(root.operators);
    json_decref(root.peers);
    json_decref(root.log);
    json_decref(json);
    if (faults->len > 0) {
        faults_add_lines(faults, text);
        settings_destroy(s);
        return SETTINGS_ERROR_FAULTS;
    }
    *settings = s;
    return SETTINGS_OK;
}

int
settings_load(const char *path, settings_t **settings, GPtrArray *faults)
{
    gsize length = 0;
    char *text = faults_read_file(path, &length, faults);
    if (text == NULL) {
        return SETTINGS_ERROR_READ;
    }
    int result = settings_parse((str_t){.data = text, .length = length},
                                settings, faults);
    g_free(text);
    return result;
}

void
settings_destroy(settings_t *s)
{
    root_t root = {.settings = *s};
    fields_clear(ROOT_FIELDS, G_N_ELEMENTS(ROOT_FIELDS), &root);
    fields_clear(LISTENER, G_N_ELEMENTS(LISTENER), &s->callers);
    fields_clear(LISTENER, G_N_ELEMENTS(LISTENER), &s->platform);
    fields_clear(LISTENER, G_N_ELEMENTS(LISTENER), &s->operators);
    fields_clear(PEERS, G_N_ELEMENTS(PEERS), &s->peers);
    fields_clear(LOG, G_N_ELEMENTS(LOG), s);
    for (guint i = 0; i < s->operator_keys->len; i++) {
        fields_clear(OPERATOR_KEY, G_N_ELEMENTS(OPERATOR_KEY),
                     &g_array_index(s->operator_keys, operator_settings_t, i));
    }
    g_array_unref(s->operator_keys);
    g_free(s);
}
