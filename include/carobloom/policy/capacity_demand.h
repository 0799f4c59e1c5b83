/* The work that a service's engines have and are asked for, summed over the
 * entry instances that report it. Pure. */
#ifndef CAROBLOOM_POLICY_CAPACITY_DEMAND_H
#define CAROBLOOM_POLICY_CAPACITY_DEMAND_H

#include <glib.h>

/* What one entry instance tells of one service. Counts are since its start. */
typedef struct {
    char *service;
    guint32 running;     /* its requests under way at engines now */
    guint64 arrived;     /* requests for it */
    guint64 turned_away; /* times that no engine had a place for one */
    guint64 read_tokens; /* prompt tokens that engines had to read */
    double tokens_a_ms;  /* that an engine reads, as it learned */
} service_work_t;

/* The same of all, a second where it is a rate. */
typedef struct {
    double running;
    double arrived;
    double turned_away;
    double read_tokens;
    double tokens_a_ms;
    guint reporters; /* entry instances; 0: nothing is known */
} service_demand_t;

typedef struct capacity_demand capacity_demand_t;

capacity_demand_t *capacity_demand_create(void);
void capacity_demand_destroy(capacity_demand_t *demand);
/* A report of one start of an entry instance. */
void capacity_demand_record(capacity_demand_t *demand, guint64 incarnation,
                            const service_work_t *work, gint64 now_us);
service_demand_t capacity_demand_sum(const capacity_demand_t *demand,
                                     const char *service, gint64 now_us);
/* Leaves out entry instances that told nothing lately. */
void capacity_demand_expire(capacity_demand_t *demand, gint64 now_us);

#endif
