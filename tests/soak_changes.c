#include "soak_changes.h"

#include <stdio.h>

enum {
    IN_A_ROW_MAX = 4,
    PAUSE_MS = 40,
    MANY_ROUTES = 40,
};

struct soak_changes {
    fleet_t *fleet;
    GRand *random;
    guint accepted_invalid;
};

static const struct {
    const char *name;
    const char *prefix;
    const char *kind;
    const char *resumable;
    gboolean goes; /* not in every version */
} ROUTES[] = {
    {"safe", "/safe/", "safe", "false", FALSE},
    {"once", "/once/", "unsafe", "false", FALSE},
    {"stream", "/stream/", "stream", "true", FALSE},
    {"fragile", "/fragile/stream/", "stream", "false", FALSE},
    {"going-safe", "/going/safe/", "safe", "false", TRUE},
    {"going-once", "/going/once/", "unsafe", "false", TRUE},
    {"going-stream", "/going/stream/", "stream", "true", TRUE},
};

static const guint TIMEOUTS_MS[] = {CHANGES_TIMEOUT_LEAST_MS, 8000, 10000};
static const guint TARGETS_MS[] = {100, 300, 600};
static const guint IDLE_MS[] = {1000, 3000, 15000};

soak_changes_t *
soak_changes_create(fleet_t *fleet, guint32 seed)
{
    soak_changes_t *c = g_new0(soak_changes_t, 1);
    c->fleet = fleet;
    c->random = g_rand_new_with_seed(seed + 7000);
    for (guint i = fleet->controls + fleet->entries; i < fleet->count; i++) {
        fleet->processes[i].service = i % 2 == 0 ? "a" : "b";
    }
    return c;
}

void
soak_changes_destroy(soak_changes_t *c)
{
    if (c != NULL) {
        g_rand_free(c->random);
        g_free(c);
    }
}

static gboolean
one_in(soak_changes_t *c, gint many)
{
    return g_rand_int_range(c->random, 0, many) == 0;
}

#define DRAW(c, table)                                                        \
    ((table)[g_rand_int_range((c)->random, 0, G_N_ELEMENTS(table))])

static void
add_services(soak_changes_t *c, GString *text)
{
    if (one_in(c, 3)) {
        gint weight = g_rand_int_range(c->random, 0, 100);
        g_string_append_printf(text,
                               "\"Split\":[{\"Service\":\"a\",\"Weight\":%d},"
                               "{\"Service\":\"b\",\"Weight\":%d}],",
                               weight, 100 - weight);
        return;
    }
    g_string_append_printf(text, "\"Service\":\"%s\",",
                           one_in(c, 2) ? "a" : "b");
}

static void
add_route(soak_changes_t *c, GString *text, const char *name,
          const char *prefix, const char *kind, const char *resumable)
{
    g_string_append_printf(
        text,
        "{\"Name\":\"%s\",\"Host\":\"h.example\",\"PathPrefix\":\"%s\","
        "\"Kind\":\"%s\",\"Resumable\":%s,\"TimeoutMs\":%u,"
        "\"TargetLatencyMs\":%u,\"TargetGapMs\":300,\"Priority\":0,",
        name, prefix, kind, resumable, DRAW(c, TIMEOUTS_MS),
        DRAW(c, TARGETS_MS));
    add_services(c, text);
    g_string_append_printf(
        text, "\"MaxAttempts\":%d},",
        g_rand_int_range(c->random, 2, CHANGES_ATTEMPTS_MOST + 1));
}

static void
add_many(soak_changes_t *c, GString *text, gint version)
{
    for (guint i = 0; i < MANY_ROUTES; i++) {
        char *name = g_strdup_printf("many-%d-%u", version, i);
        char *prefix = g_strdup_printf("/many-%d/%u/", version, i);
        add_route(c, text, name, prefix, "safe", "false");
        g_free(name);
        g_free(prefix);
    }
}

static char *
draw_config(soak_changes_t *c, gint version)
{
    GString *text = g_string_new(NULL);
    g_string_append_printf(text, "{\"Version\":%d,\"Routes\":[", version);
    for (guint i = 0; i < G_N_ELEMENTS(ROUTES); i++) {
        if (!ROUTES[i].goes || !one_in(c, 3)) {
            add_route(c, text, ROUTES[i].name, ROUTES[i].prefix,
                      ROUTES[i].kind, ROUTES[i].resumable);
        }
    }
    if (one_in(c, 6)) {
        add_many(c, text, version);
    }
    g_string_truncate(text, text->len - 1); /* the last comma */
    g_string_append_printf(
        text,
        "],\"Services\":[{\"Name\":\"a\",\"HealthPath\":\"/h\","
        "\"MaxConnections\":500},{\"Name\":\"b\",\"HealthPath\":\"/h\","
        "\"MaxConnections\":500}],\"Limits\":{\"MaxHeaderBytes\":%d,"
        "\"MaxBodyBytes\":%d,\"HeaderTimeoutMs\":%d,\"IdleTimeoutMs\":%u},"
        "\"Tenants\":[{\"Name\":\"t\",\"ApiKeys\":[\"%s\"]}",
        g_rand_int_range(c->random, 2048, 16384),
        g_rand_int_range(c->random, 4096, 4194304),
        g_rand_int_range(c->random, 1000, 3000), DRAW(c, IDLE_MS), FLEET_KEY);
    if (!one_in(c, 3)) {
        g_string_append_printf(text, ",{\"Name\":\"u\",\"ApiKeys\":[\"%s\"]}",
                               FLEET_OTHER_KEY);
    }
    g_string_append(text, "]}");
    return g_string_free(text, FALSE);
}

typedef struct {
    soak_changes_t *changes;
    gint version;
    char *text;
    guint first; /* control instance that is asked */
    guint status;
} change_t;

static change_t
draw_change(soak_changes_t *c, gint version)
{
    return (change_t){.changes = c,
                      .version = version,
                      .text = draw_config(c, version),
                      .first = (guint)g_rand_int_range(
                          c->random, 0, (gint)c->fleet->controls)};
}

static gpointer
change_send(gpointer data)
{
    change_t *change = data;
    change->status =
        fleet_put(change->changes->fleet, change->text, change->first);
    return NULL;
}

static void
change_end(change_t *change, gint *acked)
{
    if (change->status == 200) {
        *acked = MAX(*acked, change->version);
    }
    g_free(change->text);
}

/* Names a service that is not there. */
static void
send_invalid(soak_changes_t *c, gint version)
{
    char *text =
        g_strdup_printf("{\"Version\":%d,\"Routes\":[{\"Name\":\"x\","
                        "\"Host\":\"h.example\",\"PathPrefix\":\"/\","
                        "\"Kind\":\"safe\",\"TimeoutMs\":6000,"
                        "\"TargetLatencyMs\":300,\"Service\":\"nowhere\"}],"
                        "\"Services\":[]}",
                        version);
    c->accepted_invalid += fleet_put(c->fleet, text, 0) == 200;
    g_free(text);
}

gint
soak_changes_make(soak_changes_t *c, gint version, gint *acked)
{
    gint count = g_rand_int_range(c->random, 1, IN_A_ROW_MAX + 1);
    for (gint i = 0; i < count; i++) {
        if (one_in(c, 6)) {
            send_invalid(c, version++);
        }
        change_t one = draw_change(c, version++);
        if (one_in(c, 4)) {
            change_t other = draw_change(c, version++);
            GThread *thread = g_thread_new("change", change_send, &other);
            change_send(&one);
            g_thread_join(thread);
            change_end(&other, acked);
        }
        else {
            change_send(&one);
        }
        change_end(&one, acked);
        fleet_sleep(g_rand_int_range(c->random, 0, PAUSE_MS));
    }
    return version;
}

gboolean
soak_changes_kept(const soak_changes_t *c)
{
    if (c != NULL && c->accepted_invalid > 0) {
        printf("%u invalid changes were acknowledged\n", c->accepted_invalid);
    }
    return c == NULL || c->accepted_invalid == 0;
}
