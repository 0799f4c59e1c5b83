#include "fleet_obey.h"

#include <stdio.h>

enum {
    GIVE_UP_MS = 8000, /* after FLEET_APPLY_MS */
    ASK_MS = 20,       /* between two requests at an instance */
    ENTRIES_MAX = 16,
};

/* Asks one entry instance for a route until it is there. */
typedef struct {
    const fleet_process_t *entry;
    char target[32];
    guint64 version;
    gint64 counts_us;  /* since when it should be there, at last */
    gint64 refused_us; /* when the last refused request was sent */
    guint status;
    gboolean delivered;
} asker_t;

struct fleet_obey {
    guint count;
    asker_t askers[ENTRIES_MAX];
    GThread *threads[ENTRIES_MAX];
};

/* An instance that has the version may still refuse requests: it hears nothing
 * of the leader, so that there may be a newer one. */
static gboolean
has_version(const asker_t *a)
{
    guint64 version = fleet_counter(a->entry, "config_version");
    return version != G_MAXUINT64 && version >= a->version;
}

static gpointer
asker_run(gpointer data)
{
    asker_t *a = data;
    gint64 until_us =
        a->counts_us + (FLEET_APPLY_MS + (gint64)GIVE_UP_MS) * 1000;
    gint64 sent_us;
    do {
        char id[64];
        sent_us = g_get_monotonic_time();
        g_snprintf(id, sizeof(id), "%s-%" G_GINT64_FORMAT, a->target + 1,
                   sent_us);
        reply_t *reply = fleet_request(a->entry, a->target, id, "");
        a->status = reply->status;
        reply_free(reply);
        if (a->status == 200 || (a->status == 503 && has_version(a))) {
            a->delivered = TRUE;
            return NULL;
        }
        a->refused_us = sent_us;
        fleet_sleep(ASK_MS);
    } while (sent_us < until_us);
    return NULL;
}

fleet_obey_t *
fleet_obey_begin(fleet_t *f, guint64 version, gint64 counts_us)
{
    fleet_obey_t *obey = g_new0(fleet_obey_t, 1);
    obey->count = MIN(f->entries, ENTRIES_MAX);
    for (guint i = 0; i < obey->count; i++) {
        asker_t *a = &obey->askers[i];
        a->entry = fleet_entry(f, i);
        a->counts_us = counts_us;
        a->version = version;
        g_snprintf(a->target, sizeof(a->target),
                   "/extra-%" G_GUINT64_FORMAT "/1", version);
        obey->threads[i] = g_thread_new("asker", asker_run, a);
    }
    return obey;
}

/* Returns whether the instance obeyed in time. */
static gboolean
judge(const asker_t *a, const char *name)
{
    gint64 late_ms = MAX(a->refused_us - a->counts_us, 0) / 1000;
    gboolean in_time = a->delivered && late_ms <= FLEET_APPLY_MS;
    if (!in_time || g_getenv("DELIVERY_PRINT") != NULL) {
        printf("%s: %s at %s until %" G_GINT64_FORMAT " ms, status %u; ", name,
               a->target, a->entry->name, late_ms, a->status);
    }
    return in_time;
}

gboolean
fleet_obey_end(fleet_obey_t *obey, const char *name)
{
    gboolean in_time = TRUE;
    for (guint i = 0; i < obey->count; i++) {
        g_thread_join(obey->threads[i]);
        in_time = judge(&obey->askers[i], name) && in_time;
    }
    g_free(obey);
    return in_time;
}
