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

/* A part of a prompt; requests whose prompts begin alike share parts. */
typedef struct {
    guint64 id;
    guint tokens;
} prompt_part_t;

typedef struct {
    const prompt_part_t *parts; /* of the prompt, in order */
    guint part_count;
    guint prompt_tokens;
    gboolean partitioned; /* the service gets long prompts: see above */
    double long_fraction; /* of its engines, for long prompts */
    double long_tokens;   /* of a typical long prompt; 0: not known */
    gint64 target_ms;     /* objective of the first event; 0: none */
    gint64 short_prompt_pause_ms; /* of pauses, of what is not long; 0: none */
    double tokens_per_ms;         /* that an engine reads */
    gint64 memory_tokens; /* that an engine holds in all; 0: not known */
    /* Tokens an engine fetches from another's memory in a ms; 0: none. */
    double fetch_tokens_per_ms;
    /* Entry instances that share the endpoints, when what the others have
     * under way is not known; 0 when it is. */
    guint load_scale;
    const char *data_centre;                      /* of this instance */
    const endpoint_t *tried[PLACEMENT_TRIED_MAX]; /* not these again */
    guint tried_count;
    /* Granted sends to endpoints that named limits are left to more urgent
     * requests. */
    gboolean yields;
    gint64 limits_now_us; /* by the clock of endpoint_limit_t */
    guint32 draw;         /* random, to break ties */
} placement_request_t;

/* What kept endpoints from taking a request. */
typedef struct {
    guint known;    /* of the service */
    guint unusable; /* draining, or not heard of */
    guint tried;    /* by this request */
    guint full;     /* refused a request a moment ago */
    guint limited;  /* have named a limit, and no send is granted */
    guint no_slot;  /* have as much as they end in time */
    guint closed;   /* failed lately; taken when there is no other */
} placement_counts_t;

typedef struct {
    endpoint_t *endpoint; /* NULL when none may be sent work */
    /* Most likely keeps shared parts of the prompt that `endpoint` lacks; NULL
     * when there is none, or engines do not fetch. */
    const endpoint_t *source;
    guint read_tokens; /* prompt tokens that it has to read */
    /* Would have been chosen but for its limit, or NULL. */
    endpoint_t *denied;
    /* Some endpoint is known to keep the part before the shared one. */
    gboolean prefix_cached;
    placement_counts_t counts;
} placement_t;

/* Whether it is the limits of endpoints, before all else, that kept them from
 * taking it. */
gboolean placement_is_limited(const placement_counts_t *counts);
/* Why no endpoint takes it, for people. */
const char *placement_reason(const placement_counts_t *counts);

/* The endpoint with the earliest expected first byte. */
placement_t placement_pick(const GPtrArray *endpoints,
                           const placement_request_t *request, gint64 now_us);
/* The part of a prompt that it shares with most others, with its tokens those
 * of all parts up to it; 0 where it shares none. */
prompt_part_t placement_shared_part(const placement_request_t *request);
/* The same of the part before that one. */
prompt_part_t placement_prefix_part(const placement_request_t *request);
/* Prompt tokens that `endpoint` would have to read. */
guint placement_unread_tokens(const endpoint_t *endpoint,
                              const placement_request_t *request);

#endif
