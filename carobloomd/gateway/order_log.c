#include "carobloom/gateway/order_log.h"

#include "carobloom/common/event_log.h"
#include "carobloom/policy/fingerprint.h"

static const char *
event_name(const quarantine_order_t *order)
{
    gboolean ended = order->left_us <= 0;
    if (order->watch_only) {
        return ended ? "part_watch_ended" : "part_watched";
    }
    if (quarantine_order_is_part(order)) {
        return ended ? "part_released" : "part_held";
    }
    return ended ? "request_released" : "request_held";
}

void
quarantine_order_log(const quarantine_order_t *order, const char *control)
{
    enum { MS = 1000 };
    char text[FINGERPRINT_TEXT_SIZE];
    if (!event_log_begin(EVENT_STATE, event_name(order))) {
        return;
    }
    fingerprint_format(order->fingerprint, text);
    event_log_cstr("fingerprint", text);
    if (quarantine_order_is_part(order)) {
        char part[FINGERPRINT_TEXT_SIZE];
        g_snprintf(part, sizeof(part), "%" G_GINT64_MODIFIER "x", order->part);
        event_log_cstr("service", order->service);
        event_log_cstr("part", part);
    }
    event_log_cstr("endpoints", order->endpoints);
    event_log_number("ends", order->ends);
    event_log_number("since_ms", order->since_us / MS);
    event_log_number("left_ms", order->left_us / MS);
    event_log_number("doubted", order->uncertain);
    event_log_number("trial", order->probe);
    event_log_cstr("control", control);
    event_log_end();
}
