/* The requests under way at each endpoint, summed over the entry instances
 * that report them.
 * Pure. A report replaces the one before of the same instance; one that is
 * not renewed is taken out. */
#ifndef CAROBLOOM_POLICY_LOAD_SUM_H
#define CAROBLOOM_POLICY_LOAD_SUM_H

#include <glib.h>

/* Requests under way at one endpoint, of one entry instance or of all. */
typedef struct {
    guint64 endpoint; /* hash of its id */
    guint32 running;
    guint32 prompt_tokens;  /* of these requests' whole prompts */
    guint32 waiting_tokens; /* to be read before their first events */
    /* of these, the requests with long prompts */
    guint32 long_running;
    guint32 long_waiting;
} endpoint_load_t;

gboolean endpoint_load_equal(const endpoint_load_t *a,
                             const endpoint_load_t *b);

/* Endpoints told with one answer: as many as any few hundred endpoints that
 * are all busy. */
enum { BUSIEST_LOADS_MAX = 256 };

typedef struct load_sum load_sum_t;

load_sum_t *load_sum_create(void);
void load_sum_destroy(load_sum_t *sum);
/* `loads` holds endpoint_load_t and is counted by reference. */
void load_sum_report(load_sum_t *sum, const char *instance, GArray *loads,
                     gint64 now_us);
/* The same from an instance that tells changes: message `sequence` changes
 * message `base`, or, where that is 0, says all. FALSE when the base is not
 * the last one known of it: nothing is taken then. */
gboolean load_sum_apply_changes(load_sum_t *sum, const char *instance,
                                const GArray *changes, guint64 sequence,
                                guint64 base, gint64 now_us);
/* Takes out what was not renewed since `oldest_us`. */
void load_sum_expire(load_sum_t *sum, gint64 oldest_us);
/* The sums that are not zero, in a new array; the latter in order of
 * endpoints. */
GArray *load_sum_all(const load_sum_t *sum);
GArray *load_sum_sorted(const load_sum_t *sum);
/* What entry instances are told: the sums of the busiest endpoints. All others
 * count as idle, so that an answer is bounded however many endpoints there
 * are. To be unref'd; it is worked out at most so often that it takes a fixed
 * part of the time. */
GArray *load_sum_busiest(load_sum_t *sum, gint64 now_us);
/* Whether a report came or was taken out since this was last asked. */
gboolean load_sum_clear_changed(load_sum_t *sum);
/* Instances whose report counts. */
guint load_sum_reporters(const load_sum_t *sum);

#endif
