#include "carobloom/policy/brittle.h"

enum {
    SECOND_US = 1000 * 1000,
    /* The announcement is in all answers. One without it that arrives later
     * than this after the last with it was sent after the end, not before the
     * beginning. */
    ABSENT_US = SECOND_US,
    PAUSE_MAX_US = 60 * SECOND_US,
};

/* Refusals that instances aim for, as a fraction of those that are allowed:
 * they pause independently, so that some seconds see more than the mean. */
static const double AIM_FRACTION = 0.5;
/* Falls to a third in about a second of reports. */
static const double PEAK_KEPT_FRACTION = 0.9;
/* An endpoint that allows none at all. */
static const double REFUSALS_MIN = 0.1;

gboolean
service_brittle_record(service_brittle_t *b, double refusals_per_s,
                       gint64 now_us)
{
    gboolean begins = !b->is_brittle;
    *b = (service_brittle_t){.is_brittle = TRUE,
                             .refusals_per_s = refusals_per_s,
                             .named_us = now_us};
    return begins;
}

gboolean
service_brittle_record_absent(service_brittle_t *b, gint64 now_us)
{
    if (!b->is_brittle || now_us - b->named_us < ABSENT_US) {
        return FALSE;
    }
    *b = (service_brittle_t){0};
    return TRUE;
}

double
brittle_peak(double peak, guint reported)
{
    return MAX(peak * PEAK_KEPT_FRACTION, reported);
}

gboolean
brittle_has_slot(const brittle_load_t *load)
{
    guint share = load->slots / MAX(load->instances, 1);
    if (load->running < share) {
        return TRUE;
    }
    /* Beyond its share an instance takes only what the others leave unused.
     * They may use their shares before that is reported, so it takes nothing
     * while they use half of them, and leaves a slot free. */
    double others_share = (double)share * (load->instances - 1);
    gboolean unused = share == 0 || load->others <= others_share / 2;
    return unused && load->running + load->others + 1 < load->slots;
}

gint64
brittle_pause_us(const service_brittle_t *b, guint instances)
{
    double per_s = MAX(b->refusals_per_s, REFUSALS_MIN) * AIM_FRACTION /
                   MAX(instances, 1);
    double us = SECOND_US / per_s;
    return (gint64)CLAMP(us, SECOND_US, PAUSE_MAX_US);
}
