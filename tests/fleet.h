/* A fleet of real processes on loopback addresses: control and entry
 * instances of the gateway, stand-in endpoints, an operator and clients.
 * Every wait is bounded. */
#ifndef TESTS_FLEET_H
#define TESTS_FLEET_H

#include <gio/gio.h>

enum {
    FLEET_PROCESSES_MAX = 64,
    FLEET_SEEDS = 3,
    FLEET_WAIT_MS =
        20000, /* for what takes a second or two when all is well */
    FLEET_REVOKE_MS = 3000,
    /* Each process has an address of its own, so ports are the same for all.
     */
    FLEET_CALLERS_PORT = 28227,
    FLEET_PROBE_PORT = 28220,
    FLEET_CONTROL_PORT = 28229,
    FLEET_PEERS_PORT = 27340,
    FLEET_METRICS_PORT = 27341,
    FLEET_ENDPOINT_PORT = 28080,
    FLEET_PLATFORM_PORT = 28500,
    /* Of duties, where there are any. */
    FLEET_LEASE_MS = 1500,
    FLEET_WINDOW_MS = 1000,
    FLEET_DUE_MS = 10000,
};

typedef enum {
    FLEET_CONTROL,
    FLEET_ENTRY,
    FLEET_ENDPOINT,
    FLEET_PLATFORM,
} fleet_role_t;

typedef struct fleet_process fleet_process_t;

struct fleet_process {
    fleet_role_t role;
    char *name;
    char *ip;   /* that the others use */
    char *bind; /* that it listens at; the same unless proxied */
    char *folder;
    char *log;
    GSubprocess *process;  /* NULL while down */
    gboolean founding;     /* as its next start is told */
    gint64 ahead_us;       /* its machine's clock, see faulty_system.c */
    gint64 day_us;         /* the same of its time of day */
    gint64 sync_us;        /* that a sync of its disk takes */
    const char *connects;  /* what its new connections to endpoints meet; NULL:
                              nothing, see faulty_system.c */
    gboolean records_disk; /* what it synced, for a loss of power */
    guint starts;
    char *id; /* that an endpoint goes by; NULL: a new one each start */
    const char *service; /* that an endpoint is of; NULL: "a" */
};

typedef struct {
    char *folder;
    guint net; /* of the loopback addresses */
    fleet_process_t processes[FLEET_PROCESSES_MAX];
    guint count;
    guint controls;
    guint entries;
    gboolean proxied;
    guint slots;               /* of each endpoint started from now on */
    guint crash_memory_s;      /* of the instances' settings */
    guint memory_mb;           /* the same */
    guint retry_slack;         /* the same */
    gboolean faulty_disks;     /* fleet_lose_power may be used */
    fleet_process_t *platform; /* NULL: it asks for no duties */
    /* Named in the settings of each instance that starts from now on; the
     * first control instances unless changed. */
    const fleet_process_t *seeds[FLEET_SEEDS];
} fleet_t;

/* What came back. */
typedef struct {
    guint status;      /* 0: nothing */
    gboolean complete; /* by its framing */
    gboolean sealed;
    int longest_wait_ms; /* for bytes, from when the request was sent */
    gboolean keep_alive; /* the connection may be used again */
    char *fields;        /* "name: value" lines */
    GString *body;
} reply_t;

extern const char FLEET_KEY[];       /* of team "t" */
extern const char FLEET_OTHER_KEY[]; /* of team "u" */

/* Controls first, then entries, then endpoints of service "a". */
fleet_t *fleet_create(guint controls, guint entries, guint endpoints);
/* The same, each listening at another address than the others use, for
 * proxies between them. */
fleet_t *fleet_create_proxied(guint controls, guint entries, guint endpoints);
/* Kills what runs, by its ids, and removes the folder unless KEEP_SITE. */
void fleet_destroy(fleet_t *fleet);
void fleet_destroy_keep(fleet_t *fleet, gboolean keep);
fleet_process_t *fleet_control(fleet_t *fleet, guint at);
fleet_process_t *fleet_entry(fleet_t *fleet, guint at);
fleet_process_t *fleet_endpoint(fleet_t *fleet, guint at);
/* An address in the fleet's network; freed with g_free. */
char *fleet_address(const fleet_t *fleet, guint host);
/* One more of a role, not started yet. */
fleet_process_t *fleet_add(fleet_t *fleet, fleet_role_t role);
/* A stand-in of the platform that asks for duties, before the instances
 * start. */
void fleet_add_platform(fleet_t *fleet);
/* How it answers from now on: see standin/platform.c. */
void fleet_platform_mode(const fleet_t *fleet, const char *mode);
/* All that it was told, a line each; freed with g_free. */
char *fleet_platform_log(const fleet_t *fleet);
/* Also done by fleet_start. */
void fleet_write_settings(const fleet_t *fleet,
                          const fleet_process_t *process);
void fleet_start(fleet_t *fleet, fleet_process_t *process);
void fleet_start_all(fleet_t *fleet);
void fleet_signal(fleet_process_t *process, int signal);
/* SIGKILL, and waits for the end. */
void fleet_kill(fleet_process_t *process);
/* Whether it was started and has not ended. */
gboolean fleet_is_running(const fleet_process_t *process);
/* Whether it ended by itself, as the stand-in endpoint does when a request
 * asks it to crash. */
gboolean fleet_has_crashed(const fleet_process_t *process);
/* The exit code; -1 when it does not end in time or was killed. */
int fleet_wait_exit(fleet_process_t *process);
void fleet_lose_disk(fleet_process_t *process);
/* What its disk holds after a loss of power: to be called once it was killed,
 * in a fleet with `faulty_disks`. */
void fleet_lose_power(const fleet_process_t *process, GRand *rand);
/* Puts `ahead_us`, `sync_us`, `connects` and `day_us` in force; of a proxied
 * fleet, or one with `faulty_disks`, only. */
void fleet_set_faults(const fleet_process_t *process);
/* From now on the process can write no file beyond `bytes`. FALSE when it has
 * ended. */
gboolean fleet_limit_files(const fleet_process_t *process, guint64 bytes);
gboolean fleet_wait_ready(fleet_process_t *entry);
/* Waits until a counter is `least` or more; see fleet_counter. */
gboolean fleet_wait_counter(const fleet_process_t *process, const char *name,
                            guint64 least);
/* All entries ready with the sample of `version` in force, and the endpoints
 * of its service known to them. */
gboolean fleet_up(fleet_t *fleet, guint64 version);

/* What an endpoint of service "a", at a port of 127.0.0.1, says in a
 * heartbeat; freed with g_free. */
char *fleet_heartbeat(guint16 port, guint slots, const char *state,
                      guint sequence);
/* Sends such a heartbeat, that it is ready, under an id, to a control
 * instance. Returns the status of the answer; 0: none. */
guint fleet_beat(const fleet_process_t *control, const char *id, guint16 port,
                 guint slots, guint sequence);
/* One call; `fields` are lines ending in CRLF. */
reply_t *fleet_call(const char *ip, guint port, const char *method,
                    const char *target, const char *fields, const char *body,
                    int wait_ms);
/* The same in parts, for several calls on one connection; -1: none. */
int fleet_connect(const char *ip, guint port, int wait_ms);
/* Sends all bytes. Returns FALSE if the connection fails or takes none for too
 * long. */
gboolean fleet_send(int connection, const char *bytes, gsize length);
reply_t *fleet_call_on(int connection, const char *method, const char *target,
                       const char *fields, const char *body, int wait_ms);
/* A GET on a connection that stays open: `*fd` is -1 when there is none. It is
 * closed, and -1 again, unless the reply allows another call on it. */
reply_t *fleet_call_kept(int *fd, const char *ip, guint port,
                         const char *target, const char *fields, int wait_ms);
void reply_free(reply_t *reply);
/* Sends bytes and reads up to `size` of what comes back, until the other side
 * closes. Returns how many came, or -1. */
gssize fleet_exchange(const char *ip, guint port, const char *bytes,
                      gsize length, char *answer, gsize size);
/* A client's request at an entry, with an id and the sample's key. */
reply_t *fleet_request(const fleet_process_t *entry, const char *target,
                       const char *id, const char *more);

/* The same as a POST with a body, under a key of its own. */
reply_t *fleet_post(const fleet_process_t *entry, const char *target,
                    const char *id, const char *key, const char *more,
                    const char *body);

/* The sample configuration: /safe/, /once/, /stream/, /fragile/stream/ (not
 * resumable), and /extra-N/ with N the version. `key` is that of team "t";
 * FLEET_OTHER_KEY that of team "u". */
char *fleet_config(guint64 version, const char *key);
/* As the operator does: to one control after the other, with the redirects
 * followed, until acknowledged or refused. 0: no clear answer in time. */
guint fleet_put(fleet_t *fleet, const char *text, guint first);
/* The version read back at a control: 0 when it does not say. */
guint64 fleet_get(const fleet_process_t *control);
/* How often each request began to run, by its id (GUINT_TO_POINTER). */
GHashTable *fleet_runs_by_id(const fleet_t *fleet);
/* Lines "WHAT ID" in the endpoints' logs. */
guint fleet_ran(const fleet_t *fleet, const char *what, const char *id);
/* From now on an endpoint names this limit in its answers, a field for each
 * line; NULL: none. */
void fleet_limit(const fleet_process_t *endpoint, const char *text);
/* The same for a rest, in seconds, with which it refuses all requests, and for
 * what it says of leaving. */
void fleet_rest(const fleet_process_t *endpoint, const char *text);
void fleet_leaving(const fleet_process_t *endpoint, const char *text);
/* The same for the fault of all requests that name none. */
void fleet_fault(const fleet_process_t *endpoint, const char *name);
/* The same for how many requests it turns away in a second before it falls. */
void fleet_brittle(const fleet_process_t *endpoint, const char *text);
/* Something that an endpoint logged. */
typedef struct {
    gint64 at_us;   /* of monotonic time */
    char *request;  /* id */
    gint64 rest_ms; /* that it asked for with this answer */
} fleet_moment_t;
/* All of `what`, in their order: "arrived", "rested" or "leaving" (answers);
 * to be unref'd. */
GArray *fleet_moments(const fleet_process_t *endpoint, const char *what);
/* When requests arrived at it, of monotonic time in us; to be unref'd. */
GArray *fleet_arrivals(const fleet_process_t *endpoint);
/* The most that arrived in `window_ms` up to a moment from `from_us` to
 * `until_us`, of what arrived at `counts_us` or later. */
guint fleet_most_arrivals(const fleet_process_t *endpoint, gint64 counts_us,
                          gint64 from_us, gint64 until_us, int window_ms);
/* The same of times in us, in their order. */
guint fleet_most_in_window(const GArray *arrivals, gint64 counts_us,
                           gint64 from_us, gint64 until_us, int window_ms);
/* When it first named a limit; 0: never. */
gint64 fleet_named_us(const fleet_process_t *endpoint);
/* A counter without a label, of an instance's metrics: 0 until it counts,
 * G_MAXUINT64 when the instance does not answer. */
guint64 fleet_counter(const fleet_process_t *process, const char *name);
/* The most memory that the process had resident so far; 0: unknown. */
gsize fleet_peak_bytes(const fleet_process_t *process);
void fleet_sleep(int ms);
/* Until a moment of monotonic time. */
void fleet_sleep_until(gint64 until_us);
/* Has a connection end with a reset once it is closed. */
void fleet_reset_on_close(int connection);
/* A new folder in memory, freed with g_free; and its removal with all in it.
 */
char *fleet_folder_create(void);
void fleet_folder_remove(const char *path);

#endif
