/* Reports of entry instances to control instances about endpoints that said in
 * answers that they leave. */
#ifndef CAROBLOOM_GATEWAY_LEAVING_WIRE_H
#define CAROBLOOM_GATEWAY_LEAVING_WIRE_H

#include <glib.h>

#define LEAVING_PATH "/leaving" /* entry to control */

enum { LEAVING_REPORT_MAX = 64 }; /* incarnations in one report */

/* One incarnation of an endpoint. */
typedef struct {
    char *endpoint;    /* endpoint id */
    gint64 started_ms; /* Unix time; 0: unknown */
} incarnation_t;

/* Returns an empty array of incarnation_t that frees its items. */
GArray *incarnations_create(void);
/* Adds a copy. */
void incarnations_add(GArray *incarnations, const char *endpoint,
                      gint64 started_ms);
GBytes *leaving_report_write(const GArray *incarnations);
/* Returns NULL if malformed. */
GArray *leaving_report_read(GBytes *bytes);

#endif
