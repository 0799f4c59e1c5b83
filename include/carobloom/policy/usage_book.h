/* What entry instances told of their usage, on the control instance that
 * leads, and which window is to be fixed next. Pure.
 *
 * Each entry instance tells what it counted since its start, for the windows
 * that are not fixed yet, again and again: a report that comes twice counts
 * once, and a new leader is told by the entry instances what the old one
 * knew. */
#ifndef CAROBLOOM_POLICY_USAGE_BOOK_H
#define CAROBLOOM_POLICY_USAGE_BOOK_H

#include "carobloom/policy/usage_tally.h"

/* When windows are fixed. */
typedef struct {
    gint64 window_us;
    gint64 due_us; /* after a window's end it has to be told */
} usage_schedule_t;

typedef struct usage_book usage_book_t;

usage_book_t *usage_book_create(void);
void usage_book_destroy(usage_book_t *book);
/* This instance came to lead at `wall_us`: what was told before is dropped. */
void usage_book_start_term(usage_book_t *book, gint64 wall_us);
/* One start of an entry instance reported at `wall_us`, with or without
 * counts. A window waits for those that fell silent in it, as long as it can.
 */
void usage_book_record_contact(usage_book_t *book, guint64 incarnation,
                               gint64 wall_us);
/* A report of one start of an entry instance, all it counted of a window. */
void usage_book_report(usage_book_t *book, guint64 incarnation,
                       const usage_window_t *window);
/* The next window that is over and can be fixed by now, or NULL; it stays the
 * next until `fixed_through` says that it is fixed. To be freed. */
usage_window_t *usage_book_next_final(usage_book_t *book,
                                      const usage_schedule_t *schedule,
                                      guint64 finalized_through,
                                      gint64 wall_us);
/* The sums as they stand, of windows that are not fixed; usage_window_t *. */
GPtrArray *usage_book_pending(const usage_book_t *book);

#endif
