/* Settings of an instance that routes by the routing configuration: an entry
 * instance (callers) or a control instance (endpoints, operators, the log).
 *
 * samples/gateway.jsonc documents every key. */
#ifndef CAROBLOOM_GATEWAY_SETTINGS_H
#define CAROBLOOM_GATEWAY_SETTINGS_H

#include <glib.h>

#include "carobloom/common/str.h"

enum {
    GATEWAY_SETTINGS_OK = 0,
    GATEWAY_SETTINGS_ERROR_READ = -1,
    GATEWAY_SETTINGS_ERROR_FAULTS = -2,
};

typedef struct {
    char *instance;
    char *data_centre;
    char *region;
    char *data_folder;        /* of a control instance */
    char *address;            /* IP that the other instances reach */
    char *bind;               /* IP to listen at for them; empty: the same */
    char *callers;            /* IP:PORT; empty on a control instance */
    char *probe;              /* IP:PORT for the balancer */
    char *control;            /* IP:PORT; empty on an entry instance */
    char *metrics;            /* IP:PORT */
    gboolean trusted_network; /* instances talk in plain text */
    gboolean founding;        /* the whole site starts for the first time */
    gint64 peers_port;        /* the same on all instances */
    char **seeds;             /* IP:PORT of control listeners */
    double memory_mb;
    double descriptors;
    double heartbeat_ms; /* of endpoints */
    double grace_s;      /* from SIGTERM until the platform kills */
    double revoke_ms;    /* a withdrawn key must not work for longer; 0: no
                            bound */
    double retry_ratio;  /* repeats for each request, of all instances */
    double retry_window_s;
    double retry_slack;    /* repeats beyond */
    double crash_memory_s; /* a request that crashes endpoints is held back
                              for so long */
    /* duties towards the platform, see control/duties.h */
    char *platform;              /* IP:PORT of its calls; empty: no duties */
    char **duties;               /* which, in the platform's words */
    double duty_lease_ms;        /* a holder that lost the duty to another
                                    keeps off for so long */
    double duty_calls_per_s;     /* of all instances together */
    double usage_window_s;       /* of usage reports */
    double usage_due_s;          /* after a window's end */
    char *capacity;              /* how engines are ordered, or "off" */
    double capacity_floor;       /* engines of each service, at least */
    double capacity_ceiling;     /* and at most; 0: as the platform allows */
    double capacity_reclaimable; /* of what is ordered, the most that may be
                                    reclaimable; 0 to 1 */
} gateway_settings_t;

/* Whether the text is of this kind of settings. */
gboolean gateway_settings_is(str_t text);
int gateway_settings_parse(str_t text, gateway_settings_t **settings,
                           GPtrArray *faults);
int gateway_settings_load(const char *path, gateway_settings_t **settings,
                          GPtrArray *faults);
void gateway_settings_destroy(gateway_settings_t *settings);

#endif
