#include "carobloom/common/disk.h"

#include <unistd.h>

int
disk_sync(int fd)
{
    return fsync(fd);
}

int
disk_sync_data(int fd)
{
    return fdatasync(fd);
}
