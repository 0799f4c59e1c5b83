#include "crash_ledger_state.h"

suspect_t *
suspect_find(const crash_ledger_t *l, guint64 fingerprint)
{
    return g_hash_table_lookup(l->suspects, &fingerprint);
}

suspect_t *
suspect_find_or_create(crash_ledger_t *l, guint64 fingerprint)
{
    suspect_t *s = suspect_find(l, fingerprint);
    if (s == NULL) {
        s = g_new0(suspect_t, 1);
        s->fingerprint = fingerprint;
        g_hash_table_insert(l->suspects, &s->fingerprint, s);
    }
    return s;
}

void
suspect_remove_unused(crash_ledger_t *l, suspect_t *s)
{
    if (s->count > 0 || s->link != NULL) {
        return;
    }
    g_hash_table_remove(l->due, s);
    g_hash_table_remove(l->suspects, &s->fingerprint);
}

gint
suspect_end_index(const suspect_t *s, const end_record_t *end)
{
    for (guint i = 0; i < s->count; i++) {
        if (s->ends[i].end == end) {
            return (gint)i;
        }
    }
    return -1;
}

void
suspect_drop_end(suspect_t *s, guint index)
{
    s->count--;
    for (guint i = index; i < s->count; i++) {
        s->ends[i] = s->ends[i + 1];
    }
}

void
suspect_add_end(suspect_t *s, suspect_end_t end)
{
    if (s->count == SUSPECT_ENDS_MAX) {
        suspect_drop_end(s, 0);
    }
    if (s->count == s->capacity) {
        s->capacity = MAX(2 * s->capacity, SUSPECT_ENDS_MIN);
        s->ends = g_renew(suspect_end_t, s->ends, s->capacity);
    }
    s->ends[s->count++] = end;
}

gboolean
suspect_is_part(const suspect_t *s)
{
    return s->service != NULL;
}

gboolean
end_run_has(const end_run_t *run, guint64 fingerprint)
{
    if (run->request == fingerprint) {
        return TRUE;
    }
    for (guint i = 0; i < run->parts->len; i++) {
        if (g_array_index(run->parts, guint64, i) == fingerprint) {
            return TRUE;
        }
    }
    return FALSE;
}

gboolean
end_has_run_of_both(const end_record_t *end, guint64 a, guint64 b)
{
    for (guint i = 0; i < end->runs->len; i++) {
        const end_run_t *run = &g_array_index(end->runs, end_run_t, i);
        if (end_run_has(run, a) && end_run_has(run, b)) {
            return TRUE;
        }
    }
    return FALSE;
}

static guint
end_weight(const suspect_end_t *e)
{
    return e->stage == RUN_LONG ? WEIGHT_LONG : WEIGHT_BEGINNING;
}

static gboolean
is_own_end(const suspect_t *s, const end_record_t *end)
{
    return end->cause == 0 || end->cause == s->fingerprint;
}

static gboolean
is_explained_end(const suspect_t *s, const end_record_t *end)
{
    return is_own_end(s, end) ||
           (suspect_is_part(s) &&
            end_has_run_of_both(end, s->fingerprint, end->cause));
}

/* Returns whether a request with the part ran at both ends: it was sent to the
 * second after the first, so that they did not end together. */
static gboolean
request_moved_between(const suspect_t *part, const end_record_t *a,
                      const end_record_t *b)
{
    for (guint i = 0; i < a->runs->len; i++) {
        const end_run_t *run = &g_array_index(a->runs, end_run_t, i);
        if (end_run_has(run, part->fingerprint) &&
            end_has_run_of_both(b, run->request, part->fingerprint)) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Which ends of a suspect to sum up. */
typedef struct {
    gboolean (*counts)(const suspect_t *s, const end_record_t *end);
    guint64 except;    /* another cause, whose ends don't count; 0: none */
    gboolean together; /* ends that happened together count as one */
} end_sum_t;

static guint
sum_weight(const suspect_t *s, const end_sum_t *sum)
{
    guint weight = 0;
    const suspect_end_t *first = NULL; /* of those that happened together */
    const suspect_end_t *last = NULL;
    for (guint i = 0; i < s->count; i++) {
        const suspect_end_t *e = &s->ends[i];
        if (!sum->counts(s, e->end) ||
            (sum->except != 0 && e->end->cause == sum->except)) {
            continue;
        }
        gboolean together = sum->together && first != NULL &&
                            ABS(e->end->recorded_us -
                                first->end->recorded_us) < PART_TOGETHER_US &&
                            !request_moved_between(s, last->end, e->end);
        last = e;
        if (!together) {
            weight += end_weight(e);
            first = e;
        }
        else if (end_weight(e) > end_weight(first)) {
            weight += end_weight(e) - end_weight(first);
            first = e;
        }
    }
    return weight;
}

guint
suspect_own_weight(const suspect_t *s)
{
    end_sum_t sum = {.counts = is_own_end, .together = suspect_is_part(s)};
    return sum_weight(s, &sum);
}

guint
suspect_weight(const suspect_t *s)
{
    end_sum_t sum = {.counts = is_explained_end,
                     .together = suspect_is_part(s)};
    return sum_weight(s, &sum);
}

/* Weight without the ends of that other cause which explains most of them. */
static guint
weight_beyond_one(const suspect_t *s)
{
    guint weight = suspect_weight(s);
    for (guint i = 0; i < s->count; i++) {
        guint64 cause = s->ends[i].end->cause;
        end_sum_t sum = {.counts = is_explained_end,
                         .except = cause,
                         .together = suspect_is_part(s)};
        if (cause != 0 && cause != s->fingerprint) {
            weight = MIN(weight, sum_weight(s, &sum));
        }
    }
    return weight;
}

static guint
suspect_threshold(const suspect_t *s, gint64 now_us)
{
    return now_us < s->probation_until_us ? WEIGHT_BEGINNING
                                          : CAUSE_ENDS_MIN * WEIGHT_BEGINNING;
}

gboolean
suspect_is_over_threshold(const suspect_t *s, gint64 now_us)
{
    guint threshold = suspect_threshold(s, now_us);
    return suspect_weight(s) >= threshold &&
           weight_beyond_one(s) >= MIN(threshold, PART_FURTHER_WEIGHT);
}

/* Returns whether another uncertain suspect ran at so many of the same ends
 * that only probes can tell which is the cause. */
static gboolean
suspect_is_contested(const crash_ledger_t *l, const suspect_t *s)
{
    for (const GList *i = l->orders.head; i != NULL; i = i->next) {
        const suspect_t *other = i->data;
        guint shared = 0;
        if (other == s || !other->uncertain) {
            continue;
        }
        for (guint k = 0; k < s->count; k++) {
            shared += suspect_end_index(other, s->ends[k].end) >= 0;
        }
        if (shared >= RIVAL_SHARED_ENDS_MIN) {
            return TRUE;
        }
    }
    return FALSE;
}

gboolean
suspect_is_confirmed_by_ends(const crash_ledger_t *l, const suspect_t *s)
{
    end_sum_t all = {.counts = is_explained_end};
    return suspect_is_part(s) &&
           sum_weight(s, &all) >= CONFIRMED_PART_ENDS * WEIGHT_BEGINNING &&
           !suspect_is_contested(l, s);
}

void
suspect_schedule_evaluation(crash_ledger_t *l, suspect_t *s, gint64 now_us)
{
    if (s->quarantined_until_us == 0 && s->due_us == 0 &&
        suspect_is_over_threshold(s, now_us)) {
        s->due_us = now_us + EVALUATION_DELAY_US;
        g_hash_table_add(l->due, s);
    }
}
