/* A stand-in for the calls of the users' platform that one instance at a time
 * makes: usage and engines ordered.
 *
 * It writes a line for each call, and a line that begins with BROKEN for each
 * that the platform forbids: a token lower than seen before, a token of two
 * holders, holder, other, holder within a bound, and figures of a window that
 * differ from those taken before. The file named by --mode says how it
 * answers from now on: ok, slow, silent, refuse, busy or endless. */
#include <argtable2.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "carobloom/common/task.h"
#include "carobloom/http/server.h"

enum {
    MS = 1000,
    SLOW_US = 900 * MS,
};

/* What was seen of one subject of a duty. */
typedef struct {
    guint64 token;    /* the highest */
    char *holder;     /* that sent it */
    GHashTable *last; /* holder -> gint64, its last call */
    GHashTable *away; /* set of holders after which another called */
} subject_t;

typedef struct {
    const char *listen;
    const char *mode_path;
    gint64 apart_us;
    FILE *log;
    GMainLoop *loop;
    task_t *task;
    poller_t *poller;
    timers_t *timers;
    http_server_t *server;
    GHashTable *subjects; /* name -> subject_t */
    GHashTable *figures;  /* window -> text of the counts taken */
} platform_t;

/* An answer that is held back. */
typedef struct {
    platform_t *platform;
    http_exchange_t *exchange;
    guint64 timer;
} slow_t;

static subject_t *
subject_find(platform_t *p, const char *name)
{
    subject_t *s = g_hash_table_lookup(p->subjects, name);
    if (s == NULL) {
        s = g_new0(subject_t, 1);
        s->last =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        s->away = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        g_hash_table_insert(p->subjects, g_strdup(name), s);
    }
    return s;
}

static void
broken(const platform_t *p, const char *subject, const char *what,
       const char *holder, guint64 token)
{
    fprintf(p->log, "BROKEN %s: %s by %s, token %" G_GUINT64_FORMAT "\n",
            subject, what, holder, token);
}

/* Notes a call; what is forbidden about its holder and token is written. */
static void
judge_holder(platform_t *p, const char *name, const char *holder,
             guint64 token)
{
    subject_t *s = subject_find(p, name);
    gint64 now = timers_now(p->timers);
    const gint64 *last = g_hash_table_lookup(s->last, holder);
    if (token < s->token) {
        broken(p, name, "a lower token", holder, token);
    }
    if (token == s->token && s->holder != NULL &&
        strcmp(s->holder, holder) != 0) {
        broken(p, name, "a token of two holders", holder, token);
    }
    if (last != NULL && g_hash_table_contains(s->away, holder) &&
        now - *last < p->apart_us) {
        broken(p, name, "back too soon", holder, token);
    }
    GHashTableIter iter;
    gpointer other;
    g_hash_table_iter_init(&iter, s->last);
    while (g_hash_table_iter_next(&iter, &other, NULL)) {
        if (strcmp(other, holder) != 0) {
            g_hash_table_add(s->away, g_strdup(other));
        }
    }
    g_hash_table_remove(s->away, holder);
    g_hash_table_replace(s->last, g_strdup(holder),
                         g_memdup2(&now, sizeof(now)));
    s->token = MAX(s->token, token);
    g_free(s->holder);
    s->holder = g_strdup(holder);
}

static void
take_usage(platform_t *p, json_t *body, const char *holder, guint64 token)
{
    json_int_t window = json_integer_value(json_object_get(body, "Window"));
    char *counts = json_dumps(json_object_get(body, "Counts"),
                              JSON_COMPACT | JSON_SORT_KEYS);
    char *key = g_strdup_printf("%" JSON_INTEGER_FORMAT, window);
    const char *before = g_hash_table_lookup(p->figures, key);
    fprintf(p->log,
            "usage %s %" G_GUINT64_FORMAT " %" JSON_INTEGER_FORMAT " %s\n",
            holder, token, window, counts != NULL ? counts : "none");
    if (before != NULL && g_strcmp0(before, counts) != 0) {
        broken(p, "usage", "other figures", holder, token);
    }
    judge_holder(p, "usage", holder, token);
    g_hash_table_replace(p->figures, key, g_strdup(counts));
    free(counts);
}

static void
take_order(platform_t *p, json_t *body, const char *holder, guint64 token)
{
    const char *service = json_string_value(json_object_get(body, "Service"));
    const char *place = json_string_value(json_object_get(body, "Zone"));
    char *name = g_strdup_printf("%s@%s", service, place);
    fprintf(p->log,
            "scale %s %" G_GUINT64_FORMAT " %s %" JSON_INTEGER_FORMAT " %s\n",
            holder, token, name,
            json_integer_value(json_object_get(body, "Desired")),
            json_is_true(json_object_get(body, "Spot")) ? "reclaimable"
                                                        : "kept");
    judge_holder(p, name, holder, token);
    g_free(name);
}

static void
answer(http_exchange_t *exchange, guint status)
{
    http_exchange_answer(exchange, status,
                         STR("Content-Type: application/json\r\n"), STR("{}"));
}

static void
slow_due(void *data)
{
    slow_t *slow = data;
    http_exchange_t *exchange = slow->exchange;
    http_exchange_set_data(exchange, NULL);
    g_free(slow);
    answer(exchange, 200);
}

static void
answer_slowly(platform_t *p, http_exchange_t *exchange)
{
    slow_t *slow = g_new0(slow_t, 1);
    slow->platform = p;
    slow->exchange = exchange;
    slow->timer = timers_subscribe(p->timers, SLOW_US, 0, slow_due, slow);
    http_exchange_set_data(exchange, slow);
}

/* Goes on until the caller closes the connection. */
static void
endless_step(void *data)
{
    slow_t *slow = data;
    enum { PIECE_BYTES = 64 * 1024, STEP_US = MS };
    if (http_exchange_backlog(slow->exchange) == 0) {
        char *piece = g_strnfill(PIECE_BYTES, 'x');
        http_exchange_write(slow->exchange, str_from_cstr(piece));
        g_free(piece);
    }
    slow->timer = timers_subscribe(slow->platform->timers, STEP_US, 0,
                                   endless_step, slow);
}

static void
answer_endlessly(platform_t *p, http_exchange_t *exchange)
{
    slow_t *slow = g_new0(slow_t, 1);
    *slow = (slow_t){.platform = p, .exchange = exchange};
    http_exchange_set_data(exchange, slow);
    http_exchange_begin(exchange, 500, STR(""));
    endless_step(slow);
}

static char *
mode_now(const platform_t *p)
{
    char *mode = NULL;
    if (!g_file_get_contents(p->mode_path, &mode, NULL, NULL)) {
        return g_strdup("ok");
    }
    return g_strstrip(mode);
}

/* Takes a call and answers it as the mode says. */
static void
take_call(platform_t *p, http_exchange_t *exchange, const char *mode)
{
    str_t target = http_head_target(http_exchange_head(exchange));
    str_t body = http_exchange_body(exchange);
    str_t holder = {0};
    str_t token = {0};
    http_head_find(http_exchange_head(exchange), "Duty-Holder", &holder);
    http_head_find(http_exchange_head(exchange), "Fencing-Token", &token);
    json_t *root = json_loadb(body.data, body.length, 0, NULL);
    char *name = str_dup(holder);
    char *number = str_dup(token);
    guint64 fence = g_ascii_strtoull(number, NULL, 10);
    if (root == NULL || *name == '\0' || fence == 0) {
        fprintf(p->log, "BROKEN call: unreadable\n");
        answer(exchange, 400);
    }
    else {
        if (str_equal(target, STR("/usage"))) {
            take_usage(p, root, name, fence);
        }
        else {
            take_order(p, root, name, fence);
        }
        if (strcmp(mode, "slow") == 0) {
            answer_slowly(p, exchange);
        }
        else {
            answer(exchange, 200);
        }
    }
    fflush(p->log);
    json_decref(root);
    g_free(name);
    g_free(number);
}

static void
handle_request(http_exchange_t *exchange, void *user)
{
    platform_t *p = user;
    char *mode = mode_now(p);
    if (strcmp(mode, "refuse") == 0) {
        answer(exchange, 409);
    }
    else if (strcmp(mode, "busy") == 0) {
        answer(exchange, 429);
    }
    else if (strcmp(mode, "endless") == 0) {
        answer_endlessly(p, exchange);
    }
    else if (strcmp(mode, "silent") != 0) {
        take_call(p, exchange, mode);
    }
    g_free(mode);
}

static void
handle_gone(http_exchange_t *exchange, void *user)
{
    (void)user;
    slow_t *slow = http_exchange_data(exchange);
    if (slow != NULL) {
        timers_cancel(slow->platform->timers, slow->timer);
        g_free(slow);
    }
}

static void
handle_drained(http_exchange_t *exchange, void *user)
{
    (void)exchange;
    (void)user;
}

static const http_server_ops_t SERVER_OPS = {
    .request = handle_request, .gone = handle_gone, .drained = handle_drained};
static const http_limits_t LIMITS = {
    .head_max = 16384,
    .body_max = 1024 * 1024,
    .head_us = 5 * G_USEC_PER_SEC,
    .idle_us = 10 * G_USEC_PER_SEC,
    .connections = 200,
    .buffered_max = 16 * 1024 * 1024,
};

/* ---- life ---- */

static void
on_message(void *state, message_t *message)
{
    (void)state;
    (void)message;
}

static const task_ops_t TASK_OPS = {
    .name = "platform", .mailbox_bound = 1, .handle = on_message};

static void
on_turn(gint64 now_us, void *data)
{
    platform_t *p = data;
    timers_advance(p->timers, now_us);
}

static void
subject_free(gpointer data)
{
    subject_t *s = data;
    g_hash_table_unref(s->last);
    g_hash_table_unref(s->away);
    g_free(s->holder);
    g_free(s);
}

static int
platform_run(platform_t *p)
{
    p->loop = g_main_loop_new(NULL, FALSE);
    p->task = task_create(&TASK_OPS, p, g_main_context_default());
    p->timers = task_timers(p->task);
    p->poller = poller_create(g_main_context_default(), on_turn, p);
    p->subjects =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, subject_free);
    p->figures =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    p->server = http_server_create(p->poller, p->timers, p->listen, &LIMITS,
                                   &SERVER_OPS, p);
    if (p->server == NULL) {
        fprintf(stderr, "can not listen at %s\n", p->listen);
        return 1;
    }
    g_main_loop_run(p->loop);
    return 0;
}

int
main(int argc, char **argv)
{
    struct arg_str *listen = arg_str1(NULL, "listen", "IP:PORT", "");
    struct arg_int *apart =
        arg_int0(NULL, "apart-ms", "MS", "holder, other, holder (3000)");
    struct arg_file *mode = arg_file1(NULL, "mode", "FILE", "how it answers");
    struct arg_file *log = arg_file1(NULL, "log", "FILE", "what it was told");
    struct arg_end *end = arg_end(10);
    void *table[] = {listen, apart, mode, log, end};
    if (arg_parse(argc, argv, table) > 0) {
        arg_print_errors(stderr, end, argv[0]);
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    platform_t platform = {
        .listen = listen->sval[0],
        .mode_path = mode->filename[0],
        .apart_us = (apart->count > 0 ? apart->ival[0] : 3000) * (gint64)MS,
        .log = fopen(log->filename[0], "a"),
    };
    if (platform.log == NULL) {
        fprintf(stderr, "can not write %s\n", log->filename[0]);
        return 1;
    }
    int code = platform_run(&platform);
    fclose(platform.log);
    arg_freetable(table, G_N_ELEMENTS(table));
    return code;
}
