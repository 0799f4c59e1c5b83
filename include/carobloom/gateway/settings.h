/* Settings of an instance that routes by the routing configuration: an entry
 * instance (callers) or a control instance (endpoints, operators, the log).
 *
 * samples/gateway.jsonc documents every key. */
#ifndef CAROBLOOM_GATEWAY_SETTINGS_H
#define CAROBLOOM_GATEWAY_SETTINGS_H

#include <glib.h>

#include "carobloom/common/str.h"
#include "carobloom/policy/repeat_budget.h"

enum {
    GATEWAY_SETTINGS_OK = 0,
    GATEWAY_SETTINGS_ERROR_READ = -1,
    GATEWAY_SETTINGS_ERROR_FAULTS = -2,
};

typedef struct {
    char *instance;
    char *data_centre;
    char *region;
    char *data_folder; /* of a control instance */
    char *address;     /* IP at which the other instances reach this one */
    char *bind;    /* IP to listen on for other instances; empty: `address` */
    char *callers; /* IP:PORT; empty on a control instance */
    char *probe;   /* IP:PORT of the balancer's probes */
    char *control; /* IP:PORT; empty on an entry instance */
    char *metrics; /* IP:PORT */
    gboolean trusted_network; /* instances communicate in plain text */
    gboolean founding;        /* the whole site starts for the first time */
    gint64 peers_port;        /* the same on all instances */
    char **seeds;             /* IP:PORT of control listeners */
    gint64 disk_losses;       /* of control instances at once, to be borne */
    double memory_mb;
    double descriptors;
    double heartbeat_ms; /* interval between heartbeats of endpoints */
    double grace_s;   /* from SIGTERM until the platform kills the process */
    double revoke_ms; /* maximum time for which a withdrawn key still works; 0:
                         no bound */
    double retry_ratio; /* repeats per request, of all instances */
    double retry_window_s;
    double retry_slack;    /* additional repeats, beyond the ratio */
    double crash_memory_s; /* for how long a request that crashes endpoints is
                              quarantined */
    /* duties for the platform, see control/duties.h */
    char *platform; /* IP:PORT for calls to the platform; empty: no duties */
    char **duties;  /* duties to perform, by the platform's names */
    double duty_lease_ms; /* for how long a duty holder that lost the duty to
                             another one makes no calls */
    double duty_calls_per_s; /* of all instances together */
    double usage_window_s;   /* length of the window of a usage report */
    double usage_due_s; /* when a report is due, after the end of its window */
    char *capacity;     /* how engines are ordered, or "off" */
    double capacity_floor;   /* minimum number of engines of each service */
    double capacity_ceiling; /* maximum number; 0: as the platform allows */
    double capacity_reclaimable; /* maximum fraction of ordered engines that
                                    may be reclaimable; 0 to 1 */
} gateway_settings_t;

/* Whether the text contains settings of this kind. */
gboolean gateway_settings_is(str_t text);
int gateway_settings_parse(str_t text, gateway_settings_t **settings,
                           GPtrArray *faults);
int gateway_settings_load(const char *path, gateway_settings_t **settings,
                          GPtrArray *faults);
/* IP:PORT to listen on for other instances; freed with g_free. */
char *gateway_settings_inner_listener(const gateway_settings_t *settings);
repeat_limits_t
gateway_settings_repeat_limits(const gateway_settings_t *settings);
void gateway_settings_destroy(gateway_settings_t *settings);

#endif
