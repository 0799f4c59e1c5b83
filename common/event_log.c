#include "carobloom/common/event_log.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <unistd.h>

#include "carobloom/common/clock.h"
#include "carobloom/common/counters.h"

enum {
    BUFFER_MAX = 256 * 1024, /* bytes; seconds of the usual volume */
    FLUSH_BYTES = 4096,      /* a write costs more than many lines */
    /* Lines a second. A small front serves some 30 requests a second; the
     * allowances leave room for its bursts, and for failures of all. */
    ROUTINE_A_SECOND = 40,
    FAILURES_A_SECOND = 100,
    STATES_A_SECOND = 100,
    /* Less is a clock that is adjusted, not set. */
    CLOCK_STEP_MIN_US = 50 * 1000,
};

static const guint ALLOWANCES[] = {
    [EVENT_ROUTINE] = ROUTINE_A_SECOND,
    [EVENT_FAILURE] = FAILURES_A_SECOND,
    [EVENT_STATE] = STATES_A_SECOND,
};

/* Lines come from the tasks of a process; the lock is held for one line. */
static GMutex lock;
static GString *buffer;
static char *owner;
static guint32 process;        /* random: two processes may have the same id */
static gint64 second;          /* of time since the machine started */
static gint64 clock_offset_us; /* of the time of day against the same */
static guint used[G_N_ELEMENTS(ALLOWANCES)];
static guint dropped;

void
event_log_start(const char *instance)
{
    buffer = g_string_sized_new(FLUSH_BYTES * 2);
    owner = g_strdup(instance);
    process = g_random_int();
    clock_offset_us = g_get_real_time() - clock_boot_us();
    int flags = fcntl(STDOUT_FILENO, F_GETFL);
    fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

void
event_log_stop(void)
{
    if (buffer == NULL) {
        return;
    }
    event_log_flush();
    g_string_free(g_steal_pointer(&buffer), TRUE);
    g_clear_pointer(&owner, g_free);
}

static void
flush_locked(void)
{
    while (buffer->len > 0) {
        ssize_t count = write(STDOUT_FILENO, buffer->str, buffer->len);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count <= 0) {
            return; /* the reader is slow; later */
        }
        g_string_erase(buffer, 0, count);
    }
}

static void
append_key(const char *key)
{
    g_string_append(buffer, ",\"");
    g_string_append(buffer, key);
    g_string_append(buffer, "\":");
}

static void
append_start(const char *event, gint64 now_us)
{
    g_string_append_printf(buffer,
                           "{\"time_ms\":%" G_GINT64_FORMAT
                           ",\"instance\":\"%s\",\"process\":\"%08x\","
                           "\"event\":\"%s\"",
                           now_us / 1000, owner, process, event);
}

/* The time of day, and the time since the machine started, read together. */
typedef struct {
    gint64 day_us;
    gint64 boot_us;
    gint64 apart_us; /* at most, from one reading to the other */
} clocks_t;

static clocks_t
clocks_read(void)
{
    gint64 before_us = clock_boot_us();
    gint64 day_us = g_get_real_time();
    gint64 boot_us = clock_boot_us();
    return (clocks_t){
        .day_us = day_us, .boot_us = boot_us, .apart_us = boot_us - before_us};
}

/* Times of lines before and after a step of the time of day can't be
 * compared. */
static void
tell_clock_step(const clocks_t *clocks)
{
    gint64 offset_us = clocks->day_us - clocks->boot_us;
    gint64 step_us = offset_us - clock_offset_us;
    if (clocks->apart_us >= CLOCK_STEP_MIN_US) {
        return; /* the process did not run in between */
    }
    clock_offset_us = offset_us;
    if (ABS(step_us) < CLOCK_STEP_MIN_US || buffer->len > BUFFER_MAX) {
        return;
    }
    append_start("clock_stepped", clocks->day_us);
    append_key("by_ms");
    g_string_append_printf(buffer, "%" G_GINT64_FORMAT "}\n", step_us / 1000);
}

void
event_log_flush(void)
{
    clocks_t clocks = clocks_read();
    g_mutex_lock(&lock);
    if (buffer != NULL) {
        tell_clock_step(&clocks);
        flush_locked();
    }
    g_mutex_unlock(&lock);
}

/* What was dropped is said once the second is over. */
static void
turn_second(const clocks_t *clocks)
{
    if (clocks->boot_us / G_USEC_PER_SEC == second) {
        return;
    }
    second = clocks->boot_us / G_USEC_PER_SEC;
    for (guint i = 0; i < G_N_ELEMENTS(used); i++) {
        used[i] = 0;
    }
    if (dropped > 0) {
        append_start("log_dropped", clocks->day_us);
        append_key("lines");
        g_string_append_printf(buffer, "%u}\n", dropped);
        dropped = 0;
    }
}

gboolean
event_log_begin(event_class_t kind, const char *event)
{
    clocks_t clocks = clocks_read();
    g_mutex_lock(&lock);
    if (buffer == NULL) {
        g_mutex_unlock(&lock);
        return FALSE;
    }
    tell_clock_step(&clocks);
    turn_second(&clocks);
    if (used[kind]++ >= ALLOWANCES[kind] || buffer->len > BUFFER_MAX) {
        dropped++;
        counter_add(counter_get("log_lines_dropped_total", NULL, FALSE), 1);
        g_mutex_unlock(&lock);
        return FALSE;
    }
    append_start(event, clocks.day_us);
    return TRUE;
}

void
event_log_text(const char *key, str_t value)
{
    append_key(key);
    g_string_append_c(buffer, '"');
    for (gsize i = 0; i < value.length; i++) {
        guchar c = (guchar)value.data[i];
        if (c == '"' || c == '\\') {
            g_string_append_c(buffer, '\\');
            g_string_append_c(buffer, (char)c);
        }
        else if (c < 0x20 || c >= 0x7f) {
            g_string_append_printf(buffer, "\\u%04x", c);
        }
        else {
            g_string_append_c(buffer, (char)c);
        }
    }
    g_string_append_c(buffer, '"');
}

void
event_log_cstr(const char *key, const char *value)
{
    event_log_text(key, str_from_cstr(value));
}

void
event_log_number(const char *key, gint64 value)
{
    append_key(key);
    g_string_append_printf(buffer, "%" G_GINT64_FORMAT, value);
}

void
event_log_end(void)
{
    g_string_append(buffer, "}\n");
    if (buffer->len >= FLUSH_BYTES) {
        flush_locked();
    }
    g_mutex_unlock(&lock);
}
