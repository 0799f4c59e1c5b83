/* Requests in flight at each endpoint, summed over the entry instances that
 * report them.
 *
 * A report replaces the previous one of the same instance; a report that is
 * not renewed expires. Pure. */
#ifndef CAROBLOOM_POLICY_LOAD_SUM_H
#define CAROBLOOM_POLICY_LOAD_SUM_H

#include <glib.h>

/* Requests in flight at one endpoint, from one entry instance or from all. */
typedef struct {
    guint64 endpoint; /* hash of the endpoint's id and incarnation */
    guint32 running;
    guint32 prompt_tokens;  /* of the whole prompts of these requests */
    guint32 waiting_tokens; /* to be read before their first events */
    /* the same of requests with long prompts only */
    guint32 long_running;
    guint32 long_waiting;
} endpoint_load_t;

gboolean endpoint_load_equal(const endpoint_load_t *a,
                             const endpoint_load_t *b);

/* Maximum number of endpoints in an answer to an entry instance. Enough for a
 * few hundred endpoints that are all busy. */
enum { BUSIEST_LOADS_MAX = 256 };

typedef struct load_sum load_sum_t;

load_sum_t *load_sum_create(void);
void load_sum_destroy(load_sum_t *sum);
/* Replaces the report of `instance`. `loads` holds endpoint_load_t; the sum
 * takes a reference to it. */
void load_sum_report(load_sum_t *sum, const char *instance, GArray *loads,
                     gint64 now_us);
/* Updates the report of an instance that sends changes: message `sequence` has
 * the changes since message `base`, or all loads if `base` is 0. Returns FALSE
 * and changes nothing when `base` is not the last message of that instance. */
gboolean load_sum_apply_changes(load_sum_t *sum, const char *instance,
                                const GArray *changes, guint64 sequence,
                                guint64 base, gint64 now_us);
/* Removes reports that were not renewed since `oldest_us`. */
void load_sum_expire(load_sum_t *sum, gint64 oldest_us);
/* The sums that are not zero, in a new array; the second function sorts them
 * by endpoint. */
GArray *load_sum_all(const load_sum_t *sum);
GArray *load_sum_sorted(const load_sum_t *sum);
/* The sums of the busiest endpoints, which are sent to entry instances. All
 * others count as idle, so the size of an answer is bounded however many
 * endpoints there are. The caller unrefs the array. The minimum interval
 * between two sorts grows with the number of endpoints, so that sorting takes
 * a bounded fraction of processor time. */
GArray *load_sum_busiest(load_sum_t *sum, gint64 now_us);
/* Whether a report was recorded or removed since the last call. */
gboolean load_sum_clear_changed(load_sum_t *sum);
/* Number of instances with a report. */
guint load_sum_reporters(const load_sum_t *sum);

#endif
