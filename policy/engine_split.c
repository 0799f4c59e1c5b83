#include "carobloom/policy/engine_split.h"

#include <math.h>

/* Applies until loads are reported. */
static const double INITIAL_LONG_FRACTION = 0.6;
/* A kind of prompts needs enough engines to read its waiting prompts within
 * this fraction of the objective of its first events, so that a first event is
 * in time even behind a queue of twice the mean length. */
static const double QUEUE_TARGET_FRACTION = 0.2;
/* A kind needs enough engines for its running requests to use no more than
 * this fraction of the slots. */
static const double SLOTS_USED_FRACTION = 0.7;
/* Each kind keeps some engines in case of a burst. */
static const double LONG_FRACTION_MIN = 0.2;
static const double LONG_FRACTION_MAX = 0.85;
/* To keep pauses short, a kind claims no more engines than short prompts have
 * initially. */
static const double PAUSES_FRACTION_MAX = 0.4;
/* Need of a kind without requests in flight, in engines. */
static const double NEEDED_ENGINES_MIN = 0.3;
/* Time constant with which the applied fraction follows the wanted one: bursts
 * last seconds, and after each move shared parts have to be fetched or read
 * again. */
static const double SMOOTHING_US = 1000 * 1000;
/* The partition boundary moves once it is off by more than this: one engine,
 * less the difference between instances. */
static const double MOVE_THRESHOLD_ENGINES = 0.75;
/* Assumed for a kind whose requests had no objective so far. */
static const gint64 DEFAULT_TARGET_MS = 500;

double
engine_split_long_fraction(const engine_split_t *s)
{
    return s->updated_us == 0 ? INITIAL_LONG_FRACTION : s->applied;
}

/* Engines needed to keep pauses in the streams of a kind within its pause
 * objective: the prompts that arrive within that time have to be read within
 * it. Tolerates three standard deviations above the mean number of arrivals:
 * the maximum that can be read in time is mean + 3 * sqrt(mean). */
static double
engines_for_pauses(const kind_load_t *load, const split_demand_t *d)
{
    if (load->pause_ms == 0 || load->prompt_tokens <= 0) {
        return 0;
    }
    double pause_ms = (double)load->pause_ms;
    double max_prompts = pause_ms * d->tokens_per_ms / load->prompt_tokens;
    /* solution of mean + 3 * sqrt(mean) = max_prompts for sqrt(mean) */
    double mean_root = (sqrt(9 + 4 * max_prompts) - 3) / 2;
    double needed = load->arrivals_per_s * pause_ms / 1000 /
                    MAX(mean_root * mean_root, 0.1);
    return MIN(needed, PAUSES_FRACTION_MAX * d->engines);
}

/* Engines needed to serve a kind well. */
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

/* The fraction for long prompts. The more urgent kind gets the engines that it
 * needs first; any surplus is shared in proportion to the needs. */
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
