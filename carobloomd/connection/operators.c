/* The operators' listener: the calls of the client. The console's are in
 * console.c. */
#include <jansson.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "carobloom/common/fields.h"
#include "carobloom/common/jsonc.h"
#include "carobloom/connection/http.h"

const char *
operators_find(http_t *http, SoupServerMessage *message)
{
    const char *bearer = soup_message_headers_get_one(
        soup_server_message_get_request_headers(message), "Authorization");
    if (bearer == NULL || g_ascii_strncasecmp(bearer, "Bearer ", 7) != 0) {
        return NULL;
    }
    char *digest =
        g_compute_checksum_for_string(G_CHECKSUM_SHA256, bearer + 7, -1);
    const GArray *keys = http->process->settings->operator_keys;
    const char *name = NULL;
    for (guint i = 0; i < keys->len && name == NULL; i++) {
        const operator_settings_t *key =
            &g_array_index(keys, operator_settings_t, i);
        if (strcmp(key->sha256, digest) == 0) {
            name = key->name;
        }
    }
    g_free(digest);
    return name;
}

/* ---- answers put together from several tasks ---- */

typedef struct {
    SoupServerMessage *message;
    json_t *root;
    guint waiting;
} gather_t;

typedef struct {
    gather_t *gather;
    char key[16];
} gather_part_t;

/* One part less to wait for; the last one answers. */
static void
gather_release(gather_t *g)
{
    if (--g->waiting > 0) {
        return;
    }
    char *text = json_dumps(g->root, JSON_INDENT(2) | JSON_SORT_KEYS);
    http_reply_json(g->message, 200, text, -1);
    soup_server_message_unpause(g->message);
    g_object_unref(g->message);
    json_decref(g->root);
    free(text);
    g_free(g);
}

static void
on_part(const reply_message_t *reply, void *data)
{
    gather_part_t *part = data;
    gather_t *g = part->gather;
    json_t *json = json_loadb(reply->text, reply->length, 0, NULL);
    if (json != NULL) {
        json_object_set_new(g->root, part->key, json);
    }
    g_free(part);
    gather_release(g);
}

static void
gather_ask(http_t *http, gather_t *g, const char *key, task_t *task,
           message_type_t type)
{
    if (task == NULL) {
        return;
    }
    gather_part_t *part = g_new0(gather_part_t, 1);
    part->gather = g;
    g_strlcpy(part->key, key, sizeof(part->key));
    g->waiting++;
    task_send(task, MESSAGE(ask_message_t, .base = {type, message_free},
                            .call = http_call_create(http, on_part, part),
                            .http = http->task));
}

static json_t *
self_json(const http_t *http)
{
    const process_t *p = http->process;
    char member[20];
    g_snprintf(member, sizeof(member), "%016lx", (unsigned long)p->member);
    return json_pack(
        "{s:s, s:s, s:s, s:s, s:b, s:b, s:i, s:I, s:s}", "instance",
        p->settings->instance, "data_centre", p->settings->data_centre,
        "region", p->settings->region, "member", member, "ready",
        g_atomic_int_get(&p->ready) && !g_atomic_int_get(&p->draining),
        "draining", g_atomic_int_get(&p->draining) != 0, "in_flight",
        g_atomic_int_get(&p->in_flight), "up_s",
        (json_int_t)((g_get_monotonic_time() - p->started_us) /
                     G_USEC_PER_SEC),
        "release", CAROBLOOM_VERSION);
}

static gather_t *
gather_create(http_t *http, SoupServerMessage *message)
{
    gather_t *g = g_new0(gather_t, 1);
    g->waiting = 1; /* until all are asked */
    g->message = g_object_ref(message);
    g->root = json_pack("{s:o}", "self", self_json(http));
    soup_server_message_pause(message);
    return g;
}

/* ---- the calls ---- */

static void
handle_status(http_t *http, SoupServerMessage *message)
{
    gather_t *g = gather_create(http, message);
    gather_ask(http, g, "document", http->process->voter, VOTER_DUMP);
    gather_ask(http, g, "peers", http->process->peers, PEERS_DUMP);
    gather_release(g);
}

static void
handle_endpoints(http_t *http, SoupServerMessage *message)
{
    gather_t *g = gather_create(http, message);
    gather_ask(http, g, "policy", http->process->policy, POLICY_DUMP);
    gather_release(g);
}

static void
handle_dump(http_t *http, SoupServerMessage *message)
{
    gather_t *g = gather_create(http, message);
    gather_ask(http, g, "policy", http->process->policy, POLICY_DUMP);
    gather_ask(http, g, "document", http->process->voter, VOTER_DUMP);
    gather_ask(http, g, "peers", http->process->peers, PEERS_DUMP);
    for (guint i = 0; i < http->process->http_count; i++) {
        char key[16];
        g_snprintf(key, sizeof(key), "requests_%u", i);
        gather_ask(http, g, key, http->process->http[i], HTTP_ASK);
    }
    gather_release(g);
}

static void
handle_history(http_t *http, SoupServerMessage *message)
{
    guint64 call = http_call_for(http, message);
    task_send(http->process->voter,
              MESSAGE(ask_message_t, .base = {VOTER_HISTORY, message_free},
                      .call = call, .http = http->task));
}

static void
handle_document(http_t *http, SoupServerMessage *message)
{
    if (http->document == NULL) {
        http_reply_json(message, 404, "{\"version\":0}", -1);
        return;
    }
    str_t text = document_text(http->document);
    char *version = g_strdup_printf("%" G_GUINT64_FORMAT,
                                    document_version(http->document));
    soup_message_headers_replace(
        soup_server_message_get_response_headers(message), "Carobloom-Version",
        version);
    g_free(version);
    http_reply_json(message, 200, text.data, (gssize)text.length);
}

static void
handle_drain(http_t *http, SoupServerMessage *message)
{
    (void)http;
    if (strcmp(soup_server_message_get_method(message), "POST") != 0) {
        http_reply_json(message, 405, "{\"text\":\"use POST\"}", -1);
        return;
    }
    http_reply_json(message, 202, "{\"state\":\"draining\"}", -1);
    kill(getpid(), SIGTERM);
}

static const char *const VERBS[] = {"load-model", "load-adapter",
                                    "set-version", "set-role", NULL};

typedef struct {
    char *address;
    char *verb;
    char *value;
} order_t;

static const field_t ORDER_FIELDS[] = {
    {.key = "address",
     .type = FIELD_STRING,
     .offset = offsetof(order_t, address),
     .required = TRUE,
     .min = 1,
     .max = 64},
    {.key = "verb",
     .type = FIELD_STRING,
     .offset = offsetof(order_t, verb),
     .required = TRUE,
     .choices = VERBS},
    {.key = "value",
     .type = FIELD_STRING,
     .offset = offsetof(order_t, value),
     .required = TRUE,
     .min = 1,
     .max = 128},
};

static void
handle_order(http_t *http, SoupServerMessage *message)
{
    GBytes *body = soup_message_body_flatten(
        soup_server_message_get_request_body(message));
    gsize length;
    const char *data = g_bytes_get_data(body, &length);
    jsonc_error_t error;
    json_t *json = jsonc_parse(
        (str_t){.data = data ? data : "", .length = length}, &error);
    GPtrArray *faults = faults_create();
    order_t order = {0};
    if (json == NULL) {
        faults_add(faults, NULL, NULL, "line %d: %s", error.line, error.text);
    }
    else {
        fields_read(json, "", ORDER_FIELDS, G_N_ELEMENTS(ORDER_FIELDS), &order,
                    faults);
    }
    if (order.address && !address_parse(order.address, NULL, NULL)) {
        faults_add(faults, "", "address", "must be IP:PORT");
    }
    if (faults->len > 0) {
        const fault_t *f = faults->pdata[0];
        char *text = g_strdup_printf("{\"path\":\"%s\",\"text\":\"%s\"}",
                                     f->path, f->text);
        http_reply_json(message, 400, text, -1);
        g_free(text);
    }
    else {
        task_send(
            http->process->voter,
            MESSAGE(order_message_t, .base = {VOTER_ORDER, order_message_free},
                    .call = http_call_for(http, message), .http = http->task,
                    .address = g_strdup(order.address),
                    .verb = g_strdup(order.verb),
                    .value = g_strdup(order.value)));
    }
    fields_clear(ORDER_FIELDS, G_N_ELEMENTS(ORDER_FIELDS), &order);
    faults_destroy(faults);
    json_decref(json);
    g_bytes_unref(body);
}

/* Sorted by path, looked up by name. */
static const struct {
    const char *path;
    void (*handle)(http_t *http, SoupServerMessage *message);
} CALLS[] = {
    {"/api/document", handle_document}, {"/api/drain", handle_drain},
    {"/api/dump", handle_dump},         {"/api/endpoints", handle_endpoints},
    {"/api/history", handle_history},   {"/api/order", handle_order},
    {"/api/status", handle_status},
};

static void
handle_api(SoupServer *server, SoupServerMessage *message, const char *path,
           GHashTable *query, gpointer data)
{
    (void)server;
    (void)query;
    http_t *http = data;
    if (operators_find(http, message) == NULL) {
        http_reply_json(message, 401,
                        "{\"text\":\"no operator has this key\"}", -1);
        return;
    }
    for (gsize i = 0; i < G_N_ELEMENTS(CALLS); i++) {
        if (strcmp(path, CALLS[i].path) == 0) {
            CALLS[i].handle(http, message);
            return;
        }
    }
    http_reply_json(message, 404, "{\"text\":\"no such call\"}", -1);
}

void
operators_register(http_t *http)
{
    soup_server_add_handler(http->operators, "/api", handle_api, http, NULL);
    console_register(http);
}
