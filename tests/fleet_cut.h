/* Proxies between the processes of a fleet, and cuts between one entry
 * instance and endpoints that the other instances still reach. */
#ifndef TESTS_FLEET_CUT_H
#define TESTS_FLEET_CUT_H

#include "fleet.h"
#include "proxy.h"

/* By process and listener; NULL where there is none. The soak draws from the
 * first two. */
enum { FLEET_LISTENERS_MAX = 3 };
typedef proxy_t *fleet_proxies_t[FLEET_PROCESSES_MAX][FLEET_LISTENERS_MAX];

/* Of a fleet made by fleet_create_proxied, before it starts. */
void fleet_proxies_create(const fleet_t *fleet, fleet_proxies_t proxies);

/* What the connections to endpoints of a cut-off instance meet. */
typedef enum {
    CUT_HANG,    /* open ones are silent, new ones are not accepted */
    CUT_RESET,   /* open ones are reset, new ones refused */
    CUT_LIVE_ON, /* open ones live on, new ones are refused */
    CUT_SILENT,  /* open and new ones are silent */
    CUT_ONE_WAY, /* what the endpoints send is lost */
    CUT_KINDS,
    /* What is sent on open connections is held up until the end of the cut,
     * new ones are not accepted. */
    CUT_HOLD = CUT_KINDS,
} cut_kind_t;

const char *cut_kind_name(cut_kind_t kind);
/* Cuts an entry instance off from the endpoints that are not in the set of
 * bits `spared`. */
void fleet_cut(fleet_t *fleet, fleet_proxies_t proxies, guint entry,
               cut_kind_t kind, guint32 spared);
void fleet_cut_end(fleet_t *fleet, fleet_proxies_t proxies, guint entry);

#endif
