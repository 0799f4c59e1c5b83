#include "carobloom/policy/prompt_mix.h"

/* A prompt of so many tokens holds an engine up for two chunks of its reading
 * or more, some 65 ms, a quarter of the shortest pause objective (250 ms). */
static const guint LONG_TOKENS = 4000;
/* A service that got no long prompt for so long is not parted. */
static const gint64 LONG_REMEMBERED_US = 60 * G_USEC_PER_SEC;
/* Until then an instance can not know whether it gets any: at 13 requests a
 * second, one in seven of them long, it would have met one. Without the
 * parting, chats begun in the first second share their engines with long
 * prompts to their end and miss their deadline (48 of 2,120 on a heavy day of
 * 9 engines). */
static const gint64 LONG_UNKNOWN_US = 10 * G_USEC_PER_SEC;

gboolean
prompt_is_long(guint prompt_tokens)
{
    return prompt_tokens >= LONG_TOKENS;
}

static void
note_kind(prompt_kind_t *kind, prompt_note_t note, gboolean first)
{
    kind->target_ms = note.target_ms;
    kind->priority =
        first ? note.priority : MIN(kind->priority, note.priority);
}

void
prompt_mix_note(prompt_mix_t *mix, prompt_note_t note, gint64 now_us)
{
    if (mix->first_us == 0) {
        mix->first_us = now_us;
    }
    if (prompt_is_long(note.prompt_tokens)) {
        note_kind(&mix->of_long, note, mix->long_us == 0);
        mix->long_us = now_us;
        return;
    }
    note_kind(&mix->of_rest, note, mix->rest_us == 0);
    mix->rest_us = now_us;
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
    demand->of_long.target_ms = mix->of_long.target_ms;
    demand->of_long.priority = mix->of_long.priority;
    demand->of_rest.target_ms = mix->of_rest.target_ms;
    demand->of_rest.priority = mix->of_rest.priority;
}
