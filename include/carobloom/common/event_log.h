/* Structured lines for whoever has to explain a request afterwards.
 *
 * One JSON object a line on standard output. Writing never blocks: lines wait
 * in a bounded buffer, and what does not fit is counted and said. Lines about
 * what went well are bounded to a rate; those about failures have a larger
 * allowance of their own. A step of the time of day is a line of its own. */
#ifndef CAROBLOOM_COMMON_EVENT_LOG_H
#define CAROBLOOM_COMMON_EVENT_LOG_H

#include <glib.h>

#include "carobloom/common/str.h"

typedef enum {
    EVENT_ROUTINE, /* went well; the first to be dropped under load */
    EVENT_FAILURE, /* a request refused, failed or repeated */
    EVENT_STATE,   /* what the process believes has changed */
} event_class_t;

/* `instance` is in every line, and so is a random number for this process. */
void event_log_start(const char *instance);
void event_log_stop(void);
/* Begins a line; fields follow; event_log_end writes it. FALSE when the line
 * is over its allowance: the fields need not be given. */
gboolean event_log_begin(event_class_t kind, const char *event);
void event_log_text(const char *key, str_t value);
void event_log_cstr(const char *key, const char *value);
void event_log_number(const char *key, gint64 value);
void event_log_end(void);
/* Writes what waits, as far as standard output takes it. */
void event_log_flush(void);

#endif
