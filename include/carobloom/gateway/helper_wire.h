/* Messages by which entry instances learn of each other from control
 * instances, to open tunnels through one another. */
#ifndef CAROBLOOM_GATEWAY_HELPER_WIRE_H
#define CAROBLOOM_GATEWAY_HELPER_WIRE_H

#include "carobloom/policy/helper_set.h"

#define HELPERS_PATH "/helpers"

/* What an entry instance says of itself, and asks for others. */
typedef struct {
    helper_info_t self;
    gboolean can_help; /* it reaches endpoints and does not drain */
} helpers_request_t;

GBytes *helpers_request_write(const helpers_request_t *request);
gboolean helpers_request_read(GBytes *bytes, helpers_request_t *request);
void helpers_request_clear(helpers_request_t *request);

/* The answer: at most HELPERS_MAX instances. */
GBytes *helpers_answer_write(const GPtrArray *infos);
/* Returns an array of helper_info_t, or NULL if malformed. */
GArray *helpers_answer_read(GBytes *bytes);

#endif
