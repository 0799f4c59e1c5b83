#include "soak_cuts.h"

#include <stdio.h>

enum {
    MS = 1000,
    PAUSE_MIN_MS = 300, /* between two cuts */
    PAUSE_MAX_MS = 2500,
    CUT_MIN_MS = 200,
    CUT_MAX_MS = 4000,
    SPARED_ONE_IN = 4, /* cuts that spare some endpoints */
};

struct soak_cuts {
    fleet_t *fleet;
    proxy_t *(*proxies)[FLEET_LISTENERS_MAX];
    GRand *random;
    gint64 next_us;
    gint64 end_us[FLEET_PROCESSES_MAX]; /* of an entry's cut; 0: none */
};

soak_cuts_t *
soak_cuts_create(fleet_t *fleet, proxy_t *(*proxies)[FLEET_LISTENERS_MAX],
                 guint32 seed)
{
    soak_cuts_t *c = g_new0(soak_cuts_t, 1);
    c->fleet = fleet;
    c->proxies = proxies;
    c->random = g_rand_new_with_seed(seed + 5000);
    return c;
}

void
soak_cuts_destroy(soak_cuts_t *c)
{
    if (c != NULL) {
        g_rand_free(c->random);
        g_free(c);
    }
}

static gint64
draw_us(soak_cuts_t *c, int min_ms, int max_ms)
{
    return g_rand_int_range(c->random, min_ms, max_ms) * (gint64)MS;
}

/* Cuts some entry instances off, a random number of them up to all. */
static void
begin(soak_cuts_t *c, gint64 now)
{
    guint entries = MAX(c->fleet->entries, 1);
    cut_kind_t kind = (cut_kind_t)g_rand_int_range(c->random, 0, CUT_KINDS);
    guint count = (guint)g_rand_int_range(c->random, 1, (gint)entries + 1);
    guint first = g_rand_int(c->random);
    guint32 spared = g_rand_int_range(c->random, 0, SPARED_ONE_IN) == 0
                         ? g_rand_int(c->random) | 1u
                         : 0;
    gint64 end_us = now + draw_us(c, CUT_MIN_MS, CUT_MAX_MS);
    printf("       cut off %u entries (%s), all but %x\n", count,
           cut_kind_name(kind), spared);
    for (guint i = 0; i < count; i++) {
        guint entry = (first + i) % entries;
        fleet_cut(c->fleet, c->proxies, entry, kind, spared);
        c->end_us[entry] = end_us;
    }
}

void
soak_cuts_step(soak_cuts_t *c)
{
    gint64 now = g_get_monotonic_time();
    if (c == NULL) {
        return;
    }
    for (guint i = 0; i < c->fleet->entries; i++) {
        if (c->end_us[i] != 0 && now >= c->end_us[i]) {
            c->end_us[i] = 0;
            fleet_cut_end(c->fleet, c->proxies, i);
        }
    }
    if (now >= c->next_us) {
        begin(c, now);
        c->next_us = now + draw_us(c, PAUSE_MIN_MS, PAUSE_MAX_MS);
    }
}

void
soak_cuts_end(soak_cuts_t *c)
{
    for (guint i = 0; c != NULL && i < c->fleet->entries; i++) {
        c->end_us[i] = 0;
        fleet_cut_end(c->fleet, c->proxies, i);
    }
}
