/* Making written bytes survive a loss of power. */
#ifndef CAROBLOOM_COMMON_DISK_H
#define CAROBLOOM_COMMON_DISK_H

/* The bytes of a file and, with `disk_sync`, what else is known of it (of a
 * folder: its names). Both wait for the disk; 0, or -1 with errno set. */
int disk_sync(int fd);
int disk_sync_data(int fd);

#endif
