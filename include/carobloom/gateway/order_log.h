/* The log line of an order to hold a request back, or to let it go. */
#ifndef CAROBLOOM_GATEWAY_ORDER_LOG_H
#define CAROBLOOM_GATEWAY_ORDER_LOG_H

#include "carobloom/policy/crash_ledger.h"

/* `control` is the control instance that it came from; empty where it was
 * decided here. */
void quarantine_order_log(const quarantine_order_t *order,
                          const char *control);

#endif
