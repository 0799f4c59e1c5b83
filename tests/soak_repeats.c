#include "soak_repeats.h"

#include <stdio.h>

#include "fleet_repeats.h"

enum { SLACK = 52 };

static const repeats_rule_t RULE = {.ratio = 0.2, .slack = SLACK};

static const char *const FIELDS[] = {"", "Fault: full\r\n", "Fault: reset\r\n",
                                     "Fault: error\r\n", "Fault: cut\r\n"};

struct soak_repeats {
    const fleet_t *fleet;
    GMutex lock;
    GArray *requests; /* gint64, us */
};

soak_repeats_t *
soak_repeats_create(fleet_t *fleet)
{
    soak_repeats_t *r = g_new0(soak_repeats_t, 1);
    r->fleet = fleet;
    r->requests = g_array_new(FALSE, FALSE, sizeof(gint64));
    fleet->retry_slack = SLACK;
    return r;
}

void
soak_repeats_destroy(soak_repeats_t *r)
{
    if (r != NULL) {
        g_array_unref(r->requests);
        g_free(r);
    }
}

const char *
soak_repeats_fields(const soak_repeats_t *r, GRand *random)
{
    return r == NULL
               ? ""
               : FIELDS[g_rand_int_range(random, 0, G_N_ELEMENTS(FIELDS))];
}

void
soak_repeats_record(soak_repeats_t *r, gint64 sent_us)
{
    if (r != NULL) {
        g_mutex_lock(&r->lock);
        g_array_append_val(r->requests, sent_us);
        g_mutex_unlock(&r->lock);
    }
}

gboolean
soak_repeats_kept(soak_repeats_t *r)
{
    if (r == NULL) {
        return TRUE;
    }
    GArray *repeats = fleet_repeat_times(r->fleet);
    repeats_window_t worst = repeats_worst(repeats, r->requests, &RULE);
    printf("worst window: %u repeats of %.1f allowed\n", worst.repeats,
           worst.allowed);
    g_array_unref(repeats);
    return worst.repeats <= worst.allowed;
}
