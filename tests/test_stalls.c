/* A process that did not run for a while, or was busy with one thing: timeouts
 * give up nothing that arrived in the meantime. */
#include <sys/socket.h>
#include <unistd.h>

#include "carobloom/common/poller.h"
#include "carobloom/common/task.h"
#include "check.h"

enum {
    MS = 1000,
    TIMEOUT_US = 40 * MS,
    STALL_US = 120 * MS, /* well beyond the timeout */
    WAIT_US = 2000 * MS,
};

typedef struct {
    poller_t *poller;
    task_t *task;
    GMainContext *context;
    int awaited[2]; /* the second end is watched for the answer */
    int busy[2];    /* the second end is watched by the busy callback */
    poll_watch_t *awaited_watch;
    poll_watch_t *busy_watch;
    gboolean answered;
    gboolean gave_up;
} stalled_t;

static void
ignore_message(void *state, message_t *message)
{
    (void)state;
    (void)message;
}

static const task_ops_t TASK_OPS = {
    .name = "stalled", .mailbox_bound = 1, .handle = ignore_message};

static void
on_turn(gint64 now_us, void *data)
{
    const stalled_t *s = data;
    timers_set_now(task_timers(s->task), now_us);
}

static void
catch_up(void *data)
{
    poller_catch_up(data);
}

static void
take_urgent(void *data)
{
    poller_take_urgent(data);
}

static const task_events_t EVENTS = {.catch_up = catch_up,
                                     .take_urgent = take_urgent};

static void
on_answer(guint32 events, void *data)
{
    (void)events;
    stalled_t *s = data;
    char byte;
    s->answered |= read(s->awaited[1], &byte, 1) == 1 && !s->gave_up;
}

static void
on_timeout(void *data)
{
    stalled_t *s = data;
    s->gave_up = !s->answered;
}

static void
send_answer(const stalled_t *s)
{
    CU_ASSERT_EQUAL(write(s->awaited[0], "a", 1), 1);
}

static void
watch_answer(stalled_t *s)
{
    s->awaited_watch =
        poll_watch_create(s->poller, s->awaited[1], EPOLLIN, on_answer, s);
}

/* ---- what keeps the process busy ---- */

static void
stall_between_turns(stalled_t *s)
{
    watch_answer(s);
    send_answer(s);
    g_usleep(STALL_US);
}

static void
on_busy_event(guint32 events, void *data)
{
    (void)events;
    stalled_t *s = data;
    g_clear_pointer(&s->busy_watch, poll_watch_destroy);
    send_answer(s);
    g_usleep(STALL_US);
}

static void
stall_in_event(stalled_t *s)
{
    watch_answer(s);
    s->busy_watch =
        poll_watch_create(s->poller, s->busy[1], EPOLLIN, on_busy_event, s);
    CU_ASSERT_EQUAL(write(s->busy[0], "b", 1), 1);
}

static void
on_busy_timer(void *data)
{
    send_answer(data);
    g_usleep(STALL_US);
}

static void
stall_in_timer(stalled_t *s)
{
    watch_answer(s);
    timers_subscribe(task_timers(s->task), MS, 0, on_busy_timer, s);
}

static gboolean
on_busy_source(gpointer data)
{
    send_answer(data);
    g_usleep(STALL_US);
    return G_SOURCE_REMOVE;
}

/* A source of the main context that the poller knows nothing of, such as a
 * signal. */
static void
stall_in_source(stalled_t *s)
{
    GSource *source = g_idle_source_new();
    g_source_set_priority(source, G_PRIORITY_DEFAULT);
    g_source_set_callback(source, on_busy_source, s, NULL);
    g_source_attach(source, s->context);
    g_source_unref(source);
    watch_answer(s);
}

static void
on_connection(guint32 events, void *data)
{
    (void)events;
    stalled_t *s = data;
    g_clear_pointer(&s->busy_watch, poll_watch_destroy);
    watch_answer(s);
}

/* The answer is seen only once another event was taken, as that of a
 * connection which has to be accepted first. */
static void
stall_before_accept(stalled_t *s)
{
    s->busy_watch =
        poll_watch_create(s->poller, s->busy[1], EPOLLIN, on_connection, s);
    CU_ASSERT_EQUAL(write(s->busy[0], "b", 1), 1);
    send_answer(s);
    g_usleep(STALL_US);
}

static void
no_answer(stalled_t *s)
{
    watch_answer(s);
}

static void
on_endless_event(guint32 events, void *data)
{
    (void)events;
    const stalled_t *s = data;
    char byte;
    CU_ASSERT_EQUAL(read(s->busy[1], &byte, 1), 1);
    CU_ASSERT_EQUAL(write(s->busy[0], &byte, 1), 1);
}

/* Timers run although events never end. */
static void
endless_events(stalled_t *s)
{
    watch_answer(s);
    s->busy_watch =
        poll_watch_create(s->poller, s->busy[1], EPOLLIN, on_endless_event, s);
    CU_ASSERT_EQUAL(write(s->busy[0], "b", 1), 1);
    g_usleep(STALL_US);
}

typedef struct {
    const char *name;
    void (*stall)(stalled_t *s);
    gboolean answered;
} stall_case_t;

static const stall_case_t STALL_CASES[] = {
    {"between two turns", stall_between_turns, TRUE},
    {"in an event", stall_in_event, TRUE},
    {"in a timer", stall_in_timer, TRUE},
    {"in another source", stall_in_source, TRUE},
    {"before a connection is accepted", stall_before_accept, TRUE},
    {"nothing arrives", no_answer, FALSE},
    {"other events never end", endless_events, FALSE},
};

static void
stalled_open(stalled_t *s)
{
    *s = (stalled_t){.context = g_main_context_new()};
    s->poller = poller_create(s->context, on_turn, s);
    s->task = task_create(&TASK_OPS, s, s->context);
    task_set_events(s->task, &EVENTS, s->poller);
    CU_ASSERT_EQUAL_FATAL(socketpair(AF_UNIX, SOCK_STREAM, 0, s->awaited), 0);
    CU_ASSERT_EQUAL_FATAL(socketpair(AF_UNIX, SOCK_STREAM, 0, s->busy), 0);
}

static void
stalled_close(stalled_t *s)
{
    g_clear_pointer(&s->awaited_watch, poll_watch_destroy);
    g_clear_pointer(&s->busy_watch, poll_watch_destroy);
    poller_destroy(s->poller);
    task_destroy(s->task);
    g_main_context_unref(s->context);
    for (int i = 0; i < 2; i++) {
        close(s->awaited[i]);
        close(s->busy[i]);
    }
}

static void
stall_case(const stall_case_t *c)
{
    stalled_t s;
    stalled_open(&s);
    timers_subscribe(task_timers(s.task), TIMEOUT_US, 0, on_timeout, &s);
    c->stall(&s);
    gint64 until = g_get_monotonic_time() + WAIT_US;
    while (!s.answered && !s.gave_up && g_get_monotonic_time() < until) {
        g_main_context_iteration(s.context, TRUE);
    }
    if (s.answered != c->answered) {
        printf("%s: answered %d, gave up %d\n", c->name, s.answered,
               s.gave_up);
    }
    CU_ASSERT_EQUAL(s.answered, c->answered);
    CU_ASSERT_EQUAL(s.gave_up, !c->answered);
    stalled_close(&s);
}

/* Guards against timeouts that give up what has arrived: a process that did
 * not run reads its sockets before it runs the timers that are late. */
static void
test_late_timers(void)
{
    for (gsize i = 0; i < G_N_ELEMENTS(STALL_CASES); i++) {
        stall_case(&STALL_CASES[i]);
    }
}

/* ---- a close among much other work ---- */

enum {
    MUCH = 300,             /* pieces of other work */
    WORK_BEFORE_CLOSE = 32, /* of it that may be done first */
};

typedef struct {
    stalled_t s;
    int pairs[MUCH][2];
    poll_watch_t *watches[MUCH];
    guint done;       /* pieces of work */
    guint done_first; /* before the close was told */
    gboolean told;
} close_t;

typedef struct {
    const char *name;
    void (*prepare)(close_t *c);
} close_case_t;

static void
on_closed(guint32 events, void *data)
{
    close_t *c = data;
    CU_ASSERT_TRUE(events & EPOLLRDHUP);
    g_clear_pointer(&c->s.awaited_watch, poll_watch_destroy);
    c->told = TRUE;
    c->done_first = c->done;
}

/* The close comes amid the work. */
static void
work(close_t *c)
{
    if (c->done++ == MUCH / 3) {
        c->done_first = c->done;
        shutdown(c->s.awaited[0], SHUT_RDWR);
    }
}

static void
on_work_event(guint32 events, void *data)
{
    (void)events;
    work(data);
}

static void
prepare_events(close_t *c)
{
    for (guint i = 0; i < MUCH; i++) {
        CU_ASSERT_EQUAL(write(c->pairs[i][0], "w", 1), 1);
        c->watches[i] = poll_watch_create(c->s.poller, c->pairs[i][1], EPOLLIN,
                                          on_work_event, c);
    }
}

static void
on_work_timer(void *data)
{
    work(data);
}

static void
prepare_timers(close_t *c)
{
    for (guint i = 0; i < MUCH; i++) {
        timers_subscribe(task_timers(c->s.task), 0, 0, on_work_timer, c);
    }
}

static const close_case_t CLOSE_CASES[] = {
    {"events", prepare_events},
    {"timers", prepare_timers},
};

static void
close_case(const close_case_t *setup)
{
    close_t *c = g_new0(close_t, 1);
    stalled_open(&c->s);
    for (guint i = 0; i < MUCH; i++) {
        CU_ASSERT_EQUAL_FATAL(socketpair(AF_UNIX, SOCK_STREAM, 0, c->pairs[i]),
                              0);
    }
    c->s.awaited_watch = poll_watch_create(c->s.poller, c->s.awaited[1],
                                           EPOLLIN | EPOLLRDHUP, on_closed, c);
    poll_watch_set_close_urgent(c->s.awaited_watch);
    setup->prepare(c);
    gint64 until = g_get_monotonic_time() + WAIT_US;
    while (!c->told && g_get_monotonic_time() < until) {
        g_main_context_iteration(c->s.context, TRUE);
    }
    printf("%s: %u before the close; ", setup->name,
           c->done_first - MUCH / 3 - 1);
    CU_ASSERT_TRUE(c->told);
    CU_ASSERT(c->done_first - MUCH / 3 - 1 <= WORK_BEFORE_CLOSE);
    for (guint i = 0; i < MUCH; i++) {
        g_clear_pointer(&c->watches[i], poll_watch_destroy);
        close(c->pairs[i][0]);
        close(c->pairs[i][1]);
    }
    stalled_close(&c->s);
    g_free(c);
}

/* Guards against a close that waits behind the work that it may end. */
static void
test_urgent_close(void)
{
    for (gsize i = 0; i < G_N_ELEMENTS(CLOSE_CASES); i++) {
        close_case(&CLOSE_CASES[i]);
    }
}

static const test_case_t CASES[] = {
    {"late timers give up nothing that has arrived", test_late_timers},
    {"a close does not wait behind much other work", test_urgent_close},
};

CHECK_MAIN("stalls", CASES)
