/* Tests, with real processes, that what connections brought or took does not
 * stay in memory once their requests are answered. */
#include <gio/gio.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "check.h"
#include "fleet.h"

enum {
    MB = 1024 * 1024,
    CONNECTIONS = 40,
    WAIT_MS = 10000,
    SETTLED_MS = 7000, /* in which freed memory goes back to the system */
    /* What the process may use more of than before, for all connections. */
    KEPT_MAX = 16 * MB,
};

typedef struct {
    const char *name;
    const char *target;
    gsize body;        /* bytes of each request */
    gsize field;       /* bytes of a field of its head */
    gboolean is_mixed; /* bodies of different lengths */
} kept_case_t;

static const kept_case_t KEPT_CASES[] = {
    {"long bodies", "/once/x", MB, 0},
    {"bodies of many lengths", "/once/x", MB, 0, .is_mixed = TRUE},
    {"long heads", "/once/x", 0, 15000},
    {"long answers", "/safe/large", 0, 0},
};

static gsize
resident_bytes(const fleet_process_t *process)
{
    char *path = g_strdup_printf(
        "/proc/%s/statm", g_subprocess_get_identifier(process->process));
    char *text = NULL;
    unsigned long pages = 0;
    if (g_file_get_contents(path, &text, NULL, NULL)) {
        sscanf(text, "%*u %lu", &pages);
    }
    g_free(text);
    g_free(path);
    return pages * (gsize)sysconf(_SC_PAGESIZE);
}

/* Requests that are sent in a row, whatever is answered meanwhile. */
typedef struct {
    int fd;
    const GString *bytes;
} row_t;

static gpointer
row_run(gpointer data)
{
    const row_t *row = data;
    fleet_send(row->fd, row->bytes->str, row->bytes->len);
    return NULL;
}

/* Reads until so many answers with a status have come, or none comes. */
static guint
count_answers(int fd, const char *status, guint wanted)
{
    GString *text = g_string_new(NULL);
    char bytes[16384];
    guint count = 0;
    ssize_t length;
    while (count < wanted &&
           (length = recv(fd, bytes, sizeof(bytes), 0)) > 0) {
        g_string_append_len(text, bytes, length);
        count = 0;
        for (const char *at = text->str; (at = strstr(at, status)) != NULL;
             at++) {
            count++;
        }
    }
    g_string_free(text, TRUE);
    return count;
}

static char *
filled(gsize length)
{
    char *text = g_malloc(length + 1);
    memset(text, 'x', length);
    text[length] = '\0';
    return text;
}

/* One request on a connection that stays open, and its whole answer. */
static void
use_connection(const kept_case_t *c, int fd, guint number)
{
    char *body = filled(c->is_mixed ? c->body / (1 + number % 8) : c->body);
    char *field = filled(c->field);
    char *fields =
        g_strdup_printf("Request-Id: kept-%u\r\nAuthorization: Bearer %s\r\n"
                        "Deadline-Ms: 9000\r\n%s%s%s",
                        number, FLEET_KEY, c->field > 0 ? "Filler: " : "",
                        field, c->field > 0 ? "\r\n" : "");
    reply_t *reply =
        fleet_call_on(fd, "POST", c->target, fields, body, WAIT_MS);
    CU_ASSERT_EQUAL(reply->status, 200);
    CU_ASSERT(reply->complete);
    reply_free(reply);
    g_free(fields);
    g_free(field);
    g_free(body);
}

static void
kept_case(const kept_case_t *c)
{
    int fds[CONNECTIONS];
    fleet_t *f = fleet_create(1, 1, 2);
    CU_ASSERT_FATAL(fleet_up(f, 1));
    const fleet_process_t *entry = fleet_entry(f, 0);
    gsize before = resident_bytes(entry);
    for (guint i = 0; i < CONNECTIONS; i++) {
        fds[i] = fleet_connect(entry->ip, FLEET_CALLERS_PORT, WAIT_MS);
        use_connection(c, fds[i], i);
    }
    fleet_sleep(SETTLED_MS);
    gsize after = resident_bytes(entry);
    printf("%s: %zu KB, then %zu KB; ", c->name, before / 1024, after / 1024);
    CU_ASSERT(before > 0);
    CU_ASSERT(after < before + KEPT_MAX);
    CU_ASSERT_EQUAL(fleet_counter(entry, "request_bytes_held"), 0);
    for (guint i = 0; i < CONNECTIONS; i++) {
        close(fds[i]);
    }
    fleet_destroy(f);
}

static void
test_kept(void)
{
    for (gsize i = 0; i < G_N_ELEMENTS(KEPT_CASES); i++) {
        kept_case(&KEPT_CASES[i]);
    }
}

/* Guards against an instance that is killed for its memory since a client sent
 * many requests in a row that the instance answers by itself. */
static void
test_requests_in_a_row(void)
{
    enum { REQUESTS = 20000 };
    fleet_t *f = fleet_create(1, 1, 1);
    CU_ASSERT_FATAL(fleet_up(f, 1));
    fleet_process_t *entry = fleet_entry(f, 0);
    gsize before = fleet_peak_bytes(entry);
    GString *all = g_string_new(NULL);
    /* The others wait behind one that an endpoint answers. */
    g_string_append_printf(all,
                           "GET /safe/slow HTTP/1.1\r\nHost: h.example\r\n"
                           "Request-Id: row\r\nAuthorization: Bearer %s\r\n"
                           "\r\n",
                           FLEET_KEY);
    for (int i = 0; i < REQUESTS; i++) {
        g_string_append(all, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
    }
    row_t row = {.fd = fleet_connect(entry->ip, FLEET_CALLERS_PORT, WAIT_MS),
                 .bytes = all};
    GThread *sender = g_thread_new("row", row_run, &row);
    guint answers = count_answers(row.fd, " 404 ", REQUESTS);
    shutdown(row.fd, SHUT_RDWR);
    g_thread_join(sender);
    close(row.fd);
    gsize after = fleet_peak_bytes(entry);
    if (answers != REQUESTS || after > before + KEPT_MAX) {
        printf("%u answers, %zu MB at most, %zu before; ", answers, after / MB,
               before / MB);
    }
    CU_ASSERT_EQUAL(answers, REQUESTS);
    CU_ASSERT(after > 0 && after <= before + KEPT_MAX);
    g_string_free(all, TRUE);
    fleet_destroy(f);
}

static const test_case_t CASES[] = {
    {"idle connections keep no bytes of what they carried", test_kept},
    {"requests in a row cost no memory", test_requests_in_a_row},
};

CHECK_MAIN("memory", CASES)
