/* The mix of prompts that a service gets at this instance: long and short
 * ones, with their objectives. Pure. */
#ifndef CAROBLOOM_POLICY_PROMPT_MIX_H
#define CAROBLOOM_POLICY_PROMPT_MIX_H

#include "carobloom/policy/engine_split.h"

/* Whether a prompt with this many tokens counts as long. */
gboolean prompt_is_long(guint prompt_tokens);

/* Statistics of the long or of the short prompts. */
typedef struct {
    gint64 target_ms; /* of the latest prompt's first event */
    guint priority; /* of the most urgent prompt ever; 0 is the most urgent */
    /* prompts that arrived at this instance, exponentially decayed */
    double arrivals;
    double tokens;      /* of these prompts, decayed alike */
    gint64 last_us;     /* when the latest one arrived; 0: never */
    double mean_tokens; /* per prompt, over about the last twenty */
} prompt_kind_t;

typedef struct {
    gint64 first_us; /* when the first request arrived; 0: never */
    prompt_kind_t long_prompts;
    prompt_kind_t short_prompts;
    /* shortest objective of pauses among short prompts; 0: none */
    gint64 short_prompt_pause_ms;
} prompt_mix_t;

/* The properties of a request that the mix records. */
typedef struct {
    guint prompt_tokens;
    gint64 target_ms; /* objective of the first event */
    gint64 pause_ms;  /* objective of pauses; 0: none */
    guint priority;   /* 0 is the most urgent */
} prompt_sample_t;

void prompt_mix_record(prompt_mix_t *mix, prompt_sample_t sample,
                       gint64 now_us);
/* Tokens of a typical long prompt; 0: none has arrived. */
double prompt_mix_long_tokens(const prompt_mix_t *mix);
/* Whether the service's engines have to be partitioned for long and short
 * prompts. */
gboolean prompt_mix_needs_partition(const prompt_mix_t *mix, gint64 now_us);
/* Fills in the arrivals, objectives and priorities of the demand for engines.
 * Each of the `instances` is assumed to get as much as this one. */
void prompt_mix_fill_demand(const prompt_mix_t *mix, guint instances,
                            gint64 now_us, split_demand_t *demand);

#endif
