/* Real processes on loopback for the failure tests and the benchmarks:
 * instances, stand-ins, and calls to them. Every wait is bounded. */
#ifndef TESTS_HARNESS_H
#define TESTS_HARNESS_H

#include <gio/gio.h>
#include <libsoup/soup.h>

enum { SITE_INSTANCES_MAX = 400, WAIT_MS = 30000 };

typedef struct {
    GSubprocess *process; /* NULL while down */
    char *name;
    char *folder; /* settings, data and log of one instance */
    int callers;  /* ports */
    int platform;
    int operators;
    int peers;
} instance_t;

typedef struct {
    char *folder;
    instance_t instances[SITE_INSTANCES_MAX];
    guint count;
    guint voters; /* the first so many; 0 for each alone */
    gboolean curve;
    SoupSession *session;
} site_t;

typedef struct {
    GSubprocess *process;
    char *address;
    char *log; /* the file of what it ran */
} engine_t;

/* What came back of a call. */
typedef struct {
    guint status; /* 0: no answer */
    char *body;
    char *outcome;  /* the Carobloom-Outcome header, or "" */
    char *endpoint; /* the Carobloom-Endpoint header, or "" */
} answer_t;

site_t *site_create(guint instances, guint voters);
/* Ends every process it started and removes the folder. */
void site_destroy(site_t *site);
void site_start(site_t *site, guint at);
void site_start_all(site_t *site);
/* SIGKILL, SIGTERM, SIGSTOP, SIGCONT. */
void site_signal(site_t *site, guint at, int signal);
/* Waits for its end; the exit code, or -1 when it was killed. */
int site_wait_exit(site_t *site, guint at);
/* Removes the data folder of an instance that is down. */
void site_lose_disk(site_t *site, guint at);
gboolean site_wait_ready(site_t *site, guint at);
/* Submits samples/site.jsonc, or `text`, through the console at `at`. */
answer_t *site_submit(site_t *site, guint at, const char *change, guint64 base,
                      const char *text);
char *site_sample(void);
/* A site of so many instances with the sample in force, all ready. Ends the
 * program when that does not come about in time. */
site_t *site_up(guint instances, guint voters);
/* The sample with another weight for its team. */
char *site_sample_with_weight(int weight);
/* The version in force at an instance; 0 when it does not answer. */
guint64 site_version(site_t *site, guint at);
/* A number from /metrics, 0 when it is not there. */
double site_metric(site_t *site, guint at, const char *name);
/* Waits until some instance that answers sees `count` free slots of a pool. */
gboolean site_wait_slots(site_t *site, const char *pool, int slots);

/* Starts a stand-in that announces to the given instances. */
engine_t *engine_start(site_t *site, const char *name, const char *serves,
                       const char *kind, const char *extra);
void engine_destroy(engine_t *engine);
void engine_fault(site_t *site, engine_t *engine, const char *kind, int count);
/* How often `what` stands in its log for a key or attempt; NULL for any. */
guint engine_count(const engine_t *engine, const char *what, const char *text);

/* One whole call; `key` is an idempotency key or NULL. */
answer_t *call_whole(site_t *site, guint at, const char *path, const char *key,
                     const char *body);
void answer_free(answer_t *answer);

/* Many streamed chats at once. `words` were read as "w0 w1 …"; `whole` says
 * that the end mark came and nothing else was in it. */
typedef struct {
    guint at;         /* instance */
    int tokens;       /* asked for */
    const char *task; /* X-Task header, or NULL */
    /* what came of it */
    guint status;
    int words;
    gboolean in_order;
    gboolean whole;
    gboolean error_event;
    gint64 started_us;
    gint64 first_us;
    gint64 ended_us;
    gint64 worst_gap_us;
} chat_t;

/* Runs them all; `during` is called each 10 ms with the number still open. */
void chats_run(site_t *site, chat_t *chats, guint count,
               void (*during)(guint open, void *data), void *data);
int free_port(void);
void sleep_ms(int ms);

#endif
