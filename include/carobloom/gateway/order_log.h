/* The log line of an order to quarantine or release a request. */
#ifndef CAROBLOOM_GATEWAY_ORDER_LOG_H
#define CAROBLOOM_GATEWAY_ORDER_LOG_H

#include "carobloom/policy/crash_ledger.h"

/* Logs the order. `control` is the address of the control instance that sent
 * it, or empty if this instance decided it. */
void quarantine_order_log(const quarantine_order_t *order,
                          const char *control);

#endif
