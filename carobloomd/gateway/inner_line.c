#include "carobloom/gateway/inner_line.h"

#include "carobloom/common/counters.h"
#include "carobloom/gateway/inner_post.h"

enum { HELD_MAX_MS = 60 * 1000 };

struct inner_line {
    inner_line_setup_t setup;
    char *address;
    http_peer_t *peer;
    client_call_t *call;
    guint64 timer; /* 0: no call is in flight */
    guint status;
    guint held_ms;
    GByteArray *body;
    gboolean progress; /* bytes arrived since the timer was set */
    gint64 posted_us;  /* on the timers' clock */
};

static void
line_end(inner_line_t *line)
{
    timers_cancel(line->setup.timers, line->timer);
    line->timer = 0;
    line->call = NULL;
}

static void
line_empty_body(inner_line_t *line)
{
    g_byte_array_unref(line->body);
    line->body = g_byte_array_new();
}

static void
line_fail(inner_line_t *line)
{
    line_end(line);
    line_empty_body(line);
    line->setup.ops->failed(line->setup.user);
}

static void
on_timeout(void *data)
{
    inner_line_t *line = data;
    gint64 waited_us = timers_now(line->setup.timers) - line->posted_us;
    line->timer = 0;
    if (line->progress && line->setup.progress_us > 0 &&
        waited_us < INNER_ANSWER_MAX_US) {
        line->progress = FALSE;
        line->timer = timers_subscribe(
            line->setup.timers, line->setup.progress_us, 0, on_timeout, line);
        return;
    }
    client_call_cancel(line->call);
    line_fail(line);
}

static call_verdict_t
on_head(client_call_t *call, const http_head_t *head, void *user)
{
    (void)call;
    inner_line_t *line = user;
    str_t held;
    guint64 held_ms = 0;
    line->status = head->status;
    if (http_head_find(head, HELD_FIELD, &held)) {
        http_number(held, &held_ms);
    }
    line->held_ms = (guint)MIN(held_ms, HELD_MAX_MS);
    return CALL_TAKE;
}

static void
on_body(client_call_t *call, str_t bytes, void *user)
{
    inner_line_t *line = user;
    line->progress = TRUE;
    if (line->body->len + bytes.length > line->setup.answer_max) {
        counter_add(counter_get("inner_answers_too_long_total", NULL, FALSE),
                    1);
        client_call_cancel(call);
        line_fail(line);
        return;
    }
    g_byte_array_append(line->body, (const guint8 *)bytes.data,
                        (guint)bytes.length);
}

static void
on_done(client_call_t *call, void *user)
{
    (void)call;
    inner_line_t *line = user;
    line_end(line);
    GBytes *body = g_byte_array_free_to_bytes(line->body);
    line->body = g_byte_array_new();
    line->setup.ops->answered(line->setup.user, line->status, body);
    g_bytes_unref(body);
}

static void
on_failed(client_call_t *call, call_failure_t failure, void *user)
{
    (void)call;
    (void)failure; /* the user of the line retries after any failure */
    line_fail(user);
}

static const client_call_ops_t LINE_OPS = {
    .head = on_head, .body = on_body, .done = on_done, .failed = on_failed};

inner_line_t *
inner_line_create(const inner_line_setup_t *setup, const char *address)
{
    http_peer_t *peer = http_peer_create(setup->poller, setup->timers,
                                         str_from_cstr(address), &setup->peer);
    if (peer == NULL) {
        return NULL;
    }
    inner_line_t *line = g_new0(inner_line_t, 1);
    line->setup = *setup;
    line->address = g_strdup(address);
    line->peer = peer;
    line->body = g_byte_array_new();
    return line;
}

void
inner_line_destroy(inner_line_t *line)
{
    timers_cancel(line->setup.timers, line->timer);
    if (line->call != NULL) {
        client_call_cancel(line->call);
    }
    http_peer_destroy(line->peer);
    g_byte_array_unref(line->body);
    g_free(line->address);
    g_free(line);
}

void
inner_line_set_progress(inner_line_t *line, gint64 progress_us)
{
    line->setup.progress_us = progress_us;
}

guint
inner_line_held_ms(const inner_line_t *line)
{
    return line->held_ms;
}

gboolean
inner_line_is_busy(const inner_line_t *line)
{
    return line->call != NULL;
}

gsize
inner_line_received(const inner_line_t *line)
{
    return line->call != NULL ? line->body->len : 0;
}

void
inner_line_cancel(inner_line_t *line)
{
    client_call_t *call = line->call;
    if (call == NULL) {
        return;
    }
    line_end(line);
    line_empty_body(line);
    client_call_cancel(call);
}

gboolean
inner_line_post(inner_line_t *line, const char *path, GBytes *body,
                gint64 wait_us)
{
    line->progress = FALSE;
    line->posted_us = timers_now(line->setup.timers);
    line->call = inner_post(line->peer, path, line->address,
                            str_from_bytes(body), &LINE_OPS, line);
    if (line->call == NULL) {
        return FALSE;
    }
    traffic_count(line->setup.traffic, line->call, line->setup.kind,
                  line->address);
    line->timer =
        timers_subscribe(line->setup.timers, wait_us, 0, on_timeout, line);
    return TRUE;
}
