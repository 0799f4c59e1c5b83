#include "carobloom/policy/engine_split.h"

#include <math.h>

/* Until loads are told. */
static const double PART_AT_START = 0.6;
/* A kind has enough engines while the prompts that wait are read within such a
 * part of its objective, so that a first event is in time behind a queue twice
 * the mean, and while so many of the slots are taken. */
static const double QUEUE_PART = 0.2;
static const double SLOTS_PART = 0.7;
/* Each kind keeps some engines, for a burst of it. */
static const double PART_LEAST = 0.2;
static const double PART_MOST = 0.85;
/* Pauses alone ask for no more than the rest has at the start. */
static const double PAUSES_MOST = 0.4;
/* Need of a kind with nothing under way, in engines. */
static const double NEED_LEAST = 0.3;
/* The part in force follows what is wanted with this time constant: bursts
 * last seconds, and each move costs shared parts that are fetched or read
 * again. */
static const double SMOOTH_US = 1000 * 1000;
/* The border moves once it is off by more than this, in engines: one, less
 * what instances differ by. */
static const double MOVE_AT = 0.75;
/* For the objective of a kind that has come with none. */
static const gint64 TARGET_DEFAULT_MS = 500;

double
engine_split_long_fraction(const engine_split_t *s)
{
    return s->at_us == 0 ? PART_AT_START : s->applied;
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
    double most = pause_ms * d->tokens_per_ms / load->prompt_tokens;
    double root = (sqrt(9 + 4 * most) - 3) / 2;
    double needed =
        load->arrivals_per_s * pause_ms / 1000 / MAX(root * root, 0.1);
    return MIN(needed, PAUSES_MOST * d->engines);
}

/* Engines that would serve a kind well. */
static double
engines_needed(const kind_load_t *load, const split_demand_t *d)
{
    gint64 target_ms =
        load->target_ms > 0 ? load->target_ms : TARGET_DEFAULT_MS;
    double read_in_time = d->tokens_per_ms * QUEUE_PART * (double)target_ms;
    double to_read = (double)load->waiting_tokens / read_in_time;
    double to_run = load->running / MAX(SLOTS_PART * d->slots, 1);
    double needed = MAX(MAX(to_read, to_run), engines_for_pauses(load, d));
    return MAX(needed, NEED_LEAST);
}

/* The part for long prompts. The more urgent kind gets what it needs first;
 * what is left over is shared as the kinds need it. */
static double
part_wanted(const split_demand_t *d)
{
    double long_prompts = engines_needed(&d->long_prompts, d);
    double short_prompts = engines_needed(&d->short_prompts, d);
    double part = long_prompts / (long_prompts + short_prompts);
    if (long_prompts + short_prompts > d->engines && d->engines > 0) {
        part = d->long_prompts.priority < d->short_prompts.priority
                   ? long_prompts / d->engines
                   : 1 - short_prompts / d->engines;
    }
    return CLAMP(part, PART_LEAST, PART_MOST);
}

void
engine_split_update(engine_split_t *s, const split_demand_t *d, gint64 now_us)
{
    double wanted = part_wanted(d);
    if (s->at_us == 0) {
        s->part = s->applied = PART_AT_START;
        s->at_us = now_us;
        return;
    }
    double weight = 1 - exp(-(double)(now_us - s->at_us) / SMOOTH_US);
    s->part += weight * (wanted - s->part);
    s->at_us = now_us;
    if (fabs(s->part - s->applied) * d->engines > MOVE_AT) {
        s->applied = s->part;
    }
}
