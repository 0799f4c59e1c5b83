/* Which endpoint a request goes to.
 *
 * Each entry instance decides alone, from its own requests under way and the
 * parts of prompts it sent where. The instances agree without talking since
 * all rank the endpoints of one prompt the same (rendezvous hashing), and
 * leave that rank only when the first is loaded or unwell.
 *
 * A long prompt read by an engine holds up the tokens of all that run beside
 * it. The engines of a service are therefore parted, in the same order at all
 * instances: some for long prompts, the others for the rest. And each engine
 * takes only so many: what the instances tell each other of their requests
 * under way bounds them, so that those taken end in time and the others are
 * told at once to come back. Pure. */
#ifndef CAROBLOOM_POLICY_PLACEMENT_H
#define CAROBLOOM_POLICY_PLACEMENT_H

#include "carobloom/policy/directory.h"

enum { PLACEMENT_TRIED_MAX = 8 };

/* Whether a prompt of so many tokens counts as long. */
gboolean placement_is_long(guint prompt_tokens);

/* A part of a prompt; requests whose prompts begin alike share parts. */
typedef struct {
    guint64 id;
    guint tokens;
} prompt_part_t;

typedef struct {
    const prompt_part_t *parts; /* of the prompt, in order */
    guint part_count;
    guint prompt_tokens;
    gboolean parted;         /* the service gets long prompts: see above */
    const char *data_centre; /* of this instance */
    const endpoint_t *tried[PLACEMENT_TRIED_MAX]; /* not these again */
    guint tried_count;
    guint32 draw; /* random, to break ties */
} placement_request_t;

/* The endpoint with the earliest expected first byte; NULL when none may be
 * sent work. */
endpoint_t *placement_pick(const GPtrArray *endpoints,
                           const placement_request_t *request, gint64 now_us);
/* Prompt tokens that `endpoint` would have to read. */
guint placement_unread(const endpoint_t *endpoint,
                       const placement_request_t *request);

#endif
