/* What a loss of power does to a folder: what was written or renamed since the
 * last sync is kept, missing or torn, each file and each name on its own.
 *
 * What is synced is recorded beside the folder, in FOLDER.synced. */
#ifndef TESTS_DISK_LOSS_H
#define TESTS_DISK_LOSS_H

#include <glib.h>

/* To be called once a file or a folder was synced. Files of other folders than
 * the one named by the environment variable CAROBLOOM_DISK are passed over. */
void disk_loss_record(int fd);
/* Loses power: leaves in `folder` one of the states that may be found then. */
void disk_loss_apply(const char *folder, GRand *rand);

#endif
