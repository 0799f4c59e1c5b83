/* The project's own counters, shown as Prometheus text.
 *
 * A counter is a family with at most one label. Adding is lock-free; making
 * one takes a lock. Counters live as long as the process. */
#ifndef CAROBLOOM_COMMON_COUNTERS_H
#define CAROBLOOM_COMMON_COUNTERS_H

#include <glib.h>

typedef struct counter counter_t;

/* Finds or makes the counter of that family and label ("class=\"chat\"", or
 * NULL). `gauge` ones may be set. */
counter_t *counter_get(const char *family, const char *label, gboolean gauge);
void counter_add(counter_t *counter, gint64 amount);
void counter_set(counter_t *counter, gint64 value);
gint64 counter_value(const counter_t *counter);

typedef struct histogram histogram_t;

/* A histogram of seconds with fixed bounds from 1 ms to 10 minutes. */
histogram_t *histogram_get(const char *family, const char *label);
void histogram_add(histogram_t *histogram, double seconds);

/* All of them as Prometheus text; the caller frees it with g_free. */
char *counters_text(void);

#endif
