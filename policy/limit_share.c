#include "carobloom/policy/limit_share.h"

#include <math.h>

static const double DECAY_S = 2;
/* Counts over a shorter period are too few for an estimate. */
static const double SPAN_MIN_S = 0.5;
/* Sends are reserved for the demand until this number of further grants has
 * arrived: those grants replace the sends that urgent requests use, so later
 * demand needs no reserve. */
static const double GRANTS_AHEAD = 3;
/* One send is reserved for each expected more urgent request. The expected
 * number is rounded up if its fraction exceeds this value, else down. */
static const double ROUND_UP_FRACTION = 0.15;
/* Minimum number of more urgent requests in the lifetime of a grant at which
 * they may get all granted sends. */
static const double FREQUENT_COUNT_MIN = 1;

static void
decay(limit_share_t *s, gint64 now_us)
{
    if (s->decayed_us == 0) {
        s->decayed_us = now_us;
    }
    double elapsed_s = (double)(now_us - s->decayed_us) / G_USEC_PER_SEC;
    double decay_factor = exp(-elapsed_s / DECAY_S);
    s->decayed_us = now_us;
    s->span_s = s->span_s * decay_factor + DECAY_S * (1 - decay_factor);
    s->grant_count *= decay_factor;
    s->granted_sends *= decay_factor;
    for (guint i = 0; i < LIMIT_RANKS; i++) {
        s->wanted_sends[i] *= decay_factor;
    }
}

void
limit_share_record_granted(limit_share_t *s, guint count, gint64 now_us)
{
    if (count == 0) {
        return;
    }
    decay(s, now_us);
    s->grant_count++;
    s->granted_sends += count;
}

void
limit_share_record_wanted(limit_share_t *s, guint rank, gint64 now_us)
{
    decay(s, now_us);
    s->wanted_sends[MIN(rank, LIMIT_RANKS - 1)]++;
}

static double
wanted_by_more_urgent(const limit_share_t *s, guint rank)
{
    double wanted = 0;
    for (guint i = 0; i < MIN(rank, LIMIT_RANKS - 1); i++) {
        wanted += s->wanted_sends[i];
    }
    return wanted;
}

gboolean
limit_share_yields(limit_share_t *s, guint rank, const limit_tokens_t *tokens,
                   gint64 now_us)
{
    if (tokens->count == 0) {
        return FALSE;
    }
    decay(s, now_us);
    double span_s = MAX(s->span_s, SPAN_MIN_S);
    double wanted = wanted_by_more_urgent(s, rank);
    double wanted_rate = wanted / span_s;
    double lifetime_s = (double)tokens->lifetime_us / G_USEC_PER_SEC;
    if (wanted >= s->granted_sends &&
        wanted_rate * lifetime_s >= FREQUENT_COUNT_MIN) {
        return TRUE; /* more urgent requests would use all sends */
    }
    double left_s = (double)tokens->left_us / G_USEC_PER_SEC;
    if (s->grant_count > 0) {
        left_s = MIN(left_s, GRANTS_AHEAD * span_s / s->grant_count);
    }
    double expected = wanted_rate * left_s;
    return tokens->count < 1 - ROUND_UP_FRACTION + expected;
}
