#include "harness.h"
#include "child_process.h"
#include "loopback_claim.h"

#include <glib/gstdio.h>
#include <jansson.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "carobloom/common/jsonc.h"
#include "carobloom/policy/sse.h"

enum { FIRST_PORT = 20000, PORT_COUNT = 12000 };

#define OPERATOR_KEY "change-me"
#define TEAM_KEY "workshop-key"

void
sleep_ms(int ms)
{
    g_usleep((gulong)ms * 1000);
}

/* Ports below the kernel's ephemeral range: one of that range may be taken by
 * somebody's outgoing connection before it is used. Each is handed out once,
 * to one test program. */
int
free_port(void)
{
    static guint next;
    if (next == 0) {
        next = (guint)getpid() * 97;
    }
    for (;;) {
        int port = FIRST_PORT + (int)(next++ % PORT_COUNT);
        if (!loopback_claim("port", (guint)port)) {
            continue; /* of another test program, or handed out before */
        }
        GSocketAddress *address =
            g_inet_socket_address_new_from_string("127.0.0.1", (guint)port);
        GSocket *socket =
            g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                         G_SOCKET_PROTOCOL_TCP, NULL);
        gboolean ok = g_socket_bind(socket, address, TRUE, NULL);
        g_object_unref(socket);
        g_object_unref(address);
        if (ok) {
            return port;
        }
    }
}

/* ---- calls ---- */

void
answer_free(answer_t *a)
{
    g_free(a->body);
    g_free(a->outcome);
    g_free(a->endpoint);
    g_free(a);
}

static char *
header_copy(SoupMessage *message, const char *name)
{
    const char *value = soup_message_headers_get_one(
        soup_message_get_response_headers(message), name);
    return g_strdup(value ? value : "");
}

static answer_t *
send_message(SoupSession *session, SoupMessage *message, const char *body)
{
    answer_t *a = g_new0(answer_t, 1);
    if (body != NULL) {
        GBytes *bytes = g_bytes_new(body, strlen(body));
        soup_message_set_request_body_from_bytes(message, "application/json",
                                                 bytes);
        g_bytes_unref(bytes);
    }
    GBytes *got = soup_session_send_and_read(session, message, NULL, NULL);
    if (got != NULL) {
        gsize length;
        const char *data = g_bytes_get_data(got, &length);
        a->status = soup_message_get_status(message);
        a->body = g_strndup(data ? data : "", length);
        g_bytes_unref(got);
    }
    else {
        a->body = g_strdup("");
    }
    a->outcome = header_copy(message, "Carobloom-Outcome");
    a->endpoint = header_copy(message, "Carobloom-Endpoint");
    g_object_unref(message);
    return a;
}

static SoupMessage *
message_to(const char *method, int port, const char *path, const char *key)
{
    char *uri = g_strdup_printf("http://127.0.0.1:%d%s", port, path);
    SoupMessage *message = soup_message_new(method, uri);
    g_free(uri);
    if (key != NULL) {
        char *bearer = g_strdup_printf("Bearer %s", key);
        soup_message_headers_replace(soup_message_get_request_headers(message),
                                     "Authorization", bearer);
        g_free(bearer);
    }
    return message;
}

answer_t *
call_whole(site_t *site, guint at, const char *path, const char *key,
           const char *body)
{
    SoupMessage *message =
        message_to("POST", site->instances[at].callers, path, TEAM_KEY);
    if (key != NULL) {
        soup_message_headers_replace(soup_message_get_request_headers(message),
                                     "Idempotency-Key", key);
    }
    return send_message(site->session, message, body);
}

static answer_t *
ask_operators(site_t *site, guint at, const char *path)
{
    return send_message(
        site->session,
        message_to("GET", site->instances[at].operators, path, OPERATOR_KEY),
        NULL);
}

/* ---- instances ---- */

static void
write_settings(site_t *site, guint at)
{
    instance_t *in = &site->instances[at];
    json_t *voters = json_array();
    for (guint i = 0; i < site->voters; i++) {
        json_array_append_new(voters, json_string(site->instances[i].name));
    }
    json_t *seeds = json_array();
    for (guint i = 0; i < MIN(site->count, 3); i++) {
        char *seed = g_strdup_printf("127.0.0.1:%d", site->instances[i].peers);
        json_array_append_new(seeds, json_string(seed));
        g_free(seed);
    }
    char address[4][32];
    int ports[4] = {in->callers, in->platform, in->operators, in->peers};
    for (int i = 0; i < 4; i++) {
        g_snprintf(address[i], sizeof(address[i]), "127.0.0.1:%d", ports[i]);
    }
    char *digest =
        g_compute_checksum_for_string(G_CHECKSUM_SHA256, OPERATOR_KEY, -1);
    json_t *root = json_pack(
        "{s:s, s:s, s:o, s:i, s:{s:s}, s:{s:s}, s:{s:s, s:[{s:s, s:s}]}, "
        "s:{s:s}}",
        "instance", in->name, "data_centre", at % 3 ? "amman-1" : "amman-2",
        "voters", voters, "drain_notice_ms", 300, "callers", "address",
        address[0], "platform", "address", address[1], "operators", "address",
        address[2], "keys", "name", "tester", "sha256", digest, "log", "level",
        "info");
    g_free(digest);
    if (site->count > 1) {
        json_t *peers =
            json_pack("{s:s, s:o}", "address", address[3], "seeds", seeds);
        if (site->curve) {
            /* The pair of ZeroMQ's own documentation, for tests only. */
            json_object_set_new(
                peers, "public_key",
                json_string("Yne@$w-vo<fVvi]a<NY6T1ed:M$fCG*[IaLV{hID"));
            json_object_set_new(
                peers, "secret_key",
                json_string("D:)Q[IlAW!ahhC2ac:9*A}h:p?([4%wOTJ%JR%cs"));
        }
        json_object_set_new(root, "peers", peers);
    }
    else {
        json_decref(seeds);
    }
    if (at < site->voters) {
        char *data = g_build_filename(in->folder, "data", NULL);
        json_object_set_new(root, "data_folder", json_string(data));
        g_free(data);
    }
    char *path = g_build_filename(in->folder, "settings.jsonc", NULL);
    json_dump_file(root, path, JSON_INDENT(2));
    json_decref(root);
    g_free(path);
}

site_t *
site_create(guint instances, guint voters)
{
    site_t *site = g_new0(site_t, 1);
    site->folder = g_dir_make_tmp("carobloom-XXXXXX", NULL);
    site->count = instances;
    site->voters = voters;
    site->curve = instances > 1 && !g_getenv("NO_CURVE");
    site->session = soup_session_new_with_options(
        "timeout", 15, "max-conns", 2000, "max-conns-per-host", 500, NULL);
    for (guint i = 0; i < instances; i++) {
        instance_t *in = &site->instances[i];
        in->name = g_strdup_printf("desk-%03u", i);
        in->folder = g_build_filename(site->folder, in->name, NULL);
        g_mkdir(in->folder, 0700);
        in->callers = free_port();
        in->platform = free_port();
        in->operators = free_port();
        in->peers = free_port();
    }
    for (guint i = 0; i < instances; i++) {
        write_settings(site, i);
    }
    return site;
}

void
site_start(site_t *site, guint at)
{
    instance_t *in = &site->instances[at];
    char *settings = g_build_filename(in->folder, "settings.jsonc", NULL);
    char *log = g_build_filename(in->folder, "log", NULL);
    GSubprocessLauncher *launcher =
        g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_NONE);
    g_subprocess_launcher_set_stderr_file_path(launcher, log);
    in->process = g_subprocess_launcher_spawn(launcher, NULL, CAROBLOOMD,
                                              "--settings", settings, NULL);
    g_object_unref(launcher);
    g_free(settings);
    g_free(log);
}

void
site_start_all(site_t *site)
{
    for (guint i = 0; i < site->count; i++) {
        site_start(site, i);
    }
}

void
site_signal(site_t *site, guint at, int signal)
{
    child_process_signal(site->instances[at].process, signal);
}

int
site_wait_exit(site_t *site, guint at)
{
    instance_t *in = &site->instances[at];
    g_subprocess_wait(in->process, NULL, NULL);
    int code = g_subprocess_get_if_exited(in->process)
                   ? g_subprocess_get_exit_status(in->process)
                   : -1;
    g_clear_object(&in->process);
    return code;
}

static void
remove_folder(const char *folder)
{
    GDir *dir = g_dir_open(folder, 0, NULL);
    const char *name;
    while (dir && (name = g_dir_read_name(dir)) != NULL) {
        char *path = g_build_filename(folder, name, NULL);
        if (g_file_test(path, G_FILE_TEST_IS_DIR)) {
            remove_folder(path);
        }
        else {
            g_unlink(path);
        }
        g_free(path);
    }
    g_clear_pointer(&dir, g_dir_close);
    g_rmdir(folder);
}

void
site_lose_disk(site_t *site, guint at)
{
    char *data = g_build_filename(site->instances[at].folder, "data", NULL);
    remove_folder(data);
    g_free(data);
}

void
site_destroy(site_t *site)
{
    for (guint i = 0; i < site->count; i++) {
        instance_t *in = &site->instances[i];
        if (in->process != NULL) {
            site_signal(site, i, SIGKILL);
            site_wait_exit(site, i);
        }
        g_free(in->name);
        g_free(in->folder);
    }
    if (g_getenv("KEEP_SITE") == NULL) {
        remove_folder(site->folder);
    }
    else {
        printf("kept %s\n", site->folder);
    }
    g_object_unref(site->session);
    g_free(site->folder);
    g_free(site);
}

gboolean
site_wait_ready(site_t *site, guint at)
{
    for (int i = 0; i < WAIT_MS / 50; i++) {
        answer_t *a = send_message(
            site->session,
            message_to("GET", site->instances[at].platform, "/readyz", NULL),
            NULL);
        gboolean ready = a->status == 200;
        answer_free(a);
        if (ready) {
            return TRUE;
        }
        sleep_ms(50);
    }
    return FALSE;
}

char *
site_sample(void)
{
    char *text = NULL;
    g_file_get_contents(SOURCE_ROOT "/samples/site.jsonc", &text, NULL, NULL);
    return text;
}

answer_t *
site_submit(site_t *site, guint at, const char *change, guint64 base,
            const char *text)
{
    SoupMessage *message = message_to("POST", site->instances[at].operators,
                                      "/console/submit", OPERATOR_KEY);
    SoupMessageHeaders *h = soup_message_get_request_headers(message);
    char *version = g_strdup_printf("%" G_GUINT64_FORMAT, base);
    soup_message_headers_replace(h, "Carobloom-Change", change);
    soup_message_headers_replace(h, "Carobloom-Base", version);
    g_free(version);
    char *sample = text ? NULL : site_sample();
    answer_t *a = send_message(site->session, message, text ? text : sample);
    g_free(sample);
    return a;
}

char *
site_sample_with_weight(int weight)
{
    char *sample = site_sample();
    char *edit =
        g_strdup_printf("\"weight\": %d, \"name\": \"workshop\"", weight);
    char **parts = g_strsplit(sample, "\"name\": \"workshop\"", 2);
    char *text = g_strjoinv(edit, parts);
    g_strfreev(parts);
    g_free(edit);
    g_free(sample);
    return text;
}

site_t *
site_up(guint instances, guint voters)
{
    site_t *site = site_create(instances, voters);
    site_start_all(site);
    gboolean ok = FALSE;
    for (int i = 0; i < 300 && !ok; i++) {
        answer_t *a = site_submit(site, 0, "first", 0, NULL);
        ok = a->status == 200;
        answer_free(a);
        if (!ok) {
            sleep_ms(100);
        }
    }
    for (guint i = 0; i < instances && ok; i++) {
        ok = site_wait_ready(site, i);
    }
    if (!ok) {
        printf("%u instances with %u voters did not come up\n", instances,
               voters);
        site_destroy(site);
        exit(1);
    }
    return site;
}

double
site_metric(site_t *site, guint at, const char *name)
{
    answer_t *a = send_message(
        site->session,
        message_to("GET", site->instances[at].platform, "/metrics", NULL),
        NULL);
    double value = 0;
    char *line = g_strdup_printf("\ncarobloom_%s ", name);
    char *found = strstr(a->body, line);
    if (found != NULL) {
        value = g_ascii_strtod(found + strlen(line), NULL);
    }
    g_free(line);
    answer_free(a);
    return value;
}

guint64
site_version(site_t *site, guint at)
{
    return (guint64)site_metric(site, at, "document_version");
}

/* The usable slots of a pool as one instance sees them, if it owns it. */
static int
slots_seen(site_t *site, guint at, const char *pool)
{
    answer_t *a = ask_operators(site, at, "/api/endpoints");
    json_t *root = json_loads(a->body, 0, NULL);
    json_t *pools = json_object_get(json_object_get(root, "policy"), "pools");
    int slots = 0;
    size_t index;
    json_t *item;
    json_array_foreach(pools, index, item)
    {
        const char *name = json_string_value(json_object_get(item, "pool"));
        if (g_strcmp0(name, pool) == 0) {
            slots += (int)json_integer_value(json_object_get(item, "slots"));
        }
    }
    json_decref(root);
    answer_free(a);
    return slots;
}

gboolean
site_wait_slots(site_t *site, const char *pool, int slots)
{
    for (int i = 0; i < WAIT_MS / 50; i++) {
        for (guint k = 0; k < site->count; k++) {
            if (site->instances[k].process &&
                slots_seen(site, k, pool) >= slots) {
                return TRUE;
            }
        }
        sleep_ms(50);
    }
    return FALSE;
}

/* ---- stand-ins ---- */

engine_t *
engine_start(site_t *site, const char *name, const char *serves,
             const char *kind, const char *extra)
{
    engine_t *engine = g_new0(engine_t, 1);
    GPtrArray *args = g_ptr_array_new_with_free_func(g_free);
    engine->log = g_build_filename(site->folder, name, NULL);
    g_ptr_array_add(args, g_strdup(STANDIN));
    g_ptr_array_add(args, g_strdup_printf("--serves=%s", serves));
    g_ptr_array_add(args, g_strdup_printf("--kind=%s", kind));
    g_ptr_array_add(args, g_strdup_printf("--log=%s", engine->log));
    for (guint i = 0; i < MIN(site->count, 2); i++) {
        g_ptr_array_add(args, g_strdup_printf("--platform=127.0.0.1:%d",
                                              site->instances[i].platform));
    }
    char **more = g_strsplit(extra ? extra : "", " ", -1);
    for (int i = 0; more[i]; i++) {
        if (*more[i]) {
            g_ptr_array_add(args, g_strdup(more[i]));
        }
    }
    g_strfreev(more);
    g_ptr_array_add(args, NULL);
    engine->process = g_subprocess_newv((const char *const *)args->pdata,
                                        G_SUBPROCESS_FLAGS_STDOUT_PIPE, NULL);
    GDataInputStream *out =
        g_data_input_stream_new(g_subprocess_get_stdout_pipe(engine->process));
    engine->address = g_data_input_stream_read_line(out, NULL, NULL, NULL);
    g_object_unref(out);
    g_ptr_array_unref(args);
    return engine;
}

void
engine_destroy(engine_t *engine)
{
    g_subprocess_force_exit(engine->process);
    g_subprocess_wait(engine->process, NULL, NULL);
    g_object_unref(engine->process);
    g_free(engine->address);
    g_free(engine->log);
    g_free(engine);
}

void
engine_fault(site_t *site, engine_t *engine, const char *kind, int count)
{
    char *uri = g_strdup_printf("http://%s/fault?kind=%s&count=%d",
                                engine->address, kind, count);
    answer_free(
        send_message(site->session, soup_message_new("GET", uri), NULL));
    g_free(uri);
}

guint
engine_count(const engine_t *engine, const char *what, const char *text)
{
    char *log = NULL;
    guint count = 0;
    if (!g_file_get_contents(engine->log, &log, NULL, NULL)) {
        return 0;
    }
    char **lines = g_strsplit(log, "\n", -1);
    for (int i = 0; lines[i]; i++) {
        char **words = g_strsplit(lines[i], " ", 3);
        if (g_strv_length(words) == 3 && strcmp(words[0], what) == 0 &&
            (text == NULL || strcmp(words[1], text) == 0 ||
             strcmp(words[2], text) == 0)) {
            count++;
        }
        g_strfreev(words);
    }
    g_strfreev(lines);
    g_free(log);
    return count;
}

/* ---- streamed chats ---- */

typedef struct {
    chat_t *chat;
    SoupMessage *message;
    GInputStream *stream;
    sse_t sse;
    gint64 last_us;
    guint *open;
} chat_run_t;

static int
on_chat_event(str_t data, str_t raw, void *user)
{
    chat_run_t *run = user;
    chat_t *c = run->chat;
    (void)raw;
    if (str_equal(data, STR("[DONE]"))) {
        c->whole = c->words == c->tokens && c->in_order;
        return 0;
    }
    if (data.length == 0) {
        return 0;
    }
    json_t *event = json_loadb(data.data, data.length, 0, NULL);
    json_t *choice = json_array_get(json_object_get(event, "choices"), 0);
    const char *word = json_string_value(
        json_object_get(json_object_get(choice, "delta"), "content"));
    char wanted[32];
    g_snprintf(wanted, sizeof(wanted), "w%d ", c->words);
    c->error_event |= json_object_get(event, "error") != NULL;
    if (word != NULL) {
        gint64 now = g_get_monotonic_time();
        c->in_order &= strcmp(word, wanted) == 0;
        c->words++;
        if (c->first_us == 0) {
            c->first_us = now;
        }
        else {
            c->worst_gap_us = MAX(c->worst_gap_us, now - run->last_us);
        }
        run->last_us = now;
    }
    json_decref(event);
    return 0;
}

static void
chat_end(chat_run_t *run)
{
    run->chat->ended_us = g_get_monotonic_time();
    (*run->open)--;
    g_clear_object(&run->stream);
    g_object_unref(run->message);
    sse_clear(&run->sse);
    g_free(run);
}

static void
on_chat_read(GObject *source, GAsyncResult *result, gpointer data)
{
    chat_run_t *run = data;
    GBytes *bytes =
        g_input_stream_read_bytes_finish(G_INPUT_STREAM(source), result, NULL);
    gsize length = 0;
    const char *raw = bytes ? g_bytes_get_data(bytes, &length) : NULL;
    if (length > 0) {
        sse_feed(&run->sse, (str_t){.data = raw, .length = length},
                 on_chat_event, run);
        g_input_stream_read_bytes_async(run->stream, 65536, 0, NULL,
                                        on_chat_read, run);
    }
    g_clear_pointer(&bytes, g_bytes_unref);
    if (length == 0) {
        chat_end(run);
    }
}

static void
on_chat_sent(GObject *source, GAsyncResult *result, gpointer data)
{
    chat_run_t *run = data;
    run->stream = soup_session_send_finish(SOUP_SESSION(source), result, NULL);
    if (run->stream == NULL) {
        chat_end(run);
        return;
    }
    run->chat->status = soup_message_get_status(run->message);
    g_input_stream_read_bytes_async(run->stream, 65536, 0, NULL, on_chat_read,
                                    run);
}

static void
chat_start(SoupSession *session, const char *address, chat_t *c, guint *open)
{
    chat_run_t *run = g_new0(chat_run_t, 1);
    char *uri = g_strdup_printf("http://%s/v1/chat/completions", address);
    char *body = g_strdup_printf(
        "{\"model\":\"draft-7b\",\"stream\":true,\"max_tokens\":%d,"
        "\"messages\":[{\"role\":\"user\",\"content\":\"a belt\"}]}",
        c->tokens);
    *run = (chat_run_t){
        .chat = c, .message = soup_message_new("POST", uri), .open = open};
    sse_init(&run->sse);
    c->in_order = TRUE;
    c->started_us = g_get_monotonic_time();
    SoupMessageHeaders *h = soup_message_get_request_headers(run->message);
    soup_message_headers_replace(h, "Authorization", "Bearer " TEAM_KEY);
    soup_message_headers_replace(h, "X-Request-Id", "direct-1");
    if (c->task != NULL) {
        soup_message_headers_replace(h, "X-Task", c->task);
    }
    GBytes *bytes = g_bytes_new_take(body, strlen(body));
    soup_message_set_request_body_from_bytes(run->message, "application/json",
                                             bytes);
    g_bytes_unref(bytes);
    (*open)++;
    soup_session_send_async(session, run->message, 0, NULL, on_chat_sent, run);
    g_free(uri);
}

static SoupSession *
chat_session(void)
{
    return soup_session_new_with_options("timeout", 60, "max-conns", 5000,
                                         "max-conns-per-host", 5000, NULL);
}

static gboolean
wake_up(gpointer data)
{
    (void)data;
    return G_SOURCE_CONTINUE;
}

void
chats_run(site_t *site, chat_t *chats, guint count,
          void (*during)(guint open, void *data), void *data)
{
    SoupSession *session = chat_session();
    guint open = 0;
    guint timer = g_timeout_add(10, wake_up, NULL);
    for (guint i = 0; i < count; i++) {
        char address[32];
        g_snprintf(address, sizeof(address), "127.0.0.1:%d",
                   site->instances[chats[i].at].callers);
        chat_start(session, address, &chats[i], &open);
    }
    gint64 last = g_get_monotonic_time();
    while (open > 0) {
        g_main_context_iteration(NULL, TRUE);
        gint64 now = g_get_monotonic_time();
        if (during && now - last >= 10000) {
            last = now;
            during(open, data);
        }
    }
    g_source_remove(timer);
    g_object_unref(session);
}
