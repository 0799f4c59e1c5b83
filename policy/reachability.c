#include "carobloom/policy/reachability.h"

enum {
    SECOND_US = 1000 * 1000,
    /* An endpoint in use answers something within this time. */
    REACHED_AGE_US = SECOND_US,
    /* Failures of a cut add up over this time at a few requests a second. */
    FAILED_AGE_US = 5 * SECOND_US,
    /* One endpoint that fails is no cut. */
    FAILED_MIN = 2,
    /* A part of the links may come back first. */
    PROBES_OK_MIN = 3,
};

/* Whether the endpoint failed, and did not answer since. */
static gboolean
failed_last(const endpoint_t *e)
{
    return e->unreached_us != 0 && e->unreached_us >= e->reached_us;
}

static gboolean
is_failed(const endpoint_t *e, gint64 now_us)
{
    return failed_last(e) && now_us - e->unreached_us < FAILED_AGE_US;
}

void
reach_count(const GPtrArray *endpoints, gint64 now_us, reach_counts_t *counts)
{
    for (guint i = 0; endpoints != NULL && i < endpoints->len; i++) {
        const endpoint_t *e = endpoints->pdata[i];
        if (!endpoint_usable(e, now_us)) {
            continue;
        }
        counts->usable++;
        if (is_failed(e, now_us)) {
            counts->failed++;
            counts->first_failed_us =
                counts->first_failed_us == 0
                    ? e->unreached_us
                    : MIN(counts->first_failed_us, e->unreached_us);
        }
        else if (e->reached_us != 0 &&
                 now_us - e->reached_us < REACHED_AGE_US) {
            counts->reached++;
        }
    }
}

void
reach_counts_add(reach_counts_t *all, const reach_counts_t *service)
{
    all->usable += service->usable;
    all->reached += service->reached;
    all->failed += service->failed;
}

void
endpoint_record_reached(endpoint_t *e, gint64 now_us)
{
    e->reached_us = now_us;
}

void
endpoint_record_unreached(endpoint_t *e, gint64 now_us)
{
    e->unreached_us = now_us;
}

gboolean
service_reach_begin(service_reach_t *r, const reach_counts_t *service,
                    const reach_counts_t *all)
{
    /* A service with one endpoint is cut off if nothing else is reached
     * either. */
    gboolean alone = all->reached == 0 && all->failed >= FAILED_MIN;
    if (r->since_us != 0 || service->failed == 0 ||
        (service->failed < FAILED_MIN && !alone) ||
        service->failed <= service->reached) {
        return FALSE;
    }
    *r = (service_reach_t){.since_us = service->first_failed_us};
    return TRUE;
}

gboolean
service_reach_is_cut(const service_reach_t *r)
{
    return r->since_us != 0;
}

gboolean
service_reach_avoids(const service_reach_t *r, const endpoint_t *e)
{
    return r->since_us != 0 &&
           (e->reached_us <= r->since_us || failed_last(e));
}

/* Whether the probe reached the endpoint directly. An engine whose slots are
 * taken accepts a health check and answers it late; where it was the
 * connections that failed, one that is accepted shows enough. */
static gboolean
is_reached_by(const service_reach_t *r, const reach_probe_t *probe)
{
    return probe->answered || (r->confirmed && !r->is_silent && probe->opened);
}

static gboolean
is_confirmed_by(const reach_probe_t *probe)
{
    return probe->through_answered ||
           (probe->through_opened && !probe->opened);
}

gboolean
service_reach_record_probe(service_reach_t *r, endpoint_t *e,
                           const reach_probe_t *probe, gint64 now_us)
{
    if (r->since_us == 0) {
        return FALSE;
    }
    if (is_reached_by(r, probe)) {
        r->probes_ok++;
        if (e != NULL) {
            endpoint_record_reached(e, now_us);
        }
        return FALSE;
    }
    r->probes_ok = 0;
    if (e != NULL) {
        e->unreached_us = probe->through_failed ? 0 : now_us;
    }
    if (r->confirmed || !is_confirmed_by(probe)) {
        return FALSE;
    }
    r->confirmed = TRUE;
    r->is_silent = probe->opened;
    return TRUE;
}

static gboolean
is_unreached(const service_reach_t *r, const endpoint_t *e, gint64 now_us)
{
    return endpoint_usable(e, now_us) && e->unreached_us >= r->since_us &&
           failed_last(e);
}

static gboolean
is_candidate(const service_reach_t *r, const endpoint_t *e, gint64 now_us)
{
    return r->confirmed
               ? endpoint_usable(e, now_us) && service_reach_avoids(r, e)
               : is_unreached(r, e, now_us);
}

gboolean
service_reach_is_over(const service_reach_t *r, const GPtrArray *endpoints,
                      gint64 now_us)
{
    return r->since_us != 0 &&
           (r->probes_ok >= PROBES_OK_MIN ||
            service_reach_next_probe(r, endpoints, 0, now_us) == NULL);
}

endpoint_t *
service_reach_next_probe(const service_reach_t *r, const GPtrArray *endpoints,
                         guint32 draw, gint64 now_us)
{
    for (guint i = 0; endpoints != NULL && i < endpoints->len; i++) {
        endpoint_t *e = endpoints->pdata[(draw + i) % endpoints->len];
        if (is_candidate(r, e, now_us)) {
            return e;
        }
    }
    return NULL;
}

void
service_reach_forgive(const GPtrArray *endpoints)
{
    for (guint i = 0; endpoints != NULL && i < endpoints->len; i++) {
        endpoint_t *e = endpoints->pdata[i];
        if (failed_last(e)) {
            e->backoff_until_us = 0;
            e->backoff_us = 0;
        }
    }
}

void
service_reach_end(service_reach_t *r, const GPtrArray *endpoints)
{
    *r = (service_reach_t){0};
    for (guint i = 0; endpoints != NULL && i < endpoints->len; i++) {
        ((endpoint_t *)endpoints->pdata[i])->unreached_us = 0;
    }
}
