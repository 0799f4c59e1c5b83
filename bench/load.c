#include <arpa/inet.h>
#include <errno.h>
#include <math.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bench.h"

slopes_t slopes;

gboolean
figure_print(const figure_t *f)
{
    gboolean broken = f->bound > 0 && (f->at_least ? f->value < f->bound
                                                   : f->value > f->bound);
    printf("  %-52s %12.3f %-10s", f->name, f->value, f->unit);
    if (f->bound > 0) {
        printf(" %s %g %s", f->at_least ? "at least" : "at most", f->bound,
               broken ? "BROKEN" : "held");
    }
    printf("\n");
    fflush(stdout);
    return !broken;
}

static int
pid_of(site_t *site, guint at)
{
    return atoi(g_subprocess_get_identifier(site->instances[at].process));
}

double
process_cpu(site_t *site, guint at)
{
    char path[64];
    char *text = NULL;
    unsigned long user = 0;
    unsigned long system = 0;
    g_snprintf(path, sizeof(path), "/proc/%d/stat", pid_of(site, at));
    if (g_file_get_contents(path, &text, NULL, NULL)) {
        const char *after = strrchr(text, ')');
        sscanf(after + 2,
               "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user,
               &system);
    }
    g_free(text);
    return (double)(user + system) / (double)sysconf(_SC_CLK_TCK);
}

double
process_memory(site_t *site, guint at)
{
    char path[64];
    char *text = NULL;
    double kilobytes = 0;
    g_snprintf(path, sizeof(path), "/proc/%d/status", pid_of(site, at));
    if (g_file_get_contents(path, &text, NULL, NULL)) {
        const char *line = strstr(text, "VmRSS:");
        kilobytes = line ? g_ascii_strtod(line + 6, NULL) : 0;
    }
    g_free(text);
    return kilobytes * 1024;
}

static gint
compare_double(gconstpointer a, gconstpointer b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;
    return x < y ? -1 : x > y;
}

double
percentile(GArray *values, double q)
{
    if (values->len == 0) {
        return 0;
    }
    g_array_sort(values, compare_double);
    guint at = (guint)ceil(q * values->len);
    return g_array_index(values, double, CLAMP(at, 1, values->len) - 1);
}

/* ---- the load ----
 *
 * Plain sockets and epoll: a GLib loop's cost grows with its sources, and the
 * load would be what is measured. */

typedef struct {
    int fd;
    gint64 started_us;
    guint events;
    int matched; /* bytes of the mark seen at a read's end */
    gboolean started;
} load_call_t;

enum { LOAD_TARGETS_MAX = 16 };

typedef struct {
    struct sockaddr_in targets[LOAD_TARGETS_MAX];
    guint target_count;
    guint next_target;
    char *request;
    gsize request_length;
    int poller;
    int tokens;
    guint left;
    guint open;
    GArray *first_ms;
    GPtrArray *calls; /* all, freed at the end */
    load_t result;
} load_run_t;

static const char MARK[] = "data: ";

static void
load_call_start(load_run_t *run)
{
    load_call_t *call = g_new0(load_call_t, 1);
    int on = 1;
    g_ptr_array_add(run->calls, call);
    call->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(call->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    call->started_us = g_get_monotonic_time();
    run->left--;
    run->open++;
    const struct sockaddr_in *target =
        &run->targets[run->next_target++ % MAX(run->target_count, 1)];
    if (connect(call->fd, (const struct sockaddr *)target, sizeof(*target)) !=
            0 ||
        send(call->fd, run->request, run->request_length, MSG_NOSIGNAL) !=
            (gssize)run->request_length) {
        close(call->fd);
        run->open--;
        return;
    }
    struct epoll_event event = {.events = EPOLLIN, .data.ptr = call};
    epoll_ctl(run->poller, EPOLL_CTL_ADD, call->fd, &event);
}

/* Counts the marks, also one that lies across two reads. */
static void
load_count(load_call_t *call, const char *data, gsize length)
{
    for (gsize i = 0; i < length; i++) {
        if (data[i] != MARK[call->matched]) {
            call->matched = data[i] == MARK[0];
            continue;
        }
        if (++call->matched == sizeof(MARK) - 1) {
            call->events++;
            call->matched = 0;
        }
    }
}

static void
load_call_read(load_run_t *run, load_call_t *call)
{
    char buffer[65536];
    gssize got = recv(call->fd, buffer, sizeof(buffer), MSG_DONTWAIT);
    if (got > 0) {
        load_count(call, buffer, (gsize)got);
        if (call->events > 0 && !call->started) {
            double ms =
                (double)(g_get_monotonic_time() - call->started_us) / 1e3;
            call->started = TRUE;
            g_array_append_val(run->first_ms, ms);
        }
        /* The end mark is an event too. */
        if (call->events <= (guint)run->tokens) {
            return;
        }
    }
    if (got < 0 && errno == EAGAIN) {
        return;
    }
    run->result.complete += call->events == (guint)run->tokens + 1;
    run->result.tokens += call->events ? call->events - 1 : 0;
    close(call->fd);
    run->open--;
    if (run->left > 0) {
        load_call_start(run);
    }
}

static void
load_prepare(load_run_t *run, const char *address)
{
    char *body = g_strdup_printf(
        "{\"model\":\"draft-7b\",\"stream\":true,\"max_tokens\":%d,"
        "\"messages\":[{\"role\":\"user\",\"content\":\"a belt\"}]}",
        run->tokens);
    run->request = g_strdup_printf(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: "
        "localhost\r\nAuthorization: "
        "Bearer workshop-key\r\nX-Request-Id: direct-1\r\nContent-Type: "
        "application/json\r\nContent-Length: %zu\r\n\r\n%s",
        strlen(body), body);
    run->request_length = strlen(run->request);
    g_free(body);
    char **list = g_strsplit(address, ",", LOAD_TARGETS_MAX);
    for (guint i = 0; list[i]; i++) {
        run->targets[run->target_count++] = (struct sockaddr_in){
            .sin_family = AF_INET,
            .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
            .sin_port = htons((guint16)atoi(strrchr(list[i], ':') + 1)),
        };
    }
    g_strfreev(list);
    run->poller = epoll_create1(EPOLL_CLOEXEC);
    run->first_ms = g_array_new(FALSE, FALSE, sizeof(double));
    run->calls = g_ptr_array_new_with_free_func(g_free);
}

load_t
load_run(const char *address, guint total, guint open, int tokens)
{
    load_run_t run = {.tokens = tokens, .left = total};
    load_prepare(&run, address);
    gint64 started = g_get_monotonic_time();
    for (guint i = 0; i < open && run.left > 0; i++) {
        load_call_start(&run);
    }
    while (run.open > 0) {
        struct epoll_event events[256];
        int count =
            epoll_wait(run.poller, events, G_N_ELEMENTS(events), 60000);
        for (int i = 0; i < count; i++) {
            load_call_read(&run, events[i].data.ptr);
        }
        if (count == 0) {
            break; /* a minute of silence: what is open is counted as lost */
        }
    }
    run.result.seconds = (double)(g_get_monotonic_time() - started) / 1e6;
    run.result.first_p50_ms = percentile(run.first_ms, 0.5);
    run.result.first_p95_ms = percentile(run.first_ms, 0.95);
    run.result.first_p99_ms = percentile(run.first_ms, 0.99);
    close(run.poller);
    g_array_unref(run.first_ms);
    g_ptr_array_unref(run.calls);
    g_free(run.request);
    return run.result;
}
