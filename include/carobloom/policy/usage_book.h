/* Usage reports of the entry instances, collected on the leader of the control
 * instances, which finalizes the windows one after the other. Pure.
 *
 * Each entry instance repeatedly reports its counts since its start, for the
 * windows that are not finalized yet. A repeated report counts once. A new
 * leader gets the counts again from the entry instances. */
#ifndef CAROBLOOM_POLICY_USAGE_BOOK_H
#define CAROBLOOM_POLICY_USAGE_BOOK_H

#include "carobloom/policy/usage_tally.h"

/* When windows are finalized. */
typedef struct {
    gint64 window_us;
    gint64 due_us; /* deadline to report a window, after its end */
} usage_schedule_t;

typedef struct usage_book usage_book_t;

usage_book_t *usage_book_create(void);
void usage_book_destroy(usage_book_t *book);
/* This instance became the leader at `wall_us`: drops all earlier reports. */
void usage_book_start_term(usage_book_t *book, gint64 wall_us);
/* Records that an incarnation of an entry instance sent a report at `wall_us`,
 * with or without counts. An incarnation that reported in a window or the one
 * before, but not since the window's end, delays the window until shortly
 * before its deadline. */
void usage_book_record_contact(usage_book_t *book, guint64 incarnation,
                               gint64 wall_us);
/* Applies a report of one incarnation of an entry instance: its counts of a
 * window. */
void usage_book_report(usage_book_t *book, guint64 incarnation,
                       const usage_window_t *window);
/* Returns the next window that is over and can be finalized now, or NULL. It
 * remains the next one until `finalized_through` covers it. Free it with
 * usage_window_free. */
usage_window_t *usage_book_next_final(usage_book_t *book,
                                      const usage_schedule_t *schedule,
                                      guint64 finalized_through,
                                      gint64 wall_us);
/* Returns the current sums of all windows that are not finalized;
 * usage_window_t *. */
GPtrArray *usage_book_pending(const usage_book_t *book);

#endif
