/* The platform's listener: health, metrics, and endpoints' announcements. */
#include <string.h>

#include "carobloom/common/counters.h"
#include "carobloom/common/fields.h"
#include "carobloom/common/jsonc.h"
#include "carobloom/connection/http.h"
#include "carobloom/policy/rendezvous.h"
#include "carobloom/process/settings.h"

enum { ANNOUNCE_BYTES_MAX = 64 * 1024 };

static const char *const KINDS[] = {"model", "service", NULL};
static const char *const PROTOCOLS[] = {"openai", "plain", NULL};

#define INFO_FIELD(k, t, ...)                                                 \
    {                                                                         \
        .key = #k, .type = t, .offset = offsetof(endpoint_info_t, k),         \
        __VA_ARGS__                                                           \
    }

static const field_t INFO_FIELDS[] = {
    INFO_FIELD(address, FIELD_STRING, .required = TRUE, .min = 1, .max = 64),
    INFO_FIELD(serves, FIELD_STRING, .required = TRUE, .min = 1, .max = 64),
    INFO_FIELD(kind, FIELD_STRING, .choices = KINDS, .fallback = "model"),
    INFO_FIELD(protocol, FIELD_STRING, .choices = PROTOCOLS,
               .fallback = "openai"),
    INFO_FIELD(role, FIELD_STRING, .max = 64),
    INFO_FIELD(data_centre, FIELD_STRING, .max = 64),
    INFO_FIELD(version, FIELD_STRING, .max = 64),
    INFO_FIELD(adapters, FIELD_STRINGS, .max = 256),
    INFO_FIELD(slots, FIELD_INT, .required = TRUE, .min = 1, .max = 65535),
    INFO_FIELD(interval_ms, FIELD_INT, .min = 100, .max = 60000,
               .fallback = "1000"),
    INFO_FIELD(fencing, FIELD_BOOL, .fallback = "false"),
    INFO_FIELD(running, FIELD_INT, .min = 0, .max = 65535),
    INFO_FIELD(waiting, FIELD_INT, .min = 0, .max = 65535),
    INFO_FIELD(token_us, FIELD_NUMBER, .min = 0, .max = 1e9),
    INFO_FIELD(age_ms, FIELD_INT, .min = 0, .max = 3600000),
};

/* A goodbye or a cache event. */
typedef struct {
    char *address;
    char *serves;
    char *prefix; /* the text whose state the cache holds */
    gboolean present;
} event_t;

#define EVENT_FIELD(k, t, ...)                                                \
    {                                                                         \
        .key = #k, .type = t, .offset = offsetof(event_t, k), __VA_ARGS__     \
    }

static const field_t EVENT_FIELDS[] = {
    EVENT_FIELD(address, FIELD_STRING, .required = TRUE, .min = 1, .max = 64),
    EVENT_FIELD(serves, FIELD_STRING, .required = TRUE, .min = 1, .max = 64),
    EVENT_FIELD(prefix, FIELD_STRING, .max = 65536),
    EVENT_FIELD(present, FIELD_BOOL, .fallback = "true"),
};

static void
reply_faults(SoupServerMessage *message, GPtrArray *faults)
{
    json_t *list = json_array();
    for (guint i = 0; i < faults->len; i++) {
        const fault_t *fault = faults->pdata[i];
        json_array_append_new(
            list,
            json_pack("{s:s, s:s}", "path", fault->path, "text", fault->text));
    }
    json_t *root = json_pack("{s:o}", "faults", list);
    char *text = json_dumps(root, JSON_COMPACT);
    http_reply_json(message, 400, text, -1);
    free(text);
    json_decref(root);
}

/* Reads the body into `target`; FALSE when the faults were answered. */
static gboolean
body_read(SoupServerMessage *message, const field_t *fields, gsize count,
          void *target)
{
    GBytes *bytes = soup_message_body_flatten(
        soup_server_message_get_request_body(message));
    gsize length;
    const char *data = g_bytes_get_data(bytes, &length);
    GPtrArray *faults = faults_create();
    jsonc_error_t error;
    json_t *json = NULL;
    if (length > ANNOUNCE_BYTES_MAX) {
        faults_add(faults, NULL, NULL, "must be at most %d bytes",
                   ANNOUNCE_BYTES_MAX);
    }
    else {
        json = jsonc_parse((str_t){.data = data ? data : "", .length = length},
                           &error);
        if (json == NULL) {
            faults_add(faults, NULL, NULL, "line %d, column %d: %s",
                       error.line, error.column, error.text);
        }
    }
    if (json != NULL) {
        fields_read(json, "", fields, count, target, faults);
        const char *address =
            json_string_value(json_object_get(json, "address"));
        if (address && !address_parse(address, NULL, NULL)) {
            faults_add(faults, "", "address", "must be IP:PORT");
        }
    }
    gboolean ok = faults->len == 0;
    if (!ok) {
        reply_faults(message, faults);
        fields_clear(fields, count, target);
    }
    json_decref(json);
    faults_destroy(faults);
    g_bytes_unref(bytes);
    return ok;
}

static void
handle_announce(SoupServer *server, SoupServerMessage *message,
                const char *path, GHashTable *query, gpointer data)
{
    (void)server;
    (void)path;
    (void)query;
    http_t *http = data;
    endpoint_info_t info = {0};
    if (!body_read(message, INFO_FIELDS, G_N_ELEMENTS(INFO_FIELDS), &info)) {
        return;
    }
    task_send(http->process->policy,
              MESSAGE(endpoint_message_t,
                      .base = {POLICY_ENDPOINT, endpoint_message_free},
                      .info = info));
    http_reply_json(message, 200, "{}", -1);
}

static void
send_event(http_t *http, message_type_t type, event_t *event)
{
    task_send(http->process->policy,
              MESSAGE(endpoint_event_message_t,
                      .base = {type, endpoint_event_message_free},
                      .address = g_steal_pointer(&event->address),
                      .serves = g_steal_pointer(&event->serves),
                      .prefix = event->prefix
                                    ? hash_text(str_from_cstr(event->prefix))
                                    : 0,
                      .present = event->present));
    g_clear_pointer(&event->prefix, g_free);
}

static void
handle_event(SoupServer *server, SoupServerMessage *message, const char *path,
             GHashTable *query, gpointer data)
{
    (void)server;
    (void)query;
    event_t event = {0};
    if (!body_read(message, EVENT_FIELDS, G_N_ELEMENTS(EVENT_FIELDS),
                   &event)) {
        return;
    }
    gboolean goodbye = strcmp(path, "/endpoints/goodbye") == 0;
    send_event(data, goodbye ? POLICY_GOODBYE : POLICY_PREFIX, &event);
    http_reply_json(message, 200, "{}", -1);
}

static void
handle_live(SoupServer *server, SoupServerMessage *message, const char *path,
            GHashTable *query, gpointer data)
{
    (void)server;
    (void)path;
    (void)query;
    (void)data;
    http_reply_json(message, 200, "{\"live\":true}", -1);
}

static void
handle_ready(SoupServer *server, SoupServerMessage *message, const char *path,
             GHashTable *query, gpointer data)
{
    (void)server;
    (void)path;
    (void)query;
    const http_t *http = data;
    if (g_atomic_int_get(&http->process->draining)) {
        http_reply_json(message, 503, "{\"ready\":false,\"why\":\"draining\"}",
                        -1);
        return;
    }
    if (!g_atomic_int_get(&http->process->ready)) {
        http_reply_json(
            message, 503,
            "{\"ready\":false,\"why\":\"no confirmed site document\"}", -1);
        return;
    }
    http_reply_json(message, 200, "{\"ready\":true}", -1);
}

static void
handle_metrics(SoupServer *server, SoupServerMessage *message,
               const char *path, GHashTable *query, gpointer data)
{
    (void)server;
    (void)path;
    (void)query;
    http_t *http = data;
    counter_set(counter_get("requests_in_flight", NULL, TRUE),
                g_atomic_int_get(&http->process->in_flight));
    counter_set(counter_get("document_version", NULL, TRUE),
                http->document ? (gint64)document_version(http->document) : 0);
    char *text = counters_text();
    soup_server_message_set_status(message, 200, NULL);
    soup_server_message_set_response(message, "text/plain; version=0.0.4",
                                     SOUP_MEMORY_TAKE, text, strlen(text));
}

void
platform_register(http_t *http)
{
    SoupServer *s = http->platform;
    soup_server_add_handler(s, "/livez", handle_live, http, NULL);
    soup_server_add_handler(s, "/readyz", handle_ready, http, NULL);
    soup_server_add_handler(s, "/metrics", handle_metrics, http, NULL);
    soup_server_add_handler(s, "/endpoints/announce", handle_announce, http,
                            NULL);
    soup_server_add_handler(s, "/endpoints/goodbye", handle_event, http, NULL);
    soup_server_add_handler(s, "/endpoints/cache", handle_event, http, NULL);
}
