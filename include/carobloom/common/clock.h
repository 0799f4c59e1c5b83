/* The clock that also counts the time a machine was suspended. */
#ifndef CAROBLOOM_COMMON_CLOCK_H
#define CAROBLOOM_COMMON_CLOCK_H

#include <glib.h>

/* Microseconds since the machine started, suspensions included. What must
 * not outlive a suspension (leases, confirmations) is measured by this. */
gint64 clock_boot_us(void);

#endif
