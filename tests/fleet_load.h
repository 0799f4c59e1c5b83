/* Callers that send requests to the entry instances of a fleet in turn, at a
 * fixed interval. */
#ifndef TESTS_FLEET_LOAD_H
#define TESTS_FLEET_LOAD_H

#include "fleet.h"

enum {
    LOAD_CALLERS = 10,
};

typedef struct {
    fleet_t *fleet;
    const char *target;
    const char *fields;      /* of each request, lines; NULL: none */
    int interval_ms;         /* between two requests of a caller */
    gint stop;               /* atomic */
    gint answered;           /* 200, complete; atomic */
    gint refused;            /* 503 with Retry-After; atomic */
    gint failed;             /* any other outcome; atomic */
    gint longest_refusal_ms; /* until a refusal was answered; atomic */
    /* Told of each reply, by several threads; NULL: nobody is. */
    void (*observe)(void *user, guint entry, const reply_t *reply,
                    gint64 started_us);
    void *user;
} load_t;

typedef struct {
    load_t *load;
    guint number;
    const char *target; /* NULL: that of the load */
    const char *fields; /* the same */
    gint answered;
} caller_t;

/* Starts LOAD_CALLERS callers. Their request ids are eENTRY-cCALLER-NUMBER;
 * see load_entry_of. */
void load_start(load_t *load, caller_t *callers, GThread **threads);
void load_stop(load_t *load, GThread **threads);
/* The entry instance that a request was sent to, by its id. */
guint load_entry_of(const char *request);

#endif
