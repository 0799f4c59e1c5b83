/* What prompts a service gets, as seen by this instance: long ones and the
 * rest, with their objectives. Pure. */
#ifndef CAROBLOOM_POLICY_PROMPT_MIX_H
#define CAROBLOOM_POLICY_PROMPT_MIX_H

#include "carobloom/policy/engine_split.h"

/* Whether a prompt of so many tokens counts as long. */
gboolean prompt_is_long(guint prompt_tokens);

/* Long prompts, or the rest. */
typedef struct {
    gint64 target_ms; /* objective of the last one's first event */
    guint priority;   /* of the most urgent one that came; 0 first */
    /* that came here, counting the less the longer ago */
    double arrivals;
    double tokens;      /* of their prompts */
    gint64 last_us;     /* when the last one came; 0: never */
    double mean_tokens; /* of a prompt, over the last twenty or so */
} prompt_kind_t;

typedef struct {
    gint64 first_us; /* when a request first came; 0: never */
    prompt_kind_t long_prompts;
    prompt_kind_t short_prompts;
    /* the shortest objective of pauses among the rest; 0: none */
    gint64 short_prompt_pause_ms;
} prompt_mix_t;

/* What of a request the mix is made of. */
typedef struct {
    guint prompt_tokens;
    gint64 target_ms; /* objective of the first event */
    gint64 pause_ms;  /* objective of pauses; 0: none */
    guint priority;   /* 0 is the most urgent */
} prompt_sample_t;

void prompt_mix_record(prompt_mix_t *mix, prompt_sample_t sample,
                       gint64 now_us);
/* Tokens of a typical long prompt; 0: none came yet. */
double prompt_mix_long_tokens(const prompt_mix_t *mix);
/* Whether the service's engines are parted between long prompts and the
 * rest. */
gboolean prompt_mix_needs_partition(const prompt_mix_t *mix, gint64 now_us);
/* Fills in what the demand for engines takes from the mix; `instances` get as
 * much as this one each. */
void prompt_mix_fill_demand(const prompt_mix_t *mix, guint instances,
                            gint64 now_us, split_demand_t *demand);

#endif
