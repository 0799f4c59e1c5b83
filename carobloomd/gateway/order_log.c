#include "carobloom/gateway/order_log.h"

#include "carobloom/common/event_log.h"
#include "carobloom/policy/fingerprint.h"

void
quarantine_order_log(const quarantine_order_t *order, const char *control)
{
    enum { MS = 1000 };
    char text[FINGERPRINT_TEXT_SIZE];
    gboolean quarantined = order->left_us > 0;
    if (!event_log_begin(EVENT_STATE,
                         quarantined ? "request_held" : "request_released")) {
        return;
    }
    fingerprint_format(order->fingerprint, text);
    event_log_cstr("fingerprint", text);
    event_log_cstr("endpoints", order->endpoints);
    event_log_number("since_ms", order->since_us / MS);
    event_log_number("left_ms", order->left_us / MS);
    event_log_number("doubted", order->uncertain);
    event_log_number("trial", order->probe);
    event_log_cstr("control", control);
    event_log_end();
}
