#include "carobloom/policy/prompt_mix.h"

#include <math.h>

/* A prompt of this size occupies an engine for at least two chunks of reading,
 * about 65 ms, which is a quarter of the shortest pause objective (250 ms). */
static const guint LONG_PROMPT_MIN_TOKENS = 4000;
/* Without a long prompt for this long, a service is not partitioned. */
static const gint64 LONG_PROMPT_EXPIRY_US = 60 * G_USEC_PER_SEC;
/* For this long after its first request, an instance can't know whether it
 * will get long prompts: at 13 requests a second, one in seven of them long,
 * one would have arrived by then. Without a partition, chats that begin in the
 * first second share their engines with long prompts until they end, and under
 * heavy load some of them miss their deadline (48 of 2,120 on 9 engines). */
static const gint64 LONG_PROMPT_DETECTION_US = 10 * G_USEC_PER_SEC;

gboolean
prompt_is_long(guint prompt_tokens)
{
    return prompt_tokens >= LONG_PROMPT_MIN_TOKENS;
}

/* Time constant of the decay of arrivals. */
static const double ARRIVALS_DECAY_S = 1.5;

/* Weight of the latest prompt in the mean, so that about the last twenty
 * count. One of 300 instances gets one long prompt per second: for it, the
 * mean covers about twenty seconds. */
static const double MEAN_WEIGHT = 0.05;

static double
decay_since_last(const prompt_kind_t *kind, gint64 now_us)
{
    double age_s = (double)(now_us - kind->last_us) / G_USEC_PER_SEC;
    return exp(-age_s / ARRIVALS_DECAY_S);
}

static void
record_kind(prompt_kind_t *kind, prompt_sample_t sample, gint64 now_us)
{
    gboolean first = kind->last_us == 0;
    double decay = first ? 0 : decay_since_last(kind, now_us);
    kind->arrivals = kind->arrivals * decay + 1;
    kind->tokens = kind->tokens * decay + sample.prompt_tokens;
    kind->mean_tokens +=
        first ? sample.prompt_tokens
              : MEAN_WEIGHT * (sample.prompt_tokens - kind->mean_tokens);
    kind->last_us = now_us;
    kind->target_ms = sample.target_ms;
    kind->priority =
        first ? sample.priority : MIN(kind->priority, sample.priority);
}

void
prompt_mix_record(prompt_mix_t *mix, prompt_sample_t sample, gint64 now_us)
{
    if (mix->first_us == 0) {
        mix->first_us = now_us;
    }
    if (prompt_is_long(sample.prompt_tokens)) {
        record_kind(&mix->long_prompts, sample, now_us);
        return;
    }
    record_kind(&mix->short_prompts, sample, now_us);
    if (sample.pause_ms > 0 &&
        (mix->short_prompt_pause_ms == 0 ||
         sample.pause_ms < mix->short_prompt_pause_ms)) {
        mix->short_prompt_pause_ms = sample.pause_ms;
    }
}

double
prompt_mix_long_tokens(const prompt_mix_t *mix)
{
    return mix->long_prompts.mean_tokens;
}

gboolean
prompt_mix_needs_partition(const prompt_mix_t *mix, gint64 now_us)
{
    if (mix->long_prompts.last_us != 0) {
        return now_us - mix->long_prompts.last_us < LONG_PROMPT_EXPIRY_US;
    }
    return now_us - mix->first_us < LONG_PROMPT_DETECTION_US;
}

static void
fill_kind_load(const prompt_kind_t *kind, guint instances, gint64 now_us,
               kind_load_t *load)
{
    double arrivals = kind->arrivals * decay_since_last(kind, now_us);
    load->target_ms = kind->target_ms;
    load->priority = kind->priority;
    load->arrivals_per_s = instances * arrivals / ARRIVALS_DECAY_S;
    load->prompt_tokens =
        kind->arrivals > 0 ? kind->tokens / kind->arrivals : 0;
}

void
prompt_mix_fill_demand(const prompt_mix_t *mix, guint instances, gint64 now_us,
                       split_demand_t *demand)
{
    fill_kind_load(&mix->long_prompts, instances, now_us,
                   &demand->long_prompts);
    fill_kind_load(&mix->short_prompts, instances, now_us,
                   &demand->short_prompts);
    demand->short_prompts.pause_ms = mix->short_prompt_pause_ms;
}
