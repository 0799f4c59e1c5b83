#include "carobloom/gateway/traffic.h"

#include "carobloom/common/event_log.h"

typedef enum {
    REACH_UNKNOWN,
    REACH_LOCAL, /* in the local data centre */
    REACH_REMOTE,
    REACH_COUNT,
} reach_t;

static const char *const KIND_NAMES[TRAFFIC_KINDS] = {
    [TRAFFIC_SYNC] = "sync",
    [TRAFFIC_LOADS] = "loads",
    [TRAFFIC_CRASHES] = "crashes",
    [TRAFFIC_LIMITS] = "limits",
    [TRAFFIC_REPEATS] = "repeats",
    [TRAFFIC_USAGE] = "usage",
    [TRAFFIC_SLOTS] = "slots",
    [TRAFFIC_VOTER] = "voter",
    [TRAFFIC_LOAD_SUMS] = "load_sums",
    [TRAFFIC_CLOCK] = "clock",
    [TRAFFIC_DEPARTURES] = "departures",
    [TRAFFIC_ENDPOINT_REQUESTS] = "work",
    [TRAFFIC_TUNNELS] = "tunnels",
    [TRAFFIC_HELPERS] = "helpers",
};

static const char *const REACH_NAMES[REACH_COUNT] = {
    [REACH_UNKNOWN] = "unknown",
    [REACH_LOCAL] = "within",
    [REACH_REMOTE] = "across",
};

struct traffic {
    char *data_centre;
    GHashTable *data_centres; /* IP:PORT -> data centre */
};

traffic_t *
traffic_create(const char *data_centre)
{
    traffic_t *t = g_new0(traffic_t, 1);
    t->data_centre = g_strdup(data_centre);
    t->data_centres =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return t;
}

void
traffic_destroy(traffic_t *t)
{
    g_hash_table_unref(t->data_centres);
    g_free(t->data_centre);
    g_free(t);
}

void
traffic_set_data_centre(traffic_t *t, const char *address,
                        const char *data_centre)
{
    const char *known = g_hash_table_lookup(t->data_centres, address);
    gboolean is_known = data_centre != NULL && *data_centre != '\0';
    if (is_known && g_strcmp0(known, data_centre) != 0) {
        g_hash_table_replace(t->data_centres, g_strdup(address),
                             g_strdup(data_centre));
    }
}

/* Counters live as long as the process, so each is looked up once. */
static const http_traffic_t *
counters_of(traffic_kind_t kind, reach_t reach)
{
    static http_traffic_t all[TRAFFIC_KINDS][REACH_COUNT];
    http_traffic_t *t = &all[kind][reach];
    if (t->sent == NULL) {
        char label[64];
        g_snprintf(label, sizeof(label), "kind=\"%s\",reach=\"%s\"",
                   KIND_NAMES[kind], REACH_NAMES[reach]);
        t->sent = counter_get("call_bytes_sent_total", label, FALSE);
        t->received = counter_get("call_bytes_received_total", label, FALSE);
    }
    return t;
}

void
traffic_count_into(const traffic_t *t, client_call_t *call,
                   traffic_kind_t kind, const char *data_centre)
{
    reach_t reach = REACH_UNKNOWN;
    if (data_centre != NULL && *data_centre != '\0') {
        reach = g_str_equal(data_centre, t->data_centre) ? REACH_LOCAL
                                                         : REACH_REMOTE;
    }
    client_call_count(call, counters_of(kind, reach));
}

void
traffic_count(const traffic_t *t, client_call_t *call, traffic_kind_t kind,
              const char *address)
{
    traffic_count_into(t, call, kind,
                       g_hash_table_lookup(t->data_centres, address));
}

static void
log_direction(traffic_kind_t kind, reach_t reach, const char *direction,
              const counter_t *counter)
{
    char key[64];
    if (counter_value(counter) > 0) {
        g_snprintf(key, sizeof(key), "%s_%s_%s", KIND_NAMES[kind],
                   REACH_NAMES[reach], direction);
        event_log_number(key, counter_value(counter));
    }
}

void
traffic_log(void)
{
    if (!event_log_begin(EVENT_STATE, "traffic")) {
        return;
    }
    for (guint kind = 0; kind < TRAFFIC_KINDS; kind++) {
        for (guint reach = 0; reach < REACH_COUNT; reach++) {
            const http_traffic_t *t = counters_of(kind, reach);
            log_direction(kind, reach, "sent", t->sent);
            log_direction(kind, reach, "received", t->received);
        }
    }
    event_log_end();
}
