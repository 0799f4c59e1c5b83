#include "carobloom/policy/engine_split.h"

#include <math.h>

/* Until loads are told. */
static const double INITIAL_LONG_FRACTION = 0.6;
/* A kind has enough engines while the prompts that wait are read within such a
 * part of its objective, so that a first event is in time behind a queue twice
 * the mean, and while so many of the slots are taken. */
static const double QUEUE_TARGET_FRACTION = 0.2;
static const double SLOTS_USED_FRACTION = 0.7;
/* Each kind keeps some engines, for a burst of it. */
static const double LONG_FRACTION_MIN = 0.2;
static const double LONG_FRACTION_MAX = 0.85;
/* Pauses alone ask for no more than the rest has at the start. */
static const double PAUSES_FRACTION_MAX = 0.4;
/* Need of a kind with nothing under way, in engines. */
static const double NEEDED_ENGINES_MIN = 0.3;
/* The part in force follows what is wanted with this time constant: bursts
 * last seconds, and each move costs shared parts that are fetched or read
 * again. */
static const double SMOOTHING_US = 1000 * 1000;
/* The border moves once it is off by more than this, in engines: one, less
 * what instances differ by. */
static const double MOVE_THRESHOLD_ENGINES = 0.75;
/* For the objective of a kind that has come with none. */
static const gint64 DEFAULT_TARGET_MS = 500;

double
engine_split_long_fraction(const engine_split_t *s)
{
    return s->updated_us == 0 ? INITIAL_LONG_FRACTION : s->applied;
}

/* Engines on which the prompts of a kind that arrive within the objective of
 * its pauses are read within it, so that no stream of it pauses too long. With
 * `mean` arrivals three standard deviations more are borne: the most that are
 * read in the time are mean + 3 * sqrt(mean). */
static double
engines_for_pauses(const kind_load_t *load, const split_demand_t *d)
{
    if (load->pause_ms == 0 || load->prompt_tokens <= 0) {
        return 0;
    }
    double pause_ms = (double)load->pause_ms;
    double max_prompts = pause_ms * d->tokens_per_ms / load->prompt_tokens;
    double mean_root = (sqrt(9 + 4 * max_prompts) - 3) / 2;
    double needed = load->arrivals_per_s * pause_ms / 1000 /
                    MAX(mean_root * mean_root, 0.1);
    return MIN(needed, PAUSES_FRACTION_MAX * d->engines);
}

/* Engines that would serve a kind well. */
static double
engines_needed(const kind_load_t *load, const split_demand_t *d)
{
    gint64 target_ms =
        load->target_ms > 0 ? load->target_ms : DEFAULT_TARGET_MS;
    double tokens_in_time =
        d->tokens_per_ms * QUEUE_TARGET_FRACTION * (double)target_ms;
    double engines_to_read = (double)load->waiting_tokens / tokens_in_time;
    double engines_to_run =
        load->running / MAX(SLOTS_USED_FRACTION * d->slots, 1);
    double needed =
        MAX(MAX(engines_to_read, engines_to_run), engines_for_pauses(load, d));
    return MAX(needed, NEEDED_ENGINES_MIN);
}

/* The part for long prompts. The more urgent kind gets what it needs first;
 * what is left over is shared as the kinds need it. */
static double
wanted_long_fraction(const split_demand_t *d)
{
    double long_engines = engines_needed(&d->long_prompts, d);
    double short_engines = engines_needed(&d->short_prompts, d);
    double fraction = long_engines / (long_engines + short_engines);
    if (long_engines + short_engines > d->engines && d->engines > 0) {
        fraction = d->long_prompts.priority < d->short_prompts.priority
                       ? long_engines / d->engines
                       : 1 - short_engines / d->engines;
    }
    return CLAMP(fraction, LONG_FRACTION_MIN, LONG_FRACTION_MAX);
}

void
engine_split_update(engine_split_t *s, const split_demand_t *d, gint64 now_us)
{
    double wanted = wanted_long_fraction(d);
    if (s->updated_us == 0) {
        s->smoothed = s->applied = INITIAL_LONG_FRACTION;
        s->updated_us = now_us;
        return;
    }
    double weight = 1 - exp(-(double)(now_us - s->updated_us) / SMOOTHING_US);
    s->smoothed += weight * (wanted - s->smoothed);
    s->updated_us = now_us;
    if (fabs(s->smoothed - s->applied) * d->engines > MOVE_THRESHOLD_ENGINES) {
        s->applied = s->smoothed;
    }
}
