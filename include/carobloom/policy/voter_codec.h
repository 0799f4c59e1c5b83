/* Voter messages and memberships as little-endian GVariant. */
#ifndef CAROBLOOM_POLICY_VOTER_CODEC_H
#define CAROBLOOM_POLICY_VOTER_CODEC_H

#include "carobloom/policy/voter.h"

GBytes *voter_config_write(const voter_config_t *config);
/* Returns FALSE when malformed or above VOTER_MEMBERS_MAX. */
gboolean voter_config_read(GBytes *bytes, voter_config_t *config);
GBytes *voter_message_write(const voter_message_t *message);
/* Returns NULL when malformed; free the message with voter_message_free. */
voter_message_t *voter_message_read(GBytes *bytes);

#endif
