#include "carobloom/policy/prompt_mix.h"

/* A prompt of so many tokens holds an engine up for two chunks of its reading
 * or more, some 65 ms, a quarter of the shortest pause objective (250 ms). */
static const guint LONG_TOKENS = 4000;
/* A service that got no long prompt for so long is not parted. */
static const gint64 LONG_REMEMBERED_US = 60 * G_USEC_PER_SEC;
/* Until then an instance can not know whether it gets any: at 13 requests a
 * second, one in seven of them long, it would have met one. Without the
 * parting, chats begun in the first second share their engines with long
 * prompts to their end and miss their deadline (48 of 2,120 on gaf-carobloom
 * scale-1). */
static const gint64 LONG_UNKNOWN_US = 10 * G_USEC_PER_SEC;

gboolean
prompt_is_long(guint prompt_tokens)
{
    return prompt_tokens >= LONG_TOKENS;
}

void
prompt_mix_note(prompt_mix_t *mix, prompt_note_t note, gint64 now_us)
{
    if (mix->first_us == 0) {
        mix->first_us = now_us;
    }
    if (prompt_is_long(note.prompt_tokens)) {
        mix->long_us = now_us;
        mix->long_target_ms = note.target_ms;
        mix->long_priority = note.priority;
        return;
    }
    mix->rest_target_ms = note.target_ms;
    mix->rest_priority = note.priority;
    if (note.pause_ms > 0 &&
        (mix->rest_pause_ms == 0 || note.pause_ms < mix->rest_pause_ms)) {
        mix->rest_pause_ms = note.pause_ms;
    }
}

gboolean
prompt_mix_parted(const prompt_mix_t *mix, gint64 now_us)
{
    if (mix->long_us != 0) {
        return now_us - mix->long_us < LONG_REMEMBERED_US;
    }
    return now_us - mix->first_us < LONG_UNKNOWN_US;
}

void
prompt_mix_fill(const prompt_mix_t *mix, split_demand_t *demand)
{
    demand->of_long.target_ms = mix->long_target_ms;
    demand->of_long.priority = mix->long_priority;
    demand->of_rest.target_ms = mix->rest_target_ms;
    demand->of_rest.priority = mix->rest_priority;
}
