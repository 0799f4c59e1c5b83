#include "crash_ledger_state.h"

/* Returns whether at all ends that both share a request was or had both. */
static gboolean
runs_with(const suspect_t *s, const suspect_t *other)
{
    for (guint i = 0; i < s->count; i++) {
        const end_record_t *end = s->ends[i].end;
        if (end->cause == 0 && suspect_end_index(other, end) >= 0 &&
            !end_has_run_of_both(end, s->fingerprint, other->fingerprint)) {
            return FALSE;
        }
    }
    return TRUE;
}

/* Returns whether `other` has at least the weight of `s`, or `slack` less, and
 * shares so many ends with it that the cause can't be determined. */
static gboolean
is_rival(const suspect_t *s, const suspect_t *other, guint slack,
         gint64 now_us)
{
    guint shared = 0;
    if (other == NULL || other == s || other->quarantined_until_us != 0 ||
        suspect_weight(other) + slack < suspect_weight(s) ||
        !suspect_is_over_threshold(other, now_us) || runs_with(s, other)) {
        return FALSE;
    }
    for (guint i = 0; i < s->count; i++) {
        const end_record_t *end = s->ends[i].end;
        shared += end->cause == 0 && suspect_end_index(other, end) >= 0;
    }
    return shared >= RIVAL_SHARED_ENDS_MIN;
}

/* Returns at most `max_count` rivals of a suspect, in an array that doesn't
 * own them. */
static GPtrArray *
rivals_of(const crash_ledger_t *l, const suspect_t *s, guint max_count,
          guint slack, gint64 now_us)
{
    GPtrArray *rivals = g_ptr_array_new();
    for (guint i = 0; i < s->count; i++) {
        const end_record_t *end = s->ends[i].end;
        for (guint j = 0; end->cause == 0 && j < end->fingerprints->len; j++) {
            suspect_t *other =
                suspect_find(l, g_array_index(end->fingerprints, guint64, j));
            if (rivals->len < max_count && is_rival(s, other, slack, now_us) &&
                !g_ptr_array_find(rivals, other, NULL)) {
                g_ptr_array_add(rivals, other);
            }
        }
    }
    return rivals;
}

/* Adds the suspects that explain one end less than `s`: one end may be a
 * coincidence. Adds none if there are many. */
static void
add_near_rivals(const crash_ledger_t *l, const suspect_t *s, GPtrArray *rivals,
                gint64 now_us)
{
    GPtrArray *near =
        rivals_of(l, s, PART_RIVALS_MAX + 1, WEIGHT_BEGINNING, now_us);
    for (guint i = 0; near->len <= PART_RIVALS_MAX && i < near->len; i++) {
        if (suspect_is_part(near->pdata[i]) &&
            !g_ptr_array_find(rivals, near->pdata[i], NULL)) {
            g_ptr_array_add(rivals, near->pdata[i]);
        }
    }
    g_ptr_array_unref(near);
}

/* Returns whether there are ends that neither this suspect nor a quarantined
 * request explains. */
static gboolean
has_unexplained_ends(const crash_ledger_t *l, const suspect_t *s)
{
    for (const GList *i = l->by_age.head; i != NULL; i = i->next) {
        const end_record_t *end = i->data;
        if (end->cause == 0 && suspect_end_index(s, end) < 0) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Returns whether `other` is the cause rather than the part `s` that it always
 * runs with: it explains about as many ends. */
static gboolean
is_preferred(const suspect_t *s, const suspect_t *other, gint64 now_us)
{
    return other != NULL && other->quarantined_until_us == 0 &&
           suspect_weight(s) < suspect_weight(other) + PART_FURTHER_WEIGHT &&
           suspect_is_over_threshold(other, now_us) && runs_with(s, other);
}

/* Returns the suspect narrower than the part `s` that is preferred in one of
 * its runs: the request, or a part further back in the prompt, the last one
 * first. NULL: none. */
static suspect_t *
preferred_in_run(const crash_ledger_t *l, const suspect_t *s,
                 const end_run_t *run, gint64 now_us)
{
    suspect_t *request = suspect_find(l, run->request);
    if (!end_run_has(run, s->fingerprint)) {
        return NULL;
    }
    if (is_preferred(s, request, now_us)) {
        return request;
    }
    for (guint i = run->parts->len; i > 0; i--) {
        suspect_t *part =
            suspect_find(l, g_array_index(run->parts, guint64, i - 1));
        if (part == s) {
            return NULL;
        }
        if (is_preferred(s, part, now_us)) {
            return part;
        }
    }
    return NULL;
}

/* Returns the narrower suspect that is the cause rather than the part `s`, or
 * `s`. */
static suspect_t *
narrowest(const crash_ledger_t *l, suspect_t *s, gint64 now_us)
{
    for (guint i = 0; suspect_is_part(s) && i < s->count; i++) {
        const end_record_t *end = s->ends[i].end;
        for (guint k = 0; end->cause == 0 && k < end->runs->len; k++) {
            suspect_t *narrower = preferred_in_run(
                l, s, &g_array_index(end->runs, end_run_t, k), now_us);
            if (narrower != NULL) {
                return narrower;
            }
        }
    }
    return s;
}

/* Replaces each part in a list of suspects by the narrower suspect that is the
 * cause rather than it. */
static void
prefer_narrowest(const crash_ledger_t *l, GPtrArray *suspects, gint64 now_us)
{
    for (guint i = suspects->len; i > 0; i--) {
        suspect_t *s = suspects->pdata[i - 1];
        suspect_t *narrower = narrowest(l, s, now_us);
        if (narrower != s) {
            g_ptr_array_remove_index(suspects, i - 1);
        }
        if (narrower != s && !g_ptr_array_find(suspects, narrower, NULL)) {
            g_ptr_array_add(suspects, narrower);
        }
    }
}

/* Removes parts from a list of suspects. */
static void
remove_parts(GPtrArray *suspects)
{
    for (guint i = suspects->len; i > 0; i--) {
        if (suspect_is_part(suspects->pdata[i - 1])) {
            g_ptr_array_remove_index(suspects, i - 1);
        }
    }
}

/* Requests that crash endpoints are rare. If several are quarantined, or there
 * are unexplained ends, some of them probably ran at their three ends by
 * coincidence. Each stays uncertain until it has been probed. */
static void
mark_quarantined_uncertain(crash_ledger_t *l, gint64 now_us)
{
    GList *last = l->orders.tail;
    GList *next;
    for (GList *i = l->orders.head; i != NULL; i = next) {
        suspect_t *s = i->data;
        next = i != last ? i->next : NULL;
        if (s->quarantined_until_us != 0 && !s->confirmed && !s->uncertain) {
            s->uncertain = TRUE;
            suspect_update_order(l, s, now_us);
        }
    }
}

static void
quarantine_with_rivals(crash_ledger_t *l, suspect_t *s, GPtrArray *rivals,
                       gint64 now_us)
{
    s->confirmed |= rivals->len == 0 && suspect_is_confirmed_by_ends(l, s);
    prefer_narrowest(l, rivals, now_us);
    g_ptr_array_add(rivals, s);
    for (guint i = 0; i < rivals->len; i++) {
        suspect_quarantine_as_cause(l, rivals->pdata[i], now_us);
    }
    if (l->quarantined > 1 || has_unexplained_ends(l, s)) {
        mark_quarantined_uncertain(l, now_us);
    }
}

/* Returns TRUE if the request was quarantined. */
static gboolean
evaluate_suspect(crash_ledger_t *l, suspect_t *s, gint64 now_us)
{
    if (!suspect_is_over_threshold(s, now_us)) {
        s->due_us = 0;
        g_hash_table_remove(l->due, s);
        return FALSE;
    }
    gboolean quarantine_rivals =
        suspect_weight(s) >= RIVALS_QUARANTINE_ENDS_MIN * WEIGHT_BEGINNING;
    if (now_us < s->due_us && !quarantine_rivals) {
        return FALSE;
    }
    s = narrowest(l, s, now_us);
    /* One rival is enough to postpone a decision, and there may be thousands.
     */
    GPtrArray *rivals =
        rivals_of(l, s, quarantine_rivals ? END_REQUESTS_MAX : 1, 0, now_us);
    gboolean many = rivals->len > PART_RIVALS_MAX;
    gboolean quarantined = rivals->len == 0 || (quarantine_rivals &&
                                                !(suspect_is_part(s) && many));
    if (many) {
        remove_parts(rivals);
    }
    else if (quarantined && quarantine_rivals) {
        add_near_rivals(l, s, rivals, now_us);
    }
    if (quarantined) {
        quarantine_with_rivals(l, s, rivals, now_us);
    }
    g_ptr_array_unref(rivals);
    return quarantined;
}

/* The highest weight first; of the same weight, requests before parts. The
 * same at all control instances with the same ends. */
static gint
by_weight(gconstpointer a, gconstpointer b)
{
    const suspect_t *s = *(suspect_t *const *)a;
    const suspect_t *other = *(suspect_t *const *)b;
    guint x = suspect_weight(s);
    guint y = suspect_weight(other);
    if (x != y) {
        return x > y ? -1 : 1;
    }
    if (suspect_is_part(s) != suspect_is_part(other)) {
        return suspect_is_part(s) ? 1 : -1;
    }
    return s->fingerprint < other->fingerprint ? -1 : 1;
}

void
crash_ledger_evaluate_due(crash_ledger_t *l, gint64 now_us)
{
    gboolean repeat = TRUE;
    while (repeat && g_hash_table_size(l->due) > 0) {
        GPtrArray *due = g_ptr_array_new();
        GHashTableIter iter;
        gpointer suspect;
        g_hash_table_iter_init(&iter, l->due);
        while (g_hash_table_iter_next(&iter, &suspect, NULL)) {
            g_ptr_array_add(due, suspect);
        }
        g_ptr_array_sort(due, by_weight);
        repeat = FALSE;
        for (guint i = 0; i < due->len && !repeat; i++) {
            repeat = evaluate_suspect(l, due->pdata[i], now_us);
        }
        g_ptr_array_unref(due);
    }
}
