/* Voters' messages and memberships as bytes: GVariant, little-endian. */
#ifndef CAROBLOOM_POLICY_VOTER_CODEC_H
#define CAROBLOOM_POLICY_VOTER_CODEC_H

#include "carobloom/policy/voter.h"

GBytes *voter_config_write(const voter_config_t *config);
/* FALSE when malformed or over VOTER_MEMBERS_MAX. */
gboolean voter_config_read(GBytes *bytes, voter_config_t *config);
GBytes *voter_message_write(const voter_message_t *message);
/* NULL when malformed; freed with voter_message_free. */
voter_message_t *voter_message_read(GBytes *bytes);

#endif
