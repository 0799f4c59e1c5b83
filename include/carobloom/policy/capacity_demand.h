/* Demand for the engines of each service: the sum of the reports of the entry
 * instances. Pure. */
#ifndef CAROBLOOM_POLICY_CAPACITY_DEMAND_H
#define CAROBLOOM_POLICY_CAPACITY_DEMAND_H

#include <glib.h>

/* Report of one entry instance on one service. The counters start with the
 * instance. */
typedef struct {
    char *service;
    guint32 running;      /* its requests in flight at engines */
    guint64 arrived;      /* requests for the service */
    guint64 turned_away;  /* times that a request found no free slot */
    guint64 read_tokens;  /* prompt tokens that engines had to prefill */
    double tokens_per_ms; /* estimated prefill speed of an engine */
} service_work_t;

/* Sum over the entry instances. Counters become rates per second, and the
 * prefill speed is the mean. */
typedef struct {
    double running;
    double arrived;
    double turned_away;
    double read_tokens;
    double tokens_per_ms;
    guint reporters; /* entry instances that report; 0: demand unknown */
} service_demand_t;

typedef struct capacity_demand capacity_demand_t;

capacity_demand_t *capacity_demand_create(void);
void capacity_demand_destroy(capacity_demand_t *demand);
/* Records a report of one incarnation of an entry instance. */
void capacity_demand_record(capacity_demand_t *demand, guint64 incarnation,
                            const service_work_t *work, gint64 now_us);
/* Returns the sum over the entry instances that reported recently. */
service_demand_t capacity_demand_sum(const capacity_demand_t *demand,
                                     const char *service, gint64 now_us);
/* Removes entry instances whose last report has timed out. */
void capacity_demand_expire(capacity_demand_t *demand, gint64 now_us);

#endif
