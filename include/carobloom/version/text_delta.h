/* Differences between two texts, as bytes that rebuild the second from the
 * first.
 *
 * Texts are cut where an object of a list ends, and pieces that stand in the
 * first are copied. A configuration of a thousand routes that gains one costs
 * that one, whatever else changed beside it. The bytes are compressed. */
#ifndef CAROBLOOM_VERSION_TEXT_DELTA_H
#define CAROBLOOM_VERSION_TEXT_DELTA_H

#include <glib.h>

#include "carobloom/common/str.h"

enum { TEXT_DELTA_BYTES_MAX = 64 * 1024 * 1024 }; /* of a text */

GBytes *text_delta_between(str_t from, str_t to);
/* NULL when malformed or not of this text. */
GBytes *text_delta_apply(str_t from, GBytes *delta);

#endif
