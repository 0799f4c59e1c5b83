/* Logging through log4c: short sentences, a fixed prefix for each part.
 *
 * Lines go to standard error, plain or as one JSON object a line. */
#ifndef CAROBLOOM_COMMON_LOG_H
#define CAROBLOOM_COMMON_LOG_H

#include <glib.h>

typedef enum {
    LOG_PART_PROCESS,
    LOG_PART_HTTP,
    LOG_PART_POLICY,
    LOG_PART_PEERS,
    LOG_PART_VOTER,
    LOG_PART_DOCUMENT,
    LOG_PART_COUNT,
} log_part_t;

typedef enum { LOG_DEBUG, LOG_INFO, LOG_WARN, LOG_ERROR } log_level_t;

/* Starts logging. `json` picks the form; `level` is the least one shown.
 * Returns 0, or -1 when log4c refuses. */
int log_start(gboolean json, log_level_t level);
void log_stop(void);
/* Logs one line. `request` is a request id or NULL. */
void log_write(log_part_t part, log_level_t level, const char *request,
               const char *format, ...) G_GNUC_PRINTF(4, 5);

#define log_debug(part, ...) log_write((part), LOG_DEBUG, NULL, __VA_ARGS__)
#define log_info(part, ...) log_write((part), LOG_INFO, NULL, __VA_ARGS__)
#define log_warn(part, ...) log_write((part), LOG_WARN, NULL, __VA_ARGS__)
#define log_error(part, ...) log_write((part), LOG_ERROR, NULL, __VA_ARGS__)

#endif
