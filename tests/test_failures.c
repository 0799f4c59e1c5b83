/* The brief's promises against real processes, engines that misbehave, kills,
 * stops and cuts. Each test first shows that its trouble happened. */
#include <signal.h>
#include <string.h>

#include "check.h"
#include "child_process.h"
#include "harness.h"
#include "listener.h"
#include "proxy.h"
#include "standin.h"

enum { STREAMS = 200 };

static chat_t *
chats_create(guint count, guint instances, int tokens, const char *task)
{
    chat_t *chats = g_new0(chat_t, count);
    for (guint i = 0; i < count; i++) {
        chats[i] = (chat_t){.at = i % instances,
                            .tokens = tokens + (int)(i % 7),
                            .task = task};
    }
    return chats;
}

/* Whole and own, or an error that can be told from an answer. */
static guint
count_wrong(const chat_t *chats, guint count, guint *whole)
{
    guint wrong = 0;
    *whole = 0;
    for (guint i = 0; i < count; i++) {
        const chat_t *c = &chats[i];
        *whole += c->whole && !c->error_event;
        gboolean told = c->error_event || c->status != 200;
        gboolean looks_whole = c->whole && c->words != c->tokens;
        if (!c->in_order || looks_whole || (!c->whole && !told)) {
            wrong++;
        }
    }
    return wrong;
}

/* ---- own answers ---- */

static void
test_own_answers(void)
{
    static const char *const faults[] = {
        "truncate", "swap", "delay", "close", "stall", "repeat", "refuse"};
    site_t *site = site_up(2, 0 + 1);
    engine_t *engines[4];
    for (int i = 0; i < 4; i++) {
        char name[16];
        g_snprintf(name, sizeof(name), "engine-%d", i);
        engines[i] = engine_start(site, name, "draft-7b", "model",
                                  "--slots=80 --token-us=4000");
    }
    CU_ASSERT_FATAL(site_wait_slots(site, "draft-7b", 320));
    for (guint f = 0; f < G_N_ELEMENTS(faults); f++) {
        engine_fault(site, engines[f % 4], faults[f], 5);
        chat_t *chats = chats_create(STREAMS / 4, 2, 20, NULL);
        guint whole;
        chats_run(site, chats, STREAMS / 4, NULL, NULL);
        guint wrong = count_wrong(chats, STREAMS / 4, &whole);
        printf("%s: %u whole, %u wrong; ", faults[f], whole, wrong);
        CU_ASSERT_EQUAL(wrong, 0);
        CU_ASSERT(whole >= STREAMS / 4 - 5);
        g_free(chats);
    }
    chat_t *chats = chats_create(STREAMS, 2, 30, NULL);
    guint whole;
    chats_run(site, chats, STREAMS, NULL, NULL);
    CU_ASSERT_EQUAL(count_wrong(chats, STREAMS, &whole), 0);
    CU_ASSERT_EQUAL(whole, STREAMS);
    g_free(chats);
    for (int i = 0; i < 4; i++) {
        engine_destroy(engines[i]);
    }
    site_destroy(site);
}

/* ---- the listener ---- */

/* More callers at once than GSocketListener's own ten: none waits for its
 * SYN to be sent again, which takes a second. */
static void
test_burst_is_accepted(void)
{
    site_t *site = site_up(1, 0);
    engine_t *a = engine_start(site, "a", "draft-7b", "model",
                               "--slots=300 --token-us=1000 --first-us=0");
    CU_ASSERT_FATAL(site_wait_slots(site, "draft-7b", 300));
    site_signal(site, 0, SIGSTOP); /* so that all of them queue */
    GSocketClient *client = g_socket_client_new();
    g_socket_client_set_timeout(client, 1);
    GSocketConnection *open[64];
    guint connected = 0;
    for (guint i = 0; i < G_N_ELEMENTS(open); i++) {
        open[i] = g_socket_client_connect_to_host(
            client, "127.0.0.1", (guint16)site->instances[0].callers, NULL,
            NULL);
        connected += open[i] != NULL;
    }
    site_signal(site, 0, SIGCONT);
    CU_ASSERT_EQUAL(connected, G_N_ELEMENTS(open));
    for (guint i = 0; i < G_N_ELEMENTS(open); i++) {
        g_clear_object(&open[i]);
    }
    g_object_unref(client);
    engine_destroy(a);
    site_destroy(site);
}

/* A second process at the same address is refused, not given half the calls.
 */
static void
test_address_is_not_shared(void)
{
    site_t *site = site_up(1, 0);
    char *settings =
        g_build_filename(site->instances[0].folder, "settings.jsonc", NULL);
    GSubprocess *second =
        g_subprocess_new(G_SUBPROCESS_FLAGS_STDERR_SILENCE, NULL, CAROBLOOMD,
                         "--settings", settings, NULL);
    g_subprocess_wait(second, NULL, NULL);
    CU_ASSERT(g_subprocess_get_if_exited(second));
    CU_ASSERT_EQUAL(g_subprocess_get_exit_status(second), 4);
    g_object_unref(second);
    g_free(settings);
    site_destroy(site);
}

/* ---- an engine killed amid streams ---- */

typedef struct {
    site_t *site;
    engine_t *engine;
    guint at;
    int signal;
    int after; /* calls of during */
} strike_t;

static void
strike_engine(guint open, void *data)
{
    strike_t *s = data;
    (void)open;
    if (--s->after == 0) {
        child_process_signal(s->engine->process, s->signal);
    }
}

static void
run_engine_strike(int signal)
{
    site_t *site = site_up(1, 0);
    engine_t *a = engine_start(site, "a", "draft-7b", "model",
                               "--slots=60 --token-us=10000");
    engine_t *b = engine_start(site, "b", "draft-7b", "model",
                               "--slots=60 --token-us=10000");
    CU_ASSERT_FATAL(site_wait_slots(site, "draft-7b", 120));
    chat_t *chats = chats_create(40, 1, 60, NULL);
    strike_t strike = {
        .site = site, .engine = a, .signal = signal, .after = 20};
    guint whole;
    chats_run(site, chats, 40, strike_engine, &strike);
    CU_ASSERT(strike.after <= 0);
    guint wrong = count_wrong(chats, 40, &whole);
    double resumed = site_metric(site, 0, "silent_attempts_total");
    printf("%u of 40 whole, %u wrong, %.0f found silent; ", whole, wrong,
           resumed);
    CU_ASSERT_EQUAL(wrong, 0);
    /* Chat resumes elsewhere, within the retry budget. */
    CU_ASSERT(whole >= 30);
    g_subprocess_send_signal(a->process, SIGCONT);
    g_free(chats);
    engine_destroy(a);
    engine_destroy(b);
    site_destroy(site);
}

static void
test_engine_killed(void)
{
    run_engine_strike(SIGKILL);
}

/* A stopped engine's connections stay open and silent. */
static void
test_engine_frozen(void)
{
    run_engine_strike(SIGSTOP);
}

/* ---- leavers ---- */

static void
test_leaver_gets_nothing(void)
{
    static const char *const ways[] = {"goodbye", "mute"};
    static const int within_ms[] = {1000, 4500};
    for (guint w = 0; w < G_N_ELEMENTS(ways); w++) {
        site_t *site = site_up(2, 1);
        engine_t *stays = engine_start(site, "stays", "draft-7b", "model",
                                       "--token-us=1000");
        engine_t *leaves = engine_start(site, "leaves", "draft-7b", "model",
                                        "--token-us=1000");
        CU_ASSERT_FATAL(site_wait_slots(site, "draft-7b", 32));
        /* Both are used before. */
        chat_t *chats = chats_create(20, 2, 5, NULL);
        chats_run(site, chats, 20, NULL, NULL);
        g_free(chats);
        CU_ASSERT(engine_count(leaves, "run", NULL) > 0);
        engine_fault(site, leaves, ways[w], 1);
        sleep_ms(within_ms[w]);
        guint before = engine_count(leaves, "run", NULL);
        chats = chats_create(30, 2, 5, NULL);
        guint whole;
        chats_run(site, chats, 30, NULL, NULL);
        CU_ASSERT_EQUAL(count_wrong(chats, 30, &whole), 0);
        CU_ASSERT_EQUAL(whole, 30);
        CU_ASSERT_EQUAL(engine_count(leaves, "run", NULL), before);
        g_free(chats);
        engine_destroy(stays);
        engine_destroy(leaves);
        site_destroy(site);
    }
}

/* ---- an instance that does not run for a while ---- */

static void
pause_instance(guint open, void *data)
{
    enum { PAUSE_MS = 2000 };
    strike_t *s = data;
    (void)open;
    if (--s->after == 0) {
        site_signal(s->site, 0, SIGSTOP);
        sleep_ms(PAUSE_MS);
        site_signal(s->site, 0, SIGCONT);
    }
}

/* The sample with a class that takes endpoints for silent after a second. */
static char *
impatient_sample(void)
{
    char *sample = site_sample();
    char **parts = g_strsplit(sample, "\"name\": \"counter\",", 2);
    char *text =
        g_strjoinv("\"name\": \"counter\", \"silence_ms\": 1000,", parts);
    g_strfreev(parts);
    g_free(sample);
    return text;
}

/* Guards against taking an engine for silent whose events lie in the socket,
 * because the instance did not run. */
static void
test_pause_is_no_silence(void)
{
    enum { CHATS = 20 };
    site_t *site = site_up(1, 0);
    char *text = impatient_sample();
    answer_t *answer =
        site_submit(site, 0, "silence", site_version(site, 0), text);
    CU_ASSERT_EQUAL(answer->status, 200);
    answer_free(answer);
    g_free(text);
    engine_t *a = engine_start(site, "a", "draft-7b", "model",
                               "--slots=60 --token-us=30000");
    CU_ASSERT_FATAL(site_wait_slots(site, "draft-7b", 60));
    chat_t *chats = chats_create(CHATS, 1, 60, "counter");
    strike_t strike = {.site = site, .after = 30};
    guint whole;
    chats_run(site, chats, CHATS, pause_instance, &strike);
    CU_ASSERT(strike.after <= 0);
    CU_ASSERT_EQUAL(count_wrong(chats, CHATS, &whole), 0);
    CU_ASSERT_EQUAL(whole, CHATS);
    CU_ASSERT_EQUAL(site_metric(site, 0, "silent_attempts_total"), 0);
    g_free(chats);
    engine_destroy(a);
    site_destroy(site);
}

/* ---- drain ---- */

static void
strike_instance(guint open, void *data)
{
    strike_t *s = data;
    (void)open;
    if (--s->after == 0) {
        site_signal(s->site, s->at, s->signal);
    }
}

static void
test_drain_cuts_nothing(void)
{
    site_t *site = site_up(3, 3);
    engine_t *a = engine_start(site, "a", "draft-7b", "model",
                               "--slots=90 --token-us=10000");
    CU_ASSERT_FATAL(site_wait_slots(site, "draft-7b", 90));
    /* Each instance in turn, twice: leader and pool owner among them. */
    for (int round = 0; round < 6; round++) {
        guint at = (guint)round % 3;
        chat_t *chats = chats_create(30, 3, 50, NULL);
        strike_t strike = {
            .site = site, .at = at, .signal = SIGTERM, .after = 15};
        guint whole;
        chats_run(site, chats, 30, strike_instance, &strike);
        CU_ASSERT(strike.after <= 0);
        CU_ASSERT_EQUAL(count_wrong(chats, 30, &whole), 0);
        CU_ASSERT_EQUAL(whole, 30);
        CU_ASSERT_EQUAL(site_wait_exit(site, at), 0);
        g_free(chats);
        site_start(site, at);
        CU_ASSERT_FATAL(site_wait_ready(site, at));
        CU_ASSERT_FATAL(site_wait_slots(site, "draft-7b", 90));
    }
    engine_destroy(a);
    site_destroy(site);
}

/* ---- at most once, and not-run means not run ---- */

typedef struct {
    site_t *site;
    guint at;
    const char *key;
    answer_t *answer;
} shot_t;

static gpointer
fire(gpointer data)
{
    shot_t *shot = data;
    shot->answer = call_whole(shot->site, shot->at, "/services/tagging/x",
                              shot->key, "tag this");
    return NULL;
}

/* The same key through all instances at once. */
static void
volley(site_t *site, const char *key, guint *complete, guint *not_run)
{
    shot_t shots[SITE_INSTANCES_MAX];
    GThread *threads[SITE_INSTANCES_MAX];
    guint count = 0;
    for (guint i = 0; i < site->count; i++) {
        if (site->instances[i].process != NULL) {
            shots[count] = (shot_t){.site = site, .at = i, .key = key};
            threads[count] = g_thread_new("shot", fire, &shots[count]);
            count++;
        }
    }
    *complete = 0;
    *not_run = 0;
    for (guint i = 0; i < count; i++) {
        g_thread_join(threads[i]);
        *complete += shots[i].answer->status == 200;
        *not_run += strcmp(shots[i].answer->outcome, "not-run") == 0;
        answer_free(shots[i].answer);
    }
}

static void
test_key_runs_at_most_once(void)
{
    site_t *site = site_up(5, 3);
    engine_t *tag =
        engine_start(site, "tag", "tagging", "service", "--first-us=20000");
    CU_ASSERT_FATAL(site_wait_slots(site, "tagging", 16));
    guint runs_more = 0;
    guint completed = 0;
    guint refused = 0;
    for (int round = 0; round < 12; round++) {
        char key[32];
        g_snprintf(key, sizeof(key), "key-%d", round);
        if (round == 3 || round == 7) {
            /* A voter goes down by kill -9, and back two rounds later. */
            site_signal(site, round == 3 ? 1 : 2, SIGKILL);
            site_wait_exit(site, round == 3 ? 1 : 2);
        }
        if (round == 5 || round == 9) {
            guint at = round == 5 ? 1 : 2;
            site_start(site, at);
            CU_ASSERT_FATAL(site_wait_ready(site, at));
        }
        if (round == 10) {
            site_signal(site, 0, SIGSTOP);
        }
        guint complete = 0;
        guint not_run = 0;
        if (round == 10) {
            shot_t shot = {.site = site, .at = 3, .key = key};
            fire(&shot);
            complete = shot.answer->status == 200;
            not_run = strcmp(shot.answer->outcome, "not-run") == 0;
            answer_free(shot.answer);
            site_signal(site, 0, SIGCONT);
        }
        else {
            volley(site, key, &complete, &not_run);
        }
        guint runs = engine_count(tag, "run", key);
        runs_more += runs > 1;
        completed += runs;
        refused += not_run;
        /* Again, later: the kept answer or the state, never a second run. */
        sleep_ms(50);
        volley(site, key, &complete, &not_run);
        CU_ASSERT(engine_count(tag, "run", key) <= 1);
    }
    printf("12 keys, %u ran, %u calls told not-run, %u ran twice; ", completed,
           refused, runs_more);
    CU_ASSERT_EQUAL(runs_more, 0);
    CU_ASSERT(completed >= 10);
    engine_destroy(tag);
    site_destroy(site);
}

/* An endpoint that reads the call and closes: it went out once. */
static void
test_read_and_close_goes_out_once(void)
{
    site_t *site = site_up(1, 0);
    engine_t *tag = engine_start(site, "tag", "tagging", "service", NULL);
    CU_ASSERT_FATAL(site_wait_slots(site, "tagging", 16));
    /* A kept connection first: the trap is in its reuse. */
    answer_t *a = call_whole(site, 0, "/services/tagging/x", "warm", "x");
    CU_ASSERT_EQUAL(a->status, 200);
    answer_free(a);
    engine_fault(site, tag, "close", 3);
    a = call_whole(site, 0, "/services/tagging/x", "once", "x");
    CU_ASSERT_EQUAL(a->status, 502);
    CU_ASSERT_STRING_EQUAL(a->outcome, "unknown");
    answer_free(a);
    CU_ASSERT_EQUAL(engine_count(tag, "run", "once"), 1);
    /* The same key is told what is known, and nothing runs. */
    a = call_whole(site, 0, "/services/tagging/x", "once", "x");
    CU_ASSERT_EQUAL(a->status, 409);
    answer_free(a);
    CU_ASSERT_EQUAL(engine_count(tag, "run", "once"), 1);
    engine_destroy(tag);
    site_destroy(site);
}

/* An answer that is cut off at each of its bytes, by length and in chunks, is
 * never given as whole, nor told as not run. */
typedef struct {
    const char *fault;
    const char *answer;
} cut_case_t;

static const cut_case_t CUT_CASES[] = {
    {"cut", STANDIN_ANSWER},
    {"cut-chunks", STANDIN_CHUNKS},
};

static void
cut_case(site_t *site, engine_t *tag, const cut_case_t *c)
{
    guint wrong = 0;
    for (gsize at = 1; at < strlen(c->answer); at++) {
        char key[32];
        g_snprintf(key, sizeof(key), "%s-%zu", c->fault, at);
        engine_fault(site, tag, c->fault, (int)at);
        answer_t *a = call_whole(site, 0, "/services/tagging/x", key, "x");
        gboolean ran = engine_count(tag, "run", key) > 0;
        CU_ASSERT(engine_count(tag, "run", key) <= 1);
        if (a->status == 200 || (ran && strcmp(a->outcome, "not-run") == 0)) {
            printf("%s: %u %s, \"%.*s\"; ", key, a->status, a->outcome, 20,
                   c->answer + (at > 20 ? at - 20 : 0));
            wrong++;
        }
        answer_free(a);
    }
    CU_ASSERT_EQUAL(wrong, 0);
}

static void
test_cut_answer_is_not_whole(void)
{
    site_t *site = site_up(1, 0);
    engine_t *tag = engine_start(site, "tag", "tagging", "service", NULL);
    CU_ASSERT_FATAL(site_wait_slots(site, "tagging", 16));
    for (gsize i = 0; i < G_N_ELEMENTS(CUT_CASES); i++) {
        cut_case(site, tag, &CUT_CASES[i]);
    }
    engine_destroy(tag);
    site_destroy(site);
}

/* An answer with neither a length nor chunks ends with its connection, once
 * its head is complete. */
static void
test_unframed_answer_is_whole(void)
{
    site_t *site = site_up(1, 0);
    engine_t *tag = engine_start(site, "tag", "tagging", "service", NULL);
    CU_ASSERT_FATAL(site_wait_slots(site, "tagging", 16));
    gsize head = strlen(STANDIN_UNFRAMED) - strlen("whole answer");
    for (gsize at = 1; at <= strlen(STANDIN_UNFRAMED); at++) {
        char key[32];
        g_snprintf(key, sizeof(key), "unframed-%zu", at);
        engine_fault(site, tag, "cut-unframed", (int)at);
        answer_t *a = call_whole(site, 0, "/services/tagging/x", key, "x");
        if (at < head) {
            CU_ASSERT_EQUAL(a->status, 502);
        }
        else {
            CU_ASSERT_EQUAL(a->status, 200);
            CU_ASSERT_EQUAL(strlen(a->body), at - head);
        }
        answer_free(a);
    }
    engine_destroy(tag);
    site_destroy(site);
}

/* The client takes an answer that ends at any of its bytes for none. */
typedef struct {
    int listener;
    GString *answer;
} cut_server_t;

static gpointer
cut_server_run(gpointer data)
{
    cut_server_t *s = data;
    char request[4096];
    int fd = accept(s->listener, NULL, NULL);
    CU_ASSERT(recv(fd, request, sizeof(request), 0) > 0);
    CU_ASSERT(send(fd, s->answer->str, s->answer->len, MSG_NOSIGNAL) >= 0);
    close(fd);
    return NULL;
}

/* What the client exits with when it gets `answer` and an end. */
static int
client_exit(cut_server_t *server, guint16 port)
{
    char *address = g_strdup_printf("127.0.0.1:%u", port);
    const char *argv[] = {CLIENT, "-a", address, "-k", "key", "dump", NULL};
    GThread *thread = g_thread_new("server", cut_server_run, server);
    GSubprocess *client = g_subprocess_newv(
        argv,
        G_SUBPROCESS_FLAGS_STDOUT_SILENCE | G_SUBPROCESS_FLAGS_STDERR_SILENCE,
        NULL);
    g_subprocess_wait(client, NULL, NULL);
    g_thread_join(thread);
    int code = g_subprocess_get_exit_status(client);
    g_object_unref(client);
    g_free(address);
    return code;
}

static void
test_client_takes_whole_answers(void)
{
    guint16 port;
    cut_server_t server = {.listener = listen_any(&port)};
    for (gsize i = 0; i < G_N_ELEMENTS(CUT_CASES); i++) {
        gsize length = strlen(CUT_CASES[i].answer);
        for (gsize at = 1; at <= length; at++) {
            server.answer = g_string_new_len(CUT_CASES[i].answer, (gssize)at);
            int code = client_exit(&server, port);
            if ((code == 0) != (at == length)) {
                printf("%d for %s at byte %zu; ", code, CUT_CASES[i].fault,
                       at);
                CU_FAIL("an answer that is cut, or a whole one that is not");
            }
            g_string_free(server.answer, TRUE);
        }
    }
    close(server.listener);
}

/* A request that ends at each of its bytes, its caller still reading, is no
 * request: it doesn't run, and gets no answer of a whole one. */
static const char *const CUT_REQUESTS[] = {
    "POST /services/tagging/x HTTP/1.1\r\nHost: x\r\n"
    "Authorization: Bearer workshop-key\r\nIdempotency-Key: cut-length\r\n"
    "Content-Length: 5\r\n\r\nwhole",
    "POST /services/tagging/x HTTP/1.1\r\nHost: x\r\n"
    "Authorization: Bearer workshop-key\r\nIdempotency-Key: cut-chunks\r\n"
    "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
};

/* The status of what comes back for the first `length` bytes; 0: nothing. */
static int
send_cut(const site_t *site, const char *request, gsize length)
{
    char answer[32] = "";
    GSocketClient *client = g_socket_client_new();
    GSocketConnection *c = g_socket_client_connect_to_host(
        client, "127.0.0.1", (guint16)site->instances[0].callers, NULL, NULL);
    GSocket *socket = g_socket_connection_get_socket(c);
    g_socket_set_timeout(socket, 5);
    g_socket_send(socket, request, length, NULL, NULL);
    g_socket_shutdown(socket, FALSE, TRUE, NULL);
    gssize count =
        g_socket_receive(socket, answer, sizeof(answer) - 1, NULL, NULL);
    g_object_unref(c);
    g_object_unref(client);
    return count > 12 ? atoi(answer + 9) : 0;
}

static void
test_cut_request_is_none(void)
{
    site_t *site = site_up(1, 0);
    engine_t *tag = engine_start(site, "tag", "tagging", "service", NULL);
    CU_ASSERT_FATAL(site_wait_slots(site, "tagging", 16));
    for (gsize i = 0; i < G_N_ELEMENTS(CUT_REQUESTS); i++) {
        const char *request = CUT_REQUESTS[i];
        guint wrong = 0;
        for (gsize at = 1; at < strlen(request); at++) {
            int status = send_cut(site, request, at);
            if (status != 0 && status != 400) {
                printf("%d at byte %zu; ", status, at);
                wrong++;
            }
        }
        CU_ASSERT_EQUAL(wrong, 0);
    }
    CU_ASSERT_EQUAL(engine_count(tag, "run", "cut-length"), 0);
    CU_ASSERT_EQUAL(engine_count(tag, "run", "cut-chunks"), 0);
    engine_destroy(tag);
    site_destroy(site);
}

/* What is told not-run did not run: refused by the endpoint, no endpoint,
 * no quorum. */
static void
test_not_run_means_not_run(void)
{
    site_t *site = site_up(3, 3);
    engine_t *tag = engine_start(site, "tag", "tagging", "service", NULL);
    CU_ASSERT_FATAL(site_wait_slots(site, "tagging", 16));
    engine_fault(site, tag, "refuse", 100);
    answer_t *a = call_whole(site, 0, "/services/tagging/x", "refused", "x");
    CU_ASSERT_EQUAL(a->status, 503);
    CU_ASSERT_STRING_EQUAL(a->outcome, "not-run");
    answer_free(a);
    engine_fault(site, tag, "none", 0);
    CU_ASSERT_EQUAL(engine_count(tag, "run", "refused"), 0);
    /* The claim was given back: the same key may run now. */
    sleep_ms(3000);
    a = call_whole(site, 0, "/services/tagging/x", "refused", "x");
    CU_ASSERT_EQUAL(a->status, 200);
    answer_free(a);
    CU_ASSERT_EQUAL(engine_count(tag, "run", "refused"), 1);
    /* No quorum: two of three voters stopped. */
    site_signal(site, 1, SIGSTOP);
    site_signal(site, 2, SIGSTOP);
    a = call_whole(site, 0, "/services/tagging/x", "minority", "x");
    printf("without a quorum: %u %s; ", a->status, a->outcome);
    CU_ASSERT_EQUAL(a->status, 503);
    CU_ASSERT_STRING_EQUAL(a->outcome, "not-run");
    answer_free(a);
    site_signal(site, 1, SIGCONT);
    site_signal(site, 2, SIGCONT);
    sleep_ms(4000);
    CU_ASSERT_EQUAL(engine_count(tag, "run", "minority"), 0);
    engine_destroy(tag);
    site_destroy(site);
}

static GSocketConnection *
send_chat(site_t *site)
{
    static const char body[] =
        "{\"model\":\"draft-7b\",\"stream\":true,\"max_tokens\":400,"
        "\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";
    GSocketClient *client = g_socket_client_new();
    GSocketConnection *c = g_socket_client_connect_to_host(
        client, "127.0.0.1", (guint16)site->instances[0].callers, NULL, NULL);
    char *request = g_strdup_printf(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: "
        "Bearer workshop-key\r\nContent-Length: %zu\r\n\r\n%s",
        strlen(body), body);
    g_output_stream_write_all(g_io_stream_get_output_stream(G_IO_STREAM(c)),
                              request, strlen(request), NULL, NULL, NULL);
    g_free(request);
    g_object_unref(client);
    return c;
}

/* Guards against a request that is held up on its way and reaches the engine
 * after its caller left. */
static void
test_left_request_does_not_arrive(void)
{
    enum { CALLERS = 8, HELD_MS = 300, ARRIVE_MS = 1000 };
    site_t *site = site_up(1, 0);
    char *listens = g_strdup_printf("127.0.0.1:%d", free_port());
    char *announces = g_strdup_printf("127.0.0.1:%d", free_port());
    char *options =
        g_strdup_printf("--listen=%s --announce=%s", listens, announces);
    GSocketConnection *callers[CALLERS];
    proxies_start();
    proxy_t *proxy = proxy_create(announces, listens);
    CU_ASSERT_PTR_NOT_NULL_FATAL(proxy);
    engine_t *a = engine_start(site, "a", "draft-7b", "model", options);
    CU_ASSERT_FATAL(site_wait_slots(site, "draft-7b", 16));
    proxy_set(proxy, PROXY_HOLD);
    for (guint i = 0; i < CALLERS; i++) {
        callers[i] = send_chat(site);
    }
    sleep_ms(HELD_MS);
    for (guint i = 0; i < CALLERS; i++) {
        g_io_stream_close(G_IO_STREAM(callers[i]), NULL, NULL);
        g_object_unref(callers[i]);
    }
    sleep_ms(HELD_MS);
    proxy_set(proxy, PROXY_PASS);
    sleep_ms(ARRIVE_MS);
    CU_ASSERT_EQUAL(engine_count(a, "run", NULL), 0);
    GSocketConnection *stays = send_chat(site);
    sleep_ms(ARRIVE_MS);
    CU_ASSERT_EQUAL(engine_count(a, "run", NULL), 1);
    g_object_unref(stays);
    engine_destroy(a);
    proxies_stop();
    g_free(options);
    g_free(announces);
    g_free(listens);
    site_destroy(site);
}

/* A caller that leaves cancels the engine's work at once. */
static void
test_caller_leaving_cancels(void)
{
    site_t *site = site_up(1, 0);
    engine_t *a =
        engine_start(site, "a", "draft-7b", "model", "--token-us=50000");
    CU_ASSERT_FATAL(site_wait_slots(site, "draft-7b", 16));
    GSocketConnection *c = send_chat(site);
    for (int i = 0; i < 100 && engine_count(a, "run", NULL) == 0; i++) {
        sleep_ms(50);
    }
    CU_ASSERT_EQUAL(engine_count(a, "run", NULL), 1);
    g_io_stream_close(G_IO_STREAM(c), NULL, NULL);
    gint64 left = g_get_monotonic_time();
    for (int i = 0; i < 100 && engine_count(a, "cancelled", NULL) == 0; i++) {
        sleep_ms(10);
    }
    gint64 took_ms = (g_get_monotonic_time() - left) / 1000;
    printf("cancelled after %d ms; ", (int)took_ms);
    CU_ASSERT_EQUAL(engine_count(a, "cancelled", NULL), 1);
    g_object_unref(c);
    engine_destroy(a);
    site_destroy(site);
}

/* An instance killed while its callers stream: the others lose nothing, and
 * the slots it held come free. */
static void
test_instance_killed(void)
{
    site_t *site = site_up(3, 3);
    engine_t *a = engine_start(site, "a", "draft-7b", "model",
                               "--slots=60 --token-us=10000");
    CU_ASSERT_FATAL(site_wait_slots(site, "draft-7b", 60));
    for (guint at = 0; at < 3; at++) {
        chat_t *chats = chats_create(30, 3, 80, NULL);
        strike_t strike = {
            .site = site, .at = at, .signal = SIGKILL, .after = 20};
        chats_run(site, chats, 30, strike_instance, &strike);
        site_wait_exit(site, at);
        guint others = 0;
        for (guint i = 0; i < 30; i++) {
            CU_ASSERT(chats[i].in_order);
            others += chats[i].at != at && chats[i].whole;
        }
        printf("%u of 20 others whole; ", others);
        CU_ASSERT_EQUAL(others, 20);
        g_free(chats);
        site_start(site, at);
        CU_ASSERT_FATAL(site_wait_ready(site, at));
        CU_ASSERT_FATAL(site_wait_slots(site, "draft-7b", 60));
    }
    chat_t *chats = chats_create(60, 3, 10, NULL);
    guint whole;
    chats_run(site, chats, 60, NULL, NULL);
    CU_ASSERT_EQUAL(count_wrong(chats, 60, &whole), 0);
    CU_ASSERT_EQUAL(whole, 60);
    g_free(chats);
    engine_destroy(a);
    site_destroy(site);
}

/* Where the log of a voter that is down is damaged. */
typedef struct {
    long at;
    int whence;
} damage_t;

static void
damage_log(const site_t *site, guint at, const damage_t *damage)
{
    char *path =
        g_build_filename(site->instances[at].folder, "data", "log", NULL);
    FILE *file = fopen(path, "r+e");
    CU_ASSERT_PTR_NOT_NULL_FATAL(file);
    fseek(file, damage->at, damage->whence);
    fputc('X', file);
    fclose(file);
    g_free(path);
}

/* Submits until the version is in force at `at`. */
static gboolean
submit_version(site_t *site, guint64 version, guint at)
{
    char *text = site_sample_with_weight((int)version);
    char *change = g_strdup_printf("change-%u", (guint)version);
    for (int i = 0; i < 40 && site_version(site, at) < version; i++) {
        answer_free(site_submit(site, 0, change, version - 1, text));
        g_usleep(G_USEC_PER_SEC / 4);
    }
    g_free(change);
    g_free(text);
    return site_version(site, at) == version;
}

/* A voter with a damaged log votes again: without it there is no quorum once
 * another one is gone. */
static void
test_damaged_voter_rejoins(void)
{
    static const damage_t DAMAGES[] = {{30, SEEK_SET}, {-8, SEEK_END}};
    for (gsize i = 0; i < G_N_ELEMENTS(DAMAGES); i++) {
        site_t *site = site_up(3, 3);
        CU_ASSERT(submit_version(site, 2, 2));
        CU_ASSERT(submit_version(site, 3, 2));
        site_signal(site, 2, SIGKILL);
        site_wait_exit(site, 2);
        damage_log(site, 2, &DAMAGES[i]);
        site_start(site, 2);
        CU_ASSERT(site_wait_ready(site, 2));
        g_usleep(4 * G_USEC_PER_SEC);
        site_signal(site, 1, SIGKILL);
        site_wait_exit(site, 1);
        CU_ASSERT(submit_version(site, 4, 2));
        site_destroy(site);
    }
}

static const test_case_t cases[] = {
    {"every caller its own whole answer", test_own_answers},
    {"a burst is accepted", test_burst_is_accepted},
    {"an address is not shared", test_address_is_not_shared},
    {"an engine killed amid streams", test_engine_killed},
    {"an engine frozen amid streams", test_engine_frozen},
    {"a leaver gets nothing", test_leaver_gets_nothing},
    {"an instance that did not run takes no engine for silent",
     test_pause_is_no_silence},
    {"drain cuts nothing", test_drain_cuts_nothing},
    {"a key runs at most once", test_key_runs_at_most_once},
    {"read and close goes out once", test_read_and_close_goes_out_once},
    {"a cut answer is not whole", test_cut_answer_is_not_whole},
    {"an answer that ends with its connection is whole",
     test_unframed_answer_is_whole},
    {"the client takes whole answers only", test_client_takes_whole_answers},
    {"a cut request is none", test_cut_request_is_none},
    {"not-run means not run", test_not_run_means_not_run},
    {"a caller leaving cancels", test_caller_leaving_cancels},
    {"a request arrives after its caller left",
     test_left_request_does_not_arrive},
    {"an instance killed", test_instance_killed},
    {"a voter with a damaged log votes again", test_damaged_voter_rejoins},
};

CHECK_MAIN("failures", cases)
