/* Orders on their way to engines. */
#include <jansson.h>
#include <string.h>

#include "carobloom/connection/framed_connection.h"
#include "carobloom/connection/http.h"

/* One order in flight. */
typedef struct {
    http_t *http;
    engine_message_t order;
    SoupMessage *message;
    GCancellable *cancellable;
    guint64 timer;
} flight_t;

static void
flight_end(flight_t *f, int status)
{
    timers_cancel(task_timers(f->http->task), f->timer);
    task_send(f->http->process->voter,
              MESSAGE(engine_message_t,
                      .base = {VOTER_ORDER_DONE, engine_message_free},
                      .fence = f->order.fence, .status = status));
    g_object_unref(f->message);
    g_object_unref(f->cancellable);
    g_free(f);
}

static void
on_answer(GObject *source, GAsyncResult *result, gpointer data)
{
    flight_t *f = data;
    GError *error = NULL;
    GBytes *body = soup_session_send_and_read_finish(SOUP_SESSION(source),
                                                     result, &error);
    gboolean whole = framed_connection_is_whole(f->message, error);
    flight_end(f, whole ? (int)soup_message_get_status(f->message) : 0);
    g_clear_pointer(&body, g_bytes_unref);
    g_clear_error(&error);
}

/* Past its latest arrival the connection is cut: what has not arrived by
 * then does not arrive. */
static void
on_late(void *data)
{
    flight_t *f = data;
    g_cancellable_cancel(f->cancellable);
}

void
orders_give(http_t *http, const engine_message_t *order)
{
    flight_t *f = g_new0(flight_t, 1);
    f->http = http;
    f->order.fence = order->fence;
    f->cancellable = g_cancellable_new();
    char *uri = g_strdup_printf("http://%s/order", order->address);
    f->message = soup_message_new("POST", uri);
    g_free(uri);
    json_t *body = json_pack("{s:s, s:s, s:I}", "verb", order->verb, "value",
                             order->value, "fence", (json_int_t)order->fence);
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    GBytes *bytes = g_bytes_new_take(text, strlen(text));
    soup_message_set_request_body_from_bytes(f->message, "application/json",
                                             bytes);
    g_bytes_unref(bytes);
    /* A kept connection might send it twice, or late. */
    soup_message_add_flags(f->message, SOUP_MESSAGE_NEW_CONNECTION |
                                           SOUP_MESSAGE_NO_REDIRECT);
    gint64 left = order->latest_us - g_get_monotonic_time();
    f->timer =
        timers_subscribe(task_timers(http->task), MAX(left, 1), 0, on_late, f);
    soup_session_send_and_read_async(http->session, f->message,
                                     G_PRIORITY_HIGH, f->cancellable,
                                     on_answer, f);
}
