#include "carobloom/common/log.h"

#include <jansson.h>
#include <log4c.h>
#include <stdio.h>
#include <string.h>

static const char *const PART_NAMES[LOG_PART_COUNT] = {
    [LOG_PART_PROCESS] = "process", [LOG_PART_HTTP] = "http",
    [LOG_PART_POLICY] = "policy",   [LOG_PART_PEERS] = "peers",
    [LOG_PART_VOTER] = "voter",     [LOG_PART_DOCUMENT] = "document",
};

static const int PRIORITIES[] = {
    [LOG_DEBUG] = LOG4C_PRIORITY_DEBUG,
    [LOG_INFO] = LOG4C_PRIORITY_INFO,
    [LOG_WARN] = LOG4C_PRIORITY_WARN,
    [LOG_ERROR] = LOG4C_PRIORITY_ERROR,
};

/* What a call hands to the layout beside the text. */
typedef struct {
    const char *request;
    char line[2048];
} log_context_t;

static log4c_category_t *categories[LOG_PART_COUNT];
static gboolean started;

static char *
time_text(void)
{
    GDateTime *now = g_date_time_new_now_utc();
    char *stamp = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S");
    char *text = g_strdup_printf("%s.%03dZ", stamp,
                                 g_date_time_get_microsecond(now) / 1000);
    g_free(stamp);
    g_date_time_unref(now);
    return text;
}

static const char *
format_plain(const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
    (void)layout;
    log_context_t *context = event->evt_loc->loc_data;
    char *now = time_text();
    g_snprintf(context->line, sizeof(context->line), "%s %-5s [%s]%s%s %s\n",
               now, log4c_priority_to_string(event->evt_priority),
               event->evt_category, context->request ? " " : "",
               context->request ? context->request : "", event->evt_msg);
    g_free(now);
    return context->line;
}

static const char *
format_json(const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
    (void)layout;
    log_context_t *context = event->evt_loc->loc_data;
    char *now = time_text();
    json_t *line =
        json_pack("{s:s, s:s, s:s, s:s*, s:s}", "time", now, "level",
                  log4c_priority_to_string(event->evt_priority), "part",
                  event->evt_category, "request", context->request, "text",
                  event->evt_msg);
    char *text = line ? json_dumps(line, JSON_COMPACT) : NULL;
    g_snprintf(context->line, sizeof(context->line), "%s\n",
               text ? text : "{\"text\":\"not UTF-8\"}");
    free(text);
    json_decref(line);
    g_free(now);
    return context->line;
}

static const log4c_layout_type_t PLAIN_TYPE = {
    .name = "carobloom_plain",
    .format = format_plain,
};
static const log4c_layout_type_t JSON_TYPE = {
    .name = "carobloom_json",
    .format = format_json,
};

/* log4c's own stream appenders put their name before each line. */
static int
append_line(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
    (void)appender;
    return fputs(event->evt_rendered_msg, stderr);
}

static const log4c_appender_type_t LINE_TYPE = {
    .name = "carobloom_line",
    .append = append_line,
};

int
log_start(gboolean json, log_level_t level)
{
    if (log4c_init() != 0) {
        return -1;
    }
    const log4c_layout_type_t *type = json ? &JSON_TYPE : &PLAIN_TYPE;
    log4c_layout_type_set(type);
    log4c_layout_t *layout = log4c_layout_get(type->name);
    log4c_layout_set_type(layout, type);
    log4c_appender_type_set(&LINE_TYPE);
    log4c_appender_t *appender = log4c_appender_get("carobloom");
    log4c_appender_set_type(appender, &LINE_TYPE);
    log4c_appender_set_layout(appender, layout);
    for (int i = 0; i < LOG_PART_COUNT; i++) {
        categories[i] = log4c_category_get(PART_NAMES[i]);
        log4c_category_set_priority(categories[i], PRIORITIES[level]);
        log4c_category_set_appender(categories[i], appender);
        log4c_category_set_additivity(categories[i], 0);
    }
    started = TRUE;
    return 0;
}

void
log_stop(void)
{
    if (started) {
        started = FALSE;
        log4c_fini();
    }
}

void
log_write(log_part_t part, log_level_t level, const char *request,
          const char *format, ...)
{
    if (!started || !log4c_category_is_priority_enabled(categories[part],
                                                        PRIORITIES[level])) {
        return;
    }
    va_list args;
    va_start(args, format);
    char *text = g_strdup_vprintf(format, args);
    va_end(args);
    log_context_t context = {.request = request};
    log4c_location_info_t location = {.loc_data = &context};
    log4c_category_log_locinfo(categories[part], &location, PRIORITIES[level],
                               "%s", text);
    g_free(text);
}
