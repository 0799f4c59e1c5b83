/* The memory of this process, and when freed memory goes back to the system.
 *
 * The allocator keeps what was freed for later use; the platform counts it
 * all the same and ends a process that exceeds its limit. */
#ifndef CAROBLOOM_COMMON_MEMORY_H
#define CAROBLOOM_COMMON_MEMORY_H

#include <glib.h>

/* Has large blocks mapped one by one, so that each is unmapped when it is
 * freed. To be called before any thread starts. */
void memory_configure(void);
/* Returns free memory to the system if there is much of it. `now_us` is any
 * monotonic time; call it about once a second. */
void memory_trim(gint64 now_us);
/* Bytes in use by this process, without what is free in the allocator; 0 where
 * the allocator does not tell. */
gsize memory_allocated(void);
/* Resident bytes of this process; 0 where the system does not tell. */
gsize memory_resident(void);

#endif
