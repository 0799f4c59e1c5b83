#include "carobloom/request/attempt.h"

#include "carobloom/common/counters.h"
#include "carobloom/common/log.h"
#include "carobloom/connection/framed_connection.h"
#include "carobloom/policy/sse.h"

enum {
    READ_BYTES = 8 * 1024, /* one such buffer waits on each open stream */
    WHOLE_BYTES_MAX = 8 * 1024 * 1024, /* of an answer not streamed */
    CHECKS_A_SILENCE = 4,
};

/* Its own references: one of the request, one of each call in flight. */
struct attempt {
    gint references;
    request_t *request; /* NULL once let go */
    const endpoint_protocol_t *protocol;
    char id[32];
    SoupMessage *message;
    GInputStream *stream;
    GCancellable *cancellable;
    sse_t sse;
    GString *text;  /* of the event being read */
    GString *batch; /* events of one read, for one write */
    GString *said;  /* what they say */
    guint batch_tokens;
    gboolean is_stream;
    gboolean reading;
    gboolean ended;
    guint quiet_checks; /* in a row, since the last progress */
    gint64 first_us;
    gint64 last_us;
    guint tokens;
    guint64 silence_timer;
};

static void read_next(attempt_t *a);

static void
attempt_unref(attempt_t *a)
{
    if (--a->references > 0) {
        return;
    }
    g_clear_object(&a->message);
    g_clear_object(&a->stream);
    g_object_unref(a->cancellable);
    sse_clear(&a->sse);
    g_string_free(a->text, TRUE);
    g_string_free(a->batch, TRUE);
    g_string_free(a->said, TRUE);
    g_free(a);
}

static void
fail(attempt_t *a, const char *why)
{
    request_t *r = a->request;
    if (r == NULL || a->ended) {
        return;
    }
    a->ended = TRUE;
    log_write(LOG_PART_HTTP, LOG_WARN, r->name, "Attempt at %s broke: %s.",
              r->endpoint_address, why);
    request_event(r, LIFECYCLE_EVENT_BROKEN);
}

static void
finish(attempt_t *a, lifecycle_event_t event)
{
    if (a->request != NULL && !a->ended) {
        a->ended = TRUE;
        request_event(a->request, event);
    }
}

/* ---- streams ---- */

static int
on_event(str_t data, str_t raw, void *user)
{
    attempt_t *a = user;
    gboolean end = FALSE;
    if (a->protocol->read_event(data, a->id, a->text, &end) != 0) {
        counter_add(counter_get("foreign_answers_total", NULL, FALSE), 1);
        return -1;
    }
    if (end) {
        a->ended = TRUE;
    }
    g_string_append_len(a->batch, raw.data, (gssize)raw.length);
    if (a->text->len > 0) {
        g_string_append_len(a->said, a->text->str, (gssize)a->text->len);
        a->batch_tokens++;
    }
    return end ? 1 : 0;
}

static void
note_tokens(attempt_t *a, guint tokens)
{
    if (tokens == 0) {
        return;
    }
    a->last_us = g_get_monotonic_time();
    if (a->first_us == 0) {
        a->first_us = a->last_us;
    }
    a->tokens += tokens;
}

/* Hands a read's events over in one piece. */
static void
flush_batch(attempt_t *a)
{
    str_t raw = {.data = a->batch->str, .length = a->batch->len};
    str_t said = {.data = a->said->str, .length = a->said->len};
    guint tokens = a->batch_tokens;
    note_tokens(a, tokens);
    if (raw.length > 0) {
        request_part(a->request, raw, said, tokens);
    }
    g_string_truncate(a->batch, 0);
    g_string_truncate(a->said, 0);
    a->batch_tokens = 0;
}

static void
take_stream(attempt_t *a, str_t bytes)
{
    int result = sse_feed(&a->sse, bytes, on_event, a);
    gboolean ended = a->ended;
    flush_batch(a);
    if (a->request != NULL && ended) {
        request_event(a->request, LIFECYCLE_EVENT_END);
    }
    else if (a->request != NULL && result != SSE_OK) {
        fail(a, result == SSE_ERROR_TOO_LONG ? "an event is too long"
                                             : "the answer is not its own");
    }
}

/* ---- whole answers ---- */

static void
take_whole(attempt_t *a, str_t bytes)
{
    GString *answer = a->request->answer;
    if (answer->len + bytes.length > WHOLE_BYTES_MAX) {
        fail(a, "the answer is too long");
        return;
    }
    g_string_append_len(answer, bytes.data, (gssize)bytes.length);
}

static guint
usage_tokens(const GString *answer)
{
    json_t *json = json_loadb(answer->str, answer->len, 0, NULL);
    json_t *usage = json_object_get(json, "usage");
    json_int_t tokens =
        json_integer_value(json_object_get(usage, "completion_tokens"));
    json_decref(json);
    return (guint)CLAMP(tokens, 0, G_MAXINT32);
}

static void
end_of_body(attempt_t *a)
{
    if (a->is_stream) {
        fail(a, "the stream ended without its end mark");
        return;
    }
    if (!a->request->plain) {
        a->request->tokens = usage_tokens(a->request->answer);
        a->tokens = a->request->tokens;
    }
    finish(a, LIFECYCLE_EVENT_END);
}

static void
on_read(GObject *source, GAsyncResult *result, gpointer data)
{
    attempt_t *a = data;
    GError *error = NULL;
    GBytes *bytes = g_input_stream_read_bytes_finish(G_INPUT_STREAM(source),
                                                     result, &error);
    a->reading = FALSE;
    if (a->request != NULL && !a->ended) {
        a->quiet_checks = 0;
        if (!framed_connection_is_whole(a->message, error)) {
            fail(a, error->message);
        }
        else if (bytes == NULL || g_bytes_get_size(bytes) == 0) {
            end_of_body(a);
        }
        else {
            gsize length;
            const char *raw = g_bytes_get_data(bytes, &length);
            str_t part = {.data = raw, .length = length};
            (a->is_stream ? take_stream : take_whole)(a, part);
            read_next(a);
        }
    }
    else if (bytes != NULL && g_bytes_get_size(bytes) > 0 &&
             a->request == NULL) {
        counter_add(counter_get("late_bytes_total", NULL, FALSE),
                    (gint64)g_bytes_get_size(bytes));
    }
    g_clear_pointer(&bytes, g_bytes_unref);
    g_clear_error(&error);
    attempt_unref(a);
}

static void
read_next(attempt_t *a)
{
    if (a->request == NULL || a->ended || a->reading || a->stream == NULL ||
        !request_can_take(a->request)) {
        return;
    }
    a->reading = TRUE;
    a->references++;
    g_input_stream_read_bytes_async(a->stream, READ_BYTES, G_PRIORITY_DEFAULT,
                                    a->cancellable, on_read, a);
}

void
attempt_resume(attempt_t *a)
{
    read_next(a);
}

/* ---- the head ---- */

static void
take_head(attempt_t *a)
{
    request_t *r = a->request;
    guint status = soup_message_get_status(a->message);
    if (a->protocol->refused(a->message)) {
        finish(a, LIFECYCLE_EVENT_NOT_RUN);
        return;
    }
    if (!a->protocol->owns_head(a->message, a->id)) {
        counter_add(counter_get("foreign_answers_total", NULL, FALSE), 1);
        fail(a, "the answer is not its own");
        return;
    }
    if (status >= 500 && r->class_info->repeatable) {
        fail(a, "the endpoint answered with a fault");
        return;
    }
    SoupMessageHeaders *headers =
        soup_message_get_response_headers(a->message);
    const char *type = soup_message_headers_get_content_type(headers, NULL);
    r->answer_status = (int)status;
    g_free(r->answer_type);
    r->answer_type = g_strdup(type);
    g_string_truncate(r->answer, 0);
    a->is_stream = !r->plain && r->stream && status == 200;
    if (a->is_stream && g_strcmp0(type, "text/event-stream") != 0) {
        fail(a, "the answer is not a stream of events");
        return;
    }
    read_next(a);
}

static void
on_sent(GObject *source, GAsyncResult *result, gpointer data)
{
    attempt_t *a = data;
    GError *error = NULL;
    GInputStream *stream =
        soup_session_send_finish(SOUP_SESSION(source), result, &error);
    a->stream = stream;
    if (a->request != NULL && !a->ended) {
        a->quiet_checks = 0;
        if (stream == NULL) {
            fail(a, error->message);
        }
        else {
            take_head(a);
        }
    }
    g_clear_error(&error);
    attempt_unref(a);
}

static void
on_starting(SoupMessage *message, gpointer data)
{
    (void)message;
    attempt_t *a = data;
    if (a->request != NULL) {
        request_event(a->request, LIFECYCLE_EVENT_WRITING);
    }
}

/* Counts checks instead of time: while this instance itself does not run, what
 * arrives is not read, and no check is made. */
static void
check_silence(void *data)
{
    attempt_t *a = data;
    /* While the caller is slow, nothing is read: that is no silence. */
    if (!request_can_take(a->request)) {
        a->quiet_checks = 0;
        return;
    }
    if (++a->quiet_checks > CHECKS_A_SILENCE) {
        counter_add(counter_get("silent_attempts_total", NULL, FALSE), 1);
        fail(a, "silent too long");
    }
}

attempt_t *
attempt_create(request_t *request, const char *address, const char *protocol)
{
    attempt_t *a = g_new0(attempt_t, 1);
    *a = (attempt_t){
        .references = 1,
        .request = request,
        .protocol = endpoint_protocol_find(protocol),
        .cancellable = g_cancellable_new(),
        .text = g_string_new(NULL),
        .batch = g_string_new(NULL),
        .said = g_string_new(NULL),
    };
    sse_init(&a->sse);
    g_snprintf(a->id, sizeof(a->id), "%s-%u", request->name,
               request->life.attempts + request->preemptions);
    if (a->protocol != NULL) {
        a->message = a->protocol->build(request, address, a->id);
    }
    gint64 step_us = request->class_info->silence_ms * 1000 / CHECKS_A_SILENCE;
    a->silence_timer = timers_subscribe(task_timers(request->http->task),
                                        step_us, step_us, check_silence, a);
    if (a->message != NULL) {
        g_signal_connect(a->message, "starting", G_CALLBACK(on_starting), a);
        a->references++;
        soup_session_send_async(request->http->session, a->message,
                                G_PRIORITY_DEFAULT, a->cancellable, on_sent,
                                a);
    }
    else {
        /* A protocol or address unknown here: told as broken by the timer. */
        a->quiet_checks = CHECKS_A_SILENCE;
    }
    return a;
}

void
attempt_destroy(attempt_t *a)
{
    timers_cancel(task_timers(a->request->http->task), a->silence_timer);
    if (a->message != NULL) {
        g_signal_handlers_disconnect_by_data(a->message, a);
    }
    a->request = NULL;
    /* Closing the connection is what stops the engine's work. */
    g_cancellable_cancel(a->cancellable);
    if (a->stream != NULL && !a->reading) {
        g_input_stream_close_async(a->stream, G_PRIORITY_DEFAULT, NULL, NULL,
                                   NULL);
    }
    attempt_unref(a);
}

double
attempt_token_us(const attempt_t *a)
{
    if (a->tokens < 2 || a->last_us <= a->first_us) {
        return 0;
    }
    return (double)(a->last_us - a->first_us) / (a->tokens - 1);
}
