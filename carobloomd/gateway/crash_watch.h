/* Finds out which endpoints ended without having said that they leave, and
 * which of this instance's requests ran there.
 *
 * A connection that breaks off shows nothing yet: endpoints reset what is too
 * much for them, cut answers short, or are cut off. An endpoint has ended when
 * a break is followed by a refused connection (nobody listens at its address
 * any more) or by another start at its address, and nothing more was heard
 * from it. One that drains or has left ends as it said. */
#ifndef CAROBLOOMD_GATEWAY_CRASH_WATCH_H
#define CAROBLOOMD_GATEWAY_CRASH_WATCH_H

#include "carobloom/common/poller.h"
#include "carobloom/common/timers.h"
#include "carobloom/policy/directory.h"
#include "carobloom/policy/endpoint_end.h"

typedef struct crash_watch crash_watch_t;

/* What the watch is told of and tells. */
typedef struct {
    poller_t *poller;
    timers_t *timers;
    const directory_t *directory;
    /* An endpoint ended, or more is known of what ran there. */
    void (*ended)(void *user, const endpoint_end_t *end);
    void *user;
} crash_watch_setup_t;

/* A request at an endpoint. */
typedef struct {
    interrupted_run_t run;
    gint64 sent_us; /* when it was sent there */
} watched_run_t;

crash_watch_t *crash_watch_create(const crash_watch_setup_t *setup);
void crash_watch_destroy(crash_watch_t *watch);
/* A request was sent there and its connection broke off. */
void crash_watch_record_break(crash_watch_t *watch, const endpoint_t *endpoint,
                              watched_run_t run);
/* Its caller left, or it was given up, while it ran there. */
void crash_watch_record_abandoned(crash_watch_t *watch,
                                  const endpoint_t *endpoint,
                                  watched_run_t run);
/* Nobody listens at the endpoint's address. */
void crash_watch_record_refused(crash_watch_t *watch,
                                const endpoint_t *endpoint);
/* Bytes came from the endpoint: only of interest while a break there is
 * unexplained, which the first tells. */
gboolean crash_watch_has_unexplained(const crash_watch_t *watch);
void crash_watch_record_bytes(crash_watch_t *watch,
                              const endpoint_t *endpoint);

#endif
